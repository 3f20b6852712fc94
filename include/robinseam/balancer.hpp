// Public interface of robinseam, the decision module of a router in front of cache servers.
//
// One Balancer decides for one router. It does no I/O, reads no clock, starts no thread and keeps
// no global state: the router reports events with the time they happened, and each call returns the
// actions to carry out at that same time, in order. The same events and seed give the same actions
// on every machine. Calls on one Balancer must not overlap; different Balancers are independent.
//
// All times and durations are in microseconds. A time only has meaning relative to other times
// given to the same Balancer, and must not run backwards (an earlier time counts as the latest one
// given).
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace robinseam {

using Micros = std::int64_t;
using RequestId = std::uint64_t;

/// Whether a request may run more than once.
enum class Effect {
  Repeatable,  ///< safe to run any number of times
  Keyed,       ///< a group of servers drops repeats for `key_ttl`
  Once,        ///< must not run twice; no server drops repeats
};

/// Which servers drop repeats of a Keyed request.
enum class Group { All, Zone, Cell };

struct ClassSettings {
  std::string name;
  Micros latency_objective = 0;  ///< an answer within this time earns full worth
  Micros deadline = 0;           ///< how long the client waits, over all its tries
  double worth = 1;              ///< per request, or per unit of work (Settings::worth_by_work)
  double late_worth = 0;         ///< fraction of the worth for an answer after the objective
  Effect effect = Effect::Repeatable;
  Group group = Group::All;  ///< for Keyed
  Micros key_ttl = 0;     ///< for Keyed: counted from sending the first attempt that may have run
  bool streamed = false;  ///< answers start with on_answer_start
  bool operator==(const ClassSettings&) const = default;
};

struct TenantSettings {
  std::string name;
  double portion = 0;      ///< its share of the service, 0 to 1
  double quota_per_s = 0;  ///< requests per second over all routers; 0 = no quota
  bool operator==(const TenantSettings&) const = default;
};

/// What one value of a server's load report means.
enum class ReportField {
  InFlight,
  Queue,
  Utilization,
  LatencyMs,
  PerSecond,
  ErrorsPerSecond,
  HitShare,
  FetchesInFlight,
  Unknown,
};

/// Start-up settings. The Balancer constructor validates them and throws std::invalid_argument
/// naming the setting that cannot be used (no classes, a negative or non-finite number, a share
/// above 1).
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;  ///< may be empty
  std::vector<ReportField> report_fields;
  std::string zone;                ///< the router's own zone; may be empty
  std::vector<std::string> zones;  ///< all zones
  std::string origin_kind;         ///< cache-aside mode: servers of this kind are the origin
  bool cache_aside = false;        ///< a miss returns to the router, which asks the origin
  int routers = 1;                 ///< routers in the tier, including this one
  bool poll_list = false;          ///< the server list arrives only after WatchList or FetchList
  bool may_cancel = false;
  bool may_probe = false;
  bool may_hedge = false;  ///< a request may have two attempts in flight
  bool worth_by_work = false;
  bool weights_listed = false;  ///< Server::weight is the server's relative size
  int max_attempts = 1;
  Micros max_retry_after = 0;  ///< upper bound of Refuse::retry_after
  Micros tick = 1000;          ///< shortest time between the effects of two calls' actions
  double cross_zone_charge = 0;
  double waste_charge = 0;
  double late_fail_charge = 0;
  double over_share_worth = 1;
  // Parameters of the service rules.
  Micros answer_slack = 0;
  Micros max_poll_delay = 10'000'000;
  Micros drain_grace = 0;
  double cold_share = 0.3;  ///< fraction of its capacity that a cold server starts with, at least
  Micros cold_time = 0;     ///< a server is warm after this time at the latest
  // A cold server fails when it is sent more than `overload_factor` times its capacity for
  // `overload_time`.
  double overload_factor = 3;
  Micros overload_time = 1'500'000;
  bool operator==(const Settings&) const = default;
};

enum class Health { Ready, Draining, Gone };

struct Server {
  std::string id;
  std::string zone;
  std::string kind;
  std::int64_t cell = -1;  ///< servers of one cell share their idempotency keys; -1 = none
  Health health = Health::Ready;
  double weight = 1;
  Micros up_since = 0;  ///< 0 = long ago
};

enum class ListScope {
  Delta,       ///< only the entries that changed
  Full,        ///< the complete list
  Cached,      ///< the last complete list known, possibly out of date
  Unverified,  ///< the same, and probably out of date: discovery is polled at once
  Failed,      ///< a WatchList or FetchList failed, or the watch broke
};

struct Request {
  RequestId id = 0;
  std::string class_name;      ///< an unknown class counts as the first one
  std::string tenant;          ///< may be empty
  std::string key;             ///< requests of one key go to the same servers; may be empty
  Micros remaining = 0;        ///< time until the client abandons this try
  std::optional<Micros> work;  ///< expected work, as time on a standard core
  bool retry = false;          ///< the client marked it as a retry
  bool write = false;
  bool lacks_idempotency_key = false;  ///< a Keyed request without one is treated as Once
  std::string
      idempotency_key;  ///< of a Keyed write; empty: its tries cannot be matched to each other
};

/// How an attempt ended.
enum class Status {
  Ok,
  Error,            ///< may have run
  Rejected,         ///< the server is full and rejected it without running it
  Timeout,          ///< may have run or may still run
  ConnectFailed,    ///< did not run
  Reset,            ///< may have run
  Cancelled,        ///< may have run
  NotSent,          ///< did not run
  Miss,             ///< cache-aside mode: the server does not hold the key
  Malformed,        ///< unreadable answer, or queued behind one on the connection; may have run
  ConnectionLimit,  ///< the healthy server accepts no more connections; did not run
};
constexpr std::size_t kStatusCount = 11;

/// The end of one attempt.
struct Outcome {
  RequestId id = 0;
  bool finished = false;  ///< the request has ended, now or earlier
  std::string server;
  Status status = Status::Ok;
  Micros latency = 0;
  int attempt = 0;
  int cache_result = 0;  ///< 0 unknown, 1 hit, 2 miss, 3 miss while a fetch was already in flight
  std::vector<double> report;  ///< as in Settings::report_fields; may be empty or shorter
  /// Its answer was arriving when it was given up: slow, but no sign of overload.
  bool answering = false;
  /// No client is waiting for a further attempt; on_resume() reports when one is again.
  bool paused = false;
};

// ---- actions ----
struct Send {
  RequestId id;
  std::string server;
  Micros timeout;  ///< 0 = until the client gives up
  /// For a further attempt of a Keyed write: its bytes may be written only this long from now,
  /// since after that servers may run it again. 0 = as long as the client waits.
  Micros valid_for = 0;
};
/// Final answer: retrying is harmless.
struct Refuse {
  RequestId id;
  Micros retry_after;
};
/// Final answer: promises nothing; the request may have run.
struct Fail {
  RequestId id;
};
struct Cancel {
  RequestId id;
  int attempt;
};
struct WatchList {};  ///< subscribe to changes of the server list
struct FetchList {};  ///< request the full server list once
/// Call on_timer(token) after `delay`.
struct Timer {
  Micros delay;
  std::uint64_t token;
};
struct Probe {
  std::string server;
};
using Action = std::variant<Send, Refuse, Fail, Cancel, WatchList, FetchList, Timer, Probe>;
using Actions = std::vector<Action>;

namespace limits {
class ConcurrencyLimit;
enum class LimitTarget { Origin, Server };
using LimitFactory = std::function<std::unique_ptr<ConcurrencyLimit>(LimitTarget)>;
}  // namespace limits

/// Makes the decisions of one router. Calls that break the contract are harmless: an outcome, end
/// or timer for a request or server that this Balancer does not know is ignored, and so is
/// on_request with the id of a request that is still open.
class Balancer {
 public:
  /// Throws std::invalid_argument when `settings` cannot be used. `rules` replaces the concurrency
  /// windows used in production; for experiments.
  Balancer(const Settings& settings, std::uint64_t seed, Micros now,
           const limits::LimitFactory& rules = {});
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  /// Returns the initial actions (polling the list, the first timer). Call once.
  Actions start(Micros now);
  Actions on_list(Micros now, ListScope scope, const std::vector<Server>& entries);
  Actions on_request(Micros now, const Request& request);
  /// A streamed answer has begun: no further attempts follow.
  Actions on_answer_start(Micros now, RequestId id, const std::string& server, int attempt,
                          Micros latency);
  Actions on_outcome(Micros now, const Outcome& outcome);
  /// A client waits again for a request whose last outcome was paused: it is retried or ended.
  Actions on_resume(Micros now, RequestId id);
  /// The client disconnected; it needs no answer.
  Actions on_client_gone(Micros now, RequestId id);
  Actions on_timer(Micros now, std::uint64_t token);
  Actions on_probe_result(Micros now, const std::string& server, Status status, Micros latency,
                          const std::vector<double>& report);

  /// Figures for tests and for the router's own metrics. Rates and shares are recent averages.
  struct Stats {
    std::size_t open_requests = 0;
    std::size_t saved_seeds = 0;
    std::size_t tracked_keys = 0;
    std::size_t servers = 0;
    std::uint64_t draws = 0;  ///< slot draws since the start
    /// Requests refused at admission, refused because no server was available, and ended unserved
    /// after at least one attempt.
    std::uint64_t shed = 0, unroutable = 0, failed_after_attempts = 0;
    /// Further attempts after the previous one ended, attempts beside one in flight, and attempts
    /// at servers judged down that have not answered since.
    std::uint64_t retries = 0, hedges = 0, trials = 0;
    /// Share of requests refused at admission, of uncached and of cached keys.
    double uncached_shed_share = 0, cached_shed_share = 0;
    double fetch_limit = 0, fetches_in_flight = 0;  ///< fetches from the origin
    /// Per attempt.
    double late_rate = 0, error_rate = 0, rejected_rate = 0, unreachable_rate = 0,
           malformed_rate = 0;
    double utilization = 0;    ///< mean of the servers' reports
    double live_servers = 0;   ///< sum of the servers' live fractions
    double zone_affinity = 0;  ///< fraction of other zones' segments that are skipped, 0 to 1
    int restart_verdict = 0;   ///< 0: undecided, 1: restarted alone, 2: with the rest of the tier
    std::size_t tracked_writes = 0;    ///< keyed writes whose first send is remembered
    std::uint64_t evicted_writes = 0;  ///< forgotten early because the table was full
  };
  Stats stats() const;
  /// The id of the server that an idle fleet would use for the key's first request now, or empty.
  std::string home_server(const std::string& key) const;
  /// The fraction of its slots in which a listed server currently takes requests, 0 to 1.
  double live_fraction(const std::string& server) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace robinseam
