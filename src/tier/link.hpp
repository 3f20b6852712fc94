// A link between two processes: a TCP relay on loopback that can delay, throttle, block, blackhole,
// reset and refuse connections.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "../io/io.hpp"

namespace arrowfork::tier {

/// A fault on a link. The forward direction starts at the end that connects.
struct LinkFault {
  enum class Kind {
    None,
    Delay,   ///< every byte arrives `delay` later
    Slow,    ///< `bytes_per_s` per connection and direction
    Cut,     ///< the blocked directions hold data back until the fault is cleared
    Silent,  ///< like a vanished machine: open connections stall, and are reset once it is cleared
    Reset,   ///< each connection is reset after `bytes` bytes
    Refuse,  ///< new connections are reset at once; open ones stay
  };
  Kind kind = Kind::None;
  Micros delay = 0;
  double bytes_per_s = 0;
  std::uint64_t bytes = 0;
  bool blocks_forward = true, blocks_backward = true;  ///< for Cut
};

class Link {
 public:
  /// Returns the loopback port of the far end; 0 if nothing listens there now.
  using Target = std::function<std::uint16_t()>;
  /// Listens on a port that the system chooses. Throws std::runtime_error on failure.
  Link(event_base* base, const TimeSource& clock, Target target);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  std::uint16_t port() const { return port_; }
  void set_fault(const LinkFault& fault);
  void clear_fault() { set_fault(LinkFault()); }
  const LinkFault& fault() const { return fault_; }
  std::size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  static void on_accept(evutil_socket_t, short, void* self);
  /// Keeps the listener's backlog full, so that the kernel drops SYNs: a cut link completes no
  /// handshake, like a cut wire.
  void fill_backlog();
  void empty_backlog();
  void drop_closed();

  event_base* base_;
  const TimeSource& clock_;
  Target target_;
  LinkFault fault_;
  std::uint16_t port_ = 0;
  Fd listener_;
  EventPtr accept_event_;
  std::vector<Fd> backlog_fillers_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

}  // namespace arrowfork::tier
