// The connections to cache servers: dial, pool, pipeline, idle close, and each attempt's fate.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "../core/core.hpp"
#include "../io/io.hpp"
#include "../limits/connections.hpp"
#include "../limits/idle.hpp"
#include "config.hpp"
#include "server_codec.hpp"

namespace arrowfork {

class ServerConnection;
struct ServerPool;

class ServerSide final : public Carrier {
 public:
  /// Told of what becomes of attempts. Calls come from within the event loop, and from send() and
  /// cancel(); none may call back into ServerSide.
  class Handler {
   public:
    virtual ~Handler() = default;
    /// The attempt has ended; `result` is what came, where `status` tells of one. Called once for
    /// each attempt, unless it was cancelled.
    virtual void on_attempt_end(RequestId id, int attempt, Status status,
                                AttemptResult&& result) = 0;
  };
  struct Limits {
    std::size_t max_connections = 300;  ///< to all servers
    std::size_t max_connections_per_server = 8;
    int attempts_per_connection = 32;  ///< attempts on one connection
    Micros keepalive = 15 * kSecond;
    Micros dial_timeout = 75 * kMillisecond;
    bool may_cancel = false;                        ///< servers may drop what is given up
    std::size_t streaming_buffer_bytes = 4u << 20;  ///< of large values on their way, all together
    int routers = 1;                                ///< that share the servers
    double tier_rate = 0;  ///< requests a second that the tier may bring; 0: not known
  };

  ServerSide(event_base* base, const TimeSource& clock, Handler& handler, Limits limits,
             const std::vector<robinseam::ReportField>* fields);
  ~ServerSide();

  void set_limits(const Limits& limits) { limits_ = limits; }
  /// Which servers speak the binary protocol from now on. Connections to those whose protocol has
  /// changed end with what is out on them.
  void set_protocols(const BinaryRules& rules);
  /// Takes over what a list says of where servers are and whether they want anything new.
  void apply_list(const HostList& list);

  /// Sends one attempt. The handler may be told of its end before this returns.
  void send(const std::string& server, RequestId id, int attempt, const Request& request,
            Micros wait) override;
  /// Gives an attempt up: NotSent where nothing of it was sent whole, Cancelled where it may have
  /// run.
  Status cancel(const std::string& server, RequestId id, int attempt) override;
  /// A written attempt is out as long as its connection is open: that is closed, where nobody else
  /// waits for anything on it and answers have paid for another.
  std::optional<Status> end(const std::string& server, RequestId id, int attempt) override;
  /// Where the attempt is written in part, its connection has to end for it: only where nothing
  /// else is waited for there that may have begun.
  bool take_back(const std::string& server, RequestId id, int attempt) override;
  /// The binary protocol has no field for a key, so not while a listed server speaks it; but where
  /// those servers take the CAS for it (`server_idempotency`), keys of its form pass.
  bool keeps_key(const Request& request) const override;
  /// Counts since the start, for the log.
  struct Counts {
    std::uint64_t dials = 0, failed_dials = 0, pipelined = 0, no_connection = 0;
    std::uint64_t ended_idle = 0, ended_busy = 0, malformed_answers = 0, closed_idle = 0,
                  closed_unresponsive = 0;
    std::uint64_t late_answers = 0, evicted = 0, wrong_protocol = 0;
    std::uint64_t dials_over_connection_limit = 0;  ///< dials that the server had no room for
    std::uint64_t withdrawn_leaving = 0;  ///< attempts taken back unsent, since their server leaves
    std::uint64_t withdrawn_client_gone =
        0;                        ///< attempts taken back unsent, since their client has gone
    std::uint64_t kept_open = 0;  ///< given up on and not closed, for want of answers to pay for it
    std::uint64_t written = 0;    ///< attempts, whole
    std::uint64_t streamed_values = 0,
                  broken_streams = 0;  ///< large values, and those that did not come whole
  };
  const Counts& counts() const { return counts_; }

  void flush();
  bool dirty() const { return !dirty_.empty(); }
  std::size_t connections() const { return total_; }
  std::size_t idle_connections() const;
  /// The part of the idle time by the settings that dials leave, 0 to 1.
  double idle_time_fraction() const { return idle_.part(clock_.now()); }
  /// Where a server that wants anything new is reached; empty for any other.
  std::string address_of(const std::string& server) const;
  /// The server at which most attempts were given up since the last call, and how many.
  std::pair<std::string, std::uint64_t> take_most_abandoned();
  /// Servers of which anything is kept.
  std::size_t servers() const { return pools_.size(); }

 private:
  friend class ServerConnection;
  static void on_sweep(evutil_socket_t, short, void* self);
  void sweep();
  void forget_gone();
  void recall(ServerConnection& c);
  void set_protocol(ServerPool& pool);
  void note_binary();
  void wrong_protocol(ServerConnection& connection);
  /// What one large value may hold of the memory, with so many on their way.
  std::size_t pipe_window() const;
  /// How long a connection may stand idle as far as the settings tell.
  Micros idle_limit() const;
  /// The same at this server now, by what the tier can hold there and by what the server does.
  Micros idle_limit(const ServerPool& pool, Micros now) const;
  ServerConnection* pick(ServerPool& pool);
  robinseam::limits::ConnectionBudget fresh_budget() const;
  bool may_close(ServerConnection& connection);
  /// Whether the budgets allow the pool one more connection; closes one that is not missed for it.
  bool make_room(ServerPool& pool);
  void spare_of(const ServerPool& pool, ServerConnection*& spare) const;
  /// Where one more attempt has the fewest before it; null where none may share.
  ServerConnection* least_loaded(const ServerPool& pool, bool established) const;
  ServerConnection* dial(ServerPool& pool);
  void touch(ServerConnection& connection);
  /// Ends the connection; every attempt on it gets its outcome, those written whole `written`.
  void close(ServerConnection& connection, Status written = Status::Reset);
  void failed_dial(ServerConnection& connection);
  /// A server has answered a dial: it had room for it, or it is well and had not.
  void note_dial(ServerPool& pool, bool no_room);

  event_base* base_;
  const TimeSource& clock_;
  Handler& handler_;
  Limits limits_;
  const std::vector<robinseam::ReportField>* fields_;
  BinaryRules rules_;
  bool any_binary_ = false;  // a listed server speaks the binary protocol
  EventPtr sweep_event_;
  std::unordered_map<std::string, std::unique_ptr<ServerPool>> pools_;
  std::size_t total_ = 0;
  robinseam::limits::IdleTime idle_;
  double weight_ = 0;         // of the wanted servers
  std::uint32_t opaque_ = 0;  // of the last attempt
  std::size_t pipes_ = 0;     // large values on their way
  Counts counts_;
  std::vector<std::unique_ptr<ServerConnection>> closed_;
  std::vector<ServerConnection*> dirty_;
  std::unique_ptr<char[]> scratch_;
};

}  // namespace arrowfork
