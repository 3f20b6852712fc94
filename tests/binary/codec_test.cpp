// Binary protocol codec: packets in one piece and split at every byte, limits, and random bytes.
#include <gtest/gtest.h>

#include <random>

#include "protocol/binary.hpp"

namespace arrowfork::binary {
namespace {

/// Parses `text` in parts that end at `cuts` and describes the results.
std::vector<std::string> parse_commands(const std::string& text, std::vector<std::size_t> cuts) {
  CommandReader reader;
  std::vector<std::string> results;
  cuts.push_back(text.size());
  std::size_t from = 0;
  for (std::size_t cut : cuts) {
    std::string part = text.substr(from, cut - from);
    from = cut;
    std::string_view in = part;
    while (true) {
      Command c;
      auto result = reader.parse(in, c);
      if (result == CommandReader::ParseResult::Incomplete) break;
      std::string head =
          std::to_string(static_cast<int>(c.opcode)) + '/' + std::to_string(c.opaque);
      if (result == CommandReader::ParseResult::Command) {
        results.push_back(head + ' ' + c.key + ' ' + c.value + ' ' + std::to_string(c.flags) + ' ' +
                          std::to_string(c.expiry) + ' ' + std::to_string(c.cas));
        continue;
      }
      results.push_back(head + " status " + std::to_string(reader.rejection_status()));
      if (result == CommandReader::ParseResult::FramingLost) {
        results.push_back("broken");
        return results;
      }
    }
    EXPECT_TRUE(in.empty());
  }
  if (reader.in_command()) results.push_back("partly");
  return results;
}

std::string packet(Opcode opcode, std::uint32_t opaque, const std::string& key = "",
                   const std::string& value = "") {
  Command c;
  c.opcode = opcode;
  c.opaque = opaque;
  c.key = key;
  c.value = value;
  return request(c);
}

std::string header(unsigned opcode, unsigned key, unsigned extras, std::uint32_t body,
                   unsigned magic = kRequestMagic, unsigned type = 0) {
  std::string h(kHeader, '\0');
  h[0] = static_cast<char>(magic);
  h[1] = static_cast<char>(opcode);
  h[2] = static_cast<char>(key >> 8);
  h[3] = static_cast<char>(key);
  h[4] = static_cast<char>(extras);
  h[5] = static_cast<char>(type);
  for (int k = 0; k < 4; ++k) h[8 + k] = static_cast<char>(body >> (24 - 8 * k));
  h[15] = 9;  // opaque
  return h;
}

TEST(BinaryRequest, IsEncodedAsSpecified) {
  Command c;
  c.opcode = Opcode::Set;
  c.opaque = 0x01020304;
  c.cas = 0x1122334455667788;
  c.flags = 0xdeadbeef;
  c.expiry = 60;
  c.key = "Hello";
  c.value = "World";
  EXPECT_EQ(request(c), std::string("\x80\x01\x00\x05\x08\x00\x00\x00\x00\x00\x00\x12"
                                    "\x01\x02\x03\x04\x11\x22\x33\x44\x55\x66\x77\x88"
                                    "\xde\xad\xbe\xef\x00\x00\x00\x3cHelloWorld",
                                    42));
}

TEST(BinaryResponse, IsEncodedAsSpecified) {
  EXPECT_EQ(response(Opcode::GetK, status::kOk, 7, "World", "Hello", 0xdeadbeef, 1),
            std::string("\x81\x0c\x00\x05\x04\x00\x00\x00\x00\x00\x00\x0e"
                        "\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00\x01"
                        "\xde\xad\xbe\xefHelloWorld",
                        38));
  EXPECT_EQ(response(Opcode::Get, status::kBusy, 7, "busy 20", "Hello", 5),
            std::string("\x81\x00\x00\x00\x00\x00\x00\x85\x00\x00\x00\x07"
                        "\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00\x00"
                        "busy 20",
                        31));
}

TEST(BinaryCommandReader, SplitAtAnyByteGivesTheSameResult) {
  std::string value("with\r\n\0and\x80", 11);
  std::string text = packet(Opcode::GetKQ, 1, "a") + packet(Opcode::SetQ, 2, "b", value) +
                     header(0x05, 1, 20, 21) + std::string(21, 'i') +  // INCREMENT
                     header(0xee, 0, 0, 3) + "abc" + header(0x00, 0, 0, 0) +
                     header(0x01, 1, 8, 9 + kMaxValue + 1) + std::string(9 + kMaxValue + 1, 'v') +
                     header(0x00, 251, 0, 251) + std::string(251, 'k') + packet(Opcode::Noop, 3) +
                     packet(Opcode::Stat, 4) + packet(Opcode::Quit, 5);
  const std::vector<std::string> expected = {"13/1 a  0 0 0",  "17/2 b " + value + " 0 0 0",
                                             "5/9 status 131", "238/9 status 129",
                                             "0/9 status 4",   "1/9 status 3",
                                             "0/9 status 4",   "10/3   0 0 0",
                                             "16/4   0 0 0",   "7/5   0 0 0"};
  EXPECT_EQ(parse_commands(text, {}), expected);
  std::size_t bulk = 400,
              skip_to = text.size() - 400;  // the long value is split at some places only
  for (std::size_t cut = 1; cut<text.size(); cut += cut> bulk && cut < skip_to ? 997 : 1)
    ASSERT_EQ(parse_commands(text, {cut}), expected) << "cut at " << cut;
  std::vector<std::size_t> every;
  for (std::size_t cut = 1; cut < bulk; ++cut) every.push_back(cut);
  EXPECT_EQ(parse_commands(text, every), expected);
}

TEST(BinaryCommandReader, IncompletePacketIsNotACommand) {
  std::string text = packet(Opcode::Get, 1, "key");
  for (std::size_t size = 1; size < text.size(); ++size)
    EXPECT_EQ(parse_commands(text.substr(0, size), {}), std::vector<std::string>{"partly"}) << size;
}

TEST(BinaryCommandReader, LostFramingIsReported) {
  using Results = std::vector<std::string>;
  // The body is shorter than key and extras together.
  EXPECT_EQ(parse_commands(header(0x01, 5, 8, 12) + "xxxxxxxxxxxx", {}),
            (Results{"1/9 status 4", "broken"}));
  // A body of 4 GB.
  EXPECT_EQ(parse_commands(header(0x01, 5, 8, 0xffffffff), {}),
            (Results{"1/9 status 3", "broken"}));
  EXPECT_EQ(parse_commands(header(0x00, 5, 0, 0xffffffff), {}),
            (Results{"0/9 status 4", "broken"}));
  // The magic of a response, and a meta command.
  EXPECT_EQ(parse_commands(header(0x00, 1, 0, 1, kResponseMagic) + "k", {}).back(), "broken");
  EXPECT_EQ(parse_commands(packet(Opcode::Noop, 1) + "mg key v O1 Pc=read,d=1\r\n", {}).back(),
            "broken");
}

TEST(BinaryCommandReader, LengthsMustFitTheOpcode) {
  const std::vector<std::string> bad[] = {
      parse_commands(header(0x00, 1, 4, 5) + "xxxxk", {}),      // GET with extras
      parse_commands(header(0x00, 1, 0, 4) + "kval", {}),       // GET with a value
      parse_commands(header(0x01, 1, 4, 5) + "xxxxk", {}),      // SET with half its extras
      parse_commands(header(0x01, 0, 8, 9) + "xxxxxxxxv", {}),  // SET with no key
      parse_commands(header(0x0a, 0, 0, 1) + "x", {}),          // NOOP with a body
      parse_commands(header(0x00, 1, 0, 1, kRequestMagic, 1) + "k", {})};  // data type other than 0
  for (const auto& results : bad) {
    ASSERT_EQ(results.size(), 1u);
    EXPECT_EQ(results[0].substr(results[0].find(' ')), " status 4");
  }
}

std::vector<std::string> parse_answers(const std::string& text, std::size_t cut) {
  AnswerReader reader;
  std::vector<std::string> results;
  for (std::string part : {text.substr(0, cut), text.substr(cut)}) {
    std::string_view in = part;
    while (true) {
      Answer a;
      auto result = reader.parse(in, a);
      if (result == AnswerReader::ParseResult::Incomplete) break;
      if (result == AnswerReader::ParseResult::Malformed) {
        results.push_back("broken");
        return results;
      }
      results.push_back(std::to_string(a.opcode) + '/' + std::to_string(a.opaque) + ' ' +
                        std::to_string(a.status) + ' ' + a.key + ' ' + a.value + ' ' +
                        std::to_string(a.flags) + ' ' + std::to_string(a.cas));
    }
  }
  if (reader.in_answer()) results.push_back("partly");
  return results;
}

TEST(BinaryAnswerReader, SplitAtAnyByteGivesTheSameResult) {
  std::string text = response(Opcode::GetK, status::kOk, 1, "value", "key", 77, 5) +
                     response(Opcode::Set, status::kOk, 2, {}, {}, 0, 99) +
                     response(Opcode::GetK, status::kBusy, 3, "busy 20") +
                     response(Opcode::GetK, status::kNotFound, 4, "Not found");
  const std::vector<std::string> expected = {"12/1 0 key value 77 5", "1/2 0   0 99",
                                             "12/3 133  busy 20 0 0", "12/4 1  Not found 0 0"};
  for (std::size_t cut = 0; cut <= text.size(); ++cut)
    EXPECT_EQ(parse_answers(text, cut), expected) << cut;
}

TEST(BinaryAnswerReader, GarbageIsMalformed) {
  using Results = std::vector<std::string>;
  EXPECT_EQ(parse_answers("VA 5 O1\r\n", 0), Results{"broken"});
  EXPECT_EQ(parse_answers(header(0x0c, 1, 4, 5), 0), Results{"broken"});  // a request's magic
  EXPECT_EQ(parse_answers(header(0x0c, 1, 4, 4, kResponseMagic), 0),
            Results{"broken"});  // too short
  EXPECT_EQ(parse_answers(header(0x0c, 1, 4, 0xfffffff0, kResponseMagic), 0), Results{"broken"});
  EXPECT_EQ(parse_answers(header(0x0c, 300, 4, 304, kResponseMagic), 0), Results{"broken"});
  EXPECT_EQ(parse_answers(header(0x0c, 1, 0, 2, kResponseMagic), 0),
            Results{"broken"});  // no flags
  EXPECT_EQ(parse_answers(header(0x0c, 1, 4, 6, kResponseMagic, 2), 0), Results{"broken"});
}

// Random packets, most of them almost valid, split at random points: the readers must terminate,
// stay within their limits, and give the same results as for unsplit input.
TEST(BinaryFuzz, BothReadersHandleAnyBytesSplitAnywhere) {
  std::mt19937_64 random(20261201);
  auto below = [&](std::uint64_t n) { return random() % n; };
  const unsigned opcodes[] = {0x00, 0x01, 0x07, 0x09, 0x0a, 0x0b, 0x0c, 0x0d, 0x10, 0x11, 0x17};
  int accepted = 0, rejected = 0, broken = 0;
  for (int round = 0; round < 50'000; ++round) {
    std::string text;
    for (std::uint64_t packets = 1 + below(4); packets > 0; --packets) {
      unsigned opcode = below(4) ? opcodes[below(std::size(opcodes))] : below(256);
      std::size_t key = below(8) ? below(40) : below(300);
      std::size_t extras = opcode == 0x01 || opcode == 0x11 ? 8 : below(6) ? 0 : below(20);
      std::size_t value = below(3) ? 0 : below(200);
      std::size_t body = key + extras + value;
      std::string p = header(opcode, key, extras, static_cast<std::uint32_t>(body),
                             below(2) ? kRequestMagic : kResponseMagic);
      for (std::size_t k = 0; k < body; ++k) p.push_back(static_cast<char>(random()));
      if (below(5) == 0) p[below(p.size())] ^= static_cast<char>(1 + below(255));
      if (below(9) == 0) p.resize(below(p.size() + 1));
      text += p;
    }
    std::size_t a = below(text.size() + 1), b = a + below(text.size() - a + 1);
    auto whole = parse_commands(text, {});
    ASSERT_EQ(parse_commands(text, {a, b}), whole) << "round " << round;
    for (const std::string& one : whole)
      ++(one == "broken" ? broken : one.find(" status ") != one.npos ? rejected : accepted);
    text[0] = static_cast<char>(below(10) ? kResponseMagic : random());
    ASSERT_EQ(parse_answers(text, a), parse_answers(text, 0)) << "round " << round;
  }
  // The inputs reach every kind of result.
  EXPECT_GT(accepted, 5'000);
  EXPECT_GT(rejected, 5'000);
  EXPECT_GT(broken, 5'000);
}

}  // namespace
}  // namespace arrowfork::binary
