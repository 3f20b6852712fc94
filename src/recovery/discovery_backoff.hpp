// When a router asks discovery for its list: at its start, again after a failure, and again beside
// a call that nothing is heard of. Pure: times and chances come in, spans go out.
//
// A router can't know how many came back with it, so every span assumes that the whole tier did:
// N routers ask within N calls' time. What it may lose by waiting differs: without a server to
// route to it refuses everything, with one it only acts on an older list.
#pragma once

#include "robinseam/balancer.hpp"

namespace robinseam::recovery {

class DiscoveryBackoff {
 public:
  DiscoveryBackoff(int routers, Micros ask_within) : routers_(routers), ask_within_(ask_within) {}

  /// Whether a server is held that may get something new.
  void set_usable(bool usable) { usable_ = usable; }
  bool usable() const { return usable_; }

  /// `chance` is uniform from 0 to 1 in all of these; the spans are what a timer has to wait.
  /// Until the first call.
  Micros first_delay(double chance) const;
  /// Until a call is made beside the one that begins now, should nothing be heard of it.
  Micros silent_call_delay(double chance);
  /// Until the next call after one that failed.
  Micros delay_after_failure(double chance);
  /// When a list may have come, where the next call begins in `span`: for those who are refused
  /// until then.
  Micros list_wait(Micros span, double chance) const;
  /// A list has come.
  void record_list() {
    failures_ = silent_ = 0;
    confirmed_ = true;
  }

  /// The server of that number can't be reached, and nobody has confirmed the held list: true once
  /// two servers say so, and the list should be asked for before its time.
  bool record_unreachable(int server);

 private:
  double tier_calls() const;

  int routers_;
  Micros ask_within_;
  bool usable_ = false;
  int failures_ = 0;        // in a row
  int silent_ = 0;          // calls in a row of which nothing was heard
  int doubted_ = -1;        // a server that was not reached
  bool confirmed_ = false;  // by discovery; or it is being asked whether it is
};

}  // namespace robinseam::recovery
