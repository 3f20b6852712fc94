// Scenarios of drains with faults around them, drawn from a seed: the process layer of the fault
// injection (tests/membership/fault_injection_test is the layer in virtual time).
#pragma once

#include "scenario.hpp"

namespace arrowfork::tier {

/// A short run of a few lean routers; the same for the same arguments.
Scenario make_drain_scenario(std::uint64_t seed, bool pushed);

}  // namespace arrowfork::tier
