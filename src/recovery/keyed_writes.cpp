#include "recovery/keyed_writes.hpp"

#include <algorithm>

namespace robinseam::recovery {

KeyedWrites::KeyedWrites(const std::vector<ClassSettings>& classes) {
  for (const ClassSettings& c : classes)
    if (c.effect == Effect::Keyed) keep_ = std::max(keep_, c.key_ttl + c.deadline);
}

void KeyedWrites::forget_oldest() {
  auto [noted, name] = order_.front();
  order_.pop_front();
  auto at = all_.find(name);
  if (at != all_.end() && at->second.recorded_at == noted) all_.erase(at);  // else it never ran
}

void KeyedWrites::expire(Micros now) {
  while (!order_.empty() && order_.front().first + keep_ <= now) forget_oldest();
}

KeyedWrites::FirstSend& KeyedWrites::note(Micros now, std::uint64_t name, bool& fresh) {
  expire(now);
  // By the order, which has those that never ran as well: it is bounded with the table.
  while (order_.size() >= kCapacity) {
    std::size_t before = all_.size();
    forget_oldest();
    evicted_ += before - all_.size();
  }
  auto [at, added] = all_.try_emplace(name);
  fresh = added;
  if (added) {
    at->second.recorded_at = now;
    order_.emplace_back(now, name);
  }
  return at->second;
}

void KeyedWrites::record_send(Micros now, std::uint64_t name, const Server& to) {
  bool fresh = false;
  FirstSend& first = note(now, name, fresh);
  if (!fresh) {
    ++first.possible_runs;
    return;
  }
  first.sent_at = now;
  first.zone = to.zone, first.cell = to.cell;
}

void KeyedWrites::record_not_run(std::uint64_t name) {
  auto at = all_.find(name);
  if (at != all_.end() && --at->second.possible_runs == 0) all_.erase(at);
}

void KeyedWrites::presume_sent(Micros now, std::uint64_t name, Micros deadline) {
  bool fresh = false;
  FirstSend& first = note(now, name, fresh);
  if (fresh) first.sent_at = now - deadline, first.presumed = true;
}

const KeyedWrites::FirstSend* KeyedWrites::first_send(std::uint64_t name) const {
  auto at = all_.find(name);
  return at == all_.end() ? nullptr : &at->second;
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
