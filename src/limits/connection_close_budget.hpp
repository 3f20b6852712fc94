// Limits how many connections to one server a router may close on its own initiative, since the
// server pays for a new handshake each time.
//
// Closing a connection is how a server learns that an attempt was abandoned, and how its slot is
// freed for another one. In a retry storm this happens by the hundred, while what is abandoned is
// answered a little later anyway and leaves a usable connection. So closes are paid for by answers:
// a handshake costs a server a small part of an answer's work, so earning a fixed part of a close
// per answer keeps the work of handshakes a fixed part of the work of answers, whatever clients do
// and however many routers there are. A token bucket (RFC 2697 without colours), with a slow time-
// based refill for servers that answer nothing.
#pragma once

#include <algorithm>

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

class ConnectionCloseBudget {
 public:
  /// Tokens that an answered attempt earns; one token pays for one close. A handshake takes a
  /// server 1 to 4 ms and an answer 30: half a handshake per answer is 3% of its work.
  static constexpr double kTokensPerAnswer = 0.5;
  /// Refill over time. With it a server that answers nothing still learns of abandoned attempts
  /// often enough that nobody waits for one.
  static constexpr double kTokensPerSecond = 4;

  /// `capacity`: what the bucket holds, and holds at first: as many connections as the pool may
  /// have, so that a whole pool may be closed at once.
  explicit ConnectionCloseBudget(double capacity) : capacity_(capacity), tokens_(capacity) {}

  void set_capacity(double capacity) {
    capacity_ = capacity;
    tokens_ = std::min(tokens_, capacity);
  }
  void record_answer() { tokens_ = std::min(capacity_, tokens_ + kTokensPerAnswer); }
  /// Whether one more connection may be closed now; takes its token.
  bool try_spend(Micros now) {
    if (refilled_at_ > 0 && now > refilled_at_)
      tokens_ = std::min(
          capacity_, tokens_ + kTokensPerSecond * static_cast<double>(now - refilled_at_) / 1e6);
    refilled_at_ = std::max(refilled_at_, now);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }
  /// A new process has replaced the server.
  void reset() { tokens_ = capacity_; }
  double tokens() const { return tokens_; }

 private:
  double capacity_, tokens_;
  Micros refilled_at_ = 0;
};

}  // namespace robinseam::limits
