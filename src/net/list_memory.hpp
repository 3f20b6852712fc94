// Keeps the list past the process's end.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "../membership/host_list.hpp"

namespace arrowfork {

class ListMemory {
 public:
  virtual ~ListMemory() = default;
  /// Discovery has told the list, or that nothing has changed; whole, and as discovery has it.
  virtual void told(const HostList& list) = 0;
  /// Carries on with what waits for the disk; called every half second.
  virtual void pump() = 0;
  /// For STAT and the log; names begin with `store_`.
  virtual std::vector<std::pair<std::string, std::string>> figures() const = 0;
};

}  // namespace arrowfork
