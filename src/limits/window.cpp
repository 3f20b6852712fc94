#include "window.hpp"

#include <algorithm>
#include <cmath>

namespace robinseam::limits {
namespace {

// The latency floor follows the recent mean and not single latencies: where a third of the requests
// take ten times as long by themselves, the shortest latencies tell nothing about queueing.
constexpr double kFloorDownGain = 0.25;  // towards a lower mean, per sample
// Towards a higher mean the floor moves by time and not by samples: by samples, an overload of one
// second was taken as normal latency.
constexpr double kFloorUpHalfTimeUs = 10e6;
constexpr double kLatencyGain = 0.2;     // averages over some ten samples
constexpr double kNoQueueFactor = 1.25;  // mean over floor below which nothing queues
constexpr Micros kRelaxAfter = 1'000'000;
constexpr double kRelaxDoublingUs = 1e6;
// A router whose share is below one attempt sends at least this often, however many routers there
// are: it learns only from its own attempts that an overload is over. With more than some 90
// routers this, and not their least window, is what an overloaded origin gets.
constexpr double kMaxPauseUs = 5e6;
constexpr double kGoodEndCancels = 0.5;  // of a signal

}  // namespace

bool Window::has_capacity(Micros now, double weight, double share) const {
  double capacity = std::max(parameters_.least * std::min(share, 1.0), limit_ * share);
  if (capacity < 1 && now < paced_until_) return false;
  // A whole attempt always fits into an empty window.
  return in_flight_ + weight <= std::max(capacity, weight);
}

void Window::record_end(Micros now, Micros sent_at, double weight, Evidence evidence,
                        double latency, double tolerated, double blame) {
  double in_flight_before = in_flight_;
  in_flight_ = std::max(0.0, in_flight_ - weight);
  if (limit_ < 1 && weight > 0) {
    double pause =
        weight * static_cast<double>(std::max<Micros>(0, now - sent_at)) * (1 / limit_ - 1);
    paced_until_ = now + static_cast<Micros>(std::min(kMaxPauseUs, pause));
  }
  if (evidence == Evidence::None || weight <= 0) return;
  if (evidence == Evidence::Bad && blame <= 0) return;
  if (latency > 0) {
    bool first = latency_ <= 0;
    // The time a lost attempt was in flight is only a lower bound of its latency.
    if (evidence == Evidence::Good || latency > latency_)
      latency_ += (first ? 1 : kLatencyGain) * (latency - latency_);
  }
  double highest_tolerated = std::max(tolerated, parameters_.tolerance * floor_);
  if (evidence == Evidence::Bad)
    return signal(now, sent_at, weight * blame, in_flight_before,
                  highest_tolerated / std::max(1.0, latency));
  if (floor_ <= 0) floor_ = latency;
  double floor_up_gain = 1 - std::exp2(-static_cast<double>(now - floor_at_) / kFloorUpHalfTimeUs);
  floor_ += (latency_ < floor_ ? kFloorDownGain : floor_up_gain) * (latency_ - floor_);
  floor_at_ = now;
  if (latency > highest_tolerated && latency_ > highest_tolerated)
    return signal(now, sent_at, weight, in_flight_before, highest_tolerated / latency_);
  signals_ = std::max(0.0, signals_ - kGoodEndCancels * weight);
  // Only a window that is used grows: an unused one proves nothing about a larger one. It grows
  // fast below the last good window, and while latency shows no queue (HyStart ends slow start by
  // this delay criterion: Ha and Rhee, Computer Networks 55 (2011)).
  bool grows_fast = limit_ < slow_start_ || latency_ < kNoQueueFactor * floor_;
  if (in_flight_ + weight >= limit_ / 2)
    limit_ =
        std::min(parameters_.most, limit_ + weight * std::min(limit_, grows_fast ? 1 : 1 / limit_));
}

/// After kRelaxAfter without a signal and without being filled, the window doubles every second up
/// to its start value: a few answers prove little, and nothing that would justify refusing a burst.
/// A window that is filled grows by its answers alone, or it would grow into overload over and
/// over.
void Window::relax(Micros now) {
  if (in_flight_ >= limit_ / 2) filled_at_ = now;
  Micros paced_to = std::min(now, paced_until_);  // paced until then, which counts as filled
  filled_at_ = std::max(filled_at_, paced_to), relaxed_at_ = std::max(relaxed_at_, paced_to);
  if (limit_ < parameters_.start && now - std::max(signal_at_, filled_at_) > kRelaxAfter)
    limit_ = std::min(parameters_.start, limit_ * std::exp2(static_cast<double>(now - relaxed_at_) /
                                                            kRelaxDoublingUs));
  relaxed_at_ = std::max(relaxed_at_, now);
}

void Window::cap_for_overload(Micros now, double most) {
  if (limit_ <= most) return;
  limit_ = slow_start_ = std::max(parameters_.least, most);
  signals_ = 0, cut_at_ = signal_at_ = relaxed_at_ = now;
}

void Window::reset() {
  double in_flight = in_flight_;
  *this = Window(parameters_);
  in_flight_ = in_flight;
}

/// `in_flight_before`: attempts in flight before this end; where they were below the limit, they
/// and not the limit are cut (RFC 5681, equation 4). `gradient`: the tolerated latency over the
/// actual one.
void Window::signal(Micros now, Micros sent_at, double severity, double in_flight_before,
                    double gradient) {
  signal_at_ = relaxed_at_ = now;
  if (sent_at < cut_at_) return;  // sent under the previous window, which has been cut for it
  signals_ += severity;
  if (signals_ < parameters_.signals) return;
  signals_ = 0;
  cut_at_ = now;
  limit_ =
      std::max(parameters_.least, std::min(limit_, in_flight_before) *
                                      std::clamp(gradient, parameters_.deepest, parameters_.cut));
  slow_start_ = limit_;
}

}  // namespace robinseam::limits
