// How fast one client may be refused: a client that asks again as soon as it is turned away is not
// read for a while, so that its refusals leave time for others. No I/O.
#pragma once

#include <algorithm>

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

/// A token bucket of answers that served nothing.
class AnswerPace {
 public:
  /// Answers without service that a client may have at once, and each second after that.
  static constexpr double kBurst = 256;
  static constexpr double kPerSecond = 2'000;

  /// Whether a further command may be taken; `now` must not go backwards.
  bool allows(Micros now) {
    tokens_ = std::min(kBurst, tokens_ + static_cast<double>(now - last_) * kPerSecond / 1e6);
    last_ = now;
    return tokens_ >= 1;
  }
  void record_unserved() { tokens_ -= 1; }

 private:
  double tokens_ = kBurst;
  Micros last_ = 0;
};

}  // namespace robinseam::limits
