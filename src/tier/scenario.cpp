#include "scenario.hpp"

#include <array>
#include <fstream>
#include <limits>
#include <sstream>
#include <stdexcept>

#include "toml_reader.hpp"

namespace arrowfork::tier {
namespace {

constexpr Micros kLongest = 600 * kSecond;
// As large as any list elsewhere; what a machine bears of it is its own limit on processes and
// descriptors, which the stage raises to what the system allows.
constexpr int kMostRouters = 1024, kMostCaches = 1024;

template <class E>
struct Named {
  const char* name;
  E value;
};

constexpr std::array<Named<Known>, 3> kKnown{
    {{"now", Known::Now}, {"none", Known::None}, {"old", Known::Old}}};
constexpr std::array<Named<State>, 5> kStates{{{"kept", State::Kept},
                                               {"wiped", State::Wiped},
                                               {"old", State::Old},
                                               {"other", State::Other},
                                               {"cut", State::Cut}}};
constexpr std::array<Named<robinseam::Group>, 3> kGroups{{{"all", robinseam::Group::All},
                                                          {"zone", robinseam::Group::Zone},
                                                          {"cell", robinseam::Group::Cell}}};
constexpr std::array<Named<Action::Verb>, 11> kVerbs{{{"kill", Action::Verb::Kill},
                                                      {"term", Action::Verb::Term},
                                                      {"stop", Action::Verb::Stop},
                                                      {"continue", Action::Verb::Continue},
                                                      {"reload", Action::Verb::Reload},
                                                      {"upgrade", Action::Verb::Upgrade},
                                                      {"link", Action::Verb::Link},
                                                      {"cache", Action::Verb::Cache},
                                                      {"discovery", Action::Verb::Discovery},
                                                      {"origin", Action::Verb::Origin},
                                                      {"load", Action::Verb::Load}}};
constexpr std::array<Named<Action::Cache>, 10> kCache{{{"well", Action::Cache::Well},
                                                       {"slow", Action::Cache::Slow},
                                                       {"full", Action::Cache::Full},
                                                       {"silent", Action::Cache::Silent},
                                                       {"failing", Action::Cache::Failing},
                                                       {"cold", Action::Cache::Cold},
                                                       {"drain", Action::Cache::Drain},
                                                       {"twice", Action::Cache::Twice},
                                                       {"leave", Action::Cache::Leave},
                                                       {"replace", Action::Cache::Replace}}};
constexpr std::array<Named<Action::Way>, 3> kWays{
    {{"tills > routers", Action::Way::TillsToRouters},
     {"routers > caches", Action::Way::RoutersToCaches},
     {"routers > discovery", Action::Way::RoutersToDiscovery}}};
constexpr std::array<Named<LinkFault::Kind>, 7> kFaults{{{"none", LinkFault::Kind::None},
                                                         {"delay", LinkFault::Kind::Delay},
                                                         {"slow", LinkFault::Kind::Slow},
                                                         {"cut", LinkFault::Kind::Cut},
                                                         {"silent", LinkFault::Kind::Silent},
                                                         {"reset", LinkFault::Kind::Reset},
                                                         {"refuse", LinkFault::Kind::Refuse}}};
constexpr std::array<Named<Hold::What>, 12> kHolds{{{"served", Hold::What::Served},
                                                    {"in_time", Hold::What::InTime},
                                                    {"unserved", Hold::What::Unserved},
                                                    {"full_service", Hold::What::FullService},
                                                    {"first_served", Hold::What::FirstServed},
                                                    {"list_calls", Hold::What::ListCalls},
                                                    {"dials", Hold::What::Dials},
                                                    {"begun", Hold::What::Begun},
                                                    {"fetches", Hold::What::Fetches},
                                                    {"sent", Hold::What::Sent},
                                                    {"calls", Hold::What::Calls},
                                                    {"starts", Hold::What::Starts}}};

template <class E, std::size_t N>
void named(TableReader& t, const char* name, const std::array<Named<E>, N>& all, E& value) {
  std::vector<std::string> words;
  for (const auto& one : all) words.emplace_back(one.name);
  std::string word = words.front();
  for (const auto& one : all)
    if (one.value == value) word = one.name;
  t.word(name, word, words);
  for (const auto& one : all)
    if (word == one.name) value = one.value;
}

void must(TableReader& t, const char* name) {
  if (!t.has(name)) t.fault(std::string("no ") + name);
}

void read_link(TableReader& t, const Scenario& s, Action& a) {
  must(t, "way"), must(t, "fault");
  named(t, "way", kWays, a.way);
  named(t, "fault", kFaults, a.fault.kind);
  t.group("caches", a.caches, s.caches);
  t.span("lasts", a.lasts, 0, kLongest);
  switch (a.fault.kind) {
    case LinkFault::Kind::Delay:
      must(t, "delay");
      t.span("delay", a.fault.delay, 0, kLongest);
      break;
    case LinkFault::Kind::Slow:
      must(t, "bytes_per_s");
      t.number("bytes_per_s", a.fault.bytes_per_s, 1, 1e12);
      break;
    case LinkFault::Kind::Reset: {
      double bytes = 0;
      must(t, "bytes");
      t.number("bytes", bytes, 0, 1e12);
      a.fault.bytes = static_cast<std::uint64_t>(bytes);
      break;
    }
    case LinkFault::Kind::Cut: {
      std::string direction = "both";
      t.word("direction", direction, {"both", "onward", "back"});
      a.fault.onward = direction != "back", a.fault.back = direction != "onward";
      break;
    }
    default:
      break;
  }
}

void read_action(TableReader& t, Scenario& s) {
  using Verb = Action::Verb;
  Action a;
  must(t, "at"), must(t, "what");
  t.span("at", a.at, 0, s.lasts);
  named(t, "what", kVerbs, a.verb);
  t.text("label", a.label);
  bool on_routers = a.verb <= Verb::Link;
  if (on_routers) {
    must(t, "routers");
    t.group("routers", a.routers, s.routers);
  }
  if (a.verb < Verb::Link || a.verb == Verb::Cache) t.span("each", a.each, 0, s.lasts);
  t.integer("times", a.times, 1, 10'000);
  t.span("every", a.every, 0, s.lasts);
  if (a.times > 1 && a.every == 0) t.fault("times without every");
  switch (a.verb) {
    case Verb::Kill:
    case Verb::Term:
      t.span("start_after", a.start_after, 0, s.lasts);
      named(t, "known", kKnown, a.known);
      if (t.has("state") && !s.store) t.fault("state needs routers.store = true");
      named(t, "state", kStates, a.state);
      t.json("config", a.config);
      break;
    case Verb::Stop:
      t.span("lasts", a.lasts, 0, s.lasts);
      break;
    case Verb::Reload:
      t.json("config", a.config);
      t.flag("moves", a.moves);
      break;
    case Verb::Upgrade:
      if (!s.control) t.fault("an upgrade needs routers.control = true");
      break;
    case Verb::Link:
      read_link(t, s, a);
      break;
    case Verb::Cache: {
      must(t, "caches"), must(t, "state");
      t.group("caches", a.caches, s.caches);
      named(t, "state", kCache, a.cache);
      t.span("lasts", a.lasts, 0, s.lasts);
      if (a.cache == Action::Cache::Slow) must(t, "factor");
      t.number("factor", a.factor, 1, 1e6);
      std::string address = "new";
      if (a.cache == Action::Cache::Replace) t.word("address", address, {"new", "same"});
      a.same_address = address == "same";
      break;
    }
    case Verb::Discovery:
      t.word("state", a.discovery,
             {"", "none", "slow", "silent", "down", "spoilt", "half", "reset", "forget", "mute"});
      t.span("work", a.work, 0, kLongest);
      t.span("most_wait", a.most_wait, 0, kLongest);
      t.span("lasts", a.lasts, 0, s.lasts);
      break;
    case Verb::Origin:
    case Verb::Load:
      must(t, "factor");
      t.number("factor", a.factor, 0.001, 1e6);
      t.span("lasts", a.lasts, 0, s.lasts);
      break;
    default:
      break;
  }
  if (a.at + (a.times - 1) * a.every + std::max<Micros>(0, a.start_after) > s.lasts)
    t.fault("goes on past the end of the scenario");
  if (a.label.empty())
    for (const auto& one : kVerbs)
      if (one.value == a.verb) a.label = one.name;
  s.actions.push_back(std::move(a));
}

void read_hold(TableReader& t, Scenario& s) {
  using What = Hold::What;
  Hold h;
  h.to = s.lasts;
  must(t, "what");
  named(t, "what", kHolds, h.what);
  for (const auto& one : kHolds)
    if (one.value == h.what) h.label = one.name;
  t.span("from", h.from, 0, s.lasts);
  t.span("to", h.to, 0, s.lasts);
  if (h.to <= h.from) t.fault("to is not after from");
  if (h.what == What::Served || h.what == What::FirstServed)
    t.group("routers", h.routers, s.routers);
  if (h.what == What::Dials || h.what == What::Begun || h.what == What::Sent)
    t.group("caches", h.caches, s.caches);
  if (h.what >= What::ListCalls && h.what <= What::Fetches)
    t.span("window", h.window, kMillisecond, s.lasts);
  if (h.what == What::FirstServed) t.number("part", h.part, 0, 1);
  h.is_time = h.what == What::FullService || h.what == What::FirstServed;
  auto bound = [&](const char* name, double& value, bool& has) {
    has = t.has(name);
    Micros span = 0;
    if (h.is_time)
      t.span(name, span, 0, kLongest), value = static_cast<double>(span);
    else
      t.number(name, value, 0, 1e12);
  };
  bound("least", h.least, h.has_least);
  bound("most", h.most, h.has_most);
  if (!h.has_least && !h.has_most) t.fault("neither least nor most");
  s.holds.push_back(std::move(h));
}

}  // namespace

Scenario parse_scenario(const std::string& text, const std::string& name) {
  Faults faults(name);
  Scenario s;
  try {
    toml::table file = toml::parse(text, name);
    TableReader t(file, "", faults);
    must(t, "name");
    t.text("name", s.name);
    t.text("about", s.about);
    int seed = 1;
    t.integer("seed", seed, 0, std::numeric_limits<int>::max());
    s.seed = static_cast<std::uint64_t>(seed);
    t.span("lasts", s.lasts, kSecond, kLongest);
    t.span("slack", s.slack, 0, kLongest);
    t.table("routers", [&](TableReader& r) {
      r.integer("count", s.routers, 1, kMostRouters);
      r.word("program", s.program, {"wheeldeal", "arrowfork"});
      r.integer("sockets", s.sockets, 64, 1 << 16);
      named(r, "known", kKnown, s.known);
      r.flag("control", s.control);
      r.flag("store", s.store);
      r.json("config", s.config);
      r.span("ask_within", s.ask_within, kSecond, kLongest);
    });
    t.table("caches", [&](TableReader& r) {
      r.integer("count", s.caches, 1, kMostCaches);
      r.integer("cores", s.cores, 1, 64);
      r.integer("waiting", s.waiting, 0, 10'000);
      r.integer("room", s.room, 0, 100'000);
      r.span("work", s.work, 100, 10 * kSecond);
      r.number("work_cv", s.work_cv, 0, 10);
      r.integer("keeps", s.keeps, 1, 1'000'000);
      r.flag("warm", s.warm);
      r.span("cold_time", s.cold_time, kMillisecond, kLongest);
    });
    t.table("origin", [&](TableReader& r) {
      r.integer("places", s.origin_places, 1, 10'000);
      r.span("work", s.origin_work, 100, 10 * kSecond);
    });
    t.table("discovery", [&](TableReader& r) {
      r.span("work", s.discovery_capacity.work, 0, kLongest);
      r.span("most_wait", s.discovery_capacity.most_wait, 0, kLongest);
      r.integer("line", s.discovery_capacity.line, 0, 10'000);
      r.flag("works_on_expired", s.discovery_capacity.works_on_expired);
      r.flag("one_each", s.discovery_capacity.one_each);
      r.flag("pushed", s.pushed);
    });
    t.table("load", [&](TableReader& r) {
      r.number("rate", s.rate, 0.1, 20'000);
      r.number("writes", s.writes, 0, 1);
      r.integer("keys", s.keys, 1, 1'000'000);
      r.integer("tries", s.tries, 1, 100);
      r.span("pause", s.pause, 0, kLongest);
      r.flag("marks_retry", s.marks_retry);
      r.span("key_ttl", s.key_ttl, kMillisecond, kLongest);
      named(r, "group", kGroups, s.group);
      r.flag("elsewhere", s.elsewhere);
      r.span("notice", s.notice, 0, kLongest);
    });
    t.tables("do", [&](TableReader& r) { read_action(r, s); });
    t.tables("hold", [&](TableReader& r) { read_hold(r, s); });
    t.finish();
  } catch (const toml::parse_error& e) {
    faults.add(e.source(), std::string(e.description()));
  }
  if (!faults.all().empty()) {
    std::string all;
    for (const std::string& one : faults.all()) all += (all.empty() ? "" : "\n") + one;
    throw std::runtime_error(all);
  }
  return s;
}

Scenario read_scenario(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw std::runtime_error(path + ": can't be read");
  return parse_scenario(text.str(), path);
}

}  // namespace arrowfork::tier
