// How a router detects whether it restarted alone: a table of samples and verdicts.
#include "recovery/tier_restart_detector.hpp"

#include <gtest/gtest.h>

#include <string>

namespace robinseam::recovery {
namespace {

constexpr Micros kS = 1'000'000, kStart = 50 * kS;
using Verdict = TierRestartDetector::Verdict;

struct Case {
  const char* name;
  int routers;
  const char* samples;  // a digit: an answer of that server, '!' before it: trouble there;
                        // 'd': discovery has answered; '_': a second passes
  Verdict verdict;
};

void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }

class TierRestart : public testing::TestWithParam<Case> {};

TEST_P(TierRestart, VerdictFollowsFromSamples) {
  const Case& c = GetParam();
  TierRestartDetector detector(c.routers, kStart);
  Micros now = kStart;
  bool trouble = false;
  for (char one : std::string(c.samples)) {
    if (one == '_') now += kS;
    if (one == '!') {
      trouble = true;
      continue;
    }
    if (one == 'd') detector.record_sample(now, TierRestartDetector::kDiscoverySource, trouble);
    if (one >= '0' && one <= '9') detector.record_sample(now, one - '0', trouble);
    trouble = false;
  }
  EXPECT_EQ(detector.verdict(), c.verdict);
  EXPECT_EQ(detector.take_alone_verdict(), c.verdict == Verdict::Alone && c.routers > 2);
  EXPECT_FALSE(detector.take_alone_verdict());
}

INSTANTIATE_TEST_SUITE_P(
    All, TierRestart,
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
                    Case{"good_samples_outweigh_earlier_trouble", 300,
                         "!1!2!3123451234512345123451234512345", Verdict::Alone},
                    Case{"late_samples_are_ignored", 300, "12345___________1234512345",
                         Verdict::Unknown}),
    [](const auto& one) { return std::string(one.param.name); });

TEST(TierRestartDetector, RecentlyStartedServersIndicateARestartOfAll) {
  TierRestartDetector detector(300, kStart);
  detector.record_list(kStart, 10, 6);
  EXPECT_EQ(detector.verdict(), Verdict::Unknown);
  detector.record_list(kStart, 10, 6);
  EXPECT_EQ(detector.verdict(), Verdict::Together);
  TierRestartDetector other(300, kStart);
  for (int k = 0; k < 6; ++k)
    other.record_list(kStart, 10, 1), other.record_sample(kStart, 3, false);
  EXPECT_EQ(other.verdict(), Verdict::Alone);
}

}  // namespace
}  // namespace robinseam::recovery
