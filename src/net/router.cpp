#include "router.hpp"

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <cstring>
#include <nlohmann/json.hpp>
#include <string_view>
#include <unordered_map>

#include "recovery/discovery_backoff.hpp"

namespace arrowfork {
namespace {

using robinseam::ListScope;

constexpr std::size_t kMaxConnectionsPerServer = 16;
// Descriptors for the listener, the event base, discovery and the log.
constexpr std::size_t kReservedSockets = 24;
constexpr std::size_t kSpareClientConnections = 50;
// Memory of an open request at most: three times its line and the state of the module.
constexpr std::size_t kOpenRequestBytes = 16u << 10;
// Memory per remembered request id of one time span: ids of two spans, about 100 bytes each, use a
// fifth of the memory.
constexpr std::size_t kMemoryPerIdBytes = 1024;
// Memory of a client's connection and a command in part.
constexpr std::size_t kMemoryPerClientBytes = 16u << 10;
constexpr Micros kStopCheckInterval = 20 * kMillisecond;

// The file of disabled servers is read, and the number of descriptors reported, this often: a
// server disabled through the other process of an upgrade is disabled here within this time, which
// leaves most of the drain grace.
constexpr Micros kControlTick = 50 * kMillisecond;
// A heartbeat that comes late by kMinPause shows that the process was paused.
constexpr Micros kHeartbeatInterval = kSecond / 2;
constexpr Micros kMinPause = 2 * kSecond;
// A list counts as up to date until the longest possible watch should have been answered.
constexpr Micros kListFreshTime = robinseam::membership::CallSchedule::kMaxWait + 2 * kSecond;
// A server with a smaller share of live slots counts as down in the metrics.
constexpr double kMinLiveShare = 0.05;
// Request ids that one message tells the other process of an upgrade.
constexpr std::size_t kIdsPerMessage = Handover::kMaxRequestIdBytes / sizeof(std::uint64_t) - 1;
// Each process of an upgrade may hold its share for peers of this part of the memory.
constexpr std::size_t kUpgradeMemoryDivisor = 3;
// The minimum that one process of an upgrade gets.
constexpr std::size_t kMinSockets = 96;

/// Path of one of this router's files in `state_dir`; empty if there is no such folder.
std::string state_path(const Config& c, const char* suffix) {
  if (c.state_dir.empty()) return {};
  std::string name;
  for (unsigned char one : c.name) name += std::isalnum(one) ? static_cast<char>(one) : '_';
  return c.state_dir + "/arrowfork-" + name + suffix;
}

std::size_t server_sockets(const Config& c) { return (c.sockets - kReservedSockets) / 3; }

std::size_t max_open(const Config& c) {
  return std::min<std::size_t>(c.memory_bytes / kOpenRequestBytes,
                               static_cast<std::size_t>(c.connection_settings.max_open_requests));
}

ClientSide::Limits client_limits(const Config& c) {
  ClientSide::Limits l;
  l.spare_connections = std::min(kSpareClientConnections, c.sockets / 16);
  std::size_t others = kReservedSockets + server_sockets(c) + l.spare_connections;
  if (c.ext_proc) others += c.ext_proc->max_connections + 1;
  if (!c.control.empty()) others += ControlServer::kMaxConnections + 1;
  l.connections = c.sockets > others ? c.sockets - others : 1;
  l.connections = std::min(l.connections, c.memory_bytes / kMemoryPerClientBytes);
  l.pipelined_requests = max_open(c) / 2;
  l.bulk_bytes = std::max(kMaxLargeValue, c.memory_bytes / 6);
  return l;
}

/// Bytes that may be held for clients and servers together.
std::size_t peer_memory(const Config& c) { return c.memory_bytes / 8 * 3; }

ServerSide::Limits server_limits(const Config& c) {
  ServerSide::Limits l;
  l.max_connections = server_sockets(c);
  l.max_connections_per_server = std::clamp<std::size_t>(
      static_cast<std::size_t>(robinseam::limits::kPresumedServerConnections) /
          static_cast<std::size_t>(c.settings.routers),
      1, kMaxConnectionsPerServer);
  l.routers = c.settings.routers;
  for (const robinseam::TenantSettings& t : c.settings.tenants) l.tier_rate += t.quota_per_s;
  l.attempts_per_connection = c.connection_settings.attempts_per_connection;
  l.keepalive = c.connection_settings.keepalive;
  l.dial_timeout = c.connection_settings.dial_timeout;
  l.may_cancel = c.settings.may_cancel;
  l.streaming_buffer_bytes = c.memory_bytes / 8;
  return l;
}

/// Turns the exception of the module's check of the settings into a ConfigError.
Core make_core(const Config& c, const TimeSource& clock, ListSource& list_source) try {
  return Core(c.settings, c.seed, clock, list_source, max_open(c),
              c.memory_bytes / kMemoryPerIdBytes);
} catch (const std::invalid_argument& e) {
  throw ConfigError(std::string("settings: ") + e.what());
}

ListSubscription::Options subscription_options(const Config& c) {
  ListSubscription::Options o;
  o.routers = c.settings.routers;
  o.pushed = !c.settings.poll_list;
  o.seed = c.seed;
  o.grace = c.settings.drain_grace;
  return o;
}

/// Both processes of a handover run on one machine, so the numbers are in its byte order.
std::string bytes_of(const RecentIds::Hashes& hashes) {
  std::string bytes(reinterpret_cast<const char*>(&hashes.seed), sizeof hashes.seed);
  if (!hashes.values.empty())
    bytes.append(reinterpret_cast<const char*>(hashes.values.data()),
                 hashes.values.size() * sizeof hashes.values.front());
  return bytes;
}

std::optional<RecentIds::Hashes> parse_hashes(const std::string& bytes) {
  RecentIds::Hashes hashes;
  constexpr std::size_t kWord = sizeof hashes.seed;
  if (bytes.size() < kWord || bytes.size() % kWord != 0) return std::nullopt;
  std::memcpy(&hashes.seed, bytes.data(), kWord);
  hashes.values.resize(bytes.size() / kWord - 1);
  if (!hashes.values.empty())
    std::memcpy(hashes.values.data(), bytes.data() + kWord, bytes.size() - kWord);
  return hashes;
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
      started_at_(clock.now()),
      core_(make_core(config, clock, *this)),
      request_log_(clock),
      memory_(peer_memory(config)),
      servers_(base, clock_, *this, server_limits(config), &config_.settings.report_fields,
               memory_),
      clients_(base, clock_, core_, servers_, client_limits(config), memory_),
      discovery_(base, clock_, config.discovery, config.initial_list, subscription_options(config),
                 *this),
      disabled_servers_file_(state_path(config, ".bans")),
      recovery_(config.settings.routers, clock.now(), kListFreshTime),
      last_heartbeat_at_(clock.now()) {
  timer_event_.reset(event_new(base, -1, 0, on_timer, this));
  stop_event_.reset(event_new(base, -1, 0, on_stop_step, this));
  log_event_.reset(event_new(base, -1, EV_PERSIST, on_log, this));
  timeval every = timeval_of(config_.log_interval);
  event_add(log_event_.get(), &every);
  core_.set_request_observer(&request_log_);
  clients_.set_binary(config_.binary);
  clients_.set_stats([this] { return stats(); });
  servers_.set_protocols(config_.binary);
  if (!config_.control.empty()) {
    control_.reset(new ControlServer(base_, clock_, *this));
    tick_event_.reset(event_new(base, -1, EV_PERSIST, on_tick, this));
    timeval tick = timeval_of(kControlTick);
    event_add(tick_event_.get(), &tick);
    // The list of the running process is newer than the configured one.
    handover_.reset(new Handover(base_, state_path(config_, ".sock"), *this));
    Handover::Inherited inherited = handover_->request_listener();
    // A client may send a copy of a request as soon as the other process has begun it.
    clients_.set_on_input([this] { handover_->read_messages(); });
    if (inherited.listener) {
      taking_over_ = true;
      clients_.listen_on(std::move(inherited.listener));
      clients_.suspend_accepting(true);
      try {
        if (!inherited.list.empty()) config_.initial_list = parse_host_list(inherited.list);
      } catch (const ConfigError& e) {
        std::fprintf(stderr, "arrowfork: handover: list: %s\n", e.what());
      }
    }
    std::string error;
    if (auto disabled = disabled_servers_file_.read_if_changed(error))
      operator_overrides_.set_disabled(*disabled, clock_.now());
    if (!error.empty()) std::fprintf(stderr, "arrowfork: %s\n", error.c_str());
  }
  HostList known = operator_overrides_.apply_list(config_.initial_list);
  servers_.apply_list(known);
  core_.start(servers_of(known), config_.initial_list_unverified);
  recovery_.record_initial_list(clock_.now(), has_ready_server());
  log_settings();
  heartbeat_event_.reset(event_new(base, -1, EV_PERSIST, on_heartbeat, this));
  timeval heartbeat = timeval_of(kHeartbeatInterval);
  event_add(heartbeat_event_.get(), &heartbeat);
}

bool Router::listen(std::string& error) {
  if (control_) {
    auto address = parse_address(config_.control);
    if (!address || !control_->listen(*address, error)) {
      error = "control " + config_.control + ": " + (address ? error : "no address");
      return false;
    }
    handover_->listen_for_successor();
  }
  if (taking_over_) {
    apply_limits();
    take_over_if_ready();
    return true;
  }
  auto address = parse_address(config_.listen);
  if (!address) {
    error = "no address: '" + config_.listen + "'";
    return false;
  }
  return clients_.listen(*address, error, control_ != nullptr);
}

void Router::adopt_clients() {
  for (HandedOverClient& client : std::exchange(handed_over_clients_, {}))
    clients_.adopt(std::move(client.fd), client.is_new);
}

void Router::run() {
  while (!done_) {
    adopt_clients();
    do {
      core_.process_events();
      // Before the requests are sent: a copy of one that has begun may come to the other process.
      send_request_ids();
      // Requests are sent before answers, since they have the longer way to go.
      servers_.flush();
      clients_.flush();
      for (Frontend* frontend : frontends_) frontend->flush();
    } while (core_.has_pending_events() || servers_.dirty() || clients_.dirty());
    update_recovery();
    arm_timer();
    event_base_loop(base_, EVLOOP_ONCE);
  }
}

void Router::reload(const Config& next) {
  if (!parse_address(next.discovery))
    throw ConfigError("discovery: no address: '" + next.discovery + "'");
  const std::pair<const char*, const std::string&> types[] = {{"read", next.binary.read_class},
                                                              {"write", next.binary.write_class}};
  for (const auto& [what, type] : types)
    if (!type.empty() && !core_.find_class(type))
      throw ConfigError(std::string("binary.") + what + "_class: '" + type +
                        "' is not a class of the active settings");
  if (next.settings != config_.settings ||
      next.connection_settings != config_.connection_settings || next.listen != config_.listen ||
      next.ext_proc != config_.ext_proc || next.store != config_.store)
    std::fprintf(stderr,
                 "arrowfork: reload: changes of settings, listen, ext_proc and store take effect "
                 "at the next start\n");
  config_.sockets = next.sockets;
  config_.memory_bytes = next.memory_bytes;
  apply_limits();
  config_.binary = next.binary;
  clients_.set_binary(config_.binary);
  servers_.set_protocols(config_.binary);
  if (next.discovery != config_.discovery) {
    config_.discovery = next.discovery;
    discovery_.change_address(next.discovery);
  }
  ++reloads_ok_;
  std::fprintf(stderr, "arrowfork: reloaded: discovery %s\n", config_.discovery.c_str());
}

void Router::stop() {
  if (shutdown_) return;
  // A successor listens on the same socket, so listening stops at once, and connections are handed
  // over to it.
  bool has_successor = handover_ && handover_->has_successor();
  if (has_successor)
    clients_.set_hand_over([this](int client, bool is_new) {
      // What comes on a connection there may be a copy of a request that came here.
      send_request_ids();
      if (core_.request_ids().has_listed()) return ClientSide::HandOverResult::RetryLater;
      switch (handover_->hand_over_client(client, is_new)) {
        case Handover::HandOverResult::Sent:
          return ClientSide::HandOverResult::Sent;
        case Handover::HandOverResult::RetryLater:
          return ClientSide::HandOverResult::RetryLater;
        default:
          return ClientSide::HandOverResult::NotSent;
      }
    });
  Micros now = clock_.now();
  shutdown_ = schedule_shutdown(now, core_.longest_deadline(), has_successor);
  core_.answer_by(shutdown_->answers_due_at);
  timeval wait = timeval_of(shutdown_->stop_listening_at - now);
  event_add(stop_event_.get(), &wait);
}

void Router::on_stop_step(evutil_socket_t, short, void* self) {
  auto* r = static_cast<Router*>(self);
  r->clients_.drain();
  bool drained = true;
  for (Frontend* frontend : r->frontends_) {
    frontend->drain();
    drained &= frontend->drained();
  }
  Micros now = r->clock_.now();
  if (now >= r->shutdown_->answers_due_at) {
    r->core_.answer_all();
    r->clients_.finish_all();
  }
  if ((r->core_.open_requests() == 0 && r->clients_.connections() == 0 && drained) ||
      now > r->shutdown_->end_at) {
    r->clients_.shut_down();
    r->done_ = true;
    return;
  }
  timeval wait = timeval_of(kStopCheckInterval);
  event_add(r->stop_event_.get(), &wait);
}

// ---- discovery ----

void Router::apply(HostList&& discovered) {
  log_leaving(discovered);
  HostList list = operator_overrides_.apply_list(std::move(discovered));
  servers_.apply_list(list);
  core_.on_list(list.full ? ListScope::Full : ListScope::Delta, servers_of(list));
}

void Router::on_drains(const HostList& list, bool drain_unlisted) {
  HostList drains = extract_drains(list, drain_unlisted, operator_overrides_.discovered_hosts());
  if (!drains.hosts.empty()) apply(std::move(drains));
}

void Router::on_hosts(HostList&& discovered) {
  apply(std::move(discovered));
  recovery_.record_list(clock_.now(), has_ready_server());
  if (list_persistence_)
    list_persistence_->on_list_confirmed(operator_overrides_.discovered_list());
  take_over_if_ready();
}

/// The module asks for a watch at the pace of a router that has no server. While a server is
/// usable, only src/membership/call_schedule plans the calls: a second plan would double their
/// number.
void Router::watch_list() {
  if (!(has_ready_server() && discovery_.planned())) discovery_.watch();
}

/// Logs one line with the servers that a list newly reports as leaving or gone.
void Router::log_leaving(const HostList& list) const {
  using robinseam::Health;
  constexpr std::size_t kMaxNamed = 16;
  std::size_t count = 0;
  std::string names;
  std::unordered_map<std::string_view, Health> now;
  for (const Host& h : list.hosts) now[h.server.id] = h.server.health;
  for (const auto& [id, current] : operator_overrides_.effective_hosts()) {
    auto at = now.find(id);
    bool leaves = at != now.end() ? at->second != Health::Ready : list.full;
    if (leaves && current.server.health == Health::Ready && ++count <= kMaxNamed) names += ' ' + id;
  }
  if (count == 0) return;
  std::fprintf(stderr, "arrowfork: list %s: %zu leaving:%s%s\n", list.version.c_str(), count,
               names.c_str(), count > kMaxNamed ? " ..." : "");
}

// ---- recovery ----

bool Router::has_ready_server() const {
  return std::any_of(
      operator_overrides_.effective_hosts().begin(), operator_overrides_.effective_hosts().end(),
      [](const auto& entry) { return entry.second.server.health == robinseam::Health::Ready; });
}

void Router::update_recovery() {
  std::uint64_t served = 0, unserved = 0;
  for (const Core::Counts::Replies& e : core_.counts().replies_by_class)
    served += e.served, unserved += e.refused + e.failed;
  if (served + unserved != last_served_ + last_unserved_)
    recovery_.record_requests(clock_.now(),
                              static_cast<int>(served - std::exchange(last_served_, served)),
                              static_cast<int>(unserved - std::exchange(last_unserved_, unserved)));
  auto phase = recovery_.view(clock_.now()).phase;
  if (phase == std::exchange(logged_phase_, phase)) return;
  std::fprintf(stderr, "arrowfork: recovery: %s", recovery_line().c_str());
}

std::string Router::recovery_line() {
  auto v = recovery_.view(clock_.now());
  char text[200];
  std::snprintf(
      text, sizeof text, "%s since %.1f s: %s; list %s, %s%s\n",
      robinseam::recovery::name_of(v.phase), static_cast<double>(clock_.now() - v.since) / kSecond,
      v.reason, discovery_.version().empty() ? "none" : discovery_.version().c_str(),
      v.list_age < 0 ? "not confirmed yet"
                     : ("told " + std::to_string(v.list_age / kSecond) + " s ago").c_str(),
      list_is_old(v) ? ", may be old" : "");
  return text;
}

/// An overdue notification makes the list old whatever its age: missed changes must be acted on.
bool Router::list_is_old(const robinseam::recovery::Recovery::View& view) const {
  return view.list_stale || discovery_.overdue();
}

void Router::on_heartbeat(evutil_socket_t, short, void* self) {
  auto* r = static_cast<Router*>(self);
  Micros now = r->clock_.now();
  if (r->list_persistence_) r->list_persistence_->continue_writing();
  r->log_overdue();
  if (now - std::exchange(r->last_heartbeat_at_, now) < kHeartbeatInterval + kMinPause) return;
  // The list dates from before the pause, so discovery is polled for changes. The cause may have
  // paused the whole tier: the poll is spread over the time that the calls of a tier need.
  r->recovery_.record_pause(now);
  robinseam::recovery::DiscoveryBackoff asking(r->config_.settings.routers,
                                               r->config_.settings.max_poll_delay);
  r->discovery_.poll_within(asking.first_delay(1));
  std::fprintf(stderr, "arrowfork: the process was paused; polling discovery again\n");
}

/// Logs once when the list becomes overdue and once when it is up to date again. The list stays in
/// use, even with servers that may be draining: without discovery no better servers are known.
void Router::log_overdue() {
  bool overdue = discovery_.overdue();
  if (overdue == std::exchange(logged_overdue_, overdue)) return;
  const char* version = discovery_.version().empty() ? "none" : discovery_.version().c_str();
  if (!overdue) {
    std::fprintf(stderr, "arrowfork: discovery: answers again, the list is up to date; list %s\n",
                 version);
    return;
  }
  double late = static_cast<double>(clock_.now() - discovery_.deadline()) / kSecond;
  std::fprintf(stderr,
               "arrowfork: discovery: no answer before the notification deadline; "
               "list %s; reason=%s passed %.2f s ago\n",
               version, discovery_.deadline_reason(), late);
}

// ---- operators ----

bool Router::ready() const {
  if (taking_over_ || shutdown_ || clients_.operator_drain()) return false;
  return has_ready_server();
}

std::string Router::on_control_call(const ControlCall& call) {
  using Kind = ControlCall::Kind;
  switch (call.kind) {
    case Kind::Ready:
      return ready() ? control_answer(200, "ready\n" + recovery_line())
                     : control_answer(503, "not ready\n" + recovery_line());
    case Kind::Metrics:
      return control_answer(200, metrics(), "application/json");
    case Kind::Disable:
    case Kind::Enable:
      return set_server_disabled(call.id, call.kind == Kind::Disable);
    case Kind::Drain:
    case Kind::Resume:
      std::fprintf(stderr, "arrowfork: %s by the operator\n",
                   call.kind == Kind::Drain ? "drained" : "resumed");
      clients_.set_operator_drain(call.kind == Kind::Drain);
      return control_answer(200, "done\n");
  }
  return control_answer(400, "no such call\n");
}

std::string Router::set_server_disabled(const std::string& id, bool disable) {
  if (!operator_overrides_.is_known(id)) return control_answer(404, "no such cache server\n");
  std::string error;
  auto disabled = disabled_servers_file_.set_disabled(id, disable, clock_.now(), error);
  if (!disabled) {
    std::fprintf(stderr, "arrowfork: %s: %s: %s\n", disable ? "disable" : "enable", id.c_str(),
                 error.c_str());
    return control_answer(500, error + "\n");
  }
  std::fprintf(stderr, "arrowfork: cache server %s %s by the operator\n", id.c_str(),
               disable ? "disabled" : "enabled");
  apply_disabled_servers(*disabled);
  return control_answer(200, "done\n");
}

void Router::apply_disabled_servers(const DisabledServers& disabled) {
  HostList part = operator_overrides_.set_disabled(disabled, clock_.now());
  if (part.hosts.empty()) return;
  servers_.apply_list(part);
  core_.on_list(ListScope::Delta, servers_of(part));
  core_.process_events();  // the caller's answer promises that decisions take it into account
}

std::string Router::metrics() const {
  nlohmann::json json = {{"success", nlohmann::json::object()},
                         {"busy", nlohmann::json::object()},
                         {"failure", nlohmann::json::object()}};
  const Core::Counts& counts = core_.counts();
  for (std::size_t k = 0; k < counts.replies_by_class.size(); ++k) {
    const std::string& name = core_.classes()[k].name;
    json["success"][name] = counts.replies_by_class[k].served;
    json["busy"][name] = counts.replies_by_class[k].refused;
    json["failure"][name] = counts.replies_by_class[k].failed;
  }
  json["backend_calls"] = servers_.counts().written;
  json["inflight"] = core_.unanswered() + clients_.streaming_values();
  json["hosts_listed"] = operator_overrides_.effective_hosts().size();
  json["hosts_down"] =
      std::count_if(operator_overrides_.effective_hosts().begin(),
                    operator_overrides_.effective_hosts().end(), [this](const auto& entry) {
                      return entry.second.server.health != robinseam::Health::Ready ||
                             core_.live_fraction(entry.first) < kMinLiveShare;
                    });
  json["reconfig_ok"] = reloads_ok_;
  json["reconfig_failed"] = reloads_failed_;
  return json.dump();
}

void Router::on_tick(evutil_socket_t, short, void* self) {
  auto* r = static_cast<Router*>(self);
  std::string error;
  if (auto disabled = r->disabled_servers_file_.read_if_changed(error))
    r->apply_disabled_servers(*disabled);
  if (!error.empty()) std::fprintf(stderr, "arrowfork: %s\n", error.c_str());
  r->handover_->report_held_descriptors(r->descriptors_in_use());
}

// ---- upgrade ----

void Router::take_over_if_ready() {
  if (!taking_over_) return;
  taking_over_ = false;
  if (!ready() && handover_->has_predecessor()) {
    taking_over_ = true;
    return;
  }
  std::fprintf(stderr, "arrowfork: taking over from the running process\n");
  handover_->read_predecessor();  // the ids of its requests
  handover_->announce_accepting();
  clients_.suspend_accepting(false);
}

void Router::on_successor_connected() {
  core_.request_ids().list(RecentIds::Listing::KnownAndOpened);
  // The successor waits for a message, also where no id is known.
  if (!core_.request_ids().has_listed())
    static_cast<void>(handover_->send_request_ids(bytes_of(core_.request_ids().listed(0))));
  send_request_ids();
}

void Router::send_request_ids() {
  RecentIds& ids = core_.request_ids();
  if (!ids.has_listed()) return;
  if (!handover_ || !handover_->takes_request_ids()) {
    ids.list(RecentIds::Listing::Off);
    return;
  }
  while (ids.has_listed()) {
    RecentIds::Hashes part = ids.listed(kIdsPerMessage);
    if (!handover_->send_request_ids(bytes_of(part))) return;  // the next iteration tries again
    ids.remove_listed(part.values.size());
  }
}

void Router::on_request_ids(const std::string& ids) {
  std::optional<RecentIds::Hashes> hashes = parse_hashes(ids);
  if (!hashes || !core_.request_ids().adopt(clock_.now(), *hashes)) {
    std::fprintf(stderr, "arrowfork: handover: ids of requests that can't be used\n");
    return;
  }
  if (handover_->has_predecessor() && !std::exchange(lists_ids_for_predecessor_, true))
    core_.request_ids().list(RecentIds::Listing::Opened);
}

void Router::on_successor_ready() {
  std::fprintf(stderr, "arrowfork: a new process accepts clients; accepting suspended here\n");
  clients_.suspend_accepting(true);
  apply_limits();
}

void Router::on_successor_lost() {
  std::fprintf(stderr, "arrowfork: the new process has ended\n");
  if (!shutdown_) clients_.suspend_accepting(false);
  clients_.set_hand_over(nullptr);
  apply_limits();
}

void Router::on_predecessor_descriptors(std::size_t descriptors) {
  other_process_descriptors_ = descriptors;
  apply_limits();
}

void Router::on_predecessor_gone() {
  other_process_descriptors_ = 0;
  apply_limits();
  take_over_if_ready();
}

std::size_t Router::descriptors_in_use() const {
  return clients_.connections() + servers_.connections() + kReservedSockets;
}

/// Both processes of an upgrade share one set of limits: the old one opens no more connections than
/// it has, and the new one gets the rest. Each has its own code and tables beside what it may hold
/// for peers, so that together they may hold less than one process.
void Router::apply_limits() {
  Config limits = config_;
  bool successor = handover_ && handover_->has_successor();
  bool predecessor = handover_ && handover_->has_predecessor();
  if (successor || predecessor) limits.memory_bytes /= kUpgradeMemoryDivisor;
  limits.sockets =
      std::max(kMinSockets, limits.sockets - std::min(limits.sockets, other_process_descriptors_));
  ServerSide::Limits servers = server_limits(limits);
  if (successor) servers.max_connections = std::max<std::size_t>(1, servers_.connections());
  memory_.set_limit(peer_memory(limits));
  servers_.set_limits(servers);
  clients_.set_limits(client_limits(limits));
  clients_.refuse_values_over_limit();
}

// ---- timers ----

void Router::on_timer(evutil_socket_t, short, void* self) {
  static_cast<Router*>(self)->timer_due_at_ = 0;  // run() performs the turn that is due
}

void Router::arm_timer() {
  Micros due = core_.next_timer();
  if (!due || (timer_due_at_ && timer_due_at_ <= due)) return;
  timer_due_at_ = due;
  timeval wait = timeval_of(std::max<Micros>(timer_due_at_ - clock_.now(), 0));
  event_add(timer_event_.get(), &wait);
}

}  // namespace arrowfork
