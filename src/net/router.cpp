#include "router.hpp"

#include <algorithm>
#include <cstdio>

namespace arrowfork {
namespace {

using robinseam::ListScope;

// What servers are presumed to hold at least; all routers together stay within it.
constexpr std::size_t kServerHolds = 60;
constexpr std::size_t kMostPerServer = 16;
// Descriptors for the listener, the event base, discovery and the log.
constexpr std::size_t kReservedSockets = 24;
constexpr std::size_t kSpareClients = 50;
// Memory that an open request may come to: its line three times over and what the module keeps.
constexpr std::size_t kOpenBytes = 16u << 10;
// One id a span for so much memory: two spans of them, some 100 bytes each, come to a fifth of it.
constexpr std::size_t kIdBytes = 1024;
// After SIGTERM the front still sends new connections for up to 0.4 s, and what comes later than
// 0.7 s is ours to lose no more: in between the router stops listening.
constexpr Micros kStopListening = kSecond / 2;
constexpr Micros kStopStep = 20 * kMillisecond;
constexpr Micros kStopSlack = 650 * kMillisecond;
constexpr Micros kLogEvery = 5 * kSecond;

std::size_t server_sockets(const Config& c) { return (c.sockets - kReservedSockets) / 3; }

ClientSide::Limits client_limits(const Config& c) {
  ClientSide::Limits l;
  l.spare_connections = std::min(kSpareClients, c.sockets / 16);
  std::size_t others = kReservedSockets + server_sockets(c) + l.spare_connections;
  if (c.ext_proc) others += c.ext_proc->connections + 1;
  l.connections = c.sockets > others ? c.sockets - others : 1;
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

std::size_t max_open(const Config& c) {
  return std::min<std::size_t>(c.memory_bytes / kOpenBytes,
                               static_cast<std::size_t>(c.links.max_open));
}

/// The module checks the settings when it is made.
Core make_core(const Config& c, const TimeSource& clock, Lister& lister) try {
  return Core(c.settings, c.seed, clock, lister, max_open(c), c.memory_bytes / kIdBytes);
} catch (const std::invalid_argument& e) {
  throw ConfigError(std::string("settings: ") + e.what());
}

std::vector<robinseam::Server> servers_of(const HostList& list) {
  std::vector<robinseam::Server> servers;
  servers.reserve(list.hosts.size());
  for (const Host& host : list.hosts) servers.push_back(host.server);
  return servers;
}

}  // namespace

Router::Router(event_base* base, const Config& config, const TimeSource& clock)
    : base_(base),
      config_(config),
      clock_(clock),
      core_(make_core(config, clock, *this)),
      servers_(base, clock_, *this, server_limits(config), &config_.settings.report_fields),
      clients_(base, clock_, core_, servers_, client_limits(config)),
      discovery_(base, config.discovery, config.known.version, !config.settings.must_ask, *this) {
  timer_event_.reset(event_new(base, -1, 0, on_timer, this));
  stop_event_.reset(event_new(base, -1, 0, on_stop_step, this));
  log_event_.reset(event_new(base, -1, EV_PERSIST, on_log, this));
  timeval every = timeval_of(kLogEvery);
  event_add(log_event_.get(), &every);
  clients_.set_binary(config_.binary);
  clients_.set_stats([this] { return stats(); });
  servers_.set_protocols(config_.binary);
  servers_.take_list(config_.known);
  core_.start(servers_of(config_.known));
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
      core_.turn();
      // Requests go on before answers go back: they have the longer way.
      servers_.flush();
      clients_.flush();
      for (Front* front : fronts_) front->flush();
    } while (core_.pending() || servers_.dirty() || clients_.dirty());
    arm();
    event_base_loop(base_, EVLOOP_ONCE);
  }
}

void Router::reload(const Config& next) {
  if (!parse_address(next.discovery))
    throw ConfigError("discovery: no address: '" + next.discovery + "'");
  const std::pair<const char*, const std::string&> types[] = {{"read", next.binary.read_type},
                                                              {"write", next.binary.write_type}};
  for (const auto& [what, type] : types)
    if (!type.empty() && !core_.class_of(type))
      throw ConfigError(std::string("binary.") + what + "_class: '" + type +
                        "' is no class of the settings in force");
  if (next.settings != config_.settings || next.links != config_.links ||
      next.listen != config_.listen || next.ext_proc != config_.ext_proc)
    std::fprintf(stderr,
                 "arrowfork: reload: settings, listen and ext_proc are taken at the next start\n");
  config_.sockets = next.sockets;
  config_.memory_bytes = next.memory_bytes;
  clients_.set_limits(client_limits(config_));
  servers_.set_limits(server_limits(config_));
  config_.binary = next.binary;
  clients_.set_binary(config_.binary);
  servers_.set_protocols(config_.binary);
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
  bool drained = true;
  for (Front* front : r->fronts_) {
    front->drain();
    drained &= front->drained();
  }
  Micros waited = r->clock_.now() - r->stopping_since_;
  if ((r->core_.open_requests() == 0 && r->clients_.connections() == 0 && drained) ||
      waited > r->core_.longest_deadline() + kStopSlack) {
    r->done_ = true;
    return;
  }
  timeval wait = timeval_of(kStopStep);
  event_add(r->stop_event_.get(), &wait);
}

/// One line of counts since the start, for whoever carries the pager.
void Router::on_log(evutil_socket_t, short, void* self) {
  auto* r = static_cast<Router*>(self);
  const Core::Counts& c = r->core_.counts();
  const ServerSide::Counts& s = r->servers_.counts();
  const robinseam::Balancer::Stats m = r->core_.module_stats();
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
      "fetches %.1f of %.1f "
      "late %.2f "
      "errors %.2f full %.2f unreachable %.2f spoilt %.2f utilization %.2f live %.1f seeds %zu "
      "keys %zu\n",
      c.requests, r->core_.open_requests(), c.refused, c.failed, c.gone, r->clients_.connections(),
      c.outcomes[0], c.outcomes[1], c.outcomes[2], c.outcomes[3], c.outcomes[4], c.outcomes[5],
      c.outcomes[6], c.outcomes[7], c.outcomes[9], r->servers_.connections(), s.dials,
      s.failed_dials, s.no_connection, s.pipelined, s.ended_idle, s.ended_busy, s.garbage,
      s.closed_idle, s.gave_up, s.late_answers, s.made_room, r->servers_.servers(),
      worst.first.c_str(), worst.second, c.hits, c.misses, m.turned_away, m.unsendable, m.given_up,
      m.shed_fetched, m.shed_held, m.fetches_out, m.fetch_limit, m.late, m.errors, m.full,
      m.unreachable, m.spoilt, m.utilization, m.live, m.saved_seeds, m.tracked_keys);
}

// ---- discovery ----

void Router::on_hosts(HostList&& list) {
  servers_.take_list(list);
  core_.list(list.whole ? ListScope::Full : ListScope::Delta, servers_of(list));
}

void Router::on_hosts_failed() { core_.list(ListScope::Failed, {}); }

// ---- timers ----

void Router::on_timer(evutil_socket_t, short, void* self) {
  static_cast<Router*>(self)->armed_at_ = 0;  // run() takes the turn that is due
}

void Router::arm() {
  Micros due = core_.next_timer();
  if (!due || (armed_at_ && armed_at_ <= due)) return;
  armed_at_ = due;
  timeval wait = timeval_of(std::max<Micros>(armed_at_ - clock_.now(), 0));
  event_add(timer_event_.get(), &wait);
}

/// The figures of the log's line under names of their own, for a client's STAT.
std::vector<std::pair<std::string, std::string>> Router::stats() const {
  const Core::Counts& c = core_.counts();
  const ServerSide::Counts& s = servers_.counts();
  const robinseam::Balancer::Stats m = core_.module_stats();
  std::vector<std::pair<std::string, std::string>> all;
  auto add = [&](const char* name, auto value) { all.emplace_back(name, std::to_string(value)); };
  add("time", clock_.now() / kSecond);
  add("requests", c.requests);
  add("open_requests", core_.open_requests());
  add("refused", c.refused);
  add("failed", c.failed);
  add("gone", c.gone);
  add("curr_connections", clients_.connections());
  add("connections_meta", clients_.counts().meta);
  add("connections_binary", clients_.counts().binary);
  const char* const kOutcomes[] = {"ok",    "error",     "full", "timeout", "unreached",
                                   "reset", "cancelled", "moot", "miss",    "spoilt"};
  for (std::size_t k = 0; k < c.outcomes.size(); ++k)
    all.emplace_back(std::string("attempts_") + kOutcomes[k], std::to_string(c.outcomes[k]));
  add("server_connections", servers_.connections());
  add("server_dials", s.dials);
  add("server_dials_failed", s.failed_dials);
  add("server_wrong_protocol", s.wrong_protocol);
  add("servers", m.servers);
  add("servers_live", m.live);
  add("shed_fetched", m.shed_fetched);
  add("shed_held", m.shed_held);
  add("fetch_limit", m.fetch_limit);
  add("fetches_out", m.fetches_out);
  return all;
}

}  // namespace arrowfork
