// Which classes of requests are served one at a time on a client's connection, since their large
// values lately failed while other commands waited behind them. No I/O.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

/// A value that breaks off ends its client's connection and takes the commands behind it along. So
/// it is buffered whole before it is passed on, if there are such commands. Where that fails,
/// because the value breaks off or comes too slowly, no commands are read behind the next reads of
/// that class: those values can be passed on as they come.
class PipeliningSuspension {
 public:
  /// In microseconds; after that, pipelining is tried again.
  static constexpr Micros kDuration = 5'000'000;

  /// A value of this class failed while others waited behind it.
  void record_failure(const std::string& class_name, Micros now) {
    until_[class_name] = now + kDuration;
    last_until_ = std::max(last_until_, now + kDuration);
  }
  bool any(Micros now) const { return now < last_until_; }
  bool applies_to(const std::string& class_name, Micros now) const {
    if (!any(now)) return false;
    auto it = until_.find(class_name);
    return it != until_.end() && now < it->second;
  }

 private:
  std::map<std::string, Micros> until_;  // one entry a class of the settings at most
  Micros last_until_ = 0;
};

}  // namespace robinseam::limits
