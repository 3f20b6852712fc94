// Judges, from what stand-ins recorded, whether a router sent anything new to a server after the
// grace. It computes when a change counts as told from the protocol's sentences alone and knows
// nothing of how the router plans its calls.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "robinseam/balancer.hpp"

namespace arrowfork::test {

using robinseam::Micros;

/// What was recorded of one router and its discovery.
struct DrainRecord {
  enum class What {
    Leaves,       ///< discovery has it that the server drains or is gone
    Returns,      ///< and that it is to be used again
    Written,      ///< an answer that holds the current list was written whole to the router
    Unreachable,  ///< from now on discovery refuses, is silent or breaks answers off
    Reachable,    ///< it can be called again
    Muted,        ///< the open watch fell silent; `until`: its wait would have been over then
    Called,       ///< the router called discovery
    CallFailed,   ///< a call was refused, broke off or was given up
    TurnedAway,   ///< it had waited in the queue of a discovery with too many callers
    Hangup,       ///< a new configuration names another address
    Started,      ///< a new process of the router
    Sent,         ///< the first byte of a request went to the server
  };
  Micros at = 0;
  What what = What::Sent;
  int server = -1;
  Micros until = 0;
};

struct DrainViolation {
  int server = -1;
  Micros left = 0, told = 0, sent = 0;
  std::string sentence;  ///< by which the change counts as told
};

struct DrainRules {
  bool pushed = false;
  Micros grace = 500'000;
  Micros ask_within = 10'000'000;
};

/// Judges one router's records, in order of time.
class DrainChecker {
 public:
  static constexpr Micros kSecond = 1'000'000;
  static constexpr Micros kSlack = 50'000;           // of each time limit on sockets
  static constexpr Micros kLatest = 6 * kSecond;     // after discovery had it and could be reached
  static constexpr Micros kAfterWait = 2 * kSecond;  // of a silent watch
  static constexpr Micros kAfterHangup = 4 * kSecond;  // of a new configuration

  static constexpr Micros kFirstCall = 150'000;  // of a process that starts

  explicit DrainChecker(const DrainRules& rules) : rules_(rules) {}

  std::vector<DrainViolation> check(const std::vector<DrainRecord>& records) {
    for (const DrainRecord& record : records) take(record);
    return violations_;
  }

 private:
  using What = DrainRecord::What;
  struct Told {
    Micros at = 0;
    std::string sentence;
  };
  struct Leaving {
    Micros left = 0;
    std::optional<Told> told;
  };

  void take(const DrainRecord& r) {
    // What counted as told before this event counts still, whatever the event changes.
    for (auto& [server, leaving] : leaving_) settle(leaving, r.at);
    last_ = r.at;
    switch (r.what) {
      case What::Leaves:
        leaving_.try_emplace(r.server, Leaving{r.at, std::nullopt});
        break;
      case What::Returns:
        leaving_.erase(r.server);
        break;
      case What::Written:
        for (auto& [server, leaving] : leaving_) tell(leaving, r.at, "an answer was written");
        muted_.reset(), hangup_.reset(), failed_at_.reset();
        break;
      case What::Unreachable:
        reachable_since_.reset();
        break;
      case What::TurnedAway:  // this router could not reach it
        if (reachable_since_) reach(r.at);
        break;
      case What::Reachable:
        reach(r.at);
        break;
      case What::Muted:
        muted_ = std::max(r.at + kLatest, r.until + kAfterWait);
        break;
      case What::Called:
        called_ = r.at;
        break;
      case What::CallFailed:
        if (muted_ && !failed_at_) failed_at_ = r.at;
        break;
      case What::Hangup:
        // The first one's time runs on, however many follow.
        if (!hangup_) hangup_ = r.at + kAfterHangup;
        break;
      case What::Started:
        for (auto& [server, leaving] : leaving_) leaving.told.reset();
        called_.reset(), muted_.reset(), hangup_.reset(), failed_at_.reset();
        started_ = r.at;
        break;
      case What::Sent:
        judge(r);
        break;
    }
  }

  /// What a silent watch missed, or another address has, can be asked for only from here on.
  void reach(Micros now) {
    reachable_since_ = now;
    if (muted_) muted_ = std::max(*muted_, now + kLatest);
    if (hangup_ && !rules_.pushed) hangup_ = std::max(*hangup_, now + kLatest);
  }

  static void tell(Leaving& leaving, Micros at, const char* sentence) {
    if (!leaving.told || at < leaving.told->at) leaving.told = Told{at, sentence};
  }

  /// Tells what counts as told by `now` under the sentences that hold at present.
  void settle(Leaving& leaving, Micros now) {
    auto by = [&](Micros at, const char* sentence) {
      // A sentence that holds only since the last record tells nothing of before.
      at = std::max({at, started_, last_});
      if (at <= now) tell(leaving, at, sentence);
    };
    if (!reachable_since_) return;
    Micros had = std::max(leaving.left, *reachable_since_);
    if (hangup_) {
      by(std::max(*hangup_, had), "4 s after SIGHUP");
      return;
    }
    if (muted_) by(std::max(*muted_, had), "its watch fell silent");
    if (rules_.pushed && !muted_) by(had, "the agent has it");
    had = std::max(had, started_);
    if (!muted_) by(had + kLatest, "6 s after discovery had it");
    // What else a call that failed would allow ends then.
    if (muted_ && failed_at_) by(std::max(had, *failed_at_) + kLatest, "6 s after a call failed");
    if (!called_)
      by(std::max(leaving.left + rules_.ask_within, started_ + kFirstCall), "never asked");
  }

  void judge(const DrainRecord& r) {
    auto at = leaving_.find(r.server);
    if (at == leaving_.end() || !at->second.told) return;
    const Told& told = *at->second.told;
    if (r.at <= told.at + rules_.grace + kSlack) return;
    violations_.push_back({r.server, at->second.left, told.at, r.at, told.sentence});
  }

  DrainRules rules_;
  std::map<int, Leaving> leaving_;
  std::optional<Micros> reachable_since_ = 0, muted_, hangup_, called_, failed_at_;
  Micros started_ = 0, last_ = 0;
  std::vector<DrainViolation> violations_;
};

}  // namespace arrowfork::test
