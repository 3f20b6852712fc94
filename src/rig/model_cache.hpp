// The emulated fleet of src/emu behind sockets: cache servers with cores, queues, cached keys and
// one origin, speaking the meta protocol on the loopback interface. The same model thus runs in
// virtual time, at the scale of thousands of servers, and over real sockets.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "../emu/fleet.hpp"
#include "../io/io.hpp"
#include "../protocol/meta.hpp"

namespace arrowfork::rig {

/// Keeps the emulated fleet's virtual time in step with the real clock: due events run at every
/// command and every millisecond.
class RealTimeFleet {
 public:
  RealTimeFleet(event_base* base, const TimeSource& clock, const emu::FleetPlan& plan,
                std::uint64_t seed);
  emu::Fleet& fleet() { return fleet_; }
  emu::VirtualTime& time() { return time_; }
  /// Runs the model up to the current time.
  void catch_up();
  /// Converts a virtual time to the real clock.
  Micros to_real_time(Micros at) const { return at - offset_; }
  /// The longest time the model was behind the real clock: this machine's share in measured times.
  Micros max_lag() const { return max_lag_; }

 private:
  static void on_tick(evutil_socket_t, short, void* self);
  const TimeSource& clock_;
  emu::VirtualTime time_;
  emu::Fleet fleet_;
  Micros offset_, max_lag_ = 0;
  EventPtr tick_;
};

/// Records the writes at all servers of a fleet and detects those that run twice.
class EffectTracker {
 public:
  explicit EffectTracker(Micros key_ttl) : key_ttl_(key_ttl) {}
  /// Records a received write. Returns true if servers drop it as a duplicate.
  bool record_write(Micros now, const std::string& idempotency_key);
  /// Writes received again after their idempotency key expired, so that they ran twice.
  std::uint64_t duplicate_effects() const { return duplicate_effects_; }
  std::uint64_t writes() const { return writes_; }

 private:
  Micros key_ttl_;
  // Time of the first run by idempotency key, in two generations to bound the memory.
  std::unordered_map<std::string, Micros> current_, previous_;
  Micros generation_start_ = 0;
  std::uint64_t writes_ = 0, duplicate_effects_ = 0;
};

/// A server of the emulated fleet behind a loopback port.
class ModelCache {
 public:
  /// Notified of connections and commands before the server acts on them.
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void on_connection(ModelCache& server) = 0;
    virtual void on_command(ModelCache& server, const Command& command) = 0;
  };
  /// One server of the fleet, at a free loopback port. Throws std::runtime_error if it cannot
  /// listen. Fleet and effects must outlive it.
  ModelCache(event_base* base, const TimeSource& clock, RealTimeFleet& fleet,
             emu::CacheModel& model, EffectTracker& effects);
  ~ModelCache();

  const std::string& id() const { return model_.id(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  /// Resets the open connections, as the restart of a process does.
  void reset_connections();
  /// While down, open and new connections are reset.
  void set_down(bool down);
  /// Limits the open connections. On one over the limit the first command is answered `busy` and
  /// the connection is closed. 0: no limit.
  void set_max_connections(std::size_t limit) { max_connections_ = limit; }
  void set_observer(Observer* observer) { observer_ = observer; }
  struct Counts {
    std::uint64_t connections = 0, commands = 0, malformed_commands = 0;
  };
  const Counts& counts() const { return counts_; }
  std::size_t open_connections() const { return connections_.size(); }

 private:
  class Connection;
  static void on_accept(evutil_socket_t, short, void* self);
  void close(Connection& connection);

  event_base* base_;
  const TimeSource& clock_;
  RealTimeFleet& fleet_;
  emu::CacheModel& model_;
  EffectTracker& effects_;
  std::uint16_t port_ = 0;
  Fd listener_;
  EventPtr accept_event_;
  Counts counts_;
  bool down_ = false;
  std::size_t max_connections_ = 0;
  Observer* observer_ = nullptr;
  std::vector<std::shared_ptr<Connection>> connections_;
};

}  // namespace arrowfork::rig
