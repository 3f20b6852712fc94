#include "server_kind_speeds.hpp"

#include <algorithm>
#include <cmath>

namespace robinseam::limits {
namespace {

// Kinds come with the list; what names more is not believed, so that the state stays bounded.
constexpr std::size_t kMostKinds = 32;
constexpr double kLeastSeen = 10;  // answers of a kind before it is compared
constexpr double kGain = 0.02;     // of one answer, at least: some ten seconds at a small router
// Spread of the logarithm of one latency about its kind's mean, as the scale of a logistic curve:
// hints are rough and servers' queues differ, together about half an e-fold (0.5 * sqrt(3) / pi).
constexpr double kSpread = 0.28;

}  // namespace

void ServerKindSpeeds::record_answer(const std::string& kind, Micros work, Micros latency) {
  if (work <= 0 || latency <= 0) return;
  auto it = kinds_.find(kind);
  if (it == kinds_.end()) {
    if (kinds_.size() >= kMostKinds) return;
    it = kinds_.emplace(kind, Pace()).first;
  }
  Pace& p = it->second;
  p.seen = std::min(p.seen + 1, 1 / kGain);
  double value = std::log(static_cast<double>(latency) / static_cast<double>(work));
  p.log_factor += std::max(kGain, 1 / p.seen) * (value - p.log_factor);
}

double ServerKindSpeeds::in_time(const Pace& pace, double work, double aim) {
  return 1 / (1 + std::exp((pace.log_factor + std::log(work / aim)) / kSpread));
}

double ServerKindSpeeds::gain_at_fastest_kind(const std::string& kind, Micros work,
                                              Micros aim) const {
  auto it = kinds_.find(kind);
  if (work <= 0 || aim <= 0 || it == kinds_.end() || it->second.seen < kLeastSeen) return 0;
  auto chance = [&](const Pace& p) {
    return in_time(p, static_cast<double>(work), static_cast<double>(aim));
  };
  double here = chance(it->second), best = here;
  for (const auto& [name, pace] : kinds_)
    if (pace.seen >= kLeastSeen) best = std::max(best, chance(pace));
  return best - here;
}

}  // namespace robinseam::limits
