// Slow start: limits what one router sends to a server that has just started. Tokens in units of a
// mean request arrive at a rate that follows how warm the server is. Times, rates and a seed are
// passed in; it draws from a seed of its own, so that its calls do not shift other decisions'
// draws.
//
// The routers do not coordinate, but together have to stay within the server's budget, and one
// router's share may be a small fraction of a request in the time window that the settings give. So
// tokens arrive whole, at random times (a Poisson process, whose sum over the routers is one too),
// and expire some time later: when a hot key or a failover reaches all routers at once, few of them
// have a token, while a router that knows only such servers still gets its share.
#pragma once

#include <cstdint>

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

class SlowStart {
 public:
  /// The server has just started or has just been listed. `chance` is uniform from 0 to 1.
  void reset(Micros now, double chance) {
    tokens_ = 0, updated_at_ = last_token_at_ = now;
    seed_ = static_cast<std::uint64_t>(chance * 9007199254740992.0);
  }
  /// Whether a request of that cost may be sent. `rate`: this router's mean requests a second;
  /// `window`: the time of overload after which a cold server fails.
  bool admits(Micros now, double rate, Micros window, double cost);
  void record_send(double cost) { tokens_ = tokens_ > cost ? tokens_ - cost : 0; }

 private:
  double tokens_ = 0;
  std::uint64_t seed_ = 0;
  Micros updated_at_ = 0, last_token_at_ = 0;
};

}  // namespace robinseam::limits
