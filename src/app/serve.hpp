// One router as a process: signals, the loop, and the end. Shared by the programs.
#pragma once

#include <functional>
#include <memory>

#include "../net/router.hpp"

namespace arrowfork {

/// Makes a further front for the router, or none; throws ConfigError.
using FrontendFactory = std::function<std::unique_ptr<Frontend>(event_base*, const TimeSource&,
                                                                Router&, const Config&)>;

/// Serves until SIGTERM or SIGINT; on SIGHUP takes over what `load` gives then. `load` throws
/// ConfigError. Returns the exit status: 0 after a planned end, 1 where it could not start.
int serve(const std::function<Config()>& load, const FrontendFactory& attach = nullptr);

}  // namespace arrowfork
