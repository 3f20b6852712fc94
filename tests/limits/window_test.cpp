// The window as a rule: what it may never do, and how soon it opens, for any load and latency.
#include "limits/window.hpp"

#include <gtest/gtest.h>

#include <deque>

#include "limits/fault_attribution.hpp"

namespace robinseam::limits {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1'000'000;

/// Attempts that each take `latency`, as many as the window lets out and `demand` wants.
struct Pipe {
  explicit Pipe(const WindowParameters& rules) : window(rules) {}
  /// Runs for `span`, asking every `gap`. What ends longer than `patience` after its send is Bad.
  void run(Micros span, Micros gap, Micros latency, Micros patience = 500 * kMs) {
    for (Micros end = now + span; now < end; now += gap) {
      while (!out.empty() && out.front().second <= now) {
        auto [sent, due] = out.front();
        out.pop_front();
        bool late = due - sent >= patience;
        window.record_end(due, sent, 1, late ? Evidence::Bad : Evidence::Good,
                          static_cast<double>(due - sent), 0);
      }
      ++asked;
      if (!window.has_capacity(now, 1)) {
        ++refused;
        continue;
      }
      window.record_send(now, 1);
      out.emplace_back(now, now + std::min(latency, patience));
    }
  }
  int refused_in(Micros span, Micros gap, Micros latency) {
    int before = refused;
    run(span, gap, latency);
    return refused - before;
  }
  Window window;
  Micros now = 100 * kS;
  std::deque<std::pair<Micros, Micros>> out;
  int asked = 0, refused = 0;
};

TEST(Window, ABurstOverIdleServersPassesWithNothingKnown) {
  Window w{WindowParameters{}};
  for (int k = 0; k < 200; ++k) {
    ASSERT_TRUE(w.has_capacity(0, 1)) << k;
    w.record_send(0, 1);
  }
}

// Whatever happened, `least` may be out: no state of the window holds a calm load back.
TEST(Window, NeverFallsBelowItsLeast) {
  WindowParameters rules;
  Pipe p(rules);
  p.run(60 * kS, 2 * kMs, 10 * kS);
  EXPECT_EQ(p.window.limit(), rules.least);
  EXPECT_GE(p.window.in_flight(), rules.least - 1);
  EXPECT_LE(p.window.in_flight(), rules.least);
}

// A router's part of a tier's least may be under one: paced, not rounded up to one each.
TEST(Window, ALeastUnderOneIsPaced) {
  for (double least : {0.5, 0.2, 0.05}) {
    WindowParameters rules;
    rules.least = least;
    Pipe p(rules);
    p.run(60 * kS, 2 * kMs, 10 * kS);  // nothing is answered
    EXPECT_NEAR(p.window.limit(), least, 1e-9);
    int before = p.asked - p.refused;
    p.run(100 * kS, 2 * kMs, 10 * kS);
    // Each is out for 0.5 s.
    EXPECT_NEAR((p.asked - p.refused - before) * 0.5 / 100, std::max(least, 0.5 / 5.5),
                0.1 * least + 0.01);
    // Answers open it again, in a few of them, however seldom they are let out.
    p.run(10 * kS, 2 * kMs, 20 * kMs);
    EXPECT_EQ(p.refused_in(kS, 50 * kMs, 20 * kMs), 0) << least;
  }
}

struct Recovery {
  const char* name;
  Micros gap, latency, trouble, lasts;
};
class WindowRecovery : public testing::TestWithParam<Recovery> {};

// The update rule's own bound. At `least`, a load of gap g and latency l needs l / g at once; the
// window grows by one a round trip, or doubles each second where it isn't filled. Whatever the
// trouble was and however long, 3 s after it no request of such a load is refused.
TEST_P(WindowRecovery, OpensWithinThreeSeconds) {
  const Recovery& c = GetParam();
  Pipe p{WindowParameters{}};
  EXPECT_EQ(p.refused_in(5 * kS, c.gap, c.latency), 0);
  p.run(c.lasts, c.gap, c.trouble);
  p.run(3 * kS, c.gap, c.latency);
  EXPECT_EQ(p.refused_in(5 * kS, c.gap, c.latency), 0);
}

INSTANTIATE_TEST_SUITE_P(
    All, WindowRecovery,
    testing::Values(Recovery{"few", 200 * kMs, 30 * kMs, 10 * kS, 10 * kS},
                    Recovery{"usual", 20 * kMs, 40 * kMs, 10 * kS, 1 * kS},
                    Recovery{"usual_long", 20 * kMs, 40 * kMs, 10 * kS, 60 * kS},
                    Recovery{"slow_not_lost", 20 * kMs, 40 * kMs, 400 * kMs, 10 * kS},
                    Recovery{"busy", 3 * kMs, 45 * kMs, 10 * kS, 10 * kS},
                    Recovery{"quick", 1 * kMs, 5 * kMs, 10 * kS, 10 * kS}),
    [](const auto& at) { return at.param.name; });

TEST(Window, OneRoundTripsLossesAreOneCut) {
  WindowParameters rules;
  Window w(rules);
  for (int k = 0; k < 100; ++k) w.record_send(kS, 1);
  for (int k = 0; k < 100; ++k) w.record_end(kS + 500 * kMs, kS, 1, Evidence::Bad, 500'000, 0);
  EXPECT_GE(w.limit(), 100 * rules.deepest * 0.9);
  EXPECT_LE(w.limit(), 100 * rules.cut);
}

TEST(Window, WhatProvesNothingChangesNothing) {
  Window w{WindowParameters{}};
  for (int k = 0; k < 1000; ++k) {
    w.record_send(k * kMs, 1);
    w.record_end(k * kMs + kMs, k * kMs, 1, Evidence::None, 9e9, 0);
  }
  EXPECT_EQ(w.limit(), WindowParameters{}.start);
  EXPECT_EQ(w.in_flight(), 0);
}

// Protects against: a lone loss of three attempts taken for overload.
TEST(Window, AFewSamplesCutNothing) {
  Window w{WindowParameters{}};
  for (int k = 0; k < 30; ++k) {
    w.record_send(k * kS, 1);
    w.record_end(k * kS + 20 * kMs, k * kS, 1, k % 5 == 2 ? Evidence::Bad : Evidence::Good, 20'000,
                 0);
  }
  EXPECT_EQ(w.limit(), WindowParameters{}.start);
}

TEST(Window, LatencyThatRisesWithLoadCutsItBeforeAnythingIsLost) {
  Pipe p{WindowParameters{}};
  p.run(5 * kS, 10 * kMs, 20 * kMs);
  p.run(3 * kS, 1 * kMs, 300 * kMs);
  EXPECT_LT(p.window.limit(), 40);
}

TEST(Window, ANewProcessIsNotJudgedByTheOldOnesLatencies) {
  Pipe p{WindowParameters{}};
  p.run(10 * kS, 10 * kMs, 10 * kS);
  double out = p.window.in_flight();
  p.window.reset();
  EXPECT_EQ(p.window.limit(), WindowParameters{}.start);
  EXPECT_EQ(p.window.in_flight(), out);
}

// Protects against: two hot servers that lose what they get shutting the window on fetches for all,
// over an origin that answers as ever.
TEST(FaultAttribution, WhatOneServerLosesIsNotTheOrigins) {
  const struct {
    const char* what;
    std::vector<double> lost;  // of ten fetches, by server
    double common;             // of the last one's loss
  } kCases[] = {
      {"one of five loses all", {0, 0, 0, 0, 10}, 0},
      {"two of five", {0, 0, 0, 9, 10}, 0},
      {"all alike", {9, 10, 10, 9, 10}, 1},
      {"most, the others less", {1, 3, 3, 4, 10}, 0.6},
      {"the first losses near the capacity", {0, 0, 0, 0, 4}, 1},
      {"too few servers to tell", {0, 10}, 1},
  };
  for (const auto& c : kCases) {
    FaultAttribution blame;
    Micros now = 1'000'000;
    for (int k = 0; k < 10; ++k)
      for (std::size_t server = 0; server < c.lost.size(); ++server)
        blame.record_fetch(now, server, k < c.lost[server]);
    std::size_t last = c.lost.size() - 1;
    EXPECT_NEAR(blame.origin_share(now, last), c.common, 0.01) << c.what;
    // Some seconds without a fetch and nothing is known again.
    EXPECT_EQ(blame.origin_share(now + 5'000'000, last), 1) << c.what;
    blame.forget_server(last);
    EXPECT_EQ(blame.origin_share(now, last), 1) << c.what;
  }
}

}  // namespace
}  // namespace robinseam::limits
