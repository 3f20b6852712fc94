// The concurrency window: what it must never do, and how soon it opens, for any load and latency.
#include "limits/window.hpp"

#include <gtest/gtest.h>

#include <deque>

#include "limits/fault_attribution.hpp"

namespace robinseam::limits {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1'000'000;

/// Sends attempts that each take `latency`, as many as the window admits.
struct Pipe {
  explicit Pipe(const WindowParameters& rules) : window(rules) {}
  /// Runs for `span` with a request every `gap`. What takes `timeout` or longer ends as Bad.
  void run(Micros span, Micros gap, Micros latency, Micros timeout = 500 * kMs) {
    for (Micros end = now + span; now < end; now += gap) {
      while (!in_flight.empty() && in_flight.front().second <= now) {
        auto [sent, due] = in_flight.front();
        in_flight.pop_front();
        bool late = due - sent >= timeout;
        window.record_end(due, sent, 1, late ? Evidence::Bad : Evidence::Good,
                          static_cast<double>(due - sent), 0);
      }
      ++asked;
      if (!window.has_capacity(now, 1)) {
        ++refused;
        continue;
      }
      window.record_send(now, 1);
      in_flight.emplace_back(now, now + std::min(latency, timeout));
    }
  }
  int refused_in(Micros span, Micros gap, Micros latency) {
    int before = refused;
    run(span, gap, latency);
    return refused - before;
  }
  Window window;
  Micros now = 100 * kS;
  std::deque<std::pair<Micros, Micros>> in_flight;  // sent, due
  int asked = 0, refused = 0;
};

TEST(Window, ABurstOverIdleServersPassesWithoutSamples) {
  Window w{WindowParameters{}};
  for (int k = 0; k < 200; ++k) {
    ASSERT_TRUE(w.has_capacity(0, 1)) << k;
    w.record_send(0, 1);
  }
}

// In every state `least` attempts may be in flight, so that a light load is never held back.
TEST(Window, NeverFallsBelowItsLeast) {
  WindowParameters rules;
  Pipe p(rules);
  p.run(60 * kS, 2 * kMs, 10 * kS);
  EXPECT_EQ(p.window.limit(), rules.least);
  EXPECT_GE(p.window.in_flight(), rules.least - 1);
  EXPECT_LE(p.window.in_flight(), rules.least);
}

// A router's share of a tier's least window may be below one: attempts are paced, and the share is
// not rounded up to one.
TEST(Window, ALeastBelowOneIsPaced) {
  for (double least : {0.5, 0.2, 0.05}) {
    WindowParameters rules;
    rules.least = least;
    Pipe p(rules);
    p.run(60 * kS, 2 * kMs, 10 * kS);  // nothing is answered
    EXPECT_NEAR(p.window.limit(), least, 1e-9);
    int before = p.asked - p.refused;
    p.run(100 * kS, 2 * kMs, 10 * kS);
    // Each is in flight for 0.5 s.
    EXPECT_NEAR((p.asked - p.refused - before) * 0.5 / 100, std::max(least, 0.5 / 5.5),
                0.1 * least + 0.01);
    // A few answers open it again, however seldom attempts are sent.
    p.run(10 * kS, 2 * kMs, 20 * kMs);
    EXPECT_EQ(p.refused_in(kS, 50 * kMs, 20 * kMs), 0) << least;
  }
}

struct RecoveryCase {
  const char* name;
  Micros gap, latency, fault_latency, lasts;
};
class WindowRecovery : public testing::TestWithParam<RecoveryCase> {};

// The bound that follows from the update rule. A load of gap g and latency l needs l / g in flight;
// from `least` the window grows by one a round trip, or doubles each second where it is not filled.
// Whatever the fault was and however long, 3 s after it no request of such a load is refused.
TEST_P(WindowRecovery, OpensWithinThreeSeconds) {
  const RecoveryCase& c = GetParam();
  Pipe p{WindowParameters{}};
  EXPECT_EQ(p.refused_in(5 * kS, c.gap, c.latency), 0);
  p.run(c.lasts, c.gap, c.fault_latency);
  p.run(3 * kS, c.gap, c.latency);
  EXPECT_EQ(p.refused_in(5 * kS, c.gap, c.latency), 0);
}

INSTANTIATE_TEST_SUITE_P(
    All, WindowRecovery,
    testing::Values(RecoveryCase{"few", 200 * kMs, 30 * kMs, 10 * kS, 10 * kS},
                    RecoveryCase{"usual", 20 * kMs, 40 * kMs, 10 * kS, 1 * kS},
                    RecoveryCase{"usual_long", 20 * kMs, 40 * kMs, 10 * kS, 60 * kS},
                    RecoveryCase{"slow_not_lost", 20 * kMs, 40 * kMs, 400 * kMs, 10 * kS},
                    RecoveryCase{"busy", 3 * kMs, 45 * kMs, 10 * kS, 10 * kS},
                    RecoveryCase{"fast", 1 * kMs, 5 * kMs, 10 * kS, 10 * kS}),
    [](const auto& at) { return at.param.name; });

TEST(Window, LossesOfOneRoundTripCauseOneCut) {
  WindowParameters rules;
  Window w(rules);
  for (int k = 0; k < 100; ++k) w.record_send(kS, 1);
  for (int k = 0; k < 100; ++k) w.record_end(kS + 500 * kMs, kS, 1, Evidence::Bad, 500'000, 0);
  EXPECT_GE(w.limit(), 100 * rules.deepest * 0.9);
  EXPECT_LE(w.limit(), 100 * rules.cut);
}

TEST(Window, EndsWithoutEvidenceChangeNothing) {
  Window w{WindowParameters{}};
  for (int k = 0; k < 1000; ++k) {
    w.record_send(k * kMs, 1);
    w.record_end(k * kMs + kMs, k * kMs, 1, Evidence::None, 9e9, 0);
  }
  EXPECT_EQ(w.limit(), WindowParameters{}.start);
  EXPECT_EQ(w.in_flight(), 0);
}

// Guards against taking isolated losses for overload.
TEST(Window, IsolatedLossesCauseNoCut) {
  Window w{WindowParameters{}};
  for (int k = 0; k < 30; ++k) {
    w.record_send(k * kS, 1);
    w.record_end(k * kS + 20 * kMs, k * kS, 1, k % 5 == 2 ? Evidence::Bad : Evidence::Good, 20'000,
                 0);
  }
  EXPECT_EQ(w.limit(), WindowParameters{}.start);
}

TEST(Window, RisingLatencyCutsTheWindowBeforeAnyLoss) {
  Pipe p{WindowParameters{}};
  p.run(5 * kS, 10 * kMs, 20 * kMs);
  p.run(3 * kS, 1 * kMs, 300 * kMs);
  EXPECT_LT(p.window.limit(), 40);
}

TEST(Window, ResetDiscardsTheLatenciesOfTheOldProcess) {
  Pipe p{WindowParameters{}};
  p.run(10 * kS, 10 * kMs, 10 * kS);
  double in_flight = p.window.in_flight();
  p.window.reset();
  EXPECT_EQ(p.window.limit(), WindowParameters{}.start);
  EXPECT_EQ(p.window.in_flight(), in_flight);
}

// Guards against two hot servers whose losses cut the window on fetches for all servers, although
// the origin answers as usual.
TEST(FaultAttribution, LossesOfOneServerAreNotAttributedToTheOrigin) {
  const struct {
    const char* what;
    std::vector<double> lost;  // of ten fetches, by server
    double origin_share;       // of the last one's loss
  } kCases[] = {
      {"one of five loses all", {0, 0, 0, 0, 10}, 0},
      {"two of five", {0, 0, 0, 9, 10}, 0},
      {"all alike", {9, 10, 10, 9, 10}, 1},
      {"most, the others less", {1, 3, 3, 4, 10}, 0.6},
      {"the first losses near the capacity", {0, 0, 0, 0, 4}, 1},
      {"too few servers to tell", {0, 10}, 1},
  };
  for (const auto& c : kCases) {
    FaultAttribution attribution;
    Micros now = 1'000'000;
    for (int k = 0; k < 10; ++k)
      for (std::size_t server = 0; server < c.lost.size(); ++server)
        attribution.record_fetch(now, server, k < c.lost[server]);
    std::size_t last = c.lost.size() - 1;
    EXPECT_NEAR(attribution.origin_share(now, last), c.origin_share, 0.01) << c.what;
    // After some seconds without a fetch nothing is known any more.
    EXPECT_EQ(attribution.origin_share(now + 5'000'000, last), 1) << c.what;
    attribution.forget_server(last);
    EXPECT_EQ(attribution.origin_share(now, last), 1) << c.what;
  }
}

}  // namespace
}  // namespace robinseam::limits
