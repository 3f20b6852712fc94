// When discovery is called so that what it has to tell is known before it counts as told, whatever
// becomes of single calls. Pure: events with their time and chances come in, calls to make go out.
//
// The one budget (docs/design/membership.md): a change counts as told 6 s after discovery had it
// and could be reached, whatever calls were refused, reset or given up; what a call that falls
// silent misses counts 6 s after it fell silent, or 2 s after the wait that it was given, if that
// is later. A router sees only that nothing comes, so from the beginning of each call that is not
// answered there is a moment, its deadline, by which another call must have been answered. Any
// answer settles all dues of calls that began before it. Everything here is counted backwards from
// the nearest deadline; once it has passed, discovery may be back at any moment, and pauses stay so
// short that the next deadline is kept.
#pragma once

#include <array>
#include <optional>

#include "robinseam/balancer.hpp"

namespace robinseam::membership {

/// How a call ended that brought no list that counts.
enum class CallFailure {
  Refused,    ///< turned away, reset or unreachable: discovery lives or nobody is there
  Malformed,  ///< an answer that broke off or can't be read
  Unusable,   ///< a whole answer that can be read and may not change the list: a better one is near
  TimedOut    ///< given up: nothing was heard
};
const char* name_of(CallFailure fault);

/// Why something may count as told that has not been heard.
enum class DeadlineReason {
  None,
  InheritedList,   ///< the list that was handed over may be old
  SilentCall,      ///< a call that is out, or was given up, may have missed a change
  FailedCall,      ///< a call was refused, reset or unreachable
  RejectedAnswer,  ///< an answer broke off or may not change the list
  AddressChanged,  ///< another address of discovery has not answered yet
};
const char* name_of(DeadlineReason reason);

class CallSchedule {
 public:
  static constexpr int kSlots = 3;  ///< calls out at once
  static constexpr Micros kNever = -1;

  static constexpr Micros kDefaultGrace = 500'000;

  /// `routers`: of the tier, 1 or more. `pushed`: the other side is an agent on the router's own
  /// machine, whose calls cost nothing and which may be silent at any time. `grace`: so long after
  /// it is told of a drain a router may still send to the server.
  CallSchedule(int routers, bool pushed, Micros grace = kDefaultGrace)
      : routers_(routers), pushed_(pushed), grace_(grace) {}

  /// A call to make now: in that slot, where what is out is dropped. `wait`: for news; 0: it is to
  /// be answered at once.
  struct Call {
    int slot = 0;
    Micros wait = 0;
  };
  static constexpr Micros kMaxWait = 56'000'000;
  /// Begins, or begins anew, with a call that is answered at once. Nothing: it is too soon behind
  /// an answer, and the call is planned. `chance` is uniform from 0 to 1 in all of these.
  [[nodiscard]] std::optional<Call> begin(Micros now, double chance);
  /// A list is held that is from before: what has changed since counts within 6 s.
  void add_inherited_list(Micros now);
  /// Another discovery: calls out at the one before are no more this machine's, and what the new
  /// one has to tell counts as told within `within`. Deadlines from before stay.
  void change_address(Micros now, Micros within);
  /// What is out may bring an older list than is held by now: nothing of it is waited for. Its
  /// deadlines stay.
  void abandon_calls();
  /// A list that counts has come, with changes or without. Calls that began before the one in that
  /// slot are out no more.
  void on_answer(Micros now, int slot, bool news, double chance);
  /// An answer has come, to whatever call: the next one must begin a watch of its own.
  void require_new_watch(Micros now, double chance);
  /// True where nobody else is out. The machine makes the next call itself; with nothing to lose by
  /// it a caller may begin() sooner.
  bool on_failure(Micros now, int slot, CallFailure fault, double chance);
  /// No call is out and none will be made.
  void stop();

  /// When advance() has to be called; kNever: there is nothing to wait for.
  Micros next() const { return next_; }
  std::optional<Call> advance(Micros now, double chance);

  bool in_flight(int slot) const { return calls_[static_cast<std::size_t>(slot)].out; }
  /// By when another call must have been answered; kNever: there is none.
  Micros deadline() const { return deadline_; }
  DeadlineReason deadline_reason() const { return deadline_reason_; }
  /// Something may count as told that has not been heard: the held list may be too old.
  bool overdue(Micros now) const { return deadline_ != kNever && now > deadline_; }

 private:
  struct One {
    bool out = false;
    Micros wait = 0;
    Micros begun = 0;
  };
  enum class Kind {
    Poll,        ///< is answered at once
    FirstWatch,  ///< behind a gap: a short one
    Watch,
  };
  Call make(Micros now, Kind kind, double chance);
  Micros wait_of(Kind kind, double chance) const;
  /// Until another call is made beside one of which nothing has come.
  Micros watch_patience(Micros wait, double chance) const;
  Micros line_patience(Micros now, double chance) const;
  Micros poll_patience(Micros now, std::size_t slot, double chance) const;
  std::size_t free_slot(Micros now) const;
  void add_deadline(Micros deadline, DeadlineReason reason);
  void clear_deadlines();
  /// Those of the calls that are out.
  void add_deadlines_of_calls();
  /// What calls are hurried for; kNever: nothing. Past its deadline a router may be one of many
  /// whom a discovery with too many callers turns away, but another address has its own time.
  Micros hurry(Micros now) const;
  /// Between calls on an agent that is silent or refuses.
  Micros agent_period() const;
  /// Of a watch there.
  Micros agent_wait() const;
  void stretch(double by);
  void drop_before(Micros begun);
  /// Until the next call after one that failed.
  Micros pause(Micros now, bool queued, double chance);
  /// The same after a call that was refused for having waited too long.
  Micros queue_pause(double chance);
  double tier_calls() const;

  int routers_;
  bool pushed_;
  Micros grace_;
  std::array<One, kSlots> calls_{};
  Micros next_ = kNever;
  Micros deadline_ = kNever;  // the earliest; a later one does not replace it
  DeadlineReason deadline_reason_ = DeadlineReason::None;
  Micros moved_deadline_ = kNever;  // of another address
  Micros answered_at_ = kNever;
  Micros not_before_ = 0;        // no call begins before
  Kind next_kind_ = Kind::Poll;  // what next_ begins
  int failures_ = 0;             // in a row
  int queued_ = 0;               // refused after they had waited, since the last answer
  int unusable_ = 0;             // of them the last ones, in a row
  double stretch_ = 1;           // of waits, 1 to 2
  bool line_ = true;             // calls may wait in line: until one shows that they do not
};

}  // namespace robinseam::membership
