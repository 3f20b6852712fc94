// Parses ORCA load reports from response headers into the report fields of the settings.
//
// Source: gRFC A51 and A64, xds.data.orca.v3.OrcaLoadReport; the header `endpoint-load-metrics`
// in the forms `BIN base64`, `TEXT name=value, ..` and `JSON {..}`, and
// `endpoint-load-metrics-bin`.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "robinseam/balancer.hpp"

namespace arrowfork::extproc {

/// A longer report is rejected.
constexpr std::size_t kMaxReportBytes = 4096;

/// Returns the values in the order of `fields`, NaN for those that are not reported, or nullopt if
/// `value` is not a valid report. Mapping: application_utilization, otherwise cpu_utilization, to
/// Utilization; rps_fractional or `rps` to PerSecond; eps to ErrorsPerSecond; named_metrics to the
/// fields with the same names in the settings. Values that are negative, not finite or implausibly
/// large are ignored.
std::optional<std::vector<double>> parse_orca_report(
    std::string_view value, const std::vector<robinseam::ReportField>& fields);
/// Same for `endpoint-load-metrics-bin`, whose value is the base64-encoded message.
std::optional<std::vector<double>> parse_orca_report_bin(
    std::string_view value, const std::vector<robinseam::ReportField>& fields);

}  // namespace arrowfork::extproc
