// Requests that frontends submit to the core and the replies to them, independent of the protocol.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "robinseam/balancer.hpp"
#include "value_pipe.hpp"

namespace arrowfork {

using robinseam::Micros;
using robinseam::RequestId;
using robinseam::Status;

/// One read or write of a key. Frontends validate what they parse.
struct Request {
  bool write = false;
  std::string key;
  std::string id;               ///< unique among all routers; if empty, the core makes one
  std::string class_name;       ///< the name of its class in the settings
  std::string tenant;           ///< may be empty
  std::string idempotency_key;  ///< of a write; if empty, a retry is unsafe whatever its class says
  bool deduplicated = false;    ///< set by the core: servers deduplicate by the key
  bool repeatable = false;      ///< set by the core: its class may run any number of times
  Micros time_left = 0;         ///< until the client's deadline; limited to that of the class
  std::optional<std::int64_t> work;          ///< microseconds on a standard core
  bool retry = false;                        ///< the client marked it as a retry
  std::shared_ptr<const std::string> value;  ///< of a write
  /// Flags and expiry of a value in the binary protocol; expiry 0: the value does not expire.
  std::uint32_t flags = 0, expiry = 0;
  bool wants_flags = false;  ///< of a read: the reply must include the flags
  /// The client's meta command line before and after the number of milliseconds to its deadline.
  /// Servers that speak meta get the line unchanged; empty if the client speaks another protocol.
  std::string line_before_deadline, line_after_deadline;
};

/// The result of an attempt.
struct AttemptResult {
  std::string value;                ///< of a successful read
  std::shared_ptr<ValuePipe> pipe;  ///< instead of `value` for a large value that is still arriving
  bool value_dropped = false;       ///< a successful read whose value found no room
  std::string receipt;              ///< of a successful write
  std::uint32_t flags = 0;
  Micros began_at = 0;   ///< when its first bytes arrived; 0: with its last ones
  int cache_result = 0;  ///< 1 hit, 2 miss, 3 miss with a fetch in flight, 0 unknown
  std::vector<double>
      report;  ///< load report, in the order of the settings' fields; NaN if missing
};

/// The one final answer of a request.
struct Reply {
  enum class Kind {
    Served,   ///< `value` or `receipt`
    Refused,  ///< has no effect, so a retry is safe, after `retry_after`
    Failed,   ///< may have had an effect
  };
  Kind kind = Kind::Failed;
  std::string value, receipt;
  std::shared_ptr<ValuePipe> pipe;  ///< instead of `value`
  std::uint32_t flags = 0;
  Micros retry_after = 0;  ///< 0: unknown
  Micros time_left = 0;    ///< until the request's deadline, when the reply is given
  /// Not served, and the last server asked does not have the key (cache-aside mode).
  bool cache_miss = false;
};

}  // namespace arrowfork
