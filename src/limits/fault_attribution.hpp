// Attributes lost fetches to the origin or to the servers where they were lost.
#pragma once

#include <cstddef>
#include <vector>

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

/// The origin is behind every server, so its losses show at most of them, while losses in one
/// server's queue or cores show there alone. Compares the share of recent fetches lost at each
/// server with the share at the lower third of the servers. Keeps an entry for each server index,
/// so it is bounded by the number of servers.
class FaultAttribution {
 public:
  /// A fetch has ended at the server, lost or not.
  void record_fetch(Micros now, std::size_t server, bool lost);
  /// The share of a loss at the server that is attributed to the origin, 0 to 1. 1 where too few
  /// servers are known to tell.
  double origin_share(Micros now, std::size_t server) const;
  /// The index has been reassigned to another server.
  void forget_server(std::size_t server);

 private:
  struct RecentFetches {
    double lost = 0, count = 0;  // both decay exponentially with time
    Micros updated_at = 0;
  };
  RecentFetches decayed(Micros now, std::size_t server) const;
  std::vector<RecentFetches> recent_;
};

}  // namespace robinseam::limits
