// ORCA load reports as response headers bear them, mapped on the settings' report fields.
//
// Source: gRFC A51 and A64, xds.data.orca.v3.OrcaLoadReport; the header `endpoint-load-metrics`
// with the forms `BIN base64`, `TEXT name=value, ..` and `JSON {..}`, and
// `endpoint-load-metrics-bin`.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "robinseam/balancer.hpp"

namespace arrowfork::extproc {

/// The most bytes of a report that are looked at; a longer one is none.
constexpr std::size_t kMaxReportBytes = 4096;

/// The report in the order of `fields`, NaN where it does not tell one; nothing where `value` is no
/// report at all. Known are: application_utilization, else cpu_utilization, as Utilization;
/// rps_fractional (`rps`) as PerSecond; eps as ErrorsPerSecond; and in named_metrics the settings'
/// own names. Figures that are negative, not finite or beyond any load are left out.
std::optional<std::vector<double>> parse_orca_report(
    std::string_view value, const std::vector<robinseam::ReportField>& fields);
/// The same of `endpoint-load-metrics-bin`, whose value is the message itself in base64.
std::optional<std::vector<double>> parse_orca_report_bin(
    std::string_view value, const std::vector<robinseam::ReportField>& fields);

}  // namespace arrowfork::extproc
