// Interface of a limit on the attempts in flight at one place, as the decision module uses it.
// Service runs on Window; other published algorithms implement the same interface so that the
// simulator can compare them on the same scenarios (src/emu/rules.hpp).
#pragma once

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

/// What the end of an attempt tells about the load at the place it went to.
enum class Evidence {
  None,  ///< nothing: broken, malformed, abandoned by the client, or the server's own fault
  Good,  ///< served; its latency tells more
  Bad,   ///< rejected as full, failed by overload, or timed out while in flight
};

/// What admission knows of a request.
struct AdmissionRequest {
  std::uint64_t request_hash = 0;  ///< of class, tenant and key: the same for all of a client's
                                   ///< tries
  bool cached = false;             ///< some server likely holds the key
  bool popular = false;            ///< the key was requested often lately
  bool write = false;
  bool late = false;      ///< the client's first try came longer ago than the latency objective
  double value = 1;       ///< worth for its work, relative to the mean
  double over_share = 0;  ///< share of its tenant's traffic beyond the tenant's share, 0 to 1
  Micros remaining = 0;   ///< until the client abandons it
  Micros latency_objective = 0;
};

/// One instance for the origin and one for each server. Does no I/O; each call is given the time.
class ConcurrencyLimit {
 public:
  virtual ~ConcurrencyLimit() = default;

  /// Called only on the origin's instance, for every request and before any other check: whether
  /// the request is admitted at all. Windows leave that to has_capacity().
  virtual bool admits_request(Micros /*now*/, const AdmissionRequest& /*request*/) { return true; }
  /// Called only on the origin's instance, before record_end(), for the end of every attempt at any
  /// server, cache hits included.
  virtual void observe_end(Micros /*now*/, const AdmissionRequest& /*request*/,
                           Evidence /*evidence*/, Micros /*latency*/) {}

  /// Whether `weight` more may be sent. `share`: the share of the limit open to this attempt,
  /// usually 0 to 1.
  virtual bool has_capacity(Micros now, double weight, double share = 1) const = 0;
  virtual void record_send(Micros now, double weight) = 0;
  /// The attempt is no longer in flight. `latency` counts only with Good; it may be scaled by the
  /// request's cost. `tolerated`: latencies up to this one are never a congestion signal (0: none).
  /// `blame`: the share of a loss that is attributed to what is limited here, 0 to 1.
  virtual void record_end(Micros now, Micros sent_at, double weight, Evidence evidence,
                          double latency, double tolerated, double blame = 1) = 0;
  /// What is limited here is overloaded: caps the limit at `most` until good ends raise it again.
  virtual void cap_for_overload(Micros /*now*/, double /*most*/) {}
  /// Discards what was learnt, as when a new process replaces the server. Attempts in flight stay
  /// counted.
  virtual void reset() = 0;

  virtual double limit() const = 0;
  virtual double in_flight() const = 0;
  /// Estimated latency without queueing; 0: not known.
  virtual double latency_floor() const { return 0; }
};

}  // namespace robinseam::limits
