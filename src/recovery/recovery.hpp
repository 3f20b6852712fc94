// The phase a router has reached on its way back to full service after a start or a pause, with the
// reason and the time. Pure: events with their time go in, a view comes out. It makes no decision
// about single requests.
#pragma once

#include <array>

#include "robinseam/balancer.hpp"

namespace robinseam::recovery {

enum class Phase {
  Starting,   ///< nothing has been evaluated yet
  Listing,    ///< no usable server is known: everything is refused
  Returning,  ///< serves, but from an inherited list or not yet as well as it should
  Full,
};
const char* name_of(Phase phase);

/// The factor on the budget that each router starts with: a router cannot know how many restarted
/// with it and presumes that all did, so the tier starts with the budget of two routers. What
/// requests earn is not scaled. 1 for one or two routers.
double initial_budget_share(int routers);

class Recovery {
 public:
  /// `fresh_for`: how long the list counts as up to date after discovery last confirmed it.
  Recovery(int routers, Micros now, Micros fresh_for)
      : routers_(routers), since_(now), fresh_for_(fresh_for) {}

  /// The list that the process inherited at its start; `usable`: whether it names a usable server.
  void record_initial_list(Micros now, bool usable);
  /// Discovery has answered; `usable` as above.
  void record_list(Micros now, bool usable);
  /// A call to discovery has failed.
  void record_call_failure(Micros now);
  /// So many requests have ended since the last time this was called, served or not.
  void record_requests(Micros now, int served, int unserved);
  /// The process was paused until `now`: its state is from before the pause.
  void record_pause(Micros now);

  struct View {
    Phase phase = Phase::Starting;
    const char* reason = "";
    Micros since = 0;         ///< when that phase began
    Micros list_age = -1;     ///< since discovery last confirmed the list; -1: never
    bool list_stale = false;  ///< the list may be out of date
  };
  View view(Micros now);

 private:
  /// Requests that ended in one span; the last two spans are the basis for judging service.
  struct Span {
    Micros started_at = 0;
    int served = 0, unserved = 0;
  };
  void enter(Micros now, Phase phase, const char* reason);
  void update_phase(Micros now);
  bool serves_well(Micros now) const;

  int routers_;
  Phase phase_ = Phase::Starting;
  const char* reason_ = "started";
  Micros since_;
  Micros fresh_for_;
  Micros list_confirmed_at_ = -1;
  bool usable_ = false, calls_failing_ = false;
  std::array<Span, 2> spans_;
};

}  // namespace robinseam::recovery
