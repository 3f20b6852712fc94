#include "fault_attribution.hpp"

#include <algorithm>
#include <cmath>

namespace robinseam::limits {
namespace {

// Half-life of the counts: an origin overload of a second has faded a few seconds later.
constexpr double kHalfLifeUs = 1e6;
// Recent fetches that a server needs to be counted, and counted servers that a comparison needs. An
// origin overload has to show at two of three servers to be told from a single server's.
constexpr double kMinFetches = 1;
constexpr std::size_t kMinServers = 3;
// Up to this multiple of the lower third is the noise of few samples, not a server's own fault.
constexpr double kNoiseFactor = 2;
// A server that loses a smaller share than this is not at fault alone: near the fleet's capacity
// the first losses at the hottest servers are the warning that the window must heed. Without this
// bound a fleet at 0.9 of its capacity fell back into overload seven seconds after the first one
// (seed 6).
constexpr double kMinLossShare = 0.5;

}  // namespace

FaultAttribution::RecentFetches FaultAttribution::decayed(Micros now, std::size_t server) const {
  RecentFetches s = recent_[server];
  double decay = std::exp2(-static_cast<double>(now - s.updated_at) / kHalfLifeUs);
  return {s.lost * decay, s.count * decay, now};
}

void FaultAttribution::record_fetch(Micros now, std::size_t server, bool lost) {
  if (recent_.size() <= server) recent_.resize(server + 1);
  RecentFetches s = decayed(now, server);
  s.lost += lost;
  s.count += 1;
  recent_[server] = s;
}

double FaultAttribution::origin_share(Micros now, std::size_t server) const {
  if (server >= recent_.size()) return 1;
  std::vector<double> loss_shares;
  for (std::size_t k = 0; k < recent_.size(); ++k)
    if (RecentFetches s = decayed(now, k); s.count >= kMinFetches)
      loss_shares.push_back(s.lost / s.count);
  RecentFetches own = decayed(now, server);
  if (loss_shares.size() < kMinServers || own.lost <= kMinLossShare * own.count) return 1;
  auto lower_third = loss_shares.begin() + static_cast<std::ptrdiff_t>(loss_shares.size() / 3);
  std::nth_element(loss_shares.begin(), lower_third, loss_shares.end());
  return std::min(1.0, kNoiseFactor * *lower_third * own.count / own.lost);
}

void FaultAttribution::forget_server(std::size_t server) {
  if (server < recent_.size()) recent_[server] = RecentFetches();
}

}  // namespace robinseam::limits
