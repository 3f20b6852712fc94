// Judges a run by its account: the four rules, the scenario's claims, and the figures behind them.
// No I/O.
#pragma once

#include <string>
#include <vector>

#include "event_log.hpp"
#include "scenario.hpp"

namespace arrowfork::tier {

struct Verdict {
  bool held = false;
  std::string text;
  double value = 0;  ///< of a claim; times in seconds
};

/// What came of the first tries of one span of the run, and what that span cost.
struct Row {
  Micros at = 0;
  int first_tries = 0, in_time = 0, late = 0, unserved = 0;
  int tries = 0, refused = 0, failed = 0, lost = 0, unreached = 0;
  int list_calls = 0, failed_list_calls = 0, dials = 0, attempts = 0, attempts_cold = 0,
      fetches = 0;
};

/// The rules' figures that the checker needs beside the scenario.
struct RuleParameters {
  Micros read_objective = 0, write_objective = 0;
  Micros drain_grace = 0, overload_time = 0;
  double cold_share = 0, overload_factor = 0;
};

class Checker {
 public:
  Checker(const Scenario& scenario, const RuleParameters& parameters,
          const std::vector<Event>& events);

  std::vector<Verdict> rules() const;
  std::vector<Verdict> claims() const;
  std::vector<Row> rows(Micros width) const;
  /// From `mark` until service is as in the ten seconds before it: over two seconds at least 98% of
  /// the part that was served, and no more than 5% more of it late. -1: not in this run.
  Micros time_to_full_service(Micros mark) const;
  /// From each kill in [from, to) of the routers (empty: all) until that router first serves; what
  /// never serves again counts to the end of the run. Sorted.
  std::vector<Micros> times_to_first_served(Micros from, Micros to,
                                            const std::vector<int>& routers) const;

 private:
  struct ClientRequest {
    Micros asked, ended = -1;
    int router;
    bool write = false, served = false;
  };
  struct RequestCounts {
    int asked = 0, served = 0, late = 0;
  };
  RequestCounts count_requests(Micros from, Micros to, const std::vector<int>& routers = {}) const;
  double measure(const Claim& hold) const;
  int peak_count(Event::Kind kind, const Claim& hold, bool by_cache) const;
  bool is_in_time(const ClientRequest& job) const;
  Verdict check_answers() const;
  Verdict check_drains() const;
  Verdict check_cold_servers() const;

  const Scenario& scenario_;
  const RuleParameters& parameters_;
  const std::vector<Event>& events_;
  std::vector<ClientRequest> requests_;  // by time asked
};

}  // namespace arrowfork::tier
