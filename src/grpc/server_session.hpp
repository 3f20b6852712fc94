// One HTTP/2 connection of a gRPC server, without I/O: bytes go in, bytes come out, and calls are
// told of in between. HTTP/2 itself is nghttp2's; here are gRPC's framing and status, and the
// bounds.
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

/// gRPC's status codes, those that are given here.
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

using CallId = std::int32_t;  ///< the HTTP/2 stream

class ServerSession {
 public:
  /// Told of what the peer does. Calls come from within recv(); the handler may call back into the
  /// session, but for recv() and send().
  class Handler {
   public:
    virtual ~Handler() = default;
    /// A call has begun; `path` is "/package.Service/Method". `timeout`: the caller's, 0 where it
    /// gave none. The handler answers it with messages and finish(), now or later.
    virtual void on_call(CallId call, const std::string& path, Micros timeout) = 0;
    /// One whole message of the call, without its prefix.
    virtual void on_message(CallId call, std::string&& message) = 0;
    /// The caller sends no more messages.
    virtual void on_half_close(CallId call) = 0;
    /// The call is over without finish(): reset, refused for its form, or its connection has ended.
    /// Nothing more may be sent for it.
    virtual void on_aborted(CallId call) = 0;
  };

  /// What one connection may take. Each is enforced, and counted where it is.
  struct Limits {
    std::uint32_t max_streams = 1'000;           ///< calls open at once; more are refused unseen
    std::uint32_t header_bytes = 16u << 10;      ///< of one call's headers, decoded
    std::size_t message_bytes = 64u << 10;       ///< of one message
    std::uint32_t stream_window = 128u << 10;    ///< bytes a caller may send ahead on a call
    std::uint32_t connection_window = 1u << 20;  ///< and on the whole connection
    std::size_t out_bytes = 1u << 20;            ///< answers that wait for a slow reader
    /// Calls that the peer reset within a second before it is sent away: each costs a decision and
    /// its undoing ("rapid reset", CVE-2023-44487).
    std::uint32_t resets_per_s = 200;
    std::uint32_t pings_per_s = 20;  ///< and other frames that only ask for an answer
  };

  struct Counts {
    std::uint64_t calls = 0, finished = 0, aborted = 0;
    std::uint64_t not_grpc = 0;           ///< requests that are no gRPC call
    std::uint64_t headers_too_long = 0;   ///< calls reset for it
    std::uint64_t messages_too_long = 0;  ///< calls ended with ResourceExhausted
    std::uint64_t rapid_resets = 0;       ///< connections sent away for it
    std::uint64_t ping_floods = 0;        ///< connections sent away for it
    std::uint64_t protocol_errors = 0;    ///< connections that ended in a protocol error
    std::uint64_t slow_readers = 0;       ///< connections ended with too much to send
  };

  /// `counts` may be shared by sessions and must outlive them, as handler and clock.
  ServerSession(const TimeSource& clock, Handler& handler, const Limits& limits, Counts& counts);
  /// Tells on_aborted for each call that is open.
  ~ServerSession();
  ServerSession(const ServerSession&) = delete;
  ServerSession& operator=(const ServerSession&) = delete;

  /// Takes what came from the peer. False where the connection is of no more use: what send() still
  /// gives is to be written, then it is to be closed.
  [[nodiscard]] bool recv(std::string_view bytes);
  /// Takes all that is to be written now. False as recv().
  [[nodiscard]] bool send(std::string& out);
  /// Tells how much of what send() gave has not left yet; a peer that reads too slowly is given up
  /// by the next send().
  void set_unsent_bytes(std::size_t bytes) { unsent_ = bytes; }

  /// Sends a message of an open call. Ignored for one that is not.
  void send_message(CallId call, std::string_view bytes);
  /// Ends an open call. Ignored for one that is not.
  void finish(CallId call, Status status, const std::string& text = {});
  /// Takes no new calls and lets those that are open finish (GOAWAY).
  void go_away();
  /// Asks the peer for a sign of life (PING); what it sends next is one.
  void ping();
  /// The peer has spoken HTTP/2: its preface and first SETTINGS have come.
  bool handshake_complete() const { return handshake_complete_; }
  /// True once go_away() was called and nothing is open.
  bool drained() const;
  std::size_t open_calls() const { return calls_.size(); }

 private:
  struct Call;
  struct Callbacks;
  void begin(CallId call);
  void take_data(CallId call, std::string_view bytes);
  void answer(CallId id, Call& call);
  void finish_unseen(CallId call, Status status, const std::string& text);
  void end(CallId call);

  const TimeSource& clock_;
  Handler& handler_;
  Limits limits_;
  Counts& counts_;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<CallId, std::unique_ptr<Call>> calls_;
  std::size_t held_ = 0, unsent_ = 0;  // bytes of messages that nghttp2 has not taken; not written
  Micros second_ = 0;                  // the one that the two counts are of
  std::uint32_t resets_ = 0, pings_ = 0;
  bool leaving_ = false, broken_ = false, handshake_complete_ = false;
};

/// The figure of a grpc-timeout header; nothing where it is none. At most some 3,170 years come.
std::optional<Micros> parse_timeout(std::string_view text);

}  // namespace arrowfork::grpc
