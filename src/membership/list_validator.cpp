#include "list_validator.hpp"

#include <algorithm>
#include <cctype>
#include <unordered_set>

namespace arrowfork {
namespace {

using robinseam::Health;

/// Whether `a` is a lower number than `b`. Versions that aren't both numbers have no order.
bool is_older(const std::string& a, const std::string& b) {
  auto number = [](const std::string& text) {
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isdigit(c); });
  };
  if (!number(a) || !number(b)) return false;
  auto digits = [](const std::string& text) {
    return text.substr(std::min(text.find_first_not_of('0'), text.size() - 1));
  };
  std::string x = digits(a), y = digits(b);
  return x.size() != y.size() ? x.size() < y.size() : x < y;
}

/// The error text if a server is named twice.
std::string duplicate_error(const HostList& list) {
  std::unordered_set<std::string_view> ids;
  for (const Host& h : list.hosts)
    if (!ids.insert(h.server.id).second) return "hosts: " + h.server.id + " twice";
  return {};
}

}  // namespace

void ListValidator::set_current(const HostList& list) {
  version_ = list.version;
  older_version_.clear(), older_lists_ = 0;
  defective_lists_ = 0;
  bool names_servers = std::any_of(list.hosts.begin(), list.hosts.end(),
                                   [](const Host& h) { return h.server.health != Health::Gone; });
  has_servers_ = names_servers || (has_servers_ && !list.full);
}

bool ListValidator::drains_unlisted(const HostList& list) const {
  bool lost_state = list.hosts.empty() && is_older(list.version, version_);
  return list.full && !lost_state;
}

bool ListValidator::is_newer(const HostList& list) const {
  return is_older(version_, list.version);
}

std::string ListValidator::validate(const HostList& list) {
  std::string defect = list.entry_error.empty() ? duplicate_error(list) : list.entry_error;
  if (defect.empty() && list.full && list.hosts.empty() && has_servers_)
    defect = "a full list that names no server";
  defective_lists_ = !defect.empty() && list.full ? defective_lists_ + 1 : 0;
  if (!defect.empty() && defective_lists_ < kAcceptDefectAfter) return defect;
  if (is_older(list.version, version_)) {
    bool not_older_than_last = list.full && !is_older(list.version, older_version_);
    older_lists_ = not_older_than_last ? older_lists_ + 1 : list.full;
    older_version_ = list.full ? list.version : "";
    if (older_lists_ < kAcceptOlderAfter) return "version " + list.version + " after " + version_;
  }
  set_current(list);
  return {};
}

void merge_duplicates(HostList& list) {
  std::unordered_map<std::string, std::size_t> index_of;
  std::vector<Host> merged;
  for (Host& host : list.hosts) {
    auto [entry, inserted] = index_of.emplace(host.server.id, merged.size());
    if (inserted) {
      merged.push_back(std::move(host));
      continue;
    }
    Host& earlier = merged[entry->second];
    Health worst = std::max(earlier.server.health, host.server.health);
    earlier = std::move(host);
    earlier.server.health = worst;
  }
  list.hosts = std::move(merged);
}

HostList extract_drains(const HostList& rejected, bool drain_unlisted,
                        const std::unordered_map<std::string, Host>& current) {
  std::unordered_set<std::string> named, leaving;
  for (const Host& host : rejected.hosts) {
    named.insert(host.server.id);
    if (host.server.health != Health::Ready) leaving.insert(host.server.id);
  }
  HostList drains;
  for (const auto& [id, host] : current) {
    bool leaves = leaving.count(id) || (drain_unlisted && !named.count(id));
    if (!leaves || host.server.health != Health::Ready) continue;
    drains.hosts.push_back(host);
    drains.hosts.back().server.health = Health::Draining;
  }
  return drains;
}

}  // namespace arrowfork
