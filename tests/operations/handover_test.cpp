// A new process beside the running one: no client is refused, reset or left unread.
#include "../loopback.hpp"
#include "temp_directory.hpp"

namespace arrowfork::test {
namespace {

std::string get(const std::string& id) { return "mg key v O" + id + " Pc=read,t=acme,d=15000\r\n"; }

bool ready(const RunningRouter& router) {
  return router.control("GET", "/-/ready").starts_with("HTTP/1.1 200 ");
}

class HandoverTest : public testing::Test {
 protected:
  ConfigText config() {
    ConfigText c;
    c.hosts = {host_json("s-1", server.address()), host_json("s-2", other.address())};
    c.control = "127.0.0.1:0";
    c.state_dir = folder.path();
    return c;
  }
  static void served(TestConnection& client, const std::string& id) {
    client.write(get(id));
    EXPECT_EQ(client.line(), "VA 1 O" + id + "\r\n");
    EXPECT_EQ(client.line(), "v\r\n");
  }
  TempDirectory folder;
  ServingPeer server{[](const std::string& line) { return value_answer(id_of(line), "v"); }};
  ServingPeer other{[](const std::string& line) { return value_answer(id_of(line), "v"); }};
};

TEST_F(HandoverTest, ConnectionsBetweenRequestsGoOverAndStayOpen) {
  RunningRouter old_one(config());
  std::vector<TestConnection> clients;
  for (int k = 0; k < 40; ++k) {
    clients.push_back(old_one.client());
    if (k % 2) served(clients.back(), "a" + std::to_string(k));
  }
  ConfigText c = config();
  c.hosts.clear();  // the running process has the list
  RunningRouter new_one(c);
  ASSERT_TRUE(ready(new_one));
  EXPECT_EQ(new_one.port(), old_one.port());
  old_one.terminate();
  for (std::size_t k = 0; k < clients.size(); ++k) served(clients[k], "b" + std::to_string(k));
  old_one.wait_for_end();
  for (std::size_t k = 0; k < clients.size(); ++k) served(clients[k], "c" + std::to_string(k));
  TestConnection fresh = new_one.client();
  served(fresh, "d");
  // The next one takes over from this one.
  RunningRouter third(c);
  ASSERT_TRUE(ready(third));
  new_one.terminate();
  new_one.wait_for_end();
  served(fresh, "e");
}

TEST_F(HandoverTest, AListOf1024ServersGoesOver) {
  ConfigText c = config();
  for (int k = 0; k < 1024; ++k)
    c.hosts.push_back(
        host_json(std::string(40, 'c') + std::to_string(k), "127.0.0.1:1", "leaving"));
  RunningRouter old_one(c);
  c.hosts.clear();
  RunningRouter new_one(c);
  ASSERT_TRUE(ready(new_one));
  EXPECT_NE(new_one.control("GET", "/-/metrics").find("\"hosts_listed\":1026"), std::string::npos);
}

TEST_F(HandoverTest, ARequestUnderWayIsAnsweredByTheOldProcessAndItsConnectionGoesOver) {
  Peer slow;
  ConfigText c = config();
  c.hosts = {host_json("s-1", slow.address())};
  RunningRouter old_one(c);
  TestConnection client = old_one.client();
  client.write(get("a"));
  TestConnection at_server = slow.accept();
  EXPECT_EQ(id_of(at_server.line()), "a");
  RunningRouter new_one(c);
  ASSERT_TRUE(ready(new_one));
  old_one.terminate();
  TestConnection fresh =
      new_one.client();  // accepted by the new one while the old one still has work
  fresh.write("mn\r\n");
  EXPECT_EQ(fresh.line(), "MN\r\n");
  at_server.write(value_answer("a", "v"));
  EXPECT_EQ(client.line(), "VA 1 Oa\r\n");
  client.line();
  old_one.wait_for_end();
  client.write(get("b"));
  TestConnection again = slow.accept();
  EXPECT_EQ(id_of(again.line()), "b");
}

TEST_F(HandoverTest, ABanHoldsOverAnUpgradeAndMayEndInTheNewProcess) {
  RunningRouter old_one(config());
  EXPECT_NE(old_one.control("PUT", "/-/cache-servers/s-1/disable").find("200"), std::string::npos);
  RunningRouter new_one(config());
  old_one.terminate();
  old_one.wait_for_end();
  EXPECT_NE(new_one.control("GET", "/-/metrics").find(R"("hosts_down":1)"), std::string::npos);
  EXPECT_NE(new_one.control("PUT", "/-/cache-servers/s-1/enable").find("200"), std::string::npos);
  EXPECT_NE(new_one.control("GET", "/-/metrics").find(R"("hosts_down":0)"), std::string::npos);
}

TEST_F(HandoverTest, ABanToldToEitherProcessBindsTheOther) {
  RunningRouter old_one(config());
  RunningRouter new_one(config());
  EXPECT_NE(new_one.control("PUT", "/-/cache-servers/s-1/disable").find("200"), std::string::npos);
  while (old_one.control("GET", "/-/metrics").find(R"("hosts_down":1)") == std::string::npos)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

TEST_F(HandoverTest, IfTheNewProcessEndsTheOldOneGoesOn) {
  RunningRouter old_one(config());
  {
    RunningRouter new_one(config());
    ASSERT_TRUE(ready(new_one));
  }
  TestConnection client = old_one.client();
  served(client, "a");
}

}  // namespace
}  // namespace arrowfork::test
