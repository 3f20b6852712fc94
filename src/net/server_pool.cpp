#include "server_pool.hpp"

#include <algorithm>

#include "server_connection.hpp"

namespace arrowfork {
namespace {

// A server, or a proxy in between, may close idle connections sooner than the settings say, and the
// router learns of it only by the reset that answers its next command. Two such resets within
// kIdleResetWindow limit the idle time at that server to this share of the idle time that led to
// the reset; the limit doubles again over time. Two kinds of closes are not counted. Those seen
// before a command is written do no harm; counting them, with servers that were replaced or that
// close after an answer, once set a limit of milliseconds, so that every request dialled anew. And
// resets after less than kMinIdleBeforeReset: no idle timeout is that short, and such a limit would
// cost more in dials than it saves in resets.
constexpr double kIdleResetShare = 0.7;
constexpr Micros kMinIdleBeforeReset = 150 * kMillisecond;
constexpr Micros kIdleResetWindow = 10 * kSecond;

}  // namespace

ServerPool::ServerPool() = default;
ServerPool::~ServerPool() = default;

void ServerPool::record_idle_reset(Micros span, Micros now) {
  if (span < kMinIdleBeforeReset) return;
  bool again = idle_reset_at > 0 && now - idle_reset_at < kIdleResetWindow;
  idle_reset_at = now;
  if (again)
    idle_limit =
        std::min(idle_limit, static_cast<Micros>(kIdleResetShare * static_cast<double>(span)));
}

}  // namespace arrowfork
