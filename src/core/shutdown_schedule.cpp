#include "shutdown_schedule.hpp"

#include <algorithm>

namespace arrowfork {
namespace {

// The load balancer sends new connections for up to 0.4 s after SIGTERM, and those that come after
// 0.7 s need not be served.
constexpr Micros kStopListeningDelay = kSecond / 2;
// SIGKILL comes the longest deadline, counted as 3 s at most, and 0.7 s after SIGTERM. Answers are
// due before, with time to write them, also if the process is held up for 0.15 s.
constexpr Micros kMaxCountedDeadline = 3 * kSecond;
constexpr Micros kAnswersDueDelay = kSecond / 2;
constexpr Micros kEndDelay = 650 * kMillisecond;

}  // namespace

ShutdownSchedule schedule_shutdown(Micros now, Micros longest_deadline, bool has_successor) {
  ShutdownSchedule schedule;
  schedule.stop_listening_at = has_successor ? now : now + kStopListeningDelay;
  Micros counted_deadline = std::min(longest_deadline, kMaxCountedDeadline);
  schedule.answers_due_at = now + counted_deadline + kAnswersDueDelay;
  schedule.end_at = now + counted_deadline + kEndDelay;
  return schedule;
}

}  // namespace arrowfork
