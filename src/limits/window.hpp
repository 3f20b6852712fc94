// A concurrency limit that is found from how attempts end: so many may be out at once.
//
// Shape: additive increase and multiplicative decrease on the window, as in Chiu and Jain, Computer
// Networks 17 (1989), with one cut a round trip and slow start below the last good window (RFC
// 5681, section 3.1). What counts as a congestion signal is a latency beyond `tolerance` times the
// floor (TCP Vegas, SIGCOMM 1994; Netflix concurrency-limits' gradient), or a loss.
//
// A limit on what is out clocks itself: whatever clients do, no more than the limit is waited for,
// and each answer makes room for the next. It never falls below `least`, so it can't hold back a
// load that needs less than that at once, and recovery needs no sample to come by first.
#pragma once

#include "concurrency_limit.hpp"

namespace robinseam::limits {

struct WindowParameters {
  /// Attempts that may always be out. Under 1 they are paced: one at a time, and after it a pause
  /// that makes them so many in the mean.
  double least = 2;
  /// Before anything is known, and again some seconds after the last signal: a burst over idle
  /// servers passes.
  double start = 256;
  double most = 4096;    ///< bound
  double tolerance = 3;  ///< a latency above this multiple of the floor is a signal
  double cut = 0.8;      ///< what a signal leaves of the window at most...
  double deepest = 0.3;  ///< ...and at least, by how far the latency lies above the floor
  double signals = 3;    ///< signals, less half of the good ends, that make a cut
};

class Window final : public ConcurrencyLimit {
 public:
  explicit Window(const WindowParameters& rules) : rules_(rules), limit_(rules.start) {}

  bool has_capacity(Micros now, double weight, double part = 1) const override;
  void record_send(Micros now, double weight) override {
    relax(now);
    out_ += weight;
  }
  void record_end(Micros now, Micros sent_at, double weight, Evidence evidence, double latency,
                  double fine, double blame = 1) override;
  void cap_for_overload(Micros now, double most) override;
  void reset() override;

  double limit() const override { return limit_; }
  double in_flight() const override { return out_; }
  double latency_floor() const override { return floor_; }
  /// Mean of the latencies lately, those of lost attempts as lower bounds.
  double latency() const { return latency_; }

 private:
  void signal(Micros now, Micros sent_at, double severity, double flight, double gradient);
  void relax(Micros now);
  WindowParameters rules_;
  double limit_;
  double slow_start_ = 1e9;  // below it each good end adds one
  double out_ = 0;
  double floor_ = 0, latency_ = 0;
  double signals_ = 0;
  Micros floor_at_ = 0;
  Micros signal_at_ = 0, filled_at_ = 0, relaxed_at_ = 0;
  Micros cut_at_ = 0;  // what was sent before it has been answered for
  Micros paced_until_ = 0;
};

}  // namespace robinseam::limits
