#include "request_log.hpp"

#include <array>
#include <cstdio>

namespace arrowfork {
namespace {

constexpr double kLogBurst = 40;
constexpr double kLogLinesPerSecond = 5;

long long milliseconds(Micros span) { return static_cast<long long>(span / kMillisecond); }

}  // namespace

const char* log_name_of(Status status) {
  constexpr std::array<const char*, robinseam::kStatusCount> kNames = {
      "ok",        "error", "full", "timeout", "unreached", "reset",
      "cancelled", "moot",  "miss", "spoilt",  "no_room"};
  return kNames[static_cast<std::size_t>(status)];
}

RequestLog::RequestLog(const TimeSource& clock)
    : clock_(clock), limit_(kLogBurst, kLogLinesPerSecond) {}

bool RequestLog::allow() {
  if (!limit_.allow(clock_.now())) return false;
  if (auto suppressed = limit_.take_suppressed())
    std::fprintf(stderr, "arrowfork: %llu lines on requests were left out\n",
                 static_cast<unsigned long long>(suppressed));
  return true;
}

void RequestLog::on_further_attempt(const FurtherAttempt& a) {
  if (!allow()) return;
  std::fprintf(stderr,
               "arrowfork: attempt: id=%s class=%s number=%d server=%s previous=%s ended=%s "
               "since_first_ms=%lld\n",
               a.request.id.c_str(), a.request.class_name.c_str(), a.number, a.server.c_str(),
               a.previous_server.c_str(), a.previous_end ? log_name_of(*a.previous_end) : "no",
               milliseconds(a.since_first));
}

void RequestLog::on_late_write(const std::string& id_or_key, int attempt, const std::string& server,
                               Micros waited) {
  if (!allow()) return;
  std::fprintf(stderr, "arrowfork: late write: id=%s number=%d server=%s waited_ms=%lld\n",
               id_or_key.c_str(), attempt, server.c_str(), milliseconds(waited));
}

}  // namespace arrowfork
