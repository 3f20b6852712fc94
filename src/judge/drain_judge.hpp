// Checks, from the records of test servers, whether a router sent anything new to a draining server
// after the grace. The time at which the router counts as notified of a change follows only from
// the users' pages (STANDING, PROTOCOL, DAYS): each rule there is a function here, and the earliest
// time applies. The judge does not know how a router plans its calls. Pure: used in virtual time
// and for runs of real processes alike.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "robinseam/balancer.hpp"

namespace arrowfork::judge {

using robinseam::Micros;

/// One recorded event of a router and its discovery.
struct DrainRecord {
  enum class Kind {
    ServerLeaves,   ///< in discovery the server drains or is gone, from list `version` on
    ServerReturns,  ///< in discovery the server is ready again
    AnswerWritten,  ///< an answer with the list of `version` was completely written to the router
    DiscoveryUnreachable,  ///< discovery starts to refuse calls, be silent or break answers off
    DiscoveryReachable,    ///< discovery answers again
    WatchSilent,           ///< the open watch fell silent; `until`: end of its wait
    CallStarted,           ///< the router called discovery
    CallFailed,            ///< a call was refused, broke off or timed out
    AddressChanged,        ///< SIGHUP with a configuration that names another address
    ProcessStarted,        ///< a new process of the router
    RequestSent,           ///< the first byte of a request went to the server
  };
  Micros at = 0;
  Kind kind = Kind::RequestSent;
  int server = -1;
  Micros until = 0;
  std::int64_t version = 0;  ///< 0 in AnswerWritten: the latest one at that time
};

/// The rule of the users' pages by which the router counts as notified of a change.
enum class NotificationRule {
  AnswerWritten,   ///< STANDING: the content of an answer counts once it is written
  WatchContinued,  ///< PROTOCOL: next call within 200 ms; changes in between count
  SixSeconds,      ///< STANDING: 6 s after discovery had it and could be reached, whatever failed
  SilentWatch,     ///< STANDING: 6 s after it fell silent, or 2 s after its wait
  FailureBesideSilentWatch,  ///< STANDING: 6 s after a call failed beside a silent watch
  PollDelayPassed,           ///< STANDING: no watch, and the maximum poll delay has passed
  Agent,                     ///< STANDING: pushed lists count once the agent has them
  AddressChanged,            ///< DAYS: 4 s after SIGHUP
};
const char* description_of(NotificationRule rule);

struct DrainViolation {
  int server = -1;
  Micros left = 0, notified = 0, sent = 0;
  NotificationRule rule = NotificationRule::AnswerWritten;
};

struct DrainJudgeOptions {
  bool pushed = false;
  Micros grace = 500'000;
  Micros max_poll_delay = 10'000'000;
  Micros slack = 50'000;  ///< tolerance of each time limit on sockets
  /// A change that already counts when a process starts counts this much later: the process must
  /// first make a call.
  Micros first_call = 150'000;
};

/// Checks the records of one router, in order of time.
class DrainJudge {
 public:
  static constexpr Micros kSecond = 1'000'000;
  /// After discovery had the change and could be reached.
  static constexpr Micros kNotifiedAfter = 6 * kSecond;
  /// After the end of a silent watch's wait.
  static constexpr Micros kAfterSilentWatch = 2 * kSecond;
  /// After SIGHUP with another address.
  static constexpr Micros kAfterAddressChange = 4 * kSecond;
  /// From an answer to the call that continues its watch.
  static constexpr Micros kSameWatchGap = 200'000;

  explicit DrainJudge(const DrainJudgeOptions& options) : options_(options) {}

  /// A violation if the record is a request that was sent too late.
  std::optional<DrainViolation> process(const DrainRecord& record);
  std::vector<DrainViolation> check(const std::vector<DrainRecord>& records);

 private:
  using Kind = DrainRecord::Kind;
  using Time = std::optional<Micros>;
  struct Notification {
    Micros at = 0;
    NotificationRule rule = NotificationRule::AnswerWritten;
  };
  struct LeavingServer {
    Micros left_at = 0;
    std::int64_t version = 0;
    std::optional<Notification> notified;
  };

  void record_answer(const DrainRecord& record);
  void record_call(const DrainRecord& record);
  void record_call_failure(Micros now);
  void record_process_start(Micros now);
  void record_reachable(Micros now);
  static void set_notified(LeavingServer& leaving, Micros at, NotificationRule rule);
  /// Marks the server as notified if one of the rules that apply at present says so by `now`.
  void apply_rules(LeavingServer& leaving, Micros now);
  std::optional<DrainViolation> check_request(const DrainRecord& record) const;

  // When the change counts by each rule; nothing if the rule does not apply at present.
  Time by_six_seconds(const LeavingServer& leaving) const;
  Time by_silent_watch(const LeavingServer& leaving) const;
  Time by_failure_beside_silent_watch(const LeavingServer& leaving) const;
  Time by_poll_delay(const LeavingServer& leaving) const;
  Time by_agent(const LeavingServer& leaving) const;
  Time by_new_address(const LeavingServer& leaving) const;
  /// Since when discovery has the change and can be reached.
  Micros available_since(const LeavingServer& leaving) const;

  DrainJudgeOptions options_;
  std::map<int, LeavingServer> leaving_;
  Time reachable_since_ = 0;
  Time silent_watch_due_;      // when changes that the silent watch misses count
  Time address_change_due_;    // when changes at the new address count
  Time last_call_;             // last call of this process
  Time failed_beside_silent_;  // first failure beside a silent watch
  Time last_answer_;           // last answer, until the next call
  bool call_in_flight_ = false, call_failed_ = false;
  Micros process_start_ = 0, last_record_ = 0;
};

}  // namespace arrowfork::judge
