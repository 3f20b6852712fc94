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

/// The errors that the manual pages (connect(2) and others) document for valid calls.
const std::vector<int>& errors_of(Call call) {
  static const std::array<std::vector<int>, kCallKinds> all{{
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

/// Whether the call fails now; sets errno if so.
bool inject_failure(Call call) {
  if (!injector || draw() >= injector->plan.probability[static_cast<std::size_t>(call)])
    return false;
  const std::vector<int>& errors = errors_of(call);
  int error = injector->plan.only_error;
  if (error == 0)
    error = errors[static_cast<std::size_t>(draw() * static_cast<double>(errors.size()))];
  ++injector->injected;
  errno = error;
  return true;
}

/// The size to use for a read or write of `size` bytes: sometimes less.
std::size_t inject_short_count(Call call, std::size_t size) {
  if (!injector || size < 2 || injector->plan.only_error != 0) return size;
  if (draw() >= injector->plan.probability[static_cast<std::size_t>(call)]) return size;
  ++injector->injected;
  return 1 + static_cast<std::size_t>(draw() * static_cast<double>(size - 1));
}

template <class Function>
Function* real_function(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

/// The parts, shortened to `size` bytes in all.
std::vector<iovec> first_bytes(const iovec* parts, int count, std::size_t size) {
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
  static auto* real = real_function<int(int, int, int)>("socket");
  return inject_failure(Call::Socket) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  static auto* real = real_function<int(int, const sockaddr*, socklen_t)>("connect");
  return inject_failure(Call::Connect) ? -1 : real(fd, address, size);
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static auto* real = real_function<int(int, sockaddr*, socklen_t*, int)>("accept4");
  return inject_failure(Call::Accept) ? -1 : real(fd, address, size, flags);
}

ssize_t recv(int fd, void* data, std::size_t size, int flags) {
  static auto* real = real_function<ssize_t(int, void*, std::size_t, int)>("recv");
  return inject_failure(Call::Read) ? -1
                                    : real(fd, data, inject_short_count(Call::Read, size), flags);
}

ssize_t readv(int fd, const iovec* parts, int count) {
  static auto* real = real_function<ssize_t(int, const iovec*, int)>("readv");
  if (inject_failure(Call::Read)) return -1;
  auto some = first_bytes(parts, count, inject_short_count(Call::Read, size_of(parts, count)));
  return real(fd, some.data(), static_cast<int>(some.size()));
}

ssize_t writev(int fd, const iovec* parts, int count) {
  static auto* real = real_function<ssize_t(int, const iovec*, int)>("writev");
  if (inject_failure(Call::Write)) return -1;
  auto some = first_bytes(parts, count, inject_short_count(Call::Write, size_of(parts, count)));
  return real(fd, some.data(), static_cast<int>(some.size()));
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static auto* real = real_function<ssize_t(int, const msghdr*, int)>("sendmsg");
  if (inject_failure(Call::Write)) return -1;
  msghdr one = *message;
  int count = static_cast<int>(message->msg_iovlen);
  auto some = first_bytes(message->msg_iov, count,
                          inject_short_count(Call::Write, size_of(message->msg_iov, count)));
  one.msg_iov = some.data();
  one.msg_iovlen = some.size();
  return real(fd, &one, flags);
}

int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
  static auto* real = real_function<int(int, epoll_event*, int, int)>("epoll_wait");
  return inject_failure(Call::Wait) ? -1 : real(fd, events, most, timeout);
}

}  // extern "C"
