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

constexpr std::size_t kReadBufferBytes = 64u << 10;
// A connection with this many unanswered commands is not read.
constexpr std::size_t kMaxPipelinedCommands = 32;
// Bytes of one connection's commands and answers, including answers that wait for a slow reader;
// beyond, it is not read. Any single command and its answer fit.
constexpr std::size_t kMaxHeldBytes = 2 * (kMaxValue + kMaxLine);
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
// When the table is full, a connection may be evicted this long after its connect if it has sent
// nothing, and this long after its last answer if the client has not closed it.
constexpr Micros kEvictableAfter = kSecond / 10;
// A client that accepts no byte of its answer for this long is disconnected. Slow readers of large
// values free only half a socket buffer at a time, so reading shows in steps of that size.
constexpr Micros kWriteStallTimeout = 5 * kSecond;
// After sending FIN the connection is read until the client's FIN, at most this long and this many
// bytes: closing with unread bytes would send a reset, which may destroy the last answer in flight.
constexpr Micros kLingerTimeout = kSecond / 2;
// While written bytes are unacknowledged, a reset would destroy an answer: then the limits are
// kWriteStallTimeout and the second byte count.
constexpr std::size_t kLingerBytes = 1u << 20, kMaxLingerBytes = 16u << 20;
// A client may have closed its connection behind bytes that are not read yet, so that the close is
// not read either. Such connections are polled for it this often, which leaves most of the 0.1 s
// after which no new work may begin for that client.
constexpr Micros kDisconnectCheckInterval = 40 * kMillisecond;
// Also the longest wait of new connections once one in the table may be evicted.
constexpr Micros kSweepInterval = kSecond / 10;
// Operator drain: after the first time the load balancer has probed `mn` again and sends no new
// connections (0.1 s and 0.2 s, and some delay). From then on connections are closed after their
// answer or when idle for the second time; after the third every connection between requests is
// closed, because none may remain 4 s after the call.
constexpr Micros kDrainNoticed = kSecond / 2;
constexpr Micros kDrainIdleTimeout = kSecond / 2;
constexpr Micros kDrainCloseAll = 2 * kSecond;

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
    release_bytes(held_bytes_);
    side_.bulk_bytes_ -= bulk_;
  }

  static void on_event(evutil_socket_t, short what, void* self) {
    auto* c = static_cast<ClientConnection*>(self);
    if (c->closed_) return;
    if (what & EV_WRITE) c->side_.mark_dirty(*c);
    if (what & EV_READ) c->read();
  }

  bool has_no_work() const { return slots_.empty() && out_.empty() && !in_command(); }
  bool idle() const { return has_no_work() && between_requests(); }
  bool in_command() const { return (codec_ && codec_->in_command()) || !unparsed_input_.empty(); }

  /// False also after quiet commands: the client is still owed the answer to their barrier.
  bool between_requests() const { return !in_command() && !(codec_ && codec_->awaits_barrier()); }

  /// Reads what has arrived before the connection is closed, as a request may be waiting. False if
  /// an answer is owed afterwards.
  bool still_idle_after_read() {
    if (reading_ && !eof_ && !lingering_) read();
    return !closed_ && idle();
  }

  /// True while the client's machine has not acknowledged all written bytes.
  bool unacknowledged() const {
    int bytes = 0;
    return ::ioctl(fd_.get(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
  }

  /// Detects that the client has closed its connection behind bytes that are not read yet.
  void check_for_disconnect() {
    if (reading_ || closed_ || eof_ || disconnect_seen_ || lingering_) return;
    pollfd p{fd_.get(), POLLRDHUP, 0};
    if (::poll(&p, 1, 0) <= 0) return;
    if (p.revents & (POLLERR | POLLHUP)) {
      side_.close(*this);
      return;
    }
    if (!(p.revents & POLLRDHUP)) return;
    disconnect_seen_ = true;
    notify_client_left();
  }

  void read() {
    ssize_t got = ::recv(fd_.get(), side_.scratch_.get(), kReadBufferBytes, 0);
    if (got < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) return;
      side_.close(*this);  // reset: the client is gone
      return;
    }
    if (lingering_) {  // input after our FIN is dropped
      lingered_ += static_cast<std::size_t>(got);
      if (got == 0 || (lingered_ > kLingerBytes && !unacknowledged()) ||
          lingered_ > kMaxLingerBytes)
        side_.close(*this);
      return;
    }
    if (got == 0) {
      end_of_input();
      return;
    }
    received_any_ = true;
    last_read_at_ = side_.clock_.now();
    if (!in_command()) since_ = last_read_at_;
    std::string_view in(side_.scratch_.get(), static_cast<std::size_t>(got));
    if (unparsed_input_.empty()) {
      parse(in);
      unparsed_input_.assign(in);
    } else {
      unparsed_input_.append(in);
      parse_buffered();
    }
    update_reading();
  }

  /// The first byte decides the protocol for the whole connection.
  void choose_codec(unsigned char first) {
    if (side_.rules_.clients && first == binary::kRequestMagic) {
      ++side_.counts_.binary;
      codec_ = std::make_unique<BinaryClientCodec>(side_.rules_, side_.stats_);
    } else {
      ++side_.counts_.meta;
      codec_ =
          std::make_unique<MetaClientCodec>(side_.core_, side_.rules_.any(), side_.operator_drain_);
    }
  }

  /// Handles the commands in `in` and consumes them, until a limit is reached.
  void parse(std::string_view& in) {
    if (!codec_ && !in.empty()) choose_codec(static_cast<unsigned char>(in.front()));
    ClientCodec::ParsedCommand parsed;
    while (!broken_ && !closed_ && !in.empty() && may_parse()) {
      auto got = codec_->parse(in, parsed);
      if (got == ClientCodec::ParseResult::Incomplete) break;
      since_ = side_.clock_.now();  // the next command begins
      ClientSlot& slot = add_slot();
      slot.bulk = std::exchange(bulk_, 0);
      slot.tag = parsed.tag;
      if (got == ClientCodec::ParseResult::Request) {
        submit(slot, std::move(parsed.request));
        continue;
      }
      broken_ = got == ClientCodec::ParseResult::FinalAnswer;
      side_.answer(slot, std::move(parsed.answer));
    }
    if (broken_) in = {};
  }

  void submit(ClientSlot& slot, Request&& request) {
    slot.bytes = request.line_before_deadline.size() + request.line_after_deadline.size() +
                 (request.value && slot.bulk == 0 ? request.value->size() : 0);
    if (request.line_before_deadline.empty()) slot.bytes += binary::kHeader + request.key.size();
    reserve_bytes(slot.bytes);
    bool refused = over_limit_ || eof_ || disconnect_seen_;  // nothing new for a client that left
    if (refused) side_.core_.record_refused(request.class_name);
    Core::SubmitResult taken =
        refused ? Core::SubmitResult::TableFull
                : side_.core_.submit(std::move(request), slot, side_.attempt_sender_, slot.id);
    if (taken != Core::SubmitResult::Accepted)
      side_.answer(slot, codec_->rejection(slot.tag, taken));
  }

  /// Back-pressure: limits pending commands and answers, per client and for all clients together. A
  /// connection with nothing pending is always read, so that none starves behind others.
  bool may_parse() const {
    if (waits_for_bulk_ || value_truncated_) return false;
    if (slots_.empty() && out_.empty()) return true;
    return slots_.size() < kMaxPipelinedCommands && held_bytes_ < kMaxHeldBytes &&
           side_.held_bytes_ < side_.limits_.held_bytes;
  }

  void reserve_bytes(std::size_t bytes) {
    held_bytes_ += bytes;
    side_.held_bytes_ += bytes;
  }
  void release_bytes(std::size_t bytes) {
    held_bytes_ -= bytes;
    side_.held_bytes_ -= bytes;
  }

  void parse_buffered() {
    std::string_view in = unparsed_input_;
    parse(in);
    unparsed_input_.erase(0, unparsed_input_.size() - in.size());
  }

  /// Reserves bytes for a large value; the connection is not read further without them.
  void reserve_bulk() {
    std::size_t need = codec_ ? codec_->size_of_value_in_progress() : 0;
    waits_for_bulk_ = false;
    if (need <= kMaxValue + 2 || bulk_ > 0) return;
    if (side_.bulk_bytes_ > 0 && side_.bulk_bytes_ + need > side_.limits_.bulk_bytes) {
      waits_for_bulk_ = true;
      last_read_at_ = since_ = side_.clock_.now();
      return;
    }
    bulk_ = need;
    side_.bulk_bytes_ += need;
  }

  /// A half-close cannot be told from a close, so no new work begins for the client. Requests that
  /// may be running are awaited and answered, the rest is refused. If the client is really gone,
  /// only the write fails.
  void end_of_input() {
    eof_ = true;
    event_del(read_.get());
    notify_client_left();
    if (!waits_for_bulk_) parse_buffered();
    if (waits_for_bulk_) unparsed_input_.clear();
    if (slots_.empty() && out_.empty() && unparsed_input_.empty()) side_.close(*this);
  }

  void notify_client_left() {
    for (ClientSlot& slot : slots_)
      if (slot.id && !slot.done) side_.core_.on_client_half_closed(slot.id);
  }

  ClientSlot& add_slot() {
    slots_.emplace_back();
    slots_.back().connection = this;
    return slots_.back();
  }

  /// Moves finished answers to the output, in order; of a streamed value up to the pipe's window.
  void advance() {
    while (!slots_.empty() && slots_.front().done && !value_truncated_) {
      ClientSlot& slot = slots_.front();
      bool unbegun = !slot.text.empty();
      if (unbegun && slot.pipe && slot.pipe->failed()) replace_value_by_failure(slot);
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

  /// A value that fails before its first byte is passed on has a failure as its answer, and the
  /// connection goes on.
  void replace_value_by_failure(ClientSlot& slot) {
    slot.release_pipe();
    release_bytes(slot.text.size());
    slot.text = codec_->failure(slot.tag);
    reserve_bytes(slot.text.size());
  }

  void flush() {
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

  /// Writes answers until none is ready or the socket is full; false if that closed the connection.
  bool write_output() {
    while (!closed_ && (advance(), out_at_ < out_.size())) {
      ssize_t put = ::send(fd_.get(), out_.data() + out_at_, out_.size() - out_at_, MSG_NOSIGNAL);
      if (put < 0) {
        if (errno == EINTR) continue;
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
          side_.close(*this);
          return false;
        }
        if (!stalled_since_) stalled_since_ = side_.clock_.now();
        event_add(write_.get(), nullptr);
        break;
      }
      out_at_ += static_cast<std::size_t>(put);
      release_bytes(static_cast<std::size_t>(put));
      since_ = side_.clock_.now();
      stalled_since_ = 0;
    }
    return true;
  }

  void free_written_output() {
    if (out_at_ == out_.size()) {
      if (out_.capacity() > kMaxIdleOutputBytes) std::string().swap(out_);
      out_.clear();
      out_at_ = 0;
    } else if (out_at_ > kMaxIdleOutputBytes) {
      out_.erase(0, out_at_);
      out_at_ = 0;
    }
  }

  /// Called when everything is answered and written: ends the connection if it is to take nothing
  /// more. False if it goes on.
  bool end_if_due() {
    if (eof_ || broken_ || over_limit_) {
      finish();
      return true;
    }
    if (side_.closing() && between_requests()) {
      hand_over_or_close();
      return true;
    }
    bool all_parsed = unparsed_input_.empty() || waits_for_bulk_;
    if (side_.phase_ != ClientSide::Phase::Finishing || !all_parsed) return false;
    finish();  // half a command
    return true;
  }

  /// Hands the connection over or closes it, between two requests.
  void hand_over_or_close() {
    if (lingering_) return;
    ClientSide::HandOverResult result = side_.shutting_down() && side_.hand_over_
                                            ? side_.hand_over_(fd_.get())
                                            : ClientSide::HandOverResult::NotSent;
    if (result == ClientSide::HandOverResult::Sent) side_.close(*this);
    if (result == ClientSide::HandOverResult::NotSent && still_idle_after_read()) finish();
  }

  /// The announced length cannot be delivered, which only the end of the connection can tell.
  void finish_after_truncated_value() {
    slots_.clear();
    finish();
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
    bool want = unparsed_input_.empty() && !broken_ && may_parse();
    // In a shutdown, commands under way are answered and no more are read: later input is for the
    // next process, or crosses our close.
    if (side_.shutting_down() && !slots_.empty() && between_requests()) want = false;
    if (side_.phase_ == ClientSide::Phase::Finishing) want = false;
    if (want == reading_) return;
    reading_ = want;
    want ? event_add(read_.get(), nullptr) : event_del(read_.get());
    if (!want) side_.schedule_disconnect_check();
  }

  void sweep(Micros now) {
    if (!unparsed_input_.empty() && !waits_for_bulk_) parse_buffered();  // limits may have freed up
    update_reading();
    if (closed_) return;
    if (side_.closing() && has_no_work() && between_requests() && !lingering_ &&
        !side_.shutting_down() &&
        (now - since_ > kDrainIdleTimeout || now - side_.operator_drain_since_ > kDrainCloseAll)) {
      if (still_idle_after_read()) finish();
      return;
    }
    bool in_value = codec_ && codec_->size_of_value_in_progress() > 0;
    Micros timeout = lingering_                       ? kLingerTimeout
                     : has_no_work() && received_any_ ? kIdleTimeout
                     : !slots_.empty()                ? Micros{0}
                     : in_value                       ? kValueTimeout
                                                      : kCommandTimeout;
    if (stalled_since_ && now - stalled_since_ > kWriteStallTimeout) {
      side_.close(*this);
      return;
    }
    bool expired = (timeout > 0 && out_.empty() && now - since_ > timeout) ||
                   (in_value && slots_.empty() && now - last_read_at_ > kValueStallTimeout);
    if (!expired) return;
    if (lingering_) {
      if (now - since_ > kWriteStallTimeout || !unacknowledged()) side_.close(*this);
    } else if (!has_no_work()) {
      finish();  // half a command
    } else if (still_idle_after_read()) {
      finish();
    }
  }

  /// Flushes and empties the input before the process ends, as unread bytes would turn the close
  /// into a reset and destroy answers already written.
  void shut_down() {
    flush();
    if (closed_) return;
    ::shutdown(fd_.get(), SHUT_WR);
    for (std::size_t dropped = 0; dropped < kLingerBytes;) {
      ssize_t got = ::recv(fd_.get(), side_.scratch_.get(), kReadBufferBytes, 0);
      if (got <= 0) break;
      dropped += static_cast<std::size_t>(got);
    }
  }

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
  Micros since_;  // connect, first byte of a command, end of the last answer, or start of lingering
  Micros stalled_since_ = 0;
  Micros last_read_at_ = 0;
  std::size_t index_ = 0;  // in ClientSide::connections_
};

void ClientSlot::on_reply(const Request& request, Reply&& reply) {
  std::shared_ptr<ValuePipe> pipe = reply.pipe;
  connection->side_.answer(*this, connection->codec_->reply(tag, request, std::move(reply)),
                           std::move(pipe));
}

ClientSlot::~ClientSlot() {
  ClientSide& side = connection->side_;
  if (id && !done) side.core_.on_client_gone(id);
  side.bulk_bytes_ -= bulk;
  release_pipe();
}

void ClientSlot::release_pipe() {
  if (!pipe) return;
  --connection->side_.streaming_values_;
  pipe->abandon();
  pipe.reset();
}

ClientSide::ClientSide(event_base* base, const TimeSource& clock, Core& core,
                       AttemptSender& attempt_sender, Limits limits)
    : base_(base),
      clock_(clock),
      core_(core),
      attempt_sender_(attempt_sender),
      limits_(limits),
      scratch_(std::make_unique<char[]>(kReadBufferBytes)) {
  disconnect_check_event_.reset(event_new(base, -1, 0, on_disconnect_check, this));
  sweep_event_.reset(event_new(base, -1, EV_PERSIST, on_sweep, this));
  timeval every = timeval_of(kSweepInterval);
  event_add(sweep_event_.get(), &every);
}

ClientSide::~ClientSide() {
  // While all members exist: the end of a request may answer another one.
  while (!connections_.empty()) close(*connections_.back());
}

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
  static_cast<ClientSide*>(self)->accept_pending(64);
}

void ClientSide::on_sweep(evutil_socket_t, short, void* self) {
  static_cast<ClientSide*>(self)->sweep();
}

void ClientSide::accept_pending(int max_count) {
  while (max_count-- > 0) {
    while (connections_.size() >= limits_.connections && backlog_waits() && evict_connection()) {
    }
    if (connections_.size() >= limits_.connections + limits_.spare_connections) {
      accept_paused_ = true;  // level-triggered: the loop would spin otherwise
      event_del(accept_event_.get());
      return;
    }
    Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK && !evict_connection()) {
        accept_paused_ = true;  // out of descriptors or memory: the sweep resumes accepting
        event_del(accept_event_.get());
      }
      return;
    }
    add_connection(std::move(fd), false);
  }
}

void ClientSide::add_connection(Fd fd, bool adopted) {
  int on = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (adopted)
    while (connections_.size() >= limits_.connections && evict_connection()) {
    }
  bool over = connections_.size() >= limits_.connections;
  connections_.push_back(std::make_unique<ClientConnection>(*this, std::move(fd), over));
  connections_.back()->index_ = connections_.size() - 1;
  connections_.back()->received_any_ = adopted;
}

void ClientSide::suspend_accepting(bool on) {
  accepting_suspended_ = on;
  if (!accept_event_) return;
  on ? event_del(accept_event_.get()) : event_add(accept_event_.get(), nullptr);
}

void ClientSide::set_operator_drain(bool on) {
  if (on && !operator_drain_) operator_drain_since_ = clock_.now();
  operator_drain_ = on;
}

bool ClientSide::closing() const {
  return shutting_down() ||
         (operator_drain_ && clock_.now() - operator_drain_since_ > kDrainNoticed);
}

/// Evicts the oldest connection of the first kind that has one: lingering after its last answer,
/// silent since its connect (both only after kEvictableAfter), idle after answers. Guards against
/// floods of connections of any kind; at worst a slow client has to connect again.
bool ClientSide::evict_connection() {
  enum { kLingering, kSilent, kIdle, kKinds };
  std::array<ClientConnection*, kKinds> oldest{};
  for (auto& c : connections_) {
    if (!c->idle() && !c->lingering_) continue;  // lingering_: may hold half a command
    ClientConnection*& best = oldest[c->lingering_      ? kLingering
                                     : c->received_any_ ? kIdle
                                                        : kSilent];
    if (!best || c->since_ < best->since_) best = c.get();
  }
  for (int kind = 0; kind < kKinds; ++kind) {
    ClientConnection* c = oldest[kind];
    if (!c || (kind != kIdle && clock_.now() - c->since_ < kEvictableAfter)) continue;
    if (kind == kLingering && c->unacknowledged() && clock_.now() - c->since_ < kWriteStallTimeout)
      continue;
    if (kind != kLingering) {
      bool busy = !c->still_idle_after_read();
      if (!busy && c->unacknowledged()) c->finish(), busy = true;
      if (busy) return evict_connection();  // one fewer is idle now
    }
    close(*c);
    return true;
  }
  return false;
}

/// Connections are evicted only when another one waits.
bool ClientSide::backlog_waits() const {
  pollfd p{listener_.get(), POLLIN, 0};
  return ::poll(&p, 1, 0) > 0;
}

void ClientSide::schedule_disconnect_check() {
  if (event_pending(disconnect_check_event_.get(), EV_TIMEOUT, nullptr)) return;
  timeval soon = timeval_of(kDisconnectCheckInterval);
  event_add(disconnect_check_event_.get(), &soon);
}

void ClientSide::on_disconnect_check(evutil_socket_t, short, void* self) {
  auto* side = static_cast<ClientSide*>(self);
  bool unread = false;
  for (std::size_t k = side->connections_.size(); k-- > 0;) {
    if (k >= side->connections_.size()) continue;
    ClientConnection& c = *side->connections_[k];
    unread |= !c.reading_;
    c.check_for_disconnect();
  }
  if (unread) side->schedule_disconnect_check();
}

void ClientSide::shut_down() {
  flush();  // and the answers to commands that were read and wait for those before them
  for (std::size_t k = connections_.size(); k-- > 0;)
    if (k < connections_.size()) connections_[k]->shut_down();
}

void ClientSide::sweep() {
  Micros now = clock_.now();
  for (std::size_t k = connections_.size(); k-- > 0;)  // from the end: closing moves the last one
    if (k < connections_.size()) connections_[k]->sweep(now);
  if (accept_paused_ && !shutting_down() && !accepting_suspended_) {
    accept_paused_ = false;
    event_add(accept_event_.get(), nullptr);
  }
}

void ClientSide::mark_dirty(ClientConnection& c) {
  if (c.dirty_ || c.closed_) return;
  c.dirty_ = true;
  dirty_.push_back(&c);
}

void ClientSide::close(ClientConnection& c) {
  if (c.closed_) return;
  c.closed_ = true;
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
    ++streaming_values_;
    pipe->on_readable([this, &c] { mark_dirty(c); });
    slot.pipe = std::move(pipe);
  }
  c.release_bytes(slot.bytes);
  slot.bytes = text.size();
  c.reserve_bytes(slot.bytes);
  slot.text = std::move(text);
  slot.done = true;
  mark_dirty(c);
}

void ClientSide::flush() {
  // Flushing may parse buffered commands, whose answers mark a connection dirty again.
  for (std::size_t k = 0; k < dirty_.size(); ++k) {
    ClientConnection* c = dirty_[k];
    c->dirty_ = false;
    if (!c->closed_) c->flush();
  }
  dirty_.clear();
  closed_.clear();
}

void ClientSide::drain() {
  // Retries connections that could not be handed over, or whose receiving process has ended.
  if (shutting_down())
    for (auto& c : connections_) mark_dirty(*c);
  if (shutting_down() || !listener_) return;
  if (accept_paused_) event_add(accept_event_.get(), nullptr);
  if (!hand_over_) accept_pending(4096);
  phase_ = Phase::Draining;
  accept_event_.reset();
  listener_.reset();
  // Bytes already in a socket's buffer were accepted: they are read before the connection closes.
  if (!hand_over_) read_pending_input();
  for (auto& c : connections_) mark_dirty(*c);
}

void ClientSide::finish_all() {
  if (phase_ == Phase::Finishing) return;
  read_pending_input();  // it may complete a command, which then gets an answer
  phase_ = Phase::Finishing;
  for (auto& c : connections_) mark_dirty(*c);
}

void ClientSide::read_pending_input() {
  for (std::size_t k = connections_.size(); k-- > 0;) {  // from the end: closing moves the last one
    if (k >= connections_.size()) continue;
    ClientConnection& c = *connections_[k];
    if (c.reading_ && !c.eof_ && !c.lingering_) c.read();
  }
}

}  // namespace arrowfork
