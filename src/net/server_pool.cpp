#include "server_pool.hpp"

#include <algorithm>

#include "server_connection.hpp"

namespace arrowfork {
namespace {

// Servers, or what stands between, may end idle connections far sooner and say so only when the
// next command is written. Two such resets within kIdleAgain bound the idle time at that server to
// this part of the time it took; the bound doubles with time. An end that shows before
// anything is written does no harm and teaches nothing: servers that are replaced, or that close
// after an answer, once taught a bound of milliseconds, and every request dialled anew. Nor does a
// reset after less than kLeastIdle: no idle time-out is that short, and a bound that short would
// cost more in dials than it saves in resets.
constexpr double kIdleSeenPart = 0.7;
constexpr Micros kLeastIdle = 150 * kMillisecond;
constexpr Micros kIdleAgain = 10 * kSecond;

}  // namespace

ServerPool::ServerPool() = default;
ServerPool::~ServerPool() = default;

void ServerPool::note_idle_reset(Micros span, Micros now) {
  if (span < kLeastIdle) return;
  bool again = idle_reset_at > 0 && now - idle_reset_at < kIdleAgain;
  idle_reset_at = now;
  if (again)
    idle_limit =
        std::min(idle_limit, static_cast<Micros>(kIdleSeenPart * static_cast<double>(span)));
}

}  // namespace arrowfork
