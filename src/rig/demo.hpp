// A whole service on the loopback interface: discovery, cache servers and tills of both protocols
// in this process, routers as separate processes. Faults follow a script; at the end the rules are
// checked.
#pragma once

#include <string>
#include <vector>

namespace arrowfork::rig {

/// Options of `wheeldeal rig`.
struct DemoOptions {
  std::string program;              ///< started as `PROGRAM run FILE` for each router
  int caches = 10;                  ///< 2 to 200
  int binary_caches = 4;            ///< number of them that speak the binary protocol
  int routers = 2;                  ///< 1 to 16
  double rate = 150;                ///< requests per second of each protocol's tills
  double fault_duration_s = 2;      ///< of each fault; the pause before it is half as long
  std::vector<std::string> faults;  ///< names for parse_fault(); empty: all faults
  bool list_changes = true;         ///< a cache server leaves, one joins, routers reload
  double slack_ms = 50;             ///< scheduling delay of the machine, on top of each time limit
  unsigned seed = 1;
};

/// Prints progress and a table. Returns 0 if all rules held, 1 if not, 2 if it could not start.
int run_demo(const DemoOptions& options);

}  // namespace arrowfork::rig
