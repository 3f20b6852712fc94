// Calls discovery over HTTP on the event loop, as membership/list_subscription decides.
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

/// Makes HTTP calls on discovery, one at a time.
class DiscoveryCall {
 public:
  /// Called with the list, or with the failure of the call.
  using Callback = std::function<void(int id, ListResult result)>;
  using CallFailure = robinseam::membership::CallFailure;
  /// Counts since the process started, for the log.
  struct Counts {
    std::uint64_t calls = 0, failed = 0;
    std::uint64_t invalid = 0;    ///< of failed: answered without a list that can be applied
    std::uint64_t timed_out = 0;  ///< of failed: no answer in time
    std::uint64_t cancelled = 0;  ///< before their timeout
  };
  /// The course of a call, for the log.
  struct Trace {
    std::string path;
    Micros started = 0;
    Micros first_byte = 0;  ///< 0: none received
    int status = 0;         ///< HTTP status; 0: no response head received
  };
  DiscoveryCall(event_base* base, const TimeSource& clock, Counts& counts, Callback done);
  ~DiscoveryCall();
  DiscoveryCall(const DiscoveryCall&) = delete;
  DiscoveryCall& operator=(const DiscoveryCall&) = delete;
  /// Starts a call; drops one that is in flight.
  void start(const ListCall& call);
  void stop();
  bool in_flight() const { return connection_ != nullptr; }
  int id() const { return id_; }
  const Trace& trace() const { return trace_; }

 private:
  static void on_answer(evhttp_request* request, void* self);
  static void on_error(evhttp_request_error error, void* self);
  void record_invalid_answer(const char* reason);
  void on_stalled();
  static void on_result_or_timeout(evutil_socket_t, short, void* self);
  static void on_answer_bytes(evbuffer* input, const evbuffer_cb_info* info, void* self);

  struct ConnectionDeleter {
    void operator()(evhttp_connection* c) const { evhttp_connection_free(c); }
  };
  event_base* base_;
  const TimeSource& clock_;
  std::string authority_;
  Trace trace_;
  Counts& counts_;
  Callback callback_;
  std::unique_ptr<evhttp_connection, ConnectionDeleter> connection_;
  evhttp_request* request_ = nullptr;  // in flight; owned by the connection
  EventPtr ready_;                     // calls back outside of the evhttp callback
  std::optional<HostList> result_;
  CallFailure failure_ = CallFailure::Refused;
  Micros timeout_ = 0;
  int id_ = 0;
  bool answer_started_ = false;  // the first bytes have been received
  bool stalled_ = false;         // the answer has stalled, and that was reported
};

/// Connects a ListSubscription to HTTP calls and to a timer of the event loop.
class Discovery final : ListTransport, ListSubscription::Handler {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void on_hosts(HostList&& list) = 0;
    /// An answer that can't be applied as a list names servers that drain or leave; see
    /// extract_drains().
    virtual void on_drains(const HostList& list, bool drain_unlisted) = 0;
    /// Some call has failed; the next one may already be in flight.
    virtual void on_call_failed() = 0;
    /// A call has failed and none is in flight. The next one is planned; the handler may call
    /// sooner.
    virtual void on_hosts_failed() = 0;
  };
  /// `known`: the current list.
  Discovery(event_base* base, const TimeSource& clock, const std::string& address,
            const HostList& known, const ListSubscription::Options& options, Handler& handler);
  ~Discovery() override;
  // Forwarded to the subscription.
  void change_address(const std::string& address);
  void watch();
  bool planned() const { return subscription_->planned(); }
  void poll_within(Micros span);
  void fetch_full_list();
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
  void log_ended_call(int id, const ListResult& result);
  /// Logs a call that has ended or was cancelled. `list`: its answer, may be null.
  void log_call(const DiscoveryCall& call, const char* end, const HostList* list);
  /// Sets the timer for the subscription's next call.
  void schedule_timer();
  static void on_timer(evutil_socket_t, short, void* self);

  event_base* base_;
  const TimeSource& clock_;
  Handler& handler_;
  DiscoveryCall::Counts counts_;
  /// Reused once their call has ended. Never freed before: the callback may come from one of them.
  std::vector<std::unique_ptr<DiscoveryCall>> calls_;
  EventPtr timer_;
  LogLimit call_log_limit_;
  std::string last_rejection_reason_;               // last one logged; cleared by an applied list
  std::unique_ptr<ListSubscription> subscription_;  // last: its constructor starts calls
};

}  // namespace arrowfork
