// The budgets and the list that a router starts with, when it cannot know how many restarted with
// it.
#include <gtest/gtest.h>

#include <algorithm>

#include "limits/limits.hpp"
#include "robinseam/balancer.hpp"

namespace robinseam {
namespace {

constexpr Micros kMs = 1000, kS = 1'000'000;

Settings settings(int routers) {
  Settings s;
  ClassSettings read;
  read.name = "read", read.latency_objective = 150 * kMs, read.deadline = 600 * kMs;
  s.classes = {read};
  s.tenants = {{"all", 1, 2.0 * routers}};
  s.routers = routers;
  s.max_attempts = 5, s.max_retry_after = kS, s.tick = 2 * kMs;
  s.cold_time = 8 * kS;
  return s;
}

TEST(StartBudgets, LoadRetriesAreBoundedPerTierAndBrokenAttemptsPerRouter) {
  for (int routers : {1, 2, 14, 300}) {
    auto spent = [&](limits::RetryCause cause) {
      limits::Limits fresh(settings(routers), {});
      int count = 0;
      while (fresh.spend_retry(cause)) ++count;
      return count * routers;
    };
    EXPECT_LE(spent(limits::RetryCause::Load), 10) << routers;
    EXPECT_GE(spent(limits::RetryCause::Broken), 49 * routers) << routers;
    limits::Limits confirmed(settings(routers), {});
    confirmed.confirm_list();
    int broken = 0;
    while (confirmed.spend_retry(limits::RetryCause::Broken)) ++broken;
    EXPECT_LE(broken * routers, 100) << routers;
  }
}

// About one request a second, as each router of a large tier gets, and every server has just
// started.
TEST(StartBudgets, AFreshRouterServesOverColdServers) {
  Settings s = settings(300);
  Balancer b(s, 1, 100 * kS);
  b.start(100 * kS);
  std::vector<Server> servers;
  for (int k = 0; k < 10; ++k) {
    Server one;
    one.id = "s" + std::to_string(k);
    one.up_since = 100 * kS;
    servers.push_back(one);
  }
  b.on_list(100 * kS, ListScope::Full, servers);
  int sent = 0;
  for (int k = 0; k < 20; ++k) {
    Micros now = 100 * kS + k * 300 * kMs;
    Request r;
    r.id = static_cast<RequestId>(k + 1), r.class_name = "read", r.tenant = "all";
    r.key = "k" + std::to_string(k), r.remaining = 600 * kMs;
    for (const Action& a : b.on_request(now, r)) {
      const auto* send = std::get_if<Send>(&a);
      if (!send) continue;
      ++sent;
      Outcome o;
      o.id = r.id, o.server = send->server, o.finished = true, o.latency = 10 * kMs;
      b.on_outcome(now + 10 * kMs, o);
    }
  }
  EXPECT_GE(sent, 10);
}

// A list that is likely out of date is used, and discovery is called within N calls' time.
TEST(Start, AnUnverifiedListIsUsedAndDiscoveryIsCalledAtOnce) {
  Micros latest[2] = {0, 0};
  for (std::uint64_t seed = 1; seed <= 50; ++seed)
    for (bool unverified : {false, true}) {
      Settings s = settings(14);
      s.poll_list = true, s.max_poll_delay = 10 * kS;
      Balancer b(s, seed, 100 * kS);
      b.start(100 * kS);
      Server one;
      one.id = "s";
      Micros after = 0;
      for (const Action& a :
           b.on_list(100 * kS, unverified ? ListScope::Unverified : ListScope::Cached, {one}))
        if (const auto* timer = std::get_if<Timer>(&a)) after = timer->delay;
      latest[unverified] = std::max(latest[unverified], after);
      Request r;
      r.id = 1, r.class_name = "read", r.tenant = "all", r.key = "k", r.remaining = 600 * kMs;
      bool sent = false;
      for (const Action& a : b.on_request(100 * kS, r)) sent |= std::holds_alternative<Send>(a);
      EXPECT_TRUE(sent);
    }
  EXPECT_EQ(latest[0], 0);  // the call scheduled at the start stands
  EXPECT_GT(latest[1], 0);
  EXPECT_LE(latest[1], 14 * 10 * kMs);
}

}  // namespace
}  // namespace robinseam
