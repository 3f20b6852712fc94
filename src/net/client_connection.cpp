#include "client_connection.hpp"

#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>

namespace arrowfork {
namespace {

// A connection with this many unanswered commands is not read.
constexpr std::size_t kMaxPipelinedCommands = 32;
// Bytes of one connection's commands and answers, including answers that wait for a slow reader;
// beyond, it is not read. Any single command and its answer fit.
constexpr std::size_t kMaxHeldBytes = 2 * (kMaxValue + kMaxLine);
// Commands of a connection that wait for their answers while it may have been left; they are only
// refused.
constexpr std::size_t kMaxRefusedCommands = 1024;
// What a request takes beside its line and value: its state here, in the core, in the decision
// module and in its attempt.
constexpr std::size_t kRequestStateBytes = 1024;
// Values of up to this size are always read.
constexpr std::size_t kSmallValueBytes = 4096;
// Bytes read ahead of what may be parsed, so that a client's close behind them is seen; with little
// memory left, room for a command's line.
constexpr std::size_t kMaxReadAheadBytes = 256u << 10, kMinReadAheadBytes = kMaxLine;
// With so many unread bytes the system may have closed the receive window, and the client's end of
// stream is not announced.
constexpr int kHidingBytes = 16 << 10;
// After the receive window was full, the client's system takes a moment to send what it held back.
constexpr Micros kWindowOpeningTime = 10 * kMillisecond;
// Nothing is begun for a client whose close has had this long to go unseen: with the interval of
// the checks and the core's own delay that leaves most of the 0.1 s that STANDING allows.
constexpr Micros kMaxUnseenTime = 20 * kMillisecond;
// Answers are moved to the output up to this size.
constexpr std::size_t kMaxOutputBytes = 64u << 10;
// Output buffers larger than this are freed when empty.
constexpr std::size_t kMaxIdleOutputBytes = 32u << 10;
// A command's line must be complete this long after its first byte, and a connection's first line
// this long after the connect: a client may take 2 s for a command's head, and DAYS requires an
// error or a close within 3 s for bad clients, including one sweep interval.
constexpr Micros kCommandTimeout = 2'500 * kMillisecond;
// A value may arrive slowly, but with no gap longer than the first time and within the second.
constexpr Micros kValueStallTimeout = 2'500 * kMillisecond;
constexpr Micros kValueTimeout = 60 * kSecond;
// An idle connection can be closed without loss, and clients that keep theirs forever would fill
// the table. DAYS allows closing from 2 s on. Connection pools of clients reuse theirs well within
// this time; closing those would cost reconnects and requests that cross the close.
constexpr Micros kIdleTimeout = 10 * kSecond;
// After sending FIN the connection is read until the client's FIN, at most this long and this many
// bytes: closing with unread bytes would send a reset, which may destroy the last answer in flight.
constexpr Micros kLingerTimeout = kSecond / 2;
// While written bytes are unacknowledged, a reset would destroy an answer: then the limits are
// kWriteStallTimeout and the second byte count.
constexpr std::size_t kLingerBytes = 1u << 20, kMaxLingerBytes = 16u << 20;
// Operator drain, once the load balancer sends no new connections: connections are closed after
// their answer or when idle for the first time; after the second every connection between requests
// is closed, because none may remain 4 s after the call.
constexpr Micros kDrainIdleTimeout = kSecond / 2;
constexpr Micros kDrainCloseAll = 2 * kSecond;

}  // namespace

ClientConnection::ClientConnection(ClientSide& side, Fd fd, bool over_limit, bool is_new)
    : side_(side),
      fd_(std::move(fd)),
      input_charge_(side.memory_),
      value_charge_(side.memory_),
      over_limit_(over_limit),
      unseen_since_(side.clock_.now()),
      is_new_(is_new),
      since_(unseen_since_) {
  read_.reset(event_new(side.base_, fd_.get(), EV_READ | EV_PERSIST, on_event, this));
  write_.reset(event_new(side.base_, fd_.get(), EV_WRITE, on_event, this));
  event_add(read_.get(), nullptr);
}

ClientConnection::~ClientConnection() {
  slots_.clear();
  release_bytes(held_bytes_);
  side_.release_bulk(bulk_);
}

void ClientConnection::on_event(evutil_socket_t, short what, void* self) {
  auto* c = static_cast<ClientConnection*>(self);
  if (c->closed_) return;
  c->commands_left_this_turn_ = kCommandsPerTurn;
  if (what & EV_WRITE) c->side_.mark_dirty(*c);
  if (what & EV_READ) c->read();
}

bool ClientConnection::still_idle_after_read() {
  if (reading_ && !eof_ && !lingering_) read();
  return !closed_ && idle();
}

bool ClientConnection::has_write_stalled(Micros now) {
  return send_progress_.waiting() &&
         send_progress_.stalled_for(now, unacknowledged_bytes(fd_)) > kWriteStallTimeout;
}

void ClientConnection::check_for_disconnect() {
  if (!close_may_be_unseen() || closed_ || eof_ || disconnect_seen_ || lingering_) return;
  look_for_close();
  if (closed_ || disconnect_seen_) return;
  if (may_have_left(side_.clock_.now()) && !std::exchange(unseen_reported_, true))
    notify_client_left();
  continue_parsing();
}

void ClientConnection::look_for_close() {
  pollfd p{fd_.get(), POLLRDHUP, 0};
  if (::poll(&p, 1, 0) > 0) {
    if (p.revents & (POLLERR | POLLHUP)) {
      side_.close(*this, CloseReason::Reset);
      return;
    }
    // With its first commands a client may end its sending side at once, and still read.
    bool was_new = std::exchange(is_new_, false);
    if ((p.revents & POLLRDHUP) && !was_new) {
      disconnect_seen_ = true;
      notify_client_left();
      return;
    }
  }
  is_new_ = false;
  int unread = 0;
  Micros now = side_.clock_.now();
  if (::ioctl(fd_.get(), FIONREAD, &unread) == 0 && unread >= kHidingBytes) {
    window_full_at_ = now;
    if (unseen_since_ == 0) unseen_since_ = now;
  } else if (now - window_full_at_ >= kWindowOpeningTime) {
    unseen_since_ = 0;
    unseen_reported_ = false;
  }
}

bool ClientConnection::may_have_left(Micros now) const {
  return unseen_since_ > 0 && now - unseen_since_ >= kMaxUnseenTime;
}

std::size_t ClientConnection::read_limit() const {
  using Priority = robinseam::limits::MemoryAccount::Priority;
  if (unparsed_input_.empty() && (value_charge_.bytes() > 0 || bulk_ > 0)) return kReadBufferBytes;
  std::size_t ahead = side_.memory_.has_room(kMaxReadAheadBytes, Priority::ReadAhead)
                          ? kMaxReadAheadBytes
                          : kMinReadAheadBytes;
  return unparsed_input_.size() >= ahead
             ? 0
             : std::min(kReadBufferBytes, ahead - unparsed_input_.size());
}

ClientConnection::ReadResult ClientConnection::receive(std::size_t most, bool peek,
                                                       std::string_view& in) {
  ssize_t got = ::recv(fd_.get(), side_.scratch_.get(), most, peek ? MSG_PEEK : 0);
  if (got < 0) {
    if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) return ReadResult::None;
    side_.close(*this, CloseReason::Reset);
    return ReadResult::None;
  }
  if (lingering_) {  // input after our FIN is dropped
    lingered_ += static_cast<std::size_t>(got);
    if (got == 0 || (lingered_ > kLingerBytes && !unacknowledged()) || lingered_ > kMaxLingerBytes)
      side_.close(*this, CloseReason::ClientLeft);
    return ReadResult::None;
  }
  if (got == 0) {
    end_of_input();
    return ReadResult::None;
  }
  received_any_ = true;
  last_read_at_ = side_.clock_.now();
  if (!in_command()) since_ = last_read_at_;
  if (side_.on_input_) side_.on_input_();
  in = std::string_view(side_.scratch_.get(), static_cast<std::size_t>(got));
  return ReadResult::Bytes;
}

void ClientConnection::read() {
  std::size_t most = lingering_ ? kReadBufferBytes : read_limit();
  std::string_view in;
  if (most == 0) {  // the bound has shrunk since the event was added
    update_reading();
    return;
  }
  bool peek = !lingering_ && unparsed_input_.empty() &&
              side_.pipelining_suspension_.any(side_.clock_.now());
  if (receive(most, peek, in) != ReadResult::Bytes) return;
  if (peek) {
    parse_peeked(in);
  } else if (unparsed_input_.empty()) {
    parse(in);
    buffer_input(in);
  } else {
    buffer_input(in);
    parse_buffered();
  }
  update_reading();
}

void ClientConnection::parse_peeked(std::string_view in) {
  std::size_t peeked = in.size();
  parse(in);
  if (closed_) return;
  std::size_t consumed = must_not_read_behind() ? peeked - in.size() : peeked;
  // The same bytes come to the same place of the buffer that `in` points to.
  for (std::size_t at = 0; at < consumed;) {
    ssize_t got = ::recv(fd_.get(), side_.scratch_.get() + at, consumed - at, 0);
    if (got <= 0) {
      side_.close(*this, CloseReason::Reset);
      return;
    }
    at += static_cast<std::size_t>(got);
  }
  if (consumed == peeked) buffer_input(in);
}

bool ClientConnection::must_not_read_behind() const {
  if (slots_.empty()) return false;
  const ClientSlot& first = slots_.front();
  bool may_break_off = first.pipe && first.text.empty() && !first.pipe->received_whole();
  return may_break_off || slots_.back().exclusive;
}

void ClientConnection::buffer_input(std::string_view in) {
  if (in.empty()) return;
  unparsed_input_.append(in);
  input_charge_.set(unparsed_input_.capacity());
}

void ClientConnection::choose_codec(unsigned char first) {
  if (side_.rules_.clients && first == binary::kRequestMagic) {
    ++side_.counts_.binary;
    codec_ = std::make_unique<BinaryClientCodec>(side_.rules_, side_.stats_);
  } else {
    ++side_.counts_.meta;
    codec_ =
        std::make_unique<MetaClientCodec>(side_.core_, side_.rules_.any(), side_.operator_drain_);
  }
}

void ClientConnection::parse(std::string_view& in) {
  if (!codec_ && !in.empty()) choose_codec(static_cast<unsigned char>(in.front()));
  ClientCodec::ParsedCommand parsed;
  while (!broken_ && !closed_ && !in.empty() && may_parse(side_.clock_.now())) {
    auto got = codec_->parse(in, parsed);
    if (got == ClientCodec::ParseResult::Incomplete) break;
    if (got == ClientCodec::ParseResult::ValueBegins) {
      if (reserve_value()) continue;
      break;
    }
    --commands_left_this_turn_;
    --side_.commands_left_this_turn_;
    since_ = side_.clock_.now();  // the next command begins
    value_charge_.set(0);
    ClientSlot& slot = add_slot();
    slot.bulk = std::exchange(bulk_, 0);
    slot.tag = parsed.tag;
    slot.is_request =
        got != ClientCodec::ParseResult::Answer && got != ClientCodec::ParseResult::FinalAnswer;
    if (got == ClientCodec::ParseResult::Request) {
      submit(slot, std::move(parsed.request));
      continue;
    }
    if (got == ClientCodec::ParseResult::Refused) {
      side_.core_.record_refused(parsed.request.class_name);
      waited_for_memory_ = 0;
      answer_unserved(slot, codec_->rejection(slot.tag, Core::SubmitResult::TableFull));
      continue;
    }
    broken_ = got == ClientCodec::ParseResult::FinalAnswer;
    if (parsed.rejected) pace_.record_unserved();
    side_.answer(slot, std::move(parsed.answer));
  }
  if (broken_) in = {};
  if (unseen_since_ > 0) side_.schedule_disconnect_check();
  if (turn_is_over() && !in.empty()) side_.continue_next_turn(*this);
}

bool ClientConnection::turn_is_over() const {
  if (commands_left_this_turn_ <= 0) return true;
  bool had_one = commands_left_this_turn_ < kCommandsPerTurn;
  return had_one && side_.commands_left_this_turn_ <= 0;
}

void ClientConnection::submit(ClientSlot& slot, Request&& request) {
  // The line is held by the request and, until it is written, by its attempt.
  std::size_t line = request.line_before_deadline.size() + request.line_after_deadline.size();
  if (line == 0) line = binary::kHeader + request.key.size();
  slot.bytes =
      kRequestStateBytes + 2 * line + (request.value && slot.bulk == 0 ? request.value->size() : 0);
  reserve_bytes(slot.bytes);
  request.time_left -= std::min(request.time_left, std::exchange(waited_for_memory_, 0));
  // Nothing new is begun for a client that has left.
  Micros now = side_.clock_.now();
  bool refused = over_limit_ || eof_ || disconnect_seen_ || may_have_left(now);
  slot.exclusive =
      !request.write && side_.pipelining_suspension_.applies_to(request.class_name, now);
  if (refused) side_.core_.record_refused(request.class_name);
  Core::SubmitResult taken =
      refused ? Core::SubmitResult::TableFull
              : side_.core_.submit(std::move(request), slot, side_.attempt_sender_, slot.id);
  if (taken != Core::SubmitResult::Accepted)
    answer_unserved(slot, codec_->rejection(slot.tag, taken));
}

void ClientConnection::answer_unserved(ClientSlot& slot, std::string text) {
  pace_.record_unserved();
  side_.answer(slot, std::move(text));
}

bool ClientConnection::may_parse(Micros now) {
  using Priority = robinseam::limits::MemoryAccount::Priority;
  if (waits_for_memory_ || value_truncated_ || must_not_read_behind()) return false;
  // A client that has left, or a process that ends, gets its answers at once.
  bool ending = eof_ || disconnect_seen_ || side_.phase_ == ClientSide::Phase::Finishing;
  if (unseen_since_ > 0 && !ending) {
    look_for_close();
    bool settling = window_full_at_ < now;
    if (closed_ || (unseen_since_ > 0 && (settling || !may_have_left(now)))) return false;
  }
  if (!ending && (turn_is_over() || !pace_.allows(now))) return false;
  if (slots_.empty() && out_.empty()) return true;
  if (held_bytes_ >= kMaxHeldBytes || !side_.memory_.has_room(0, Priority::Backlog)) return false;
  if (may_have_left(now)) return slots_.size() < kMaxRefusedCommands;
  return slots_.size() < kMaxPipelinedCommands &&
         side_.core_.open_requests() < side_.limits_.pipelined_requests;
}

void ClientConnection::continue_parsing() {
  if (closed_ || lingering_) return;
  commands_left_this_turn_ = kCommandsPerTurn;
  if (!unparsed_input_.empty()) parse_buffered();
  update_reading();
}

void ClientConnection::reserve_bytes(std::size_t bytes) {
  held_bytes_ += bytes;
  side_.memory_.reserve(bytes);
}

void ClientConnection::release_bytes(std::size_t bytes) {
  held_bytes_ -= bytes;
  side_.memory_.release(bytes);
}

void ClientConnection::parse_buffered() {
  if (unparsed_input_.empty()) return;
  std::string_view in = unparsed_input_;
  parse(in);
  if (in.empty())
    std::string().swap(unparsed_input_);
  else
    unparsed_input_.erase(0, unparsed_input_.size() - in.size());
  input_charge_.set(unparsed_input_.empty() ? 0 : unparsed_input_.capacity());
}

bool ClientConnection::reserve_value() {
  std::size_t bytes = codec_->size_of_value_in_progress();
  Micros now = side_.clock_.now();
  if (try_reserve_value(bytes)) {
    if (waits_since_ > 0) waited_for_memory_ = now - std::exchange(waits_since_, 0);
    waits_for_memory_ = false;
    return true;
  }
  if (waits_since_ == 0) waits_since_ = now;
  waits_for_memory_ = true;
  last_read_at_ = since_ = now;
  return false;
}

bool ClientConnection::try_reserve_value(std::size_t bytes) {
  using Priority = robinseam::limits::MemoryAccount::Priority;
  Priority priority = slots_.empty() && out_.empty() ? Priority::First : Priority::Backlog;
  if (bytes > kMaxValue + kMaxLine) return (bulk_ = side_.try_reserve_bulk(bytes)) > 0;
  if (bytes > kSmallValueBytes) return value_charge_.try_set(bytes, priority);
  value_charge_.set(bytes);
  return true;
}

void ClientConnection::refuse_overdue_value(Micros now) {
  // Half of its time: if its bytes were all there when the wait began, the rest is for the answer.
  if (!waits_for_memory_ || now - waits_since_ < codec_->time_left_in_progress() / 2) return;
  refuse_value();
}

void ClientConnection::refuse_value() {
  codec_->refuse_value();
  value_charge_.set(0);
  side_.release_bulk(std::exchange(bulk_, 0));
  waits_for_memory_ = false;
  waits_since_ = 0;
}

void ClientConnection::end_of_input() {
  eof_ = true;
  event_del(read_.get());
  notify_client_left();
  if (waits_for_memory_) refuse_value();
  parse_buffered();
  if (slots_.empty() && out_.empty() && unparsed_input_.empty())
    side_.close(*this, CloseReason::ClientLeft);
}

void ClientConnection::notify_client_left() {
  for (ClientSlot& slot : slots_)
    if (slot.id && !slot.done) side_.core_.on_client_half_closed(slot.id);
}

ClientSlot& ClientConnection::add_slot() {
  slots_.emplace_back();
  slots_.back().connection = this;
  reserve_bytes(sizeof(ClientSlot));
  return slots_.back();
}

void ClientConnection::advance() {
  while (!slots_.empty() && slots_.front().done && !value_truncated_) {
    ClientSlot& slot = slots_.front();
    bool unbegun = !slot.text.empty();
    if (unbegun && out_.size() - out_at_ >= kMaxOutputBytes) return;
    if (unbegun && slot.pipe && slot.pipe->failed()) replace_value_by_failure(slot);
    if (unbegun && slot.pipe && must_hold_value(slot)) return;
    if (out_.empty())
      out_ = std::exchange(slot.text, {});
    else
      out_ += std::exchange(slot.text, {});
    if (ValuePipe* pipe = slot.pipe.get()) {
      while (out_.size() - out_at_ < pipe->window()) {
        std::string bytes = pipe->take();
        if (bytes.empty()) break;
        reserve_bytes(bytes.size());
        out_ += bytes;
      }
      if (!pipe->finished()) {
        value_truncated_ = pipe->failed();
        return;
      }
      std::string_view trailer = codec_->value_trailer();
      reserve_bytes(trailer.size());
      out_ += trailer;
    }
    slots_.pop_front();
  }
}

bool ClientConnection::must_hold_value(ClientSlot& slot) {
  if (slot.pipe->received_whole() || !has_read_behind_first()) return false;
  Micros now = side_.clock_.now();
  if (slot.hold.since == 0) slot.hold.since = now;
  bool out_of_time = now - slot.hold.since >= slot.hold.longest;
  if (out_of_time || side_.phase_ == ClientSide::Phase::Finishing) {
    refuse_held_value(slot);
    return false;
  }
  // Without room it is held back all the same: others may release some.
  static_cast<void>(slot.pipe->try_buffer_whole());
  return !slot.pipe->received_whole();
}

bool ClientConnection::has_read_behind_first() const {
  bool in_value = codec_ && codec_->size_of_value_in_progress() > 0;
  return in_value || !unparsed_input_.empty() ||
         std::any_of(slots_.begin() + 1, slots_.end(),
                     [](const ClientSlot& slot) { return slot.is_request; });
}

void ClientConnection::refuse_held_value(ClientSlot& slot) {
  side_.pipelining_suspension_.record_failure(slot.hold.class_name, side_.clock_.now());
  replace_value(slot, slot.hold.repeatable
                          ? codec_->rejection(slot.tag, Core::SubmitResult::TableFull)
                          : codec_->failure(slot.tag));
}

void ClientConnection::replace_value_by_failure(ClientSlot& slot) {
  if (has_read_behind_first())
    side_.pipelining_suspension_.record_failure(slot.hold.class_name, side_.clock_.now());
  replace_value(slot, codec_->failure(slot.tag));
}

void ClientConnection::replace_value(ClientSlot& slot, std::string text) {
  slot.release_pipe();
  release_bytes(slot.text.size());
  slot.text = std::move(text);
  reserve_bytes(slot.text.size());
}

void ClientConnection::flush() {
  if (!write_output()) return;
  free_written_output();
  if (out_.empty() && value_truncated_) {
    finish_after_truncated_value();
    return;
  }
  if (eof_ && !unparsed_input_.empty()) parse_buffered();
  if (out_.empty() && slots_.empty() && end_if_due()) return;
  if (!unparsed_input_.empty() && !closed_) parse_buffered();
  update_reading();
}

bool ClientConnection::write_output() {
  while (!closed_ && (advance(), out_at_ < out_.size())) {
    ssize_t put = ::send(fd_.get(), out_.data() + out_at_, out_.size() - out_at_, MSG_NOSIGNAL);
    if (put < 0) {
      if (errno == EINTR) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK) {
        side_.close(*this, CloseReason::Reset);
        return false;
      }
      send_progress_.start(side_.clock_.now(), unacknowledged_bytes(fd_));
      event_add(write_.get(), nullptr);
      break;
    }
    out_at_ += static_cast<std::size_t>(put);
    release_bytes(static_cast<std::size_t>(put));
    since_ = side_.clock_.now();
    send_progress_.stop();
  }
  return true;
}

void ClientConnection::free_written_output() {
  if (out_at_ == out_.size()) {
    if (out_.capacity() > kMaxIdleOutputBytes) std::string().swap(out_);
    out_.clear();
    out_at_ = 0;
  } else if (out_at_ > kMaxIdleOutputBytes) {
    out_.erase(0, out_at_);
    out_at_ = 0;
  }
}

bool ClientConnection::end_if_due() {
  if (eof_ || broken_ || over_limit_) {
    finish(reason_to_end());
    return true;
  }
  if (side_.closing() && between_requests()) {
    hand_over_or_close();
    return true;
  }
  bool all_parsed = unparsed_input_.empty() || waits_for_memory_;
  if (side_.phase_ != ClientSide::Phase::Finishing || !all_parsed) return false;
  finish(CloseReason::Draining);  // half a command
  return true;
}

void ClientConnection::hand_over_or_close() {
  if (lingering_) return;
  ClientSide::HandOverResult result = side_.shutting_down() && side_.hand_over_
                                          ? side_.hand_over_(fd_.get(), is_new_)
                                          : ClientSide::HandOverResult::NotSent;
  if (result == ClientSide::HandOverResult::Sent) side_.close(*this, CloseReason::Draining);
  if (result == ClientSide::HandOverResult::NotSent && still_idle_after_read())
    finish(CloseReason::Draining);
}

void ClientConnection::finish_after_truncated_value() {
  slots_.clear();
  finish(CloseReason::TruncatedValue);
}

CloseReason ClientConnection::reason_to_end() const {
  if (eof_) return CloseReason::ClientLeft;
  return broken_ ? CloseReason::FramingLost : CloseReason::OverLimit;
}

void ClientConnection::finish(CloseReason reason) {
  if (lingering_) return;
  if (eof_) {
    side_.close(*this, reason);
    return;
  }
  lingering_ = true;
  side_.count_close(*this, reason);
  since_ = side_.clock_.now();
  send_progress_.start(since_, unacknowledged_bytes(fd_));
  ::shutdown(fd_.get(), SHUT_WR);
  event_add(read_.get(), nullptr);
}

void ClientConnection::update_reading() {
  if (closed_ || eof_ || lingering_) return;
  bool want = !broken_ && !value_truncated_ && !must_not_read_behind() && read_limit() > 0;
  // In a shutdown, commands under way are answered and no more are read: later input is for the
  // next process, or crosses our close.
  if (side_.shutting_down() && !slots_.empty() && between_requests()) want = false;
  if (side_.phase_ == ClientSide::Phase::Finishing) want = false;
  if (want == reading_) return;
  reading_ = want;
  if (want) last_read_at_ = side_.clock_.now();  // the pause was this side's
  want ? event_add(read_.get(), nullptr) : event_del(read_.get());
  if (!want) side_.schedule_disconnect_check();
}

void ClientConnection::sweep(Micros now) {
  if (waits_for_memory_ && !lingering_ && !reserve_value()) refuse_overdue_value(now);
  continue_parsing();  // limits may have freed up
  if (closed_) return;
  if (!slots_.empty() && slots_.front().hold.since > 0) side_.mark_dirty(*this);
  if (side_.closing() && has_no_work() && between_requests() && !lingering_ &&
      !side_.shutting_down() &&
      (now - since_ > kDrainIdleTimeout || now - side_.operator_drain_since_ > kDrainCloseAll)) {
    if (still_idle_after_read()) finish(CloseReason::Draining);
    return;
  }
  bool in_value = codec_ && codec_->size_of_value_in_progress() > 0;
  Micros timeout = lingering_                       ? kLingerTimeout
                   : has_no_work() && received_any_ ? kIdleTimeout
                   : !slots_.empty()                ? Micros{0}
                   : in_value                       ? kValueTimeout
                                                    : kCommandTimeout;
  bool write_stalled = has_write_stalled(now);
  if (write_stalled && !lingering_) {
    side_.close(*this, CloseReason::WriteStalled);
    return;
  }
  bool expired = (timeout > 0 && out_.empty() && now - since_ > timeout) ||
                 (in_value && slots_.empty() && now - last_read_at_ > kValueStallTimeout);
  if (!expired) return;
  if (lingering_) {
    if (write_stalled || !unacknowledged()) side_.close(*this, CloseReason::Idle);
  } else if (!has_no_work()) {
    finish(CloseReason::HalfCommand);  // half a command
  } else if (still_idle_after_read()) {
    finish(CloseReason::Idle);
  }
}

void ClientConnection::shut_down() {
  flush();
  if (closed_) return;
  ::shutdown(fd_.get(), SHUT_WR);
  for (std::size_t dropped = 0; dropped < kLingerBytes;) {
    ssize_t got = ::recv(fd_.get(), side_.scratch_.get(), kReadBufferBytes, 0);
    if (got <= 0) break;
    dropped += static_cast<std::size_t>(got);
  }
}

}  // namespace arrowfork
