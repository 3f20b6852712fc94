// What limits the attempts that are out at one place, as the decision module asks it. Service runs
// on Window; other rules of the field implement the same interface to be played on the same days
// (src/emu/rules.hpp).
#pragma once

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

/// What the end of an attempt says of the load where it went.
enum class Evidence {
  None,  ///< nothing: broken, spoilt, given up by the client, a server's own fault
  Good,  ///< served; its latency tells more
  Bad,   ///< turned away as full, failed by overload, or out of time while out
};

/// What admission looks at.
struct AdmissionRequest {
  std::uint64_t request_hash =
      0;                 ///< hash of class, tenant and key: what a client's tries have in common
  bool cached = false;   ///< some server likely holds the key
  bool popular = false;  ///< the key came often lately
  bool write = false;
  bool late = false;  ///< its client's first try came longer ago than an answer in time takes
  double value = 1;   ///< worth (for its work) as a part of what is usual
  double over_share =
      0;                 ///< part of its banner's traffic that is beyond the banner's share, 0 to 1
  Micros remaining = 0;  ///< until the client gives it up
  Micros objective = 0;  ///< an answer within it is in time
};

/// One at each place: one for the origin, one for each server. Free of I/O; each call has its time.
class ConcurrencyLimit {
 public:
  virtual ~ConcurrencyLimit() = default;

  /// At the origin's alone, for every request that comes, before anything else is asked: whether it
  /// is let in at all. Windows leave that to has_capacity().
  virtual bool admits_request(Micros /*now*/, const AdmissionRequest& /*ask*/) { return true; }
  /// At the origin's alone, for every attempt's end at any server, hits too, before record_end().
  virtual void observe_end(Micros /*now*/, const AdmissionRequest& /*ask*/, Evidence /*evidence*/,
                           Micros /*latency*/) {}

  /// Whether `weight` more may go out; `part` of the limit is open to this one, usually 0 to 1.
  virtual bool has_capacity(Micros now, double weight, double part = 1) const = 0;
  virtual void record_send(Micros now, double weight) = 0;
  /// The attempt is out no more. `latency` counts with Good; it may be scaled by the request's
  /// cost. `fine`: latencies up to this one are never a signal (0: none). `blame`: the part of a
  /// loss that tells of what is limited here, 0 to 1.
  virtual void record_end(Micros now, Micros sent_at, double weight, Evidence evidence,
                          double latency, double fine, double blame = 1) = 0;
  /// What is limited is jammed: no more than `most` from now on, until good ends tell better.
  virtual void cap_for_overload(Micros /*now*/, double /*most*/) {}
  /// Forgets what was learnt, as where another process has taken the place; what is out stays so.
  virtual void reset() = 0;

  virtual double limit() const = 0;
  virtual double in_flight() const = 0;
  /// What latency is without queueing, as far as known; 0: not known.
  virtual double latency_floor() const { return 0; }
};

}  // namespace robinseam::limits
