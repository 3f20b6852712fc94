// Clients that leave, and clients that take more than their part, as the router's process sees
// them.
#include <algorithm>
#include <map>
#include <random>

#include "protocol/binary.hpp"
#include "router_under_test.hpp"

namespace arrowfork::process_test {
namespace {

// STANDING: an attempt that begins more than 0.1 s after its client's close breaks a rule; PROTOCOL
// adds 50 ms on sockets.
constexpr Micros kMaxBeginAfterClose = 150 * kMillisecond;
constexpr double kMinServedShare = 0.9;

/// Cache servers with the same script.
struct Fleet {
  Fleet(std::size_t count, const ScriptedCacheServer::Script& script) {
    for (std::size_t k = 0; k < count; ++k) {
      servers.push_back(std::make_unique<ScriptedCacheServer>(script));
      hosts.push_back(test::host_json("s-" + std::to_string(k), servers.back()->address()));
    }
  }
  std::vector<ReceivedCommand> received() const {
    std::vector<ReceivedCommand> all;
    for (const auto& server : servers) {
      auto part = server->received();
      all.insert(all.end(), part.begin(), part.end());
    }
    return all;
  }
  std::vector<std::unique_ptr<ScriptedCacheServer>> servers;
  std::vector<std::string> hosts;
};

struct LeavingCase {
  const char* name;
  std::size_t commands;
  bool writes;
  Micros server_delay;
};
void PrintTo(const LeavingCase& one, std::ostream* out) { *out << one.name; }

class LeavingClient : public testing::TestWithParam<LeavingCase> {};

TEST_P(LeavingClient, NothingIsBegunForItLater) {
  constexpr int kClients = 12;
  const LeavingCase& load = GetParam();
  Fleet fleet(6, [&](const ReceivedCommand& c) { return serve(c, load.server_delay); });
  RouterOptions options;
  options.hosts = fleet.hosts;
  RouterUnderTest router(options);
  int late = 0, begun = 0;
  Micros latest = 0;
  for (int k = 0; k < kClients; ++k) {
    TestConnection client = TestConnection::to(router.port());
    std::string input;
    for (std::size_t n = 0; n < load.commands; ++n)
      input += load.writes ? write_command(next_id(), 580, "v", next_id())
                           : read_command(next_id(), 580, "k" + std::to_string(n));
    ::send(client.fd(), input.data(), input.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    sleep_for(50 * kMillisecond);
    std::size_t before = fleet.received().size();
    Micros closed_at = now();
    client.close();
    sleep_for(600 * kMillisecond);
    std::vector<ReceivedCommand> all = fleet.received();
    begun += static_cast<int>(all.size() - before);
    for (const ReceivedCommand& command : all) {
      if (command.complete_at <= closed_at + kMaxBeginAfterClose) continue;
      ++late;
      latest = std::max(latest, command.complete_at - closed_at);
    }
  }
  std::printf("%d attempts behind the close, %d of them late, the latest %.0f ms\n", begun, late,
              static_cast<double>(latest) / kMillisecond);
  EXPECT_EQ(late, 0);
}

INSTANTIATE_TEST_SUITE_P(
    Loads, LeavingClient,
    testing::Values(LeavingCase{"ManyReads", 4'000, false, 300 * kMillisecond},
                    LeavingCase{"ManyReadsOfFastServers", 4'000, false, kMillisecond},
                    LeavingCase{"SomeReads", 200, false, 200 * kMillisecond},
                    LeavingCase{"ManyKeyedWrites", 4'000, true, 300 * kMillisecond}),
    [](const auto& info) { return std::string(info.param.name); });

struct BurstCase {
  const char* name;
  std::size_t commands;
  std::size_t value_bytes;  ///< of keyed writes; 0: reads
};
void PrintTo(const BurstCase& one, std::ostream* out) { *out << one.name; }

class LeavingBurst : public testing::TestWithParam<BurstCase> {};

TEST_P(LeavingBurst, NothingIsBegunForItLater) {
  constexpr int kBursts = 4;
  constexpr std::size_t kClients = 200;
  const BurstCase& load = GetParam();
  Fleet fleet(6, [](const ReceivedCommand& c) { return serve(c, 200 * kMillisecond); });
  RouterOptions options;
  options.hosts = fleet.hosts;
  RouterUnderTest router(options);
  std::map<std::string, Micros> closed_at;
  for (int burst = 0; burst < kBursts; ++burst) {
    std::vector<TestConnection> clients;
    std::vector<std::string> ids;
    for (std::size_t k = 0; k < kClients; ++k) {
      std::string input;
      for (std::size_t n = 0; n < load.commands; ++n) {
        ids.push_back(next_id());
        input += load.value_bytes > 0
                     ? write_command(ids.back(), 580, std::string(load.value_bytes, 'v'), next_id())
                     : read_command(ids.back(), 580, "k" + std::to_string(n));
      }
      clients.push_back(TestConnection::to(router.port()));
      ::send(clients.back().fd(), input.data(), input.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    sleep_for(50 * kMillisecond);
    clients.clear();
    for (const std::string& id : ids) closed_at[id] = now();
    sleep_for(700 * kMillisecond);
  }
  int late = 0, begun = 0;
  Micros latest = 0;
  for (const ReceivedCommand& command : fleet.received()) {
    ++begun;
    Micros after = command.complete_at - closed_at[command.id];
    late += after > kMaxBeginAfterClose;
    latest = std::max(latest, after);
  }
  std::printf("%d attempts, %d of them late, the latest %.0f ms after the close, peak %.1f MB\n",
              begun, late, static_cast<double>(latest) / kMillisecond,
              static_cast<double>(router.peak_memory_kib()) / 1024);
  EXPECT_EQ(late, 0);
  EXPECT_FALSE(router.has_ended()) << router.log();
}

INSTANTIATE_TEST_SUITE_P(Loads, LeavingBurst,
                         testing::Values(BurstCase{"Reads", 100, 0},
                                         BurstCase{"ManyReads", 1'500, 0},
                                         BurstCase{"KeyedWrites", 100, 1'000},
                                         BurstCase{"LongKeyedWrites", 20, 40'000}),
                         [](const auto& info) { return std::string(info.param.name); });

struct ResetCase {
  const char* name;
  std::function<std::string()> command;
  std::size_t commands;
};
void PrintTo(const ResetCase& one, std::ostream* out) { *out << one.name; }

class ResettingClients : public testing::TestWithParam<ResetCase> {};

// RESET_SECONDS: how long they come, by hand.
TEST_P(ResettingClients, TheProcessGoesOn) {
  constexpr int kThreads = 6, kLongestStayMs = 60;
  const char* seconds = std::getenv("RESET_SECONDS");
  const Micros load_time = (seconds ? std::atoi(seconds) : 3) * kSecond;
  Fleet fleet(6, [](const ReceivedCommand& c) {
    bool large = c.line.starts_with("mg large ");
    return serve(c, 20 * kMillisecond, large ? std::string(500'000, 'l') : "v");
  });
  RouterOptions options;
  options.hosts = fleet.hosts;
  options.binary_clients = true;
  RouterUnderTest router(options);
  std::atomic<int> resets{0};
  std::vector<std::thread> threads;
  for (unsigned thread = 0; thread < kThreads; ++thread)
    threads.emplace_back([&, thread] {
      std::mt19937 random(thread);
      for (Micros end = now() + load_time; now() < end;) {
        std::string input;
        for (std::size_t k = 0; k < GetParam().commands; ++k) input += GetParam().command();
        rig::ClientLink client(router.port());
        client.send_without_waiting(input);
        sleep_for(random() % (kLongestStayMs * kMillisecond));
        client.reset();
        ++resets;
      }
    });
  for (std::thread& thread : threads) thread.join();
  EXPECT_FALSE(router.has_ended()) << router.log();
  SteadyClient steady(router.port());
  wait_until([&] { return steady.counts().served > 0; });
  std::printf("%d resets, peak %.1f MB\n", resets.load(),
              static_cast<double>(router.peak_memory_kib()) / 1024);
#ifndef SANITIZED_PROGRAM
  EXPECT_LT(router.peak_memory_kib(), options.memory_mb * 1024L);
#endif
}

INSTANTIATE_TEST_SUITE_P(
    Inputs, ResettingClients,
    testing::Values(
        ResetCase{"Reads", [] { return read_command(next_id(), 580); }, 4'000},
        ResetCase{"KeyedWrites",
                  [] { return write_command(next_id(), 580, std::string(1'000, 'v'), next_id()); },
                  300},
        ResetCase{"LinesThatAreNoCommand", [] { return std::string("get key\r\n"); }, 30'000},
        ResetCase{"BinaryStatistics",
                  [] {
                    binary::Command statistics;
                    statistics.opcode = binary::Opcode::Stat;
                    return binary::request(statistics);
                  },
                  10'000},
        ResetCase{"LargeValues", [] { return read_command(next_id(), 580, "large"); }, 40},
        ResetCase{
            "LargeWrites",
            [] { return write_command(next_id(), 580, std::string(300'000, 'v'), next_id()); }, 2}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(LeavingClient, ItsIdIsNotRunAgainWhenItComesTwiceMore) {
  Fleet fleet(3, [](const ReceivedCommand& c) { return serve(c, 300 * kMillisecond); });
  RouterOptions options;
  options.hosts = fleet.hosts;
  RouterUnderTest router(options);
  std::string id = next_id(), key = next_id();
  std::string command = write_command(id, 900, "v", key);
  {
    TestConnection client = TestConnection::to(router.port());
    client.write(command);
    wait_until([&] { return !fleet.received().empty(); });
  }
  for (Micros pause : {50 * kMillisecond, 900 * kMillisecond}) {
    sleep_for(pause);
    TestConnection again = TestConnection::to(router.port());
    again.write(command);
    EXPECT_EQ(again.line(), "CLIENT_ERROR id in use\r\n");
  }
  EXPECT_EQ(fleet.received().size(), 1u);
}

struct FloodCase {
  const char* name;
  std::function<std::string()> command;
  std::size_t connections = 1;
  bool reconnects = false;  ///< after each 50 commands, without having read the answers
};
void PrintTo(const FloodCase& one, std::ostream* out) { *out << one.name; }

class Flood : public testing::TestWithParam<FloodCase> {};

TEST_P(Flood, OtherClientsAreServedBesideIt) {
  constexpr Micros kFloodTime = 6 * kSecond;
  constexpr long kMemoryMb = 32;
  Fleet fleet(6, [](const ReceivedCommand& c) { return serve(c); });
  RouterOptions options;
  options.hosts = fleet.hosts;
  options.memory_mb = kMemoryMb;
  options.binary_clients = true;
  RouterUnderTest router(options);
  SteadyClient steady(router.port());
  wait_until([&] { return steady.counts().served > 20; });
  SteadyClient::Counts before = steady.counts();
  {
    Micros end = now() + kFloodTime;
    std::vector<std::thread> flooders;
    for (std::size_t k = 0; k < GetParam().connections; ++k)
      flooders.emplace_back([&] {
        TestConnection client = TestConnection::to(router.port());
        char answers[65536];
        while (now() < end) {
          std::string input;
          for (int n = 0; n < 50; ++n) input += GetParam().command();
          ssize_t put =
              ::send(client.fd(), input.data(), input.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
          ssize_t got = ::recv(client.fd(), answers, sizeof answers, MSG_DONTWAIT);
          if (got == 0 || GetParam().reconnects) client = TestConnection::to(router.port());
          if (put < 0 && got < 0) sleep_for(kMillisecond / 5);  // the router is behind
        }
      });
    for (std::thread& flooder : flooders) flooder.join();
  }
  steady.stop();
  SteadyClient::Counts after = steady.counts();
  int served = after.served - before.served, requests = after.requests() - before.requests();
  std::printf("served %d of %d, refused %d, failed %d, closed %d, peak %.1f MB\n", served, requests,
              after.refused, after.failed, after.closed,
              static_cast<double>(router.peak_memory_kib()) / 1024);
  EXPECT_GE(served, kMinServedShare * requests);
  EXPECT_EQ(after.closed, 0);
  EXPECT_FALSE(router.has_ended());
  if (HasFailure()) std::printf("%s\n", router.log().c_str());
}

INSTANTIATE_TEST_SUITE_P(
    Inputs, Flood,
    testing::Values(
        FloodCase{"ReadsWithLittleTime", [] { return read_command(next_id(), 1); }},
        FloodCase{"ReadsWithLittleTimeOnManyConnections", [] { return read_command(next_id(), 1); },
                  8},
        FloodCase{"ReadsWithNewKeys",
                  [] {
                    std::string id = next_id();
                    return read_command(id, 480, "k" + id);
                  }},
        FloodCase{"KeyedWritesWithNewKeys",
                  [] { return write_command(next_id(), 480, "v", next_id()); }},
        FloodCase{"ReadsOfNewTenants",
                  [] {
                    std::string id = next_id();
                    return "mg key v O" + id + " Pc=price-lookup,t=t" + id + ",d=480\r\n";
                  }},
        FloodCase{"ReadsOfUnknownClasses",
                  [] {
                    std::string id = next_id();
                    return "mg key v O" + id + " Pc=c" + id + ",t=acme,d=480\r\n";
                  }},
        FloodCase{"LinesThatAreNoCommand", [] { return "get key" + next_id() + "\r\n"; }, 8},
        FloodCase{"CopiesOfOneId", [] { return read_command("0123456789abcdef", 480); }, 8},
        FloodCase{"FiguresOfTheRouter", [] { return std::string("stats load\r\n"); }, 8},
        FloodCase{"BinaryQuietReads",
                  [] {
                    binary::Command read;
                    read.opcode = binary::Opcode::GetQ;
                    read.key = "k" + next_id();
                    return binary::request(read);
                  },
                  8},
        FloodCase{"ReadsOnNewConnections", [] { return read_command(next_id(), 480); }, 8, true},
        FloodCase{"EmptyLines", [] { return std::string("\r\n"); }},
        FloodCase{"Probes", [] { return std::string("mn\r\n"); }}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace arrowfork::process_test
