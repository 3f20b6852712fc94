#include "server.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

#include "grpc/health/v1/health.pb.h"

namespace arrowfork::extproc {
namespace {

const char* const kProcess = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";
const char* const kCheck = "/grpc.health.v1.Health/Check";
const char* const kWatch = "/grpc.health.v1.Health/Watch";
const char* const kService = "envoy.service.ext_proc.v3.ExternalProcessor";

using Health = ::grpc::health::v1::HealthCheckResponse;

// How often health is told anew, idle connections are looked for and final answers forgotten.
constexpr Micros kSweep = kSecond / 4;
constexpr std::size_t kRead = 64u << 10;

Rules rules_of(const ExtProcSettings& s) {
  Rules r;
  auto take = [](std::string& to, const std::string& from) {
    if (!from.empty()) to = from;
  };
  take(r.key, s.key_header);
  take(r.type, s.class_header);
  take(r.tenant, s.tenant_header);
  take(r.deadline, s.deadline_header);
  take(r.id, s.id_header);
  take(r.idempotency, s.idempotency_header);
  r.read_type = s.read_class;
  r.write_type = s.write_class;
  r.first_tenant = s.default_tenant;
  r.streams = s.max_streams;
  return r;
}

}  // namespace

class Server::Connection final : public grpc::ServerSession::Handler {
 public:
  Connection(Server& server, std::uint32_t number, Fd fd)
      : server_(server),
        number_(number),
        fd_(std::move(fd)),
        since_(server.clock_.now()),
        born_(since_),
        heard_at_(since_),
        session_(std::make_unique<grpc::ServerSession>(server.clock_, *this, server.limits_,
                                                       server.session_counts_)) {
    read_.reset(event_new(server.base_, fd_.get(), EV_READ | EV_PERSIST, on_read, this));
    write_.reset(event_new(server.base_, fd_.get(), EV_WRITE, on_write, this));
    event_add(read_.get(), nullptr);
  }
  ~Connection() override { session_.reset(); }

  // ServerSession::Handler
  void on_call(grpc::CallId call, const std::string& path, Micros) override {
    if (path == kProcess) {
      server_.processor_.on_open(stream(call));
      if (server_.processor_.has(stream(call))) kinds_[call] = Kind::Process;
    } else if (path == kCheck || path == kWatch) {
      kinds_[call] = path == kCheck ? Kind::Check : Kind::Watch;
    } else {
      session_->finish(call, grpc::Status::Unimplemented, path);
    }
  }
  void on_message(grpc::CallId call, std::string&& message) override {
    auto kind = kinds_.find(call);
    if (kind == kinds_.end()) return;
    if (kind->second == Kind::Process)
      server_.processor_.on_message(stream(call), message);
    else
      health(call, kind->second == Kind::Watch, message);
  }
  void on_half_close(grpc::CallId call) override {
    auto kind = kinds_.find(call);
    if (kind == kinds_.end() || kind->second != Kind::Process) return;
    kinds_.erase(kind);
    server_.processor_.on_half_close(stream(call));
  }
  void on_gone(grpc::CallId call) override {
    watches_.erase(call);
    if (kinds_.erase(call)) server_.processor_.on_gone(stream(call));
  }

  void message(grpc::CallId call, const std::string& bytes) { session_->message(call, bytes); }
  void finish(grpc::CallId call, grpc::Status status, const std::string& text) {
    kinds_.erase(call);
    session_->finish(call, status, text);
  }
  void go_away() { session_->go_away(); }

  /// Tells the watchers where health has changed.
  void sweep(bool serving) {
    for (auto& [call, told] : watches_)
      if (std::exchange(told, serving) != serving) tell_health(call, serving);
    Micros now = server_.clock_.now();
    if (session_->open_calls() > 0) since_ = now;
    const ExtProcSettings& most = server_.settings_;
    auto give_up = [&](bool due, std::uint64_t& count) {
      if (!due || over_) return;
      ++count;
      over_ = true;
    };
    give_up(stalled_since_ && now - stalled_since_ > most.stall_timeout, server_.counts_.stalled);
    give_up(!session_->greeted() && now - born_ > most.handshake_timeout,
            server_.counts_.half_open);
    if (session_->open_calls() == 0) return;
    // A machine that has vanished says nothing, and its calls would stay for good.
    if (!pinged_at_ && now - heard_at_ > most.keepalive_interval) {
      pinged_at_ = now;
      session_->ping();
    }
    give_up(pinged_at_ && now - pinged_at_ > most.keepalive_timeout, server_.counts_.vanished);
  }
  bool idle(Micros now, Micros most) const {
    return session_->open_calls() == 0 && now - since_ > most;
  }

  /// Writes what the session has; false where the connection is over.
  bool flush() {
    while (!over_) {
      if (out_.empty()) {
        if (!session_->send(out_)) ending_ = true;
        if (out_.empty()) break;
      }
      ssize_t put = ::send(fd_.get(), out_.data(), out_.size(), MSG_NOSIGNAL);
      if (put < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        session_->note_unsent(out_.size());
        if (!stalled_since_) stalled_since_ = server_.clock_.now();
        event_add(write_.get(), nullptr);
        return true;
      }
      if (put < 0) return false;
      stalled_since_ = 0;
      out_.erase(0, static_cast<std::size_t>(put));
      session_->note_unsent(out_.size());
    }
    return !over_ && !ending_ && !session_->drained();
  }

  bool dirty = false;

 private:
  enum class Kind { Process, Check, Watch };

  StreamId stream(grpc::CallId call) const {
    return static_cast<StreamId>(number_) << 32 | static_cast<std::uint32_t>(call);
  }
  void tell_health(grpc::CallId call, bool serving) {
    Health answer;
    answer.set_status(serving ? Health::SERVING : Health::NOT_SERVING);
    session_->message(call, answer.SerializeAsString());
  }
  void health(grpc::CallId call, bool watch, const std::string& bytes) {
    ::grpc::health::v1::HealthCheckRequest request;
    if (!request.ParseFromString(bytes)) {
      finish(call, grpc::Status::InvalidArgument, "no HealthCheckRequest");
      return;
    }
    bool known = request.service().empty() || request.service() == kService;
    if (!watch) {
      if (known) tell_health(call, server_.serving());
      finish(call, known ? grpc::Status::Ok : grpc::Status::NotFound, known ? "" : "service");
    } else if (known && watches_.emplace(call, server_.serving()).second) {
      tell_health(call, server_.serving());
    } else if (!known) {
      Health answer;
      answer.set_status(Health::SERVICE_UNKNOWN);
      session_->message(call, answer.SerializeAsString());
    }
  }

  static void on_read(evutil_socket_t, short, void* self) {
    auto* c = static_cast<Connection*>(self);
    char data[kRead];
    ssize_t got = ::recv(c->fd_.get(), data, sizeof data, 0);
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (got <= 0)
      c->over_ = true;
    else if (!c->session_->recv({data, static_cast<std::size_t>(got)}))
      c->ending_ = true;
    if (c->over_ || c->ending_) event_del(c->read_.get());
    c->since_ = c->heard_at_ = c->server_.clock_.now();
    c->pinged_at_ = 0;
    c->server_.touch(*c);
  }
  static void on_write(evutil_socket_t, short, void* self) {
    auto* c = static_cast<Connection*>(self);
    c->server_.touch(*c);
  }

  friend class Server;
  Server& server_;
  std::uint32_t number_;
  Fd fd_;
  EventPtr read_, write_;
  std::string out_;
  bool over_ = false;    // the peer has ended it
  bool ending_ = false;  // closes once what is due is written
  Micros stalled_since_ = 0;
  Micros since_;  // its connect, its last bytes, or its last open call
  Micros born_, heard_at_;
  Micros pinged_at_ = 0;  // unanswered since then; 0: none is
  std::unordered_map<grpc::CallId, Kind> kinds_;
  std::unordered_map<grpc::CallId, bool> watches_;  // what each was told last
  std::unique_ptr<grpc::ServerSession> session_;    // its end tells of calls that are gone
};

Server::Server(event_base* base, const TimeSource& clock, Core& core,
               const ExtProcSettings& settings, const std::vector<robinseam::ReportField>& fields,
               std::function<std::string(const std::string& server)> address_of)
    : base_(base),
      clock_(clock),
      core_(core),
      settings_(settings),
      processor_(core, clock, *this, rules_of(settings), fields, std::move(address_of)) {
  limits_.streams = static_cast<std::uint32_t>(settings.max_streams_per_connection);
  limits_.header_bytes = static_cast<std::uint32_t>(settings.header_bytes);
  limits_.resets_per_s = static_cast<std::uint32_t>(settings.resets_per_s);
  limits_.pings_per_s = static_cast<std::uint32_t>(settings.pings_per_s);
  limits_.stream_window = static_cast<std::uint32_t>(settings.stream_window);
  limits_.connection_window = static_cast<std::uint32_t>(settings.connection_window);
  limits_.message_bytes = settings.message_bytes;
  limits_.out_bytes = settings.out_bytes;
  auto address = parse_address(settings.listen);
  if (!address) throw ConfigError("ext_proc.listen: no address: '" + settings.listen + "'");
  std::string error;
  listener_ = listen_at(*address, false, error);
  if (!listener_) throw ConfigError("ext_proc.listen: " + settings.listen + ": " + error);
  port_ = port_of(listener_);
  accept_event_.reset(event_new(base, listener_.get(), EV_READ | EV_PERSIST, on_accept, this));
  event_add(accept_event_.get(), nullptr);
  sweep_event_.reset(event_new(base, -1, EV_PERSIST, on_sweep, this));
  timeval every = timeval_of(kSweep);
  event_add(sweep_event_.get(), &every);
}

Server::~Server() { connections_.clear(); }

bool Server::serving() const { return !draining_ && core_.module_stats().live_servers > 0; }

void Server::on_accept(evutil_socket_t, short, void* self) {
  auto* s = static_cast<Server*>(self);
  Fd fd(::accept4(s->listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!fd) return;
  if (s->connections_.size() >= s->settings_.max_connections) {
    ++s->counts_.turned_away;
    return;
  }
  int on = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ++s->counts_.connections;
  std::uint32_t number = s->next_++;
  auto& c = s->connections_[number];
  c = std::make_unique<Connection>(*s, number, std::move(fd));
  s->touch(*c);
}

void Server::on_sweep(evutil_socket_t, short, void* self) {
  auto* s = static_cast<Server*>(self);
  s->processor_.sweep();
  Micros now = s->clock_.now();
  bool serving = s->serving();
  for (auto& [number, c] : s->connections_) {
    c->sweep(serving);
    if (c->idle(now, s->settings_.idle_timeout)) {
      ++s->counts_.idle;
      c->go_away();
    }
    s->touch(*c);
  }
}

std::vector<std::pair<std::string, std::uint64_t>> Server::counters() const {
  const Processor::Counts& p = processor_.counts();
  const grpc::ServerSession::Counts& s = session_counts_;
  std::vector<std::pair<std::string, std::uint64_t>> all = {
      {"connections_open", connections_.size()},
      {"connections", counts_.connections},
      {"connections_turned_away", counts_.turned_away},
      {"connections_idle", counts_.idle},
      {"connections_half_open", counts_.half_open},
      {"connections_stalled", counts_.stalled},
      {"connections_vanished", counts_.vanished},
      {"slow_readers", s.slow_readers},
      {"rapid_resets", s.rapid_resets},
      {"ping_floods", s.ping_floods},
      {"garbage", s.garbage},
      {"headers_too_long", s.headers_too_long},
      {"messages_too_long", s.message_too_long},
      {"streams_open", processor_.open_streams()},
      {"streams", p.streams},
      {"streams_too_many", p.too_many},
      {"requests_kept", processor_.kept()},
      {"bad", p.bad},
      {"picked", p.picked},
      {"refused", p.refused},
      {"failed", p.failed},
      {"reported", p.reported},
      {"unreported", p.unreported},
      {"other_endpoint", p.other_endpoint},
      {"continued", p.continued}};
  for (auto& [name, value] : all) name.insert(0, "ext_proc_");
  return all;
}

void Server::touch(Connection& c) {
  if (std::exchange(c.dirty, true)) return;
  dirty_.push_back(c.number_);
}

void Server::flush() {
  for (std::size_t k = 0; k < dirty_.size(); ++k) {
    auto at = connections_.find(dirty_[k]);
    if (at == connections_.end()) continue;
    at->second->dirty = false;
    if (!at->second->flush()) connections_.erase(at);
  }
  dirty_.clear();
}

Server::Connection* Server::connection_of(StreamId stream) {
  auto at = connections_.find(static_cast<std::uint32_t>(stream >> 32));
  if (at == connections_.end()) return nullptr;
  touch(*at->second);
  return at->second.get();
}

void Server::message(StreamId stream, const std::string& bytes) {
  if (Connection* c = connection_of(stream))
    c->message(static_cast<grpc::CallId>(stream & 0xffffffff), bytes);
}

void Server::finish(StreamId stream, grpc::Status status, const std::string& text) {
  if (Connection* c = connection_of(stream))
    c->finish(static_cast<grpc::CallId>(stream & 0xffffffff), status, text);
}

void Server::drain() {
  if (std::exchange(draining_, true)) return;
  accept_event_.reset();
  listener_.reset();
  for (auto& [number, c] : connections_) {
    c->go_away();
    touch(*c);
  }
}

}  // namespace arrowfork::extproc
