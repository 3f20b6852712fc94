// Decides whether an answer of discovery may change the current list: a list that parses may still
// be implausible.
#pragma once

#include <string>
#include <unordered_map>

#include "host_list.hpp"

namespace arrowfork {

/// Checks the answers of one discovery address. No I/O, no clock.
///
/// Rejected are: an invalid entry; a server named twice; a full list that names no server while the
/// current list names some (every request would be rejected because a registry lost its state); and
/// a version that goes back, as from a discovery replica that lags or an answer that was overtaken.
///
/// Nothing is rejected forever, since discovery may mean it. A full list with one of the first
/// three defects is accepted the second time in a row, without the invalid entries. A discovery
/// that has restarted its version numbers can't be told from a replica that lags by one answer, but
/// it persists: the third full list in a row with an older version, each not older than the one
/// rejected before it, is accepted.
///
/// What a rejected answer says of draining servers applies at once all the same (extract_drains()).
class ListValidator {
 public:
  /// Full lists in a row after which an older version, or a defect, is accepted.
  static constexpr int kAcceptOlderAfter = 3;
  static constexpr int kAcceptDefectAfter = 2;

  /// Why the answer is rejected; empty: it is accepted and becomes the current list.
  std::string validate(const HostList& list);
  /// Whether servers that the answer does not name must drain: true for a full list, except an
  /// empty one with an older version, as from a registry that has lost its state.
  bool drains_unlisted(const HostList& list) const;
  /// Whether the answer's version is a number above the current one.
  bool is_newer(const HostList& list) const;
  /// Version of the current list; empty before the first one.
  const std::string& version() const { return version_; }
  /// Sets the current list without a check.
  void set_current(const HostList& list);
  /// For another discovery service, whose version numbers are unrelated.
  void reset_version() { version_.clear(), older_version_.clear(), older_lists_ = 0; }

 private:
  std::string version_;
  std::string older_version_;  // of the last list rejected for an older version
  int older_lists_ = 0;        // rejected in a row for an older version
  int defective_lists_ = 0;    // full lists in a row with a defect
  bool has_servers_ = false;   // in the current list
};

/// Merges the entries of servers that a list names twice: the last entry, with the worst health of
/// all (a server that drains or is gone stays so).
void merge_duplicates(HostList& list);

/// What a rejected answer says of draining servers, as a change of the current list: until a list
/// is accepted, it is safer to send nothing new to a healthy server than to use a draining one.
/// `drain_unlisted`: the servers of `current` that it does not name drain too.
HostList extract_drains(const HostList& rejected, bool drain_unlisted,
                        const std::unordered_map<std::string, Host>& current);

}  // namespace arrowfork
