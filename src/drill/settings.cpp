#include "settings.hpp"

#include <charconv>
#include <cmath>

namespace robinseam::drill {
namespace {

constexpr NameTable<Effect, 3> kEffectNames{
    {{"repeatable", Effect::Repeatable}, {"by_key", Effect::Keyed}, {"once", Effect::Once}}};
constexpr NameTable<Group, 3> kGroupNames{
    {{"all", Group::All}, {"zone", Group::Zone}, {"cell", Group::Cell}}};
constexpr NameTable<ReportField, 8> kReportFieldNames{{{"concurrent", ReportField::InFlight},
                                                       {"depth", ReportField::Queue},
                                                       {"load_share", ReportField::Utilization},
                                                       {"mean_ms", ReportField::LatencyMs},
                                                       {"tps", ReportField::PerSecond},
                                                       {"err_ps", ReportField::ErrorsPerSecond},
                                                       {"x0", ReportField::HitShare},
                                                       {"x1", ReportField::FetchesInFlight}}};

}  // namespace

std::int64_t to_integer(std::string_view text, std::string_view what) {
  std::int64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) throw bad_value(what, text);
  return value;
}

double to_number(std::string_view text, std::string_view what) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
    throw bad_value(what, text);
  return value;
}

std::optional<ReportField> parse_report_field(std::string_view name) {
  return look_up(kReportFieldNames, name);
}

namespace {

/// Typed look-ups by path; a missing or empty value gives the default.
struct SettingReader {
  const SettingPairs& by_path;

  std::string_view text(const std::string& path) const {
    auto it = by_path.find(path);
    return it == by_path.end() ? std::string_view() : it->second;
  }
  double number(const std::string& path, double default_value) const {
    return text(path).empty() ? default_value : to_number(text(path), path);
  }
  std::int64_t integer(const std::string& path, std::int64_t default_value) const {
    return text(path).empty() ? default_value : to_integer(text(path), path);
  }
};

}  // namespace

Settings parse_settings(const SettingPairs& by_path) {
  SettingReader read{by_path};
  auto text = [&](const std::string& path) { return read.text(path); };
  auto number = [&](const std::string& path, double default_value) {
    return read.number(path, default_value);
  };
  auto integer = [&](const std::string& path, std::int64_t default_value) {
    return read.integer(path, default_value);
  };
  auto flag = [&](const std::string& path) {
    return !text(path).empty() && to_flag(text(path), path);
  };
  auto count = [&](const std::string& path) {
    return in_range(integer(path, 0), 0, 100'000, path);
  };

  Settings s;
  for (std::int64_t k = 0; k < count("Classes.count"); ++k) {
    std::string prefix = "Classes." + std::to_string(k) + ".";
    ClassSettings c;
    c.name = text(prefix + "Name");
    c.latency_objective = integer(prefix + "ObjectiveUs", 0);
    c.deadline = integer(prefix + "DeadlineUs", 0);
    c.worth = number(prefix + "Worth", 1);
    c.late_worth = number(prefix + "LateWorth", 0);
    if (!text(prefix + "Effect").empty())
      c.effect = parse_name(kEffectNames, text(prefix + "Effect"), prefix + "Effect");
    if (!text(prefix + "Group").empty())
      c.group = parse_name(kGroupNames, text(prefix + "Group"), prefix + "Group");
    c.key_ttl = integer(prefix + "KeyTtlUs", 0);
    c.streamed = flag(prefix + "Streamed");
    s.classes.push_back(std::move(c));
  }
  for (std::int64_t k = 0; k < count("Tenants.count"); ++k) {
    std::string prefix = "Tenants." + std::to_string(k) + ".";
    s.tenants.push_back({std::string(text(prefix + "Name")), number(prefix + "Portion", 0),
                         number(prefix + "QuotaPerS", 0)});
  }
  for (std::string_view name : split(text("Report.Fields"), ','))
    s.report_fields.push_back(look_up(kReportFieldNames, name).value_or(ReportField::Unknown));
  s.zone = text("Az");
  for (std::string_view zone : split(text("FailureDomains"), ',')) s.zones.emplace_back(zone);
  s.cache_aside = text("Domain.Mode") == "aside";
  auto kinds = split(text("MachineTypes"), ',');
  std::int64_t origin = integer("Domain.OriginKind", -1);
  if (origin >= 0 && origin < static_cast<std::int64_t>(kinds.size()))
    s.origin_kind = kinds[origin];
  s.routers = static_cast<int>(in_range(integer("Balancers", 1), 1, 10'000'000, "Balancers"));
  s.poll_list = text("MembershipMode") == "subscribe";
  s.may_cancel = flag("Limits.MayCancel");
  s.may_probe = flag("Limits.MayProbe");
  s.may_hedge = flag("Limits.SecondCopies");
  s.worth_by_work = text("ValueBy") == "work";
  s.weights_listed = text("Weights") != "off" && !text("Weights").empty();
  s.max_attempts =
      static_cast<int>(in_range(integer("Limits.MaxAttempts", 1), 1, 1'000, "Limits.MaxAttempts"));
  s.max_retry_after = integer("Limits.MaxRetryAfterUs", 0);
  s.tick = integer("TickUs", 1000);
  s.cross_zone_charge = number("Charges.CrossZone", 0);
  s.waste_charge = number("Charges.Waste", 0);
  s.late_fail_charge = number("Charges.LateFail", 0);
  s.over_share_worth = number("OverShareWorth", 1);
  s.answer_slack = integer("Rules.AnswerSlackUs", 0);
  s.max_poll_delay = integer("Rules.AskWithinUs", 10'000'000);
  s.drain_grace = integer("Rules.DrainGraceUs", 0);
  s.cold_share = number("Rules.ColdShare", 0.3);
  s.cold_time = integer("Rules.ColdUs", 0);
  s.overload_factor = number("Rules.OverloadFactor", 3);
  s.overload_time = integer("Rules.TipAfterUs", 1'500'000);
  return s;
}

ConnectionSettings parse_connection_settings(const SettingPairs& by_path) {
  SettingReader read{by_path};
  ConnectionSettings l;
  auto positive = [&](const char* path, std::int64_t default_value) {
    return in_range(read.integer(path, default_value), 1, std::int64_t{1} << 50, path);
  };
  l.attempts_per_connection = static_cast<int>(std::min<std::int64_t>(
      positive("Limits.StreamsPerConn", l.attempts_per_connection), 1'000'000));
  l.keepalive = positive("Limits.KeepaliveUs", l.keepalive);
  l.dial_timeout = positive("Limits.DialTimeoutUs", l.dial_timeout);
  l.max_open_requests = positive("Limits.MaxOpen", l.max_open_requests);
  return l;
}

}  // namespace robinseam::drill
