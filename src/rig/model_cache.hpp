// The model fleet of src/emu behind sockets: cache servers with cores, waiting rooms, kept keys and
// one origin, speaking the meta protocol on loopback. One model of what routers serve, in virtual
// time by the thousand and over sockets when it must be real.
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

/// The model's time, kept up with the real clock: what is due is run at every call and every
/// millisecond.
class RealTimeFleet {
 public:
  RealTimeFleet(event_base* base, const TimeSource& clock, const emu::FleetPlan& plan,
                std::uint64_t seed);
  emu::Fleet& fleet() { return fleet_; }
  emu::VirtualTime& time() { return time_; }
  /// Runs the model up to now.
  void catch_up();
  /// The model's `at` on the real clock.
  Micros to_real_time(Micros at) const { return at - offset_; }
  /// The furthest that the model was behind: this machine's part in what was measured.
  Micros max_lag() const { return max_lag_; }

 private:
  static void on_tick(evutil_socket_t, short, void* self);
  const TimeSource& clock_;
  emu::VirtualTime time_;
  emu::Fleet fleet_;
  Micros offset_, max_lag_ = 0;
  EventPtr tick_;
};

/// What is checked of writes over all servers of a world.
class EffectTracker {
 public:
  explicit EffectTracker(Micros key_ttl) : key_ttl_(key_ttl) {}
  /// A write has come; true where servers drop it as a repeat.
  bool record_write(Micros now, const std::string& idempotency);
  /// Writes that came again after their key had lapsed, so that they ran twice.
  std::uint64_t duplicate_effects() const { return duplicate_effects_; }
  std::uint64_t writes() const { return writes_; }

 private:
  Micros key_ttl_;
  std::unordered_map<std::string, Micros> first_,
      before_;  // two generations, so that it is bounded
  Micros generation_at_ = 0;
  std::uint64_t writes_ = 0, duplicate_effects_ = 0;
};

class ModelCache {
 public:
  /// Told of what comes to a server, before anything is done about it.
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void on_connection(ModelCache& server) = 0;
    virtual void on_command(ModelCache& server, const Command& command) = 0;
  };
  /// One server of the world at a loopback port that the system chooses. Throws std::runtime_error
  /// where it can't listen. World and effects must outlive it.
  ModelCache(event_base* base, const TimeSource& clock, RealTimeFleet& world,
             emu::CacheModel& model, EffectTracker& effects);
  ~ModelCache();

  const std::string& id() const { return model_.id(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  /// As a process that has been started anew: open connections are reset.
  void reset_connections();
  /// Gone: what connects is reset at once.
  void set_down(bool down);
  /// So many connections it holds; on one more the first command is answered `busy` and the end.
  /// 0: any number.
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
  RealTimeFleet& world_;
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
