// Calls on discovery in virtual time: whatever becomes of single calls, a change is known before it
// counts as told.
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

enum class Fate { Answered, Late, Refused, Spoilt, Silent };
constexpr int kFates = 5;

/// Routers before one discovery that works on calls in turn. Watches that are out at `silent_at`
/// never tell anything more; the change comes right after.
struct Tier {
  struct Out {
    int made = 0;
    Micros begun = 0, wait = 0;
    bool dead = false;  // silent
  };
  struct Router {
    CallSchedule schedule;
    std::array<Out, CallSchedule::kSlots> out{};
    Micros told_at = -1, due = -1, alarm = -1;
    int calls = 0;
  };
  Tier(int n, Micros work, unsigned seed) : random(seed), work_(work) {
    for (int k = 0; k < n; ++k) routers.push_back({CallSchedule(n, false), {}, -1, -1, -1, 0});
  }
  void at(Micros t, std::function<void()> what) { events.push({t, order++, std::move(what)}); }
  double chance() { return std::uniform_real_distribution<>()(random); }

  void start(std::size_t r) {
    if (auto call = routers[r].schedule.begin(now, chance())) made(r, *call);
  }
  void made(std::size_t r, CallSchedule::Call call) {
    Router& one = routers[r];
    Out& out = one.out[static_cast<std::size_t>(call.slot)];
    out = {++one.calls, now, call.wait, false};
    calls_at.push_back(now);
    Fate fate = fates ? fates(one.calls) : Fate::Answered;
    int made = out.made, slot = call.slot;
    Micros begin = std::max(now, busy_until), ready = begin + work_;
    bool down = now >= down_from && now < down_until;
    if (down) fate = down_as;
    bool refused = fate != Fate::Silent && (begin - now > 2 * kSecond || fate == Fate::Refused);
    if (!refused && !down) busy_until = ready;
    if (fate == Fate::Late) ready += 2 * kSecond;
    if (refused)
      at(fate == Fate::Refused ? now + kMilli : now + 2 * kSecond,
         [=, this] { failed(r, slot, made, CallFailure::Refused); });
    else if (fate == Fate::Spoilt)
      at(ready, [=, this] { failed(r, slot, made, CallFailure::Malformed); });
    else if (fate == Fate::Silent)
      out.dead = true;
    else
      at(ready, [=, this] { worked(r, slot, made); });
    at(now + call.wait + 4 * kSecond, [=, this] { failed(r, slot, made, CallFailure::TimedOut); });
    follow(r);
  }
  bool is_out(std::size_t r, int slot, int made) {
    return routers[r].schedule.in_flight(slot) &&
           routers[r].out[static_cast<std::size_t>(slot)].made == made;
  }
  void worked(std::size_t r, int slot, int made) {
    if (!is_out(r, slot, made)) return;
    Out& out = routers[r].out[static_cast<std::size_t>(slot)];
    // What is new ends a watch at once.
    bool news = changed_at >= 0 && now >= changed_at && routers[r].told_at < 0;
    if (out.wait == 0 || news)
      answer(r, slot, made);
    else
      at(out.begun + out.wait, [=, this] { answer(r, slot, made); });
  }
  void answer(std::size_t r, int slot, int made) {
    Router& one = routers[r];
    if (!is_out(r, slot, made) || one.out[static_cast<std::size_t>(slot)].dead) return;
    bool news = changed_at >= 0 && now >= changed_at && one.told_at < 0;
    if (news) one.told_at = now;
    one.schedule.on_answer(now, slot, news, chance());
    follow(r);
  }
  void failed(std::size_t r, int slot, int made, CallFailure fault) {
    if (!is_out(r, slot, made)) return;
    // With a list in hand the next call is the machine's in any case.
    routers[r].schedule.on_failure(now, slot, fault, chance());
    follow(r);
  }
  void follow(std::size_t r) {
    Router& one = routers[r];
    if (one.schedule.next() == CallSchedule::kNever || one.alarm == one.schedule.next()) return;
    Micros t = one.alarm = one.schedule.next();
    at(std::max(t, now), [=, this] {
      Router& due = routers[r];
      if (due.alarm != t) return;
      due.alarm = -1;
      if (due.schedule.next() != t) return follow(r);
      if (auto call = due.schedule.advance(now, chance())) made(r, *call);
    });
  }
  /// Discovery is down from now on for `span`: refuses or is silent, and ends what is out or lets
  /// it hang. What changes meanwhile it has, and can tell, when it is back.
  void go_down(Micros span, Fate as) {
    down_from = now, down_until = now + span, down_as = as, changed_at = down_until;
    for (std::size_t r = 0; r < routers.size(); ++r)
      for (int slot = 0; slot < CallSchedule::kSlots; ++slot) {
        Out& out = routers[r].out[static_cast<std::size_t>(slot)];
        if (!routers[r].schedule.in_flight(slot)) continue;
        routers[r].due = down_until + 6 * kSecond;
        if (as == Fate::Silent) {
          out.dead = true;
          routers[r].due = std::max(routers[r].due, out.begun + out.wait + 2 * kSecond);
        } else {
          int made = out.made;
          at(now + kMilli, [=, this] { failed(r, slot, made, CallFailure::Refused); });
        }
      }
  }
  /// All watches that are out fall silent, and something changes.
  void fall_silent() {
    changed_at = now;
    for (Router& one : routers) {
      for (Out& out : one.out)
        if (one.schedule.in_flight(static_cast<int>(&out - one.out.data())) && out.wait > 0 &&
            !out.dead) {
          out.dead = true;
          one.due = std::max(now + 6 * kSecond, out.begun + out.wait + 2 * kSecond);
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
  std::function<Fate(int call)> fates;
  std::vector<Micros> calls_at;
  std::priority_queue<Event> events;
  std::mt19937 random;
  Micros now = 0, busy_until = 0, changed_at = -1, work_;
  Micros down_from = -1, down_until = -1;
  Fate down_as = Fate::Refused;
  int order = 0;
};

// The watch has fallen silent; then each order of what may become of the next three calls. One or
// two that are silent or late fit before the due, and any that are turned away or spoilt; where the
// change is not known by then, the router knows that its list may be old, and goes on asking.
TEST(CallSchedule, EveryOrderOfSilentRefusedSpoiltLateAndAnsweredKeepsTheBudgetOrSaysSo) {
  for (int code = 0; code < kFates * kFates * kFates; ++code) {
    Fate three[] = {static_cast<Fate>(code % kFates), static_cast<Fate>(code / kFates % kFates),
                    static_cast<Fate>(code / kFates / kFates)};
    for (unsigned seed = 1; seed <= 5; ++seed) {
      Tier tier(1, 20 * kMilli, seed);
      tier.start(0);
      tier.run(kSecond);
      int before = tier.routers[0].calls;
      tier.fates = [&](int call) {
        int k = call - before - 1;
        return k < 3 ? three[k] : Fate::Answered;
      };
      tier.fall_silent();
      Tier::Router& one = tier.routers[0];
      tier.run(one.due);
      bool known = one.told_at >= 0;
      auto slow = [](Fate f) { return f == Fate::Silent; };
      if (std::count_if(three, three + 3, slow) <= 1) {
        EXPECT_TRUE(known) << code << ' ' << seed;
      }
      tier.run(one.due + 1);
      EXPECT_TRUE(known || one.schedule.overdue(tier.now)) << code << ' ' << seed;
      tier.run(one.due + 10 * kSecond);
      EXPECT_GE(one.told_at, 0) << code << ' ' << seed;
      EXPECT_FALSE(one.schedule.overdue(tier.now)) << code << ' ' << seed;
    }
  }
}

// The case: all watches silent within seconds of the start, one discovery for all, which
// takes 2 to 8 s for a call of every router.
TEST(CallSchedule, ATierWhoseWatchesAllFallSilentKnowsAChangeBeforeItCounts) {
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
      // As the module begins: spread over 0.4 of the 10 s within which each has to ask.
      for (std::size_t r = 0; r < tier.routers.size(); ++r)
        tier.at(static_cast<Micros>(tier.chance() * 4 * kSecond), [&tier, r] { tier.start(r); });
      tier.run(c.silent_at);
      tier.fall_silent();
      std::size_t calls = tier.calls_at.size();
      tier.run(c.silent_at + 60 * kSecond);
      Micros least = kSecond * 1000;
      for (const Tier::Router& one : tier.routers) {
        if (one.due < 0) continue;  // had no watch
        ASSERT_GE(one.told_at, 0) << c.routers << ' ' << c.work << ' ' << seed;
        least = std::min(least, one.due - one.told_at);
      }
      EXPECT_GT(least, 200 * kMilli)
          << c.routers << ' ' << c.work << ' ' << c.silent_at << ' ' << seed;
      // A round's two calls lie over 14 s, most of them over 8, with what is turned away again on
      // top where discovery can't take that much: in 100 ms twice a part in 80, and five roots of
      // it.
      std::vector<int> tenths(600);
      for (std::size_t k = calls; k < tier.calls_at.size(); ++k)
        ++tenths[static_cast<std::size_t>((tier.calls_at[k] - c.silent_at) / (100 * kMilli))];
      double mean = 2 * 2.0 * c.routers / 80;
      EXPECT_LE(*std::max_element(tenths.begin() + 30, tenths.end()),
                mean + 5 * std::sqrt(mean) + 4)
          << c.routers << ' ' << c.work << ' ' << c.silent_at << ' ' << seed;
      // Two calls in 10 s of a watch at the least, and those that are turned away come again.
      EXPECT_LT(tier.calls_at.size() - calls, tier.routers.size() * 16) << c.routers << ' ' << seed;
    }
}

// A watch is reset, the change comes right behind, and then each order of what may become of the
// next three calls. It counts 6 s later whatever the calls came to; where more than one of them was
// silent the router knows that its list may be old.
TEST(CallSchedule, AResetWatchAndEveryOrderOfThreeMoreCallsKnowsWithinSixSecondsOrSaysSo) {
  for (int code = 0; code < kFates * kFates * kFates; ++code) {
    Fate three[] = {static_cast<Fate>(code % kFates), static_cast<Fate>(code / kFates % kFates),
                    static_cast<Fate>(code / kFates / kFates)};
    for (Micros up : {50 * kMilli, 3 * kSecond, 12 * kSecond}) {
      for (unsigned seed = 1; seed <= 5; ++seed) {
        Tier tier(1, 20 * kMilli, seed);
        tier.start(0);
        tier.run(30 * kMilli + up);
        int before = tier.routers[0].calls;
        tier.fates = [&](int call) {
          int k = call - before - 1;
          return k < 3 ? three[k] : Fate::Answered;
        };
        tier.go_down(0, Fate::Refused);
        Micros due = tier.now + 6 * kSecond;
        const Tier::Router& one = tier.routers[0];
        tier.run(due);
        bool known = one.told_at >= 0;
        if (std::count(three, three + 3, Fate::Silent) <= 1) {
          EXPECT_TRUE(known) << code << ' ' << up << ' ' << seed;
        }
        tier.run(due + 2 * kMilli);
        EXPECT_TRUE(known || one.schedule.overdue(tier.now)) << code << ' ' << up << ' ' << seed;
        tier.run(due + 10 * kSecond);
        EXPECT_GE(one.told_at, 0) << code << ' ' << up << ' ' << seed;
      }
    }
  }
}

// Discovery is down, refusing or silent, and has something to tell when it is back: every router
// knows 6 s after. Of the 6 s discovery needs what a call of each router takes it, for
// the list and for the watch behind it; 2.5 s of that fit in twice. Beyond, it is the sum that
// forbids it, not the pauses: all know in the end, and until then say that their list may be old.
struct Outage {
  int routers;
  Micros work;
};
struct Seen {
  Micros last = 0;  // to know, after the return; of a watch that hangs, beyond what its wait allows
  int peak = 0;     // of calls in 100 ms
};
Seen play(const Outage& c, Micros down, Fate as, unsigned seed, Micros until) {
  Tier tier(c.routers, c.work, seed);
  for (std::size_t r = 0; r < tier.routers.size(); ++r)
    tier.at(static_cast<Micros>(tier.chance() * 4 * kSecond), [&tier, r] { tier.start(r); });
  tier.run(20 * kSecond);
  tier.go_down(down, as);
  Micros back = tier.down_until;
  tier.run(back + 6 * kSecond + 1);
  for (const Tier::Router& one : tier.routers) {
    if (one.told_at < 0 && one.due >= 0 && one.due <= back + 6 * kSecond) {
      EXPECT_TRUE(one.schedule.overdue(tier.now)) << c.routers << ' ' << c.work << ' ' << seed;
    }
  }
  tier.run(back + until);
  Seen seen;
  for (const Tier::Router& one : tier.routers) {
    Micros allowed = one.due < 0 ? 0 : one.due - back - 6 * kSecond;
    if (one.told_at < 0 && allowed + 6 * kSecond > until) continue;  // it hangs, and still may
    EXPECT_GE(one.told_at, 0) << c.routers << ' ' << c.work << ' ' << down << ' ' << seed;
    seen.last = std::max(seen.last, one.told_at - back - allowed);
  }
  std::vector<int> tenths(static_cast<std::size_t>(until / (100 * kMilli)) + 1);
  for (Micros t : tier.calls_at)
    if (t >= back) ++tenths[static_cast<std::size_t>((t - back) / (100 * kMilli))];
  seen.peak = *std::max_element(tenths.begin(), tenths.end());
  return seen;
}

TEST(CallSchedule, ATierKnowsWithinSixSecondsOfDiscoverysReturnHoweverLongItWasDown) {
  const Outage cases[] = {{1, 27 * kMilli},  {30, 2 * kMilli},  {30, 27 * kMilli},
                          {350, 4 * kMilli}, {350, 7 * kMilli}, {1024, 2400}};
  for (const Outage& c : cases)
    for (Micros down : {kSecond / 2, 2 * kSecond, 8 * kSecond, 30 * kSecond})
      for (Fate as : {Fate::Refused, Fate::Silent}) {
        Seen worst;
        for (unsigned seed = 1; seed <= 20; ++seed) {
          Seen seen = play(c, down, as, seed, 20 * kSecond);
          worst.last = std::max(worst.last, seen.last);
          worst.peak = std::max(worst.peak, seen.peak);
        }
        EXPECT_LT(worst.last, 6 * kSecond) << c.routers << ' ' << c.work << ' ' << down;
        // First pauses lie over half of the tier's calls, 0.2 to 0.9 s; two calls each, five roots
        // for chance.
        double span = std::clamp(c.routers * 10.0 * kMilli, 400.0 * kMilli, 1800.0 * kMilli) / 2;
        double mean = 2 * c.routers * 100.0 * kMilli / span;
        EXPECT_LE(worst.peak, mean + 5 * std::sqrt(mean) + 4) << c.routers << ' ' << down;
        std::string name = std::to_string(c.routers) + " routers, " +
                           std::to_string(c.work / kMilli) + " ms a call, " +
                           (as == Fate::Silent ? "silent " : "refuses ") +
                           std::to_string(down / kMilli) + " ms";
        RecordProperty(
            name, std::to_string(worst.last / kMilli) + " ms, peak " + std::to_string(worst.peak));
      }
}

TEST(CallSchedule, WhereDiscoveryCanNotTakeACallOfEachInTimeAllSayThatTheirListMayBeOld) {
  for (const Outage& c :
       {Outage{350, 12 * kMilli}, Outage{350, 27 * kMilli}, Outage{1024, 7 * kMilli}})
    for (unsigned seed = 1; seed <= 5; ++seed) {
      Seen seen = play(c, 8 * kSecond, Fate::Refused, seed, 60 * kSecond);
      EXPECT_LT(seen.last, 4 * c.routers * c.work) << c.routers << ' ' << seed;
    }
}

// In quiet times: two calls a router in 20 s, whose peak does not stay where the start put it.
TEST(CallSchedule, WatchesBegunTogetherSpread) {
  for (int routers : {14, 350, 1024}) {
    Tier tier(routers, kMilli, 1);
    for (std::size_t r = 0; r < tier.routers.size(); ++r) tier.start(r);
    tier.run(80 * kSecond);
    auto count = [&](Micros from, Micros to) {
      return static_cast<int>(std::count_if(tier.calls_at.begin(), tier.calls_at.end(),
                                            [&](Micros t) { return t >= from && t < to; }));
    };
    EXPECT_NEAR(count(20 * kSecond, 80 * kSecond), routers * 7, routers + 4);
    // A round's calls lie over 14 s, most of them over 8: in 100 ms a part in 80 in the mean, of
    // two calls, and five times the root of it for chance.
    double mean = 2.0 * routers / 80;
    for (Micros t = 15 * kSecond; t < 80 * kSecond; t += 100 * kMilli)
      EXPECT_LE(count(t, t + 100 * kMilli), mean + 5 * std::sqrt(mean) + 4) << routers << ' ' << t;
  }
}

// An agent may fall silent at any time and learns nothing then: what it has at its return counts at
// once, so it is asked all the time.
TEST(CallSchedule, AnAgentThatIsSilentIsAskedFourTimesASecond) {
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

// What a line at discovery asks for (docs/incidents/2026-12-02-drain-under-fault-injection.md).

constexpr double kMiddle = 0.5;

/// The time of the next call, which is made then.
Micros next_call(CallSchedule& schedule, CallSchedule::Call& made) {
  Micros t = schedule.next();
  while (true) {
    if (auto call = schedule.advance(t, kMiddle)) {
      made = *call;
      return t;
    }
    if (schedule.next() <= t) ADD_FAILURE() << "stuck at " << t;
    t = schedule.next();
  }
}

TEST(CallSchedule, ACallThatMayWaitInLineKeepsItsPlaceForFourSeconds) {
  CallSchedule schedule(44, false);
  schedule.add_inherited_list(0);
  int slot = schedule.begin(0, kMiddle).value().slot;
  schedule.on_failure(2 * kMilli, slot, CallFailure::Refused, kMiddle);
  CallSchedule::Call waits, beside;
  Micros begun = next_call(schedule, waits);
  EXPECT_GE(next_call(schedule, beside) - begun, 4 * kSecond);
}

TEST(CallSchedule, ARefusedCallStartsNoOtherBesideOneThatWaitsInLine) {
  CallSchedule schedule(44, false);
  int first = schedule.begin(0, kMiddle).value().slot;
  CallSchedule::Call second, third;
  Micros begun = next_call(schedule, second);
  schedule.on_failure(begun + 2 * kMilli, first, CallFailure::Refused, kMiddle);
  EXPECT_GE(next_call(schedule, third) - begun, 4 * kSecond);
}

TEST(CallSchedule, PausesDoubleAfterCallsThatWaitedInVainAndAreShortAgainAfterAnAnswer) {
  CallSchedule schedule(20, false);
  schedule.add_inherited_list(0);
  Micros now = 0;
  int slot = schedule.begin(now, kMiddle).value().slot;
  Micros before = 0;
  for (int k = 0; k < 3; ++k) {
    now += 2 * kSecond;
    schedule.on_failure(now, slot, CallFailure::Refused, kMiddle);
    CallSchedule::Call call;
    Micros begun = next_call(schedule, call);
    EXPECT_GE(begun - now, k == 0 ? kSecond / 2 : 2 * before) << k;
    before = begun - now, now = begun, slot = call.slot;
  }
  schedule.on_answer(now + kMilli, slot, false, kMiddle);
  CallSchedule::Call watch;
  EXPECT_LT(next_call(schedule, watch) - now, 10 * kMilli);
}

TEST(CallSchedule, BehindAChangeTheNextWatchIsANewAndShortOne) {
  CallSchedule schedule(20, false);
  Micros now = 10 * kMilli;
  schedule.on_answer(now, schedule.begin(0, kMiddle).value().slot, true, kMiddle);
  CallSchedule::Call watch;
  Micros begun = next_call(schedule, watch);
  EXPECT_LE(begun - now, kMilli);  // behind a list it goes on
  EXPECT_GE(watch.wait, 20 * kSecond);
  now = begun + 5 * kSecond;
  schedule.on_answer(now, watch.slot, true, kMiddle);
  EXPECT_FALSE(schedule.begin(now + 100 * kMilli, kMiddle).has_value());  // whoever asks
  begun = next_call(schedule, watch);
  EXPECT_GT(begun - now, 200 * kMilli);
  EXPECT_LT(begun - now, 270 * kMilli);
}

TEST(CallSchedule, AFirstWatchBehindAChangeIsAskedAboutBeforeItsGapCounts) {
  CallSchedule schedule(20, false);
  schedule.on_answer(10 * kMilli, schedule.begin(0, kMiddle).value().slot, true, kMiddle);
  CallSchedule::Call watch, check;
  Micros now = next_call(schedule, watch) + 5 * kSecond;
  schedule.on_answer(now, watch.slot, true, kMiddle);
  Micros begun = next_call(schedule, watch);
  EXPECT_EQ(watch.wait, 2 * kSecond);
  EXPECT_LT(next_call(schedule, check) - now, 5 * kSecond);  // it is silent
  EXPECT_EQ(check.wait, 0);
  EXPECT_GT(begun, now);
}

}  // namespace
}  // namespace robinseam::membership
