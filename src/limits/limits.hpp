// Admission and retry budgets: how many attempts may be in flight at once, and which may be
// retried. The decision module consults it before it sends, and decides. Deterministic: its only
// inputs are times and events.
#pragma once

#include <array>
#include <memory>

#include "fault_attribution.hpp"
#include "retry_detector.hpp"
#include "robinseam/balancer.hpp"
#include "window.hpp"

namespace robinseam::limits {

/// Window of one server's own queue: latencies are scaled by the request's cost, and rejections as
/// full are congestion signals.
inline constexpr WindowParameters kServerWindow{.least = 3, .start = 128};

/// Why a retry is wanted. Each cause has its own price in the shared budget.
enum class RetryCause {
  Broken,  ///< connection broken, answer malformed, or only this server at fault
  NotRun,  ///< rejected as full, or never sent: it cost no work
  Load,    ///< late or failed
};

class Limits {
 public:
  /// `factory`: makes the concurrency limits; empty: windows.
  Limits(const Settings& settings, LimitFactory factory);
  /// The concurrency limit of one server.
  std::unique_ptr<ConcurrencyLimit> make_server_limit() const;

  /// Whether the request may be sent now. Counts refusals.
  bool admits(Micros now, const AdmissionRequest& request);
  /// Expected load of an attempt on the origin, 0 to 1 fetches.
  double fetch_weight(const AdmissionRequest& request) const;
  /// The same at a server that is not the key's home server.
  double spill_weight(const AdmissionRequest& request) const {
    return request.write ? 1 : miss_share_[0];
  }
  /// The share of a server's window that is open to the request: what earns less leaves capacity
  /// for what earns more.
  double window_share(const AdmissionRequest& request) const;
  /// Whether there is capacity for an attempt at a server that is not the key's home server. It may
  /// use only a share of the window; the rest is for keys that no server holds.
  bool may_spill(Micros now, const AdmissionRequest& request) const {
    return fetch_limit_->has_capacity(now, spill_weight(request), kSpillShare);
  }
  /// Whether there is capacity for a retry or hedge of an admitted request.
  bool has_capacity(Micros now, double fetch_weight) const {
    return fetch_limit_->has_capacity(now, fetch_weight);
  }

  void record_send(Micros now, double fetch_weight) {
    fetch_limit_->record_send(now, fetch_weight);
  }
  /// An attempt at the server of that index has ended. `cache_result` as in Outcome. `at_fault`:
  /// the failure is of this server alone and tells nothing about the origin.
  void record_end(Micros now, Micros sent_at, std::size_t server, double fetch_weight,
                  Evidence evidence, bool at_fault, Micros latency, int cache_result,
                  const AdmissionRequest& request);
  /// The index has been reassigned to another server.
  void forget_server(std::size_t server) { attribution_.forget_server(server); }
  /// The share of recent fetches that were lost, over all servers.
  double fetch_loss_share() const { return fetch_loss_share_; }

  /// A first try has arrived: the retry and hedge budgets grow.
  void earn_tokens();
  bool spend_retry(RetryCause cause);
  bool spend_hedge();
  /// Discovery has confirmed which servers there are.
  void confirm_list() { broken_tokens_ = 0; }
  /// The router has restarted alone: adds the part of the initial budgets that was withheld for
  /// others restarting with it.
  void release_withheld_budget();
  /// Requests are being shed now, so spare capacity should go to first tries.
  bool is_shedding(Micros now) const;
  /// How long a refused client should wait before it retries; `chance`, 0 to 1, spreads it.
  Micros retry_after(Micros now, double chance) const;

  RetryDetector& retry_detector() { return retry_detector_; }
  const ConcurrencyLimit& fetch_limit() const { return *fetch_limit_; }
  /// Share of recent requests that were shed, of uncached (false) or cached (true) keys.
  double shed_share(Micros now, bool cached) const;

 private:
  static constexpr double kSpillShare = 0.5;
  struct ShedRate {
    double share = 0;
    Micros updated_at = 0;
  };
  void record_admission(Micros now, bool cached, bool shed);

  LimitFactory factory_;
  std::unique_ptr<ConcurrencyLimit> fetch_limit_;
  FaultAttribution attribution_;
  RetryDetector retry_detector_;
  std::array<double, 2> miss_share_;  // of attempts for uncached [0] and cached [1] keys
  std::array<ShedRate, 2> shed_;      // of uncached [0] and cached [1] keys
  double fetch_loss_share_ = 0;
  int consecutive_losses_ = 0;  // fetches lost in a row
  Micros last_loss_at_ = 0;
  std::size_t last_loss_server_ = 0;
  double overload_cap_;  // this router's share of the fetches sent to an overloaded origin
  Micros last_shed_at_ = -1;
  Micros last_fetch_end_at_ = 0;
  double retry_tokens_, broken_tokens_, hedge_tokens_;
  double withheld_share_;  // of the initial budget of a router that restarts alone
  Micros max_retry_after_;
};

}  // namespace robinseam::limits
