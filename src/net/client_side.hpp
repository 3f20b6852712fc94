// The listener and the client connections: commands in, answers out in the order of the commands.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "../core/core.hpp"
#include "../io/io.hpp"
#include "client_codec.hpp"

namespace arrowfork {

class ClientConnection;

/// The place of one command among the answers of its connection. The connection owns it; it is
/// gone with the connection, of which the core is told, and once it is answered.
struct ClientSlot final : ReplySink {
  ClientConnection* connection = nullptr;
  RequestId id = 0;
  CommandTag tag;
  std::string text;       ///< answer bytes that wait for those before them
  std::size_t bytes = 0;  ///< of the command, then of the answer, as counted in the budgets
  bool done = false;      ///< the whole answer is in `text`

  void on_reply(const Request& request, Reply&& reply) override;
};

class ClientSide {
 public:
  struct Limits {
    std::size_t connections = 600;       ///< beyond, commands are refused as busy
    std::size_t spare_connections = 50;  ///< so many beyond are accepted for that
    std::size_t held_bytes = 32u << 20;  ///< of commands and answers, all clients together
  };

  /// Requests go to `core` with `carrier` for their attempts.
  ClientSide(event_base* base, const TimeSource& clock, Core& core, Carrier& carrier,
             Limits limits);
  ~ClientSide();

  void set_limits(const Limits& limits) { limits_ = limits; }
  /// Connections that begin from now on may speak the binary protocol where `rules` say so; those
  /// that are open keep their protocol and take over the rest.
  void set_binary(const BinaryRules& rules) { rules_ = rules; }
  void set_stats(StatSource stats) { stats_ = std::move(stats); }
  /// Listens on `address`; false with the reason in `error`.
  bool listen(const sockaddr_in& address, std::string& error);
  /// The port that listen() got; for tests that ask for port 0.
  std::uint16_t port() const;

  /// Writes what answer() and the others have left. Call once an iteration of the loop.
  void flush();
  /// True when there is something to flush.
  bool dirty() const { return !dirty_.empty(); }
  /// Planned end: takes the connections that wait in the backlog, stops listening and closes every
  /// connection as soon as it is between requests.
  void drain();
  std::size_t connections() const { return connections_.size(); }
  struct Counts {
    std::uint64_t meta = 0, binary = 0;  ///< connections that have said which they speak
  };
  const Counts& counts() const { return counts_; }

 private:
  friend class ClientConnection;
  friend struct ClientSlot;
  /// Gives the whole final answer.
  void answer(ClientSlot& slot, std::string text);
  static void on_accept(evutil_socket_t, short, void* self);
  static void on_sweep(evutil_socket_t, short, void* self);
  void accept_some(int most);
  /// Closes the connection that is missed least; false where all are in use.
  bool make_room();
  void sweep();
  void touch(ClientConnection& connection);
  void close(ClientConnection& connection);

  event_base* base_;
  const TimeSource& clock_;
  Core& core_;
  Carrier& carrier_;
  Limits limits_;
  BinaryRules rules_;
  StatSource stats_;
  Fd listener_;
  EventPtr accept_event_, sweep_event_;
  bool accept_paused_ = false;
  bool draining_ = false;
  std::vector<std::unique_ptr<ClientConnection>> connections_;
  std::vector<std::unique_ptr<ClientConnection>> closed_;  // freed at the end of an iteration
  std::vector<ClientConnection*> dirty_;
  std::size_t held_bytes_ = 0;
  Counts counts_;
  std::unique_ptr<char[]> scratch_;
};

}  // namespace arrowfork
