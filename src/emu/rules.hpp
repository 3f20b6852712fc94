// Other rules of the field for what may be out, to be played on the same days as the windows that
// service runs on. Each follows its source as a router can: none of them may ask servers for more
// than answers and their reports tell. Where a source leaves a figure to its user it is named here.
#pragma once

#include <string>
#include <vector>

#include "robinseam/balancer.hpp"

namespace arrowfork::emu {

struct NamedRules {
  const char* name;
  const char* source;
  robinseam::limits::LimitFactory maker;  ///< empty: the windows
};

/// Windows first.
const std::vector<NamedRules>& all_rules();
/// Throws std::invalid_argument on an unknown name.
const NamedRules& rules_of(const std::string& name);

}  // namespace arrowfork::emu
