#include "limits/slow_start.hpp"

#include <algorithm>
#include <cmath>

#include "limits/draws.hpp"

namespace robinseam::limits {
namespace {

constexpr double kSecond = 1'000'000;
// Of a budget that is more than a request a window, so much of one is saved up: with all of it, a
// hot key that came after a quiet spell spent twice the budget at once.
constexpr double kBurst = 0.4;
// Windows for which a token may wait for its request. All that the tier has in hand at once is then
// so many windows' budget at most, and that is about a quarter of what makes a server fall.
constexpr double kLife = 3;
// Beyond this mean what comes is taken for the mean.
constexpr double kMany = 16;

}  // namespace

bool SlowStart::admits(Micros now, double rate, Micros window, double cost) {
  seed_ = mix(seed_ + 1);
  double chance = static_cast<double>(seed_ >> 11) / 9007199254740992.0;
  double life = kLife * static_cast<double>(window);
  double mean = rate * std::min(life, static_cast<double>(now - at_)) / kSecond;
  double came = mean;
  if (mean < kMany) {  // by inversion; what is left of the chance is uniform again
    double part = std::exp(-mean);
    for (came = 0; chance >= part && part > 0; part *= mean / ++came) chance -= part;
    chance = part > 0 ? chance / part : 0;
  }
  if (came > 0)
    fresh_ = now;
  else if (static_cast<double>(now - fresh_) > life)
    tokens_ = 0;
  at_ = now;
  double most = std::max(1.0, kBurst * rate * static_cast<double>(window) / kSecond);
  tokens_ = std::min(tokens_ + came, most);
  if (tokens_ >= cost) return true;
  // A large request goes with the chance that the tokens pay for, and takes them in any case.
  if (chance * cost < tokens_) return true;
  tokens_ = 0;
  return false;
}

}  // namespace robinseam::limits
