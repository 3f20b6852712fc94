// The router: the core between client connections, server connections and discovery, on one loop.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "../core/core.hpp"
#include "../io/io.hpp"
#include "client_side.hpp"
#include "config.hpp"
#include "discovery.hpp"
#include "front.hpp"
#include "server_side.hpp"

namespace arrowfork {

class Router final : ServerSide::Handler, Discovery::Handler, Lister {
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
  Core& core() { return core_; }
  /// A further front, which takes part in the loop and in the planned end from here on. It must
  /// outlive run().
  void add_front(Front& front) { fronts_.push_back(&front); }
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
  void on_hosts_failed() override;
  // Lister
  void watch() override { discovery_.watch(); }
  void fetch() override { discovery_.fetch(); }

  static void on_timer(evutil_socket_t, short, void* self);
  static void on_stop_step(evutil_socket_t, short, void* self);
  static void on_log(evutil_socket_t, short, void* self);
  void arm();
  std::vector<std::pair<std::string, std::string>> stats() const;

  event_base* base_;
  Config config_;
  const TimeSource& clock_;
  Core core_;
  Micros armed_at_ = 0;
  EventPtr timer_event_, stop_event_, log_event_;
  ServerSide servers_;
  ClientSide clients_;
  Discovery discovery_;
  std::vector<Front*> fronts_;
  Micros stopping_since_ = 0;
  bool done_ = false;
};

}  // namespace arrowfork
