// A whole service on loopback: discovery, cache servers and tills of both protocols in this
// process, routers as processes of their own, faults by a script, and the rules checked at the end.
#pragma once

#include <string>
#include <vector>

namespace arrowfork::rig {

struct DemoOptions {
  std::string program;          ///< that `PROGRAM run FILE` starts a router
  int caches = 10;              ///< 2 to 200
  int binary_caches = 4;        ///< of them speak the binary protocol
  int routers = 2;              ///< 1 to 16
  double rate = 150;            ///< requests a second of the tills of each protocol
  double fault_duration_s = 2;  ///< how long each fault lasts, and half as long the calm before it
  std::vector<std::string> faults;  ///< names as parse_fault() knows them; empty: all of them
  bool list_changes = true;         ///< a cache server leaves, one joins, routers reload
  double slack_ms = 50;             ///< what the machine may take on top of each time limit
  unsigned seed = 1;
};

/// Prints progress and a table; 0 where all rules held, 1 where not, 2 where it could not start.
int run_demo(const DemoOptions& options);

}  // namespace arrowfork::rig
