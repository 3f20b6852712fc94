#include "config.hpp"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cmath>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>

#include "../io/io.hpp"

namespace arrowfork {
namespace {

using Json = nlohmann::json;

constexpr int kMaxDepth = 32;
constexpr std::size_t kMaxFileBytes = 1u << 20;
// A server's id, zone and kind are names, and its weight is its size relative to the others. Values
// far beyond that would waste memory or distort sums.
constexpr std::size_t kMaxNameBytes = 250;
constexpr double kMaxWeight = 1000;
constexpr std::size_t kMaxHosts = 10'000;
// Entries of one list in `binary`; all of them are checked for each request or server.
constexpr std::size_t kMaxBinaryEntries = 4096;

std::string scalar_text(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Flattens a JSON tree to the simulator's path=value pairs: `A.B`, lists of scalars joined by
/// commas, lists of objects as `.count`, `.0`, `.1` and so on.
void flatten(const Json& value, const std::string& path, std::map<std::string, std::string>& to) {
  auto child_path = [&](const std::string& name) {
    return path.empty() ? name : path + '.' + name;
  };
  if (value.is_object()) {
    for (const auto& [name, item] : value.items()) flatten(item, child_path(name), to);
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    to[child_path("count")] = std::to_string(value.size());
    for (std::size_t k = 0; k < value.size(); ++k)
      flatten(value[k], child_path(std::to_string(k)), to);
  } else if (value.is_array()) {
    std::string joined;
    for (const Json& item : value) joined += (joined.empty() ? "" : ",") + scalar_text(item);
    to[path] = joined;
  } else if (!value.is_null()) {
    to[path] = scalar_text(value);
  }
}

/// Limits the nesting, because the tree is walked by recursion.
Json parse_json(const std::string& text) {
  return Json::parse(text, [](int depth, Json::parse_event_t, Json&) {
    if (depth > kMaxDepth) throw ConfigError("JSON nested too deeply");
    return true;
  });
}

Host parse_host(const Json& entry) {
  if (!entry.is_object()) throw ConfigError("hosts: an entry is not an object");
  auto text = [&](const char* name) {
    auto it = entry.find(name);
    std::string value = it != entry.end() && it->is_string() ? it->get<std::string>() : "";
    if (value.size() > kMaxNameBytes)
      throw ConfigError(std::string("hosts: ") + name + ": too long");
    return value;
  };
  auto number = [&](const char* name, double default_value) {
    auto it = entry.find(name);
    return it != entry.end() && it->is_number() ? it->get<double>() : default_value;
  };
  Host h;
  h.server.id = text("host");
  h.dial = text("dial");
  h.server.zone = text("site");
  h.server.kind = text("class");
  h.server.cell = static_cast<std::int64_t>(std::clamp(number("block", -1), -1.0, 1e15));
  std::string health = text("health");
  if (health == "active")
    h.server.health = robinseam::Health::Ready;
  else if (health == "leaving")
    h.server.health = robinseam::Health::Draining;
  else if (health == "left")
    h.server.health = robinseam::Health::Gone;
  else
    throw ConfigError("hosts: unknown health '" + health + "'");
  h.server.weight = std::clamp(number("share", 1), 0.0, kMaxWeight);
  // born_ms is Unix time, and so is the origin of the router's clock.
  h.server.up_since =
      static_cast<robinseam::Micros>(std::clamp(number("born_ms", 0), 0.0, 1e15)) * 1000;
  if (h.server.id.empty()) throw ConfigError("hosts: an entry has no host");
  if (h.server.health == robinseam::Health::Ready && h.dial.empty())
    throw ConfigError("hosts: " + h.server.id + " has no dial address");
  return h;
}

/// Parses everything of a list but its entries.
HostList parse_list_header(const Json& json) {
  if (!json.is_object()) throw ConfigError("host list: not an object");
  auto seq = json.find("seq"), whole = json.find("whole"), hosts = json.find("hosts");
  if (seq == json.end() || !(seq->is_number() || seq->is_string()))
    throw ConfigError("host list: seq is missing or neither a number nor a string");
  if (whole == json.end() || !whole->is_boolean())
    throw ConfigError("host list: whole is missing or not a boolean");
  if (hosts == json.end() || !hosts->is_array())
    throw ConfigError("host list: hosts is missing or not an array");
  if (hosts->size() > kMaxHosts) throw ConfigError("host list: too many hosts");
  HostList list;
  list.version = scalar_text(*seq);
  if (list.version.empty() || list.version.size() > kMaxNameBytes)
    throw ConfigError("host list: seq is empty or too long");
  list.full = whole->get<bool>();
  return list;
}

HostList to_host_list(const Json& json) {
  HostList list = parse_list_header(json);
  for (const Json& entry : json["hosts"]) list.hosts.push_back(parse_host(entry));
  return list;
}

std::uint64_t parse_seed(const Json& value) {
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  std::string text = scalar_text(value);
  char* end = nullptr;
  std::uint64_t seed = std::strtoull(text.c_str(), &end, 16);
  if (text.empty() || *end) throw ConfigError("seed: '" + text + "' is not a hexadecimal number");
  return seed;
}

const Json& required_member(const Json& json, const char* name) {
  auto it = json.find(name);
  if (it == json.end()) throw ConfigError(std::string(name) + ": missing");
  return *it;
}

std::string optional_text(const Json& json, const char* name) {
  auto it = json.find(name);
  if (it == json.end()) return {};
  if (!it->is_string()) throw ConfigError(std::string(name) + ": must be a string");
  return it->get<std::string>();
}

/// The object `binary`. Unknown names are errors, so that a typing error does not silently leave a
/// default in place.
BinaryRules parse_binary_rules(const Json& json, const robinseam::Settings& settings) {
  using robinseam::ClassSettings, robinseam::Effect;
  auto fail = [](const std::string& name, const std::string& why) {
    return ConfigError("binary." + name + ": " + why);
  };
  if (!json.is_object()) throw ConfigError("binary: must be an object");
  for (const auto& [name, value] : json.items())
    if (name != "clients" && name != "read_class" && name != "write_class" &&
        name != "read_deadline_ms" && name != "write_deadline_ms" && name != "tenants" &&
        name != "idempotency" && name != "server_idempotency" && name != "servers")
      throw fail(name, "no such setting");
  BinaryRules rules;
  auto text = [&](const Json& from, const char* name, const std::string& path) -> std::string {
    auto it = from.find(name);
    if (it == from.end()) return {};
    if (!it->is_string() || it->get_ref<const std::string&>().empty() ||
        it->get_ref<const std::string&>().size() > kMaxNameBytes)
      throw fail(path, "must be a string of 1 to 250 bytes");
    return it->get<std::string>();
  };
  rules.clients = true;
  if (auto it = json.find("clients"); it != json.end()) {
    if (!it->is_boolean()) throw fail("clients", "must be true or false");
    rules.clients = it->get<bool>();
  }
  // Reads use a class whose requests may be repeated, writes one whose requests may not be repeated
  // without an idempotency key.
  auto find_class = [&](const char* name, std::initializer_list<Effect> effects,
                        const char* what) -> const ClassSettings* {
    std::string wanted = text(json, name, name);
    for (Effect effect : effects)
      for (const ClassSettings& c : settings.classes)
        if (c.effect == effect && (wanted.empty() || c.name == wanted)) return &c;
    if (!wanted.empty()) throw fail(name, "'" + wanted + "' is not a class with effect " + what);
    if (rules.clients) throw fail(name, std::string("no class has effect ") + what);
    return nullptr;
  };
  auto deadline_of = [&](const char* name, const ClassSettings* c) -> robinseam::Micros {
    auto it = json.find(name);
    if (!c || it == json.end()) return c ? c->deadline : 0;
    double max_ms = static_cast<double>(c->deadline) / 1000;
    if (!it->is_number() || !(it->get<double>() >= 1) || !(it->get<double>() <= max_ms))
      throw fail(name, "must be a number from 1 to the deadline of class '" + c->name + "', " +
                           std::to_string(c->deadline / 1000));
    return static_cast<robinseam::Micros>(it->get<double>() * 1000);
  };
  const ClassSettings* read = find_class("read_class", {Effect::Repeatable}, "repeatable");
  const ClassSettings* write =
      find_class("write_class", {Effect::Keyed, Effect::Once}, "by_key or once");
  if (read) rules.read_class = read->name;
  if (write) rules.write_class = write->name;
  rules.read_deadline = deadline_of("read_deadline_ms", read);
  rules.write_deadline = deadline_of("write_deadline_ms", write);
  if (!settings.tenants.empty()) rules.default_tenant = settings.tenants.front().name;
  if (auto it = json.find("tenants"); it != json.end()) {
    if (!it->is_array() || it->size() > kMaxBinaryEntries)
      throw fail("tenants",
                 "must be a list with a length of at most " + std::to_string(kMaxBinaryEntries));
    for (const Json& entry : *it) {
      if (!entry.is_object()) throw fail("tenants", "an entry is not an object");
      std::string prefix = text(entry, "prefix", "tenants.prefix");
      std::string tenant = text(entry, "tenant", "tenants.tenant");
      if (prefix.empty()) throw fail("tenants.prefix", "missing");
      bool known = std::any_of(settings.tenants.begin(), settings.tenants.end(),
                               [&](const auto& t) { return t.name == tenant; });
      if (!known) throw fail("tenants.tenant", "'" + tenant + "' is not a tenant in the settings");
      rules.tenants.emplace_back(std::move(prefix), std::move(tenant));
    }
  }
  auto parse_cas_setting = [&](const char* name) {
    std::string value = text(json, name, name);
    if (!value.empty() && value != "none" && value != "cas")
      throw fail(name, "'" + value + "' is neither none nor cas");
    return value == "cas";
  };
  rules.cas_is_idempotency_key = parse_cas_setting("idempotency");
  rules.cas_is_server_key = parse_cas_setting("server_idempotency");
  if (auto it = json.find("servers"); it != json.end()) {
    if (!it->is_array() || it->size() > kMaxBinaryEntries)
      throw fail("servers",
                 "must be a list with a length of at most " + std::to_string(kMaxBinaryEntries));
    for (const Json& entry : *it) {
      if (!entry.is_object()) throw fail("servers", "an entry is not an object");
      for (const auto& [name, value] : entry.items())
        if (name != "kind" && name != "id") throw fail("servers." + name, "no such setting");
      BinaryRules::ServerRule rule{text(entry, "kind", "servers.kind"),
                                   text(entry, "id", "servers.id")};
      if (rule.kind.empty() && rule.id.empty())
        throw fail("servers", "an entry has neither kind nor id");
      rules.servers.push_back(std::move(rule));
    }
  }
  return rules;
}

constexpr std::uint64_t kMaxExtProcNumber = 16u << 20;

/// The object `ext_proc`. As in `binary`, unknown names are errors.
ExtProcSettings parse_ext_proc(const Json& json, const robinseam::Settings& settings) {
  auto fail = [](const std::string& name, const std::string& why) {
    return ConfigError("ext_proc." + name + ": " + why);
  };
  if (!json.is_object()) throw ConfigError("ext_proc: must be an object");
  ExtProcSettings s;
  std::map<std::string, std::string*> texts = {{"listen", &s.listen},
                                               {"key_header", &s.key_header},
                                               {"class_header", &s.class_header},
                                               {"tenant_header", &s.tenant_header},
                                               {"deadline_header", &s.deadline_header},
                                               {"id_header", &s.id_header},
                                               {"idempotency_header", &s.idempotency_header},
                                               {"read_class", &s.read_class},
                                               {"write_class", &s.write_class}};
  std::size_t idle_s = 300, stall_ms = 2000, half_open_ms = 5000;
  std::size_t keepalive_ms = 10'000, keepalive_timeout_ms = 5000;
  std::map<std::string, std::size_t*> numbers = {
      {"connections", &s.max_connections},
      {"streams", &s.max_streams},
      {"streams_per_connection", &s.max_streams_per_connection},
      {"header_bytes", &s.header_bytes},
      {"resets_per_s", &s.resets_per_s},
      {"pings_per_s", &s.pings_per_s},
      {"message_bytes", &s.message_bytes},
      {"stream_window", &s.stream_window},
      {"connection_window", &s.connection_window},
      {"out_bytes", &s.out_bytes},
      {"idle_s", &idle_s},
      {"stall_ms", &stall_ms},
      {"half_open_ms", &half_open_ms},
      {"keepalive_ms", &keepalive_ms},
      {"keepalive_timeout_ms", &keepalive_timeout_ms}};
  for (const auto& [name, value] : json.items()) {
    if (auto text = texts.find(name); text != texts.end()) {
      if (!value.is_string() || value.get_ref<const std::string&>().empty() ||
          value.get_ref<const std::string&>().size() > kMaxNameBytes)
        throw fail(name, "must be a string of 1 to 250 bytes");
      *text->second = value.get<std::string>();
    } else if (auto number = numbers.find(name); number != numbers.end()) {
      if (!value.is_number_unsigned() || value.get<std::uint64_t>() < 1 ||
          value.get<std::uint64_t>() > kMaxExtProcNumber)
        throw fail(name, "must be a whole number from 1 to " + std::to_string(kMaxExtProcNumber));
      *number->second = value.get<std::size_t>();
    } else {
      throw fail(name, "no such setting");
    }
  }
  auto ms = [](std::size_t value) { return static_cast<robinseam::Micros>(value) * 1000; };
  s.idle_timeout = ms(idle_s * 1000);
  s.stall_timeout = ms(stall_ms), s.handshake_timeout = ms(half_open_ms);
  s.keepalive_interval = ms(keepalive_ms), s.keepalive_timeout = ms(keepalive_timeout_ms);
  if (s.listen.empty()) throw fail("listen", "missing");
  // HTTP/2 sends header names in lower case.
  for (const auto& [name, text] : texts)
    if (name.ends_with("_header"))
      for (char& c : *text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  using robinseam::Effect;
  auto choose_class = [&](const char* name, std::string& wanted, bool repeatable) {
    for (const auto& c : settings.classes) {
      bool fits = (c.effect == Effect::Repeatable) == repeatable;
      if (wanted.empty() && fits) wanted = c.name;
      if (c.name == wanted && !fits) break;
      if (c.name == wanted) return;
    }
    throw fail(name, wanted.empty() ? "no class has the required effect"
                                    : "'" + wanted + "' is not a class with the required effect");
  };
  choose_class("read_class", s.read_class, true);
  choose_class("write_class", s.write_class, false);
  if (!settings.tenants.empty()) s.default_tenant = settings.tenants.front().name;
  return s;
}

/// The control address takes a share of the descriptors; with fewer than this, hardly any would be
/// left for clients.
constexpr std::size_t kMinDescriptorsWithControl = 128;

void check_control(const Config& c) {
  if (c.control.empty()) return;
  if (!parse_address(c.control)) throw ConfigError("control: not an address: '" + c.control + "'");
  if (c.sockets < kMinDescriptorsWithControl)
    throw ConfigError("limits.sockets: must be at least 128 with control");
}

robinseam::Micros parse_log_interval(const std::string& text) {
  char* end = nullptr;
  double ms = std::strtod(text.c_str(), &end);
  if (text.empty() || *end || !(ms >= 100 && ms <= 600'000))
    throw ConfigError("log_every_ms: '" + text + "' is not a number from 100 to 600000");
  return static_cast<robinseam::Micros>(ms * 1000);
}

StoreSettings parse_store(const Json& json) {
  if (!json.is_object()) throw ConfigError("store: must be an object");
  StoreSettings s;
  constexpr double kMb = 1 << 20, kSeconds = 1e6;
  for (const auto& [name, value] : json.items()) {
    if (name == "folder" && value.is_string()) {
      s.directory = value.get<std::string>();
      continue;
    }
    bool disk = name == "disk_mb", memory = name == "memory_mb",
         trusted_age = name == "list_taken_s", max_age = name == "list_asked_s";
    if (!disk && !memory && !trusted_age && !max_age)
      throw ConfigError("store." + name +
                        (name == "folder" ? ": must be a string" : ": no such setting"));
    if (!value.is_number() || !(value.get<double>() > 0) || value.get<double>() > 1e6)
      throw ConfigError("store." + name + ": must be a number above 0");
    double number = value.get<double>();
    if (disk) s.disk_bytes = static_cast<std::size_t>(number * kMb);
    if (memory) s.memory_bytes = static_cast<std::size_t>(number * kMb);
    if (trusted_age) s.max_trusted_list_age = static_cast<robinseam::Micros>(number * kSeconds);
    if (max_age) s.max_list_age = static_cast<robinseam::Micros>(number * kSeconds);
  }
  if (s.directory.empty()) throw ConfigError("store.folder: missing");
  if (s.max_list_age < s.max_trusted_list_age)
    throw ConfigError("store.list_asked_s: must not be below list_taken_s");
  return s;
}

Config to_config(const Json& json) {
  if (!json.is_object()) throw ConfigError("NODE_CONFIG: the file is not a JSON object");
  Config c;
  c.name = optional_text(json, "name");
  c.listen = optional_text(json, "listen");
  c.discovery = optional_text(json, "discovery");
  c.control = optional_text(json, "control");
  c.state_dir = optional_text(json, "state_dir");
  if (json.contains("seed")) c.seed = parse_seed(json["seed"]);
  double memory_mb = 192, sockets = 1024;
  if (auto limits = json.find("limits"); limits != json.end()) {
    if (!limits->is_object()) throw ConfigError("limits: must be an object");
    auto number = [&](const char* name, double& value) {
      auto it = limits->find(name);
      if (it == limits->end()) return;
      if (!it->is_number() || !(it->get<double>() > 0))
        throw ConfigError("limits." + std::string(name) + ": must be a number above 0");
      value = it->get<double>();
    };
    number("memory_mb", memory_mb);
    number("sockets", sockets);
  }
  if (auto every = json.find("log_every_ms"); every != json.end())
    c.log_interval = parse_log_interval(scalar_text(*every));
  if (sockets < kMinDescriptors)
    throw ConfigError("limits.sockets: must be at least " + std::to_string(kMinDescriptors));
  c.memory_bytes = static_cast<std::size_t>(std::min(memory_mb, 1e6) * 1048576);
  c.sockets = static_cast<std::size_t>(std::min(sockets, 1e6));
  if (auto known = json.find("known"); known != json.end() && !known->is_null()) {
    try {
      c.initial_list = to_host_list(*known);
    } catch (const ConfigError& e) {
      throw ConfigError(std::string("known: ") + e.what());
    }
  }
  std::map<std::string, std::string> pairs;
  const Json& settings = required_member(json, "settings");
  if (!settings.is_object()) throw ConfigError("settings: must be an object");
  flatten(settings, "", pairs);
  try {
    robinseam::drill::SettingPairs by_path(pairs.begin(), pairs.end());
    c.settings = robinseam::drill::parse_settings(by_path);
    c.connection_settings = robinseam::drill::parse_connection_settings(by_path);
  } catch (const std::runtime_error& e) {
    throw ConfigError(std::string("settings: ") + e.what());
  }
  if (auto binary = json.find("binary"); binary != json.end() && !binary->is_null())
    c.binary = parse_binary_rules(*binary, c.settings);
  if (auto ext = json.find("ext_proc"); ext != json.end() && !ext->is_null()) {
    c.ext_proc = parse_ext_proc(*ext, c.settings);
    if (c.ext_proc->max_connections + 64 > c.sockets)
      throw ConfigError("ext_proc.connections: too many for limits.sockets");
  }
  if (auto store = json.find("store"); store != json.end() && !store->is_null())
    c.store = parse_store(*store);
  check_control(c);
  return c;
}

}  // namespace

HostList parse_host_list(const std::string& json) {
  try {
    return to_host_list(parse_json(json));
  } catch (const Json::exception& e) {
    throw ConfigError(e.what());
  }
}

HostList parse_discovery_answer(const std::string& json) {
  try {
    Json parsed = parse_json(json);
    HostList list = parse_list_header(parsed);
    for (const Json& entry : parsed["hosts"]) {
      try {
        list.hosts.push_back(parse_host(entry));
      } catch (const ConfigError& e) {
        if (list.entry_error.empty()) list.entry_error = e.what();
      }
    }
    return list;
  } catch (const Json::exception& e) {
    throw ConfigError(e.what());
  }
}

std::string host_list_to_json(const HostList& list) {
  Json json = {{"seq", list.version}, {"whole", list.full}, {"hosts", Json::array()}};
  for (const Host& h : list.hosts) {
    const char* health = h.server.health == robinseam::Health::Ready      ? "active"
                         : h.server.health == robinseam::Health::Draining ? "leaving"
                                                                          : "left";
    json["hosts"].push_back({{"host", h.server.id},
                             {"dial", h.dial},
                             {"site", h.server.zone},
                             {"class", h.server.kind},
                             {"block", h.server.cell},
                             {"health", health},
                             {"share", h.server.weight},
                             {"born_ms", h.server.up_since / 1000}});
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Config parse_config(const std::string& json) {
  try {
    return to_config(parse_json(json));
  } catch (const Json::exception& e) {
    throw ConfigError(std::string("NODE_CONFIG: ") + e.what());
  }
}

Config load_config() {
  const char* path = std::getenv("NODE_CONFIG");
  if (!path || !*path) throw ConfigError("NODE_CONFIG: not set");
  return load_config(std::string(path));
}

Config load_config(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text;
  char chunk[4096];
  while (text.size() <= kMaxFileBytes && (file.read(chunk, sizeof chunk) || file.gcount() > 0))
    text.append(chunk, static_cast<std::size_t>(file.gcount()));
  if (!file && !file.eof())
    throw ConfigError(std::string("NODE_CONFIG: cannot read ") + path + ": " +
                      std::strerror(errno));
  if (text.size() > kMaxFileBytes)
    throw ConfigError(std::string("NODE_CONFIG: file too large: ") + path);
  Config c = parse_config(text);
  auto set_if_empty = [](const char* variable, std::string& value) {
    const char* set = std::getenv(variable);
    if (value.empty() && set) value = set;
  };
  set_if_empty("NODE_NAME", c.name);
  set_if_empty("NODE_LISTEN", c.listen);
  set_if_empty("NODE_DISCOVERY", c.discovery);
  set_if_empty("NODE_CONTROL", c.control);
  // Only with a control address. Two routers with the same name and directory count as one router
  // that is being replaced.
  if (!c.control.empty()) set_if_empty("TMPDIR", c.state_dir);
  if (c.listen.empty()) throw ConfigError("listen: missing");
  if (c.discovery.empty()) throw ConfigError("discovery: missing");
  check_control(c);
  return c;
}

}  // namespace arrowfork
