// Validation of the settings.
#pragma once

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

/// Throws std::invalid_argument naming the first setting that cannot be used.
void check_settings(const Settings& settings);

}  // namespace robinseam::limits
