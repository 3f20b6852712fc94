#include "recovery/writes.hpp"

#include <algorithm>

namespace robinseam::recovery {

Writes::Writes(const std::vector<ClassSettings>& classes) {
  for (const ClassSettings& c : classes)
    if (c.effect == Effect::Keyed) keep_ = std::max(keep_, c.key_ttl + c.deadline);
}

void Writes::forget_oldest() {
  auto [noted, name] = order_.front();
  order_.pop_front();
  auto at = all_.find(name);
  if (at != all_.end() && at->second.noted == noted) all_.erase(at);  // else it never ran
}

void Writes::expire(Micros now) {
  while (!order_.empty() && order_.front().first + keep_ <= now) forget_oldest();
}

Writes::First& Writes::note(Micros now, std::uint64_t name, bool& fresh) {
  expire(now);
  // By the order, which has those that never ran as well: it is bounded with the table.
  while (order_.size() >= kMost) {
    std::size_t before = all_.size();
    forget_oldest();
    forgotten_ += before - all_.size();
  }
  auto [at, added] = all_.try_emplace(name);
  fresh = added;
  if (added) {
    at->second.noted = now;
    order_.emplace_back(now, name);
  }
  return at->second;
}

void Writes::sent(Micros now, std::uint64_t name, const Server& to) {
  bool fresh = false;
  First& first = note(now, name, fresh);
  if (!fresh) {
    ++first.maybe;
    return;
  }
  first.sent = now;
  first.zone = to.zone, first.cell = to.cell;
}

void Writes::never_ran(std::uint64_t name) {
  auto at = all_.find(name);
  if (at != all_.end() && --at->second.maybe == 0) all_.erase(at);
}

void Writes::presume(Micros now, std::uint64_t name, Micros deadline) {
  bool fresh = false;
  First& first = note(now, name, fresh);
  if (fresh) first.sent = now - deadline, first.presumed = true;
}

const Writes::First* Writes::first(std::uint64_t name) const {
  auto at = all_.find(name);
  return at == all_.end() ? nullptr : &at->second;
}

bool Writes::drops(const ClassSettings& type, const First& first, Micros until, const Server& to) {
  if (until >= first.sent + type.key_ttl) return false;
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
