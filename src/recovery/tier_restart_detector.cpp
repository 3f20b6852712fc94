#include "recovery/tier_restart_detector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace robinseam::recovery {
namespace {

// How often a sample is one of trouble: among many that came back together, where servers have room
// for some and discovery for a few; and alone in a tier on a bad day, where one server in fifty
// turns away.
constexpr double kTogether = 0.25, kAlone = 0.02;
const double kSpeaksAlone = std::log((1 - kAlone) / (1 - kTogether));  // 0.27
const double kSpeaksTogether = std::log(kAlone / kTogether);           // -2.5
// One verdict in twenty may be wrong: twelve good samples without a bad one, or two bad ones.
const double kSettled = std::log(19.0);
constexpr std::size_t kSources = 3;
// What is seen later tells of the day and no more of the return.
constexpr Micros kLetsGo = 10'000'000;
// More of the servers young than this: whatever restarted them may have restarted the routers.
constexpr double kManyYoung = 0.2;
constexpr int kPresumedAlone = 2;  // as many come back at no cost

}  // namespace

TierRestartDetector::TierRestartDetector(int routers, Micros now) : born_(now) {
  if (routers <= kPresumedAlone) verdict_ = Verdict::Alone, told_ = true;
}

void TierRestartDetector::record_sample(Micros now, int source, bool trouble) {
  if (verdict_ == Verdict::Alone || now - born_ > kLetsGo) return;
  auto seen = sources_.begin() + source_count_;
  if (source_count_ < static_cast<int>(kSources) &&
      std::find(sources_.begin(), seen, source) == seen)
    sources_[static_cast<std::size_t>(source_count_++)] = source;
  evidence_ =
      std::clamp(evidence_ + (trouble ? kSpeaksTogether : kSpeaksAlone), -kSettled, kSettled);
  if (evidence_ <= -kSettled)
    verdict_ = Verdict::Together;
  else if (evidence_ >= kSettled && source_count_ == static_cast<int>(kSources))
    verdict_ = Verdict::Alone;
}

void TierRestartDetector::record_list(Micros now, int usable, int young) {
  record_sample(now, kDiscoverySource, false);
  if (usable > 0) record_sample(now, kListSource, young > kManyYoung * usable);
}

bool TierRestartDetector::take_alone_verdict() {
  return verdict_ == Verdict::Alone && !std::exchange(told_, true);
}

}  // namespace robinseam::recovery
