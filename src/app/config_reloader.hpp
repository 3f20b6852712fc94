// Takes a new configuration over at SIGHUP, and tries again for a while where that fails: the file
// may be half written, or the read may fail for a moment (EMFILE, EIO). The signal comes once, and
// the address of discovery that it stands for is needed within seconds.
#pragma once

#include <functional>
#include <string>

#include "../io/io.hpp"

namespace arrowfork {

class ConfigReloader {
 public:
  /// Reads the configuration and takes it over; throws std::exception where that can't be done,
  /// with nothing changed.
  using Reload = std::function<void()>;
  /// Told of each new reason, and of the end of the tries.
  using Complain = std::function<void(const std::string&)>;
  /// Pauses between tries double from the first to the last.
  struct Pauses {
    Micros first = 50 * kMillisecond;
    Micros last = kSecond;
    Micros give_up = 10 * kSecond;  ///< so long after the signal
  };

  ConfigReloader(event_base* base, const TimeSource& clock, Reload reload, Complain complain,
                 const Pauses& pauses);
  /// SIGHUP has come. Tries for an earlier one end.
  void hang_up();

 private:
  void attempt();
  static void on_retry(evutil_socket_t, short, void* self);

  const TimeSource& clock_;
  Reload reload_;
  Complain complain_;
  Pauses pauses_;
  EventPtr retry_;
  Micros asked_at_ = 0;
  Micros pause_ = 0;
  std::string told_;  // the reason that was told last
};

}  // namespace arrowfork
