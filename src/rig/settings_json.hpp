// The module's settings in the form that a router's configuration has them.
#pragma once

#include <string>

#include "robinseam/balancer.hpp"

namespace arrowfork::rig {

/// The object `settings` as JSON, for a tier of so many routers.
std::string settings_to_json(const robinseam::Settings& settings, int routers);

}  // namespace arrowfork::rig
