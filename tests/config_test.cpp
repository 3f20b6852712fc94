// Errors name the invalid setting, and optional settings have defaults.
#include "net/config.hpp"

#include <gtest/gtest.h>

#include "loopback.hpp"

namespace arrowfork::test {
namespace {

std::string error_of(const std::string& json) {
  try {
    parse_config(json);
  } catch (const ConfigError& e) {
    return e.what();
  }
  return "";
}

TEST(Config, AllSettingsAreRead) {
  ConfigText text;
  text.hosts = {host_json("s-1", "10.0.0.1:5", "leaving", 1795833164450)};
  Config c = parse_config(text.text());
  EXPECT_EQ(c.name, "n0");
  EXPECT_EQ(c.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(c.sockets, 256u);
  EXPECT_EQ(c.memory_bytes, 128u << 20);
  ASSERT_EQ(c.initial_list.hosts.size(), 1u);
  EXPECT_EQ(c.initial_list.version, "1");
  EXPECT_EQ(c.initial_list.hosts[0].server.up_since, 1795833164450000);
  EXPECT_EQ(c.initial_list.hosts[0].server.health, robinseam::Health::Draining);
  EXPECT_EQ(c.initial_list.hosts[0].dial, "10.0.0.1:5");
  ASSERT_EQ(c.settings.classes.size(), 3u);
  EXPECT_EQ(c.settings.classes[1].name, "put");
  EXPECT_EQ(c.settings.classes[1].effect, robinseam::Effect::Keyed);
  EXPECT_EQ(c.settings.report_fields.size(), 3u);
  EXPECT_EQ(c.settings.zones, std::vector<std::string>{"a"});
  EXPECT_EQ(c.settings.drain_grace, 2'500'000);
  EXPECT_TRUE(c.settings.poll_list);
  EXPECT_EQ(c.connection_settings.attempts_per_connection, 32);
  EXPECT_EQ(c.connection_settings.dial_timeout, 75'000);
}

TEST(Config, InvalidStoreSettingsAreNamed) {
  const std::pair<const char*, const char*> cases[] = {
      {R"("here")", "store: must be an object"},
      {"{}", "store.folder: missing"},
      {R"({"folder":7})", "store.folder: must be a string"},
      {R"({"folder":"f","foldre":"g"})", "store.foldre: no such setting"},
      {R"({"folder":"f","disk_mb":0})", "store.disk_mb: must be a number above 0"},
      {R"({"folder":"f","list_taken_s":9,"list_asked_s":8})",
       "store.list_asked_s: must not be below list_taken_s"},
      {R"({"folder":"f","memory_mb":2,"list_taken_s":9})", ""}};
  for (const auto& [store, error] : cases)
    EXPECT_EQ(error_of("{\"store\":" + std::string(store) + "," + ConfigText().text().substr(1)),
              error);
}

TEST(Config, ErrorsNameTheSetting) {
  EXPECT_NE(error_of("{").find("NODE_CONFIG"), std::string::npos);
  EXPECT_NE(error_of("[]").find("NODE_CONFIG"), std::string::npos);
  EXPECT_NE(error_of("{}").find("settings"), std::string::npos);
  EXPECT_NE(error_of(R"({"seed":"xyz","settings":{}})").find("seed"), std::string::npos);
  EXPECT_NE(error_of(R"({"listen":7,"settings":{}})").find("listen"), std::string::npos);
  EXPECT_NE(error_of(R"({"limits":{"sockets":"x"},"settings":{}})").find("limits.sockets"),
            std::string::npos);
  EXPECT_NE(error_of(R"({"known":{"seq":1},"settings":{}})").find("known"), std::string::npos);
  EXPECT_EQ(error_of(R"({"control":"here","settings":{}})"), "control: not an address: 'here'");
  EXPECT_NE(error_of(R"({"control":"127.0.0.1:1","limits":{"sockets":100},"settings":{}})")
                .find("limits.sockets"),
            std::string::npos);
  EXPECT_NE(error_of(R"({"settings":{"Limits":{"MaxAttempts":"x"}}})").find("Limits.MaxAttempts"),
            std::string::npos);
  EXPECT_NE(error_of(R"({"settings":{"Limits":{"StreamsPerConn":0}}})").find("StreamsPerConn"),
            std::string::npos);
}

TEST(Config, InvalidHostListsAreRejected) {
  EXPECT_THROW(parse_host_list(R"({"seq":1,"whole":true,"hosts":[{"dial":"1.2.3.4:5"}]})"),
               ConfigError);
  EXPECT_THROW(
      parse_host_list(R"({"seq":1,"whole":true,"hosts":[{"host":"a","dial":"b","health":"odd"}]})"),
      ConfigError);
  EXPECT_THROW(parse_host_list(R"({"seq":1,"whole":true,"hosts":{}})"), ConfigError);
  HostList gone =
      parse_host_list(R"({"seq":"v2","whole":false,"hosts":[{"host":"a","health":"left"}]})");
  EXPECT_EQ(gone.version, "v2");
  EXPECT_EQ(gone.hosts[0].server.health, robinseam::Health::Gone);
}

TEST(ParseDiscoveryAnswer, InvalidEntriesAreLeftOutAndReported) {
  HostList list = parse_discovery_answer(
      list_json(5, true,
                {host_json("s-1", "127.0.0.1:1", "asleep"), host_json("s-2", ""),
                 host_json("s-3", "", "leaving"), host_json("s-4", "127.0.0.1:4")}));
  EXPECT_EQ(list.entry_error, "hosts: unknown health 'asleep'");
  ASSERT_EQ(list.hosts.size(), 2u);
  EXPECT_EQ(list.hosts[0].server.id, "s-3");
  EXPECT_EQ(list.hosts[0].server.health, robinseam::Health::Draining);
  EXPECT_EQ(list.hosts[1].server.id, "s-4");
  EXPECT_EQ(
      parse_discovery_answer(list_json(5, true, {host_json("s-4", "127.0.0.1:4")})).entry_error,
      "");
  EXPECT_THROW(parse_discovery_answer("{\"seq\":5,\"whole\":true}"), ConfigError);
}

}  // namespace
}  // namespace arrowfork::test
