// How many connections to one server a router may close by its own will: each is a handshake that
// the server pays for again.
//
// Closing is how a server learns that an attempt was given up, and how its place is had for another
// one. In a storm that comes by the hundred, while what is given up is answered a little later
// anyway and leaves a connection that can be used. So closes are paid for by answers: a handshake
// costs a server a small part of an answer's work, so a fixed part of a close an answer keeps what
// goes into handshakes a fixed part of what goes into answers, whatever clients do and however many
// routers there are. A token bucket (RFC 2697's without colours) with a trickle for servers that
// answer nothing.
#pragma once

#include <algorithm>

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

class ConnectionCloseBudget {
 public:
  /// Tokens that an answered attempt earns; one pays for one close. Handshakes take 1 to 4 ms of a
  /// server here, answers 30: half a handshake an answer is 3% of its work.
  static constexpr double kTokensPerAnswer = 0.5;
  /// And a second: a server that answers nothing is told so often that nobody waits.
  static constexpr double kTokensPerSecond = 4;

  /// `most`: what the bucket holds, and holds at first: as many connections as the pool may have,
  /// so that one whole pool may be given up at once.
  explicit ConnectionCloseBudget(double most) : most_(most), tokens_(most) {}

  void set_capacity(double most) {
    most_ = most;
    tokens_ = std::min(tokens_, most);
  }
  void record_answer() { tokens_ = std::min(most_, tokens_ + kTokensPerAnswer); }
  /// Whether one more may be closed now; takes its token.
  bool try_spend(Micros now) {
    if (at_ > 0 && now > at_)
      tokens_ = std::min(most_, tokens_ + kTokensPerSecond * static_cast<double>(now - at_) / 1e6);
    at_ = std::max(at_, now);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }
  /// Another process stands there now.
  void reset() { tokens_ = most_; }
  double tokens() const { return tokens_; }

 private:
  double most_, tokens_;
  Micros at_ = 0;
};

}  // namespace robinseam::limits
