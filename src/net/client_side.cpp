#include "client_side.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace arrowfork {
namespace {

constexpr std::size_t kScratch = 64u << 10;
// Unanswered commands of one connection; beyond, it is not read.
constexpr std::size_t kPipelineMax = 64;
// Answer bytes that may wait for a slow reader before a stream is held, and from which it goes on.
constexpr std::size_t kOutHigh = 128u << 10, kOutLow = 32u << 10;
// A command must come within this of its first byte; PROTOCOL gives clients 2 s.
constexpr Micros kCommandTime = 10 * kSecond;
// A client that takes none of its answer for this long is given up.
constexpr Micros kStallTime = 10 * kSecond;
// After our FIN the connection is read until the client's, at most this long: closing with unread
// bytes would send a reset, which may destroy the last answer on its way.
constexpr Micros kLingerTime = kSecond;
constexpr Micros kSweep = kSecond / 4;

}  // namespace

class ClientConnection {
 public:
  ClientConnection(ClientSide& side, Fd fd, bool over_limit)
      : side_(side), fd_(std::move(fd)), over_limit_(over_limit), since_(side.clock_.now()) {
    read_.reset(event_new(side.base_, fd_.get(), EV_READ | EV_PERSIST, on_event, this));
    write_.reset(event_new(side.base_, fd_.get(), EV_WRITE, on_event, this));
    event_add(read_.get(), nullptr);
  }
  ~ClientConnection() { side_.upload_bytes_ -= upload_; }

  static void on_event(evutil_socket_t, short what, void* self) {
    auto* c = static_cast<ClientConnection*>(self);
    if (c->closed_) return;
    if (what & EV_WRITE) c->side_.touch(*c);
    if (what & EV_READ) c->read();
  }

  bool idle() const { return slots_.empty() && out_.empty() && !in_command(); }
  bool in_command() const { return reader_.in_command() || !held_.empty(); }

  void read() {
    ssize_t got = ::recv(fd_.get(), side_.scratch_.get(), kScratch, 0);
    if (got < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) return;
      side_.close(*this);  // reset: the client is gone for certain
      return;
    }
    if (lingering_) {
      if (got == 0) side_.close(*this);
      return;
    }
    if (got == 0) {
      end_of_input();
      return;
    }
    if (!in_command()) since_ = side_.clock_.now();
    std::string_view in(side_.scratch_.get(), static_cast<std::size_t>(got));
    if (held_.empty()) {
      parse(in);
      held_.assign(in);
    } else {
      held_.append(in);
      parse_held();
    }
    update_reading();
  }

  /// Handles the commands in `in` and consumes them, until the pipeline is full or an upload has to
  /// wait.
  void parse(std::string_view& in) {
    while (!broken_ && !closed_ && slots_.size() < kPipelineMax && (!in.empty()) &&
           out_.size() < kOutHigh) {
      if (!admit_upload()) return;
      Command command;
      auto got = reader_.take(in, command);
      if (reader_.value_missing() == 0) release_upload();
      switch (got) {
        case CommandReader::Got::Nothing:
          if (!admit_upload()) return;
          break;
        case CommandReader::Got::Command: {
          ClientSlot& slot = add_slot();
          if (over_limit_)
            side_.answer(slot, "SERVER_ERROR busy\r\n");
          else
            side_.handler_.on_command(slot, std::move(command));
          break;
        }
        case CommandReader::Got::Noop:
          side_.answer(add_slot(), "MN\r\n");
          break;
        case CommandReader::Got::Unknown:
          side_.answer(add_slot(), "ERROR\r\n");
          break;
        case CommandReader::Got::Bad:
          side_.answer(add_slot(), "CLIENT_ERROR bad command\r\n");
          break;
        case CommandReader::Got::Broken:
          side_.answer(add_slot(), "CLIENT_ERROR bad framing\r\n");
          broken_ = true;
          break;
      }
    }
    if (broken_) in = {};
  }

  void parse_held() {
    std::string_view in = held_;
    parse(in);
    held_.erase(0, held_.size() - in.size());
  }

  /// Back-pressure for large values being written: all of one must fit in what is left of the
  /// budget for all before its bytes are read.
  bool admit_upload() {
    std::size_t missing = reader_.value_missing();
    if (upload_ > 0 || missing <= kLargeValue) return true;
    if (side_.upload_bytes_ + missing > side_.limits_.upload_bytes) {
      upload_waits_ = true;
      return false;
    }
    upload_waits_ = false;
    upload_ = missing;
    side_.upload_bytes_ += missing;
    return true;
  }
  void release_upload() {
    side_.upload_bytes_ -= upload_;
    upload_ = 0;
  }

  /// A half-close looks like a close. What was taken is still answered: a client that is really
  /// gone only makes the write fail.
  void end_of_input() {
    eof_ = true;
    held_.clear();
    release_upload();
    event_del(read_.get());
    if (slots_.empty() && out_.empty()) {
      side_.close(*this);
      return;
    }
    for (ClientSlot& slot : slots_)
      if (slot.id && !slot.done) side_.handler_.on_left(slot.id);
  }

  ClientSlot& add_slot() {
    slots_.emplace_back();
    slots_.back().connection = this;
    return slots_.back();
  }

  /// Moves finished answers into the output, in order.
  void advance() {
    while (!slots_.empty()) {
      ClientSlot& slot = slots_.front();
      if (!slot.text.empty()) {
        if (out_.empty())
          out_ = std::move(slot.text);
        else
          out_ += slot.text;
        slot.text.clear();
      }
      if (!slot.done) return;
      slots_.pop_front();
    }
  }

  void flush() {
    advance();
    while (out_at_ < out_.size()) {
      ssize_t put = ::send(fd_.get(), out_.data() + out_at_, out_.size() - out_at_, MSG_NOSIGNAL);
      if (put < 0) {
        if (errno == EINTR) continue;
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
          side_.close(*this);
          return;
        }
        if (!stalled_since_) stalled_since_ = side_.clock_.now();
        event_add(write_.get(), nullptr);
        break;
      }
      out_at_ += static_cast<std::size_t>(put);
      stalled_since_ = 0;
    }
    if (out_at_ == out_.size()) {
      if (out_.capacity() > kOutLow) std::string().swap(out_);
      out_.clear();
      out_at_ = 0;
    } else if (out_at_ > kOutLow) {
      out_.erase(0, out_at_);
      out_at_ = 0;
    }
    if (out_.empty() && slots_.empty() &&
        (eof_ || broken_ || over_limit_ || (side_.draining_ && !in_command()))) {
      finish();
      return;
    }
    if (!slots_.empty() && slots_.front().streaming && out_.size() - out_at_ < kOutLow)
      side_.handler_.on_room(slots_.front().id);
    if (!held_.empty() && !closed_) parse_held();
    update_reading();
  }

  /// Closes after the last answer.
  void finish() {
    if (lingering_) return;
    if (eof_) {
      side_.close(*this);
      return;
    }
    lingering_ = true;
    since_ = side_.clock_.now();
    ::shutdown(fd_.get(), SHUT_WR);
    event_add(read_.get(), nullptr);
  }

  void update_reading() {
    if (closed_ || eof_ || lingering_) return;
    bool want = held_.empty() && !broken_ && slots_.size() < kPipelineMax &&
                out_.size() - out_at_ < kOutHigh;
    if (want == reading_) return;
    reading_ = want;
    want ? event_add(read_.get(), nullptr) : event_del(read_.get());
  }

  void sweep(Micros now) {
    if (upload_waits_ && !held_.empty()) {
      parse_held();
      update_reading();
    }
    bool late = lingering_ ? now - since_ > kLingerTime
                           : in_command() && slots_.empty() && now - since_ > kCommandTime;
    if (late || (stalled_since_ && now - stalled_since_ > kStallTime)) side_.close(*this);
  }

  ClientSide& side_;
  Fd fd_;
  EventPtr read_, write_;
  CommandReader reader_;
  std::deque<ClientSlot> slots_;
  std::string held_;  // bytes read that must wait to be parsed
  std::string out_;
  std::size_t out_at_ = 0;
  std::size_t upload_ = 0;  // of the budget for large values
  bool upload_waits_ = false;
  bool reading_ = true;
  bool eof_ = false;
  bool broken_ = false;  // framing lost: closes after the answers due
  bool over_limit_;      // refused and closed
  bool lingering_ = false;
  bool dirty_ = false;
  bool closed_ = false;
  Micros since_;  // last command's first byte, or start of the linger
  Micros stalled_since_ = 0;
  std::size_t index_ = 0;  // in ClientSide::connections_
};

ClientSide::ClientSide(event_base* base, const Clock& clock, Handler& handler, Limits limits)
    : base_(base),
      clock_(clock),
      handler_(handler),
      limits_(limits),
      scratch_(std::make_unique<char[]>(kScratch)) {
  sweep_event_.reset(event_new(base, -1, EV_PERSIST, on_sweep, this));
  timeval every = timeval_of(kSweep);
  event_add(sweep_event_.get(), &every);
}

ClientSide::~ClientSide() = default;

bool ClientSide::listen(const sockaddr_in& address, std::string& error) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  int on = 1;
  if (!fd || ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd.get(), SOMAXCONN) != 0) {
    error = std::strerror(errno);
    return false;
  }
  listener_ = std::move(fd);
  accept_event_.reset(event_new(base_, listener_.get(), EV_READ | EV_PERSIST, on_accept, this));
  event_add(accept_event_.get(), nullptr);
  return true;
}

std::uint16_t ClientSide::port() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void ClientSide::on_accept(evutil_socket_t, short, void* self) {
  static_cast<ClientSide*>(self)->accept_some(64);
}

void ClientSide::on_sweep(evutil_socket_t, short, void* self) {
  static_cast<ClientSide*>(self)->sweep();
}

void ClientSide::accept_some(int most) {
  while (most-- > 0) {
    if (connections_.size() >= limits_.connections && !close_longest_idle() &&
        connections_.size() >= limits_.connections + limits_.spare_connections) {
      accept_paused_ = true;  // level-triggered: without this the loop would spin
      event_del(accept_event_.get());
      return;
    }
    Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK && !close_longest_idle()) {
        accept_paused_ = true;  // out of descriptors or memory: the sweep tries again
        event_del(accept_event_.get());
      }
      return;
    }
    int on = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    bool over = connections_.size() >= limits_.connections;
    connections_.push_back(std::make_unique<ClientConnection>(*this, std::move(fd), over));
    connections_.back()->index_ = connections_.size() - 1;
  }
}

bool ClientSide::close_longest_idle() {
  ClientConnection* longest = nullptr;
  for (auto& c : connections_)
    if (c->idle() && !c->lingering_ && (!longest || c->since_ < longest->since_)) longest = c.get();
  if (!longest) return false;
  close(*longest);
  return true;
}

void ClientSide::sweep() {
  Micros now = clock_.now();
  for (std::size_t k = connections_.size(); k-- > 0;)  // from the end: closing moves the last one
    if (k < connections_.size()) connections_[k]->sweep(now);
  if (accept_paused_ && !draining_) {
    accept_paused_ = false;
    event_add(accept_event_.get(), nullptr);
  }
}

void ClientSide::touch(ClientConnection& c) {
  if (c.dirty_ || c.closed_) return;
  c.dirty_ = true;
  dirty_.push_back(&c);
}

void ClientSide::close(ClientConnection& c) {
  if (c.closed_) return;
  c.closed_ = true;
  for (ClientSlot& slot : c.slots_)
    if (slot.id && !slot.done) handler_.on_gone(slot.id);
  c.slots_.clear();
  c.read_.reset();
  c.write_.reset();
  c.fd_.reset();
  std::size_t at = c.index_;
  closed_.push_back(std::move(connections_[at]));
  if (at + 1 != connections_.size()) {
    connections_[at] = std::move(connections_.back());
    connections_[at]->index_ = at;
  }
  connections_.pop_back();
}

void ClientSide::answer(ClientSlot& slot, std::string text) {
  slot.text += text;
  slot.done = true;
  touch(*slot.connection);
}

void ClientSide::stream_begin(ClientSlot& slot, std::string line) {
  slot.text = std::move(line);
  slot.streaming = true;
  touch(*slot.connection);
}

void ClientSide::stream_data(ClientSlot& slot, std::string_view data) {
  slot.text += data;
  touch(*slot.connection);
}

void ClientSide::stream_end(ClientSlot& slot) { answer(slot, "\r\n"); }

void ClientSide::cut(ClientSlot& slot) {
  ClientConnection& c = *slot.connection;
  slot.done = true;  // final: no on_gone for it
  close(c);
}

bool ClientSide::has_room(const ClientSlot& slot) const {
  const ClientConnection& c = *slot.connection;
  std::size_t waiting = slot.text.size();
  if (&c.slots_.front() == &slot) waiting += c.out_.size() - c.out_at_;
  return waiting < kOutHigh;
}

void ClientSide::flush() {
  // Flushing may parse held commands, whose answers make a connection dirty again.
  for (std::size_t k = 0; k < dirty_.size(); ++k) {
    ClientConnection* c = dirty_[k];
    c->dirty_ = false;
    if (!c->closed_) c->flush();
  }
  dirty_.clear();
  closed_.clear();
}

void ClientSide::drain() {
  if (draining_ || !listener_) return;
  if (accept_paused_) event_add(accept_event_.get(), nullptr);
  accept_some(4096);
  draining_ = true;
  accept_event_.reset();
  listener_.reset();
  // What is already in a socket's buffer was taken: it is read before the connection may close.
  for (std::size_t k = connections_.size(); k-- > 0;) {
    if (k >= connections_.size()) continue;
    ClientConnection& c = *connections_[k];
    if (c.reading_ && !c.eof_ && !c.lingering_) c.read();
    touch(c);
  }
}

}  // namespace arrowfork
