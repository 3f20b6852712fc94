// The storm day on sockets: routers as processes, the model fleet behind sockets, tills that ask
// again at once, a trigger that begins and ends. The same plan as in virtual time.
#pragma once

#include <string>
#include <vector>

#include "../emu/day.hpp"

namespace arrowfork::rig {

struct StormOptions {
  std::string program;                ///< that `PROGRAM run FILE` starts a router
  std::vector<std::string> triggers;  ///< names as emu::trigger_of() knows them, one day each
  double load = 0.8;                  ///< of the fleet's capacity
  int servers = 6;
  int cores = 2;  ///< of each; all together bear 65 requests a second a core pair
  int routers = 2;
  int tries = 5;
  double trigger_start_s = 6,
         time_after_trigger_s = 10;  ///< the trigger begins; the day goes on after its end
  double recovery_limit_s = 5;       ///< 95% of what was served before must be served again by then
  bool require_recovery = true;      ///< else that is told and not held against the day
  double slack_ms = 50;              ///< what the machine may take on top of each time limit
  unsigned seed = 1;
};

/// Prints each second and a verdict a day; 0 where all held, 1 where not, 2 where it could not
/// start.
int run_storm(const StormOptions& options);

}  // namespace arrowfork::rig
