// What a front asks of the core and what it gets back, whatever protocol either side speaks.
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

/// One read or write of a key. Fronts check that what they take from bytes is well formed.
struct Request {
  bool write = false;
  std::string key;
  std::string id;          ///< unique over all routers; empty: the core makes one
  std::string class_name;  ///< the name of its class in the settings
  std::string tenant;      ///< may be empty
  std::string
      idempotency_key;        ///< of a write; empty: repeating it is unsafe whatever its class says
  bool deduplicated = false;  ///< the core's: servers drop repeats of it by that key
  Micros time_left = 0;       ///< until the client gives up; held to the class's deadline
  std::optional<std::int64_t> work;          ///< microseconds on a standard core
  bool retry = false;                        ///< the client marked it as its own retry
  std::shared_ptr<const std::string> value;  ///< of a write
  /// What the binary protocol's clients keep beside a value, and how long it lives (0: for good).
  std::uint32_t flags = 0, expiry = 0;
  bool wants_flags = false;  ///< of a read: the reply must tell them
  /// The meta line as its client wrote it, around the figure of its wait. A back that speaks meta
  /// sends it on unchanged; empty where the front speaks something else.
  std::string line_before_deadline, line_after_deadline;
};

/// What an attempt brought back.
struct AttemptResult {
  std::string value;                ///< of a read that was served
  std::shared_ptr<ValuePipe> pipe;  ///< in its place where the value is large and still comes
  std::string receipt;              ///< of a write that was served
  std::uint32_t flags = 0;
  int cache_result = 0;        ///< 1 hit, 2 miss, 3 miss while another fetch is out, 0 not told
  std::vector<double> report;  ///< in the order of the settings' fields; NaN where not told
};

/// The one final answer of a request.
struct Reply {
  enum class Kind {
    Served,   ///< `value` or `receipt`
    Refused,  ///< trying again is harmless, after `retry_after`
    Failed,   ///< promises nothing
  };
  Kind kind = Kind::Failed;
  std::string value, receipt;
  std::shared_ptr<ValuePipe> pipe;  ///< in place of `value`
  std::uint32_t flags = 0;
  Micros retry_after = 0;  ///< 0 = not told
  /// Not served, and the last server asked holds nothing (aside mode).
  bool cache_miss = false;
};

}  // namespace arrowfork
