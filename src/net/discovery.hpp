// Discovery over HTTP on the event loop: the shell of membership/list_subscription.
#pragma once

#include <event2/buffer.h>
#include <event2/http.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../io/clock.hpp"
#include "../io/io.hpp"
#include "../io/log_limit.hpp"
#include "../membership/list_subscription.hpp"
#include "config.hpp"

namespace arrowfork {

/// One HTTP call at a time.
class DiscoveryCall {
 public:
  /// Gets the list, or nothing where the call failed in any way.
  using Done = std::function<void(int id, ListResult result)>;
  using CallFailure = robinseam::membership::CallFailure;
  /// Counts since the start, for the log.
  struct Counts {
    std::uint64_t calls = 0, failed = 0;
    std::uint64_t invalid =
        0;  ///< of the failed, those that brought what is no list or may not count
    std::uint64_t timed_out = 0;  ///< of the failed, those of which nothing was heard
    std::uint64_t cancelled = 0;  ///< given up before their time was over
  };
  /// What was seen of a call, for the log.
  struct Trace {
    std::string path;
    Micros started = 0;
    Micros first_byte = 0;  ///< 0: none has come
    int status = 0;         ///< of HTTP; 0: no head has come
  };
  DiscoveryCall(event_base* base, const TimeSource& clock, Counts& counts, Done done);
  ~DiscoveryCall();
  DiscoveryCall(const DiscoveryCall&) = delete;
  DiscoveryCall& operator=(const DiscoveryCall&) = delete;
  /// Starts a call; one that is under way is dropped.
  void start(const ListCall& call);
  void stop();
  /// A call is under way.
  bool in_flight() const { return connection_ != nullptr; }
  int id() const { return id_; }
  const Trace& trace() const { return trace_; }

 private:
  static void on_answer(evhttp_request* request, void* self);
  static void on_error(evhttp_request_error error, void* self);
  void bad(const char* what);
  void stall();
  static void on_ready(evutil_socket_t, short, void* self);
  static void on_bytes(evbuffer* input, const evbuffer_cb_info* info, void* self);

  struct ConnectionFree {
    void operator()(evhttp_connection* c) const { evhttp_connection_free(c); }
  };
  event_base* base_;
  const TimeSource& clock_;
  std::string authority_;
  Trace trace_;
  Counts& counts_;
  Done done_;
  std::unique_ptr<evhttp_connection, ConnectionFree> connection_;
  evhttp_request* request_ = nullptr;  // under way; the connection's own
  EventPtr ready_;                     // the result is handed on outside of evhttp's own call
  std::optional<HostList> result_;
  CallFailure fault_ = CallFailure::Refused;
  Micros limit_ = 0;
  int id_ = 0;
  bool begun_ = false;    // the answer has
  bool stalled_ = false;  // and has stopped short; that was told
};

/// Carries a subscription's calls over HTTP and its times on the event loop.
class Discovery final : ListTransport, ListSubscription::Handler {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void on_hosts(HostList&& list) = 0;
    /// An answer that may not change the list tells of servers that leave; see extract_drains().
    virtual void on_drains(const HostList& list, bool drain_unlisted) = 0;
    /// Any call; the next one may be under way already.
    virtual void on_call_failed() = 0;
    /// None is out: the next one is planned, and the handler may call sooner.
    virtual void on_hosts_failed() = 0;
  };
  /// `known`: the list that is held.
  Discovery(event_base* base, const TimeSource& clock, const std::string& address,
            const HostList& known, const ListSubscription::Options& options, Handler& handler);
  ~Discovery() override;
  /// These are the subscription's.
  void move_to(const std::string& address);
  void watch();
  bool planned() const { return subscription_->planned(); }
  void look_again(Micros span);
  void fetch();
  void stop();
  const std::string& version() const { return subscription_->version(); }
  bool overdue() const { return subscription_->overdue(clock_.now()); }
  Micros deadline() const { return subscription_->deadline(); }
  const char* deadline_reason() const { return name_of(subscription_->deadline_reason()); }
  const DiscoveryCall::Counts& counts() const { return counts_; }

 private:
  // ListTransport
  void start(const ListCall& call) override;
  void cancel(int id, CancelReason reason) override;
  // ListSubscription::Handler
  void on_hosts(HostList&& list) override;
  void on_call_failed() override { handler_.on_call_failed(); }
  void on_hosts_failed() override { handler_.on_hosts_failed(); }
  void on_list_rejected(const std::string& reason) override;
  void on_drains(const HostList& list, bool drain_unlisted) override {
    handler_.on_drains(list, drain_unlisted);
  }
  void log_end(int id, const ListResult& result);
  /// One line for a call that has ended or was given up. `list`: its answer.
  void log_call(const DiscoveryCall& call, const char* end, const HostList* list);
  /// Sets the timer to the subscription's next time.
  void arm();
  static void on_due(evutil_socket_t, short, void* self);

  event_base* base_;
  const TimeSource& clock_;
  Handler& handler_;
  DiscoveryCall::Counts counts_;
  /// Used again once their call has ended, and never freed before: one of them may be what tells of
  /// its end.
  std::vector<std::unique_ptr<DiscoveryCall>> calls_;
  EventPtr due_;
  LogLimit call_lines_;
  std::string refused_for_;  // the reason that was logged last, until a list is taken
  std::unique_ptr<ListSubscription> subscription_;  // last: it makes calls as it begins
};

}  // namespace arrowfork
