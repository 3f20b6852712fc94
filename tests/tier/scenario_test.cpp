// Scenario files: all errors of a file are reported at once, each with its line and column.
#include "tier/scenario.hpp"

#include <gtest/gtest.h>

#include "tier/toml_reader.hpp"

namespace arrowfork::tier {
namespace {

std::string errors_of(const std::string& text) {
  try {
    parse_scenario(text, "f");
    return "";
  } catch (const std::exception& e) {
    return e.what();
  }
}

struct InvalidScenario {
  const char* text;
  std::vector<const char*> expected_messages;
};

TEST(Scenario, ReportsEveryErrorWithItsPlace) {
  const InvalidScenario cases[] = {
      {"name = 'a'\nlaste = '3s'\n", {"f:2:9: laste: unknown key; known keys: "}},
      {"name = 'a'\n[load]\nrate = 'x'\n", {"f:3:8: load.rate: must be from 0.1 to 20000"}},
      {"lasts = 3\n", {"f:1:1: missing key name", "f:1:9: lasts: not a duration with a unit"}},
      {"name = 'a'\nlasts = '20parsecs'", {"f:2:9: lasts: not a duration with a unit"}},
      {"name = 'a'\nlasts = '5s'\n[[do]]\nat = '6s'\nwhat = 'kill'\nrouters = '0'\n",
       {"f:4:6: do[0].at: must be from 0s to 5s"}},
      {"name = 'a'\nlasts = '5s'\n[[do]]\nat = '4s'\nwhat = 'kill'\nrouters = 0\ntimes = 3\n"
       "every = '1s'\n",
       {"do[0]: extends beyond the end"}},
      {"name = 'a'\n[[do]]\nat = '1s'\nwhat = 'kill'\nrouters = '2-9'\nwhen = 1\n",
       {"f:5:11: do[0].routers: not a list of indices such as \"all\"",
        "f:6:8: do[0].when: unknown key"}},
      {"name = 'a'\n[[do]]\nat = '1s'\nwhat = 'shoot'\n",
       {"f:4:8: do[0].what: 'shoot' is not one of kill, term, stop", "missing key routers"}},
      {"name = 'a'\n[[do]]\nat = '1s'\nwhat = 'link'\nrouters = 'all'\nway = 'tills > routers'\n"
       "fault = 'delay'\n",
       {"do[0]: missing key delay"}},
      {"name = 'a'\n[[do]]\nat = '1s'\nwhat = 'upgrade'\nrouters = 0\n",
       {"an upgrade needs routers.control"}},
      {"name = 'a'\n[[hold]]\nwhat = 'served'\nfrom = '3s'\nto = '2s'\n",
       {"to must be after from", "needs least or most"}},
      {"name = 'a'\n[[hold]]\nwhat = 'full_service'\nmost = 3\n",
       {"f:4:8: hold[0].most: not a duration with a unit"}},
      {"name = 'a'\nname = 'b'\n", {"f:2:"}},
      {"name = 'a'\n[load\n", {"f:2:"}},
      {"name = 'a'\nload = 3\n", {"f:2:8: load: not a table"}},
  };
  for (const InvalidScenario& test_case : cases) {
    std::string errors = errors_of(test_case.text);
    for (const char* part : test_case.expected_messages)
      EXPECT_NE(errors.find(part), errors.npos) << test_case.text << "errors: " << errors;
  }
}

TEST(Scenario, ReadsValidFile) {
  Scenario s = parse_scenario(
      "name = 'a'\nseed = 7\nlasts = '30s'\n[routers]\ncount = 5\nprogram = 'arrowfork'\n"
      "config = { limits = { sockets = 300 } }\n[[do]]\nat = '1.5s'\nwhat = 'kill'\n"
      "routers = '0-1, 4'\neach = '20ms'\nknown = 'none'\nstart_after = '0s'\n[[do]]\nat = '2s'\n"
      "what = 'link'\nway = 'routers > discovery'\nrouters = 3\nfault = 'cut'\n"
      "direction = 'back'\nlasts = '1s'\n[[hold]]\nwhat = 'dials'\nwindow = '100ms'\nmost = 5\n",
      "f");
  EXPECT_EQ(s.seed, 7u);
  EXPECT_NE(s.config.find("300"), s.config.npos);
  ASSERT_EQ(s.actions.size(), 2u);
  EXPECT_EQ(s.actions[0].at, 1'500'000);
  EXPECT_EQ(s.actions[0].routers, (std::vector<int>{0, 1, 4}));
  EXPECT_EQ(s.actions[0].initial_list, InitialList::None);
  EXPECT_EQ(s.actions[0].restart_delay, 0);
  EXPECT_FALSE(s.actions[1].link_fault.blocks_forward);
  EXPECT_TRUE(s.actions[1].link_fault.blocks_backward);
  EXPECT_EQ(s.claims.at(0).window, 100 * kMillisecond);
}

TEST(Scenario, DurationsNeedUnits) {
  EXPECT_EQ(parse_duration("1.5s"), 1'500'000);
  EXPECT_EQ(parse_duration("2min"), 120'000'000);
  EXPECT_EQ(parse_duration("250us"), 250);
  for (const char* bad : {"", "3", "s", "-1s", "1e99s", "1 s", "nans"})
    EXPECT_FALSE(parse_duration(bad));
}

}  // namespace
}  // namespace arrowfork::tier
