// The account of a run: what the stand-ins saw, on one clock. Every judgement is by it alone; no
// process is believed about itself.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "../io/clock.hpp"

namespace arrowfork::tier {

struct Event {
  enum class Kind : std::uint8_t {
    TryStarted,  ///< a try goes to `router`: its id, value its job, further its patience, flag: a
                 ///< write
    Served,      ///< ends of the try `id`
    Refused,
    Failed,
    Lost,
    Unreached,
    Wrong,
    RequestDone,          ///< the job `id` is over; flag: it was served
    ConnectionOpened,     ///< `cache` got a connection
    AttemptReceived,      ///< the try `id` has come to `cache`, whole
    DuplicateEffect,      ///< a write ran a second time, at `cache`
    OriginFetches,        ///< value: fetches that the origin has done since the last
    DiscoveryCall,        ///< `router` called discovery
    DiscoveryAnswer,      ///< and was told the list of version `value`; 0: the call failed
    WatchSilent,          ///< its watch fell silent: what that misses counts as told at `value`
    AddressChanged,       ///< `router` got SIGHUP with another address of discovery
    ReachabilityChanged,  ///< discovery can be reached by `router` (-1: by any) from now on, or
                          ///< can't: flag
    ListChanged,     ///< the list changed: `cache`, value its version, further a state, flag: it is
                     ///< cold
    ProcessStarted,  ///< a process of `router`, value its number
    ProcessReady,    ///< it answers MN
    ProcessKilled,
    ProcessStopped,
    ProcessContinued,
    ProcessExited,  ///< value: as waitpid() gave it; flag: it was meant to end
    Label,          ///< the label `value`
  };
  /// Of Listed.
  enum ListedState : std::int64_t { Active, Leaving, Gone };
  Micros at = 0;  ///< since the load began
  Kind kind = Kind::Label;
  std::int16_t router = -1, cache = -1;
  std::uint64_t id = 0;
  std::int64_t value = 0, extra = 0;
  bool flag = false;
};

class EventLog {
 public:
  /// Past so many events the run is no account any more.
  static constexpr std::size_t kMaxEvents = 8'000'000;
  explicit EventLog(const TimeSource& clock) : clock_(clock) {}
  /// From here on times count.
  void start() { started_at_ = clock_.now(); }
  Micros now() const { return clock_.now() - started_at_; }
  void record(Event event) {
    event.at = now();
    if (events_.size() < kMaxEvents)
      events_.push_back(event);
    else
      truncated_ = true;
  }
  void add_label(const std::string& label) {
    labels_.push_back(label);
    record({.kind = Event::Kind::Label, .value = static_cast<std::int64_t>(labels_.size() - 1)});
  }
  const std::vector<Event>& events() const { return events_; }  ///< in order of time
  const std::vector<std::string>& labels() const { return labels_; }
  bool truncated() const { return truncated_; }

 private:
  const TimeSource& clock_;
  Micros started_at_ = 0;
  std::vector<Event> events_;
  std::vector<std::string> labels_;
  bool truncated_ = false;
};

}  // namespace arrowfork::tier
