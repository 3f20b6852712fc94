#include "client_side.hpp"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include "client_connection.hpp"

namespace arrowfork {
namespace {

// When the table is full, a connection may be evicted this long after its connect if it has sent
// nothing, and this long after its last answer.
constexpr Micros kEvictableAfter = kSecond / 10;
// The same for one whose client has stopped in the middle of a command.
constexpr Micros kStalledCommandTime = kSecond / 2;
// A value of which nothing has arrived for this long is refused if others wait for its memory.
constexpr Micros kStalledValueTime = kSecond / 4;
// Smaller values are left alone: refusing them frees too little.
constexpr std::size_t kMinRefusedValueBytes = 4096;
// A client may have closed its connection behind bytes that are not read yet, so that the close is
// not read either. Such connections are polled for it this often, which leaves most of the 0.1 s
// after which no new work may begin for that client.
constexpr Micros kDisconnectCheckInterval = 20 * kMillisecond;
// Also the longest wait of new connections once one in the table may be evicted.
constexpr Micros kSweepInterval = kSecond / 10;
// Operator drain: after this time the load balancer has probed `mn` again and sends no new
// connections (0.1 s and 0.2 s, and some delay).
constexpr Micros kDrainNoticed = kSecond / 2;

}  // namespace

ClientSide::ClientSide(event_base* base, const TimeSource& clock, Core& core,
                       AttemptSender& attempt_sender, Limits limits,
                       robinseam::limits::MemoryAccount& memory)
    : base_(base),
      clock_(clock),
      core_(core),
      attempt_sender_(attempt_sender),
      limits_(limits),
      memory_(memory),
      scratch_(std::make_unique<char[]>(ClientConnection::kReadBufferBytes)) {
  disconnect_check_event_.reset(event_new(base, -1, 0, on_disconnect_check, this));
  sweep_event_.reset(event_new(base, -1, EV_PERSIST, on_sweep, this));
  next_turn_event_.reset(event_new(base, -1, 0, on_next_turn, this));
  timeval every = timeval_of(kSweepInterval);
  event_add(sweep_event_.get(), &every);
}

ClientSide::~ClientSide() {
  // While all members exist: the end of a request may answer another one.
  while (!connections_.empty()) close(*connections_.back(), CloseReason::Draining);
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
      accept_paused_ = backlog_waits_ = true;  // level-triggered: the loop would spin otherwise
      event_del(accept_event_.get());
      return;
    }
    Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK && !evict_connection()) {
        accept_paused_ = backlog_waits_ = true;  // out of descriptors or memory: the sweep resumes
        event_del(accept_event_.get());
      }
      if (errno == EAGAIN || errno == EWOULDBLOCK) backlog_waits_ = false;
      return;
    }
    add_connection(std::move(fd), !backlog_waits_);
  }
}

void ClientSide::adopt(Fd client, bool is_new) {
  while (connections_.size() >= limits_.connections && evict_connection()) {
  }
  add_connection(std::move(client), is_new).received_any_ = true;
}

ClientConnection& ClientSide::add_connection(Fd fd, bool is_new) {
  int on = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  bool over = connections_.size() >= limits_.connections;
  connections_.push_back(std::make_unique<ClientConnection>(*this, std::move(fd), over, is_new));
  connections_.back()->index_ = connections_.size() - 1;
  return *connections_.back();
}

void ClientSide::suspend_accepting(bool on) {
  accepting_suspended_ = on;
  backlog_waits_ |= on;
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
/// silent since its connect, stopped in the middle of its only command, idle after answers. Guards
/// against floods of connections of any kind; at worst a slow client has to connect again.
bool ClientSide::evict_connection() {
  enum { kLingering, kSilent, kStalled, kIdle, kKinds };
  std::array<ClientConnection*, kKinds> oldest{};
  for (auto& c : connections_) {
    bool stalled = c->in_command() && c->slots_.empty() && c->out_.empty();
    if (!c->idle() && !c->lingering_ && !stalled) continue;  // lingering_: may hold half a command
    ClientConnection*& best = oldest[c->lingering_      ? kLingering
                                     : stalled          ? kStalled
                                     : c->received_any_ ? kIdle
                                                        : kSilent];
    if (!best || c->last_active_at() < best->last_active_at()) best = c.get();
  }
  for (int kind = 0; kind < kKinds; ++kind) {
    ClientConnection* c = oldest[kind];
    Micros least = kind == kStalled ? kStalledCommandTime : kEvictableAfter;
    if (!c || clock_.now() - c->last_active_at() < least) continue;
    if (kind == kLingering && c->unacknowledged() && !c->has_write_stalled(clock_.now())) continue;
    if (kind == kStalled) {
      close(*c, CloseReason::Evicted);
      return true;
    }
    if (kind != kLingering) {
      bool busy = !c->still_idle_after_read();
      if (!busy && c->unacknowledged()) c->finish(CloseReason::Evicted), busy = true;
      if (busy) return evict_connection();  // one fewer is idle now
    }
    close(*c, CloseReason::Evicted);
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
    unread |= c.close_may_be_unseen();
    c.check_for_disconnect();
  }
  if (unread) side->schedule_disconnect_check();
}

void ClientSide::shut_down() {
  flush();  // and the answers to commands that were read and wait for those before them
  for (std::size_t k = connections_.size(); k-- > 0;)
    if (k < connections_.size()) connections_[k]->shut_down();
}

std::size_t ClientSide::try_reserve_bulk(std::size_t bytes) {
  using Priority = robinseam::limits::MemoryAccount::Priority;
  // One is always taken: it fits whatever the others hold.
  if (bulk_bytes_ > 0 &&
      (bulk_bytes_ + bytes > limits_.bulk_bytes || !memory_.has_room(bytes, Priority::First)))
    return 0;
  bulk_bytes_ += bytes;
  memory_.reserve(bytes);
  return bytes;
}

void ClientSide::release_bulk(std::size_t bytes) {
  bulk_bytes_ -= bytes;
  memory_.release(bytes);
}

void ClientSide::refuse_stalled_values(Micros now) {
  std::size_t wanted = 0;
  std::vector<ClientConnection*> stalled;
  for (auto& c : connections_) {
    if (c->waits_for_memory_) wanted += c->codec_->size_of_value_in_progress();
    bool holds = c->value_charge_.bytes() > kMinRefusedValueBytes || c->bulk_ > 0;
    if (holds && now - c->last_read_at_ > kStalledValueTime) stalled.push_back(c.get());
  }
  refuse_values(std::move(stalled), wanted);
}

void ClientSide::refuse_values_over_limit() {
  if (memory_.used() <= memory_.limit()) return;
  std::vector<ClientConnection*> holders;
  for (auto& c : connections_)
    if (c->value_charge_.bytes() > kMinRefusedValueBytes || c->bulk_ > 0)
      holders.push_back(c.get());
  refuse_values(std::move(holders), memory_.used() - memory_.limit());
}

void ClientSide::refuse_values(std::vector<ClientConnection*> holders, std::size_t wanted) {
  if (wanted == 0) return;
  std::sort(holders.begin(), holders.end(), [](const auto* one, const auto* other) {
    return one->last_read_at_ < other->last_read_at_;
  });
  for (ClientConnection* c : holders) {
    std::size_t freed = c->value_charge_.bytes() + c->bulk_;
    c->refuse_value();
    if (freed >= wanted) return;
    wanted -= freed;
  }
}

void ClientSide::continue_next_turn(ClientConnection& c) {
  if (c.closed_ || std::exchange(c.turn_scheduled_, true)) return;
  next_turn_.push_back(&c);
  timeval now{0, 0};
  if (next_turn_.size() == 1) event_add(next_turn_event_.get(), &now);
}

void ClientSide::on_next_turn(evutil_socket_t, short, void* self) {
  auto* side = static_cast<ClientSide*>(self);
  std::vector<ClientConnection*> turn;
  turn.swap(side->next_turn_);
  for (ClientConnection* c : turn) {
    c->turn_scheduled_ = false;
    c->continue_parsing();
    side->mark_dirty(*c);
  }
}

void ClientSide::sweep() {
  Micros now = clock_.now();
  refuse_stalled_values(now);
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

void ClientSide::count_close(ClientConnection& c, CloseReason reason) {
  if (std::exchange(c.close_counted_, true)) return;
  ++counts_.closed[static_cast<std::size_t>(reason)];
}

void ClientSide::close(ClientConnection& c, CloseReason reason) {
  if (c.closed_) return;
  count_close(c, reason);
  c.closed_ = true;
  c.slots_.clear();
  c.read_.reset();
  c.write_.reset();
  c.fd_.reset();
  std::size_t at = c.index_;
  std::erase(next_turn_, &c);
  closed_.push_back(std::move(connections_[at]));
  if (at + 1 != connections_.size()) {
    connections_[at] = std::move(connections_.back());
    connections_[at]->index_ = at;
  }
  connections_.pop_back();
}

void ClientSide::answer(ClientSlot& slot, std::string text, std::shared_ptr<ValuePipe> pipe) {
  ClientConnection& c = *slot.connection;
  release_bulk(std::exchange(slot.bulk, 0));
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
  commands_left_this_turn_ = kCommandsPerTurn;
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
