#include "recovery/tier_restart_detector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace robinseam::recovery {
namespace {

// Probability that a sample is bad: among many routers that restarted together, where servers have
// capacity for some and discovery for a few; and for a lone router on a bad day, where one server
// in fifty rejects requests.
constexpr double kTroubleTogether = 0.25, kTroubleAlone = 0.02;
const double kLogOddsOfGood = std::log((1 - kTroubleAlone) / (1 - kTroubleTogether));  // 0.27
const double kLogOddsOfTrouble = std::log(kTroubleAlone / kTroubleTogether);           // -2.5
// One verdict in twenty may be wrong: it takes twelve good samples without a bad one, or two bad
// ones.
const double kVerdictLogOdds = std::log(19.0);
constexpr std::size_t kMinSources = 3;
// Later samples tell about the current load and no longer about the restart.
constexpr Micros kSamplePeriod = 10'000'000;
// With a larger share of recently started servers, their cause may have restarted the routers too.
constexpr double kMaxYoungShare = 0.2;
constexpr int kHarmlessRestarts = 2;  // so many routers may restart together at no cost

}  // namespace

TierRestartDetector::TierRestartDetector(int routers, Micros now) : started_at_(now) {
  if (routers <= kHarmlessRestarts) verdict_ = Verdict::Alone, verdict_taken_ = true;
}

void TierRestartDetector::record_sample(Micros now, int source, bool trouble) {
  if (verdict_ == Verdict::Alone || now - started_at_ > kSamplePeriod) return;
  auto sources_end = sources_.begin() + source_count_;
  if (source_count_ < static_cast<int>(kMinSources) &&
      std::find(sources_.begin(), sources_end, source) == sources_end)
    sources_[static_cast<std::size_t>(source_count_++)] = source;
  log_odds_ = std::clamp(log_odds_ + (trouble ? kLogOddsOfTrouble : kLogOddsOfGood),
                         -kVerdictLogOdds, kVerdictLogOdds);
  if (log_odds_ <= -kVerdictLogOdds)
    verdict_ = Verdict::Together;
  else if (log_odds_ >= kVerdictLogOdds && source_count_ == static_cast<int>(kMinSources))
    verdict_ = Verdict::Alone;
}

void TierRestartDetector::record_list(Micros now, int usable, int young) {
  record_sample(now, kDiscoverySource, false);
  if (usable > 0) record_sample(now, kListSource, young > kMaxYoungShare * usable);
}

bool TierRestartDetector::take_alone_verdict() {
  return verdict_ == Verdict::Alone && !std::exchange(verdict_taken_, true);
}

}  // namespace robinseam::recovery
