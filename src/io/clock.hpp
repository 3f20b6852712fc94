// Sources of time. Code that needs the time is given one, so that tests can control it.
#pragma once

#include <chrono>

#include "robinseam/balancer.hpp"

namespace arrowfork {

using robinseam::Micros;

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1'000'000;

/// Time in microseconds that never goes backwards.
class TimeSource {
 public:
  virtual ~TimeSource() = default;
  virtual Micros now() const = 0;
};

/// Monotonic time that equals Unix time at the start of the process: it never jumps, and `born_ms`
/// from discovery can be compared with it without conversion.
class Clock final : public TimeSource {
 public:
  Clock() : origin_(unix_now() - monotonic_now()) {}
  Micros now() const override { return origin_ + monotonic_now(); }

 private:
  static Micros monotonic_now() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
  }
  static Micros unix_now() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
  Micros origin_;
};

}  // namespace arrowfork
