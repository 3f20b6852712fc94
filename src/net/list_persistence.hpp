// Interface of the storage that keeps the host list across restarts of the process.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "../membership/host_list.hpp"

namespace arrowfork {

class ListPersistence {
 public:
  virtual ~ListPersistence() = default;
  /// Discovery has sent the list or confirmed that it is unchanged. `list` is the full list,
  /// without operator overrides.
  virtual void on_list_confirmed(const HostList& list) = 0;
  /// Continues writes that wait for the disk; called every half second.
  virtual void continue_writing() = 0;
  /// For STAT and the log. Names begin with `store_`.
  virtual std::vector<std::pair<std::string, std::string>> stats() const = 0;
};

}  // namespace arrowfork
