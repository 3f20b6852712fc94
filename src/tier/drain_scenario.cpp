#include "drain_scenario.hpp"

#include <random>

namespace arrowfork::tier {
namespace {

constexpr Micros kLasts = 22 * kSecond;
constexpr Micros kFirstFault = 3 * kSecond, kLastFault = 10 * kSecond;
constexpr int kCaches = 8;
// As many may leave; the others carry the load.
constexpr int kMayLeave = 4;

class Drawing {
 public:
  Drawing(std::uint64_t seed, bool pushed) : random_(seed * 2 + (pushed ? 1 : 0)) {
    s_.name = "drains with faults around them, seed " + std::to_string(seed) +
              (pushed ? ", lists pushed" : ", lists asked for");
    s_.seed = seed;
    s_.lasts = kLasts;
    s_.program = "arrowfork";
    s_.routers = 2 + below(7);
    s_.caches = kCaches;
    s_.rate = 150;
    s_.pushed = pushed;
  }

  Scenario draw() {
    int faults = 1 + below(3);
    for (int k = 0; k < faults; ++k) fault();
    int drains = 1 + below(kMayLeave);
    for (int cache = 0; cache < drains; ++cache) drain(cache);
    return s_;
  }

 private:
  double chance() { return std::uniform_real_distribution<>()(random_); }
  int below(int n) { return static_cast<int>(chance() * n); }
  Micros between(Micros from, Micros to) {
    return from + static_cast<Micros>(chance() * static_cast<double>(to - from));
  }
  Action& add(Action::Verb verb, Micros at, const char* label) {
    Action a;
    a.verb = verb, a.at = at, a.label = label;
    s_.actions.push_back(a);
    return s_.actions.back();
  }
  std::vector<int> some_routers() {
    std::vector<int> some;
    for (int r = 0; r < s_.routers; ++r)
      if (chance() < 0.6) some.push_back(r);
    if (some.empty()) some.push_back(below(s_.routers));
    return some;
  }
  std::vector<int> all_routers() {
    std::vector<int> all;
    for (int r = 0; r < s_.routers; ++r) all.push_back(r);
    return all;
  }

  void discovery(const char* state, Micros at, Micros lasts) {
    Action& a = add(Action::Verb::Discovery, at, state);
    a.discovery = state;
    a.lasts = lasts;
  }
  void restart(Action::Verb verb, Micros at) {
    Action& a = add(verb, at, verb == Action::Verb::Kill ? "kill" : "term");
    a.routers = some_routers();
    a.start_after = between(0, 8 * kSecond);
    a.known = chance() < 0.7 ? Known::Old : Known::Now;
  }
  void reloads(Micros at) {
    Action& a = add(Action::Verb::Reload, at, "another address of discovery");
    a.routers = all_routers();
    a.moves = true;
    a.times = 1 + below(6);
    a.every = between(300 * kMillisecond, 1500 * kMillisecond);
    if (chance() < 0.5) discovery("slow", at, a.times * a.every + kSecond);
  }

  void fault() {
    Micros at = between(kFirstFault, kLastFault), lasts = between(kSecond / 2, 6 * kSecond);
    switch (below(10)) {
      case 0:
        return discovery("down", at, lasts);
      case 1:
        return discovery("silent", at, lasts);
      case 2:
        return discovery("reset", at, lasts);
      case 3:
        return discovery(chance() < 0.5 ? "half" : "spoilt", at, lasts);
      case 4:
        return discovery("slow", at, lasts);
      case 5:
        add(Action::Verb::Discovery, at, "watches silent").discovery = "mute";
        return;
      case 6:
        return restart(Action::Verb::Kill, at);
      case 7:
        return restart(Action::Verb::Term, at);
      case 8: {
        Action& a = add(Action::Verb::Stop, at, "stop");
        a.routers = some_routers();
        a.lasts = between(100 * kMillisecond, 3 * kSecond);
        return;
      }
      default:
        return reloads(at);
    }
  }

  void drain(int cache) {
    static const Action::Cache kinds[] = {Action::Cache::Drain, Action::Cache::Drain,
                                          Action::Cache::Twice, Action::Cache::Silent};
    const Action& near =
        s_.actions[static_cast<std::size_t>(below(static_cast<int>(s_.actions.size())))];
    Micros at = between(near.at - kSecond, near.at + 4 * kSecond);
    Action::Cache kind = kinds[below(4)];
    if (kind == Action::Cache::Silent) {  // a full buffer behind it, then it drains
      Action& hangs = add(Action::Verb::Cache, at, "hangs");
      hangs.caches = {cache};
      hangs.cache = Action::Cache::Silent;
      at += 500 * kMillisecond;
      kind = Action::Cache::Drain;
    }
    Action& a =
        add(Action::Verb::Cache, at, kind == Action::Cache::Twice ? "named twice" : "drains");
    a.caches = {cache};
    a.cache = kind;
  }

  Scenario s_;
  std::mt19937_64 random_;
};

}  // namespace

Scenario drain_scenario(std::uint64_t seed, bool pushed) { return Drawing(seed, pushed).draw(); }

}  // namespace arrowfork::tier
