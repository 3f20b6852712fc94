// What may be out at once and what may be tried again: the decision module asks here before it
// sends, and decides. Deterministic: time and events come in, nothing else.
#pragma once

#include <array>
#include <memory>

#include "fault_attribution.hpp"
#include "retry_detector.hpp"
#include "robinseam/balancer.hpp"
#include "window.hpp"

namespace robinseam::limits {

/// Of one server's own queue: latencies go by the request's cost, refusals as full are signals.
inline constexpr WindowParameters kServerWindow{.least = 3, .start = 128};

/// Why a further attempt is wanted. Each cause has its own price in the one budget.
enum class RetryCause {
  Broken,  ///< the connection broke, the answer was spoilt, or the server alone is at fault
  NotRun,  ///< turned away as full: it cost no work
  Load,    ///< late or failed
};

class Limits {
 public:
  /// `maker`: rules in place of the windows; empty: windows.
  Limits(const Settings& settings, RuleMaker maker);
  /// The rule of one server.
  std::unique_ptr<ConcurrencyLimit> make_server_limit() const;

  /// Whether the request may go out now. Counts what it refuses.
  bool admits(Micros now, const AdmissionRequest& ask);
  /// What an attempt is likely to load the origin with, 0 to 1 fetches.
  double fetch_weight(const AdmissionRequest& ask) const;
  /// The same at a server that is not the key's own.
  double spill_weight(const AdmissionRequest& ask) const { return ask.write ? 1 : miss_share_[0]; }
  /// The part of a server's window that is open to it: what earns less leaves room for what earns
  /// more.
  double window_share(const AdmissionRequest& ask) const;
  /// Whether an attempt at a server that is not the key's own has room: what is left of the window
  /// is for keys that nobody holds.
  bool may_spill(Micros now, const AdmissionRequest& ask) const {
    return fetches_->has_capacity(now, spill_weight(ask), kSpillPart);
  }
  /// Whether a further attempt or copy of an admitted request has room.
  bool has_capacity(Micros now, double fetch_weight) const {
    return fetches_->has_capacity(now, fetch_weight);
  }

  void record_send(Micros now, double fetch_weight) { fetches_->record_send(now, fetch_weight); }
  /// At the server of that index. `note` as Outcome::note. `at_fault`: what single servers do and
  /// others don't, which tells nothing of the origin.
  void record_end(Micros now, Micros sent_at, std::size_t server, double fetch_weight,
                  Evidence evidence, bool at_fault, Micros latency, int note,
                  const AdmissionRequest& ask);
  /// Another server has taken the index.
  void forget_server(std::size_t server) { blame_.forget_server(server); }
  /// The part of fetches lately that was lost, over all servers.
  double fetch_loss_share() const { return fetches_lost_; }

  /// A first try has come: budgets grow.
  void earn_tokens();
  bool spend_retry(RetryCause cause);
  bool spend_hedge();
  /// Discovery has confirmed which servers there are.
  void confirm_list() { broken_tokens_ = 0; }
  /// It is settled that no others came back: what was held back for them at the begin is given.
  void release_withheld_budget();
  /// Requests are being refused now: what is spare goes to first tries.
  bool is_shedding(Micros now) const;
  /// How long a refused client should stay away; `chance` 0 to 1 spreads it.
  Micros retry_after(Micros now, double chance) const;

  RetryDetector& retry_detector() { return repeats_; }
  const ConcurrencyLimit& fetch_limit() const { return *fetches_; }
  /// Part refused lately, of keys to fetch (0) and of held ones (1).
  double shed_share(Micros now, bool held) const;

 private:
  static constexpr double kSpillPart = 0.5;
  struct Turned {
    double share = 0;
    Micros at = 0;
  };
  void note_turned(Micros now, bool held, bool refused);

  RuleMaker maker_;
  std::unique_ptr<ConcurrencyLimit> fetches_;
  FaultAttribution blame_;
  RetryDetector repeats_;
  std::array<double, 2> miss_share_;  // of attempts for keys to fetch, and for those held
  std::array<Turned, 2> turned_;
  double fetches_lost_ = 0;
  int lost_run_ = 0;    // fetches lost in a row
  Micros lost_at_ = 0;  // the last of them, and where
  std::size_t lost_server_ = 0;
  double jam_;  // this router's part of what goes into a jammed origin
  Micros refused_at_ = -1;
  Micros fetch_ended_at_ = 0;
  double retry_tokens_, broken_tokens_, copy_tokens_;
  double held_part_;  // of what one alone begins with
  Micros max_wait_;
};

}  // namespace robinseam::limits
