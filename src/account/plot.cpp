#include "plot.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iterator>

namespace wheeldeal::account {
namespace {

const char* const kColours[] = {"#1b6ca8", "#c0392b", "#27803b", "#b9770e",
                                "#6c3483", "#148f77", "#566573"};

}  // namespace

std::string escape_html(std::string_view text) {
  std::string safe;
  for (char c : text) {
    if (c == '<')
      safe += "&lt;";
    else if (c == '>')
      safe += "&gt;";
    else if (c == '&')
      safe += "&amp;";
    else if (c == '"')
      safe += "&quot;";
    else
      safe += c;
  }
  return safe;
}

std::string format_short(double value) {
  char text[32];
  std::snprintf(text, sizeof text, value < 9.95 && value != 0 ? "%.1f" : "%.0f", value);
  return text;
}

void write_plot(std::string_view title, const std::vector<double>& at,
                const std::vector<PlotLine>& lines,
                const std::vector<std::pair<double, std::string>>& marks, std::ostream& out) {
  constexpr double kWidth = 1000, kHeight = 220, kLeft = 60, kBottom = 24, kTop = 10;
  double begins = at.front(), ends = std::max(at.back(), begins + 1e-9), most = 0;
  for (const PlotLine& line : lines)
    for (double value : line.values) most = std::max(most, value);
  if (most <= 0) most = 1;
  auto x = [&](double t) { return kLeft + (kWidth - kLeft - 10) * (t - begins) / (ends - begins); };
  auto y = [&](double value) { return kTop + (kHeight - kTop - kBottom) * (1 - value / most); };
  out << "<h2>" << escape_html(title) << "</h2>\n<svg viewBox=\"0 0 " << kWidth << ' ' << kHeight
      << "\" role=\"img\">\n";
  for (int k = 0; k <= 4; ++k) {
    double value = most * k / 4, t = begins + (ends - begins) * k / 4;
    out << "<line class=\"grid\" x1=\"" << kLeft << "\" x2=\"" << kWidth - 10 << "\" y1=\""
        << y(value) << "\" y2=\"" << y(value) << "\"/><text x=\"" << kLeft - 6 << "\" y=\""
        << y(value) + 4 << "\" text-anchor=\"end\">" << format_short(value) << "</text>\n<text x=\""
        << x(t) << "\" y=\"" << kHeight - 6 << "\" text-anchor=\"middle\">" << format_short(t)
        << " s</text>\n";
  }
  for (const auto& [t, label] : marks)
    out << "<line class=\"mark\" x1=\"" << x(t) << "\" x2=\"" << x(t) << "\" y1=\"" << kTop
        << "\" y2=\"" << kHeight - kBottom << "\"><title>" << escape_html(label)
        << "</title></line>\n";
  for (std::size_t k = 0; k < lines.size(); ++k) {
    out << "<polyline fill=\"none\" stroke=\"" << kColours[k % std::size(kColours)]
        << "\" points=\"";
    for (std::size_t n = 0; n < at.size() && n < lines[k].values.size(); ++n)
      out << x(at[n]) << ',' << y(lines[k].values[n]) << ' ';
    out << "\"/>\n";
  }
  out << "</svg>\n<p>";
  for (std::size_t k = 0; k < lines.size(); ++k)
    out << "<span style=\"color:" << kColours[k % std::size(kColours)] << "\">&#9632; "
        << escape_html(lines[k].name) << "</span> ";
  out << "</p>\n";
}

void write_page_head(std::string_view title, std::ostream& out) {
  out << "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
      << escape_html(title)
      << "</title>\n<style>body{font:14px sans-serif;max-width:1040px;margin:1em auto}"
         "svg{width:100%}svg text{font-size:11px;fill:#444}.grid{stroke:#ddd}.mark{stroke:#c00;"
         "stroke-dasharray:4}table{border-collapse:collapse}td,th{padding:2px 10px;"
         "text-align:right;border-bottom:1px solid #ddd}td:first-child{text-align:left}"
         "span{margin-right:1em}</style></head><body>\n<h1>"
      << escape_html(title) << "</h1>\n";
}

}  // namespace wheeldeal::account
