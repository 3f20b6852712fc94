// Keyed writes are sent again only inside the window of their key, counted from the first attempt
// that may have run, whatever the bytes of a further attempt have to wait for.
#include <map>

#include "router_under_test.hpp"

namespace arrowfork::process_test {
namespace {

constexpr Micros kWindow = 800 * kMillisecond;
// PROTOCOL: on sockets each time limit of the rules is 50 ms longer.
constexpr Micros kRuleSlack = 50 * kMillisecond;

std::string idempotency_key_of(const ReceivedCommand& command) {
  std::size_t at = command.line.find(",k=");
  return command.line.substr(at + 3, 16);
}

/// Connections that fill the backlog of a server that does not accept: further SYNs are dropped and
/// sent again a second later.
std::vector<Fd> fill_backlog(std::uint16_t port) {
  constexpr int kConnections = 3;
  std::vector<Fd> fillers;
  auto address = parse_address("127.0.0.1:" + std::to_string(port));
  for (int k = 0; k < kConnections; ++k) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    ::connect(fd.get(), reinterpret_cast<sockaddr*>(&*address), sizeof *address);
    fillers.push_back(std::move(fd));
  }
  return fillers;
}

/// Attempts, over all servers, that were complete after the window of their key's first one.
int attempts_past_window(const std::vector<const ScriptedCacheServer*>& servers) {
  std::map<std::string, std::vector<Micros>> by_key;
  for (const ScriptedCacheServer* server : servers)
    for (const ReceivedCommand& command : server->received())
      by_key[idempotency_key_of(command)].push_back(command.complete_at);
  int late = 0;
  for (auto& [key, times] : by_key) {
    std::sort(times.begin(), times.end());
    late += static_cast<int>(std::count_if(times.begin(), times.end(), [&](Micros at) {
      return at > times.front() + kWindow + kRuleSlack;
    }));
  }
  return late;
}

TEST(KeyWindow, AWriteThatWaitsForADialIsNotSentPastTheWindow) {
  constexpr int kWrites = 12;
  ScriptedCacheServer ending([](const ReceivedCommand&) {
    Reaction reaction;
    reaction.delay = 300 * kMillisecond, reaction.close = true;
    return reaction;
  });
  ScriptedCacheServer::Options late;
  late.backlog = 0, late.accepts = false;
  ScriptedCacheServer slow_to_accept([](const ReceivedCommand& c) { return serve(c); }, late);
  std::vector<Fd> fillers = fill_backlog(slow_to_accept.port());
  RouterOptions options;
  options.hosts = {test::host_json("s-ending", ending.address()),
                   test::host_json("s-late", slow_to_accept.address())};
  options.key_ttl = kWindow;
  options.keyed_deadline = 3 * kSecond;
  options.keyed_objective = 2 * kSecond;  // so that no attempt is given up
  options.dial_timeout = 1'500 * kMillisecond;
  RouterUnderTest router(options);
  std::vector<TestConnection> clients;
  for (int k = 0; k < kWrites; ++k) {
    clients.push_back(TestConnection::to(router.port()));
    clients.back().write(write_command(next_id(), 2'500, "v", next_id()));
  }
  wait_until([&] { return !ending.received().empty(); });
  sleep_for(500 * kMillisecond);
  slow_to_accept.accept_from_now_on();
  for (TestConnection& client : clients) EXPECT_NE(client.line(), "");
  EXPECT_EQ(attempts_past_window({&ending, &slow_to_accept}), 0);
}

}  // namespace
}  // namespace arrowfork::process_test
