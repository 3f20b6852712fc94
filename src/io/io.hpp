// RAII owners of file descriptors and libevent objects, and helpers for sockets and addresses.
#pragma once

#include <event2/event.h>
#include <netinet/in.h>
#include <sys/time.h>
#include <unistd.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "clock.hpp"

namespace arrowfork {

/// Owns a file descriptor.
class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    if (this != &other) reset(std::exchange(other.fd_, -1));
    return *this;
  }
  ~Fd() { reset(); }
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void reset(int fd = -1) {
    if (fd_ >= 0) ::close(fd_);
    fd_ = fd;
  }

 private:
  int fd_;
};

struct EventFree {
  void operator()(event* e) const { event_free(e); }
  void operator()(event_base* b) const { event_base_free(b); }
};
using EventPtr = std::unique_ptr<event, EventFree>;
using EventBasePtr = std::unique_ptr<event_base, EventFree>;

inline timeval timeval_of(Micros span) {
  return {static_cast<time_t>(span / kSecond), static_cast<suseconds_t>(span % kSecond)};
}

/// Opens a socket that listens on `address`. On failure returns an empty Fd and sets `error`. With
/// `shared`, another process may listen on the same address (SO_REUSEPORT).
Fd listen_at(const sockaddr_in& address, bool shared, std::string& error);

/// Bytes written to a TCP connection that its peer has not acknowledged; 0 if the system can't
/// tell.
std::size_t unacknowledged_bytes(const Fd& socket);
/// The local port that a socket is bound to.
std::uint16_t port_of(const Fd& socket);

/// Parses an IPv4 address and port such as "1.2.3.4:5"; nullopt if the text is not one.
std::optional<sockaddr_in> parse_address(const std::string& text);

}  // namespace arrowfork
