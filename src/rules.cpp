// The decision module: choice of servers, server health, admission, retries and hedging, and
// polling of the server list. Sections from top to bottom:
//   tunables, state, segments, saved seeds, server health, admission, attempts, list.
#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>

#include "limits/checks.hpp"
#include "limits/draws.hpp"
#include "limits/limits.hpp"
#include "limits/server_kind_speeds.hpp"
#include "limits/slow_start.hpp"
#include "recovery/discovery_backoff.hpp"
#include "recovery/keyed_writes.hpp"
#include "recovery/tier_restart_detector.hpp"
#include "robinseam/balancer.hpp"

namespace robinseam {
namespace {

using limits::hash_name, limits::mix, limits::next_draw;

// ---- tunables ----
constexpr Micros kSecond = 1'000'000;
// Segments: 2^15 slots, 32 per unit of weight. Ten servers cover about 1% of the slots, 250 servers
// 25%.
constexpr int kSlotBits = 15;
constexpr int kSlots = 1 << kSlotBits;
constexpr int kSlotsPerWeight = 32;
// Above this coverage the slots of all servers are halved until they fit.
constexpr double kMaxCoverage = 0.5;
// Draws per walk; enough to find the only live server of 250.
constexpr int kMaxDraws = 20'000;
// Saved seeds. A key that makes up more than this multiple of a server's fair share is spread over
// several servers.
constexpr double kMaxKeyShare = 0.7;
// Requests for one key, within key_count_horizon(), per server it is spread over. With 1, two
// chance requests for a rare key cached it on a second server, and the fetches for all those
// replicas overloaded origins.
constexpr double kRequestsPerServer = 2;
// Above this error rate of the fleet, hot servers spread their keys no further.
constexpr double kMaxErrorRateForSpread = 0.02;
// Servers skipped per walk because they are at their limit.
constexpr int kMaxSkippedLandings = 4;
// Limit of this router's attempts in flight at a server, as a multiple of the mean over servers,
// and its lower bound.
constexpr double kInFlightFactor = 2.0;
constexpr double kInFlightFloor = 3.0;
// Zone affinity: a key is served in the router's own zone once a replica there saves more worth
// than it costs. This is the cost of one more replica, in requests: its miss and the load it adds
// to an overloaded origin.
constexpr double kMissCost = 2.0;
// A server kind is skipped when a faster kind is this much more likely to answer within the
// objective. As many segments are skipped as with the zone affinity at its maximum, so that a key
// is held by few servers.
constexpr double kMinSpeedGain = 0.2;
// Up to this utilization there is spare capacity for preferring the own zone and the faster kind;
// from here to 1 the remaining capacity is needed wherever it is.
constexpr double kFreeUtilization = 0.5;
// Fraction of other zones' segments that a popular key skips.
constexpr double kMaxZoneAffinity = 0.9;
// Keys counted per generation; bounds memory during a scan.
constexpr std::size_t kMaxTrackedKeys = 4096;
constexpr Micros kKeyCountGeneration = 10 * kSecond;
// Server health. Each failure adds its weight to the server's suspicion, which decays with this
// half-life; at kDownSuspicion the server is judged down.
constexpr double kDownSuspicion = 2.0;
// Lower bound of the failure rate that counts as normal.
constexpr double kBaselineFailureRate = 0.05;
// Weight of one attempt in the fleet's failure rates.
constexpr double kFailureRateGain = 0.04;
constexpr double kSuspicionHalfLife = 8.0 * kSecond;
// How long a server stays down: doubles from the first value to the maximum. With a maximum of 8 s,
// half of a fleet that had been silent for 10 s returned only after 7 to 11 s; a trial every 2 s
// costs next to nothing.
constexpr Micros kFirstDownTime = kSecond;
constexpr Micros kMaxDownTime = 2 * kSecond;
constexpr Micros kRampTime = 3 * kSecond;
constexpr double kRampStartFraction = 0.2;
// When more than this share of the reachable servers is judged down, the judgement is ignored.
constexpr double kMaxDownShare = 0.7;
// Outliers. A server may answer some requests and fail most: with immediate errors, silence, or
// rejections while its cores are idle. It is never judged down, because each success clears its
// suspicion, and when half of the fleet behaves like that, failures look normal. So each server's
// failure share is compared with that of the fleet's best third, and the excess reduces the
// server's live fraction. This covers faults that only some servers have, whatever form the
// failures take; where all servers fail alike, none is an outlier. It can do harm where a few
// servers carry the hottest keys at the limit of their capacity: those keys move and miss
// elsewhere.
// Weight of one attempt in a server's failure share.
constexpr double kFailureShareGain = 0.15;
// The share decays because an outlier gets few requests that could improve it.
constexpr double kFailureShareHalfLife = 3.0 * kSecond;
// Excess up to which nothing is lost (two failures in a row), and from which only
// kOutlierMinFraction is left.
constexpr double kOutlierExcess = 0.3;
constexpr double kOutlierMaxExcess = 0.6;
// Below what overload leaves to the healthy servers; otherwise the outliers' fraction would grow
// back while those carry the load. Too few requests to judge the server by, so its return depends
// on kFailureShareHalfLife.
constexpr double kOutlierMinFraction = 0.02;
// Rejections and silence count as faults only while the server's cores are idle. Otherwise the
// servers that take over the outliers' load would become outliers in turn, until all keys went to
// the last few servers.
constexpr double kBusyUtilization = 0.75;
// How long a report is valid: a server that fell silent while busy sends no more reports.
constexpr Micros kUtilizationValidFor = kSecond / 2;
// Weight of one latency in a server's mean log latency ratio.
constexpr double kLatencyRatioGain = 0.25;
constexpr double kLatencyRatioHalfLife = 8.0 * kSecond;
// Latency ratio above which a server counts as slow.
constexpr double kSlowLatencyRatio = 1.8;
// A slow server keeps this live fraction, so that its recovery can be observed.
constexpr double kMinLiveFraction = 0.06;
// A hot server keeps more, because every key that moves costs a miss.
constexpr double kHotMinLoadFraction = 0.4;
// Reported utilization above which a server is hot: this, or the fleet's mean plus the margin.
constexpr double kHotUtilization = 0.85;
constexpr double kHotUtilizationMargin = 0.05;
// Fraction of the remaining keys given up per rejection, and fraction of the cut that is undone per
// success: what counts is the share of rejected attempts.
constexpr double kRejectionCutStep = 0.2;
constexpr double kRejectionCutRelease = 0.05;
constexpr double kRejectionCutHalfLife = 15.0 * kSecond;
// Exponents per second with which the load fraction falls (per unit of heat) and recovers, and the
// time that one report may account for.
constexpr double kHotShedRate = 1.2;
constexpr double kLoadRecoveryRate = 0.12;
constexpr double kMaxReportSpanSeconds = 2;
// A cold server gets at most this multiple of its fair share, scaled by its warmth.
constexpr double kColdShareFactor = 1.3;
// And at most this part of the load that would make it fail if the warm servers were at the limit
// of their capacity.
constexpr double kColdCapacityFactor = 0.5;
// Weight of one refresh in the rate that warm servers handle; averages over about 5 s.
constexpr double kWarmRateGain = 0.02;
// Attempts. The timeout of an attempt is this multiple of the latency quantile of its class.
constexpr double kTimeoutQuantile = 0.95;
constexpr double kTimeoutFactor = 2.0;
// A client whose whole time is a smaller share of the attempt timeout can hardly be served.
constexpr double kLittleTimeShare = 0.25;
// Suspicion above which errors are attributed to the server.
constexpr double kServerFaultSuspicion = 0.9;
// Above this error rate of the fleet, errors are not retried.
constexpr double kMaxErrorRateForRetry = 0.1;
// A key requested this often recently is popular.
constexpr int kPopularKeyCount = 3;
// Time over which request rates decay.
constexpr double kRateDecaySeconds = 5;
// Interval at which the sums over the fleet are recomputed.
constexpr Micros kRefreshInterval = kSecond / 10;

int slot_of(std::uint64_t draw) { return static_cast<int>(draw >> (64 - kSlotBits)); }
/// The position of a draw within its slot, 0 to 1.
double position_in_slot(std::uint64_t draw) {
  return static_cast<double>((draw >> 17) & 0xffffffffULL) / 4294967296.0;
}

/// Adds one attempt to a failure rate.
void update_rate(double& rate, bool failed) { rate += kFailureRateGain * (failed - rate); }

enum TimerKind : std::uint64_t { kDeadlineTimer, kHedgeTimer, kPollTimer };

}  // namespace

struct Balancer::Impl {
  // ---- state ----
  struct ServerState {
    Server entry;
    bool present = false;  // in the current list, ready or draining
    int in_flight = 0;     // attempts of this router
    int attempt_refs = 0;  // attempts of open requests, including ended ones
    double suspicion = 0;  // decayed weight of recent failures
    Micros suspicion_at = 0;
    int times_down = 0;  // times judged down since the last success
    Micros down_until = 0;
    Micros ramp_start = 0;         // start of the ramp after being down; 0 = none
    double log_latency_ratio = 0;  // mean log of latency relative to the class's mean
    double latency_samples = 0;    // decayed number of latencies behind it
    Micros latency_at = 0;
    double load_fraction = 1;  // live fraction according to reported load
    double utilization = -1;   // last reported; -1 = never
    double failure_share = 0;  // of recent attempts, decaying
    Micros failure_share_at = 0;
    double rejection_cut = 0;  // fraction given up because of rejections
    Micros rejection_cut_at = 0;
    Micros report_at = 0;
    limits::SlowStart slow_start;
    std::unique_ptr<limits::ConcurrencyLimit> window;  // limits attempts in flight
  };
  enum class RunState { InFlight, MayHaveRun, NotRun };
  struct Attempt {
    int server;
    Micros sent_at;
    RunState run_state = RunState::InFlight;
    bool stalled = false;
    double fetch_weight = 0;  // expected fetches from the origin, 0 to 1
    bool overdue = false;     // still in flight at the request's deadline
  };
  struct OpenRequest {
    Request request;
    int class_index = 0;
    int key_count = 0;    // recent requests for its key
    bool cached = false;  // a server probably holds its key
    std::uint64_t key_hash = 0;
    std::uint64_t write_hash = 0;  // hash of idempotency key and class; 0 = no idempotency key
    std::uint64_t seed = 0;
    Micros arrived_at = 0;
    Micros first_try_at = 0;  // arrival of the client's first try, if known
    Micros deadline = 0;
    bool closed = false;
    bool missed = false;                     // cache-aside mode: a cache answered with a miss
    Status paused_status = Status::NotSent;  // outcome it was paused with until on_resume()
    limits::AdmissionRequest admission;
    std::vector<Attempt> attempts;
  };
  struct ClassState {
    double mean_log_latency = 0;
    double latency_quantile = 0;  // at kTimeoutQuantile
    double samples = 0;
  };

  Impl(const Settings& settings, const limits::LimitFactory& rules)
      : settings(settings),
        attempt_limits(settings, rules),
        discovery_backoff(settings.routers, settings.max_poll_delay),
        keyed_writes(settings.classes),
        tier_restart(settings.routers, 0) {}

  Settings settings;
  std::uint64_t rng;
  Micros now = 0;
  std::vector<ServerState> servers;
  std::vector<int> free_indices;            // free places in `servers`
  std::map<std::string, int> server_index;  // by id, so that iteration is in id order
  std::vector<int> slots = std::vector<int>(kSlots, -1);
  std::unordered_map<RequestId, OpenRequest> open_requests;
  struct SavedSeed {
    std::uint64_t seed = 0;  // of the last landing
    int landings = 0;        // landings since the walk started from the key's hash
    int home_server = -1;    // server of the first landing
    double count = 0;        // recent requests, decaying with this router's requests
    double counted_at = 0;   // value of `own_requests` at the last update
  };
  std::unordered_map<std::uint64_t, SavedSeed> saved_seeds;  // by hash of the key
  double own_requests = 0, swept_at = 0;  // this router's requests; their number at the last sweep
  struct KeyCount {
    int count = 0;
    bool cached = false;  // its last read was answered, so a server holds it
  };
  // Current and previous generation.
  std::array<std::unordered_map<std::uint64_t, KeyCount>, 2> key_counts;
  Micros generation_start = 0;
  std::vector<ClassState> classes;
  std::vector<double> tenant_rates;
  // Decayed sums of attempts sent and of clients' first tries, in units of a mean request.
  double sent_sum = 0, first_try_sum = 0;
  Micros rates_at = 0;
  Micros started_at = 0;
  double mean_work = 0;
  double mean_log_latency = 0;  // over all classes
  double mean_queue = 0, mean_utilization = 0;
  int total_in_flight = 0;
  // Recent failures per attempt over the whole fleet.
  double error_rate = 0, late_rate = 0, unreachable_rate = 0, rejected_rate = 0, malformed_rate = 0;
  limits::Limits attempt_limits;
  limits::ServerKindSpeeds kind_speeds;
  double mean_worth = 0;  // of a request, per unit of work
  // Recomputed by refresh_fleet_state().
  Micros refreshed_at = -1;
  double live_servers = 1, live_weight = 1, warm_weight = 1, zone_affinity = 0;
  double baseline_failure_share = 0;  // failure share of the fleet's best third
  // Requests per second and unit of weight that the warm servers handle from this router.
  double warm_rate_per_weight = 0;
  bool ignore_down = false;
  // Server list.
  bool watching = false, polling = false;
  recovery::DiscoveryBackoff discovery_backoff;
  recovery::KeyedWrites keyed_writes;
  recovery::TierRestartDetector tier_restart;
  std::uint64_t poll_token = 0;
  Micros next_poll_at = 0;  // when the next call to discovery is due
  std::uint64_t draws = 0, shed = 0, unroutable = 0, failed_after_attempts = 0;
  std::uint64_t retries = 0, hedges = 0, trials = 0;
  Actions actions;

  /// What remains of 1 with this half-life.
  double decay(Micros since, double half_life) const {
    return std::exp2(-static_cast<double>(now - since) / half_life);
  }

  double random() {
    rng = mix(rng + 1);
    return static_cast<double>(rng >> 11) / 9007199254740992.0;
  }

  // ---- segments ----
  bool is_origin(const ServerState& s) const {
    return settings.cache_aside && !settings.origin_kind.empty() &&
           s.entry.kind == settings.origin_kind;
  }

  void assign_slots() {
    std::fill(slots.begin(), slots.end(), -1);
    double unit = kSlotsPerWeight, total = 0;
    for (const ServerState& s : servers)
      if (s.present && !is_origin(s)) total += std::max(s.entry.weight, 0.0) * kSlotsPerWeight;
    while (total > kMaxCoverage * kSlots) unit /= 2, total /= 2;
    for (const auto& [id, i] :
         server_index) {  // in id order: a contested slot goes to the lower id
      const ServerState& s = servers[i];
      if (!s.present || is_origin(s)) continue;
      int slots_wanted = std::max(1, static_cast<int>(std::lround(s.entry.weight * unit)));
      std::uint64_t seed = hash_name(id);
      for (int draw = 0; slots_wanted > 0 && draw < kSlots; ++draw) {
        seed = next_draw(seed);
        int& slot = slots[slot_of(seed)];
        if (slot < 0) slot = i, --slots_wanted;
      }
    }
    refreshed_at = -1;
  }

  bool usable(const ServerState& s) const { return s.present && s.entry.health == Health::Ready; }

  bool is_cold(const ServerState& s) const {
    return s.entry.up_since > 0 && now - s.entry.up_since < settings.cold_time;
  }

  double warmth(const ServerState& s) const {
    if (!is_cold(s)) return 1;
    double age = static_cast<double>(std::max<Micros>(0, now - s.entry.up_since)) /
                 static_cast<double>(settings.cold_time);
    return settings.cold_share + (1 - settings.cold_share) * age;
  }

  /// The fraction of its slots in which a server takes requests. Being down, slow start, a slow
  /// machine and overload all act here, so each moves only the keys of the fraction given up.
  double live_fraction(const ServerState& s) const {
    if (!usable(s)) return 0;
    double fraction = warmth(s) *
                      std::max(kMinLiveFraction, s.load_fraction * (1 - current_rejection_cut(s)) *
                                                     latency_fraction(s)) *
                      std::max(kOutlierMinFraction, outlier_fraction(s));
    if (!ignore_down) {
      if (now < s.down_until) return 0;
      if (s.ramp_start > 0) {
        double progress = static_cast<double>(now - s.ramp_start) / kRampTime;
        fraction *= std::min(1.0, kRampStartFraction + (1 - kRampStartFraction) * progress);
      }
    }
    return fraction;
  }

  void refresh_fleet_state() {
    if (refreshed_at >= 0 && now - refreshed_at < kRefreshInterval) return;
    refreshed_at = now;
    double ready = 0, down = 0, own_zone_ready = 0, own_zone_down = 0;
    std::vector<double> failure_shares;
    for (const ServerState& s : servers) {
      if (!usable(s) || is_origin(s)) continue;
      failure_shares.push_back(current_failure_share(s));
      bool in_own_zone = s.entry.zone == settings.zone;
      ready += 1, own_zone_ready += in_own_zone;
      if (now < s.down_until) down += 1, own_zone_down += in_own_zone;
    }
    if (!failure_shares.empty()) {
      auto third = failure_shares.begin() + static_cast<std::ptrdiff_t>(failure_shares.size() / 3);
      std::nth_element(failure_shares.begin(), third, failure_shares.end());
      baseline_failure_share = *third;
    }
    // A network partition between zones makes many servers look down; that is believed as long as
    // the own zone answers. When the servers of the own zone look down as well, the fault is more
    // likely in this router or in the judgement.
    ignore_down = own_zone_ready > 0 ? own_zone_down > kMaxDownShare * own_zone_ready &&
                                           down > kMaxDownShare * ready
                                     : down > kMaxDownShare * ready;
    double own_zone_live = 0, own_zone_servers = 0, nominal_weight = 0;
    live_servers = live_weight = warm_weight = 0;
    for (const ServerState& s : servers) {
      if (!usable(s) || is_origin(s)) continue;
      double live = live_fraction(s);
      live_servers += live, live_weight += live * s.entry.weight;
      warm_weight += warmth(s) * s.entry.weight;
      nominal_weight += s.entry.weight;
      if (s.entry.zone == settings.zone) own_zone_live += live, own_zone_servers += 1;
    }
    if (warm_weight > 0.8 * nominal_weight && warm_weight > 0) {
      double rate_per_weight = sent_rate() / warm_weight;
      warm_rate_per_weight += (warm_rate_per_weight <= 0 ? 1 : kWarmRateGain) *
                              (rate_per_weight - warm_rate_per_weight);
    }
    // Servers of the own zone that give up load weaken the affinity to it. While the fleet has
    // spare capacity, only what they give up beyond the other zones counts, since every server
    // gives up a little. Near full load that comparison gave worse results, so there the own zone
    // counts alone.
    double own_zone = own_zone_servers > 0 ? own_zone_live / own_zone_servers : 0;
    double own_to_fleet = live_servers > 0 ? std::min(1.0, own_zone * ready / live_servers) : 0;
    double strength = own_zone + (own_to_fleet - own_zone) * spare_capacity();
    zone_affinity = kMaxZoneAffinity * strength * strength;
  }

  /// Spare capacity of the fleet, 0 to 1, by utilization, rejections and requests shed here.
  double spare_capacity() const {
    double idle = std::clamp((1 - mean_utilization) / (1 - kFreeUtilization), 0.0, 1.0);
    double shed_share =
        std::max(attempt_limits.shed_share(now, false), attempt_limits.shed_share(now, true));
    return idle * std::max(0.0, 1 - 2 * rejected_rate) * std::max(0.0, 1 - 2 * shed_share);
  }

  // ---- saved seeds ----
  /// Requests of this router over which a key is counted: so many that a key with kMaxKeyShare of a
  /// server's fair share is requested kRequestsPerServer times.
  double key_count_horizon() const {
    return kRequestsPerServer * std::max(1.0, live_servers / kMaxKeyShare);
  }

  /// The seed from which the request's walk starts. Further requests for the key continue from the
  /// saved seed until the key has used as many servers as its share of the traffic needs; then the
  /// walk restarts from the key's hash. A key that one server can serve stays at its first landing,
  /// and a hot key keeps its spread across restarts of the walk.
  SavedSeed& advance_saved_seed(std::uint64_t key_hash) {
    own_requests += 1;
    double horizon = key_count_horizon();
    auto decayed_count = [&](const SavedSeed& s) {
      return s.count * std::exp(-(own_requests - s.counted_at) / horizon);
    };
    if (own_requests - swept_at > horizon) {
      for (auto it = saved_seeds.begin(); it != saved_seeds.end();)
        it = decayed_count(it->second) < 0.5 ? saved_seeds.erase(it) : std::next(it);
      swept_at = own_requests;
    }
    SavedSeed& s = saved_seeds[key_hash];
    s.count = decayed_count(s) + 1;
    s.counted_at = own_requests;
    // A server can be hot because of several moderately popular keys, none of which would be spread
    // on its own. Not while the origin fails, since each replica costs a fetch.
    bool keep_spread =
        s.home_server < 0 || s.count < kRequestsPerServer || error_rate > kMaxErrorRateForSpread;
    double per_server =
        kRequestsPerServer * (keep_spread ? 1 : servers[s.home_server].load_fraction);
    if (s.landings == 0 || s.landings >= s.count / per_server) s.seed = key_hash, s.landings = 0;
    return s;
  }

  /// Counts the request's key over the last one to two generations.
  void count_key(OpenRequest& o) {
    if (now - generation_start > kKeyCountGeneration || key_counts[0].size() >= kMaxTrackedKeys) {
      key_counts[1] = std::move(key_counts[0]);
      key_counts[0].clear();
      generation_start = now;
    }
    auto [it, fresh] = key_counts[0].try_emplace(o.key_hash);
    auto old = key_counts[1].find(o.key_hash);
    if (fresh && old != key_counts[1].end()) it->second.cached = old->second.cached;
    o.key_count = ++it->second.count + (old != key_counts[1].end() ? old->second.count : 0);
    o.cached = it->second.cached && !o.request.write;
  }

  /// Records whether a server holds the key now that an admitted request has ended.
  void record_key_cached(const OpenRequest& o, bool answered) {
    auto it = key_counts[0].find(o.key_hash);
    if (it != key_counts[0].end()) it->second.cached = answered && !o.request.write;
  }

  /// Whether a replica of the key in the own zone saves more than it costs. Where a hundred routers
  /// share the traffic, a key seen once here is requested by the other routers of the zone as well.
  bool justifies_zone_replica(int requests) const {
    double peers = std::max(1.0, settings.routers / std::max<double>(1, settings.zones.size()));
    return settings.cross_zone_charge * requests * peers > kMissCost;
  }

  bool at_limit(const ServerState& s) const {
    double mean = total_in_flight / std::max(1.0, live_weight);
    return s.in_flight >= kInFlightFloor + kInFlightFactor * mean * s.entry.weight;
  }

  double max_cold_rate(const ServerState& s) const {
    // Shares are of the nominal weights: with live weights, servers that shed load would push it to
    // the cold ones. The rate is also bounded by what warm servers were seen to handle: after a
    // mass replacement the fair share of the few servers left exceeds their capacity.
    double fair_rate = expected_rate() / std::max(1.0, warm_weight);
    double max_rate =
        warm_rate_per_weight > 0
            ? std::min(kColdShareFactor * fair_rate,
                       kColdCapacityFactor * settings.overload_factor * warm_rate_per_weight)
            : kColdShareFactor * fair_rate;
    return warmth(s) * s.entry.weight * max_rate;
  }

  bool may_take_cold(ServerState& s, double cost) {
    return !is_cold(s) || s.slow_start.admits(now, max_cold_rate(s), settings.overload_time, cost);
  }

  struct Landing {
    int server = -1;
    std::uint64_t seed = 0;
    double fetch_weight = 0;  // expected fetches from the origin, 0 to 1
  };

  /// Draws from `seed`, at most `left` times, until a live segment is hit; returns its server or
  /// -1.
  int draw_live_server(std::uint64_t& seed, int& left) const {
    while (left-- > 0) {
      seed = next_draw(seed);
      int i = slots[slot_of(seed)];
      if (i >= 0 && position_in_slot(seed) < live_fraction(servers[i])) return i;
    }
    return -1;
  }

  /// Whether another kind of server would probably meet the objective where this one would miss it.
  bool is_too_slow(const OpenRequest& o, const ServerState& s) const {
    double min_gain = kMinSpeedGain / std::max(0.01, spare_capacity() * spare_capacity());
    return o.request.work && kind_speeds.gain_at_fastest_kind(
                                 s.entry.kind, *o.request.work,
                                 settings.classes[o.class_index].latency_objective) > min_gain;
  }

  /// Draws from `seed` to the next live segment whose server may take the request.
  Landing walk(std::uint64_t seed, const OpenRequest& o, bool prefer_own_zone) {
    Landing fallback;
    int skipped = 0;
    double cost = relative_cost(o), fetch_weight = attempt_limits.fetch_weight(o.admission),
           window_share = attempt_limits.window_share(o.admission);
    for (int left = kMaxDraws, before = left;; before = left) {
      int i = draw_live_server(seed, left);
      draws += static_cast<std::uint64_t>(before - std::max(left, 0));
      if (i < 0) return fallback;
      ServerState& s = servers[i];
      if (!may_send(o, i) || was_tried(o, i)) continue;
      if (is_too_slow(o, s) && position_in_slot(mix(seed + 1)) < kMaxZoneAffinity) continue;
      if (prefer_own_zone && s.entry.zone != settings.zone &&
          position_in_slot(mix(seed)) < zone_affinity)
        continue;
      if (!may_take_cold(s, cost)) continue;
      bool has_capacity = s.window->has_capacity(now, 1, window_share);
      if (!has_capacity || at_limit(s)) {
        if (has_capacity && fallback.server < 0) fallback = {i, seed, fetch_weight};
        if (++skipped > kMaxSkippedLandings) return fallback;
        // Other servers do not hold the key. When fetch capacity is short, the request does not
        // spill over to them.
        if (skipped == 1) fetch_weight = attempt_limits.spill_weight(o.admission);
        if (!attempt_limits.may_spill(now, o.admission)) return fallback;
        continue;
      }
      return {i, seed, fetch_weight};
    }
  }

  // ---- server health ----
  double latency_fraction(const ServerState& s) const {
    if (s.latency_samples < 2) return 1;
    double remaining = decay(s.latency_at, kLatencyRatioHalfLife);
    double ratio = std::exp(s.log_latency_ratio * remaining);
    return ratio > kSlowLatencyRatio ? kSlowLatencyRatio / ratio : 1;
  }

  double current_failure_share(const ServerState& s) const {
    return s.failure_share * decay(s.failure_share_at, kFailureShareHalfLife);
  }

  /// How far the server's failure share exceeds that of the best third; not positive for others.
  double excess_failure_share(const ServerState& s) const {
    return current_failure_share(s) - baseline_failure_share - kOutlierExcess;
  }
  bool is_outlier(const ServerState& s) const {
    return !is_origin(s) && excess_failure_share(s) > 0;
  }
  double outlier_fraction(const ServerState& s) const {
    return std::clamp(1 - excess_failure_share(s) / (kOutlierMaxExcess - kOutlierExcess), 0.0, 1.0);
  }

  /// According to its last report, if recent.
  bool is_busy(const ServerState& s) const {
    return s.utilization >= kBusyUtilization && now - s.report_at < kUtilizationValidFor;
  }

  void record_failure_share(ServerState& s, bool failed, double own_share = 1) {
    s.failure_share = current_failure_share(s);
    s.failure_share_at = now;
    double gain = kFailureShareGain * (failed ? own_share : 1);
    s.failure_share += gain * (failed - s.failure_share);
  }

  /// `own_share`: the share of the latency that is the server's and not the origin's, 0 to 1.
  void record_latency(ServerState& s, int class_index, Micros latency, bool ok, double own_share) {
    ClassState& c = classes[class_index];
    double value = std::max<double>(1, static_cast<double>(latency));
    double log_value = std::log(value);
    if (c.samples == 0) c.mean_log_latency = log_value, c.latency_quantile = value * 2;
    c.samples = std::min(c.samples + 1, 200.0);
    double gain = std::max(1 / c.samples, 0.02);
    if (ok) {
      mean_log_latency += (mean_log_latency == 0 ? 1 : 0.03) * (log_value - mean_log_latency);
      c.mean_log_latency += gain * (log_value - c.mean_log_latency);
      c.latency_quantile *=
          std::exp((value > c.latency_quantile ? kTimeoutQuantile : kTimeoutQuantile - 1) *
                   std::max(gain, 0.05));
    }
    double remaining = decay(s.latency_at, kLatencyRatioHalfLife);
    s.log_latency_ratio *= remaining, s.latency_samples *= remaining;
    s.log_latency_ratio +=
        own_share * kLatencyRatioGain * (log_value - c.mean_log_latency - s.log_latency_ratio);
    s.latency_samples += own_share;
    s.latency_at = now;
  }

  void record_success(ServerState& s) {
    if (s.ramp_start > 0 && now - s.ramp_start > kRampTime) s.ramp_start = 0, s.times_down = 0;
    s.suspicion = 0;
  }

  /// A failure counts against the server only as far as it is unusual. When a stopped origin makes
  /// every server fail, or overload makes all of them late, one more failure says next to nothing.
  /// The weight is the log-likelihood ratio of down to up, in units of a failure at the baseline
  /// rate.
  void record_failure(ServerState& s, double weight, double usual_rate) {
    weight *= std::log(std::max(usual_rate, kBaselineFailureRate)) / std::log(kBaselineFailureRate);
    s.suspicion *= decay(s.suspicion_at, kSuspicionHalfLife);
    s.suspicion += weight;
    s.suspicion_at = now;
    if (s.suspicion < kDownSuspicion || now < s.down_until) return;
    Micros down_time = std::min(kMaxDownTime, kFirstDownTime << std::min(s.times_down, 5));
    s.down_until =
        now + static_cast<Micros>(static_cast<double>(down_time) * (0.75 + 0.5 * random()));
    s.ramp_start = s.down_until;  // ramps up from there
    s.times_down = std::min(s.times_down + 1, 8);
    s.suspicion = kDownSuspicion - 1;  // one failed trial suffices
    refreshed_at = -1;
  }

  /// Counts an attempt that has been in flight far longer than usual.
  void record_stall(Attempt& a, double weight) {
    ServerState& s = servers[a.server];
    if (!a.stalled && !is_busy(s)) record_failure_share(s, true, weight * server_share(a));
    a.stalled = true;
    if (!is_outlier(s)) update_rate(late_rate, true);
    record_failure(s, weight * server_share(a), late_rate);
  }

  /// Whether its client had so little time that an attempt without an answer says nothing about the
  /// server or its load.
  bool had_little_time(const OpenRequest& o) const {
    return static_cast<double>(o.request.remaining) <
           kLittleTimeShare * static_cast<double>(attempt_timeout(o));
  }

  /// An attempt that was not sent before a client's little time was over tells nothing of whether
  /// its server can be reached.
  Status judged_status(const OpenRequest& o, Status status) const {
    return status == Status::ConnectFailed && had_little_time(o) ? Status::NotSent : status;
  }

  /// A client may give up before the attempt timeout: an attempt in flight longer than the latency
  /// quantile counts half. Otherwise clients with short deadlines would never reveal a silent
  /// server.
  void record_abandoned(const OpenRequest& o, Attempt& a) {
    double elapsed = static_cast<double>(now - a.sent_at) / static_cast<double>(attempt_timeout(o));
    if (elapsed > 1 / kTimeoutFactor) record_stall(a, elapsed > 1 ? 1 : 0.5);
  }

  /// The share of a lost attempt that is attributed to its server: when fetches are lost at all
  /// servers, one more says little about this one.
  double server_share(const Attempt& a) const {
    return 1 - a.fetch_weight * attempt_limits.fetch_loss_share();
  }

  /// The fraction of its keys that a server gives up because of rejections. Each success restores a
  /// part; with decay over time alone, a busy server that rejected one in twenty requests lost
  /// nearly all keys. It also decays over time, for servers that get few requests.
  double current_rejection_cut(const ServerState& s) const {
    return s.rejection_cut * decay(s.rejection_cut_at, kRejectionCutHalfLife);
  }

  void record_rejection(ServerState& s) {
    if (s.utilization >= 0 && s.utilization < kBusyUtilization) {
      record_failure_share(s, true);
      return;
    }
    double cut = current_rejection_cut(s);
    s.rejection_cut = cut + (1 - cut) * kRejectionCutStep * std::max(0.0, 1 - 4 * rejected_rate);
    s.rejection_cut_at = now;
  }

  void record_report(ServerState& s, const std::vector<double>& report) {
    if (report.empty()) return;
    double heat = 0;
    for (std::size_t k = 0; k < report.size() && k < settings.report_fields.size(); ++k) {
      double value = report[k];
      if (!std::isfinite(value)) continue;
      if (settings.report_fields[k] == ReportField::Utilization) {
        s.utilization = value;
        mean_utilization += 0.03 * (value - mean_utilization);
        // Relative to the fleet: if every hot server shed load, nearly every key would move and
        // miss.
        heat = std::max(
            heat, (value - std::max(kHotUtilization, mean_utilization + kHotUtilizationMargin)) /
                      (1 - kHotUtilization));
      } else if (settings.report_fields[k] == ReportField::Queue) {
        mean_queue += 0.03 * (value - mean_queue);
        heat = std::max(heat, std::min(2.0, (value - 2 - 2 * mean_queue) / (2 + mean_queue)));
      }
    }
    // A server that gave up most of its keys reports rarely, so its recovery depends on elapsed
    // time.
    double elapsed_s = static_cast<double>(now - s.report_at) / kSecond;
    s.report_at = now;
    s.load_fraction *=
        std::exp(heat > 0 ? -kHotShedRate * heat * std::min(1.0, elapsed_s)
                          : kLoadRecoveryRate * std::min(kMaxReportSpanSeconds, elapsed_s));
    s.load_fraction = std::clamp(s.load_fraction, kHotMinLoadFraction, 1.0);
  }

  // ---- admission ----
  double rate_decay() const {
    return std::exp(-static_cast<double>(now - rates_at) / (kRateDecaySeconds * kSecond));
  }

  double rate_per_second(double sum) const {
    double span =
        std::max(0.2, std::min(kRateDecaySeconds, static_cast<double>(now - started_at) / kSecond));
    return sum * rate_decay() / span;
  }
  double sent_rate() const { return rate_per_second(sent_sum); }  // refused requests load no server

  /// The rate that this router would send if nothing were refused. A router that restarts with only
  /// cold servers has sent nothing, and by its sent rate could never start. So while it is new, the
  /// rate counts clients' first tries up to its share of the quotas; later, requests that were not
  /// sent are load that the fleet cannot handle.
  double expected_rate() const {
    if (static_cast<double>(now - started_at) > 2 * kRateDecaySeconds * kSecond) return sent_rate();
    double quota = 0;
    for (const TenantSettings& t : settings.tenants) quota += t.quota_per_s / settings.routers;
    return std::max(sent_rate(), std::min(rate_per_second(first_try_sum), quota));
  }

  double relative_cost(const OpenRequest& o) const {
    if (!o.request.work ||
        mean_work <= 0) {  // no expected work given: use the class's mean latency
      const ClassState& c = classes[o.class_index];
      return c.samples < 5 ? 1
                           : std::clamp(std::exp(c.mean_log_latency - mean_log_latency), 0.2, 5.0);
    }
    return std::clamp(static_cast<double>(*o.request.work) / mean_work, 0.2, 5.0);
  }

  /// Whether admission sheds the request.
  bool should_shed(OpenRequest& o) {
    const ClassSettings& c = settings.classes[o.class_index];
    // A retry that can no longer meet the objective.
    bool late = now - o.first_try_at >= c.latency_objective;
    double value =
        (late ? c.late_worth : c.worth) / (settings.worth_by_work ? 1 : relative_cost(o));
    // Only of requests that can still be in time: compared with late ones all others look alike.
    if (!late) mean_worth += (mean_worth <= 0 ? 1 : 0.02) * (value - mean_worth);
    double over_share = 0;
    for (std::size_t t = 0; t < settings.tenants.size(); ++t) {
      if (settings.tenants[t].name != o.request.tenant || settings.tenants[t].quota_per_s <= 0)
        continue;
      double quota = settings.tenants[t].quota_per_s / std::max(1, settings.routers);
      over_share = std::max(
          0.0, 1 - quota * kRateDecaySeconds / std::max(1e-9, tenant_rates[t] * rate_decay()));
    }
    o.admission = {.request_hash = request_hash(o),
                   .cached = o.cached,
                   .popular = o.key_count >= kPopularKeyCount,
                   .write = o.request.write,
                   .late = late,
                   .value = mean_worth > 0 ? value / mean_worth : 1,
                   .over_share = over_share,
                   .remaining = o.request.remaining,
                   .latency_objective = c.latency_objective};
    return !attempt_limits.admits(now, o.admission);
  }

  void decay_rates() {
    if (rates_at == now) return;
    double factor = rate_decay();
    sent_sum *= factor, first_try_sum *= factor;
    for (double& rate : tenant_rates) rate *= factor;
    rates_at = now;
  }

  void count_arrival(const OpenRequest& o) {
    decay_rates();
    if (o.request.work) {
      double work = static_cast<double>(*o.request.work);
      mean_work += (mean_work <= 0 ? 1 : 0.02) * (work - mean_work);
    }
    if (o.first_try_at != o.arrived_at) return;
    attempt_limits.earn_tokens();
    first_try_sum += relative_cost(o);
  }

  // ---- attempts ----
  bool was_tried(const OpenRequest& o, int server) const {
    return std::any_of(o.attempts.begin(), o.attempts.end(),
                       [&](const Attempt& a) { return a.server == server; });
  }
  bool any_in_flight(const OpenRequest& o) const {
    return std::any_of(o.attempts.begin(), o.attempts.end(),
                       [](const Attempt& a) { return a.run_state == RunState::InFlight; });
  }
  bool may_have_run(const OpenRequest& o) const {
    return std::any_of(o.attempts.begin(), o.attempts.end(),
                       [](const Attempt& a) { return a.run_state != RunState::NotRun; });
  }

  Effect effect_of(const OpenRequest& o) const {
    Effect effect = settings.classes[o.class_index].effect;
    return effect == Effect::Keyed && o.request.lacks_idempotency_key ? Effect::Once : effect;
  }

  /// Whether a further attempt at `server` is allowed: no unsafe repeats, no server that is
  /// leaving.
  bool may_send(const OpenRequest& o, int server) const {
    const ServerState& to = servers[server];
    if (!usable(to) || static_cast<int>(o.attempts.size()) >= settings.max_attempts) return false;
    if (!settings.may_hedge && any_in_flight(o)) return false;
    const ClassSettings& c = settings.classes[o.class_index];
    if (effect_of(o) == Effect::Repeatable) return true;
    // Earlier tries of the write count as well.
    if (const recovery::KeyedWrites::FirstSend* first =
            o.write_hash ? keyed_writes.first_send(o.write_hash) : nullptr)
      if (!recovery::KeyedWrites::is_deduplicated(c, *first, now + 2 * settings.tick, to.entry))
        return false;
    for (const Attempt& a : o.attempts) {
      if (a.run_state == RunState::NotRun) continue;
      if (effect_of(o) == Effect::Once) return false;
      if (now + 2 * settings.tick >= a.sent_at + c.key_ttl) return false;
      const Server& from = servers[a.server].entry;
      if (c.group == Group::Zone && from.zone != to.entry.zone) return false;
      if (c.group == Group::Cell && (from.cell < 0 || from.cell != to.entry.cell)) return false;
    }
    return true;
  }

  /// Until when an attempt of a Keyed write may be written, by the attempts before it that may have
  /// run; none if there are none.
  std::optional<Micros> key_window_end(const OpenRequest& o) const {
    if (effect_of(o) != Effect::Keyed) return std::nullopt;
    std::optional<Micros> first;
    if (const auto* known = o.write_hash ? keyed_writes.first_send(o.write_hash) : nullptr)
      first = known->sent_at;
    for (const Attempt& a : o.attempts)
      if (a.run_state != RunState::NotRun && (!first || a.sent_at < *first)) first = a.sent_at;
    if (!first) return std::nullopt;
    return *first + settings.classes[o.class_index].key_ttl - 2 * settings.tick;
  }

  bool may_refuse(const OpenRequest& o) const {
    const ClassSettings& c = settings.classes[o.class_index];
    const recovery::KeyedWrites::FirstSend* first =
        o.write_hash ? keyed_writes.first_send(o.write_hash) : nullptr;
    if (effect_of(o) == Effect::Repeatable || !(first || may_have_run(o))) return true;
    if (first && now + 2 * settings.tick >= first->sent_at + c.key_ttl)
      return false;  // a retry might run it again
    return effect_of(o) == Effect::Keyed && c.group == Group::All;
  }

  /// What an attempt's end says about load.
  limits::Evidence evidence(const OpenRequest& o, const Attempt& a, Status status,
                            bool answering) const {
    if (status == Status::Ok) return limits::Evidence::Good;
    if (answering) return limits::Evidence::None;
    bool lost = status == Status::Error || (status == Status::Timeout && !had_little_time(o)) ||
                (status == Status::Cancelled && a.overdue);
    return lost ? limits::Evidence::Bad : limits::Evidence::None;
  }

  void add_timer(Micros delay, RequestId id, TimerKind kind) {
    actions.push_back(Timer{std::max<Micros>(delay, 1), id << 2 | kind});
  }

  /// The same for all tries of one client's request.
  std::uint64_t request_hash(const OpenRequest& o) const {
    return mix(o.key_hash ^ hash_name(o.request.tenant) ^
               static_cast<std::uint64_t>(o.class_index));
  }

  /// Closes a request without an answer; its client may retry.
  void close_unserved(OpenRequest& o) {
    o.closed = true;
    attempt_limits.retry_detector().record_unserved(request_hash(o), o.first_try_at);
  }

  void refuse_or_fail(OpenRequest& o) {
    if (o.closed) return;
    close_unserved(o);
    if (!o.attempts.empty()) ++failed_after_attempts;
    // An attempt that did not run says nothing about where the key is held.
    if (may_have_run(o)) record_key_cached(o, false);
    double chance = position_in_slot(mix(o.request.id));
    Micros retry_after = attempt_limits.retry_after(now, chance);
    // Nothing can be served before the list arrives.
    if (settings.poll_list && !discovery_backoff.usable())
      retry_after =
          std::clamp(discovery_backoff.list_wait(polling ? 0 : next_poll_at - now, chance),
                     retry_after, settings.max_retry_after);
    if (may_refuse(o))
      actions.push_back(Refuse{o.request.id, retry_after});
    else
      actions.push_back(Fail{o.request.id});
    cancel_in_flight(o);
  }

  void cancel_in_flight(const OpenRequest& o, int except = -1) {
    if (!settings.may_cancel) return;
    for (std::size_t k = 0; k < o.attempts.size(); ++k)
      if (o.attempts[k].run_state == RunState::InFlight && static_cast<int>(k) != except)
        actions.push_back(Cancel{o.request.id, static_cast<int>(k)});
  }

  void erase_if_done(RequestId id) {
    auto it = open_requests.find(id);
    if (it == open_requests.end() || !it->second.closed || any_in_flight(it->second)) return;
    for (const Attempt& a : it->second.attempts) --servers[a.server].attempt_refs;
    open_requests.erase(it);
  }

  Micros attempt_timeout(const OpenRequest& o) const {
    const ClassState& c = classes[o.class_index];
    double usual = c.samples > 0
                       ? c.latency_quantile
                       : static_cast<double>(settings.classes[o.class_index].latency_objective) / 2;
    return static_cast<Micros>(
        std::max(kTimeoutFactor * usual, 4.0 * static_cast<double>(settings.tick)));
  }

  /// Cache-aside mode: writes and reads that missed go to the origin.
  bool goes_to_origin(const OpenRequest& o) const {
    return settings.cache_aside && !settings.origin_kind.empty() && (o.request.write || o.missed);
  }

  /// The origin has no slots: picks its usable server with the fewest attempts in flight.
  bool send_to_origin(OpenRequest& o) {
    int best = -1;
    for (const auto& [id, i] : server_index)
      if (is_origin(servers[i]) && may_send(o, i) &&
          (best < 0 || servers[i].in_flight < servers[best].in_flight))
        best = i;
    if (best < 0) return false;
    dispatch(o, best, 0);
    return true;
  }

  /// Sends the next attempt along the request's walk; false when no server may take it.
  bool send_attempt(OpenRequest& o) {
    refresh_fleet_state();
    if (goes_to_origin(o)) return send_to_origin(o);
    bool first = o.attempts.empty();
    bool prefer_own_zone = false;
    SavedSeed* saved_seed =
        first && !o.request.key.empty() ? &advance_saved_seed(o.key_hash) : nullptr;
    if (first) o.seed = saved_seed ? saved_seed->seed : mix(rng = mix(rng + 1));
    if (settings.cross_zone_charge > 0 && zone_affinity > 0)
      prefer_own_zone = first ? justifies_zone_replica(o.key_count) : true;
    Landing landing = walk(o.seed, o, prefer_own_zone);
    if (landing.server < 0 && prefer_own_zone) landing = walk(o.seed, o, false);
    if (landing.server < 0) return false;
    o.seed = landing.seed;
    if (first)  // only admitted requests use the quota, since clients retry those that are refused
      for (std::size_t t = 0; t < settings.tenants.size(); ++t)
        tenant_rates[t] += settings.tenants[t].name == o.request.tenant;
    if (saved_seed) {
      if (saved_seed->landings++ == 0) saved_seed->home_server = landing.server;
      saved_seed->seed = landing.seed;
    }
    dispatch(o, landing.server, landing.fetch_weight);
    return true;
  }

  void dispatch(OpenRequest& o, int server, double fetch_weight) {
    ServerState& s = servers[server];
    const std::optional<Micros> window_end = key_window_end(o);
    if (!o.attempts.empty()) ++(any_in_flight(o) ? hedges : retries);
    trials += s.ramp_start > 0 && s.suspicion > 0;
    o.attempts.push_back({server, now});
    o.attempts.back().fetch_weight = fetch_weight;
    if (o.write_hash) keyed_writes.record_send(now, o.write_hash, s.entry);
    s.window->record_send(now, 1);
    attempt_limits.record_send(now, o.attempts.back().fetch_weight);
    ++s.in_flight, ++s.attempt_refs, ++total_in_flight;
    decay_rates();
    sent_sum += relative_cost(o);
    if (is_cold(s)) s.slow_start.record_send(relative_cost(o));
    Micros time_left = o.deadline - now;
    Micros timeout = attempt_timeout(o);
    bool may_follow = static_cast<int>(o.attempts.size()) < settings.max_attempts &&
                      effect_of(o) != Effect::Once && !settings.classes[o.class_index].streamed;
    Micros send_timeout = 0;
    if (may_follow && timeout * 3 / 2 < time_left &&
        !is_origin(s)) {  // attempts at the origin are not hedged
      if (settings.may_hedge)
        add_timer(timeout, o.request.id, kHedgeTimer);
      else
        send_timeout = timeout;
    }
    Micros valid_for = window_end ? std::max<Micros>(1, *window_end - now) : 0;
    actions.push_back(Send{o.request.id, s.entry.id, send_timeout, valid_for});
  }

  void retry_or_finish(OpenRequest& o, Status status) {
    if (o.closed || any_in_flight(o)) return;
    bool broken = status == Status::ConnectFailed || status == Status::Reset ||
                  status == Status::Malformed || status == Status::ConnectionLimit;
    const ServerState& last = servers[o.attempts.back().server];
    broken |= is_outlier(last);  // the fault is only that server's
    limits::RetryCause cause = broken ? limits::RetryCause::Broken
                               : status == Status::Rejected || status == Status::NotSent
                                   ? limits::RetryCause::NotRun
                                   : limits::RetryCause::Load;
    bool time_left = o.deadline - now > 2 * settings.tick;
    // No other server has it either.
    if (status == Status::Miss && is_origin(last)) return refuse_or_fail(o);
    // Not a failure: costs no tokens.
    if (status == Status::Miss && time_left && send_attempt(o)) return;
    // A failed fetch ends in an error, and another server would only fetch from the origin again,
    // which keeps it overloaded. While errors are rare a further attempt costs little and often
    // succeeds, so one error in a router's first three attempts must not deny it. A high error rate
    // or a lack of fetch capacity does.
    bool futile =
        status == Status::Error && !broken &&
        (error_rate > kMaxErrorRateForRetry || !attempt_limits.may_spill(now, o.admission));
    // While requests are shed nothing is retried: a retry would take the place of a first try.
    // Broken connections, malformed answers and faulty servers are no sign of load; the tokens
    // bound their retries.
    futile |=
        !broken && (attempt_limits.is_shedding(now) ||
                    !attempt_limits.has_capacity(now, attempt_limits.fetch_weight(o.admission)));
    if (!futile && time_left && attempt_limits.spend_retry(cause) && send_attempt(o)) return;
    refuse_or_fail(o);
  }

  // ---- list ----
  void record_restart_sample(int source, bool trouble) {
    tier_restart.record_sample(now, source, trouble);
    if (tier_restart.take_alone_verdict()) attempt_limits.release_withheld_budget();
  }

  void schedule_poll(Micros delay) {
    next_poll_at = now + delay;
    add_timer(delay, ++poll_token, kPollTimer);
  }

  void on_list_failure() {
    watching = polling = false;
    record_restart_sample(recovery::TierRestartDetector::kDiscoverySource, true);
    schedule_poll(discovery_backoff.delay_after_failure(random()));
  }

  /// A server of an unconfirmed list cannot be reached: the list may be out of date.
  void record_unreachable(int server) {
    if (!settings.poll_list || watching || polling || !discovery_backoff.record_unreachable(server))
      return;
    discovery_backoff.set_usable(false);
    schedule_poll(discovery_backoff.first_delay(random()));
  }

  void apply_entry(const Server& entry) {
    auto it = server_index.find(entry.id);
    if (it == server_index.end()) {
      if (entry.health == Health::Gone) return;
      if (free_indices.empty())
        free_indices.push_back(static_cast<int>(servers.size())), servers.emplace_back();
      servers[free_indices.back()].window = attempt_limits.make_server_limit();
      it = server_index.emplace(entry.id, free_indices.back()).first;
      free_indices.pop_back();
    }
    ServerState& s = servers[it->second];
    bool restarted = entry.up_since != s.entry.up_since || !s.present;
    Server previous = std::move(s.entry);
    s.entry = entry;
    if (!std::isfinite(entry.weight) || entry.weight < 0) s.entry.weight = 1;
    if (entry.health == Health::Gone && entry.zone.empty())
      s.entry.zone = previous.zone, s.entry.cell = previous.cell;
    s.present = entry.health != Health::Gone;
    if (restarted && s.present) {  // a new process: the old one's faults do not count
      s.suspicion = 0, s.times_down = 0, s.down_until = 0, s.ramp_start = 0;
      s.log_latency_ratio = 0, s.latency_samples = 0, s.load_fraction = 1, s.rejection_cut = 0,
      s.failure_share = 0;
      s.slow_start.reset(now, random());
      s.window->reset();
    }
  }

  /// Erases servers that are gone and were not used by any open request. Ids are always new, so the
  /// state would grow without bound; open requests need the server's entry to judge what an attempt
  /// there may have done.
  void erase_gone_servers() {
    for (auto it = server_index.begin(); it != server_index.end();) {
      int i = it->second;
      if (servers[i].present || servers[i].attempt_refs > 0) {
        ++it;
        continue;
      }
      servers[i] = ServerState();
      attempt_limits.forget_server(static_cast<std::size_t>(i));
      free_indices.push_back(i);
      for (auto& [name, s] : saved_seeds)
        if (s.home_server == i) s.home_server = -1;
      it = server_index.erase(it);
    }
    std::set<std::string> kinds;
    for (const auto& [id, i] : server_index) kinds.insert(servers[i].entry.kind);
    kind_speeds.retain_kinds(kinds);
  }

  void begin_event(Micros t) {
    now = std::max(now, t);
    actions.clear();
  }
};

Balancer::Balancer(const Settings& settings, std::uint64_t seed, Micros now,
                   const limits::LimitFactory& rules)
    : impl_(std::make_unique<Impl>(settings, rules)) {
  Impl& m = *impl_;
  limits::check_settings(settings);
  m.rng = mix(seed);
  m.tier_restart = recovery::TierRestartDetector(settings.routers, now);
  m.now = m.started_at = m.rates_at = m.generation_start = now;
  m.classes.resize(settings.classes.size());
  m.tenant_rates.resize(settings.tenants.size());
}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

Actions Balancer::start(Micros now) {
  Impl& m = *impl_;
  m.begin_event(now);
  m.discovery_backoff.set_usable(true);  // until the persisted list has been read
  if (m.settings.poll_list) m.schedule_poll(m.discovery_backoff.first_delay(m.random()));
  return std::move(m.actions);
}

Actions Balancer::on_list(Micros now, ListScope scope, const std::vector<Server>& entries) {
  Impl& m = *impl_;
  m.begin_event(now);
  if (scope == ListScope::Failed) {
    m.on_list_failure();
    return std::move(m.actions);
  }
  bool unconfirmed = scope == ListScope::Cached || scope == ListScope::Unverified;
  if (!unconfirmed) m.attempt_limits.confirm_list();
  if (!unconfirmed && m.polling)
    m.polling = false, m.watching = true, m.discovery_backoff.record_list();
  if (scope != ListScope::Delta) {
    std::map<std::string, bool> listed;
    for (const Server& e : entries) listed[e.id] = true;
    for (auto& [id, i] : m.server_index)
      if (!listed.count(id)) m.servers[i].present = false, m.servers[i].entry.health = Health::Gone;
  }
  for (const Server& e : entries) m.apply_entry(e);
  m.erase_gone_servers();
  if (!unconfirmed) {
    auto count_servers = [&](auto test) {
      return static_cast<int>(std::count_if(m.servers.begin(), m.servers.end(), test));
    };
    m.tier_restart.record_list(
        m.now, count_servers([&](const auto& s) { return m.usable(s); }),
        count_servers([&](const auto& s) { return m.usable(s) && m.is_cold(s); }));
  }
  m.assign_slots();
  m.discovery_backoff.set_usable(std::any_of(
      m.servers.begin(), m.servers.end(), [&](const Impl::ServerState& s) { return m.usable(s); }));
  bool usable = m.discovery_backoff.usable();
  if (scope == ListScope::Unverified) m.discovery_backoff.set_usable(false);
  if (unconfirmed && m.settings.poll_list && !m.discovery_backoff.usable())
    m.schedule_poll(m.discovery_backoff.first_delay(m.random()));
  m.discovery_backoff.set_usable(usable);
  return std::move(m.actions);
}

Actions Balancer::on_request(Micros now, const Request& request) {
  Impl& m = *impl_;
  m.begin_event(now);
  auto [it, inserted] = m.open_requests.try_emplace(request.id);
  if (!inserted) return {};
  Impl::OpenRequest& o = it->second;
  o.request = request;
  for (std::size_t k = 0; k < m.settings.classes.size(); ++k)
    if (m.settings.classes[k].name == request.class_name) o.class_index = static_cast<int>(k);
  o.arrived_at = m.now;
  o.deadline = m.now + std::max<Micros>(0, request.remaining);
  o.key_hash = hash_name(request.key);
  if (request.write && m.effect_of(o) == Effect::Keyed && !request.idempotency_key.empty()) {
    m.keyed_writes.expire(m.now);
    o.write_hash =
        mix(hash_name(request.idempotency_key) + static_cast<std::uint64_t>(o.class_index));
    // Its first try may have gone to another router, or to this one before a restart.
    if (request.retry)
      m.keyed_writes.presume_sent(m.now, o.write_hash, m.settings.classes[o.class_index].deadline);
  }
  o.first_try_at = m.attempt_limits.retry_detector().take_first_try(
      m.now, m.request_hash(o), m.settings.classes[o.class_index].deadline);
  m.count_arrival(o);
  if (!request.key.empty()) m.count_key(o);
  bool shed = m.should_shed(o);
  if (shed || !m.send_attempt(o)) {
    ++(shed ? m.shed : m.unroutable);
    m.refuse_or_fail(o);
    m.erase_if_done(request.id);
    return std::move(m.actions);
  }
  // The last moment for the router's own answer, slightly before the client gives up.
  m.add_timer(request.remaining - 2 * m.settings.tick, request.id, kDeadlineTimer);
  return std::move(m.actions);
}

Actions Balancer::on_answer_start(Micros now, RequestId id, const std::string& server, int attempt,
                                  Micros) {
  Impl& m = *impl_;
  m.begin_event(now);
  auto it = m.open_requests.find(id);
  auto at = m.server_index.find(server);
  if (it == m.open_requests.end() || at == m.server_index.end() || attempt < 0) return {};
  Impl::OpenRequest& o = it->second;
  m.record_success(m.servers[at->second]);
  // The answer streams to the client from here on: no deadline, no further attempts.
  o.closed = true;
  m.cancel_in_flight(o, attempt);
  return std::move(m.actions);
}

Actions Balancer::on_outcome(Micros now, const Outcome& r) {
  Impl& m = *impl_;
  m.begin_event(now);
  auto it = m.open_requests.find(r.id);
  if (it == m.open_requests.end()) return {};
  Impl::OpenRequest& o = it->second;
  if (r.attempt < 0 || r.attempt >= static_cast<int>(o.attempts.size())) return {};
  Impl::Attempt& a = o.attempts[r.attempt];
  if (a.run_state != Impl::RunState::InFlight) return {};
  const Status status = m.judged_status(o, r.status);
  Impl::ServerState& s = m.servers[a.server];
  --s.in_flight, --m.total_in_flight;
  bool not_run = status == Status::Rejected || status == Status::ConnectFailed ||
                 status == Status::NotSent || status == Status::Miss ||
                 status == Status::ConnectionLimit;
  a.run_state = not_run ? Impl::RunState::NotRun : Impl::RunState::MayHaveRun;
  if (not_run && o.write_hash) m.keyed_writes.record_not_run(o.write_hash);
  bool no_capacity = status == Status::Rejected || status == Status::ConnectionLimit;
  if (no_capacity || status == Status::Ok) m.record_restart_sample(a.server, no_capacity);
  m.record_report(s, r.report);
  // Rejections and silence are judged together with the server's utilization.
  if (status == Status::Rejected)
    m.record_rejection(s);
  else if (status == Status::Timeout && m.had_little_time(o))
    m.record_abandoned(o, a);
  else if (status == Status::Timeout)
    m.record_stall(a, 1);
  else if (status == Status::Cancelled && r.paused &&
           m.now - a.sent_at >= m.settings.classes[o.class_index].latency_objective)
    m.record_abandoned(o, a);  // any sooner, the client's short deadline is the cause
  else if (status != Status::Cancelled && status != Status::NotSent &&
           status != Status::ConnectionLimit && !a.stalled)
    m.record_failure_share(s, status != Status::Ok && status != Status::Miss, m.server_share(a));
  // A latency longer than the client waited comes from a clock step or a process pause.
  Micros latency = std::min(r.latency, std::max<Micros>(o.request.remaining, m.settings.tick));
  limits::Evidence load = m.evidence(o, a, status, r.answering);
  m.attempt_limits.record_end(m.now, a.sent_at, static_cast<std::size_t>(a.server), a.fetch_weight,
                              load, m.is_outlier(s) || s.suspicion >= kServerFaultSuspicion,
                              latency, r.cache_result, o.admission);
  // The origin's part of a fetch says nothing about the server's own queue.
  if (status == Status::Rejected && s.utilization >= kBusyUtilization)
    load = limits::Evidence::Bad;
  else if (load == limits::Evidence::Bad || r.cache_result > 1 || o.request.write)
    load = limits::Evidence::None;
  s.window->record_end(
      m.now, a.sent_at, 1, load, static_cast<double>(latency) / m.relative_cost(o),
      static_cast<double>(m.settings.classes[o.class_index].latency_objective) / 2);
  // An outlier's failures say nothing about the fleet.
  if (status == Status::Ok || (status != Status::ConnectionLimit && !m.is_outlier(s))) {
    update_rate(m.error_rate, status == Status::Error);
    if (status == Status::Ok) update_rate(m.late_rate, false);
    update_rate(m.rejected_rate, status == Status::Rejected);
    update_rate(m.malformed_rate, status == Status::Malformed);
    update_rate(m.unreachable_rate, status == Status::ConnectFailed || status == Status::Reset);
  }
  switch (status) {
    case Status::Ok:
      m.record_success(s);
      s.rejection_cut *= 1 - kRejectionCutRelease;
      if (!m.is_origin(s)) m.record_latency(s, o.class_index, latency, true, r.cache_result <= 1);
      if (!m.is_origin(s) && r.cache_result <= 1 && o.request.work)
        m.kind_speeds.record_answer(s.entry.kind, *o.request.work, latency);
      break;
    case Status::Miss:
      m.record_success(s);
      o.missed = true;
      break;
    case Status::Timeout:
      if (!m.had_little_time(o))
        m.record_latency(s, o.class_index, latency, false, m.server_share(a));
      break;
    case Status::Error:
      m.record_failure(s, 0.5, m.error_rate);
      break;
    case Status::ConnectFailed:
      m.record_unreachable(a.server);
      [[fallthrough]];
    case Status::Reset:
      m.record_failure(s, 1, m.unreachable_rate);
      break;
    // It does answer: less evidence than silence, and little where all servers do it.
    case Status::Malformed:
      m.record_failure(s, 0.5, m.malformed_rate);
      break;
    case Status::Rejected:         // overloaded or faulty, but not down
    case Status::ConnectionLimit:  // filled by other routers' connections
    case Status::Cancelled:
    case Status::NotSent:
      break;
  }
  if (!o.closed && status == Status::Ok) m.record_key_cached(o, true);
  if (r.finished) {
    if (!o.closed) m.cancel_in_flight(o);
    o.closed = true;
  } else if (r.paused) {
    o.paused_status = status;
  } else {
    m.retry_or_finish(o, status);
  }
  m.erase_if_done(r.id);
  return std::move(m.actions);
}

Actions Balancer::on_resume(Micros now, RequestId id) {
  Impl& m = *impl_;
  m.begin_event(now);
  auto it = m.open_requests.find(id);
  if (it == m.open_requests.end() || it->second.attempts.empty()) return {};
  m.retry_or_finish(it->second, it->second.paused_status);
  m.erase_if_done(id);
  return std::move(m.actions);
}

Actions Balancer::on_client_gone(Micros now, RequestId id) {
  Impl& m = *impl_;
  m.begin_event(now);
  auto it = m.open_requests.find(id);
  if (it == m.open_requests.end()) return {};
  if (!it->second.closed) {
    m.cancel_in_flight(it->second);
    m.close_unserved(it->second);
  }
  m.erase_if_done(id);
  return std::move(m.actions);
}

Actions Balancer::on_timer(Micros now, std::uint64_t token) {
  Impl& m = *impl_;
  m.begin_event(now);
  std::uint64_t kind = token & 3, id = token >> 2;
  if (kind == kPollTimer) {
    if (id != m.poll_token || m.watching) return {};
    m.polling = true;
    m.actions.push_back(WatchList{});
    // Polls again if no answer arrives.
    m.schedule_poll(m.discovery_backoff.silent_call_delay(m.random()));
    return std::move(m.actions);
  }
  auto it = m.open_requests.find(id);
  if (it == m.open_requests.end() || it->second.closed) return {};
  Impl::OpenRequest& o = it->second;
  if (kind == kDeadlineTimer) {
    for (Impl::Attempt& a : o.attempts) {
      if (a.run_state != Impl::RunState::InFlight) continue;
      a.overdue = !m.had_little_time(o);
      m.record_abandoned(o, a);
    }
    m.refuse_or_fail(o);
  } else if (kind == kHedgeTimer && !o.attempts.empty() &&
             o.attempts.back().run_state == Impl::RunState::InFlight &&
             m.now - o.attempts.back().sent_at >= m.attempt_timeout(o) / 2) {
    m.record_stall(o.attempts.back(), 0.5);
    if (!m.attempt_limits.is_shedding(m.now) &&
        m.attempt_limits.has_capacity(m.now, m.attempt_limits.fetch_weight(o.admission)) &&
        m.attempt_limits.spend_hedge())
      m.send_attempt(o);
  }
  m.erase_if_done(id);
  return std::move(m.actions);
}

Actions Balancer::on_probe_result(Micros now, const std::string& server, Status status, Micros,
                                  const std::vector<double>& report) {
  Impl& m = *impl_;
  m.begin_event(now);
  auto at = m.server_index.find(server);
  if (at == m.server_index.end()) return {};
  if (status == Status::Ok) m.record_report(m.servers[at->second], report);
  return {};
}

Balancer::Stats Balancer::stats() const {
  const Impl& m = *impl_;
  Stats s;
  s.open_requests = m.open_requests.size();
  s.saved_seeds = m.saved_seeds.size();
  s.tracked_keys = m.key_counts[0].size() + m.key_counts[1].size();
  s.servers = m.server_index.size();
  s.draws = m.draws;
  s.shed = m.shed, s.unroutable = m.unroutable, s.failed_after_attempts = m.failed_after_attempts;
  s.retries = m.retries, s.hedges = m.hedges, s.trials = m.trials;
  s.uncached_shed_share = m.attempt_limits.shed_share(m.now, false),
  s.cached_shed_share = m.attempt_limits.shed_share(m.now, true);
  s.fetch_limit = m.attempt_limits.fetch_limit().limit(),
  s.fetches_in_flight = m.attempt_limits.fetch_limit().in_flight();
  s.late_rate = m.late_rate, s.error_rate = m.error_rate, s.rejected_rate = m.rejected_rate,
  s.unreachable_rate = m.unreachable_rate;
  s.malformed_rate = m.malformed_rate;
  s.utilization = m.mean_utilization;
  s.live_servers = m.live_servers, s.zone_affinity = m.zone_affinity;
  s.restart_verdict = static_cast<int>(m.tier_restart.verdict());
  s.tracked_writes = m.keyed_writes.size(), s.evicted_writes = m.keyed_writes.evicted();
  return s;
}

std::string Balancer::home_server(const std::string& key) const {
  std::uint64_t seed = hash_name(key);
  int left = kMaxDraws;
  int i = impl_->draw_live_server(seed, left);
  return i < 0 ? std::string() : impl_->servers[i].entry.id;
}

double Balancer::live_fraction(const std::string& server) const {
  auto at = impl_->server_index.find(server);
  return at == impl_->server_index.end() ? 0 : impl_->live_fraction(impl_->servers[at->second]);
}

}  // namespace robinseam
