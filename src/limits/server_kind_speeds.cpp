#include "server_kind_speeds.hpp"

#include <algorithm>
#include <cmath>

namespace robinseam::limits {
namespace {

// Kinds are named by the host list; further ones are ignored, so that the state stays bounded.
constexpr std::size_t kMaxKinds = 32;
constexpr double kMinSamples = 10;  // answers of a kind before it is compared
// Least smoothing weight of one answer: averages over some ten seconds at a small router.
constexpr double kMinGain = 0.02;
// Spread of the logarithm of one latency about its kind's mean, as the scale of a logistic curve:
// hints are rough and servers' queues differ, together about half an e-fold (0.5 * sqrt(3) / pi).
constexpr double kLogLatencyScale = 0.28;

}  // namespace

void ServerKindSpeeds::record_answer(const std::string& kind, Micros work, Micros latency) {
  if (work <= 0 || latency <= 0) return;
  auto it = kinds_.find(kind);
  if (it == kinds_.end()) {
    if (kinds_.size() >= kMaxKinds) return;
    it = kinds_.emplace(kind, KindSpeed()).first;
  }
  KindSpeed& speed = it->second;
  speed.samples = std::min(speed.samples + 1, 1 / kMinGain);
  double value = std::log(static_cast<double>(latency) / static_cast<double>(work));
  speed.log_factor += std::max(kMinGain, 1 / speed.samples) * (value - speed.log_factor);
}

double ServerKindSpeeds::in_time(const KindSpeed& speed, double work, double objective) {
  return 1 / (1 + std::exp((speed.log_factor + std::log(work / objective)) / kLogLatencyScale));
}

double ServerKindSpeeds::gain_at_fastest_kind(const std::string& kind, Micros work,
                                              Micros objective) const {
  auto it = kinds_.find(kind);
  if (work <= 0 || objective <= 0 || it == kinds_.end() || it->second.samples < kMinSamples)
    return 0;
  auto probability = [&](const KindSpeed& speed) {
    return in_time(speed, static_cast<double>(work), static_cast<double>(objective));
  };
  double here = probability(it->second), best = here;
  for (const auto& [name, speed] : kinds_)
    if (speed.samples >= kMinSamples) best = std::max(best, probability(speed));
  return best - here;
}

}  // namespace robinseam::limits
