// Tells a client's retries from first tries where the protocol does not mark them.
//
// A client that got no usable answer requests the same key, class and tenant again while its
// deadline lasts. So each request that ended unserved leaves an entry with the time of its first
// try; the next request of that hash within the class's deadline takes the newest entry, since most
// clients retry at once (taking the oldest one marks more new requests as late: goodput at twice
// the capacity was 5% lower).
//
// Known errors: another client of the same tenant that requests the same key may take an entry
// before its owner does, who then counts as new. The two are swapped; never are more requests
// counted as retries than ended unserved. A client that requests another key, or after the
// deadline, counts as new. Where more requests end unserved within a deadline than there are
// entries, the oldest entries of a set are lost and their owners count as new.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

class RetryDetector {
 public:
  /// A set-associative table. At a deadline of 1 s it holds 8,192 refusals a second: more than a
  /// core issues at a load that it can still serve. 16 bytes an entry.
  static constexpr std::size_t kWays = 4, kSets = 2048;

  /// A request has ended unserved; its first try came at `first_try`.
  void record_unserved(std::uint64_t request_hash, Micros first_try);
  /// When the first try of the request that has arrived now came: `now` where it is a first try
  /// itself. `span`: how long a client retries.
  Micros take_first_try(Micros now, std::uint64_t request_hash, Micros span);
  /// Entries that may still be taken, for tests; `span` as in take_first_try().
  std::size_t pending(Micros now, Micros span) const;

 private:
  struct Entry {
    std::uint64_t request_hash = 0;
    Micros first_try = -1;  // -1: free
  };
  using Set = std::array<Entry, kWays>;
  Set& set_of(std::uint64_t request_hash) { return sets_[request_hash % kSets]; }
  std::vector<Set> sets_;  // empty until something ends unserved
};

}  // namespace robinseam::limits
