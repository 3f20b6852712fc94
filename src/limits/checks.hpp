// Whether settings can be used at all.
#pragma once

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

/// Throws std::invalid_argument that names the first setting that can't be used.
void check_settings(const Settings& settings);

}  // namespace robinseam::limits
