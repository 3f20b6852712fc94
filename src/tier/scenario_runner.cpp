#include "scenario_runner.hpp"

#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "../rig/settings_json.hpp"

namespace arrowfork::tier {
namespace {

using Json = nlohmann::json;
using EventKind = Event::Kind;

constexpr Micros kTickInterval = 5 * kMillisecond;
constexpr Micros kStartTimeout = 30 * kSecond;
constexpr Micros kExitTimeout = 5 * kSecond;
// Each router may have a connection of each kind to each simulated peer, and links double them.
constexpr rlim_t kMaxDescriptors = 32'768;
// How often the runner checks whether a successor has started, and how many times at most.
constexpr Micros kUpgradePollInterval = 20 * kMillisecond;
constexpr int kUpgradePolls = 300;
constexpr Micros kFormerAddressGrace = 1500 * kMillisecond;

const std::map<std::string, rig::DiscoveryFault>& discovery_faults() {
  using F = rig::DiscoveryFault;
  static const std::map<std::string, F> all{
      {"none", F::None},        {"slow", F::Slow},      {"silent", F::Silent}, {"down", F::Down},
      {"spoilt", F::Malformed}, {"half", F::Truncated}, {"reset", F::Reset}};
  return all;
}

}  // namespace

ScenarioRunner::ScenarioRunner(const Scenario& scenario, const TierOptions& options)
    : scenario_(scenario),
      options_(options),
      base_(rig::make_precise_event_base()),
      discovery_(base_.get()),
      effects_(scenario.key_ttl),
      random_(scenario.seed) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min(limit.rlim_max, std::max(limit.rlim_cur, kMaxDescriptors));
  ::setrlimit(RLIMIT_NOFILE, &limit);
  plan_simulation();
  start_caches();
  start_routers();
}

ScenarioRunner::~ScenarioRunner() = default;

RuleParameters ScenarioRunner::rule_parameters() const {
  const robinseam::Settings& s = plan_.settings;
  RuleParameters f;
  f.read_objective = s.classes[0].latency_objective,
  f.write_objective = s.classes[1].latency_objective;
  f.drain_grace = s.drain_grace, f.overload_time = s.overload_time;
  f.cold_share = s.cold_share, f.overload_factor = s.overload_factor;
  return f;
}

void ScenarioRunner::plan_simulation() {
  plan_ = emu::usual_day(1);
  emu::FleetPlan& f = plan_.fleet;
  f.servers = scenario_.cache_count, f.cores = scenario_.cores, f.waiting = scenario_.queue_slots;
  f.read_work = f.write_work = scenario_.work_time, f.work_cv = scenario_.work_time_cv;
  f.keeps = static_cast<std::size_t>(scenario_.keys_per_cache);
  f.origin_places = scenario_.origin_slots, f.origin_work = scenario_.origin_work_time;
  f.handshake = std::min(f.handshake, scenario_.work_time / 5);
  f.drops_given_up = true;
  emu::TillPlan& t = plan_.tills;
  t.rate = scenario_.first_tries_per_s, t.writes = scenario_.write_share,
  t.keys = scenario_.key_count, t.tries = scenario_.max_tries, t.pause = scenario_.retry_pause;
  if (scenario_.max_tries == 1) t.try_share = 1;
  plan_.routers = scenario_.router_count;
  robinseam::Settings& settings = plan_.settings;
  settings.poll_list = !scenario_.pushed_lists;
  settings.max_poll_delay = scenario_.max_poll_delay;
  settings.cold_time = scenario_.cold_time;
  settings.classes[1].key_ttl = scenario_.key_ttl,
  settings.classes[1].group = scenario_.dedup_group;
  double capacity = scenario_.cache_count * scenario_.cores * static_cast<double>(kSecond) /
                    static_cast<double>(scenario_.work_time);
  for (auto& tenant : settings.tenants) tenant.quota_per_s = tenant.portion * capacity;
}

// ---- caches and discovery ----

void ScenarioRunner::start_caches() {
  world_ = std::make_unique<rig::RealTimeFleet>(base_.get(), clock_, plan_.fleet,
                                                scenario_.seed * 2 + 1);
  discovery_.set_capacity(scenario_.discovery_capacity);
  for (auto& model : world_->fleet().servers()) {
    if (scenario_.warm)
      for (int k = std::min(scenario_.keys_per_cache, scenario_.key_count); k-- > 0;)
        model->hold("k" + std::to_string(k));
    CacheSlot slot;
    slot.server = std::make_unique<rig::ModelCache>(base_.get(), clock_, *world_, *model, effects_);
    slot.server->set_max_connections(static_cast<std::size_t>(scenario_.max_connections));
    slot.id = model->id();
    int index = static_cast<int>(caches_.size());
    cache_index_by_server_[slot.server.get()] = index;
    cache_index_by_id_[slot.id] = index;
    caches_.push_back(std::move(slot));
    list_cache(index, "active", false);
  }
  for (CacheSlot& slot : caches_) slot.server->set_observer(this);
}

std::uint16_t ScenarioRunner::cache_port(int index) const {
  const std::string address = caches_.at(static_cast<std::size_t>(index)).server->address();
  return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
}

void ScenarioRunner::list_cache(int index, const std::string& health, bool cold) {
  CacheSlot& slot = caches_[static_cast<std::size_t>(index)];
  slot.health = health;
  if (cold) slot.started_at = clock_.now();
  rig::DiscoveryServer::Entry e;
  e.dial = slot.server->address();
  e.health = health;
  e.started_ms = slot.started_at / kMillisecond;
  // Recorded first, because put() answers watches before it returns.
  event_log_.record({.kind = EventKind::ListChanged,
                     .cache = static_cast<std::int16_t>(index),
                     .value = static_cast<std::int64_t>(discovery_.version() + 1),
                     .extra = health == "active"    ? Event::Active
                              : health == "leaving" ? Event::Leaving
                                                    : Event::Gone,
                     .flag = cold});
  discovery_.put(slot.id, e);
}

void ScenarioRunner::list_drained_and_gone(int index) {
  CacheSlot& slot = caches_[static_cast<std::size_t>(index)];
  rig::DiscoveryServer::Entry drains, gone;
  drains.dial = gone.dial = slot.server->address();
  drains.health = "leaving";
  gone.health = slot.health = "left";
  event_log_.record({.kind = EventKind::ListChanged,
                     .cache = static_cast<std::int16_t>(index),
                     .value = static_cast<std::int64_t>(discovery_.version() + 1),
                     .extra = Event::Gone});
  discovery_.put_with_earlier_entry(slot.id, drains, gone);
}

void ScenarioRunner::restart_cache(int index) {
  auto k = static_cast<std::size_t>(index);
  world_->catch_up();
  world_->fleet().servers()[k]->restart(plan_.settings.cold_share, scenario_.cold_time);
  caches_[k].server->reset_connections();
}

void ScenarioRunner::change_cache(int index, const Action& a) {
  using Change = Action::CacheChange;
  auto k = static_cast<std::size_t>(index);
  CacheSlot& slot = caches_[k];
  emu::CacheModel& model = *world_->fleet().servers()[k];
  switch (a.cache_change) {
    case Change::Recover:
      restore_cache(index, Change::Recover);
      break;
    case Change::Slow:
      model.set_trouble(emu::Trouble::Slow, a.factor);
      break;
    case Change::Reject:
      model.set_trouble(emu::Trouble::Full);
      break;
    case Change::Silent:
      model.set_trouble(emu::Trouble::Silent);
      break;
    case Change::Fail:
      model.set_trouble(emu::Trouble::Failing);
      break;
    case Change::RestartCold:
      restart_cache(index);
      list_cache(index, "active", true);
      break;
    case Change::Drain:
      list_cache(index, "leaving", false);
      break;
    case Change::DrainAndLeave:
      list_drained_and_gone(index);
      break;
    case Change::Leave:
      slot.server->set_down(true);
      list_cache(index, "left", false);
      break;
    case Change::Replace: {
      restart_cache(index);
      list_cache(index, "left", false);
      if (!a.same_address) {
        auto next =
            std::make_unique<rig::ModelCache>(base_.get(), clock_, *world_, model, effects_);
        next->set_max_connections(static_cast<std::size_t>(scenario_.max_connections));
        next->set_observer(this);
        cache_index_by_server_[next.get()] = index;
        slot.server->set_down(true);
        former_caches_.push_back(std::exchange(slot.server, std::move(next)));
      }
      slot.id = model.id() + "-" + std::to_string(++slot.generation);
      cache_index_by_id_[slot.id] = index;
      list_cache(index, "active", true);
      break;
    }
  }
}

void ScenarioRunner::restore_cache(int index, Action::CacheChange change) {
  auto k = static_cast<std::size_t>(index);
  CacheSlot& slot = caches_[k];
  world_->fleet().servers()[k]->set_trouble(emu::Trouble::None);
  if (change == Action::CacheChange::Leave) {
    slot.server->set_down(false);
    restart_cache(index);
    list_cache(index, "active", true);
  } else if (slot.health == "leaving") {
    list_cache(index, "active", false);
  }
}

void ScenarioRunner::change_discovery(const Action& a) {
  if (a.work_time >= 0 || a.max_wait >= 0) {
    rig::DiscoveryServer::Capacity capacity = scenario_.discovery_capacity;
    if (a.work_time >= 0) capacity.service_time = a.work_time;
    if (a.max_wait >= 0) capacity.max_wait = a.max_wait;
    discovery_.set_capacity(capacity);
  }
  if (a.discovery_state == "forget") {
    discovery_.lose_state();
    for (std::size_t k = 0; k < caches_.size(); ++k)
      list_cache(static_cast<int>(k), caches_[k].health, false);
  } else if (a.discovery_state == "mute") {
    discovery_.silence_watches();
  } else if (auto fault = discovery_faults().find(a.discovery_state);
             fault != discovery_faults().end()) {
    discovery_.set_fault(fault->second);
    record_reachability(-1, fault->second == rig::DiscoveryFault::None ||
                                fault->second == rig::DiscoveryFault::Slow);
  }
}

// ---- routers ----

/// Opens a port of discovery for that router.
std::size_t ScenarioRunner::open_discovery_port(int router) {
  auto dial = [this, router](const std::string& id, const rig::DiscoveryServer::Entry& entry) {
    auto& links = routers_[static_cast<std::size_t>(router)].to_caches;
    auto link = links.find(cache_index_by_id_.at(id));
    return link == links.end() ? entry.dial : "127.0.0.1:" + std::to_string(link->second->port());
  };
  std::size_t port = discovery_.add_port(dial);
  router_by_discovery_port_[port] = router;
  return port;
}

/// The former address accepts no new connection and closes the open ones after 1.5 s (DAYS).
void ScenarioRunner::change_discovery_address(Router& router) {
  discovery_.close_port(router.discovery_port, kFormerAddressGrace);
  router.discovery_port = open_discovery_port(router.index);
  event_log_.record(
      {.kind = EventKind::AddressChanged, .router = static_cast<std::int16_t>(router.index)});
}

/// Creates links only for the pairs that the timeline names; all others connect directly.
void ScenarioRunner::start_routers() {
  routers_.resize(static_cast<std::size_t>(scenario_.router_count));
  for (int r = 0; r < scenario_.router_count; ++r) {
    Router& router = routers_[static_cast<std::size_t>(r)];
    router.index = r;
    router.discovery_port = open_discovery_port(r);
  }
  for (const Action& a : scenario_.actions) {
    if (a.kind != Action::Kind::Link) continue;
    std::vector<int> caches = a.caches;
    if (caches.empty())
      for (int c = 0; c < scenario_.cache_count; ++c) caches.push_back(c);
    for (int r : a.routers) {
      Router& router = routers_[static_cast<std::size_t>(r)];
      auto make = [&](std::unique_ptr<Link>& link, Link::Target target) {
        if (!link) link = std::make_unique<Link>(base_.get(), clock_, std::move(target));
      };
      if (a.path == Action::LinkPath::RoutersToDiscovery)
        make(router.to_discovery,
             [this, port = router.discovery_port] { return discovery_.port(port); });
      if (a.path == Action::LinkPath::TillsToRouters)
        make(router.from_tills,
             [&router] { return router.process ? router.process->port() : std::uint16_t{0}; });
      if (a.path == Action::LinkPath::RoutersToCaches)
        for (int c : caches) make(router.to_caches[c], [this, c] { return cache_port(c); });
    }
  }
  for (Router& router : routers_)
    start_lists_.push_back(discovery_.full_list(router.discovery_port));
  discovery_.set_observer(this);
  for (Router& router : routers_) start(router, scenario_.initial_list);
  tick_event_.reset(event_new(base_.get(), -1, EV_PERSIST, on_tick, this));
  timeval every = timeval_of(kTickInterval);
  event_add(tick_event_.get(), &every);
  bool all_serving = run_loop_until(
      [&] {
        return std::all_of(routers_.begin(), routers_.end(),
                           [](const Router& r) { return r.serving; });
      },
      kStartTimeout);
  if (all_serving) return;
  for (const Router& r : routers_)
    if (!r.serving)
      throw std::runtime_error("router " + std::to_string(r.index) + " did not start:\n" +
                               r.process->log());
}

std::string ScenarioRunner::router_config(const Router& router, InitialList initial_list) const {
  std::string discovery = router.to_discovery
                              ? "127.0.0.1:" + std::to_string(router.to_discovery->port())
                              : discovery_.address(router.discovery_port);
  Json config{
      {"name", "n" + std::to_string(router.index)},
      {"listen", "127.0.0.1:0"},
      {"discovery", discovery},
      // The platform gives each start a new seed.
      {"seed", std::to_string(1'000'000 + scenario_.seed * 10'000 +
                              static_cast<unsigned>(router.index * 100 + router.start_count))},
      {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", scenario_.max_sockets}}},
      {"settings", Json::parse(rig::settings_to_json(plan_.settings, scenario_.router_count))}};
  if (initial_list == InitialList::Current)
    config["known"] = Json::parse(discovery_.full_list(router.discovery_port));
  if (initial_list == InitialList::Old)
    config["known"] = Json::parse(start_lists_.at(static_cast<std::size_t>(router.index)));
  if (scenario_.control) {
    auto state = folder_.path() / ("state" + std::to_string(router.index));
    std::filesystem::create_directories(state);
    config["control"] = "127.0.0.1:0";
    config["state_dir"] = state.string();
  }
  if (scenario_.store) config["store"] = {{"folder", store_directory(router.index).string()}};
  for (const std::string* patch : {&scenario_.config, &router.config})
    if (!patch->empty()) config.merge_patch(Json::parse(*patch));
  return config.dump(1);
}

std::filesystem::path ScenarioRunner::store_directory(int router) const {
  return folder_.path() / ("store" + std::to_string(router));
}

/// Prepares the stored state between two processes of a router.
void ScenarioRunner::prepare_stored_state(int router, StoredState state) {
  namespace fs = std::filesystem;
  fs::path own = store_directory(router), first = own.string() + ".first";
  if (state == StoredState::Kept) return;
  if (state != StoredState::Truncated) fs::remove_all(own);
  if (state == StoredState::Old) fs::copy(first, own, fs::copy_options::recursive);
  if (state == StoredState::OtherRouter) {
    fs::create_directories(own);
    for (const auto& file :
         fs::directory_iterator(store_directory((router + 1) % scenario_.router_count)))
      if (file.path().filename() != "LOCK") fs::copy(file.path(), own / file.path().filename());
  }
  if (state != StoredState::Truncated) return;
  for (const auto& file : fs::directory_iterator(own))
    fs::resize_file(file.path(), file.file_size() / 2);
}

void ScenarioRunner::start(Router& router, InitialList initial_list) {
  std::string name = "n" + std::to_string(router.index);
  auto at = folder_.path() / (name + ".json");
  std::ofstream(at) << router_config(router, initial_list);
  std::filesystem::path logs =
      options_.logs.empty() ? folder_.path() : std::filesystem::path(options_.logs);
  auto log = logs / (name + "-" + std::to_string(++router.start_count) + ".log");
  bool is_arrowfork = scenario_.program == "arrowfork";
  const std::string& program = is_arrowfork ? options_.arrowfork : options_.wheeldeal;
  if (program.empty())
    throw std::runtime_error("no path is set for program '" + scenario_.program + "'");
  auto process = std::make_unique<rig::RouterProcess>(program, at, log, is_arrowfork);
  event_log_.record({.kind = EventKind::ProcessStarted,
                     .router = static_cast<std::int16_t>(router.index),
                     .value = router.start_count});
  if (router.process && !router.process->has_exited()) {
    router.successor = std::move(process);
    return;
  }
  router.process = std::move(process);
  router.exit_expected = false, router.stopped = false;
  router.probe_socket.reset();
}

void ScenarioRunner::start_after_exit(Router& router, InitialList initial_list, StoredState state) {
  if (!router.process) {
    prepare_stored_state(router.index, state);
    return start(router, initial_list);
  }
  run_after(kTickInterval, [this, &router, initial_list, state] {
    start_after_exit(router, initial_list, state);
  });
}

void ScenarioRunner::end_process(Router& router, int signal, const Action& a) {
  if (!router.process || router.exit_expected) return;
  router.exit_expected = true;
  if (signal == SIGKILL) {
    event_log_.record(
        {.kind = EventKind::ProcessKilled, .router = static_cast<std::int16_t>(router.index)});
    if (router.successor) router.successor->signal(SIGKILL);
  }
  router.process->signal(signal);
  if (!a.config.empty()) router.config = a.config;
  if (a.restart_delay >= 0)
    run_after(a.restart_delay,
              [this, &router, initial_list = a.initial_list, state = a.stored_state] {
                start_after_exit(router, initial_list, state);
              });
}

void ScenarioRunner::stop(Router& router, Micros duration) {
  if (!router.process || router.stopped) return;
  router.stopped = true, router.unavailable_since = clock_.now();
  event_log_.record(
      {.kind = EventKind::ProcessStopped, .router = static_cast<std::int16_t>(router.index)});
  router.process->signal(SIGSTOP);
  if (duration > 0) run_after(duration, [this, &router] { resume(router); });
}

void ScenarioRunner::resume(Router& router) {
  if (!router.process || !std::exchange(router.stopped, false)) return;
  event_log_.record(
      {.kind = EventKind::ProcessContinued, .router = static_cast<std::int16_t>(router.index)});
  router.process->signal(SIGCONT);
}

void ScenarioRunner::upgrade(Router& router) {
  if (!router.process || router.successor) return;
  start(router, InitialList::Current);
  finish_upgrade(router, kUpgradePolls);
}

void ScenarioRunner::finish_upgrade(Router& router, int polls) {
  if (!router.process || !router.successor) return;  // one of them was killed in the meantime
  if (router.successor->port() == 0) {
    if (polls == 0)
      throw std::runtime_error("the successor in an upgrade did not start: " +
                               router.successor->log());
    return run_after(kUpgradePollInterval,
                     [this, &router, polls] { finish_upgrade(router, polls - 1); });
  }
  router.exit_expected = true;
  router.process->signal(SIGTERM);
}

// ---- the timeline ----

void ScenarioRunner::run_after(Micros delay, std::function<void()> call) {
  timeline_.push_back({event_log_.now() + delay, next_sequence_++, std::move(call)});
  std::push_heap(timeline_.begin(), timeline_.end(), std::greater<>());
}

void ScenarioRunner::record_reachability(int router, bool reachable) {
  event_log_.record({.kind = EventKind::ReachabilityChanged,
                     .router = static_cast<std::int16_t>(router),
                     .flag = reachable});
}

void ScenarioRunner::set_link_faults(const Action& a, const LinkFault& fault) {
  for (int r : a.routers) {
    Router& router = routers_[static_cast<std::size_t>(r)];
    if (a.path == Action::LinkPath::RoutersToDiscovery) {
      router.to_discovery->set_fault(fault);
      record_reachability(
          r, fault.kind == LinkFault::Kind::None || fault.kind == LinkFault::Kind::Delay);
    }
    if (a.path == Action::LinkPath::TillsToRouters) router.from_tills->set_fault(fault);
    if (a.path != Action::LinkPath::RoutersToCaches) continue;
    for (auto& [cache, link] : router.to_caches)
      if (a.caches.empty() || std::count(a.caches.begin(), a.caches.end(), cache))
        link->set_fault(fault);
  }
}

void ScenarioRunner::schedule(const Action& a) {
  for (int time = 0; time < a.repetitions; ++time) {
    Micros at = a.at + time * a.interval;
    run_after(at, [this, &a] { event_log_.add_label(a.label); });
    std::size_t members = std::max({a.routers.size(), a.caches.size(), std::size_t{1}});
    if (a.kind == Action::Kind::Link) members = 1;  // applies to all pairs at once
    for (std::size_t k = 0; k < members; ++k)
      run_after(at + static_cast<Micros>(k) * a.stagger, [this, &a, k] { apply(a, k); });
  }
}

void ScenarioRunner::apply(const Action& a, std::size_t member) {
  using Kind = Action::Kind;
  Router* router =
      member < a.routers.size() ? &routers_[static_cast<std::size_t>(a.routers[member])] : nullptr;
  switch (a.kind) {
    case Kind::Kill:
      return end_process(*router, SIGKILL, a);
    case Kind::Term:
      return end_process(*router, SIGTERM, a);
    case Kind::Stop:
      return stop(*router, a.duration);
    case Kind::Continue:
      return resume(*router);
    case Kind::Reload: {
      if (!router->process) return;
      router->config = a.config;
      if (a.changes_discovery_address) change_discovery_address(*router);
      std::ofstream(folder_.path() / ("n" + std::to_string(router->index) + ".json"))
          << router_config(*router, InitialList::Current);
      return router->process->signal(SIGHUP);
    }
    case Kind::Upgrade:
      return upgrade(*router);
    case Kind::Link:
      set_link_faults(a, a.link_fault);
      if (a.duration > 0) run_after(a.duration, [this, &a] { set_link_faults(a, LinkFault()); });
      return;
    case Kind::Cache:
      change_cache(a.caches[member], a);
      if (a.duration > 0)
        run_after(a.duration, [this, c = a.caches[member], state = a.cache_change] {
          restore_cache(c, state);
        });
      return;
    case Kind::Discovery:
      change_discovery(a);
      if (a.duration > 0)
        run_after(a.duration, [this] {
          record_reachability(-1, true);
          discovery_.set_fault(rig::DiscoveryFault::None);
          discovery_.set_capacity(scenario_.discovery_capacity);
        });
      return;
    case Kind::Origin:
      world_->fleet().origin().set_slowdown(a.factor);
      if (a.duration > 0)
        run_after(a.duration, [this] { world_->fleet().origin().set_slowdown(1); });
      return;
    case Kind::Load:
      tills_->demand().set_load(a.factor);
      if (a.duration > 0) run_after(a.duration, [this] { tills_->demand().set_load(1); });
      return;
  }
}

void ScenarioRunner::run() {
  rig::StormTills::Routing routing;
  routing.router_count = scenario_.router_count;
  routing.port_of = [this](int r) -> std::uint16_t {
    const Router& router = routers_[static_cast<std::size_t>(r)];
    if (!router.process) return 0;
    return router.from_tills ? router.from_tills->port() : router.process->port();
  };
  routing.choose_router = [this](int preferred) { return pick_router(preferred); };
  routing.retry_elsewhere = scenario_.retry_elsewhere,
  routing.marks_retries = scenario_.marks_retries;
  routing.observer = this;
  tills_ = std::make_unique<rig::StormTills>(base_.get(), clock_, plan_, std::move(routing),
                                             scenario_.slack, scenario_.seed,
                                             [this]() -> emu::Second& { return tills_counts_; });
  if (scenario_.store)
    for (const Router& r : routers_)
      std::filesystem::copy(store_directory(r.index), store_directory(r.index).string() + ".first",
                            std::filesystem::copy_options::recursive);
  event_log_.start();
  // Caches listed before the load count as listed at its start.
  for (std::size_t k = 0; k < caches_.size(); ++k)
    event_log_.record({.kind = EventKind::ListChanged,
                       .cache = static_cast<std::int16_t>(k),
                       .value = static_cast<std::int64_t>(discovery_.version()),
                       .extra = Event::Active});
  for (const Action& a : scenario_.actions) schedule(a);
  tills_->start();
  load_running_ = true;
  last_tick_at_ = clock_.now();
  run_loop_until([] { return false; }, scenario_.duration);
  tills_->stop();
  run_loop_until([&] { return tills_->idle(); },
                 plan_.settings.classes[1].deadline + scenario_.slack + kSecond);
  load_running_ = false, shutting_down_ = true;
  for (Router& r : routers_) {
    resume(r);
    r.exit_expected = true;
    if (r.process) r.process->signal(SIGTERM);
    if (r.successor) r.successor->signal(SIGTERM);
  }
  run_loop_until(
      [&] {
        return std::all_of(routers_.begin(), routers_.end(),
                           [](const Router& r) { return !r.process && !r.successor; });
      },
      kExitTimeout);
}

bool ScenarioRunner::run_loop_until(const std::function<bool()>& done, Micros limit) {
  Micros end = clock_.now() + limit;
  while (!done()) {
    if (clock_.now() >= end) return false;
    event_base_loop(base_.get(), EVLOOP_ONCE);  // returns at the next tick at the latest
  }
  return true;
}

void ScenarioRunner::on_tick(evutil_socket_t, short, void* self) {
  static_cast<ScenarioRunner*>(self)->tick();
}

void ScenarioRunner::tick() {
  Micros now = clock_.now();
  if (load_running_) {
    max_lag_ = std::max(max_lag_, now - last_tick_at_ - kTickInterval);
    last_tick_at_ = now;
    while (!timeline_.empty() && timeline_.front().at <= event_log_.now()) {
      std::pop_heap(timeline_.begin(), timeline_.end(), std::greater<>());
      ScheduledCall due = std::move(timeline_.back());
      timeline_.pop_back();
      due.call();
    }
    std::uint64_t fetched = world_->fleet().origin().fetched();
    if (fetched != origin_fetches_)
      event_log_.record(
          {.kind = EventKind::OriginFetches,
           .value = static_cast<std::int64_t>(fetched - std::exchange(origin_fetches_, fetched))});
    for (; duplicate_effects_ < effects_.duplicate_effects(); ++duplicate_effects_)
      event_log_.record({.kind = EventKind::DuplicateEffect});
  }
  for (Router& r : routers_) check_processes(r);
}

void ScenarioRunner::check_processes(Router& r) {
  auto record_exit = [&](const rig::RouterProcess& process) {
    event_log_.record({.kind = EventKind::ProcessExited,
                       .router = static_cast<std::int16_t>(r.index),
                       .value = process.status(),
                       .flag = r.exit_expected});
  };
  if (r.successor && r.successor->has_exited()) {
    record_exit(*r.successor);
    r.successor.reset();
  }
  if (r.process && r.process->has_exited()) {
    record_exit(*r.process);
    r.process = std::move(r.successor);
    r.probe_socket.reset();
    if (r.process) {
      r.exit_expected = shutting_down_;
    } else {
      r.serving = false, r.stopped = false, r.unavailable_since = clock_.now();
    }
  }
  if (r.process && !r.serving && !r.stopped) probe_ready(r);
}

/// Sends `mn` until the router answers `MN`.
void ScenarioRunner::probe_ready(Router& r) {
  if (!r.probe_socket) {
    if (r.process->port() == 0) return;
    r.probe_socket = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    auto address = parse_address("127.0.0.1:" + std::to_string(r.process->port()));
    ::connect(r.probe_socket.get(), reinterpret_cast<sockaddr*>(&*address), sizeof *address);
    r.probe_sent = false;
  }
  if (!r.probe_sent) {
    r.probe_sent = ::send(r.probe_socket.get(), "mn\r\n", 4, MSG_NOSIGNAL | MSG_DONTWAIT) == 4;
    return;
  }
  char data[64];
  ssize_t received = ::recv(r.probe_socket.get(), data, sizeof data, MSG_DONTWAIT);
  if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
  if (received >= 2 && data[0] == 'M' && data[1] == 'N') {
    r.serving = true;
    event_log_.record(
        {.kind = EventKind::ProcessReady, .router = static_cast<std::int16_t>(r.index)});
  }
  r.probe_socket.reset();
}

bool ScenarioRunner::is_usable(const Router& r) const {
  if (r.serving && !r.stopped) return true;
  return r.unavailable_since > 0 &&
         clock_.now() - r.unavailable_since < scenario_.failure_detection_time;
}

/// The load balancer's choice: the preferred router if it seems alive, else a random live one.
int ScenarioRunner::pick_router(int preferred) {
  if (preferred >= 0 && is_usable(routers_[static_cast<std::size_t>(preferred)])) return preferred;
  std::vector<int> all;
  for (const Router& r : routers_)
    if (is_usable(r)) all.push_back(r.index);
  if (all.empty()) return std::max(preferred, 0);
  return all[random_() % all.size()];
}

// ---- observations of the simulated peers ----

void ScenarioRunner::on_try_started(const rig::StormTills::Try& client_try) {
  event_log_.record({.kind = EventKind::TryStarted,
                     .router = static_cast<std::int16_t>(client_try.router),
                     .id = client_try.id,
                     .value = static_cast<std::int64_t>(client_try.request_id),
                     .extra = client_try.timeout,
                     .flag = client_try.write});
}

void ScenarioRunner::on_try_ended(std::uint64_t id, rig::StormTills::TryResult result) {
  using Result = rig::StormTills::TryResult;
  static const std::map<Result, EventKind> kinds{
      {Result::Served, EventKind::Served},       {Result::Refused, EventKind::Refused},
      {Result::Failed, EventKind::Failed},       {Result::Lost, EventKind::Lost},
      {Result::Unreached, EventKind::Unreached}, {Result::Wrong, EventKind::Wrong}};
  event_log_.record({.kind = kinds.at(result), .id = id});
}

void ScenarioRunner::on_request_done(std::uint64_t request_id, bool served) {
  event_log_.record({.kind = EventKind::RequestDone, .id = request_id, .flag = served});
}

void ScenarioRunner::on_connection(rig::ModelCache& server) {
  event_log_.record({.kind = EventKind::ConnectionOpened,
                     .cache = static_cast<std::int16_t>(cache_index_by_server_.at(&server))});
}

void ScenarioRunner::on_command(rig::ModelCache& server, const Command& command) {
  event_log_.record({.kind = EventKind::AttemptReceived,
                     .cache = static_cast<std::int16_t>(cache_index_by_server_.at(&server)),
                     .id = std::strtoull(command.id.c_str(), nullptr, 16)});
}

void ScenarioRunner::on_call(std::size_t port) {
  if (port > 0)
    event_log_.record({.kind = EventKind::DiscoveryCall,
                       .router = static_cast<std::int16_t>(router_by_discovery_port_.at(port))});
}

void ScenarioRunner::on_answer(std::size_t port, std::optional<std::uint64_t> version) {
  if (port == 0) return;
  // An answer that a cut link holds back does not count as received.
  int router = router_by_discovery_port_.at(port);
  const auto& link = routers_[static_cast<std::size_t>(router)].to_discovery;
  bool held_back = link && (link->fault().kind == LinkFault::Kind::Cut ||
                            link->fault().kind == LinkFault::Kind::Silent);
  event_log_.record({.kind = EventKind::DiscoveryAnswer,
                     .router = static_cast<std::int16_t>(router),
                     .value = version && !held_back ? static_cast<std::int64_t>(*version) : 0});
}

/// Changes that a silent watch misses count as notified 6 s after it fell silent or 2 s after its
/// wait ends, whichever is later (PROTOCOL).
void ScenarioRunner::on_watch_silenced(std::size_t port, Micros left) {
  if (port == 0) return;
  Micros notified_at = event_log_.now() + std::max(6 * kSecond, left + 2 * kSecond);
  event_log_.record({.kind = EventKind::WatchSilent,
                     .router = static_cast<std::int16_t>(router_by_discovery_port_.at(port)),
                     .value = static_cast<std::int64_t>(notified_at)});
}

}  // namespace arrowfork::tier
