#include "recovery/discovery_backoff.hpp"

#include <algorithm>

namespace robinseam::recovery {
namespace {

constexpr double kMilli = 1000;
// What a call is presumed to take discovery, so that N routers that come back together ask within N
// of them. The users' bench has discovery take one call of every instance in 2 to 8 s (300 routers:
// 7 to 27 ms each); what is too early is turned away and comes again after a pause.
constexpr double kCall = 10 * kMilli;
// With a list in hand the first call may wait for this part of the time that the rules allow, and
// so long at most: what has changed counts as told 6 s after discovery could be reached, and an
// answer and one more try have to fit in behind. The same for pauses after failures.
constexpr double kSpread = 0.4;
constexpr double kMostHeld = 4000 * kMilli;
// And not longer than the tier's calls need, as often: the list that a process starts with may be
// from long before, and drains since then count as told from its first moment.
constexpr double kHeldSpread = 2;
// Pauses after failures double, from and to; with nothing to route to both are shorter. Drawn in
// full from 0 to twice their mean (full jitter: Brooker, AWS Architecture Blog, 2015), since
// routers that failed together would else call together again.
constexpr double kBase = 1000 * kMilli, kBaseNone = 100 * kMilli;
constexpr int kDoublings = 3;
constexpr double kMost = 0.8;               // of ask_within: then a call is due anyway
constexpr double kMostNone = 500 * kMilli;  // mean
// Discovery answers, or fails what it can't do in time, within 2 s (its time-out on the bench): of
// what takes longer nothing will be heard. Before that a second call would only lengthen its queue.
constexpr double kHeardWithin = 2500 * kMilli;
// From then on it is asked this often for a sign of life.
constexpr double kSign = 400 * kMilli;

}  // namespace

/// The time in which discovery is presumed to take a call of every router.
double DiscoveryBackoff::tier_calls() const { return kCall * std::max(1, routers_); }

Micros DiscoveryBackoff::first_delay(double chance) const {
  double spread = std::min(kSpread * static_cast<double>(ask_within_), kMostHeld);
  spread = std::min(spread, usable_ ? kHeldSpread * tier_calls() : tier_calls());
  return static_cast<Micros>(chance * spread);
}

Micros DiscoveryBackoff::silent_call_delay(double chance) {
  if (usable_) return ask_within_;
  double span = silent_++ == 0 ? std::max(kHeardWithin, tier_calls())
                               : std::max(kSign, tier_calls()) * (0.5 + 0.5 * chance);
  return static_cast<Micros>(std::min(span, static_cast<double>(ask_within_)));
}

Micros DiscoveryBackoff::delay_after_failure(double chance) {
  double mean = (usable_ ? kBase : std::max(kBaseNone, tier_calls() / 2)) *
                static_cast<double>(1 << std::min(failures_, kDoublings));
  if (!usable_) mean = std::min(mean, std::max(kMostNone, 2 * tier_calls()));
  ++failures_;
  silent_ = 0;
  double most = kMost * static_cast<double>(ask_within_);
  if (usable_) most = std::min(most, kMostHeld);
  return static_cast<Micros>(std::min(2 * chance * mean, most));
}

Micros DiscoveryBackoff::list_wait(Micros span, double chance) const {
  // Spread past it, so that those who were refused together don't come together.
  return static_cast<Micros>((static_cast<double>(std::max<Micros>(0, span)) + tier_calls()) *
                             (1 + 0.5 * chance));
}

bool DiscoveryBackoff::record_unreachable(int server) {
  if (confirmed_ || doubted_ < 0 || doubted_ == server) {
    if (doubted_ < 0) doubted_ = server;
    return false;
  }
  return confirmed_ = true;
}

}  // namespace robinseam::recovery
