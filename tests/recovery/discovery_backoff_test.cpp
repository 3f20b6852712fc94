// When discovery is called: tables of delays, and the calls of a whole tier summed over its
// routers.
#include "recovery/discovery_backoff.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace robinseam::recovery {
namespace {

constexpr Micros kMs = 1000, kS = 1'000'000;
constexpr Micros kWithin = 10 * kS;

TEST(DiscoveryBackoff, TheFirstCallIsSpreadByTierSize) {
  struct {
    int routers;
    bool usable;
    Micros longest;
  } const cases[] = {{1, false, 10 * kMs}, {12, false, 120 * kMs}, {24, false, 240 * kMs},
                     {300, false, 3 * kS}, {1000, false, 4 * kS},  {1, true, 20 * kMs},
                     {6, true, 120 * kMs}, {100, true, 2 * kS},    {300, true, 4 * kS}};
  for (const auto& one : cases) {
    DiscoveryBackoff backoff(one.routers, kWithin);
    backoff.set_usable(one.usable);
    EXPECT_EQ(backoff.first_delay(0), 0);
    EXPECT_EQ(backoff.first_delay(1), one.longest) << one.routers;
  }
}

TEST(DiscoveryBackoff, PausesAfterFailuresDoubleWithFullJitterUpToACap) {
  struct {
    int routers;
    bool usable;
    std::vector<Micros> longest;
  } const cases[] = {
      {12, true, {2 * kS, 4 * kS, 4 * kS, 4 * kS}},
      {12, false, {200 * kMs, 400 * kMs, 800 * kMs, kS, kS}},
      {300, false, {3 * kS, 6 * kS, 8 * kS, 8 * kS}},
  };
  for (const auto& one : cases) {
    DiscoveryBackoff backoff(one.routers, kWithin);
    backoff.set_usable(one.usable);
    for (int round = 0; round < 2; ++round) {
      for (Micros longest : one.longest) {
        DiscoveryBackoff other = backoff;
        EXPECT_EQ(other.delay_after_failure(0), 0);
        EXPECT_EQ(backoff.delay_after_failure(1), longest) << one.routers;
      }
      backoff.record_list();  // starts over
    }
  }
}

TEST(DiscoveryBackoff, ASecondCallWaitsUntilDiscoveryMustHaveAnswered) {
  DiscoveryBackoff backoff(12, kWithin);
  backoff.set_usable(true);
  EXPECT_EQ(backoff.silent_call_delay(1), kWithin);
  backoff.set_usable(false);
  EXPECT_EQ(backoff.silent_call_delay(0), 2500 * kMs);
  EXPECT_EQ(backoff.silent_call_delay(1), 400 * kMs);
  EXPECT_EQ(backoff.silent_call_delay(0), 200 * kMs);
  backoff.delay_after_failure(0);  // discovery has responded
  EXPECT_EQ(backoff.silent_call_delay(0), 2500 * kMs);
}

TEST(DiscoveryBackoff, TwoUnreachableServersMakeAnUnconfirmedListSuspectOnce) {
  DiscoveryBackoff backoff(12, kWithin);
  EXPECT_FALSE(backoff.record_unreachable(3));
  EXPECT_FALSE(backoff.record_unreachable(3));
  EXPECT_TRUE(backoff.record_unreachable(5));
  EXPECT_FALSE(backoff.record_unreachable(7));
  DiscoveryBackoff confirmed(12, kWithin);
  confirmed.record_list();
  for (int server : {3, 5, 7}) EXPECT_FALSE(confirmed.record_unreachable(server));
}

TEST(DiscoveryBackoff, RefusedClientsWaitPastTheNextCall) {
  DiscoveryBackoff backoff(24, kWithin);
  EXPECT_EQ(backoff.list_wait(kS, 0), 1240 * kMs);
  EXPECT_EQ(backoff.list_wait(-kS, 1), 360 * kMs);
}

// All routers of a tier restart at once without a list while discovery is silent for 5 s: how often
// it is called, and how soon after it answers again the last router has called it.
TEST(DiscoveryBackoff, ATierDoesNotOverloadASilentDiscovery) {
  for (int routers : {1, 14, 100, 300, 1000}) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
      std::mt19937_64 random(seed);
      std::uniform_real_distribution<> chance(0, 1);
      std::vector<Micros> calls;
      Micros last_call = 0;
      for (int r = 0; r < routers; ++r) {
        DiscoveryBackoff backoff(routers, kWithin);
        Micros at = backoff.first_delay(chance(random));
        for (; at < 5 * kS; at += backoff.silent_call_delay(chance(random))) calls.push_back(at);
        last_call = std::max(last_call, at);
      }
      std::sort(calls.begin(), calls.end());
      std::size_t most = 0;  // in any 100 ms
      for (std::size_t a = 0, b = 0; b < calls.size(); ++b) {
        while (calls[b] - calls[a] >= 100 * kMs) ++a;
        most = std::max(most, b - a + 1);
      }
      // N calls over N x 10 ms (at most 4 s by the rules), then again after a mean of 0.75 of that;
      // plus six standard deviations of a Poisson count.
      double mean = 0.1 * routers / std::min(4.0, 0.01 * routers) / 0.75;
      EXPECT_LE(static_cast<double>(most), mean + 6 * std::sqrt(mean))
          << routers << " routers, seed " << seed;
      if (routers <= 14) {
        EXPECT_LE(last_call, 5 * kS + 400 * kMs) << routers << " routers, seed " << seed;
      }
    }
  }
}

}  // namespace
}  // namespace robinseam::recovery
