// Decides when discovery is called, so that the router learns of a change before it must act on it,
// whatever happens to single calls. Pure: events with their time and random numbers come in, calls
// to make go out.
//
// The time budget (docs/design/membership.md): the router counts as notified of a change 6 s after
// discovery had it and could be reached, whatever calls were refused, reset or timed out; of a
// change that a silent call misses, 6 s after the call fell silent, or 2 s after the end of its
// wait if that is later. A router only sees that nothing arrives, so each unanswered call has a
// deadline, counted from its start, by which another call must have been answered. Any answer
// clears the deadlines of all calls that began before it. All times here are counted backwards from
// the nearest deadline; once that has passed, discovery may be back at any moment, and pauses stay
// short enough to keep the next deadline.
#pragma once

#include <array>
#include <optional>

#include "robinseam/balancer.hpp"

namespace robinseam::membership {

/// Why a call ended without a list that was accepted.
enum class CallFailure {
  Refused,    ///< rejected by discovery, reset or unreachable
  Malformed,  ///< the answer broke off or can't be parsed
  Unusable,   ///< the answer is complete but the list was rejected; a better one is likely soon
  TimedOut    ///< no answer
};
const char* name_of(CallFailure fault);

/// Why the router may count as notified of a change that it does not know.
enum class DeadlineReason {
  None,
  InheritedList,   ///< the list taken over at the start may be old
  SilentCall,      ///< a call that is in flight or timed out may have missed a change
  FailedCall,      ///< a call was refused, reset or unreachable
  RejectedAnswer,  ///< an answer broke off or its list was rejected
  AddressChanged,  ///< the new address of discovery has not answered yet
};
const char* name_of(DeadlineReason reason);

class CallSchedule {
 public:
  static constexpr int kSlots = 3;  ///< calls in flight at the same time
  static constexpr Micros kNever = -1;

  static constexpr Micros kDefaultGrace = 500'000;

  /// `routers`: in the tier, 1 or more. `pushed`: the other side is an agent on the router's own
  /// machine, whose calls cost nothing and which may fall silent at any time. `grace`: how long
  /// after the notification of a drain a router may still send to the server.
  CallSchedule(int routers, bool pushed, Micros grace = kDefaultGrace)
      : routers_(routers), pushed_(pushed), grace_(grace) {}

  /// A call to make now in `slot`; a call in flight there is dropped. `wait`: how long discovery
  /// may wait for a change; 0: it answers at once.
  struct Call {
    int slot = 0;
    Micros wait = 0;
  };
  static constexpr Micros kMaxWait = 56'000'000;
  /// Starts, or starts again, with a call that is answered at once. Nothing: it is too soon after
  /// an answer, and the call is planned. `chance` is uniform in [0, 1) for all methods here.
  [[nodiscard]] std::optional<Call> begin(Micros now, double chance);
  /// The current list is from before the start: changes since then must be known within 6 s.
  void add_inherited_list(Micros now);
  /// Discovery has another address: calls in flight at the former one no longer belong to this
  /// schedule, and the new address must have answered within `within`. Earlier deadlines stay.
  void change_address(Micros now, Micros within);
  /// Calls in flight may bring an older list than the current one: they are no longer awaited.
  /// Their deadlines stay.
  void abandon_calls();
  /// A list has been accepted, with changes (`has_changes`) or without. Calls that began before the
  /// one in that slot are no longer awaited.
  void on_answer(Micros now, int slot, bool has_changes, double chance);
  /// An answer has arrived, to any call: the next call must be a new watch, not a continued one.
  void require_new_watch(Micros now, double chance);
  /// True if no other call is in flight. The next call is planned here; a caller with no list to
  /// use may begin() sooner.
  bool on_failure(Micros now, int slot, CallFailure failure, double chance);
  /// Drops all calls and plans no more.
  void stop();

  /// When advance() has to be called; kNever: nothing is planned.
  Micros next() const { return next_; }
  std::optional<Call> advance(Micros now, double chance);

  bool in_flight(int slot) const { return calls_[static_cast<std::size_t>(slot)].in_flight; }
  /// When another call must have been answered; kNever: no deadline.
  Micros deadline() const { return deadline_; }
  DeadlineReason deadline_reason() const { return deadline_reason_; }
  /// The router may count as notified of a change that it does not know: its list may be too old.
  bool overdue(Micros now) const { return deadline_ != kNever && now > deadline_; }

 private:
  struct SlotCall {
    bool in_flight = false;
    Micros wait = 0;
    Micros started = 0;
  };
  enum class Kind {
    Poll,        ///< answered at once
    FirstWatch,  ///< after a gap between watches: a short one
    Watch,
  };
  Call make(Micros now, Kind kind, double chance);
  Micros wait_of(Kind kind, double chance) const;
  /// How long to wait for a call before another one is made beside it.
  Micros watch_timeout(Micros wait, double chance) const;
  Micros queued_poll_timeout(Micros now, double chance) const;
  Micros poll_timeout(Micros now, std::size_t slot, double chance) const;
  std::size_t free_slot(Micros now) const;
  void add_deadline(Micros deadline, DeadlineReason reason);
  void clear_deadlines();
  /// For the calls in flight.
  void add_deadlines_of_calls();
  /// The deadline that calls are made sooner for; kNever: none. Past its deadline a router may be
  /// one of many that an overloaded discovery rejects, but a new address has its own deadline.
  Micros urgent_deadline(Micros now) const;
  /// Time between calls to an agent that is silent or refuses.
  Micros agent_period() const;
  /// Wait of a watch at an agent.
  Micros agent_wait() const;
  void scale_waits(double by);
  void drop_started_before(Micros started);
  /// Time until the next call after one that failed.
  Micros retry_pause(Micros now, bool queued, double chance);
  /// The same after a call that was refused because it had waited too long in discovery's queue.
  Micros queue_pause(double chance);
  /// Time that discovery takes to answer one call of every router.
  double tier_call_time() const;

  int routers_;
  bool pushed_;
  Micros grace_;
  std::array<SlotCall, kSlots> calls_{};
  Micros next_ = kNever;
  Micros deadline_ = kNever;  // the earliest; a later one does not replace it
  DeadlineReason deadline_reason_ = DeadlineReason::None;
  Micros address_deadline_ = kNever;  // of a new address
  Micros answered_at_ = kNever;
  Micros not_before_ = 0;        // no call starts earlier
  Kind next_kind_ = Kind::Poll;  // kind of the call at next_
  int failures_ = 0;             // in a row
  int queued_ = 0;               // calls refused after waiting, since the last answer
  int unusable_ = 0;             // the last failures that were Unusable, in a row
  double wait_factor_ = 1;       // 1 to 2
  bool may_queue_ = true;        // calls may wait in discovery's queue, until one shows otherwise
};

}  // namespace robinseam::membership
