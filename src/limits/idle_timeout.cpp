#include "idle_timeout.hpp"

#include <algorithm>
#include <cmath>

namespace robinseam::limits {
namespace {

// Share of a server's connections that may be idle: the rest is for those in use and for
// simultaneous dials.
constexpr double kIdleShareOfServer = 0.75;
// Factor that a refused dial applies to the share.
constexpr double kRefusedDialFactor = 0.5;
// What a good dial adds to the share, and the time in which it is restored without any dial. Where
// servers hold half of what is presumed, these leave one dial in a hundred refused; faster, it was
// one in ten. A time that is too short for a while costs little: with many routers most attempts
// need a dial anyway.
constexpr double kGoodDialStep = 0.001;
constexpr Micros kRestoreTime = 60'000'000;
constexpr double kMinShare = 0.01;  // some milliseconds: closed after use

}  // namespace

double IdleTimeout::share(Micros now) const {
  double restored = static_cast<double>(std::max<Micros>(0, now - updated_at_)) /
                    static_cast<double>(kRestoreTime);
  return std::min(1.0, share_ + restored);
}

void IdleTimeout::record_dial(Micros now, bool refused) {
  share_ = share(now);
  updated_at_ = std::max(updated_at_, now);
  share_ = refused ? std::max(kMinShare, share_ * kRefusedDialFactor)
                   : std::min(1.0, share_ + kGoodDialStep);
}

Micros IdleTimeout::timeout(Micros now, double rate) const {
  double timeout = static_cast<double>(longest_);
  double idle_slots = kIdleShareOfServer * kPresumedServerConnections, n = routers_;
  if (rate > 0 && n > idle_slots)
    timeout = std::min(timeout, -n * std::log(1 - idle_slots / n) / rate * 1e6);
  return static_cast<Micros>(timeout * share(now));
}

}  // namespace robinseam::limits
