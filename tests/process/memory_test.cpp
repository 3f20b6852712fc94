// Peak memory of a router process while peers make it hold bytes for them, and what a client with
// small requests sees beside them. By hand, all loads at other limits and sizes:
//
//   PEAK_MEMORY=MEGABYTES:DESCRIPTORS:CLIENTS process_tests --gtest_filter=*PeakMemory*
#include <numeric>

#include "protocol/binary.hpp"
#include "router_under_test.hpp"

namespace arrowfork::process_test {
namespace {

constexpr std::size_t kServers = 6;
constexpr std::size_t kUsualValueBytes = 64'000;
constexpr std::size_t kLargeValueBytes = 1u << 20;
// Over what is buffered whole, and small enough for a server to be done with it at once.
constexpr std::size_t kStreamedValueBytes = 500'000;
constexpr Micros kLoadTime = 4 * kSecond;
// STANDING: later than half a second after its time, an answer counts as none.
constexpr Micros kMaxLate = kSecond / 2;
// Least share of the steady client's requests that are served beside the load.
constexpr double kMinServedShare = 0.9;

struct MemoryCase {
  const char* name;
  int memory_mb = 32, sockets = 1024;
  std::size_t clients = 0;
  std::function<std::string()> input;
  std::size_t read_bytes_per_second = 0;
  int receive_buffer = 0;  ///< of each client, in bytes; 0: the system's
  Micros server_delay = kMillisecond;
  std::size_t server_bytes_per_second = 0;  ///< of the answers to the crowd
  bool binary = false;
};

void PrintTo(const MemoryCase& one, std::ostream* out) { *out << one.name; }

std::string stopped_write(std::size_t size) {
  std::string command = write_command(next_id(), 900, std::string(size, 'x'), next_id());
  return command.substr(0, command.size() - 2);
}

std::string stopped_binary_write(std::size_t size) {
  binary::Command command;
  command.opcode = binary::Opcode::Set;
  command.key = "key";
  command.value.assign(size, 'x');
  std::string bytes = binary::request(command);
  return bytes.substr(0, bytes.size() - 2);
}

std::string reads(std::size_t count, const std::string& key, int deadline_ms = 580) {
  std::string input;
  for (std::size_t k = 0; k < count; ++k) input += read_command(next_id(), deadline_ms, key);
  return input;
}

std::string heads_of_many_fields(std::size_t count) {
  constexpr int kFields = 980;
  std::string input;
  for (std::size_t k = 0; k < count; ++k) {
    input += "mg fields v O" + next_id() + " Pc=price-lookup,t=acme,d=580";
    for (int field = 0; field < kFields; ++field) input += ",a=1";
    input += "\r\n";
  }
  return input;
}

std::vector<MemoryCase> cases() {
  std::vector<MemoryCase> all;
  auto add = [&](const char* name, std::size_t clients, std::function<std::string()> input) {
    MemoryCase one;
    one.name = name, one.clients = clients, one.input = std::move(input);
    all.push_back(std::move(one));
    return &all.back();
  };
  add("WritesThatStopBeforeTheirEnd", 580, [] { return stopped_write(65'536); });
  add("BinaryWritesThatStopBeforeTheirEnd", 580, [] {
    return stopped_binary_write(65'000);
  })->binary = true;
  add("LargeWritesThatStopHalfWay", 100, [] {
    return write_command(next_id(), 900, std::string(kLargeValueBytes, 'x'), next_id())
        .substr(0, kLargeValueBytes * 3 / 4);
  });
  add("SlowReadersOfManyAnswers", 200, [] { return reads(100, "usual"); })->read_bytes_per_second =
      64'000;
  add("ReadersOfOneByteASecond", 400, [] { return reads(100, "usual"); })->read_bytes_per_second =
      1;
  add("SlowReadersOfLargeValues", 200, [] { return reads(4, "large"); })->read_bytes_per_second =
      64'000;
  add("ReadersThatStopBeforeTheEndOfStreamedValues", 580, [] {
    return reads(1, "streamed");
  })->receive_buffer = 4096;
  MemoryCase* heads = add("HeadsOfManyShortFields", 580, [] { return heads_of_many_fields(40); });
  heads->server_delay = 400 * kMillisecond;
  MemoryCase* parts = add("ServersThatSendSlowly", 400, [] { return reads(8, "usual"); });
  parts->server_bytes_per_second = 100'000, parts->read_bytes_per_second = 1'000'000;
  MemoryCase more = all.front();
  more.name = "WritesThatStopBeforeTheirEndAt64Megabytes";
  more.memory_mb = 64, more.sockets = 4096, more.clients = 2'000;
  all.push_back(more);
  more.name = "WritesThatStopBeforeTheirEndAt256Descriptors";
  more.memory_mb = 32, more.sockets = 256, more.clients = 400;
  all.push_back(more);
  if (const char* chosen = std::getenv("PEAK_MEMORY")) {
    int megabytes = 0, descriptors = 0;
    std::size_t clients = 0;
    if (std::sscanf(chosen, "%d:%d:%zu", &megabytes, &descriptors, &clients) != 3)
      throw std::invalid_argument("PEAK_MEMORY=MEGABYTES:DESCRIPTORS:CLIENTS is wanted");
    for (MemoryCase& one : all)
      one.memory_mb = megabytes, one.sockets = descriptors, one.clients = clients;
  }
  return all;
}

class PeakMemory : public testing::TestWithParam<MemoryCase> {};

TEST_P(PeakMemory, StaysUnderTheLimitAndOthersAreServed) {
  const MemoryCase& load = GetParam();
  const std::string usual(kUsualValueBytes, 'u'), large(kLargeValueBytes, 'l');
  const std::string streamed(kStreamedValueBytes, 's');
  std::vector<std::unique_ptr<ScriptedCacheServer>> servers;
  RouterOptions options;
  for (std::size_t k = 0; k < kServers; ++k) {
    servers.push_back(std::make_unique<ScriptedCacheServer>([&](const ReceivedCommand& command) {
      if (command.line.starts_with("mg fields ")) return serve(command, load.server_delay);
      if (command.line.starts_with("mg streamed "))
        return serve(command, load.server_delay, streamed);
      bool is_usual = command.line.starts_with("mg usual ");
      bool is_large = command.line.starts_with("mg large ");
      if (!is_usual && !is_large) return serve(command);
      Reaction reaction = serve(command, load.server_delay, is_usual ? usual : large);
      reaction.bytes_per_second = load.server_bytes_per_second;
      return reaction;
    }));
    options.hosts.push_back(test::host_json("s-" + std::to_string(k), servers.back()->address()));
  }
  options.memory_mb = load.memory_mb;
  options.sockets = load.sockets;
  options.binary_clients = load.binary;
  RouterUnderTest router(options);
  ASSERT_NE(router.port(), 0) << router.log();
  SteadyClient steady(router.port());
  wait_until([&] { return steady.counts().served > 20; });
  {
    rig::Crowd::Options crowd;
    crowd.connections = load.clients;
    crowd.input = load.input;
    crowd.read_bytes_per_second = load.read_bytes_per_second;
    crowd.receive_buffer = load.receive_buffer;
    rig::Crowd clients(router.port(), crowd);
    sleep_for(kLoadTime);
  }
  steady.stop();
  ASSERT_FALSE(router.has_ended()) << router.log();
  SteadyClient::Counts seen = steady.counts();
  long peak = router.peak_memory_kib();
  std::printf("peak %.1f MB of %d; served %d, refused %d, failed %d, closed %d, longest %.0f ms\n",
              static_cast<double>(peak) / 1024, load.memory_mb, seen.served, seen.refused,
              seen.failed, seen.closed, static_cast<double>(seen.longest) / kMillisecond);
  EXPECT_LT(peak, load.memory_mb * 1024L);
  EXPECT_GE(seen.served, kMinServedShare * seen.requests());
  EXPECT_EQ(seen.closed, 0);
  EXPECT_LE(seen.longest, SteadyClient::kDeadline + kMaxLate);
  if (HasFailure()) std::printf("%s\n", router.log().c_str());
}

INSTANTIATE_TEST_SUITE_P(Loads, PeakMemory, testing::ValuesIn(cases()),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace arrowfork::process_test
