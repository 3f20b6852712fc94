// Cache servers that write long answers or read long requests slowly.
#include <map>

#include "router_under_test.hpp"

namespace arrowfork::process_test {
namespace {

// STANDING: a final answer up to half a second after its time earns nothing; later it is lost.
constexpr Micros kMaxLate = kSecond / 2;

struct SlowAnswerCase {
  const char* name;
  std::size_t value_bytes, bytes_per_second;
  Micros first_byte_delay;
  int deadline_ms;
  int warm_up;  ///< small answers before, which make the usual latency short
};
void PrintTo(const SlowAnswerCase& one, std::ostream* out) { *out << one.name; }

class SlowAnswer : public testing::TestWithParam<SlowAnswerCase> {};

TEST_P(SlowAnswer, ItIsWaitedForWhileItsBytesArrive) {
  constexpr int kRequests = 4;
  const SlowAnswerCase& load = GetParam();
  const std::string value(load.value_bytes, 'v');
  std::vector<std::unique_ptr<ScriptedCacheServer>> servers;
  RouterOptions options;
  for (int k = 0; k < 6; ++k) {
    servers.push_back(std::make_unique<ScriptedCacheServer>([&](const ReceivedCommand& command) {
      if (!command.line.starts_with("mg long")) return serve(command);
      Reaction reaction = serve(command, load.first_byte_delay, value);
      reaction.bytes_per_second = load.bytes_per_second;
      return reaction;
    }));
    options.hosts.push_back(test::host_json("s-" + std::to_string(k), servers.back()->address()));
  }
  RouterUnderTest router(options);
  TestConnection client = TestConnection::to(router.port());
  for (int k = 0; k < load.warm_up; ++k) {
    client.write(read_command(next_id(), 480, "k" + std::to_string(k)));
    ASSERT_TRUE(client.line().starts_with("VA 1 "));
    client.line();
  }
  for (int k = 0; k < kRequests; ++k) {
    client.write(read_command(next_id(), load.deadline_ms, "long" + std::to_string(k)));
    std::string line = client.line();
    EXPECT_TRUE(line.starts_with("VA " + std::to_string(load.value_bytes))) << line;
    if (line.starts_with("VA ")) client.line();
  }
  std::map<std::string, int> attempts;
  for (const auto& server : servers)
    for (const ReceivedCommand& command : server->received())
      if (command.line.starts_with("mg long")) ++attempts[command.id];
  for (const auto& [id, count] : attempts) EXPECT_EQ(count, 1) << id;
}

INSTANTIATE_TEST_SUITE_P(Rates, SlowAnswer,
                         testing::Values(SlowAnswerCase{"At160KilobytesASecond", 64'000, 160'000,
                                                        kMillisecond, 580, 300},
                                         SlowAnswerCase{"At6MegabytesASecond", 64'000, 6'000'000,
                                                        kMillisecond, 480, 300},
                                         SlowAnswerCase{"LargeAt2MegabytesASecond", 600'000,
                                                        2'000'000, kMillisecond, 580, 300}),
                         [](const auto& info) { return std::string(info.param.name); });

struct SlowReaderCase {
  const char* name;
  std::size_t value_bytes, server_bytes_per_second;
  int clients;
  int deadline_ms;
};
void PrintTo(const SlowReaderCase& one, std::ostream* out) { *out << one.name; }

class SlowReadingServer : public testing::TestWithParam<SlowReaderCase> {};

TEST_P(SlowReadingServer, EachClientHasItsAnswerInTime) {
  const SlowReaderCase& load = GetParam();
  std::vector<std::unique_ptr<ScriptedCacheServer>> servers;
  RouterOptions options;
  ScriptedCacheServer::Options slow;
  slow.read_bytes_per_second = load.server_bytes_per_second;
  for (int k = 0; k < 4; ++k) {
    servers.push_back(std::make_unique<ScriptedCacheServer>(
        [](const ReceivedCommand& command) { return serve(command); }, slow));
    options.hosts.push_back(test::host_json("s-" + std::to_string(k), servers.back()->address()));
  }
  RouterUnderTest router(options);
  struct Result {
    std::string line;
    Micros took = 0;
  };
  std::vector<Result> results(static_cast<std::size_t>(load.clients));
  std::vector<std::thread> clients;
  for (Result& result : results)
    clients.emplace_back([&] {
      TestConnection client = TestConnection::to(router.port());
      std::string command =
          write_command(next_id(), load.deadline_ms, std::string(load.value_bytes, 'x'), next_id());
      client.write(command);
      Micros written_at = now();
      result.line = client.line();
      result.took = now() - written_at;
    });
  for (std::thread& client : clients) client.join();
  Micros longest = 0;
  std::map<std::string, int> kinds;
  for (const Result& result : results) {
    longest = std::max(longest, result.took);
    ++kinds[result.line.substr(0, result.line.starts_with("SERVER") ? 17 : 2)];
    EXPECT_LE(result.took, load.deadline_ms * kMillisecond + kMaxLate) << result.line;
    EXPECT_NE(result.line, "");
  }
  std::printf("longest %.0f ms\n", static_cast<double>(longest) / kMillisecond);
  for (const auto& [kind, count] : kinds) std::printf("%d times %s\n", count, kind.c_str());
}

INSTANTIATE_TEST_SUITE_P(
    Sizes, SlowReadingServer,
    testing::Values(SlowReaderCase{"Usual", 64u << 10, 100'000, 8, 900},
                    SlowReaderCase{"Large", 1u << 20, 100'000, 8, 900},
                    SlowReaderCase{"LargeFromManyClients", 1u << 20, 1'000'000, 30, 900},
                    SlowReaderCase{"TwoMegabytes", 2u << 20, 400'000, 12, 900}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace arrowfork::process_test
