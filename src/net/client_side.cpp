#include "client_side.hpp"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace arrowfork {
namespace {

constexpr std::size_t kScratch = 64u << 10;
// Unanswered commands of one connection; beyond, it is not read.
constexpr std::size_t kPipelineMax = 32;
// Bytes of one connection's commands and answers, and of answers that wait for a slow reader;
// beyond, it is not read. Any one command and its answer fit.
constexpr std::size_t kHeldMost = 2 * (kMaxValue + kMaxLine);
// Output buffers larger than this are given back when empty.
constexpr std::size_t kOutLow = 32u << 10;
// A command's line must come within this of its first byte, and a connection's first one within
// this of the connect: a client may take 2 s for a head, and DAYS owes bad clients an error or a
// close within 3 s, the sweep's step included.
constexpr Micros kCommandTime = 2'500 * kMillisecond;
// A value may come as slowly as it likes, but not stand still for so long, nor take longer in all.
constexpr Micros kValueSilence = 2'500 * kMillisecond;
constexpr Micros kValueTime = 60 * kSecond;
// Nothing is lost with a connection on which nothing was asked for this long, and clients that keep
// theirs for good would fill the table with them. DAYS allows it from 2 s on; clients' own pools
// are used again well within this, and closing those would cost them connects and crossings.
constexpr Micros kIdleTime = 10 * kSecond;
// When the table is full, a connection that has said nothing for this long after its connect makes
// way, and one that has not closed this long after its last answer: clients connect to ask.
constexpr Micros kSilentTime = kSecond / 10;
// A client that takes none of its answer for this long is given up.
// Slow readers of large values show that they read only by half a socket's buffer at a time.
constexpr Micros kStallTime = 5 * kSecond;
// After our FIN the connection is read until the client's, at most this long and this many bytes:
// closing with unread bytes would send a reset, which may destroy the last answer on its way.
constexpr Micros kLingerTime = kSecond / 2;
// As long as the client has not got all that was written, the reset would take an answer with it:
// then up to kStallTime and this many bytes.
constexpr std::size_t kLingerBytes = 1u << 20, kLingerMostBytes = 16u << 20;
// A client that has gone may have left bytes that wait unread, so that its end is not read either:
// such connections are asked for it this often, which leaves most of the 0.1 s within which nothing
// more may begin for it.
constexpr Micros kLookForEnd = 40 * kMillisecond;
// Also how long new connections wait at most once one of those in the table may make way.
constexpr Micros kSweep = kSecond / 10;
// Clients are sent away: so long after the call the front has asked `mn` again and sends no more
// new connections (0.1 s and 0.2 s, and some delay). From then on a connection that has its answer
// is closed, one that was idle for a while too, and after the longer time every one between
// requests: 4 s after the call none may be held.
constexpr Micros kAwayNoticed = kSecond / 2;
constexpr Micros kAwayIdle = kSecond / 2;
constexpr Micros kAwayAll = 2 * kSecond;

}  // namespace

class ClientConnection {
 public:
  ClientConnection(ClientSide& side, Fd fd, bool over_limit)
      : side_(side), fd_(std::move(fd)), over_limit_(over_limit), since_(side.clock_.now()) {
    read_.reset(event_new(side.base_, fd_.get(), EV_READ | EV_PERSIST, on_event, this));
    write_.reset(event_new(side.base_, fd_.get(), EV_WRITE, on_event, this));
    event_add(read_.get(), nullptr);
  }
  ~ClientConnection() {
    hold_less(held_bytes_);
    side_.bulk_bytes_ -= bulk_;
  }

  static void on_event(evutil_socket_t, short what, void* self) {
    auto* c = static_cast<ClientConnection*>(self);
    if (c->closed_) return;
    if (what & EV_WRITE) c->side_.touch(*c);
    if (what & EV_READ) c->read();
  }

  bool at_rest() const { return slots_.empty() && out_.empty() && !in_command(); }
  bool idle() const { return at_rest() && between_requests(); }
  bool in_command() const { return (codec_ && codec_->in_command()) || !held_.empty(); }

  /// Quiet commands that were taken owe the client the answer to the one that ends them.
  bool between_requests() const { return !in_command() && !(codec_ && codec_->barrier_due()); }

  /// What has come by now is read before the connection is ended: a request may lie there. False
  /// where something is owed after it.
  bool nothing_came() {
    if (reading_ && !eof_ && !lingering_) read();
    return !closed_ && idle();
  }

  /// The client's machine has not got all that was written.
  bool unacknowledged() const {
    int bytes = 0;
    return ::ioctl(fd_.get(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
  }

  /// Whether the client has ended its connection behind bytes that are not read yet.
  void look_for_end() {
    if (reading_ || closed_ || eof_ || leaving_ || lingering_) return;
    pollfd p{fd_.get(), POLLRDHUP, 0};
    if (::poll(&p, 1, 0) <= 0) return;
    if (p.revents & (POLLERR | POLLHUP)) {
      side_.close(*this);
      return;
    }
    if (!(p.revents & POLLRDHUP)) return;
    leaving_ = true;
    leave();
  }

  void read() {
    ssize_t got = ::recv(fd_.get(), side_.scratch_.get(), kScratch, 0);
    if (got < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) return;
      side_.close(*this);  // reset: the client is gone for certain
      return;
    }
    if (lingering_) {  // what crosses our end is nobody's to send on
      lingered_ += static_cast<std::size_t>(got);
      if (got == 0 || (lingered_ > kLingerBytes && !unacknowledged()) ||
          lingered_ > kLingerMostBytes)
        side_.close(*this);
      return;
    }
    if (got == 0) {
      end_of_input();
      return;
    }
    asked_ = true;
    heard_at_ = side_.clock_.now();
    if (!in_command()) since_ = heard_at_;
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

  /// The first byte tells; the connection keeps what it said.
  void choose_codec(unsigned char first) {
    if (side_.rules_.clients && first == binary::kRequestMagic) {
      ++side_.counts_.binary;
      codec_ = std::make_unique<BinaryClientCodec>(side_.rules_, side_.stats_);
    } else {
      ++side_.counts_.meta;
      codec_ = std::make_unique<MetaClientCodec>(side_.core_, side_.rules_.any(), side_.away_);
    }
  }

  /// Handles the commands in `in` and consumes them, until a budget is used up.
  void parse(std::string_view& in) {
    if (!codec_ && !in.empty()) choose_codec(static_cast<unsigned char>(in.front()));
    ClientCodec::Taken taken;
    while (!broken_ && !closed_ && !in.empty() && may_take()) {
      auto got = codec_->take(in, taken);
      if (got == ClientCodec::Got::Nothing) break;
      since_ = side_.clock_.now();  // the next one begins
      ClientSlot& slot = add_slot();
      slot.bulk = std::exchange(bulk_, 0);
      slot.tag = taken.tag;
      if (got == ClientCodec::Got::Request) {
        take(slot, std::move(taken.request));
        continue;
      }
      broken_ = got == ClientCodec::Got::Last;
      side_.answer(slot, std::move(taken.answer));
    }
    if (broken_) in = {};
  }

  void take(ClientSlot& slot, Request&& request) {
    slot.bytes = request.line_before_wait.size() + request.line_after_wait.size() +
                 (request.value && slot.bulk == 0 ? request.value->size() : 0);
    if (request.line_before_wait.empty()) slot.bytes += binary::kHeader + request.key.size();
    hold_more(slot.bytes);
    bool refused = over_limit_ || eof_ || leaving_;  // nothing new for a client that has gone
    if (refused) side_.core_.note_refused(request.type);
    Core::Taken taken = refused
                            ? Core::Taken::Busy
                            : side_.core_.take(std::move(request), slot, side_.carrier_, slot.id);
    if (taken != Core::Taken::Yes) side_.answer(slot, codec_->not_taken(slot.tag, taken));
  }

  /// Back-pressure: what a client has under way is bounded, for itself and for all together. One
  /// with nothing under way is always read, so that none waits for others for good.
  bool may_take() const {
    if (waits_for_room_) return false;
    if (slots_.empty() && out_.empty()) return true;
    return slots_.size() < kPipelineMax && held_bytes_ < kHeldMost &&
           side_.held_bytes_ < side_.limits_.held_bytes;
  }

  void hold_more(std::size_t bytes) {
    held_bytes_ += bytes;
    side_.held_bytes_ += bytes;
  }
  void hold_less(std::size_t bytes) {
    held_bytes_ -= bytes;
    side_.held_bytes_ -= bytes;
  }

  void parse_held() {
    std::string_view in = held_;
    parse(in);
    held_.erase(0, held_.size() - in.size());
  }

  /// A large value's place in the pool: without it the connection is not read on.
  void reserve_bulk() {
    std::size_t need = codec_ ? codec_->in_value() : 0;
    waits_for_room_ = false;
    if (need <= kMaxValue + 2 || bulk_ > 0) return;
    if (side_.bulk_bytes_ > 0 && side_.bulk_bytes_ + need > side_.limits_.bulk_bytes) {
      waits_for_room_ = true;
      heard_at_ = since_ = side_.clock_.now();
      return;
    }
    bulk_ = need;
    side_.bulk_bytes_ += need;
  }

  /// A half-close looks like a close, so that nothing new is begun for the client. What may run
  /// already is waited for and answered, the rest refused: a client that is really gone only makes
  /// the write fail.
  void end_of_input() {
    eof_ = true;
    event_del(read_.get());
    leave();
    if (!waits_for_room_) parse_held();
    if (waits_for_room_) held_.clear();
    if (slots_.empty() && out_.empty() && held_.empty()) side_.close(*this);
  }

  void leave() {
    for (ClientSlot& slot : slots_)
      if (slot.id && !slot.done) side_.core_.left(slot.id);
  }

  ClientSlot& add_slot() {
    slots_.emplace_back();
    slots_.back().connection = this;
    return slots_.back();
  }

  /// Moves finished answers into the output, in order; of a large value so much as may be held.
  void advance() {
    while (!slots_.empty() && slots_.front().done && !cut_short_) {
      ClientSlot& slot = slots_.front();
      out_ += std::exchange(slot.text, {});
      if (ValuePipe* pipe = slot.pipe.get()) {
        while (out_.size() - out_at_ < pipe->window()) {
          std::string bytes = pipe->take();
          if (bytes.empty()) break;
          hold_more(bytes.size());
          out_ += bytes;
        }
        if (!pipe->finished()) {
          cut_short_ = pipe->failed();
          return;
        }
        std::string_view behind = codec_->behind_value();
        hold_more(behind.size());
        out_ += behind;
      }
      slots_.pop_front();
    }
  }

  void flush() {
    while (!closed_ && (advance(), out_at_ < out_.size())) {
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
      hold_less(static_cast<std::size_t>(put));
      since_ = side_.clock_.now();
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
    // The client has been told a length that will not come: an end is all that can tell it.
    if (out_.empty() && cut_short_) {
      slots_.clear();
      side_.close(*this);
      return;
    }
    if (eof_ && !held_.empty()) parse_held();
    if (out_.empty() && slots_.empty()) {
      if (eof_ || broken_ || over_limit_) {
        finish();
        return;
      }
      if (side_.closing() && between_requests()) {
        part();
        return;
      }
    }
    if (!held_.empty() && !closed_) parse_held();
    update_reading();
  }

  /// Ends the connection between two requests: what the client sends next is another process's, or
  /// crosses our end.
  void part() {
    if (lingering_) return;
    ClientSide::HandOverResult given = side_.draining_ && side_.hand_over_
                                           ? side_.hand_over_(fd_.get())
                                           : ClientSide::HandOverResult::NotSent;
    if (given == ClientSide::HandOverResult::Sent) side_.close(*this);
    if (given == ClientSide::HandOverResult::NotSent && nothing_came()) finish();
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
    reserve_bulk();
    bool want = held_.empty() && !broken_ && may_take();
    // Once we end, what has been begun is answered and no more taken: what comes behind it crosses
    // our end, or is the next process's.
    if (side_.draining_ && !slots_.empty() && between_requests()) want = false;
    if (want == reading_) return;
    reading_ = want;
    want ? event_add(read_.get(), nullptr) : event_del(read_.get());
    if (!want) side_.look_for_ends();
  }

  void sweep(Micros now) {
    if (!held_.empty() && !waits_for_room_) parse_held();  // others may have made room
    update_reading();
    if (closed_) return;
    if (side_.closing() && at_rest() && between_requests() && !lingering_ && !side_.draining_ &&
        (now - since_ > kAwayIdle || now - side_.away_since_ > kAwayAll)) {
      if (nothing_came()) finish();
      return;
    }
    bool in_value = codec_ && codec_->in_value() > 0;
    Micros most = lingering_            ? kLingerTime
                  : at_rest() && asked_ ? kIdleTime
                  : !slots_.empty()     ? Micros{0}
                  : in_value            ? kValueTime
                                        : kCommandTime;
    if (stalled_since_ && now - stalled_since_ > kStallTime) {
      side_.close(*this);
      return;
    }
    bool over = (most > 0 && out_.empty() && now - since_ > most) ||
                (in_value && slots_.empty() && now - heard_at_ > kValueSilence);
    if (!over) return;
    if (lingering_) {
      if (now - since_ > kStallTime || !unacknowledged()) side_.close(*this);
    } else if (!at_rest()) {
      finish();  // half a command
    } else if (nothing_came()) {
      finish();
    }
  }

  /// The process ends: what is written goes out behind this, since nothing is left unread that
  /// would turn the close into a reset.
  void end() {
    flush();
    if (closed_) return;
    ::shutdown(fd_.get(), SHUT_WR);
    for (std::size_t dropped = 0; dropped < kLingerBytes;) {
      ssize_t got = ::recv(fd_.get(), side_.scratch_.get(), kScratch, 0);
      if (got <= 0) break;
      dropped += static_cast<std::size_t>(got);
    }
  }

  ClientSide& side_;
  Fd fd_;
  EventPtr read_, write_;
  std::unique_ptr<ClientCodec> codec_;  // none before the first byte
  std::deque<ClientSlot> slots_;
  std::string held_;  // bytes read that must wait to be parsed
  std::string out_;
  std::size_t out_at_ = 0;
  std::size_t held_bytes_ = 0;  // of its slots and `out_`, in the common budget too
  std::size_t lingered_ = 0;
  std::size_t bulk_ = 0;         // of the value that is being read, in the pool
  bool waits_for_room_ = false;  // in the pool
  bool cut_short_ = false;       // a large value came in part
  bool asked_ = false;           // something has come on it
  bool reading_ = true;
  bool eof_ = false;
  bool leaving_ = false;  // its end is there, behind bytes that are not read yet
  bool broken_ = false;   // framing lost: closes after the answers due
  bool over_limit_;       // refused and closed
  bool lingering_ = false;
  bool dirty_ = false;
  bool closed_ = false;
  Micros
      since_;  // connect, first byte of a command, or end of the last answer; start of the linger
  Micros stalled_since_ = 0;
  Micros heard_at_ = 0;
  std::size_t index_ = 0;  // in ClientSide::connections_
};

void ClientSlot::on_reply(const Request& request, Reply&& reply) {
  std::shared_ptr<ValuePipe> pipe = reply.pipe;
  connection->side_.answer(*this, connection->codec_->reply(tag, request, std::move(reply)),
                           std::move(pipe));
}

ClientSlot::~ClientSlot() {
  ClientSide& side = connection->side_;
  side.bulk_bytes_ -= bulk;
  if (!pipe) return;
  --side.piping_;
  pipe->abandon();
}

ClientSide::ClientSide(event_base* base, const TimeSource& clock, Core& core, Carrier& carrier,
                       Limits limits)
    : base_(base),
      clock_(clock),
      core_(core),
      carrier_(carrier),
      limits_(limits),
      scratch_(std::make_unique<char[]>(kScratch)) {
  look_event_.reset(event_new(base, -1, 0, on_look, this));
  sweep_event_.reset(event_new(base, -1, EV_PERSIST, on_sweep, this));
  timeval every = timeval_of(kSweep);
  event_add(sweep_event_.get(), &every);
}

ClientSide::~ClientSide() = default;

bool ClientSide::listen(const sockaddr_in& address, std::string& error, bool shared) {
  Fd fd = listen_at(address, shared, error);
  if (!fd) return false;
  listen_on(std::move(fd));
  return true;
}

void ClientSide::listen_on(Fd listener) {
  listener_ = std::move(listener);
  accept_event_.reset(event_new(base_, listener_.get(), EV_READ | EV_PERSIST, on_accept, this));
  event_add(accept_event_.get(), nullptr);
}

std::uint16_t ClientSide::port() const { return port_of(listener_); }

void ClientSide::on_accept(evutil_socket_t, short, void* self) {
  static_cast<ClientSide*>(self)->accept_some(64);
}

void ClientSide::on_sweep(evutil_socket_t, short, void* self) {
  static_cast<ClientSide*>(self)->sweep();
}

void ClientSide::accept_some(int most) {
  while (most-- > 0) {
    while (connections_.size() >= limits_.connections && someone_waits() && make_room()) {
    }
    if (connections_.size() >= limits_.connections + limits_.spare_connections) {
      accept_paused_ = true;  // level-triggered: without this the loop would spin
      event_del(accept_event_.get());
      return;
    }
    Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK && !make_room()) {
        accept_paused_ = true;  // out of descriptors or memory: the sweep tries again
        event_del(accept_event_.get());
      }
      return;
    }
    admit(std::move(fd), false);
  }
}

void ClientSide::admit(Fd fd, bool adopted) {
  int on = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (adopted)
    while (connections_.size() >= limits_.connections && make_room()) {
    }
  bool over = connections_.size() >= limits_.connections;
  connections_.push_back(std::make_unique<ClientConnection>(*this, std::move(fd), over));
  connections_.back()->index_ = connections_.size() - 1;
  connections_.back()->asked_ = adopted;
}

void ClientSide::suspend_accepting(bool on) {
  held_back_ = on;
  if (!accept_event_) return;
  on ? event_del(accept_event_.get()) : event_add(accept_event_.get(), nullptr);
}

void ClientSide::set_operator_drain(bool on) {
  if (on && !away_) away_since_ = clock_.now();
  away_ = on;
}

bool ClientSide::closing() const {
  return draining_ || (away_ && clock_.now() - away_since_ > kAwayNoticed);
}

/// First one that has its last answer and only has to close, then one that has been silent since
/// its connect, each if it had time to act; then one that had its answers. The oldest of each.
/// Guards against floods of connections of any kind; the harm is a connect more for a client that
/// was slow.
bool ClientSide::make_room() {
  enum { kLingering, kSilent, kIdle, kKinds };
  std::array<ClientConnection*, kKinds> oldest{};
  for (auto& c : connections_) {
    if (!c->idle() && !c->lingering_) continue;  // also one that ended in half a command
    ClientConnection*& best = oldest[c->lingering_ ? kLingering : c->asked_ ? kIdle : kSilent];
    if (!best || c->since_ < best->since_) best = c.get();
  }
  for (int kind = 0; kind < kKinds; ++kind) {
    ClientConnection* c = oldest[kind];
    if (!c || (kind != kIdle && clock_.now() - c->since_ < kSilentTime)) continue;
    if (kind == kLingering && c->unacknowledged() && clock_.now() - c->since_ < kStallTime)
      continue;
    if (kind != kLingering) {
      bool busy = !c->nothing_came();
      if (!busy && c->unacknowledged()) c->finish(), busy = true;
      if (busy) return make_room();  // one fewer that is idle
    }
    close(*c);
    return true;
  }
  return false;
}

/// Nobody has to make way before somebody has come.
bool ClientSide::someone_waits() const {
  pollfd p{listener_.get(), POLLIN, 0};
  return ::poll(&p, 1, 0) > 0;
}

void ClientSide::look_for_ends() {
  if (event_pending(look_event_.get(), EV_TIMEOUT, nullptr)) return;
  timeval soon = timeval_of(kLookForEnd);
  event_add(look_event_.get(), &soon);
}

void ClientSide::on_look(evutil_socket_t, short, void* self) {
  auto* side = static_cast<ClientSide*>(self);
  bool unread = false;
  for (std::size_t k = side->connections_.size(); k-- > 0;) {
    if (k >= side->connections_.size()) continue;
    ClientConnection& c = *side->connections_[k];
    unread |= !c.reading_;
    c.look_for_end();
  }
  if (unread) side->look_for_ends();
}

void ClientSide::shut_down() {
  for (std::size_t k = connections_.size(); k-- > 0;)
    if (k < connections_.size()) connections_[k]->end();
}

void ClientSide::sweep() {
  Micros now = clock_.now();
  for (std::size_t k = connections_.size(); k-- > 0;)  // from the end: closing moves the last one
    if (k < connections_.size()) connections_[k]->sweep(now);
  if (accept_paused_ && !draining_ && !held_back_) {
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
    if (slot.id && !slot.done) core_.gone(slot.id);
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

void ClientSide::answer(ClientSlot& slot, std::string text, std::shared_ptr<ValuePipe> pipe) {
  ClientConnection& c = *slot.connection;
  bulk_bytes_ -= std::exchange(slot.bulk, 0);
  if (pipe) {
    ++piping_;
    pipe->on_bytes([this, &c] { touch(c); });
    slot.pipe = std::move(pipe);
  }
  c.hold_less(slot.bytes);
  slot.bytes = text.size();
  c.hold_more(slot.bytes);
  slot.text = std::move(text);
  slot.done = true;
  touch(c);
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
  // Those that could not be passed on before, or whose taker has ended meanwhile.
  if (draining_)
    for (auto& c : connections_) touch(*c);
  if (draining_ || !listener_) return;
  if (accept_paused_) event_add(accept_event_.get(), nullptr);
  if (!hand_over_) accept_some(4096);
  draining_ = true;
  accept_event_.reset();
  listener_.reset();
  // What is already in a socket's buffer was taken: it is read before the connection may close.
  for (std::size_t k = connections_.size(); k-- > 0;) {
    if (k >= connections_.size()) continue;
    ClientConnection& c = *connections_[k];
    if (!hand_over_ && c.reading_ && !c.eof_ && !c.lingering_) c.read();
    touch(c);
  }
}

}  // namespace arrowfork
