#include "log_summary.hpp"

#include <algorithm>
#include <cmath>

namespace wheeldeal::account {
namespace {

/// Longest interval, in s, that one line covers; a router silent for longer was not running.
constexpr double kMaxInterval = 600;

}  // namespace

const std::vector<Column>& columns() {
  static const std::vector<Column> all = {
      {"requests", "requests", true},
      {"attempts_ok", "ok", true},
      {"refused", "refused", true},
      {"turned_away", "at the door", true},
      {"unsendable", "no server", true},
      {"given_up", "given up", true},
      {"failed", "failed", true},
      {"gone", "client gone", true},
      {"attempts_error", "error", true},
      {"attempts_full", "full", true},
      {"attempts_timeout", "timeout", true},
      {"attempts_unreached", "unreached", true},
      {"attempts_reset", "reset", true},
      {"attempts_no_room", "no room", true},
      {"attempts_cancelled", "cancelled", true},
      {"attempts_spoilt", "spoilt", true},
      {"retries", "retries", true},
      {"copies", "copies", true},
      {"trials", "trials", true},
      {"misses", "misses", true},
      {"server_dials", "dials", true},
      {"server_dials_failed", "dials failed", true},
      {"server_dials_no_room", "dials no room", true},
      {"server_connections_closed_idle", "closed idle", true},
      {"server_connections", "open", false},
      {"server_connections_idle", "idle", false},
      {"fetches_out", "fetches out", false},
      {"fetch_limit", "fetch limit", false},
      {"open_requests", "under way", false},
      {"discovery_calls", "list calls", true},
      {"discovery_calls_failed", "calls failed", true},
      {"discovery_answers_bad", "bad lists", true},
  };
  return all;
}

LogSummary::LogSummary() {
  for (std::size_t k = 0; k < columns().size(); ++k) column_by_name_[columns()[k].name] = k;
}

void LogSummary::set_router(const std::string& name) {
  auto [at, inserted] =
      router_indices_.emplace(name, static_cast<std::uint32_t>(router_indices_.size()));
  if (inserted) router_states_.emplace_back();
  current_router_ = at->second;
}

void LogSummary::add_line(std::string_view text) {
  if (router_states_.empty()) set_router("");
  ++line_count_;
  parse_log_line(text, line_);
  switch (line_.kind) {
    case LogLine::Kind::Figures:
      return add_figures(line_);
    case LogLine::Kind::Attempts:
      return add_attempts(line_);
    case LogLine::Kind::States:
      return add_states(line_);
    case LogLine::Kind::Malformed:
      ++malformed_lines_;
      return;
    case LogLine::Kind::Other:
      return;
  }
}

void LogSummary::add_figures(const LogLine& line) {
  RouterState& state = router_states_[current_router_];
  double time = -1, uptime = -1;
  std::vector<double> values(columns().size(), 0);
  for (const auto& [name, value] : line.figures) {
    if (name == "time_ms") time = value / 1000;
    if (name == "uptime_ms") uptime = value / 1000;
    auto at = column_by_name_.find(name);
    if (at != column_by_name_.end() && std::isfinite(value)) values[at->second] = value;
  }
  if (!(time >= 0 && time < 1e11) || !(uptime >= 0)) {
    ++malformed_lines_;
    return;
  }
  // A process started after the last line counts from zero, over its own uptime.
  bool restarted = !state.has_figures || uptime < state.uptime;
  double from = restarted ? time - uptime : state.to;
  from = std::clamp(from, time - kMaxInterval, time);
  for (std::size_t k = 0; k < values.size(); ++k) {
    double before = restarted || state.last.empty() ? 0 : state.last[k];
    if (columns()[k].is_counter)
      spread(k, from, time, std::max(0.0, values[k] - before));
    else
      spread(k, from, time, values[k] * (time - from));  // assumed constant over the interval
  }
  state.has_figures = true;
  state.from = from, state.to = time, state.uptime = uptime;
  state.last = std::move(values);
}

/// Distributes `amount` evenly over the rows between `from` and `to`.
void LogSummary::spread(std::size_t column, double from, double to, double amount) {
  if (amount == 0) return;
  auto put = [&](double at, double part) {
    auto [row, inserted] =
        rows_.try_emplace(static_cast<std::int64_t>(std::floor(at / row_seconds_)));
    if (inserted) row->second.assign(columns().size(), 0);
    row->second[column] += part;
  };
  if (to - from < 1e-9) {
    put(to, amount);
  } else {
    for (double at = from; at < to;) {
      double next = std::min(to, (std::floor(at / row_seconds_) + 1) * row_seconds_);
      if (next <= at) next = to;
      put(at, amount * (next - at) / (to - from));
      at = next;
    }
  }
  while (rows_.size() > kMaxRows) widen_rows();
}

void LogSummary::widen_rows() {
  row_seconds_ *= 2;
  std::map<std::int64_t, std::vector<double>> wider;
  for (auto& [index, values] : rows_) {
    auto [row, inserted] = wider.try_emplace(index >> 1, std::move(values));
    if (!inserted)
      for (std::size_t k = 0; k < row->second.size(); ++k) row->second[k] += values[k];
  }
  rows_ = std::move(wider);
}

void LogSummary::widen_cells() {
  cell_seconds_ *= 2;
  std::map<std::pair<std::int64_t, std::uint32_t>, Sum> wider;
  for (const auto& [key, sum] : cells_) {
    Sum& into = wider[{key.first >> 1, key.second}];
    for (std::size_t k = 0; k < sum.size(); ++k) into[k] += sum[k];
  }
  cells_ = std::move(wider);
}

std::uint32_t LogSummary::server_index(std::string_view id) {
  std::string name(id);
  auto at = server_indices_.find(name);
  if (at != server_indices_.end()) return at->second;
  if (server_names_.size() >= kMaxServers) {
    ++dropped_;
    return kMaxServers;
  }
  server_names_.push_back(name);
  return server_indices_[name] = static_cast<std::uint32_t>(server_names_.size() - 1);
}

void LogSummary::add_event(double at, std::uint32_t server, Event::Kind kind) {
  if (server >= kMaxServers || events_.size() >= kMaxEvents) {
    ++dropped_;
    return;
  }
  events_.push_back({at, server, current_router_, kind});
}

void LogSummary::add_attempts(const LogLine& line) {
  const RouterState& state = router_states_[current_router_];
  if (!state.has_figures) return;  // the time of the line is unknown
  for (const ServerAttempts& entry : line.attempts) {
    std::uint32_t s = server_index(entry.id);
    if (s >= kMaxServers) continue;
    Sum& sum = cells_[{static_cast<std::int64_t>(std::floor(state.from / cell_seconds_)), s}];
    sum[0] += entry.ok, sum[1] += entry.failed, sum[2] += entry.rejected;
    sum[3] += entry.timed_out, sum[4] += entry.unreachable;
    if (entry.failed + entry.timed_out + entry.unreachable > 0)
      add_event(state.from, s, Event::Failure);
  }
  while (cells_.size() > kMaxCells) widen_cells();
}

void LogSummary::add_states(const LogLine& line) {
  const RouterState& state = router_states_[current_router_];
  if (!state.has_figures) return;
  for (const ServerState& entry : line.states)
    add_event(state.to, server_index(entry.id), entry.down ? Event::Down : Event::Up);
}

void LogSummary::add_known_event(double at, const std::string& id, bool down) {
  add_event(at, server_index(id), down ? Event::TrueDown : Event::TrueUp);
}

std::vector<LogSummary::Row> LogSummary::rows() const {
  std::vector<Row> all;
  for (const auto& [index, sums] : rows_) {
    Row row{static_cast<double>(index) * row_seconds_, sums};
    for (double& value : row.values) value /= row_seconds_;
    all.push_back(std::move(row));
  }
  return all;
}

std::vector<LogSummary::Cell> LogSummary::cells() const {
  std::vector<Cell> all;
  for (const auto& [key, sum] : cells_)
    all.push_back({static_cast<double>(key.first) * cell_seconds_,
                   {server_names_[key.second], sum[0], sum[1], sum[2], sum[3], sum[4]}});
  return all;
}

std::vector<LogSummary::ServerSum> LogSummary::servers() const {
  std::map<std::uint32_t, ServerSum> sums;
  for (const auto& [key, sum] : cells_) {
    ServerSum& into = sums[key.second];
    into.server = server_names_[key.second];
    into.ok += sum[0], into.failed += sum[1], into.rejected += sum[2];
    into.timed_out += sum[3], into.unreachable += sum[4];
  }
  std::vector<ServerSum> all;
  for (auto& [index, sum] : sums) all.push_back(std::move(sum));
  std::stable_sort(all.begin(), all.end(),
                   [](const ServerSum& a, const ServerSum& b) { return a.bad() > b.bad(); });
  return all;
}

std::vector<Episode> LogSummary::episodes() const {
  std::vector<Event> sorted = events_;
  std::stable_sort(sorted.begin(), sorted.end(), [](const Event& a, const Event& b) {
    return std::pair(a.server, a.at) < std::pair(b.server, b.at);
  });
  std::vector<Episode> all;
  for (std::size_t begin = 0, end; begin < sorted.size(); begin = end) {
    end = begin;
    while (end < sorted.size() && sorted[end].server == sorted[begin].server) ++end;
    for (bool down : {true, false}) {
      std::map<std::uint32_t, double> reactions;  // first reaction by router
      double latest = 0, onset = 0;
      bool from_known_event = false,
           has_onset = false;  // has_onset: there is an onset that no episode has used yet
      auto close = [&] {
        if (reactions.empty()) return;
        std::vector<double> times;
        for (const auto& [router, at] : reactions) times.push_back(at);
        std::sort(times.begin(), times.end());
        double from = has_onset ? onset : times.front();
        all.push_back({server_names_[sorted[begin].server], down, from, from_known_event,
                       times.front() - from, times[(times.size() - 1) / 2] - from,
                       times.back() - from, times.size()});
        reactions.clear();
        has_onset = from_known_event = false;
      };
      for (std::size_t k = begin; k < end; ++k) {
        const Event& e = sorted[k];
        if (!reactions.empty() && e.at - latest > kEpisodeGap) close();
        if (has_onset && !from_known_event && reactions.empty() && e.at - onset > kEpisodeGap)
          has_onset = false;
        if (e.kind == (down ? Event::TrueDown : Event::TrueUp)) {
          close();
          onset = e.at, from_known_event = has_onset = true;
        } else if (down && e.kind == Event::Failure) {
          if (!has_onset) onset = e.at, has_onset = true;
        } else if (e.kind == (down ? Event::Down : Event::Up)) {
          reactions.emplace(e.router, e.at);
          latest = e.at;
        }
      }
      close();
    }
  }
  std::stable_sort(all.begin(), all.end(),
                   [](const Episode& a, const Episode& b) { return a.onset < b.onset; });
  return all;
}

}  // namespace wheeldeal::account
