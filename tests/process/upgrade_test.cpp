// A second process of the router takes over from the first one under load. Both count as one
// router, also for the limit on memory.
#include <optional>

#include "router_under_test.hpp"

namespace arrowfork::process_test {
namespace {

constexpr int kMemoryMb = 32;
constexpr std::size_t kServers = 4;
constexpr Micros kLoadTime = 2 * kSecond;
// PROTOCOL: the kill comes no sooner after SIGTERM than this, beside the longest deadline.
constexpr Micros kKillDelay = 700 * kMillisecond;
constexpr Micros kLongestDeadline = kSecond;

struct UpgradeCase {
  const char* name;
  std::size_t clients;
  std::function<std::string()> input;
  std::size_t read_bytes_per_second;
};
void PrintTo(const UpgradeCase& one, std::ostream* out) { *out << one.name; }

std::string stopped_write() {
  std::string command = write_command(next_id(), 900, std::string(65'536, 'x'), next_id());
  return command.substr(0, command.size() - 2);
}

std::string stopped_large_write() {
  std::string command = write_command(next_id(), 900, std::string(1u << 20, 'x'), next_id());
  return command.substr(0, command.size() * 3 / 4);
}

std::string many_reads() {
  std::string input;
  for (int k = 0; k < 100; ++k) input += read_command(next_id(), 580, "usual");
  return input;
}

class UpgradeMemory : public testing::TestWithParam<UpgradeCase> {};

TEST_P(UpgradeMemory, BothProcessesTogetherStayUnderTheLimit) {
  const UpgradeCase& load = GetParam();
  rig::TemporaryDirectory state;
  RouterOptions options;
  options.memory_mb = kMemoryMb;
  options.keyed_deadline = kLongestDeadline;
  options.state_dir = state.path();
  std::vector<std::unique_ptr<ScriptedCacheServer>> servers;
  for (std::size_t k = 0; k < kServers; ++k) {
    servers.push_back(std::make_unique<ScriptedCacheServer>([](const ReceivedCommand& c) {
      bool is_usual = c.line.starts_with("mg usual ");
      return serve(c, kMillisecond, is_usual ? std::string(64'000, 'u') : "v");
    }));
    options.hosts.push_back(test::host_json("s-" + std::to_string(k), servers.back()->address()));
  }
  std::optional<RouterUnderTest> predecessor(std::in_place, options), successor;
  ASSERT_NE(predecessor->port(), 0) << predecessor->log();
  long peak = 0, before = 0;
  auto watch_memory = [&](Micros span, const std::function<bool()>& done) {
    for (Micros end = now() + span; now() < end && !done(); sleep_for(2 * kMillisecond)) {
      long first = predecessor->memory_kib(), second = successor ? successor->memory_kib() : 0;
      peak = std::max(peak, first + second);
    }
  };
  auto never = [] { return false; };
  rig::Crowd::Options crowd;
  crowd.connections = load.clients;
  crowd.input = load.input;
  crowd.read_bytes_per_second = load.read_bytes_per_second;
  std::optional<rig::Crowd> early(std::in_place, predecessor->port(), crowd);
  watch_memory(kLoadTime, never);
  before = std::exchange(peak, 0);
  successor.emplace(options);
  auto takes_over = [&] { return successor->log().find("taking over") != std::string::npos; };
  watch_memory(6 * kSecond, takes_over);
  ASSERT_TRUE(takes_over()) << successor->log();
  predecessor->process().signal(SIGTERM);
  rig::Crowd late(predecessor->port(), crowd);
  watch_memory(kLongestDeadline + kKillDelay, [&] { return predecessor->has_ended(); });
  bool ended = predecessor->has_ended();
  EXPECT_TRUE(!ended || predecessor->process().exited_cleanly()) << predecessor->log();
  predecessor->process().signal(SIGKILL);
  early.reset();
  watch_memory(kSecond, never);
  std::printf("peak %.1f MB before, %.1f MB of both processes together\n",
              static_cast<double>(before) / 1024, static_cast<double>(peak) / 1024);
  EXPECT_LT(peak, kMemoryMb * 1024L);
  EXPECT_FALSE(successor->has_ended()) << successor->log();
}

INSTANTIATE_TEST_SUITE_P(
    Loads, UpgradeMemory,
    testing::Values(UpgradeCase{"WritesThatStopBeforeTheirEnd", 580, stopped_write, 0},
                    UpgradeCase{"LargeWritesThatStopHalfWay", 100, stopped_large_write, 0},
                    UpgradeCase{"SlowReadersOfManyAnswers", 200, many_reads, 64'000},
                    UpgradeCase{"ReadersOfOneByteASecond", 400, many_reads, 1}),
    [](const auto& info) { return std::string(info.param.name); });

class UpgradeIds : public testing::TestWithParam<bool> {};

TEST_P(UpgradeIds, ACopyOfABegunRequestIsNotRunByTheOtherProcess) {
  constexpr std::size_t kClients = 6;
  const bool copies_to_predecessor = GetParam();
  rig::TemporaryDirectory state;
  RouterOptions options;
  options.state_dir = state.path();
  rig::CopyingCaller copies;
  std::vector<std::unique_ptr<ScriptedCacheServer>> servers;
  for (std::size_t k = 0; k < kServers; ++k) {
    servers.push_back(std::make_unique<ScriptedCacheServer>([&](const ReceivedCommand& c) {
      copies.on_command(c);
      return serve(c, 3 * kMillisecond);
    }));
    options.hosts.push_back(test::host_json("s-" + std::to_string(k), servers.back()->address()));
  }
  RouterUnderTest predecessor(options);
  std::vector<std::unique_ptr<rig::PipeliningClient>> clients;
  auto connect = [&](bool callers) {
    if (callers) return copies.connect(predecessor.port());
    for (std::size_t k = 0; k < kClients; ++k)
      clients.push_back(std::make_unique<rig::PipeliningClient>(predecessor.port(), "stock-read"));
  };
  connect(copies_to_predecessor);
  sleep_for(kSecond / 5);  // until they are accepted
  RouterUnderTest successor(options);
  wait_until([&] { return successor.log().find("taking over") != std::string::npos; });
  connect(!copies_to_predecessor);
  sleep_for(kSecond);
  clients.clear();
  std::printf("%d ids copied, %d of them begun twice\n", copies.copied(), copies.begun_twice());
  EXPECT_GT(copies.copied(), 0);
  EXPECT_EQ(copies.begun_twice(), 0);
}

INSTANTIATE_TEST_SUITE_P(CopiesToPredecessor, UpgradeIds, testing::Bool());

}  // namespace
}  // namespace arrowfork::process_test
