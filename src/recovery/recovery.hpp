// Where a router is on its way back to full service, why, and since when. Pure: events with their
// time go in, a view comes out; it decides nothing about a single request.
#pragma once

#include <array>

#include "robinseam/balancer.hpp"

namespace robinseam::recovery {

enum class Phase {
  Starting,   ///< nothing has been looked at yet
  Listing,    ///< no server is known that may be used: everything is refused
  Returning,  ///< it serves, but from what it was handed, or not yet as it should
  Full,
};
const char* name_of(Phase phase);

/// What a budget that each router begins with is divided by: a router can't know how many came back
/// with it and presumes that all did, so the tier begins with what two routers would. What is
/// earned by requests is not part of it. 1 for one or two routers.
double initial_budget_share(int routers);

class Recovery {
 public:
  /// `fresh_for`: how long after discovery has last been heard of its list counts as of now.
  Recovery(int routers, Micros now, Micros fresh_for)
      : routers_(routers), since_(now), fresh_for_(fresh_for) {}

  /// The list that the process was handed at its start.
  void record_initial_list(Micros now, bool usable);
  /// Discovery has answered: something is usable or not by now.
  void record_list(Micros now, bool usable);
  /// A call on discovery has failed.
  void record_call_failure(Micros now);
  /// So many requests have ended since the last call, served or not.
  void record_requests(Micros now, int served, int unserved);
  /// The process stood still until `now`: what it holds is from before.
  void record_pause(Micros now);

  struct View {
    Phase phase = Phase::Starting;
    const char* reason = "";
    Micros since = 0;         ///< in that phase
    Micros list_age = -1;     ///< since discovery was last heard of; -1: never
    bool list_stale = false;  ///< the list may be older than it should be
  };
  View view(Micros now);

 private:
  /// Requests of the last one to two spans, by which service is judged.
  struct Span {
    Micros begun = 0;
    int served = 0, unserved = 0;
  };
  void enter(Micros now, Phase phase, const char* why);
  void look(Micros now);
  bool serves(Micros now) const;

  int routers_;
  Phase phase_ = Phase::Starting;
  const char* why_ = "started";
  Micros since_;
  Micros fresh_for_;
  Micros told_at_ = -1;
  bool usable_ = false, failing_ = false;
  std::array<Span, 2> spans_;
};

}  // namespace robinseam::recovery
