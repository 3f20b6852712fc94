// Discovery's bad answers: what is held stays, each is counted, and a good one is taken after it.
#include "net/discovery.hpp"

#include <atomic>
#include <nlohmann/json.hpp>

#include "../loopback.hpp"

namespace arrowfork::test {
namespace {

std::string head(std::size_t length, const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status +
         "\r\nConnection: close\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}
std::string whole(const std::string& body) { return head(body.size()) + body; }

/// One watch without a router behind it; the peer answers one call with `response` and closes.
struct Asked final : Discovery::Handler {
  explicit Asked(const HostList& known)
      : discovery(base.get(), clock, peer.address(), known, {1, false, 1, 500 * kMillisecond},
                  *this) {}
  void on_hosts(HostList&& list) override { taken.push_back(std::move(list)); }
  void on_drains(const HostList&, bool) override {}
  void on_call_failed() override { ++calls_failed; }
  void on_hosts_failed() override { ++failed; }
  /// The path that was asked for.
  std::string ask(const std::string& response, bool reset = false) {
    std::string path;
    std::thread answerer([&] {
      TestConnection call = peer.accept();
      path = call.line();
      for (std::string header = call.line(); header.size() > 2;) header = call.line();
      // The router may end the connection before an answer without end is through.
      ::send(call.fd(), response.data(), response.size(), MSG_NOSIGNAL);
      if (reset) call.send_reset();
    });
    auto ended = [this] { return taken.size() + discovery.counts().failed; };
    std::size_t before = ended();
    discovery.watch();
    while (ended() == before) event_base_loop(base.get(), EVLOOP_ONCE);
    answerer.join();
    planned = discovery.planned();
    discovery.stop();
    return path.substr(4, path.find(' ', 4) - 4);
  }
  Peer peer;
  Clock clock;
  EventBasePtr base{event_base_new()};
  Discovery discovery;
  std::vector<HostList> taken;
  int failed = 0, calls_failed = 0;
  bool planned = false;  // the next call, when the last one had ended
};

TEST(DiscoveryAnswers, ABadOneChangesNothingIsCountedAndAGoodOneFollows) {
  const std::string one = host_json("s-1", "127.0.0.1:1"), two = host_json("s-2", "127.0.0.1:2");
  const std::string good = list_json(5, true, {one, two});
  struct Case {
    const char* what;
    std::string response;
    bool bad, asks_whole;
  };
  const Case cases[] = {
      {"cut in the middle of an entry", head(good.size()) + good.substr(0, good.size() - 40), true,
       false},
      {"a whole answer that holds half a list", whole(good.substr(0, good.size() - 40)), true,
       false},
      {"10 MB", whole(good + std::string(10u << 20, ' ')), true, false},
      {"an id twice", whole(list_json(5, false, {one, two, one})), true, true},
      {"an unknown state", whole(list_json(5, false, {host_json("s-1", "127.0.0.1:1", "asleep")})),
       true, true},
      {"a version that goes back", whole(list_json(3, false, {two})), true, true},
      {"an empty list", whole(list_json(5, true, {})), true, true},
      {"a head that can't be read", "what?\r\n\r\n", true, false},
      {"nothing at all", "", false, false},
      {"turned away", head(0, "503 Service Unavailable"), false, false},
  };
  for (const Case& c : cases) {
    Asked asked(parse_host_list(list_json(4, true, {one})));
    EXPECT_EQ(asked.ask(c.response), "/discovery/hosts?index=4&wait=1") << c.what;
    // The next call is by the one budget, whatever has failed.
    EXPECT_TRUE(asked.planned) << c.what;
    EXPECT_EQ(asked.failed, 1) << c.what;
    EXPECT_EQ(asked.calls_failed, 1) << c.what;
    EXPECT_TRUE(asked.taken.empty()) << c.what;
    EXPECT_EQ(asked.discovery.counts().failed, 1u) << c.what;
    EXPECT_EQ(asked.discovery.counts().invalid, c.bad ? 1u : 0u) << c.what;
    EXPECT_EQ(asked.ask(whole(good)),
              c.asks_whole ? "/discovery/hosts" : "/discovery/hosts?index=4&wait=1")
        << c.what;
    ASSERT_EQ(asked.taken.size(), 1u) << c.what;
    EXPECT_EQ(asked.taken[0].hosts.size(), 2u) << c.what;
    EXPECT_EQ(asked.discovery.counts().invalid, c.bad ? 1u : 0u) << c.what;
  }
}

// Without a length the end of the connection tells the answer's; a reset is no end, also where all
// of a list has come before it.
TEST(DiscoveryAnswers, OneWithoutALengthIsWholeAtTheEndAndNotAtAReset) {
  for (bool reset : {false, true}) {
    Asked asked(parse_host_list(list_json(4, true, {host_json("s-1", "127.0.0.1:1")})));
    asked.ask("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" +
                  list_json(5, true, {host_json("s-2", "127.0.0.1:2")}),
              reset);
    EXPECT_EQ(asked.taken.size(), reset ? 0u : 1u);
    EXPECT_EQ(asked.discovery.counts().failed, reset ? 1u : 0u);
    EXPECT_TRUE(asked.planned);
  }
}

// As large as any tier (issue 43), indented, with long names, changed whole each time.
TEST(DiscoveryAnswers, IndentedListsOf1024And1025ServersWithLongNamesAreTaken) {
  for (std::size_t servers : {1024u, 1025u}) {
    Asked asked({});
    for (int version = 1; version <= 3; ++version) {
      nlohmann::json list = {{"seq", version}, {"whole", true}};
      for (std::size_t k = 0; k < servers; ++k)
        list["hosts"].push_back(nlohmann::json::parse(
            host_json(std::string(240, 's') + std::to_string(k) + "-" + std::to_string(version),
                      "127.0.0.1:" + std::to_string(1 + k))));
      asked.ask(whole(list.dump(8)));
      ASSERT_EQ(asked.taken.size(), static_cast<std::size_t>(version));
      EXPECT_EQ(asked.taken.back().hosts.size(), servers);
    }
    EXPECT_EQ(asked.discovery.counts().invalid, 0u);
  }
}

// What a silent call should have told counts as told 6 s after it fell silent.
TEST(DiscoveryAnswers, ASilentCallIsMadeAnewBesideItBeforeItIsGivenUp) {
  const std::string good = list_json(5, true, {host_json("s-1", "127.0.0.1:1")});
  Asked asked(parse_host_list(list_json(4, true, {host_json("s-1", "127.0.0.1:1")})));
  std::thread answerer([&] {
    TestConnection silent = asked.peer.accept(), second = asked.peer.accept();
    for (std::string line = second.line(); line.size() > 2;) line = second.line();
    std::string response = whole(good);
    ::send(second.fd(), response.data(), response.size(), MSG_NOSIGNAL);
    char byte;
    (void)::recv(second.fd(), &byte, 1, 0);  // until the router has read it
  });
  asked.discovery.watch();
  while (asked.discovery.counts().calls < 3 && asked.failed == 0)
    event_base_loop(asked.base.get(), EVLOOP_ONCE);  // with the one that goes on watching
  EXPECT_EQ(asked.failed, 0);
  EXPECT_EQ(asked.taken.size(), 1u);
  asked.discovery.stop();
  answerer.join();
}

// A watch may wait for 20 s and more, but an answer that has begun on it is whole at once or never:
// the change in it counts as told 6 s later (calm+disco+brink+mass 10).
TEST(DiscoveryAnswers, AWatchWhoseAnswerStopsShortIsMadeAnewSoon) {
  const std::string one = host_json("s-1", "127.0.0.1:1");
  const std::string good = whole(list_json(5, false, {host_json("s-1", "127.0.0.1:1", "leaving")}));
  Asked asked(parse_host_list(list_json(4, true, {one})));
  std::thread answerer([&] {
    auto call = [&] {
      TestConnection link = asked.peer.accept();
      for (std::string line = link.line(); line.size() > 2;) line = link.line();
      return link;
    };
    const std::string nothing = whole(list_json(4, false, {}));
    {
      TestConnection first = call();
      ::send(first.fd(), nothing.data(), nothing.size(), MSG_NOSIGNAL);
      char byte;
      (void)::recv(first.fd(), &byte, 1, 0);  // until the router has read it
    }
    TestConnection watch = call();
    ::send(watch.fd(), good.data(), good.size() - 30, MSG_NOSIGNAL);
    TestConnection third = call();
    ::send(third.fd(), good.data(), good.size(), MSG_NOSIGNAL);
    char byte;
    (void)::recv(third.fd(), &byte, 1, 0);
  });
  Micros begun = asked.clock.now();
  asked.discovery.watch();
  while (asked.taken.size() < 2 && asked.clock.now() - begun < 15 * kSecond)
    event_base_loop(asked.base.get(), EVLOOP_ONCE);
  ASSERT_EQ(asked.taken.size(), 2u);
  EXPECT_EQ(asked.taken[1].hosts.size(), 1u);
  EXPECT_EQ(asked.discovery.counts().invalid, 1u);
  EXPECT_LT(asked.clock.now() - begun, 6 * kSecond);
  asked.discovery.stop();
  answerer.join();
}

// Each answer takes 2.2 s to write. None is given up for good, or the list would never be known.
TEST(DiscoveryAnswers, OnesThatAreWrittenSlowlyAreTakenAllTheSame) {
  const std::string good = whole(list_json(5, false, {host_json("s-1", "127.0.0.1:1", "leaving")}));
  Asked asked(parse_host_list(list_json(4, true, {host_json("s-1", "127.0.0.1:1")})));
  std::atomic<bool> done{false};
  std::thread answerer([&] {
    TestConnection call = asked.peer.accept();
    for (std::string line = call.line(); line.size() > 2;) line = call.line();
    ::send(call.fd(), good.data(), 40, MSG_NOSIGNAL);
    std::this_thread::sleep_for(std::chrono::milliseconds(2200));
    ::send(call.fd(), good.data() + 40, good.size() - 40, MSG_NOSIGNAL);
    while (!done) std::this_thread::yield();
  });
  Micros begun = asked.clock.now();
  asked.discovery.watch();
  while (asked.taken.empty() && asked.clock.now() - begun < 10 * kSecond)
    event_base_loop(asked.base.get(), EVLOOP_ONCE);
  ASSERT_EQ(asked.taken.size(), 1u);
  EXPECT_EQ(asked.taken[0].hosts.size(), 1u);
  EXPECT_EQ(asked.discovery.counts().invalid, 1u);
  EXPECT_GT(asked.discovery.counts().calls, 1u);  // it was asked beside it
  asked.discovery.stop();
  done = true;
  answerer.join();
}

}  // namespace
}  // namespace arrowfork::test
