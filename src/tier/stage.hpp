// The processes and stand-ins of one run, driven by its timeline.
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
#include "account.hpp"
#include "checker.hpp"
#include "tier.hpp"

namespace arrowfork::tier {

class Stage final : rig::StormTills::Observer,
                    rig::ModelCache::Observer,
                    rig::DiscoveryServer::Observer {
 public:
  /// Throws std::runtime_error where something does not start. The scenario must outlive it.
  Stage(const Scenario& scenario, const TierOptions& options);
  ~Stage() override;

  /// Plays it to its end.
  void run();
  const Account& account() const { return account_; }
  Figures figures() const;
  /// The longest that the rig itself was behind its own clock while the load ran.
  Micros furthest_behind() const { return behind_; }

 private:
  struct Router {
    int index = 0;
    std::size_t port_number = 0;  // of discovery
    std::unique_ptr<rig::RouterProcess> process, successor;
    std::map<int, std::unique_ptr<Link>> to_caches;
    std::unique_ptr<Link> to_discovery, from_tills;
    std::string config;  // what scenarios have merged into it so far
    int starts = 0;
    bool in_use = false, stopped = false, meant = false;
    Micros hurt_at = 0;  // when it died or was stopped
    Fd probe;
    bool asked = false;  // on the probe
  };
  struct CacheSlot {
    std::unique_ptr<rig::ModelCache> server;
    std::string id;
    int generation = 0;
    std::string health = "active";
    Micros born = 0;  // Unix time, as a list tells it; 0: long ago
  };
  struct Due {
    Micros at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Due& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  void plan_day();
  void start_caches();
  void start_routers();
  void start(Router& router, Known known);
  std::string config_of(const Router& router, Known known) const;
  void in(Micros span, std::function<void()> run);
  void schedule(const Action& action);
  void act(const Action& action, std::size_t member);
  void start_when_over(Router& router, Known known, State state);
  std::filesystem::path store_of(int router) const;
  void change_state(int router, State state);
  void end(Router& router, int signal, const Action& action);
  void stop(Router& router, Micros lasts);
  void resume(Router& router);
  void upgrade(Router& router);
  void finish_upgrade(Router& router, int tries);
  void note_reach(int router, bool reachable);
  void set_links(const Action& action, const LinkFault& fault);
  void set_cache(int index, const Action& action);
  void restore_cache(int index, Action::Cache state);
  void restart_cache(int index);
  void list_twice(int index);
  std::size_t open_port(int router);
  void move_discovery(Router& router);
  void list(int index, const std::string& health, bool cold);
  void set_discovery(const Action& action);

  static void on_tick(evutil_socket_t, short, void* self);
  void tick();
  void watch(Router& router);
  void probe(Router& router);
  bool usable(const Router& router) const;
  int pick(int drawn);
  bool spin_until(const std::function<bool()>& done, Micros limit);
  std::uint16_t port_of_cache(int index) const;

  void asked(const rig::StormTills::Try& one) override;
  void ended(std::uint64_t id, rig::StormTills::End end) override;
  void done(std::uint64_t job, bool served) override;
  void dialled(rig::ModelCache& server) override;
  void begun(rig::ModelCache& server, const Command& command) override;
  void called(std::size_t port) override;
  void told(std::size_t port, std::optional<std::uint64_t> version) override;
  void muted(std::size_t port, Micros left) override;

  const Scenario& s_;
  const TierOptions& o_;
  Clock clock_;
  EventBasePtr base_;
  rig::TemporaryFolder folder_;
  Account account_{clock_};
  emu::DayPlan day_;
  rig::DiscoveryServer discovery_;
  rig::Effects effects_;
  std::unique_ptr<rig::ModelWorld> world_;
  std::vector<CacheSlot> caches_;
  std::vector<std::unique_ptr<rig::ModelCache>> left_;  // that were replaced at another address
  std::map<std::size_t, int> router_of_port_;           // of discovery
  std::map<std::string, int> cache_of_;                 // by id
  std::map<const rig::ModelCache*, int> index_of_;
  std::vector<Router> routers_;
  std::vector<std::string> old_lists_;  // by router, as at the begin
  std::unique_ptr<rig::StormTills> tills_;
  emu::Second second_;  // the tills count there; the account is what is looked at
  std::vector<Due> due_;
  std::uint64_t order_ = 0;
  EventPtr tick_event_;
  std::mt19937_64 random_;
  Micros ticked_at_ = 0, behind_ = 0;
  std::uint64_t fetched_ = 0, doubled_ = 0;
  bool playing_ = false, ending_ = false;
};

}  // namespace arrowfork::tier
