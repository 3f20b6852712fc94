// Each way from one phase to the next, by a table of events.
#include "recovery/recovery.hpp"

#include <gtest/gtest.h>

#include <string>

namespace robinseam::recovery {
namespace {

constexpr Micros kS = 1'000'000;

struct Step {
  char what;  // h handed, t told, n told that nobody is there, f failed, g served, b refused, s
              // stood
  double at;  // s
  const char* phase;
  bool old = false;
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
      {"service before the list is told counts for nothing",
       12,
       true,
       {{'h', 0, "returning", true},
        {'g', 1, "returning", true},
        {'g', 3, "returning", true},
        {'g', 5, "returning", true}}},
      {"refusals keep it back until it lets go",
       12,
       true,
       {{'h', 0, "returning", true},
        {'t', 1, "returning"},
        {'b', 5, "returning"},
        {'b', 10.9, "returning"},
        {'b', 11.1, "full"}}},
      {"nobody asks",
       12,
       true,
       {{'h', 0, "returning", true}, {'t', 1, "returning"}, {'t', 11.1, "full"}}},
      {"full stays full through refusals, and without discovery is old",
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
      {"it stood still",
       12,
       true,
       {{'h', 0, "returning", true},
        {'t', 1, "returning"},
        {'t', 12, "full"},
        {'s', 20, "returning"},
        {'t', 20.1, "returning"},
        {'g', 21, "returning"},
        {'g', 22.2, "full"}}},
      {"nothing is heard", 1, true, {{'h', 0, "returning", true}, {'t', 1, "full"}}},
  };
  for (const Case& one : cases) {
    Recovery r(one.routers, 0, 25 * kS);
    EXPECT_EQ(r.view(0).phase, Phase::Starting);
    Micros now = 0;
    for (const Step& step : one.steps) {
      now = static_cast<Micros>(step.at * kS);
      if (step.what == 'h') r.record_initial_list(now, one.usable);
      if (step.what == 't') r.record_list(now, true);
      if (step.what == 'n') r.record_list(now, false);
      if (step.what == 'f') r.record_call_failure(now);
      if (step.what == 'g') r.record_requests(now, 10, 0);
      if (step.what == 'b') r.record_requests(now, 5, 5);
      if (step.what == 's') r.record_pause(now);
      Recovery::View v = r.view(now);
      EXPECT_STREQ(name_of(v.phase), step.phase) << one.name << " at " << step.at;
      EXPECT_EQ(v.list_stale, step.old) << one.name << " at " << step.at;
    }
    if (std::string(one.name) == "nothing is heard") {
      EXPECT_FALSE(r.view(26 * kS).list_stale);
      EXPECT_TRUE(r.view(26 * kS + 1).list_stale);
    }
  }
}

TEST(Recovery, ATierBeginsWithWhatTwoRoutersWould) {
  for (int routers : {1, 2, 3, 14, 300, 1000})
    EXPECT_DOUBLE_EQ(initial_budget_share(routers) * routers, std::min(routers, 2));
}

}  // namespace
}  // namespace robinseam::recovery
