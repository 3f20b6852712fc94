#include "recovery/recovery.hpp"

#include <algorithm>

namespace robinseam::recovery {
namespace {

constexpr double kHarmlessRestarts = 2;  // routers whose full start budgets a tier can bear at once
// Service counts as full where this share of the last one to two spans was served. Judged by at
// least so many requests, and with fewer by time alone, so that a router without clients also gets
// to full service.
constexpr double kServedShare = 0.98;
constexpr Micros kSpan = 1'000'000;
constexpr int kMinRequests = 5;
// So long after its list came the router counts as recovered whatever it serves: refusals from then
// on are due to load, not to the restart.
constexpr Micros kMaxReturnTime = 10'000'000;

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
  return std::min(1.0, kHarmlessRestarts / std::max(1, routers));
}

void Recovery::enter(Micros now, Phase phase, const char* reason) {
  if (phase != phase_) since_ = now;
  phase_ = phase, reason_ = reason;
}

void Recovery::record_initial_list(Micros now, bool usable) {
  usable_ = usable;
  if (usable)
    enter(now, Phase::Returning, "the list it was handed is not confirmed");
  else
    enter(now, Phase::Listing, "it was handed no usable list");
}

void Recovery::record_list(Micros now, bool usable) {
  bool first = list_confirmed_at_ < 0 || (usable && !usable_);
  list_confirmed_at_ = now, usable_ = usable, calls_failing_ = false;
  if (!usable) return enter(now, Phase::Listing, "discovery names no usable server");
  if (phase_ == Phase::Full) return;
  enter(now, Phase::Returning, "service is not yet as it should be");
  if (first) {
    since_ = now;
    spans_ = {};
  }
  // No more than the harmless number of routers can have restarted: no need to wait.
  if (routers_ <= static_cast<int>(kHarmlessRestarts))
    enter(now, Phase::Full, "its list is of now");
  update_phase(now);
}

void Recovery::record_call_failure(Micros now) {
  calls_failing_ = true;
  if (phase_ == Phase::Listing) reason_ = "discovery does not answer";
  if (phase_ == Phase::Returning && list_confirmed_at_ < 0)
    reason_ = "discovery has not confirmed its list";
  update_phase(now);
}

void Recovery::record_requests(Micros now, int served, int unserved) {
  if (now - spans_[0].started_at >= kSpan) {
    spans_[1] = spans_[0];
    spans_[0] = {now, 0, 0};
  }
  spans_[0].served += served, spans_[0].unserved += unserved;
  update_phase(now);
}

void Recovery::record_pause(Micros now) {
  if (phase_ == Phase::Full) enter(now, Phase::Returning, "the process stood still");
  spans_ = {};
  since_ = now;
}

bool Recovery::serves_well(Micros now) const {
  int served = 0, all = 0;
  for (const Span& s : spans_) {
    if (now - s.started_at > 2 * kSpan) continue;
    served += s.served, all += s.served + s.unserved;
  }
  return all >= kMinRequests && served >= kServedShare * all;
}

void Recovery::update_phase(Micros now) {
  if (phase_ != Phase::Returning || list_confirmed_at_ < 0) return;
  // Two full spans of good service, or the time is up.
  if (now - since_ >= 2 * kSpan && serves_well(now))
    enter(now, Phase::Full, "it serves as it should");
  else if (now - since_ >= kMaxReturnTime)
    enter(now, Phase::Full, "long enough after its list came");
}

Recovery::View Recovery::view(Micros now) {
  update_phase(now);
  View v;
  v.phase = phase_, v.reason = reason_, v.since = since_;
  v.list_age = list_confirmed_at_ < 0 ? -1 : now - list_confirmed_at_;
  v.list_stale = list_confirmed_at_ < 0 || v.list_age > fresh_for_ || calls_failing_;
  return v;
}

}  // namespace robinseam::recovery
