#include "report.hpp"

#include <algorithm>
#include <cstdio>
#include <iomanip>

#include "plot.hpp"

namespace wheeldeal::account {
namespace {

constexpr std::size_t kMaxServersListed = 20;  // in a table
constexpr std::size_t kMaxPlotPoints = 1200;   // in a plot: one per pixel

struct Plot {
  const char* title;
  std::vector<const char*> columns;
};
const std::vector<Plot>& plots() {
  static const std::vector<Plot> all = {
      {"Requests and refusals per second",
       {"requests", "refused", "turned_away", "unsendable", "given_up"}},
      {"Attempts that did not succeed, per second",
       {"attempts_error", "attempts_full", "attempts_timeout", "attempts_unreached",
        "attempts_reset", "attempts_no_room", "attempts_cancelled"}},
      {"Retries, hedges and trials per second", {"retries", "copies", "trials"}},
      {"Dials per second",
       {"server_dials", "server_dials_failed", "server_dials_no_room",
        "server_connections_closed_idle"}},
      {"Connections to servers", {"server_connections", "server_connections_idle"}},
      {"Fetches from the origin", {"fetches_out", "misses"}},
      {"Discovery calls per second",
       {"discovery_calls", "discovery_calls_failed", "discovery_answers_bad"}},
  };
  return all;
}

std::size_t column_of(std::string_view name) {
  for (std::size_t k = 0; k < columns().size(); ++k)
    if (columns()[k].name == name) return k;
  return 0;
}

/// Merges neighbouring rows so that at most `max_rows` are left.
std::vector<LogSummary::Row> merge_rows(std::vector<LogSummary::Row> rows, std::size_t max_rows) {
  std::size_t step = (rows.size() + max_rows - 1) / std::max<std::size_t>(1, max_rows);
  if (step <= 1) return rows;
  std::vector<LogSummary::Row> all;
  for (std::size_t k = 0; k < rows.size(); k += step) {
    std::size_t end = std::min(rows.size(), k + step);
    LogSummary::Row row = rows[k];
    for (std::size_t j = k + 1; j < end; ++j)
      for (std::size_t c = 0; c < row.values.size(); ++c) row.values[c] += rows[j].values[c];
    for (double& value : row.values) value /= static_cast<double>(end - k);
    all.push_back(std::move(row));
  }
  return all;
}

/// Quotes a CSV field (RFC 4180). A quote in front keeps spreadsheets from taking it as a formula.
std::string csv_field(std::string_view text) {
  std::string safe;
  if (!text.empty() && std::string_view("=+-@\t\r").find(text.front()) != std::string_view::npos)
    safe += '\'';
  for (char c : text) {
    if (c == '"') safe += '"';
    safe += c;
  }
  return safe.find_first_of(",\"\n\r") == safe.npos ? safe : '"' + safe + '"';
}

void write_plot(const Plot& plot, const std::vector<LogSummary::Row>& rows, std::ostream& out) {
  std::vector<double> at;
  for (const LogSummary::Row& row : rows) at.push_back(row.starts_at - rows.front().starts_at);
  std::vector<PlotLine> lines;
  for (const char* name : plot.columns) {
    std::size_t column = column_of(name);
    lines.push_back({columns()[column].heading, {}});
    for (const LogSummary::Row& row : rows) lines.back().values.push_back(row.values[column]);
  }
  write_plot(plot.title, at, lines, {}, out);
}

}  // namespace

void write_table(const LogSummary& summary, std::ostream& out, std::size_t max_rows) {
  std::vector<LogSummary::Row> rows = merge_rows(summary.rows(), max_rows);
  out << summary.router_count() << " routers, " << summary.line_count() << " lines";
  if (summary.malformed_lines()) out << ", " << summary.malformed_lines() << " malformed";
  if (summary.dropped()) out << ", " << summary.dropped() << " events dropped beyond the bounds";
  out << '\n';
  if (rows.empty()) return;
  std::vector<std::size_t> non_empty;  // columns with any value above 0
  for (std::size_t c = 0; c < columns().size(); ++c)
    if (std::any_of(rows.begin(), rows.end(), [c](const auto& row) { return row.values[c] > 0; }))
      non_empty.push_back(c);
  auto column_width = [](std::size_t c) {
    return static_cast<int>(
               std::max<std::size_t>(7, std::string_view(columns()[c].heading).size())) +
           1;
  };
  out << "       s";
  for (std::size_t c : non_empty) out << std::setw(column_width(c)) << columns()[c].heading;
  out << '\n';
  for (const LogSummary::Row& row : rows) {
    out << std::setw(8) << format_short(row.starts_at - rows.front().starts_at);
    for (std::size_t c : non_empty)
      out << std::setw(column_width(c)) << format_short(row.values[c]);
    out << '\n';
  }
  std::vector<LogSummary::ServerSum> servers = summary.servers();
  if (!servers.empty())
    out << "\nservers with failed attempts: ok failed full given-up unreached\n";
  for (std::size_t k = 0; k < std::min(kMaxServersListed, servers.size()); ++k) {
    const auto& s = servers[k];
    out << "  " << s.server << ' ' << s.ok << ' ' << s.failed << ' ' << s.rejected << ' '
        << s.timed_out << ' ' << s.unreachable << '\n';
  }
  std::vector<Episode> episodes = summary.episodes();
  if (!episodes.empty())
    out << "\nfailures and returns: s, server, what, then s until the first, median and last "
           "router "
           "acted\n";
  for (const Episode& e : episodes)
    out << "  " << format_short(e.onset - rows.front().starts_at) << ' ' << e.server
        << (e.down ? " down " : " up ") << std::fixed << std::setprecision(1) << e.first << ' '
        << e.median << ' ' << e.last << std::defaultfloat << std::setprecision(6) << ", "
        << e.routers << " routers" << (e.onset_known ? ", as told\n" : "\n");
}

void write_csv(const LogSummary& summary, std::ostream& out) {
  out << "seconds";
  for (const Column& c : columns()) out << ',' << c.name;
  out << '\n';
  for (const LogSummary::Row& row : summary.rows()) {
    out << std::fixed << std::setprecision(3) << row.starts_at << std::defaultfloat
        << std::setprecision(6);
    for (double value : row.values) out << ',' << value;
    out << '\n';
  }
}

void write_servers_csv(const LogSummary& summary, std::ostream& out) {
  out << "seconds,server,ok,failed,full,given_up,unreached\n";
  for (const auto& [starts_at, s] : summary.cells())
    out << std::fixed << std::setprecision(3) << starts_at << std::defaultfloat
        << std::setprecision(6) << ',' << csv_field(s.server) << ',' << s.ok << ',' << s.failed
        << ',' << s.rejected << ',' << s.timed_out << ',' << s.unreachable << '\n';
}

void write_html(const LogSummary& summary, std::ostream& out) {
  std::vector<LogSummary::Row> rows = merge_rows(summary.rows(), kMaxPlotPoints);
  write_page_head("Log summary of the tier", out);
  out << "<p>" << summary.router_count() << " routers, " << summary.line_count() << " lines, "
      << format_short(summary.row_seconds()) << " s per row";
  if (summary.malformed_lines()) out << "; " << summary.malformed_lines() << " lines malformed";
  if (summary.dropped()) out << "; " << summary.dropped() << " events dropped beyond the bounds";
  out << ".</p>\n";
  if (!rows.empty())
    for (const Plot& plot : plots()) write_plot(plot, rows, out);
  out << "<h2>Servers with failed attempts</h2>\n<table><tr><th>server<th>ok<th>failed<th>full"
         "<th>given up<th>unreached</tr>\n";
  std::vector<LogSummary::ServerSum> servers = summary.servers();
  for (std::size_t k = 0; k < std::min(kMaxServersListed, servers.size()); ++k) {
    const auto& s = servers[k];
    out << "<tr><td>" << escape_html(s.server) << "<td>" << s.ok << "<td>" << s.failed << "<td>"
        << s.rejected << "<td>" << s.timed_out << "<td>" << s.unreachable << "</tr>\n";
  }
  out << "</table>\n<h2>Failures and returns</h2>\n<table><tr><th>server<th>what<th>at, s<th>first "
         "router, s<th>median<th>last<th>routers</tr>\n";
  for (const Episode& e : summary.episodes())
    out << "<tr><td>" << escape_html(e.server) << "<td>" << (e.down ? "down" : "up") << "<td>"
        << format_short(rows.empty() ? e.onset : e.onset - rows.front().starts_at) << "<td>"
        << format_short(e.first) << "<td>" << format_short(e.median) << "<td>"
        << format_short(e.last) << "<td>" << e.routers << "</tr>\n";
  out << "</table></body></html>\n";
}

}  // namespace wheeldeal::account
