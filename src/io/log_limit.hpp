// Limits the rate of log lines of one kind, so that a burst of events cannot fill the log.
#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>

#include "clock.hpp"

namespace arrowfork {

/// A token bucket for log lines: a burst, then a steady rate. Counts the suppressed lines.
class LogLimit {
 public:
  LogLimit(double burst, double lines_per_second)
      : burst_(burst), rate_(lines_per_second), tokens_(burst) {}

  /// Whether a line may be written at `now`, which must not go backwards.
  [[nodiscard]] bool allow(Micros now) {
    double passed = static_cast<double>(now - last_) / static_cast<double>(kSecond);
    tokens_ = std::min(burst_, tokens_ + std::max(0.0, passed) * rate_);
    last_ = now;
    if (tokens_ < 1) {
      ++suppressed_;
      return false;
    }
    --tokens_;
    return true;
  }
  /// Lines suppressed since the last call.
  std::uint64_t take_suppressed() { return std::exchange(suppressed_, 0); }

 private:
  double burst_, rate_;
  double tokens_;
  Micros last_ = 0;
  std::uint64_t suppressed_ = 0;
};

}  // namespace arrowfork
