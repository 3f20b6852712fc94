#include "server_side.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <cerrno>

namespace arrowfork {
namespace {

constexpr std::size_t kScratch = 64u << 10;
// An idle connection is closed after this part of the time after which the server does it: a
// command that crosses the server's close ends as a reset, and nobody can tell whether it ran.
constexpr double kIdlePart = 0.6;
// Servers, or what stands between, may end idle connections far sooner and say so only when the
// next command is written. What was seen of it bounds the idle time at that server to this part of
// the time it took, at least kLeastIdle; the bound doubles every kIdleDoubles.
constexpr double kIdleSeenPart = 0.7;
constexpr Micros kLeastIdle = 5 * kMillisecond;
constexpr Micros kIdleDoubles = 20 * kSecond;
// A reset this soon after the send is the answer to the send itself.
constexpr Micros kStaleReset = 10 * kMillisecond;
// One idle for longer than this is looked at for an end before it is used.
constexpr Micros kPeekAfter = kSecond / 10;
// An abandoned attempt's answer is waited for this long, so that its connection can be used again;
// after that the machine is taken for silent.
constexpr Micros kAbandonTime = kSecond;
// A large value that makes no progress for this long is cut off; PROTOCOL allows servers 0.1 s.
constexpr Micros kStallTime = 2 * kSecond;
// No dial to a server that just refused one while it has connections that work.
constexpr Micros kDialPause = kSecond / 5;
// An answer that has come in part and then stops for this long will not come: servers pause 0.1 s
// at most. Ending the attempt then, and not at the client's deadline, leaves time for another.
constexpr Micros kPauseTime = 120 * kMillisecond;
constexpr Micros kSweep = kSecond / 40;

}  // namespace

struct ServerPool {
  std::string id;
  std::string dial;
  std::optional<sockaddr_in> address;
  bool wanted = false;  // listed and ready
  Micros born = 0;
  Micros no_dial_until = 0;
  Micros idle_limit = 0;  // a connection idle for longer is not used again
  std::vector<std::unique_ptr<ServerConnection>> connections;

  /// A connection that had been idle for `span` turned out to be ended by the server's side.
  void note_idle_end(Micros span) {
    idle_limit = std::max(
        kLeastIdle,
        std::min(idle_limit, static_cast<Micros>(kIdleSeenPart * static_cast<double>(span))));
  }
};

class ServerConnection {
 public:
  struct Entry {
    RequestId id;
    int attempt;
    bool live = true;        // somebody waits for it
    bool streaming = false;  // its large value is being passed on
    bool set;
    std::string answer_id;  // that its answer must bear
    std::string line;       // small values are in it
    std::shared_ptr<const std::string> value;
    Micros since;  // queued, then abandoned
    std::size_t size() const { return line.size() + (value ? value->size() : 0); }
    bool large() const { return value != nullptr; }
  };

  ServerConnection(ServerSide& side, ServerPool& pool, Fd fd)
      : side_(side),
        pool_(pool),
        fd_(std::move(fd)),
        reader_(side.fields_),
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

  bool idle() const { return !connecting_ && entries_.empty(); }
  /// Nobody waits for anything on it.
  bool forsaken() const {
    return std::none_of(entries_.begin(), entries_.end(), [](const Entry& e) { return e.live; });
  }
  bool has_large() const {
    return std::any_of(entries_.begin(), entries_.end(),
                       [](const Entry& e) { return e.large() || e.streaming; });
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
    while (sent_ < entries_.size()) {
      iovec parts[64];
      int count = 0;
      std::size_t skip = partial_;
      auto add = [&](const std::string& bytes) {
        std::size_t from = std::min(skip, bytes.size());
        skip -= from;
        if (from == bytes.size()) return;
        parts[count++] = {const_cast<char*>(bytes.data()) + from, bytes.size() - from};
      };
      for (std::size_t k = sent_; k < entries_.size() && count + 2 <= 64; ++k) {
        add(entries_[k].line);
        if (entries_[k].value) add(*entries_[k].value);
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
      while (sent_ < entries_.size() && partial_ >= entries_[sent_].size()) {
        Entry& e = entries_[sent_];
        partial_ -= e.size();
        e.line.clear();
        e.value.reset();
        ++sent_;
      }
    }
  }

  void read() {
    ssize_t got = ::recv(fd_.get(), side_.scratch_.get(), kScratch, 0);
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (got <= 0) {
      Micros now = side_.clock_.now();
      if (entries_.empty()) {
        ++side_.counts_.ended_idle;
        pool_.note_idle_end(now - used_at_);
      } else {
        ++side_.counts_.ended_busy;
        bool stale = idle_before_ > 0 && sent_ == entries_.size() && sent_ == 1 &&
                     !reader_.in_answer() && now - used_at_ < kStaleReset;
        if (stale) pool_.note_idle_end(idle_before_);
      }
      side_.close(*this);
      return;
    }
    Micros now = used_at_ = side_.clock_.now();
    std::string_view in(side_.scratch_.get(), static_cast<std::size_t>(got));
    Answer answer;
    std::string_view chunk;
    while (!closed_) {
      AnswerReader::Got what = reader_.take(in, answer, chunk);
      if (what == AnswerReader::Got::Nothing) break;
      // Garbage, and answers nobody asked for, say that the two sides no longer agree on what
      // belongs to what: nothing more from this connection may be believed.
      if (what == AnswerReader::Got::Broken || sent_ == 0) {
        ++side_.counts_.garbage;
        side_.close(*this);
        return;
      }
      Entry& e = entries_.front();
      switch (what) {
        case AnswerReader::Got::Answer: {
          if (!fits(e, answer)) {
            ++side_.counts_.garbage;
            side_.close(*this);
            return;
          }
          bool last = answer.last;
          Entry done = std::move(e);
          pop();
          if (!done.live) ++side_.counts_.late_answers;
          if (done.live) {
            Status status = status_of(answer);
            side_.handler_.on_attempt_end(done.id, done.attempt, status, std::move(answer));
          }
          if (last) {
            side_.close(*this);
            return;
          }
          break;
        }
        case AnswerReader::Got::Head:
          if (!fits(e, answer)) {
            ++side_.counts_.garbage;
            side_.close(*this);
            return;
          }
          e.streaming = e.live && side_.handler_.on_value_begin(e.id, e.attempt, std::move(answer));
          ++side_.counts_.large_values;
          e.live = e.streaming;
          if (!e.live) e.since = now;
          break;
        case AnswerReader::Got::Chunk:
          if (e.streaming && !side_.handler_.on_value_data(e.id, chunk)) pause();
          break;
        case AnswerReader::Got::End:
          if (e.streaming) side_.handler_.on_value_end(e.id, true);
          pop();
          break;
        default:
          break;
      }
    }
    if (entries_.empty() && retiring_) side_.close(*this);
  }

  static Status status_of(const Answer& answer) {
    switch (answer.kind) {
      case Answer::Kind::Busy:
        return Status::Full;
      case Answer::Kind::Error:
        return Status::Error;
      case Answer::Kind::Miss:
        return Status::Miss;
      default:
        return Status::Ok;
    }
  }

  static bool fits(const Entry& e, const Answer& answer) {
    if (answer.kind == Answer::Kind::Value && e.set) return false;
    if (answer.kind == Answer::Kind::Stored && !e.set) return false;
    if (answer.kind == Answer::Kind::Value || answer.kind == Answer::Kind::Stored)
      return answer.id == e.answer_id;
    return answer.id.empty() || answer.id == e.answer_id;
  }

  void pop() {
    entries_.pop_front();
    --sent_;
  }

  void pause() {
    if (paused_) return;
    paused_ = true;
    event_del(read_.get());
  }
  void resume() {
    if (!paused_ || closed_) return;
    paused_ = false;
    used_at_ = side_.clock_.now();
    event_add(read_.get(), nullptr);
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
  AnswerReader reader_;
  std::deque<Entry> entries_;  // in the order of their answers
  std::size_t sent_ = 0;       // of them, written whole
  std::size_t partial_ = 0;    // bytes of the next one that are written
  bool connecting_ = true;
  bool paused_ = false;
  bool retiring_ = false;  // nothing new; closes when its answers have come
  bool dirty_ = false;
  bool closed_ = false;
  Micros used_at_;
  Micros idle_before_ = 0;  // how long it was idle before its last use; 0 for a new one
};

ServerSide::ServerSide(event_base* base, const Clock& clock, Handler& handler, Limits limits,
                       const std::vector<robinseam::ReportField>* fields)
    : base_(base),
      clock_(clock),
      handler_(handler),
      limits_(limits),
      fields_(fields),
      scratch_(std::make_unique<char[]>(kScratch)) {
  sweep_event_.reset(event_new(base, -1, EV_PERSIST, on_sweep, this));
  timeval every = timeval_of(kSweep);
  event_add(sweep_event_.get(), &every);
}

ServerSide::~ServerSide() = default;

void ServerSide::take_list(const HostList& list) {
  if (list.whole)
    for (auto& [id, pool] : pools_) pool->wanted = false;
  for (const Host& host : list.hosts) {
    bool gone = host.server.health == robinseam::Health::Gone;
    auto& pool = pools_[host.server.id];
    if (!pool) {
      if (gone) {
        pools_.erase(host.server.id);
        continue;
      }
      pool = std::make_unique<ServerPool>();
      pool->id = host.server.id;
      pool->idle_limit = idle_limit();
    }
    // Another process, or another place: what is open leads to the old one.
    bool moved = !gone && (pool->dial != host.dial || pool->born != host.server.up_since);
    if (moved) {
      pool->dial = host.dial;
      pool->born = host.server.up_since;
      pool->address = parse_address(host.dial);
      pool->no_dial_until = 0;
      pool->idle_limit = idle_limit();
      for (auto& c : pool->connections) c->retiring_ = true;
    }
    pool->wanted = host.server.health == robinseam::Health::Ready;
  }
  for (auto it = pools_.begin(); it != pools_.end();) {
    ServerPool& pool = *it->second;
    for (std::size_t k = pool.connections.size(); k-- > 0;) {
      ServerConnection& c = *pool.connections[k];
      if (!pool.wanted) c.retiring_ = true;
      if (c.retiring_ && c.idle()) close(c);
    }
    // Servers that have left are forgotten once nothing is out there, so that churn is bounded.
    bool forget = list.whole && !pool.wanted && pool.connections.empty() &&
                  std::none_of(list.hosts.begin(), list.hosts.end(),
                               [&](const Host& h) { return h.server.id == pool.id; });
    it = forget ? pools_.erase(it) : std::next(it);
  }
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
    if (!c->retiring_ && !(established && c->connecting_) && !c->has_large() &&
        (c->entries_.empty() || c->entries_.front().live) &&
        c->entries_.size() < static_cast<std::size_t>(limits_.streams) &&
        (!best || c->entries_.size() < best->entries_.size()))
      best = c.get();
  return best;
}

/// The connection for one more attempt: an idle one that was used last, else a new one, else the
/// one with the least before it. Answers come in order, so waiting behind another costs its whole
/// service time; a dial costs a round trip or two.
ServerConnection* ServerSide::pick(ServerPool& pool, bool large) {
  Micros now = clock_.now();
  while (true) {
    ServerConnection* idle = nullptr;
    for (auto& c : pool.connections)
      if (c->idle() && !c->retiring_ && (!idle || c->used_at_ > idle->used_at_)) idle = c.get();
    if (!idle) break;
    if (now - idle->used_at_ > pool.idle_limit) {
      ++counts_.closed_idle;
      close(*idle);
      continue;
    }
    if (now - idle->used_at_ < kPeekAfter || !idle->ended()) return idle;
    ++counts_.ended_idle;
    pool.note_idle_end(now - idle->used_at_);
    close(*idle);
  }
  bool may_dial = now >= pool.no_dial_until || pool.connections.empty();
  auto room = [&] {
    return pool.connections.size() < limits_.per_server && total_ < limits_.connections;
  };
  if (may_dial && !room()) {
    // One that only waits for answers nobody wants makes room.
    for (auto& c : pool.connections)
      if (c->forsaken()) {
        close(*c);
        break;
      }
  }
  if (may_dial && room())
    if (ServerConnection* c = dial(pool)) return c;
  ServerConnection* best = large ? nullptr : least_loaded(pool, false);
  if (best) ++counts_.pipelined;
  return best;
}

void ServerSide::send(const std::string& server, RequestId id, int attempt, const Command& command,
                      std::int64_t wait_ms) {
  auto at = pools_.find(server);
  bool large = command.value && command.value->size() > kLargeValue;
  ServerConnection* c = at == pools_.end() ? nullptr : pick(*at->second, large);
  if (!c) {
    ++counts_.no_connection;
    handler_.on_attempt_end(id, attempt, Status::ConnectFailed, Answer());
    return;
  }
  ServerConnection::Entry e;
  e.id = id;
  e.attempt = attempt;
  e.set = command.set;
  e.answer_id = command.id;
  e.line = command.line(wait_ms);
  if (large)
    e.value = command.value;
  else if (command.value)
    e.line += *command.value;
  e.since = clock_.now();
  c->idle_before_ = c->idle() ? e.since - c->used_at_ : 0;
  c->used_at_ = e.since;
  c->entries_.push_back(std::move(e));
  touch(*c);
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
      // The answer is read and dropped when it comes. Closing would take neighbours along.
      e.live = e.streaming = false;
      e.since = clock_.now();
      c.resume();
      if (k < c.sent_) return Status::Cancelled;
      // Partly written: finishing it would send the request after its end.
      close(c);
      return Status::Moot;
    }
  }
  return Status::Cancelled;
}

void ServerSide::resume(const std::string& server, RequestId id) {
  auto at = pools_.find(server);
  if (at == pools_.end()) return;
  for (auto& c : at->second->connections)
    if (c->paused_ && !c->entries_.empty() && c->entries_.front().id == id) c->resume();
}

void ServerSide::touch(ServerConnection& c) {
  if (c.dirty_ || c.closed_) return;
  c.dirty_ = true;
  dirty_.push_back(&c);
}

void ServerSide::close(ServerConnection& c) {
  if (c.closed_) return;
  c.closed_ = true;
  for (std::size_t k = 0; k < c.entries_.size(); ++k) {
    ServerConnection::Entry& e = c.entries_[k];
    if (e.streaming) {
      handler_.on_value_end(e.id, false);
    } else if (e.live) {
      handler_.on_attempt_end(e.id, e.attempt, k < c.sent_ ? Status::Reset : Status::ConnectFailed,
                              Answer());
    }
  }
  c.entries_.clear();
  c.read_.reset();
  c.write_.reset();
  c.fd_.reset();
  auto& all = c.pool_.connections;
  auto at = std::find_if(all.begin(), all.end(), [&](const auto& p) { return p.get() == &c; });
  closed_.push_back(std::move(*at));
  all.erase(at);
  --total_;
}

/// A full connection table refuses new connections while those that are open work: what waited for
/// the dial goes behind others then. Where there are none, the server can't be reached.
void ServerSide::failed_dial(ServerConnection& c) {
  ++counts_.failed_dials;
  c.pool_.no_dial_until = clock_.now() + kDialPause;
  std::deque<ServerConnection::Entry> waiting = std::move(c.entries_);
  c.entries_.clear();
  ServerPool& pool = c.pool_;
  close(c);
  for (ServerConnection::Entry& e : waiting) {
    ServerConnection* other = e.large() ? nullptr : least_loaded(pool, true);
    if (!other) {
      if (e.live) handler_.on_attempt_end(e.id, e.attempt, Status::ConnectFailed, Answer());
      continue;
    }
    other->entries_.push_back(std::move(e));
    touch(*other);
  }
}

Micros ServerSide::idle_limit() const {
  return static_cast<Micros>(kIdlePart * static_cast<double>(limits_.keepalive));
}

void ServerSide::on_sweep(evutil_socket_t, short, void* self) {
  static_cast<ServerSide*>(self)->sweep();
}

void ServerSide::sweep() {
  Micros now = clock_.now();
  for (auto& [id, pool] : pools_) {
    pool->idle_limit =
        std::min(idle_limit(), pool->idle_limit + pool->idle_limit * kSweep / kIdleDoubles + 1);
    for (std::size_t k = pool->connections.size(); k-- > 0;) {
      ServerConnection& c = *pool->connections[k];
      if (c.connecting_) continue;
      if (c.entries_.empty()) {
        if (c.retiring_ || now - c.used_at_ > pool->idle_limit) ++counts_.closed_idle, close(c);
        continue;
      }
      // What a full socket buffer has kept back this long was never sent, and must not go out when
      // the server may have begun to drain since.
      while (c.entries_.size() > c.sent_ + (c.partial_ > 0) &&
             now - c.entries_.back().since > limits_.dial_timeout) {
        ServerConnection::Entry e = std::move(c.entries_.back());
        c.entries_.pop_back();
        if (e.live) handler_.on_attempt_end(e.id, e.attempt, Status::ConnectFailed, Answer());
      }
      if (c.entries_.empty()) continue;
      const ServerConnection::Entry& head = c.entries_.front();
      bool silent = !head.live && now - std::max(head.since, c.used_at_) > kAbandonTime;
      bool stalled = head.streaming && !c.paused_ && now - c.used_at_ > kStallTime;
      bool broken_off = c.reader_.in_answer() && !head.streaming && now - c.used_at_ > kPauseTime;
      if (silent || stalled || broken_off) ++counts_.gave_up, close(c);
    }
  }
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
