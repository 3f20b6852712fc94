// One connection to a cache server: its dial, the attempts in the order of their answers, and the
// large value that comes now.
#pragma once

#include <sys/uio.h>

#include <deque>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "../core/core.hpp"
#include "../io/io.hpp"
#include "server_codec.hpp"

namespace arrowfork {

class ServerSide;
struct ServerPool;

/// Its state is the server side's as well, which picks, closes and recalls by it.
class ServerConnection {
 public:
  static constexpr std::size_t kScratch = 64u << 10;  ///< of one read

  /// An attempt on the connection.
  struct Entry {
    RequestId id;
    int attempt;
    bool live = true;   // somebody waits for it
    Expected expected;  // what its answer must bear
    std::string bytes;  // the command, its value too unless it is large
    std::shared_ptr<const std::string> value;
    std::string_view tail;
    std::size_t size;  // of the three, which are freed once written
    Micros since;      // queued, then abandoned
  };

  ServerConnection(ServerSide& side, ServerPool& pool, Fd fd);

  static void on_event(evutil_socket_t, short what, void* self);

  ~ServerConnection() { end_pipe(false); }

  bool idle() const { return !connecting_ && entries_.empty() && !pipe_; }
  /// Nobody waits for anything on it.
  bool forsaken() const;

  void await_connect();

  void connected(short what);

  /// Writes what may be written now.
  void flush();

  /// Entries up to this one may be written.
  std::size_t may_write() const;
  /// The unwritten bytes of the entries up to `until`, as many as fit in; the number of parts.
  std::size_t gather(std::size_t until, std::span<iovec> parts) const;
  void note_written(std::size_t bytes);
  void begin_pipe(ServerCodec::Answer& answer);

  /// What is left of the value comes no more, or is all there.
  void end_pipe(bool whole);

  /// Takes the value's part from `in`; false where the connection is closed with that.
  bool feed(std::string_view& in);

  /// The value's reader sets the pace. A value that nobody reads any more is read to its end where
  /// others wait behind it, and else costs the connection.
  void update_reading();

  void read();
  /// The peer has ended or broken the connection.
  void end_read();
  /// False where the connection is closed with that, as below.
  bool take_answers(std::string_view in);
  bool take_answer(ServerCodec::Answer& answer, bool begins_value);
  /// An answer that names no command, right behind another such: it may be that one's second copy.
  bool repeats_unnamed(const ServerCodec::Answer& answer);

  void spoilt();

  /// True when the peer has ended or broken the connection, or said something unasked.
  bool ended() const;

  ServerSide& side_;
  ServerPool& pool_;
  Fd fd_;
  EventPtr read_, write_;
  std::unique_ptr<ServerCodec> codec_;
  std::shared_ptr<ValuePipe> pipe_;  // the large value that comes now
  std::size_t left_ = 0;             // bytes of it and of its CRLF that are to come
  bool reading_ = true;
  bool doomed_ = false;        // to be closed in the next flush
  bool heard_ = false;         // bytes have come on it
  bool answered_ = false;      // an answer has come on it
  Micros unnamed_at_ = 0;      // the last answer that named no command; 0: none
  std::deque<Entry> entries_;  // in the order of their answers
  std::size_t sent_ = 0;       // of them, written whole
  std::size_t partial_ = 0;    // bytes of the next one that are written
  bool connecting_ = true;
  bool retiring_ = false;  // nothing new; closes when its answers have come
  bool dirty_ = false;
  bool closed_ = false;
  Micros used_at_;
  Micros idle_before_ = 0;  // how long it was idle before its last use; 0 for a new one
};

}  // namespace arrowfork
