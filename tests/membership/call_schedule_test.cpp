// CallSchedule in virtual time: whatever happens to single calls, the router knows a change before
// it must act on it.
#include "membership/call_schedule.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace robinseam::membership {
namespace {

constexpr Micros kMilli = 1000, kSecond = 1000 * kMilli;

enum class CallResult { Answered, Late, Refused, Malformed, Silent };
constexpr int kResultCount = 5;

/// Routers that share one discovery, which handles calls one at a time. Watches in flight when
/// fall_silent() is called are never answered; the change follows right after.
struct Tier {
  struct CallInFlight {
    int made = 0;
    Micros started = 0, wait = 0;
    bool silent = false;
  };
  struct Router {
    CallSchedule schedule;
    std::array<CallInFlight, CallSchedule::kSlots> in_flight{};
    Micros known_at = -1, deadline = -1, timer_at = -1;
    int calls = 0;
  };
  Tier(int n, Micros work, unsigned seed) : random(seed), work_(work) {
    for (int k = 0; k < n; ++k) routers.push_back({CallSchedule(n, false), {}, -1, -1, -1, 0});
  }
  void at(Micros t, std::function<void()> what) { events.push({t, order++, std::move(what)}); }
  double chance() { return std::uniform_real_distribution<>()(random); }

  void start(std::size_t r) {
    if (auto call = routers[r].schedule.begin(now, chance())) start_call(r, *call);
  }
  void start_call(std::size_t r, CallSchedule::Call call) {
    Router& one = routers[r];
    CallInFlight& in_slot = one.in_flight[static_cast<std::size_t>(call.slot)];
    in_slot = {++one.calls, now, call.wait, false};
    calls_at.push_back(now);
    CallResult result = results ? results(one.calls) : CallResult::Answered;
    int made = in_slot.made, slot = call.slot;
    Micros begin = std::max(now, busy_until), ready = begin + work_;
    bool down = now >= down_from && now < down_until;
    if (down) result = down_result;
    bool refused = result != CallResult::Silent &&
                   (begin - now > 2 * kSecond || result == CallResult::Refused);
    if (!refused && !down) busy_until = ready;
    if (result == CallResult::Late) ready += 2 * kSecond;
    if (refused)
      at(result == CallResult::Refused ? now + kMilli : now + 2 * kSecond,
         [=, this] { failed(r, slot, made, CallFailure::Refused); });
    else if (result == CallResult::Malformed)
      at(ready, [=, this] { failed(r, slot, made, CallFailure::Malformed); });
    else if (result == CallResult::Silent)
      in_slot.silent = true;
    else
      at(ready, [=, this] { handle_call(r, slot, made); });
    at(now + call.wait + 4 * kSecond, [=, this] { failed(r, slot, made, CallFailure::TimedOut); });
    schedule_timer(r);
  }
  bool is_in_flight(std::size_t r, int slot, int made) {
    return routers[r].schedule.in_flight(slot) &&
           routers[r].in_flight[static_cast<std::size_t>(slot)].made == made;
  }
  void handle_call(std::size_t r, int slot, int made) {
    if (!is_in_flight(r, slot, made)) return;
    CallInFlight& in_slot = routers[r].in_flight[static_cast<std::size_t>(slot)];
    // A change ends a watch at once.
    bool has_changes = changed_at >= 0 && now >= changed_at && routers[r].known_at < 0;
    if (in_slot.wait == 0 || has_changes)
      answer(r, slot, made);
    else
      at(in_slot.started + in_slot.wait, [=, this] { answer(r, slot, made); });
  }
  void answer(std::size_t r, int slot, int made) {
    Router& one = routers[r];
    if (!is_in_flight(r, slot, made) || one.in_flight[static_cast<std::size_t>(slot)].silent)
      return;
    bool has_changes = changed_at >= 0 && now >= changed_at && one.known_at < 0;
    if (has_changes) one.known_at = now;
    one.schedule.on_answer(now, slot, has_changes, chance());
    schedule_timer(r);
  }
  void failed(std::size_t r, int slot, int made, CallFailure failure) {
    if (!is_in_flight(r, slot, made)) return;
    // The router has a list, so the schedule plans the next call in any case.
    routers[r].schedule.on_failure(now, slot, failure, chance());
    schedule_timer(r);
  }
  void schedule_timer(std::size_t r) {
    Router& one = routers[r];
    if (one.schedule.next() == CallSchedule::kNever || one.timer_at == one.schedule.next()) return;
    Micros t = one.timer_at = one.schedule.next();
    at(std::max(t, now), [=, this] {
      Router& router = routers[r];
      if (router.timer_at != t) return;
      router.timer_at = -1;
      if (router.schedule.next() != t) return schedule_timer(r);
      if (auto call = router.schedule.advance(now, chance())) start_call(r, *call);
    });
  }
  /// Discovery is down from now on for `span`: it refuses calls and closes those in flight, or is
  /// silent and lets them hang. Changes meanwhile are available when it is back.
  void go_down(Micros span, CallResult as) {
    down_from = now, down_until = now + span, down_result = as, changed_at = down_until;
    for (std::size_t r = 0; r < routers.size(); ++r)
      for (int slot = 0; slot < CallSchedule::kSlots; ++slot) {
        CallInFlight& in_slot = routers[r].in_flight[static_cast<std::size_t>(slot)];
        if (!routers[r].schedule.in_flight(slot)) continue;
        routers[r].deadline = down_until + 6 * kSecond;
        if (as == CallResult::Silent) {
          in_slot.silent = true;
          routers[r].deadline =
              std::max(routers[r].deadline, in_slot.started + in_slot.wait + 2 * kSecond);
        } else {
          int made = in_slot.made;
          at(now + kMilli, [=, this] { failed(r, slot, made, CallFailure::Refused); });
        }
      }
  }
  /// All watches in flight fall silent, and something changes.
  void fall_silent() {
    changed_at = now;
    for (Router& one : routers) {
      for (CallInFlight& in_slot : one.in_flight)
        if (one.schedule.in_flight(static_cast<int>(&in_slot - one.in_flight.data())) &&
            in_slot.wait > 0 && !in_slot.silent) {
          in_slot.silent = true;
          one.deadline = std::max(now + 6 * kSecond, in_slot.started + in_slot.wait + 2 * kSecond);
        }
    }
  }
  void run(Micros until) {
    while (!events.empty() && events.top().at <= until) {
      Event e = events.top();
      events.pop();
      now = e.at;
      e.what();
    }
    now = until;
  }

  struct Event {
    Micros at;
    int order;
    std::function<void()> what;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  std::vector<Router> routers;
  std::function<CallResult(int call)> results;
  std::vector<Micros> calls_at;
  std::priority_queue<Event> events;
  std::mt19937 random;
  Micros now = 0, busy_until = 0, changed_at = -1, work_;
  Micros down_from = -1, down_until = -1;
  CallResult down_result = CallResult::Refused;
  int order = 0;
};

// The watch has fallen silent; the next three calls have each combination of results. One or two
// silent or late calls fit before the deadline, and any number of refused or malformed ones. If the
// change is not known by then, the router knows that its list may be old, and keeps polling.
TEST(CallSchedule, EveryOrderOfCallResultsKeepsTheDeadlineOrIsReportedOverdue) {
  for (int code = 0; code < kResultCount * kResultCount * kResultCount; ++code) {
    CallResult three[] = {static_cast<CallResult>(code % kResultCount),
                          static_cast<CallResult>(code / kResultCount % kResultCount),
                          static_cast<CallResult>(code / kResultCount / kResultCount)};
    for (unsigned seed = 1; seed <= 5; ++seed) {
      Tier tier(1, 20 * kMilli, seed);
      tier.start(0);
      tier.run(kSecond);
      int before = tier.routers[0].calls;
      tier.results = [&](int call) {
        int k = call - before - 1;
        return k < 3 ? three[k] : CallResult::Answered;
      };
      tier.fall_silent();
      Tier::Router& one = tier.routers[0];
      tier.run(one.deadline);
      bool known = one.known_at >= 0;
      auto slow = [](CallResult f) { return f == CallResult::Silent; };
      if (std::count_if(three, three + 3, slow) <= 1) {
        EXPECT_TRUE(known) << code << ' ' << seed;
      }
      tier.run(one.deadline + 1);
      EXPECT_TRUE(known || one.schedule.overdue(tier.now)) << code << ' ' << seed;
      tier.run(one.deadline + 10 * kSecond);
      EXPECT_GE(one.known_at, 0) << code << ' ' << seed;
      EXPECT_FALSE(one.schedule.overdue(tier.now)) << code << ' ' << seed;
    }
  }
}

// All watches fall silent within seconds of the start, before one discovery that takes 2 to 8 s to
// handle one call of every router.
TEST(CallSchedule, ATierWhoseWatchesAllFallSilentLearnsOfAChangeBeforeItsDeadline) {
  struct Case {
    int routers;
    Micros work, silent_at;
  };
  const Case cases[] = {{1, 300 * kMilli, kSecond},       {6, 333 * kMilli, 2 * kSecond},
                        {14, 300 * kMilli, 4 * kSecond},  {100, 27 * kMilli, 3 * kSecond},
                        {350, 7 * kMilli, 1 * kSecond},   {350, 7 * kMilli, 5 * kSecond},
                        {350, 22 * kMilli, 1 * kSecond},  {350, 22 * kMilli, 2 * kSecond},
                        {350, 22 * kMilli, 10 * kSecond}, {350, 27 * kMilli, 5 * kSecond},
                        {1024, 7 * kMilli, 5 * kSecond},  {1024, 7 * kMilli, 20 * kSecond}};
  for (const Case& c : cases)
    for (unsigned seed = 1; seed <= 20; ++seed) {
      Tier tier(c.routers, c.work, seed);
      // As routers start: spread over 0.4 of the 10 s within which each has to poll.
      for (std::size_t r = 0; r < tier.routers.size(); ++r)
        tier.at(static_cast<Micros>(tier.chance() * 4 * kSecond), [&tier, r] { tier.start(r); });
      tier.run(c.silent_at);
      tier.fall_silent();
      std::size_t calls = tier.calls_at.size();
      tier.run(c.silent_at + 60 * kSecond);
      Micros least = kSecond * 1000;
      for (const Tier::Router& one : tier.routers) {
        if (one.deadline < 0) continue;  // had no watch
        ASSERT_GE(one.known_at, 0) << c.routers << ' ' << c.work << ' ' << seed;
        least = std::min(least, one.deadline - one.known_at);
      }
      EXPECT_GT(least, 200 * kMilli)
          << c.routers << ' ' << c.work << ' ' << c.silent_at << ' ' << seed;
      // The two calls of a round are spread over 14 s, most of them over 8 s, and refused calls
      // that are repeated come on top where discovery can't handle as many: per 100 ms twice 1/80
      // of the calls, plus five standard deviations.
      std::vector<int> calls_per_100ms(600);
      for (std::size_t k = calls; k < tier.calls_at.size(); ++k)
        ++calls_per_100ms[static_cast<std::size_t>((tier.calls_at[k] - c.silent_at) /
                                                   (100 * kMilli))];
      double mean = 2 * 2.0 * c.routers / 80;
      EXPECT_LE(*std::max_element(calls_per_100ms.begin() + 30, calls_per_100ms.end()),
                mean + 5 * std::sqrt(mean) + 4)
          << c.routers << ' ' << c.work << ' ' << c.silent_at << ' ' << seed;
      // At least two calls per 10 s of a watch, and refused calls are repeated.
      EXPECT_LT(tier.calls_at.size() - calls, tier.routers.size() * 16) << c.routers << ' ' << seed;
    }
}

// A watch is reset, the change follows right after, and the next three calls have each combination
// of results. The change counts 6 s later whatever the results; if more than one call was silent,
// the router knows that its list may be old.
TEST(CallSchedule,
     AfterAResetWatchEveryOrderOfCallResultsLearnsWithinSixSecondsOrIsReportedOverdue) {
  for (int code = 0; code < kResultCount * kResultCount * kResultCount; ++code) {
    CallResult three[] = {static_cast<CallResult>(code % kResultCount),
                          static_cast<CallResult>(code / kResultCount % kResultCount),
                          static_cast<CallResult>(code / kResultCount / kResultCount)};
    for (Micros up : {50 * kMilli, 3 * kSecond, 12 * kSecond}) {
      for (unsigned seed = 1; seed <= 5; ++seed) {
        Tier tier(1, 20 * kMilli, seed);
        tier.start(0);
        tier.run(30 * kMilli + up);
        int before = tier.routers[0].calls;
        tier.results = [&](int call) {
          int k = call - before - 1;
          return k < 3 ? three[k] : CallResult::Answered;
        };
        tier.go_down(0, CallResult::Refused);
        Micros deadline = tier.now + 6 * kSecond;
        const Tier::Router& one = tier.routers[0];
        tier.run(deadline);
        bool known = one.known_at >= 0;
        if (std::count(three, three + 3, CallResult::Silent) <= 1) {
          EXPECT_TRUE(known) << code << ' ' << up << ' ' << seed;
        }
        tier.run(deadline + 2 * kMilli);
        EXPECT_TRUE(known || one.schedule.overdue(tier.now)) << code << ' ' << up << ' ' << seed;
        tier.run(deadline + 10 * kSecond);
        EXPECT_GE(one.known_at, 0) << code << ' ' << up << ' ' << seed;
      }
    }
  }
}

// Discovery is down, refusing or silent, and has a change when it is back: every router knows it
// within 6 s. In these 6 s discovery must handle one call of every router twice, for the list and
// for the watch after it; up to 2.5 s each fit. Above that the load forbids it, not the pauses: all
// routers learn of the change in the end, and until then report that their list may be old.
struct Outage {
  int routers;
  Micros work;
};
struct OutageResult {
  Micros last = 0;  // time after the return until the last router knows; for a hanging watch, the
                    // time beyond its deadline
  int peak = 0;     // most calls in 100 ms
};
OutageResult play(const Outage& c, Micros down, CallResult as, unsigned seed, Micros until) {
  Tier tier(c.routers, c.work, seed);
  for (std::size_t r = 0; r < tier.routers.size(); ++r)
    tier.at(static_cast<Micros>(tier.chance() * 4 * kSecond), [&tier, r] { tier.start(r); });
  tier.run(20 * kSecond);
  tier.go_down(down, as);
  Micros back = tier.down_until;
  tier.run(back + 6 * kSecond + 1);
  for (const Tier::Router& one : tier.routers) {
    if (one.known_at < 0 && one.deadline >= 0 && one.deadline <= back + 6 * kSecond) {
      EXPECT_TRUE(one.schedule.overdue(tier.now)) << c.routers << ' ' << c.work << ' ' << seed;
    }
  }
  tier.run(back + until);
  OutageResult seen;
  for (const Tier::Router& one : tier.routers) {
    Micros allowed = one.deadline < 0 ? 0 : one.deadline - back - 6 * kSecond;
    if (one.known_at < 0 && allowed + 6 * kSecond > until)
      continue;  // it hangs, and its deadline is later
    EXPECT_GE(one.known_at, 0) << c.routers << ' ' << c.work << ' ' << down << ' ' << seed;
    seen.last = std::max(seen.last, one.known_at - back - allowed);
  }
  std::vector<int> calls_per_100ms(static_cast<std::size_t>(until / (100 * kMilli)) + 1);
  for (Micros t : tier.calls_at)
    if (t >= back) ++calls_per_100ms[static_cast<std::size_t>((t - back) / (100 * kMilli))];
  seen.peak = *std::max_element(calls_per_100ms.begin(), calls_per_100ms.end());
  return seen;
}

TEST(CallSchedule, ATierLearnsOfAChangeWithinSixSecondsOfDiscoverysReturnHoweverLongItWasDown) {
  const Outage cases[] = {{1, 27 * kMilli},  {30, 2 * kMilli},  {30, 27 * kMilli},
                          {350, 4 * kMilli}, {350, 7 * kMilli}, {1024, 2400}};
  for (const Outage& c : cases)
    for (Micros down : {kSecond / 2, 2 * kSecond, 8 * kSecond, 30 * kSecond})
      for (CallResult as : {CallResult::Refused, CallResult::Silent}) {
        OutageResult worst;
        for (unsigned seed = 1; seed <= 20; ++seed) {
          OutageResult seen = play(c, down, as, seed, 20 * kSecond);
          worst.last = std::max(worst.last, seen.last);
          worst.peak = std::max(worst.peak, seen.peak);
        }
        EXPECT_LT(worst.last, 6 * kSecond) << c.routers << ' ' << c.work << ' ' << down;
        // First pauses spread over half of the time for one call of every router, 0.2 to 0.9 s; two
        // calls each, plus five standard deviations.
        double span = std::clamp(c.routers * 10.0 * kMilli, 400.0 * kMilli, 1800.0 * kMilli) / 2;
        double mean = 2 * c.routers * 100.0 * kMilli / span;
        EXPECT_LE(worst.peak, mean + 5 * std::sqrt(mean) + 4) << c.routers << ' ' << down;
        std::string name = std::to_string(c.routers) + " routers, " +
                           std::to_string(c.work / kMilli) + " ms a call, " +
                           (as == CallResult::Silent ? "silent " : "refuses ") +
                           std::to_string(down / kMilli) + " ms";
        RecordProperty(
            name, std::to_string(worst.last / kMilli) + " ms, peak " + std::to_string(worst.peak));
      }
}

TEST(CallSchedule, RoutersReportAnOldListWhereDiscoveryCanNotHandleACallOfEachInTime) {
  for (const Outage& c :
       {Outage{350, 12 * kMilli}, Outage{350, 27 * kMilli}, Outage{1024, 7 * kMilli}})
    for (unsigned seed = 1; seed <= 5; ++seed) {
      OutageResult seen = play(c, 8 * kSecond, CallResult::Refused, seed, 60 * kSecond);
      EXPECT_LT(seen.last, 4 * c.routers * c.work) << c.routers << ' ' << seed;
    }
}

// Without faults: two calls per router in 20 s. Watches that start together must not stay
// synchronised, or discovery gets peaks of load.
TEST(CallSchedule, WatchesStartedTogetherSpread) {
  for (int routers : {14, 350, 1024}) {
    Tier tier(routers, kMilli, 1);
    for (std::size_t r = 0; r < tier.routers.size(); ++r) tier.start(r);
    tier.run(80 * kSecond);
    auto count = [&](Micros from, Micros to) {
      return static_cast<int>(std::count_if(tier.calls_at.begin(), tier.calls_at.end(),
                                            [&](Micros t) { return t >= from && t < to; }));
    };
    EXPECT_NEAR(count(20 * kSecond, 80 * kSecond), routers * 7, routers + 4);
    // The calls of a round are spread over 14 s, most of them over 8 s: per 100 ms 1/80 of two
    // calls per router on average, plus five standard deviations.
    double mean = 2.0 * routers / 80;
    for (Micros t = 15 * kSecond; t < 80 * kSecond; t += 100 * kMilli)
      EXPECT_LE(count(t, t + 100 * kMilli), mean + 5 * std::sqrt(mean) + 4) << routers << ' ' << t;
  }
}

// An agent may fall silent at any time, and what it has when it returns counts at once, so it is
// called all the time.
TEST(CallSchedule, ASilentAgentIsCalledFourTimesASecond) {
  CallSchedule schedule(300, true);
  std::vector<Micros> made;
  Micros now = 0;
  auto call = schedule.begin(now, 0.5);
  schedule.on_answer(10 * kMilli, call.value().slot, true, 0.5);
  for (now = 10 * kMilli; now < 20 * kSecond; now += kMilli)
    if (auto next = schedule.advance(now, 0.5)) {
      EXPECT_EQ(next->wait > 0, made.empty());
      made.push_back(now);
    }
  ASSERT_GT(made.size(), 60u);
  for (std::size_t k = 2; k < made.size(); ++k) EXPECT_LE(made[k] - made[k - 1], 300 * kMilli);
  EXPECT_LE(made[1] - made[0], 2300 * kMilli);
  schedule.on_answer(now, 0, true, 0.5);
  EXPECT_FALSE(schedule.overdue(now));
}

// Behaviour towards a queue at discovery
// (docs/incidents/2026-12-02-drain-under-fault-injection.md).

constexpr double kHalf = 0.5;

/// Makes the next call and returns its time.
Micros next_call(CallSchedule& schedule, CallSchedule::Call& made) {
  Micros t = schedule.next();
  while (true) {
    if (auto call = schedule.advance(t, kHalf)) {
      made = *call;
      return t;
    }
    if (schedule.next() <= t) ADD_FAILURE() << "no progress at " << t;
    t = schedule.next();
  }
}

TEST(CallSchedule, ACallThatMayBeQueuedKeepsItsPlaceForFourSeconds) {
  CallSchedule schedule(44, false);
  schedule.add_inherited_list(0);
  int slot = schedule.begin(0, kHalf).value().slot;
  schedule.on_failure(2 * kMilli, slot, CallFailure::Refused, kHalf);
  CallSchedule::Call waits, beside;
  Micros started = next_call(schedule, waits);
  EXPECT_GE(next_call(schedule, beside) - started, 4 * kSecond);
}

TEST(CallSchedule, ARefusedCallStartsNoOtherBesideAQueuedOne) {
  CallSchedule schedule(44, false);
  int first = schedule.begin(0, kHalf).value().slot;
  CallSchedule::Call second, third;
  Micros started = next_call(schedule, second);
  schedule.on_failure(started + 2 * kMilli, first, CallFailure::Refused, kHalf);
  EXPECT_GE(next_call(schedule, third) - started, 4 * kSecond);
}

TEST(CallSchedule, PausesDoubleAfterCallsRefusedFromTheQueueAndAreShortAgainAfterAnAnswer) {
  CallSchedule schedule(20, false);
  schedule.add_inherited_list(0);
  Micros now = 0;
  int slot = schedule.begin(now, kHalf).value().slot;
  Micros before = 0;
  for (int k = 0; k < 3; ++k) {
    now += 2 * kSecond;
    schedule.on_failure(now, slot, CallFailure::Refused, kHalf);
    CallSchedule::Call call;
    Micros started = next_call(schedule, call);
    EXPECT_GE(started - now, k == 0 ? kSecond / 2 : 2 * before) << k;
    before = started - now, now = started, slot = call.slot;
  }
  schedule.on_answer(now + kMilli, slot, false, kHalf);
  CallSchedule::Call watch;
  EXPECT_LT(next_call(schedule, watch) - now, 10 * kMilli);
}

TEST(CallSchedule, AfterAChangeTheNextWatchIsNewAndShort) {
  CallSchedule schedule(20, false);
  Micros now = 10 * kMilli;
  schedule.on_answer(now, schedule.begin(0, kHalf).value().slot, true, kHalf);
  CallSchedule::Call watch;
  Micros started = next_call(schedule, watch);
  EXPECT_LE(started - now, kMilli);  // after a full list the watch continues
  EXPECT_GE(watch.wait, 20 * kSecond);
  now = started + 5 * kSecond;
  schedule.on_answer(now, watch.slot, true, kHalf);
  EXPECT_FALSE(schedule.begin(now + 100 * kMilli, kHalf).has_value());  // too soon after an answer
  started = next_call(schedule, watch);
  EXPECT_GT(started - now, 200 * kMilli);
  EXPECT_LT(started - now, 270 * kMilli);
}

TEST(CallSchedule, AFirstWatchAfterAChangeIsCheckedBeforeItsGapCounts) {
  CallSchedule schedule(20, false);
  schedule.on_answer(10 * kMilli, schedule.begin(0, kHalf).value().slot, true, kHalf);
  CallSchedule::Call watch, check;
  Micros now = next_call(schedule, watch) + 5 * kSecond;
  schedule.on_answer(now, watch.slot, true, kHalf);
  Micros started = next_call(schedule, watch);
  EXPECT_EQ(watch.wait, 2 * kSecond);
  EXPECT_LT(next_call(schedule, check) - now, 5 * kSecond);  // the watch is silent
  EXPECT_EQ(check.wait, 0);
  EXPECT_GT(started, now);
}

}  // namespace
}  // namespace robinseam::membership
