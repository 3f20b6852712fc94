// Runs one router as a process: signals, event loop, shutdown. Shared by the programs.
#pragma once

#include <functional>
#include <memory>

#include "../net/router.hpp"

namespace arrowfork {

/// Creates a further frontend for the router, or none. Throws ConfigError.
using FrontendFactory = std::function<std::unique_ptr<Frontend>(event_base*, const TimeSource&,
                                                                Router&, const Config&)>;

/// Serves until SIGTERM or SIGINT; on SIGHUP calls `load` again and applies the result. `load`
/// throws ConfigError. Returns the exit status: 0 after a shutdown by signal, 1 if the router could
/// not start.
int serve(const std::function<Config()>& load, const FrontendFactory& make_frontend = nullptr);

}  // namespace arrowfork
