#include "operator_overrides.hpp"

#include <vector>

namespace arrowfork {

using robinseam::Health;
using robinseam::Micros;

Host OperatorOverrides::with_overrides(const Host& host) {
  Host one = host;
  const std::string& id = host.server.id;
  if (disabled_.count(id)) {
    one.server.health = Health::Draining;
  } else if (auto at = enabled_again_.find(id); at != enabled_again_.end()) {
    if (host.server.up_since > at->second.disabled_at)
      enabled_again_.erase(at);  // the list reports a later restart
    else
      one.server.up_since = at->second.enabled_at;
  }
  return one;
}

void OperatorOverrides::forget(const std::string& id) {
  discovered_.erase(id);
  effective_.erase(id);
  enabled_again_.erase(id);
  if (!gone_ids_.insert(id).second) return;
  gone_order_.push_back(id);
  if (gone_order_.size() <= kMaxGoneIds) return;
  gone_ids_.erase(gone_order_.front());
  gone_order_.pop_front();
}

HostList OperatorOverrides::apply_list(HostList list) {
  if (!list.version.empty()) version_ = list.version;
  if (list.full) {
    std::unordered_set<std::string> named;
    for (const Host& host : list.hosts) named.insert(host.server.id);
    std::vector<std::string> missing;
    for (const auto& [id, host] : discovered_)
      if (!named.count(id)) missing.push_back(id);
    for (const std::string& id : missing) forget(id);
  }
  for (Host& host : list.hosts) {
    const std::string id = host.server.id;
    if (host.server.health == Health::Gone) {
      if (discovered_.count(id)) forget(id);
      continue;
    }
    discovered_[id] = host;
    host = with_overrides(host);
    effective_[id] = host;
  }
  return list;
}

HostList OperatorOverrides::set_disabled(const DisabledServers& disabled, Micros now) {
  std::vector<std::string> changed;
  for (const auto& [id, since] : disabled)
    if (!disabled_.count(id)) changed.push_back(id);
  for (const auto& [id, since] : disabled_)
    if (!disabled.count(id)) {
      changed.push_back(id);
      if (discovered_.count(id)) enabled_again_[id] = {since, now};
    }
  disabled_ = disabled;
  HostList part;
  part.version = version_;
  for (const std::string& id : changed) {
    auto at = discovered_.find(id);
    if (at == discovered_.end()) continue;
    part.hosts.push_back(with_overrides(at->second));
    effective_[id] = part.hosts.back();
  }
  return part;
}

bool OperatorOverrides::is_known(const std::string& id) const {
  return discovered_.count(id) || disabled_.count(id) || gone_ids_.count(id);
}

HostList OperatorOverrides::discovered_list() const {
  HostList list;
  list.version = version_;
  list.full = true;
  for (const auto& [id, host] : discovered_) list.hosts.push_back(host);
  return list;
}

}  // namespace arrowfork
