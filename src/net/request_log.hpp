// The log's lines on single requests: which attempt follows which and why, and attempts whose bytes
// were written late. One line each, in logfmt, at a limited rate.
#pragma once

#include <string>

#include "../core/core.hpp"
#include "../io/log_limit.hpp"

namespace arrowfork {

/// The name of a status in the log and in STAT.
const char* log_name_of(Status status);

class RequestLog final : public RequestObserver {
 public:
  /// Attempts that were written this long after they were queued are logged.
  static constexpr Micros kLateWrite = 100 * kMillisecond;

  explicit RequestLog(const TimeSource& clock);

  void on_further_attempt(const FurtherAttempt& attempt) override;
  /// The bytes of an attempt were written whole `waited` after it was queued.
  void on_late_write(const std::string& id_or_key, int attempt, const std::string& server,
                     Micros waited);

 private:
  bool allow();

  const TimeSource& clock_;
  LogLimit limit_;
};

}  // namespace arrowfork
