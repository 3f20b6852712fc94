// Every decision of robinseam, from top to bottom:
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
#include "limits/pace.hpp"
#include "limits/slow_start.hpp"
#include "recovery/asking.hpp"
#include "recovery/company.hpp"
#include "recovery/writes.hpp"
#include "robinseam/balancer.hpp"

namespace robinseam {
namespace {

using limits::hash_name, limits::mix, limits::next_draw;

// ---- tunables ----
constexpr Micros kSecond = 1'000'000;
// Segments. 2^15 slots with 32 for a unit of weight: about 1% of the interval for ten servers, 25%
// for 250.
constexpr int kSlotBits = 15;
constexpr int kSlots = 1 << kSlotBits;
constexpr int kSlotsPerUnit = 32;
constexpr double kMaxCoverage = 0.5;  // beyond, every server's slots are halved until they fit
constexpr int kMaxDraws = 20'000;  // draws of one walk; even one live server of 250 is found within
// Saved seeds. One key may load a server with this multiple of a fair share before it is spread.
constexpr double kKeyShare = 0.7;
// Requests of one key, in windows' worth of own traffic, behind each server it is spread over. With
// one, a chance pair of a rare key made a second copy, and the fetches of all those copies jammed
// origins.
constexpr double kWindows = 2;
constexpr double kCopyErrors = 0.02;  // errors over the fleet past which no hot server adds copies
constexpr int kMaxOverflow = 4;       // landings passed over because the server is at its limit
constexpr double kInFlightFactor =
    2.0;  // limit of own attempts out, in multiples of the mean server
constexpr double kInFlightFloor = 3.0;  // and never under this many
// Nearness: a key is kept in the own zone once a copy there saves more than it costs, in points of
// worth.
// Worth lost by one more copy, in requests: its miss, and what it adds to a jammed origin.
constexpr double kMissCost = 2.0;
// A kind of server is passed over for a request that a quicker kind serves in time by this much
// likelier, by the same part as foreign segments are: its keys' homes stay few.
constexpr double kPaceGain = 0.2;
// Cores busy up to this leave room to choose among servers, to keep near and to take the quick
// kind; from here on to 1 what is left is needed wherever it is.
constexpr double kFreeUtil = 0.5;
constexpr double kMaxNearPull = 0.9;  // the part of foreign segments a popular key passes over
constexpr std::size_t kMaxTracked =
    4096;  // keys counted per generation; bounds memory under a scan
constexpr Micros kGeneration = 10 * kSecond;
// Server health. A failure adds its weight; dead at the threshold, doubt halves every kDoubtHalf.
constexpr double kDeadAt = 2.0;
constexpr double kUsualFailure = 0.05;  // failures per attempt on a quiet day, at least
constexpr double kFailureGain = 0.04;   // weight of one attempt in the fleet's failure rates
constexpr double kDoubtHalf = 8.0 * kSecond;
constexpr Micros kDeadFirst = kSecond;  // the first time out of service
// Doubled up to this. With 8 s, half of a fleet that had been silent for 10 s was back 7 to 11 s
// after; a trial each 2 s costs next to nothing.
constexpr Micros kDeadMax = 2 * kSecond;
constexpr Micros kReturnRamp = 3 * kSecond;
constexpr double kReturnFrom = 0.2;
constexpr double kDoubtAll =
    0.7;  // more of the reachable servers judged dead than this: disbelieve
// Outliers. A server may answer some requests well and fail most: errors at once, silence, refusals
// as full over idle cores. Such a one is never dead, as each success clears its doubt, and a fleet
// in which half do it looks as if failures were usual. So each server's bad share is held against
// that of the fleet's better third, and what it exceeds that by costs it live part. It should cover
// any fault that single servers have and others don't, whatever form their failures take. It could
// hurt where a few servers bear the hottest keys at the edge of what they can do: those move and
// miss elsewhere. Where all fail alike nobody stands out.
constexpr double kBadGain = 0.15;           // weight of one attempt in a server's bad share
constexpr double kBadHalf = 3.0 * kSecond;  // it fades: an outlier is seldom asked
constexpr double kOutlierFrom = 0.3;        // excess that costs nothing yet: two failures' in a row
constexpr double kOutlierFull = 0.6;        // excess that leaves kOutlierFloor
// Less than what overload leaves to the good servers, or the outliers' part grows back while those
// bear it. Too little to judge by, so the return is left to kBadHalf.
constexpr double kOutlierFloor = 0.02;
// Full refusals and silence are a fault only over idle cores: else those who bear the outliers'
// part would be taken for outliers in turn, until all keys went to the last few servers.
constexpr double kBusyUtil = 0.75;
constexpr Micros kUtilHolds = kSecond / 2;  // a report; what fell silent while busy tells no more
constexpr double kSlowAlpha = 0.25;         // weight of one latency in a server's mean log ratio
constexpr double kSlowHalf = 8.0 * kSecond;
constexpr double kSlowFrom = 1.8;    // latency ratio from which a server counts as slow
constexpr double kLiveFloor = 0.06;  // a slow server keeps this part, so that it is still seen
constexpr double kHotFloor = 0.4;    // a hot one more: each swing of keys costs misses
constexpr double kHotUtil = 0.85;    // busy cores from which a report makes a server hot
constexpr double kHotMargin = 0.05;  // above the mean of the fleet
constexpr double kFullGives = 0.2;   // of the rest, given up for one refusal as full
constexpr double kFullEases = 0.05;  // of it, taken back for one success: what counts is the share
constexpr double kFullHalf = 15.0 * kSecond;
constexpr double kHotRate = 1.2;    // shedding per second and unit of heat, as exponent
constexpr double kCoolRate = 0.12;  // return per second, as exponent
constexpr double kCoolSpan = 2;     // seconds one report may stand for
// Cold servers get this multiple of their fair, cold-weighted share at most.
constexpr double kColdBudget = 1.3;
// And this part of what would push one over had warm servers been at the very edge of their
// capacity.
constexpr double kColdBorne = 0.5;
constexpr double kBorneGain = 0.02;  // of one refresh in what warm servers bear, about 5 s
// Attempts.
constexpr double kQuantile = 0.95;  // latency quantile that patience is built on
constexpr double kPatienceFactor = 2.0;
constexpr double kServerErrs = 0.9;  // doubt from which errors are laid at the server's door
constexpr double kFutileErrors =
    0.1;                         // errors per attempt over the fleet past which none is retried
constexpr int kWantedSeen = 3;   // a key seen this often lately is likely held
constexpr double kRateSpan = 5;  // seconds over which rates fade
constexpr Micros kRefresh = kSecond / 10;  // fleet-wide sums are renewed this often

int slot_of(std::uint64_t draw) { return static_cast<int>(draw >> (64 - kSlotBits)); }
/// Where within its slot a draw lands, 0 to 1.
double depth_of(std::uint64_t draw) {
  return static_cast<double>((draw >> 17) & 0xffffffffULL) / 4294967296.0;
}

/// One attempt more in a rate of failures.
void follow(double& rate, bool failed) { rate += kFailureGain * (failed - rate); }

enum TimerKind : std::uint64_t { kDeadlineTimer, kCopyTimer, kAskTimer };

}  // namespace

struct Balancer::Impl {
  // ---- state ----
  struct ServerState {
    Server listed;
    bool present = false;  // on the current list and ready or draining
    int in_flight = 0;     // own attempts out
    int kept = 0;          // attempts of open requests, also those that have ended
    double doubt = 0;      // weight of recent failures
    Micros doubt_at = 0;
    int strikes = 0;  // times judged dead without a success between
    Micros dead_until = 0;
    Micros returned_at = 0;  // start of the ramp after a dead spell; 0 = none
    double slow_log = 0;     // mean log of latency over the class's usual
    double slow_seen = 0;    // evidence behind it
    Micros slow_at = 0;
    double load_live = 1;  // live fraction by reported load
    double util = -1;      // as last reported; -1 = never
    double bad_share = 0;  // of recent attempts, fading
    Micros bad_at = 0;
    double crowded = 0;  // part given up for refusals as full
    Micros crowded_at = 0;
    Micros report_at = 0;
    limits::SlowStart slow_start;
    std::unique_ptr<limits::Rule> window;  // attempts out, whatever they are
  };
  enum class Ran { Out, Maybe, Never };
  struct Attempt {
    int server;
    Micros sent;
    Ran ran = Ran::Out;
    bool stalled = false;
    double fetch = 0;      // as the limits count it
    bool overdue = false;  // out when the request's time was over
  };
  struct Open {
    Request request;
    int cls = 0;
    int seen = 0;             // times its key came lately
    bool held = false;        // its key is likely held by a server
    std::uint64_t name = 0;   // hash of its key
    std::uint64_t write = 0;  // of its idempotency key and class; 0: it bears none
    std::uint64_t seed = 0;
    Micros came = 0;
    Micros first = 0;  // when its client's first try came, as far as known
    Micros deadline = 0;
    bool closed = false;
    bool missed = false;                // aside mode: a cache held nothing
    Status held_for = Status::NotSent;  // the outcome with which it waits for on_resume()
    limits::Ask ask;
    std::vector<Attempt> attempts;
  };
  struct ClassState {
    double mean_log = 0;  // usual log latency
    double quantile = 0;  // latency at kQuantile
    double seen = 0;
  };

  Impl(const Settings& settings, const limits::LimitFactory& rules)
      : set(settings),
        lim(settings, rules),
        asks(settings.routers, settings.max_poll_delay),
        writes(settings.classes),
        company(settings.routers, 0) {}

  Settings set;
  std::uint64_t rng;
  Micros now = 0;
  std::vector<ServerState> servers;
  std::vector<int> vacant;           // places in `servers` that are free
  std::map<std::string, int> index;  // by id, so that walks over it are in id order
  std::vector<int> slots = std::vector<int>(kSlots, -1);
  std::unordered_map<RequestId, Open> open;
  struct Saved {
    std::uint64_t seed = 0;  // of the last landing
    int drawn = 0;           // landings since the walk began at the name
    int home = -1;           // server of the first of them
    double count = 0;        // own requests lately, fading with own traffic
    double at = 0;           // value of `sent` then
  };
  std::unordered_map<std::uint64_t, Saved> saved;  // by name hash
  double sent = 0, swept = 0;  // own requests; and when stale seeds were dropped
  struct Seen {
    int times = 0;
    bool held = false;  // its last read was answered, so some server holds it
  };
  std::array<std::unordered_map<std::uint64_t, Seen>, 2> counts;  // this generation, last
  Micros generation_at = 0;
  std::vector<ClassState> classes;
  std::vector<double> tenant_rate;
  // Decayed counts, in mean requests: of attempts sent, and of clients' first tries.
  double rate_sum = 0, asked_sum = 0;
  Micros rate_at = 0;
  Micros born = 0;
  double mean_work = 0;
  double mean_log = 0;  // usual log latency over all classes
  double queue_mean = 0, util_mean = 0;
  int total_in_flight = 0;
  // Failures per attempt over the whole fleet, lately.
  double errors = 0, late = 0, unreachable = 0, full = 0, spoilt = 0;
  limits::Limits lim;
  limits::Paces paces;
  double mean_value = 0;  // usual worth of a request, or per work where worth goes by request
  // renewed by refresh()
  Micros refreshed = -1;
  double live_sum = 1, weight_sum = 1, warm_sum = 1, near_pull = 0;
  double usual_bad = 0;  // bad share of the fleet's better third
  double borne = 0;      // requests per second and weight that this router's warm servers bear
  bool disbelieve = false;
  // list
  bool watching = false, asking = false;
  recovery::Asking asks;
  recovery::Writes writes;
  recovery::Company company;
  std::uint64_t ask_token = 0;
  Micros ask_at = 0;  // when the next call is due
  std::uint64_t draws = 0, turned_away = 0, unsendable = 0, given_up = 0;
  std::uint64_t retries = 0, copies = 0, trials = 0;
  Actions out;

  /// What is left of 1 that halves every `half`.
  double halved(Micros since, double half) const {
    return std::exp2(-static_cast<double>(now - since) / half);
  }

  double random() {
    rng = mix(rng + 1);
    return static_cast<double>(rng >> 11) / 9007199254740992.0;
  }

  // ---- segments ----
  bool is_origin(const ServerState& s) const {
    return set.cache_aside && !set.origin_kind.empty() && s.listed.kind == set.origin_kind;
  }

  void carve() {
    std::fill(slots.begin(), slots.end(), -1);
    double unit = kSlotsPerUnit, total = 0;
    for (const ServerState& s : servers)
      if (s.present && !is_origin(s)) total += std::max(s.listed.weight, 0.0) * kSlotsPerUnit;
    while (total > kMaxCoverage * kSlots) unit /= 2, total /= 2;
    for (const auto& [id, i] : index) {  // lower ids first: ties go to them
      const ServerState& s = servers[i];
      if (!s.present || is_origin(s)) continue;
      int want = std::max(1, static_cast<int>(std::lround(s.listed.weight * unit)));
      std::uint64_t seed = hash_name(id);
      for (int tries = 0; want > 0 && tries < kSlots; ++tries) {
        seed = next_draw(seed);
        int& slot = slots[slot_of(seed)];
        if (slot < 0) slot = i, --want;
      }
    }
    refreshed = -1;
  }

  bool usable(const ServerState& s) const { return s.present && s.listed.health == Health::Ready; }

  bool cold(const ServerState& s) const {
    return s.listed.up_since > 0 && now - s.listed.up_since < set.cold_time;
  }

  double warmth(const ServerState& s) const {
    if (!cold(s)) return 1;
    double age = static_cast<double>(std::max<Micros>(0, now - s.listed.up_since)) /
                 static_cast<double>(set.cold_time);
    return set.cold_share + (1 - set.cold_share) * age;
  }

  /// The part of its slots that a server is live over. Death, slow start, a slow machine and
  /// overload all act here, so each remaps only the keys of the part that is given up.
  double live(const ServerState& s) const {
    if (!usable(s)) return 0;
    double part = warmth(s) * std::max(kLiveFloor, s.load_live * (1 - crowding(s)) * slow_part(s)) *
                  std::max(kOutlierFloor, sound_part(s));
    if (!disbelieve) {
      if (now < s.dead_until) return 0;
      if (s.returned_at > 0) {
        double back = static_cast<double>(now - s.returned_at) / kReturnRamp;
        part *= std::min(1.0, kReturnFrom + (1 - kReturnFrom) * back);
      }
    }
    return part;
  }

  void refresh() {
    if (refreshed >= 0 && now - refreshed < kRefresh) return;
    refreshed = now;
    double ready = 0, dead = 0, near_ready = 0, near_dead = 0;
    std::vector<double> shares;
    for (const ServerState& s : servers) {
      if (!usable(s) || is_origin(s)) continue;
      shares.push_back(bad_share(s));
      bool near = s.listed.zone == set.zone;
      ready += 1, near_ready += near;
      if (now < s.dead_until) dead += 1, near_dead += near;
    }
    if (!shares.empty()) {
      auto third = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 3);
      std::nth_element(shares.begin(), third, shares.end());
      usual_bad = *third;
    }
    // A cut between zones looks like many deaths and is believed as long as the own zone answers;
    // when the servers next door look dead as well, the fault is more likely here or in the
    // judgement.
    disbelieve = near_ready > 0 ? near_dead > kDoubtAll * near_ready && dead > kDoubtAll * ready
                                : dead > kDoubtAll * ready;
    double near_live = 0, near_weight = 0, nominal = 0;
    live_sum = weight_sum = warm_sum = 0;
    for (const ServerState& s : servers) {
      if (!usable(s) || is_origin(s)) continue;
      double part = live(s);
      live_sum += part, weight_sum += part * s.listed.weight;
      warm_sum += warmth(s) * s.listed.weight;
      nominal += s.listed.weight;
      if (s.listed.zone == set.zone) near_live += part, near_weight += 1;
    }
    if (warm_sum > 0.8 * nominal && warm_sum > 0) {
      double fair = sent_rate() / warm_sum;
      borne += (borne <= 0 ? 1 : kBorneGain) * (fair - borne);
    }
    // Servers of the own zone that shed load loosen the pull to it: while cores are free only as
    // far as the others shed less, since a little is shed everywhere. At the edge that was worse.
    double own = near_weight > 0 ? near_live / near_weight : 0;
    double against = live_sum > 0 ? std::min(1.0, own * ready / live_sum) : 0;
    double rest = own + (against - own) * slack();
    near_pull = kMaxNearPull * rest * rest;
  }

  /// How free the fleet is, 1 to 0: by its cores, by what it turns away, by what is refused here.
  double slack() const {
    double cores = std::clamp((1 - util_mean) / (1 - kFreeUtil), 0.0, 1.0);
    double refused = std::max(lim.refused(now, false), lim.refused(now, true));
    return cores * std::max(0.0, 1 - 2 * full) * std::max(0.0, 1 - 2 * refused);
  }

  // ---- saved seeds ----
  /// Own requests over which a key is counted: kWindows times what makes kKeyShare of a fair share.
  double horizon() const { return kWindows * std::max(1.0, live_sum / kKeyShare); }

  /// The seed the request's walk starts from. Repeats draw onward from the saved seed until the key
  /// has been to as many servers as its share of the traffic needs; then its window ends and the
  /// walk begins at the name again. A key that one server can bear stays at its first landing, and
  /// a hot key's known spread outlives each wipe.
  Saved& seed_of(std::uint64_t name) {
    sent += 1;
    double span = horizon();
    auto fade = [&](const Saved& s) { return s.count * std::exp(-(sent - s.at) / span); };
    if (sent - swept > span) {
      for (auto it = saved.begin(); it != saved.end();)
        it = fade(it->second) < 0.5 ? saved.erase(it) : std::next(it);
      swept = sent;
    }
    Saved& s = saved[name];
    s.count = fade(s) + 1;
    s.at = sent;
    // Some servers are hot by several middling keys, none of which would be spread for itself. Not
    // while the origin fails: each copy asks it.
    bool calm = s.home < 0 || s.count < kWindows || errors > kCopyErrors;
    double per_server = kWindows * (calm ? 1 : servers[s.home].load_live);
    if (s.drawn == 0 || s.drawn >= s.count / per_server) s.seed = name, s.drawn = 0;
    return s;
  }

  /// Counts the key over the last one to two generations.
  void count_key(Open& o) {
    if (now - generation_at > kGeneration || counts[0].size() >= kMaxTracked) {
      counts[1] = std::move(counts[0]);
      counts[0].clear();
      generation_at = now;
    }
    auto [it, fresh] = counts[0].try_emplace(o.name);
    auto old = counts[1].find(o.name);
    if (fresh && old != counts[1].end()) it->second.held = old->second.held;
    o.seen = ++it->second.times + (old != counts[1].end() ? old->second.times : 0);
    o.held = it->second.held && !o.request.write;
  }

  /// What an admitted request's end says of where its key is held.
  void note_end(const Open& o, bool answered) {
    auto it = counts[0].find(o.name);
    if (it != counts[0].end()) it->second.held = answered && !o.request.write;
  }

  /// Whether a copy of the key in the own zone would pay. Where a hundred routers share the
  /// traffic, a key that this one has seen once is one that its neighbours ask for as well.
  bool popular(int seen) const {
    double peers = std::max(1.0, set.routers / std::max<double>(1, set.zones.size()));
    return set.cross_zone_charge * seen * peers > kMissCost;
  }

  bool at_limit(const ServerState& s) const {
    double mean = total_in_flight / std::max(1.0, weight_sum);
    return s.in_flight >= kInFlightFloor + kInFlightFactor * mean * s.listed.weight;
  }

  double cold_rate(const ServerState& s) const {  // requests per second this router may send
    // Over the nominal sizes: were it over the live ones, servers that shed load would push it to
    // the cold. And never more than warm servers were seen to bear: after a mass replacement the
    // fair share of the few that are left is more than they can do.
    double fair = due_rate() / std::max(1.0, warm_sum);
    double most = borne > 0 ? std::min(kColdBudget * fair, kColdBorne * set.overload_factor * borne)
                            : kColdBudget * fair;
    return warmth(s) * s.listed.weight * most;
  }

  bool cold_has_room(ServerState& s, double cost) {
    return !cold(s) || s.slow_start.admits(now, cold_rate(s), set.overload_time, cost);
  }

  struct Landing {
    int server = -1;
    std::uint64_t seed = 0;
    double fetch = 0;  // as the limits count it
  };

  /// Draws onward from `seed`, `left` times at most, to the next live segment; -1 when there is
  /// none.
  int next_live(std::uint64_t& seed, int& left) const {
    while (left-- > 0) {
      seed = next_draw(seed);
      int i = slots[slot_of(seed)];
      if (i >= 0 && depth_of(seed) < live(servers[i])) return i;
    }
    return -1;
  }

  /// Whether another kind of server would serve the request in time where this one would not.
  bool too_slow(const Open& o, const ServerState& s) const {
    double least = kPaceGain / std::max(0.01, slack() * slack());
    return o.request.work && paces.gain_elsewhere(s.listed.kind, *o.request.work,
                                                  set.classes[o.cls].latency_objective) > least;
  }

  /// Draws from `seed` to the next live segment whose server may take the request.
  Landing walk(std::uint64_t seed, const Open& o, bool keep_near) {
    Landing fallback;
    int passed = 0;
    double cost = cost_of(o), fetch = lim.fetch_weight(o.ask), part = lim.part(o.ask);
    for (int left = kMaxDraws, before = left;; before = left) {
      int i = next_live(seed, left);
      draws += static_cast<std::uint64_t>(before - std::max(left, 0));
      if (i < 0) return fallback;
      ServerState& s = servers[i];
      if (!may_send(o, i) || tried(o, i)) continue;
      if (too_slow(o, s) && depth_of(mix(seed + 1)) < kMaxNearPull) continue;
      if (keep_near && s.listed.zone != set.zone && depth_of(mix(seed)) < near_pull) continue;
      if (!cold_has_room(s, cost)) continue;
      bool room = s.window->has_room(now, 1, part);
      if (!room || at_limit(s)) {
        if (room && fallback.server < 0) fallback = {i, seed, fetch};
        if (++passed > kMaxOverflow) return fallback;
        // Elsewhere it is not held: where fetches are short, its home's refusal stands.
        if (passed == 1) fetch = lim.spill_weight(o.ask);
        if (!lim.may_spill(now, o.ask)) return fallback;
        continue;
      }
      return {i, seed, fetch};
    }
  }

  // ---- server health ----
  double slow_part(const ServerState& s) const {
    if (s.slow_seen < 2) return 1;
    double age = halved(s.slow_at, kSlowHalf);
    double ratio = std::exp(s.slow_log * age);
    return ratio > kSlowFrom ? kSlowFrom / ratio : 1;
  }

  double bad_share(const ServerState& s) const { return s.bad_share * halved(s.bad_at, kBadHalf); }

  /// How far the server fails more often than the better ones do; up to 0 where it does not.
  double excess(const ServerState& s) const { return bad_share(s) - usual_bad - kOutlierFrom; }
  bool outlier(const ServerState& s) const { return !is_origin(s) && excess(s) > 0; }
  double sound_part(const ServerState& s) const {
    return std::clamp(1 - excess(s) / (kOutlierFull - kOutlierFrom), 0.0, 1.0);
  }

  /// Its cores are, by what it said lately.
  bool busy(const ServerState& s) const {
    return s.util >= kBusyUtil && now - s.report_at < kUtilHolds;
  }

  void note_bad(ServerState& s, bool bad, double own = 1) {
    s.bad_share = bad_share(s);
    s.bad_at = now;
    double gain = kBadGain * (bad ? own : 1);
    s.bad_share += gain * (bad - s.bad_share);
  }

  /// `own`: how far the latency is the server's own and not the origin's, 0 to 1.
  void note_latency(ServerState& s, int cls, Micros latency, bool ok, double own) {
    ClassState& c = classes[cls];
    double value = std::max<double>(1, static_cast<double>(latency));
    double log_value = std::log(value);
    if (c.seen == 0) c.mean_log = log_value, c.quantile = value * 2;
    c.seen = std::min(c.seen + 1, 200.0);
    double gain = std::max(1 / c.seen, 0.02);
    if (ok) {
      mean_log += (mean_log == 0 ? 1 : 0.03) * (log_value - mean_log);
      c.mean_log += gain * (log_value - c.mean_log);
      c.quantile *=
          std::exp((value > c.quantile ? kQuantile : kQuantile - 1) * std::max(gain, 0.05));
    }
    double age = halved(s.slow_at, kSlowHalf);
    s.slow_log *= age, s.slow_seen *= age;
    s.slow_log += own * kSlowAlpha * (log_value - c.mean_log - s.slow_log);
    s.slow_seen += own;
    s.slow_at = now;
  }

  void note_success(ServerState& s) {
    if (s.returned_at > 0 && now - s.returned_at > kReturnRamp) s.returned_at = 0, s.strikes = 0;
    s.doubt = 0;
  }

  /// A failure is evidence against the server only as far as it is unusual: when a stopped origin
  /// makes every server err, or overload makes all late, one more tells next to nothing (the
  /// log-likelihood ratio of dead against alive, in units of a failure on a quiet day).
  void note_failure(ServerState& s, double weight, double usual) {
    weight *= std::log(std::max(usual, kUsualFailure)) / std::log(kUsualFailure);
    s.doubt *= halved(s.doubt_at, kDoubtHalf);
    s.doubt += weight;
    s.doubt_at = now;
    if (s.doubt < kDeadAt || now < s.dead_until) return;
    Micros span = std::min(kDeadMax, kDeadFirst << std::min(s.strikes, 5));
    s.dead_until = now + static_cast<Micros>(static_cast<double>(span) * (0.75 + 0.5 * random()));
    s.returned_at = s.dead_until;  // gradual from there
    s.strikes = std::min(s.strikes + 1, 8);
    s.doubt = kDeadAt - 1;  // a trial's first failure is enough
    refreshed = -1;
  }

  /// An attempt is out far longer than usual.
  void note_stall(Attempt& a, double weight) {
    ServerState& s = servers[a.server];
    if (!a.stalled && !busy(s)) note_bad(s, true, weight * own_part(a));
    a.stalled = true;
    if (!outlier(s)) follow(late, true);
    note_failure(s, weight * own_part(a), late);
  }

  /// A client's try may be over before our patience is: what is out past the usual quantile says
  /// half as much. Without it a silent server was never told from a busy one by short tries.
  void note_given_up(const Open& o, Attempt& a) {
    double part = static_cast<double>(now - a.sent) / static_cast<double>(patience(o));
    if (part > 1 / kPatienceFactor) note_stall(a, part > 1 ? 1 : 0.5);
  }

  /// How far the loss of an attempt is laid at its server's door: where fetches are lost at all
  /// servers, one more says little of this one.
  double own_part(const Attempt& a) const { return 1 - a.fetch * lim.fetches_lost(); }

  /// The part of its keys a server gives up for having been full. It returns with each success: by
  /// time alone, a busy server that turned away one in twenty gave up nearly all. And with time,
  /// for one that is seldom asked.
  double crowding(const ServerState& s) const {
    return s.crowded * halved(s.crowded_at, kFullHalf);
  }

  void note_full(ServerState& s) {
    if (s.util >= 0 && s.util < kBusyUtil) {
      note_bad(s, true);
      return;
    }
    double given = crowding(s);
    s.crowded = given + (1 - given) * kFullGives * std::max(0.0, 1 - 4 * full);
    s.crowded_at = now;
  }

  void note_report(ServerState& s, const std::vector<double>& report) {
    if (report.empty()) return;
    double heat = 0;
    for (std::size_t k = 0; k < report.size() && k < set.report_fields.size(); ++k) {
      double v = report[k];
      if (!std::isfinite(v)) continue;
      if (set.report_fields[k] == ReportField::Utilization) {
        s.util = v;
        util_mean += 0.03 * (v - util_mean);
        // Against the fleet: were all hot servers to shed, nearly every key would move and miss.
        heat = std::max(heat, (v - std::max(kHotUtil, util_mean + kHotMargin)) / (1 - kHotUtil));
      } else if (set.report_fields[k] == ReportField::Queue) {
        queue_mean += 0.03 * (v - queue_mean);
        heat = std::max(heat, std::min(2.0, (v - 2 - 2 * queue_mean) / (2 + queue_mean)));
      }
    }
    // A server that gave up most of its keys is seen rarely: its return goes by the time that
    // passed.
    double dt = static_cast<double>(now - s.report_at) / kSecond;
    s.report_at = now;
    s.load_live *= std::exp(heat > 0 ? -kHotRate * heat * std::min(1.0, dt)
                                     : kCoolRate * std::min(kCoolSpan, dt));
    s.load_live = std::clamp(s.load_live, kHotFloor, 1.0);
  }

  // ---- admission ----
  double rate_fade() const {
    return std::exp(-static_cast<double>(now - rate_at) / (kRateSpan * kSecond));
  }

  double rate_of(double sum) const {  // per second
    double span = std::max(0.2, std::min(kRateSpan, static_cast<double>(now - born) / kSecond));
    return sum * rate_fade() / span;
  }
  double sent_rate() const { return rate_of(rate_sum); }  // what is refused loads no server

  /// What this router would send were nothing in its way: one that came back to cold servers alone
  /// has sent nothing, and by that could never begin. First tries, within its part of the quotas,
  /// while it is new; later what is asked and not sent is load that the fleet can't bear.
  double due_rate() const {
    if (static_cast<double>(now - born) > 2 * kRateSpan * kSecond) return sent_rate();
    double quota = 0;
    for (const TenantSettings& t : set.tenants) quota += t.quota_per_s / set.routers;
    return std::max(sent_rate(), std::min(rate_of(asked_sum), quota));
  }

  double cost_of(const Open& o) const {
    if (!o.request.work || mean_work <= 0) {  // no hints: by the latency usual for the class
      const ClassState& c = classes[o.cls];
      return c.seen < 5 ? 1 : std::clamp(std::exp(c.mean_log - mean_log), 0.2, 5.0);
    }
    return std::clamp(static_cast<double>(*o.request.work) / mean_work, 0.2, 5.0);
  }

  /// Whether the request is turned away at the door.
  bool turn_away(Open& o) {
    const ClassSettings& c = set.classes[o.cls];
    bool late = now - o.first >= c.latency_objective;  // a further try, by now
    double value = (late ? c.late_worth : c.worth) / (set.worth_by_work ? 1 : cost_of(o));
    // Of requests that can still be in time: against the late ones all the others look alike.
    if (!late) mean_value += (mean_value <= 0 ? 1 : 0.02) * (value - mean_value);
    double over = 0;
    for (std::size_t t = 0; t < set.tenants.size(); ++t) {
      if (set.tenants[t].name != o.request.tenant || set.tenants[t].quota_per_s <= 0) continue;
      double quota = set.tenants[t].quota_per_s / std::max(1, set.routers);
      over = std::max(0.0, 1 - quota * kRateSpan / std::max(1e-9, tenant_rate[t] * rate_fade()));
    }
    o.ask = {.name = try_name(o),
             .held = o.held,
             .wanted = o.seen >= kWantedSeen,
             .write = o.request.write,
             .late = late,
             .value = mean_value > 0 ? value / mean_value : 1,
             .over_share = over,
             .remaining = o.request.remaining,
             .aim = c.latency_objective};
    return !lim.admits(now, o.ask);
  }

  void fade_rates() {
    if (rate_at == now) return;
    double fade = rate_fade();
    rate_sum *= fade, asked_sum *= fade;
    for (double& rate : tenant_rate) rate *= fade;
    rate_at = now;
  }

  void count_arrival(const Open& o) {
    fade_rates();
    if (o.request.work) {
      double work = static_cast<double>(*o.request.work);
      mean_work += (mean_work <= 0 ? 1 : 0.02) * (work - mean_work);
    }
    if (o.first != o.came) return;
    lim.earn();
    asked_sum += cost_of(o);
  }

  // ---- attempts ----
  bool tried(const Open& o, int server) const {
    return std::any_of(o.attempts.begin(), o.attempts.end(),
                       [&](const Attempt& a) { return a.server == server; });
  }
  bool any_out(const Open& o) const {
    return std::any_of(o.attempts.begin(), o.attempts.end(),
                       [](const Attempt& a) { return a.ran == Ran::Out; });
  }
  bool may_have_run(const Open& o) const {
    return std::any_of(o.attempts.begin(), o.attempts.end(),
                       [](const Attempt& a) { return a.ran != Ran::Never; });
  }

  Effect effect_of(const Open& o) const {
    Effect effect = set.classes[o.cls].effect;
    return effect == Effect::Keyed && o.request.lacks_idempotency_key ? Effect::Once : effect;
  }

  /// Rules 2 and 3 for one more attempt at `server`.
  bool may_send(const Open& o, int server) const {
    const ServerState& to = servers[server];
    if (!usable(to) || static_cast<int>(o.attempts.size()) >= set.max_attempts) return false;
    if (!set.may_hedge && any_out(o)) return false;
    const ClassSettings& c = set.classes[o.cls];
    if (effect_of(o) == Effect::Repeatable) return true;
    // What earlier tries of the write may have done binds as well.
    if (const recovery::Writes::First* first = o.write ? writes.first(o.write) : nullptr)
      if (!recovery::Writes::drops(c, *first, now + 2 * set.tick, to.listed)) return false;
    for (const Attempt& a : o.attempts) {
      if (a.ran == Ran::Never) continue;
      if (effect_of(o) == Effect::Once) return false;
      if (now + 2 * set.tick >= a.sent + c.key_ttl) return false;
      const Server& from = servers[a.server].listed;
      if (c.group == Group::Zone && from.zone != to.listed.zone) return false;
      if (c.group == Group::Cell && (from.cell < 0 || from.cell != to.listed.cell)) return false;
    }
    return true;
  }

  bool may_refuse(const Open& o) const {
    const ClassSettings& c = set.classes[o.cls];
    const recovery::Writes::First* first = o.write ? writes.first(o.write) : nullptr;
    if (effect_of(o) == Effect::Repeatable || !(first || may_have_run(o))) return true;
    if (first && now + 2 * set.tick >= first->sent + c.key_ttl) return false;  // not harmless then
    return effect_of(o) == Effect::Keyed && c.group == Group::All;
  }

  /// What an attempt's end says of load.
  limits::Evidence evidence(const Attempt& a, Status status) const {
    if (status == Status::Ok) return limits::Evidence::Good;
    bool lost = status == Status::Error || status == Status::Timeout ||
                (status == Status::Cancelled && a.overdue);
    return lost ? limits::Evidence::Bad : limits::Evidence::None;
  }

  void timer(Micros after, RequestId id, TimerKind kind) {
    out.push_back(Timer{std::max<Micros>(after, 1), id << 2 | kind});
  }

  /// Requests of one client's tries have it in common.
  std::uint64_t try_name(const Open& o) const {
    return mix(o.name ^ hash_name(o.request.tenant) ^ static_cast<std::uint64_t>(o.cls));
  }

  /// Its client, unserved, may come again.
  void end_unserved(Open& o) {
    o.closed = true;
    lim.repeats().leave(try_name(o), o.first);
  }

  void finish(Open& o) {
    if (o.closed) return;
    end_unserved(o);
    if (!o.attempts.empty()) ++given_up;
    // What never ran says nothing of where its key is.
    if (may_have_run(o)) note_end(o, false);
    double chance = depth_of(mix(o.request.id));
    Micros wait = lim.come_back(now, chance);
    if (set.poll_list && !asks.usable())  // nothing is served before the list has come
      wait = std::clamp(asks.list_in(asking ? 0 : ask_at - now, chance), wait, set.max_retry_after);
    if (may_refuse(o))
      out.push_back(Refuse{o.request.id, wait});
    else
      out.push_back(Fail{o.request.id});
    cancel_rest(o);
  }

  void cancel_rest(const Open& o, int except = -1) {
    if (!set.may_cancel) return;
    for (std::size_t k = 0; k < o.attempts.size(); ++k)
      if (o.attempts[k].ran == Ran::Out && static_cast<int>(k) != except)
        out.push_back(Cancel{o.request.id, static_cast<int>(k)});
  }

  void forget_if_done(RequestId id) {
    auto it = open.find(id);
    if (it == open.end() || !it->second.closed || any_out(it->second)) return;
    for (const Attempt& a : it->second.attempts) --servers[a.server].kept;
    open.erase(it);
  }

  Micros patience(const Open& o) const {
    const ClassState& c = classes[o.cls];
    double usual =
        c.seen > 0 ? c.quantile : static_cast<double>(set.classes[o.cls].latency_objective) / 2;
    return static_cast<Micros>(
        std::max(kPatienceFactor * usual, 4.0 * static_cast<double>(set.tick)));
  }

  /// Aside mode: writes, and reads that a cache answered with a miss, go to the origin.
  bool wants_origin(const Open& o) const {
    return set.cache_aside && !set.origin_kind.empty() && (o.request.write || o.missed);
  }

  /// The origin is never carved: its usable member with the fewest own attempts out.
  bool send_to_origin(Open& o) {
    int best = -1;
    for (const auto& [id, i] : index)
      if (is_origin(servers[i]) && may_send(o, i) &&
          (best < 0 || servers[i].in_flight < servers[best].in_flight))
        best = i;
    if (best < 0) return false;
    dispatch(o, best, 0);
    return true;
  }

  /// Sends the request onward along its walk; false when no server may take it.
  bool send(Open& o) {
    refresh();
    if (wants_origin(o)) return send_to_origin(o);
    bool first = o.attempts.empty();
    bool keep_near = false;
    Saved* key = first && !o.request.key.empty() ? &seed_of(o.name) : nullptr;
    if (first) o.seed = key ? key->seed : mix(rng = mix(rng + 1));
    if (set.cross_zone_charge > 0 && near_pull > 0) keep_near = first ? popular(o.seen) : true;
    Landing at = walk(o.seed, o, keep_near);
    if (at.server < 0 && keep_near) at = walk(o.seed, o, false);
    if (at.server < 0) return false;
    o.seed = at.seed;
    if (first)  // admitted ones only: clients repeat what is refused, which is no use of the quota
      for (std::size_t t = 0; t < set.tenants.size(); ++t)
        tenant_rate[t] += set.tenants[t].name == o.request.tenant;
    if (key) {
      if (key->drawn++ == 0) key->home = at.server;
      key->seed = at.seed;
    }
    dispatch(o, at.server, at.fetch);
    return true;
  }

  void dispatch(Open& o, int server, double fetch) {
    ServerState& s = servers[server];
    if (!o.attempts.empty()) ++(any_out(o) ? copies : retries);
    trials += s.returned_at > 0 && s.doubt > 0;
    o.attempts.push_back({server, now});
    o.attempts.back().fetch = fetch;
    if (o.write) writes.sent(now, o.write, s.listed);
    s.window->sent(now, 1);
    lim.sent(now, o.attempts.back().fetch);
    ++s.in_flight, ++s.kept, ++total_in_flight;
    fade_rates();
    rate_sum += cost_of(o);
    if (cold(s)) s.slow_start.sent(cost_of(o));
    Micros left = o.deadline - now;
    Micros wait = patience(o);
    bool again = static_cast<int>(o.attempts.size()) < set.max_attempts &&
                 effect_of(o) != Effect::Once && !set.classes[o.cls].streamed;
    Micros limit = 0;
    if (again && wait * 3 / 2 < left && !is_origin(s)) {  // never a second copy at the origin
      if (set.may_hedge)
        timer(wait, o.request.id, kCopyTimer);
      else
        limit = wait;
    }
    out.push_back(Send{o.request.id, s.listed.id, limit});
  }

  void go_on(Open& o, Status why) {
    if (o.closed || any_out(o)) return;
    bool broken = why == Status::ConnectFailed || why == Status::Reset ||
                  why == Status::Malformed || why == Status::ConnectionLimit;
    const ServerState& last = servers[o.attempts.back().server];
    broken |= outlier(last);  // the fault is that server's alone
    limits::Cause cause = broken ? limits::Cause::Broken
                          : why == Status::Rejected || why == Status::NotSent
                              ? limits::Cause::Unseen
                              : limits::Cause::Load;
    bool time_left = o.deadline - now > 2 * set.tick;
    if (why == Status::Miss && is_origin(last)) return finish(o);  // nobody else has it either
    if (why == Status::Miss && time_left && send(o)) return;       // no failure: no tokens
    // A fetch that failed ends in an error, and another server would only ask the origin once more:
    // what jams it. While errors are rare a further attempt costs little and may well serve: one
    // error in three attempts is no reason to refuse. Where fetches are short it is.
    bool futile =
        why == Status::Error && !broken && (errors > kFutileErrors || !lim.may_spill(now, o.ask));
    // Nor anything while requests are refused: a retry would take the place of a first try. Broken
    // connections, spoilt answers and servers at fault are no sign of load, and their share is
    // bounded by the tokens.
    futile |= !broken && (lim.pressed(now) || !lim.has_room(now, lim.fetch_weight(o.ask)));
    if (!futile && time_left && lim.spend(cause) && send(o)) return;
    finish(o);
  }

  // ---- list ----
  void saw(int source, bool trouble) {
    company.saw(now, source, trouble);
    if (company.freed()) lim.came_alone();
  }

  void ask(Micros after) {
    ask_at = now + after;
    timer(after, ++ask_token, kAskTimer);
  }

  void list_failed() {
    watching = asking = false;
    saw(recovery::Company::kDiscovery, true);
    ask(asks.failed(random()));
  }

  /// A server of a list that nobody has confirmed yet was not there: it may be an old list.
  void doubt_list(int server) {
    if (!set.poll_list || watching || asking || !asks.doubted(server)) return;
    asks.hold(false);
    ask(asks.first(random()));
  }

  void take_entry(const Server& e) {
    auto it = index.find(e.id);
    if (it == index.end()) {
      if (e.health == Health::Gone) return;
      if (vacant.empty())
        vacant.push_back(static_cast<int>(servers.size())), servers.emplace_back();
      servers[vacant.back()].window = lim.server_rule();
      it = index.emplace(e.id, vacant.back()).first;
      vacant.pop_back();
    }
    ServerState& s = servers[it->second];
    bool restarted = e.up_since != s.listed.up_since || !s.present;
    Server was = std::move(s.listed);
    s.listed = e;
    if (!std::isfinite(e.weight) || e.weight < 0) s.listed.weight = 1;
    if (e.health == Health::Gone && e.zone.empty())
      s.listed.zone = was.zone, s.listed.cell = was.cell;
    s.present = e.health != Health::Gone;
    if (restarted && s.present) {  // a new process: what was held against the old one is void
      s.doubt = 0, s.strikes = 0, s.dead_until = 0, s.returned_at = 0;
      s.slow_log = 0, s.slow_seen = 0, s.load_live = 1, s.crowded = 0, s.bad_share = 0;
      s.slow_start.reset(now, random());
      s.window->reset();
    }
  }

  /// Frees what is kept of servers that are gone, once no open request was sent there: ids are ever
  /// new, and what an attempt may have done is judged by where it was sent.
  void forget_gone() {
    for (auto it = index.begin(); it != index.end();) {
      int i = it->second;
      if (servers[i].present || servers[i].kept > 0) {
        ++it;
        continue;
      }
      servers[i] = ServerState();
      lim.forget(static_cast<std::size_t>(i));
      vacant.push_back(i);
      for (auto& [name, s] : saved)
        if (s.home == i) s.home = -1;
      it = index.erase(it);
    }
    std::set<std::string> kinds;
    for (const auto& [id, i] : index) kinds.insert(servers[i].listed.kind);
    paces.keep(kinds);
  }

  void tick(Micros t) {
    now = std::max(now, t);
    out.clear();
  }
};

Balancer::Balancer(const Settings& settings, std::uint64_t seed, Micros now,
                   const limits::LimitFactory& rules)
    : impl_(std::make_unique<Impl>(settings, rules)) {
  Impl& m = *impl_;
  limits::check_settings(settings);
  m.rng = mix(seed);
  m.company = recovery::Company(settings.routers, now);
  m.now = m.born = m.rate_at = m.generation_at = now;
  m.classes.resize(settings.classes.size());
  m.tenant_rate.resize(settings.tenants.size());
}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

Actions Balancer::start(Micros now) {
  Impl& m = *impl_;
  m.tick(now);
  m.asks.hold(true);  // until the held list has been seen
  if (m.set.poll_list) m.ask(m.asks.first(m.random()));
  return std::move(m.out);
}

Actions Balancer::on_list(Micros now, ListScope scope, const std::vector<Server>& entries) {
  Impl& m = *impl_;
  m.tick(now);
  if (scope == ListScope::Failed) {
    m.list_failed();
    return std::move(m.out);
  }
  bool held = scope == ListScope::Cached || scope == ListScope::Unverified;
  if (!held) m.lim.list_told();
  if (!held && m.asking) m.asking = false, m.watching = true, m.asks.told();
  if (scope != ListScope::Delta) {
    std::map<std::string, bool> named;
    for (const Server& e : entries) named[e.id] = true;
    for (auto& [id, i] : m.index)
      if (!named.count(id)) m.servers[i].present = false, m.servers[i].listed.health = Health::Gone;
  }
  for (const Server& e : entries) m.take_entry(e);
  m.forget_gone();
  if (!held) {
    auto all = [&](auto test) {
      return static_cast<int>(std::count_if(m.servers.begin(), m.servers.end(), test));
    };
    m.company.list(m.now, all([&](const auto& s) { return m.usable(s); }),
                   all([&](const auto& s) { return m.usable(s) && m.cold(s); }));
  }
  m.carve();
  m.asks.hold(std::any_of(m.servers.begin(), m.servers.end(),
                          [&](const Impl::ServerState& s) { return m.usable(s); }));
  bool usable = m.asks.usable();
  if (scope == ListScope::Unverified) m.asks.hold(false);
  if (held && m.set.poll_list && !m.asks.usable()) m.ask(m.asks.first(m.random()));
  m.asks.hold(usable);
  return std::move(m.out);
}

Actions Balancer::on_request(Micros now, const Request& request) {
  Impl& m = *impl_;
  m.tick(now);
  auto [it, fresh] = m.open.try_emplace(request.id);
  if (!fresh) return {};
  Impl::Open& o = it->second;
  o.request = request;
  for (std::size_t k = 0; k < m.set.classes.size(); ++k)
    if (m.set.classes[k].name == request.class_name) o.cls = static_cast<int>(k);
  o.came = m.now;
  o.deadline = m.now + std::max<Micros>(0, request.remaining);
  o.name = hash_name(request.key);
  if (request.write && m.effect_of(o) == Effect::Keyed && !request.idempotency_key.empty()) {
    m.writes.expire(m.now);
    o.write = mix(hash_name(request.idempotency_key) + static_cast<std::uint64_t>(o.cls));
    // Its first try may have been at another router, or here before a restart.
    if (request.retry) m.writes.presume(m.now, o.write, m.set.classes[o.cls].deadline);
  }
  o.first = m.lim.repeats().take(m.now, m.try_name(o), m.set.classes[o.cls].deadline);
  m.count_arrival(o);
  if (!request.key.empty()) m.count_key(o);
  bool away = m.turn_away(o);
  if (away || !m.send(o)) {
    ++(away ? m.turned_away : m.unsendable);
    m.finish(o);
    m.forget_if_done(request.id);
    return std::move(m.out);
  }
  // The last moment for an answer of our own, a little ahead of the client's.
  m.timer(request.remaining - 2 * m.set.tick, request.id, kDeadlineTimer);
  return std::move(m.out);
}

Actions Balancer::on_answer_start(Micros now, RequestId id, const std::string& server, int attempt,
                                  Micros) {
  Impl& m = *impl_;
  m.tick(now);
  auto it = m.open.find(id);
  auto at = m.index.find(server);
  if (it == m.open.end() || at == m.index.end() || attempt < 0) return {};
  Impl::Open& o = it->second;
  m.note_success(m.servers[at->second]);
  // The stream belongs to the client from here: no deadline, no further attempts.
  o.closed = true;
  m.cancel_rest(o, attempt);
  return std::move(m.out);
}

Actions Balancer::on_outcome(Micros now, const Outcome& r) {
  Impl& m = *impl_;
  m.tick(now);
  auto it = m.open.find(r.id);
  if (it == m.open.end()) return {};
  Impl::Open& o = it->second;
  if (r.attempt < 0 || r.attempt >= static_cast<int>(o.attempts.size())) return {};
  Impl::Attempt& a = o.attempts[r.attempt];
  if (a.ran != Impl::Ran::Out) return {};
  Impl::ServerState& s = m.servers[a.server];
  --s.in_flight, --m.total_in_flight;
  bool never = r.status == Status::Rejected || r.status == Status::ConnectFailed ||
               r.status == Status::NotSent || r.status == Status::Miss ||
               r.status == Status::ConnectionLimit;
  a.ran = never ? Impl::Ran::Never : Impl::Ran::Maybe;
  if (never && o.write) m.writes.never_ran(o.write);
  bool turned_off = r.status == Status::Rejected || r.status == Status::ConnectionLimit;
  if (turned_off || r.status == Status::Ok) m.saw(a.server, turned_off);
  m.note_report(s, r.report);
  // Fullness and silence are judged by what the server's cores do.
  if (r.status == Status::Rejected)
    m.note_full(s);
  else if (r.status == Status::Timeout)
    m.note_stall(a, 1);
  else if (r.status == Status::Cancelled && r.paused &&
           m.now - a.sent >= m.set.classes[o.cls].latency_objective)
    m.note_given_up(o, a);  // sooner, it is the caller's haste that it tells of
  else if (r.status != Status::Cancelled && r.status != Status::NotSent &&
           r.status != Status::ConnectionLimit && !a.stalled)
    m.note_bad(s, r.status != Status::Ok && r.status != Status::Miss, m.own_part(a));
  // Longer than its client waited is no measurement, but a clock that was stepped or stood still.
  Micros latency = std::min(r.latency, std::max<Micros>(o.request.remaining, m.set.tick));
  limits::Evidence load = m.evidence(a, r.status);
  m.lim.ended(m.now, a.sent, static_cast<std::size_t>(a.server), a.fetch, load,
              m.outlier(s) || s.doubt >= kServerErrs, latency, r.cache_result, o.ask);
  // The origin's part of a fetch says nothing of the server's own queue.
  if (r.status == Status::Rejected && s.util >= kBusyUtil)
    load = limits::Evidence::Bad;
  else if (load == limits::Evidence::Bad || r.cache_result > 1 || o.request.write)
    load = limits::Evidence::None;
  s.window->ended(m.now, a.sent, 1, load, static_cast<double>(latency) / m.cost_of(o),
                  static_cast<double>(m.set.classes[o.cls].latency_objective) / 2);
  // An outlier's failures tell nothing of the fleet.
  if (r.status == Status::Ok || (r.status != Status::ConnectionLimit && !m.outlier(s))) {
    follow(m.errors, r.status == Status::Error);
    if (r.status == Status::Ok) follow(m.late, false);
    follow(m.full, r.status == Status::Rejected);
    follow(m.spoilt, r.status == Status::Malformed);
    follow(m.unreachable, r.status == Status::ConnectFailed || r.status == Status::Reset);
  }
  switch (r.status) {
    case Status::Ok:
      m.note_success(s);
      s.crowded *= 1 - kFullEases;
      if (!m.is_origin(s)) m.note_latency(s, o.cls, latency, true, r.cache_result <= 1);
      if (!m.is_origin(s) && r.cache_result <= 1 && o.request.work)
        m.paces.note(s.listed.kind, *o.request.work, latency);
      break;
    case Status::Miss:
      m.note_success(s);
      o.missed = true;
      break;
    case Status::Timeout:
      m.note_latency(s, o.cls, latency, false, m.own_part(a));
      break;
    case Status::Error:
      m.note_failure(s, 0.5, m.errors);
      break;
    case Status::ConnectFailed:
      m.doubt_list(a.server);
      [[fallthrough]];
    case Status::Reset:
      m.note_failure(s, 1, m.unreachable);
      break;
    case Status::Malformed:  // it does answer: worth less than silence, and little where all do it
      m.note_failure(s, 0.5, m.spoilt);
      break;
    case Status::Rejected:         // overloaded or at fault, not dead
    case Status::ConnectionLimit:  // other routers' connections fill it
    case Status::Cancelled:
    case Status::NotSent:
      break;
  }
  if (!o.closed && r.status == Status::Ok) m.note_end(o, true);
  if (r.finished) {
    if (!o.closed) m.cancel_rest(o);
    o.closed = true;
  } else if (r.paused) {
    o.held_for = r.status;
  } else {
    m.go_on(o, r.status);
  }
  m.forget_if_done(r.id);
  return std::move(m.out);
}

Actions Balancer::on_resume(Micros now, RequestId id) {
  Impl& m = *impl_;
  m.tick(now);
  auto it = m.open.find(id);
  if (it == m.open.end() || it->second.attempts.empty()) return {};
  m.go_on(it->second, it->second.held_for);
  m.forget_if_done(id);
  return std::move(m.out);
}

Actions Balancer::on_client_gone(Micros now, RequestId id) {
  Impl& m = *impl_;
  m.tick(now);
  auto it = m.open.find(id);
  if (it == m.open.end()) return {};
  if (!it->second.closed) {
    m.cancel_rest(it->second);
    m.end_unserved(it->second);
  }
  m.forget_if_done(id);
  return std::move(m.out);
}

Actions Balancer::on_timer(Micros now, std::uint64_t token) {
  Impl& m = *impl_;
  m.tick(now);
  std::uint64_t kind = token & 3, id = token >> 2;
  if (kind == kAskTimer) {
    if (id != m.ask_token || m.watching) return {};
    m.asking = true;
    m.out.push_back(WatchList{});
    m.ask(m.asks.beside(m.random()));  // asks again should no answer come at all
    return std::move(m.out);
  }
  auto it = m.open.find(id);
  if (it == m.open.end() || it->second.closed) return {};
  Impl::Open& o = it->second;
  if (kind == kDeadlineTimer) {
    for (Impl::Attempt& a : o.attempts) {
      if (a.ran != Impl::Ran::Out) continue;
      a.overdue = true;
      m.note_given_up(o, a);
    }
    m.finish(o);
  } else if (kind == kCopyTimer && !o.attempts.empty() && o.attempts.back().ran == Impl::Ran::Out &&
             m.now - o.attempts.back().sent >= m.patience(o) / 2) {
    m.note_stall(o.attempts.back(), 0.5);
    if (!m.lim.pressed(m.now) && m.lim.has_room(m.now, m.lim.fetch_weight(o.ask)) &&
        m.lim.spend_copy())
      m.send(o);
  }
  m.forget_if_done(id);
  return std::move(m.out);
}

Actions Balancer::on_probe_result(Micros now, const std::string& server, Status status, Micros,
                                  const std::vector<double>& report) {
  Impl& m = *impl_;
  m.tick(now);
  auto at = m.index.find(server);
  if (at == m.index.end()) return {};
  if (status == Status::Ok) m.note_report(m.servers[at->second], report);
  return {};
}

Balancer::Stats Balancer::stats() const {
  const Impl& m = *impl_;
  Stats s;
  s.open_requests = m.open.size();
  s.saved_seeds = m.saved.size();
  s.tracked_keys = m.counts[0].size() + m.counts[1].size();
  s.servers = m.index.size();
  s.draws = m.draws;
  s.shed = m.turned_away, s.unroutable = m.unsendable, s.failed_after_attempts = m.given_up;
  s.retries = m.retries, s.hedges = m.copies, s.trials = m.trials;
  s.uncached_shed_share = m.lim.refused(m.now, false),
  s.cached_shed_share = m.lim.refused(m.now, true);
  s.fetch_limit = m.lim.fetches().limit(), s.fetches_in_flight = m.lim.fetches().out();
  s.late_rate = m.late, s.error_rate = m.errors, s.rejected_rate = m.full,
  s.unreachable_rate = m.unreachable;
  s.malformed_rate = m.spoilt;
  s.utilization = m.util_mean;
  s.live_servers = m.live_sum, s.zone_affinity = m.near_pull;
  s.restart_verdict = static_cast<int>(m.company.verdict());
  s.tracked_writes = m.writes.kept(), s.evicted_writes = m.writes.forgotten();
  return s;
}

std::string Balancer::home_server(const std::string& key) const {
  std::uint64_t seed = hash_name(key);
  int left = kMaxDraws;
  int i = impl_->next_live(seed, left);
  return i < 0 ? std::string() : impl_->servers[i].listed.id;
}

double Balancer::live_fraction(const std::string& server) const {
  auto at = impl_->index.find(server);
  return at == impl_->index.end() ? 0 : impl_->live(impl_->servers[at->second]);
}

}  // namespace robinseam
