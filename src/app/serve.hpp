// One router as a process: signals, the loop, and the end. Shared by the programs.
#pragma once

#include <functional>

#include "../net/config.hpp"

namespace arrowfork {

/// Serves until SIGTERM or SIGINT; on SIGHUP takes over what `load` gives then. `load` throws
/// ConfigError. Returns the exit status: 0 after a planned end, 1 where it could not start.
int serve(const std::function<Config()>& load);

}  // namespace arrowfork
