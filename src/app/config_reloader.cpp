#include "config_reloader.hpp"

#include <algorithm>
#include <exception>

namespace arrowfork {

ConfigReloader::ConfigReloader(event_base* base, const TimeSource& clock, Reload reload,
                               ReportError report_error, const RetryDelays& delays)
    : clock_(clock),
      reload_(std::move(reload)),
      report_error_(std::move(report_error)),
      delays_(delays) {
  retry_.reset(event_new(base, -1, 0, on_retry, this));
}

void ConfigReloader::on_sighup() {
  event_del(retry_.get());
  signaled_at_ = clock_.now();
  delay_ = delays_.initial;
  last_reported_.clear();
  try_reload();
}

void ConfigReloader::try_reload() {
  std::string reason;
  try {
    reload_();
    return;
  } catch (const std::exception& e) {
    reason = e.what();
  }
  if (clock_.now() - signaled_at_ >= delays_.give_up_after) {
    report_error_("giving up: " + reason);
    return;
  }
  if (reason != last_reported_) report_error_(reason);
  last_reported_ = reason;
  timeval wait = timeval_of(delay_);
  event_add(retry_.get(), &wait);
  delay_ = std::min(2 * delay_, delays_.max);
}

void ConfigReloader::on_retry(evutil_socket_t, short, void* self) {
  static_cast<ConfigReloader*>(self)->try_reload();
}

}  // namespace arrowfork
