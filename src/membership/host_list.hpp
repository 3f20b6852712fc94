// Cache servers as a source of membership lists them.
#pragma once

#include <string>
#include <vector>

#include "robinseam/balancer.hpp"

namespace arrowfork {

/// One cache server as discovery lists it.
struct Host {
  robinseam::Server server;
  std::string dial;
};

struct HostList {
  std::string version;
  bool whole = false;
  std::vector<Host> hosts;
};

}  // namespace arrowfork
