// Dials rejected at a server's connection limit are told apart from dials to a dead server and from
// a full queue; idle connections are closed in time; unwritten attempts are withdrawn.
#include <functional>
#include <map>

#include "../loopback.hpp"

namespace arrowfork::test {
namespace {

using Hosts = std::vector<std::string>;

/// A ServerSide driven by the test's thread: what a peer writes between two calls of run() is
/// handled in one loop iteration.
struct ServerSideFixture final : ServerSide::Handler {
  struct ManualClock final : TimeSource {
    Micros at = 1'000'000 * kSecond;
    Micros now() const override { return at; }
  };
  explicit ServerSideFixture(const Peer& server, const ServerSide::Limits& limits = {})
      : side(base.get(), clock, *this, limits, nullptr, memory) {
    side.apply_list(parse_host_list(list_json(1, true, {host_json("s-1", server.address())})));
  }
  void on_attempt_end(RequestId id, int, Status status, AttemptResult&&) override {
    ends[id] = status;
  }
  RequestId send() {
    Request r;
    r.key = "key", r.id = "d" + std::to_string(++sent), r.class_name = "read", r.tenant = "acme";
    side.send("s-1", sent, 0, r, kSecond);
    run();
    return sent;
  }
  void run() {
    side.flush();
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    side.flush();
  }
  Status wait_for_end(RequestId id) {
    while (!ends.count(id)) {
      event_base_loop(base.get(), EVLOOP_ONCE);
      side.flush();
    }
    return ends[id];
  }
  /// The connection on which the server has received the attempt.
  TestConnection take(Peer& server, RequestId id) {
    while (side.counts().written < id) run();
    TestConnection link = server.accept();
    EXPECT_EQ(link.line().substr(0, 7), "mg key ");
    return link;
  }
  EventBasePtr base{event_base_new()};
  ManualClock clock;
  robinseam::limits::MemoryAccount memory{64u << 20};
  ServerSide side;
  std::map<RequestId, Status> ends;
  RequestId sent = 0;
};

std::string value_for(RequestId id) { return "VA 1 Od" + std::to_string(id) + "\r\nv\r\n"; }

// Attempts queued behind a full socket buffer must not reach a server that drains, has left, or has
// been replaced at its address meanwhile.
TEST(Dials, UnwrittenAttemptsAreWithdrawnFromAServerThatLeaves) {
  Peer other;
  struct Case {
    const char* what;
    bool whole;
    std::function<std::vector<std::string>(const std::string& address)> hosts;
  };
  const Case cases[] = {
      {"it drains", false,
       [](const auto& address) { return Hosts{host_json("s-1", address, "leaving")}; }},
      {"it is gone", false,
       [](const auto& address) { return Hosts{host_json("s-1", address, "left")}; }},
      {"a full list omits it", true,
       [&](const auto&) { return Hosts{host_json("s-2", other.address())}; }},
      {"it has another address", false,
       [&](const auto&) { return Hosts{host_json("s-1", other.address())}; }},
      {"it was restarted", false,
       [](const auto& address) { return Hosts{host_json("s-1", address, "active", 1'000'000)}; }},
      {"another has its address", false,
       [](const auto& address) { return Hosts{host_json("s-2", address, "active", 1'000'000)}; }},
      {"another has its address, start times unknown", false,
       [](const auto& address) { return Hosts{host_json("s-2", address)}; }},
      {"another has its address, start times unknown, its id sorts before", false,
       [](const auto& address) { return Hosts{host_json("r-2", address)}; }},
      {"the same in a full list that still names the first", true,
       [](const auto& address) {
         return Hosts{host_json("r-2", address), host_json("s-1", address)};
       }},
  };
  for (const Case& c : cases) {
    Peer server;
    ServerSide::Limits limits;
    limits.max_connections_per_server = 1;
    ServerSideFixture fixture(server, limits);
    RequestId first = fixture.send();
    TestConnection link = fixture.take(server, first);
    // More than the socket buffers hold, so that part of it waits; then another attempt behind it.
    Request large;
    large.write = true, large.key = "key", large.id = "w1", large.class_name = "put";
    large.tenant = "acme";
    large.value = std::make_shared<const std::string>(32u << 20, 'x');
    fixture.side.send("s-1", 100, 0, large, kSecond);
    fixture.run();
    RequestId behind = fixture.send();
    EXPECT_EQ(fixture.side.counts().written, 1u) << c.what;
    EXPECT_EQ(fixture.ends.count(behind), 0u) << c.what;
    fixture.side.apply_list(parse_host_list(list_json(2, c.whole, c.hosts(server.address()))));
    EXPECT_EQ(fixture.ends.count(behind), 1u) << c.what;
    EXPECT_EQ(fixture.ends[behind], Status::NotSent) << c.what;
    EXPECT_EQ(fixture.ends.count(100), 0u) << c.what;  // partly written before the list came
    EXPECT_EQ(fixture.side.counts().withdrawn_leaving, 1u) << c.what;
  }
}

// With many servers and few descriptors, a further connection to one server must not close idle
// connections of the others, nor take the slots reserved for them.
TEST(Dials, AFurtherConnectionSparesIdleOnesAndReservedSlotsOfOtherServers) {
  Peer busy, idle;
  ServerSide::Limits limits;
  limits.max_connections = 8;
  ServerSideFixture fixture(busy, limits);
  std::vector<std::string> hosts = {host_json("s-1", busy.address()),
                                    host_json("idle", idle.address())};
  for (int k = 0; k < 30; ++k)
    hosts.push_back(host_json("o-" + std::to_string(k), "127.0.0.1:" + std::to_string(k + 1)));
  fixture.side.apply_list(parse_host_list(list_json(2, true, hosts)));
  Request r;
  r.key = "key", r.id = "d50", r.class_name = "read", r.tenant = "acme";
  fixture.side.send("idle", 50, 0, r, kSecond);
  while (fixture.side.counts().written < 1) fixture.run();
  TestConnection kept = idle.accept();
  kept.line();
  kept.write(value_for(50));
  EXPECT_EQ(fixture.wait_for_end(50), Status::Ok);
  // Half of the eight are reserved for the others: four to s-1, further attempts are queued on
  // them.
  for (int k = 0; k < 7; ++k) fixture.send();
  EXPECT_EQ(fixture.side.counts().dials, 1u + 4u);
  EXPECT_EQ(fixture.side.counts().evicted, 0u);
  EXPECT_EQ(fixture.side.idle_connections(), 1u);
}

TEST(Dials, OnlyAFirstBusyAnswerWithACloseCountsAsConnectionLimit) {
  struct Case {
    const char* what;
    bool answered_before, ends;
    Status status;
    std::uint64_t over_limit;
  };
  const Case cases[] = {{"a full table", false, true, Status::ConnectionLimit, 1},
                        {"a full queue", false, false, Status::Rejected, 0},
                        {"a drain", true, true, Status::Rejected, 0}};
  for (const Case& c : cases) {
    Peer server;
    ServerSideFixture fixture(server);
    RequestId id = fixture.send();
    TestConnection link = fixture.take(server, id);
    if (c.answered_before) {
      link.write(value_for(id));
      EXPECT_EQ(fixture.wait_for_end(id), Status::Ok) << c.what;
      id = fixture.send();
      link.line();
    }
    link.write("SERVER_ERROR busy\r\n");
    if (c.ends) link.close();
    EXPECT_EQ(fixture.wait_for_end(id), c.status) << c.what;
    EXPECT_EQ(fixture.side.counts().dials_over_connection_limit, c.over_limit) << c.what;
    EXPECT_EQ(fixture.side.idle_timeout_share() < 0.6, c.over_limit > 0) << c.what;
  }
}

// A dead server and a healthy one at its connection limit both refuse dials; a recent answer on an
// open connection tells them apart.
TEST(Dials, ARefusedDialCountsAsConnectionLimitOnlyIfOpenConnectionsAnswer) {
  for (Micros silence : {Micros{0}, kSecond}) {
    Peer server;
    ServerSide::Limits limits;
    limits.attempts_per_connection = 1;
    ServerSideFixture fixture(server, limits);
    RequestId first = fixture.send();
    TestConnection link = fixture.take(server, first);
    link.write(value_for(first));
    EXPECT_EQ(fixture.wait_for_end(first), Status::Ok);
    RequestId second = fixture.send();
    link.line();
    link.write(value_for(second));
    EXPECT_EQ(fixture.wait_for_end(second), Status::Ok);
    fixture.send();  // stays in flight
    server.close();
    fixture.clock.at += silence;
    RequestId refused = fixture.send();
    EXPECT_EQ(fixture.wait_for_end(refused),
              silence ? Status::ConnectFailed : Status::ConnectionLimit);
    EXPECT_EQ(fixture.side.counts().dials_over_connection_limit, silence ? 0u : 1u);
  }
}

TEST(Dials, ALargeTierClosesIdleConnectionsLongBeforeTheServerDoes) {
  struct Case {
    int routers;
    double rate;
    Micros kept;  // not for a tenth longer
  };
  for (const Case& c :
       {Case{300, 450, kSecond / 10}, Case{300, 30, 1'620'000}, Case{14, 450, 8'900'000}}) {
    Peer server;
    ServerSide::Limits limits;
    limits.routers = c.routers;
    limits.tier_rate = c.rate;
    ServerSideFixture fixture(server, limits);
    RequestId id = fixture.send();
    TestConnection link = fixture.take(server, id);
    link.write(value_for(id));
    EXPECT_EQ(fixture.wait_for_end(id), Status::Ok);
    fixture.clock.at += c.kept;
    id = fixture.send();  // on the same connection
    EXPECT_EQ(link.line().substr(0, 7), "mg key ");
    link.write(value_for(id));
    EXPECT_EQ(fixture.wait_for_end(id), Status::Ok);
    fixture.clock.at += c.kept + c.kept / 10;
    while (fixture.side.connections() > 0) event_base_loop(fixture.base.get(), EVLOOP_ONCE);
    EXPECT_TRUE(link.is_closed()) << c.routers;
  }
}

}  // namespace
}  // namespace arrowfork::test
