#include "control_server.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace arrowfork {
namespace {

// Connections are closed at this age in any state: an answer is due within a second, and no caller
// needs longer to send its call.
constexpr Micros kMaxConnectionAge = 5 * kSecond;
constexpr Micros kSweepInterval = kSecond / 4;
// Accepted at most in one loop iteration, so that callers do not delay clients' requests.
constexpr int kMaxAcceptsPerTurn = 64;

}  // namespace

ControlServer::ControlServer(event_base* base, const TimeSource& clock, Handler& handler)
    : base_(base), clock_(clock), handler_(handler) {}

ControlServer::~ControlServer() = default;

bool ControlServer::listen(const sockaddr_in& address, std::string& error) {
  Fd fd = listen_at(address, false, error);
  if (!fd) return false;
  listener_ = std::move(fd);
  accept_event_.reset(event_new(base_, listener_.get(), EV_READ | EV_PERSIST, on_accept, this));
  event_add(accept_event_.get(), nullptr);
  sweep_event_.reset(event_new(base_, -1, EV_PERSIST, on_sweep, this));
  timeval every = timeval_of(kSweepInterval);
  event_add(sweep_event_.get(), &every);
  return true;
}

std::uint16_t ControlServer::port() const { return port_of(listener_); }

void ControlServer::on_accept(evutil_socket_t, short, void* self) {
  static_cast<ControlServer*>(self)->accept_pending();
}

void ControlServer::accept_pending() {
  for (int k = 0; k < kMaxAcceptsPerTurn; ++k) {
    Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) return;
    if (connections_.size() >= kMaxConnections) {
      auto oldest = connections_.begin();
      for (auto it = connections_.begin(); it != connections_.end(); ++it)
        if (!it->answered) {
          oldest = it;
          break;
        }
      connections_.erase(oldest);
    }
    Connection& c = connections_.emplace_back();
    c.server = this;
    c.fd = std::move(fd);
    c.accepted_at = clock_.now();
    c.position = std::prev(connections_.end());
    c.read.reset(event_new(base_, c.fd.get(), EV_READ | EV_PERSIST, on_event, &c));
    c.write.reset(event_new(base_, c.fd.get(), EV_WRITE, on_event, &c));
    event_add(c.read.get(), nullptr);
    read(c);  // the call has usually arrived by now
  }
}

void ControlServer::on_event(evutil_socket_t, short what, void* connection) {
  auto& c = *static_cast<Connection*>(connection);
  if ((what & EV_WRITE) && !c.server->write(c)) return;
  if (what & EV_READ) c.server->read(c);
}

void ControlServer::read(Connection& c) {
  char buffer[4096];
  ssize_t got = ::recv(c.fd.get(), buffer, sizeof buffer, 0);
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
  if (got <= 0) {
    connections_.erase(c.position);
    return;
  }
  if (c.answered) return;  // a body or a further call: ignored
  c.in.append(buffer, static_cast<std::size_t>(got));
  ControlCallParse parsed = parse_control_call(c.in);
  if (parsed.state == ControlCallParse::State::Incomplete) return;
  c.answered = true;
  c.out = parsed.state == ControlCallParse::State::Complete
              ? handler_.on_control_call(parsed.call)
              : control_answer(parsed.status, "no such call\n");
  write(c);
}

bool ControlServer::write(Connection& c) {
  while (!c.out.empty()) {
    ssize_t put = ::send(c.fd.get(), c.out.data(), c.out.size(), MSG_NOSIGNAL);
    if (put < 0 && errno == EINTR) continue;
    if (put < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      event_add(c.write.get(), nullptr);
      return true;
    }
    if (put < 0) {
      connections_.erase(c.position);
      return false;
    }
    c.out.erase(0, static_cast<std::size_t>(put));
  }
  // The connection is read until the caller closes it: closing with unread bytes would send a reset
  // that discards the answer.
  ::shutdown(c.fd.get(), SHUT_WR);
  return true;
}

void ControlServer::on_sweep(evutil_socket_t, short, void* self) {
  auto* s = static_cast<ControlServer*>(self);
  Micros now = s->clock_.now();
  while (!s->connections_.empty() && now - s->connections_.front().accepted_at > kMaxConnectionAge)
    s->connections_.pop_front();
}

}  // namespace arrowfork
