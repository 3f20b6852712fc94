// Serves the control address on the router's loop, one call for each connection.
#pragma once

#include <list>
#include <string>

#include "calls.hpp"
#include "io/io.hpp"

namespace arrowfork {

class ControlServer {
 public:
  /// Most connections at once. Beyond, the oldest one without an answered call is closed, else the
  /// oldest.
  static constexpr std::size_t kMaxConnections = 24;

  class Handler {
   public:
    /// Returns the complete answer, made with control_answer(). Must not block: it runs on the
    /// loop.
    virtual std::string on_control_call(const ControlCall& call) = 0;

   protected:
    ~Handler() = default;
  };

  ControlServer(event_base* base, const TimeSource& clock, Handler& handler);
  ~ControlServer();
  /// Returns false and sets `error` on failure.
  bool listen(const sockaddr_in& address, std::string& error);
  std::uint16_t port() const;

 private:
  struct Connection {
    ControlServer* server;
    Fd fd;
    EventPtr read, write;
    Micros accepted_at;
    std::string in, out;
    bool answered = false;
    std::list<Connection>::iterator position;
  };
  static void on_accept(evutil_socket_t, short, void* self);
  static void on_event(evutil_socket_t, short what, void* connection);
  static void on_sweep(evutil_socket_t, short, void* self);
  void accept_pending();
  void read(Connection& c);
  /// Returns false if the connection was closed.
  bool write(Connection& c);

  event_base* base_;
  const TimeSource& clock_;
  Handler& handler_;
  Fd listener_;
  EventPtr accept_event_, sweep_event_;
  std::list<Connection> connections_;  // oldest first
};

}  // namespace arrowfork
