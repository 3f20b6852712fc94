#include "recovery/keyed_writes.hpp"

#include <algorithm>

namespace robinseam::recovery {

KeyedWrites::KeyedWrites(const std::vector<ClassSettings>& classes) {
  for (const ClassSettings& c : classes)
    if (c.effect == Effect::Keyed) keep_for_ = std::max(keep_for_, c.key_ttl + c.deadline);
}

void KeyedWrites::evict_oldest() {
  auto [recorded_at, key_hash] = order_.front();
  order_.pop_front();
  auto at = writes_.find(key_hash);
  if (at != writes_.end() && at->second.recorded_at == recorded_at)
    writes_.erase(at);  // otherwise it never ran
}

void KeyedWrites::expire(Micros now) {
  while (!order_.empty() && order_.front().first + keep_for_ <= now) evict_oldest();
}

KeyedWrites::FirstSend& KeyedWrites::find_or_add(Micros now, std::uint64_t key_hash, bool& added) {
  expire(now);
  // Bounded by the order, which also has those that never ran, so that both stay bounded.
  while (order_.size() >= kCapacity) {
    std::size_t before = writes_.size();
    evict_oldest();
    evicted_ += before - writes_.size();
  }
  auto [at, inserted] = writes_.try_emplace(key_hash);
  added = inserted;
  if (inserted) {
    at->second.recorded_at = now;
    order_.emplace_back(now, key_hash);
  }
  return at->second;
}

void KeyedWrites::record_send(Micros now, std::uint64_t key_hash, const Server& to) {
  bool added = false;
  FirstSend& first = find_or_add(now, key_hash, added);
  if (!added) {
    ++first.possible_runs;
    return;
  }
  first.sent_at = now;
  first.zone = to.zone, first.cell = to.cell;
}

void KeyedWrites::record_not_run(std::uint64_t key_hash) {
  auto at = writes_.find(key_hash);
  if (at != writes_.end() && --at->second.possible_runs == 0) writes_.erase(at);
}

void KeyedWrites::presume_sent(Micros now, std::uint64_t key_hash, Micros deadline) {
  bool added = false;
  FirstSend& first = find_or_add(now, key_hash, added);
  if (added) first.sent_at = now - deadline, first.presumed = true;
}

const KeyedWrites::FirstSend* KeyedWrites::first_send(std::uint64_t key_hash) const {
  auto at = writes_.find(key_hash);
  return at == writes_.end() ? nullptr : &at->second;
}

bool KeyedWrites::is_deduplicated(const ClassSettings& type, const FirstSend& first, Micros until,
                                  const Server& to) {
  if (until >= first.sent_at + type.key_ttl) return false;
  switch (type.group) {
    case Group::All:
      return true;
    case Group::Zone:
      return !first.presumed && first.zone == to.zone;
    case Group::Cell:
      return !first.presumed && first.cell >= 0 && first.cell == to.cell;
  }
  return false;
}

}  // namespace robinseam::recovery
