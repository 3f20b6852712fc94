// How a router finds out whether it came back alone: a table of what it sees.
#include "recovery/tier_restart_detector.hpp"

#include <gtest/gtest.h>

#include <string>

namespace robinseam::recovery {
namespace {

constexpr Micros kS = 1'000'000, kBorn = 50 * kS;
using Verdict = TierRestartDetector::Verdict;

struct Case {
  const char* name;
  int routers;
  const char* seen;  // a digit: an answer of that server, '!' before it: trouble there;
                     // 'd': discovery has answered; '_': a second passes
  Verdict verdict;
};

void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }

class Companies : public testing::TestWithParam<Case> {};

TEST_P(Companies, AreToldByWhatIsSeen) {
  const Case& c = GetParam();
  TierRestartDetector company(c.routers, kBorn);
  Micros now = kBorn;
  bool trouble = false;
  for (char one : std::string(c.seen)) {
    if (one == '_') now += kS;
    if (one == '!') {
      trouble = true;
      continue;
    }
    if (one == 'd') company.record_sample(now, TierRestartDetector::kDiscoverySource, trouble);
    if (one >= '0' && one <= '9') company.record_sample(now, one - '0', trouble);
    trouble = false;
  }
  EXPECT_EQ(company.verdict(), c.verdict);
  EXPECT_EQ(company.take_alone_verdict(), c.verdict == Verdict::Alone && c.routers > 2);
  EXPECT_FALSE(company.take_alone_verdict());
}

INSTANTIATE_TEST_SUITE_P(
    All, Companies,
    testing::Values(Case{"two_routers_presume_nothing", 2, "", Verdict::Alone},
                    Case{"nothing_seen", 300, "", Verdict::Unknown},
                    Case{"one_sample_settles_nothing", 300, "1", Verdict::Unknown},
                    Case{"one_bad_sample_neither", 300, "!1", Verdict::Unknown},
                    Case{"two_bad_ones_do", 300, "!1!2", Verdict::Together},
                    Case{"eleven_answers", 300, "12345123451", Verdict::Unknown},
                    Case{"twelve_answers_of_many", 300, "123451234512", Verdict::Alone},
                    Case{"any_number_of_two_servers", 300, "1212121212121212", Verdict::Unknown},
                    Case{"with_discovery_a_third", 300, "12121212121d", Verdict::Alone},
                    Case{"one_refused_among_many", 300, "12345!6123451234512345123451234512345",
                         Verdict::Alone},
                    Case{"two_in_five_refused", 300, "12!13!2", Verdict::Together},
                    Case{"trouble_that_ends_is_outlived", 300,
                         "!1!2!3123451234512345123451234512345", Verdict::Alone},
                    Case{"too_late_to_tell", 300, "12345___________1234512345", Verdict::Unknown}),
    [](const auto& one) { return std::string(one.param.name); });

TEST(TierRestartDetector, AListOfYoungServersSpeaksForAReturnOfAll) {
  TierRestartDetector company(300, kBorn);
  company.record_list(kBorn, 10, 6);
  EXPECT_EQ(company.verdict(), Verdict::Unknown);
  company.record_list(kBorn, 10, 6);
  EXPECT_EQ(company.verdict(), Verdict::Together);
  TierRestartDetector other(300, kBorn);
  for (int k = 0; k < 6; ++k) other.record_list(kBorn, 10, 1), other.record_sample(kBorn, 3, false);
  EXPECT_EQ(other.verdict(), Verdict::Alone);
}

}  // namespace
}  // namespace robinseam::recovery
