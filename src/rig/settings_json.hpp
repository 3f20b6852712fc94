// Serializes the balancer's settings for a router's configuration file.
#pragma once

#include <string>

#include "robinseam/balancer.hpp"

namespace arrowfork::rig {

/// The configuration object `settings` as JSON, for a tier of `routers` routers.
std::string settings_to_json(const robinseam::Settings& settings, int routers);

}  // namespace arrowfork::rig
