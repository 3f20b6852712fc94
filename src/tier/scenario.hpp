// A scenario, read from TOML: a tier, its load, a timeline of faults, and claims to check.
#pragma once

#include <string>
#include <vector>

#include "../rig/discovery_server.hpp"
#include "link.hpp"

namespace arrowfork::tier {

/// The stored state that a router finds when it restarts.
enum class StoredState {
  Kept,
  Wiped,
  Old,          ///< as it was at the start of the load
  OtherRouter,  ///< that of another router
  Truncated,    ///< every file cut to half its size
};

/// The server list in a router's configuration when it starts.
enum class InitialList { Current, None, Old };

struct Action {
  enum class Kind {
    Kill,      ///< SIGKILL
    Term,      ///< SIGTERM
    Stop,      ///< SIGSTOP
    Continue,  ///< SIGCONT
    Reload,    ///< SIGHUP after a new configuration has been written
    Upgrade,   ///< starts a second process, then sends SIGTERM to the first once the new one is
               ///< ready
    Link,
    Cache,
    Discovery,
    Origin,
    Load,
  };
  /// A change to cache servers.
  enum class CacheChange {
    Recover,
    Slow,           ///< slower by `factor`
    Reject,         ///< rejects every request as full
    Silent,         ///< accepts requests and never answers
    Fail,           ///< answers every request with an error
    RestartCold,    ///< restarts empty at its address; the list has its new start time
    Drain,          ///< the list marks it as leaving
    DrainAndLeave,  ///< leaves at once: the list changes hold an entry for the drain and one for
                    ///< its end
    Leave,          ///< stops, and the list marks it as left
    Replace,        ///< stops; a cold server with a new id takes its place (see `same_address`)
  };
  Kind kind = Kind::Kill;
  Micros at = 0;      ///< since the start of the load
  std::string label;  ///< shown in reports
  std::vector<int> routers, caches;
  Micros stagger = 0;  ///< delay between one member of the group and the next
  int repetitions = 1;
  Micros interval = 0;        ///< between repetitions
  Micros duration = 0;        ///< after which the action is undone; 0: never
  Micros restart_delay = -1;  ///< Kill, Term: delay until the router is started again; -1: never
  InitialList initial_list = InitialList::Current;
  StoredState stored_state = StoredState::Kept;
  std::string config;                      ///< JSON merge patch for the configuration
  bool changes_discovery_address = false;  ///< Reload: discovery moves to a new address
  enum class LinkPath { TillsToRouters, RoutersToCaches, RoutersToDiscovery } path{};
  LinkFault link_fault;
  CacheChange cache_change = CacheChange::Recover;
  double factor = 1;  ///< Slow, Origin, Load
  bool same_address = false;
  std::string discovery_state;  ///< a rig::DiscoveryFault in lower case, "forget" or "mute"
  Micros work_time = -1, max_wait = -1;  ///< Discovery: new capacity; -1: unchanged
};

/// A bound on a metric that the event log of the run must meet.
struct Claim {
  enum class Metric {
    ServedShare,      ///< share of requests in the interval that were served
    InTimeShare,      ///< share served within the class's latency objective
    UnservedCount,    ///< requests in the interval that were not served
    FullServiceTime,  ///< time from `from` until service is as good as before
    FirstServedTime,  ///< `quantile` of the times from a router's kill until it serves again
    PeakListCalls,    ///< highest number of discovery calls in any `window`
    PeakDials,        ///< highest number of connections opened to one cache in any `window`
    PeakAttempts,     ///< highest number of attempts received by one cache in any `window`
    PeakFetches,      ///< highest number of origin fetches in any `window`
    TotalAttempts,    ///< attempts received by the caches
    TotalListCalls,   ///< calls to discovery
    TotalStarts,      ///< router processes started
  };
  Metric metric = Metric::ServedShare;
  std::string label;
  Micros from = 0, to = 0;
  std::vector<int> routers, caches;  ///< empty: all
  Micros window = kSecond;
  double quantile = 0.5;
  double min = 0, max = 0;  ///< durations in microseconds
  bool has_min = false, has_max = false, is_duration = false;
};

struct Scenario {
  std::string name, description;
  std::uint64_t seed = 1;
  Micros duration = 20 * kSecond;
  int router_count = 4;
  std::string program = "wheeldeal";  ///< or "arrowfork"
  int max_sockets = 512;
  InitialList initial_list = InitialList::Current;  ///< at the first start
  std::string config;                               ///< JSON merge patch for every configuration
  bool store = false;                               ///< each router stores its state in a directory
  bool control = false;  ///< control address and state_dir, which an upgrade needs
  int cache_count = 6, cores = 4, queue_slots = 8, max_connections = 0;
  Micros work_time = kMillisecond;  ///< mean for a read on one core
  double work_time_cv = 0;
  int keys_per_cache = 2'000;
  bool warm = true;  ///< caches hold the requested keys from the start
  int origin_slots = 16;
  Micros origin_work_time = 5 * kMillisecond;
  bool pushed_lists =
      false;  ///< discovery stands for the agent on each router's machine, which pushes lists
  rig::DiscoveryServer::Capacity discovery_capacity;
  double first_tries_per_s = 100, write_share = 0.1;
  int key_count = 1'000, max_tries = 1;
  Micros retry_pause = 0;
  bool marks_retries = false;
  Micros key_ttl = 5 * kSecond;  ///< caches deduplicate writes for this long
  robinseam::Group dedup_group = robinseam::Group::All;  ///< caches that share deduplication
  bool retry_elsewhere = true;                           ///< a retry goes to another router
  Micros failure_detection_time = kSecond;  ///< until the load balancer notices a dead router
  Micros slack = 250 * kMillisecond;  ///< added to the rules' times, for delays of this machine
  Micros max_poll_delay = 10 * kSecond;
  Micros cold_time = 8 * kSecond;
  std::vector<Action> actions;
  std::vector<Claim> claims;
};

/// Throws std::runtime_error with one line per error: file, line, column and message.
Scenario read_scenario(const std::string& path);
Scenario parse_scenario(const std::string& text, const std::string& name);

}  // namespace arrowfork::tier
