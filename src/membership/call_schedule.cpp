#include "membership/call_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace robinseam::membership {
namespace {

constexpr Micros kMilli = 1000, kSecond = 1000 * kMilli;

// The router counts as notified of a change this long after discovery had it and could be reached,
// whatever happened to calls. What a silent call misses counts kNotifiedAfter after it fell silent,
// but not before kNotifiedAfterWait past the end of its wait.
constexpr Micros kNotifiedAfter = 6 * kSecond, kNotifiedAfterWait = 2 * kSecond;
// The router counts as notified of what an answer held that broke off this long after it.
constexpr Micros kNotifiedAfterMalformed = 2 * kSecond;
// A watch's wait is drawn again each time, so that watches that start together end over 8 s: the
// time in which the slowest site's discovery handles one call of every router.
constexpr Micros kMinWait = 20 * kSecond;
// This long before the end of a watch (drawn at random) a poll beside it asks whether it missed
// anything, and the next watch starts with the answer. A watch that falls silent before that is
// noticed 6 to 12 s before the deadline; the watch that could fall silent after it is gone. This
// costs two calls in some 17 s, where waiting for the end needs one in 20 s but leaves only 1 s.
constexpr Micros kMinCheckLead = 4500 * kMilli, kMaxCheckLead = 10 * kSecond;
// Where discovery has no capacity for that, waits grow after refused calls and after answers slower
// than kSlowAnswer. Twice the wait is 56 s, below the 60 s that discovery accepts.
constexpr double kMaxWaitFactor = 2, kWaitGrowthRefused = 1.5, kWaitGrowthSlow = 1.25,
                 kWaitShrink = 0.8;
constexpr Micros kSlowAnswer = 500 * kMilli;
// An agent on the router's own machine: calls cost nothing, and what the agent has counts at once.
// It may fall silent right after a call, so a watch there lasts no longer than the grace allows.
constexpr Micros kMinAgentWait = 100 * kMilli, kMaxAgentWait = 2 * kSecond;
// Discovery answers, or fails a call it can't handle in time, within 2 s: a call that takes longer
// gets no answer, and a second call before that only lengthens discovery's queue.
constexpr Micros kPollTimeout = 2500 * kMilli;
// Timeout while calls wait in a longer queue at discovery: a queued call is not replaced by a
// second one, which may end the wait of the first and find the queue full (incident of 2026-12-02).
constexpr Micros kQueuedPollTimeout = 4 * kSecond;
// A call that follows an answer within kSameWatchGap continues its watch: the router counts as
// notified at once of whatever changed since that answer. A later call is a new watch, and changes
// in the gap do not count at once. Changes come in groups, so a new watch follows a change; after
// an answer without changes the watch continues.
constexpr Micros kSameWatchGap = 200 * kMilli, kSameWatchMargin = 60 * kMilli;
// If a new watch is silent from the start, changes in the gap count 6 s later. So the first watch
// is short and a poll checks it before that.
constexpr Micros kFirstWatchWait = 2 * kSecond, kFirstWatchSlack = 1500 * kMilli;
// A call that was refused after it had waited found the queue longer than discovery's time limit.
// A queue of calls that will all be refused gets no shorter while they return faster than they are
// worked off, so pauses double whatever deadline is near: hurried calls would keep the whole tier
// from its answers.
constexpr Micros kQueuePause = kSecond;
constexpr int kMaxQueueDoublings = 2;
constexpr double kRoutersThatQueue = 4;  // with fewer routers the load is not this tier's
// What an agent has counts at once, so it is called this many times within the grace, less the time
// for which a router may be delayed. The oldest call is not replaced before its timeout, so that a
// slow agent can still answer.
constexpr Micros kMaxRouterDelay = 150 * kMilli;
constexpr Micros kMinAgentPeriod = 20 * kMilli, kMaxAgentPeriod = 250 * kMilli;
constexpr int kAgentCallsInGrace = 3;
constexpr Micros kAgentTimeout = kSecond;
// Time between checks while calls are known to be silent.
constexpr Micros kCheckPeriod = 400 * kMilli;
// Presumed duration of an answer: the last try before a deadline starts this much earlier.
constexpr Micros kAnswerTime = 600 * kMilli;
// A pause takes a part of the time left until the deadline, so that three more tries fit in.
// The minimum keeps a tier whose deadlines pass together, while discovery is down, from flooding
// it.
constexpr Micros kMinPause = kCheckPeriod, kAgentPause = 50 * kMilli;
constexpr int kMaxPauseDoublings = 3;  // while no deadline is near
// The calls of a small tier are no load even for a discovery that is down.
constexpr Micros kMaxPauseSmallTier = 2 * kCheckPeriod;
constexpr double kMaxPauseTierFactor = 4;  // times the time for one call of every router
// After a rejected answer the full list is requested within this part of the time for one call of
// every router: the router counts as notified of the answer's content when it was written.
constexpr double kUnusableRetrySpread = 0.25;
constexpr Micros kMinUnusableRetryPause = 10 * kMilli;
constexpr int kMaxQuickRetries = 3;  // in a row; then discovery has nothing better
// However long calls have failed: whenever discovery is back, one call that is still refused and
// one that is answered fit into kNotifiedAfter. Where one call of every router takes discovery
// longer than that, no pause can help (the calculation is in docs/design/membership.md).
constexpr Micros kMaxPause = (kNotifiedAfter - kAnswerTime) / 2;
constexpr double kCallTime =
    10 * kMilli;  // of one call at discovery; see recovery/discovery_backoff
// A watch that ends early without a change is not repeated at once, so that a discovery that always
// answers at once is not called without pause. Below kSameWatchGap, so that it is the same
// watch.
constexpr Micros kRenewPause = 80 * kMilli;

/// When a change that the call misses by falling silent must be known.
Micros deadline_of(Micros started, Micros wait) {
  return started + std::max(kNotifiedAfter, wait + kNotifiedAfterWait);
}

double between(double from, double to, double chance) { return from + (to - from) * chance; }

}  // namespace

const char* name_of(CallFailure failure) {
  switch (failure) {
    case CallFailure::Refused:
      return "refused";
    case CallFailure::Malformed:
      return "spoilt";
    case CallFailure::Unusable:
      return "unusable";
    case CallFailure::TimedOut:
      return "timed_out";
  }
  return "";
}

const char* name_of(DeadlineReason reason) {
  switch (reason) {
    case DeadlineReason::None:
      return "none";
    case DeadlineReason::InheritedList:
      return "held_list";
    case DeadlineReason::SilentCall:
      return "silent_call";
    case DeadlineReason::FailedCall:
      return "failed_call";
    case DeadlineReason::RejectedAnswer:
      return "spoilt_answer";
    case DeadlineReason::AddressChanged:
      return "moved";
  }
  return "";
}

double CallSchedule::tier_call_time() const { return kCallTime * std::max(1, routers_); }

void CallSchedule::scale_waits(double by) {
  wait_factor_ = std::clamp(wait_factor_ * by, 1.0, kMaxWaitFactor);
}

void CallSchedule::add_deadline(Micros deadline, DeadlineReason reason) {
  if (deadline_ != kNever && deadline_ <= deadline) return;
  deadline_ = deadline;
  deadline_reason_ = reason;
}

void CallSchedule::clear_deadlines() {
  deadline_ = address_deadline_ = kNever;
  deadline_reason_ = DeadlineReason::None;
}

void CallSchedule::add_deadlines_of_calls() {
  for (const SlotCall& one : calls_)
    if (one.in_flight) add_deadline(deadline_of(one.started, one.wait), DeadlineReason::SilentCall);
}

Micros CallSchedule::urgent_deadline(Micros now) const {
  if (!overdue(now)) return deadline_;
  return now < address_deadline_ ? address_deadline_ : kNever;
}

Micros CallSchedule::agent_period() const {
  return std::clamp((grace_ - kMaxRouterDelay) / kAgentCallsInGrace, kMinAgentPeriod,
                    kMaxAgentPeriod);
}

Micros CallSchedule::agent_wait() const {
  return std::clamp(grace_ - kMaxRouterDelay - agent_period(), kMinAgentWait, kMaxAgentWait);
}

/// A slot without a call in flight; if all have one, that of the oldest call, or of the second
/// oldest while the oldest is an agent's and may still be answered.
std::size_t CallSchedule::free_slot(Micros now) const {
  std::array<std::size_t, kSlots> by_age{};
  for (std::size_t k = 0; k < calls_.size(); ++k) {
    if (!calls_[k].in_flight) return k;
    by_age[k] = k;
  }
  std::sort(by_age.begin(), by_age.end(),
            [this](std::size_t a, std::size_t b) { return calls_[a].started < calls_[b].started; });
  const SlotCall& oldest = calls_[by_age[0]];
  bool may_answer = pushed_ && now - oldest.started - oldest.wait < kAgentTimeout;
  return by_age[may_answer ? 1 : 0];
}

Micros CallSchedule::wait_of(Kind kind, double chance) const {
  if (kind == Kind::Poll) return 0;
  if (pushed_) return agent_wait();
  if (kind == Kind::FirstWatch) return kFirstWatchWait;
  double longest = static_cast<double>(kMaxWait) / kMaxWaitFactor;
  return static_cast<Micros>(wait_factor_ * between(kMinWait, longest, chance));
}

Micros CallSchedule::watch_timeout(Micros wait, double chance) const {
  if (pushed_) return wait + agent_period();
  if (wait == kFirstWatchWait) return wait + kFirstWatchSlack;
  // From the lower digits of the same random number, so that the lead does not depend on the wait.
  double lower_digits = chance * 64 - std::floor(chance * 64);
  return wait - static_cast<Micros>(between(kMinCheckLead, kMaxCheckLead, lower_digits));
}

Micros CallSchedule::poll_timeout(Micros now, std::size_t slot, double chance) const {
  if (pushed_) return agent_period();
  bool beside = false, watch_beside = false;
  for (std::size_t k = 0; k < calls_.size(); ++k) {
    if (k == slot || !calls_[k].in_flight) continue;
    beside = true;
    watch_beside |= calls_[k].wait > 0;
  }
  if (may_queue_ && !watch_beside) return queued_poll_timeout(now, chance);
  Micros timeout = static_cast<Micros>(static_cast<double>(kPollTimeout) * between(1, 1.2, chance));
  // If less time is left, half of it, so that one more call fits in after this one. But a call that
  // is still in discovery's queue costs discovery as much again when a second one joins it, and
  // more so the larger the tier is; hence a longer minimum. Beside a watch that may be silent the
  // short minimum holds, since only this call can bring the answer.
  Micros least =
      beside ? kCheckPeriod
             : std::clamp(static_cast<Micros>(tier_call_time()), kCheckPeriod, kPollTimeout);
  Micros deadline = deadline_of(now, 0);
  if (urgent_deadline(now) != kNever) deadline = std::min(deadline, urgent_deadline(now));
  return std::min(timeout, std::max(least, (deadline - now) / 2));
}

/// Leaves time for one more call that is answered at once, if there is time for both.
Micros CallSchedule::queued_poll_timeout(Micros now, double chance) const {
  Micros timeout =
      static_cast<Micros>(static_cast<double>(kQueuedPollTimeout) * between(1, 1.1, chance));
  Micros left = urgent_deadline(now) == kNever ? timeout : urgent_deadline(now) - now - kAnswerTime;
  return left < kPollTimeout ? timeout : std::min(timeout, left);
}

CallSchedule::Call CallSchedule::make(Micros now, Kind kind, double chance) {
  std::size_t slot = free_slot(now);
  if (calls_[slot].in_flight)
    add_deadline(deadline_of(calls_[slot].started, calls_[slot].wait), DeadlineReason::SilentCall);
  Micros wait = wait_of(kind, chance);
  calls_[slot] = {true, wait, now};
  bool is_watch = kind != Kind::Poll;
  next_ = now + (is_watch ? watch_timeout(wait, chance) : poll_timeout(now, slot, chance));
  next_kind_ = Kind::Poll;
  return {static_cast<int>(slot), wait};
}

std::optional<CallSchedule::Call> CallSchedule::begin(Micros now, double chance) {
  add_deadlines_of_calls();
  if (now < not_before_) {
    next_ = not_before_;
    next_kind_ = Kind::Poll;
    return std::nullopt;
  }
  return make(now, Kind::Poll, chance);
}

void CallSchedule::add_inherited_list(Micros now) {
  add_deadline(now + kNotifiedAfter, DeadlineReason::InheritedList);
}

void CallSchedule::change_address(Micros now, Micros within) {
  abandon_calls();
  failures_ = 0;
  address_deadline_ = now + within;
  add_deadline(address_deadline_, DeadlineReason::AddressChanged);
}

void CallSchedule::drop_started_before(Micros started) {
  for (SlotCall& one : calls_)
    if (one.in_flight && one.started < started) one.in_flight = false;
}

void CallSchedule::on_answer(Micros now, int slot, bool has_changes, double chance) {
  SlotCall& one = calls_[static_cast<std::size_t>(slot)];
  if (!one.in_flight) return;
  SlotCall ended = one;
  one.in_flight = false;
  Micros took = now - ended.started;
  if (ended.wait == 0) scale_waits(took > kSlowAnswer ? kWaitGrowthSlow : kWaitShrink);
  // A watch is answered when there is a change, so its duration shows the time in discovery's queue
  // only while that queue is known to be long.
  bool shows_queue = ended.wait == 0 || (may_queue_ && took < kQueuedPollTimeout);
  if (shows_queue && !pushed_) may_queue_ = took > kSlowAnswer;
  drop_started_before(ended.started);
  failures_ = unusable_ = queued_ = 0;
  answered_at_ = now;
  if (has_changes && ended.wait > 0) require_new_watch(now, chance);
  clear_deadlines();
  for (const SlotCall& other : calls_)
    if (other.in_flight) return;  // a later call, which stays in flight
  bool early = ended.wait > 0 && !has_changes && took < ended.wait / 2;
  next_kind_ = has_changes && ended.wait > 0 && !may_queue_ ? Kind::FirstWatch : Kind::Watch;
  next_ = early ? now + static_cast<Micros>(kRenewPause * between(0.5, 1.5, chance)) : now;
  if (pushed_) return;
  next_ = std::max(next_, not_before_);
}

void CallSchedule::require_new_watch(Micros now, double chance) {
  if (pushed_) return;
  double margin = static_cast<double>(kSameWatchMargin) * between(0.5, 1, chance);
  not_before_ = now + kSameWatchGap + static_cast<Micros>(margin);
}

Micros CallSchedule::retry_pause(Micros now, bool queued, double chance) {
  ++failures_;
  if (pushed_) {
    Micros span = std::min<Micros>(kAgentPause * std::min(failures_, 5), agent_period());
    return static_cast<Micros>(static_cast<double>(span) * between(0.5, 1, chance));
  }
  if (queued) return queue_pause(chance);
  // As slow as the tier's calls need while there is time, sooner towards the deadline, and slower
  // again once it has passed: calls that discovery has to reject help no router then.
  double most = std::max<double>(kCheckPeriod, tier_call_time()) *
                (1 << std::min(failures_ - 1, kMaxPauseDoublings));
  most = std::min<double>(
      most, std::max<double>(kMaxPauseSmallTier, kMaxPauseTierFactor * tier_call_time()));
  most = std::min<double>(most, kMaxPause);
  Micros deadline = urgent_deadline(now);
  double left = deadline == kNever ? most : static_cast<double>(deadline - now - kAnswerTime) / 3;
  double least = std::min(std::max<double>(kMinPause, tier_call_time() / 10), most);
  double span = std::clamp(left, least, most);
  return static_cast<Micros>(span * between(0.5, 1, chance));
}

Micros CallSchedule::queue_pause(double chance) {
  double span = static_cast<double>(kQueuePause) * (1 << std::min(queued_, kMaxQueueDoublings));
  ++queued_;
  double part = std::min(1.0, routers_ / kRoutersThatQueue);
  return static_cast<Micros>(part * span * between(0.5, 1.25, chance));
}

bool CallSchedule::on_failure(Micros now, int slot, CallFailure failure, double chance) {
  SlotCall& one = calls_[static_cast<std::size_t>(slot)];
  if (!one.in_flight) return false;
  SlotCall ended = one;
  one.in_flight = false;
  if (failure == CallFailure::Refused) scale_waits(kWaitGrowthRefused);
  bool others = false;
  bool later_one_waits = false;  // in discovery's queue, where another call could cost its place
  bool watch_in_flight = false;  // and may be silent
  // A watch that was reset says nothing about discovery's queue.
  if (!pushed_ && failure == CallFailure::Refused && ended.wait == 0) may_queue_ = true;
  if (failure == CallFailure::TimedOut) may_queue_ = false;
  for (const SlotCall& other : calls_) {
    if (!other.in_flight) continue;
    others = true;
    later_one_waits |= may_queue_ && other.wait == 0 && other.started >= ended.started;
    watch_in_flight |= other.wait > 0;
    // It may be silent; this call was made to check it.
    if (other.started < ended.started)
      add_deadline(deadline_of(other.started, other.wait), DeadlineReason::SilentCall);
  }
  // An established watch has reported all changes until it ended, unless it had fallen silent
  // before. A watch that ended at once may have missed changes since the last answer, and a poll
  // those that existed when it started; unless another call is in flight, which brings them or has
  // a deadline.
  Micros from = ended.wait == 0                      ? ended.started
                : now - ended.started > kPollTimeout ? now
                : answered_at_ == kNever             ? ended.started
                                                     : answered_at_;
  if (failure == CallFailure::Malformed || failure == CallFailure::Unusable)
    require_new_watch(now, chance);
  if (failure == CallFailure::Malformed || failure == CallFailure::Unusable)
    add_deadline(now + kNotifiedAfterMalformed, DeadlineReason::RejectedAnswer);
  else if (!others)
    add_deadline(std::min(deadline_of(ended.started, ended.wait), from + kNotifiedAfter),
                 DeadlineReason::FailedCall);
  else if (failure == CallFailure::TimedOut)
    add_deadline(deadline_of(ended.started, ended.wait), DeadlineReason::SilentCall);
  else  // calls in flight may be silent; after a failed call what they miss counts this soon
    add_deadline(now + kNotifiedAfter, DeadlineReason::FailedCall);
  // A later call in flight has its own timeout; this one is repeated before that. A call that was
  // refused after it had waited: discovery is up and has too many callers. Calling again at once
  // then only takes the turn of a router whose watch may be silent.
  bool queued = !others && failure == CallFailure::Refused && now - ended.started > kSlowAnswer;
  Micros retry_at = now + retry_pause(now, queued, chance);
  unusable_ = failure == CallFailure::Unusable ? unusable_ + 1 : 0;
  if (unusable_ > 0 && unusable_ <= kMaxQuickRetries)
    retry_at = now + kMinUnusableRetryPause +
               static_cast<Micros>(kUnusableRetrySpread * tier_call_time() * chance);
  bool keep_plan =
      later_one_waits && !watch_in_flight && failure == CallFailure::Refused && next_ != kNever;
  // A pause that relieves discovery's queue is not cut short by a call planned beside the one
  // that has ended.
  if (!keep_plan) next_ = next_ == kNever || queued ? retry_at : std::min(next_, retry_at);
  next_ = std::max(next_, not_before_);
  next_kind_ = Kind::Poll;
  return !pushed_ && !others;
}

void CallSchedule::abandon_calls() {
  add_deadlines_of_calls();
  for (SlotCall& one : calls_) one.in_flight = false;
  next_ = kNever;
}

void CallSchedule::stop() {
  calls_ = {};
  next_ = kNever;
  clear_deadlines();
  failures_ = 0;
}

std::optional<CallSchedule::Call> CallSchedule::advance(Micros now, double chance) {
  if (next_ == kNever || now < next_) return std::nullopt;
  add_deadlines_of_calls();
  if (now < not_before_) {
    next_ = not_before_;
    return std::nullopt;
  }
  return make(now, next_kind_, chance);
}

}  // namespace robinseam::membership
