// The router's counters and gauges: one list, for the log in logfmt and for a client's STAT.
#include <sys/resource.h>

#include <cmath>
#include <cstdio>

#include "router.hpp"

namespace arrowfork {
namespace {

// A server with a smaller share of live slots is logged as down: it is dead or most of its keys
// have moved. A returning server passes this value half way up its ramp.
constexpr double kDownLiveShare = 0.5;

/// Peak resident memory of this process.
long peak_memory_kib() {
  rusage usage{};
  return ::getrusage(RUSAGE_SELF, &usage) == 0 ? usage.ru_maxrss : 0;
}

std::string text_of(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6g", std::isfinite(value) ? value : 0);
  return text;
}

}  // namespace

std::vector<std::pair<std::string, std::string>> Router::stats() const {
  const Core::Counts& c = core_.counts();
  const ServerSide::Counts& s = servers_.counts();
  const DiscoveryCall::Counts& d = discovery_.counts();
  const robinseam::Balancer::Stats m = core_.module_stats();
  robinseam::recovery::Recovery::View recovery = recovery_.view(clock_.now());
  std::vector<std::pair<std::string, std::string>> all;
  auto add = [&](const char* name, auto value) { all.emplace_back(name, std::to_string(value)); };
  auto add_real = [&](const char* name, double value) { all.emplace_back(name, text_of(value)); };
  add("time", clock_.now() / kSecond);
  add("time_ms", clock_.now() / kMillisecond);
  add("uptime_ms", (clock_.now() - started_at_) / kMillisecond);
  // Early in the line, because a log collector may cut long lines.
  all.emplace_back("list_version", discovery_.version().empty() ? "none" : discovery_.version());
  add("list_age_ms", recovery.list_age < 0 ? -1 : recovery.list_age / kMillisecond);
  add("list_old", list_is_old(recovery) ? 1 : 0);
  add("discovery_calls", d.calls);
  add("discovery_calls_failed", d.failed);
  add("discovery_answers_bad", d.invalid);
  add("discovery_calls_timed_out", d.timed_out);
  add("discovery_calls_cancelled", d.cancelled);
  add("requests", c.requests);
  add("open_requests", core_.open_requests());
  add("refused", c.refused);
  add("failed", c.failed);
  add("gone", c.gone);
  add("hits", c.hits);
  add("misses", c.misses);
  auto submitted = [&](Core::SubmitResult r) { return c.submitted[static_cast<std::size_t>(r)]; };
  add("refused_table_full", submitted(Core::SubmitResult::TableFull));
  add("refused_shutdown", submitted(Core::SubmitResult::ShuttingDown));
  add("id_in_use", submitted(Core::SubmitResult::IdInUse));
  add("ids_forgotten_early", core_.ids_forgotten_early());
  add("bad_class", submitted(Core::SubmitResult::InvalidClass));
  add("memory_peak_kb", peak_memory_kib());
  add("held_bytes", memory_.used());
  add("held_bytes_peak", memory_.peak());
  add("held_bytes_limit", memory_.limit());
  add("server_values_without_room", s.values_without_room);
  const char* const kCloseReasons[] = {"left",       "reset",    "idle",     "half_command",
                                       "stalled",    "evicted",  "draining", "framing",
                                       "over_limit", "truncated"};
  static_assert(std::size(kCloseReasons) == kCloseReasonCount);
  for (std::size_t k = 0; k < kCloseReasonCount; ++k)
    all.emplace_back(std::string("clients_closed_") + kCloseReasons[k],
                     std::to_string(clients_.counts().closed[k]));
  add("turned_away", m.shed);
  add("unsendable", m.unroutable);
  add("given_up", m.failed_after_attempts);
  add("retries", m.retries);
  add("copies", m.hedges);
  add("trials", m.trials);
  add("curr_connections", clients_.connections());
  add("connections_meta", clients_.counts().meta);
  add("connections_binary", clients_.counts().binary);
  for (std::size_t k = 0; k < c.outcomes.size(); ++k)
    all.emplace_back(std::string("attempts_") + log_name_of(static_cast<Status>(k)),
                     std::to_string(c.outcomes[k]));
  add("server_connections", servers_.connections());
  add("server_connections_idle", servers_.idle_connections());
  add("server_dials", s.dials);
  add("server_dials_failed", s.failed_dials);
  add("server_dials_no_room", s.dials_over_connection_limit);
  add_real("server_idle_part", servers_.idle_timeout_share());
  add("server_connections_none", s.no_connection);
  add("server_connections_pipelined", s.pipelined);
  add("server_connections_ended_idle", s.ended_idle);
  add("server_connections_ended_busy", s.ended_busy);
  add("server_connections_closed_idle", s.closed_idle);
  add("server_connections_gave_up", s.closed_unresponsive);
  add("server_connections_made_room", s.evicted);
  add("server_connections_kept", s.kept_open);
  add("server_attempts_recalled", s.withdrawn_leaving);
  add("server_attempts_taken_back", s.withdrawn_client_gone);
  add("server_attempts_past_window", c.withdrawn_past_window);
  add("server_garbage", s.malformed_answers);
  add("server_late_answers", s.late_answers);
  add("server_wrong_protocol", s.wrong_protocol);
  all.emplace_back("recovery", robinseam::recovery::name_of(recovery.phase));
  add("recovery_since_ms", (clock_.now() - recovery.since) / kMillisecond);
  const char* const kRestartVerdicts[] = {"unknown", "alone", "together"};
  all.emplace_back("came_back", kRestartVerdicts[m.restart_verdict]);
  add("writes_known", m.tracked_writes);
  add("writes_forgotten", m.evicted_writes);
  add("servers", m.servers);
  add_real("servers_live", m.live_servers);
  add_real("near", m.zone_affinity);
  add_real("shed_fetched", m.uncached_shed_share);
  add_real("shed_held", m.cached_shed_share);
  add_real("fetch_limit", m.fetch_limit);
  add_real("fetches_out", m.fetches_in_flight);
  add_real("late", m.late_rate);
  add_real("errors", m.error_rate);
  add_real("full", m.rejected_rate);
  add_real("unreachable", m.unreachable_rate);
  add_real("spoilt", m.malformed_rate);
  add_real("utilization", m.utilization);
  add("seeds", m.saved_seeds);
  add("keys", m.tracked_keys);
  if (list_persistence_)
    for (auto& [name, value] : list_persistence_->stats()) all.emplace_back(name, value);
  for (const Frontend* frontend : frontends_)
    for (const auto& [name, value] : frontend->counters()) add(name.c_str(), value);
  return all;
}

void Router::log_settings() const {
  const robinseam::Settings& s = config_.settings;
  std::fprintf(stderr,
               "arrowfork: settings: routers=%d lists=%s ask_within_ms=%lld drain_grace_ms=%lld "
               "longest_deadline_ms=%lld list=%s servers=%zu doubted=%d\n",
               s.routers, s.poll_list ? "asked" : "pushed",
               static_cast<long long>(s.max_poll_delay / kMillisecond),
               static_cast<long long>(s.drain_grace / kMillisecond),
               static_cast<long long>(core_.longest_deadline() / kMillisecond),
               config_.initial_list.version.empty() ? "none" : config_.initial_list.version.c_str(),
               config_.initial_list.hosts.size(), config_.initial_list_unverified ? 1 : 0);
}

void Router::on_log(evutil_socket_t, short, void* self) {
  auto* r = static_cast<Router*>(self);
  std::string line = "arrowfork: figures";
  for (const auto& [name, value] : r->stats()) line += ' ' + name + '=' + value;
  const auto worst = r->servers_.take_most_abandoned();  // server with the most abandoned attempts
  if (worst.second > 0) line += " worst=" + worst.first + ':' + std::to_string(worst.second);
  std::fprintf(stderr, "%s\n", line.c_str());
  r->log_servers();
  r->log_states();
}

/// Logs one line with the servers that had failed attempts since the last line: id, then the counts
/// of served, failed, rejected as full, abandoned and unreached (with resets), and the share of
/// live slots.
void Router::log_servers() {
  std::string line;
  for (const auto& [id, counts] : core_.take_server_counts()) {
    auto of = [&counts = counts](Status s) { return counts[static_cast<std::size_t>(s)]; };
    unsigned failed = of(Status::Error) + of(Status::Malformed);
    unsigned given_up = of(Status::Timeout) + of(Status::Cancelled);
    unsigned unreached =
        of(Status::ConnectFailed) + of(Status::Reset) + of(Status::ConnectionLimit);
    unsigned full = of(Status::Rejected);
    if (failed + full + given_up + unreached == 0) continue;
    char text[160];
    std::snprintf(text, sizeof text, " %s %u/%u/%u/%u/%u/%.2f", id.c_str(), of(Status::Ok), failed,
                  full, given_up, unreached, core_.live_fraction(id));
    line += text;
  }
  if (!line.empty()) std::fprintf(stderr, "arrowfork: at%s\n", line.c_str());
}

/// Logs one line with the listed servers that went down or came up since the last line, as seen by
/// this router. Servers removed from the list are not included.
void Router::log_states() {
  std::string line;
  std::set<std::string> down;
  for (const auto& [id, host] : operator_overrides_.effective_hosts()) {
    if (host.server.health != robinseam::Health::Ready) continue;
    bool is_down = core_.live_fraction(id) < kDownLiveShare;
    if (is_down) down.insert(id);
    if (is_down != (down_servers_.count(id) > 0)) line += ' ' + id + (is_down ? "=down" : "=up");
  }
  down_servers_ = std::move(down);
  if (!line.empty()) std::fprintf(stderr, "arrowfork: states%s\n", line.c_str());
}

}  // namespace arrowfork
