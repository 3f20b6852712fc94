// The router: the core between client connections, server connections and discovery, on one loop.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../control/control_server.hpp"
#include "../control/handover.hpp"
#include "../core/core.hpp"
#include "../io/io.hpp"
#include "../membership/disabled_servers_file.hpp"
#include "../membership/operator_overrides.hpp"
#include "client_side.hpp"
#include "config.hpp"
#include "discovery.hpp"
#include "frontend.hpp"
#include "list_persistence.hpp"
#include "recovery/recovery.hpp"
#include "server_side.hpp"

namespace arrowfork {

class Router final : ServerSide::Handler,
                     Discovery::Handler,
                     Lister,
                     ControlServer::Handler,
                     Handover::Handler {
 public:
  /// Throws ConfigError when the configuration can't be used. `clock` must outlive the router.
  Router(event_base* base, const Config& config, const TimeSource& clock);

  /// False with the reason in `error`.
  bool listen(std::string& error);
  /// Runs until stop() has been carried out.
  void run();
  /// Swaps the configuration under load: requests and connections go on. Throws ConfigError, with
  /// nothing changed, when it can't be used.
  void reload(const Config& next);
  /// Planned end: see PROTOCOL's figures for restarts.
  void stop();
  /// Ends run() without a drain.
  void quit() { done_ = true; }
  std::uint16_t port() const { return clients_.port(); }
  /// Of the control address; 0 where there is none.
  std::uint16_t control_port() const { return control_ ? control_->port() : 0; }
  /// Clients are accepted here and some cache server is listed that may be used.
  bool ready() const;
  /// A listed server may be used.
  bool has_ready_server() const;
  /// A reload that could not be carried out, for the figures.
  void record_failed_reload() { ++reloads_failed_; }
  Core& core() { return core_; }
  /// A further front, which takes part in the loop and in the planned end from here on. It must
  /// outlive run().
  /// Is told each list from now on; nullptr: none. It must outlive the router.
  void set_list_persistence(ListPersistence* memory) { memory_ = memory; }
  void add_frontend(Frontend& front) { fronts_.push_back(&front); }
  std::string address_of(const std::string& server) const { return servers_.address_of(server); }
  const std::vector<robinseam::ReportField>& report_fields() const {
    return config_.settings.report_fields;
  }

 private:
  // ServerSide::Handler
  void on_attempt_end(RequestId id, int attempt, Status status, AttemptResult&& result) override {
    core_.attempt_ended(id, attempt, status, std::move(result));
  }
  // Discovery::Handler
  void on_hosts(HostList&& list) override;
  void on_drains(const HostList& list, bool drain_unlisted) override;
  void on_call_failed() override { recovery_.failed(clock_.now()); }
  void on_hosts_failed() override { core_.list(robinseam::ListScope::Failed, {}); }
  // Lister
  void watch() override;
  void fetch() override { discovery_.fetch(); }

  // ControlServer::Handler
  std::string on_control_call(const ControlCall& call) override;
  // Handover::Handler
  int listening_socket() override { return clients_.listener(); }
  std::string server_list() override { return text_of(hand_.discovered_list()); }
  void on_successor_ready() override;
  void on_successor_lost() override;
  void on_client_handed_over(Fd&& client) override { clients_.adopt(std::move(client)); }
  void on_predecessor_descriptors(std::size_t descriptors) override;
  void on_predecessor_gone() override;

  std::string set_out(const std::string& id, bool out);
  void apply_bans(const DisabledServers& bans);
  /// Accepts clients in the predecessor's place as soon as they can be served.
  void take_over_if_ready();
  std::size_t held_descriptors() const;
  void share_out();
  std::string metrics() const;
  static void on_tick(evutil_socket_t, short, void* self);
  static void on_timer(evutil_socket_t, short, void* self);
  static void on_stop_step(evutil_socket_t, short, void* self);
  /// The settings that decide when changes of the list count as told.
  void log_settings() const;
  /// The log's lines: figures, servers at which anything but answers came, servers that go or
  /// return.
  void log_servers();
  void log_states();
  static void on_log(evutil_socket_t, short, void* self);
  static void on_pulse(evutil_socket_t, short, void* self);
  /// Tells the recovery what came of requests, and the log where that has led.
  void note_recovery();
  /// One line for those who ask whether it is ready.
  std::string recovery_line();
  bool list_is_old(const robinseam::recovery::Recovery::View& view) const;
  void note_overdue();
  void note_leaving(const HostList& told) const;
  /// Acts on a list or a change of it, whoever it is from.
  void apply(HostList&& told);
  void arm();
  /// Every figure under its name, for the log and for a client's STAT.
  std::vector<std::pair<std::string, std::string>> stats() const;

  event_base* base_;
  Config config_;
  const TimeSource& clock_;
  Micros born_;
  Core core_;
  Micros armed_at_ = 0;
  EventPtr timer_event_, stop_event_, log_event_, tick_event_, pulse_event_;
  ServerSide servers_;
  ClientSide clients_;
  Discovery discovery_;
  OperatorOverrides hand_;
  DisabledServersFile ban_file_;
  mutable robinseam::recovery::Recovery recovery_;  // its view moves on with time alone
  robinseam::recovery::Phase told_phase_ = robinseam::recovery::Phase::Starting;
  bool told_overdue_ = false;
  std::uint64_t served_seen_ = 0, unserved_seen_ = 0;
  Micros pulse_at_;
  std::unique_ptr<ControlServer> control_;
  std::unique_ptr<Handover> handover_;
  bool taking_over_ = false;        // the predecessor still accepts
  std::size_t held_elsewhere_ = 0;  // descriptors of the other process of an upgrade
  std::uint64_t reloads_ok_ = 0, reloads_failed_ = 0;
  std::vector<Frontend*> fronts_;
  ListPersistence* memory_ = nullptr;
  std::set<std::string> down_;  // listed servers that the last line of states left as down
  Micros stopping_since_ = 0;
  bool done_ = false;
};

}  // namespace arrowfork
