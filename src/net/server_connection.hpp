// One connection to a cache server: its dial, its pipelined attempts, and the large value that is
// being streamed.
#pragma once

#include <sys/uio.h>

#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "../core/core.hpp"
#include "../io/io.hpp"
#include "../limits/memory_account.hpp"
#include "server_codec.hpp"

namespace arrowfork {

class ServerSide;
struct ServerPool;

/// Members are public because ServerSide picks connections, closes them and withdraws attempts by
/// this state.
class ServerConnection {
 public:
  static constexpr std::size_t kReadBufferBytes = 64u << 10;  ///< read at most at once

  /// An attempt that is queued or waits for its answer.
  struct PendingAttempt {
    RequestId id;
    int attempt;
    bool awaited = true;  // false once abandoned: its answer is dropped
    ExpectedAnswer expected;
    std::string bytes;  // the command, with its value unless that is large
    std::shared_ptr<const std::string> value;
    std::string_view tail;
    std::size_t wait_at = 0, wait_size = 0;  // where `bytes` tells the time that the server has
    Micros deadline = 0;                     // when the router stops waiting
    std::size_t encoded_size;  // of bytes, value and tail, which are freed once written
    Micros since;              // when it was queued; once abandoned, when that happened
  };

  ServerConnection(ServerSide& side, ServerPool& pool, Fd fd);

  static void on_event(evutil_socket_t, short what, void* self);

  ~ServerConnection() { close_pipe(false); }

  bool idle() const { return !connecting_ && pending_.empty() && !pipe_; }
  /// No client waits for any attempt or value on it.
  bool is_abandoned() const;
  /// A client waits for the value that is being received, or for the answer to a written attempt.
  bool owes_answers() const;

  void await_connect();

  void on_connect_event(short what);

  /// Writes the attempts that may be written now.
  void flush();

  /// Makes the attempts that have waited tell the time that is left now.
  void update_told_waits();
  /// How many of the pending attempts, from the front, may be written.
  std::size_t writable_count() const;
  /// Fills `parts` with unwritten bytes of the attempts before `until`, as far as they fit; returns
  /// the number of parts.
  std::size_t gather_unwritten(std::size_t until, std::span<iovec> parts) const;
  void record_written(std::size_t bytes);
  void open_pipe(ServerCodec::Answer& answer);

  /// Ends the value's pipe: `whole` if all of the value has been received, else as failed.
  void close_pipe(bool whole);

  /// Moves bytes of the value from `in` to the pipe; false if that closed the connection.
  bool feed_pipe(std::string_view& in);

  /// Stops reading from the server while the value's reader is behind. A value without a reader is
  /// read to its end if other attempts wait behind it; otherwise the connection is closed.
  void update_reading();

  void read();
  /// The server has closed or reset the connection.
  void on_peer_close();
  /// This and process_answer() return false if the connection was closed.
  bool process_answers(std::string_view in);
  bool process_answer(ServerCodec::Answer& answer, bool begins_value);
  /// True for an answer to a request that may not be repeated, if it carries no id and follows
  /// another such answer so closely that it may be a duplicate of it.
  bool may_be_duplicate(const ServerCodec::Answer& answer);

  /// When the value that is arriving for the first pending attempt will be complete at its present
  /// rate; nothing if none is arriving.
  std::optional<Micros> expected_end() const;
  /// Reserves memory for the value of the first pending attempt; false if there is no room, or
  /// nobody waits for it.
  bool reserve_for_value(std::size_t bytes);
  void close_malformed();

  /// True if the server has closed or reset the connection, or sent bytes that were not asked for.
  bool has_closed_or_sent() const;

  ServerSide& side_;
  ServerPool& pool_;
  Fd fd_;
  EventPtr read_, write_;
  robinseam::limits::MemoryCharge value_charge_;  // of the value that is arriving
  std::unique_ptr<ServerCodec> codec_;
  std::shared_ptr<ValuePipe> pipe_;   // the large value being received
  std::size_t value_bytes_left_ = 0;  // of the value and its CRLF, still to be received
  bool reading_ = true;
  bool close_on_flush_ = false;         // close in the next flush if no attempt is pending
  bool has_received_ = false;           // any bytes
  bool has_answered_ = false;           // a complete answer
  Micros answer_began_at_ = 0;          // first bytes of the answer that is arriving; 0: none
  Micros unidentified_answer_at_ = 0;   // last answer without an id; 0: none
  std::deque<PendingAttempt> pending_;  // in the order of their answers
  std::size_t written_count_ = 0;       // of pending_, from the front: completely written
  std::size_t partial_bytes_ = 0;       // written of the attempt after those
  bool connecting_ = true;
  bool retiring_ = false;  // takes no new attempts; closes after its last answer
  bool flush_pending_ = false;
  bool closed_ = false;
  Micros last_used_at_;
  Micros idle_before_use_ = 0;  // idle time before its last use; 0 for a new connection
};

}  // namespace arrowfork
