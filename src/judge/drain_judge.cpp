#include "drain_judge.hpp"

#include <algorithm>

namespace arrowfork::judge {

const char* description_of(NotificationRule rule) {
  switch (rule) {
    case NotificationRule::AnswerWritten:
      return "an answer was written";
    case NotificationRule::WatchContinued:
      return "it changed between an answer and the next call within 200 ms";
    case NotificationRule::SixSeconds:
      return "6 s after discovery had it";
    case NotificationRule::SilentWatch:
      return "its watch fell silent";
    case NotificationRule::FailureBesideSilentWatch:
      return "6 s after a call failed beside a silent watch";
    case NotificationRule::PollDelayPassed:
      return "the maximum poll delay has passed";
    case NotificationRule::Agent:
      return "the agent has it";
    case NotificationRule::AddressChanged:
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
  // What counted before this event still counts, whatever the event changes.
  for (auto& [server, leaving] : leaving_) apply_rules(leaving, r.at);
  last_record_ = r.at;
  switch (r.kind) {
    case Kind::ServerLeaves:
      leaving_.try_emplace(r.server, LeavingServer{r.at, r.version, std::nullopt});
      break;
    case Kind::ServerReturns:
      leaving_.erase(r.server);
      break;
    case Kind::AnswerWritten:
      record_answer(r);
      break;
    case Kind::DiscoveryUnreachable:
      reachable_since_.reset();
      break;
    case Kind::DiscoveryReachable:
      record_reachable(r.at);
      break;
    case Kind::WatchSilent:
      silent_watch_due_ = std::max(r.at + kNotifiedAfter, r.until + kAfterSilentWatch);
      break;
    case Kind::CallStarted:
      record_call(r);
      break;
    case Kind::CallFailed:
      record_call_failure(r.at);
      break;
    case Kind::AddressChanged:
      // The time counts from the first change of address, however many follow.
      if (!address_change_due_) address_change_due_ = r.at + kAfterAddressChange;
      break;
    case Kind::ProcessStarted:
      record_process_start(r.at);
      break;
    case Kind::RequestSent:
      return check_request(r);
  }
  return std::nullopt;
}

void DrainJudge::record_answer(const DrainRecord& r) {
  for (auto& [server, leaving] : leaving_)
    if (r.version == 0 || r.version >= leaving.version)
      set_notified(leaving, r.at, NotificationRule::AnswerWritten);
  silent_watch_due_.reset(), address_change_due_.reset(), failed_beside_silent_.reset();
  last_answer_ = r.at;
  call_in_flight_ = call_failed_ = false;
}

void DrainJudge::record_call(const DrainRecord& r) {
  bool continues_watch = !options_.pushed && last_answer_ && r.at - *last_answer_ <= kSameWatchGap;
  if (continues_watch)
    for (auto& [server, leaving] : leaving_)
      if (leaving.left_at >= *last_answer_)
        set_notified(leaving, r.at, NotificationRule::WatchContinued);
  last_answer_.reset();
  last_call_ = r.at;
  call_in_flight_ = true, call_failed_ = false;
}

void DrainJudge::record_call_failure(Micros now) {
  if (silent_watch_due_ && !failed_beside_silent_) failed_beside_silent_ = now;
  call_in_flight_ = false, call_failed_ = true;
}

/// A new process has not been notified of anything.
void DrainJudge::record_process_start(Micros now) {
  for (auto& [server, leaving] : leaving_) leaving.notified.reset();
  last_call_.reset(), silent_watch_due_.reset(), address_change_due_.reset(),
      failed_beside_silent_.reset(), last_answer_.reset();
  call_in_flight_ = call_failed_ = false;
  process_start_ = now;
}

/// Changes that a silent watch missed, or that the new address has, can be requested from now on.
void DrainJudge::record_reachable(Micros now) {
  reachable_since_ = now;
  if (silent_watch_due_) silent_watch_due_ = std::max(*silent_watch_due_, now + kNotifiedAfter);
  if (address_change_due_ && !options_.pushed)
    address_change_due_ = std::max(*address_change_due_, now + kNotifiedAfter);
}

void DrainJudge::set_notified(LeavingServer& leaving, Micros at, NotificationRule rule) {
  if (!leaving.notified || at < leaving.notified->at) leaving.notified = Notification{at, rule};
}

Micros DrainJudge::available_since(const LeavingServer& leaving) const {
  return std::max(leaving.left_at, *reachable_since_);
}

/// Does not apply while a watch is silent: that has its own time, which may be later.
DrainJudge::Time DrainJudge::by_six_seconds(const LeavingServer& leaving) const {
  if (silent_watch_due_) return std::nullopt;
  return std::max(available_since(leaving) + kNotifiedAfter, process_start_ + options_.first_call);
}

DrainJudge::Time DrainJudge::by_silent_watch(const LeavingServer& leaving) const {
  if (!silent_watch_due_) return std::nullopt;
  return std::max(*silent_watch_due_, available_since(leaving));
}

DrainJudge::Time DrainJudge::by_failure_beside_silent_watch(const LeavingServer& leaving) const {
  if (!silent_watch_due_ || !failed_beside_silent_) return std::nullopt;
  return std::max(available_since(leaving), *failed_beside_silent_) + kNotifiedAfter;
}

DrainJudge::Time DrainJudge::by_poll_delay(const LeavingServer& leaving) const {
  if (options_.pushed || call_in_flight_) return std::nullopt;
  Micros counted = leaving.left_at + options_.max_poll_delay;
  if (!last_call_) return std::max(counted, process_start_ + options_.first_call);
  // Until then the router may act on the list that it has; counted again from the return of
  // discovery.
  Micros list_valid_until = *last_call_ + options_.max_poll_delay * (call_failed_ ? 4 : 1);
  return std::max({counted, list_valid_until, *reachable_since_ + options_.max_poll_delay});
}

/// Does not apply after SIGHUP, where it counts 4 s later.
DrainJudge::Time DrainJudge::by_agent(const LeavingServer& leaving) const {
  if (!options_.pushed || address_change_due_) return std::nullopt;
  return available_since(leaving);
}

DrainJudge::Time DrainJudge::by_new_address(const LeavingServer& leaving) const {
  if (!address_change_due_) return std::nullopt;
  return std::max(*address_change_due_, available_since(leaving));
}

void DrainJudge::apply_rules(LeavingServer& leaving, Micros now) {
  if (!reachable_since_) return;
  auto by = [&](Time at, NotificationRule rule) {
    if (!at) return;
    // A rule that applies only since the last record says nothing about earlier times.
    Micros notified = std::max({*at, process_start_, last_record_});
    if (notified <= now) set_notified(leaving, notified, rule);
  };
  by(by_agent(leaving), NotificationRule::Agent);
  by(by_new_address(leaving), NotificationRule::AddressChanged);
  by(by_silent_watch(leaving), NotificationRule::SilentWatch);
  by(by_six_seconds(leaving), NotificationRule::SixSeconds);
  by(by_failure_beside_silent_watch(leaving), NotificationRule::FailureBesideSilentWatch);
  by(by_poll_delay(leaving), NotificationRule::PollDelayPassed);
}

std::optional<DrainViolation> DrainJudge::check_request(const DrainRecord& r) const {
  auto at = leaving_.find(r.server);
  if (at == leaving_.end() || !at->second.notified) return std::nullopt;
  const Notification& notified = *at->second.notified;
  if (r.at <= notified.at + options_.grace + options_.slack) return std::nullopt;
  return DrainViolation{r.server, at->second.left_at, notified.at, r.at, notified.rule};
}

}  // namespace arrowfork::judge
