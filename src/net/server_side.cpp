#include "server_side.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <tuple>

#include "server_connection.hpp"
#include "server_pool.hpp"

namespace arrowfork {
namespace {

// Idle connections are closed after this share of the server's own idle timeout: a command that
// crosses the server's close ends as a reset, and then nobody can tell whether it ran.
constexpr double kIdleTimeoutShare = 0.6;
// The idle limit that resets have lowered (ServerPool) doubles once in this time.
constexpr Micros kIdleLimitDoublingTime = 10 * kSecond;
// The answer to an abandoned attempt is awaited for this long, so that its connection can be used
// again; after that the server is taken to be unresponsive.
constexpr Micros kAbandonedAnswerTime = kSecond;
// After a failed or rejected dial to a server that has other connections, no further one is made
// for this time.
constexpr Micros kDialPause = kSecond / 5;
// A partly received answer that stalls for this long is taken as broken off: servers pause for 0.1
// s at most. Ending the attempt then, instead of at the client's deadline, leaves time for another.
constexpr Micros kAnswerPauseTime = 120 * kMillisecond;
// The same if the bytes received end with a line end, as a complete value does: then the announced
// length is probably wrong. The price: if the server pauses right after a line end inside a value,
// the request runs twice.
constexpr Micros kShortValuePauseTime = 20 * kMillisecond;
constexpr Micros kSweepInterval = kSecond / 40;
// A large value of which the server sends nothing for this long is abandoned.
constexpr Micros kPipeSilenceTime = 5 * kSecond;
// Buffer bounds of one large value; one read may exceed them.
constexpr std::size_t kMinPipeWindowBytes = 8u << 10, kMaxPipeWindowBytes = 64u << 10;
// At most one log line in this time about a server that speaks the wrong protocol.
constexpr Micros kWrongProtocolLogInterval = 10 * kSecond;

/// Whether `one` replaces `other` at the address that both have: the one started later, else the
/// one that is usable, else the one listed there later, else the one with the greater id, so that
/// every list has one interpretation.
bool supersedes(const ServerPool& one, const ServerPool& other) {
  return std::tie(one.started_at, one.usable, one.address_since, one.id) >
         std::tie(other.started_at, other.usable, other.address_since, other.id);
}

}  // namespace

ServerSide::ServerSide(event_base* base, const TimeSource& clock, Handler& handler, Limits limits,
                       const std::vector<robinseam::ReportField>* fields,
                       robinseam::limits::MemoryAccount& memory)
    : base_(base),
      clock_(clock),
      handler_(handler),
      limits_(limits),
      fields_(fields),
      memory_(memory),
      idle_timeout_(limits.routers, idle_limit()),
      read_buffer_(std::make_unique<char[]>(ServerConnection::kReadBufferBytes)) {
  sweep_event_.reset(event_new(base, -1, EV_PERSIST, on_sweep, this));
  timeval every = timeval_of(kSweepInterval);
  event_add(sweep_event_.get(), &every);
}

ServerSide::~ServerSide() = default;

void ServerSide::set_protocols(const BinaryRules& rules) {
  rules_ = rules;
  for (auto& [id, pool] : pools_) set_protocol(*pool);
  update_any_binary();
}

void ServerSide::update_any_binary() {
  any_binary_ = std::any_of(pools_.begin(), pools_.end(), [](const auto& entry) {
    return entry.second->listed && entry.second->protocol == ServerProtocol::Binary;
  });
}

bool ServerSide::supports_idempotency_key(const Request& request) const {
  return !any_binary_ ||
         (rules_.cas_is_server_key && is_representable_as_cas(request.idempotency_key));
}

/// A change of protocol closes the server's connections: the attempts in flight on them would fail
/// a little later anyway.
void ServerSide::set_protocol(ServerPool& pool) {
  robinseam::Server server;
  server.id = pool.id;
  server.kind = pool.kind;
  ServerProtocol protocol =
      rules_.server_is_binary(server) ? ServerProtocol::Binary : ServerProtocol::Meta;
  if (protocol == pool.protocol) return;
  pool.protocol = protocol;
  pool.proven = false;
  pool.wrong_protocol_logged_at = 0;
  while (!pool.connections.empty()) close(*pool.connections.back());
}

/// Called only for the first bytes of a connection. If the server has spoken the right protocol
/// before, one such event may be noise, so it is not logged.
void ServerSide::on_wrong_protocol(ServerConnection& c) {
  ++counts_.wrong_protocol;
  ServerPool& pool = c.pool_;
  Micros now = clock_.now();
  if (!std::exchange(pool.proven, false) &&
      (!pool.wrong_protocol_logged_at ||
       now - pool.wrong_protocol_logged_at > kWrongProtocolLogInterval)) {
    pool.wrong_protocol_logged_at = now;
    bool binary = pool.protocol == ServerProtocol::Binary;
    std::fprintf(stderr,
                 "arrowfork: server %s at %s answers in the %s protocol but is configured for %s: "
                 "see binary.servers\n",
                 pool.id.c_str(), pool.dial.c_str(),
                 name_of(binary ? ServerProtocol::Meta : ServerProtocol::Binary),
                 name_of(pool.protocol));
  }
  close(c, Status::Malformed);
}

void ServerSide::apply_list(const HostList& list) {
  ++lists_applied_;
  if (list.full)
    for (auto& [id, pool] : pools_) pool->listed = pool->usable = false;
  for (const Host& host : list.hosts) {
    bool gone = host.server.health == robinseam::Health::Gone;
    auto it = pools_.find(host.server.id);
    if (it == pools_.end()) {
      if (gone) continue;
      it = pools_.emplace(host.server.id, std::make_unique<ServerPool>()).first;
      it->second->id = host.server.id;
      it->second->idle_limit = idle_limit();
      it->second->budget = make_close_budget();
    }
    ServerPool& pool = *it->second;
    if (!gone) pool.kind = host.server.kind, pool.weight = host.server.weight;
    set_protocol(pool);
    // Another process or another address: the open connections lead to the old one.
    bool moved = !gone && (pool.dial != host.dial || pool.started_at != host.server.up_since);
    if (moved || (!gone && !pool.listed && !list.full)) pool.address_since = lists_applied_;
    if (moved) {
      pool.dial = host.dial;
      pool.started_at = host.server.up_since;
      pool.address = parse_address(host.dial);
      pool.no_dial_until = 0, pool.reused_answer_at = 0;
      pool.idle_limit = idle_limit();
      pool.budget = make_close_budget();
      pool.proven = false;
      for (auto& c : pool.connections) {
        c->retiring_ = true;
        withdraw_unwritten(*c);  // its unwritten attempts were meant for the old server
      }
    }
    pool.listed = !gone;
    pool.usable = host.server.health == robinseam::Health::Ready;
  }
  // A server that replaces another may be listed at its address before the list says that the other
  // is gone. Attempts for the old one must not reach the new one: it is cold, and traffic is
  // assigned to it under its own id.
  std::unordered_map<std::string_view, ServerPool*> newest;
  for (auto& [id, pool] : pools_) {
    if (!pool->listed) continue;
    auto [it, inserted] = newest.emplace(pool->dial, pool.get());
    if (inserted) continue;
    ServerPool*& other = it->second;
    bool replaces = supersedes(*pool, *other);
    (replaces ? other : pool.get())->usable = false;
    if (replaces) other = pool.get();
  }
  total_weight_ = 0;
  for (auto& [id, pool] : pools_)
    if (pool->usable) total_weight_ += pool->weight;
  for (auto& [id, pool] : pools_)
    for (std::size_t k = pool->connections.size(); k-- > 0;) {
      ServerConnection& c = *pool->connections[k];
      if (!pool->usable) c.retiring_ = true;
      if (!pool->usable) withdraw_unwritten(c);
      if (c.retiring_ && c.idle()) close(c);
    }
  update_any_binary();
  remove_unlisted();
}

/// No new attempt may reach a server that drains: those of which no byte is written yet, behind a
/// dial or a full socket buffer, are sent elsewhere. The drain grace is for attempts on their way.
void ServerSide::withdraw_unwritten(ServerConnection& c) {
  std::size_t begun = c.written_count_ + (c.partial_bytes_ > 0);
  while (c.pending_.size() > begun) {
    ServerConnection::PendingAttempt e = std::move(c.pending_.back());
    c.pending_.pop_back();
    ++counts_.withdrawn_leaving;
    if (e.awaited) handler_.on_attempt_end(e.id, e.attempt, Status::NotSent, AttemptResult());
  }
}

/// Ends the attempt of which only a part is written. Its server never gets the rest, so it never
/// runs. Nothing can be written behind that part: the connection closes, but not before the
/// attempts in front of it have their answers.
void ServerSide::end_partly_written(ServerConnection& c) {
  c.pending_[c.written_count_].awaited = false;
  if (!c.owes_answers()) {
    close(c);
    return;
  }
  withdraw_unwritten(c);
  c.pending_.pop_back();
  c.partial_bytes_ = 0;
  c.retiring_ = true;
}

/// Removes servers that are unlisted and have no connections, whether a full list or a change said
/// so. Ids are always new, so the pools would grow without limit otherwise.
void ServerSide::remove_unlisted() {
  std::erase_if(pools_, [](const auto& entry) {
    return !entry.second->listed && entry.second->connections.empty();
  });
}

ServerConnection* ServerSide::dial(ServerPool& pool) {
  if (!pool.address) return nullptr;
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return nullptr;
  int on = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  int result =
      ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&*pool.address), sizeof *pool.address);
  if (result != 0 && errno != EINPROGRESS) return nullptr;
  pool.connections.push_back(std::make_unique<ServerConnection>(*this, pool, std::move(fd)));
  ++connection_count_;
  ++counts_.dials;
  pool.connections.back()->await_connect();
  return pool.connections.back().get();
}

ServerConnection* ServerSide::least_loaded(const ServerPool& pool, bool established) const {
  ServerConnection* best = nullptr;
  for (auto& c : pool.connections)
    if (!c->retiring_ && !(established && c->connecting_) && !c->pipe_ &&
        (c->pending_.empty() || c->pending_.front().awaited) &&
        c->pending_.size() < static_cast<std::size_t>(limits_.attempts_per_connection) &&
        (!best || c->pending_.size() < best->pending_.size()))
      best = c.get();
  return best;
}

/// Chooses the connection for one more attempt: the idle one that was used last, else a new one,
/// else the one with the fewest pending attempts. Answers come in order, so waiting behind another
/// attempt costs its whole service time; a dial costs a round trip or two.
ServerConnection* ServerSide::pick(ServerPool& pool) {
  Micros now = clock_.now();
  while (true) {
    ServerConnection* idle = nullptr;
    for (auto& c : pool.connections)
      if (c->idle() && !c->retiring_ && (!idle || c->last_used_at_ > idle->last_used_at_))
        idle = c.get();
    if (!idle) break;
    if (now - idle->last_used_at_ > idle_limit(pool, now)) {
      ++counts_.closed_idle;
      close(*idle);
      continue;
    }
    // The server may have closed it, or sent unsolicited bytes, since the last loop iteration.
    if (!idle->has_closed_or_sent()) return idle;
    ++counts_.ended_idle;
    close(*idle);
  }
  if (now >= pool.no_dial_until || pool.connections.empty()) {
    if (free_connection_slot(pool))
      if (ServerConnection* c = dial(pool)) return c;
  }
  ServerConnection* best = least_loaded(pool, false);
  if (best) ++counts_.pipelined;
  return best;
}

robinseam::limits::ConnectionCloseBudget ServerSide::make_close_budget() const {
  return robinseam::limits::ConnectionCloseBudget(
      static_cast<double>(limits_.max_connections_per_server));
}

/// A connection with answers outstanding could be used again once they have come, so closing it
/// spends from the close budget that the server's answers fill. Closing an idle one is free: the
/// sweep would close it anyway.
bool ServerSide::try_spend_close(ServerConnection& c) {
  if (c.idle() || c.pool_.budget.try_spend(clock_.now())) return true;
  ++counts_.kept_open;
  return false;
}

/// All servers share one connection limit. Each usable server without a connection has a slot
/// reserved, so that a few slow servers can't take them all; if there are more such servers than
/// connections, half of the connections are reserved. Idle connections count as free slots, since
/// they are closed when needed, and so do abandoned ones: during an overload of a server or the
/// origin these come by the hundred, and each would keep its connection for kAbandonedAnswerTime.
bool ServerSide::free_connection_slot(ServerPool& pool) {
  if (pool.connections.size() >= limits_.max_connections_per_server) {
    ServerConnection* spare = nullptr;
    find_spare(pool, spare);
    if (!spare || !try_spend_close(*spare)) return false;
    ++counts_.evicted;
    close(*spare);
  }
  if (!pool.connections.empty()) {
    std::size_t reserved = 0, used = 0;
    for (auto& [id, other] : pools_) {
      reserved += other->usable && other->connections.empty();
      used += static_cast<std::size_t>(
          std::count_if(other->connections.begin(), other->connections.end(),
                        [](const auto& c) { return c->connecting_ || !c->is_abandoned(); }));
    }
    if (used + std::min(reserved, limits_.max_connections / 2) >= limits_.max_connections)
      return false;
  }
  while (connection_count_ >= limits_.max_connections) {
    ServerConnection* spare = nullptr;
    for (auto& [id, other] : pools_) find_spare(*other, spare);
    if (!spare || !try_spend_close(*spare)) return false;
    ++counts_.evicted;
    close(*spare);
  }
  return true;
}

/// Replaces `spare` if the pool has a better connection to close: an idle one before one that is
/// only abandoned, then the one unused for longest.
void ServerSide::find_spare(const ServerPool& pool, ServerConnection*& spare) const {
  for (auto& c : pool.connections) {
    if (c->connecting_ || !c->is_abandoned()) continue;
    if (!spare || c->idle() > spare->idle() ||
        (c->idle() == spare->idle() && c->last_used_at_ < spare->last_used_at_))
      spare = c.get();
  }
}

void ServerSide::send(const std::string& server, RequestId id, int attempt, const Request& request,
                      Micros wait) {
  auto it = pools_.find(server);
  bool usable = it != pools_.end() && it->second->usable;
  // The request was accepted when all servers kept idempotency keys; this server has joined since
  // and would not detect a repeated write.
  if (usable && request.deduplicated && it->second->protocol == ServerProtocol::Binary)
    usable = supports_idempotency_key(request);
  ServerConnection* c = usable ? pick(*it->second) : nullptr;
  if (!c) {
    ++counts_.no_connection;
    // All connections of the pool wait for abandoned answers and the close budget allows no close:
    // that is this router's own limit and says nothing about the server.
    bool own_limit =
        usable && !it->second->connections.empty() && clock_.now() >= it->second->no_dial_until;
    handler_.on_attempt_end(id, attempt, own_limit ? Status::NotSent : Status::ConnectFailed,
                            AttemptResult());
    return;
  }
  ServerConnection::PendingAttempt e;
  e.id = id;
  e.attempt = attempt;
  ServerCodec::Encoded encoded =
      c->codec_->encode(request, (wait + kMillisecond - 1) / kMillisecond, ++opaque_, e.expected);
  e.bytes = std::move(encoded.bytes);
  e.value = std::move(encoded.value);
  e.tail = encoded.tail;
  e.wait_at = encoded.wait_at;
  e.wait_size = encoded.wait_size;
  e.encoded_size = e.bytes.size() + (e.value ? e.value->size() + e.tail.size() : 0);
  e.since = clock_.now();
  e.deadline = e.since + wait;
  c->idle_before_use_ = c->idle() ? e.since - c->last_used_at_ : 0;
  c->last_used_at_ = e.since;
  c->pending_.push_back(std::move(e));
  schedule_flush(*c);
}

std::optional<Status> ServerSide::stop_for_retry(const std::string& server, RequestId id,
                                                 int attempt) {
  auto it = pools_.find(server);
  if (it == pools_.end()) return Status::Cancelled;
  for (auto& owner : it->second->connections) {
    ServerConnection& c = *owner;
    auto same = [&](const ServerConnection::PendingAttempt& e) {
      return e.awaited && e.id == id && e.attempt == attempt;
    };
    auto entry = std::find_if(c.pending_.begin(), c.pending_.end(), same);
    if (entry == c.pending_.end()) continue;
    if (entry - c.pending_.begin() >= static_cast<std::ptrdiff_t>(c.written_count_))
      return cancel(server, id, attempt);
    bool others = c.pipe_ || std::any_of(c.pending_.begin(), c.pending_.end(),
                                         [&](const auto& e) { return e.awaited && !same(e); });
    if (others || !try_spend_close(c)) return std::nullopt;
    entry->awaited = false;
    ++it->second->abandoned_attempts;
    close(c);
    return Status::Cancelled;
  }
  return Status::Cancelled;
}

bool ServerSide::withdraw(const std::string& server, RequestId id, int attempt) {
  auto it = pools_.find(server);
  if (it == pools_.end()) return false;
  for (auto& owner : it->second->connections) {
    ServerConnection& c = *owner;
    for (std::size_t k = c.written_count_; k < c.pending_.size(); ++k) {
      ServerConnection::PendingAttempt& e = c.pending_[k];
      if (!e.awaited || e.id != id || e.attempt != attempt) continue;
      if (k > c.written_count_ || c.partial_bytes_ == 0) {
        c.pending_.erase(c.pending_.begin() + static_cast<std::ptrdiff_t>(k));
      } else {
        end_partly_written(c);
      }
      ++counts_.withdrawn_client_gone;
      return true;
    }
  }
  return false;
}

std::optional<Micros> ServerSide::expected_end(const std::string& server, RequestId id,
                                               int attempt) const {
  auto it = pools_.find(server);
  if (it == pools_.end()) return std::nullopt;
  for (const auto& c : it->second->connections) {
    if (c->pending_.empty()) continue;
    const ServerConnection::PendingAttempt& head = c->pending_.front();
    if (head.awaited && head.id == id && head.attempt == attempt) return c->expected_end();
  }
  return std::nullopt;
}

Status ServerSide::cancel(const std::string& server, RequestId id, int attempt) {
  auto it = pools_.find(server);
  if (it == pools_.end()) return Status::Cancelled;
  for (auto& owner : it->second->connections) {
    ServerConnection& c = *owner;
    for (std::size_t k = 0; k < c.pending_.size(); ++k) {
      ServerConnection::PendingAttempt& e = c.pending_[k];
      if (!e.awaited || e.id != id || e.attempt != attempt) continue;
      if (k > c.written_count_ || (k == c.written_count_ && c.partial_bytes_ == 0)) {
        c.pending_.erase(c.pending_.begin() + static_cast<std::ptrdiff_t>(k));
        return Status::NotSent;
      }
      e.awaited = false;
      e.since = clock_.now();
      ++it->second->abandoned_attempts;
      // Partly written: completing it would send a request that has already ended.
      if (k >= c.written_count_) {
        end_partly_written(c);
        return Status::NotSent;
      }
      // Closing tells the server to drop the attempt if it is still queued there; during an
      // overload abandoned work would otherwise keep new work out. The price is a dial, so the
      // close budget limits it. Without budget, or with other attempts on the connection, the
      // answer is read and dropped when it comes.
      if (limits_.may_cancel && c.is_abandoned() && try_spend_close(c)) close(c);
      return Status::Cancelled;
    }
  }
  return Status::Cancelled;
}

void ServerSide::schedule_flush(ServerConnection& c) {
  if (c.flush_pending_ || c.closed_) return;
  c.flush_pending_ = true;
  flush_queue_.push_back(&c);
}

void ServerSide::close(ServerConnection& c, Status written) {
  if (c.closed_) return;
  c.closed_ = true;
  for (std::size_t k = 0; k < c.pending_.size(); ++k) {
    ServerConnection::PendingAttempt& e = c.pending_[k];
    if (e.awaited) {
      handler_.on_attempt_end(
          e.id, e.attempt, k < c.written_count_ ? written : Status::ConnectFailed, AttemptResult());
    }
  }
  c.pending_.clear();
  c.close_pipe(false);
  c.read_.reset();
  c.write_.reset();
  c.fd_.reset();
  auto& all = c.pool_.connections;
  auto it = std::find_if(all.begin(), all.end(), [&](const auto& p) { return p.get() == &c; });
  closed_.push_back(std::move(*it));
  all.erase(it);
  --connection_count_;
}

void ServerSide::record_dial(ServerPool& pool, bool at_connection_limit) {
  Micros now = clock_.now();
  idle_timeout_.record_dial(now, at_connection_limit);
  if (!at_connection_limit) return;
  ++counts_.dials_over_connection_limit;
  pool.no_dial_until = now + kDialPause;
}

/// A server with a full connection table refuses new connections while its open ones work: attempts
/// that waited for the dial are queued on those. If there is none, but one has answered within the
/// dial timeout, the server is healthy and at its connection limit; otherwise it is unreachable.
void ServerSide::on_dial_failed(ServerConnection& c) {
  ++counts_.failed_dials;
  c.pool_.no_dial_until = clock_.now() + kDialPause;
  // A refusal may come at once, so the last answer may be as old as a dial may take.
  bool healthy = c.pool_.reused_answer_at > 0 &&
                 clock_.now() - c.pool_.reused_answer_at <= limits_.dial_timeout;
  if (healthy) record_dial(c.pool_, true);
  std::deque<ServerConnection::PendingAttempt> waiting = std::move(c.pending_);
  c.pending_.clear();
  ServerPool& pool = c.pool_;
  close(c);
  for (ServerConnection::PendingAttempt& e : waiting) {
    ServerConnection* other = least_loaded(pool, true);
    if (!other) {
      if (e.awaited)
        handler_.on_attempt_end(e.id, e.attempt,
                                healthy ? Status::ConnectionLimit : Status::ConnectFailed,
                                AttemptResult());
      continue;
    }
    other->pending_.push_back(std::move(e));
    schedule_flush(*other);
  }
}

std::size_t ServerSide::idle_connections() const {
  std::size_t idle = 0;
  for (const auto& [id, pool] : pools_)
    for (const auto& c : pool->connections) idle += c->idle();
  return idle;
}

std::string ServerSide::address_of(const std::string& server) const {
  auto it = pools_.find(server);
  return it == pools_.end() || !it->second->usable ? std::string() : it->second->dial;
}

std::pair<std::string, std::uint64_t> ServerSide::take_most_abandoned() {
  std::pair<std::string, std::uint64_t> most;
  for (auto& [id, pool] : pools_) {
    if (pool->abandoned_attempts > most.second) most = {id, pool->abandoned_attempts};
    pool->abandoned_attempts = 0;
  }
  return most;
}

std::size_t ServerSide::pipe_window() const {
  using Priority = robinseam::limits::MemoryAccount::Priority;
  // A pipe may stay full for as long as its client likes, also when the server is done with it.
  if (!memory_.has_room(kMaxPipeWindowBytes, Priority::Backlog)) return kMinPipeWindowBytes;
  // Each window counts twice: here, and in the client connection's output buffer.
  return std::clamp(limits_.streaming_buffer_bytes / 2 / std::max<std::size_t>(1, open_pipes_),
                    kMinPipeWindowBytes, kMaxPipeWindowBytes);
}

Micros ServerSide::idle_limit() const {
  return static_cast<Micros>(kIdleTimeoutShare * static_cast<double>(limits_.keepalive));
}

Micros ServerSide::idle_limit(const ServerPool& pool, Micros now) const {
  double rate = total_weight_ > 0 ? limits_.tier_rate * pool.weight / total_weight_ : 0;
  return std::min(pool.idle_limit, idle_timeout_.timeout(now, rate));
}

void ServerSide::on_sweep(evutil_socket_t, short, void* self) {
  static_cast<ServerSide*>(self)->sweep();
}

void ServerSide::sweep() {
  Micros now = clock_.now();
  for (auto& [id, pool] : pools_) {
    pool->idle_limit =
        std::min(idle_limit(),
                 pool->idle_limit + pool->idle_limit * kSweepInterval / kIdleLimitDoublingTime + 1);
    Micros timeout = idle_limit(*pool, now);
    for (std::size_t k = pool->connections.size(); k-- > 0;) {
      ServerConnection& c = *pool->connections[k];
      if (c.connecting_) continue;
      if (c.pipe_) {
        if (c.reading_ && now - c.last_used_at_ > kPipeSilenceTime)
          ++counts_.closed_unresponsive, close(c);
        continue;
      }
      if (c.pending_.empty()) {
        if (c.retiring_ || now - c.last_used_at_ > timeout) ++counts_.closed_idle, close(c);
        continue;
      }
      // An attempt that a full socket buffer has held back for this long has not been sent, and
      // must not be sent now: the server may have started to drain since.
      while (c.pending_.size() > c.written_count_ + (c.partial_bytes_ > 0) &&
             now - c.pending_.back().since > limits_.dial_timeout) {
        ServerConnection::PendingAttempt e = std::move(c.pending_.back());
        c.pending_.pop_back();
        if (e.awaited)
          handler_.on_attempt_end(e.id, e.attempt, Status::ConnectFailed, AttemptResult());
      }
      if (c.pending_.empty()) continue;
      const ServerConnection::PendingAttempt& head = c.pending_.front();
      // Counted from when it was abandoned, not from its last byte: an answer that keeps trickling
      // in would hold the connection forever.
      bool silent = !head.awaited && now - head.since > kAbandonedAnswerTime;
      Micros pause = c.codec_->ends_early() ? kShortValuePauseTime : kAnswerPauseTime;
      bool stalled = c.codec_->in_answer() && now - c.last_used_at_ > pause;
      if (silent || stalled)
        ++counts_.closed_unresponsive, close(c, stalled ? Status::Malformed : Status::Reset);
    }
  }
  remove_unlisted();
}

void ServerSide::flush() {
  for (std::size_t k = 0; k < flush_queue_.size(); ++k) {
    ServerConnection* c = flush_queue_[k];
    c->flush_pending_ = false;
    if (!c->closed_) c->flush();
  }
  flush_queue_.clear();
  closed_.clear();
}

}  // namespace arrowfork
