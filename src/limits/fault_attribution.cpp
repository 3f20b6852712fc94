#include "fault_attribution.hpp"

#include <algorithm>
#include <cmath>

namespace robinseam::limits {
namespace {

constexpr double kHalf = 1e6;  // a jam of a second is gone a few seconds later
// Fetches of a server that count, and servers with so many that make a median. The second is what
// an origin's jam must show at before it is told from a server's: two of three.
constexpr double kFewFetches = 1;
constexpr std::size_t kFewServers = 3;
// Up to so many times the median is the chance of few samples, and no server's own.
constexpr double kSpread = 2;
// A server that loses fewer than this is not at fault alone: near the fleet's capacity the first
// losses at the hottest servers are the warning, and the window must heed it. Without this bound a
// fleet at 0.9 of its capacity fell back into a jam seven seconds after the first (seed 6).
constexpr double kMostly = 0.5;

}  // namespace

FaultAttribution::Seen FaultAttribution::lately(Micros now, std::size_t server) const {
  Seen s = seen_[server];
  double part = std::exp2(-static_cast<double>(now - s.at) / kHalf);
  return {s.lost * part, s.count * part, now};
}

void FaultAttribution::record_fetch(Micros now, std::size_t server, bool lost) {
  if (seen_.size() <= server) seen_.resize(server + 1);
  Seen s = lately(now, server);
  s.lost += lost;
  s.count += 1;
  seen_[server] = s;
}

double FaultAttribution::origin_share(Micros now, std::size_t server) const {
  if (server >= seen_.size()) return 1;
  std::vector<double> shares;
  for (std::size_t k = 0; k < seen_.size(); ++k)
    if (Seen s = lately(now, k); s.count >= kFewFetches) shares.push_back(s.lost / s.count);
  Seen own = lately(now, server);
  if (shares.size() < kFewServers || own.lost <= kMostly * own.count) return 1;
  auto middle = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 3);
  std::nth_element(shares.begin(), middle, shares.end());
  return std::min(1.0, kSpread * *middle * own.count / own.lost);
}

void FaultAttribution::forget_server(std::size_t server) {
  if (server < seen_.size()) seen_[server] = Seen();
}

}  // namespace robinseam::limits
