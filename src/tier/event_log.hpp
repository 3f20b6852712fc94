// The event log of a run: what the simulated clients, caches and discovery observed, on one clock.
// A run is judged by this log alone, never by what a router process reports about itself.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "../io/clock.hpp"

namespace arrowfork::tier {

struct Event {
  enum class Kind : std::uint8_t {
    /// A client sends the try `id` to `router`. value: its request, extra: its timeout, flag: it
    /// is a write.
    TryStarted,
    Served,  ///< this and the next five: how the try `id` ended
    Refused,
    Failed,
    Lost,
    Unreached,
    Wrong,
    RequestDone,       ///< the request `id` with all its tries is over; flag: it was served
    ConnectionOpened,  ///< `cache` accepted a connection
    AttemptReceived,   ///< `cache` received all of the try `id`
    DuplicateEffect,   ///< a write ran a second time on `cache`
    OriginFetches,     ///< value: fetches that the origin has done since the last such event
    DiscoveryCall,     ///< `router` called discovery
    DiscoveryAnswer,   ///< `router` received list version `value`; 0: the call failed
    /// The watch of `router` fell silent. value: when changes that it misses count as notified.
    WatchSilent,
    AddressChanged,  ///< `router` got SIGHUP with a new discovery address
    /// flag: whether `router` (-1: any router) can reach discovery from now on.
    ReachabilityChanged,
    /// The entry of `cache` changed. value: list version, extra: a ListedState, flag: it is cold.
    ListChanged,
    ProcessStarted,  ///< value: the number of the process among those of `router`
    ProcessReady,    ///< the process answers `mn`
    ProcessKilled,
    ProcessStopped,
    ProcessContinued,
    ProcessExited,  ///< value: status from waitpid(); flag: the exit was expected
    Label,          ///< value: index into EventLog::labels()
  };
  /// State of a cache in ListChanged.
  enum ListedState : std::int64_t { Active, Leaving, Gone };
  Micros at = 0;  ///< since the start of the load
  Kind kind = Kind::Label;
  std::int16_t router = -1, cache = -1;
  std::uint64_t id = 0;
  std::int64_t value = 0, extra = 0;
  bool flag = false;
};

class EventLog {
 public:
  /// Events beyond this number are dropped, and the run can no longer be judged.
  static constexpr std::size_t kMaxEvents = 8'000'000;
  explicit EventLog(const TimeSource& clock) : clock_(clock) {}
  /// Sets the origin of event times to now.
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
  const std::vector<Event>& events() const { return events_; }  ///< in time order
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
