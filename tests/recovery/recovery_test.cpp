// Each transition between the recovery phases, by a table of events.
#include "recovery/recovery.hpp"

#include <gtest/gtest.h>

#include <string>

namespace robinseam::recovery {
namespace {

constexpr Micros kS = 1'000'000;

struct Step {
  // h: inherited list, t: list from discovery, n: list without a usable server, f: failed call,
  // g: served, b: half refused, s: process paused
  char event;
  double at_s;
  const char* phase;
  bool list_stale = false;
};

struct Case {
  const char* name;
  int routers;
  bool usable;
  std::vector<Step> steps;
};

TEST(Recovery, GoesThroughItsPhases) {
  const Case cases[] = {
      {"alone", 1, true, {{'h', 0, "returning", true}, {'t', 1, "full"}}},
      {"one of two", 2, false, {{'h', 0, "listing", true}, {'t', 1, "full"}}},
      {"no list",
       12,
       false,
       {{'h', 0, "listing", true},
        {'f', 1, "listing", true},
        {'n', 2, "listing"},
        {'t', 3, "returning"}}},
      {"good service",
       12,
       true,
       {{'h', 0, "returning", true},
        {'t', 1, "returning"},
        {'g', 1.5, "returning"},
        {'g', 2.6, "returning"},
        {'g', 3.7, "full"}}},
      {"service before the list is confirmed does not count",
       12,
       true,
       {{'h', 0, "returning", true},
        {'g', 1, "returning", true},
        {'g', 3, "returning", true},
        {'g', 5, "returning", true}}},
      {"refusals delay full service up to the time limit",
       12,
       true,
       {{'h', 0, "returning", true},
        {'t', 1, "returning"},
        {'b', 5, "returning"},
        {'b', 10.9, "returning"},
        {'b', 11.1, "full"}}},
      {"no requests",
       12,
       true,
       {{'h', 0, "returning", true}, {'t', 1, "returning"}, {'t', 11.1, "full"}}},
      {"refusals do not end full service, a failed call makes the list stale",
       1,
       true,
       {{'h', 0, "returning", true},
        {'t', 1, "full"},
        {'b', 2, "full"},
        {'f', 3, "full", true},
        {'t', 4, "full"}}},
      {"all servers leave",
       1,
       true,
       {{'h', 0, "returning", true}, {'t', 1, "full"}, {'n', 2, "listing"}, {'t', 3, "full"}}},
      {"process paused",
       12,
       true,
       {{'h', 0, "returning", true},
        {'t', 1, "returning"},
        {'t', 12, "full"},
        {'s', 20, "returning"},
        {'t', 20.1, "returning"},
        {'g', 21, "returning"},
        {'g', 22.2, "full"}}},
      {"discovery stays silent", 1, true, {{'h', 0, "returning", true}, {'t', 1, "full"}}},
  };
  for (const Case& one : cases) {
    Recovery r(one.routers, 0, 25 * kS);
    EXPECT_EQ(r.view(0).phase, Phase::Starting);
    Micros now = 0;
    for (const Step& step : one.steps) {
      now = static_cast<Micros>(step.at_s * kS);
      if (step.event == 'h') r.record_initial_list(now, one.usable);
      if (step.event == 't') r.record_list(now, true);
      if (step.event == 'n') r.record_list(now, false);
      if (step.event == 'f') r.record_call_failure(now);
      if (step.event == 'g') r.record_requests(now, 10, 0);
      if (step.event == 'b') r.record_requests(now, 5, 5);
      if (step.event == 's') r.record_pause(now);
      Recovery::View v = r.view(now);
      EXPECT_STREQ(name_of(v.phase), step.phase) << one.name << " at " << step.at_s;
      EXPECT_EQ(v.list_stale, step.list_stale) << one.name << " at " << step.at_s;
    }
    if (std::string(one.name) == "discovery stays silent") {
      EXPECT_FALSE(r.view(26 * kS).list_stale);
      EXPECT_TRUE(r.view(26 * kS + 1).list_stale);
    }
  }
}

TEST(Recovery, ATierStartsWithTheBudgetOfTwoRouters) {
  for (int routers : {1, 2, 3, 14, 300, 1000})
    EXPECT_DOUBLE_EQ(initial_budget_share(routers) * routers, std::min(routers, 2));
}

}  // namespace
}  // namespace robinseam::recovery
