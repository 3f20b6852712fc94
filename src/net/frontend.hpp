// A further front on the router's loop, beside the memcached listener.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace arrowfork {

class Frontend {
 public:
  virtual ~Frontend() = default;
  /// Writes what the core's last turn has left. Called once an iteration of the loop.
  virtual void flush() = 0;
  /// Planned end: takes nothing new, finishes what is open.
  virtual void drain() = 0;
  /// Nothing is open any more.
  virtual bool drained() const = 0;
  /// Counts since the start, for STAT and the log; names begin with the front's own.
  virtual std::vector<std::pair<std::string, std::uint64_t>> counters() const = 0;
};

}  // namespace arrowfork
