#include "model_cache.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <stdexcept>

namespace arrowfork::rig {
namespace {

constexpr Micros kTick = kMillisecond;
constexpr char kReceipt[] = "00000000000000a1";

}  // namespace

RealTimeFleet::RealTimeFleet(event_base* base, const TimeSource& clock, const emu::FleetPlan& plan,
                             std::uint64_t seed)
    : clock_(clock), fleet_(time_, plan, seed), offset_(time_.now() - clock.now()) {
  tick_.reset(event_new(base, -1, EV_PERSIST, on_tick, this));
  timeval every = timeval_of(kTick);
  event_add(tick_.get(), &every);
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

bool EffectTracker::record_write(Micros now, const std::string& idempotency) {
  // Kept for twice the time after which servers forget a key: a repeat that late is what is sought.
  if (now - generation_at_ > 2 * key_ttl_) {
    before_ = std::exchange(first_, {});
    generation_at_ = now;
  }
  for (auto* seen : {&first_, &before_}) {
    auto at = seen->find(idempotency);
    if (at == seen->end()) continue;
    if (now - at->second <= key_ttl_) return true;
    ++duplicate_effects_;
    return false;
  }
  first_[idempotency] = now;
  ++writes_;
  return false;
}

/// Commands are begun as they come, answers go out in order.
class ModelCache::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(ModelCache& server, Fd fd) : server_(&server), fd_(std::move(fd)) {
    read_.reset(event_new(server.base_, fd_.get(), EV_READ | EV_PERSIST, on_read, this));
    write_.reset(event_new(server.base_, fd_.get(), EV_WRITE, on_write, this));
    event_add(read_.get(), nullptr);
  }
  ~Connection() { end(); }

  /// What is still in work for it has nobody to be answered.
  void end() {
    server_ = nullptr;
    for (auto& owed : owed_) *owed->closed = true;
    owed_.clear();
    read_.reset(), write_.reset();
    fd_.reset();
  }
  void reset() {
    linger now{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }

 private:
  struct Owed {
    std::string bytes;
    bool ready = false;
    std::shared_ptr<bool> closed = std::make_shared<bool>(false);
  };

  static void on_write(evutil_socket_t, short, void* self) {
    static_cast<Connection*>(self)->push();
  }
  static void on_read(evutil_socket_t, short, void* self) {
    auto keep = static_cast<Connection*>(self)->shared_from_this();
    char data[65536];
    ssize_t got = ::recv(keep->fd_.get(), data, sizeof data, MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (got <= 0) return keep->server_->close(*keep);
    keep->server_->world_.catch_up();
    keep->take({data, static_cast<std::size_t>(got)});
  }

  void take(std::string_view in) {
    while (!in.empty() && server_) {
      Command c;
      auto got = reader_.take(in, c);
      if (got == CommandReader::Got::Nothing) return;
      if (got != CommandReader::Got::Command) {
        ++server_->counts_.malformed_commands;
        return server_->close(*this);
      }
      begin(std::move(c));
    }
  }

  void begin(Command c) {
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
    if (c.set && server_->effects_.record_write(server_->clock_.now(), c.idempotency)) {
      // A repeat of what has run: its receipt, at no cost.
      owe("HD O" + c.id + " c" + kReceipt, {});
      return;
    }
    auto owed = std::make_shared<Owed>();
    owed_.push_back(owed);
    bool handshake = std::exchange(fresh_, false);
    server_->model_.arrive(r, handshake, owed->closed,
                           [self = weak_from_this(), owed, id = c.id, set = c.set,
                            key = c.key](const emu::Answer& answer) {
                             auto c = self.lock();
                             if (!c || *owed->closed) return;
                             owed->bytes = line(answer, set, id, key);
                             owed->ready = true;
                             c->push();
                           });
  }

  void owe(std::string text, const emu::Answer&) {
    auto owed = std::make_shared<Owed>();
    owed->bytes = std::move(text) + "\r\n";
    owed->ready = true;
    owed_.push_back(std::move(owed));
    push();
  }

  static std::string line(const emu::Answer& a, bool set, const std::string& id,
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

  void push() {
    while (!owed_.empty() && owed_.front()->ready) {
      out_ += owed_.front()->bytes;
      owed_.pop_front();
    }
    while (!out_.empty()) {
      ssize_t put = ::send(fd_.get(), out_.data(), out_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (put < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        event_add(write_.get(), nullptr);
        return;
      }
      if (put < 0) return;  // the read tells of its end
      out_.erase(0, static_cast<std::size_t>(put));
    }
  }

  friend class ModelCache;
  ModelCache* server_;
  Fd fd_;
  EventPtr read_, write_;
  CommandReader reader_;
  bool fresh_ = true;
  bool over_limit_ = false;
  std::deque<std::shared_ptr<Owed>> owed_;
  std::string out_;
};

ModelCache::ModelCache(event_base* base, const TimeSource& clock, RealTimeFleet& world,
                       emu::CacheModel& model, EffectTracker& effects)
    : base_(base), clock_(clock), world_(world), model_(model), effects_(effects) {
  std::string error;
  listener_ = listen_at(*parse_address("127.0.0.1:0"), false, error);
  sockaddr_in at{};
  socklen_t size = sizeof at;
  if (!listener_ || ::getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&at), &size) != 0)
    throw std::runtime_error("cache server: " + error);
  port_ = ntohs(at.sin_port);
  accept_event_.reset(event_new(base_, listener_.get(), EV_READ | EV_PERSIST, on_accept, this));
  event_add(accept_event_.get(), nullptr);
}

ModelCache::~ModelCache() = default;

void ModelCache::reset_connections() {
  for (auto& c : connections_) c->reset(), c->end();
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
  keep->end();
}

}  // namespace arrowfork::rig
