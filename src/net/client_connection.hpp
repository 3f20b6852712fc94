// One client connection: what it has read, its commands in order, and what it still has to write.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include "client_side.hpp"

namespace arrowfork {

/// Members are public because ClientSide evicts, hands over and closes connections by this state.
class ClientConnection {
 public:
  static constexpr std::size_t kReadBufferBytes = 64u << 10;  ///< read at most at once
  /// A client that accepts no byte of its answer for this long is disconnected. Slow readers of
  /// large values free only half a socket buffer at a time, so reading shows in steps of that size.
  static constexpr Micros kWriteStallTimeout = 5 * kSecond;

  ClientConnection(ClientSide& side, Fd fd, bool over_limit);
  ~ClientConnection();

  static void on_event(evutil_socket_t, short what, void* self);

  bool has_no_work() const { return slots_.empty() && out_.empty() && !in_command(); }
  bool idle() const { return has_no_work() && between_requests(); }
  bool in_command() const { return (codec_ && codec_->in_command()) || !unparsed_input_.empty(); }

  /// False also after quiet commands: the client is still owed the answer to their barrier.
  bool between_requests() const { return !in_command() && !(codec_ && codec_->awaits_barrier()); }

  /// Reads what has arrived before the connection is closed, as a request may be waiting. False if
  /// an answer is owed afterwards.
  bool still_idle_after_read();

  /// True while the client's machine has not acknowledged all written bytes.
  bool unacknowledged() const;

  /// Detects that the client has closed its connection behind bytes that are not read yet.
  void check_for_disconnect();

  void read();

  /// The first byte decides the protocol for the whole connection.
  void choose_codec(unsigned char first);

  /// Handles the commands in `in` and consumes them, until a limit is reached.
  void parse(std::string_view& in);

  void submit(ClientSlot& slot, Request&& request);

  /// Back-pressure: limits pending commands and answers, per client and for all clients together. A
  /// connection with nothing pending is always read, so that none starves behind others.
  bool may_parse() const;

  void reserve_bytes(std::size_t bytes);
  void release_bytes(std::size_t bytes);

  void parse_buffered();

  /// Reserves bytes for a large value; the connection is not read further without them.
  void reserve_bulk();

  /// A half-close cannot be told from a close, so no new work begins for the client. Requests that
  /// may be running are awaited and answered, the rest is refused. If the client is really gone,
  /// only the write fails.
  void end_of_input();

  void notify_client_left();

  ClientSlot& add_slot();

  /// Moves finished answers to the output, in order; of a streamed value up to the pipe's window.
  void advance();

  /// A value that fails before its first byte is passed on has a failure as its answer, and the
  /// connection goes on.
  void replace_value_by_failure(ClientSlot& slot);

  void flush();

  /// Writes answers until none is ready or the socket is full; false if that closed the connection.
  bool write_output();

  void free_written_output();

  /// Called when everything is answered and written: ends the connection if it is to take nothing
  /// more. False if it goes on.
  bool end_if_due();

  /// Hands the connection over or closes it, between two requests.
  void hand_over_or_close();

  /// The announced length cannot be delivered, which only the end of the connection can tell.
  void finish_after_truncated_value();

  /// Closes after the last answer.
  void finish(CloseReason reason);
  /// Why a connection without work is closed when its client sends nothing more.
  CloseReason reason_to_end() const;

  void update_reading();

  void sweep(Micros now);

  /// Flushes and empties the input before the process ends, as unread bytes would turn the close
  /// into a reset and destroy answers already written.
  void shut_down();

  ClientSide& side_;
  Fd fd_;
  EventPtr read_, write_;
  std::unique_ptr<ClientCodec> codec_;  // null before the first byte
  std::deque<ClientSlot> slots_;
  std::string unparsed_input_;  // bytes read but not parsed yet
  std::string out_;
  std::size_t out_at_ = 0;
  std::size_t held_bytes_ = 0;  // of slots_ and out_; also counted in ClientSide::held_bytes_
  std::size_t lingered_ = 0;
  std::size_t bulk_ = 0;          // of the value being read; also in ClientSide::bulk_bytes_
  bool waits_for_bulk_ = false;   // for bytes for a large value
  bool value_truncated_ = false;  // a streamed value ended early
  bool received_any_ = false;     // bytes were received, here or in the process before
  bool reading_ = true;
  bool eof_ = false;
  bool disconnect_seen_ = false;  // the client closed behind bytes that are not read yet
  bool broken_ = false;           // framing lost: closes after the pending answers
  bool over_limit_;               // commands are refused and the connection closed
  bool lingering_ = false;
  bool dirty_ = false;
  bool closed_ = false;
  bool close_counted_ = false;
  Micros since_;  // connect, first byte of a command, end of the last answer, or start of lingering
  Micros stalled_since_ = 0;
  Micros last_read_at_ = 0;
  std::size_t index_ = 0;  // in ClientSide::connections_
};

}  // namespace arrowfork
