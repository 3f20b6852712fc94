#include "list_validator.hpp"

#include <algorithm>
#include <cctype>
#include <unordered_set>

namespace arrowfork {
namespace {

using robinseam::Health;

/// Whether `a` is a lower number than `b`. Versions that aren't both numbers tell nothing of order.
bool before(const std::string& a, const std::string& b) {
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

/// What is wrong where a server is named twice.
std::string twice_named(const HostList& list) {
  std::unordered_set<std::string_view> ids;
  for (const Host& h : list.hosts)
    if (!ids.insert(h.server.id).second) return "hosts: " + h.server.id + " twice";
  return {};
}

}  // namespace

void ListValidator::set_current(const HostList& list) {
  version_ = list.version;
  back_version_.clear(), back_ = 0;
  unlikely_ = 0;
  bool named = std::any_of(list.hosts.begin(), list.hosts.end(),
                           [](const Host& h) { return h.server.health != Health::Gone; });
  any_ = named || (any_ && !list.full);
}

bool ListValidator::drains_unlisted(const HostList& list) const {
  bool lost_its_state = list.hosts.empty() && before(list.version, version_);
  return list.full && !lost_its_state;
}

bool ListValidator::is_newer(const HostList& list) const { return before(version_, list.version); }

std::string ListValidator::validate(const HostList& list) {
  std::string unlikely = list.entry_error.empty() ? twice_named(list) : list.entry_error;
  if (unlikely.empty() && list.full && list.hosts.empty() && any_)
    unlikely = "a whole list that names no server";
  unlikely_ = !unlikely.empty() && list.full ? unlikely_ + 1 : 0;
  if (!unlikely.empty() && unlikely_ < kMeant) return unlikely;
  if (before(list.version, version_)) {
    bool onward = list.full && !before(list.version, back_version_);
    back_ = onward ? back_ + 1 : list.full;
    back_version_ = list.full ? list.version : "";
    if (back_ < kAnew) return "version " + list.version + " after " + version_;
  }
  hold(list);
  return {};
}

void merge_duplicates(HostList& list) {
  std::unordered_map<std::string, std::size_t> at;
  std::vector<Host> merged;
  for (Host& host : list.hosts) {
    auto [entry, fresh] = at.emplace(host.server.id, merged.size());
    if (fresh) {
      merged.push_back(std::move(host));
      continue;
    }
    Host& earlier = merged[entry->second];
    Health left = std::max(earlier.server.health, host.server.health);
    earlier = std::move(host);
    earlier.server.health = left;
  }
  list.hosts = std::move(merged);
}

HostList extract_drains(const HostList& refused, bool drain_unlisted,
                        const std::unordered_map<std::string, Host>& held) {
  std::unordered_set<std::string> named, leaving;
  for (const Host& host : refused.hosts) {
    named.insert(host.server.id);
    if (host.server.health != Health::Ready) leaving.insert(host.server.id);
  }
  HostList drains;
  for (const auto& [id, host] : held) {
    bool leaves = leaving.count(id) || (drain_unlisted && !named.count(id));
    if (!leaves || host.server.health != Health::Ready) continue;
    drains.hosts.push_back(host);
    drains.hosts.back().server.health = Health::Draining;
  }
  return drains;
}

}  // namespace arrowfork
