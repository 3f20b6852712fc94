#include "settings_json.hpp"

#include <nlohmann/json.hpp>

namespace arrowfork::rig {
namespace {

using Json = nlohmann::json;

const char* json_name(robinseam::ReportField field) {
  switch (field) {
    case robinseam::ReportField::Utilization:
      return "load_share";
    case robinseam::ReportField::LatencyMs:
      return "mean_ms";
    default:
      return "x0";
  }
}

const char* json_name(robinseam::Group group) {
  switch (group) {
    case robinseam::Group::Zone:
      return "zone";
    case robinseam::Group::Cell:
      return "cell";
    default:
      return "all";
  }
}

}  // namespace

std::string settings_to_json(const robinseam::Settings& s, int routers) {
  Json classes = Json::array(), tenants = Json::array(), fields = Json::array();
  for (const auto& c : s.classes)
    classes.push_back({{"Name", c.name},
                       {"ObjectiveUs", c.latency_objective},
                       {"DeadlineUs", c.deadline},
                       {"Effect", c.effect == robinseam::Effect::Keyed ? "by_key" : "repeatable"},
                       {"Group", json_name(c.group)},
                       {"KeyTtlUs", c.key_ttl},
                       {"Worth", c.worth},
                       {"LateWorth", c.late_worth}});
  for (const auto& t : s.tenants)
    tenants.push_back({{"Name", t.name}, {"Portion", t.portion}, {"QuotaPerS", t.quota_per_s}});
  for (auto f : s.report_fields) fields.push_back(json_name(f));
  return Json{{"Az", s.zone},
              {"Balancers", routers},
              {"Classes", classes},
              {"Tenants", tenants},
              {"FailureDomains", s.zones},
              {"MachineTypes", {"std"}},
              {"Domain", {{"Mode", "through"}, {"OriginKind", -1}}},
              {"ValueBy", s.worth_by_work ? "work" : "request"},
              {"OverShareWorth", s.over_share_worth},
              {"Limits",
               {{"MaxAttempts", s.max_attempts},
                {"MaxRetryAfterUs", s.max_retry_after},
                {"MayCancel", s.may_cancel},
                {"SecondCopies", s.may_hedge},
                {"StreamsPerConn", 32},
                {"KeepaliveUs", 15'000'000},
                {"DialTimeoutUs", 75'000},
                {"MaxOpen", 4000}}},
              {"MembershipMode", s.poll_list ? "subscribe" : "automatic"},
              {"Report", {{"Fields", fields}}},
              {"Rules",
               {{"AnswerSlackUs", s.answer_slack},
                {"AskWithinUs", s.max_poll_delay},
                {"ColdShare", s.cold_share},
                {"ColdUs", s.cold_time},
                {"DrainGraceUs", s.drain_grace},
                {"OverloadFactor", s.overload_factor},
                {"TipAfterUs", s.overload_time}}},
              {"TickUs", s.tick},
              {"Weights", "nominal"}}
      .dump();
}

}  // namespace arrowfork::rig
