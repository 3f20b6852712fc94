// The control address: a listener on the router's loop, one call to a connection.
#pragma once

#include <list>
#include <string>

#include "calls.hpp"
#include "io/io.hpp"

namespace arrowfork {

class ControlServer {
 public:
  /// Connections at once. Callers that hold theirs without a whole call make way, oldest first.
  static constexpr std::size_t kMaxConnections = 24;

  class Handler {
   public:
    /// The whole answer, made with control_answer(). Must not take long: the loop waits.
    virtual std::string on_control_call(const ControlCall& call) = 0;

   protected:
    ~Handler() = default;
  };

  ControlServer(event_base* base, const TimeSource& clock, Handler& handler);
  ~ControlServer();
  /// False with the reason in `error`.
  bool listen(const sockaddr_in& address, std::string& error);
  std::uint16_t port() const;

 private:
  struct Connection {
    ControlServer* side;
    Fd fd;
    EventPtr read, write;
    Micros since;
    std::string in, out;
    bool answered = false;
    std::list<Connection>::iterator at;
  };
  static void on_accept(evutil_socket_t, short, void* self);
  static void on_event(evutil_socket_t, short what, void* connection);
  static void on_sweep(evutil_socket_t, short, void* self);
  void accept_some();
  void read(Connection& c);
  /// True while the connection is still there.
  bool write(Connection& c);

  event_base* base_;
  const TimeSource& clock_;
  Handler& handler_;
  Fd listener_;
  EventPtr accept_event_, sweep_event_;
  std::list<Connection> connections_;  // oldest first
};

}  // namespace arrowfork
