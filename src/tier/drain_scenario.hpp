// Random scenarios of drains with faults around them, generated from a seed: fault injection with
// real processes (tests/membership/fault_injection_test does it in virtual time).
#pragma once

#include "scenario.hpp"

namespace arrowfork::tier {

/// A short run of a few `arrowfork` routers; equal arguments give equal scenarios.
Scenario make_drain_scenario(std::uint64_t seed, bool pushed);

}  // namespace arrowfork::tier
