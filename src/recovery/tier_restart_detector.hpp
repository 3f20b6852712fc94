// Whether a router came back alone or with most of its tier, by what its first seconds bring. Pure.
//
// It begins with the worst: all came back, so it takes its part of what a tier may begin with and
// no more. Each thing that it sees speaks for one or the other (Wald's sequential test: "Sequential
// Tests of Statistical Hypotheses", Annals of Mathematical Statistics 16, 1945): an answer, a dial
// that was refused, a server that is full, a call on discovery that failed, servers born while it
// was away. No single sample settles it, and none from less than three sources.
//
// A tier that came back together and yet finds room everywhere is taken for one that did not. That
// is harmless: what is given back are tokens against scarcity, and there is none.
#pragma once

#include <array>

#include "robinseam/balancer.hpp"

namespace robinseam::recovery {

class TierRestartDetector {
 public:
  enum class Verdict { Unknown, Alone, Together };

  TierRestartDetector(int routers, Micros now);

  /// Something that tells how much else came back. `source`: a server's number, or one of these.
  static constexpr int kDiscoverySource = -1, kListSource = -2;
  void record_sample(Micros now, int source, bool trouble);
  /// The list as discovery told it: so many servers are usable, and so many of them have started
  /// lately.
  void record_list(Micros now, int usable, int young);

  Verdict verdict() const { return verdict_; }
  /// True once, when it is settled that it came back alone.
  bool take_alone_verdict();

 private:
  Micros born_;
  double evidence_ = 0;  // log of the odds of alone to together, and bounded
  Verdict verdict_ = Verdict::Unknown;
  bool told_ = false;
  std::array<int, 3> sources_{};
  int source_count_ = 0;
};

}  // namespace robinseam::recovery
