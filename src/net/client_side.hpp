// The listener and the client connections: commands in, answers out in the order of the commands.
#pragma once

#include <deque>
#include <functional>
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
  std::string text;                 ///< answer bytes that wait for those before them
  std::shared_ptr<ValuePipe> pipe;  ///< what follows them
  std::size_t bulk = 0;             ///< of the command's value, as counted in the pool
  std::size_t bytes = 0;  ///< of the command, then of the answer, as counted in the budgets
  bool done = false;      ///< the whole answer is in `text` and `pipe`

  ~ClientSlot();
  void on_reply(const Request& request, Reply&& reply) override;
};

class ClientSide {
 public:
  struct Limits {
    std::size_t connections = 600;       ///< beyond, commands are refused as busy
    std::size_t spare_connections = 50;  ///< so many beyond are accepted for that
    std::size_t held_bytes = 32u << 20;  ///< of commands and answers, all clients together
    std::size_t bulk_bytes = kMaxBulk;   ///< of values over kMaxValue that clients write
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
  /// Listens on `address`; false with the reason in `error`. `shared`: another process may listen
  /// there too (SO_REUSEPORT), as the new one does beside the old.
  bool listen(const sockaddr_in& address, std::string& error, bool shared = false);
  /// Listens on a socket that another process has opened.
  void listen_on(Fd listener);
  int listener() const { return listener_.get(); }
  /// Accepts nobody while it is held back; the connections that wait stay in the backlog.
  void suspend_accepting(bool on);
  /// Takes over a connection that another process had, between two of its requests.
  void adopt(Fd client) { admit(std::move(client), true); }
  /// What drain() does with connections between requests instead of closing them: the function
  /// passes one on, and tells whether it did.
  enum class HandOverResult { Sent, RetryLater, NotSent };
  using HandOver = std::function<HandOverResult(int client)>;
  void set_hand_over(HandOver hand_over) { hand_over_ = std::move(hand_over); }
  /// Sends clients away: `mn` says no, and some time later, when the front knows, connections are
  /// closed between requests. Whoever comes all the same is served.
  void set_operator_drain(bool on);
  bool operator_drain() const { return away_; }
  /// The port that listen() got; for tests that ask for port 0.
  std::uint16_t port() const;

  /// Writes what answer() and the others have left. Call once an iteration of the loop.
  void flush();
  /// True when there is something to flush.
  bool dirty() const { return !dirty_.empty(); }
  /// Planned end: takes the connections that wait in the backlog, stops listening and closes every
  /// connection as soon as it is between requests.
  void drain();
  /// The process's last step: what is written gets its way out before the sockets are closed.
  void shut_down();
  std::size_t connections() const { return connections_.size(); }
  /// Large values on their way to clients.
  std::size_t streaming_values() const { return piping_; }
  struct Counts {
    std::uint64_t meta = 0, binary = 0;  ///< connections that have said which they speak
  };
  const Counts& counts() const { return counts_; }

 private:
  friend class ClientConnection;
  friend struct ClientSlot;
  /// Gives the whole final answer.
  void answer(ClientSlot& slot, std::string text, std::shared_ptr<ValuePipe> pipe = nullptr);
  static void on_accept(evutil_socket_t, short, void* self);
  static void on_sweep(evutil_socket_t, short, void* self);
  void accept_some(int most);
  void admit(Fd fd, bool adopted);
  /// Connections between requests are to be closed now.
  bool closing() const;
  bool someone_waits() const;
  /// Closes the connection that is missed least; false where all are in use.
  bool make_room();
  void sweep();
  /// Asks connections that are not read whether their client has ended them.
  void look_for_ends();
  static void on_look(evutil_socket_t, short, void* self);
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
  EventPtr accept_event_, sweep_event_, look_event_;
  bool accept_paused_ = false;
  bool draining_ = false;
  bool held_back_ = false;
  bool away_ = false;
  Micros away_since_ = 0;
  HandOver hand_over_;
  std::vector<std::unique_ptr<ClientConnection>> connections_;
  std::vector<std::unique_ptr<ClientConnection>> closed_;  // freed at the end of an iteration
  std::vector<ClientConnection*> dirty_;
  std::size_t held_bytes_ = 0, bulk_bytes_ = 0;
  std::size_t piping_ = 0;
  Counts counts_;
  std::unique_ptr<char[]> scratch_;
};

}  // namespace arrowfork
