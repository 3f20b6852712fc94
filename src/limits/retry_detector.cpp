#include "retry_detector.hpp"

#include <algorithm>

namespace robinseam::limits {

void RetryDetector::record_unserved(std::uint64_t request_hash, Micros first_try) {
  if (sets_.empty()) sets_.resize(kSets);
  Set& set = set_of(request_hash);
  *std::min_element(set.begin(), set.end(), [](const Entry& a, const Entry& b) {
    return a.first_try < b.first_try;
  }) = {request_hash, first_try};
}

Micros RetryDetector::take_first_try(Micros now, std::uint64_t request_hash, Micros span) {
  if (sets_.empty()) return now;
  Entry* newest = nullptr;
  for (Entry& t : set_of(request_hash)) {
    if (t.first_try < 0 || t.request_hash != request_hash) continue;
    if (now - t.first_try >= span)
      t.first_try = -1;
    else if (!newest || t.first_try > newest->first_try)
      newest = &t;
  }
  if (!newest) return now;
  Micros first_try = newest->first_try;
  newest->first_try = -1;
  return first_try;
}

std::size_t RetryDetector::pending(Micros now, Micros span) const {
  std::size_t count = 0;
  for (const Set& set : sets_)
    for (const Entry& t : set) count += t.first_try >= 0 && now - t.first_try < span;
  return count;
}

}  // namespace robinseam::limits
