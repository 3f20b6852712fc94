// Operator overrides without sockets: disabled servers over lists, the file that keeps them, and
// the parsing of control calls.
#include <gtest/gtest.h>

#include <fstream>

#include "control/calls.hpp"
#include "membership/disabled_servers_file.hpp"
#include "temp_directory.hpp"

namespace arrowfork::test {
namespace {

using robinseam::Health;
using robinseam::Micros;

Host host(const std::string& id, Micros started_at = 0, Health health = Health::Ready) {
  Host h;
  h.server.id = id;
  h.server.health = health;
  h.server.up_since = started_at;
  h.dial = "127.0.0.1:1";
  return h;
}

HostList list(std::vector<Host> hosts, bool full = true) { return {"1", full, std::move(hosts)}; }

TEST(OperatorOverrides, ADisabledServerDrainsWhateverTheListSaysUntilItIsEnabled) {
  OperatorOverrides overrides;
  overrides.apply_list(list({host("a"), host("b")}));
  HostList part = overrides.set_disabled({{"a", 100}}, 100);
  ASSERT_EQ(part.hosts.size(), 1u);
  EXPECT_FALSE(part.full);
  EXPECT_EQ(part.hosts[0].server.health, Health::Draining);
  EXPECT_EQ(overrides.apply_list(list({host("a", 150), host("b")})).hosts[0].server.health,
            Health::Draining);
  overrides.apply_list(list({host("b")}));  // gone from the list, then listed again
  EXPECT_EQ(overrides.apply_list(list({host("a", 160)}, false)).hosts[0].server.health,
            Health::Draining);
  EXPECT_TRUE(overrides.set_disabled({{"a", 100}}, 200).hosts.empty());  // repeated
  EXPECT_EQ(overrides.set_disabled({}, 300).hosts[0].server.health, Health::Ready);
}

TEST(OperatorOverrides, AnEnabledServerIsColdUnlessTheListHasALaterStart) {
  for (auto [listed, expected] : {std::pair<Micros, Micros>{0, 300}, {50, 300}, {250, 250}}) {
    OperatorOverrides overrides;
    overrides.apply_list(list({host("a", listed)}));
    overrides.set_disabled({{"a", 100}}, 100);
    EXPECT_EQ(overrides.set_disabled({}, 300).hosts[0].server.up_since, expected) << listed;
    EXPECT_EQ(overrides.apply_list(list({host("a", listed)})).hosts[0].server.up_since, expected)
        << listed;
    EXPECT_EQ(overrides.apply_list(list({host("a", 280)})).hosts[0].server.up_since, 280) << listed;
  }
}

TEST(OperatorOverrides, ABoundedNumberOfFormerIdsStaysKnown) {
  OperatorOverrides overrides;
  EXPECT_FALSE(overrides.is_known("a"));
  overrides.apply_list(list({host("a")}));
  overrides.apply_list(list({host("a", 0, Health::Gone)}, false));
  EXPECT_TRUE(overrides.is_known("a"));
  EXPECT_TRUE(overrides.effective_hosts().empty());
  for (std::size_t k = 0; k < OperatorOverrides::kMaxGoneIds; ++k) {
    std::string id = "s" + std::to_string(k);
    overrides.apply_list(list({host(id)}));
  }
  overrides.apply_list(list({}));
  EXPECT_FALSE(overrides.is_known("a"));
  EXPECT_TRUE(overrides.is_known("s" + std::to_string(OperatorOverrides::kMaxGoneIds - 1)));
}

TEST(DisabledServersFile, BothProcessesReadAndKeepEachOthersChanges) {
  TempDirectory folder;
  std::string path = folder.path() + "/bans", error;
  DisabledServersFile predecessor(path), successor(path);
  ASSERT_TRUE(predecessor.set_disabled("a", true, 10, error)) << error;
  auto read = successor.read_if_changed(error);
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, (DisabledServers{{"a", 10}}));
  EXPECT_FALSE(successor.read_if_changed(error));  // unchanged
  ASSERT_TRUE(successor.set_disabled("b", true, 20, error));
  EXPECT_EQ(*predecessor.set_disabled("c", true, 30, error),
            (DisabledServers{{"a", 10}, {"b", 20}, {"c", 30}}));
  EXPECT_EQ(*successor.set_disabled("a", true, 40, error),
            (DisabledServers{{"a", 10}, {"b", 20}, {"c", 30}}));
  EXPECT_EQ(*successor.set_disabled("a", false, 50, error),
            (DisabledServers{{"b", 20}, {"c", 30}}));
  EXPECT_EQ(*predecessor.read_if_changed(error), (DisabledServers{{"b", 20}, {"c", 30}}));
}

// A cleaned folder, or a moment without free descriptors, must not enable servers again.
TEST(DisabledServersFile, AMissingOrUnreadableFileEnablesNoServer) {
  TempDirectory folder;
  std::string path = folder.path() + "/bans", error;
  DisabledServersFile file(path);
  ASSERT_TRUE(file.set_disabled("a", true, 10, error));
  std::filesystem::remove(path);
  auto read = file.read_if_changed(error);
  EXPECT_TRUE(!read || *read == (DisabledServers{{"a", 10}}));
  EXPECT_EQ(*file.set_disabled("b", true, 20, error), (DisabledServers{{"a", 10}, {"b", 20}}));
  std::filesystem::remove(path);
  std::filesystem::create_symlink(path, path);  // can't be opened
  EXPECT_FALSE(file.read_if_changed(error));
  EXPECT_FALSE(file.set_disabled("a", false, 30, error));
  EXPECT_NE(error, "");
  std::filesystem::remove(path);
  EXPECT_EQ(*file.set_disabled("b", false, 40, error), (DisabledServers{{"a", 10}}));
}

TEST(DisabledServersFile, AnInvalidFileIsRejectedAndNotOverwritten) {
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
  EXPECT_TRUE(DisabledServersFile("").set_disabled(
      "a", true, 1, error));  // without a file: kept in this process only
}

TEST(ControlCalls, AreParsedFromTheirHeads) {
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
