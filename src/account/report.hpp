// The account as text, CSV and one HTML page that needs nothing else.
#pragma once

#include <ostream>

#include "log_summary.hpp"

namespace wheeldeal::account {

/// The table, `most_rows` rows at most (several are taken together beyond), the worst servers and
/// the episodes.
void write_table(const LogSummary& summary, std::ostream& out, std::size_t most_rows = 60);
/// A line a row, all columns; heads are the log's names.
void write_csv(const LogSummary& summary, std::ostream& out);
/// A line for each server and time: seconds,server,ok,failed,full,given_up,unreached.
void write_servers_csv(const LogSummary& summary, std::ostream& out);
void write_html(const LogSummary& summary, std::ostream& out);

}  // namespace wheeldeal::account
