// What operators say of cache servers by hand, laid over what discovery lists. No I/O.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "host_list.hpp"

namespace arrowfork {

/// Servers out by hand, each with the time of the first call that took it out.
using DisabledServers = std::map<std::string, robinseam::Micros>;

/// A server out by hand is told onward as leaving, whatever the list says, until it is put back.
/// From then on it is presumed to have been started anew at that moment, and so to be cold, unless
/// the list tells of a start after the ban.
class OperatorOverrides {
 public:
  /// Ids that were listed once are known for good, but at most so many of those that have gone.
  static constexpr std::size_t kMaxGoneIds = 4096;
  /// DisabledServers at once; more are refused.
  static constexpr std::size_t kMaxDisabled = 1024;

  /// Takes over a list and gives what the router is to act on in its place.
  HostList apply_list(HostList list);
  /// Takes over the bans as they stand now. Gives the entries that change, as a part of a list.
  HostList set_disabled(const DisabledServers& bans, robinseam::Micros now);
  /// Whether the id was ever listed, or is out.
  bool is_known(const std::string& id) const;
  const DisabledServers& disabled() const { return bans_; }
  /// The servers on the list as it is acted on, those that leave among them.
  const std::unordered_map<std::string, Host>& effective_hosts() const { return acted_; }
  /// The same as discovery has told it, without what was done by hand.
  const std::unordered_map<std::string, Host>& discovered_hosts() const { return told_; }
  /// The list as discovery told it, whole.
  HostList discovered_list() const;

 private:
  struct Back {
    robinseam::Micros out, in;  ///< when the ban began and ended
  };
  Host over(const Host& host);
  void forget(const std::string& id);

  std::string version_;
  std::unordered_map<std::string, Host> told_, acted_;
  DisabledServers bans_;
  std::unordered_map<std::string, Back> back_;  // of listed servers
  std::unordered_set<std::string> gone_;
  std::deque<std::string> gone_order_;
};

}  // namespace arrowfork
