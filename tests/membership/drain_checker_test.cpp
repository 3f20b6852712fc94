// The checker itself, on records made by hand: for each sentence of the protocol the last send that
// keeps it and the first that breaks it.
#include "drain_checker.hpp"

#include <gtest/gtest.h>

namespace arrowfork::test {
namespace {

using What = DrainRecord::What;
constexpr Micros kSecond = DrainChecker::kSecond, kMilli = 1000;

struct Case {
  const char* what;
  bool pushed;
  std::vector<DrainRecord> records;  ///< what went before
  Micros told;                       ///< when the change of server 1 counts
};

DrainRecord record(Micros at, What what, int server = -1, Micros until = 0) {
  return {at, what, server, until};
}

const std::vector<Case>& cases() {
  static const std::vector<Case> all{
      {"an answer was written",
       false,
       {record(0, What::Called), record(kSecond, What::Leaves, 1),
        record(2 * kSecond, What::Written)},
       2 * kSecond},
      {"6 s after discovery had it, whatever was refused",
       false,
       {record(0, What::Called), record(kSecond, What::Leaves, 1),
        record(2 * kSecond, What::CallFailed)},
       7 * kSecond},
      {"6 s after it could be reached",
       false,
       {record(0, What::Called), record(kSecond, What::Unreachable),
        record(2 * kSecond, What::Leaves, 1), record(9 * kSecond, What::Reachable)},
       15 * kSecond},
      {"a call that was turned away could not reach it",
       false,
       {record(0, What::Called), record(kSecond, What::Leaves, 1),
        record(3 * kSecond, What::TurnedAway)},
       9 * kSecond},
      {"a silent watch: 2 s after its wait",
       false,
       {record(0, What::Called), record(kSecond, What::Muted, -1, 20 * kSecond),
        record(2 * kSecond, What::Leaves, 1)},
       22 * kSecond},
      {"a silent watch: 6 s after it fell silent, if that is later",
       false,
       {record(0, What::Called), record(kSecond, What::Muted, -1, 2 * kSecond),
        record(2 * kSecond, What::Leaves, 1)},
       7 * kSecond},
      {"a silent watch, and a call that failed after it",
       false,
       {record(0, What::Called), record(kSecond, What::Muted, -1, 20 * kSecond),
        record(2 * kSecond, What::Leaves, 1), record(4 * kSecond, What::CallFailed)},
       10 * kSecond},
      {"4 s after SIGHUP",
       false,
       {record(0, What::Called), record(kSecond, What::Hangup),
        record(2 * kSecond, What::Leaves, 1)},
       5 * kSecond},
      {"4 s after the first of several",
       false,
       {record(0, What::Called), record(kSecond, What::Hangup),
        record(2 * kSecond, What::Leaves, 1), record(3 * kSecond, What::Hangup),
        record(4 * kSecond, What::Hangup)},
       5 * kSecond},
      {"never asked: so long after the change as the settings give for asking",
       false,
       {record(0, What::Started), record(kSecond, What::Leaves, 1)},
       7 * kSecond},
      {"never asked: from the first moment of a process, if that has passed",
       false,
       {record(kSecond, What::Leaves, 1), record(30 * kSecond, What::Started)},
       30 * kSecond + DrainChecker::kFirstCall},
      {"an agent has it at once",
       true,
       {record(0, What::Called), record(kSecond, What::Leaves, 1)},
       kSecond},
      {"an agent has it when discovery is back",
       true,
       {record(0, What::Called), record(kSecond, What::Unreachable),
        record(2 * kSecond, What::Leaves, 1), record(9 * kSecond, What::Reachable)},
       9 * kSecond},
      {"an agent has it from the first moment of a process",
       true,
       {record(kSecond, What::Leaves, 1), record(5 * kSecond, What::Started)},
       5 * kSecond},
      {"an agent after SIGHUP: 4 s",
       true,
       {record(0, What::Called), record(kSecond, What::Hangup),
        record(2 * kSecond, What::Leaves, 1)},
       5 * kSecond},
      {"an agent whose watch fell silent: the same clock",
       true,
       {record(0, What::Called), record(kSecond, What::Muted, -1, 3 * kSecond),
        record(2 * kSecond, What::Leaves, 1)},
       7 * kSecond},
  };
  return all;
}

/// Violations where requests go to the server every millisecond up to `until`.
std::size_t violations(const Case& one, const DrainRules& rules, Micros until) {
  std::vector<DrainRecord> records = one.records;
  Micros from = records.back().at;
  for (Micros t = from + kMilli; t <= until; t += kMilli)
    records.push_back(record(t, What::Sent, 1));
  return DrainChecker(rules).check(records).size();
}

TEST(DrainChecker, CatchesTheFirstRequestPastTheGraceUnderEachSentence) {
  for (const Case& one : cases()) {
    DrainRules rules;
    rules.pushed = one.pushed;
    Micros last = one.told + rules.grace + DrainChecker::kSlack;
    EXPECT_EQ(violations(one, rules, last), 0u) << one.what;
    EXPECT_EQ(violations(one, rules, last + kMilli), 1u) << one.what;
  }
}

TEST(DrainChecker, OneThatReturnsMayBeSentTo) {
  DrainChecker checker({});
  EXPECT_TRUE(checker
                  .check({record(0, What::Called), record(kSecond, What::Leaves, 1),
                          record(kSecond, What::Written), record(2 * kSecond, What::Returns, 1),
                          record(9 * kSecond, What::Sent, 1)})
                  .empty());
}

TEST(DrainChecker, OtherServersAreNoneOfItsBusiness) {
  DrainChecker checker({});
  EXPECT_TRUE(checker
                  .check({record(0, What::Called), record(kSecond, What::Leaves, 1),
                          record(kSecond, What::Written), record(9 * kSecond, What::Sent, 2)})
                  .empty());
}

}  // namespace
}  // namespace arrowfork::test
