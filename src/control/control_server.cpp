#include "control_server.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace arrowfork {
namespace {

// A connection is closed after this, whatever it has said: an answer is owed within a second, and
// nobody needs longer to ask.
constexpr Micros kLongest = 5 * kSecond;
constexpr Micros kSweep = kSecond / 4;
// One turn takes so many callers, so that clients' requests are not kept waiting by them.
constexpr int kAccepts = 64;

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
  timeval every = timeval_of(kSweep);
  event_add(sweep_event_.get(), &every);
  return true;
}

std::uint16_t ControlServer::port() const { return port_of(listener_); }

void ControlServer::on_accept(evutil_socket_t, short, void* self) {
  static_cast<ControlServer*>(self)->accept_some();
}

void ControlServer::accept_some() {
  for (int k = 0; k < kAccepts; ++k) {
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
    c.side = this;
    c.fd = std::move(fd);
    c.since = clock_.now();
    c.at = std::prev(connections_.end());
    c.read.reset(event_new(base_, c.fd.get(), EV_READ | EV_PERSIST, on_event, &c));
    c.write.reset(event_new(base_, c.fd.get(), EV_WRITE, on_event, &c));
    event_add(c.read.get(), nullptr);
    read(c);  // the call has most often come along
  }
}

void ControlServer::on_event(evutil_socket_t, short what, void* connection) {
  auto& c = *static_cast<Connection*>(connection);
  if ((what & EV_WRITE) && !c.side->write(c)) return;
  if (what & EV_READ) c.side->read(c);
}

void ControlServer::read(Connection& c) {
  char part[4096];
  ssize_t got = ::recv(c.fd.get(), part, sizeof part, 0);
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
  if (got <= 0) {
    connections_.erase(c.at);
    return;
  }
  if (c.answered) return;  // a body, or more than one call: not asked for
  c.in.append(part, static_cast<std::size_t>(got));
  ControlCallParse r = parse_control_call(c.in);
  if (r.state == ControlCallParse::State::Incomplete) return;
  c.answered = true;
  c.out = r.state == ControlCallParse::State::Complete ? handler_.on_control_call(r.call)
                                                       : control_answer(r.status, "no such call\n");
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
      connections_.erase(c.at);
      return false;
    }
    c.out.erase(0, static_cast<std::size_t>(put));
  }
  // Read on until the caller's end: closing over unread bytes would reset the answer away.
  ::shutdown(c.fd.get(), SHUT_WR);
  return true;
}

void ControlServer::on_sweep(evutil_socket_t, short, void* self) {
  auto* s = static_cast<ControlServer*>(self);
  Micros now = s->clock_.now();
  while (!s->connections_.empty() && now - s->connections_.front().since > kLongest)
    s->connections_.pop_front();
}

}  // namespace arrowfork
