// The control address of a running router: metrics, disabled servers, operator drains, and callers
// that keep their connections open.
#include <nlohmann/json.hpp>

#include "../loopback.hpp"

namespace arrowfork::test {
namespace {

std::string get(const std::string& id, const std::string& key) {
  return "mg " + key + " v O" + id + " Pc=read,t=acme,d=15000\r\n";
}

bool is_ok(const std::string& answer) { return answer.starts_with("HTTP/1.1 200 "); }

nlohmann::json metrics(const RunningRouter& router) {
  std::string text = router.control("GET", "/-/metrics");
  return nlohmann::json::parse(text.substr(text.find("\r\n\r\n") + 4));
}

/// Two cache servers; each answers with its own name.
struct TwoServers {
  ServingPeer a{[](const std::string& line) { return value_answer(id_of(line), "a"); }};
  ServingPeer b{[](const std::string& line) { return value_answer(id_of(line), "b"); }};
  ConfigText config() const {
    ConfigText c;
    c.hosts = {host_json("s-a", a.address()), host_json("s-b", b.address())};
    c.control = "127.0.0.1:0";
    return c;
  }
};

/// The names of the servers that serve each of forty keys.
std::string servers_of_keys(TestConnection& client, const std::string& round) {
  std::string by;
  for (int k = 0; k < 40; ++k) {
    client.write(get(round + std::to_string(k), "key" + std::to_string(k)));
    EXPECT_EQ(client.line().substr(0, 3), "VA ");
    by += client.line().substr(0, 1);
  }
  return by;
}

TEST(Control, ADisabledServerGetsNoRequestsUntilItIsEnabled) {
  TwoServers servers;
  RunningRouter router(servers.config());
  EXPECT_TRUE(is_ok(router.control("GET", "/-/ready")));
  TestConnection client = router.client();
  std::string before = servers_of_keys(client, "before");
  ASSERT_NE(before.find('a'), before.npos);
  EXPECT_TRUE(is_ok(router.control("PUT", "/-/cache-servers/s-a/disable")));
  EXPECT_TRUE(is_ok(router.control("PUT", "/-/cache-servers/s-a/disable")));
  EXPECT_EQ(metrics(router)["hosts_down"], 1);
  EXPECT_EQ(servers_of_keys(client, "out"), std::string(40, 'b'));
  EXPECT_TRUE(is_ok(router.control("PUT", "/-/cache-servers/s-a/enable")));
  // It is cold at first, so only some requests reach it.
  std::string after;
  for (int k = 0; after.find('a') == after.npos && k < 100; ++k)
    after = servers_of_keys(client, "after" + std::to_string(k) + "-");
  EXPECT_NE(after.find('a'), after.npos);
  EXPECT_EQ(router.control("PUT", "/-/cache-servers/s-x/disable").substr(9, 3), "404");
}

TEST(Control, TheMetricsCountEndedRequests) {
  ServingPeer server([](const std::string& line) {
    return line.find("mg bad") == 0 ? "SERVER_ERROR failed\r\n" : value_answer(id_of(line), "v");
  });
  ConfigText c;
  c.hosts = {host_json("s-1", server.address())};
  c.control = "127.0.0.1:0";
  RunningRouter router(c);
  TestConnection client = router.client();
  for (int k = 0; k < 5; ++k) {
    client.write(get("r" + std::to_string(k), "good"));
    client.line(), client.line();
  }
  // A write that must not be repeated, so the error is final.
  client.write("ms bad 1 Ow Pc=pay,t=acme,d=15000,k=7\r\nx\r\n");
  client.line();
  nlohmann::json f = metrics(router);
  EXPECT_EQ(f["success"]["read"], 5);
  EXPECT_EQ(f["success"]["pay"].get<int>() + f["failure"]["pay"].get<int>(), 1);
  EXPECT_GE(f["backend_calls"], 6);
  EXPECT_EQ(f["inflight"], 0);
  EXPECT_EQ(f["hosts_listed"], 1);
}

// A list that may be out of date stays in use; /-/ready says so until discovery has answered.
TEST(Control, AListThatMayBeOutdatedIsReportedAndStaysInUse) {
  TwoServers servers;
  Peer discovery, next;
  ConfigText config = servers.config();
  config.mode = "automatic";
  config.discovery = discovery.address();
  RunningRouter router(config);
  answer_next_call(discovery, http(list_json(5, false, {})));
  auto reports_stale_list = [&] {
    return router.control("GET", "/-/ready").find("may be old") != std::string::npos;
  };
  while (reports_stale_list()) std::this_thread::yield();  // until that answer has been read
  config.discovery = "127.0.0.1:1";                        // nothing listens there
  router.reload(config.text());
  while (!reports_stale_list()) std::this_thread::yield();
  EXPECT_TRUE(is_ok(router.control("GET", "/-/ready")));
  TestConnection client = router.client();
  client.write(get("o1", "key"));
  EXPECT_EQ(client.line().substr(0, 3), "VA ");
  config.discovery = next.address();
  router.reload(config.text());
  answer_next_call(next, http(list_json(1, true, {host_json("s-1", "127.0.0.1:1")})));
  while (reports_stale_list()) std::this_thread::yield();
}

TEST(Control, IdleCallersDoNotKeepOthersOut) {
  TwoServers servers;
  RunningRouter router(servers.config());
  std::vector<TestConnection> idle_callers;
  for (std::size_t k = 0; k < 3 * ControlServer::kMaxConnections; ++k) {
    idle_callers.push_back(TestConnection::to(router.control_port()));
    idle_callers.back().write("GET /-/re");
  }
  EXPECT_TRUE(is_ok(router.control("GET", "/-/ready")));
  EXPECT_TRUE(idle_callers.front().is_closed());  // the oldest was closed for it
}

TEST(Control, ADrainedRouterIsNotReadyClosesItsClientsAndCanResume) {
  TwoServers servers;
  RunningRouter router(servers.config());
  TestConnection idle = router.client(), client = router.client();
  idle.write("mn\r\n");
  EXPECT_EQ(idle.line(), "MN\r\n");
  EXPECT_TRUE(is_ok(router.control("PUT", "/-/drain")));
  client.write("mn\r\n");
  EXPECT_EQ(client.line().substr(0, 12), "SERVER_ERROR");
  client.write(get("d1", "key"));
  EXPECT_EQ(client.line().substr(0, 3), "VA ");
  EXPECT_FALSE(is_ok(router.control("GET", "/-/ready")));
  EXPECT_TRUE(idle.is_closed());
  client.line();
  EXPECT_TRUE(client.is_closed());
  TestConnection late = router.client();  // a late client is served once
  late.write(get("d2", "key"));
  EXPECT_EQ(late.line().substr(0, 3), "VA ");
  late.line();
  EXPECT_TRUE(late.is_closed());
  EXPECT_TRUE(is_ok(router.control("PUT", "/-/resume")));
  EXPECT_TRUE(is_ok(router.control("GET", "/-/ready")));
  TestConnection again = router.client();
  for (int k = 0; k < 2; ++k) {
    again.write("mn\r\n");
    EXPECT_EQ(again.line(), "MN\r\n");
  }
}

}  // namespace
}  // namespace arrowfork::test
