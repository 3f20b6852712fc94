// Dials that a server has no room for, told from those to a dead one and from a full queue; idle
// connections that are given back.
#include <functional>
#include <map>

#include "../loopback.hpp"

namespace arrowfork::test {
namespace {

using Hosts = std::vector<std::string>;

/// A server side of its own, driven by the test's thread: what a peer writes between two calls of
/// run() is seen in one turn.
struct Dials final : ServerSide::Handler {
  struct Still final : TimeSource {
    Micros at = 1'000'000 * kSecond;
    Micros now() const override { return at; }
  };
  explicit Dials(const Peer& server, const ServerSide::Limits& limits = {})
      : side(base.get(), clock, *this, limits, nullptr) {
    side.apply_list(parse_host_list(list_json(1, true, {host_json("s-1", server.address())})));
  }
  void on_attempt_end(RequestId id, int, Status status, AttemptResult&&) override {
    ends[id] = status;
  }
  RequestId send() {
    Request r;
    r.key = "key", r.id = "d" + std::to_string(++asked), r.type = "read", r.tenant = "acme";
    side.send("s-1", asked, 0, r, kSecond);
    run();
    return asked;
  }
  void run() {
    side.flush();
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
    side.flush();
  }
  Status end_of(RequestId id) {
    while (!ends.count(id)) {
      event_base_loop(base.get(), EVLOOP_ONCE);
      side.flush();
    }
    return ends[id];
  }
  /// The connection on which the attempt has come.
  TestConnection take(Peer& server, RequestId id) {
    while (side.counts().written < id) run();
    TestConnection link = server.accept();
    EXPECT_EQ(link.line().substr(0, 7), "mg key ");
    return link;
  }
  EventBasePtr base{event_base_new()};
  Still clock;
  ServerSide side;
  std::map<RequestId, Status> ends;
  RequestId asked = 0;
};

std::string value_for(RequestId id) { return "VA 1 Od" + std::to_string(id) + "\r\nv\r\n"; }

// A socket that takes no more keeps what is queued behind; meanwhile a list tells that the server
// leaves, or that the place to which the connection leads is not its own any more.
TEST(Dials, WhatWaitsUnsentForAServerThatLeavesIsTakenBack) {
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
      {"a whole list has it no more", true,
       [&](const auto&) { return Hosts{host_json("s-2", other.address())}; }},
      {"it has another address", false,
       [&](const auto&) { return Hosts{host_json("s-1", other.address())}; }},
      {"it was started again", false,
       [](const auto& address) { return Hosts{host_json("s-1", address, "active", 1'000'000)}; }},
      {"another has its address", false,
       [](const auto& address) { return Hosts{host_json("s-2", address, "active", 1'000'000)}; }},
      {"another has its address, and neither says since when", false,
       [](const auto& address) { return Hosts{host_json("s-2", address)}; }},
  };
  for (const Case& c : cases) {
    Peer server;
    ServerSide::Limits limits;
    limits.max_connections_per_server = 1;
    Dials dials(server, limits);
    RequestId first = dials.send();
    TestConnection link = dials.take(server, first);
    // More than the two sockets hold, so that a part of it waits; then one behind it.
    Request large;
    large.write = true, large.key = "key", large.id = "w1", large.type = "put";
    large.tenant = "acme";
    large.value = std::make_shared<const std::string>(32u << 20, 'x');
    dials.side.send("s-1", 100, 0, large, kSecond);
    dials.run();
    RequestId behind = dials.send();
    EXPECT_EQ(dials.side.counts().written, 1u) << c.what;
    EXPECT_EQ(dials.ends.count(behind), 0u) << c.what;
    dials.side.apply_list(parse_host_list(list_json(2, c.whole, c.hosts(server.address()))));
    EXPECT_EQ(dials.ends.count(behind), 1u) << c.what;
    EXPECT_EQ(dials.ends[behind], Status::NotSent) << c.what;
    EXPECT_EQ(dials.ends.count(100), 0u) << c.what;  // its first bytes were before the word
    EXPECT_EQ(dials.side.counts().withdrawn_leaving, 1u) << c.what;
  }
}

// Many servers and few descriptors: a second connection to one of them costs the others nothing
// that they use, and they keep room all the same.
TEST(Dials, ASecondConnectionLeavesWhatStandsIdleAtOthersAndTheirRoom) {
  Peer busy, idle;
  ServerSide::Limits limits;
  limits.max_connections = 8;
  Dials dials(busy, limits);
  std::vector<std::string> hosts = {host_json("s-1", busy.address()),
                                    host_json("idle", idle.address())};
  for (int k = 0; k < 30; ++k)
    hosts.push_back(host_json("o-" + std::to_string(k), "127.0.0.1:" + std::to_string(k + 1)));
  dials.side.apply_list(parse_host_list(list_json(2, true, hosts)));
  Request r;
  r.key = "key", r.id = "d50", r.type = "read", r.tenant = "acme";
  dials.side.send("idle", 50, 0, r, kSecond);
  while (dials.side.counts().written < 1) dials.run();
  TestConnection kept = idle.accept();
  kept.line();
  kept.write(value_for(50));
  EXPECT_EQ(dials.end_of(50), Status::Ok);
  // Half of the eight are the others': four at s-1, and further attempts wait behind those.
  for (int k = 0; k < 7; ++k) dials.send();
  EXPECT_EQ(dials.side.counts().dials, 1u + 4u);
  EXPECT_EQ(dials.side.counts().evicted, 0u);
  EXPECT_EQ(dials.side.idle_connections(), 1u);
}

TEST(Dials, WhatAFirstAnswerTellsOfRoom) {
  struct Case {
    const char* what;
    bool answered_before, ends;
    Status status;
    std::uint64_t no_room;
  };
  const Case cases[] = {{"a full table", false, true, Status::ConnectionLimit, 1},
                        {"a full queue", false, false, Status::Rejected, 0},
                        {"a drain", true, true, Status::Rejected, 0}};
  for (const Case& c : cases) {
    Peer server;
    Dials dials(server);
    RequestId id = dials.send();
    TestConnection link = dials.take(server, id);
    if (c.answered_before) {
      link.write(value_for(id));
      EXPECT_EQ(dials.end_of(id), Status::Ok) << c.what;
      id = dials.send();
      link.line();
    }
    link.write("SERVER_ERROR busy\r\n");
    if (c.ends) link.close();
    EXPECT_EQ(dials.end_of(id), c.status) << c.what;
    EXPECT_EQ(dials.side.counts().dials_over_connection_limit, c.no_room) << c.what;
    EXPECT_EQ(dials.side.idle_timeout_share() < 0.6, c.no_room > 0) << c.what;
  }
}

// In the same second: one server that is dead, and one that is well and takes no more connections.
TEST(Dials, ARefusedHandshakeIsWantOfRoomOnlyWhereOpenConnectionsAnswer) {
  for (Micros silent : {Micros{0}, kSecond}) {
    Peer server;
    ServerSide::Limits limits;
    limits.attempts_per_connection = 1;
    Dials dials(server, limits);
    RequestId first = dials.send();
    TestConnection link = dials.take(server, first);
    link.write(value_for(first));
    EXPECT_EQ(dials.end_of(first), Status::Ok);
    RequestId second = dials.send();
    link.line();
    link.write(value_for(second));
    EXPECT_EQ(dials.end_of(second), Status::Ok);
    dials.send();  // stays out
    server.close();
    dials.clock.at += silent;
    RequestId refused = dials.send();
    EXPECT_EQ(dials.end_of(refused), silent ? Status::ConnectFailed : Status::ConnectionLimit);
    EXPECT_EQ(dials.side.counts().dials_over_connection_limit, silent ? 0u : 1u);
  }
}

TEST(Dials, ALargeTierGivesIdleConnectionsBackLongBeforeTheServerEndsThem) {
  struct Case {
    int routers;
    double rate;
    Micros kept;  // and not for a tenth longer
  };
  for (const Case& c :
       {Case{300, 450, kSecond / 10}, Case{300, 30, 1'620'000}, Case{14, 450, 8'900'000}}) {
    Peer server;
    ServerSide::Limits limits;
    limits.routers = c.routers;
    limits.tier_rate = c.rate;
    Dials dials(server, limits);
    RequestId id = dials.send();
    TestConnection link = dials.take(server, id);
    link.write(value_for(id));
    EXPECT_EQ(dials.end_of(id), Status::Ok);
    dials.clock.at += c.kept;
    id = dials.send();  // on the same connection
    EXPECT_EQ(link.line().substr(0, 7), "mg key ");
    link.write(value_for(id));
    EXPECT_EQ(dials.end_of(id), Status::Ok);
    dials.clock.at += c.kept + c.kept / 10;
    while (dials.side.connections() > 0) event_base_loop(dials.base.get(), EVLOOP_ONCE);
    EXPECT_TRUE(link.is_closed()) << c.routers;
  }
}

}  // namespace
}  // namespace arrowfork::test
