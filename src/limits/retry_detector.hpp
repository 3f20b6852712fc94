// Tells a client's further tries from first ones where the protocol does not mark them.
//
// A client that got no answer it can use asks for the same key, class and tenant again while its
// time lasts. So each request that ended unserved leaves a ticket with the time at which its first
// try came; the next request of that name within the class's deadline takes the newest ticket,
// since who asks again mostly does so at once (the oldest one names more fresh requests late:
// goodput at twice the capacity 5% lower).
//
// What it may get wrong: a stranger of the same tenant that asks for the same key may take a ticket
// before its owner does, who then counts as new: two are swapped, and never are more requests named
// repeats than ended unserved. A client that asks for another key, or after the deadline, counts as
// new. Where more end unserved within a deadline than there are places, the oldest tickets of a set
// are lost and their owners count as new.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

class RetryDetector {
 public:
  /// At a deadline of 1 s these are 8,192 refusals a second: more than a core refuses at a load
  /// that it can still answer. 16 bytes each.
  static constexpr std::size_t kWays = 4, kSets = 2048;

  /// A request of that name has ended unserved; its first try came at `first`.
  void record_unserved(std::uint64_t name, Micros first);
  /// When the first try of the request came that has come now: `now` where it is a first one
  /// itself. `span`: how long a client goes on asking.
  Micros take_first_try(Micros now, std::uint64_t name, Micros span);
  /// Tickets that may still be taken, for tests; `span` as in take_first_try().
  std::size_t pending(Micros now, Micros span) const;

 private:
  struct Ticket {
    std::uint64_t name = 0;
    Micros first = -1;  // -1: free
  };
  using Set = std::array<Ticket, kWays>;
  Set& set_of(std::uint64_t name) { return sets_[name % kSets]; }
  std::vector<Set> sets_;  // empty until something ends unserved
};

}  // namespace robinseam::limits
