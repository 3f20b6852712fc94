#include "orca.hpp"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

#include "../drill/settings.hpp"
#include "xds/data/orca/v3/orca_load_report.pb.h"

namespace arrowfork::extproc {
namespace {

using Report = xds::data::orca::v3::OrcaLoadReport;
using robinseam::ReportField;

/// Larger values are ignored as implausible. The bound of shares is above 1 because they are noisy.
double max_plausible(ReportField field) {
  return field == ReportField::Utilization || field == ReportField::HitShare ? 2 : 1e6;
}

std::optional<std::string> decode_base64(std::string_view text) {
  while (text.ends_with('=')) text.remove_suffix(1);
  std::string out;
  unsigned bits = 0;
  int count = 0;
  for (char c : text) {
    int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                : c >= 'a' && c <= 'z' ? c - 'a' + 26
                : c >= '0' && c <= '9' ? c - '0' + 52
                : c == '+' || c == '-' ? 62
                : c == '/' || c == '_' ? 63
                                       : -1;
    if (digit < 0) return std::nullopt;
    bits = bits << 6 | static_cast<unsigned>(digit);
    if ((count += 6) >= 8) out.push_back(static_cast<char>(bits >> (count -= 8)));
  }
  return out;
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

/// Parses comma-separated `name=value` or `name:value` pairs; entries of maps are named `map.key`.
bool parse_text(std::string_view text, Report& report) {
  while (!text.empty()) {
    std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    std::size_t at = pair.find_first_of("=:");
    if (at == pair.npos) return false;
    std::string_view name = trim(pair.substr(0, at)), number = trim(pair.substr(at + 1));
    double value = 0;
    auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), value);
    if (error != std::errc() || end != number.data() + number.size()) return false;
    if (name == "cpu_utilization")
      report.set_cpu_utilization(value);
    else if (name == "application_utilization")
      report.set_application_utilization(value);
    else if (name == "mem_utilization")
      report.set_mem_utilization(value);
    else if (name == "rps_fractional" || name == "rps")
      report.set_rps_fractional(value);
    else if (name == "eps")
      report.set_eps(value);
    else if (name.starts_with("named_metrics."))
      (*report.mutable_named_metrics())[std::string(name.substr(14))] = value;
  }
  return true;
}

std::vector<double> map_to_fields(const Report& report, const std::vector<ReportField>& fields) {
  std::vector<double> values(fields.size(), std::numeric_limits<double>::quiet_NaN());
  auto set_value = [&](ReportField field, double value) {
    if (!(value >= 0 && value <= max_plausible(field))) return;
    auto at = std::find(fields.begin(), fields.end(), field);
    if (at != fields.end()) values[static_cast<std::size_t>(at - fields.begin())] = value;
  };
  // In proto3 zero means that the field is not set.
  if (double u = report.application_utilization() > 0 ? report.application_utilization()
                                                      : report.cpu_utilization();
      u > 0)
    set_value(ReportField::Utilization, u);
  if (double r =
          report.rps_fractional() > 0 ? report.rps_fractional() : static_cast<double>(report.rps());
      r > 0)
    set_value(ReportField::PerSecond, r);
  if (report.eps() > 0) set_value(ReportField::ErrorsPerSecond, report.eps());
  for (const auto& [name, value] : report.named_metrics())
    if (auto field = robinseam::drill::parse_report_field(name)) set_value(*field, value);
  return values;
}

}  // namespace

std::optional<std::vector<double>> parse_orca_report_bin(std::string_view value,
                                                         const std::vector<ReportField>& fields) {
  if (value.size() > kMaxReportBytes) return std::nullopt;
  auto bytes = decode_base64(trim(value));
  Report report;
  if (!bytes || !report.ParseFromString(*bytes)) return std::nullopt;
  return map_to_fields(report, fields);
}

std::optional<std::vector<double>> parse_orca_report(std::string_view value,
                                                     const std::vector<ReportField>& fields) {
  if (value.size() > kMaxReportBytes) return std::nullopt;
  value = trim(value);
  std::string_view form = value.substr(0, value.find(' '));
  std::string_view rest = trim(value.substr(form.size()));
  if (form == "BIN") return parse_orca_report_bin(rest, fields);
  Report report;
  if (form == "TEXT") {
    if (!parse_text(rest, report)) return std::nullopt;
    return map_to_fields(report, fields);
  }
  if (form != "JSON") return std::nullopt;
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(rest.data(), rest.size()), &report, options)
           .ok())
    return std::nullopt;
  return map_to_fields(report, fields);
}

}  // namespace arrowfork::extproc
