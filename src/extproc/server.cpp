#include "server.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

#include "grpc/health/v1/health.pb.h"
#include "limits/send_progress.hpp"

namespace arrowfork::extproc {
namespace {

const char* const kProcessPath = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";
const char* const kCheckPath = "/grpc.health.v1.Health/Check";
const char* const kWatchPath = "/grpc.health.v1.Health/Watch";
const char* const kServiceName = "envoy.service.ext_proc.v3.ExternalProcessor";

using Health = ::grpc::health::v1::HealthCheckResponse;

// Interval of health updates, connection timeout checks and expiry of final replies.
constexpr Micros kHousekeepingInterval = kSecond / 4;
constexpr std::size_t kReadBytes = 64u << 10;

ProcessorOptions processor_options(const ExtProcSettings& s) {
  ProcessorOptions o;
  auto set_if_given = [](std::string& to, const std::string& from) {
    if (!from.empty()) to = from;
  };
  set_if_given(o.key_header, s.key_header);
  set_if_given(o.class_header, s.class_header);
  set_if_given(o.tenant_header, s.tenant_header);
  set_if_given(o.deadline_header, s.deadline_header);
  set_if_given(o.id_header, s.id_header);
  set_if_given(o.idempotency_header, s.idempotency_header);
  o.read_class = s.read_class;
  o.write_class = s.write_class;
  o.default_tenant = s.default_tenant;
  o.max_streams = s.max_streams;
  return o;
}

}  // namespace

/// One connection of a caller, with its gRPC session.
class Server::Connection final : public grpc::ServerSession::Handler {
 public:
  Connection(Server& server, std::uint32_t number, Fd fd)
      : server_(server),
        number_(number),
        fd_(std::move(fd)),
        last_active_(server.clock_.now()),
        connected_at_(last_active_),
        last_received_(last_active_),
        session_(std::make_unique<grpc::ServerSession>(server.clock_, *this, server.limits_,
                                                       server.session_counts_)) {
    read_.reset(event_new(server.base_, fd_.get(), EV_READ | EV_PERSIST, on_read, this));
    write_.reset(event_new(server.base_, fd_.get(), EV_WRITE, on_write, this));
    event_add(read_.get(), nullptr);
  }
  ~Connection() override { session_.reset(); }

  // ServerSession::Handler
  void on_call(grpc::CallId call, const std::string& path, Micros) override {
    if (path == kProcessPath) {
      server_.processor_.on_open(stream_id(call));
      if (server_.processor_.is_open(stream_id(call))) call_kinds_[call] = Kind::Process;
    } else if (path == kCheckPath || path == kWatchPath) {
      call_kinds_[call] = path == kCheckPath ? Kind::Check : Kind::Watch;
    } else {
      session_->finish(call, grpc::Status::Unimplemented, path);
    }
  }
  void on_message(grpc::CallId call, std::string&& message) override {
    auto kind = call_kinds_.find(call);
    if (kind == call_kinds_.end()) return;
    if (kind->second == Kind::Process)
      server_.processor_.on_message(stream_id(call), message);
    else
      answer_health_request(call, kind->second == Kind::Watch, message);
  }
  void on_half_close(grpc::CallId call) override {
    auto kind = call_kinds_.find(call);
    if (kind == call_kinds_.end() || kind->second != Kind::Process) return;
    call_kinds_.erase(kind);
    server_.processor_.on_half_close(stream_id(call));
  }
  void on_aborted(grpc::CallId call) override {
    watches_.erase(call);
    if (call_kinds_.erase(call)) server_.processor_.on_aborted(stream_id(call));
  }

  void send_message(grpc::CallId call, const std::string& bytes) {
    session_->send_message(call, bytes);
  }
  void finish(grpc::CallId call, grpc::Status status, const std::string& text) {
    call_kinds_.erase(call);
    session_->finish(call, status, text);
  }
  void go_away() { session_->go_away(); }

  /// Reports health changes to watchers, and closes the connection if one of its timeouts expired.
  void check_timeouts(bool serving) {
    for (auto& [call, reported] : watches_)
      if (std::exchange(reported, serving) != serving) send_health(call, serving);
    Micros now = server_.clock_.now();
    if (session_->open_calls() > 0) last_active_ = now;
    const ExtProcSettings& settings = server_.settings_;
    auto close_if = [&](bool expired, std::uint64_t& count) {
      if (!expired || closed_) return;
      ++count;
      closed_ = true;
    };
    close_if(send_progress_.stalled_for(now, unacknowledged_bytes(fd_)) > settings.stall_timeout,
             server_.counts_.closed_stalled);
    close_if(!session_->handshake_complete() && now - connected_at_ > settings.handshake_timeout,
             server_.counts_.closed_half_open);
    if (session_->open_calls() == 0) return;
    // Without keepalive pings the calls of a machine that has vanished would stay open for ever.
    if (!pinged_at_ && now - last_received_ > settings.keepalive_interval) {
      pinged_at_ = now;
      session_->ping();
    }
    close_if(pinged_at_ && now - pinged_at_ > settings.keepalive_timeout,
             server_.counts_.closed_unresponsive);
  }
  bool is_idle(Micros now, Micros timeout) const {
    return session_->open_calls() == 0 && now - last_active_ > timeout;
  }

  /// Writes the pending output of the session. Returns false if the connection has to be closed.
  bool flush() {
    while (!closed_) {
      if (out_.empty()) {
        if (!session_->send(out_)) closing_ = true;
        if (out_.empty()) break;
      }
      ssize_t written = ::send(fd_.get(), out_.data(), out_.size(), MSG_NOSIGNAL);
      if (written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        session_->set_unsent_bytes(out_.size());
        send_progress_.start(server_.clock_.now(), unacknowledged_bytes(fd_));
        event_add(write_.get(), nullptr);
        return true;
      }
      if (written < 0) return false;
      send_progress_.stop();
      out_.erase(0, static_cast<std::size_t>(written));
      session_->set_unsent_bytes(out_.size());
    }
    return !closed_ && !closing_ && !session_->drained();
  }

  bool dirty = false;

 private:
  enum class Kind { Process, Check, Watch };

  StreamId stream_id(grpc::CallId call) const {
    return static_cast<StreamId>(number_) << 32 | static_cast<std::uint32_t>(call);
  }
  void send_health(grpc::CallId call, bool serving) {
    Health answer;
    answer.set_status(serving ? Health::SERVING : Health::NOT_SERVING);
    session_->send_message(call, answer.SerializeAsString());
  }
  void answer_health_request(grpc::CallId call, bool watch, const std::string& bytes) {
    ::grpc::health::v1::HealthCheckRequest request;
    if (!request.ParseFromString(bytes)) {
      finish(call, grpc::Status::InvalidArgument, "no HealthCheckRequest");
      return;
    }
    bool known = request.service().empty() || request.service() == kServiceName;
    if (!watch) {
      if (known) send_health(call, server_.serving());
      finish(call, known ? grpc::Status::Ok : grpc::Status::NotFound, known ? "" : "service");
    } else if (known && watches_.emplace(call, server_.serving()).second) {
      send_health(call, server_.serving());
    } else if (!known) {
      Health answer;
      answer.set_status(Health::SERVICE_UNKNOWN);
      session_->send_message(call, answer.SerializeAsString());
    }
  }

  static void on_read(evutil_socket_t, short, void* self) {
    auto* c = static_cast<Connection*>(self);
    char data[kReadBytes];
    ssize_t size = ::recv(c->fd_.get(), data, sizeof data, 0);
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (size <= 0)
      c->closed_ = true;
    else if (!c->session_->recv({data, static_cast<std::size_t>(size)}))
      c->closing_ = true;
    if (c->closed_ || c->closing_) event_del(c->read_.get());
    c->last_active_ = c->last_received_ = c->server_.clock_.now();
    c->pinged_at_ = 0;
    c->server_.mark_dirty(*c);
  }
  static void on_write(evutil_socket_t, short, void* self) {
    auto* c = static_cast<Connection*>(self);
    c->server_.mark_dirty(*c);
  }

  friend class Server;
  Server& server_;
  std::uint32_t number_;
  Fd fd_;
  EventPtr read_, write_;
  std::string out_;
  bool closed_ = false;   // closed by the peer or after a timeout
  bool closing_ = false;  // to be closed once the pending output is written
  robinseam::limits::SendProgress send_progress_;  // while a write waits for the peer
  Micros last_active_;  // when it connected, last received bytes or last had an open call
  Micros connected_at_, last_received_;
  Micros pinged_at_ = 0;  // time of the unanswered ping, 0 if there is none
  std::unordered_map<grpc::CallId, Kind> call_kinds_;
  std::unordered_map<grpc::CallId, bool> watches_;  // health last reported to each watch
  std::unique_ptr<grpc::ServerSession> session_;    // its destructor reports aborted calls
};

Server::Server(event_base* base, const TimeSource& clock, Core& core,
               const ExtProcSettings& settings, const std::vector<robinseam::ReportField>& fields,
               std::function<std::string(const std::string& server)> address_of)
    : base_(base),
      clock_(clock),
      core_(core),
      settings_(settings),
      processor_(core, clock, *this, processor_options(settings), fields, std::move(address_of)) {
  limits_.max_streams = static_cast<std::uint32_t>(settings.max_streams_per_connection);
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
  housekeeping_event_.reset(event_new(base, -1, EV_PERSIST, on_housekeeping, this));
  timeval interval = timeval_of(kHousekeepingInterval);
  event_add(housekeeping_event_.get(), &interval);
}

Server::~Server() { connections_.clear(); }

bool Server::serving() const { return !draining_ && core_.module_stats().live_servers > 0; }

void Server::on_accept(evutil_socket_t, short, void* self) {
  auto* s = static_cast<Server*>(self);
  Fd fd(::accept4(s->listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!fd) return;
  if (s->connections_.size() >= s->settings_.max_connections) {
    ++s->counts_.rejected;
    return;
  }
  int on = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ++s->counts_.connections;
  std::uint32_t number = s->next_number_++;
  auto& c = s->connections_[number];
  c = std::make_unique<Connection>(*s, number, std::move(fd));
  s->mark_dirty(*c);
}

void Server::on_housekeeping(evutil_socket_t, short, void* self) {
  auto* s = static_cast<Server*>(self);
  s->processor_.expire_replies();
  Micros now = s->clock_.now();
  bool serving = s->serving();
  for (auto& [number, c] : s->connections_) {
    c->check_timeouts(serving);
    if (c->is_idle(now, s->settings_.idle_timeout)) {
      ++s->counts_.closed_idle;
      c->go_away();
    }
    s->mark_dirty(*c);
  }
}

std::vector<std::pair<std::string, std::uint64_t>> Server::counters() const {
  const Processor::Counts& p = processor_.counts();
  const grpc::ServerSession::Counts& s = session_counts_;
  std::vector<std::pair<std::string, std::uint64_t>> all = {
      {"connections_open", connections_.size()},
      {"connections", counts_.connections},
      {"connections_turned_away", counts_.rejected},
      {"connections_idle", counts_.closed_idle},
      {"connections_half_open", counts_.closed_half_open},
      {"connections_stalled", counts_.closed_stalled},
      {"connections_vanished", counts_.closed_unresponsive},
      {"slow_readers", s.slow_readers},
      {"rapid_resets", s.rapid_resets},
      {"ping_floods", s.ping_floods},
      {"garbage", s.protocol_errors},
      {"headers_too_long", s.headers_too_long},
      {"messages_too_long", s.messages_too_long},
      {"streams_open", processor_.open_streams()},
      {"streams", p.streams},
      {"streams_too_many", p.rejected_streams},
      {"requests_kept", processor_.kept_requests()},
      {"bad", p.invalid},
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

void Server::mark_dirty(Connection& c) {
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

Server::Connection* Server::find_connection(StreamId stream) {
  auto at = connections_.find(static_cast<std::uint32_t>(stream >> 32));
  if (at == connections_.end()) return nullptr;
  mark_dirty(*at->second);
  return at->second.get();
}

void Server::send_message(StreamId stream, const std::string& bytes) {
  if (Connection* c = find_connection(stream))
    c->send_message(static_cast<grpc::CallId>(stream & 0xffffffff), bytes);
}

void Server::finish(StreamId stream, grpc::Status status, const std::string& text) {
  if (Connection* c = find_connection(stream))
    c->finish(static_cast<grpc::CallId>(stream & 0xffffffff), status, text);
}

void Server::drain() {
  if (std::exchange(draining_, true)) return;
  accept_event_.reset();
  listener_.reset();
  for (auto& [number, c] : connections_) {
    c->go_away();
    mark_dirty(*c);
  }
}

}  // namespace arrowfork::extproc
