// Decides whether a router restarted alone or with most of its tier, from the samples of its first
// seconds. Pure.
//
// The router first assumes the worst, that all restarted, and takes only its share of what a tier
// may start with. Each sample is evidence for one or the other (Wald's sequential test: "Sequential
// Tests of Statistical Hypotheses", Annals of Mathematical Statistics 16, 1945): an answer, a
// refused dial, a server that is full, a failed call to discovery, servers that started while it
// was away. No single sample decides, and no samples from fewer than three sources decide for
// "alone".
//
// A tier that restarted together and yet finds capacity everywhere is taken for a lone router. That
// is harmless: the released tokens guard against a shortage that does not exist.
#pragma once

#include <array>

#include "robinseam/balancer.hpp"

namespace robinseam::recovery {

class TierRestartDetector {
 public:
  enum class Verdict { Unknown, Alone, Together };

  TierRestartDetector(int routers, Micros now);

  /// A sample. `source`: a server's index, or one of these constants; `trouble`: whether it speaks
  /// for a restart of many.
  static constexpr int kDiscoverySource = -1, kListSource = -2;
  void record_sample(Micros now, int source, bool trouble);
  /// A list from discovery: so many servers are usable, and so many of them started recently.
  void record_list(Micros now, int usable, int young);

  Verdict verdict() const { return verdict_; }
  /// True once, after the verdict has become Alone.
  bool take_alone_verdict();

 private:
  Micros started_at_;
  double log_odds_ = 0;  // of alone to together, bounded
  Verdict verdict_ = Verdict::Unknown;
  bool verdict_taken_ = false;
  std::array<int, 3> sources_{};
  int source_count_ = 0;
};

}  // namespace robinseam::recovery
