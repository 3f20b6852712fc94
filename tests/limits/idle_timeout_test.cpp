// How long idle connections are kept: derived from the settings, corrected by the results of dials,
// and the resulting occupancy for a tier of routers that do not communicate.
#include "limits/idle_timeout.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <vector>

namespace robinseam::limits {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kMost = 9 * kSecond;

TEST(IdleTimeout, FollowsFromTierSizeAndTraffic) {
  struct Case {
    int routers;
    double rate;      // of the whole tier at one server, a second
    double from, to;  // seconds
  };
  // Where every router may hold a connection, the timeout is the one of the settings. For 45 places
  // at 300 routers it is 300 ln(300 / 255) / rate; with far fewer places than routers 45 / rate.
  const Case cases[] = {{1, 30, 9, 9},         {14, 30, 9, 9},        {45, 30, 9, 9},
                        {100, 30, 1.99, 2.0},  {300, 30, 1.62, 1.63}, {1000, 30, 1.53, 1.54},
                        {300, 78, 0.62, 0.63}, {300, 1, 9, 9},        {300, 0, 9, 9}};
  for (const Case& c : cases) {
    IdleTimeout idle(c.routers, kMost);
    double time = static_cast<double>(idle.timeout(0, c.rate)) / kSecond;
    EXPECT_GE(time, c.from) << c.routers << " routers at " << c.rate;
    EXPECT_LE(time, c.to) << c.routers << " routers at " << c.rate;
  }
}

TEST(IdleTimeout, RefusedDialsShortenItAndTimeRestoresIt) {
  IdleTimeout idle(300, kMost);
  Micros whole = idle.timeout(0, 30);
  for (int k = 0; k < 4; ++k) idle.record_dial(kSecond, true);
  EXPECT_NEAR(static_cast<double>(idle.timeout(kSecond, 30)), static_cast<double>(whole) / 16, 2);
  // Restored without any further dial.
  EXPECT_EQ(idle.timeout(61 * kSecond, 30), whole);
  // However many dials were refused; faster with good dials.
  for (int k = 0; k < 1000; ++k) idle.record_dial(100 * kSecond, true);
  EXPECT_NEAR(idle.share(130 * kSecond), 0.51, 0.001);
  for (int k = 0; k < 200; ++k) idle.record_dial(130 * kSecond, false);
  EXPECT_NEAR(idle.share(130 * kSecond), 0.71, 0.001);
  // A clock that goes back counts no time twice.
  idle.record_dial(110 * kSecond, false);
  EXPECT_NEAR(idle.share(130 * kSecond), 0.711, 0.001);
}

/// Simulates routers that do not communicate over identical servers: Poisson arrivals, one attempt
/// at a time on a connection, a dial where none is idle.
struct Tier {
  std::vector<double> rates;  // attempts a second at each server, by router
  int servers = 1;
  int capacity = 63;
  double assumed_rate = 0;  // the tier's rate at each server as the routers assume it
  // Results over the second half.
  double mean_held = 0, most_held = 0, refused = 0, reused = 0;
  std::vector<double> parts{};

  void play(Micros length, std::uint64_t seed, const std::vector<double>& start = {}) {
    std::mt19937_64 rng(seed);
    auto next = [&](double rate) {
      double u = static_cast<double>(rng() >> 11) / 9007199254740992.0;
      return static_cast<Micros>(-std::log(1 - u) / rate * 1e6) + 1;
    };
    auto all = static_cast<std::size_t>(servers);
    std::vector<IdleTimeout> times(rates.size(),
                                   IdleTimeout(static_cast<int>(rates.size()), kMost));
    for (std::size_t r = 0; r < start.size(); ++r)
      while (times[r].share(0) > start[r]) times[r].record_dial(0, true);
    struct Idle {
      std::size_t router;
      Micros since;
    };
    std::vector<std::vector<Idle>> idle(all);  // the longest idle first
    std::vector<int> used(all);
    struct Event {
      Micros at;
      std::size_t router, server;
      bool ends;
      bool operator>(const Event& o) const { return at > o.at; }
    };
    std::priority_queue<Event, std::vector<Event>, std::greater<Event>> events;
    for (std::size_t r = 0; r < rates.size(); ++r)
      events.push({next(rates[r] * servers), r, 0, false});
    double sum = 0, sweeps = 0, attempts = 0, dials = 0, bad = 0;
    for (Micros swept = 0; events.top().at < length;) {
      Event e = events.top();
      events.pop();
      bool counts = e.at > length / 2;
      for (; swept <= e.at; swept += kSecond / 40)
        for (std::size_t s = 0; s < all; ++s) {
          std::erase_if(idle[s], [&](const Idle& c) {
            return swept - c.since > times[c.router].timeout(swept, assumed_rate);
          });
          double held = used[s] + static_cast<double>(idle[s].size());
          if (counts) sum += held, ++sweeps, most_held = std::max(most_held, held);
        }
      if (e.ends) {
        --used[e.server];
        idle[e.server].push_back({e.router, e.at});
        continue;
      }
      events.push({e.at + next(rates[e.router] * servers), e.router, 0, false});
      attempts += counts;
      e.server = rng() % all;
      auto& here = idle[e.server];
      auto mine = std::find_if(here.rbegin(), here.rend(), [&](const Idle& c) {
        return c.router == e.router &&
               e.at - c.since <= times[e.router].timeout(e.at, assumed_rate);
      });
      if (mine != here.rend()) {
        here.erase(std::next(mine).base());
      } else {
        bool full = used[e.server] + static_cast<int>(here.size()) >= capacity;
        times[e.router].record_dial(e.at, full);
        dials += counts, bad += counts && full;
        if (full) continue;
      }
      ++used[e.server];
      events.push({e.at + kSecond / 10, e.router, e.server, true});
    }
    mean_held = sum / sweeps, refused = bad / attempts, reused = 1 - dials / attempts;
    for (IdleTimeout& t : times) parts.push_back(t.share(length));
  }
};

std::vector<double> uneven(std::size_t routers, double rate, std::uint64_t seed) {
  std::mt19937_64 rng(seed);
  std::vector<double> all;
  double sum = 0;
  for (std::size_t r = 0; r < routers; ++r) {  // some several times the mean rate
    all.push_back(0.2 + static_cast<double>(rng() % 1000) / 1000.0 * (r % 10 == 0 ? 8 : 1));
    sum += all.back();
  }
  for (double& one : all) one *= rate / sum;
  return all;
}

TEST(IdleTimeout, AServersConnectionsAreUsedButNotExhausted) {
  for (int routers : {1, 14, 100, 300, 1000})
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Tier tier{uneven(static_cast<std::size_t>(routers), 30, seed), 1, 63,
                45};  // 45 by the quotas
      tier.play(20 * kSecond, seed);
      EXPECT_LE(tier.most_held, 0.9 * tier.capacity) << routers << " routers, seed " << seed;
      EXPECT_EQ(tier.refused, 0) << routers << " routers, seed " << seed;
      // With a few routers nothing is closed; with many a good share of the capacity is used.
      bool few = routers <= 14;
      EXPECT_GE(few ? tier.reused : tier.mean_held, few ? 0.9 : 20)
          << routers << " routers, seed " << seed;
    }
}

// The quotas announce half of the actual traffic, or the servers hold half of what is presumed: the
// results of dials alone reduce the connections, and the remaining capacity is used.
TEST(IdleTimeout, DialResultsCorrectAWrongPresumption) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed)
    for (int capacity : {30, 63}) {
      Tier tier{uneven(300, capacity == 30 ? 30 : 60, seed), 30, capacity, 30};
      tier.play(30 * kSecond, seed);
      EXPECT_LE(tier.refused, 0.03) << "capacity " << capacity << ", seed " << seed;
      EXPECT_GE(tier.mean_held, 0.5 * capacity) << "capacity " << capacity << ", seed " << seed;
    }
}

// Routers that have shortened their timeout regain it beside those that have not: the others do not
// keep the freed connections for good.
TEST(IdleTimeout, RoutersWithShortenedTimeoutsCatchUp) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Tier tier{std::vector<double>(100, 0.9), 10, 63, 30};
    std::vector<double> start(100, 1.0);
    std::fill(start.begin(), start.begin() + 50, 0.02);
    tier.play(90 * kSecond, seed, start);
    double low = 0, high = 0;
    for (std::size_t r = 0; r < 50; ++r) low += tier.parts[r], high += tier.parts[50 + r];
    EXPECT_GE(low, 0.6 * high) << "seed " << seed;
  }
}

}  // namespace
}  // namespace robinseam::limits
