// The listener and the client connections: commands in, answers out in the order of the commands.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "io.hpp"
#include "memcache.hpp"

namespace arrowfork {

using robinseam::RequestId;

class ClientConnection;

/// The place of one command among the answers of its connection. The connection owns it; it is
/// gone with the connection (Handler::on_gone) and once it is answered.
struct ClientSlot {
  ClientConnection* connection = nullptr;
  RequestId id = 0;
  std::string text;       ///< answer bytes that wait for those before them
  std::size_t bytes = 0;  ///< of the command, then of the answer, as counted in the budgets
  bool done = false;      ///< the whole answer is in `text`
};

class ClientSide {
 public:
  /// Told of what clients do. Calls come from within the event loop.
  class Handler {
   public:
    virtual ~Handler() = default;
    /// A request was taken. The handler answers the slot once.
    virtual void on_command(ClientSlot& slot, Command&& command) = 0;
    /// The client sends nothing more; whether it still reads can't be told from that.
    virtual void on_left(RequestId id) = 0;
    /// The connection is closed and the slot with it.
    virtual void on_gone(RequestId id) = 0;
  };
  struct Limits {
    std::size_t connections = 600;       ///< beyond, commands are refused as busy
    std::size_t spare_connections = 50;  ///< so many beyond are accepted for that
    std::size_t held_bytes = 32u << 20;  ///< of commands and answers, all clients together
  };

  ClientSide(event_base* base, const Clock& clock, Handler& handler, Limits limits);
  ~ClientSide();

  void set_limits(const Limits& limits) { limits_ = limits; }
  /// Listens on `address`; false with the reason in `error`.
  bool listen(const sockaddr_in& address, std::string& error);
  /// The port that listen() got; for tests that ask for port 0.
  std::uint16_t port() const;

  /// Gives the whole final answer.
  void answer(ClientSlot& slot, std::string text);
  /// Writes what answer() and the others have left. Call once an iteration of the loop.
  void flush();
  /// True when there is something to flush.
  bool dirty() const { return !dirty_.empty(); }
  /// Planned end: takes the connections that wait in the backlog, stops listening and closes every
  /// connection as soon as it is between requests.
  void drain();
  std::size_t connections() const { return connections_.size(); }

 private:
  friend class ClientConnection;
  static void on_accept(evutil_socket_t, short, void* self);
  static void on_sweep(evutil_socket_t, short, void* self);
  void accept_some(int most);
  /// Closes the connection that is missed least; false where all are in use.
  bool make_room();
  void sweep();
  void touch(ClientConnection& connection);
  void close(ClientConnection& connection);

  event_base* base_;
  const Clock& clock_;
  Handler& handler_;
  Limits limits_;
  Fd listener_;
  EventPtr accept_event_, sweep_event_;
  bool accept_paused_ = false;
  bool draining_ = false;
  std::vector<std::unique_ptr<ClientConnection>> connections_;
  std::vector<std::unique_ptr<ClientConnection>> closed_;  // freed at the end of an iteration
  std::vector<ClientConnection*> dirty_;
  std::size_t held_bytes_ = 0;
  std::unique_ptr<char[]> scratch_;
};

}  // namespace arrowfork
