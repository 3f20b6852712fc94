// A cache server's process ends and another one comes up at its address.
#include <map>

#include "router_under_test.hpp"

namespace arrowfork::process_test {
namespace {

TEST(ReplacedServer, NothingThatMayRunOnceRunsAtBothProcesses) {
  constexpr int kClients = 16, kReplacements = 4;
  auto script = [](const ReceivedCommand& c) { return serve(c, 20 * kMillisecond); };
  ScriptedCacheServer lasting(script);
  auto replaced = std::make_unique<ScriptedCacheServer>(script);
  ScriptedCacheServer::Options same_address;
  same_address.port = replaced->port();
  RouterOptions options;
  options.hosts = {test::host_json("s-lasting", lasting.address()),
                   test::host_json("s-replaced", replaced->address())};
  RouterUnderTest router(options);
  std::atomic<bool> ends{false};
  std::atomic<int> answered{0}, served{0};
  std::vector<std::thread> clients;
  for (int k = 0; k < kClients; ++k)
    clients.emplace_back([&, write = k % 2 == 0] {
      TestConnection client = TestConnection::to(router.port());
      while (!ends) {
        std::string id = next_id();
        std::string read = "mg k" + id + " v O" + id + " Pc=stock-read,t=acme,d=500\r\n";
        client.write(write ? write_command(id, 500, "v", id, "stock-read") : read);
        std::string line = client.line();
        served += line.starts_with("VA ") || line.starts_with("HD ");
        if (line.starts_with("VA ")) client.line();
        if (!line.empty()) ++answered;
      }
    });
  std::vector<ReceivedCommand> received;
  auto add = [&](const ScriptedCacheServer& server) {
    auto part = server.received();
    received.insert(received.end(), part.begin(), part.end());
  };
  for (int k = 0; k < kReplacements; ++k) {
    sleep_for(300 * kMillisecond);
    replaced->end();  // what it has not answered breaks off
    add(*replaced);
    replaced = std::make_unique<ScriptedCacheServer>(script, same_address);
    wait_until([&] { return replaced->received().size() > 5; });
  }
  ends = true;
  for (std::thread& client : clients) client.join();
  add(*replaced);
  add(lasting);
  std::map<std::string, int> runs;
  for (const ReceivedCommand& command : received) ++runs[command.id];
  int twice = 0;
  for (const auto& [id, count] : runs) twice += count > 1;
  std::printf("%d served of %d, %d ids at two processes\n", served.load(), answered.load(), twice);
  EXPECT_EQ(twice, 0);
  EXPECT_GT(served, 0);
}

}  // namespace
}  // namespace arrowfork::process_test
