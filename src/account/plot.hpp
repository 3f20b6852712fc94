// Plots as SVG in an HTML page, and the parts that such pages share.
#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wheeldeal::account {

/// Escapes text for HTML.
std::string escape_html(std::string_view text);
/// Formats a number with at most one decimal.
std::string format_short(double value);

struct PlotLine {
  std::string name;
  std::vector<double> values;  ///< one per time
};
/// Writes a plot with title and legend. `at`: seconds, ascending, not empty; `marks`: times and
/// labels of vertical lines.
void write_plot(std::string_view title, const std::vector<double>& at,
                const std::vector<PlotLine>& lines,
                const std::vector<std::pair<double, std::string>>& marks, std::ostream& out);
/// Writes the page up to the start of its body.
void write_page_head(std::string_view title, std::ostream& out);

}  // namespace wheeldeal::account
