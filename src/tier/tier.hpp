// Runs a scenario: router processes on loopback, simulated clients, caches and discovery connected
// through links with faults, and one event log.
#pragma once

#include <string>

#include "scenario.hpp"

namespace arrowfork::tier {

struct TierOptions {
  std::string wheeldeal, arrowfork;  ///< programs; the second may be empty if not needed
  std::string json, html;            ///< files to write; empty: none
  std::string logs;                  ///< directory for the routers' logs; empty: not kept
  bool quiet = false;                ///< do not print the table
};

/// Exit status of a run.
enum TierStatus {
  kPassed = 0,
  kFailed = 1,    ///< a rule or a claim is violated
  kUnusable = 2,  ///< the run could not be done, for example a process did not start
  kTooSlow = 3,   ///< this machine did not keep up with the load, so nothing was judged
};

/// Runs the scenario and prints the result; errors go to standard error.
int run_scenario(const Scenario& scenario, const TierOptions& options);

}  // namespace arrowfork::tier
