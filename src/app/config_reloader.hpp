// Reloads the configuration on SIGHUP, with retries for a while if that fails: the file may be half
// written, or reading it may fail for a moment (EMFILE, EIO). The signal is sent only once, and the
// new discovery address that it may announce is needed within seconds.
#pragma once

#include <functional>
#include <string>

#include "../io/io.hpp"

namespace arrowfork {

class ConfigReloader {
 public:
  /// Reads and applies the configuration. Throws std::exception if that is not possible, and then
  /// changes nothing.
  using Reload = std::function<void()>;
  /// Receives the reason of a failure whenever it changes, and when the retries end.
  using ReportError = std::function<void(const std::string&)>;
  /// The delay between attempts doubles from `initial` up to `max`.
  struct RetryDelays {
    Micros initial = 50 * kMillisecond;
    Micros max = kSecond;
    Micros give_up_after = 10 * kSecond;  ///< counted from the signal
  };

  ConfigReloader(event_base* base, const TimeSource& clock, Reload reload, ReportError report_error,
                 const RetryDelays& delays);
  /// Starts a reload. Retries for an earlier signal end.
  void on_sighup();

 private:
  void try_reload();
  static void on_retry(evutil_socket_t, short, void* self);

  const TimeSource& clock_;
  Reload reload_;
  ReportError report_error_;
  RetryDelays delays_;
  EventPtr retry_;
  Micros signaled_at_ = 0;
  Micros delay_ = 0;
  std::string last_reported_;  // the reason reported last
};

}  // namespace arrowfork
