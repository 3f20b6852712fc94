// Reads the settings from path=value pairs; the only place that knows their names. The simulator's
// adapter gets the pairs from an `enlist` line, the router from its configuration.
#pragma once

#include <map>

#include "robinseam/balancer.hpp"
#include "text.hpp"

namespace robinseam::drill {

using SettingPairs = std::map<std::string, std::string_view, std::less<>>;

/// Parses the settings of the balancer. Throws ParseError that names the invalid setting.
Settings parse_settings(const SettingPairs& by_path);

/// Settings that only the router on sockets uses, not the simulator's adapter.
struct ConnectionSettings {
  int attempts_per_connection = 1;           ///< concurrent attempts on one connection
  Micros keepalive = 15'000'000;             ///< after which a server closes an idle connection
  Micros dial_timeout = 75'000;              ///< until an attempt to connect has failed
  std::int64_t max_open_requests = 100'000;  ///< open requests at once
  bool operator==(const ConnectionSettings&) const = default;
};
ConnectionSettings parse_connection_settings(const SettingPairs& by_path);

/// The meaning of a named value in a load report; nullopt for an unknown name.
std::optional<ReportField> parse_report_field(std::string_view name);

}  // namespace robinseam::drill
