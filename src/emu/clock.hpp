// Virtual time: a clock that stands still until the next event, and the events in their order.
#pragma once

#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "../io/clock.hpp"

namespace arrowfork::emu {

/// Single-threaded. Events due at the same time run in the order in which they were set, so a run
/// is the same for the same calls.
class VirtualTime final : public TimeSource {
 public:
  using Event = std::function<void()>;

  Micros now() const override { return now_; }
  void at(Micros when, Event event) {
    queue_.push({when < now_ ? now_ : when, order_++, std::move(event)});
  }
  void after(Micros span, Event event) { at(now_ + span, std::move(event)); }
  /// Runs what is due up to and including `end`, then stands there.
  void run_until(Micros end) {
    while (!queue_.empty() && queue_.top().when <= end) {
      Due due = std::move(const_cast<Due&>(queue_.top()));
      queue_.pop();
      now_ = due.when;
      due.event();
    }
    now_ = end;
  }

 private:
  struct Due {
    Micros when;
    std::uint64_t order;
    Event event;
    bool operator<(const Due& o) const { return when != o.when ? when > o.when : order > o.order; }
  };
  Micros now_ = 1'000'000 * kSecond;  // far from 0, which means "never" in many places
  std::uint64_t order_ = 0;
  std::priority_queue<Due> queue_;
};

}  // namespace arrowfork::emu
