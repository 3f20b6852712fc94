#include "server_connection.hpp"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "server_pool.hpp"
#include "server_side.hpp"

namespace arrowfork {
namespace {

// A reset this soon after the send is the answer to the send itself.
constexpr Micros kStaleReset = 10 * kMillisecond;
// An answer that names no command may come twice, the second time some milliseconds late. Behind
// one of its kind within this time it may be that, and then says nothing of the next command.
constexpr Micros kSecondAnswer = 50 * kMillisecond;

}  // namespace

ServerConnection::ServerConnection(ServerSide& side, ServerPool& pool, Fd fd)
    : side_(side),
      pool_(pool),
      fd_(std::move(fd)),
      codec_(ServerCodec::make(pool.protocol, side.fields_, side.rules_.cas_is_server_key)),
      used_at_(side.clock_.now()) {
  read_.reset(event_new(side.base_, fd_.get(), EV_READ | EV_PERSIST, on_event, this));
  write_.reset(event_new(side.base_, fd_.get(), EV_WRITE, on_event, this));
}

void ServerConnection::on_event(evutil_socket_t, short what, void* self) {
  auto* c = static_cast<ServerConnection*>(self);
  if (c->closed_) return;
  if (c->connecting_) {
    c->connected(what);
    return;
  }
  if (what & EV_WRITE) c->side_.touch(*c);
  if (what & EV_READ) c->read();
}

bool ServerConnection::forsaken() const {
  return !pipe_ &&
         std::none_of(entries_.begin(), entries_.end(), [](const Entry& e) { return e.live; });
}

void ServerConnection::await_connect() {
  timeval limit = timeval_of(side_.limits_.dial_timeout);
  event_add(write_.get(), &limit);
}

void ServerConnection::connected(short what) {
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  if ((what & EV_TIMEOUT) || error != 0) {
    side_.failed_dial(*this);
    return;
  }
  connecting_ = false;
  event_add(read_.get(), nullptr);
  side_.touch(*this);
}

std::size_t ServerConnection::may_write() const {
  // Where servers may be configured for the wrong protocol, one attempt a connection is what that
  // may cost: the others wait for the first answer, and go elsewhere unsent if it is none.
  if (!side_.rules_.any() || pool_.proven) return entries_.size();
  return std::min(entries_.size(), std::max<std::size_t>(1, sent_ + (partial_ > 0)));
}

std::size_t ServerConnection::gather(std::size_t until, std::span<iovec> parts) const {
  constexpr std::size_t kPartsOfEntry = 3;
  std::size_t count = 0, skip = partial_;
  auto add = [&](std::string_view bytes) {
    std::size_t from = std::min(skip, bytes.size());
    skip -= from;
    if (from == bytes.size()) return;
    parts[count++] = {const_cast<char*>(bytes.data()) + from, bytes.size() - from};
  };
  for (std::size_t k = sent_; k < until && count + kPartsOfEntry <= parts.size(); ++k) {
    add(entries_[k].bytes);
    if (!entries_[k].value) continue;
    add(*entries_[k].value);
    add(entries_[k].tail);
  }
  return count;
}

void ServerConnection::note_written(std::size_t bytes) {
  partial_ += bytes;
  while (sent_ < entries_.size() && partial_ >= entries_[sent_].size) {
    Entry& e = entries_[sent_];
    partial_ -= e.size;
    std::string().swap(e.bytes);
    e.value.reset();
    ++sent_;
    ++side_.counts_.written;
  }
}

void ServerConnection::flush() {
  if (connecting_) return;
  // Right before anything is written: no queue outruns a list.
  if (retiring_) side_.recall(*this);
  if (doomed_ && entries_.empty()) {
    side_.close(*this);
    return;
  }
  while (sent_ < may_write()) {
    std::array<iovec, 64> parts;
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = gather(may_write(), parts);
    ssize_t put = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
    if (put >= 0) {
      note_written(static_cast<std::size_t>(put));
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

void ServerConnection::begin_pipe(ServerCodec::Answer& answer) {
  ++side_.counts_.streamed_values;
  ++side_.pipes_;
  pipe_ = std::make_shared<ValuePipe>(answer.length, side_.pipe_window());
  left_ = answer.length + 2;
  pipe_->on_room([this] { update_reading(); });
  answer.result.pipe = pipe_;
}

void ServerConnection::end_pipe(bool whole) {
  if (!pipe_) return;
  --side_.pipes_;
  side_.counts_.broken_streams += !whole && !pipe_->abandoned();
  std::shared_ptr<ValuePipe> pipe = std::move(pipe_);
  pipe_.reset();
  pipe->on_room(nullptr);
  whole ? pipe->finish() : pipe->fail();
}

bool ServerConnection::feed(std::string_view& in) {
  std::size_t body = left_ > 2 ? std::min(in.size(), left_ - 2) : 0;
  if (body > 0) {
    pipe_->put(in.substr(0, body));
    in.remove_prefix(body);
    left_ -= body;
  }
  while (left_ > 0 && left_ <= 2 && !in.empty()) {
    if (in.front() != (left_ == 2 ? '\r' : '\n')) {
      spoilt();
      return false;
    }
    in.remove_prefix(1);
    --left_;
  }
  if (left_ == 0) end_pipe(true), doomed_ = false;
  update_reading();
  return !closed_;
}

void ServerConnection::update_reading() {
  if (closed_ || connecting_) return;
  if (pipe_ && pipe_->abandoned() && entries_.empty()) {
    doomed_ = true;  // by the reader's call, so not at once
    side_.touch(*this);
    return;
  }
  bool want = !pipe_ || pipe_->abandoned() || !pipe_->full();
  if (want == reading_) return;
  reading_ = want;
  if (want) used_at_ = side_.clock_.now();  // its silence was ours
  want ? event_add(read_.get(), nullptr) : event_del(read_.get());
}

void ServerConnection::read() {
  std::size_t most = kScratch;
  if (pipe_) {
    pipe_->set_window(side_.pipe_window());
    most = std::min(kScratch, pipe_->window());
  }
  ssize_t got = ::recv(fd_.get(), side_.scratch_.get(), most, 0);
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
  if (got <= 0) {
    end_read();
    return;
  }
  used_at_ = side_.clock_.now();
  std::string_view in(side_.scratch_.get(), static_cast<std::size_t>(got));
  if (!std::exchange(heard_, true) && codec_->is_other_protocol(in.front())) {
    side_.wrong_protocol(*this);
    return;
  }
  if (!take_answers(in)) return;
  // The beginning of something that nobody asked for: it would be read as part of the next
  // answer.
  if (!pipe_ && sent_ == 0 && codec_->in_answer()) {
    spoilt();
    return;
  }
  if (entries_.empty() && !pipe_ && retiring_) side_.close(*this);
}

void ServerConnection::end_read() {
  Micros now = side_.clock_.now();
  if (entries_.empty()) {
    ++side_.counts_.ended_idle;
  } else {
    ++side_.counts_.ended_busy;
    bool stale = idle_before_ > 0 && sent_ == entries_.size() && sent_ == 1 &&
                 !codec_->in_answer() && now - used_at_ < kStaleReset;
    if (stale) pool_.note_idle_reset(idle_before_, now);
  }
  side_.close(*this);
}

bool ServerConnection::take_answers(std::string_view in) {
  ServerCodec::Answer answer;
  while (!closed_) {
    if (pipe_) {
      if (!feed(in)) return false;
      if (pipe_) break;
    }
    ServerCodec::Got what =
        codec_->take(in, sent_ > 0 ? &entries_.front().expected : nullptr, answer);
    if (what == ServerCodec::Got::Nothing) break;
    // Garbage, and answers nobody asked for, say that the two sides no longer agree on what
    // belongs to what: nothing more from this connection may be believed.
    if (what == ServerCodec::Got::Broken) {
      spoilt();
      return false;
    }
    if (!take_answer(answer, what == ServerCodec::Got::Begin)) return false;
  }
  return !closed_;
}

bool ServerConnection::take_answer(ServerCodec::Answer& answer, bool begins_value) {
  bool last = answer.last;
  // A server whose table is full takes the connection, says so once and ends it.
  if (std::exchange(answered_, true)) {
    pool_.answered_at = used_at_;
  } else {
    bool no_room = answer.status == Status::Rejected && ended();
    if (no_room) answer.status = Status::ConnectionLimit;
    side_.note_dial(pool_, no_room);
  }
  if (!last && !std::exchange(pool_.proven, true))
    for (auto& c : pool_.connections) side_.touch(*c);
  if (repeats_unnamed(answer)) {
    spoilt();
    return false;
  }
  Entry done = std::move(entries_.front());
  entries_.pop_front();
  --sent_;
  pool_.budget.answered();
  if (begins_value) begin_pipe(answer);
  if (done.live)
    side_.handler_.on_attempt_end(done.id, done.attempt, answer.status, std::move(answer.result));
  else
    ++side_.counts_.late_answers;
  answer.result.pipe.reset();
  // Nobody wanted it: a copy had answered before.
  if (pipe_ && pipe_.use_count() == 1) pipe_->abandon();
  if (!last) return true;
  side_.close(*this, Status::Malformed);
  return false;
}

bool ServerConnection::repeats_unnamed(const ServerCodec::Answer& answer) {
  if (answer.named) return false;
  // Believed, "busy" would let a write run twice that may run once. Reads can take it as it is.
  bool again = unnamed_at_ > 0 && used_at_ - unnamed_at_ < kSecondAnswer;
  unnamed_at_ = used_at_;
  return again && entries_.front().expected.write;
}

void ServerConnection::spoilt() {
  ++side_.counts_.malformed_answers;
  side_.close(*this, Status::Malformed);
}

bool ServerConnection::ended() const {
  char byte;
  ssize_t got = ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

}  // namespace arrowfork
