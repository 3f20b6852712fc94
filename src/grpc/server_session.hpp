// One HTTP/2 connection of a gRPC server, without I/O: takes received bytes, reports calls and
// messages to a handler, and returns the bytes to send. nghttp2 implements HTTP/2; this module adds
// gRPC framing, statuses and resource limits.
//
// Source: RFC 9113 (HTTP/2), "gRPC over HTTP2" (grpc/doc/PROTOCOL-HTTP2.md).
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "../io/clock.hpp"

struct nghttp2_session;

namespace arrowfork::grpc {

/// The gRPC status codes that this server uses.
enum class Status {
  Ok = 0,
  InvalidArgument = 3,
  DeadlineExceeded = 4,
  NotFound = 5,
  ResourceExhausted = 8,
  Unimplemented = 12,
  Internal = 13,
  Unavailable = 14,
};

using CallId = std::int32_t;  ///< the HTTP/2 stream id

/// Server side of one connection. The owner moves bytes between it and the socket.
class ServerSession {
 public:
  /// Receives the events of a connection. Its methods are called from within recv() and the
  /// session's destructor; they may call any method of the session except recv() and send().
  class Handler {
   public:
    virtual ~Handler() = default;
    /// A call has started; `path` is "/package.Service/Method". `timeout` comes from the caller, 0
    /// if it set none. The handler answers with send_message() and finish(), now or later.
    virtual void on_call(CallId call, const std::string& path, Micros timeout) = 0;
    /// One complete message of the call, without its gRPC prefix.
    virtual void on_message(CallId call, std::string&& message) = 0;
    /// The caller will send no more messages.
    virtual void on_half_close(CallId call) = 0;
    /// The call ended without finish(): it was reset, a message was invalid, or the connection
    /// closed. Nothing more can be sent on it.
    virtual void on_aborted(CallId call) = 0;
  };

  /// Limits of one connection. All are enforced; see Counts for those that are counted.
  struct Limits {
    std::uint32_t max_streams = 1'000;           ///< concurrent calls; further ones are refused
    std::uint32_t header_bytes = 16u << 10;      ///< decoded size of one call's headers
    std::size_t message_bytes = 64u << 10;       ///< size of one message
    std::uint32_t stream_window = 128u << 10;    ///< flow-control window of a call
    std::uint32_t connection_window = 1u << 20;  ///< and of the connection
    std::size_t out_bytes = 1u << 20;            ///< unsent answers to a slow reader
    /// Resets by the peer within a second beyond which the connection is closed: each reset call
    /// costs a routing decision and its cancellation ("rapid reset", CVE-2023-44487).
    std::uint32_t resets_per_s = 200;
    /// PING and SETTINGS frames within a second; they only ask for an acknowledgement.
    std::uint32_t pings_per_s = 20;
  };

  struct Counts {
    std::uint64_t calls = 0, finished = 0, aborted = 0;
    std::uint64_t not_grpc = 0;           ///< requests that are not gRPC calls
    std::uint64_t headers_too_long = 0;   ///< calls reset for this reason
    std::uint64_t messages_too_long = 0;  ///< calls ended with ResourceExhausted
    std::uint64_t rapid_resets = 0;       ///< connections closed for this reason
    std::uint64_t ping_floods = 0;        ///< connections closed for this reason
    std::uint64_t protocol_errors = 0;    ///< connections closed after an HTTP/2 protocol error
    std::uint64_t slow_readers = 0;       ///< connections closed with too much unsent data
  };

  /// Several sessions may share `counts`. Clock, handler and counts must outlive the session.
  ServerSession(const TimeSource& clock, Handler& handler, const Limits& limits, Counts& counts);
  /// Calls on_aborted() for each open call.
  ~ServerSession();
  ServerSession(const ServerSession&) = delete;
  ServerSession& operator=(const ServerSession&) = delete;

  /// Processes bytes from the peer. Returns false if the connection has to be closed after the
  /// remaining output of send() is written.
  [[nodiscard]] bool recv(std::string_view bytes);
  /// Returns in `out` the bytes to write now. The return value has the same meaning as for recv().
  [[nodiscard]] bool send(std::string& out);
  /// Sets how many bytes returned by send() are not written to the socket yet. If a peer reads so
  /// slowly that the limit `out_bytes` is exceeded, the next recv() or send() returns false.
  void set_unsent_bytes(std::size_t bytes) { unsent_ = bytes; }

  /// Sends a message on an open call; ignored if the call is not open.
  void send_message(CallId call, std::string_view bytes);
  /// Ends an open call with a status; ignored if the call is not open.
  void finish(CallId call, Status status, const std::string& message = {});
  /// Accepts no new calls and lets the open ones finish (GOAWAY).
  void go_away();
  /// Sends a keepalive PING; any bytes received after it show that the peer is alive.
  void ping();
  /// True once the peer's connection preface and first SETTINGS frame have arrived.
  bool handshake_complete() const { return handshake_complete_; }
  /// True once go_away() was called and no call is open.
  bool drained() const;
  std::size_t open_calls() const { return calls_.size(); }

 private:
  struct Call;
  struct Callbacks;
  void process_headers(CallId call);
  void receive_data(CallId call, std::string_view bytes);
  void respond(CallId id, Call& call);
  void set_status(CallId call, Status status, const std::string& message);
  void close_call(CallId call);

  const TimeSource& clock_;
  Handler& handler_;
  Limits limits_;
  Counts& counts_;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<CallId, std::unique_ptr<Call>> calls_;
  std::size_t buffered_ = 0;      // bytes of messages that nghttp2 has not taken yet
  std::size_t unsent_ = 0;        // bytes returned by send() but not written yet
  Micros rate_window_start_ = 0;  // start of the second that resets_ and pings_ count
  std::uint32_t resets_ = 0, pings_ = 0;
  bool going_away_ = false, failed_ = false, handshake_complete_ = false;
};

/// Parses a grpc-timeout header; nullopt if it is invalid. The result is at most 99,999,999 hours.
std::optional<Micros> parse_timeout(std::string_view text);

}  // namespace arrowfork::grpc
