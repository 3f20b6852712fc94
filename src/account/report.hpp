// Writes the log summary as text, CSV and a self-contained HTML page.
#pragma once

#include <ostream>

#include "log_summary.hpp"

namespace wheeldeal::account {

/// Writes the table with at most `max_rows` rows (rows are merged if there are more), the worst
/// servers and the episodes.
void write_table(const LogSummary& summary, std::ostream& out, std::size_t max_rows = 60);
/// Writes one line per row with all columns, headed by the names in the log.
void write_csv(const LogSummary& summary, std::ostream& out);
/// Writes one line per server and time: seconds,server,ok,failed,full,given_up,unreached.
void write_servers_csv(const LogSummary& summary, std::ostream& out);
void write_html(const LogSummary& summary, std::ostream& out);

}  // namespace wheeldeal::account
