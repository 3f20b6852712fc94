// One client connection: what it has read, its commands in order, and what it still has to write.
#pragma once

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include "../limits/answer_pace.hpp"
#include "../limits/memory_account.hpp"
#include "../limits/send_progress.hpp"
#include "client_side.hpp"

namespace arrowfork {

/// Members are public because ClientSide evicts, hands over and closes connections by this state.
class ClientConnection {
 public:
  static constexpr std::size_t kReadBufferBytes = 64u << 10;  ///< read at most at once
  /// Commands that one connection may have handled before others have their turn.
  static constexpr int kCommandsPerTurn = 16;
  /// A client that acknowledges no byte of its answer for this long is disconnected.
  static constexpr Micros kWriteStallTimeout = 5 * kSecond;

  /// `over_limit`: its commands are refused. `is_new`: false if its client may have closed it some
  /// time ago, in the backlog or in the process that held it before.
  ClientConnection(ClientSide& side, Fd fd, bool over_limit, bool is_new);
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

  /// When it last sent or took something, or was connected.
  Micros last_active_at() const { return std::max(since_, last_read_at_); }

  /// True while the client's machine has not acknowledged all written bytes.
  bool unacknowledged() const { return unacknowledged_bytes(fd_) > 0; }
  /// Whether the client has stopped taking what was written to it.
  bool has_write_stalled(Micros now);

  /// Detects that the client has closed its connection, or may have, behind bytes that are not read
  /// yet.
  void check_for_disconnect();

  /// Whether its client may still end its sending side with its first commands and be served.
  bool is_new() const { return is_new_; }
  /// Whether look_for_close() could tell something that reading does not.
  bool close_may_be_unseen() const { return !reading_ || unseen_since_ > 0; }
  /// Asks the system whether the client has closed its connection, or whether that could be hidden.
  void look_for_close();
  /// Reads once, up to the bounds, and handles what was read.
  void read();
  enum class ReadResult { Bytes, None };
  /// Reads at most `most` bytes, to be handled, into `in`. None: nothing is to be done. `peek`:
  /// leaves them in the socket as well.
  ReadResult receive(std::size_t most, bool peek, std::string_view& in);
  /// Handles peeked bytes. Those that wait behind an exclusive request stay in the socket.
  void parse_peeked(std::string_view in);
  /// True behind a request whose answer has to come first. What is not read by then crosses the
  /// close of the connection if that answer breaks off, and its client sends it again.
  bool must_not_read_behind() const;
  /// How many bytes may be read now.
  std::size_t read_limit() const;
  /// Appends to the bytes that wait to be parsed.
  void buffer_input(std::string_view in);
  /// True while the client may have closed its connection some time ago without this side seeing
  /// it: nothing new is begun for it.
  bool may_have_left(Micros now) const;

  /// The first byte decides the protocol for the whole connection.
  void choose_codec(unsigned char first);

  /// Handles the commands in `in` and consumes them, until a limit is reached.
  void parse(std::string_view& in);

  void submit(ClientSlot& slot, Request&& request);
  /// Answers a command that was not served, which slows the client down if it goes on.
  void answer_unserved(ClientSlot& slot, std::string text);

  /// Back-pressure: limits pending commands and answers, per client and for all clients together. A
  /// connection with nothing pending may always have one, so that none starves behind others.
  bool may_parse(Micros now);
  /// Whether its commands have to wait for those of others, until the next iteration of the loop.
  bool turn_is_over() const;
  /// Handles more buffered commands, in the next iteration of the loop or the sweep.
  void continue_parsing();

  void reserve_bytes(std::size_t bytes);
  void release_bytes(std::size_t bytes);

  void parse_buffered();

  /// Reserves memory for the value whose head was just read; false if it has to wait.
  bool reserve_value();
  bool try_reserve_value(std::size_t bytes);
  /// Refuses a value that has waited for memory for as long as its client's time allows.
  void refuse_overdue_value(Micros now);
  /// Drops the value in progress and what was reserved for it.
  void refuse_value();

  /// A half-close cannot be told from a close, so no new work begins for the client. Requests that
  /// may be running are awaited and answered, the rest is refused. If the client is really gone,
  /// only the write fails.
  void end_of_input();

  void notify_client_left();

  ClientSlot& add_slot();

  /// Moves finished answers to the output, in order; of a streamed value up to the pipe's window.
  void advance();

  /// True while no byte of the value may be passed on: commands were read behind it, which would
  /// get no answer if it broke off.
  bool must_hold_value(ClientSlot& slot);
  /// Whether there are bytes or requests read behind the first request.
  bool has_read_behind_first() const;
  /// Answers a value that was held back for as long as its client's time allows.
  void refuse_held_value(ClientSlot& slot);
  /// A value that fails before its first byte is passed on has a failure as its answer, and the
  /// connection goes on.
  void replace_value_by_failure(ClientSlot& slot);
  /// Makes `text` the answer in place of the value that was not begun.
  void replace_value(ClientSlot& slot, std::string text);

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
  std::string unparsed_input_;                    // bytes read but not parsed yet
  robinseam::limits::MemoryCharge input_charge_;  // of unparsed_input_
  robinseam::limits::MemoryCharge value_charge_;  // of a value in progress of up to kMaxValue
  robinseam::limits::AnswerPace pace_;
  int commands_left_this_turn_ = kCommandsPerTurn;
  std::string out_;
  std::size_t out_at_ = 0;
  std::size_t held_bytes_ = 0;  // of slots_ and out_; also reserved in ClientSide::memory_
  std::size_t lingered_ = 0;
  std::size_t bulk_ = 0;           // of the value being read; also in ClientSide::bulk_bytes_
  bool waits_for_memory_ = false;  // for a value whose head is read
  Micros waits_since_ = 0;
  Micros waited_for_memory_ = 0;  // by the command in progress, out of its client's time
  bool value_truncated_ = false;  // a streamed value ended early
  bool received_any_ = false;     // bytes were received, here or in the process before
  bool reading_ = true;
  bool eof_ = false;
  bool disconnect_seen_ = false;  // the client closed behind bytes that are not read yet
  bool over_limit_;               // commands are refused and the connection closed
  Micros unseen_since_;           // bytes in the socket may hide the client's close; 0: they don't
  bool is_new_;                   // nobody has asked yet whether the client has closed
  Micros window_full_at_ = 0;     // when so many bytes were last seen
  bool unseen_reported_ = false;  // to the core, as if the client had left
  bool turn_scheduled_ = false;
  bool broken_ = false;  // framing lost: closes after the pending answers
  bool lingering_ = false;
  bool dirty_ = false;
  bool closed_ = false;
  bool close_counted_ = false;
  Micros since_;  // connect, first byte of a command, end of the last answer, or start of lingering
  robinseam::limits::SendProgress send_progress_;  // while a write or the end waits for the client
  Micros last_read_at_ = 0;
  std::size_t index_ = 0;  // in ClientSide::connections_
};

}  // namespace arrowfork
