// Invalid answers of discovery leave the list as it is, are counted, and do not keep the next valid
// answer from being applied.
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

/// A subscription without a router; the peer answers one call with `response` and closes.
struct CallFixture final : Discovery::Handler {
  explicit CallFixture(const HostList& known)
      : discovery(base.get(), clock, peer.address(), known, {1, false, 1, 500 * kMillisecond},
                  *this) {}
  void on_hosts(HostList&& list) override { applied.push_back(std::move(list)); }
  void on_drains(const HostList&, bool) override {}
  void on_call_failed() override { ++calls_failed; }
  void on_hosts_failed() override { ++failed; }
  /// Runs one call; returns the path that was requested.
  std::string run_call(const std::string& response, bool reset = false) {
    std::string path;
    std::thread answerer([&] {
      TestConnection call = peer.accept();
      path = call.line();
      for (std::string header = call.line(); header.size() > 2;) header = call.line();
      // The router may close the connection before an oversized answer is written.
      ::send(call.fd(), response.data(), response.size(), MSG_NOSIGNAL);
      if (reset) call.send_reset();
    });
    auto ended = [this] { return applied.size() + discovery.counts().failed; };
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
  std::vector<HostList> applied;
  int failed = 0, calls_failed = 0;
  bool planned = false;  // whether a next call was planned when the last one had ended
};

TEST(DiscoveryAnswers, AnInvalidOneIsCountedAndIgnoredAndAValidOneIsApplied) {
  const std::string one = host_json("s-1", "127.0.0.1:1"), two = host_json("s-2", "127.0.0.1:2");
  const std::string good = list_json(5, true, {one, two});
  struct Case {
    const char* what;
    std::string response;
    bool bad, requests_full_list;
  };
  const Case cases[] = {
      {"cut in the middle of an entry", head(good.size()) + good.substr(0, good.size() - 40), true,
       false},
      {"a complete answer that holds half a list", whole(good.substr(0, good.size() - 40)), true,
       false},
      {"10 MB", whole(good + std::string(10u << 20, ' ')), true, false},
      {"an id twice", whole(list_json(5, false, {one, two, one})), true, true},
      {"an unknown state", whole(list_json(5, false, {host_json("s-1", "127.0.0.1:1", "asleep")})),
       true, true},
      {"a version that goes back", whole(list_json(3, false, {two})), true, true},
      {"an empty list", whole(list_json(5, true, {})), true, true},
      {"an invalid response head", "what?\r\n\r\n", true, false},
      {"no answer", "", false, false},
      {"rejected by discovery", head(0, "503 Service Unavailable"), false, false},
  };
  for (const Case& c : cases) {
    CallFixture fixture(parse_host_list(list_json(4, true, {one})));
    EXPECT_EQ(fixture.run_call(c.response), "/discovery/hosts?index=4&wait=1") << c.what;
    // The next call is planned after any failure.
    EXPECT_TRUE(fixture.planned) << c.what;
    EXPECT_EQ(fixture.failed, 1) << c.what;
    EXPECT_EQ(fixture.calls_failed, 1) << c.what;
    EXPECT_TRUE(fixture.applied.empty()) << c.what;
    EXPECT_EQ(fixture.discovery.counts().failed, 1u) << c.what;
    EXPECT_EQ(fixture.discovery.counts().invalid, c.bad ? 1u : 0u) << c.what;
    EXPECT_EQ(fixture.run_call(whole(good)),
              c.requests_full_list ? "/discovery/hosts" : "/discovery/hosts?index=4&wait=1")
        << c.what;
    ASSERT_EQ(fixture.applied.size(), 1u) << c.what;
    EXPECT_EQ(fixture.applied[0].hosts.size(), 2u) << c.what;
    EXPECT_EQ(fixture.discovery.counts().invalid, c.bad ? 1u : 0u) << c.what;
  }
}

// Without a length, the close of the connection ends an answer. A reset does not, even if a
// complete list was received before it.
TEST(DiscoveryAnswers, OneWithoutALengthIsCompleteAtACloseButNotAtAReset) {
  for (bool reset : {false, true}) {
    CallFixture fixture(parse_host_list(list_json(4, true, {host_json("s-1", "127.0.0.1:1")})));
    fixture.run_call("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" +
                         list_json(5, true, {host_json("s-2", "127.0.0.1:2")}),
                     reset);
    EXPECT_EQ(fixture.applied.size(), reset ? 0u : 1u);
    EXPECT_EQ(fixture.discovery.counts().failed, reset ? 1u : 0u);
    EXPECT_TRUE(fixture.planned);
  }
}

// As large as any deployment (issue 43), indented, with long names, every server replaced each
// time.
TEST(DiscoveryAnswers, IndentedListsOf1024And1025ServersWithLongNamesAreApplied) {
  for (std::size_t servers : {1024u, 1025u}) {
    CallFixture fixture({});
    for (int version = 1; version <= 3; ++version) {
      nlohmann::json list = {{"seq", version}, {"whole", true}};
      for (std::size_t k = 0; k < servers; ++k)
        list["hosts"].push_back(nlohmann::json::parse(
            host_json(std::string(240, 's') + std::to_string(k) + "-" + std::to_string(version),
                      "127.0.0.1:" + std::to_string(1 + k))));
      fixture.run_call(whole(list.dump(8)));
      ASSERT_EQ(fixture.applied.size(), static_cast<std::size_t>(version));
      EXPECT_EQ(fixture.applied.back().hosts.size(), servers);
    }
    EXPECT_EQ(fixture.discovery.counts().invalid, 0u);
  }
}

// A change that a silent call should have reported counts as notified 6 s after the silence began,
// so another call has to bring it in time.
TEST(DiscoveryAnswers, ASilentCallIsRepeatedBeforeItTimesOut) {
  const std::string good = list_json(5, true, {host_json("s-1", "127.0.0.1:1")});
  CallFixture fixture(parse_host_list(list_json(4, true, {host_json("s-1", "127.0.0.1:1")})));
  std::thread answerer([&] {
    TestConnection silent = fixture.peer.accept(), second = fixture.peer.accept();
    for (std::string line = second.line(); line.size() > 2;) line = second.line();
    std::string response = whole(good);
    ::send(second.fd(), response.data(), response.size(), MSG_NOSIGNAL);
    char byte;
    (void)::recv(second.fd(), &byte, 1, 0);  // until the router has read the answer
  });
  fixture.discovery.watch();
  while (fixture.discovery.counts().calls < 3 && fixture.failed == 0)
    event_base_loop(fixture.base.get(), EVLOOP_ONCE);  // the third is the next watch
  EXPECT_EQ(fixture.failed, 0);
  EXPECT_EQ(fixture.applied.size(), 1u);
  fixture.discovery.stop();
  answerer.join();
}

// A watch may wait for 20 s and more, but once its answer has started, the change in it counts as
// notified 6 s later. If the answer stalls, another call must bring the change in that time (seen
// in calm+disco+brink+mass 10).
TEST(DiscoveryAnswers, AWatchWithAStalledAnswerIsRepeatedSoon) {
  const std::string one = host_json("s-1", "127.0.0.1:1");
  const std::string good = whole(list_json(5, false, {host_json("s-1", "127.0.0.1:1", "leaving")}));
  CallFixture fixture(parse_host_list(list_json(4, true, {one})));
  std::thread answerer([&] {
    auto call = [&] {
      TestConnection link = fixture.peer.accept();
      for (std::string line = link.line(); line.size() > 2;) line = link.line();
      return link;
    };
    const std::string nothing = whole(list_json(4, false, {}));
    {
      TestConnection first = call();
      ::send(first.fd(), nothing.data(), nothing.size(), MSG_NOSIGNAL);
      char byte;
      (void)::recv(first.fd(), &byte, 1, 0);  // until the router has read the answer
    }
    TestConnection watch = call();
    ::send(watch.fd(), good.data(), good.size() - 30, MSG_NOSIGNAL);
    TestConnection third = call();
    ::send(third.fd(), good.data(), good.size(), MSG_NOSIGNAL);
    char byte;
    (void)::recv(third.fd(), &byte, 1, 0);
  });
  Micros begun = fixture.clock.now();
  fixture.discovery.watch();
  while (fixture.applied.size() < 2 && fixture.clock.now() - begun < 15 * kSecond)
    event_base_loop(fixture.base.get(), EVLOOP_ONCE);
  ASSERT_EQ(fixture.applied.size(), 2u);
  EXPECT_EQ(fixture.applied[1].hosts.size(), 1u);
  EXPECT_EQ(fixture.discovery.counts().invalid, 1u);
  EXPECT_LT(fixture.clock.now() - begun, 6 * kSecond);
  fixture.discovery.stop();
  answerer.join();
}

// Every answer takes 2.2 s to write. If stalled calls were abandoned for good, the list would never
// be received.
TEST(DiscoveryAnswers, SlowlyWrittenOnesAreStillApplied) {
  const std::string good = whole(list_json(5, false, {host_json("s-1", "127.0.0.1:1", "leaving")}));
  CallFixture fixture(parse_host_list(list_json(4, true, {host_json("s-1", "127.0.0.1:1")})));
  std::atomic<bool> done{false};
  std::thread answerer([&] {
    TestConnection call = fixture.peer.accept();
    for (std::string line = call.line(); line.size() > 2;) line = call.line();
    ::send(call.fd(), good.data(), 40, MSG_NOSIGNAL);
    std::this_thread::sleep_for(std::chrono::milliseconds(2200));
    ::send(call.fd(), good.data() + 40, good.size() - 40, MSG_NOSIGNAL);
    while (!done) std::this_thread::yield();
  });
  Micros begun = fixture.clock.now();
  fixture.discovery.watch();
  while (fixture.applied.empty() && fixture.clock.now() - begun < 10 * kSecond)
    event_base_loop(fixture.base.get(), EVLOOP_ONCE);
  ASSERT_EQ(fixture.applied.size(), 1u);
  EXPECT_EQ(fixture.applied[0].hosts.size(), 1u);
  EXPECT_EQ(fixture.discovery.counts().invalid, 1u);
  EXPECT_GT(fixture.discovery.counts().calls, 1u);  // another call was made beside it
  fixture.discovery.stop();
  done = true;
  answerer.join();
}

}  // namespace
}  // namespace arrowfork::test
