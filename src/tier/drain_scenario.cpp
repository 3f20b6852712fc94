#include "drain_scenario.hpp"

#include <random>

namespace arrowfork::tier {
namespace {

constexpr Micros kDuration = 22 * kSecond;
constexpr Micros kFirstFault = 3 * kSecond, kLastFault = 10 * kSecond;
constexpr int kCaches = 8;
// At most this many caches leave; the others carry the load.
constexpr int kMaxDrains = 4;

class ScenarioGenerator {
 public:
  ScenarioGenerator(std::uint64_t seed, bool pushed) : random_(seed * 2 + (pushed ? 1 : 0)) {
    scenario_.name = "drains with faults around them, seed " + std::to_string(seed) +
                     (pushed ? ", lists pushed" : ", lists asked for");
    scenario_.seed = seed;
    scenario_.duration = kDuration;
    scenario_.program = "arrowfork";
    scenario_.router_count = 2 + random_below(7);
    scenario_.cache_count = kCaches;
    scenario_.first_tries_per_s = 150;
    scenario_.pushed_lists = pushed;
  }

  Scenario generate() {
    int faults = 1 + random_below(3);
    for (int k = 0; k < faults; ++k) add_fault();
    int drains = 1 + random_below(kMaxDrains);
    for (int cache = 0; cache < drains; ++cache) add_drain(cache);
    return scenario_;
  }

 private:
  double random_share() { return std::uniform_real_distribution<>()(random_); }
  int random_below(int n) { return static_cast<int>(random_share() * n); }
  Micros random_between(Micros from, Micros to) {
    return from + static_cast<Micros>(random_share() * static_cast<double>(to - from));
  }
  Action& add_action(Action::Kind kind, Micros at, const char* label) {
    Action a;
    a.kind = kind, a.at = at, a.label = label;
    scenario_.actions.push_back(a);
    return scenario_.actions.back();
  }
  std::vector<int> some_routers() {
    std::vector<int> selected;
    for (int r = 0; r < scenario_.router_count; ++r)
      if (random_share() < 0.6) selected.push_back(r);
    if (selected.empty()) selected.push_back(random_below(scenario_.router_count));
    return selected;
  }
  std::vector<int> all_routers() {
    std::vector<int> all;
    for (int r = 0; r < scenario_.router_count; ++r) all.push_back(r);
    return all;
  }

  void add_discovery_fault(const char* state, Micros at, Micros duration) {
    Action& a = add_action(Action::Kind::Discovery, at, state);
    a.discovery_state = state;
    a.duration = duration;
  }
  void add_restart(Action::Kind kind, Micros at) {
    Action& a = add_action(kind, at, kind == Action::Kind::Kill ? "kill" : "term");
    a.routers = some_routers();
    a.restart_delay = random_between(0, 8 * kSecond);
    a.initial_list = random_share() < 0.7 ? InitialList::Old : InitialList::Current;
  }
  void add_reloads(Micros at) {
    Action& a = add_action(Action::Kind::Reload, at, "another address of discovery");
    a.routers = all_routers();
    a.changes_discovery_address = true;
    a.repetitions = 1 + random_below(6);
    a.interval = random_between(300 * kMillisecond, 1500 * kMillisecond);
    if (random_share() < 0.5) add_discovery_fault("slow", at, a.repetitions * a.interval + kSecond);
  }

  void add_fault() {
    Micros at = random_between(kFirstFault, kLastFault),
           duration = random_between(kSecond / 2, 6 * kSecond);
    switch (random_below(10)) {
      case 0:
        return add_discovery_fault("down", at, duration);
      case 1:
        return add_discovery_fault("silent", at, duration);
      case 2:
        return add_discovery_fault("reset", at, duration);
      case 3:
        return add_discovery_fault(random_share() < 0.5 ? "half" : "spoilt", at, duration);
      case 4:
        return add_discovery_fault("slow", at, duration);
      case 5:
        add_action(Action::Kind::Discovery, at, "watches silent").discovery_state = "mute";
        return;
      case 6:
        return add_restart(Action::Kind::Kill, at);
      case 7:
        return add_restart(Action::Kind::Term, at);
      case 8: {
        Action& a = add_action(Action::Kind::Stop, at, "stop");
        a.routers = some_routers();
        a.duration = random_between(100 * kMillisecond, 3 * kSecond);
        return;
      }
      default:
        return add_reloads(at);
    }
  }

  void add_drain(int cache) {
    static const Action::CacheChange kinds[] = {
        Action::CacheChange::Drain, Action::CacheChange::Drain, Action::CacheChange::DrainAndLeave,
        Action::CacheChange::Silent};
    const Action& nearby_fault = scenario_.actions[static_cast<std::size_t>(
        random_below(static_cast<int>(scenario_.actions.size())))];
    Micros at = random_between(nearby_fault.at - kSecond, nearby_fault.at + 4 * kSecond);
    Action::CacheChange kind = kinds[random_below(4)];
    if (kind == Action::CacheChange::Silent) {  // requests pile up in its buffers before it drains
      Action& hang = add_action(Action::Kind::Cache, at, "hangs");
      hang.caches = {cache};
      hang.cache_change = Action::CacheChange::Silent;
      at += 500 * kMillisecond;
      kind = Action::CacheChange::Drain;
    }
    Action& a = add_action(Action::Kind::Cache, at,
                           kind == Action::CacheChange::DrainAndLeave ? "named twice" : "drains");
    a.caches = {cache};
    a.cache_change = kind;
  }

  Scenario scenario_;
  std::mt19937_64 random_;
};

}  // namespace

Scenario make_drain_scenario(std::uint64_t seed, bool pushed) {
  return ScenarioGenerator(seed, pushed).generate();
}

}  // namespace arrowfork::tier
