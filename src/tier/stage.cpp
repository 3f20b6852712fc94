#include "stage.hpp"

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
using What = Event::What;

constexpr Micros kTick = 5 * kMillisecond;
constexpr Micros kStartLimit = 30 * kSecond;
constexpr Micros kEndLimit = 5 * kSecond;
// Descriptors: each router may have a connection of each kind to each stand-in, twice over links.
constexpr rlim_t kDescriptors = 32'768;
// How often a successor is looked at, and how long it may take.
constexpr Micros kUpgradeStep = 20 * kMillisecond;
constexpr int kUpgradeTries = 300;
constexpr Micros kOldAddressCloses = 1500 * kMillisecond;

const std::map<std::string, rig::DiscoveryFault>& discovery_faults() {
  using F = rig::DiscoveryFault;
  static const std::map<std::string, F> all{
      {"none", F::None},     {"slow", F::Slow}, {"silent", F::Silent}, {"down", F::Down},
      {"spoilt", F::Spoilt}, {"half", F::Half}, {"reset", F::Reset}};
  return all;
}

}  // namespace

Stage::Stage(const Scenario& scenario, const TierOptions& options)
    : s_(scenario),
      o_(options),
      base_(rig::precise_base()),
      discovery_(base_.get()),
      effects_(scenario.key_ttl),
      random_(scenario.seed) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min(limit.rlim_max, std::max(limit.rlim_cur, kDescriptors));
  ::setrlimit(RLIMIT_NOFILE, &limit);
  plan_day();
  start_caches();
  start_routers();
}

Stage::~Stage() = default;

Figures Stage::figures() const {
  const robinseam::Settings& s = day_.settings;
  Figures f;
  f.read_aim = s.classes[0].latency_objective, f.write_aim = s.classes[1].latency_objective;
  f.drain_grace = s.drain_grace, f.tip_after = s.overload_time;
  f.cold_share = s.cold_share, f.overload_factor = s.overload_factor;
  return f;
}

void Stage::plan_day() {
  day_ = emu::usual_day(1);
  emu::FleetPlan& f = day_.fleet;
  f.servers = s_.caches, f.cores = s_.cores, f.waiting = s_.waiting;
  f.read_work = f.write_work = s_.work, f.work_cv = s_.work_cv;
  f.keeps = static_cast<std::size_t>(s_.keeps);
  f.origin_places = s_.origin_places, f.origin_work = s_.origin_work;
  f.handshake = std::min(f.handshake, s_.work / 5);
  f.drops_given_up = true;
  emu::TillPlan& t = day_.tills;
  t.rate = s_.rate, t.writes = s_.writes, t.keys = s_.keys, t.tries = s_.tries, t.pause = s_.pause;
  if (s_.tries == 1) t.try_share = 1;
  day_.routers = s_.routers;
  robinseam::Settings& settings = day_.settings;
  settings.poll_list = !s_.pushed;
  settings.max_poll_delay = s_.ask_within;
  settings.cold_time = s_.cold_time;
  settings.classes[1].key_ttl = s_.key_ttl, settings.classes[1].group = s_.group;
  double capacity =
      s_.caches * s_.cores * static_cast<double>(kSecond) / static_cast<double>(s_.work);
  for (auto& tenant : settings.tenants) tenant.quota_per_s = tenant.portion * capacity;
}

// ---- caches and discovery ----

void Stage::start_caches() {
  world_ = std::make_unique<rig::ModelWorld>(base_.get(), clock_, day_.fleet, s_.seed * 2 + 1);
  discovery_.set_capacity(s_.discovery_capacity);
  for (auto& model : world_->fleet().servers()) {
    if (s_.warm)
      for (int k = std::min(s_.keeps, s_.keys); k-- > 0;) model->hold("k" + std::to_string(k));
    CacheSlot slot;
    slot.server = std::make_unique<rig::ModelCache>(base_.get(), clock_, *world_, *model, effects_);
    slot.server->set_room(static_cast<std::size_t>(s_.room));
    slot.id = model->id();
    int index = static_cast<int>(caches_.size());
    index_of_[slot.server.get()] = index;
    cache_of_[slot.id] = index;
    caches_.push_back(std::move(slot));
    list(index, "active", false);
  }
  for (CacheSlot& slot : caches_) slot.server->set_observer(this);
}

std::uint16_t Stage::port_of_cache(int index) const {
  const std::string address = caches_.at(static_cast<std::size_t>(index)).server->address();
  return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
}

void Stage::list(int index, const std::string& health, bool cold) {
  CacheSlot& slot = caches_[static_cast<std::size_t>(index)];
  slot.health = health;
  if (cold) slot.born = clock_.now();
  rig::DiscoveryServer::Entry e;
  e.dial = slot.server->address();
  e.health = health;
  e.born_ms = slot.born / kMillisecond;
  // Noted first: watches are answered within put().
  account_.note({.what = What::Listed,
                 .cache = static_cast<std::int16_t>(index),
                 .value = static_cast<std::int64_t>(discovery_.version() + 1),
                 .further = health == "active"    ? Event::Active
                            : health == "leaving" ? Event::Leaving
                                                  : Event::Gone,
                 .flag = cold});
  discovery_.put(slot.id, e);
}

void Stage::list_twice(int index) {
  CacheSlot& slot = caches_[static_cast<std::size_t>(index)];
  rig::DiscoveryServer::Entry drains, gone;
  drains.dial = gone.dial = slot.server->address();
  drains.health = "leaving";
  gone.health = slot.health = "left";
  account_.note({.what = What::Listed,
                 .cache = static_cast<std::int16_t>(index),
                 .value = static_cast<std::int64_t>(discovery_.version() + 1),
                 .further = Event::Gone});
  discovery_.put_twice(slot.id, drains, gone);
}

void Stage::restart_cache(int index) {
  auto k = static_cast<std::size_t>(index);
  world_->catch_up();
  world_->fleet().servers()[k]->restart(day_.settings.cold_share, s_.cold_time);
  caches_[k].server->reset_connections();
}

void Stage::set_cache(int index, const Action& a) {
  using State = Action::Cache;
  auto k = static_cast<std::size_t>(index);
  CacheSlot& slot = caches_[k];
  emu::CacheModel& model = *world_->fleet().servers()[k];
  switch (a.cache) {
    case State::Well:
      restore_cache(index, State::Well);
      break;
    case State::Slow:
      model.set_trouble(emu::Trouble::Slow, a.factor);
      break;
    case State::Full:
      model.set_trouble(emu::Trouble::Full);
      break;
    case State::Silent:
      model.set_trouble(emu::Trouble::Silent);
      break;
    case State::Failing:
      model.set_trouble(emu::Trouble::Failing);
      break;
    case State::Cold:
      restart_cache(index);
      list(index, "active", true);
      break;
    case State::Drain:
      list(index, "leaving", false);
      break;
    case State::Twice:
      list_twice(index);
      break;
    case State::Leave:
      slot.server->set_away(true);
      list(index, "left", false);
      break;
    case State::Replace: {
      restart_cache(index);
      list(index, "left", false);
      if (!a.same_address) {
        auto next =
            std::make_unique<rig::ModelCache>(base_.get(), clock_, *world_, model, effects_);
        next->set_room(static_cast<std::size_t>(s_.room));
        next->set_observer(this);
        index_of_[next.get()] = index;
        slot.server->set_away(true);
        left_.push_back(std::exchange(slot.server, std::move(next)));
      }
      slot.id = model.id() + "-" + std::to_string(++slot.generation);
      cache_of_[slot.id] = index;
      list(index, "active", true);
      break;
    }
  }
}

void Stage::restore_cache(int index, Action::Cache state) {
  auto k = static_cast<std::size_t>(index);
  CacheSlot& slot = caches_[k];
  world_->fleet().servers()[k]->set_trouble(emu::Trouble::None);
  if (state == Action::Cache::Leave) {
    slot.server->set_away(false);
    restart_cache(index);
    list(index, "active", true);
  } else if (slot.health == "leaving") {
    list(index, "active", false);
  }
}

void Stage::set_discovery(const Action& a) {
  if (a.work >= 0 || a.most_wait >= 0) {
    rig::DiscoveryServer::Capacity capacity = s_.discovery_capacity;
    if (a.work >= 0) capacity.work = a.work;
    if (a.most_wait >= 0) capacity.most_wait = a.most_wait;
    discovery_.set_capacity(capacity);
  }
  if (a.discovery == "forget") {
    discovery_.forget();
    for (std::size_t k = 0; k < caches_.size(); ++k)
      list(static_cast<int>(k), caches_[k].health, false);
  } else if (a.discovery == "mute") {
    discovery_.mute_watches();
  } else if (auto fault = discovery_faults().find(a.discovery); fault != discovery_faults().end()) {
    discovery_.set_fault(fault->second);
    note_reach(-1, fault->second == rig::DiscoveryFault::None ||
                       fault->second == rig::DiscoveryFault::Slow);
  }
}

// ---- routers ----

/// Of discovery, for that router.
std::size_t Stage::open_port(int router) {
  auto dial = [this, router](const std::string& id, const rig::DiscoveryServer::Entry& entry) {
    auto& links = routers_[static_cast<std::size_t>(router)].to_caches;
    auto link = links.find(cache_of_.at(id));
    return link == links.end() ? entry.dial : "127.0.0.1:" + std::to_string(link->second->port());
  };
  std::size_t number = discovery_.add_port(dial);
  router_of_port_[number] = router;
  return number;
}

/// DAYS: the old address takes no new connection and closes the open ones after 1.5 s.
void Stage::move_discovery(Router& router) {
  discovery_.close_port(router.port_number, kOldAddressCloses);
  router.port_number = open_port(router.index);
  account_.note({.what = What::Moved, .router = static_cast<std::int16_t>(router.index)});
}

/// Links are made for the pairs that the timeline names; all others reach each other at once.
void Stage::start_routers() {
  routers_.resize(static_cast<std::size_t>(s_.routers));
  for (int r = 0; r < s_.routers; ++r) {
    Router& router = routers_[static_cast<std::size_t>(r)];
    router.index = r;
    router.port_number = open_port(r);
  }
  for (const Action& a : s_.actions) {
    if (a.verb != Action::Verb::Link) continue;
    std::vector<int> caches = a.caches;
    if (caches.empty())
      for (int c = 0; c < s_.caches; ++c) caches.push_back(c);
    for (int r : a.routers) {
      Router& router = routers_[static_cast<std::size_t>(r)];
      auto make = [&](std::unique_ptr<Link>& link, Link::Target target) {
        if (!link) link = std::make_unique<Link>(base_.get(), clock_, std::move(target));
      };
      if (a.way == Action::Way::RoutersToDiscovery)
        make(router.to_discovery,
             [this, number = router.port_number] { return discovery_.port(number); });
      if (a.way == Action::Way::TillsToRouters)
        make(router.from_tills,
             [&router] { return router.process ? router.process->port() : std::uint16_t{0}; });
      if (a.way == Action::Way::RoutersToCaches)
        for (int c : caches) make(router.to_caches[c], [this, c] { return port_of_cache(c); });
    }
  }
  for (Router& router : routers_) old_lists_.push_back(discovery_.whole(router.port_number));
  discovery_.set_observer(this);
  for (Router& router : routers_) start(router, s_.known);
  tick_event_.reset(event_new(base_.get(), -1, EV_PERSIST, on_tick, this));
  timeval every = timeval_of(kTick);
  event_add(tick_event_.get(), &every);
  bool up = spin_until(
      [&] {
        return std::all_of(routers_.begin(), routers_.end(),
                           [](const Router& r) { return r.in_use; });
      },
      kStartLimit);
  if (up) return;
  for (const Router& r : routers_)
    if (!r.in_use)
      throw std::runtime_error("router " + std::to_string(r.index) + " did not start:\n" +
                               r.process->log());
}

std::string Stage::config_of(const Router& router, Known known) const {
  std::string discovery = router.to_discovery
                              ? "127.0.0.1:" + std::to_string(router.to_discovery->port())
                              : discovery_.address(router.port_number);
  Json config{{"name", "n" + std::to_string(router.index)},
              {"listen", "127.0.0.1:0"},
              {"discovery", discovery},
              // New with each start, as the platform has it.
              {"seed", std::to_string(1'000'000 + s_.seed * 10'000 +
                                      static_cast<unsigned>(router.index * 100 + router.starts))},
              {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", s_.sockets}}},
              {"settings", Json::parse(rig::settings_json(day_.settings, s_.routers))}};
  if (known == Known::Now) config["known"] = Json::parse(discovery_.whole(router.port_number));
  if (known == Known::Old)
    config["known"] = Json::parse(old_lists_.at(static_cast<std::size_t>(router.index)));
  if (s_.control) {
    auto state = folder_.path() / ("state" + std::to_string(router.index));
    std::filesystem::create_directories(state);
    config["control"] = "127.0.0.1:0";
    config["state_dir"] = state.string();
  }
  if (s_.store) config["store"] = {{"folder", store_of(router.index).string()}};
  for (const std::string* more : {&s_.config, &router.config})
    if (!more->empty()) config.merge_patch(Json::parse(*more));
  return config.dump(1);
}

std::filesystem::path Stage::store_of(int router) const {
  return folder_.path() / ("store" + std::to_string(router));
}

/// Between two lives of a router.
void Stage::change_state(int router, State state) {
  namespace fs = std::filesystem;
  fs::path own = store_of(router), first = own.string() + ".first";
  if (state == State::Kept) return;
  if (state != State::Cut) fs::remove_all(own);
  if (state == State::Old) fs::copy(first, own, fs::copy_options::recursive);
  if (state == State::Other) {
    fs::create_directories(own);
    for (const auto& file : fs::directory_iterator(store_of((router + 1) % s_.routers)))
      if (file.path().filename() != "LOCK") fs::copy(file.path(), own / file.path().filename());
  }
  if (state != State::Cut) return;
  for (const auto& file : fs::directory_iterator(own))
    fs::resize_file(file.path(), file.file_size() / 2);
}

void Stage::start(Router& router, Known known) {
  std::string name = "n" + std::to_string(router.index);
  auto at = folder_.path() / (name + ".json");
  std::ofstream(at) << config_of(router, known);
  std::filesystem::path logs = o_.logs.empty() ? folder_.path() : std::filesystem::path(o_.logs);
  auto log = logs / (name + "-" + std::to_string(++router.starts) + ".log");
  bool lean = s_.program == "arrowfork";
  const std::string& program = lean ? o_.arrowfork : o_.wheeldeal;
  if (program.empty()) throw std::runtime_error("no program '" + s_.program + "' is known here");
  auto process = std::make_unique<rig::RouterProcess>(program, at, log, lean);
  account_.note({.what = What::Started,
                 .router = static_cast<std::int16_t>(router.index),
                 .value = router.starts});
  if (router.process && !router.process->ended()) {
    router.successor = std::move(process);
    return;
  }
  router.process = std::move(process);
  router.meant = false, router.stopped = false;
  router.probe.reset();
}

void Stage::start_when_over(Router& router, Known known, State state) {
  if (!router.process) {
    change_state(router.index, state);
    return start(router, known);
  }
  in(kTick, [this, &router, known, state] { start_when_over(router, known, state); });
}

void Stage::end(Router& router, int signal, const Action& a) {
  if (!router.process || router.meant) return;
  router.meant = true;
  if (signal == SIGKILL) {
    account_.note({.what = What::Killed, .router = static_cast<std::int16_t>(router.index)});
    if (router.successor) router.successor->signal(SIGKILL);
  }
  router.process->signal(signal);
  if (!a.config.empty()) router.config = a.config;
  if (a.start_after >= 0)
    in(a.start_after, [this, &router, known = a.known, state = a.state] {
      start_when_over(router, known, state);
    });
}

void Stage::stop(Router& router, Micros lasts) {
  if (!router.process || router.stopped) return;
  router.stopped = true, router.hurt_at = clock_.now();
  account_.note({.what = What::Stopped, .router = static_cast<std::int16_t>(router.index)});
  router.process->signal(SIGSTOP);
  if (lasts > 0) in(lasts, [this, &router] { resume(router); });
}

void Stage::resume(Router& router) {
  if (!router.process || !std::exchange(router.stopped, false)) return;
  account_.note({.what = What::Continued, .router = static_cast<std::int16_t>(router.index)});
  router.process->signal(SIGCONT);
}

void Stage::upgrade(Router& router) {
  if (!router.process || router.successor) return;
  start(router, Known::Now);
  finish_upgrade(router, kUpgradeTries);
}

void Stage::finish_upgrade(Router& router, int tries) {
  if (!router.process || !router.successor) return;  // one of them was killed meanwhile
  if (router.successor->port() == 0) {
    if (tries == 0)
      throw std::runtime_error("a new version did not start: " + router.successor->log());
    return in(kUpgradeStep, [this, &router, tries] { finish_upgrade(router, tries - 1); });
  }
  router.meant = true;
  router.process->signal(SIGTERM);
}

// ---- the timeline ----

void Stage::in(Micros span, std::function<void()> run) {
  due_.push_back({account_.now() + span, order_++, std::move(run)});
  std::push_heap(due_.begin(), due_.end(), std::greater<>());
}

void Stage::note_reach(int router, bool reachable) {
  account_.note(
      {.what = What::Reach, .router = static_cast<std::int16_t>(router), .flag = reachable});
}

void Stage::set_links(const Action& a, const LinkFault& fault) {
  for (int r : a.routers) {
    Router& router = routers_[static_cast<std::size_t>(r)];
    if (a.way == Action::Way::RoutersToDiscovery) {
      router.to_discovery->set(fault);
      note_reach(r, fault.kind == LinkFault::Kind::None || fault.kind == LinkFault::Kind::Delay);
    }
    if (a.way == Action::Way::TillsToRouters) router.from_tills->set(fault);
    if (a.way != Action::Way::RoutersToCaches) continue;
    for (auto& [cache, link] : router.to_caches)
      if (a.caches.empty() || std::count(a.caches.begin(), a.caches.end(), cache)) link->set(fault);
  }
}

void Stage::schedule(const Action& a) {
  for (int time = 0; time < a.times; ++time) {
    Micros at = a.at + time * a.every;
    in(at, [this, &a] { account_.mark(a.label); });
    std::size_t members = std::max({a.routers.size(), a.caches.size(), std::size_t{1}});
    if (a.verb == Action::Verb::Link) members = 1;  // all of its pairs at once
    for (std::size_t k = 0; k < members; ++k)
      in(at + static_cast<Micros>(k) * a.each, [this, &a, k] { act(a, k); });
  }
}

void Stage::act(const Action& a, std::size_t member) {
  using Verb = Action::Verb;
  Router* router =
      member < a.routers.size() ? &routers_[static_cast<std::size_t>(a.routers[member])] : nullptr;
  switch (a.verb) {
    case Verb::Kill:
      return end(*router, SIGKILL, a);
    case Verb::Term:
      return end(*router, SIGTERM, a);
    case Verb::Stop:
      return stop(*router, a.lasts);
    case Verb::Continue:
      return resume(*router);
    case Verb::Reload: {
      if (!router->process) return;
      router->config = a.config;
      if (a.moves) move_discovery(*router);
      std::ofstream(folder_.path() / ("n" + std::to_string(router->index) + ".json"))
          << config_of(*router, Known::Now);
      return router->process->signal(SIGHUP);
    }
    case Verb::Upgrade:
      return upgrade(*router);
    case Verb::Link:
      set_links(a, a.fault);
      if (a.lasts > 0) in(a.lasts, [this, &a] { set_links(a, LinkFault()); });
      return;
    case Verb::Cache:
      set_cache(a.caches[member], a);
      if (a.lasts > 0)
        in(a.lasts, [this, c = a.caches[member], state = a.cache] { restore_cache(c, state); });
      return;
    case Verb::Discovery:
      set_discovery(a);
      if (a.lasts > 0)
        in(a.lasts, [this] {
          note_reach(-1, true);
          discovery_.set_fault(rig::DiscoveryFault::None);
          discovery_.set_capacity(s_.discovery_capacity);
        });
      return;
    case Verb::Origin:
      world_->fleet().origin().set_slowdown(a.factor);
      if (a.lasts > 0) in(a.lasts, [this] { world_->fleet().origin().set_slowdown(1); });
      return;
    case Verb::Load:
      tills_->demand().set_load(a.factor);
      if (a.lasts > 0) in(a.lasts, [this] { tills_->demand().set_load(1); });
      return;
  }
}

void Stage::run() {
  rig::StormTills::Ways ways;
  ways.routers = s_.routers;
  ways.port = [this](int r) -> std::uint16_t {
    const Router& router = routers_[static_cast<std::size_t>(r)];
    if (!router.process) return 0;
    return router.from_tills ? router.from_tills->port() : router.process->port();
  };
  ways.pick = [this](int drawn) { return pick(drawn); };
  ways.elsewhere = s_.elsewhere, ways.marks_retry = s_.marks_retry;
  ways.observer = this;
  tills_ = std::make_unique<rig::StormTills>(base_.get(), clock_, day_, std::move(ways), s_.slack,
                                             s_.seed, [this]() -> emu::Second& { return second_; });
  if (s_.store)
    for (const Router& r : routers_)
      std::filesystem::copy(store_of(r.index), store_of(r.index).string() + ".first",
                            std::filesystem::copy_options::recursive);
  account_.begin();
  // What was listed before the load began holds from its begin.
  for (std::size_t k = 0; k < caches_.size(); ++k)
    account_.note({.what = What::Listed,
                   .cache = static_cast<std::int16_t>(k),
                   .value = static_cast<std::int64_t>(discovery_.version()),
                   .further = Event::Active});
  for (const Action& a : s_.actions) schedule(a);
  tills_->start();
  playing_ = true;
  ticked_at_ = clock_.now();
  spin_until([] { return false; }, s_.lasts);
  tills_->stop();
  spin_until([&] { return tills_->idle(); },
             day_.settings.classes[1].deadline + s_.slack + kSecond);
  playing_ = false, ending_ = true;
  for (Router& r : routers_) {
    resume(r);
    r.meant = true;
    if (r.process) r.process->signal(SIGTERM);
    if (r.successor) r.successor->signal(SIGTERM);
  }
  spin_until(
      [&] {
        return std::all_of(routers_.begin(), routers_.end(),
                           [](const Router& r) { return !r.process && !r.successor; });
      },
      kEndLimit);
}

bool Stage::spin_until(const std::function<bool()>& done, Micros limit) {
  Micros end = clock_.now() + limit;
  while (!done()) {
    if (clock_.now() >= end) return false;
    event_base_loop(base_.get(), EVLOOP_ONCE);  // the tick ends it at the latest
  }
  return true;
}

void Stage::on_tick(evutil_socket_t, short, void* self) { static_cast<Stage*>(self)->tick(); }

void Stage::tick() {
  Micros now = clock_.now();
  if (playing_) {
    behind_ = std::max(behind_, now - ticked_at_ - kTick);
    ticked_at_ = now;
    while (!due_.empty() && due_.front().at <= account_.now()) {
      std::pop_heap(due_.begin(), due_.end(), std::greater<>());
      Due due = std::move(due_.back());
      due_.pop_back();
      due.run();
    }
    std::uint64_t fetched = world_->fleet().origin().fetched();
    if (fetched != fetched_)
      account_.note(
          {.what = What::Fetched,
           .value = static_cast<std::int64_t>(fetched - std::exchange(fetched_, fetched))});
    for (; doubled_ < effects_.doubled(); ++doubled_) account_.note({.what = What::Doubled});
  }
  for (Router& r : routers_) watch(r);
}

void Stage::watch(Router& r) {
  auto note_end = [&](const rig::RouterProcess& process) {
    account_.note({.what = What::Ended,
                   .router = static_cast<std::int16_t>(r.index),
                   .value = process.status(),
                   .flag = r.meant});
  };
  if (r.successor && r.successor->ended()) {
    note_end(*r.successor);
    r.successor.reset();
  }
  if (r.process && r.process->ended()) {
    note_end(*r.process);
    r.process = std::move(r.successor);
    r.probe.reset();
    if (r.process) {
      r.meant = ending_;
    } else {
      r.in_use = false, r.stopped = false, r.hurt_at = clock_.now();
    }
  }
  if (r.process && !r.in_use && !r.stopped) probe(r);
}

/// `mn` until it is answered `MN`.
void Stage::probe(Router& r) {
  if (!r.probe) {
    if (r.process->port() == 0) return;
    r.probe = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    auto address = parse_address("127.0.0.1:" + std::to_string(r.process->port()));
    ::connect(r.probe.get(), reinterpret_cast<sockaddr*>(&*address), sizeof *address);
    r.asked = false;
  }
  if (!r.asked) {
    r.asked = ::send(r.probe.get(), "mn\r\n", 4, MSG_NOSIGNAL | MSG_DONTWAIT) == 4;
    return;
  }
  char data[64];
  ssize_t got = ::recv(r.probe.get(), data, sizeof data, MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
  if (got >= 2 && data[0] == 'M' && data[1] == 'N') {
    r.in_use = true;
    account_.note({.what = What::Ready, .router = static_cast<std::int16_t>(r.index)});
  }
  r.probe.reset();
}

bool Stage::usable(const Router& r) const {
  if (r.in_use && !r.stopped) return true;
  return r.hurt_at > 0 && clock_.now() - r.hurt_at < s_.notice;
}

/// The front's choice: the router that was drawn where it is thought to live, else any that is.
int Stage::pick(int drawn) {
  if (drawn >= 0 && usable(routers_[static_cast<std::size_t>(drawn)])) return drawn;
  std::vector<int> all;
  for (const Router& r : routers_)
    if (usable(r)) all.push_back(r.index);
  if (all.empty()) return std::max(drawn, 0);
  return all[random_() % all.size()];
}

// ---- what the stand-ins see ----

void Stage::asked(const rig::StormTills::Try& one) {
  account_.note({.what = What::Asked,
                 .router = static_cast<std::int16_t>(one.router),
                 .id = one.id,
                 .value = static_cast<std::int64_t>(one.job),
                 .further = one.patience,
                 .flag = one.write});
}

void Stage::ended(std::uint64_t id, rig::StormTills::End end) {
  using End = rig::StormTills::End;
  static const std::map<End, What> kinds{
      {End::Served, What::Served}, {End::Refused, What::Refused},     {End::Failed, What::Failed},
      {End::Lost, What::Lost},     {End::Unreached, What::Unreached}, {End::Wrong, What::Wrong}};
  account_.note({.what = kinds.at(end), .id = id});
}

void Stage::done(std::uint64_t job, bool served) {
  account_.note({.what = What::Done, .id = job, .flag = served});
}

void Stage::dialled(rig::ModelCache& server) {
  account_.note({.what = What::Dialled, .cache = static_cast<std::int16_t>(index_of_.at(&server))});
}

void Stage::begun(rig::ModelCache& server, const Command& command) {
  account_.note({.what = What::Begun,
                 .cache = static_cast<std::int16_t>(index_of_.at(&server)),
                 .id = std::strtoull(command.id.c_str(), nullptr, 16)});
}

void Stage::called(std::size_t port) {
  if (port > 0)
    account_.note(
        {.what = What::Called, .router = static_cast<std::int16_t>(router_of_port_.at(port))});
}

void Stage::told(std::size_t port, std::optional<std::uint64_t> version) {
  if (port == 0) return;
  // What a cut link holds back has not been told.
  int router = router_of_port_.at(port);
  const auto& link = routers_[static_cast<std::size_t>(router)].to_discovery;
  bool held = link && (link->fault().kind == LinkFault::Kind::Cut ||
                       link->fault().kind == LinkFault::Kind::Silent);
  account_.note({.what = What::Told,
                 .router = static_cast<std::int16_t>(router),
                 .value = version && !held ? static_cast<std::int64_t>(*version) : 0});
}

/// PROTOCOL: 6 s after it fell silent, or 2 s after its wait, whichever is later.
void Stage::muted(std::size_t port, Micros left) {
  if (port == 0) return;
  Micros counts = account_.now() + std::max(6 * kSecond, left + 2 * kSecond);
  account_.note({.what = What::Muted,
                 .router = static_cast<std::int16_t>(router_of_port_.at(port)),
                 .value = static_cast<std::int64_t>(counts)});
}

}  // namespace arrowfork::tier
