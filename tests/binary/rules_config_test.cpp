// The configuration's `binary` object: its values and defaults, and that errors name the setting.
#include "../loopback.hpp"

namespace arrowfork::test {
namespace {

BinaryRules rules_of(const std::string& binary) {
  ConfigText c;
  c.binary = binary;
  return parse_config(c.text()).binary;
}

std::string error_of(const std::string& binary) {
  try {
    rules_of(binary);
  } catch (const ConfigError& e) {
    return e.what();
  }
  return "";
}

TEST(BinaryConfig, BinaryProtocolIsOffWithoutTheObject) {
  BinaryRules rules = rules_of("");
  EXPECT_FALSE(rules.clients);
  EXPECT_FALSE(rules.any());
}

TEST(BinaryConfig, EmptyObjectGivesDefaults) {
  BinaryRules rules = rules_of("{}");
  EXPECT_TRUE(rules.clients);
  EXPECT_EQ(rules.read_class, "read");
  EXPECT_EQ(rules.write_class, "put");  // effect by_key; a write without a key is treated as `once`
  EXPECT_EQ(rules.read_deadline, 20 * kSecond);
  EXPECT_EQ(rules.tenant_of("anything"), "acme");
  EXPECT_FALSE(rules.cas_is_idempotency_key);
  EXPECT_FALSE(rules.cas_is_server_key);
  EXPECT_TRUE(rules.servers.empty());
}

TEST(BinaryConfig, MoreThan1024ServersMayBeNamed) {
  std::string servers;
  for (int k = 0; k < 1025; ++k)
    servers += (k ? "," : "") + std::string("{\"id\":\"s-") + std::to_string(k) + "\"}";
  EXPECT_EQ(rules_of("{\"servers\":[" + servers + "]}").servers.size(), 1025u);
}

TEST(BinaryConfig, AllSettingsAreRead) {
  BinaryRules rules = rules_of(R"({"read_class":"read","write_class":"pay","read_deadline_ms":250,
    "write_deadline_ms":1500.5,"idempotency":"cas","server_idempotency":"cas",
    "tenants":[{"prefix":"z:","tenant":"zeta"},{"prefix":"z:a:","tenant":"acme"}],
    "servers":[{"kind":"bin"},{"kind":"std","id":"b-*"}]})");
  EXPECT_EQ(rules.write_class, "pay");
  EXPECT_EQ(rules.read_deadline, 250 * kMillisecond);
  EXPECT_EQ(rules.write_deadline, 1'500'500);
  EXPECT_TRUE(rules.cas_is_idempotency_key && rules.cas_is_server_key);
  EXPECT_EQ(rules.tenant_of("z:1"), "zeta");
  EXPECT_EQ(rules.tenant_of("z:a:1"), "acme");
  EXPECT_EQ(rules.tenant_of("y"), "acme");
  auto is_binary = [&](const char* id, const char* kind) {
    robinseam::Server s;
    s.id = id;
    s.kind = kind;
    return rules.server_is_binary(s);
  };
  EXPECT_TRUE(is_binary("x", "bin"));
  EXPECT_TRUE(is_binary("b-1", "std"));
  EXPECT_FALSE(is_binary("b-1", "big"));
  EXPECT_FALSE(is_binary("x", "std"));
}

TEST(BinaryConfig, ErrorsNameTheSetting) {
  const std::pair<const char*, const char*> cases[] = {
      {"5", "binary: must be an object"},
      {R"({"reads":"read"})", "binary.reads: no such setting"},
      {R"({"clients":1})", "binary.clients: "},
      {R"({"read_class":7})", "binary.read_class: "},
      {R"({"read_class":"put"})", "binary.read_class: 'put' is not a class with effect repeatable"},
      {R"({"write_class":"read"})",
       "binary.write_class: 'read' is not a class with effect by_key or once"},
      {R"({"write_class":"none"})", "binary.write_class: 'none' is not a class"},
      {R"({"read_deadline_ms":20001})", "binary.read_deadline_ms: "},
      {R"({"read_deadline_ms":0})", "binary.read_deadline_ms: "},
      {R"({"write_deadline_ms":"5"})", "binary.write_deadline_ms: "},
      {R"({"idempotency":"opaque"})", "binary.idempotency: 'opaque' is neither none nor cas"},
      {R"({"server_idempotency":"key"})", "binary.server_idempotency: "},
      {R"({"tenants":{}})", "binary.tenants: "},
      {R"({"tenants":[{"tenant":"acme"}]})", "binary.tenants.prefix: missing"},
      {R"({"tenants":[{"prefix":"a","tenant":"b"}]})", "binary.tenants.tenant: 'b'"},
      {R"({"servers":["b-*"]})", "binary.servers: an entry is not an object"},
      {R"({"servers":[{}]})", "binary.servers: an entry has neither kind nor id"},
      {R"({"servers":[{"ids":"b"}]})", "binary.servers.ids: no such setting"},
  };
  for (const auto& [text, expected] : cases)
    EXPECT_EQ(error_of(text).substr(0, std::string(expected).size()), expected) << text;
}

TEST(Patterns, StarMatchesAnyBytes) {
  for (auto [pattern, text, matching] : {std::tuple{"a", "a", true},
                                         {"a", "b", false},
                                         {"*", "", true},
                                         {"a*", "abc", true},
                                         {"a*c", "abc", true},
                                         {"a*c", "abcd", false},
                                         {"*b*", "abc", true},
                                         {"", "", true},
                                         {"", "a", false},
                                         {"a*b*c", "aXbbYc", true},
                                         {"**", "x", true},
                                         {"a*ab", "aab", true},
                                         {"a*ab", "aabab", true},
                                         {"*a", "b", false}})
    EXPECT_EQ(matches_pattern(pattern, text), matching) << pattern << ' ' << text;
  std::string many(250, 'a');
  EXPECT_FALSE(matches_pattern("*a*a*a*a*a*a*a*a*a*b", many));  // backtracking stays bounded
}

}  // namespace
}  // namespace arrowfork::test
