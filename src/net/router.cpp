#include "router.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace arrowfork {
namespace {

using robinseam::Actions;
using robinseam::ListScope;

// What servers are presumed to hold at least; all routers together stay within it.
constexpr std::size_t kServerHolds = 60;
constexpr std::size_t kMostPerServer = 16;
// Descriptors for the listener, the event base, discovery and the log.
constexpr std::size_t kReservedSockets = 24;
constexpr std::size_t kSpareClients = 50;
// Memory that an open request may come to: its line three times over and what the module keeps.
constexpr std::size_t kOpenBytes = 16u << 10;
// After SIGTERM the front still sends new connections for up to 0.4 s, and what comes later than
// 0.7 s is ours to lose no more: in between the router stops listening.
constexpr Micros kStopListening = kSecond / 2;
constexpr Micros kStopStep = 20 * kMillisecond;
constexpr Micros kStopSlack = 650 * kMillisecond;
// A request that the module has left open this long after its time gets its answer all the same.
constexpr Micros kLastAnswer = 15 * kMillisecond;

// Ids kept of one span to tell copies; bounds their memory. Some 300 a second come, at most 1,200.
constexpr std::size_t kIdsMost = 8192;

constexpr Micros kLogEvery = 5 * kSecond;

const char* const kFailed = "SERVER_ERROR failed\r\n";

std::size_t server_sockets(const Config& c) { return (c.sockets - kReservedSockets) / 3; }

ClientSide::Limits client_limits(const Config& c) {
  ClientSide::Limits l;
  l.spare_connections = std::min(kSpareClients, c.sockets / 16);
  l.connections = c.sockets - kReservedSockets - server_sockets(c) - l.spare_connections;
  l.held_bytes = c.memory_bytes / 4;
  return l;
}

ServerSide::Limits server_limits(const Config& c) {
  ServerSide::Limits l;
  l.connections = server_sockets(c);
  l.per_server = std::clamp<std::size_t>(
      kServerHolds / static_cast<std::size_t>(c.settings.routers), 1, kMostPerServer);
  l.streams = c.links.streams;
  l.keepalive = c.links.keepalive;
  l.dial_timeout = c.links.dial_timeout;
  l.may_cancel = c.settings.may_cancel;
  return l;
}

robinseam::Balancer make_balancer(const Config& c, Micros now) {
  try {
    return robinseam::Balancer(c.settings, c.seed, now);
  } catch (const std::invalid_argument& e) {
    throw ConfigError(std::string("settings: ") + e.what());
  }
}

Micros longest_deadline(const Config& c) {
  Micros longest = 0;
  for (const auto& one : c.settings.classes) longest = std::max(longest, one.deadline);
  return longest;
}

std::vector<robinseam::Server> servers_of(const HostList& list) {
  std::vector<robinseam::Server> servers;
  servers.reserve(list.hosts.size());
  for (const Host& host : list.hosts) servers.push_back(host.server);
  return servers;
}

}  // namespace

Router::Router(event_base* base, const Config& config)
    : base_(base),
      config_(config),
      balancer_(make_balancer(config, clock_.now())),
      id_span_(longest_deadline(config)),
      max_open_(std::min<std::size_t>(config.memory_bytes / kOpenBytes,
                                      static_cast<std::size_t>(config.links.max_open))),
      clients_(base, clock_, *this, client_limits(config)),
      servers_(base, clock_, *this, server_limits(config), &config_.settings.report_fields),
      discovery_(base, config.discovery, config.known.version, !config.settings.must_ask, *this) {
  timer_event_.reset(event_new(base, -1, 0, on_timer, this));
  stop_event_.reset(event_new(base, -1, 0, on_stop_step, this));
  log_event_.reset(event_new(base, -1, EV_PERSIST, on_log, this));
  timeval every = timeval_of(kLogEvery);
  event_add(log_event_.get(), &every);
  servers_.take_list(config_.known);
  perform(balancer_.start(clock_.now()));
  events_.push_back(ListEvent{ListScope::Cached, servers_of(config_.known)});
}

bool Router::listen(std::string& error) {
  auto address = parse_address(config_.listen);
  if (!address) {
    error = "no address: '" + config_.listen + "'";
    return false;
  }
  return clients_.listen(*address, error);
}

void Router::run() {
  while (!done_) {
    do {
      ring();
      settle();
      // Requests go on before answers go back: they have the longer way.
      servers_.flush();
      clients_.flush();
    } while (!events_.empty() || servers_.dirty() || clients_.dirty());
    arm();
    event_base_loop(base_, EVLOOP_ONCE);
  }
}

void Router::reload(const Config& next) {
  if (!parse_address(next.discovery))
    throw ConfigError("discovery: no address: '" + next.discovery + "'");
  if (next.settings != config_.settings || next.links != config_.links ||
      next.listen != config_.listen)
    std::fprintf(stderr, "arrowfork: reload: settings and listen are taken at the next start\n");
  config_.sockets = next.sockets;
  config_.memory_bytes = next.memory_bytes;
  clients_.set_limits(client_limits(config_));
  servers_.set_limits(server_limits(config_));
  if (next.discovery != config_.discovery) {
    config_.discovery = next.discovery;
    discovery_.move_to(next.discovery);
  }
  std::fprintf(stderr, "arrowfork: reloaded: discovery %s\n", config_.discovery.c_str());
}

void Router::stop() {
  if (stopping_since_) return;
  stopping_since_ = clock_.now();
  timeval wait = timeval_of(kStopListening);
  event_add(stop_event_.get(), &wait);
}

void Router::on_stop_step(evutil_socket_t, short, void* self) {
  auto* r = static_cast<Router*>(self);
  r->clients_.drain();
  Micros waited = r->clock_.now() - r->stopping_since_;
  if ((r->open_.empty() && r->clients_.connections() == 0) ||
      waited > longest_deadline(r->config_) + kStopSlack) {
    r->done_ = true;
    return;
  }
  timeval wait = timeval_of(kStopStep);
  event_add(r->stop_event_.get(), &wait);
}

/// One line of counts since the start, for whoever carries the pager.
void Router::on_log(evutil_socket_t, short, void* self) {
  auto* r = static_cast<Router*>(self);
  const Counts& c = r->counts_;
  const ServerSide::Counts& s = r->servers_.counts();
  const robinseam::Balancer::Stats m = r->balancer_.stats();
  const auto worst = r->servers_.most_given_up();  // attempts given up there
  std::fprintf(
      stderr,
      "arrowfork: requests %lu open %zu refused %lu failed %lu gone %lu clients %zu | ok %lu "
      "error %lu full %lu timeout %lu unreached %lu reset %lu cancelled %lu unsent %lu spoilt %lu "
      "| "
      "connections %zu dials %lu failed %lu none %lu pipelined %lu ended idle %lu busy %lu "
      "garbage %lu closed idle %lu given up %lu late answers %lu made room %lu servers %zu worst "
      "%s %lu | "
      "hits %lu misses %lu turned away %lu unsendable %lu given up %lu shed fetched %.2f held %.2f "
      "late %.2f "
      "errors %.2f full %.2f unreachable %.2f spoilt %.2f utilization %.2f live %.1f seeds %zu "
      "keys %zu\n",
      c.requests, r->open_.size(), c.refused, c.failed, c.gone, r->clients_.connections(),
      c.outcomes[0], c.outcomes[1], c.outcomes[2], c.outcomes[3], c.outcomes[4], c.outcomes[5],
      c.outcomes[6], c.outcomes[7], c.outcomes[9], r->servers_.connections(), s.dials,
      s.failed_dials, s.no_connection, s.pipelined, s.ended_idle, s.ended_busy, s.garbage,
      s.closed_idle, s.gave_up, s.late_answers, s.made_room, r->servers_.servers(),
      worst.first.c_str(), worst.second, c.hits, c.misses, m.turned_away, m.unsendable, m.given_up,
      m.shed_fetched, m.shed_held, m.late, m.errors, m.full, m.unreachable, m.spoilt, m.utilization,
      m.live, m.saved_seeds, m.tracked_keys);
}

// ---- clients ----

/// What a client's bytes are taken for is decided in memcache.hpp; here what only the settings and
/// the open requests can tell. Nothing that fails either is passed on: a cache server may close the
/// connection for it, and others wait on that.
void Router::on_command(ClientSlot& slot, Command&& command) {
  const robinseam::ClassSettings* type = class_of(command.type);
  bool keyed = type && type->effect == robinseam::Effect::Keyed;
  if (!type || (keyed && !(command.set && command.keyed))) {
    clients_.answer(slot, "CLIENT_ERROR bad class\r\n");
    return;
  }
  if (id_taken(command.id)) {
    clients_.answer(slot, "CLIENT_ERROR id in use\r\n");
    return;
  }
  if (open_.size() >= max_open_ || ids_[0].size() >= kIdsMost) {  // before the module has seen it
    clients_.answer(slot, "SERVER_ERROR busy\r\n");
    return;
  }
  ++counts_.requests;
  note_id(command.id);
  RequestId id = next_id_++;
  slot.id = id;
  Open& open = open_[id];
  open.slot = &slot;
  // No client waits longer than its class allows; a longer time would only keep what is kept for
  // it.
  double longest = static_cast<double>(type->deadline);
  open.deadline =
      clock_.now() + static_cast<Micros>(std::min(command.wait_ms * kMillisecond, longest));
  // Nor is any work longer than the patience for it: such a hint would upset the module's means.
  if (command.work) command.work = std::min(*command.work, type->deadline);
  open.command = std::move(command);
  events_.push_back(RequestEvent{id});
}

/// An id that is out twice could be answered with the other's value, and cache servers take the
/// second one for a copy of the first. Those of requests that have just ended count as well: a copy
/// sent while the first was open may be read after it.
bool Router::id_taken(const std::string& id) const {
  return ids_[0].count(id) > 0 || ids_[1].count(id) > 0;
}

void Router::note_id(const std::string& id) {
  Micros now = clock_.now();
  if (now - ids_since_ > id_span_) {
    ids_[1] = std::exchange(ids_[0], {});
    ids_since_ = now;
  }
  ids_[0].insert(id);
}

const robinseam::ClassSettings* Router::class_of(const std::string& name) const {
  for (const auto& c : config_.settings.classes)
    if (c.name == name) return &c;
  return nullptr;
}

/// A client that sends no more may still read. The module is told that it has left, so that nothing
/// new is sent for it, but what is out is waited for and its answer given.
void Router::on_left(RequestId id) {
  auto it = open_.find(id);
  if (it == open_.end() || it->second.left) return;
  it->second.left = true;
  events_.push_back(GoneEvent{id});
}

void Router::on_gone(RequestId id) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  Open& open = it->second;
  ++counts_.gone;
  open.slot = nullptr;
  open.answered = true;
  events_.push_back(GoneEvent{id});  // also where it has left before: settle() forgets it then
}

// ---- cache servers ----

void Router::on_attempt_end(RequestId id, int attempt, Status status, Answer&& answer) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  Open& open = it->second;
  Attempt& a = open.attempts[static_cast<std::size_t>(attempt)];
  a.on_wire = false;
  if (status == Status::Miss && !config_.settings.aside) status = Status::Error;
  if (status == Status::Ok && !open.answered) {
    std::string text;
    if (answer.kind == Answer::Kind::Value) {
      text = "VA " + std::to_string(answer.length) + " O" + open.command.id + "\r\n";
      text += answer.value;
    } else {
      text = "HD O" + open.command.id + " c" + answer.receipt + "\r\n";
    }
    give_answer(open, std::move(text));
  }
  if (a.out) tell_outcome(id, open, attempt, status, &answer);
  if (open.left && !open.answered &&
      std::none_of(open.attempts.begin(), open.attempts.end(),
                   [](const Attempt& one) { return one.on_wire; }))
    give_answer(open, kFailed);
  forget_if_done(id);
}

// ---- discovery ----

void Router::on_hosts(HostList&& list) {
  servers_.take_list(list);
  events_.push_back(ListEvent{list.whole ? ListScope::Full : ListScope::Delta, servers_of(list)});
}

void Router::on_hosts_failed() { events_.push_back(ListEvent{ListScope::Failed, {}}); }

// ---- timers ----

void Router::on_timer(evutil_socket_t, short, void* self) {
  static_cast<Router*>(self)->armed_at_ = 0;  // run() rings what is due
}

void Router::set_timer(Micros at, Due due, std::uint64_t token, int attempt) {
  timers_.push({at, timer_order_++, due, token, attempt});
}

void Router::arm() {
  if (timers_.empty() || (armed_at_ && armed_at_ <= timers_.top().at)) return;
  armed_at_ = timers_.top().at;
  timeval wait = timeval_of(std::max<Micros>(armed_at_ - clock_.now(), 0));
  event_add(timer_event_.get(), &wait);
}

void Router::ring() {
  Micros now = clock_.now();
  while (!timers_.empty() && timers_.top().at <= now) {
    Timer t = timers_.top();
    timers_.pop();
    if (t.due == Due::Module)
      events_.push_back(TimerEvent{t.token});
    else
      expire(t.token, t.attempt);
  }
}

/// The attempt's patience, or with attempt -1 the client's, is over. An attempt of -2 is the last
/// guard: whatever happened, the client gets its answer.
void Router::expire(RequestId id, int attempt) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  Open& open = it->second;
  if (attempt == -2) {
    if (!open.answered) give_answer(open, kFailed);
    forget_if_done(id);
    return;
  }
  for (std::size_t k = 0; k < open.attempts.size(); ++k) {
    Attempt& a = open.attempts[k];
    if (!a.out || (attempt >= 0 && static_cast<int>(k) != attempt)) continue;
    Status status = servers_.cancel(a.server, id, static_cast<int>(k));
    a.on_wire = false;
    tell_outcome(id, open, static_cast<int>(k),
                 status == Status::Moot ? Status::ConnectFailed : Status::Timeout, nullptr);
  }
  if (attempt == -1 && !open.answered) set_timer(clock_.now() + kLastAnswer, Due::Expiry, id, -2);
  forget_if_done(id);
}

// ---- the module ----

void Router::tell_outcome(RequestId id, Open& open, int attempt, Status status, Answer* answer) {
  Attempt& a = open.attempts[static_cast<std::size_t>(attempt)];
  a.out = false;
  ++counts_.outcomes[static_cast<std::size_t>(status)];
  OutcomeEvent e;
  e.outcome.id = id;
  e.outcome.server = a.server;
  e.outcome.status = status;
  e.outcome.latency = clock_.now() - a.sent;
  e.outcome.attempt = attempt;
  if (answer) {
    counts_.hits += answer->note == 1;
    counts_.misses += answer->note > 1;
    e.outcome.note = answer->note;
    e.outcome.report = std::move(answer->report);
  }
  ++open.untold;
  events_.push_back(std::move(e));
}

void Router::settle() {
  while (!events_.empty()) {
    Event event = std::move(events_.front());
    events_.pop_front();
    Micros now = clock_.now();
    if (auto* e = std::get_if<OutcomeEvent>(&event)) {
      auto it = open_.find(e->outcome.id);
      e->outcome.finished = it == open_.end() || it->second.answered;
      if (it != open_.end()) --it->second.untold;
      perform(balancer_.on_outcome(now, e->outcome));
      forget_if_done(e->outcome.id);
    } else if (auto* e = std::get_if<RequestEvent>(&event)) {
      auto it = open_.find(e->id);
      if (it == open_.end()) continue;
      const Open& open = it->second;
      if (open.answered) {  // gone before the module heard of it
        open_.erase(it);
        continue;
      }
      robinseam::Request r;
      r.id = e->id;
      r.type = open.command.type;
      r.tenant = open.command.tenant;
      r.key = open.command.key;
      r.remaining = std::max<Micros>(0, open.deadline - now);
      r.work = open.command.work;
      r.repeat = open.command.repeat;
      r.write = open.command.set;
      set_timer(open.deadline, Due::Expiry, e->id, -1);
      perform(balancer_.on_request(now, r));
    } else if (auto* e = std::get_if<GoneEvent>(&event)) {
      perform(balancer_.on_gone(now, e->id));
      forget_if_done(e->id);
    } else if (auto* e = std::get_if<ListEvent>(&event)) {
      perform(balancer_.on_list(now, e->scope, e->servers));
    } else if (auto* e = std::get_if<TimerEvent>(&event)) {
      perform(balancer_.on_timer(now, e->token));
    }
  }
}

void Router::perform(const Actions& actions) {
  for (const robinseam::Action& action : actions)
    std::visit([this](const auto& a) { act(a); }, action);
}

void Router::act(const robinseam::Send& a) {
  auto it = open_.find(a.id);
  if (it == open_.end()) return;
  Open& open = it->second;
  int attempt = static_cast<int>(open.attempts.size());
  Micros now = clock_.now();
  open.attempts.push_back({a.server, now});
  // An answer may have come while the module did not know of it yet.
  if (open.answered || open.left || now >= open.deadline) {
    open.attempts.back().on_wire = false;
    tell_outcome(a.id, open, attempt, Status::Moot, nullptr);
    return;
  }
  Micros wait = open.deadline - now;
  if (a.patience > 0 && a.patience < wait) {
    wait = a.patience;
    set_timer(now + wait, Due::Expiry, a.id, attempt);
  }
  servers_.send(a.server, a.id, attempt, open.command, (wait + kMillisecond - 1) / kMillisecond);
}

void Router::act(const robinseam::Refuse& a) {
  auto it = open_.find(a.id);
  if (it == open_.end() || it->second.answered) return;
  ++counts_.refused;
  std::string text = "SERVER_ERROR busy";
  if (a.wait > 0) text += ' ' + std::to_string((a.wait + kMillisecond - 1) / kMillisecond);
  give_answer(it->second, text + "\r\n");
  forget_if_done(a.id);
}

void Router::act(const robinseam::Fail& a) {
  auto it = open_.find(a.id);
  if (it == open_.end() || it->second.answered) return;
  give_answer(it->second, kFailed);
  forget_if_done(a.id);
}

void Router::act(const robinseam::Cancel& a) {
  auto it = open_.find(a.id);
  if (it == open_.end() || a.attempt < 0 ||
      a.attempt >= static_cast<int>(it->second.attempts.size()))
    return;
  Open& open = it->second;
  Attempt& one = open.attempts[static_cast<std::size_t>(a.attempt)];
  if (!one.out) return;
  Status status = Status::Cancelled;
  // For a client that has left but may still read, what is out goes on.
  if (!open.left || open.answered) {
    status = servers_.cancel(one.server, a.id, a.attempt);
    one.on_wire = false;
  }
  tell_outcome(a.id, open, a.attempt, status, nullptr);
}

void Router::act(const robinseam::Timer& a) {
  set_timer(clock_.now() + a.after, Due::Module, a.token);
}

void Router::act(const robinseam::Probe&) {
  // The module probes nothing; no site it was made for allows it.
}

void Router::give_answer(Open& open, std::string text) {
  if (text == kFailed) ++counts_.failed;
  open.answered = true;
  if (ClientSlot* slot = std::exchange(open.slot, nullptr)) clients_.answer(*slot, std::move(text));
}

void Router::forget_if_done(RequestId id) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  const Open& open = it->second;
  if (!open.answered || open.untold > 0) return;
  for (const Attempt& a : open.attempts)
    if (a.out) return;
  open_.erase(it);
}

}  // namespace arrowfork
