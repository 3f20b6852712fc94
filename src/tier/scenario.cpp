#include "scenario.hpp"

#include <array>
#include <fstream>
#include <limits>
#include <sstream>
#include <stdexcept>

#include "toml_reader.hpp"

namespace arrowfork::tier {
namespace {

constexpr Micros kMaxDuration = 600 * kSecond;
// The bound on server lists elsewhere. What a machine can run of it depends on its limits on
// processes and descriptors; the runner raises the latter as far as the system allows.
constexpr int kMaxRouters = 1024, kMaxCaches = 1024;

template <class E>
struct NamedValue {
  const char* name;
  E value;
};

constexpr std::array<NamedValue<InitialList>, 3> kInitialLists{
    {{"now", InitialList::Current}, {"none", InitialList::None}, {"old", InitialList::Old}}};
constexpr std::array<NamedValue<StoredState>, 5> kStoredStates{{{"kept", StoredState::Kept},
                                                                {"wiped", StoredState::Wiped},
                                                                {"old", StoredState::Old},
                                                                {"other", StoredState::OtherRouter},
                                                                {"cut", StoredState::Truncated}}};
constexpr std::array<NamedValue<robinseam::Group>, 3> kGroups{{{"all", robinseam::Group::All},
                                                               {"zone", robinseam::Group::Zone},
                                                               {"cell", robinseam::Group::Cell}}};
constexpr std::array<NamedValue<Action::Kind>, 11> kActionKinds{
    {{"kill", Action::Kind::Kill},
     {"term", Action::Kind::Term},
     {"stop", Action::Kind::Stop},
     {"continue", Action::Kind::Continue},
     {"reload", Action::Kind::Reload},
     {"upgrade", Action::Kind::Upgrade},
     {"link", Action::Kind::Link},
     {"cache", Action::Kind::Cache},
     {"discovery", Action::Kind::Discovery},
     {"origin", Action::Kind::Origin},
     {"load", Action::Kind::Load}}};
constexpr std::array<NamedValue<Action::CacheChange>, 10> kCacheChanges{
    {{"well", Action::CacheChange::Recover},
     {"slow", Action::CacheChange::Slow},
     {"full", Action::CacheChange::Reject},
     {"silent", Action::CacheChange::Silent},
     {"failing", Action::CacheChange::Fail},
     {"cold", Action::CacheChange::RestartCold},
     {"drain", Action::CacheChange::Drain},
     {"twice", Action::CacheChange::DrainAndLeave},
     {"leave", Action::CacheChange::Leave},
     {"replace", Action::CacheChange::Replace}}};
constexpr std::array<NamedValue<Action::LinkPath>, 3> kLinkPaths{
    {{"tills > routers", Action::LinkPath::TillsToRouters},
     {"routers > caches", Action::LinkPath::RoutersToCaches},
     {"routers > discovery", Action::LinkPath::RoutersToDiscovery}}};
constexpr std::array<NamedValue<LinkFault::Kind>, 7> kLinkFaults{
    {{"none", LinkFault::Kind::None},
     {"delay", LinkFault::Kind::Delay},
     {"slow", LinkFault::Kind::Slow},
     {"cut", LinkFault::Kind::Cut},
     {"silent", LinkFault::Kind::Silent},
     {"reset", LinkFault::Kind::Reset},
     {"refuse", LinkFault::Kind::Refuse}}};
constexpr std::array<NamedValue<Claim::Metric>, 12> kMetrics{
    {{"served", Claim::Metric::ServedShare},
     {"in_time", Claim::Metric::InTimeShare},
     {"unserved", Claim::Metric::UnservedCount},
     {"full_service", Claim::Metric::FullServiceTime},
     {"first_served", Claim::Metric::FirstServedTime},
     {"list_calls", Claim::Metric::PeakListCalls},
     {"dials", Claim::Metric::PeakDials},
     {"begun", Claim::Metric::PeakAttempts},
     {"fetches", Claim::Metric::PeakFetches},
     {"sent", Claim::Metric::TotalAttempts},
     {"calls", Claim::Metric::TotalListCalls},
     {"starts", Claim::Metric::TotalStarts}}};

template <class E, std::size_t N>
void read_choice(TableReader& t, const char* name, const std::array<NamedValue<E>, N>& all,
                 E& value) {
  std::vector<std::string> names;
  for (const auto& entry : all) names.emplace_back(entry.name);
  std::string name_read = names.front();
  for (const auto& entry : all)
    if (entry.value == value) name_read = entry.name;
  t.choice(name, name_read, names);
  for (const auto& entry : all)
    if (name_read == entry.name) value = entry.value;
}

void require(TableReader& t, const char* name) {
  if (!t.has(name)) t.error(std::string("missing key ") + name);
}

void read_link(TableReader& t, const Scenario& s, Action& a) {
  require(t, "way"), require(t, "fault");
  read_choice(t, "way", kLinkPaths, a.path);
  read_choice(t, "fault", kLinkFaults, a.link_fault.kind);
  t.group("caches", a.caches, s.cache_count);
  t.duration("lasts", a.duration, 0, kMaxDuration);
  switch (a.link_fault.kind) {
    case LinkFault::Kind::Delay:
      require(t, "delay");
      t.duration("delay", a.link_fault.delay, 0, kMaxDuration);
      break;
    case LinkFault::Kind::Slow:
      require(t, "bytes_per_s");
      t.number("bytes_per_s", a.link_fault.bytes_per_s, 1, 1e12);
      break;
    case LinkFault::Kind::Reset: {
      double bytes = 0;
      require(t, "bytes");
      t.number("bytes", bytes, 0, 1e12);
      a.link_fault.bytes = static_cast<std::uint64_t>(bytes);
      break;
    }
    case LinkFault::Kind::Cut: {
      std::string direction = "both";
      t.choice("direction", direction, {"both", "onward", "back"});
      a.link_fault.blocks_forward = direction != "back",
      a.link_fault.blocks_backward = direction != "onward";
      break;
    }
    default:
      break;
  }
}

void read_action(TableReader& t, Scenario& s) {
  using Kind = Action::Kind;
  Action a;
  require(t, "at"), require(t, "what");
  t.duration("at", a.at, 0, s.duration);
  read_choice(t, "what", kActionKinds, a.kind);
  t.text("label", a.label);
  bool acts_on_routers = a.kind <= Kind::Link;
  if (acts_on_routers) {
    require(t, "routers");
    t.group("routers", a.routers, s.router_count);
  }
  if (a.kind < Kind::Link || a.kind == Kind::Cache) t.duration("each", a.stagger, 0, s.duration);
  t.integer("times", a.repetitions, 1, 10'000);
  t.duration("every", a.interval, 0, s.duration);
  if (a.repetitions > 1 && a.interval == 0) t.error("times needs every");
  switch (a.kind) {
    case Kind::Kill:
    case Kind::Term:
      t.duration("start_after", a.restart_delay, 0, s.duration);
      read_choice(t, "known", kInitialLists, a.initial_list);
      if (t.has("state") && !s.store) t.error("state needs routers.store = true");
      read_choice(t, "state", kStoredStates, a.stored_state);
      t.json("config", a.config);
      break;
    case Kind::Stop:
      t.duration("lasts", a.duration, 0, s.duration);
      break;
    case Kind::Reload:
      t.json("config", a.config);
      t.flag("moves", a.changes_discovery_address);
      break;
    case Kind::Upgrade:
      if (!s.control) t.error("an upgrade needs routers.control = true");
      break;
    case Kind::Link:
      read_link(t, s, a);
      break;
    case Kind::Cache: {
      require(t, "caches"), require(t, "state");
      t.group("caches", a.caches, s.cache_count);
      read_choice(t, "state", kCacheChanges, a.cache_change);
      t.duration("lasts", a.duration, 0, s.duration);
      if (a.cache_change == Action::CacheChange::Slow) require(t, "factor");
      t.number("factor", a.factor, 1, 1e6);
      std::string address = "new";
      if (a.cache_change == Action::CacheChange::Replace)
        t.choice("address", address, {"new", "same"});
      a.same_address = address == "same";
      break;
    }
    case Kind::Discovery:
      t.choice("state", a.discovery_state,
               {"", "none", "slow", "silent", "down", "spoilt", "half", "reset", "forget", "mute"});
      t.duration("work", a.work_time, 0, kMaxDuration);
      t.duration("most_wait", a.max_wait, 0, kMaxDuration);
      t.duration("lasts", a.duration, 0, s.duration);
      break;
    case Kind::Origin:
    case Kind::Load:
      require(t, "factor");
      t.number("factor", a.factor, 0.001, 1e6);
      t.duration("lasts", a.duration, 0, s.duration);
      break;
    default:
      break;
  }
  if (a.at + (a.repetitions - 1) * a.interval + std::max<Micros>(0, a.restart_delay) > s.duration)
    t.error("extends beyond the end of the scenario");
  if (a.label.empty())
    for (const auto& entry : kActionKinds)
      if (entry.value == a.kind) a.label = entry.name;
  s.actions.push_back(std::move(a));
}

void read_claim(TableReader& t, Scenario& s) {
  using Metric = Claim::Metric;
  Claim h;
  h.to = s.duration;
  require(t, "what");
  read_choice(t, "what", kMetrics, h.metric);
  for (const auto& entry : kMetrics)
    if (entry.value == h.metric) h.label = entry.name;
  t.duration("from", h.from, 0, s.duration);
  t.duration("to", h.to, 0, s.duration);
  if (h.to <= h.from) t.error("to must be after from");
  if (h.metric == Metric::ServedShare || h.metric == Metric::FirstServedTime)
    t.group("routers", h.routers, s.router_count);
  if (h.metric == Metric::PeakDials || h.metric == Metric::PeakAttempts ||
      h.metric == Metric::TotalAttempts)
    t.group("caches", h.caches, s.cache_count);
  if (h.metric >= Metric::PeakListCalls && h.metric <= Metric::PeakFetches)
    t.duration("window", h.window, kMillisecond, s.duration);
  if (h.metric == Metric::FirstServedTime) t.number("part", h.quantile, 0, 1);
  h.is_duration = h.metric == Metric::FullServiceTime || h.metric == Metric::FirstServedTime;
  auto bound = [&](const char* name, double& value, bool& has) {
    has = t.has(name);
    Micros span = 0;
    if (h.is_duration)
      t.duration(name, span, 0, kMaxDuration), value = static_cast<double>(span);
    else
      t.number(name, value, 0, 1e12);
  };
  bound("least", h.min, h.has_min);
  bound("most", h.max, h.has_max);
  if (!h.has_min && !h.has_max) t.error("needs least or most");
  s.claims.push_back(std::move(h));
}

}  // namespace

Scenario parse_scenario(const std::string& text, const std::string& name) {
  ErrorList errors(name);
  Scenario s;
  try {
    toml::table file = toml::parse(text, name);
    TableReader t(file, "", errors);
    require(t, "name");
    t.text("name", s.name);
    t.text("about", s.description);
    int seed = 1;
    t.integer("seed", seed, 0, std::numeric_limits<int>::max());
    s.seed = static_cast<std::uint64_t>(seed);
    t.duration("lasts", s.duration, kSecond, kMaxDuration);
    t.duration("slack", s.slack, 0, kMaxDuration);
    t.table("routers", [&](TableReader& r) {
      r.integer("count", s.router_count, 1, kMaxRouters);
      r.choice("program", s.program, {"wheeldeal", "arrowfork"});
      r.integer("sockets", s.max_sockets, 64, 1 << 16);
      read_choice(r, "known", kInitialLists, s.initial_list);
      r.flag("control", s.control);
      r.flag("store", s.store);
      r.json("config", s.config);
      r.duration("ask_within", s.max_poll_delay, kSecond, kMaxDuration);
    });
    t.table("caches", [&](TableReader& r) {
      r.integer("count", s.cache_count, 1, kMaxCaches);
      r.integer("cores", s.cores, 1, 64);
      r.integer("waiting", s.queue_slots, 0, 10'000);
      r.integer("room", s.max_connections, 0, 100'000);
      r.duration("work", s.work_time, 100, 10 * kSecond);
      r.number("work_cv", s.work_time_cv, 0, 10);
      r.integer("keeps", s.keys_per_cache, 1, 1'000'000);
      r.flag("warm", s.warm);
      r.duration("cold_time", s.cold_time, kMillisecond, kMaxDuration);
    });
    t.table("origin", [&](TableReader& r) {
      r.integer("places", s.origin_slots, 1, 10'000);
      r.duration("work", s.origin_work_time, 100, 10 * kSecond);
    });
    t.table("discovery", [&](TableReader& r) {
      r.duration("work", s.discovery_capacity.service_time, 0, kMaxDuration);
      r.duration("most_wait", s.discovery_capacity.max_wait, 0, kMaxDuration);
      r.integer("line", s.discovery_capacity.max_queue, 0, 10'000);
      r.flag("works_on_expired", s.discovery_capacity.serves_expired_calls);
      r.flag("one_each", s.discovery_capacity.one_call_per_caller);
      r.flag("pushed", s.pushed_lists);
    });
    t.table("load", [&](TableReader& r) {
      r.number("rate", s.first_tries_per_s, 0.1, 20'000);
      r.number("writes", s.write_share, 0, 1);
      r.integer("keys", s.key_count, 1, 1'000'000);
      r.integer("tries", s.max_tries, 1, 100);
      r.duration("pause", s.retry_pause, 0, kMaxDuration);
      r.flag("marks_retry", s.marks_retries);
      r.duration("key_ttl", s.key_ttl, kMillisecond, kMaxDuration);
      read_choice(r, "group", kGroups, s.dedup_group);
      r.flag("elsewhere", s.retry_elsewhere);
      r.duration("notice", s.failure_detection_time, 0, kMaxDuration);
    });
    t.tables("do", [&](TableReader& r) { read_action(r, s); });
    t.tables("hold", [&](TableReader& r) { read_claim(r, s); });
    t.reject_unknown_keys();
  } catch (const toml::parse_error& e) {
    errors.add(e.source(), std::string(e.description()));
  }
  if (!errors.all().empty()) {
    std::string message;
    for (const std::string& entry : errors.all()) message += (message.empty() ? "" : "\n") + entry;
    throw std::runtime_error(message);
  }
  return s;
}

Scenario read_scenario(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw std::runtime_error(path + ": cannot be read");
  return parse_scenario(text.str(), path);
}

}  // namespace arrowfork::tier
