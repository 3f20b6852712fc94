#include "recovery/recovery.hpp"

#include <algorithm>

namespace robinseam::recovery {
namespace {

constexpr double kPresumedAlone = 2;  // routers whose beginnings a tier bears at once
// Service counts as full where so much of the last one to two spans was served. Judged by at least
// so many requests, and without them by time alone: a router that nobody asks is not kept back.
constexpr double kServed = 0.98;
constexpr Micros kSpan = 1'000'000;
constexpr int kLeastSeen = 5;
// And this long after its list came the router takes itself for back whatever it serves: what is
// refused from then on is load, not a return.
constexpr Micros kLetsGo = 10'000'000;

}  // namespace

const char* name_of(Phase phase) {
  switch (phase) {
    case Phase::Starting:
      return "starting";
    case Phase::Listing:
      return "listing";
    case Phase::Returning:
      return "returning";
    case Phase::Full:
      return "full";
  }
  return "";
}

double initial_budget_share(int routers) {
  return std::min(1.0, kPresumedAlone / std::max(1, routers));
}

void Recovery::enter(Micros now, Phase phase, const char* why) {
  if (phase != phase_) since_ = now;
  phase_ = phase, why_ = why;
}

void Recovery::record_initial_list(Micros now, bool usable) {
  usable_ = usable;
  if (usable)
    enter(now, Phase::Returning, "the list it was handed is not confirmed");
  else
    enter(now, Phase::Listing, "it was handed no usable list");
}

void Recovery::record_list(Micros now, bool usable) {
  bool first = told_at_ < 0 || (usable && !usable_);
  told_at_ = now, usable_ = usable, failing_ = false;
  if (!usable) return enter(now, Phase::Listing, "discovery names no usable server");
  if (phase_ == Phase::Full) return;
  enter(now, Phase::Returning, "service is not yet as it should be");
  if (first) {
    since_ = now;
    spans_ = {};
  }
  // Nobody came back with it: nothing has to be let go of.
  if (routers_ <= static_cast<int>(kPresumedAlone)) enter(now, Phase::Full, "its list is of now");
  look(now);
}

void Recovery::record_call_failure(Micros now) {
  failing_ = true;
  if (phase_ == Phase::Listing) why_ = "discovery does not answer";
  if (phase_ == Phase::Returning && told_at_ < 0) why_ = "discovery has not confirmed its list";
  look(now);
}

void Recovery::record_requests(Micros now, int served, int unserved) {
  if (now - spans_[0].begun >= kSpan) {
    spans_[1] = spans_[0];
    spans_[0] = {now, 0, 0};
  }
  spans_[0].served += served, spans_[0].unserved += unserved;
  look(now);
}

void Recovery::record_pause(Micros now) {
  if (phase_ == Phase::Full) enter(now, Phase::Returning, "the process stood still");
  spans_ = {};
  since_ = now;
}

bool Recovery::serves(Micros now) const {
  int served = 0, all = 0;
  for (const Span& s : spans_) {
    if (now - s.begun > 2 * kSpan) continue;
    served += s.served, all += s.served + s.unserved;
  }
  return all >= kLeastSeen && served >= kServed * all;
}

void Recovery::look(Micros now) {
  if (phase_ != Phase::Returning || told_at_ < 0) return;
  // Two whole spans of good service, or the time is up.
  if (now - since_ >= 2 * kSpan && serves(now))
    enter(now, Phase::Full, "it serves as it should");
  else if (now - since_ >= kLetsGo)
    enter(now, Phase::Full, "long enough after its list came");
}

Recovery::View Recovery::view(Micros now) {
  look(now);
  View v;
  v.phase = phase_, v.reason = why_, v.since = since_;
  v.list_age = told_at_ < 0 ? -1 : now - told_at_;
  v.list_stale = told_at_ < 0 || v.list_age > fresh_for_ || failing_;
  return v;
}

}  // namespace robinseam::recovery
