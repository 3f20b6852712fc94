#include "link.hpp"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <stdexcept>

namespace arrowfork::tier {
namespace {

// Data buffered per direction; beyond it the relay stops reading, so the sender sees a full socket.
constexpr std::size_t kMaxBufferedBytes = 256u << 10;
// A backlog of 0 still holds one or two connections, so this many always fill it.
constexpr int kMaxBacklogFillers = 4;

Fd dial(std::uint16_t port) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  auto address = parse_address("127.0.0.1:" + std::to_string(port));
  int on = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&*address), sizeof *address) != 0 &&
      errno != EINPROGRESS)
    fd.reset();
  return fd;
}

void reset(Fd& fd) {
  linger now{1, 0};
  ::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
  fd.reset();
}

}  // namespace

/// A relayed connection: the accepted (near) and the dialled (far) end.
class Link::Connection {
 public:
  Connection(Link& link, Fd near, Fd far) : link_(link) {
    ends_[0].fd = std::move(near), ends_[1].fd = std::move(far);
    for (int k = 0; k < 2; ++k) {
      End& e = ends_[static_cast<std::size_t>(k)];
      e.connection = this, e.index = k;
      e.read.reset(event_new(link.base_, e.fd.get(), EV_READ | EV_PERSIST, on_read, &e));
      e.write.reset(event_new(link.base_, e.fd.get(), EV_WRITE, on_write, &e));
      e.timer.reset(event_new(link.base_, -1, 0, on_write, &e));
      event_add(e.read.get(), nullptr);
    }
  }
  ~Connection() { close(false); }

  bool closed() const { return closed_; }
  void make_silent() { silent_ = true; }
  bool is_silent() const { return silent_; }
  void close(bool by_reset) {
    if (std::exchange(closed_, true)) return;
    for (End& e : ends_) {
      e.read.reset(), e.write.reset(), e.timer.reset();
      by_reset ? reset(e.fd) : e.fd.reset();
    }
  }
  /// Forwards what the previous fault held back.
  void forward_pending() {
    for (End& e : ends_)
      if (!closed_) forward(e);
  }

 private:
  struct Chunk {
    Micros due;
    std::string bytes;  // empty: end of stream
  };
  struct End {
    Connection* connection = nullptr;
    int index = 0;  // 0: near end
    Fd fd;
    EventPtr read, write, timer;
    std::deque<Chunk> pending;  // read from this end, to be written to the other
    std::size_t buffered = 0;
    Micros link_free_at = 0;  // Slow: when the data read before has passed the link
    bool end_received = false;
  };
  End& other(const End& e) { return ends_[static_cast<std::size_t>(1 - e.index)]; }

  static void on_read(evutil_socket_t, short, void* self) {
    auto* e = static_cast<End*>(self);
    e->connection->receive(*e);
  }
  static void on_write(evutil_socket_t, short, void* self) {
    auto* e = static_cast<End*>(self);
    e->connection->forward(e->connection->other(*e));
  }

  void receive(End& e) {
    char data[16384];
    ssize_t received = ::recv(e.fd.get(), data, sizeof data, MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (received < 0) {  // a reset overtakes earlier data but does not pass a cut
      if (!blocked(e)) return close(true);
      received = 0;
    }
    const LinkFault& f = link_.fault_;
    Micros due = link_.clock_.now();
    if (f.kind == LinkFault::Kind::Delay) due += f.delay;
    if (f.kind == LinkFault::Kind::Slow && f.bytes_per_s > 0) {
      e.link_free_at = std::max(e.link_free_at, due) +
                       static_cast<Micros>(static_cast<double>(received) * kSecond / f.bytes_per_s);
      due = e.link_free_at;
    }
    e.pending.push_back({due, std::string(data, static_cast<std::size_t>(received))});
    e.buffered += static_cast<std::size_t>(received);
    if (received == 0) e.end_received = true;
    if (e.end_received || e.buffered > kMaxBufferedBytes) event_del(e.read.get());
    forward(e);
  }

  bool blocked(const End& from) const {
    const LinkFault& f = link_.fault_;
    return silent_ || (f.kind == LinkFault::Kind::Cut &&
                       (from.index == 0 ? f.blocks_forward : f.blocks_backward));
  }

  /// Writes the data read from `from` that is due.
  void forward(End& from) {
    End& to = other(from);
    while (!closed_ && !from.pending.empty() && !blocked(from)) {
      Chunk& c = from.pending.front();
      Micros wait = c.due - link_.clock_.now();
      if (wait > 0) {
        timeval tv = timeval_of(wait);
        event_add(to.timer.get(), &tv);
        return;
      }
      if (c.bytes.empty()) {
        ::shutdown(to.fd.get(), SHUT_WR);
        from.pending.pop_front();
        if (to.end_received && to.pending.empty()) return close(false);
        continue;
      }
      ssize_t written = ::send(to.fd.get(), c.bytes.data(), c.bytes.size(), MSG_NOSIGNAL);
      if (written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN)) {
        event_add(to.write.get(), nullptr);
        return;
      }
      if (written < 0) return close(true);
      auto sent = static_cast<std::size_t>(written);
      from.buffered -= sent;
      forwarded_bytes_ += sent;
      sent == c.bytes.size() ? from.pending.pop_front() : static_cast<void>(c.bytes.erase(0, sent));
      const LinkFault& f = link_.fault_;
      if (f.kind == LinkFault::Kind::Reset && forwarded_bytes_ >= f.bytes) return close(true);
    }
    if (!closed_ && !from.end_received && from.buffered <= kMaxBufferedBytes)
      event_add(from.read.get(), nullptr);
  }

  Link& link_;
  std::array<End, 2> ends_;
  std::uint64_t forwarded_bytes_ = 0;
  bool closed_ = false, silent_ = false;
};

Link::Link(event_base* base, const TimeSource& clock, Target target)
    : base_(base), clock_(clock), target_(std::move(target)) {
  std::string error;
  listener_ = listen_at(*parse_address("127.0.0.1:0"), false, error);
  if (!listener_) throw std::runtime_error("link: " + error);
  port_ = port_of(listener_);
  accept_event_.reset(event_new(base_, listener_.get(), EV_READ | EV_PERSIST, on_accept, this));
  event_add(accept_event_.get(), nullptr);
}

Link::~Link() = default;

void Link::set_fault(const LinkFault& fault) {
  using Kind = LinkFault::Kind;
  bool was_closed = fault_.kind == Kind::Cut || fault_.kind == Kind::Silent;
  bool closed = fault.kind == Kind::Cut || fault.kind == Kind::Silent;
  fault_ = fault;
  for (auto& connection : connections_) {
    if (fault.kind == Kind::Silent) connection->make_silent();
    if (!closed && connection->is_silent()) connection->close(true);
    connection->forward_pending();
  }
  drop_closed();
  if (closed && !was_closed) fill_backlog();
  if (!closed && was_closed) empty_backlog();
}

void Link::fill_backlog() {
  event_del(accept_event_.get());
  ::listen(listener_.get(), 0);
  for (int k = 0; k < kMaxBacklogFillers; ++k) {
    backlog_fillers_.push_back(dial(port_));
    pollfd up{backlog_fillers_.back().get(), POLLOUT, 0};
    if (::poll(&up, 1, 5) == 0) return;  // the SYN was dropped, so the backlog is full
  }
}

void Link::empty_backlog() {
  backlog_fillers_.clear();
  ::listen(listener_.get(), SOMAXCONN);
  event_add(accept_event_.get(), nullptr);
}

void Link::on_accept(evutil_socket_t, short, void* self) {
  auto* l = static_cast<Link*>(self);
  l->drop_closed();
  Fd near(::accept4(l->listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!near) return;
  char byte;
  if (::recv(near.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) return;  // a backlog filler
  std::uint16_t port = l->fault_.kind == LinkFault::Kind::Refuse ? 0 : l->target_();
  Fd far = port ? dial(port) : Fd();
  if (!far) return reset(near);
  int on = 1;
  ::setsockopt(near.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  l->connections_.push_back(std::make_shared<Connection>(*l, std::move(near), std::move(far)));
}

void Link::drop_closed() {
  std::erase_if(connections_, [](const auto& p) { return p->closed(); });
}

}  // namespace arrowfork::tier
