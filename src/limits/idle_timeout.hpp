// How long a connection to a server may stand idle, where routers that share nothing share what a
// server can hold.
//
// A server's table is a cache of routers: each connection that is kept spares a handshake, and each
// holds a place that another router then lacks. Kept for a time T after its use, a connection of a
// router that comes to the server `r` times a second is there with chance 1 - exp(-r T); over the
// tier that is the table's filling. Held at a fixed room, it is the table of a least-recently-used
// cache, and T its characteristic time (Che, Tung and Wang, Hierarchical Web caching systems, IEEE
// JSAC 20 (2002), equation 4), which is nearly the same for every router. With all of N routers
// alike, N (1 - exp(-R T / N)) = room, where R is what the tier brings to the server. What differs
// between routers can only lower the filling (1 - exp is concave), and R T bounds it whatever they
// do (Little's law).
//
// R is not seen by one router and follows from the tenants' quotas; the room is told nowhere and is
// presumed. Where that is wrong, dials tell: each refused dial halves T and each good one adds a
// thousandth of the whole. Counted by dials, this comes to rest at the same T for routers that dial
// often and seldom, since all see the same part refused (additive increase and multiplicative
// decrease: Chiu and Jain, Computer Networks 17 (1989)). Time alone brings the whole back too, for
// routers that hardly dial.
#pragma once

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

/// Connections that a server is presumed to hold at least, for all routers together.
constexpr double kPresumedServerConnections = 60;

class IdleTimeout {
 public:
  /// `routers` share the servers; `most`: the longest time that is ever useful.
  IdleTimeout(int routers, Micros most) : routers_(routers), most_(most) {}

  /// A dial has been answered: refused for want of room, or not. Other failures say nothing.
  void record_dial(Micros now, bool refused);
  /// How long a connection may stand idle now at a server that gets `rate` attempts a second from
  /// the whole tier (0: not known).
  Micros timeout(Micros now, double rate) const;
  /// The part of the time by the settings that dials leave, 0 to 1.
  double share(Micros now) const;

 private:
  int routers_;
  Micros most_;
  double part_ = 1;
  Micros at_ = 0;
};

}  // namespace robinseam::limits
