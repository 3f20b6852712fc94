// What operators do by hand, without sockets: bans over lists, the bans' file, the calls' text.
#include <gtest/gtest.h>

#include <fstream>

#include "control/calls.hpp"
#include "membership/disabled_servers_file.hpp"
#include "temp_directory.hpp"

namespace arrowfork::test {
namespace {

using robinseam::Health;
using robinseam::Micros;

Host host(const std::string& id, Micros born = 0, Health health = Health::Ready) {
  Host h;
  h.server.id = id;
  h.server.health = health;
  h.server.up_since = born;
  h.dial = "127.0.0.1:1";
  return h;
}

HostList list(std::vector<Host> hosts, bool whole = true) { return {"1", whole, std::move(hosts)}; }

TEST(OperatorOverrides, AServerOutByHandLeavesWhateverTheListSaysUntilItIsPutBack) {
  OperatorOverrides hand;
  hand.apply_list(list({host("a"), host("b")}));
  HostList part = hand.set_disabled({{"a", 100}}, 100);
  ASSERT_EQ(part.hosts.size(), 1u);
  EXPECT_FALSE(part.full);
  EXPECT_EQ(part.hosts[0].server.health, Health::Draining);
  EXPECT_EQ(hand.apply_list(list({host("a", 150), host("b")})).hosts[0].server.health,
            Health::Draining);
  hand.apply_list(list({host("b")}));  // gone from the list, and back on it
  EXPECT_EQ(hand.apply_list(list({host("a", 160)}, false)).hosts[0].server.health,
            Health::Draining);
  EXPECT_TRUE(hand.set_disabled({{"a", 100}}, 200).hosts.empty());  // said twice
  EXPECT_EQ(hand.set_disabled({}, 300).hosts[0].server.health, Health::Ready);
}

TEST(OperatorOverrides, WhoComesBackIsColdUnlessTheListTellsOfAStartSinceTheBan) {
  for (auto [listed, told] : {std::pair<Micros, Micros>{0, 300}, {50, 300}, {250, 250}}) {
    OperatorOverrides hand;
    hand.apply_list(list({host("a", listed)}));
    hand.set_disabled({{"a", 100}}, 100);
    EXPECT_EQ(hand.set_disabled({}, 300).hosts[0].server.up_since, told) << listed;
    EXPECT_EQ(hand.apply_list(list({host("a", listed)})).hosts[0].server.up_since, told) << listed;
    EXPECT_EQ(hand.apply_list(list({host("a", 280)})).hosts[0].server.up_since, 280) << listed;
  }
}

TEST(OperatorOverrides, IdsThatWereListedOnceAreKnownInABoundedNumber) {
  OperatorOverrides hand;
  EXPECT_FALSE(hand.is_known("a"));
  hand.apply_list(list({host("a")}));
  hand.apply_list(list({host("a", 0, Health::Gone)}, false));
  EXPECT_TRUE(hand.is_known("a"));
  EXPECT_TRUE(hand.effective_hosts().empty());
  for (std::size_t k = 0; k < OperatorOverrides::kMaxGoneIds; ++k) {
    std::string id = "s" + std::to_string(k);
    hand.apply_list(list({host(id)}));
  }
  hand.apply_list(list({}));
  EXPECT_FALSE(hand.is_known("a"));
  EXPECT_TRUE(hand.is_known("s" + std::to_string(OperatorOverrides::kMaxGoneIds - 1)));
}

TEST(DisabledServersFile, BothProcessesSeeAndKeepWhatEitherIsTold) {
  TempDirectory folder;
  std::string path = folder.path() + "/bans", error;
  DisabledServersFile old_one(path), new_one(path);
  ASSERT_TRUE(old_one.set_disabled("a", true, 10, error)) << error;
  auto seen = new_one.read_if_changed(error);
  ASSERT_TRUE(seen);
  EXPECT_EQ(*seen, (DisabledServers{{"a", 10}}));
  EXPECT_FALSE(new_one.read_if_changed(error));  // nothing new
  ASSERT_TRUE(new_one.set_disabled("b", true, 20, error));
  EXPECT_EQ(*old_one.set_disabled("c", true, 30, error),
            (DisabledServers{{"a", 10}, {"b", 20}, {"c", 30}}));
  EXPECT_EQ(*new_one.set_disabled("a", true, 40, error),
            (DisabledServers{{"a", 10}, {"b", 20}, {"c", 30}}));
  EXPECT_EQ(*new_one.set_disabled("a", false, 50, error), (DisabledServers{{"b", 20}, {"c", 30}}));
  EXPECT_EQ(*old_one.read_if_changed(error), (DisabledServers{{"b", 20}, {"c", 30}}));
}

// Protects against: a cleaned folder, or a moment without descriptors, putting servers back.
TEST(DisabledServersFile, AFileThatIsGoneOrCannotBeOpenedPutsNobodyBack) {
  TempDirectory folder;
  std::string path = folder.path() + "/bans", error;
  DisabledServersFile file(path);
  ASSERT_TRUE(file.set_disabled("a", true, 10, error));
  std::filesystem::remove(path);
  auto seen = file.read_if_changed(error);
  EXPECT_TRUE(!seen || *seen == (DisabledServers{{"a", 10}}));
  EXPECT_EQ(*file.set_disabled("b", true, 20, error), (DisabledServers{{"a", 10}, {"b", 20}}));
  std::filesystem::remove(path);
  std::filesystem::create_symlink(path, path);  // opens for nobody
  EXPECT_FALSE(file.read_if_changed(error));
  EXPECT_FALSE(file.set_disabled("a", false, 30, error));
  EXPECT_NE(error, "");
  std::filesystem::remove(path);
  EXPECT_EQ(*file.set_disabled("b", false, 40, error), (DisabledServers{{"a", 10}}));
}

TEST(DisabledServersFile, WhatIsNoSuchFileChangesNothingAndIsNotOverwritten) {
  for (const char* text :
       {"", "{", "[]", R"({"v":2,"out":{}})", R"({"v":1})", R"({"v":1,"out":3})"}) {
    TempDirectory folder;
    std::string path = folder.path() + "/bans", error;
    std::ofstream(path) << text;
    DisabledServersFile file(path);
    EXPECT_FALSE(file.read_if_changed(error)) << text;
    EXPECT_NE(error, "") << text;
    EXPECT_FALSE(file.set_disabled("a", true, 1, error)) << text;
  }
  std::string error;
  EXPECT_FALSE(DisabledServersFile("/no/such/folder/bans").set_disabled("a", true, 1, error));
  EXPECT_NE(error, "");
  EXPECT_TRUE(DisabledServersFile("").set_disabled("a", true, 1, error));  // this process's alone
}

TEST(ControlCalls, AreReadFromTheirHeads) {
  using State = ControlCallParse::State;
  using Kind = ControlCall::Kind;
  const struct {
    std::string head;
    State state;
    int status;  // of Invalid
    Kind kind;
    std::string id;
  } kCases[] = {
      {"GET /-/ready HTTP/1.1\r\nHost: x", State::Incomplete, 0, Kind::Ready, ""},
      {"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", State::Complete, 0, Kind::Ready, ""},
      {"GET /-/metrics?x=1 HTTP/1.0\r\n\r\n", State::Complete, 0, Kind::Metrics, ""},
      {"PUT /-/drain HTTP/1.1\r\nContent-Length: 2\r\n\r\nxx", State::Complete, 0, Kind::Drain, ""},
      {"PUT /-/resume HTTP/1.1\r\n\r\n", State::Complete, 0, Kind::Resume, ""},
      {"PUT /-/cache-servers/s-1/disable HTTP/1.1\r\n\r\n", State::Complete, 0, Kind::Disable,
       "s-1"},
      {"PUT /-/cache-servers/a%2Fb/enable HTTP/1.1\r\n\r\n", State::Complete, 0, Kind::Enable,
       "a/b"},
      {"PUT /-/cache-servers/a%2/enable HTTP/1.1\r\n\r\n", State::Invalid, 400, Kind::Enable, ""},
      {"PUT /-/cache-servers//enable HTTP/1.1\r\n\r\n", State::Invalid, 404, Kind::Enable, ""},
      {"PUT /-/cache-servers/a/stop HTTP/1.1\r\n\r\n", State::Invalid, 404, Kind::Enable, ""},
      {"GET /-/cache-servers/a/enable HTTP/1.1\r\n\r\n", State::Invalid, 405, Kind::Enable, ""},
      {"GET /-/drain HTTP/1.1\r\n\r\n", State::Invalid, 405, Kind::Drain, ""},
      {"GET /other HTTP/1.1\r\n\r\n", State::Invalid, 404, Kind::Ready, ""},
      {"nonsense\r\n\r\n", State::Invalid, 400, Kind::Ready, ""},
      {std::string(kMaxControlHeadBytes + 1, 'x'), State::Invalid, 431, Kind::Ready, ""},
  };
  for (const auto& c : kCases) {
    ControlCallParse r = parse_control_call(c.head);
    EXPECT_EQ(r.state, c.state) << c.head;
    EXPECT_EQ(c.state == State::Invalid ? r.status : 0, c.status) << c.head;
    if (c.state != State::Complete) continue;
    EXPECT_EQ(r.call.kind, c.kind) << c.head;
    EXPECT_EQ(r.call.id, c.id) << c.head;
  }
}

}  // namespace
}  // namespace arrowfork::test
