// Scenario files: what is wrong is told with its place, all of it at once.
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

TEST(Scenario, SaysWhatIsWrongAndWhere) {
  const InvalidScenario cases[] = {
      {"name = 'a'\nlaste = '3s'\n", {"f:2:9: laste: no such name; known here: "}},
      {"name = 'a'\n[load]\nrate = 'x'\n", {"f:3:8: load.rate: not from 0.1 to 20000"}},
      {"lasts = 3\n", {"f:1:1: no name", "f:1:9: lasts: no time with a unit"}},
      {"name = 'a'\nlasts = '20parsecs'", {"f:2:9: lasts: no time with a unit"}},
      {"name = 'a'\nlasts = '5s'\n[[do]]\nat = '6s'\nwhat = 'kill'\nrouters = '0'\n",
       {"f:4:6: do[0].at: not from 0s to 5s"}},
      {"name = 'a'\nlasts = '5s'\n[[do]]\nat = '4s'\nwhat = 'kill'\nrouters = 0\ntimes = 3\n"
       "every = '1s'\n",
       {"do[0]: goes on past the end"}},
      {"name = 'a'\n[[do]]\nat = '1s'\nwhat = 'kill'\nrouters = '2-9'\nwhen = 1\n",
       {"f:5:11: do[0].routers: no group as \"all\"", "f:6:8: do[0].when: no such name"}},
      {"name = 'a'\n[[do]]\nat = '1s'\nwhat = 'shoot'\n",
       {"f:4:8: do[0].what: 'shoot' is none of kill, term, stop", "no routers"}},
      {"name = 'a'\n[[do]]\nat = '1s'\nwhat = 'link'\nrouters = 'all'\nway = 'tills > routers'\n"
       "fault = 'delay'\n",
       {"do[0]: no delay"}},
      {"name = 'a'\n[[do]]\nat = '1s'\nwhat = 'upgrade'\nrouters = 0\n",
       {"an upgrade needs routers.control"}},
      {"name = 'a'\n[[hold]]\nwhat = 'served'\nfrom = '3s'\nto = '2s'\n",
       {"to is not after from", "neither least nor most"}},
      {"name = 'a'\n[[hold]]\nwhat = 'full_service'\nmost = 3\n",
       {"f:4:8: hold[0].most: no time with a unit"}},
      {"name = 'a'\nname = 'b'\n", {"f:2:"}},
      {"name = 'a'\n[load\n", {"f:2:"}},
      {"name = 'a'\nload = 3\n", {"f:2:8: load: no table"}},
  };
  for (const InvalidScenario& one : cases) {
    std::string errors = errors_of(one.text);
    for (const char* part : one.expected_messages)
      EXPECT_NE(errors.find(part), errors.npos) << one.text << "said: " << errors;
  }
}

TEST(Scenario, ReadsAGoodOne) {
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

TEST(Scenario, SpansHaveUnits) {
  EXPECT_EQ(parse_duration("1.5s"), 1'500'000);
  EXPECT_EQ(parse_duration("2min"), 120'000'000);
  EXPECT_EQ(parse_duration("250us"), 250);
  for (const char* bad : {"", "3", "s", "-1s", "1e99s", "1 s", "nans"})
    EXPECT_FALSE(parse_duration(bad));
}

}  // namespace
}  // namespace arrowfork::tier
