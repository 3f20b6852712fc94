// Interface of a further listener on the router's event loop, beside the memcached one.
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
  /// Writes the output of the core's last turn. Called once per iteration of the loop.
  virtual void flush() = 0;
  /// Planned shutdown: accepts nothing new and finishes what is open. Called repeatedly.
  virtual void drain() = 0;
  /// True when nothing is open any more.
  virtual bool drained() const = 0;
  /// Counts since the start, for STAT and the log. Names begin with the frontend's own prefix.
  virtual std::vector<std::pair<std::string, std::uint64_t>> counters() const = 0;
};

}  // namespace arrowfork
