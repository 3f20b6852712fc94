#include "binary_rules.hpp"

#include <algorithm>

namespace arrowfork {

/// Backtracks only to the last star: linear in practice, quadratic at worst, and without recursion.
bool matches_pattern(std::string_view pattern, std::string_view text) {
  std::size_t p = 0, t = 0, star = pattern.npos, star_match_end = 0;
  while (t < text.size()) {
    if (p < pattern.size() && pattern[p] == '*') {
      star = p++;
      star_match_end = t;
    } else if (p < pattern.size() && pattern[p] == text[t]) {
      ++p, ++t;
    } else if (star != pattern.npos) {
      p = star + 1;
      t = ++star_match_end;
    } else {
      return false;
    }
  }
  while (p < pattern.size() && pattern[p] == '*') ++p;
  return p == pattern.size();
}

const std::string& BinaryRules::tenant_of(std::string_view key) const {
  const std::pair<std::string, std::string>* best = nullptr;
  for (const auto& entry : tenants)
    if (key.starts_with(entry.first) && (!best || entry.first.size() > best->first.size()))
      best = &entry;
  return best ? best->second : default_tenant;
}

bool BinaryRules::server_is_binary(const robinseam::Server& server) const {
  return std::any_of(servers.begin(), servers.end(), [&](const ServerRule& r) {
    return (r.kind.empty() || matches_pattern(r.kind, server.kind)) &&
           (r.id.empty() || matches_pattern(r.id, server.id));
  });
}

}  // namespace arrowfork
