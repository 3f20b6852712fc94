// The listener and the client connections. Answers are written in the order of their commands.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "../core/core.hpp"
#include "../io/io.hpp"
#include "../limits/memory_account.hpp"
#include "../limits/pipelining_suspension.hpp"
#include "client_codec.hpp"
#include "client_slot.hpp"

namespace arrowfork {

class ClientConnection;

/// Why a client's connection was closed, or shut down to be closed.
enum class CloseReason {
  ClientLeft,      ///< closed by the client
  Reset,           ///< reset by the client, or writing failed
  Idle,            ///< nothing was asked for too long
  HalfCommand,     ///< a command was not completed in time
  WriteStalled,    ///< the client accepted no byte of its answer
  Evicted,         ///< made way for another one
  Draining,        ///< the process ends, or an operator drains it
  FramingLost,     ///< the start of the next command is unknown
  OverLimit,       ///< accepted only to refuse its commands
  TruncatedValue,  ///< a value that had begun could not be delivered whole
};
constexpr std::size_t kCloseReasonCount = 10;

class ClientSide {
 public:
  struct Limits {
    std::size_t connections = 600;       ///< commands of connections beyond are refused as busy
    std::size_t spare_connections = 50;  ///< accepted beyond `connections`, to refuse commands
    /// With so many requests open, a connection may have one at a time.
    std::size_t pipelined_requests = 1000;
    std::size_t bulk_bytes = kMaxLargeValue;  ///< of values over kMaxValue that clients write
  };

  /// Passes requests to `core`, which sends their attempts through `attempt_sender`.
  /// What clients make the router hold is reserved in `memory`.
  ClientSide(event_base* base, const TimeSource& clock, Core& core, AttemptSender& attempt_sender,
             Limits limits, robinseam::limits::MemoryAccount& memory);
  ~ClientSide();

  void set_limits(const Limits& limits) { limits_ = limits; }
  /// New connections may use the binary protocol if `rules` allow it. Open connections keep their
  /// protocol and follow the other rules.
  void set_binary(const BinaryRules& rules) { rules_ = rules; }
  void set_stats(StatsProvider stats) { stats_ = std::move(stats); }
  /// Listens on `address`; on failure returns false with the reason in `error`. `shared`: another
  /// process may listen there too (SO_REUSEPORT), as during an upgrade.
  bool listen(const sockaddr_in& address, std::string& error, bool shared = false);
  /// Listens on a socket that another process opened.
  void listen_on(Fd listener);
  int listener() const { return listener_.get(); }
  /// While suspended no connection is accepted; waiting ones stay in the backlog.
  void suspend_accepting(bool on);
  /// Takes over a connection from another process, between two of its requests. `is_new`: as
  /// ClientConnection::is_new() there.
  void adopt(Fd client, bool is_new);
  /// Passes a client connection to the next process. drain() uses it on connections between
  /// requests instead of closing them.
  enum class HandOverResult { Sent, RetryLater, NotSent };
  using HandOver = std::function<HandOverResult(int client, bool is_new)>;
  void set_hand_over(HandOver hand_over) { hand_over_ = std::move(hand_over); }
  /// `call` is run whenever bytes of a client were received, before they are handled. It must not
  /// add or read connections.
  void set_on_input(std::function<void()> call) { on_input_ = std::move(call); }
  /// Drains this router for an operator: `mn` answers with an error, and once the load balancer has
  /// had time to notice, connections are closed between requests. New clients are still served.
  void set_operator_drain(bool on);
  bool operator_drain() const { return operator_drain_; }
  /// The port that listen() bound; for tests that listen on port 0.
  std::uint16_t port() const;

  /// Writes pending output to the clients. Call once per iteration of the loop.
  void flush();
  /// True when there is output to flush.
  bool dirty() const { return !dirty_.empty(); }
  /// Planned shutdown: accepts the connections that wait in the backlog, stops listening, and
  /// closes every connection as soon as it is between requests.
  void drain();
  /// The part of a planned shutdown after drain(): reads what has arrived and no more, and closes
  /// every connection as soon as all that was read is answered, also in the middle of a command.
  void finish_all();
  /// The last step of the process: flushes the output and shuts the sockets down so that answers
  /// already written are not destroyed by a reset.
  void shut_down();
  /// Refuses values that clients are writing until what is held fits the limit of the memory
  /// account, which has shrunk.
  void refuse_values_over_limit();
  std::size_t connections() const { return connections_.size(); }
  /// Large values that are being streamed to clients.
  std::size_t streaming_values() const { return streaming_values_; }
  struct Counts {
    std::uint64_t meta = 0, binary = 0;  ///< connections by protocol, counted at their first byte
    std::array<std::uint64_t, kCloseReasonCount> closed{};  ///< connections by CloseReason
  };
  const Counts& counts() const { return counts_; }

 private:
  /// Commands handled in one iteration of the loop, beside one for each connection.
  static constexpr int kCommandsPerTurn = 1024;

  friend class ClientConnection;
  friend struct ClientSlot;
  /// Of a planned shutdown.
  enum class Phase {
    Serving,
    Draining,   ///< by drain()
    Finishing,  ///< by finish_all()
  };
  bool shutting_down() const { return phase_ != Phase::Serving; }
  /// Sets the complete, final answer of a command.
  void answer(ClientSlot& slot, std::string text, std::shared_ptr<ValuePipe> pipe = nullptr);
  static void on_accept(evutil_socket_t, short, void* self);
  static void on_sweep(evutil_socket_t, short, void* self);
  void accept_pending(int max_count);
  ClientConnection& add_connection(Fd fd, bool is_new);
  /// True when connections between requests are to be closed.
  bool closing() const;
  bool backlog_waits() const;
  /// Closes the connection whose loss does least harm; false if all are in use.
  bool evict_connection();
  void sweep();
  /// Reserves `bytes` for a large value; returns them, or 0 if it has to wait.
  std::size_t try_reserve_bulk(std::size_t bytes);
  void release_bulk(std::size_t bytes);
  /// Refuses values that do not get on, if others wait for the memory they hold.
  void refuse_stalled_values(Micros now);
  /// Refuses the values in progress of `holders`, the one that stands still for longest first,
  /// until `wanted` bytes are free.
  void refuse_values(std::vector<ClientConnection*> holders, std::size_t wanted);
  /// Handles more of the connection's input in the next iteration of the loop.
  void continue_next_turn(ClientConnection& connection);
  static void on_next_turn(evutil_socket_t, short, void* self);
  /// Reads once from every connection that is being read.
  void read_pending_input();
  /// Schedules a check whether clients have closed connections that are not being read.
  void schedule_disconnect_check();
  static void on_disconnect_check(evutil_socket_t, short, void* self);
  /// Marks the connection for the next flush().
  void mark_dirty(ClientConnection& connection);
  /// Destroys the connection in the next flush(). Its reason counts unless it was shut down before.
  void close(ClientConnection& connection, CloseReason reason);
  void count_close(ClientConnection& connection, CloseReason reason);

  event_base* base_;
  const TimeSource& clock_;
  Core& core_;
  AttemptSender& attempt_sender_;
  Limits limits_;
  BinaryRules rules_;
  StatsProvider stats_;
  Fd listener_;
  EventPtr accept_event_, sweep_event_, disconnect_check_event_, next_turn_event_;
  bool accept_paused_ = false;
  bool backlog_waits_ =
      false;  // connections were left in the backlog, and it has not been empty since
  Phase phase_ = Phase::Serving;
  bool accepting_suspended_ = false;
  bool operator_drain_ = false;
  Micros operator_drain_since_ = 0;
  HandOver hand_over_;
  std::function<void()> on_input_;
  std::vector<std::unique_ptr<ClientConnection>> connections_;
  std::vector<std::unique_ptr<ClientConnection>> closed_;  // destroyed by the next flush()
  std::vector<ClientConnection*> dirty_, next_turn_;
  int commands_left_this_turn_ = kCommandsPerTurn;
  robinseam::limits::MemoryAccount& memory_;
  robinseam::limits::PipeliningSuspension pipelining_suspension_;
  std::size_t bulk_bytes_ = 0;
  std::size_t streaming_values_ = 0;
  Counts counts_;
  std::unique_ptr<char[]> scratch_;
};

}  // namespace arrowfork
