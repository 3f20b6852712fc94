// When a planned shutdown takes its steps. No I/O; time is an argument.
#pragma once

#include "../io/clock.hpp"

namespace arrowfork {

/// The steps of a planned shutdown, as points on the router's clock in microseconds.
struct ShutdownSchedule {
  Micros stop_listening_at = 0;  ///< no connection is accepted from here on
  Micros answers_due_at = 0;     ///< every accepted request has its reply; nothing more is read
  Micros end_at = 0;             ///< the process ends, whatever is still open
};

/// The schedule of a shutdown that begins at `now`. `longest_deadline`: of the classes in the
/// settings. `has_successor`: another process listens on the same socket already.
ShutdownSchedule schedule_shutdown(Micros now, Micros longest_deadline, bool has_successor);

}  // namespace arrowfork
