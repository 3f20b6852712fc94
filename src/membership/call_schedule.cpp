#include "membership/call_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace robinseam::membership {
namespace {

constexpr Micros kMilli = 1000, kSecond = 1000 * kMilli;

// A change counts as told so long after discovery had it and could be reached, whatever became of
// calls. What a silent call misses counts so long after it fell silent, and not before so long
// after its wait.
constexpr Micros kTold = 6 * kSecond, kWaitTold = 2 * kSecond;
// What an answer held that broke off counts as told so long after it.
constexpr Micros kSpoiltTold = 2 * kSecond;
// A watch's wait is drawn anew each time, so that watches begun together end over 8 s: the time in
// which the slowest of the users' sites takes a call of every router.
constexpr Micros kShortestWait = 20 * kSecond;
// So long before its end, drawn, it is asked beside it whether anything was missed, and with the
// answer the next watch begins. What falls silent before that is known with 6 to 12 s to spare; the
// watch that could fall silent after it is gone. Two calls in some 17 s, where waiting for the end
// needed one in 20 s and left 1 s.
constexpr Micros kLead = 4500 * kMilli, kMostLead = 10 * kSecond;
// Where discovery has no time for that, waits grow: by calls turned away, and by answers that took
// this long. Twice as long is 56 s, of the 60 s that discovery takes.
constexpr double kMostStretch = 2, kStretchRefused = 1.5, kStretchSlow = 1.25, kUnstretch = 0.8;
constexpr Micros kSlowAnswer = 500 * kMilli;
// An agent on the own machine: calls cost nothing, and what it gets counts at once. It may have
// fallen silent right after a call, so a watch there is no longer than what the grace leaves.
constexpr Micros kLeastAgentWait = 100 * kMilli, kMostAgentWait = 2 * kSecond;
// Discovery answers, or fails what it can't do in time, within 2 s: of what takes longer nothing
// will be heard, and before that a second call would only lengthen its queue.
constexpr Micros kHeardWithin = 2500 * kMilli;
// Where calls wait in a line that is longer than that: what has its place there is not given up for
// a second call, which may end the first one's wait and find the line full (incident of
// 2026-12-02).
constexpr Micros kLinePatience = 4 * kSecond;
// The next call that comes so soon after an answer goes on with its watch: it owes at once whatever
// has changed since that answer. One that comes later is a new watch and owes nothing of the gap.
// Changes come in groups, so behind one it is a new watch; behind an answer without news it goes
// on.
constexpr Micros kNewWatch = 200 * kMilli, kNewWatchMargin = 60 * kMilli;
// If a new watch falls silent from its first moment, what changed in the gap counts 6 s later, so
// the first one is short, and asked about before that.
constexpr Micros kFirstWatchWait = 2 * kSecond, kSilentFirstWatch = 1500 * kMilli;
// What was refused after it had waited found the line longer than discovery's patience. A line of
// calls that will all be refused gets no shorter while they come again sooner than it is worked
// off, so pauses double whatever is owed: pressed calls would keep the whole tier from its answers.
constexpr Micros kQueuePause = kSecond;
constexpr int kQueueDoublings = 2;
constexpr double kTierThatQueues = 4;  // below so many routers the load is others'
// What an agent gets counts at once, so it is asked this many times within the grace; of that, what
// a router may be held up for is kept free. The oldest call is not replaced before its time, so
// that an agent that is only slow is heard.
constexpr Micros kHeldUp = 150 * kMilli;
constexpr Micros kLeastPeriod = 20 * kMilli, kMostPeriod = 250 * kMilli;
constexpr int kCallsInGrace = 3;
constexpr Micros kAgentPatience = kSecond;
// Once silent calls are known, a sign of life is asked for this often.
constexpr Micros kSign = 400 * kMilli;
// What an answer itself is presumed to need: the last try before a deadline begins so much earlier.
constexpr Micros kAnswer = 600 * kMilli;
// Parts of what is left until the deadline: as long a pause leaves room for three more tries.
// But not so short that a tier whose dues pass together, as discovery is down, storms it.
constexpr Micros kLeastPause = kSign, kPushedPause = 50 * kMilli;
constexpr int kDoublings = 3;  // of pauses, while no deadline presses
// A small tier's calls are no load even for a discovery that is down.
constexpr Micros kMostPauseAlone = 2 * kSign;
constexpr double kMostPauseTier = 4;  // of the tier's calls
// After an answer that may not count the whole list is asked for within this part of the tier's
// calls: what the answer held was told when it was written.
constexpr double kAgainSpread = 0.25;
constexpr Micros kLeastAgain = 10 * kMilli;
constexpr int kQuickAgain = 3;  // in a row; then discovery has nothing better
// However long calls have failed: whenever discovery is back, one call that is turned away still
// and one that is answered fit into kTold. Where the tier's calls take discovery longer than that,
// no pause could help (docs/design/membership.md has the sum).
constexpr Micros kMostPause = (kTold - kAnswer) / 2;
constexpr double kCall = 10 * kMilli;  // see recovery/asking
// A watch that brings no change and ends before its time is not made anew at once, so that a
// discovery that always answers at once is not called without end. Below the 200 ms within which it
// is still the same watch.
constexpr Micros kRenewPause = 80 * kMilli;

/// By when what a call may miss by falling silent has to be known.
Micros deadline_of(Micros begun, Micros wait) { return begun + std::max(kTold, wait + kWaitTold); }

double between(double from, double to, double chance) { return from + (to - from) * chance; }

}  // namespace

const char* name_of(CallFailure fault) {
  switch (fault) {
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

double CallSchedule::tier_calls() const { return kCall * std::max(1, routers_); }

void CallSchedule::stretch(double by) { stretch_ = std::clamp(stretch_ * by, 1.0, kMostStretch); }

void CallSchedule::add_deadline(Micros deadline, DeadlineReason reason) {
  if (deadline_ != kNever && deadline_ <= deadline) return;
  deadline_ = deadline;
  deadline_reason_ = reason;
}

void CallSchedule::clear_deadlines() {
  deadline_ = moved_deadline_ = kNever;
  deadline_reason_ = DeadlineReason::None;
}

void CallSchedule::add_deadlines_of_calls() {
  for (const One& one : calls_)
    if (one.out) add_deadline(deadline_of(one.begun, one.wait), DeadlineReason::SilentCall);
}

Micros CallSchedule::hurry(Micros now) const {
  if (!overdue(now)) return deadline_;
  return now < moved_deadline_ ? moved_deadline_ : kNever;
}

Micros CallSchedule::agent_period() const {
  return std::clamp((grace_ - kHeldUp) / kCallsInGrace, kLeastPeriod, kMostPeriod);
}

Micros CallSchedule::agent_wait() const {
  return std::clamp(grace_ - kHeldUp - agent_period(), kLeastAgentWait, kMostAgentWait);
}

/// Beside what is out; where all slots are, in place of the oldest, or of the next where that is an
/// agent's and may still be answered.
std::size_t CallSchedule::free_slot(Micros now) const {
  std::array<std::size_t, kSlots> by_age{};
  for (std::size_t k = 0; k < calls_.size(); ++k) {
    if (!calls_[k].out) return k;
    by_age[k] = k;
  }
  std::sort(by_age.begin(), by_age.end(),
            [this](std::size_t a, std::size_t b) { return calls_[a].begun < calls_[b].begun; });
  const One& oldest = calls_[by_age[0]];
  bool waits = pushed_ && now - oldest.begun - oldest.wait < kAgentPatience;
  return by_age[waits ? 1 : 0];
}

Micros CallSchedule::wait_of(Kind kind, double chance) const {
  if (kind == Kind::Poll) return 0;
  if (pushed_) return agent_wait();
  if (kind == Kind::FirstWatch) return kFirstWatchWait;
  double longest = static_cast<double>(kMaxWait) / kMostStretch;
  return static_cast<Micros>(stretch_ * between(kShortestWait, longest, chance));
}

Micros CallSchedule::watch_patience(Micros wait, double chance) const {
  if (pushed_) return wait + agent_period();
  if (wait == kFirstWatchWait) return wait + kSilentFirstWatch;
  // Of the same chance's lower digits: 20 s and 28 s must not go with one lead each.
  double other = chance * 64 - std::floor(chance * 64);
  return wait - static_cast<Micros>(between(kLead, kMostLead, other));
}

Micros CallSchedule::poll_patience(Micros now, std::size_t slot, double chance) const {
  if (pushed_) return agent_period();
  bool beside = false, watch_beside = false;
  for (std::size_t k = 0; k < calls_.size(); ++k) {
    if (k == slot || !calls_[k].out) continue;
    beside = true;
    watch_beside |= calls_[k].wait > 0;
  }
  if (line_ && !watch_beside) return line_patience(now, chance);
  Micros patience =
      static_cast<Micros>(static_cast<double>(kHeardWithin) * between(1, 1.2, chance));
  // Where less is left, half of it: one more call has to fit in behind. But what discovery still
  // has in its queue costs it as much again when it is called beside, and the more the larger the
  // tier is. Beside a watch that may be silent there is nothing else to hope for.
  Micros least =
      beside ? kSign : std::clamp(static_cast<Micros>(tier_calls()), kSign, kHeardWithin);
  Micros deadline = deadline_of(now, 0);
  if (hurry(now) != kNever) deadline = std::min(deadline, hurry(now));
  return std::min(patience, std::max(least, (deadline - now) / 2));
}

/// One more call that is answered at once fits in behind it, where there is time for both.
Micros CallSchedule::line_patience(Micros now, double chance) const {
  Micros patience =
      static_cast<Micros>(static_cast<double>(kLinePatience) * between(1, 1.1, chance));
  Micros left = hurry(now) == kNever ? patience : hurry(now) - now - kAnswer;
  return left < kHeardWithin ? patience : std::min(patience, left);
}

CallSchedule::Call CallSchedule::make(Micros now, Kind kind, double chance) {
  std::size_t slot = free_slot(now);
  if (calls_[slot].out)
    add_deadline(deadline_of(calls_[slot].begun, calls_[slot].wait), DeadlineReason::SilentCall);
  Micros wait = wait_of(kind, chance);
  calls_[slot] = {true, wait, now};
  bool watches = kind != Kind::Poll;
  next_ = now + (watches ? watch_patience(wait, chance) : poll_patience(now, slot, chance));
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
  add_deadline(now + kTold, DeadlineReason::InheritedList);
}

void CallSchedule::change_address(Micros now, Micros within) {
  abandon_calls();
  failures_ = 0;
  moved_deadline_ = now + within;
  add_deadline(moved_deadline_, DeadlineReason::AddressChanged);
}

void CallSchedule::drop_before(Micros begun) {
  for (One& one : calls_)
    if (one.out && one.begun < begun) one.out = false;
}

void CallSchedule::on_answer(Micros now, int slot, bool news, double chance) {
  One& one = calls_[static_cast<std::size_t>(slot)];
  if (!one.out) return;
  One was = one;
  one.out = false;
  Micros took = now - was.begun;
  if (was.wait == 0) stretch(took > kSlowAnswer ? kStretchSlow : kUnstretch);
  // A watch is answered when there is news, so how long it waited in line shows only while that is
  // known to be long.
  bool waited = was.wait == 0 || (line_ && took < kLinePatience);
  if (waited && !pushed_) line_ = took > kSlowAnswer;
  drop_before(was.begun);
  failures_ = unusable_ = queued_ = 0;
  answered_at_ = now;
  if (news && was.wait > 0) require_new_watch(now, chance);
  clear_deadlines();
  for (const One& other : calls_)
    if (other.out) return;  // a later one: it goes on
  bool early = was.wait > 0 && !news && took < was.wait / 2;
  next_kind_ = news && was.wait > 0 && !line_ ? Kind::FirstWatch : Kind::Watch;
  next_ = early ? now + static_cast<Micros>(kRenewPause * between(0.5, 1.5, chance)) : now;
  if (pushed_) return;
  next_ = std::max(next_, not_before_);
}

void CallSchedule::require_new_watch(Micros now, double chance) {
  if (pushed_) return;
  double margin = static_cast<double>(kNewWatchMargin) * between(0.5, 1, chance);
  not_before_ = now + kNewWatch + static_cast<Micros>(margin);
}

Micros CallSchedule::pause(Micros now, bool queued, double chance) {
  ++failures_;
  if (pushed_) {
    Micros span = std::min<Micros>(kPushedPause * std::min(failures_, 5), agent_period());
    return static_cast<Micros>(static_cast<double>(span) * between(0.5, 1, chance));
  }
  if (queued) return queue_pause(chance);
  // As the tier's calls allow where there is time, sooner towards the deadline, and slower again
  // once it has passed: nobody is helped then by calls that discovery has to turn away.
  double most = std::max<double>(kSign, tier_calls()) * (1 << std::min(failures_ - 1, kDoublings));
  most = std::min<double>(most, std::max<double>(kMostPauseAlone, kMostPauseTier * tier_calls()));
  most = std::min<double>(most, kMostPause);
  Micros deadline = hurry(now);
  double left = deadline == kNever ? most : static_cast<double>(deadline - now - kAnswer) / 3;
  double least = std::min(std::max<double>(kLeastPause, tier_calls() / 10), most);
  double span = std::clamp(left, least, most);
  return static_cast<Micros>(span * between(0.5, 1, chance));
}

Micros CallSchedule::queue_pause(double chance) {
  double span = static_cast<double>(kQueuePause) * (1 << std::min(queued_, kQueueDoublings));
  ++queued_;
  double part = std::min(1.0, routers_ / kTierThatQueues);
  return static_cast<Micros>(part * span * between(0.5, 1.25, chance));
}

bool CallSchedule::on_failure(Micros now, int slot, CallFailure fault, double chance) {
  One& one = calls_[static_cast<std::size_t>(slot)];
  if (!one.out) return false;
  One was = one;
  one.out = false;
  if (fault == CallFailure::Refused) stretch(kStretchRefused);
  bool others = false;
  bool later_one_waits = false;  // which a call beside it could cost its place
  bool watch_is_out = false;     // and may be silent
  // A watch that was reset says nothing of a line.
  if (!pushed_ && fault == CallFailure::Refused && was.wait == 0) line_ = true;
  if (fault == CallFailure::TimedOut) line_ = false;
  for (const One& other : calls_) {
    if (!other.out) continue;
    others = true;
    later_one_waits |= line_ && other.wait == 0 && other.begun >= was.begun;
    watch_is_out |= other.wait > 0;
    // It may be silent: one that this call was to find out about.
    if (other.begun < was.begun)
      add_deadline(deadline_of(other.begun, other.wait), DeadlineReason::SilentCall);
  }
  // A watch that was up has told all until it ended, unless it had fallen silent before. One that
  // ended at once may have missed what came right behind the last answer, and a call for the list
  // of now what was there when it began; unless another is out, which brings it or has a deadline.
  Micros from = was.wait == 0                    ? was.begun
                : now - was.begun > kHeardWithin ? now
                : answered_at_ == kNever         ? was.begun
                                                 : answered_at_;
  if (fault == CallFailure::Malformed || fault == CallFailure::Unusable)
    require_new_watch(now, chance);
  if (fault == CallFailure::Malformed || fault == CallFailure::Unusable)
    add_deadline(now + kSpoiltTold, DeadlineReason::RejectedAnswer);
  else if (!others)
    add_deadline(std::min(deadline_of(was.begun, was.wait), from + kTold),
                 DeadlineReason::FailedCall);
  else if (fault == CallFailure::TimedOut)
    add_deadline(deadline_of(was.begun, was.wait), DeadlineReason::SilentCall);
  else  // what is out may be silent, and after a call that failed what it misses counts so soon
    add_deadline(now + kTold, DeadlineReason::FailedCall);
  // The later call that is out has its own time; this one is made again before that.
  // Turned away after it had waited: discovery lives and has too many callers. Whoever presses it
  // then only takes the turn of one whose watch may be silent.
  bool queued = !others && fault == CallFailure::Refused && now - was.begun > kSlowAnswer;
  Micros again = now + pause(now, queued, chance);
  unusable_ = fault == CallFailure::Unusable ? unusable_ + 1 : 0;
  if (unusable_ > 0 && unusable_ <= kQuickAgain)
    again = now + kLeastAgain + static_cast<Micros>(kAgainSpread * tier_calls() * chance);
  bool stays = later_one_waits && !watch_is_out && fault == CallFailure::Refused && next_ != kNever;
  // A pause for the line's sake is not cut short by what was planned beside the call that has
  // ended.
  if (!stays) next_ = next_ == kNever || queued ? again : std::min(next_, again);
  next_ = std::max(next_, not_before_);
  next_kind_ = Kind::Poll;
  return !pushed_ && !others;
}

void CallSchedule::abandon_calls() {
  add_deadlines_of_calls();
  for (One& one : calls_) one.out = false;
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
