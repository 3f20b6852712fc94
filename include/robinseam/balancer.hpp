// robinseam: the decisions of a router in front of a fleet of cache servers.
//
// One Balancer decides for one router. It does no I/O, reads no clock, starts no thread and keeps
// no global state: the router reports events with the time they happened, and each call returns the
// actions to take at that same time, in order. The same events and seed give the same actions on
// every machine. Calls on one Balancer must not overlap; different Balancers are independent.
//
// All times and durations are microseconds. A time only has meaning relative to other times given
// to the same Balancer, and must not run backwards (an earlier time is taken as the latest one
// seen).
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

/// What repeating a request may do.
enum class Effect {
  Repeatable,  ///< safe to run any number of times
  Keyed,       ///< repeats are dropped inside a group of servers for `key_ttl`
  Once,        ///< must not run twice; nothing drops repeats
};

/// Which servers drop repeats of a Keyed request.
enum class Group { All, Zone, Cell };

struct ClassSettings {
  std::string name;
  Micros latency_objective = 0;  ///< an answer within this time earns full worth
  Micros deadline = 0;           ///< the client's whole patience, all its tries together
  double worth = 1;              ///< per request, or per unit of work (Settings::worth_by_work)
  double late_worth = 0;         ///< part of the worth for an answer after the aim, 0 to 1
  Effect effect = Effect::Repeatable;
  Group group = Group::All;  ///< for Keyed
  Micros key_ttl = 0;        ///< for Keyed: from the send of the first attempt that may have run
  bool streamed = false;     ///< answers start with on_answer_start
  bool operator==(const ClassSettings&) const = default;
};

struct TenantSettings {
  std::string name;
  double portion = 0;      ///< its portion of the service, 0 to 1
  double quota_per_s = 0;  ///< requests a second over all routers; 0 = no quota
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

/// Start-up settings. Validated by the Balancer constructor, which throws std::invalid_argument
/// naming the setting when it cannot be used (no classes, a negative or non-finite number, a share
/// above 1).
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;  ///< may be empty
  std::vector<ReportField> report_fields;
  std::string zone;                ///< the router's own zone; may be empty
  std::vector<std::string> zones;  ///< all zones
  std::string origin_kind;         ///< cache-aside mode: servers of this kind are the origin
  bool cache_aside = false;        ///< misses come back to the router, which asks the origin
  int routers = 1;                 ///< routers in the tier, this one included
  bool poll_list = false;          ///< the list comes only on WatchList or FetchList
  bool may_cancel = false;
  bool may_probe = false;
  bool may_hedge = false;  ///< a request may have two attempts out together
  bool worth_by_work = false;
  bool weights_listed = false;  ///< Server::weight carries a size
  int max_attempts = 1;
  Micros max_retry_after = 0;  ///< the longest Refuse::wait
  Micros tick = 1000;          ///< the shortest time between two calls' actions taking effect
  double cross_zone_charge = 0;
  double waste_charge = 0;
  double late_fail_charge = 0;
  double over_share_worth = 1;
  // The figures of the rules.
  Micros answer_slack = 0;
  Micros max_poll_delay = 10'000'000;
  Micros drain_grace = 0;
  double cold_share = 0.3;     ///< a cold server starts at no less than this part of its capacity
  Micros cold_time = 0;        ///< and is warm no later than this
  double overload_factor = 3;  ///< sent more than this multiple of its capacity
  Micros overload_time = 1'500'000;  ///< for this long, a cold server falls over
  bool operator==(const Settings&) const = default;
};

enum class Health { Ready, Draining, Gone };

struct Server {
  std::string id;
  std::string zone;
  std::string kind;
  std::int64_t cell = -1;  ///< servers of one cell share the keys they have seen; -1 = none
  Health health = Health::Ready;
  double weight = 1;
  Micros up_since = 0;  ///< 0 = long ago
};

enum class ListScope {
  Delta,       ///< only the entries that changed
  Full,        ///< the complete list
  Cached,      ///< the complete list as last held, perhaps out of date
  Unverified,  ///< the same, and likely out of date: discovery is asked at once
  Failed,      ///< a WatchList or FetchList failed, or the watch broke
};

struct Request {
  RequestId id = 0;
  std::string class_name;      ///< the name of its class; an unknown one is treated as the first
  std::string tenant;          ///< may be empty
  std::string key;             ///< requests of one key go together; may be empty
  Micros remaining = 0;        ///< until the client gives this try up
  std::optional<Micros> work;  ///< expected work, as time on a standard core
  bool retry = false;          ///< its client marked it as its own further try
  bool write = false;
  bool lacks_idempotency_key =
      false;                    ///< has no idempotency key: in a Keyed class it is treated as Once
  std::string idempotency_key;  ///< a keyed write's; empty: its tries can't be told to be the same
};

enum class Status {
  Ok,
  Error,            ///< may have run
  Rejected,         ///< turned away unseen
  Timeout,          ///< may have run or be running
  ConnectFailed,    ///< never ran
  Reset,            ///< may have run
  Cancelled,        ///< may have run
  NotSent,          ///< never sent
  Miss,             ///< aside mode: nothing held there for the key
  Malformed,        ///< answered with what can't be read, or behind such an answer; may have run
  ConnectionLimit,  ///< the server is well and has no room for one more connection; never ran
};
constexpr std::size_t kStatusCount = 11;

struct Outcome {
  RequestId id = 0;
  bool finished = false;  ///< the request has ended, now or earlier
  std::string server;
  Status status = Status::Ok;
  Micros latency = 0;
  int attempt = 0;
  int cache_result = 0;        ///< 1 hit, 2 miss, 3 miss with a fetch already out, 0 not told
  std::vector<double> report;  ///< as in Settings::report_fields; may be empty or shorter
  /// Nobody waits for a further attempt now; on_resume() tells when somebody does.
  bool paused = false;
};

// ---- actions ----
struct Send {
  RequestId id;
  std::string server;
  Micros timeout;  ///< 0 = until the client quits
};
struct Refuse {
  RequestId id;
  Micros retry_after;
};  ///< final: trying again is harmless
struct Fail {
  RequestId id;
};  ///< final: promises nothing
struct Cancel {
  RequestId id;
  int attempt;
};
struct WatchList {};  ///< ask for changes of the list from now on
struct FetchList {};  ///< ask for the whole list once
struct Timer {
  Micros delay;
  std::uint64_t token;
};  ///< call on_timer(token) then
struct Probe {
  std::string server;
};
using Action = std::variant<Send, Refuse, Fail, Cancel, WatchList, FetchList, Timer, Probe>;
using Actions = std::vector<Action>;

namespace limits {
class Rule;
enum class LimitTarget { Origin, Server };
using LimitFactory = std::function<std::unique_ptr<Rule>(LimitTarget)>;
}  // namespace limits

/// Decides for one router. Contract breaches are harmless: an outcome, end or timer for a request
/// or server this Balancer does not know is ignored, as is a second on_request with an id still
/// open.
class Balancer {
 public:
  /// Throws std::invalid_argument when `settings` cannot be used. `rules`: what limits attempts, in
  /// place of the windows that service runs on; for experiments.
  Balancer(const Settings& settings, std::uint64_t seed, Micros now,
           const limits::LimitFactory& rules = {});
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  /// Actions owed at the start (asking for the list, the first timer). Call once.
  Actions start(Micros now);
  Actions on_list(Micros now, ListScope scope, const std::vector<Server>& entries);
  Actions on_request(Micros now, const Request& request);
  Actions on_answer_start(Micros now, RequestId id, const std::string& server, int attempt,
                          Micros latency);
  Actions on_outcome(Micros now, const Outcome& outcome);
  /// Somebody waits again for a request whose last outcome was held: it goes on or is ended.
  Actions on_resume(Micros now, RequestId id);
  /// The client left; nothing more is owed.
  Actions on_client_gone(Micros now, RequestId id);
  Actions on_timer(Micros now, std::uint64_t token);
  Actions on_probe_result(Micros now, const std::string& server, Status status, Micros latency,
                          const std::vector<double>& report);

  /// Figures for tests and for the router's own metrics.
  struct Stats {
    std::size_t open_requests = 0;
    std::size_t saved_seeds = 0;
    std::size_t tracked_keys = 0;
    std::size_t servers = 0;
    std::uint64_t draws = 0;  ///< LCG draws since the start
    /// Refused at the door, for want of a server, and after attempts that never ran.
    std::uint64_t shed = 0, unroutable = 0, failed_after_attempts = 0;
    /// Further attempts after the last had ended, copies beside one that was out, and attempts at
    /// servers judged dead that have not answered since.
    std::uint64_t retries = 0, hedges = 0, trials = 0;
    double uncached_shed_share = 0,
           cached_shed_share = 0;  ///< parts refused lately, of keys to fetch and of those held
    double fetch_limit = 0,
           fetches_in_flight = 0;  ///< fetches from the origin: may be out, and are
    /// Per attempt lately.
    double late_rate = 0, error_rate = 0, rejected_rate = 0, unreachable_rate = 0,
           malformed_rate = 0;
    double utilization = 0;            ///< mean of reports lately
    double live_servers = 0;           ///< servers, by the part that is live
    double zone_affinity = 0;          ///< part of foreign segments that is passed over, 0 to 1
    int restart_verdict = 0;           ///< 0: not settled, 1: alone, 2: with others of its tier
    std::size_t tracked_writes = 0;    ///< keyed writes whose first send is remembered
    std::uint64_t evicted_writes = 0;  ///< before their time, for want of room
  };
  Stats stats() const;
  /// Where an idle fleet would serve the key's first request now: the server id, or empty.
  std::string home_server(const std::string& key) const;
  /// The part of its slots a listed server is live over now, 0 to 1.
  double live_fraction(const std::string& server) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace robinseam
