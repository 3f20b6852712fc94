#include "idle_timeout.hpp"

#include <algorithm>
#include <cmath>

namespace robinseam::limits {
namespace {

// The part of the room for connections that stand idle: the rest is for those in use and for what
// is dialled at once.
constexpr double kIdleRoom = 0.75;
constexpr double kRefusedLeaves = 0.5;  // of the part, a refused dial
// To it, a good one, and the time in which it comes back without any. Where servers hold half of
// what is presumed these leave one dial in a hundred refused; faster, it was one in ten. A time
// that is too short for a while costs little: with many routers most attempts need a dial anyway.
constexpr double kGoodAdds = 0.001;
constexpr Micros kBack = 60'000'000;
constexpr double kLeastPart = 0.01;  // some milliseconds: closed after use

}  // namespace

double IdleTimeout::share(Micros now) const {
  double since = static_cast<double>(std::max<Micros>(0, now - at_)) / static_cast<double>(kBack);
  return std::min(1.0, part_ + since);
}

void IdleTimeout::record_dial(Micros now, bool refused) {
  part_ = share(now);
  at_ = std::max(at_, now);
  part_ = refused ? std::max(kLeastPart, part_ * kRefusedLeaves) : std::min(1.0, part_ + kGoodAdds);
}

Micros IdleTimeout::timeout(Micros now, double rate) const {
  double most = static_cast<double>(most_);
  double room = kIdleRoom * kPresumedServerConnections, n = routers_;
  if (rate > 0 && n > room) most = std::min(most, -n * std::log(1 - room / n) / rate * 1e6);
  return static_cast<Micros>(most * share(now));
}

}  // namespace robinseam::limits
