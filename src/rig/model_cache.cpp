#include "model_cache.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <stdexcept>

namespace arrowfork::rig {
namespace {

constexpr Micros kTickInterval = kMillisecond;
constexpr char kReceipt[] = "00000000000000a1";

}  // namespace

RealTimeFleet::RealTimeFleet(event_base* base, const TimeSource& clock, const emu::FleetPlan& plan,
                             std::uint64_t seed)
    : clock_(clock), fleet_(time_, plan, seed), offset_(time_.now() - clock.now()) {
  tick_.reset(event_new(base, -1, EV_PERSIST, on_tick, this));
  timeval interval = timeval_of(kTickInterval);
  event_add(tick_.get(), &interval);
}

void RealTimeFleet::on_tick(evutil_socket_t, short, void* self) {
  static_cast<RealTimeFleet*>(self)->catch_up();
}

void RealTimeFleet::catch_up() {
  Micros now = clock_.now() + offset_;
  if (now <= time_.now()) return;
  max_lag_ = std::max(max_lag_, now - time_.now());
  time_.run_until(now);
}

bool EffectTracker::record_write(Micros now, const std::string& idempotency_key) {
  // Keys are kept for twice the time after which servers forget them, to detect such late
  // duplicates.
  if (now - generation_start_ > 2 * key_ttl_) {
    previous_ = std::exchange(current_, {});
    generation_start_ = now;
  }
  for (auto* generation : {&current_, &previous_}) {
    auto at = generation->find(idempotency_key);
    if (at == generation->end()) continue;
    if (now - at->second <= key_ttl_) return true;
    ++duplicate_effects_;
    return false;
  }
  current_[idempotency_key] = now;
  ++writes_;
  return false;
}

/// Commands start on arrival, answers are sent in order.
class ModelCache::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(ModelCache& server, Fd fd) : server_(&server), fd_(std::move(fd)) {
    read_.reset(event_new(server.base_, fd_.get(), EV_READ | EV_PERSIST, on_read, this));
    write_.reset(event_new(server.base_, fd_.get(), EV_WRITE, on_write, this));
    event_add(read_.get(), nullptr);
  }
  ~Connection() { detach(); }

  /// Closes the connection and tells the model that nobody waits for the commands in progress.
  void detach() {
    server_ = nullptr;
    for (auto& pending : pending_) *pending->closed = true;
    pending_.clear();
    read_.reset(), write_.reset();
    fd_.reset();
  }
  void reset() {
    linger immediately{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
  }

 private:
  struct PendingAnswer {
    std::string bytes;
    bool ready = false;
    std::shared_ptr<bool> closed = std::make_shared<bool>(false);
  };

  static void on_write(evutil_socket_t, short, void* self) {
    static_cast<Connection*>(self)->flush();
  }
  static void on_read(evutil_socket_t, short, void* self) {
    auto keep = static_cast<Connection*>(self)->shared_from_this();
    char data[65536];
    ssize_t received = ::recv(keep->fd_.get(), data, sizeof data, MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (received <= 0) return keep->server_->close(*keep);
    keep->server_->fleet_.catch_up();
    keep->process({data, static_cast<std::size_t>(received)});
  }

  void process(std::string_view in) {
    while (!in.empty() && server_) {
      Command c;
      auto got = reader_.parse(in, c);
      if (got == CommandReader::ParseResult::Incomplete) return;
      if (got != CommandReader::ParseResult::Command) {
        ++server_->counts_.malformed_commands;
        return server_->close(*this);
      }
      start_command(std::move(c));
    }
  }

  void start_command(Command c) {
    if (over_limit_) {
      constexpr std::string_view kBusy = "SERVER_ERROR busy\r\n";
      ::send(fd_.get(), kBusy.data(), kBusy.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      return server_->close(*this);
    }
    ++server_->counts_.commands;
    if (server_->observer_) server_->observer_->on_command(*server_, c);
    Request r;
    r.write = c.set;
    r.key = c.key;
    r.work = c.work;
    if (c.set && server_->effects_.record_write(server_->clock_.now(), c.idempotency_key)) {
      // A duplicate of a write that has run gets its receipt, at no cost.
      send_answer("HD O" + c.id + " c" + kReceipt, {});
      return;
    }
    auto pending = std::make_shared<PendingAnswer>();
    pending_.push_back(pending);
    bool handshake = std::exchange(first_command_, false);
    server_->model_.arrive(r, handshake, pending->closed,
                           [self = weak_from_this(), pending, id = c.id, set = c.set,
                            key = c.key](const emu::Answer& answer) {
                             auto c = self.lock();
                             if (!c || *pending->closed) return;
                             pending->bytes = format_answer(answer, set, id, key);
                             pending->ready = true;
                             c->flush();
                           });
  }

  void send_answer(std::string text, const emu::Answer&) {
    auto pending = std::make_shared<PendingAnswer>();
    pending->bytes = std::move(text) + "\r\n";
    pending->ready = true;
    pending_.push_back(std::move(pending));
    flush();
  }

  static std::string format_answer(const emu::Answer& a, bool set, const std::string& id,
                                   const std::string& key) {
    char report[96];
    std::snprintf(report, sizeof report, " Lload_share=%.3f,mean_ms=%.2f,x0=%.3f\r\n",
                  a.utilization, a.service_ms, a.hit_share);
    if (a.status == Status::Rejected) return std::string("SERVER_ERROR busy\r\n");
    if (a.status != Status::Ok) return std::string("SERVER_ERROR failed\r\n");
    if (set) return "HD O" + id + " c" + kReceipt + report;
    std::string value = "price of " + key;
    return "VA " + std::to_string(value.size()) + " O" + id + (a.note == 1 ? " h1" : " h0") +
           report + value + "\r\n";
  }

  void flush() {
    while (!pending_.empty() && pending_.front()->ready) {
      out_ += pending_.front()->bytes;
      pending_.pop_front();
    }
    while (!out_.empty()) {
      ssize_t sent = ::send(fd_.get(), out_.data(), out_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        event_add(write_.get(), nullptr);
        return;
      }
      if (sent < 0) return;  // on_read sees the close
      out_.erase(0, static_cast<std::size_t>(sent));
    }
  }

  friend class ModelCache;
  ModelCache* server_;
  Fd fd_;
  EventPtr read_, write_;
  CommandReader reader_;
  bool first_command_ = true;
  bool over_limit_ = false;
  std::deque<std::shared_ptr<PendingAnswer>> pending_;
  std::string out_;
};

ModelCache::ModelCache(event_base* base, const TimeSource& clock, RealTimeFleet& fleet,
                       emu::CacheModel& model, EffectTracker& effects)
    : base_(base), clock_(clock), fleet_(fleet), model_(model), effects_(effects) {
  std::string error;
  listener_ = listen_at(*parse_address("127.0.0.1:0"), false, error);
  sockaddr_in at{};
  socklen_t size = sizeof at;
  if (!listener_ || ::getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&at), &size) != 0)
    throw std::runtime_error("cache server: cannot listen: " + error);
  port_ = ntohs(at.sin_port);
  accept_event_.reset(event_new(base_, listener_.get(), EV_READ | EV_PERSIST, on_accept, this));
  event_add(accept_event_.get(), nullptr);
}

ModelCache::~ModelCache() = default;

void ModelCache::reset_connections() {
  for (auto& c : connections_) c->reset(), c->detach();
  connections_.clear();
}

void ModelCache::set_down(bool down) {
  down_ = down;
  if (down) reset_connections();
}

void ModelCache::on_accept(evutil_socket_t, short, void* self) {
  auto* s = static_cast<ModelCache*>(self);
  Fd fd(::accept4(s->listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!fd) return;
  int on = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ++s->counts_.connections;
  auto c = std::make_shared<Connection>(*s, std::move(fd));
  if (s->down_) return c->reset();
  if (s->observer_) s->observer_->on_connection(*s);
  c->over_limit_ = s->max_connections_ > 0 && s->connections_.size() >= s->max_connections_;
  s->connections_.push_back(std::move(c));
}

void ModelCache::close(Connection& c) {
  auto at = std::find_if(connections_.begin(), connections_.end(),
                         [&](const auto& one) { return one.get() == &c; });
  if (at == connections_.end()) return;
  auto keep = std::move(*at);
  connections_.erase(at);
  keep->detach();
}

}  // namespace arrowfork::rig
