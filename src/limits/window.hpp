// A concurrency window: a limit on attempts in flight that adapts to how attempts end.
//
// Additive increase and multiplicative decrease on the window, as in Chiu and Jain, Computer
// Networks 17 (1989), with one cut a round trip and slow start below the last good window (RFC
// 5681, section 3.1). A congestion signal is a latency beyond `tolerance` times the latency floor
// (TCP Vegas, SIGCOMM 1994; the gradient of Netflix concurrency-limits), or a loss.
//
// A limit on what is in flight is self-clocking: whatever clients do, no more attempts than the
// limit are waited for, and each answer frees capacity for the next one. It never falls below
// `least`, so it cannot hold back a load that needs no more than that, and recovery needs no sample
// first.
#pragma once

#include "concurrency_limit.hpp"

namespace robinseam::limits {

struct WindowParameters {
  /// Attempts that may always be in flight. Below 1 they are paced: one at a time, followed by a
  /// pause, so that the mean in flight is this value.
  double least = 2;
  /// Before there are samples, and again some seconds after the last signal, so that a burst over
  /// idle servers passes.
  double start = 256;
  double most = 4096;    ///< upper bound
  double tolerance = 3;  ///< a latency above this multiple of the floor is a signal
  double cut = 0.8;      ///< share of the window that a cut leaves at most...
  double deepest = 0.3;  ///< ...and at least, by how far the latency is above the floor
  double signals = 3;    ///< signals that trigger a cut; a good end cancels half of one
};

class Window final : public ConcurrencyLimit {
 public:
  explicit Window(const WindowParameters& parameters)
      : parameters_(parameters), limit_(parameters.start) {}

  bool has_capacity(Micros now, double weight, double share = 1) const override;
  void record_send(Micros now, double weight) override {
    relax(now);
    in_flight_ += weight;
  }
  void record_end(Micros now, Micros sent_at, double weight, Evidence evidence, double latency,
                  double tolerated, double blame = 1) override;
  void cap_for_overload(Micros now, double most) override;
  void reset() override;

  double limit() const override { return limit_; }
  double in_flight() const override { return in_flight_; }
  double latency_floor() const override { return floor_; }
  /// Recent mean latency; those of lost attempts count as lower bounds.
  double latency() const { return latency_; }

 private:
  void signal(Micros now, Micros sent_at, double severity, double in_flight_before,
              double gradient);
  void relax(Micros now);
  WindowParameters parameters_;
  double limit_;
  double slow_start_ = 1e9;  // threshold below which each good end adds one
  double in_flight_ = 0;
  double floor_ = 0, latency_ = 0;
  double signals_ = 0;
  Micros floor_at_ = 0;
  Micros signal_at_ = 0, filled_at_ = 0, relaxed_at_ = 0;
  Micros cut_at_ = 0;  // attempts sent before it trigger no further cut
  Micros paced_until_ = 0;
};

}  // namespace robinseam::limits
