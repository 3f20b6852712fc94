// The router's figures: one list of them, for the log in logfmt and for a client's STAT.
#include <cmath>
#include <cstdio>

#include "router.hpp"

namespace arrowfork {
namespace {

// A server that is live over less of its slots than this is down as the log has it: a dead one, one
// whose keys have mostly moved. What has returned is above it half way up its ramp.
constexpr double kDown = 0.5;

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
  robinseam::recovery::Recovery::View back = recovery_.view(clock_.now());
  std::vector<std::pair<std::string, std::string>> all;
  auto add = [&](const char* name, auto value) { all.emplace_back(name, std::to_string(value)); };
  auto part = [&](const char* name, double value) { all.emplace_back(name, text_of(value)); };
  add("time", clock_.now() / kSecond);
  add("time_ms", clock_.now() / kMillisecond);
  add("uptime_ms", (clock_.now() - born_) / kMillisecond);
  // Early in the line: a collector may cut long lines.
  all.emplace_back("list_version", discovery_.version().empty() ? "none" : discovery_.version());
  add("list_age_ms", back.list_age < 0 ? -1 : back.list_age / kMillisecond);
  add("list_old", list_is_old(back) ? 1 : 0);
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
  add("turned_away", m.shed);
  add("unsendable", m.unroutable);
  add("given_up", m.failed_after_attempts);
  add("retries", m.retries);
  add("copies", m.hedges);
  add("trials", m.trials);
  add("curr_connections", clients_.connections());
  add("connections_meta", clients_.counts().meta);
  add("connections_binary", clients_.counts().binary);
  const char* const kOutcomes[] = {"ok",        "error", "full", "timeout", "unreached", "reset",
                                   "cancelled", "moot",  "miss", "spoilt",  "no_room"};
  static_assert(std::size(kOutcomes) == robinseam::kStatusCount);
  for (std::size_t k = 0; k < c.outcomes.size(); ++k)
    all.emplace_back(std::string("attempts_") + kOutcomes[k], std::to_string(c.outcomes[k]));
  add("server_connections", servers_.connections());
  add("server_connections_idle", servers_.idle_connections());
  add("server_dials", s.dials);
  add("server_dials_failed", s.failed_dials);
  add("server_dials_no_room", s.dials_over_connection_limit);
  part("server_idle_part", servers_.idle_time_fraction());
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
  add("server_garbage", s.malformed_answers);
  add("server_late_answers", s.late_answers);
  add("server_wrong_protocol", s.wrong_protocol);
  all.emplace_back("recovery", robinseam::recovery::name_of(back.phase));
  add("recovery_since_ms", (clock_.now() - back.since) / kMillisecond);
  const char* const company[] = {"unknown", "alone", "together"};
  all.emplace_back("came_back", company[m.restart_verdict]);
  add("writes_known", m.tracked_writes);
  add("writes_forgotten", m.evicted_writes);
  add("servers", m.servers);
  part("servers_live", m.live_servers);
  part("near", m.zone_affinity);
  part("shed_fetched", m.uncached_shed_share);
  part("shed_held", m.cached_shed_share);
  part("fetch_limit", m.fetch_limit);
  part("fetches_out", m.fetches_in_flight);
  part("late", m.late_rate);
  part("errors", m.error_rate);
  part("full", m.rejected_rate);
  part("unreachable", m.unreachable_rate);
  part("spoilt", m.malformed_rate);
  part("utilization", m.utilization);
  add("seeds", m.saved_seeds);
  add("keys", m.tracked_keys);
  if (memory_)
    for (auto& [name, value] : memory_->stats()) all.emplace_back(name, value);
  for (const Frontend* front : fronts_)
    for (const auto& [name, value] : front->counters()) add(name.c_str(), value);
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
               config_.known.version.empty() ? "none" : config_.known.version.c_str(),
               config_.known.hosts.size(), config_.known_is_doubted ? 1 : 0);
}

void Router::on_log(evutil_socket_t, short, void* self) {
  auto* r = static_cast<Router*>(self);
  std::string line = "arrowfork: figures";
  for (const auto& [name, value] : r->stats()) line += ' ' + name + '=' + value;
  const auto worst = r->servers_.take_most_abandoned();  // attempts given up there
  if (worst.second > 0) line += " worst=" + worst.first + ':' + std::to_string(worst.second);
  std::fprintf(stderr, "%s\n", line.c_str());
  r->log_servers();
  r->log_states();
}

/// One line of the servers at which anything but answers came since the last: id, then answered,
/// failed, full, given up, unreached (with resets) and the part of its slots it is live over.
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

/// One line of the listed servers that have gone down or returned, as this router sees them, since
/// the last. What the list takes away is neither.
void Router::log_states() {
  std::string line;
  std::set<std::string> down;
  for (const auto& [id, host] : hand_.effective_hosts()) {
    if (host.server.health != robinseam::Health::Ready) continue;
    bool is_down = core_.live_fraction(id) < kDown;
    if (is_down) down.insert(id);
    if (is_down != (down_.count(id) > 0)) line += ' ' + id + (is_down ? "=down" : "=up");
  }
  down_ = std::move(down);
  if (!line.empty()) std::fprintf(stderr, "arrowfork: states%s\n", line.c_str());
}

}  // namespace arrowfork
