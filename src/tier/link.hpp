// A path between two processes of a rig, with faults: a relay on loopback that delays, slows, cuts,
// falls silent, resets and refuses as it is told.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "../io/io.hpp"

namespace arrowfork::tier {

/// What a link does to what crosses it. `Onward` is the way from the end that connects.
struct LinkFault {
  enum class Kind {
    None,
    Delay,   ///< every byte comes `delay` later
    Slow,    ///< `bytes_per_s` each way and connection
    Cut,     ///< nothing crosses, as told by `onward` and `back`; what was sent comes when healed
    Silent,  ///< open connections are dead from here on and reset when healed: a vanished machine
    Reset,   ///< each connection is reset once so many `bytes` have crossed
    Refuse,  ///< new connections are ended at once; open ones stay
  };
  Kind kind = Kind::None;
  Micros delay = 0;
  double bytes_per_s = 0;
  std::uint64_t bytes = 0;
  bool blocks_forward = true, blocks_backward = true;  ///< of Cut
};

class Link {
 public:
  /// Loopback port of the far end; 0 where nobody listens now.
  using Target = std::function<std::uint16_t()>;
  /// Listens on a port that the system chooses. Throws std::runtime_error where it can't.
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
  /// A cut link answers no handshake, as little as a cut wire does: the listener's queue is kept
  /// full, so that the kernel drops what asks to be connected.
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
