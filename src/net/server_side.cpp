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

// An idle connection is closed after this part of the time after which the server does it: a
// command that crosses the server's close ends as a reset, and nobody can tell whether it ran.
constexpr double kIdlePart = 0.6;
// The bound on the idle time that resets set (ServerPool) doubles this often.
constexpr Micros kIdleDoubles = 10 * kSecond;
// An abandoned attempt's answer is waited for this long, so that its connection can be used again;
// after that the machine is taken for silent.
constexpr Micros kAbandonTime = kSecond;
// No dial to a server that just refused one while it has connections that work.
constexpr Micros kDialPause = kSecond / 5;
// An answer that has come in part and then stops for this long will not come: servers pause 0.1 s
// at most. Ending the attempt then, and not at the client's deadline, leaves time for another.
constexpr Micros kPauseTime = 120 * kMillisecond;
// The same where what has come ends as a value does, only short of its length: then the length is
// wrong. Harm: a value that holds a line end just where the server paused runs twice.
constexpr Micros kEndTime = 20 * kMillisecond;
constexpr Micros kSweep = kSecond / 40;
// Of a large value that is passed on, the server gave nothing for this long: it will not end.
constexpr Micros kPipeSilence = 5 * kSecond;
// What one large value holds at least and at most; its writer may go over it by one read.
constexpr std::size_t kLeastWindow = 8u << 10, kMostWindow = 64u << 10;
// A server of the wrong protocol is told of this often.
constexpr Micros kComplainEvery = 10 * kSecond;

/// Whether `one` replaces `other` at the address that both have. Where neither says that it was
/// started later, one that is to be used; the ids decide else, so that each list means one thing.
bool newer(const ServerPool& one, const ServerPool& other) {
  return std::tie(one.born, one.wanted, one.id) > std::tie(other.born, other.wanted, other.id);
}

}  // namespace

ServerSide::ServerSide(event_base* base, const TimeSource& clock, Handler& handler, Limits limits,
                       const std::vector<robinseam::ReportField>* fields)
    : base_(base),
      clock_(clock),
      handler_(handler),
      limits_(limits),
      fields_(fields),
      idle_(limits.routers, idle_limit()),
      scratch_(std::make_unique<char[]>(ServerConnection::kScratch)) {
  sweep_event_.reset(event_new(base, -1, EV_PERSIST, on_sweep, this));
  timeval every = timeval_of(kSweep);
  event_add(sweep_event_.get(), &every);
}

ServerSide::~ServerSide() = default;

void ServerSide::set_protocols(const BinaryRules& rules) {
  rules_ = rules;
  for (auto& [id, pool] : pools_) set_protocol(*pool);
  note_binary();
}

void ServerSide::note_binary() {
  any_binary_ = std::any_of(pools_.begin(), pools_.end(), [](const auto& entry) {
    return entry.second->listed && entry.second->protocol == ServerProtocol::Binary;
  });
}

bool ServerSide::keeps_key(const Request& request) const {
  return !any_binary_ || (rules_.cas_is_server_key && fits_cas(request.idempotency));
}

/// What is out on a connection of the protocol that is no more spoken there would only be lost a
/// little later.
void ServerSide::set_protocol(ServerPool& pool) {
  robinseam::Server server;
  server.id = pool.id;
  server.kind = pool.kind;
  ServerProtocol protocol =
      rules_.server_is_binary(server) ? ServerProtocol::Binary : ServerProtocol::Meta;
  if (protocol == pool.protocol) return;
  pool.protocol = protocol;
  pool.proven = false;
  pool.complained_at = 0;
  while (!pool.connections.empty()) close(*pool.connections.back());
}

/// Only the connection's first bytes are taken for that. Once from a server that has spoken the
/// right protocol it may be noise like any other, so that is not told.
void ServerSide::wrong_protocol(ServerConnection& c) {
  ++counts_.wrong_protocol;
  ServerPool& pool = c.pool_;
  Micros now = clock_.now();
  if (!std::exchange(pool.proven, false) &&
      (!pool.complained_at || now - pool.complained_at > kComplainEvery)) {
    pool.complained_at = now;
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
  if (list.full)
    for (auto& [id, pool] : pools_) pool->listed = pool->wanted = false;
  for (const Host& host : list.hosts) {
    bool gone = host.server.health == robinseam::Health::Gone;
    auto at = pools_.find(host.server.id);
    if (at == pools_.end()) {
      if (gone) continue;
      at = pools_.emplace(host.server.id, std::make_unique<ServerPool>()).first;
      at->second->id = host.server.id;
      at->second->idle_limit = idle_limit();
      at->second->budget = fresh_budget();
    }
    ServerPool& pool = *at->second;
    if (!gone) pool.kind = host.server.kind, pool.weight = host.server.weight;
    set_protocol(pool);
    // Another process, or another place: what is open leads to the old one.
    bool moved = !gone && (pool.dial != host.dial || pool.born != host.server.up_since);
    if (moved) {
      pool.dial = host.dial;
      pool.born = host.server.up_since;
      pool.address = parse_address(host.dial);
      pool.no_dial_until = 0, pool.answered_at = 0;
      pool.idle_limit = idle_limit();
      pool.budget = fresh_budget();
      pool.proven = false;
      for (auto& c : pool.connections) {
        c->retiring_ = true;
        recall(*c);  // what waits there was meant for the place that is left
      }
    }
    pool.listed = !gone;
    pool.wanted = host.server.health == robinseam::Health::Ready;
  }
  // A machine that replaces another may have its address before the list tells that the other is
  // gone. What is meant for the old one must not reach the new one: it is cold, and its part of the
  // traffic is dealt out under its own id.
  std::unordered_map<std::string_view, ServerPool*> newest;
  for (auto& [id, pool] : pools_) {
    if (!pool->listed) continue;
    auto [at, fresh] = newest.emplace(pool->dial, pool.get());
    if (fresh) continue;
    ServerPool*& other = at->second;
    bool replaces = newer(*pool, *other);
    (replaces ? other : pool.get())->wanted = false;
    if (replaces) other = pool.get();
  }
  weight_ = 0;
  for (auto& [id, pool] : pools_)
    if (pool->wanted) weight_ += pool->weight;
  for (auto& [id, pool] : pools_)
    for (std::size_t k = pool->connections.size(); k-- > 0;) {
      ServerConnection& c = *pool->connections[k];
      if (!pool->wanted) c.retiring_ = true;
      if (!pool->wanted) recall(c);
      if (c.retiring_ && c.idle()) close(c);
    }
  note_binary();
  forget_gone();
}

/// Nothing new goes to a server that is told to leave: what waits behind a dial or for the socket's
/// buffer, no byte of it written, goes elsewhere. Its grace is for what was on its way.
void ServerSide::recall(ServerConnection& c) {
  std::size_t begun = c.sent_ + (c.partial_ > 0);
  while (c.entries_.size() > begun) {
    ServerConnection::Entry e = std::move(c.entries_.back());
    c.entries_.pop_back();
    ++counts_.withdrawn_leaving;
    if (e.live) handler_.on_attempt_end(e.id, e.attempt, Status::NotSent, AttemptResult());
  }
}

/// Servers that have left are forgotten once nothing is out there, whether a whole list or a change
/// told of it: ids are ever new.
void ServerSide::forget_gone() {
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
  ++total_;
  ++counts_.dials;
  pool.connections.back()->await_connect();
  return pool.connections.back().get();
}

ServerConnection* ServerSide::least_loaded(const ServerPool& pool, bool established) const {
  ServerConnection* best = nullptr;
  for (auto& c : pool.connections)
    if (!c->retiring_ && !(established && c->connecting_) && !c->pipe_ &&
        (c->entries_.empty() || c->entries_.front().live) &&
        c->entries_.size() < static_cast<std::size_t>(limits_.attempts_per_connection) &&
        (!best || c->entries_.size() < best->entries_.size()))
      best = c.get();
  return best;
}

/// The connection for one more attempt: an idle one that was used last, else a new one, else the
/// one with the least before it. Answers come in order, so waiting behind another costs its whole
/// service time; a dial costs a round trip or two.
ServerConnection* ServerSide::pick(ServerPool& pool) {
  Micros now = clock_.now();
  while (true) {
    ServerConnection* idle = nullptr;
    for (auto& c : pool.connections)
      if (c->idle() && !c->retiring_ && (!idle || c->used_at_ > idle->used_at_)) idle = c.get();
    if (!idle) break;
    if (now - idle->used_at_ > idle_limit(pool, now)) {
      ++counts_.closed_idle;
      close(*idle);
      continue;
    }
    // An end, or bytes that belong to nothing, may have come since the last turn of the loop.
    if (!idle->ended()) return idle;
    ++counts_.ended_idle;
    close(*idle);
  }
  if (now >= pool.no_dial_until || pool.connections.empty()) {
    if (make_room(pool))
      if (ServerConnection* c = dial(pool)) return c;
  }
  ServerConnection* best = least_loaded(pool, false);
  if (best) ++counts_.pipelined;
  return best;
}

robinseam::limits::ConnectionBudget ServerSide::fresh_budget() const {
  return robinseam::limits::ConnectionBudget(
      static_cast<double>(limits_.max_connections_per_server));
}

/// For a connection that others could use once what is out on it is answered: its server pays for
/// the next one. What is idle costs no more to close now than by the sweep.
bool ServerSide::may_close(ServerConnection& c) {
  if (c.idle() || c.pool_.budget.may_close(clock_.now())) return true;
  ++counts_.kept_open;
  return false;
}

/// The budget of connections is shared by all servers. Each wanted one that has no connection keeps
/// room for one, so that a few slow servers can't take everything; where there are more of them
/// than connections, they keep half of those. What stands idle is such room, since it makes way for
/// them, then what only waits for answers that nobody wants any more: when a server or the origin
/// jams, those come by the hundred, and each would hold its connection for kAbandonTime.
bool ServerSide::make_room(ServerPool& pool) {
  if (pool.connections.size() >= limits_.max_connections_per_server) {
    ServerConnection* spare = nullptr;
    spare_of(pool, spare);
    if (!spare || !may_close(*spare)) return false;
    ++counts_.evicted;
    close(*spare);
  }
  if (!pool.connections.empty()) {
    std::size_t kept = 0, used = 0;
    for (auto& [id, other] : pools_) {
      kept += other->wanted && other->connections.empty();
      used += static_cast<std::size_t>(
          std::count_if(other->connections.begin(), other->connections.end(),
                        [](const auto& c) { return c->connecting_ || !c->forsaken(); }));
    }
    if (used + std::min(kept, limits_.max_connections / 2) >= limits_.max_connections) return false;
  }
  while (total_ >= limits_.max_connections) {
    ServerConnection* spare = nullptr;
    for (auto& [id, other] : pools_) spare_of(*other, spare);
    if (!spare || !may_close(*spare)) return false;
    ++counts_.evicted;
    close(*spare);
  }
  return true;
}

/// Puts the pool's connection that is missed least into `spare`, if it is missed less than that.
void ServerSide::spare_of(const ServerPool& pool, ServerConnection*& spare) const {
  for (auto& c : pool.connections) {
    if (c->connecting_ || !c->forsaken()) continue;
    if (!spare || c->idle() > spare->idle() ||
        (c->idle() == spare->idle() && c->used_at_ < spare->used_at_))
      spare = c.get();
  }
}

void ServerSide::send(const std::string& server, RequestId id, int attempt, const Request& request,
                      Micros wait) {
  auto at = pools_.find(server);
  bool wanted = at != pools_.end() && at->second->wanted;
  // Taken when all servers kept its key; this one joined since and would not know a repeat.
  if (wanted && request.keyed && at->second->protocol == ServerProtocol::Binary)
    wanted = keeps_key(request);
  ServerConnection* c = wanted ? pick(*at->second) : nullptr;
  if (!c) {
    ++counts_.no_connection;
    // All of the pool's connections wait for answers that nobody wants, and no more may be closed:
    // that is our own shortage and proves nothing of the server.
    bool own =
        wanted && !at->second->connections.empty() && clock_.now() >= at->second->no_dial_until;
    handler_.on_attempt_end(id, attempt, own ? Status::NotSent : Status::ConnectFailed,
                            AttemptResult());
    return;
  }
  ServerConnection::Entry e;
  e.id = id;
  e.attempt = attempt;
  ServerCodec::Encoded encoded =
      c->codec_->encode(request, (wait + kMillisecond - 1) / kMillisecond, ++opaque_, e.expected);
  e.bytes = std::move(encoded.bytes);
  e.value = std::move(encoded.value);
  e.tail = encoded.tail;
  e.size = e.bytes.size() + (e.value ? e.value->size() + e.tail.size() : 0);
  e.since = clock_.now();
  c->idle_before_ = c->idle() ? e.since - c->used_at_ : 0;
  c->used_at_ = e.since;
  c->entries_.push_back(std::move(e));
  touch(*c);
}

std::optional<Status> ServerSide::end(const std::string& server, RequestId id, int attempt) {
  auto at = pools_.find(server);
  if (at == pools_.end()) return Status::Cancelled;
  for (auto& owner : at->second->connections) {
    ServerConnection& c = *owner;
    auto same = [&](const ServerConnection::Entry& e) {
      return e.live && e.id == id && e.attempt == attempt;
    };
    auto entry = std::find_if(c.entries_.begin(), c.entries_.end(), same);
    if (entry == c.entries_.end()) continue;
    if (entry - c.entries_.begin() >= static_cast<std::ptrdiff_t>(c.sent_))
      return cancel(server, id, attempt);
    bool others = c.pipe_ || std::any_of(c.entries_.begin(), c.entries_.end(),
                                         [&](const auto& e) { return e.live && !same(e); });
    if (others || !may_close(c)) return std::nullopt;
    entry->live = false;
    ++at->second->given_up;
    close(c);
    return Status::Cancelled;
  }
  return Status::Cancelled;
}

bool ServerSide::take_back(const std::string& server, RequestId id, int attempt) {
  auto at = pools_.find(server);
  if (at == pools_.end()) return false;
  for (auto& owner : at->second->connections) {
    ServerConnection& c = *owner;
    for (std::size_t k = c.sent_; k < c.entries_.size(); ++k) {
      ServerConnection::Entry& e = c.entries_[k];
      if (!e.live || e.id != id || e.attempt != attempt) continue;
      if (k > c.sent_ || c.partial_ == 0) {
        c.entries_.erase(c.entries_.begin() + static_cast<std::ptrdiff_t>(k));
      } else {
        auto begun = c.entries_.begin() + static_cast<std::ptrdiff_t>(c.sent_);
        if (c.pipe_ ||
            std::any_of(c.entries_.begin(), begun, [](const auto& other) { return other.live; }))
          return false;
        e.live = false;
        close(c);
      }
      ++counts_.withdrawn_client_gone;
      return true;
    }
  }
  return false;
}

Status ServerSide::cancel(const std::string& server, RequestId id, int attempt) {
  auto at = pools_.find(server);
  if (at == pools_.end()) return Status::Cancelled;
  for (auto& owner : at->second->connections) {
    ServerConnection& c = *owner;
    for (std::size_t k = 0; k < c.entries_.size(); ++k) {
      ServerConnection::Entry& e = c.entries_[k];
      if (!e.live || e.id != id || e.attempt != attempt) continue;
      if (k > c.sent_ || (k == c.sent_ && c.partial_ == 0)) {
        c.entries_.erase(c.entries_.begin() + static_cast<std::ptrdiff_t>(k));
        return Status::NotSent;
      }
      e.live = false;
      e.since = clock_.now();
      ++at->second->given_up;
      // Partly written: finishing it would send the request after its end.
      if (k >= c.sent_) {
        close(c);
        return Status::NotSent;
      }
      // Closing is what tells the server: it may drop what still waits in its queue, where given-up
      // work would keep out others when it jams. The price is a dial, so only as far as answers pay
      // for it. Beyond, and where neighbours would be taken along, the answer is read and dropped
      // when it comes.
      if (limits_.may_cancel && c.forsaken() && may_close(c)) close(c);
      return Status::Cancelled;
    }
  }
  return Status::Cancelled;
}

void ServerSide::touch(ServerConnection& c) {
  if (c.dirty_ || c.closed_) return;
  c.dirty_ = true;
  dirty_.push_back(&c);
}

void ServerSide::close(ServerConnection& c, Status written) {
  if (c.closed_) return;
  c.closed_ = true;
  for (std::size_t k = 0; k < c.entries_.size(); ++k) {
    ServerConnection::Entry& e = c.entries_[k];
    if (e.live) {
      handler_.on_attempt_end(e.id, e.attempt, k < c.sent_ ? written : Status::ConnectFailed,
                              AttemptResult());
    }
  }
  c.entries_.clear();
  c.end_pipe(false);
  c.read_.reset();
  c.write_.reset();
  c.fd_.reset();
  auto& all = c.pool_.connections;
  auto at = std::find_if(all.begin(), all.end(), [&](const auto& p) { return p.get() == &c; });
  closed_.push_back(std::move(*at));
  all.erase(at);
  --total_;
}

void ServerSide::note_dial(ServerPool& pool, bool no_room) {
  Micros now = clock_.now();
  idle_.dialled(now, no_room);
  if (!no_room) return;
  ++counts_.dials_over_connection_limit;
  pool.no_dial_until = now + kDialPause;
}

/// A full connection table refuses new connections while those that are open work: what waited for
/// the dial goes behind others then. Where none is left but one has answered since, the server is
/// well and has no room; else it can't be reached.
void ServerSide::failed_dial(ServerConnection& c) {
  ++counts_.failed_dials;
  c.pool_.no_dial_until = clock_.now() + kDialPause;
  // At an immediate refusal the time for a dial is what a server may have been silent for.
  bool well = c.pool_.answered_at > 0 && clock_.now() - c.pool_.answered_at <= limits_.dial_timeout;
  if (well) note_dial(c.pool_, true);
  std::deque<ServerConnection::Entry> waiting = std::move(c.entries_);
  c.entries_.clear();
  ServerPool& pool = c.pool_;
  close(c);
  for (ServerConnection::Entry& e : waiting) {
    ServerConnection* other = least_loaded(pool, true);
    if (!other) {
      if (e.live)
        handler_.on_attempt_end(e.id, e.attempt,
                                well ? Status::ConnectionLimit : Status::ConnectFailed,
                                AttemptResult());
      continue;
    }
    other->entries_.push_back(std::move(e));
    touch(*other);
  }
}

std::size_t ServerSide::idle_connections() const {
  std::size_t idle = 0;
  for (const auto& [id, pool] : pools_)
    for (const auto& c : pool->connections) idle += c->idle();
  return idle;
}

std::string ServerSide::address_of(const std::string& server) const {
  auto at = pools_.find(server);
  return at == pools_.end() || !at->second->wanted ? std::string() : at->second->dial;
}

std::pair<std::string, std::uint64_t> ServerSide::take_most_abandoned() {
  std::pair<std::string, std::uint64_t> most;
  for (auto& [id, pool] : pools_) {
    if (pool->given_up > most.second) most = {id, pool->given_up};
    pool->given_up = 0;
  }
  return most;
}

std::size_t ServerSide::pipe_window() const {
  // Each window counts twice: here and in what the client's connection has taken of it.
  return std::clamp(limits_.streaming_buffer_bytes / 2 / std::max<std::size_t>(1, pipes_),
                    kLeastWindow, kMostWindow);
}

Micros ServerSide::idle_limit() const {
  return static_cast<Micros>(kIdlePart * static_cast<double>(limits_.keepalive));
}

Micros ServerSide::idle_limit(const ServerPool& pool, Micros now) const {
  double rate = weight_ > 0 ? limits_.tier_rate * pool.weight / weight_ : 0;
  return std::min(pool.idle_limit, idle_.time(now, rate));
}

void ServerSide::on_sweep(evutil_socket_t, short, void* self) {
  static_cast<ServerSide*>(self)->sweep();
}

void ServerSide::sweep() {
  Micros now = clock_.now();
  for (auto& [id, pool] : pools_) {
    pool->idle_limit =
        std::min(idle_limit(), pool->idle_limit + pool->idle_limit * kSweep / kIdleDoubles + 1);
    Micros most = idle_limit(*pool, now);
    for (std::size_t k = pool->connections.size(); k-- > 0;) {
      ServerConnection& c = *pool->connections[k];
      if (c.connecting_) continue;
      if (c.pipe_) {
        if (c.reading_ && now - c.used_at_ > kPipeSilence) ++counts_.closed_unresponsive, close(c);
        continue;
      }
      if (c.entries_.empty()) {
        if (c.retiring_ || now - c.used_at_ > most) ++counts_.closed_idle, close(c);
        continue;
      }
      // What a full socket buffer has kept back this long was never sent, and must not go out when
      // the server may have begun to drain since.
      while (c.entries_.size() > c.sent_ + (c.partial_ > 0) &&
             now - c.entries_.back().since > limits_.dial_timeout) {
        ServerConnection::Entry e = std::move(c.entries_.back());
        c.entries_.pop_back();
        if (e.live)
          handler_.on_attempt_end(e.id, e.attempt, Status::ConnectFailed, AttemptResult());
      }
      if (c.entries_.empty()) continue;
      const ServerConnection::Entry& head = c.entries_.front();
      // Not from its last byte: one that trickles on would keep the connection for good.
      bool silent = !head.live && now - head.since > kAbandonTime;
      Micros pause = c.codec_->ends_early() ? kEndTime : kPauseTime;
      bool broken_off = c.codec_->in_answer() && now - c.used_at_ > pause;
      if (silent || broken_off)
        ++counts_.closed_unresponsive, close(c, broken_off ? Status::Malformed : Status::Reset);
    }
  }
  forget_gone();
}

void ServerSide::flush() {
  for (std::size_t k = 0; k < dirty_.size(); ++k) {
    ServerConnection* c = dirty_[k];
    c->dirty_ = false;
    if (!c->closed_) c->flush();
  }
  dirty_.clear();
  closed_.clear();
}

}  // namespace arrowfork
