// How long each kind of server takes for a given amount of work. One router sends to a server once
// in some seconds, but to its kind several times a second. Machines of one kind are alike, so the
// few samples are pooled over the kind; of a kind without samples nothing is assumed.
#pragma once

#include <map>
#include <set>
#include <string>

#include "robinseam/balancer.hpp"

namespace robinseam::limits {

class ServerKindSpeeds {
 public:
  /// An answer that the server served from its own cache. `work`: the client's hint; `latency`: as
  /// measured by the router; both in microseconds, above 0.
  void record_answer(const std::string& kind, Micros work, Micros latency);

  /// Removes the kinds that are not in `listed`: nothing can be sent there any more.
  void retain_kinds(const std::set<std::string>& listed) {
    std::erase_if(kinds_, [&](const auto& kind) { return listed.count(kind.first) == 0; });
  }

  /// How much likelier the fastest known kind is to answer a request of `work` within the latency
  /// objective than `kind`, 0 to 1; 0 where either is not known yet.
  double gain_at_fastest_kind(const std::string& kind, Micros work, Micros objective) const;

 private:
  struct KindSpeed {
    double log_factor = 0;  // mean log of latency over work
    double samples = 0;
  };
  /// Probability of an answer within the objective.
  static double in_time(const KindSpeed& speed, double work, double objective);
  std::map<std::string, KindSpeed> kinds_;
};

}  // namespace robinseam::limits
