// Whether what discovery answers may change the list that is held: a list that can be read may
// still be none.
#pragma once

#include <string>
#include <unordered_map>

#include "host_list.hpp"

namespace arrowfork {

/// Knows what one discovery address has told. Free of I/O and time.
///
/// Refused are an entry that can't be used, a server named twice, a whole list that names nobody
/// while somebody is held (every request would be turned away on the word of a registry that has
/// just lost its state), and a version that goes back: a copy of discovery that lags behind, or an
/// answer that was overtaken.
///
/// Nothing is refused without end, since discovery may mean it. A whole list with one of the
/// first three faults is taken the second time in a row, without the entries that can't be used. A
/// discovery that has begun to count anew can't be told from a copy that lags by one answer, but
/// keeps to it: the third whole list in a row that lies back, and not behind the ones refused
/// before it, is taken.
///
/// What a refused answer says of servers that leave holds at once all the same (extract_drains()).
class ListValidator {
 public:
  static constexpr int kAnew = 3;
  static constexpr int kMeant = 2;

  /// What is wrong with the answer; empty: nothing, and it is held from now on.
  std::string validate(const HostList& list);
  /// Whether a server that the answer does not name is to get nothing new: in any whole list but an
  /// empty one that goes back, as from a registry that has lost its state.
  bool drains_unlisted(const HostList& list) const;
  /// Whether the answer's version is a number above the one that is held.
  bool is_newer(const HostList& list) const;
  /// The version that is held; empty before the first list.
  const std::string& version() const { return version_; }
  /// The list that the process holds already.
  void set_current(const HostList& list);
  /// Another discovery, that need not count as the last one did.
  void reset_version() { version_.clear(), back_version_.clear(), back_ = 0; }

 private:
  std::string version_;
  std::string back_version_;  // of the last list refused for going back
  int back_ = 0;              // lists in a row
  int unlikely_ = 0;          // whole lists in a row with such a fault
  bool any_ = false;          // a server is held
};

/// One entry for each server of a list that names some twice: the last one, or what says that the
/// server leaves.
void merge_duplicates(HostList& list);

/// What an answer that may not change the list says of servers that leave, as a change of the held
/// list: to send nothing new to a server that is well is the safe side until a list is taken.
/// `drain_unlisted`: so have those of `held` that it does not name.
HostList extract_drains(const HostList& refused, bool drain_unlisted,
                        const std::unordered_map<std::string, Host>& held);

}  // namespace arrowfork
