#include "operator_overrides.hpp"

#include <vector>

namespace arrowfork {

using robinseam::Health;
using robinseam::Micros;

Host OperatorOverrides::over(const Host& host) {
  Host one = host;
  const std::string& id = host.server.id;
  if (bans_.count(id)) {
    one.server.health = Health::Draining;
  } else if (auto at = back_.find(id); at != back_.end()) {
    if (host.server.up_since > at->second.out)
      back_.erase(at);  // the list knows of the restart
    else
      one.server.up_since = at->second.in;
  }
  return one;
}

void OperatorOverrides::forget(const std::string& id) {
  told_.erase(id);
  acted_.erase(id);
  back_.erase(id);
  if (!gone_.insert(id).second) return;
  gone_order_.push_back(id);
  if (gone_order_.size() <= kMaxGoneIds) return;
  gone_.erase(gone_order_.front());
  gone_order_.pop_front();
}

HostList OperatorOverrides::apply_list(HostList list) {
  if (!list.version.empty()) version_ = list.version;
  if (list.full) {
    std::unordered_set<std::string> named;
    for (const Host& host : list.hosts) named.insert(host.server.id);
    std::vector<std::string> missing;
    for (const auto& [id, host] : told_)
      if (!named.count(id)) missing.push_back(id);
    for (const std::string& id : missing) forget(id);
  }
  for (Host& host : list.hosts) {
    const std::string id = host.server.id;
    if (host.server.health == Health::Gone) {
      if (told_.count(id)) forget(id);
      continue;
    }
    told_[id] = host;
    host = over(host);
    acted_[id] = host;
  }
  return list;
}

HostList OperatorOverrides::set_disabled(const DisabledServers& bans, Micros now) {
  std::vector<std::string> changed;
  for (const auto& [id, since] : bans)
    if (!bans_.count(id)) changed.push_back(id);
  for (const auto& [id, since] : bans_)
    if (!bans.count(id)) {
      changed.push_back(id);
      if (told_.count(id)) back_[id] = {since, now};
    }
  bans_ = bans;
  HostList part;
  part.version = version_;
  for (const std::string& id : changed) {
    auto at = told_.find(id);
    if (at == told_.end()) continue;
    part.hosts.push_back(over(at->second));
    acted_[id] = part.hosts.back();
  }
  return part;
}

bool OperatorOverrides::is_known(const std::string& id) const {
  return told_.count(id) || bans_.count(id) || gone_.count(id);
}

HostList OperatorOverrides::discovered_list() const {
  HostList list;
  list.version = version_;
  list.full = true;
  for (const auto& [id, host] : told_) list.hosts.push_back(host);
  return list;
}

}  // namespace arrowfork
