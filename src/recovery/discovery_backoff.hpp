// When a router calls discovery for its list: at its start, again after a failure, and a second
// time beside a call that stays silent. Pure: chances come in, delays go out.
//
// A router cannot know how many others restarted with it, so every delay assumes that the whole
// tier did: N routers call within N calls' time. What a longer delay costs differs: without a
// server to route to the router refuses everything, with one it only acts on an older list.
#pragma once

#include "robinseam/balancer.hpp"

namespace robinseam::recovery {

class DiscoveryBackoff {
 public:
  DiscoveryBackoff(int routers, Micros ask_within) : routers_(routers), ask_within_(ask_within) {}

  /// Whether the current list has a server that may get new requests.
  void set_usable(bool usable) { usable_ = usable; }
  bool usable() const { return usable_; }

  /// In all of these `chance` is uniform from 0 to 1 and the result is a delay for a timer.
  /// Until the first call.
  Micros first_delay(double chance) const;
  /// Until a second call is made beside the one that starts now, should that one stay silent.
  Micros silent_call_delay(double chance);
  /// Until the next call after one that failed.
  Micros delay_after_failure(double chance);
  /// How long until a list may have come, where the next call starts in `span`: what clients that
  /// are refused until then should wait.
  Micros list_wait(Micros span, double chance) const;
  /// Discovery has answered with a list.
  void record_list() {
    failures_ = silent_calls_ = 0;
    confirmed_ = true;
  }

  /// A server could not be reached. True once: when a second server is unreachable while discovery
  /// has not confirmed the list, so that the list should be requested early.
  bool record_unreachable(int server);

 private:
  double tier_call_time() const;

  int routers_;
  Micros ask_within_;
  bool usable_ = false;
  int failures_ = 0;             // in a row
  int silent_calls_ = 0;         // calls in a row without any answer
  int unreachable_server_ = -1;  // the first one that was not reached
  bool confirmed_ = false;       // by discovery, or discovery is being called to confirm it
};

}  // namespace robinseam::recovery
