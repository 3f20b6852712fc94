#include "server_side.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <tuple>

namespace arrowfork {
namespace {

constexpr std::size_t kScratch = 64u << 10;
// An idle connection is closed after this part of the time after which the server does it: a
// command that crosses the server's close ends as a reset, and nobody can tell whether it ran.
constexpr double kIdlePart = 0.6;
// Servers, or what stands between, may end idle connections far sooner and say so only when the
// next command is written. Two such resets within kIdleAgain bound the idle time at that server to
// this part of the time it took; the bound doubles every kIdleDoubles. An end that shows before
// anything is written does no harm and teaches nothing: servers that are replaced, or that close
// after an answer, once taught a bound of milliseconds, and every request dialled anew. Nor does a
// reset after less than kLeastIdle: no idle time-out is that short, and a bound that short would
// cost more in dials than it saves in resets.
constexpr double kIdleSeenPart = 0.7;
constexpr Micros kLeastIdle = 150 * kMillisecond;
constexpr Micros kIdleAgain = 10 * kSecond;
constexpr Micros kIdleDoubles = 10 * kSecond;
// A reset this soon after the send is the answer to the send itself.
constexpr Micros kStaleReset = 10 * kMillisecond;
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
// An answer that names no command may come twice, the second time some milliseconds late. Behind
// one of its kind within this time it may be that, and then says nothing of the next command.
constexpr Micros kSecondAnswer = 50 * kMillisecond;
// A server of the wrong protocol is told of this often.
constexpr Micros kComplainEvery = 10 * kSecond;

}  // namespace

struct ServerPool {
  std::string id;
  std::string kind;
  std::string dial;
  std::optional<sockaddr_in> address;
  ServerProtocol protocol = ServerProtocol::Meta;
  bool proven = false;  // the last connection to begin an answer did so in that protocol
  Micros complained_at = 0;
  bool listed = false;  // named by discovery and not gone
  bool wanted = false;  // listed and ready, and nobody newer at its address
  double weight = 1;    // as listed
  Micros born = 0;
  Micros no_dial_until = 0;
  Micros answered_at = 0;  // on a connection that had answered before
  Micros idle_limit = 0;   // a connection idle for longer is not used again
  Micros idle_reset_at = 0;
  std::uint64_t given_up = 0;  // attempts, since the last line of the log
  robinseam::limits::ConnectionBudget budget{0};
  std::vector<std::unique_ptr<ServerConnection>> connections;

  /// A command written after `span` of idleness was answered with a reset.
  void note_idle_reset(Micros span, Micros now) {
    if (span < kLeastIdle) return;
    bool again = idle_reset_at > 0 && now - idle_reset_at < kIdleAgain;
    idle_reset_at = now;
    if (again)
      idle_limit =
          std::min(idle_limit, static_cast<Micros>(kIdleSeenPart * static_cast<double>(span)));
  }
};

namespace {

/// Whether `one` replaces `other` at the address that both have. Where neither says that it was
/// started later, one that is to be used; the ids decide else, so that each list means one thing.
bool newer(const ServerPool& one, const ServerPool& other) {
  return std::tie(one.born, one.wanted, one.id) > std::tie(other.born, other.wanted, other.id);
}

}  // namespace

class ServerConnection {
 public:
  struct Entry {
    RequestId id;
    int attempt;
    bool live = true;   // somebody waits for it
    Expected expected;  // what its answer must bear
    std::string bytes;  // the command, its value too unless it is large
    std::shared_ptr<const std::string> value;
    std::string_view tail;
    std::size_t size;  // of the three, which are freed once written
    Micros since;      // queued, then abandoned
  };

  ServerConnection(ServerSide& side, ServerPool& pool, Fd fd)
      : side_(side),
        pool_(pool),
        fd_(std::move(fd)),
        codec_(ServerCodec::make(pool.protocol, side.fields_, side.rules_.cas_is_server_key)),
        used_at_(side.clock_.now()) {
    read_.reset(event_new(side.base_, fd_.get(), EV_READ | EV_PERSIST, on_event, this));
    write_.reset(event_new(side.base_, fd_.get(), EV_WRITE, on_event, this));
  }

  static void on_event(evutil_socket_t, short what, void* self) {
    auto* c = static_cast<ServerConnection*>(self);
    if (c->closed_) return;
    if (c->connecting_) {
      c->connected(what);
      return;
    }
    if (what & EV_WRITE) c->side_.touch(*c);
    if (what & EV_READ) c->read();
  }

  ~ServerConnection() { end_pipe(false); }

  bool idle() const { return !connecting_ && entries_.empty() && !pipe_; }
  /// Nobody waits for anything on it.
  bool forsaken() const {
    return !pipe_ &&
           std::none_of(entries_.begin(), entries_.end(), [](const Entry& e) { return e.live; });
  }

  void await_connect() {
    timeval limit = timeval_of(side_.limits_.dial_timeout);
    event_add(write_.get(), &limit);
  }

  void connected(short what) {
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

  void flush() {
    if (connecting_) return;
    // Right before anything is written: no queue outruns a list.
    if (retiring_) side_.recall(*this);
    if (doomed_ && entries_.empty()) {
      side_.close(*this);
      return;
    }
    // Where servers may be configured for the wrong protocol, one attempt a connection is what that
    // may cost: the others wait for the first answer, and go elsewhere unsent if it is none.
    std::size_t most = side_.rules_.any() && !pool_.proven
                           ? std::max<std::size_t>(1, sent_ + (partial_ > 0))
                           : entries_.size();
    while (sent_ < std::min(most, entries_.size())) {
      iovec parts[64];
      int count = 0;
      std::size_t skip = partial_;
      auto add = [&](std::string_view bytes) {
        std::size_t from = std::min(skip, bytes.size());
        skip -= from;
        if (from == bytes.size()) return;
        parts[count++] = {const_cast<char*>(bytes.data()) + from, bytes.size() - from};
      };
      for (std::size_t k = sent_; k < std::min(most, entries_.size()) && count <= 61; ++k) {
        add(entries_[k].bytes);
        if (entries_[k].value) add(*entries_[k].value), add(entries_[k].tail);
      }
      msghdr message{};
      message.msg_iov = parts;
      message.msg_iovlen = static_cast<std::size_t>(count);
      ssize_t put = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
      if (put < 0) {
        if (errno == EINTR) continue;
        if (errno == EAGAIN || errno == EWOULDBLOCK) {
          event_add(write_.get(), nullptr);
          return;
        }
        side_.close(*this);
        return;
      }
      partial_ += static_cast<std::size_t>(put);
      while (sent_ < entries_.size() && partial_ >= entries_[sent_].size) {
        Entry& e = entries_[sent_];
        partial_ -= e.size;
        std::string().swap(e.bytes);
        e.value.reset();
        ++sent_;
        ++side_.counts_.written;
      }
    }
  }

  void begin_pipe(ServerCodec::Answer& answer) {
    ++side_.counts_.piped;
    ++side_.pipes_;
    pipe_ = std::make_shared<ValuePipe>(answer.length, side_.pipe_window());
    left_ = answer.length + 2;
    pipe_->on_room([this] { update_reading(); });
    answer.result.pipe = pipe_;
  }

  /// What is left of the value comes no more, or is all there.
  void end_pipe(bool whole) {
    if (!pipe_) return;
    --side_.pipes_;
    side_.counts_.pipes_broken += !whole && !pipe_->abandoned();
    std::shared_ptr<ValuePipe> pipe = std::move(pipe_);
    pipe_.reset();
    pipe->on_room(nullptr);
    whole ? pipe->finish() : pipe->fail();
  }

  /// Takes the value's part from `in`; false where the connection is closed with that.
  bool feed(std::string_view& in) {
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

  /// The value's reader sets the pace. A value that nobody reads any more is read to its end where
  /// others wait behind it, and else costs the connection.
  void update_reading() {
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

  void read() {
    std::size_t most = kScratch;
    if (pipe_) {
      pipe_->set_window(side_.pipe_window());
      most = std::min(kScratch, pipe_->window());
    }
    ssize_t got = ::recv(fd_.get(), side_.scratch_.get(), most, 0);
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (got <= 0) {
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
      return;
    }
    used_at_ = side_.clock_.now();
    std::string_view in(side_.scratch_.get(), static_cast<std::size_t>(got));
    if (!std::exchange(heard_, true) && codec_->is_other_protocol(in.front())) {
      side_.wrong_protocol(*this);
      return;
    }
    ServerCodec::Answer answer;
    while (!closed_) {
      if (pipe_) {
        if (!feed(in)) return;
        if (pipe_) break;
      }
      ServerCodec::Got what =
          codec_->take(in, sent_ > 0 ? &entries_.front().expected : nullptr, answer);
      if (what == ServerCodec::Got::Nothing) break;
      // Garbage, and answers nobody asked for, say that the two sides no longer agree on what
      // belongs to what: nothing more from this connection may be believed.
      if (what == ServerCodec::Got::Broken) {
        spoilt();
        return;
      }
      bool last = answer.last;
      // A server whose table is full takes the connection, says so once and ends it.
      if (std::exchange(answered_, true)) {
        pool_.answered_at = used_at_;
      } else {
        bool no_room = answer.status == Status::Full && ended();
        if (no_room) answer.status = Status::NoRoom;
        side_.note_dial(pool_, no_room);
      }
      if (!last && !std::exchange(pool_.proven, true))
        for (auto& c : pool_.connections) side_.touch(*c);
      // Believed, "busy" would let a write run twice that may run once. Reads can take it as it is.
      bool unnamed_again = !answer.named && unnamed_at_ > 0 &&
                           used_at_ - unnamed_at_ < kSecondAnswer &&
                           entries_.front().expected.write;
      if (!answer.named) unnamed_at_ = used_at_;
      if (unnamed_again) {
        spoilt();
        return;
      }
      Entry done = std::move(entries_.front());
      entries_.pop_front();
      --sent_;
      pool_.budget.answered();
      if (what == ServerCodec::Got::Begin) begin_pipe(answer);
      if (done.live)
        side_.handler_.on_attempt_end(done.id, done.attempt, answer.status,
                                      std::move(answer.result));
      else
        ++side_.counts_.late_answers;
      answer.result.pipe.reset();
      // Nobody wanted it: a copy had answered before.
      if (pipe_ && pipe_.use_count() == 1) pipe_->abandon();
      if (last) {
        side_.close(*this, Status::Spoilt);
        return;
      }
    }
    // The beginning of something that nobody asked for: it would be read as part of the next
    // answer.
    if (!pipe_ && sent_ == 0 && codec_->in_answer()) {
      spoilt();
      return;
    }
    if (entries_.empty() && !pipe_ && retiring_) side_.close(*this);
  }

  void spoilt() {
    ++side_.counts_.garbage;
    side_.close(*this, Status::Spoilt);
  }

  /// True when the peer has ended or broken the connection, or said something unasked.
  bool ended() const {
    char byte;
    ssize_t got = ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
  }

  ServerSide& side_;
  ServerPool& pool_;
  Fd fd_;
  EventPtr read_, write_;
  std::unique_ptr<ServerCodec> codec_;
  std::shared_ptr<ValuePipe> pipe_;  // the large value that comes now
  std::size_t left_ = 0;             // bytes of it and of its CRLF that are to come
  bool reading_ = true;
  bool doomed_ = false;        // to be closed in the next flush
  bool heard_ = false;         // bytes have come on it
  bool answered_ = false;      // an answer has come on it
  Micros unnamed_at_ = 0;      // the last answer that named no command; 0: none
  std::deque<Entry> entries_;  // in the order of their answers
  std::size_t sent_ = 0;       // of them, written whole
  std::size_t partial_ = 0;    // bytes of the next one that are written
  bool connecting_ = true;
  bool retiring_ = false;  // nothing new; closes when its answers have come
  bool dirty_ = false;
  bool closed_ = false;
  Micros used_at_;
  Micros idle_before_ = 0;  // how long it was idle before its last use; 0 for a new one
};

ServerSide::ServerSide(event_base* base, const TimeSource& clock, Handler& handler, Limits limits,
                       const std::vector<robinseam::ReportField>* fields)
    : base_(base),
      clock_(clock),
      handler_(handler),
      limits_(limits),
      fields_(fields),
      idle_(limits.routers, idle_limit()),
      scratch_(std::make_unique<char[]>(kScratch)) {
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
  close(c, Status::Spoilt);
}

void ServerSide::take_list(const HostList& list) {
  if (list.whole)
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
    ++counts_.recalled;
    if (e.live) handler_.on_attempt_end(e.id, e.attempt, Status::Moot, AttemptResult());
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
        c->entries_.size() < static_cast<std::size_t>(limits_.streams) &&
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
  return robinseam::limits::ConnectionBudget(static_cast<double>(limits_.per_server));
}

/// For a connection that others could use once what is out on it is answered: its server pays for
/// the next one. What is idle costs no more to close now than by the sweep.
bool ServerSide::may_close(ServerConnection& c) {
  if (c.idle() || c.pool_.budget.may_close(clock_.now())) return true;
  ++counts_.kept;
  return false;
}

/// The budget of connections is shared by all servers. Each wanted one that has no connection keeps
/// room for one, so that a few slow servers can't take everything; where there are more of them
/// than connections, they keep half of those. What stands idle is such room, since it makes way for
/// them, then what only waits for answers that nobody wants any more: when a server or the origin
/// jams, those come by the hundred, and each would hold its connection for kAbandonTime.
bool ServerSide::make_room(ServerPool& pool) {
  if (pool.connections.size() >= limits_.per_server) {
    ServerConnection* spare = nullptr;
    spare_of(pool, spare);
    if (!spare || !may_close(*spare)) return false;
    ++counts_.made_room;
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
    if (used + std::min(kept, limits_.connections / 2) >= limits_.connections) return false;
  }
  while (total_ >= limits_.connections) {
    ServerConnection* spare = nullptr;
    for (auto& [id, other] : pools_) spare_of(*other, spare);
    if (!spare || !may_close(*spare)) return false;
    ++counts_.made_room;
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
    handler_.on_attempt_end(id, attempt, own ? Status::Moot : Status::ConnectFailed,
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
      ++counts_.taken_back;
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
        return Status::Moot;
      }
      e.live = false;
      e.since = clock_.now();
      ++at->second->given_up;
      // Partly written: finishing it would send the request after its end.
      if (k >= c.sent_) {
        close(c);
        return Status::Moot;
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
  ++counts_.no_room;
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
        handler_.on_attempt_end(e.id, e.attempt, well ? Status::NoRoom : Status::ConnectFailed,
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

std::pair<std::string, std::uint64_t> ServerSide::most_given_up() {
  std::pair<std::string, std::uint64_t> most;
  for (auto& [id, pool] : pools_) {
    if (pool->given_up > most.second) most = {id, pool->given_up};
    pool->given_up = 0;
  }
  return most;
}

std::size_t ServerSide::pipe_window() const {
  // Each window counts twice: here and in what the client's connection has taken of it.
  return std::clamp(limits_.pipe_bytes / 2 / std::max<std::size_t>(1, pipes_), kLeastWindow,
                    kMostWindow);
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
        if (c.reading_ && now - c.used_at_ > kPipeSilence) ++counts_.gave_up, close(c);
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
        ++counts_.gave_up, close(c, broken_off ? Status::Spoilt : Status::Reset);
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
