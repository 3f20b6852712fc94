// Bounds how many lines of one kind go into the log, so that a storm of events can't fill it. Pure.
#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>

#include "clock.hpp"

namespace arrowfork {

/// A token bucket over log lines: a burst, then a steady rate. What is suppressed is counted.
class LogLimit {
 public:
  LogLimit(double burst, double lines_per_second)
      : burst_(burst), rate_(lines_per_second), tokens_(burst) {}

  /// Whether a line may be written at `now`. Times must not run backwards.
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
