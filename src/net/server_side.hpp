// Connections to the cache servers: dials, pools, pipelining, closing of idle connections, and how
// each attempt ends.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "../core/core.hpp"
#include "../io/io.hpp"
#include "../limits/connection_close_budget.hpp"
#include "../limits/idle_timeout.hpp"
#include "../limits/memory_account.hpp"
#include "config.hpp"
#include "server_codec.hpp"

namespace arrowfork {

class ServerConnection;
struct ServerPool;

class ServerSide final : public AttemptSender {
 public:
  /// Receives the ends of attempts. Called from within the event loop, and from send() and
  /// cancel(); must not call back into ServerSide.
  class Handler {
   public:
    virtual ~Handler() = default;
    /// The attempt has ended; `result` is set if `status` stands for an answer. Called once for
    /// each attempt, unless it was cancelled.
    virtual void on_attempt_end(RequestId id, int attempt, Status status,
                                AttemptResult&& result) = 0;
    /// Whether the request's client has other answers to take before its own.
    virtual bool client_has_backlog(RequestId id) {
      static_cast<void>(id);
      return false;
    }
    /// The bytes of an attempt were written whole, `waited` after it was queued. For logs.
    virtual void on_late_write(const std::string& id_or_key, int attempt, const std::string& server,
                               Micros waited) {
      static_cast<void>(id_or_key), static_cast<void>(attempt);
      static_cast<void>(server), static_cast<void>(waited);
    }
  };
  struct Limits {
    std::size_t max_connections = 300;  ///< to all servers
    std::size_t max_connections_per_server = 8;
    int attempts_per_connection = 32;  ///< pending at once
    Micros keepalive = 15 * kSecond;
    Micros dial_timeout = 75 * kMillisecond;
    bool may_cancel = false;                        ///< servers may drop cancelled attempts
    std::size_t streaming_buffer_bytes = 4u << 20;  ///< for all large values in flight
    int routers = 1;                                ///< that share the servers
    double tier_rate = 0;  ///< requests a second allowed to the tier; 0: unknown
  };

  /// Values of up to kMaxValue are reserved in `memory` before they are buffered.
  ServerSide(event_base* base, const TimeSource& clock, Handler& handler, Limits limits,
             const std::vector<robinseam::ReportField>* fields,
             robinseam::limits::MemoryAccount& memory);
  ~ServerSide();

  void set_limits(const Limits& limits) { limits_ = limits; }
  /// Sets which servers speak the binary protocol. Closes the connections to servers whose protocol
  /// has changed, with the attempts in flight on them.
  void set_protocols(const BinaryRules& rules);
  /// Applies the addresses of a list, and which servers take new attempts.
  void apply_list(const HostList& list);

  /// Sends one attempt. The handler may be called with its end before this returns.
  void send(const std::string& server, RequestId id, int attempt, const Request& request,
            Micros wait) override;
  /// Cancels an attempt: NotSent if the server has not received it completely, Cancelled if it may
  /// have run.
  Status cancel(const std::string& server, RequestId id, int attempt) override;
  /// A written attempt is in flight as long as its connection is open. So the connection is closed,
  /// if no other attempt on it is awaited and the close budget allows it.
  std::optional<Status> stop_for_retry(const std::string& server, RequestId id,
                                       int attempt) override;
  /// An attempt that is partly written leaves its connection to those before it, which then closes.
  bool withdraw(const std::string& server, RequestId id, int attempt) override;
  std::optional<Micros> expected_end(const std::string& server, RequestId id,
                                     int attempt) const override;
  /// The binary protocol has no field for an idempotency key, so false while a listed server speaks
  /// it. If those servers take the CAS as the key (`server_idempotency`), keys that a CAS can
  /// represent are kept.
  bool supports_idempotency_key(const Request& request) const override;
  /// Counts since the process started, for the log.
  struct Counts {
    std::uint64_t dials = 0, failed_dials = 0, pipelined = 0, no_connection = 0;
    std::uint64_t ended_idle = 0, ended_busy = 0, malformed_answers = 0, closed_idle = 0,
                  closed_unresponsive = 0;
    std::uint64_t late_answers = 0, evicted = 0, wrong_protocol = 0;
    /// Dials that a server rejected because it was at its connection limit.
    std::uint64_t dials_over_connection_limit = 0;
    /// Attempts withdrawn unwritten because their server drains or has left.
    std::uint64_t withdrawn_leaving = 0;
    /// Attempts withdrawn unwritten because their client has gone.
    std::uint64_t withdrawn_client_gone = 0;
    /// Abandoned connections that the close budget did not allow to close.
    std::uint64_t kept_open = 0;
    std::uint64_t written = 0;  ///< attempts, completely
    /// Large values, and those of them that were not received completely.
    std::uint64_t streamed_values = 0, broken_streams = 0;
    std::uint64_t values_without_room = 0;  ///< dropped as they arrived
  };
  const Counts& counts() const { return counts_; }

  void flush();
  bool dirty() const { return !flush_queue_.empty(); }
  std::size_t connections() const { return connection_count_; }
  std::size_t idle_connections() const;
  /// The idle timeout in use as a share of the one the settings allow, 0 to 1; rejected dials lower
  /// it.
  double idle_timeout_share() const { return idle_timeout_.share(clock_.now()); }
  /// The address of a server that takes new attempts; empty for any other.
  std::string address_of(const std::string& server) const;
  /// The server with the most abandoned attempts since the last call, and their number.
  std::pair<std::string, std::uint64_t> take_most_abandoned();
  /// Servers that are listed or still have connections.
  std::size_t servers() const { return pools_.size(); }

 private:
  friend class ServerConnection;
  static void on_sweep(evutil_socket_t, short, void* self);
  void sweep();
  void remove_unlisted();
  void withdraw_unwritten(ServerConnection& c);
  void end_partly_written(ServerConnection& c);
  void set_protocol(ServerPool& pool);
  void update_any_binary();
  void on_wrong_protocol(ServerConnection& connection);
  /// Bytes that one large value may buffer, with the number of them in flight now.
  std::size_t pipe_window() const;
  /// The idle timeout that follows from the settings.
  Micros idle_limit() const;
  /// The idle timeout at this server now: also limited by the connections the tier may hold there
  /// and by the resets seen from the server.
  Micros idle_limit(const ServerPool& pool, Micros now) const;
  ServerConnection* pick(ServerPool& pool);
  robinseam::limits::ConnectionCloseBudget make_close_budget() const;
  bool try_spend_close(ServerConnection& connection);
  /// Whether the pool may have one more connection; closes an idle or abandoned one if necessary.
  bool free_connection_slot(ServerPool& pool);
  void find_spare(const ServerPool& pool, ServerConnection*& spare) const;
  /// The connection with the fewest pending attempts that takes one more; null if there is none.
  ServerConnection* least_loaded(const ServerPool& pool, bool established) const;
  ServerConnection* dial(ServerPool& pool);
  void schedule_flush(ServerConnection& connection);
  /// Closes the connection and ends every attempt on it, completely written ones with `written`.
  void close(ServerConnection& connection, Status written = Status::Reset);
  void on_dial_failed(ServerConnection& connection);
  /// Records a dial that was accepted, or rejected by a healthy server at its connection limit.
  void record_dial(ServerPool& pool, bool at_connection_limit);

  event_base* base_;
  const TimeSource& clock_;
  Handler& handler_;
  Limits limits_;
  const std::vector<robinseam::ReportField>* fields_;
  robinseam::limits::MemoryAccount& memory_;
  BinaryRules rules_;
  bool any_binary_ = false;  // some listed server speaks the binary protocol
  EventPtr sweep_event_;
  std::unordered_map<std::string, std::unique_ptr<ServerPool>> pools_;
  std::uint64_t lists_applied_ = 0;
  std::size_t connection_count_ = 0;
  robinseam::limits::IdleTimeout idle_timeout_;
  double total_weight_ = 0;     // of the usable servers
  std::uint32_t opaque_ = 0;    // of the last attempt
  std::size_t open_pipes_ = 0;  // large values in flight
  Counts counts_;
  std::vector<std::unique_ptr<ServerConnection>> closed_;
  std::vector<ServerConnection*> flush_queue_;
  std::unique_ptr<char[]> read_buffer_;
};

}  // namespace arrowfork
