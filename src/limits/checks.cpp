#include "limits/checks.hpp"

#include <cmath>
#include <stdexcept>

namespace robinseam::limits {
namespace {

void require(bool ok, const std::string& name) {
  if (!ok) throw std::invalid_argument("setting " + name + " cannot be used");
}

}  // namespace

void check_settings(const Settings& set) {
  auto is_share = [](double v) { return std::isfinite(v) && v >= 0 && v <= 1; };
  auto is_amount = [](double v) { return std::isfinite(v) && v >= 0; };
  require(!set.classes.empty(), "classes");
  for (const ClassSettings& c : set.classes) {
    require(c.latency_objective >= 0, "classes.aim");
    require(c.deadline >= 0, "classes.deadline");
    require(c.key_ttl >= 0, "classes.key_ttl");
    require(is_amount(c.worth), "classes.worth");
    require(is_amount(c.late_worth), "classes.late_worth");
  }
  for (const TenantSettings& t : set.tenants) {
    require(is_amount(t.portion), "tenants.portion");
    require(is_amount(t.quota_per_s), "tenants.quota_per_s");
  }
  require(set.routers >= 1, "routers");
  require(set.max_attempts >= 1, "max_attempts");
  require(set.tick >= 0, "tick");
  require(set.answer_slack >= 0, "answer_slack");
  require(set.max_poll_delay >= 0, "ask_within");
  require(set.drain_grace >= 0, "drain_grace");
  require(set.max_retry_after >= 0, "max_retry_after");
  require(is_share(set.cold_share), "cold_share");
  require(set.cold_time >= 0, "cold_time");
  require(is_amount(set.overload_factor), "overload_factor");
  require(set.overload_time >= 0, "tip_after");
  require(is_amount(set.cross_zone_charge), "cross_zone_charge");
}

}  // namespace robinseam::limits
