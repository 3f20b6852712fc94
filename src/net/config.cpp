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
constexpr std::size_t kMaxFile = 1u << 20;
// A server's id, place and kind are names and its weight a machine's size next to the others';
// what is far beyond that would only waste memory or upset sums.
constexpr std::size_t kMaxName = 250;
constexpr double kMaxWeight = 1000;
constexpr std::size_t kMaxHosts = 10'000;
// Entries of one list in `binary`; each is looked at for each request or server.
constexpr std::size_t kMaxRules = 4096;

std::string scalar_text(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Writes a JSON tree as the wire's path=value pairs: `A.B`, lists of scalars joined by commas,
/// lists of objects as `.count`, `.0`, `.1` and onward.
void flatten(const Json& value, const std::string& path, std::map<std::string, std::string>& to) {
  auto below = [&](const std::string& name) { return path.empty() ? name : path + '.' + name; };
  if (value.is_object()) {
    for (const auto& [name, item] : value.items()) flatten(item, below(name), to);
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    to[below("count")] = std::to_string(value.size());
    for (std::size_t k = 0; k < value.size(); ++k) flatten(value[k], below(std::to_string(k)), to);
  } else if (value.is_array()) {
    std::string joined;
    for (const Json& item : value) joined += (joined.empty() ? "" : ",") + scalar_text(item);
    to[path] = joined;
  } else if (!value.is_null()) {
    to[path] = scalar_text(value);
  }
}

/// Nesting is bounded: what walks the tree does so by recursion.
Json parse_json(const std::string& text) {
  return Json::parse(text, [](int depth, Json::parse_event_t, Json&) {
    if (depth > kMaxDepth) throw ConfigError("JSON nested too deep");
    return true;
  });
}

Host host_of(const Json& entry) {
  if (!entry.is_object()) throw ConfigError("hosts: an entry is no object");
  auto text = [&](const char* name) {
    auto it = entry.find(name);
    std::string value = it != entry.end() && it->is_string() ? it->get<std::string>() : "";
    if (value.size() > kMaxName) throw ConfigError(std::string("hosts: ") + name + ": too long");
    return value;
  };
  auto figure = [&](const char* name, double absent) {
    auto it = entry.find(name);
    return it != entry.end() && it->is_number() ? it->get<double>() : absent;
  };
  Host h;
  h.server.id = text("host");
  h.dial = text("dial");
  h.server.zone = text("site");
  h.server.kind = text("class");
  h.server.cell = static_cast<std::int64_t>(std::clamp(figure("block", -1), -1.0, 1e15));
  std::string health = text("health");
  if (health == "active")
    h.server.health = robinseam::Health::Ready;
  else if (health == "leaving")
    h.server.health = robinseam::Health::Draining;
  else if (health == "left")
    h.server.health = robinseam::Health::Gone;
  else
    throw ConfigError("hosts: health '" + health + "'");
  h.server.weight = std::clamp(figure("share", 1), 0.0, kMaxWeight);
  // Unix time, and the router's clock has its origin there.
  h.server.up_since =
      static_cast<robinseam::Micros>(std::clamp(figure("born_ms", 0), 0.0, 1e15)) * 1000;
  if (h.server.id.empty()) throw ConfigError("hosts: an entry without host");
  if (h.server.health == robinseam::Health::Ready && h.dial.empty())
    throw ConfigError("hosts: " + h.server.id + " without dial");
  return h;
}

/// A list without its entries.
HostList list_head_of(const Json& json) {
  if (!json.is_object()) throw ConfigError("a host list that is no object");
  auto seq = json.find("seq"), whole = json.find("whole"), hosts = json.find("hosts");
  if (seq == json.end() || !(seq->is_number() || seq->is_string()))
    throw ConfigError("a host list without seq");
  if (whole == json.end() || !whole->is_boolean()) throw ConfigError("a host list without whole");
  if (hosts == json.end() || !hosts->is_array()) throw ConfigError("a host list without hosts");
  if (hosts->size() > kMaxHosts) throw ConfigError("a host list without end");
  HostList list;
  list.version = scalar_text(*seq);
  if (list.version.empty() || list.version.size() > kMaxName)
    throw ConfigError("a host list without seq");
  list.full = whole->get<bool>();
  return list;
}

HostList host_list_of(const Json& json) {
  HostList list = list_head_of(json);
  for (const Json& entry : json["hosts"]) list.hosts.push_back(host_of(entry));
  return list;
}

std::uint64_t seed_of(const Json& value) {
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  std::string text = scalar_text(value);
  char* end = nullptr;
  std::uint64_t seed = std::strtoull(text.c_str(), &end, 16);
  if (text.empty() || *end) throw ConfigError("seed: '" + text + "' is no hex number");
  return seed;
}

const Json& member(const Json& json, const char* name) {
  auto it = json.find(name);
  if (it == json.end()) throw ConfigError(std::string(name) + ": missing");
  return *it;
}

std::string text_of(const Json& json, const char* name) {
  auto it = json.find(name);
  if (it == json.end()) return {};
  if (!it->is_string()) throw ConfigError(std::string(name) + ": no text");
  return it->get<std::string>();
}

/// The object `binary`. Every name in it is known, so that a slip of the pen is no silent default.
BinaryRules binary_of(const Json& json, const robinseam::Settings& settings) {
  using robinseam::ClassSettings, robinseam::Effect;
  auto fail = [](const std::string& name, const std::string& why) {
    return ConfigError("binary." + name + ": " + why);
  };
  if (!json.is_object()) throw ConfigError("binary: no object");
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
        it->get_ref<const std::string&>().size() > kMaxName)
      throw fail(path, "no text of 1 to 250 bytes");
    return it->get<std::string>();
  };
  rules.clients = true;
  if (auto it = json.find("clients"); it != json.end()) {
    if (!it->is_boolean()) throw fail("clients", "neither true nor false");
    rules.clients = it->get<bool>();
  }
  // Reads go to a class that may be repeated, writes to one that may not without a key.
  auto class_of = [&](const char* name, std::initializer_list<Effect> effects,
                      const char* what) -> const ClassSettings* {
    std::string wanted = text(json, name, name);
    for (Effect effect : effects)
      for (const ClassSettings& c : settings.classes)
        if (c.effect == effect && (wanted.empty() || c.name == wanted)) return &c;
    if (!wanted.empty()) throw fail(name, "'" + wanted + "' is no class that is " + what);
    if (rules.clients) throw fail(name, std::string("no class is ") + what);
    return nullptr;
  };
  auto patience = [&](const char* name, const ClassSettings* c) -> robinseam::Micros {
    auto it = json.find(name);
    if (!c || it == json.end()) return c ? c->deadline : 0;
    double most = static_cast<double>(c->deadline) / 1000;
    if (!it->is_number() || !(it->get<double>() >= 1) || !(it->get<double>() <= most))
      throw fail(name, "no number from 1 to the deadline of class '" + c->name + "', " +
                           std::to_string(c->deadline / 1000));
    return static_cast<robinseam::Micros>(it->get<double>() * 1000);
  };
  const ClassSettings* read = class_of("read_class", {Effect::Repeatable}, "repeatable");
  const ClassSettings* write =
      class_of("write_class", {Effect::Keyed, Effect::Once}, "by_key or once");
  if (read) rules.read_class = read->name;
  if (write) rules.write_class = write->name;
  rules.read_deadline = patience("read_deadline_ms", read);
  rules.write_deadline = patience("write_deadline_ms", write);
  if (!settings.tenants.empty()) rules.default_tenant = settings.tenants.front().name;
  if (auto it = json.find("tenants"); it != json.end()) {
    if (!it->is_array() || it->size() > kMaxRules)
      throw fail("tenants", "no list of at most " + std::to_string(kMaxRules));
    for (const Json& one : *it) {
      if (!one.is_object()) throw fail("tenants", "an entry is no object");
      std::string prefix = text(one, "prefix", "tenants.prefix");
      std::string tenant = text(one, "tenant", "tenants.tenant");
      if (prefix.empty()) throw fail("tenants.prefix", "missing");
      bool known = std::any_of(settings.tenants.begin(), settings.tenants.end(),
                               [&](const auto& t) { return t.name == tenant; });
      if (!known) throw fail("tenants.tenant", "'" + tenant + "' is no tenant of the settings");
      rules.tenants.emplace_back(std::move(prefix), std::move(tenant));
    }
  }
  auto cas_is_key = [&](const char* name) {
    std::string value = text(json, name, name);
    if (!value.empty() && value != "none" && value != "cas")
      throw fail(name, "'" + value + "' is neither none nor cas");
    return value == "cas";
  };
  rules.cas_is_idempotency_key = cas_is_key("idempotency");
  rules.cas_is_server_key = cas_is_key("server_idempotency");
  if (auto it = json.find("servers"); it != json.end()) {
    if (!it->is_array() || it->size() > kMaxRules)
      throw fail("servers", "no list of at most " + std::to_string(kMaxRules));
    for (const Json& one : *it) {
      if (!one.is_object()) throw fail("servers", "an entry is no object");
      for (const auto& [name, value] : one.items())
        if (name != "kind" && name != "id") throw fail("servers." + name, "no such setting");
      BinaryRules::ServerRule rule{text(one, "kind", "servers.kind"),
                                   text(one, "id", "servers.id")};
      if (rule.kind.empty() && rule.id.empty())
        throw fail("servers", "an entry with neither kind nor id");
      rules.servers.push_back(std::move(rule));
    }
  }
  return rules;
}

constexpr std::uint64_t kMostFigure = 16u << 20;

/// The object `ext_proc`; as in `binary`, every name is known.
ExtProcSettings ext_proc_of(const Json& json, const robinseam::Settings& settings) {
  auto fail = [](const std::string& name, const std::string& why) {
    return ConfigError("ext_proc." + name + ": " + why);
  };
  if (!json.is_object()) throw ConfigError("ext_proc: no object");
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
  std::map<std::string, std::size_t*> figures = {
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
          value.get_ref<const std::string&>().size() > kMaxName)
        throw fail(name, "no text of 1 to 250 bytes");
      *text->second = value.get<std::string>();
    } else if (auto figure = figures.find(name); figure != figures.end()) {
      if (!value.is_number_unsigned() || value.get<std::uint64_t>() < 1 ||
          value.get<std::uint64_t>() > kMostFigure)
        throw fail(name, "no whole number from 1 to " + std::to_string(kMostFigure));
      *figure->second = value.get<std::size_t>();
    } else {
      throw fail(name, "no such setting");
    }
  }
  auto ms = [](std::size_t figure) { return static_cast<robinseam::Micros>(figure) * 1000; };
  s.idle_timeout = ms(idle_s * 1000);
  s.stall_timeout = ms(stall_ms), s.handshake_timeout = ms(half_open_ms);
  s.keepalive_interval = ms(keepalive_ms), s.keepalive_timeout = ms(keepalive_timeout_ms);
  if (s.listen.empty()) throw fail("listen", "missing");
  // Names of headers come in lower case over HTTP/2.
  for (const auto& [name, text] : texts)
    if (name.ends_with("_header"))
      for (char& c : *text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  using robinseam::Effect;
  auto type = [&](const char* name, std::string& wanted, bool repeatable) {
    for (const auto& c : settings.classes) {
      bool fits = (c.effect == Effect::Repeatable) == repeatable;
      if (wanted.empty() && fits) wanted = c.name;
      if (c.name == wanted && !fits) break;
      if (c.name == wanted) return;
    }
    throw fail(name, wanted.empty() ? "no class fits" : "'" + wanted + "' is no class that fits");
  };
  type("read_class", s.read_class, true);
  type("write_class", s.write_class, false);
  if (!settings.tenants.empty()) s.default_tenant = settings.tenants.front().name;
  return s;
}

/// The control address takes its part of the descriptors; below this clients would have next to
/// none.
constexpr std::size_t kLeastSocketsWithControl = 128;

void check_control(const Config& c) {
  if (c.control.empty()) return;
  if (!parse_address(c.control)) throw ConfigError("control: no address: '" + c.control + "'");
  if (c.sockets < kLeastSocketsWithControl)
    throw ConfigError("limits.sockets: under 128 with control");
}

robinseam::Micros log_every_of(const std::string& text) {
  char* end = nullptr;
  double ms = std::strtod(text.c_str(), &end);
  if (text.empty() || *end || !(ms >= 100 && ms <= 600'000))
    throw ConfigError("log_every_ms: '" + text + "' is no number from 100 to 600000");
  return static_cast<robinseam::Micros>(ms * 1000);
}

StoreSettings store_of(const Json& json) {
  if (!json.is_object()) throw ConfigError("store: no object");
  StoreSettings s;
  constexpr double kMb = 1 << 20, kSeconds = 1e6;
  for (const auto& [name, value] : json.items()) {
    if (name == "folder" && value.is_string()) {
      s.directory = value.get<std::string>();
      continue;
    }
    bool disk = name == "disk_mb", memory = name == "memory_mb", taken = name == "list_taken_s",
         asked = name == "list_asked_s";
    if (!disk && !memory && !taken && !asked)
      throw ConfigError("store." + name + (name == "folder" ? ": no text" : ": no such name"));
    if (!value.is_number() || !(value.get<double>() > 0) || value.get<double>() > 1e6)
      throw ConfigError("store." + name + ": no number above 0");
    double figure = value.get<double>();
    if (disk) s.disk_bytes = static_cast<std::size_t>(figure * kMb);
    if (memory) s.memory_bytes = static_cast<std::size_t>(figure * kMb);
    if (taken) s.max_trusted_list_age = static_cast<robinseam::Micros>(figure * kSeconds);
    if (asked) s.max_list_age = static_cast<robinseam::Micros>(figure * kSeconds);
  }
  if (s.directory.empty()) throw ConfigError("store.folder: missing");
  if (s.max_list_age < s.max_trusted_list_age)
    throw ConfigError("store.list_asked_s: under list_taken_s");
  return s;
}

Config config_of(const Json& json) {
  if (!json.is_object()) throw ConfigError("NODE_CONFIG: the file holds no JSON object");
  Config c;
  c.name = text_of(json, "name");
  c.listen = text_of(json, "listen");
  c.discovery = text_of(json, "discovery");
  c.control = text_of(json, "control");
  c.state_dir = text_of(json, "state_dir");
  if (json.contains("seed")) c.seed = seed_of(json["seed"]);
  double memory_mb = 192, sockets = 1024;
  if (auto limits = json.find("limits"); limits != json.end()) {
    if (!limits->is_object()) throw ConfigError("limits: no object");
    auto figure = [&](const char* name, double& value) {
      auto it = limits->find(name);
      if (it == limits->end()) return;
      if (!it->is_number() || !(it->get<double>() > 0))
        throw ConfigError("limits." + std::string(name) + ": no number above 0");
      value = it->get<double>();
    };
    figure("memory_mb", memory_mb);
    figure("sockets", sockets);
  }
  if (auto every = json.find("log_every_ms"); every != json.end())
    c.log_interval = log_every_of(scalar_text(*every));
  if (sockets < kMinDescriptors)
    throw ConfigError("limits.sockets: under " + std::to_string(kMinDescriptors));
  c.memory_bytes = static_cast<std::size_t>(std::min(memory_mb, 1e6) * 1048576);
  c.sockets = static_cast<std::size_t>(std::min(sockets, 1e6));
  if (auto known = json.find("known"); known != json.end() && !known->is_null()) {
    try {
      c.initial_list = host_list_of(*known);
    } catch (const ConfigError& e) {
      throw ConfigError(std::string("known: ") + e.what());
    }
  }
  std::map<std::string, std::string> pairs;
  const Json& settings = member(json, "settings");
  if (!settings.is_object()) throw ConfigError("settings: no object");
  flatten(settings, "", pairs);
  try {
    robinseam::drill::SettingPairs by_path(pairs.begin(), pairs.end());
    c.settings = robinseam::drill::parse_settings(by_path);
    c.connection_settings = robinseam::drill::parse_connection_settings(by_path);
  } catch (const std::runtime_error& e) {
    throw ConfigError(std::string("settings: ") + e.what());
  }
  if (auto binary = json.find("binary"); binary != json.end() && !binary->is_null())
    c.binary = binary_of(*binary, c.settings);
  if (auto ext = json.find("ext_proc"); ext != json.end() && !ext->is_null()) {
    c.ext_proc = ext_proc_of(*ext, c.settings);
    if (c.ext_proc->max_connections + 64 > c.sockets)
      throw ConfigError("ext_proc.connections: limits.sockets leaves no room for them");
  }
  if (auto store = json.find("store"); store != json.end() && !store->is_null())
    c.store = store_of(*store);
  check_control(c);
  return c;
}

}  // namespace

HostList parse_host_list(const std::string& json) {
  try {
    return host_list_of(parse_json(json));
  } catch (const Json::exception& e) {
    throw ConfigError(e.what());
  }
}

HostList parse_discovery_answer(const std::string& json) {
  try {
    Json parsed = parse_json(json);
    HostList list = list_head_of(parsed);
    for (const Json& entry : parsed["hosts"]) {
      try {
        list.hosts.push_back(host_of(entry));
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
    return config_of(parse_json(json));
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
  char part[4096];
  while (text.size() <= kMaxFile && (file.read(part, sizeof part) || file.gcount() > 0))
    text.append(part, static_cast<std::size_t>(file.gcount()));
  if (!file && !file.eof())
    throw ConfigError(std::string("NODE_CONFIG: cannot read ") + path + ": " +
                      std::strerror(errno));
  if (text.size() > kMaxFile) throw ConfigError(std::string("NODE_CONFIG: too long: ") + path);
  Config c = parse_config(text);
  auto fill = [](const char* variable, std::string& value) {
    const char* set = std::getenv(variable);
    if (value.empty() && set) value = set;
  };
  fill("NODE_NAME", c.name);
  fill("NODE_LISTEN", c.listen);
  fill("NODE_DISCOVERY", c.discovery);
  fill("NODE_CONTROL", c.control);
  // Only where operators drive it: two routers of one name and one folder are one, being replaced.
  if (!c.control.empty()) fill("TMPDIR", c.state_dir);
  if (c.listen.empty()) throw ConfigError("listen: missing");
  if (c.discovery.empty()) throw ConfigError("discovery: missing");
  check_control(c);
  return c;
}

}  // namespace arrowfork
