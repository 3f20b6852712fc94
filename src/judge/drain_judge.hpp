// Judges, from what stand-ins recorded, whether a router sent anything new to a server past the
// grace. When a change counts as told follows from the users' pages alone: each of their sentences
// is a function here, and the earliest one counts. It knows nothing of how a router plans its
// calls. Pure: used in virtual time and for runs of real processes alike.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "robinseam/balancer.hpp"

namespace arrowfork::judge {

using robinseam::Micros;

/// What was recorded of one router and its discovery.
struct DrainRecord {
  enum class Kind {
    ServerLeaves,   ///< discovery has it that the server drains or is gone, from `version` on
    ServerReturns,  ///< and that it is to be used again
    AnswerWritten,  ///< an answer that holds the list of `version` was written whole to the router
    DiscoveryUnreachable,  ///< from now on discovery refuses, is silent or breaks answers off
    DiscoveryReachable,    ///< it can be called again
    WatchSilent,     ///< the open watch fell silent; `until`: its wait would have been over then
    CallStarted,     ///< the router called discovery
    CallFailed,      ///< a call was refused, turned away, broke off or was given up
    AddressChanged,  ///< a new configuration names another address, from the signal on
    ProcessStarted,  ///< a new process of the router
    RequestSent,     ///< the first byte of a request went to the server
  };
  Micros at = 0;
  Kind kind = Kind::RequestSent;
  int server = -1;
  Micros until = 0;
  std::int64_t version = 0;  ///< 0 with Written: all that there is at that time
};

/// The sentence of the pages by which a change counts as told.
enum class NotificationRule {
  AnswerWritten,  ///< STANDING: what comes in an answer counts when it is written
  WatchGoesOn,    ///< PROTOCOL: the next call within 200 ms; what changed in between counts
  SixSeconds,     ///< STANDING: 6 s after discovery had it and could be reached, whatever failed
  SilentWatch,    ///< STANDING: 6 s after it fell silent, or 2 s after its wait
  FailedBeside,   ///< STANDING: what a call that failed allows, beside a silent watch, ends in 6 s
  TimeForAsking,  ///< STANDING: no watch, and the settings' time for asking is over
  Agent,          ///< STANDING: pushed lists count as the agent has them
  NewAddress,     ///< DAYS: 4 s after SIGHUP
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
  Micros ask_within = 10'000'000;
  Micros slack = 50'000;  ///< of each time limit on sockets
  /// What counts already as a process starts is told to it so much later: it has to make a call.
  Micros first_call = 150'000;
};

/// Judges one router's records, in order of time.
class DrainJudge {
 public:
  static constexpr Micros kSecond = 1'000'000;
  static constexpr Micros kNotifiedAfter =
      6 * kSecond;  // after discovery had it and could be reached
  static constexpr Micros kAfterSilentWatch = 2 * kSecond;    // of a silent watch
  static constexpr Micros kAfterAddressChange = 4 * kSecond;  // of a new configuration
  static constexpr Micros kSameWatchGap = 200'000;            // from an answer to the next call

  explicit DrainJudge(const DrainJudgeOptions& rules) : rules_(rules) {}

  /// A violation where the record is a request that was sent too late.
  std::optional<DrainViolation> process(const DrainRecord& record);
  std::vector<DrainViolation> check(const std::vector<DrainRecord>& records);

 private:
  using Kind = DrainRecord::Kind;
  using Time = std::optional<Micros>;
  struct Told {
    Micros at = 0;
    NotificationRule rule = NotificationRule::AnswerWritten;
  };
  struct Leaving {
    Micros left = 0;
    std::int64_t version = 0;
    std::optional<Told> told;
  };

  void written(const DrainRecord& record);
  void called(const DrainRecord& record);
  void call_failed(Micros now);
  void started(Micros now);
  void reach(Micros now);
  static void tell(Leaving& leaving, Micros at, NotificationRule rule);
  /// Tells what counts as told by `now` under the sentences that hold at present.
  void settle(Leaving& leaving, Micros now);
  std::optional<DrainViolation> judge(const DrainRecord& record) const;

  // When the change counts, each by one rule; nothing where that does not hold at present.
  Time by_six_seconds(const Leaving& leaving) const;
  Time by_silent_watch(const Leaving& leaving) const;
  Time by_failure_beside(const Leaving& leaving) const;
  Time by_time_for_asking(const Leaving& leaving) const;
  Time by_agent(const Leaving& leaving) const;
  Time by_new_address(const Leaving& leaving) const;
  /// Since when discovery has the change and can be reached.
  Micros had(const Leaving& leaving) const;

  DrainJudgeOptions rules_;
  std::map<int, Leaving> leaving_;
  Time reachable_since_ = 0;
  Time muted_;       // what the silent watch misses counts then
  Time hangup_;      // what the new address has counts then
  Time called_;      // the last call of this process
  Time failed_at_;   // the first failure beside a silent watch
  Time written_at_;  // the last answer, until the next call
  bool call_out_ = false, call_failed_ = false;
  Micros started_ = 0, last_ = 0;
};

}  // namespace arrowfork::judge
