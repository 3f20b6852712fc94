// Plays a scenario: processes of the program on loopback, stand-ins behind links, one account.
#pragma once

#include <string>

#include "scenario.hpp"

namespace arrowfork::tier {

struct TierOptions {
  std::string wheeldeal, arrowfork;  ///< programs; the second may be empty where none is asked for
  std::string json, html;            ///< files to write; empty: none
  std::string logs;                  ///< folder for the routers' logs; empty: none is kept
  bool quiet = false;                ///< no table
};

/// Exit status of a run.
enum TierStatus {
  kPassed = 0,
  kFailed = 1,    ///< a rule or a claim
  kUnusable = 2,  ///< it could not be played: the scenario, a process that does not start
  kTooSlow = 3,   ///< this machine did not keep up with the load, so nothing is claimed
};

/// Plays and prints; what can't be played is said on standard error.
int run_scenario(const Scenario& scenario, const TierOptions& options);

}  // namespace arrowfork::tier
