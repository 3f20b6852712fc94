#include "storm.hpp"

#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "discovery_server.hpp"
#include "model_cache.hpp"
#include "process.hpp"
#include "settings_json.hpp"
#include "storm_tills.hpp"

namespace arrowfork::rig {
namespace {

using Json = nlohmann::json;
using Kind = emu::Trigger::Kind;

constexpr Micros kStep = 10 * kMillisecond;
constexpr Micros kStartLimit = 20 * kSecond;
constexpr Micros kEndLimit = 5 * kSecond;
constexpr double kAgain = 0.95;

class StormDay {
 public:
  StormDay(const StormOptions& options, const std::string& name)
      : o_(options), name_(name), plan_(plan_of(options, name)), base_(make_precise_event_base()) {}

  bool run() {
    start();
    tills_->start();
    began_ = clock_.now();
    const emu::Trigger& t = plan_.triggers.front();
    spin_until_second(t.from);
    say("begins: " + name_);
    if (troubles_->begin(t)) tell_list(t);
    spin_until_second(t.from + t.lasts);
    if (troubles_->end(t)) tell_list(t);
    say("has ended");
    spin_until_second(plan_.lasts);
    tills_->stop();
    spin_until([&] { return tills_->idle(); }, 3 * kSecond);
    for (auto& r : routers_) r->signal(SIGTERM);
    ending_ = true;
    spin_until(
        [&] {
          return std::all_of(routers_.begin(), routers_.end(),
                             [](auto& r) { return r->has_exited(); });
        },
        kEndLimit);
    return verdict();
  }

 private:
  static emu::DayPlan plan_of(const StormOptions& o, const std::string& name) {
    emu::DayPlan plan = emu::scaled_day(o.load, o.servers, o.cores);
    plan.fleet.drops_given_up = true;
    plan.tills.tries = o.tries;
    plan.routers = o.routers;
    emu::Trigger t = emu::trigger_of(name);
    t.from = static_cast<Micros>(o.trigger_start_s * kSecond);
    plan.triggers = {t};
    plan.lasts = t.from + t.lasts + static_cast<Micros>(o.time_after_trigger_s * kSecond);
    return plan;
  }

  void say(const std::string& what) const {
    std::printf("%5.1f s  %s\n", static_cast<double>(clock_.now() - began_) / kSecond,
                what.c_str());
    std::fflush(stdout);
  }

  bool spin_until(const std::function<bool()>& done, Micros limit) {
    Micros end = clock_.now() + limit;
    while (!done()) {
      if (clock_.now() >= end) return false;
      timeval step = timeval_of(kStep);
      event_base_loopexit(base_.get(), &step);
      event_base_dispatch(base_.get());
      if (!ending_)
        for (auto& r : routers_)
          if (r->has_exited()) throw std::runtime_error("a router ended: " + r->log());
      watch_rules();
    }
    return true;
  }

  /// Each full second's state of the fleet goes to its row.
  void spin_until_second(Micros at) {
    while (clock_.now() - began_ < at) {
      Micros next = std::min(at, (clock_.now() - began_) / kSecond * kSecond + kSecond);
      spin_until([&] { return clock_.now() - began_ >= next; }, 2 * kSecond);
      if (next % kSecond == 0) close_second(static_cast<std::size_t>(next / kSecond - 1));
    }
  }

  void close_second(std::size_t number) {
    if (number >= report_.seconds.size()) return;
    emu::Second& s = report_.seconds[number];
    std::uint64_t dials = 0, begun = 0;
    for (auto& c : caches_) {
      dials += c->counts().connections, begun += c->counts().commands;
      s.in_flight += c->open_connections();
    }
    s.dials = static_cast<int>(dials - std::exchange(dials_, dials));
    s.attempts = static_cast<int>(begun - std::exchange(begun_, begun));
    for (auto& model : world_->fleet().servers())
      s.busy += model->utilization() / plan_.fleet.servers;
    s.origin_queue = world_->fleet().origin().waiting();
  }

  emu::Second& second() {
    auto k = static_cast<std::size_t>(std::max<Micros>(0, clock_.now() - began_) / kSecond);
    return report_.seconds[std::min(k, report_.seconds.size() - 1)];
  }

  void start() {
    report_.seconds.resize(static_cast<std::size_t>((plan_.lasts + kSecond - 1) / kSecond));
    world_ = std::make_unique<RealTimeFleet>(base_.get(), clock_, plan_.fleet, o_.seed * 2 + 1);
    for (auto& model : world_->fleet().servers()) {
      for (int k = static_cast<int>(plan_.fleet.keeps); k-- > 0;)
        model->hold("k" + std::to_string(k));
      caches_.push_back(
          std::make_unique<ModelCache>(base_.get(), clock_, *world_, *model, effects_));
    }
    for (std::size_t k = 0; k < caches_.size(); ++k) put(k, "active");
    for (int k = 0; k < o_.routers; ++k) {
      auto at = folder_.path() / ("n" + std::to_string(k) + ".json");
      Json config{{"name", "n" + std::to_string(k)},
                  {"listen", "127.0.0.1:0"},
                  {"discovery", discovery_.address()},
                  {"seed", std::to_string(1000 + o_.seed * 100 + static_cast<unsigned>(k))},
                  {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 800}}},
                  {"known", Json::parse(discovery_.full_list())},
                  {"settings", Json::parse(settings_to_json(plan_.settings, o_.routers))}};
      std::ofstream(at) << config.dump(1);
      routers_.push_back(std::make_unique<RouterProcess>(
          o_.program, at, folder_.path() / ("n" + std::to_string(k) + ".log")));
    }
    bool up = spin_until(
        [&] {
          return std::all_of(routers_.begin(), routers_.end(),
                             [](const auto& r) { return r->port() != 0; });
        },
        kStartLimit);
    if (!up) throw std::runtime_error("a router did not start: " + routers_.back()->log());
    std::vector<std::uint16_t> ports;
    for (auto& r : routers_) ports.push_back(r->port());
    StormTills::Routing routing;
    routing.router_count = o_.routers;
    routing.port_of = [ports](int router) { return ports.at(static_cast<std::size_t>(router)); };
    tills_ = std::make_unique<StormTills>(base_.get(), clock_, plan_, std::move(routing),
                                          static_cast<Micros>(o_.slack_ms * kMillisecond), o_.seed,
                                          [this]() -> emu::Second& { return second(); });
    troubles_ = std::make_unique<emu::Troubles>(world_->fleet(), tills_->demand());
    std::printf(
        "%s: %d servers of %d cores, %d routers, %.0f first tries a second (%.2f of what the "
        "fleet bears), up to %d tries\n",
        name_.c_str(), o_.servers, o_.cores, o_.routers, plan_.tills.rate, o_.load, o_.tries);
  }

  void put(std::size_t k, const std::string& health) {
    DiscoveryServer::Entry e;
    e.dial = caches_[k]->address();
    e.health = health;
    Micros born = world_->fleet().servers()[k]->born();
    e.started_ms = born > 0 ? world_->to_real_time(born) / kMillisecond : 0;
    discovery_.put(caches_[k]->id(), e);
  }

  /// Discovery is told, and processes that have been started anew have lost their connections.
  void tell_list(const emu::Trigger& t) {
    for (std::size_t k = 0; k < caches_.size(); ++k) {
      bool gone = troubles_->left(caches_[k]->id());
      Micros born = world_->fleet().servers()[k]->born();
      if (gone) left_.emplace(k, Leaving{clock_.now(), 0, false});
      if (!gone && left_.erase(k)) caches_[k]->reset_connections();
      if (t.kind == Kind::ColdRestart && born > 0) caches_[k]->reset_connections();
      put(k, gone ? "leaving" : "active");
    }
  }

  /// Rules 3 and 4, at the servers.
  void watch_rules() {
    Micros now = clock_.now();
    Micros grace = plan_.settings.drain_grace + static_cast<Micros>(o_.slack_ms * kMillisecond);
    for (auto& [k, leaving] : left_) {
      std::uint64_t begun = caches_[k]->counts().commands;
      if (!leaving.over && now - leaving.since > grace) leaving.over = true, leaving.begun = begun;
      if (leaving.over && begun > leaving.begun)
        to_left_ += begun - std::exchange(leaving.begun, begun);
    }
    const auto& s = plan_.settings;
    double warm = plan_.fleet.cores / (static_cast<double>(plan_.fleet.read_work) / 1e6);
    for (std::size_t k = 0; k < caches_.size(); ++k) {
      Micros born = world_->fleet().servers()[k]->born();
      Micros age = born > 0 ? now - world_->to_real_time(born) : s.cold_time;
      auto& seen = cold_[k];
      if (age >= s.cold_time || left_.count(k)) {
        seen.clear();
        continue;
      }
      std::uint64_t begun = caches_[k]->counts().commands;
      seen.emplace_back(now, begun);
      while (now - seen.front().first > s.overload_time) seen.pop_front();
      double warmth = s.cold_share + (1 - s.cold_share) * static_cast<double>(age) /
                                         static_cast<double>(s.cold_time);
      double most =
          s.overload_factor * warm * warmth * static_cast<double>(s.overload_time) / kSecond;
      if (static_cast<double>(begun - seen.front().second) > most) pushed_over_ = caches_[k]->id();
    }
  }

  bool verdict() {
    std::printf("%s", emu::table(report_).c_str());
    const emu::Trigger& t = plan_.triggers.front();
    int begins = static_cast<int>(t.from / kSecond);
    int end = static_cast<int>((t.from + t.lasts + kSecond - 1) / kSecond);
    double before = report_.served(2, begins);
    int back = report_.back(end, kAgain * before);
    bool held = true;
    auto rule = [&](bool good, const std::string& what, bool counts = true) {
      std::printf("%s  %s\n", good ? "held  " : counts ? "BROKEN" : "missed", what.c_str());
      held &= good || !counts;
    };
    const StormTills::Counts& c = tills_->counts();
    rule(c.lost == 0 && c.wrong == 0 && tills_->idle(),
         "1  one final answer for each of " + std::to_string(c.tries) + " tries, in time (" +
             std::to_string(c.lost) + " lost, " + std::to_string(c.wrong) + " wrong)");
    rule(effects_.duplicate_effects() == 0,
         "2  no effect twice (" + std::to_string(effects_.writes()) + " writes ran)");
    rule(to_left_ == 0, "3  nothing new to a server 500 ms after it was told to leave");
    rule(pushed_over_.empty(),
         "4  no cold server pushed over" + (pushed_over_.empty() ? "" : ": " + pushed_over_));
    std::uint64_t malformed_commands = 0;
    for (auto& cache : caches_) malformed_commands += cache->counts().malformed_commands;
    rule(malformed_commands == 0, "   servers could read all they got");
    rule(std::all_of(routers_.begin(), routers_.end(), [](auto& r) { return r->exited_cleanly(); }),
         "   the routers ended as asked, with status 0");
    char line[200];
    std::snprintf(line, sizeof line,
                  "   %.0f%% served before, %.0f%% during; 95%% of before again %s (limit %.0f s)",
                  100 * before, 100 * report_.served(begins, std::max(end, begins + 1)),
                  back < 0 ? "not in this day" : (std::to_string(back) + " s after").c_str(),
                  o_.recovery_limit_s);
    rule(back >= 0 && back <= o_.recovery_limit_s, line, o_.require_recovery);
    std::printf(
        "        the model was %.1f ms behind the clock at most; %llu tries not sent for "
        "want of connections\n\n",
        static_cast<double>(world_->max_lag()) / kMillisecond,
        static_cast<unsigned long long>(c.not_sent));
    return held;
  }

  struct Leaving {
    Micros since;
    std::uint64_t begun;
    bool over;
  };
  const StormOptions& o_;
  std::string name_;
  emu::DayPlan plan_;
  Clock clock_;
  Micros began_ = clock_.now();
  EventBasePtr base_;
  TemporaryDirectory folder_;
  DiscoveryServer discovery_{base_.get()};
  EffectTracker effects_{plan_.settings.classes[1].key_ttl};
  std::unique_ptr<RealTimeFleet> world_;
  std::vector<std::unique_ptr<ModelCache>> caches_;
  std::vector<std::unique_ptr<RouterProcess>> routers_;
  std::unique_ptr<StormTills> tills_;
  std::unique_ptr<emu::Troubles> troubles_;
  emu::DayReport report_;
  std::map<std::size_t, Leaving> left_;
  std::map<std::size_t, std::deque<std::pair<Micros, std::uint64_t>>> cold_;
  std::string pushed_over_;
  std::uint64_t to_left_ = 0, dials_ = 0, begun_ = 0;
  bool ending_ = false;
};

}  // namespace

int run_storm(const StormOptions& options) try {
  ::signal(SIGPIPE, SIG_IGN);
  bool held = true;
  for (const std::string& name : options.triggers) held &= StormDay(options, name).run();
  return held ? 0 : 1;
} catch (const std::exception& e) {
  std::fprintf(stderr, "storm: %s\n", e.what());
  return 2;
}

}  // namespace arrowfork::rig
