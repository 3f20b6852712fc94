#include "recovery/discovery_backoff.hpp"

#include <algorithm>

namespace robinseam::recovery {
namespace {

constexpr double kMilli = 1000;
// What a call is presumed to take discovery, so that N routers that restart together call within N
// of them. On the users' bench discovery takes 2 to 8 s for one call of every instance (300
// routers: 7 to 27 ms each); a call that is too early is refused and repeated after a pause.
constexpr double kCallTime = 10 * kMilli;
// With a list at hand the first call may wait for this share of the time that the rules allow, up
// to a maximum: the router must act on changes from 6 s after discovery could be reached, and an
// answer and one more call have to fit in after the wait. The same maximum holds for pauses after
// failures.
constexpr double kSpreadShare = 0.4;
constexpr double kMaxDelayWithList = 4000 * kMilli;
// And no longer than this many times the tier's calls take: the list that a process starts with may
// be old, and the router must act on drains since then from its first moment.
constexpr double kSpreadWithList = 2;
// Mean pauses after failures double, from this value on; with nothing to route to they are shorter.
// Drawn from 0 to twice the mean (full jitter: Brooker, AWS Architecture Blog, 2015), since routers
// that failed together would otherwise call together again.
constexpr double kBasePause = 1000 * kMilli, kBasePauseNoList = 100 * kMilli;
constexpr int kMaxDoublings = 3;
constexpr double kMaxPauseShare = 0.8;  // of ask_within, after which a call is due anyway
constexpr double kMaxMeanPauseNoList = 500 * kMilli;
// Discovery answers, or fails what it cannot do in time, within 2 s (its time-out on the bench). A
// call silent for longer will not be answered; before that, a second call would only lengthen
// discovery's queue.
constexpr double kAnswerWithin = 2500 * kMilli;
// From then on it is called this often until it answers.
constexpr double kSilentCallInterval = 400 * kMilli;

}  // namespace

/// The time that discovery is presumed to need for one call of every router.
double DiscoveryBackoff::tier_call_time() const { return kCallTime * std::max(1, routers_); }

Micros DiscoveryBackoff::first_delay(double chance) const {
  double spread = std::min(kSpreadShare * static_cast<double>(ask_within_), kMaxDelayWithList);
  spread = std::min(spread, usable_ ? kSpreadWithList * tier_call_time() : tier_call_time());
  return static_cast<Micros>(chance * spread);
}

Micros DiscoveryBackoff::silent_call_delay(double chance) {
  if (usable_) return ask_within_;
  double span = silent_calls_++ == 0
                    ? std::max(kAnswerWithin, tier_call_time())
                    : std::max(kSilentCallInterval, tier_call_time()) * (0.5 + 0.5 * chance);
  return static_cast<Micros>(std::min(span, static_cast<double>(ask_within_)));
}

Micros DiscoveryBackoff::delay_after_failure(double chance) {
  double mean = (usable_ ? kBasePause : std::max(kBasePauseNoList, tier_call_time() / 2)) *
                static_cast<double>(1 << std::min(failures_, kMaxDoublings));
  if (!usable_) mean = std::min(mean, std::max(kMaxMeanPauseNoList, 2 * tier_call_time()));
  ++failures_;
  silent_calls_ = 0;
  double longest = kMaxPauseShare * static_cast<double>(ask_within_);
  if (usable_) longest = std::min(longest, kMaxDelayWithList);
  return static_cast<Micros>(std::min(2 * chance * mean, longest));
}

Micros DiscoveryBackoff::list_wait(Micros span, double chance) const {
  // Spread beyond it, so that clients refused together do not return together.
  return static_cast<Micros>((static_cast<double>(std::max<Micros>(0, span)) + tier_call_time()) *
                             (1 + 0.5 * chance));
}

bool DiscoveryBackoff::record_unreachable(int server) {
  if (confirmed_ || unreachable_server_ < 0 || unreachable_server_ == server) {
    if (unreachable_server_ < 0) unreachable_server_ = server;
    return false;
  }
  return confirmed_ = true;
}

}  // namespace robinseam::recovery
