#include "limits/slow_start.hpp"

#include <algorithm>
#include <cmath>

#include "limits/draws.hpp"

namespace robinseam::limits {
namespace {

constexpr double kSecond = 1'000'000;
// Share of one window's budget that can be saved up, where the budget is above one request: with
// all of it, a hot key that arrived after a quiet period spent twice the budget at once.
constexpr double kBurstShare = 0.4;
// Lifetime of a token in windows. The tokens of the whole tier are then at most so many windows'
// budget, which is about a quarter of what makes a server fail.
constexpr double kTokenLifeWindows = 3;
// Above this mean the Poisson count is replaced by its mean.
constexpr double kMaxPoissonMean = 16;

}  // namespace

bool SlowStart::admits(Micros now, double rate, Micros window, double cost) {
  seed_ = mix(seed_ + 1);
  double chance = static_cast<double>(seed_ >> 11) / 9007199254740992.0;
  double life = kTokenLifeWindows * static_cast<double>(window);
  double mean = rate * std::min(life, static_cast<double>(now - updated_at_)) / kSecond;
  double arrived = mean;
  if (mean < kMaxPoissonMean) {  // by inversion; the rest of the chance is uniform again
    double probability = std::exp(-mean);
    for (arrived = 0; chance >= probability && probability > 0; probability *= mean / ++arrived)
      chance -= probability;
    chance = probability > 0 ? chance / probability : 0;
  }
  if (arrived > 0)
    last_token_at_ = now;
  else if (static_cast<double>(now - last_token_at_) > life)
    tokens_ = 0;
  updated_at_ = now;
  double capacity = std::max(1.0, kBurstShare * rate * static_cast<double>(window) / kSecond);
  tokens_ = std::min(tokens_ + arrived, capacity);
  if (tokens_ >= cost) return true;
  // A request that costs more is sent with the probability that the tokens pay for, and takes the
  // tokens in any case.
  if (chance * cost < tokens_) return true;
  tokens_ = 0;
  return false;
}

}  // namespace robinseam::limits
