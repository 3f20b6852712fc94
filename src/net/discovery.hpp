// Discovery over HTTP: a watch that renews itself, and single fetches.
#pragma once

#include <event2/http.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config.hpp"
#include "io.hpp"

namespace arrowfork {

/// One HTTP call at a time.
class DiscoveryCall {
 public:
  /// Gets the list, or nothing where the call failed in any way.
  using Done = std::function<void(std::optional<HostList>)>;
  DiscoveryCall(event_base* base, const std::string& address, Done done);
  ~DiscoveryCall();
  /// Starts a call; one that is under way is dropped.
  void start(const std::string& path, Micros limit);
  void stop();

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
  /// Begins a watch, anew where one is under way.
  void watch();
  /// Asks for the whole list once.
  void fetch();
  void stop();

 private:
  void call();
  void take(std::optional<HostList> list);
  static void on_again(evutil_socket_t, short, void* self);

  Handler& handler_;
  bool insist_;
  std::string version_;
  bool renewing_ = false;
  bool fetch_overlapped_ = false;
  DiscoveryCall watch_, fetch_;
  EventPtr again_;
};

}  // namespace arrowfork
