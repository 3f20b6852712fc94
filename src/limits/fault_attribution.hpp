// Whether lost fetches are the origin's doing or that of the servers they were lost at.
#pragma once

#include <cstddef>
#include <vector>

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

/// The origin is behind every server, so what it loses is lost at most of them; what one server's
/// queue or cores lose is lost there alone. Compares each server's part of fetches lost lately with
/// the median over servers. Kept for each server index: bounded by the servers there are.
class FaultAttribution {
 public:
  /// A fetch has ended at the server, lost or not.
  void record_fetch(Micros now, std::size_t server, bool lost);
  /// The part of a loss at the server that is the origin's, 0 to 1. 1 where too few servers are
  /// known to tell.
  double origin_share(Micros now, std::size_t server) const;
  /// Another server has taken the index.
  void forget_server(std::size_t server);

 private:
  struct Seen {
    double lost = 0, count = 0;  // of fetches lately, both halved with time
    Micros at = 0;
  };
  Seen lately(Micros now, std::size_t server) const;
  std::vector<Seen> seen_;
};

}  // namespace robinseam::limits
