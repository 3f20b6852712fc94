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

constexpr Micros kLoopStep = 10 * kMillisecond;
constexpr Micros kStartTimeout = 20 * kSecond;
constexpr Micros kExitTimeout = 5 * kSecond;
constexpr double kRecoveredShare = 0.95;

class StormRun {
 public:
  StormRun(const StormOptions& options, const std::string& name)
      : options_(options),
        name_(name),
        plan_(make_plan(options, name)),
        base_(make_precise_event_base()) {}

  bool run() {
    start();
    tills_->start();
    started_at_ = clock_.now();
    const emu::Trigger& t = plan_.triggers.front();
    run_loop_until_time(t.from);
    log_event("begins: " + name_);
    if (troubles_->begin(t)) update_list(t);
    run_loop_until_time(t.from + t.lasts);
    if (troubles_->end(t)) update_list(t);
    log_event("has ended");
    run_loop_until_time(plan_.lasts);
    tills_->stop();
    run_loop_until([&] { return tills_->idle(); }, 3 * kSecond);
    for (auto& r : routers_) r->signal(SIGTERM);
    stopping_ = true;
    run_loop_until(
        [&] {
          return std::all_of(routers_.begin(), routers_.end(),
                             [](auto& r) { return r->has_exited(); });
        },
        kExitTimeout);
    return print_verdict();
  }

 private:
  static emu::DayPlan make_plan(const StormOptions& o, const std::string& name) {
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

  void log_event(const std::string& what) const {
    std::printf("%5.1f s  %s\n", static_cast<double>(clock_.now() - started_at_) / kSecond,
                what.c_str());
    std::fflush(stdout);
  }

  bool run_loop_until(const std::function<bool()>& done, Micros limit) {
    Micros end = clock_.now() + limit;
    while (!done()) {
      if (clock_.now() >= end) return false;
      timeval step = timeval_of(kLoopStep);
      event_base_loopexit(base_.get(), &step);
      event_base_dispatch(base_.get());
      if (!stopping_)
        for (auto& r : routers_)
          if (r->has_exited())
            throw std::runtime_error("a router exited unexpectedly: " + r->log());
      check_servers();
    }
    return true;
  }

  /// Runs the loop until `at` after the start, and records the fleet's state after each full
  /// second.
  void run_loop_until_time(Micros at) {
    while (clock_.now() - started_at_ < at) {
      Micros next = std::min(at, (clock_.now() - started_at_) / kSecond * kSecond + kSecond);
      run_loop_until([&] { return clock_.now() - started_at_ >= next; }, 2 * kSecond);
      if (next % kSecond == 0) close_second(static_cast<std::size_t>(next / kSecond - 1));
    }
  }

  void close_second(std::size_t number) {
    if (number >= report_.seconds.size()) return;
    emu::Second& s = report_.seconds[number];
    std::uint64_t dials = 0, commands = 0;
    for (auto& c : caches_) {
      dials += c->counts().connections, commands += c->counts().commands;
      s.in_flight += c->open_connections();
    }
    s.dials = static_cast<int>(dials - std::exchange(dials_, dials));
    s.attempts = static_cast<int>(commands - std::exchange(commands_, commands));
    for (auto& model : fleet_->fleet().servers())
      s.busy += model->utilization() / plan_.fleet.servers;
    s.origin_queue = fleet_->fleet().origin().waiting();
  }

  emu::Second& current_row() {
    auto k = static_cast<std::size_t>(std::max<Micros>(0, clock_.now() - started_at_) / kSecond);
    return report_.seconds[std::min(k, report_.seconds.size() - 1)];
  }

  void start() {
    report_.seconds.resize(static_cast<std::size_t>((plan_.lasts + kSecond - 1) / kSecond));
    fleet_ =
        std::make_unique<RealTimeFleet>(base_.get(), clock_, plan_.fleet, options_.seed * 2 + 1);
    for (auto& model : fleet_->fleet().servers()) {
      for (int k = static_cast<int>(plan_.fleet.keeps); k-- > 0;)
        model->hold("k" + std::to_string(k));
      caches_.push_back(
          std::make_unique<ModelCache>(base_.get(), clock_, *fleet_, *model, effects_));
    }
    for (std::size_t k = 0; k < caches_.size(); ++k) list_server(k, "active");
    for (int k = 0; k < options_.routers; ++k) {
      auto at = folder_.path() / ("n" + std::to_string(k) + ".json");
      Json config{{"name", "n" + std::to_string(k)},
                  {"listen", "127.0.0.1:0"},
                  {"discovery", discovery_.address()},
                  {"seed", std::to_string(1000 + options_.seed * 100 + static_cast<unsigned>(k))},
                  {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 800}}},
                  {"known", Json::parse(discovery_.full_list())},
                  {"settings", Json::parse(settings_to_json(plan_.settings, options_.routers))}};
      std::ofstream(at) << config.dump(1);
      routers_.push_back(std::make_unique<RouterProcess>(
          options_.program, at, folder_.path() / ("n" + std::to_string(k) + ".log")));
    }
    bool up = run_loop_until(
        [&] {
          return std::all_of(routers_.begin(), routers_.end(),
                             [](const auto& r) { return r->port() != 0; });
        },
        kStartTimeout);
    if (!up) throw std::runtime_error("a router did not start: " + routers_.back()->log());
    std::vector<std::uint16_t> ports;
    for (auto& r : routers_) ports.push_back(r->port());
    StormTills::Routing routing;
    routing.router_count = options_.routers;
    routing.port_of = [ports](int router) { return ports.at(static_cast<std::size_t>(router)); };
    tills_ = std::make_unique<StormTills>(base_.get(), clock_, plan_, std::move(routing),
                                          static_cast<Micros>(options_.slack_ms * kMillisecond),
                                          options_.seed,
                                          [this]() -> emu::Second& { return current_row(); });
    troubles_ = std::make_unique<emu::Troubles>(fleet_->fleet(), tills_->demand());
    std::printf(
        "%s: %d servers of %d cores, %d routers, %.0f first tries a second (%.2f of what the "
        "fleet bears), up to %d tries\n",
        name_.c_str(), options_.servers, options_.cores, options_.routers, plan_.tills.rate,
        options_.load, options_.tries);
  }

  void list_server(std::size_t k, const std::string& health) {
    DiscoveryServer::Entry e;
    e.dial = caches_[k]->address();
    e.health = health;
    Micros started_at = fleet_->fleet().servers()[k]->born();
    e.started_ms = started_at > 0 ? fleet_->to_real_time(started_at) / kMillisecond : 0;
    discovery_.put(caches_[k]->id(), e);
  }

  /// Updates discovery's list, and resets the connections of restarted servers.
  void update_list(const emu::Trigger& t) {
    for (std::size_t k = 0; k < caches_.size(); ++k) {
      bool leaving = troubles_->left(caches_[k]->id());
      Micros started_at = fleet_->fleet().servers()[k]->born();
      if (leaving) leaving_servers_.emplace(k, Leaving{clock_.now(), 0, false});
      if (!leaving && leaving_servers_.erase(k)) caches_[k]->reset_connections();
      if (t.kind == Kind::ColdRestart && started_at > 0) caches_[k]->reset_connections();
      list_server(k, leaving ? "leaving" : "active");
    }
  }

  /// Checks rules 3 and 4 at the servers: no new commands after the drain grace, and no overload of
  /// cold servers.
  void check_servers() {
    Micros now = clock_.now();
    Micros grace =
        plan_.settings.drain_grace + static_cast<Micros>(options_.slack_ms * kMillisecond);
    for (auto& [k, leaving] : leaving_servers_) {
      std::uint64_t commands = caches_[k]->counts().commands;
      if (!leaving.grace_over && now - leaving.since > grace)
        leaving.grace_over = true, leaving.commands = commands;
      if (leaving.grace_over && commands > leaving.commands)
        commands_after_grace_ += commands - std::exchange(leaving.commands, commands);
    }
    const auto& s = plan_.settings;
    double warm_rate = plan_.fleet.cores / (static_cast<double>(plan_.fleet.read_work) / 1e6);
    for (std::size_t k = 0; k < caches_.size(); ++k) {
      Micros started_at = fleet_->fleet().servers()[k]->born();
      Micros age = started_at > 0 ? now - fleet_->to_real_time(started_at) : s.cold_time;
      auto& samples = cold_samples_[k];
      if (age >= s.cold_time || leaving_servers_.count(k)) {
        samples.clear();
        continue;
      }
      std::uint64_t commands = caches_[k]->counts().commands;
      samples.emplace_back(now, commands);
      while (now - samples.front().first > s.overload_time) samples.pop_front();
      double warmth = s.cold_share + (1 - s.cold_share) * static_cast<double>(age) /
                                         static_cast<double>(s.cold_time);
      double max_commands =
          s.overload_factor * warm_rate * warmth * static_cast<double>(s.overload_time) / kSecond;
      if (static_cast<double>(commands - samples.front().second) > max_commands)
        overloaded_server_ = caches_[k]->id();
    }
  }

  bool print_verdict() {
    std::printf("%s", emu::table(report_).c_str());
    const emu::Trigger& t = plan_.triggers.front();
    int start = static_cast<int>(t.from / kSecond);
    int end = static_cast<int>((t.from + t.lasts + kSecond - 1) / kSecond);
    double before = report_.served(2, start);
    int recovery_s = report_.back(end, kRecoveredShare * before);
    bool passed = true;
    auto check = [&](bool good, const std::string& what, bool counts = true) {
      std::printf("%s  %s\n", good ? "held  " : counts ? "BROKEN" : "missed", what.c_str());
      passed &= good || !counts;
    };
    const StormTills::Counts& c = tills_->counts();
    check(c.lost == 0 && c.wrong == 0 && tills_->idle(),
          "1  one final answer for each of " + std::to_string(c.tries) + " tries, in time (" +
              std::to_string(c.lost) + " lost, " + std::to_string(c.wrong) + " wrong)");
    check(effects_.duplicate_effects() == 0,
          "2  no effect twice (" + std::to_string(effects_.writes()) + " writes ran)");
    check(commands_after_grace_ == 0,
          "3  nothing new to a server 500 ms after it was told to leave");
    check(overloaded_server_.empty(),
          "4  no cold server pushed over" +
              (overloaded_server_.empty() ? "" : ": " + overloaded_server_));
    std::uint64_t malformed_commands = 0;
    for (auto& cache : caches_) malformed_commands += cache->counts().malformed_commands;
    check(malformed_commands == 0, "   servers could read all they got");
    check(
        std::all_of(routers_.begin(), routers_.end(), [](auto& r) { return r->exited_cleanly(); }),
        "   the routers ended as asked, with status 0");
    char line[200];
    std::snprintf(
        line, sizeof line,
        "   %.0f%% served before, %.0f%% during; 95%% of before again %s (limit %.0f s)",
        100 * before, 100 * report_.served(start, std::max(end, start + 1)),
        recovery_s < 0 ? "not in this day" : (std::to_string(recovery_s) + " s after").c_str(),
        options_.recovery_limit_s);
    check(recovery_s >= 0 && recovery_s <= options_.recovery_limit_s, line,
          options_.require_recovery);
    std::printf(
        "        the model was %.1f ms behind the clock at most; %llu tries not sent for "
        "want of connections\n\n",
        static_cast<double>(fleet_->max_lag()) / kMillisecond,
        static_cast<unsigned long long>(c.not_sent));
    return passed;
  }

  struct Leaving {
    Micros since;
    std::uint64_t commands;
    bool grace_over;
  };
  const StormOptions& options_;
  std::string name_;
  emu::DayPlan plan_;
  Clock clock_;
  Micros started_at_ = clock_.now();
  EventBasePtr base_;
  TemporaryDirectory folder_;
  DiscoveryServer discovery_{base_.get()};
  EffectTracker effects_{plan_.settings.classes[1].key_ttl};
  std::unique_ptr<RealTimeFleet> fleet_;
  std::vector<std::unique_ptr<ModelCache>> caches_;
  std::vector<std::unique_ptr<RouterProcess>> routers_;
  std::unique_ptr<StormTills> tills_;
  std::unique_ptr<emu::Troubles> troubles_;
  emu::DayReport report_;
  std::map<std::size_t, Leaving> leaving_servers_;
  std::map<std::size_t, std::deque<std::pair<Micros, std::uint64_t>>> cold_samples_;
  std::string overloaded_server_;
  std::uint64_t commands_after_grace_ = 0, dials_ = 0, commands_ = 0;
  bool stopping_ = false;
};

}  // namespace

int run_storm(const StormOptions& options) try {
  ::signal(SIGPIPE, SIG_IGN);
  bool passed = true;
  for (const std::string& name : options.triggers) passed &= StormRun(options, name).run();
  return passed ? 0 : 1;
} catch (const std::exception& e) {
  std::fprintf(stderr, "storm: %s\n", e.what());
  return 2;
}

}  // namespace arrowfork::rig
