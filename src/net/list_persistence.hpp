// Keeps the list past the process's end.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "../membership/host_list.hpp"

namespace arrowfork {

class ListPersistence {
 public:
  virtual ~ListPersistence() = default;
  /// Discovery has told the list, or that nothing has changed; whole, and as discovery has it.
  virtual void on_list_confirmed(const HostList& list) = 0;
  /// Carries on with what waits for the disk; called every half second.
  virtual void continue_writing() = 0;
  /// For STAT and the log; names begin with `store_`.
  virtual std::vector<std::pair<std::string, std::string>> stats() const = 0;
};

}  // namespace arrowfork
