// Discovery over HTTP: a watch that renews itself, and single fetches.
#pragma once

#include <event2/http.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "../io/io.hpp"
#include "config.hpp"

namespace arrowfork {

/// One HTTP call at a time.
class DiscoveryCall {
 public:
  /// Gets the list, or nothing where the call failed in any way.
  using Done = std::function<void(std::optional<HostList>)>;
  DiscoveryCall(event_base* base, const std::string& address, Done done);
  ~DiscoveryCall();
  DiscoveryCall(const DiscoveryCall&) = delete;
  DiscoveryCall& operator=(const DiscoveryCall&) = delete;
  /// Starts a call; one that is under way is dropped.
  void start(const std::string& path, Micros limit);
  void stop();
  /// From here on `done` gets what a call under way brings.
  void hand_over(Done done) { done_ = std::move(done); }

 private:
  static void on_answer(evhttp_request* request, void* self);
  static void on_ready(evutil_socket_t, short, void* self);

  struct ConnectionFree {
    void operator()(evhttp_connection* c) const { evhttp_connection_free(c); }
  };
  event_base* base_;
  std::string host_;
  std::uint16_t port_ = 0;
  std::string authority_;
  Done done_;
  std::unique_ptr<evhttp_connection, ConnectionFree> connection_;
  EventPtr ready_;  // the result is handed on outside of evhttp's own call
  std::optional<HostList> result_;
};

class Discovery {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void on_hosts(HostList&& list) = 0;
    virtual void on_hosts_failed() = 0;
  };
  /// `insist`: watch from the start and begin again after failures without being asked to, for
  /// sites where lists are pushed.
  Discovery(event_base* base, const std::string& address, const std::string& version, bool insist,
            Handler& handler);
  /// Goes over to another address without a gap: the watch that is out at the old one stays until
  /// the new one has given its whole list, and what it still brings counts.
  void move_to(const std::string& address);
  /// Begins a watch, anew where one is under way.
  void watch();
  /// Asks for the whole list once.
  void fetch();
  void stop();

 private:
  using Call = std::unique_ptr<DiscoveryCall>;
  Call watch_at(const std::string& address);
  Call fetch_at(const std::string& address);
  void call();
  void take(std::optional<HostList> list);
  void take_old(std::optional<HostList> list);
  void again_in(Micros pause);
  static void on_again(evutil_socket_t, short, void* self);

  event_base* base_;
  Handler& handler_;
  bool insist_;
  std::string version_;
  bool renewing_ = false;
  bool fetch_overlapped_ = false;
  Call watch_, fetch_;
  Call old_watch_;  // at the address that was left, until the new one has answered
  int moving_ = 0;  // calls that may still fail at a new address before the module is told
  EventPtr again_;
};

}  // namespace arrowfork
