// A router's part of what a server that has just started may be sent (slow start): tokens in units
// of a mean request, at a rate that follows the server's warmth. Pure: times, rates and chances
// come in, chances from a seed of its own, so that asking moves no other decision's draws.
//
// All routers' parts have to stay within the server's budget together, without their agreeing, and
// one part may be a small fraction of a request in the time that the settings watch. So tokens come
// whole, at random times (a Poisson process, whose sum over the routers is one again), and are void
// some time later: a hot key or a failover that reaches all routers at once finds few of them with
// a token in hand, and a router that has only such servers still gets its share.
#pragma once

#include <cstdint>

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

class SlowStart {
 public:
  /// The server has just started, or has been heard of. `chance` is uniform from 0 to 1.
  void reset(Micros now, double chance) {
    tokens_ = 0, at_ = fresh_ = now;
    seed_ = static_cast<std::uint64_t>(chance * 9007199254740992.0);
  }
  /// Whether a request of that cost may go. `rate`: mean requests a second that are this router's;
  /// `window`: the time in which a server falls.
  bool admits(Micros now, double rate, Micros window, double cost);
  void record_send(double cost) { tokens_ = tokens_ > cost ? tokens_ - cost : 0; }

 private:
  double tokens_ = 0;
  std::uint64_t seed_ = 0;
  Micros at_ = 0, fresh_ = 0;  // looked at, and the last one came
};

}  // namespace robinseam::limits
