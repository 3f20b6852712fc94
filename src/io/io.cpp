#include "io.hpp"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <cstring>

namespace arrowfork {

Fd listen_at(const sockaddr_in& address, bool shared, std::string& error) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  int on = 1;
  if (!fd || ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      (shared && ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) != 0) ||
      ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd.get(), SOMAXCONN) != 0) {
    error = std::strerror(errno);
    return Fd();
  }
  return fd;
}

std::size_t unacknowledged_bytes(const Fd& socket) {
  int bytes = 0;
  return ::ioctl(socket.get(), SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes)
                                                                   : 0;
}

std::uint16_t port_of(const Fd& socket) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(socket.get(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

std::optional<sockaddr_in> parse_address(const std::string& text) {
  std::size_t colon = text.rfind(':');
  if (colon == text.npos) return std::nullopt;
  unsigned port = 0;
  const char* end = text.data() + text.size();
  auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end || port > 65535) return std::nullopt;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1)
    return std::nullopt;
  return address;
}

}  // namespace arrowfork
