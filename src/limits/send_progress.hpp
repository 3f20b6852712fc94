// Whether the peer of a connection takes what was written to it. No I/O.
#pragma once

#include <cstddef>
#include <optional>

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

/// Measures progress by the bytes that the peer has not acknowledged. That a socket takes new bytes
/// tells less: a system may report so only once a good part of a send buffer of megabytes is free,
/// while a slow reader takes some of it all the time.
class SendProgress {
 public:
  /// From now on the peer is waited for, unless it was before. `unacknowledged`: bytes that were
  /// written to it and not acknowledged.
  void start(Micros now, std::size_t unacknowledged) {
    if (last_progress_at_) return;
    last_progress_at_ = now;
    unacknowledged_ = unacknowledged;
  }
  /// The peer is not waited for any more.
  void stop() { last_progress_at_.reset(); }
  bool waiting() const { return last_progress_at_.has_value(); }

  /// How long the peer has acknowledged nothing, as far as the calls show; 0 unless it is waited
  /// for. Call it often, beside the times it is compared with.
  Micros stalled_for(Micros now, std::size_t unacknowledged) {
    if (!last_progress_at_) return 0;
    if (unacknowledged < unacknowledged_) last_progress_at_ = now;
    unacknowledged_ = unacknowledged;
    return now - *last_progress_at_;
  }

 private:
  std::optional<Micros> last_progress_at_;  // set while the peer is waited for
  std::size_t unacknowledged_ = 0;
};

}  // namespace robinseam::limits
