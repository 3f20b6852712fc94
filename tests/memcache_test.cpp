// The parsers of the meta protocol, with input in one piece and split at every byte.
#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "protocol/meta.hpp"

namespace arrowfork {
namespace {

using robinseam::ReportField;

/// The results of a reader for `text`, passed in two parts split at `cut`.
std::vector<std::string> commands_of(const std::string& text, std::size_t cut) {
  CommandReader reader;
  std::vector<std::string> seen;
  for (std::string part : {text.substr(0, cut), text.substr(cut)}) {
    std::string_view in = part;
    while (true) {
      Command c;
      auto got = reader.take(in, c);
      if (got == CommandReader::Got::Nothing) break;
      switch (got) {
        case CommandReader::Got::Command:
          seen.push_back((c.set ? "ms " : "mg ") + c.key + ' ' + c.id + ' ' + c.type + ' ' +
                         c.tenant + ' ' + std::to_string(c.wait_ms) + ' ' + c.before_d + '7' +
                         c.after_d + "\r\n" + (c.value ? *c.value + "\r\n" : ""));
          break;
        case CommandReader::Got::Noop:
          seen.push_back("mn");
          break;
        case CommandReader::Got::Unknown:
          seen.push_back("unknown");
          break;
        case CommandReader::Got::Bad:
          seen.push_back("bad");
          break;
        default:
          seen.push_back("broken");
          return seen;
      }
    }
  }
  return seen;
}

TEST(CommandReader, SplitAtEveryByteGivesTheSame) {
  const std::string text =
      "mg 7f3a v O9b1f Pc=read,t=acme,d=480,h=1200,size=1.5\r\n"
      "ms 7f3a 5 O9b20 Pc=put,t=acme,d=480,k=5c0f\r\nhe\r\no\r\n"
      "mn\r\n"
      "get a\r\n"
      "mg \r\n"
      "ms key 3 O1\r\nabc\r\n"
      "mg k v O2 Pc=read\r\n"
      "mg k v O2 Pc=read,d=1.5\r\n";
  auto whole = commands_of(text, text.size());
  ASSERT_EQ(whole.size(), 8u);
  EXPECT_EQ(
      whole[0],
      "mg 7f3a 9b1f read acme 480.000000 mg 7f3a v O9b1f Pc=read,t=acme,d=7,h=1200,size=1.5\r\n");
  EXPECT_EQ(
      whole[1],
      "ms 7f3a 9b20 put acme 480.000000 ms 7f3a 5 O9b20 Pc=put,t=acme,d=7,k=5c0f\r\nhe\r\no\r\n");
  EXPECT_EQ(whole[2], "mn");
  EXPECT_EQ(whole[3], "unknown");
  EXPECT_EQ(whole[4], "bad");
  EXPECT_EQ(whole[5], "bad");
  EXPECT_EQ(whole[6], "bad");
  EXPECT_EQ(whole[7], "mg k 2 read  1.500000 mg k v O2 Pc=read,d=7\r\n");
  for (std::size_t cut = 0; cut < text.size(); ++cut)
    EXPECT_EQ(commands_of(text, cut), whole) << "cut at " << cut;
}

TEST(CommandReader, LostFramingIsReported) {
  EXPECT_EQ(commands_of("ms k five O1 Pc=put\r\n", 3).back(), "broken");
  EXPECT_EQ(commands_of("ms k 4194305 O1 Pc=put,d=1\r\n", 3).back(), "broken");
  EXPECT_EQ(commands_of("ms k -1 O1 Pc=put,d=1\r\n", 3).back(), "broken");
  EXPECT_EQ(commands_of("ms k 99999999999999999999 O1 Pc=put,d=1\r\n", 3).back(), "broken");
  EXPECT_EQ(commands_of("ms k 2 O1 Pc=put,d=1\r\nabcd\r\n", 3).back(), "broken");
  EXPECT_EQ(commands_of(std::string(kMaxLine + 1, 'x'), 3).back(), "broken");
  EXPECT_EQ(commands_of("ms k 4194304 O1 Pc=put,d=1\r\n", 3), std::vector<std::string>());
}

TEST(CommandReader, TooLongKeyIsBad) {
  EXPECT_EQ(commands_of("mg " + std::string(kMaxKey + 1, 'k') + " v O1 Pc=read\r\n", 9).back(),
            "bad");
}

TEST(CommandReader, OnlyTheProtocolsFormIsAccepted) {
  for (const char* line : {"mg k O1 Pc=read,d=1",        "mg k v Pc=read,d=1",
                           "mg k v O Pc=read,d=1",       "mg k v O1",
                           "mg k v O1 Pt=a,d=1",         "mg k v O1 Pc=read",
                           "mg k v O1 Pc=read,d=soon",   "mg k v O1 Pc=read,d=nan",
                           "mg k v O1 Pc=read,d=inf",    "mg k v O1 Pc=read,d=-1",
                           "mg k v O1 Pc=read,d=1e99",   "mg k v O1 Pc=read,d=1,h=nan",
                           "mg k v O1 Pc=read,d=1,h=-2", "mg k v O1 Pc=read,d=1,size=x",
                           "mg k v O1 Pc=read,d=1,d=2",  "mg k v O1 Pc=read,d=1,oops",
                           "mg k v O1 Pc=read,d=1 q",    "mg  k v O1 Pc=read,d=1",
                           "mg k v O1 Pc=read,d=1 ",     "mg k v O1 O2 Pc=read,d=1",
                           "mg k\x01 v O1 Pc=read,d=1",  "mg k v O\xff Pc=read,d=1"})
    EXPECT_EQ(commands_of(std::string(line) + "\r\n", 3), std::vector<std::string>{"bad"}) << line;
  EXPECT_EQ(commands_of("mg k v O1 Pc=read,d=1\n", 3).back(), "bad");  // no '\r'
}

const std::vector<ReportField> kFields = {ReportField::Utilization, ReportField::LatencyMs,
                                          ReportField::HitShare};

std::vector<std::string> answers_of(const std::string& text, std::size_t cut) {
  AnswerReader reader(&kFields);
  std::vector<std::string> seen;
  for (std::string part : {text.substr(0, cut), text.substr(cut)}) {
    std::string_view in = part;
    while (true) {
      Answer a;
      auto got = reader.take(in, a);
      if (got == AnswerReader::Got::Nothing) break;
      if (got == AnswerReader::Got::Broken) {
        seen.push_back("broken");
        return seen;
      }
      std::string report;
      for (double v : a.report) report += std::isnan(v) ? " -" : ' ' + std::to_string(v);
      seen.push_back(std::to_string(static_cast<int>(a.kind)) + ' ' + a.id + ' ' + a.receipt +
                     " h" + std::to_string(a.note) + report + ' ' + a.value +
                     (a.kind == Answer::Kind::Value ? "\r\n" : ""));
    }
  }
  return seen;
}

TEST(AnswerReader, SplitAtEveryByteGivesTheSame) {
  const std::string text =
      "VA 5 O9b h1 Lload_share=0.5,mean_ms=12,x0=0.25\r\nhe\r\no\r\n"
      "VA 0 O9c h0 Z\r\n\r\n"
      "HD O9d c77 Lx0=1,novelty=3,mean_ms=many\r\n"
      "SERVER_ERROR busy Lload_share=1\r\n"
      "SERVER_ERROR failed\r\n"
      "EN\r\n";
  auto whole = answers_of(text, text.size());
  ASSERT_EQ(whole.size(), 6u);
  EXPECT_EQ(whole[0], "0 9b  h1 0.500000 12.000000 0.250000 he\r\no\r\n");
  EXPECT_EQ(whole[1], "0 9c  h3 \r\n");
  EXPECT_EQ(whole[2], "1 9d 77 h0 - - 1.000000 ");
  EXPECT_EQ(whole[3], "2   h0 1.000000 - - ");
  EXPECT_EQ(whole[4], "3   h0 ");
  EXPECT_EQ(whole[5], "4   h0 ");
  for (std::size_t cut = 0; cut < text.size(); ++cut)
    EXPECT_EQ(answers_of(text, cut), whole) << "cut at " << cut;
}

TEST(AnswerReader, InvalidReportFieldsDoNotInvalidateTheAnswer) {
  for (const char* report : {"Lload_share=nan,mean_ms=inf,x0=-1", "Lload_share=1e300", "L=,,=,x",
                             "L\xff\x01 O7 c9", "L", "Lload_share"})
    EXPECT_EQ(answers_of("VA 1 O9 h1 " + std::string(report) + "\r\nv\r\n", 9).back().substr(0, 8),
              "0 9  h1 ")
        << report;
  auto seen = answers_of("VA 1 O9 Lload_share=1e300,mean_ms=-2,x0=0.5\r\nv\r\n", 9);
  EXPECT_EQ(seen.back(), "0 9  h0 - - 0.500000 v\r\n");
}

TEST(AnswerReader, ValueThatEndsBeforeItsLengthIsDetected) {
  for (bool ends_early : {true, false}) {
    AnswerReader reader(&kFields);
    std::string text = std::string("VA 10 O1\r\nabc") + (ends_early ? "\r\n" : "");
    std::string_view in = text;
    Answer answer;
    EXPECT_EQ(reader.take(in, answer), AnswerReader::Got::Nothing);
    EXPECT_TRUE(reader.in_answer());
    EXPECT_EQ(reader.ends_early(), ends_early);
  }
}

TEST(AnswerReader, GarbageIsBroken) {
  EXPECT_EQ(answers_of("HTTP/1.1 200 OK\r\n", 3).back(), "broken");
  EXPECT_EQ(answers_of("VA x O1\r\n", 3).back(), "broken");
  EXPECT_EQ(answers_of("VA -1 O1\r\n", 3).back(), "broken");
  EXPECT_EQ(answers_of("VA 3 O1\r\nabcde\r\n", 3).back(), "broken");
  EXPECT_EQ(answers_of("VA 4194305 O1\r\n", 3).back(), "broken");
  EXPECT_EQ(answers_of("noise without an end", 3).back(), "broken");
  EXPECT_EQ(answers_of("VAST 3", 3).back(), "broken");
  EXPECT_EQ(answers_of("SERVER_ERR", 3), std::vector<std::string>());
  EXPECT_EQ(answers_of("VA 3000000000 O1\r\n", 3).back(), "broken");
  EXPECT_EQ(answers_of("VA 3\r\nabc\r\n", 3).back(), "broken");
  EXPECT_EQ(answers_of("VA 3 O1\nabc\r\n", 3).back(), "broken");
  EXPECT_EQ(answers_of("VA 3 O1 O2\r\nabc\r\n", 3).back(), "broken");
  EXPECT_EQ(answers_of("HD O1\r\n", 3).back(), "broken");
  EXPECT_EQ(answers_of(std::string(kMaxLine + 1, 'V'), 3).back(), "broken");
}

// Almost valid lines with random bytes, split at random points. For any input the readers must
// terminate and give the same results as for the unsplit text.
TEST(MetaFuzz, BothReadersGiveTheSameResultsForAnySplitOfAnyBytes) {
  std::mt19937_64 random(20261201);
  auto below = [&](std::uint64_t n) { return random() % n; };
  const char* const lines[] = {"mg key v O1 Pc=read,d=5\r\n",
                               "ms key 3 O2 Pc=put,d=5,k=7\r\nabc\r\n",
                               "mn\r\n",
                               "VA 3 O1 h1 Lload_share=0.5\r\nabc\r\n",
                               "HD O1 cab\r\n",
                               "EN\r\n",
                               "SERVER_ERROR busy 5\r\n"};
  int broken = 0, whole = 0;
  for (int round = 0; round < 50'000; ++round) {
    std::string text;
    for (std::uint64_t count = 1 + below(4); count > 0; --count) {
      std::string line = lines[below(std::size(lines))];
      for (std::uint64_t corrupted = below(3); corrupted > 0; --corrupted)
        line[below(line.size())] = static_cast<char>(random());
      if (below(9) == 0) line.resize(below(line.size() + 1));
      text += line;
    }
    std::size_t cut = below(text.size() + 1);
    auto commands = commands_of(text, 0), answers = answers_of(text, 0);
    ASSERT_EQ(commands_of(text, cut), commands) << text;
    ASSERT_EQ(answers_of(text, cut), answers) << text;
    for (const auto& one : commands) ++(one == "broken" || one == "bad" ? broken : whole);
    for (const auto& one : answers) ++(one == "broken" ? broken : whole);
  }
  EXPECT_GT(broken, 5'000);
  EXPECT_GT(whole, 5'000);
}

}  // namespace
}  // namespace arrowfork
