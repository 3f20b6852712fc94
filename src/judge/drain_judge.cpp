#include "drain_judge.hpp"

#include <algorithm>

namespace arrowfork::judge {

const char* description_of(NotificationRule rule) {
  switch (rule) {
    case NotificationRule::AnswerWritten:
      return "an answer was written";
    case NotificationRule::WatchGoesOn:
      return "it changed between an answer and the next call within 200 ms";
    case NotificationRule::SixSeconds:
      return "6 s after discovery had it";
    case NotificationRule::SilentWatch:
      return "its watch fell silent";
    case NotificationRule::FailedBeside:
      return "6 s after a call failed beside a silent watch";
    case NotificationRule::TimeForAsking:
      return "the time for asking is over";
    case NotificationRule::Agent:
      return "the agent has it";
    case NotificationRule::NewAddress:
      return "4 s after SIGHUP";
  }
  return "";
}

std::vector<DrainViolation> DrainJudge::check(const std::vector<DrainRecord>& records) {
  std::vector<DrainViolation> all;
  for (const DrainRecord& record : records)
    if (auto violation = process(record)) all.push_back(*violation);
  return all;
}

std::optional<DrainViolation> DrainJudge::process(const DrainRecord& r) {
  // What counted as told before this event counts still, whatever the event changes.
  for (auto& [server, leaving] : leaving_) settle(leaving, r.at);
  last_ = r.at;
  switch (r.kind) {
    case Kind::ServerLeaves:
      leaving_.try_emplace(r.server, Leaving{r.at, r.version, std::nullopt});
      break;
    case Kind::ServerReturns:
      leaving_.erase(r.server);
      break;
    case Kind::AnswerWritten:
      written(r);
      break;
    case Kind::DiscoveryUnreachable:
      reachable_since_.reset();
      break;
    case Kind::DiscoveryReachable:
      reach(r.at);
      break;
    case Kind::WatchSilent:
      muted_ = std::max(r.at + kNotifiedAfter, r.until + kAfterSilentWatch);
      break;
    case Kind::CallStarted:
      called(r);
      break;
    case Kind::CallFailed:
      call_failed(r.at);
      break;
    case Kind::AddressChanged:
      // The first one's time runs on, however many follow.
      if (!hangup_) hangup_ = r.at + kAfterAddressChange;
      break;
    case Kind::ProcessStarted:
      started(r.at);
      break;
    case Kind::RequestSent:
      return judge(r);
  }
  return std::nullopt;
}

void DrainJudge::written(const DrainRecord& r) {
  for (auto& [server, leaving] : leaving_)
    if (r.version == 0 || r.version >= leaving.version)
      tell(leaving, r.at, NotificationRule::AnswerWritten);
  muted_.reset(), hangup_.reset(), failed_at_.reset();
  written_at_ = r.at;
  call_out_ = call_failed_ = false;
}

void DrainJudge::called(const DrainRecord& r) {
  bool goes_on = !rules_.pushed && written_at_ && r.at - *written_at_ <= kSameWatchGap;
  if (goes_on)
    for (auto& [server, leaving] : leaving_)
      if (leaving.left >= *written_at_) tell(leaving, r.at, NotificationRule::WatchGoesOn);
  written_at_.reset();
  called_ = r.at;
  call_out_ = true, call_failed_ = false;
}

void DrainJudge::call_failed(Micros now) {
  if (muted_ && !failed_at_) failed_at_ = now;
  call_out_ = false, call_failed_ = true;
}

/// Nothing a process was told outlives it.
void DrainJudge::started(Micros now) {
  for (auto& [server, leaving] : leaving_) leaving.told.reset();
  called_.reset(), muted_.reset(), hangup_.reset(), failed_at_.reset(), written_at_.reset();
  call_out_ = call_failed_ = false;
  started_ = now;
}

/// What a silent watch missed, or another address has, can be asked for only from here on.
void DrainJudge::reach(Micros now) {
  reachable_since_ = now;
  if (muted_) muted_ = std::max(*muted_, now + kNotifiedAfter);
  if (hangup_ && !rules_.pushed) hangup_ = std::max(*hangup_, now + kNotifiedAfter);
}

void DrainJudge::tell(Leaving& leaving, Micros at, NotificationRule rule) {
  if (!leaving.told || at < leaving.told->at) leaving.told = Told{at, rule};
}

Micros DrainJudge::had(const Leaving& leaving) const {
  return std::max(leaving.left, *reachable_since_);
}

/// A silent watch has its own time, which may be later.
DrainJudge::Time DrainJudge::by_six_seconds(const Leaving& leaving) const {
  if (muted_) return std::nullopt;
  return std::max(had(leaving) + kNotifiedAfter, started_ + rules_.first_call);
}

DrainJudge::Time DrainJudge::by_silent_watch(const Leaving& leaving) const {
  if (!muted_) return std::nullopt;
  return std::max(*muted_, had(leaving));
}

DrainJudge::Time DrainJudge::by_failure_beside(const Leaving& leaving) const {
  if (!muted_ || !failed_at_) return std::nullopt;
  return std::max(had(leaving), *failed_at_) + kNotifiedAfter;
}

DrainJudge::Time DrainJudge::by_time_for_asking(const Leaving& leaving) const {
  if (rules_.pushed || call_out_) return std::nullopt;
  Micros counted = leaving.left + rules_.ask_within;
  if (!called_) return std::max(counted, started_ + rules_.first_call);
  // Held to the list that it has until then; counted anew when discovery is back.
  Micros held = *called_ + rules_.ask_within * (call_failed_ ? 4 : 1);
  return std::max({counted, held, *reachable_since_ + rules_.ask_within});
}

/// After SIGHUP it counts 4 s later.
DrainJudge::Time DrainJudge::by_agent(const Leaving& leaving) const {
  if (!rules_.pushed || hangup_) return std::nullopt;
  return had(leaving);
}

DrainJudge::Time DrainJudge::by_new_address(const Leaving& leaving) const {
  if (!hangup_) return std::nullopt;
  return std::max(*hangup_, had(leaving));
}

void DrainJudge::settle(Leaving& leaving, Micros now) {
  if (!reachable_since_) return;
  auto by = [&](Time at, NotificationRule rule) {
    if (!at) return;
    // A sentence that holds only since the last record tells nothing of before.
    Micros told = std::max({*at, started_, last_});
    if (told <= now) tell(leaving, told, rule);
  };
  by(by_agent(leaving), NotificationRule::Agent);
  by(by_new_address(leaving), NotificationRule::NewAddress);
  by(by_silent_watch(leaving), NotificationRule::SilentWatch);
  by(by_six_seconds(leaving), NotificationRule::SixSeconds);
  by(by_failure_beside(leaving), NotificationRule::FailedBeside);
  by(by_time_for_asking(leaving), NotificationRule::TimeForAsking);
}

std::optional<DrainViolation> DrainJudge::judge(const DrainRecord& r) const {
  auto at = leaving_.find(r.server);
  if (at == leaving_.end() || !at->second.told) return std::nullopt;
  const Told& told = *at->second.told;
  if (r.at <= told.at + rules_.grace + rules_.slack) return std::nullopt;
  return DrainViolation{r.server, at->second.left, told.at, r.at, told.rule};
}

}  // namespace arrowfork::judge
