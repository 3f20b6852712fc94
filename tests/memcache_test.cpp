// The parsers, whole and split at every byte.
#include "net/memcache.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace arrowfork {
namespace {

using robinseam::ReportField;

/// What a reader makes of `text` when it comes in two parts cut at `cut`.
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
                         c.tenant + ' ' + std::to_string(c.wait_ms) + ' ' + c.line(7) +
                         (c.value ? *c.value : ""));
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
      "mg k v O2 Pc=read\r\n";
  auto whole = commands_of(text, text.size());
  ASSERT_EQ(whole.size(), 7u);
  EXPECT_EQ(whole[0],
            "mg 7f3a 9b1f read acme 480.000000 mg 7f3a v O9b1f Pc=read,t=acme,d=7,h=1200,size=1.5\r\n");
  EXPECT_EQ(whole[1],
            "ms 7f3a 9b20 put acme 480.000000 ms 7f3a 5 O9b20 Pc=put,t=acme,d=7,k=5c0f\r\nhe\r\no\r\n");
  EXPECT_EQ(whole[2], "mn");
  EXPECT_EQ(whole[3], "unknown");
  EXPECT_EQ(whole[4], "bad");
  EXPECT_EQ(whole[5], "bad");
  EXPECT_EQ(whole[6], "mg k 2 read  -1.000000 mg k v O2 Pc=read,d=7\r\n");
  for (std::size_t cut = 0; cut < text.size(); ++cut)
    EXPECT_EQ(commands_of(text, cut), whole) << "cut at " << cut;
}

TEST(CommandReader, FramingThatIsLostIsTold) {
  EXPECT_EQ(commands_of("ms k five O1 Pc=put\r\n", 3).back(), "broken");
  EXPECT_EQ(commands_of("ms k 4194305 O1 Pc=put\r\n", 3).back(), "broken");
  EXPECT_EQ(commands_of("ms k 2 O1 Pc=put\r\nabcd\r\n", 3).back(), "broken");
  EXPECT_EQ(commands_of(std::string(kMaxLine + 1, 'x'), 3).back(), "broken");
  EXPECT_EQ(commands_of("ms k 4194304 O1 Pc=put\r\n", 3), std::vector<std::string>());
}

TEST(CommandReader, AKeyThatIsTooLongIsBad) {
  EXPECT_EQ(commands_of("mg " + std::string(kMaxKey + 1, 'k') + " v O1 Pc=read\r\n", 9).back(),
            "bad");
}

const std::vector<ReportField> kFields = {ReportField::Utilization, ReportField::LatencyMs,
                                          ReportField::HitShare};

std::vector<std::string> answers_of(const std::string& text, std::size_t cut) {
  AnswerReader reader(&kFields);
  std::vector<std::string> seen;
  std::string large;
  for (std::string part : {text.substr(0, cut), text.substr(cut)}) {
    std::string_view in = part, chunk;
    while (true) {
      Answer a;
      auto got = reader.take(in, a, chunk);
      if (got == AnswerReader::Got::Nothing) break;
      if (got == AnswerReader::Got::Broken) {
        seen.push_back("broken");
        return seen;
      }
      if (got == AnswerReader::Got::Chunk) large += chunk;
      if (got == AnswerReader::Got::Head) seen.push_back("head " + std::to_string(a.length));
      if (got == AnswerReader::Got::End) seen.push_back("end " + std::to_string(large.size()));
      if (got != AnswerReader::Got::Answer) continue;
      std::string report;
      for (double v : a.report) report += std::isnan(v) ? " -" : ' ' + std::to_string(v);
      seen.push_back(std::to_string(static_cast<int>(a.kind)) + ' ' + a.id + ' ' + a.receipt +
                     " h" + std::to_string(a.note) + report + ' ' + a.value);
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

TEST(AnswerReader, ALargeValueComesInChunks) {
  std::string text = "VA 70000 O1\r\n" + std::string(70000, 'v') + "\r\nEN\r\n";
  std::vector<std::string> expected = {"head 70000", "end 70000", "4   h0 "};
  for (std::size_t cut : {0u, 5u, 13u, 14u, 70012u, 70013u, 70014u, 70015u, 70016u})
    EXPECT_EQ(answers_of(text, cut), expected) << "cut at " << cut;
}

TEST(AnswerReader, GarbageBreaks) {
  EXPECT_EQ(answers_of("HTTP/1.1 200 OK\r\n", 3).back(), "broken");
  EXPECT_EQ(answers_of("VA x O1\r\n", 3).back(), "broken");
  EXPECT_EQ(answers_of("VA -1 O1\r\n", 3).back(), "broken");
  EXPECT_EQ(answers_of("VA 3 O1\r\nabcde\r\n", 3).back(), "broken");
  EXPECT_EQ(answers_of("VA 70000 O1\r\n" + std::string(70010, 'v'), 3).back(), "broken");
  EXPECT_EQ(answers_of(std::string(kMaxLine + 1, 'V'), 3).back(), "broken");
}

}  // namespace
}  // namespace arrowfork
