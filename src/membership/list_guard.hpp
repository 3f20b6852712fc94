// Whether what discovery answers may change the list that is held: a list that can be read may
// still be none.
#pragma once

#include <string>

#include "host_list.hpp"

namespace arrowfork {

/// Knows what one discovery address has told. Free of I/O and time.
///
/// Refused are a server named twice, a whole list that names nobody while somebody is held (every
/// request would be turned away on the word of a registry that has just lost its state), and a
/// version that goes back: a copy of discovery that lags behind, or an answer that was overtaken. A
/// discovery that has begun to count anew can't be told from that by one answer. It keeps to it,
/// so the third whole list in a row that lies back, and not behind the ones refused before it, is
/// taken.
class ListGuard {
 public:
  static constexpr int kAnew = 3;

  /// What is wrong with the answer; empty: nothing, and it is held from now on.
  std::string refuse(const HostList& list);
  /// The version that is held; empty before the first list.
  const std::string& version() const { return version_; }
  /// The list that the process holds already.
  void hold(const HostList& list);
  /// Another discovery, that need not count as the last one did.
  void forget_version() { version_.clear(), back_version_.clear(), back_ = 0; }

 private:
  std::string version_;
  std::string back_version_;  // of the last list refused for going back
  int back_ = 0;              // lists in a row
  bool any_ = false;          // a server is held
};

}  // namespace arrowfork
