#include "list_guard.hpp"

#include <algorithm>
#include <cctype>
#include <unordered_set>

namespace arrowfork {
namespace {

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

}  // namespace

void ListGuard::hold(const HostList& list) {
  version_ = list.version;
  back_version_.clear(), back_ = 0;
  bool named = std::any_of(list.hosts.begin(), list.hosts.end(), [](const Host& h) {
    return h.server.health != robinseam::Health::Gone;
  });
  any_ = named || (any_ && !list.whole);
}

std::string ListGuard::refuse(const HostList& list) {
  std::unordered_set<std::string_view> ids;
  for (const Host& h : list.hosts)
    if (!ids.insert(h.server.id).second) return "hosts: " + h.server.id + " twice";
  if (list.whole && list.hosts.empty() && any_) return "a whole list that names no server";
  if (before(list.version, version_)) {
    bool onward = list.whole && !before(list.version, back_version_);
    back_ = onward ? back_ + 1 : list.whole;
    back_version_ = list.whole ? list.version : "";
    if (back_ < kAnew) return "version " + list.version + " after " + version_;
  }
  hold(list);
  return {};
}

}  // namespace arrowfork
