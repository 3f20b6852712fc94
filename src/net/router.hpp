// The router: connects the core with client connections, server connections and discovery, all on
// one event loop.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../control/control_server.hpp"
#include "../control/handover.hpp"
#include "../core/core.hpp"
#include "../core/shutdown_schedule.hpp"
#include "../io/io.hpp"
#include "../membership/disabled_servers_file.hpp"
#include "../membership/operator_overrides.hpp"
#include "client_side.hpp"
#include "config.hpp"
#include "discovery.hpp"
#include "frontend.hpp"
#include "list_persistence.hpp"
#include "recovery/recovery.hpp"
#include "request_log.hpp"
#include "server_side.hpp"

namespace arrowfork {

class Router final : ServerSide::Handler,
                     Discovery::Handler,
                     ListSource,
                     ControlServer::Handler,
                     Handover::Handler {
 public:
  /// Throws ConfigError when the configuration can't be used. `clock` must outlive the router.
  Router(event_base* base, const Config& config, const TimeSource& clock);

  /// On failure returns false with the reason in `error`.
  bool listen(std::string& error);
  /// Runs until stop() has completed or quit() is called.
  void run();
  /// Changes the configuration under load: requests and connections continue. Throws ConfigError,
  /// with nothing changed, when it can't be used.
  void reload(const Config& next);
  /// Starts the planned shutdown; its times are those of PROTOCOL for restarts.
  void stop();
  /// Ends run() without a drain.
  void quit() { done_ = true; }
  std::uint16_t port() const { return clients_.port(); }
  /// Port of the control address; 0 if there is none.
  std::uint16_t control_port() const { return control_ ? control_->port() : 0; }
  /// True if this process accepts clients and a listed server may be used.
  bool ready() const;
  /// True if a listed server may be used.
  bool has_ready_server() const;
  /// Counts a reload that could not be applied, for the metrics.
  void record_failed_reload() { ++reloads_failed_; }
  Core& core() { return core_; }
  /// `persistence` receives each list that discovery confirms from now on; nullptr for none. It
  /// must outlive the router.
  void set_list_persistence(ListPersistence* persistence) { list_persistence_ = persistence; }
  /// Adds a frontend to the loop and to the planned shutdown. It must outlive run().
  void add_frontend(Frontend& frontend) { frontends_.push_back(&frontend); }
  std::string address_of(const std::string& server) const { return servers_.address_of(server); }
  const std::vector<robinseam::ReportField>& report_fields() const {
    return config_.settings.report_fields;
  }

 private:
  // ServerSide::Handler
  void on_attempt_end(RequestId id, int attempt, Status status, AttemptResult&& result) override {
    core_.on_attempt_ended(id, attempt, status, std::move(result));
  }
  bool client_has_backlog(RequestId id) override { return core_.client_has_backlog(id); }
  void on_late_write(const std::string& id_or_key, int attempt, const std::string& server,
                     Micros waited) override {
    request_log_.on_late_write(id_or_key, attempt, server, waited);
  }
  // Discovery::Handler
  void on_hosts(HostList&& list) override;
  void on_drains(const HostList& list, bool drain_unlisted) override;
  void on_call_failed() override { recovery_.record_call_failure(clock_.now()); }
  void on_hosts_failed() override { core_.on_list(robinseam::ListScope::Failed, {}); }
  // ListSource
  void watch_list() override;
  void fetch_list() override { discovery_.fetch_full_list(); }

  // ControlServer::Handler
  std::string on_control_call(const ControlCall& call) override;
  // Handover::Handler
  int listening_socket() override { return clients_.listener(); }
  std::string server_list() override {
    return host_list_to_json(operator_overrides_.discovered_list());
  }
  void on_successor_connected() override;
  void on_request_ids(const std::string& ids) override;
  void on_successor_ready() override;
  void on_successor_lost() override;
  void on_client_handed_over(HandedOverClient&& client) override {
    handed_over_clients_.push_back(std::move(client));
  }
  void on_predecessor_descriptors(std::size_t descriptors) override;
  void on_predecessor_gone() override;

  std::string set_server_disabled(const std::string& id, bool disabled);
  void apply_disabled_servers(const DisabledServers& disabled);
  /// Accepts clients in place of the predecessor as soon as they can be served.
  void take_over_if_ready();
  std::size_t descriptors_in_use() const;
  /// Applies the resource limits, shared with the other process of an upgrade.
  void apply_limits();
  std::string metrics() const;
  static void on_tick(evutil_socket_t, short, void* self);
  static void on_timer(evutil_socket_t, short, void* self);
  static void on_stop_step(evutil_socket_t, short, void* self);
  /// Logs the settings that decide from when a list change must be acted on.
  void log_settings() const;
  /// Periodic log lines: counters, servers with failed attempts, servers that went down or up.
  void log_servers();
  void log_states();
  static void on_log(evutil_socket_t, short, void* self);
  static void on_heartbeat(evutil_socket_t, short, void* self);
  /// Passes request results to recovery_ and logs a change of its phase.
  void update_recovery();
  /// One line about recovery for readiness answers and the log.
  std::string recovery_line();
  bool list_is_old(const robinseam::recovery::Recovery::View& view) const;
  void log_overdue();
  void log_leaving(const HostList& list) const;
  /// Applies a full list or a change of it, whatever its source.
  void apply(HostList&& discovered);
  /// Sends the ids of accepted requests to the other process of an upgrade, if there is one.
  void send_request_ids();
  void adopt_clients();
  /// Arms the timer of the core's next timed event.
  void arm_timer();
  /// All counters and gauges by name, for the log and for a client's STAT.
  std::vector<std::pair<std::string, std::string>> stats() const;

  event_base* base_;
  Config config_;
  const TimeSource& clock_;
  Micros started_at_;
  Core core_;
  RequestLog request_log_;
  Micros timer_due_at_ = 0;
  EventPtr timer_event_, stop_event_, log_event_, tick_event_, heartbeat_event_;
  robinseam::limits::MemoryAccount memory_;
  ServerSide servers_;
  ClientSide clients_;
  Discovery discovery_;
  OperatorOverrides operator_overrides_;
  DisabledServersFile disabled_servers_file_;
  mutable robinseam::recovery::Recovery recovery_;  // view() also advances its phase with time
  robinseam::recovery::Phase logged_phase_ = robinseam::recovery::Phase::Starting;
  bool logged_overdue_ = false;
  std::uint64_t last_served_ = 0, last_unserved_ = 0;
  Micros last_heartbeat_at_;
  std::unique_ptr<ControlServer> control_;
  std::unique_ptr<Handover> handover_;
  std::vector<HandedOverClient> handed_over_clients_;  // adopted by the next iteration of the loop
  bool taking_over_ = false;                           // the predecessor still accepts clients
  bool lists_ids_for_predecessor_ = false;
  std::size_t other_process_descriptors_ = 0;  // open in the other process of an upgrade
  std::uint64_t reloads_ok_ = 0, reloads_failed_ = 0;
  std::vector<Frontend*> frontends_;
  ListPersistence* list_persistence_ = nullptr;
  std::set<std::string> down_servers_;  // listed servers that the last `states` line left as down
  std::optional<ShutdownSchedule> shutdown_;  // set by stop()
  bool done_ = false;
};

}  // namespace arrowfork
