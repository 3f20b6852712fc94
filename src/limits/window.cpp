#include "window.hpp"

#include <algorithm>
#include <cmath>

namespace robinseam::limits {
namespace {

// The floor follows the mean lately and not single latencies: where a third takes ten times as long
// by itself, the shortest ones say nothing of queueing.
constexpr double kFloorDown = 0.25;  // of the way to a lower mean, a sample
// And half of the way to a higher one in this time, however many samples come: by samples, a jam of
// one second was taken for usual.
constexpr double kFloorHalf = 10e6;
constexpr double kLatencyGain = 0.2;  // some ten samples
constexpr double kClear = 1.25;       // mean over floor under which nothing queues
constexpr Micros kRelaxAfter = 1'000'000;
constexpr double kRelaxDoubles = 1e6;
// A router whose part is under one gets its turn this soon, however many there are: it learns from
// its own turns alone that a jam is over. Past some 90 routers that, and not their least, is what
// a jammed origin gets.
constexpr double kMostPause = 5e6;
constexpr double kGoodEases = 0.5;  // of a signal, a good end takes back

}  // namespace

bool Window::has_capacity(Micros now, double weight, double part) const {
  double room = std::max(rules_.least * std::min(part, 1.0), limit_ * part);
  if (room < 1 && now < paced_until_) return false;
  // A whole attempt always fits into an empty window.
  return out_ + weight <= std::max(room, weight);
}

void Window::record_end(Micros now, Micros sent_at, double weight, Evidence evidence,
                        double latency, double fine, double blame) {
  double flight = out_;
  out_ = std::max(0.0, out_ - weight);
  if (limit_ < 1 && weight > 0) {
    double pause =
        weight * static_cast<double>(std::max<Micros>(0, now - sent_at)) * (1 / limit_ - 1);
    paced_until_ = now + static_cast<Micros>(std::min(kMostPause, pause));
  }
  if (evidence == Evidence::None || weight <= 0) return;
  if (evidence == Evidence::Bad && blame <= 0) return;
  if (latency > 0) {
    bool first = latency_ <= 0;
    // Of a lost attempt the time it was out is a lower bound, no more.
    if (evidence == Evidence::Good || latency > latency_)
      latency_ += (first ? 1 : kLatencyGain) * (latency - latency_);
  }
  double most = std::max(fine, rules_.tolerance * floor_);
  if (evidence == Evidence::Bad)
    return signal(now, sent_at, weight * blame, flight, most / std::max(1.0, latency));
  if (floor_ <= 0) floor_ = latency;
  double up = 1 - std::exp2(-static_cast<double>(now - floor_at_) / kFloorHalf);
  floor_ += (latency_ < floor_ ? kFloorDown : up) * (latency_ - floor_);
  floor_at_ = now;
  if (latency > most && latency_ > most)
    return signal(now, sent_at, weight, flight, most / latency_);
  signals_ = std::max(0.0, signals_ - kGoodEases * weight);
  // Only a window that is used grows: one that isn't says nothing of what lies above it. Fast below
  // the last good window, and while latency shows no queue (as HyStart's delay, Ha and Rhee,
  // Computer Networks 55 (2011), which ends slow start by it).
  bool fast = limit_ < slow_start_ || latency_ < kClear * floor_;
  if (out_ + weight >= limit_ / 2)
    limit_ = std::min(rules_.most, limit_ + weight * std::min(limit_, fast ? 1 : 1 / limit_));
}

/// Neither signalled nor filled for kRelaxAfter, the window doubles every second, back to where it
/// began: few answers tell little, and none that a burst should be refused. One that is filled
/// grows by its answers alone, or it would be filled to a jam over and over.
void Window::relax(Micros now) {
  if (out_ >= limit_ / 2) filled_at_ = now;
  Micros paced = std::min(now, paced_until_);  // held back until then, so as good as filled
  filled_at_ = std::max(filled_at_, paced), relaxed_at_ = std::max(relaxed_at_, paced);
  if (limit_ < rules_.start && now - std::max(signal_at_, filled_at_) > kRelaxAfter)
    limit_ = std::min(rules_.start,
                      limit_ * std::exp2(static_cast<double>(now - relaxed_at_) / kRelaxDoubles));
  relaxed_at_ = std::max(relaxed_at_, now);
}

void Window::cap_for_overload(Micros now, double most) {
  if (limit_ <= most) return;
  limit_ = slow_start_ = std::max(rules_.least, most);
  signals_ = 0, cut_at_ = signal_at_ = relaxed_at_ = now;
}

void Window::reset() {
  double out = out_;
  *this = Window(rules_);
  out_ = out;
}

/// `flight`: what was out, which counts and not the limit where that was not reached (RFC 5681,
/// equation 4). `gradient`: what was wanted of the latency over what it was.
void Window::signal(Micros now, Micros sent_at, double severity, double flight, double gradient) {
  signal_at_ = relaxed_at_ = now;
  if (sent_at < cut_at_) return;  // sent under the window before: that has been cut for it
  signals_ += severity;
  if (signals_ < rules_.signals) return;
  signals_ = 0;
  cut_at_ = now;
  limit_ = std::max(rules_.least,
                    std::min(limit_, flight) * std::clamp(gradient, rules_.deepest, rules_.cut));
  slow_start_ = limit_;
}

}  // namespace robinseam::limits
