// The account of a run: what the stand-ins saw, on one clock. Every judgement is by it alone; no
// process is believed about itself.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "../io/clock.hpp"

namespace arrowfork::tier {

struct Event {
  enum class What : std::uint8_t {
    Asked,   ///< a try goes to `router`: its id, value its job, further its patience, flag: a write
    Served,  ///< ends of the try `id`
    Refused,
    Failed,
    Lost,
    Unreached,
    Wrong,
    Done,     ///< the job `id` is over; flag: it was served
    Dialled,  ///< `cache` got a connection
    Begun,    ///< the try `id` has come to `cache`, whole
    Doubled,  ///< a write ran a second time, at `cache`
    Fetched,  ///< value: fetches that the origin has done since the last
    Called,   ///< `router` called discovery
    Told,     ///< and was told the list of version `value`; 0: the call failed
    Muted,    ///< its watch fell silent: what that misses counts as told at `value`
    Moved,    ///< `router` got SIGHUP with another address of discovery
    Reach,    ///< discovery can be reached by `router` (-1: by any) from now on, or can't: flag
    Listed,   ///< the list changed: `cache`, value its version, further a state, flag: it is cold
    Started,  ///< a process of `router`, value its number
    Ready,    ///< it answers MN
    Killed,
    Stopped,
    Continued,
    Ended,   ///< value: as waitpid() gave it; flag: it was meant to end
    Marked,  ///< the label `value`
  };
  /// Of Listed.
  enum State : std::int64_t { Active, Leaving, Gone };
  Micros at = 0;  ///< since the load began
  What what = What::Marked;
  std::int16_t router = -1, cache = -1;
  std::uint64_t id = 0;
  std::int64_t value = 0, further = 0;
  bool flag = false;
};

class Account {
 public:
  /// Past so many events the run is no account any more.
  static constexpr std::size_t kMost = 8'000'000;
  explicit Account(const TimeSource& clock) : clock_(clock) {}
  /// From here on times count.
  void begin() { began_ = clock_.now(); }
  Micros now() const { return clock_.now() - began_; }
  void note(Event event) {
    event.at = now();
    if (events_.size() < kMost)
      events_.push_back(event);
    else
      full_ = true;
  }
  void mark(const std::string& label) {
    labels_.push_back(label);
    note({.what = Event::What::Marked, .value = static_cast<std::int64_t>(labels_.size() - 1)});
  }
  const std::vector<Event>& events() const { return events_; }  ///< in order of time
  const std::vector<std::string>& labels() const { return labels_; }
  bool full() const { return full_; }

 private:
  const TimeSource& clock_;
  Micros began_ = 0;
  std::vector<Event> events_;
  std::vector<std::string> labels_;
  bool full_ = false;
};

}  // namespace arrowfork::tier
