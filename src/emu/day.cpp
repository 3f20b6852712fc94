#include "day.hpp"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "../core/core.hpp"
#include "../limits/connection_close_budget.hpp"

namespace arrowfork::emu {
namespace {

constexpr Micros kAbandon = kSecond;  // as the shell has it

class Day;

/// A router's own clock: the world's, perhaps stepped ahead, as after a pause of its machine.
class SteppedClock final : public TimeSource {
 public:
  explicit SteppedClock(const TimeSource& world) : world_(world) {}
  Micros now() const override { return world_.now() + ahead_; }
  void step(Micros span) { ahead_ += span; }
  /// When the world's clock shows what this one calls `at`.
  Micros in_world(Micros at) const { return at - ahead_; }

 private:
  const TimeSource& world_;
  Micros ahead_ = 0;
};

/// A router without sockets: the core, and attempts carried straight to the model.
class ModelRouter final : public AttemptSender, public ListSource, public BalancerObserver {
 public:
  ModelRouter(Day& day, int number, const robinseam::Settings& settings, std::uint64_t seed);
  void start(std::vector<robinseam::Server> known);
  void list(std::vector<robinseam::Server> servers);
  /// Lets the core do what is due, and wakes it again when something will be.
  void turn();
  Core& core() { return core_; }
  void step_clock(Micros ahead) {
    clock_.step(ahead);
    turn();
  }
  std::size_t out() const { return out_.size(); }
  /// Killed: what it had out has nobody to be answered, and it does nothing more.
  void die();
  bool dead() const { return dead_; }
  /// Discovery has answered a call: with the whole list, or with nothing.
  void told(const std::vector<robinseam::Server>* list);
  bool watching() const { return watching_; }

 private:
  using Name = std::pair<RequestId, int>;
  /// An attempt on a connection, until its answer has come.
  struct Flight {
    Name name;
    bool live = true;  // somebody waits for it
    std::optional<Answer> answer;
    std::shared_ptr<bool> closed = std::make_shared<bool>(false);
  };
  /// Begun as they come, answered in order.
  struct Connection {
    std::deque<std::shared_ptr<Flight>> flights;
    bool closed = false;
    bool forsaken() const {
      return std::none_of(flights.begin(), flights.end(), [](const auto& f) { return f->live; });
    }
  };
  struct Pool {
    std::vector<std::shared_ptr<Connection>> connections;
    robinseam::limits::ConnectionCloseBudget budget{kPoolMost};
  };
  static constexpr std::size_t kPoolMost = 16;
  void send(const std::string& server, RequestId id, int attempt, const Request& request,
            Micros wait) override;
  Status cancel(const std::string& server, RequestId id, int attempt) override;
  bool supports_idempotency_key(const Request&) const override { return true; }
  void watch_list() override;
  void fetch_list() override {}
  void on_call(Micros now, const char* call, RequestId id,
               const robinseam::Actions& actions) override;

  Day& day_;
  const int number_;
  SteppedClock clock_;
  Core core_;
  std::shared_ptr<Connection> pick(Pool& pool, bool& dials);
  bool may_close(Pool& pool);
  void close(Pool& pool, const std::shared_ptr<Connection>& c);
  void answered(const std::string& server, const std::shared_ptr<Connection>& c);
  void end(const Flight& flight, Status status, const Answer& answer);

  std::map<Name, std::shared_ptr<Flight>> out_;
  std::map<std::string, Pool> pools_;
  std::map<std::string, Micros> gone_since_;  // by the list, as this router heard it
  std::map<std::string, Micros> writes_;      // first send of each idempotency key
  Micros woken_at_ = 0;
  bool turning_ = false, dead_ = false, watching_ = false;
};

/// One purchase or scan: its tries, one after the other.
class Till final : public ReplySink, public std::enable_shared_from_this<Till> {
 public:
  Till(Day& day, int second, int router, Request request, Micros aim, Micros deadline);
  void ask();

 private:
  void on_reply(const Request&, Reply&& reply) override;
  void give_up(int number);
  void again(Micros pause);
  void end(bool served);

  Day& day_;
  int second_, router_;
  Request request_;
  Micros begun_, aim_, deadline_;
  int tries_ = 0;
  bool waiting_ = false, ended_ = false;
  const ModelRouter* asked_ = nullptr;  // a process; its like may have come in its place
  RequestId id_ = 0;
  std::shared_ptr<Till> self_;  // until its last try has ended
};

class Day {
 public:
  Day(const DayPlan& plan, std::uint64_t seed);
  DayReport run();

  Second& second() {
    auto k = static_cast<std::size_t>((time.now() - begun) / kSecond);
    return report.seconds[std::min(k, report.seconds.size() - 1)];
  }
  Moment& moment() {
    auto k = static_cast<std::size_t>((time.now() - begun) / (100 * kMillisecond));
    return report.moments[std::min(k, report.moments.size() - 1)];
  }
  void call_discovery(ModelRouter& router);
  void fold(std::uint64_t value) {
    report.fingerprint = (report.fingerprint ^ value) * 0x100000001b3ULL;
  }

  DayPlan plan;
  VirtualTime time;
  Fleet fleet;
  Demand demand;
  Troubles troubles{fleet, demand};
  Micros begun;
  DayReport report;
  std::vector<std::unique_ptr<ModelRouter>> routers;
  robinseam::Settings settings;  // with the number of routers

 private:
  void come_back(const Return& r);
  std::vector<std::unique_ptr<ModelRouter>> killed_;  // events of theirs are still to come
  Micros busy_until_ = 0;                             // discovery
  std::uint64_t seed_, lives_ = 0, fetched_ = 0;

  void next_arrival();
  void arrive();
  void begin(const Trigger& trigger);
  void end(const Trigger& trigger);
  void tell_list();
};

// ---- routers ----

ModelRouter::ModelRouter(Day& day, int number, const robinseam::Settings& settings,
                         std::uint64_t seed)
    : day_(day),
      number_(number),
      clock_(day.time),
      core_(settings, seed, clock_, *this, 10'000, 100'000, day.plan.rules) {
  core_.set_observer(this);
}

void ModelRouter::start(std::vector<robinseam::Server> known) {
  core_.start(std::move(known));
  turn();
}

void ModelRouter::watch_list() {
  if (day_.settings.poll_list && day_.plan.discovery.work > 0) return day_.call_discovery(*this);
  core_.on_list(robinseam::ListScope::Delta, {});
}

void ModelRouter::told(const std::vector<robinseam::Server>* servers) {
  if (dead_) return;
  watching_ = servers != nullptr;
  if (servers) return list(*servers);
  core_.on_list(robinseam::ListScope::Failed, {});
  turn();
}

void ModelRouter::die() {
  dead_ = true;
  for (auto& [server, pool] : pools_)
    for (auto& c : pool.connections) {
      c->closed = true;
      for (auto& f : c->flights) *f->closed = true;
    }
}

void ModelRouter::list(std::vector<robinseam::Server> servers) {
  std::set<std::string> named;
  for (const auto& s : servers) named.insert(s.id), gone_since_.erase(s.id);
  for (auto& server : day_.fleet.servers())
    if (!named.count(server->id())) gone_since_.emplace(server->id(), day_.time.now());
  core_.on_list(robinseam::ListScope::Full, std::move(servers));
  turn();
}

void ModelRouter::turn() {
  if (dead_ || std::exchange(turning_, true)) return;
  core_.process_events();
  turning_ = false;
  Micros next = core_.next_timer(), now = day_.time.now();
  if (next) next = clock_.in_world(next);
  if (!next || (woken_at_ > now && woken_at_ <= next)) return;
  woken_at_ = std::max(next, now + 1);
  day_.time.at(woken_at_, [this, when = woken_at_] {
    if (woken_at_ == when) woken_at_ = 0;
    turn();
  });
}

void ModelRouter::on_call(Micros now, const char* call, RequestId id,
                          const robinseam::Actions& actions) {
  day_.fold(static_cast<std::uint64_t>(now));
  day_.fold(static_cast<std::uint64_t>(call[0]) + id * 256 + static_cast<unsigned>(number_));
  for (const auto& action : actions) {
    day_.fold(action.index());
    if (auto* send = std::get_if<robinseam::Send>(&action))
      for (char c : send->server) day_.fold(static_cast<unsigned char>(c));
    if (auto* refuse = std::get_if<robinseam::Refuse>(&action))
      day_.fold(static_cast<std::uint64_t>(refuse->retry_after));
  }
}

void ModelRouter::send(const std::string& server, RequestId id, int attempt, const Request& request,
                       Micros) {
  Micros now = day_.time.now();
  ++day_.second().attempts;
  if (auto gone = gone_since_.find(server); gone != gone_since_.end())
    day_.report.to_left += now - gone->second > day_.plan.settings.drain_grace;
  if (request.write) {
    auto [first, fresh] = writes_.emplace(request.idempotency_key, now);
    if (!fresh)
      day_.report.doubled_effects += now - first->second > day_.plan.settings.classes[1].key_ttl;
  }
  if (!day_.fleet.find(server)) {  // nobody listens there
    day_.time.after(2 * day_.fleet.plan().one_way, [this, id, attempt] {
      if (dead_) return;
      core_.on_attempt_ended(id, attempt, Status::ConnectFailed, AttemptResult());
      turn();
    });
    return;
  }
  Pool& pool = pools_[server];
  bool dials = false;
  auto c = pick(pool, dials);
  if (!c) {  // no connection of our own: nothing was sent
    core_.on_attempt_ended(id, attempt, Status::NotSent, AttemptResult());
    return;
  }
  day_.second().dials += dials;
  day_.moment().dials += dials;
  auto flight = std::make_shared<Flight>();
  flight->name = {id, attempt};
  c->flights.push_back(flight);
  out_[flight->name] = flight;
  Micros way = day_.fleet.plan().one_way * (dials ? 3 : 1);
  auto done = [this, server, c, flight](const Answer& answer) {
    if (c->closed) return;
    flight->answer = answer;
    answered(server, c);
    turn();
  };
  day_.time.after(way, [this, server, request, dials, flight, done = std::move(done)] {
    if (CacheModel* model = day_.fleet.find(server))
      model->arrive(request, dials, flight->closed, std::move(done));
  });
}

/// As the shell has it: an idle one, a new one, one that nobody waits on in exchange for a new one,
/// else behind the fewest.
std::shared_ptr<ModelRouter::Connection> ModelRouter::pick(Pool& pool, bool& dials) {
  std::shared_ptr<Connection> spare, least;
  for (auto& c : pool.connections) {
    if (c->flights.empty()) return c;
    if (c->forsaken()) spare = c;
    if (c->flights.front()->live && (!least || c->flights.size() < least->flights.size()))
      least = c;
  }
  if (pool.connections.size() >= kPoolMost && spare && may_close(pool)) close(pool, spare);
  if (pool.connections.size() >= kPoolMost) return least;
  dials = true;
  return pool.connections.emplace_back(std::make_shared<Connection>());
}

bool ModelRouter::may_close(Pool& pool) {
  switch (day_.plan.given_up) {
    case GivenUp::Closes:
      return true;
    case GivenUp::Drains:
      return false;
    case GivenUp::Budget:
      break;
  }
  return pool.budget.try_spend(day_.time.now());
}

void ModelRouter::close(Pool& pool, const std::shared_ptr<Connection>& c) {
  c->closed = true;
  std::erase(pool.connections, c);
  for (auto& f : c->flights) {
    *f->closed = true;
    if (f->live) end(*f, Status::Reset, {});
  }
  c->flights.clear();
}

void ModelRouter::answered(const std::string& server, const std::shared_ptr<Connection>& c) {
  while (!c->flights.empty() && c->flights.front()->answer) {
    auto flight = std::move(c->flights.front());
    c->flights.pop_front();
    pools_[server].budget.record_answer();
    if (flight->live) end(*flight, flight->answer->status, *flight->answer);
  }
}

void ModelRouter::end(const Flight& flight, Status status, const Answer& answer) {
  out_.erase(flight.name);
  Second& second = day_.second();
  second.full += status == Status::Rejected;
  second.errors += status == Status::Error;
  AttemptResult result;
  result.cache_result = answer.note;
  if (status != Status::Reset)
    result.report = {answer.utilization, answer.service_ms, answer.hit_share};
  core_.on_attempt_ended(flight.name.first, flight.name.second, status, std::move(result));
}

Status ModelRouter::cancel(const std::string& server, RequestId id, int attempt) {
  ++day_.second().timeouts;
  auto it = out_.find({id, attempt});
  if (it == out_.end()) return Status::Cancelled;
  auto flight = it->second;
  out_.erase(it);
  flight->live = false;
  Pool& pool = pools_[server];
  auto at = std::find_if(pool.connections.begin(), pool.connections.end(), [&](const auto& c) {
    return std::find(c->flights.begin(), c->flights.end(), flight) != c->flights.end();
  });
  if (at == pool.connections.end()) return Status::Cancelled;
  auto c = *at;
  if (c->forsaken() && may_close(pool)) {
    close(pool, c);
    return Status::Cancelled;
  }
  // Its answer is waited for, then the machine is taken for silent.
  day_.time.after(kAbandon, [this, server, c, flight] {
    if (dead_ || c->closed || flight->answer) return;
    close(pools_[server], c);
    turn();
  });
  return Status::Cancelled;
}

// ---- tills ----

Till::Till(Day& day, int second, int router, Request request, Micros aim, Micros deadline)
    : day_(day),
      second_(second),
      router_(router),
      request_(std::move(request)),
      begun_(day.time.now()),
      aim_(aim),
      deadline_(deadline) {}

void Till::ask() {
  self_ = shared_from_this();
  ++tries_;
  ++day_.second().tries;
  Micros now = day_.time.now();
  Micros left = begun_ + deadline_ - now;
  Request r = request_;
  r.time_left = std::min(
      left, static_cast<Micros>(day_.plan.tills.try_share * static_cast<double>(deadline_)));
  Micros patience = r.time_left;
  waiting_ = true;
  ModelRouter& router = *day_.routers[static_cast<std::size_t>(router_)];
  asked_ = &router;
  if (router.core().submit(std::move(r), *this, router, id_) != Core::SubmitResult::Accepted) {
    waiting_ = false;
    return again(day_.plan.tills.pause);
  }
  day_.time.after(patience + day_.plan.settings.answer_slack + 50 * kMillisecond,
                  [self = shared_from_this(), number = tries_] { self->give_up(number); });
  router.turn();
}

void Till::on_reply(const Request&, Reply&& reply) {
  if (!std::exchange(waiting_, false)) {
    ++day_.report.answers_twice;
    return;
  }
  if (reply.kind == Reply::Kind::Served) return end(true);
  day_.second().refused += reply.kind == Reply::Kind::Refused;
  again(day_.plan.tills.honours_wait ? std::max(reply.retry_after, day_.plan.tills.pause)
                                     : day_.plan.tills.pause);
}

/// No final answer came in the try's time: the router broke its first rule.
void Till::give_up(int number) {
  if (!waiting_ || number != tries_) return;
  waiting_ = false;
  if (asked_->dead()) {
    ++day_.report.lost_with_router;
    return again(day_.plan.tills.pause);
  }
  ++day_.report.answers_missing;
  day_.routers[static_cast<std::size_t>(router_)]->core().on_client_gone(id_);
  again(day_.plan.tills.pause);
}

void Till::again(Micros pause) {
  // The way to the router and back.
  Micros at = day_.time.now() + std::max<Micros>(pause, 0) + 2 * day_.plan.fleet.one_way;
  if (tries_ >= day_.plan.tills.tries || at >= begun_ + deadline_) return end(false);
  day_.time.at(at, [self = shared_from_this()] { self->ask(); });
}

void Till::end(bool served) {
  if (std::exchange(ended_, true)) return;
  Second& s = day_.report.seconds[static_cast<std::size_t>(second_)];
  bool in_time = served && day_.time.now() - begun_ <= aim_;
  ++(in_time ? s.in_time : served ? s.late : s.unserved);
  const robinseam::ClassSettings& type = day_.plan.settings.classes[request_.write];
  if (served) s.worth += in_time ? type.worth : type.late_worth;
  std::size_t banner = request_.tenant == day_.plan.settings.tenants[1].name;
  day_.report.banners[banner].served += served;
  day_.report.classes[request_.write].served += served;
  day_.time.after(0, [self = std::move(self_)] {});
}

// ---- the day ----

Day::Day(const DayPlan& plan, std::uint64_t seed)
    : plan(plan),
      fleet(time, this->plan.fleet, seed * 2 + 1),
      demand(plan.tills, plan.fleet, this->plan.settings, plan.routers, seed * 2),
      begun(time.now()),
      settings(plan.settings),
      seed_(seed) {
  report.seconds.resize(static_cast<std::size_t>(plan.lasts / kSecond));
  report.moments.resize(static_cast<std::size_t>(plan.lasts / (100 * kMillisecond)) + 1);
  settings.routers = plan.routers;
  for (int k = 0; k < plan.routers; ++k)
    routers.push_back(
        std::make_unique<ModelRouter>(*this, k, settings, seed * 1000 + static_cast<unsigned>(k)));
}

void Day::tell_list() {
  time.after(plan.list_delay, [this, list = troubles.listed()] {
    bool asks = plan.settings.poll_list && plan.discovery.work > 0;
    for (auto& router : routers)
      if (!asks || router->watching()) router->list(list);
  });
}

/// One call after the other; what is down, or would wait too long, is told that it failed.
void Day::call_discovery(ModelRouter& router) {
  const DiscoveryPlan& d = plan.discovery;
  ++moment().calls;
  Micros now = time.now(), since = now - begun - d.down_from;
  if (since >= 0 && since < d.down_for)
    return time.after(kMillisecond, [&router] { router.told(nullptr); });
  Micros begins = std::max(now, busy_until_);
  if (begins - now > d.most_wait)
    return time.after(d.most_wait, [&router] { router.told(nullptr); });
  busy_until_ = begins + d.work;
  time.at(busy_until_, [this, &router] {
    auto list = troubles.listed();
    router.told(&list);
  });
}

void Day::come_back(const Return& r) {
  std::vector<robinseam::Server> known;
  if (r.list != Return::List::None) known = troubles.listed();
  if (r.list == Return::List::Old)
    for (std::size_t k = 0; k < known.size() * 6 / 10; ++k) known[k].id = "gone-" + known[k].id;
  auto count = static_cast<std::size_t>(r.part * plan.routers + 0.5);
  for (std::size_t k = 0; k < count; ++k) {
    routers[k]->die();
    killed_.push_back(std::exchange(
        routers[k], std::make_unique<ModelRouter>(*this, static_cast<int>(k), settings,
                                                  seed_ * 1000 + 500'000 + ++lives_)));
  }
  for (std::size_t k = 0; k < count; ++k) routers[k]->start(known);
}

void Day::begin(const Trigger& t) {
  if (troubles.begin(t)) tell_list();
  if (t.kind != Trigger::Kind::ClockStep) return;
  for (std::size_t k = 0; k < routers.size(); ++k)
    if (static_cast<double>(k) < t.part * plan.routers)
      routers[k]->step_clock(static_cast<Micros>(t.factor * 1e6));
}

void Day::end(const Trigger& t) {
  if (troubles.end(t)) tell_list();
}

void Day::next_arrival() {
  time.after(demand.next_gap(), [this] {
    arrive();
    next_arrival();
  });
}

void Day::arrive() {
  auto number = static_cast<std::size_t>((time.now() - begun) / kSecond);
  if (number >= report.seconds.size()) return;
  Demand::First first = demand.draw();
  Request& r = first.request;
  const robinseam::ClassSettings& type = plan.settings.classes[r.write];
  ++report.seconds[number].asked;
  ++report.banners[static_cast<std::size_t>(first.banner)].asked;
  ++report.classes[r.write].asked;
  std::make_shared<Till>(*this, static_cast<int>(number), first.router, std::move(r),
                         type.latency_objective, type.deadline)
      ->ask();
}

DayReport Day::run() {
  if (plan.warm)
    for (auto& server : fleet.servers())
      for (int k = static_cast<int>(std::min<std::size_t>(plan.fleet.keeps, plan.tills.keys));
           k-- > 0;)
        server->hold("k" + std::to_string(k));
  for (auto& router : routers) router->start(troubles.listed());
  for (const Trigger& t : plan.triggers) {
    time.at(begun + t.from, [this, t] { begin(t); });
    time.at(begun + t.from + t.lasts, [this, t] { end(t); });
  }
  for (const Return& r : plan.returns) time.at(begun + r.at, [this, r] { come_back(r); });
  for (Micros at = 0; at < plan.lasts; at += 100 * kMillisecond)
    time.at(begun + at + 100 * kMillisecond - 1, [this] {
      std::uint64_t fetched = fleet.origin().fetched();
      moment().fetches = static_cast<int>(fetched - std::exchange(fetched_, fetched));
    });
  next_arrival();
  for (std::size_t k = 0; k < report.seconds.size(); ++k) {
    time.run_until(begun + static_cast<Micros>(k + 1) * kSecond - 1);
    Second& s = report.seconds[k];
    for (auto& server : fleet.servers()) s.busy += server->utilization() / plan.fleet.servers;
    s.origin_queue = fleet.origin().waiting();
    for (auto& router : routers) s.in_flight += router->out();
    s.module = routers[0]->core().module_stats();
  }
  time.run_until(begun + plan.lasts + 3 * kSecond);
  return std::move(report);
}

}  // namespace

DayPlan usual_day(double capacity_share) {
  DayPlan plan;
  plan.fleet.read_work = 30 * kMillisecond;
  plan.fleet.write_work = 45 * kMillisecond;
  robinseam::Settings& s = plan.settings;
  robinseam::ClassSettings read, write;
  read.name = "price-lookup";
  read.latency_objective = 150 * kMillisecond;
  read.deadline = 600 * kMillisecond;
  read.worth = 3;
  read.late_worth = 0.25;
  write.name = "sale-record";
  write.latency_objective = 250 * kMillisecond;
  write.deadline = kSecond;
  write.worth = 2;
  write.late_worth = 0.3;
  write.effect = robinseam::Effect::Keyed;
  write.key_ttl = 5 * kSecond;
  s.classes = {read, write};
  double capacity = plan.fleet.servers * plan.fleet.cores / 0.031;  // requests a second
  plan.tills.rate = capacity * capacity_share;
  s.tenants = {{"selam-stores", 0.56, 0.56 * capacity * 0.8},
               {"koket-express", 0.44, 0.44 * capacity * 0.8}};
  s.report_fields = {robinseam::ReportField::Utilization, robinseam::ReportField::LatencyMs,
                     robinseam::ReportField::HitShare};
  s.zone = "a";
  s.zones = {"a"};
  s.max_attempts = 5;
  s.may_cancel = true;
  s.may_hedge = true;
  s.worth_by_work = true;
  s.max_retry_after = kSecond;
  s.tick = 2 * kMillisecond;
  s.over_share_worth = 0.05;
  s.answer_slack = 8 * kMillisecond;
  s.drain_grace = 500 * kMillisecond;
  s.cold_share = 0.3;
  s.cold_time = 8 * kSecond;
  s.overload_factor = 4;
  s.overload_time = 1500 * kMillisecond;
  return plan;
}

DayPlan scaled_day(double capacity_share, int servers, int cores) {
  DayPlan plan = usual_day(capacity_share);
  FleetPlan& fleet = plan.fleet;
  double scale = static_cast<double>(servers * cores) / (fleet.servers * fleet.cores);
  fleet.waiting = fleet.waiting * cores / fleet.cores;
  fleet.servers = servers;
  fleet.cores = cores;
  fleet.origin_work = static_cast<Micros>(static_cast<double>(fleet.origin_work) / scale);
  plan.tills.rate *= scale;
  for (auto& t : plan.settings.tenants) t.quota_per_s *= scale;
  return plan;
}

double DayReport::served(int from, int to) const {
  int asked = 0, got = 0;
  for (int k = from; k < to && k < static_cast<int>(seconds.size()); ++k) {
    asked += seconds[static_cast<std::size_t>(k)].asked;
    got += seconds[static_cast<std::size_t>(k)].in_time + seconds[static_cast<std::size_t>(k)].late;
  }
  return asked == 0 ? 1 : static_cast<double>(got) / asked;
}

int DayReport::back(int end, double part) const {
  constexpr int kSpan = 3;
  for (int k = end; k + kSpan <= static_cast<int>(seconds.size()); ++k)
    if (served(k, k + kSpan) >= part) return k - end;
  return -1;
}

DayReport play(const DayPlan& plan, std::uint64_t seed) { return Day(plan, seed).run(); }

std::string table(const DayReport& report) {
  std::string text =
      "   s asked  in%  late%  tries  refused  attempts  full  t/o  err dials  busy origin  out  "
      "fetched  held\n";
  for (std::size_t k = 0; k < report.seconds.size(); ++k) {
    const Second& s = report.seconds[k];
    double asked = std::max(1, s.asked);
    char line[200];
    std::snprintf(
        line, sizeof line,
        "%4zu %5d %4.0f %6.1f %6.2f %8d %9.2f %5d %4d %4d %5d %5.2f %6zu %4zu %8.2f %5.2f\n", k,
        s.asked, 100 * s.in_time / asked, 100 * s.late / asked, s.tries / asked, s.refused,
        s.attempts / asked, s.full, s.timeouts, s.errors, s.dials, s.busy, s.origin_queue,
        s.in_flight, s.module.uncached_shed_share, s.module.fetch_limit);
    text += line;
  }
  return text;
}

}  // namespace arrowfork::emu
