// A retry storm over sockets: router processes, the emulated fleet behind sockets, tills that retry
// at once, and a trigger that starts and ends. It runs the same plan as the run in virtual time.
#pragma once

#include <string>
#include <vector>

#include "../emu/day.hpp"

namespace arrowfork::rig {

/// Options of `wheeldeal storm`.
struct StormOptions {
  std::string program;                ///< started as `PROGRAM run FILE` for each router
  std::vector<std::string> triggers;  ///< names for emu::trigger_of(); one run each
  double load = 0.8;                  ///< first tries, as a share of the fleet's capacity
  int servers = 6;
  int cores = 2;  ///< of each server; the fleet serves 65 requests per second per core pair
  int routers = 2;
  int tries = 5;
  double trigger_start_s = 6,
         time_after_trigger_s = 10;  ///< before the trigger; after its end
  double recovery_limit_s = 5;       ///< by then 95% of the former success rate must be served
  bool require_recovery = true;      ///< false: late recovery is reported but is no failure
  double slack_ms = 50;              ///< scheduling delay of the machine, on top of each time limit
  unsigned seed = 1;
};

/// Prints a row per second and a verdict per run. Returns 0 if all rules held, 1 if not, 2 if it
/// could not start.
int run_storm(const StormOptions& options);

}  // namespace arrowfork::rig
