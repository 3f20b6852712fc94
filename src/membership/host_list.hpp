// The list of cache servers that discovery reports.
#pragma once

#include <string>
#include <vector>

#include "robinseam/balancer.hpp"

namespace arrowfork {

/// One cache server in the list.
struct Host {
  robinseam::Server server;
  std::string dial;  ///< address to connect to
};

struct HostList {
  std::string version;
  bool full = false;  ///< false: only the entries that changed
  std::vector<Host> hosts;
  std::string entry_error = {};  ///< why an invalid entry was left out; empty if none was
};

}  // namespace arrowfork
