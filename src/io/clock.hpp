// Time as it is handed to everything that needs it.
#pragma once

#include <chrono>

#include "robinseam/balancer.hpp"

namespace arrowfork {

using robinseam::Micros;

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1'000'000;

/// Microseconds that never run backwards.
class TimeSource {
 public:
  virtual ~TimeSource() = default;
  virtual Micros now() const = 0;
};

/// Monotonic time whose origin is Unix time at the start: it never steps, and a `born_ms` from
/// discovery is a time on it without conversion.
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
