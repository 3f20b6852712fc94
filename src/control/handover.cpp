#include "handover.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <vector>

namespace arrowfork {
namespace {

// Part of every hello. Versions of the program with another protocol refuse it, and both processes
// then listen side by side.
constexpr char kHello[] = "H1";
constexpr char kListener = 'L', kAccepting = 'T', kClient = 'C', kHeldDescriptors = 'U',
               kRequestIds = 'I';
// Follows kClient for a new client; earlier versions ignore it, and send none.
constexpr char kNewClient = 'N';
constexpr int kAnswerTimeoutMs = 1000;
// The ids of requests come right behind the listener, but not from earlier versions.
constexpr int kRequestIdsTimeoutMs = 100;
// What Linux lets an unprivileged socket buffer by default (net.core.wmem_max, counted twice), less
// its own overhead. A list beyond this, or beyond the limit of this system, is not handed over; the
// successor asks discovery.
constexpr std::size_t kMaxMessageBytes = 384u << 10;

Fd unix_socket(const std::string& path, sockaddr_un& address) {
  address = {};
  address.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof address.sun_path) return Fd();
  std::memcpy(address.sun_path, path.c_str(), path.size() + 1);
  return Fd(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

/// Sends one message, with the descriptor `fd` unless that is negative.
bool send_message(int to, const std::string& text, int fd = -1) {
  iovec part{const_cast<char*>(text.data()), text.size()};
  msghdr m{};
  m.msg_iov = &part;
  m.msg_iovlen = 1;
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  if (fd >= 0) {
    m.msg_control = control;
    m.msg_controllen = sizeof control;
    cmsghdr* c = CMSG_FIRSTHDR(&m);
    c->cmsg_level = SOL_SOCKET;
    c->cmsg_type = SCM_RIGHTS;
    c->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(c), &fd, sizeof fd);
  }
  ssize_t put;
  while ((put = ::sendmsg(to, &m, MSG_NOSIGNAL)) < 0 && errno == EINTR) {
  }
  return put >= 0;
}

enum class Received { Message, Nothing, End };
bool is_empty_for_now(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

Received receive(int from, std::string& text, Fd& fd) {
  // Most messages are short, and a buffer for the longest has to be cleared for each one.
  ssize_t size = ::recv(from, nullptr, 0, MSG_PEEK | MSG_TRUNC);
  if (size < 0 && is_empty_for_now(errno)) return Received::Nothing;
  if (size <= 0) return Received::End;
  text.resize(std::min(static_cast<std::size_t>(size), kMaxMessageBytes));
  iovec part{text.data(), text.size()};
  msghdr m{};
  m.msg_iov = &part;
  m.msg_iovlen = 1;
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  m.msg_control = control;
  m.msg_controllen = sizeof control;
  ssize_t got = ::recvmsg(from, &m, MSG_CMSG_CLOEXEC);
  if (got < 0 && is_empty_for_now(errno)) return Received::Nothing;
  for (cmsghdr* c = CMSG_FIRSTHDR(&m); got >= 0 && c; c = CMSG_NXTHDR(&m, c))
    if (c->cmsg_level == SOL_SOCKET && c->cmsg_type == SCM_RIGHTS) {
      int received = -1;
      std::memcpy(&received, CMSG_DATA(c), sizeof received);
      fd.reset(received);
    }
  if (got <= 0) return Received::End;
  text.resize(static_cast<std::size_t>(got));
  return Received::Message;
}

}  // namespace

Handover::Handover(event_base* base, std::string path, Handler& handler)
    : base_(base), path_(std::move(path)), handler_(handler) {}

Handover::~Handover() {
  if (bound_) ::unlink(path_.c_str());
}

Handover::Inherited Handover::request_listener() {
  Inherited inherited;
  sockaddr_un address;
  Fd fd = unix_socket(path_, address);
  if (!fd || ::connect(fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      !send_message(fd.get(), kHello))
    return inherited;
  pollfd wait{fd.get(), POLLIN, 0};
  std::string text;
  if (::poll(&wait, 1, kAnswerTimeoutMs) != 1 ||
      receive(fd.get(), text, inherited.listener) != Received::Message || text[0] != kListener ||
      !inherited.listener) {
    inherited.listener.reset();
    return inherited;
  }
  inherited.list = text.substr(1);
  ::poll(&wait, 1, kRequestIdsTimeoutMs);
  predecessor_ = std::move(fd);
  predecessor_event_.reset(
      event_new(base_, predecessor_.get(), EV_READ | EV_PERSIST, on_predecessor_event, this));
  event_add(predecessor_event_.get(), nullptr);
  return inherited;
}

void Handover::listen_for_successor() {
  if (!predecessor_) bind();
}

void Handover::bind() {
  sockaddr_un address;
  Fd fd = unix_socket(path_, address);
  if (!fd) {
    if (!path_.empty())
      std::fprintf(stderr, "arrowfork: no handover to a new version: %s: path too long\n",
                   path_.c_str());
    return;
  }
  ::unlink(path_.c_str());  // left by a process that was killed
  if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd.get(), 1) != 0) {
    std::fprintf(stderr, "arrowfork: no handover to a new version: %s: %s\n", path_.c_str(),
                 std::strerror(errno));
    return;
  }
  bound_ = true;
  listening_ = std::move(fd);
  accept_event_.reset(event_new(base_, listening_.get(), EV_READ | EV_PERSIST, on_accept, this));
  event_add(accept_event_.get(), nullptr);
}

void Handover::on_accept(evutil_socket_t, short, void* self) {
  auto* h = static_cast<Handover*>(self);
  Fd fd(::accept4(h->listening_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!fd || h->successor_) return;  // only one successor at a time
  int size = kMaxMessageBytes;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
  h->successor_ = std::move(fd);
  h->successor_event_.reset(
      event_new(h->base_, h->successor_.get(), EV_READ | EV_PERSIST, on_successor_event, self));
  event_add(h->successor_event_.get(), nullptr);
}

void Handover::on_successor_event(evutil_socket_t, short, void* self) {
  static_cast<Handover*>(self)->read_successor();
}

void Handover::read_successor() {
  while (successor_) {
    std::string text;
    Fd none;
    Received got = receive(successor_.get(), text, none);
    if (got == Received::Nothing) return;
    if (got == Received::End || !handle_successor_message(text)) drop_successor();
  }
}

bool Handover::handle_successor_message(const std::string& text) {
  if (text == kHello) return send_listener();
  switch (text[0]) {
    case kAccepting:
      if (!std::exchange(successor_accepts_, true)) handler_.on_successor_ready();
      return true;
    case kRequestIds:
      handler_.on_request_ids(text.substr(1));
      return true;
    default:
      return false;
  }
}

bool Handover::send_listener() {
  std::string list = handler_.server_list();
  int listener = handler_.listening_socket();
  if (1 + list.size() > kMaxMessageBytes) list.clear();
  if (listener < 0) return false;
  bool sent =
      send_message(successor_.get(), kListener + list, listener) ||
      (errno == EMSGSIZE && send_message(successor_.get(), std::string(1, kListener), listener));
  if (!sent) return false;
  successor_has_listener_ = true;
  handler_.on_successor_connected();
  return true;
}

void Handover::drop_successor() {
  successor_event_.reset();
  successor_.reset();
  successor_has_listener_ = false;
  if (std::exchange(successor_accepts_, false)) handler_.on_successor_lost();
}

void Handover::announce_accepting() {
  if (predecessor_) send_message(predecessor_.get(), std::string(1, kAccepting));
}

void Handover::on_predecessor_event(evutil_socket_t, short, void* self) {
  static_cast<Handover*>(self)->read_predecessor();
}

void Handover::read_predecessor() {
  while (predecessor_) {
    std::string text;
    Fd fd;
    Received got = receive(predecessor_.get(), text, fd);
    if (got == Received::Nothing) return;
    if (got == Received::End) {
      predecessor_event_.reset();
      predecessor_.reset();
      predecessor_takes_ids_ = false;
      bind();
      handler_.on_predecessor_gone();
      return;
    }
    if (text[0] == kClient && fd)
      handler_.on_client_handed_over({std::move(fd), text.size() > 1 && text[1] == kNewClient});
    if (text[0] == kRequestIds) {
      predecessor_takes_ids_ = true;
      handler_.on_request_ids(text.substr(1));
    }
    std::size_t held = 0;
    if (text[0] == kHeldDescriptors &&
        std::from_chars(text.data() + 1, text.data() + text.size(), held).ec == std::errc())
      handler_.on_predecessor_descriptors(held);
  }
}

Handover::HandOverResult Handover::hand_over_client(int client, bool is_new) {
  if (!has_successor()) return HandOverResult::NotSent;
  std::string message(1, kClient);
  if (is_new) message += kNewClient;
  if (send_message(successor_.get(), message, client)) return HandOverResult::Sent;
  // The buffer is full, or the user has too many descriptors in flight.
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == ETOOMANYREFS
             ? HandOverResult::RetryLater
             : HandOverResult::NotSent;
}

int Handover::request_ids_peer() const {
  if (successor_ && successor_has_listener_) return successor_.get();
  return predecessor_takes_ids_ ? predecessor_.get() : -1;
}

bool Handover::send_request_ids(const std::string& ids) {
  return send_message(request_ids_peer(), kRequestIds + ids);
}

void Handover::report_held_descriptors(std::size_t descriptors) {
  if (has_successor())
    send_message(successor_.get(), kHeldDescriptors + std::to_string(descriptors));
}

}  // namespace arrowfork
