#include "server_connection.hpp"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "request_log.hpp"
#include "server_pool.hpp"
#include "server_side.hpp"

namespace arrowfork {
namespace {

// A reset this soon after a send is taken for the answer to that send: the server had closed the
// idle connection.
constexpr Micros kStaleResetTime = 10 * kMillisecond;
// A server may send an answer that carries no id twice, the second time some milliseconds late. One
// that follows another within this time may be such a duplicate, and then it is not the answer to
// the next command.
constexpr Micros kDuplicateAnswerTime = 50 * kMillisecond;
// Values of up to this size are always taken.
constexpr std::size_t kSmallValueBytes = 2048;
// Servers are told at most this much more time than is left. STANDING allows 0.15 s.
constexpr Micros kMaxToldWaitError = 20 * kMillisecond;

}  // namespace

ServerConnection::ServerConnection(ServerSide& side, ServerPool& pool, Fd fd)
    : side_(side),
      pool_(pool),
      fd_(std::move(fd)),
      value_charge_(side.memory_),
      codec_(ServerCodec::make(pool.protocol, side.fields_, side.rules_.cas_is_server_key,
                               [this](std::size_t bytes) { return reserve_for_value(bytes); })),
      last_used_at_(side.clock_.now()) {
  read_.reset(event_new(side.base_, fd_.get(), EV_READ | EV_PERSIST, on_event, this));
  write_.reset(event_new(side.base_, fd_.get(), EV_WRITE, on_event, this));
}

void ServerConnection::on_event(evutil_socket_t, short what, void* self) {
  auto* c = static_cast<ServerConnection*>(self);
  if (c->closed_) return;
  if (c->connecting_) {
    c->on_connect_event(what);
    return;
  }
  if (what & EV_WRITE) c->side_.schedule_flush(*c);
  if (what & EV_READ) c->read();
}

bool ServerConnection::is_abandoned() const {
  return !pipe_ && std::none_of(pending_.begin(), pending_.end(),
                                [](const PendingAttempt& e) { return e.awaited; });
}

bool ServerConnection::owes_answers() const {
  if (pipe_ && !pipe_->abandoned()) return true;
  auto unwritten = pending_.begin() + static_cast<std::ptrdiff_t>(written_count_);
  return std::any_of(pending_.begin(), unwritten,
                     [](const PendingAttempt& e) { return e.awaited; });
}

void ServerConnection::await_connect() {
  timeval limit = timeval_of(side_.limits_.dial_timeout);
  event_add(write_.get(), &limit);
}

void ServerConnection::on_connect_event(short what) {
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  if ((what & EV_TIMEOUT) || error != 0) {
    side_.on_dial_failed(*this);
    return;
  }
  connecting_ = false;
  event_add(read_.get(), nullptr);
  side_.schedule_flush(*this);
}

std::size_t ServerConnection::writable_count() const {
  // If servers may be configured for the wrong protocol, each connection risks only one attempt:
  // the others wait for the first answer, and go unsent to other servers if it is in the wrong
  // protocol.
  if (!side_.rules_.any() || pool_.proven) return pending_.size();
  return std::min(pending_.size(), std::max<std::size_t>(1, written_count_ + (partial_bytes_ > 0)));
}

void ServerConnection::update_told_waits() {
  Micros now = side_.clock_.now();
  for (std::size_t k = written_count_ + (partial_bytes_ > 0); k < pending_.size(); ++k) {
    PendingAttempt& e = pending_[k];
    if (e.wait_size == 0 || now - e.since < kMaxToldWaitError) continue;
    std::string wait =
        std::to_string(std::max<Micros>(1, (e.deadline - now + kMillisecond - 1) / kMillisecond));
    e.bytes.replace(e.wait_at, e.wait_size, wait);
    e.encoded_size += wait.size();
    e.encoded_size -= std::exchange(e.wait_size, wait.size());
  }
}

std::size_t ServerConnection::gather_unwritten(std::size_t until, std::span<iovec> parts) const {
  constexpr std::size_t kPartsOfEntry = 3;
  std::size_t count = 0, skip = partial_bytes_;
  auto add = [&](std::string_view bytes) {
    std::size_t from = std::min(skip, bytes.size());
    skip -= from;
    if (from == bytes.size()) return;
    parts[count++] = {const_cast<char*>(bytes.data()) + from, bytes.size() - from};
  };
  for (std::size_t k = written_count_; k < until && count + kPartsOfEntry <= parts.size(); ++k) {
    add(pending_[k].bytes);
    if (!pending_[k].value) continue;
    add(*pending_[k].value);
    add(pending_[k].tail);
  }
  return count;
}

void ServerConnection::record_written(std::size_t bytes) {
  partial_bytes_ += bytes;
  while (written_count_ < pending_.size() &&
         partial_bytes_ >= pending_[written_count_].encoded_size) {
    PendingAttempt& e = pending_[written_count_];
    partial_bytes_ -= e.encoded_size;
    Micros waited = side_.clock_.now() - e.since;
    if (e.awaited && waited > RequestLog::kLateWrite)
      side_.handler_.on_late_write(e.expected.id_or_key, e.attempt, pool_.id, waited);
    std::string().swap(e.bytes);
    e.value.reset();
    ++written_count_;
    ++side_.counts_.written;
  }
}

void ServerConnection::flush() {
  if (connecting_) return;
  // Checked right before each write, so that no attempt is written after a list has retired the
  // connection.
  if (retiring_) side_.withdraw_unwritten(*this);
  if (close_on_flush_ && pending_.empty()) {
    side_.close(*this);
    return;
  }
  update_told_waits();
  while (written_count_ < writable_count()) {
    std::array<iovec, 64> parts;
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = gather_unwritten(writable_count(), parts);
    ssize_t put = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
    if (put >= 0) {
      record_written(static_cast<std::size_t>(put));
      continue;
    }
    if (errno == EINTR) continue;
    if (errno == EAGAIN || errno == EWOULDBLOCK)
      event_add(write_.get(), nullptr);
    else
      side_.close(*this);
    return;
  }
}

void ServerConnection::open_pipe(ServerCodec::Answer& answer) {
  ++side_.counts_.streamed_values;
  ++side_.open_pipes_;
  pipe_ = std::make_shared<ValuePipe>(answer.value_length, side_.pipe_window(), side_.memory_);
  value_bytes_left_ = answer.value_length + 2;
  pipe_->on_writable([this] { update_reading(); });
  answer.result.pipe = pipe_;
}

void ServerConnection::close_pipe(bool whole) {
  if (!pipe_) return;
  --side_.open_pipes_;
  side_.counts_.broken_streams += !whole && !pipe_->abandoned();
  std::shared_ptr<ValuePipe> pipe = std::move(pipe_);
  pipe_.reset();
  pipe->on_writable(nullptr);
  whole ? pipe->finish() : pipe->fail();
}

bool ServerConnection::feed_pipe(std::string_view& in) {
  std::size_t body = value_bytes_left_ > 2 ? std::min(in.size(), value_bytes_left_ - 2) : 0;
  if (body > 0) {
    pipe_->put(in.substr(0, body));
    in.remove_prefix(body);
    value_bytes_left_ -= body;
  }
  while (value_bytes_left_ > 0 && value_bytes_left_ <= 2 && !in.empty()) {
    if (in.front() != (value_bytes_left_ == 2 ? '\r' : '\n')) {
      close_malformed();
      return false;
    }
    in.remove_prefix(1);
    --value_bytes_left_;
  }
  if (value_bytes_left_ == 0) close_pipe(true), close_on_flush_ = false;
  update_reading();
  return !closed_;
}

void ServerConnection::update_reading() {
  if (closed_ || connecting_) return;
  if (pipe_ && pipe_->abandoned() && pending_.empty()) {
    close_on_flush_ = true;  // the reader may be calling, so not from here
    side_.schedule_flush(*this);
    return;
  }
  bool wants_bytes = !pipe_ || pipe_->abandoned() || !pipe_->full();
  if (wants_bytes == reading_) return;
  reading_ = wants_bytes;
  if (wants_bytes) last_used_at_ = side_.clock_.now();  // the pause was caused by this side
  wants_bytes ? event_add(read_.get(), nullptr) : event_del(read_.get());
}

void ServerConnection::read() {
  std::size_t most = kReadBufferBytes;
  if (pipe_) {
    pipe_->set_window(side_.pipe_window());
    most = std::min(kReadBufferBytes, pipe_->window());
  }
  ssize_t got = ::recv(fd_.get(), side_.read_buffer_.get(), most, 0);
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
  if (got <= 0) {
    on_peer_close();
    return;
  }
  last_used_at_ = side_.clock_.now();
  std::string_view in(side_.read_buffer_.get(), static_cast<std::size_t>(got));
  if (!std::exchange(has_received_, true) && codec_->is_other_protocol(in.front())) {
    side_.on_wrong_protocol(*this);
    return;
  }
  if (!process_answers(in)) return;
  // Part of an answer that no command has asked for: it would be taken as the start of the next
  // one.
  if (!pipe_ && written_count_ == 0 && codec_->in_answer()) {
    close_malformed();
    return;
  }
  if (pending_.empty() && !pipe_ && retiring_) side_.close(*this);
}

void ServerConnection::on_peer_close() {
  Micros now = side_.clock_.now();
  if (pending_.empty()) {
    ++side_.counts_.ended_idle;
  } else {
    ++side_.counts_.ended_busy;
    bool stale = idle_before_use_ > 0 && written_count_ == pending_.size() && written_count_ == 1 &&
                 !codec_->in_answer() && now - last_used_at_ < kStaleResetTime;
    if (stale) pool_.record_idle_reset(idle_before_use_, now);
  }
  side_.close(*this);
}

bool ServerConnection::process_answers(std::string_view in) {
  ServerCodec::Answer answer;
  while (!closed_) {
    if (pipe_) {
      if (!feed_pipe(in)) return false;
      if (pipe_) break;
    }
    ServerCodec::Parsed parsed =
        codec_->parse(in, written_count_ > 0 ? &pending_.front().expected : nullptr, answer);
    if (parsed == ServerCodec::Parsed::Incomplete) {
      if (answer_began_at_ == 0 && codec_->in_answer()) answer_began_at_ = last_used_at_;
      break;
    }
    // After malformed or unsolicited bytes the two sides no longer agree on which answer belongs to
    // which command, so nothing more from this connection can be trusted.
    if (parsed == ServerCodec::Parsed::Invalid) {
      close_malformed();
      return false;
    }
    if (!process_answer(answer, parsed == ServerCodec::Parsed::ValueStart)) return false;
  }
  return !closed_;
}

bool ServerConnection::process_answer(ServerCodec::Answer& answer, bool begins_value) {
  bool framing_lost = answer.framing_lost;
  // A server at its connection limit accepts the connection, rejects the first command and closes.
  if (std::exchange(has_answered_, true)) {
    pool_.reused_answer_at = last_used_at_;
  } else {
    bool at_connection_limit = answer.status == Status::Rejected && has_closed_or_sent();
    if (at_connection_limit) answer.status = Status::ConnectionLimit;
    side_.record_dial(pool_, at_connection_limit);
  }
  if (!framing_lost && !std::exchange(pool_.proven, true))
    for (auto& c : pool_.connections) side_.schedule_flush(*c);
  if (may_be_duplicate(answer)) {
    close_malformed();
    return false;
  }
  answer.result.began_at = std::exchange(answer_began_at_, 0);
  PendingAttempt done = std::move(pending_.front());
  pending_.pop_front();
  --written_count_;
  pool_.budget.record_answer();
  value_charge_.set(0);  // whoever takes the answer reserves it anew
  if (begins_value) open_pipe(answer);
  if (done.awaited)
    side_.handler_.on_attempt_end(done.id, done.attempt, answer.status, std::move(answer.result));
  else
    ++side_.counts_.late_answers;
  answer.result.pipe.reset();
  // The handler did not take the value: another attempt had answered before.
  if (pipe_ && pipe_.use_count() == 1) pipe_->abandon();
  if (!framing_lost) return true;
  side_.close(*this, Status::Malformed);
  return false;
}

bool ServerConnection::may_be_duplicate(const ServerCodec::Answer& answer) {
  if (answer.identified) return false;
  // Taking a duplicate "busy" for the answer to a request that may run only once would allow it to
  // run twice, or refuse it though it ran. Whether it is a read or a write doesn't matter.
  bool follows_closely =
      unidentified_answer_at_ > 0 && last_used_at_ - unidentified_answer_at_ < kDuplicateAnswerTime;
  unidentified_answer_at_ = last_used_at_;
  return follows_closely && !pending_.front().expected.repeatable;
}

bool ServerConnection::reserve_for_value(std::size_t bytes) {
  using Priority = robinseam::limits::MemoryAccount::Priority;
  if (written_count_ == 0 || !pending_.front().awaited) return false;
  if (bytes <= kSmallValueBytes) {
    value_charge_.set(bytes);
    return true;
  }
  bool backlog = side_.handler_.client_has_backlog(pending_.front().id);
  bool reserved = value_charge_.try_set(bytes, backlog ? Priority::Backlog : Priority::First);
  side_.counts_.values_without_room += !reserved;
  return reserved;
}

std::optional<Micros> ServerConnection::expected_end() const {
  auto progress = codec_->progress(pending_.front().expected);
  if (!progress || progress->received == 0) return std::nullopt;
  Micros now = side_.clock_.now();
  double elapsed = static_cast<double>(std::max<Micros>(1, now - answer_began_at_));
  double share = static_cast<double>(progress->missing) / static_cast<double>(progress->received);
  return now + static_cast<Micros>(elapsed * share);
}

void ServerConnection::close_malformed() {
  ++side_.counts_.malformed_answers;
  side_.close(*this, Status::Malformed);
}

bool ServerConnection::has_closed_or_sent() const {
  char byte;
  ssize_t got = ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

}  // namespace arrowfork
