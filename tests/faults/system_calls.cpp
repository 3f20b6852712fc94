#include "system_calls.hpp"

#include <dlfcn.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <random>
#include <vector>

namespace arrowfork::test {
namespace {

struct Injector {
  SystemCallFaults::Plan plan;
  std::mt19937_64 random;
  std::uint64_t injected = 0;
};

thread_local Injector* injector = nullptr;

/// The errors that connect(2) and the others document for calls that are made well.
const std::vector<int>& errors_of(Call call) {
  static const std::array<std::vector<int>, kCalls> all{{
      {ENFILE, EMFILE, ENOBUFS, ENOMEM},
      {EADDRNOTAVAIL, ENETUNREACH, ECONNREFUSED, ETIMEDOUT, EAGAIN, EINTR},
      {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR, EPROTO},
      {EINTR, EAGAIN, ECONNRESET, ETIMEDOUT, EHOSTUNREACH},
      {EINTR, EAGAIN, EPIPE, ECONNRESET, ENOBUFS, ETIMEDOUT, EHOSTUNREACH},
      {EINTR},
  }};
  return all[static_cast<std::size_t>(call)];
}

double draw() { return std::uniform_real_distribution<>()(injector->random); }

/// Whether the call fails now; errno tells how.
bool fails(Call call) {
  if (!injector || draw() >= injector->plan.chance[static_cast<std::size_t>(call)]) return false;
  const std::vector<int>& errors = errors_of(call);
  int error = injector->plan.only_error;
  if (error == 0)
    error = errors[static_cast<std::size_t>(draw() * static_cast<double>(errors.size()))];
  ++injector->injected;
  errno = error;
  return true;
}

/// How much of a read or write of that size is done: at times a part.
std::size_t part_of(Call call, std::size_t size) {
  if (!injector || size < 2 || injector->plan.only_error != 0) return size;
  if (draw() >= injector->plan.chance[static_cast<std::size_t>(call)]) return size;
  ++injector->injected;
  return 1 + static_cast<std::size_t>(draw() * static_cast<double>(size - 1));
}

template <class Function>
Function* next(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

/// The first bytes of the parts, `size` of them.
std::vector<iovec> cut(const iovec* parts, int count, std::size_t size) {
  std::vector<iovec> result;
  for (int k = 0; k < count && size > 0; ++k) {
    result.push_back(parts[k]);
    result.back().iov_len = std::min(result.back().iov_len, size);
    size -= result.back().iov_len;
  }
  return result;
}

std::size_t size_of(const iovec* parts, int count) {
  std::size_t size = 0;
  for (int k = 0; k < count; ++k) size += parts[k].iov_len;
  return size;
}

}  // namespace

SystemCallFaults::SystemCallFaults(const Plan& plan) {
  injector = new Injector{plan, std::mt19937_64(plan.seed), 0};
}

SystemCallFaults::~SystemCallFaults() {
  delete injector;
  injector = nullptr;
}

std::uint64_t SystemCallFaults::injected() const { return injector->injected; }

}  // namespace arrowfork::test

using namespace arrowfork::test;  // NOLINT: the definitions below have to be global

extern "C" {

int socket(int domain, int type, int protocol) {
  static auto* real = next<int(int, int, int)>("socket");
  return fails(Call::Socket) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  static auto* real = next<int(int, const sockaddr*, socklen_t)>("connect");
  return fails(Call::Connect) ? -1 : real(fd, address, size);
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static auto* real = next<int(int, sockaddr*, socklen_t*, int)>("accept4");
  return fails(Call::Accept) ? -1 : real(fd, address, size, flags);
}

ssize_t recv(int fd, void* data, std::size_t size, int flags) {
  static auto* real = next<ssize_t(int, void*, std::size_t, int)>("recv");
  return fails(Call::Read) ? -1 : real(fd, data, part_of(Call::Read, size), flags);
}

ssize_t readv(int fd, const iovec* parts, int count) {
  static auto* real = next<ssize_t(int, const iovec*, int)>("readv");
  if (fails(Call::Read)) return -1;
  auto some = cut(parts, count, part_of(Call::Read, size_of(parts, count)));
  return real(fd, some.data(), static_cast<int>(some.size()));
}

ssize_t writev(int fd, const iovec* parts, int count) {
  static auto* real = next<ssize_t(int, const iovec*, int)>("writev");
  if (fails(Call::Write)) return -1;
  auto some = cut(parts, count, part_of(Call::Write, size_of(parts, count)));
  return real(fd, some.data(), static_cast<int>(some.size()));
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static auto* real = next<ssize_t(int, const msghdr*, int)>("sendmsg");
  if (fails(Call::Write)) return -1;
  msghdr one = *message;
  int count = static_cast<int>(message->msg_iovlen);
  auto some = cut(message->msg_iov, count, part_of(Call::Write, size_of(message->msg_iov, count)));
  one.msg_iov = some.data();
  one.msg_iovlen = some.size();
  return real(fd, &one, flags);
}

int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
  static auto* real = next<int(int, epoll_event*, int, int)>("epoll_wait");
  return fails(Call::Wait) ? -1 : real(fd, events, most, timeout);
}

}  // extern "C"
