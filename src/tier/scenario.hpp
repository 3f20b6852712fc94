// A scenario: a tier, its load, what goes wrong when, and what must hold. Data, read from TOML.
#pragma once

#include <string>
#include <vector>

#include "../rig/discovery_server.hpp"
#include "link.hpp"

namespace arrowfork::tier {

/// What a router's kept state is when it starts again.
enum class StoredState {
  Kept,
  Wiped,
  Old,          ///< as it was when the load began
  OtherRouter,  ///< another router's
  Truncated,    ///< each file cut short in its middle
};

/// The list of servers that a router's configuration holds when it starts.
enum class InitialList { Current, None, Old };

struct Action {
  enum class Kind {
    Kill,      ///< SIGKILL
    Term,      ///< SIGTERM
    Stop,      ///< SIGSTOP
    Continue,  ///< SIGCONT
    Reload,    ///< SIGHUP, after `config` has been written
    Upgrade,   ///< a second process beside the first, which gets SIGTERM once the new one is ready
    Link,
    Cache,
    Discovery,
    Origin,
    Load,
  };
  /// What is done to cache servers.
  enum class CacheChange {
    Recover,
    Slow,           ///< by `factor`
    Reject,         ///< turns all away
    Silent,         ///< takes and never answers
    Fail,           ///< answers with errors
    RestartCold,    ///< started anew at its address, empty; the list tells when
    Drain,          ///< the list says that it is leaving
    DrainAndLeave,  ///< it drains, and is gone at once: changes have an entry for each
    Leave,          ///< gone, and the list says so
    Replace,        ///< gone; another under a new name, cold, at `address`
  };
  Kind kind = Kind::Kill;
  Micros at = 0;      ///< since the load began
  std::string label;  ///< as the file has it, for the account
  std::vector<int> routers, caches;
  Micros stagger = 0;  ///< between one of the group and the next
  int repetitions = 1;
  Micros interval = 0;        ///< between the times
  Micros duration = 0;        ///< then it is undone; 0: it stays
  Micros restart_delay = -1;  ///< Kill, Term: until it is started again; -1: never
  InitialList initial_list = InitialList::Current;
  StoredState stored_state = StoredState::Kept;
  std::string config;                      ///< JSON that is merged into the configuration
  bool changes_discovery_address = false;  ///< Reload: discovery has another address from then on
  enum class LinkPath { TillsToRouters, RoutersToCaches, RoutersToDiscovery } path{};
  LinkFault link_fault;
  CacheChange cache_change = CacheChange::Recover;
  double factor = 1;  ///< Slow, Origin, Load
  bool same_address = false;
  std::string discovery_state;  ///< as rig::DiscoveryFault has them, in lower case; "forget"
  Micros work_time = -1, max_wait = -1;  ///< Discovery: a new capacity; -1: as it is
};

/// Something that must hold, by the account.
struct Claim {
  enum class Metric {
    ServedShare,      ///< part of the first tries of the time that were served
    InTimeShare,      ///< the same within the class's aim
    UnservedCount,    ///< first tries of the time that were not
    FullServiceTime,  ///< time from `from` until service is as before
    FirstServedTime,  ///< time from each router's kill until it serves: of the part `part` of them
    PeakListCalls,    ///< most calls on discovery in any `window`
    PeakDials,        ///< most connections to one of the caches in any `window`
    PeakAttempts,     ///< most attempts begun at one of the caches in any `window`
    PeakFetches,      ///< most fetches at the origin in any `window`
    TotalAttempts,    ///< attempts begun at the caches, all together
    TotalListCalls,   ///< calls on discovery, all together
    TotalStarts,      ///< processes started
  };
  Metric metric = Metric::ServedShare;
  std::string label;
  Micros from = 0, to = 0;
  std::vector<int> routers, caches;  ///< empty: all
  Micros window = kSecond;
  double quantile = 0.5;
  double min = 0, max = 0;  ///< times in microseconds
  bool has_min = false, has_max = false, is_duration = false;
};

struct Scenario {
  std::string name, description;
  std::uint64_t seed = 1;
  Micros duration = 20 * kSecond;
  int router_count = 4;
  std::string program = "wheeldeal";  ///< or "arrowfork"
  int max_sockets = 512;
  InitialList initial_list = InitialList::Current;  ///< of the first start
  std::string config;                               ///< JSON merged into every configuration
  bool store = false;                               ///< each keeps state in a folder of its own
  bool control = false;  ///< a control address and kept state, as an upgrade needs
  int cache_count = 6, cores = 4, queue_slots = 8, max_connections = 0;
  Micros work_time = kMillisecond;  ///< mean of a read, on one core
  double work_time_cv = 0;
  int keys_per_cache = 2'000;
  bool warm = true;  ///< they hold what is asked for at the begin
  int origin_slots = 16;
  Micros origin_work_time = 5 * kMillisecond;
  bool pushed_lists = false;  ///< discovery stands for an agent on each router's own machine
  rig::DiscoveryServer::Capacity discovery_capacity;
  double first_tries_per_s = 100, write_share = 0.1;
  int key_count = 1'000, max_tries = 1;
  Micros retry_pause = 0;
  bool marks_retries = false;
  Micros key_ttl = 5 * kSecond;  ///< so long caches drop repeats of a write
  robinseam::Group dedup_group =
      robinseam::Group::All;                ///< of caches that drop each other's repeats
  bool retry_elsewhere = true;              ///< a further try goes to another router
  Micros failure_detection_time = kSecond;  ///< until the front sees that a router has died
  Micros slack = 250 * kMillisecond;  ///< what this machine may take on top of the rules' times
  Micros max_poll_delay = 10 * kSecond;
  Micros cold_time = 8 * kSecond;
  std::vector<Action> actions;
  std::vector<Claim> claims;
};

/// Throws std::runtime_error naming everything that is wrong, a line each with line and column.
Scenario read_scenario(const std::string& path);
Scenario parse_scenario(const std::string& text, const std::string& name);

}  // namespace arrowfork::tier
