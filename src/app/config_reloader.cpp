#include "config_reloader.hpp"

#include <algorithm>
#include <exception>

namespace arrowfork {

ConfigReloader::ConfigReloader(event_base* base, const TimeSource& clock, Reload reload,
                               Complain complain, const Pauses& pauses)
    : clock_(clock), reload_(std::move(reload)), complain_(std::move(complain)), pauses_(pauses) {
  retry_.reset(event_new(base, -1, 0, on_retry, this));
}

void ConfigReloader::hang_up() {
  event_del(retry_.get());
  asked_at_ = clock_.now();
  pause_ = pauses_.first;
  told_.clear();
  attempt();
}

void ConfigReloader::attempt() {
  std::string reason;
  try {
    reload_();
    return;
  } catch (const std::exception& e) {
    reason = e.what();
  }
  if (clock_.now() - asked_at_ >= pauses_.give_up) {
    complain_("given up: " + reason);
    return;
  }
  if (reason != told_) complain_(reason);
  told_ = reason;
  timeval wait = timeval_of(pause_);
  event_add(retry_.get(), &wait);
  pause_ = std::min(2 * pause_, pauses_.last);
}

void ConfigReloader::on_retry(evutil_socket_t, short, void* self) {
  static_cast<ConfigReloader*>(self)->attempt();
}

}  // namespace arrowfork
