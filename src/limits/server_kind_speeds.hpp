// How long a kind of server takes for a given amount of work. One router sees a server once in some
// seconds, but its kind several times a second: machines of one kind are alike, so what few
// attempts tell is pooled over the kind, and a kind that has not been seen says nothing.
#pragma once

#include <map>
#include <set>
#include <string>

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

class ServerKindSpeeds {
 public:
  /// One answer that was held by the server itself: `work` as the client hinted it, `latency` as
  /// seen from here; both in microseconds, above 0.
  void record_answer(const std::string& kind, Micros work, Micros latency);

  /// Forgets the kinds that are not among `listed`: nothing can be sent there any more.
  void retain_kinds(const std::set<std::string>& listed) {
    std::erase_if(kinds_, [&](const auto& kind) { return listed.count(kind.first) == 0; });
  }

  /// How much likelier a request of `work` is to be answered within `aim` by the quickest kind that
  /// has been seen than by `kind`, 0 to 1; 0 where either is not known yet.
  double gain_at_fastest_kind(const std::string& kind, Micros work, Micros aim) const;

 private:
  struct Pace {
    double log_factor = 0;  // mean log of latency over work
    double seen = 0;
  };
  /// Chance of an answer within `aim` at a pace.
  static double in_time(const Pace& pace, double work, double aim);
  std::map<std::string, Pace> kinds_;
};

}  // namespace robinseam::limits
