// Runs a scenario: starts the router processes and the simulated clients, caches and discovery, and
// applies the scenario's timeline to them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "../rig/discovery_server.hpp"
#include "../rig/model_cache.hpp"
#include "../rig/process.hpp"
#include "../rig/storm_tills.hpp"
#include "checker.hpp"
#include "event_log.hpp"
#include "tier.hpp"

namespace arrowfork::tier {

class ScenarioRunner final : rig::StormTills::Observer,
                             rig::ModelCache::Observer,
                             rig::DiscoveryServer::Observer {
 public:
  /// Throws std::runtime_error if something does not start. The scenario must outlive the runner.
  ScenarioRunner(const Scenario& scenario, const TierOptions& options);
  ~ScenarioRunner() override;

  /// Runs the scenario to its end.
  void run();
  const EventLog& event_log() const { return event_log_; }
  RuleParameters rule_parameters() const;
  /// The longest delay of a tick of the event loop while the load ran.
  Micros max_lag() const { return max_lag_; }

 private:
  struct Router {
    int index = 0;
    std::size_t discovery_port = 0;
    std::unique_ptr<rig::RouterProcess> process, successor;
    std::map<int, std::unique_ptr<Link>> to_caches;
    std::unique_ptr<Link> to_discovery, from_tills;
    std::string config;  // merge patch for its configuration, set by actions
    int start_count = 0;
    bool serving = false, stopped = false, exit_expected = false;
    Micros unavailable_since = 0;  // when it exited or was stopped
    Fd probe_socket;
    bool probe_sent = false;
  };
  struct CacheSlot {
    std::unique_ptr<rig::ModelCache> server;
    std::string id;
    int generation = 0;
    std::string health = "active";
    Micros started_at = 0;  // Unix time, as in the list; 0: long ago
  };
  struct ScheduledCall {
    Micros at;
    std::uint64_t sequence;
    std::function<void()> call;
    bool operator>(const ScheduledCall& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  void plan_simulation();
  void start_caches();
  void start_routers();
  void start(Router& router, InitialList initial_list);
  std::string router_config(const Router& router, InitialList initial_list) const;
  void run_after(Micros delay, std::function<void()> call);
  void schedule(const Action& action);
  void apply(const Action& action, std::size_t member);
  void start_after_exit(Router& router, InitialList initial_list, StoredState state);
  std::filesystem::path store_directory(int router) const;
  void prepare_stored_state(int router, StoredState state);
  void end_process(Router& router, int signal, const Action& action);
  void stop(Router& router, Micros duration);
  void resume(Router& router);
  void upgrade(Router& router);
  void finish_upgrade(Router& router, int polls);
  void record_reachability(int router, bool reachable);
  void set_link_faults(const Action& action, const LinkFault& fault);
  void change_cache(int index, const Action& action);
  void restore_cache(int index, Action::CacheChange change);
  void restart_cache(int index);
  void list_drained_and_gone(int index);
  std::size_t open_discovery_port(int router);
  void change_discovery_address(Router& router);
  void list_cache(int index, const std::string& health, bool cold);
  void change_discovery(const Action& action);

  static void on_tick(evutil_socket_t, short, void* self);
  void tick();
  void check_processes(Router& router);
  void probe_ready(Router& router);
  bool is_usable(const Router& router) const;
  int pick_router(int preferred);
  bool run_loop_until(const std::function<bool()>& done, Micros limit);
  std::uint16_t cache_port(int index) const;

  void on_try_started(const rig::StormTills::Try& client_try) override;
  void on_try_ended(std::uint64_t id, rig::StormTills::TryResult result) override;
  void on_request_done(std::uint64_t request_id, bool served) override;
  void on_connection(rig::ModelCache& server) override;
  void on_command(rig::ModelCache& server, const Command& command) override;
  void on_call(std::size_t port) override;
  void on_answer(std::size_t port, std::optional<std::uint64_t> version) override;
  void on_watch_silenced(std::size_t port, Micros left) override;

  const Scenario& scenario_;
  const TierOptions& options_;
  Clock clock_;
  EventBasePtr base_;
  rig::TemporaryDirectory folder_;
  EventLog event_log_{clock_};
  emu::DayPlan plan_;
  rig::DiscoveryServer discovery_;
  rig::EffectTracker effects_;
  std::unique_ptr<rig::RealTimeFleet> world_;
  std::vector<CacheSlot> caches_;
  std::vector<std::unique_ptr<rig::ModelCache>>
      former_caches_;  // replaced by one at another address
  std::map<std::size_t, int> router_by_discovery_port_;
  std::map<std::string, int> cache_index_by_id_;
  std::map<const rig::ModelCache*, int> cache_index_by_server_;
  std::vector<Router> routers_;
  std::vector<std::string> start_lists_;  // by router, as JSON, at the start of the run
  std::unique_ptr<rig::StormTills> tills_;
  emu::Second tills_counts_;  // required by the tills; unused, since only the event log counts
  std::vector<ScheduledCall> timeline_;
  std::uint64_t next_sequence_ = 0;
  EventPtr tick_event_;
  std::mt19937_64 random_;
  Micros last_tick_at_ = 0, max_lag_ = 0;
  std::uint64_t origin_fetches_ = 0, duplicate_effects_ = 0;
  bool load_running_ = false, shutting_down_ = false;
};

}  // namespace arrowfork::tier
