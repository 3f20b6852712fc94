#include "retry_detector.hpp"

#include <algorithm>

namespace robinseam::limits {

void RetryDetector::record_unserved(std::uint64_t name, Micros first) {
  if (sets_.empty()) sets_.resize(kSets);
  Set& set = set_of(name);
  *std::min_element(set.begin(), set.end(), [](const Ticket& a, const Ticket& b) {
    return a.first < b.first;
  }) = {name, first};
}

Micros RetryDetector::take_first_try(Micros now, std::uint64_t name, Micros span) {
  if (sets_.empty()) return now;
  Ticket* newest = nullptr;
  for (Ticket& t : set_of(name)) {
    if (t.first < 0 || t.name != name) continue;
    if (now - t.first >= span)
      t.first = -1;
    else if (!newest || t.first > newest->first)
      newest = &t;
  }
  if (!newest) return now;
  Micros first = newest->first;
  newest->first = -1;
  return first;
}

std::size_t RetryDetector::pending(Micros now, Micros span) const {
  std::size_t count = 0;
  for (const Set& set : sets_)
    for (const Ticket& t : set) count += t.first >= 0 && now - t.first < span;
  return count;
}

}  // namespace robinseam::limits
