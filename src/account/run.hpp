// `wheeldeal account`: reads router logs and writes their summary.
#pragma once

#include <string>
#include <vector>

namespace wheeldeal::account {

struct Options {
  std::vector<std::string> paths;      ///< log files, and directories whose *.log files are read
  std::string events;                  ///< CSV: seconds, server, down or up
  std::string csv, servers_csv, html;  ///< files to write; empty: none
  std::size_t rows = 60;               ///< most rows in the table
};

/// Returns the exit status; errors go to standard error.
int run(const Options& options);

}  // namespace wheeldeal::account
