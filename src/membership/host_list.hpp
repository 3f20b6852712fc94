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
  bool full = false;
  std::vector<Host> hosts;
  std::string entry_error =
      {};  ///< what is wrong with an entry that had to be left out; empty: none was
};

}  // namespace arrowfork
