// What may be out at once and what may be tried again: the decision module asks here before it
// sends, and decides. Deterministic: time and events come in, nothing else.
#pragma once

#include <array>
#include <memory>

#include "blame.hpp"
#include "repeats.hpp"
#include "robinseam/balancer.hpp"
#include "window.hpp"

namespace robinseam::limits {

/// Of one server's own queue: latencies go by the request's cost, refusals as full are signals.
inline constexpr WindowRules kServerRules{.least = 3, .start = 128};

/// Why a further attempt is wanted. Each cause has its own price in the one budget.
enum class Cause {
  Broken,  ///< the connection broke, the answer was spoilt, or the server alone is at fault
  Unseen,  ///< turned away as full: it cost no work
  Load,    ///< late or failed
};

class Limits {
 public:
  /// `maker`: rules in place of the windows; empty: windows.
  Limits(const Settings& settings, LimitFactory maker);
  /// The rule of one server.
  std::unique_ptr<Rule> server_rule() const;

  /// Whether the request may go out now. Counts what it refuses.
  bool admits(Micros now, const Ask& ask);
  /// What an attempt is likely to load the origin with, 0 to 1 fetches.
  double fetch_weight(const Ask& ask) const;
  /// The same at a server that is not the key's own.
  double spill_weight(const Ask& ask) const { return ask.write ? 1 : miss_share_[0]; }
  /// The part of a server's window that is open to it: what earns less leaves room for what earns
  /// more.
  double part(const Ask& ask) const;
  /// Whether an attempt at a server that is not the key's own has room: what is left of the window
  /// is for keys that nobody holds.
  bool may_spill(Micros now, const Ask& ask) const {
    return fetches_->has_room(now, spill_weight(ask), kSpillPart);
  }
  /// Whether a further attempt or copy of an admitted request has room.
  bool has_room(Micros now, double fetch_weight) const {
    return fetches_->has_room(now, fetch_weight);
  }

  void sent(Micros now, double fetch_weight) { fetches_->sent(now, fetch_weight); }
  /// At the server of that index. `note` as Outcome::note. `at_fault`: what single servers do and
  /// others don't, which tells nothing of the origin.
  void ended(Micros now, Micros sent_at, std::size_t server, double fetch_weight, Evidence evidence,
             bool at_fault, Micros latency, int note, const Ask& ask);
  /// Another server has taken the index.
  void forget(std::size_t server) { blame_.forget(server); }
  /// The part of fetches lately that was lost, over all servers.
  double fetches_lost() const { return fetches_lost_; }

  /// A first try has come: budgets grow.
  void earn();
  bool spend(Cause cause);
  bool spend_copy();
  /// Discovery has confirmed which servers there are.
  void list_told() { broken_tokens_ = 0; }
  /// It is settled that no others came back: what was held back for them at the begin is given.
  void came_alone();
  /// Requests are being refused now: what is spare goes to first tries.
  bool pressed(Micros now) const;
  /// How long a refused client should stay away; `chance` 0 to 1 spreads it.
  Micros come_back(Micros now, double chance) const;

  Repeats& repeats() { return repeats_; }
  const Rule& fetches() const { return *fetches_; }
  /// Part refused lately, of keys to fetch (0) and of held ones (1).
  double refused(Micros now, bool held) const;

 private:
  static constexpr double kSpillPart = 0.5;
  struct Turned {
    double share = 0;
    Micros at = 0;
  };
  void note_turned(Micros now, bool held, bool refused);

  LimitFactory maker_;
  std::unique_ptr<Rule> fetches_;
  Blame blame_;
  Repeats repeats_;
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
