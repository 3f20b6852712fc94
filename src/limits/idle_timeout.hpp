// How long a connection to a server may stay idle, where routers that do not communicate share the
// connections that a server can hold.
//
// A server's connection table is a cache of routers: each connection that is kept saves a
// handshake, and takes a place that another router then lacks. Kept for a time T after its use, a
// connection of a router that sends to the server `r` times a second is there with probability
// 1 - exp(-r T); the sum over the tier is the occupancy of the table. At a fixed capacity it is the
// table of a least-recently-used cache, and T its characteristic time (Che, Tung and Wang,
// Hierarchical Web caching systems, IEEE JSAC 20 (2002), equation 4), which is nearly the same for
// every router. With all of N routers alike, N (1 - exp(-R T / N)) = capacity, where R is the
// tier's rate at the server. Differences between routers can only lower the occupancy (1 - exp is
// concave), and R T bounds it whatever they do (Little's law).
//
// One router cannot observe R and derives it from the tenants' quotas; the capacity is not
// announced and is presumed. Where that is wrong, dials correct it: each refused dial halves T and
// each good one adds a thousandth of the full time. Counted by dials, this settles at the same T
// for routers that dial often and seldom, since all see the same share refused (additive increase
// and multiplicative decrease: Chiu and Jain, Computer Networks 17 (1989)). Time alone also
// restores the full time, for routers that hardly dial.
#pragma once

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

/// Connections that a server is presumed to hold at least, over all routers.
constexpr double kPresumedServerConnections = 60;

class IdleTimeout {
 public:
  /// `routers` share the servers; `longest`: the longest time that is ever useful.
  IdleTimeout(int routers, Micros longest) : routers_(routers), longest_(longest) {}

  /// A dial has been answered: refused because the server has no free connection, or accepted.
  /// Other failures are not recorded.
  void record_dial(Micros now, bool refused);
  /// How long a connection may stay idle now at a server that gets `rate` attempts a second from
  /// the whole tier (0: not known).
  Micros timeout(Micros now, double rate) const;
  /// The share of the time derived from the settings that refused dials leave, 0 to 1.
  double share(Micros now) const;

 private:
  int routers_;
  Micros longest_;
  double share_ = 1;
  Micros updated_at_ = 0;
};

}  // namespace robinseam::limits
