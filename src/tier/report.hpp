// Writes the result of a run as text, JSON and an HTML page with plots.
#pragma once

#include <ostream>
#include <string>

#include "checker.hpp"

namespace arrowfork::tier {

struct Result {
  std::vector<Verdict> rules, claims;
  std::vector<Row> rows;  ///< one per second
  std::vector<std::pair<double, std::string>> marks;
  int status = 0;
  Micros max_lag = 0;
};

void write_table(const Scenario& scenario, const Result& result, std::ostream& out);
std::string result_to_json(const Scenario& scenario, const Result& result);
void write_html(const Scenario& scenario, const Result& result, std::ostream& out);

}  // namespace arrowfork::tier
