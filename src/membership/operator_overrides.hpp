// Cache servers disabled by the operator, applied on top of the list from discovery. No I/O.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "host_list.hpp"

namespace arrowfork {

/// Servers disabled by the operator, each with the time of the call that disabled it.
using DisabledServers = std::map<std::string, robinseam::Micros>;

/// A disabled server is reported as draining, whatever the list says, until it is enabled again. It
/// is then treated as restarted at that moment, and so as cold, unless the list names a start time
/// after it was disabled.
class OperatorOverrides {
 public:
  /// Ids that were ever listed stay known; of those that left the list, at most this many.
  static constexpr std::size_t kMaxGoneIds = 4096;
  /// Servers disabled at the same time; more are rejected.
  static constexpr std::size_t kMaxDisabled = 1024;

  /// Stores a list from discovery and returns it with the overrides applied.
  HostList apply_list(HostList list);
  /// Replaces the set of disabled servers. Returns the entries that change, as a partial list.
  HostList set_disabled(const DisabledServers& disabled, robinseam::Micros now);
  /// Whether the id was ever listed or is disabled.
  bool is_known(const std::string& id) const;
  const DisabledServers& disabled() const { return disabled_; }
  /// The listed servers with the overrides applied, including those that drain.
  const std::unordered_map<std::string, Host>& effective_hosts() const { return effective_; }
  /// The listed servers as discovery reports them, without overrides.
  const std::unordered_map<std::string, Host>& discovered_hosts() const { return discovered_; }
  /// The full list as discovery reports it.
  HostList discovered_list() const;

 private:
  struct EnabledAgain {
    robinseam::Micros disabled_at, enabled_at;
  };
  Host with_overrides(const Host& host);
  void forget(const std::string& id);

  std::string version_;
  std::unordered_map<std::string, Host> discovered_, effective_;
  DisabledServers disabled_;
  std::unordered_map<std::string, EnabledAgain> enabled_again_;  // listed servers only
  std::unordered_set<std::string> gone_ids_;
  std::deque<std::string> gone_order_;  // oldest first
};

}  // namespace arrowfork
