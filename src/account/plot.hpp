// Plots as SVG within an HTML page, and the little that such pages share.
#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wheeldeal::account {

/// Text as HTML has it.
std::string escape_html(std::string_view text);
/// A few digits.
std::string format_short(double value);

struct PlotLine {
  std::string name;
  std::vector<double> values;  ///< one for each time
};
/// One plot with its title and legend. `at`: seconds, rising, not empty; `marks`: times and labels
/// of upright lines.
void write_plot(std::string_view title, const std::vector<double>& at,
                const std::vector<PlotLine>& lines,
                const std::vector<std::pair<double, std::string>>& marks, std::ostream& out);
/// The head of a page up to its body's begin.
void write_page_head(std::string_view title, std::ostream& out);

}  // namespace wheeldeal::account
