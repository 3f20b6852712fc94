// Judges a run by its event log: the four rules, the scenario's claims, and the numbers of each
// second. No I/O.
#pragma once

#include <string>
#include <vector>

#include "event_log.hpp"
#include "scenario.hpp"

namespace arrowfork::tier {

struct Verdict {
  bool held = false;
  std::string text;
  double value = 0;  ///< measured value of a claim; durations in seconds
};

/// Outcomes of the requests of one interval, and the work and failures in it.
struct Row {
  Micros at = 0;
  int first_tries = 0, in_time = 0, late = 0, unserved = 0;
  int tries = 0, refused = 0, failed = 0, lost = 0, unreached = 0;
  int list_calls = 0, failed_list_calls = 0, dials = 0, attempts = 0, attempts_cold = 0,
      fetches = 0;
};

/// Settings of the routers that the checker needs besides the scenario.
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
  /// Time from `mark` until service is as good as in the ten seconds before it: over two seconds,
  /// at least 98% of the earlier served share, and a late share at most 5 percentage points higher.
  /// -1: not reached in this run.
  Micros time_to_full_service(Micros mark) const;
  /// Times from each kill in [from, to) of the routers (empty: all) until that router serves again;
  /// up to the end of the run for a router that never does. Sorted.
  std::vector<Micros> times_to_first_served(Micros from, Micros to,
                                            const std::vector<int>& routers) const;

 private:
  struct ClientRequest {
    Micros started_at, ended_at = -1;
    int router;
    bool write = false, served = false;
  };
  struct RequestCounts {
    int total = 0, served = 0, late = 0;
  };
  RequestCounts count_requests(Micros from, Micros to, const std::vector<int>& routers = {}) const;
  double measure(const Claim& claim) const;
  int peak_count(Event::Kind kind, const Claim& claim, bool by_cache) const;
  bool is_in_time(const ClientRequest& request) const;
  Verdict check_answers() const;
  Verdict check_drains() const;
  Verdict check_cold_servers() const;

  const Scenario& scenario_;
  const RuleParameters& parameters_;
  const std::vector<Event>& events_;
  std::vector<ClientRequest> requests_;  // by start time
};

}  // namespace arrowfork::tier
