// Discovery over HTTP: a watch that renews itself, and single fetches.
#pragma once

#include <event2/buffer.h>
#include <event2/http.h>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "../io/clock.hpp"
#include "../io/io.hpp"
#include "../membership/list_guard.hpp"
#include "../membership/watching.hpp"
#include "config.hpp"

namespace arrowfork {

/// One HTTP call at a time.
class DiscoveryCall {
 public:
  /// Gets the list, or nothing where the call failed in any way.
  using Done = std::function<void(std::optional<HostList>)>;
  using Fault = robinseam::membership::Fault;
  /// Counts since the start, for the log.
  struct Counts {
    std::uint64_t calls = 0, failed = 0;
    std::uint64_t bad = 0;  ///< of the failed, those that brought what is no list or may not count
  };
  DiscoveryCall(event_base* base, const std::string& address, Counts& counts, Done done);
  ~DiscoveryCall();
  DiscoveryCall(const DiscoveryCall&) = delete;
  DiscoveryCall& operator=(const DiscoveryCall&) = delete;
  /// Starts a call; one that is under way is dropped.
  void start(const std::string& path, Micros limit);
  void stop();
  /// A call is under way.
  bool out() const { return connection_ != nullptr; }
  /// How the call that `done` was last told of without a list failed.
  Fault fault() const { return fault_; }
  /// What it was started with.
  Micros limit() const { return limit_; }
  /// From here on `done` gets what a call under way brings.
  void hand_over(Done done) { done_ = std::move(done); }

 private:
  static void on_answer(evhttp_request* request, void* self);
  static void on_error(evhttp_request_error error, void* self);
  void bad(const char* what);
  static void on_ready(evutil_socket_t, short, void* self);
  static void on_bytes(evbuffer* input, const evbuffer_cb_info* info, void* self);

  struct ConnectionFree {
    void operator()(evhttp_connection* c) const { evhttp_connection_free(c); }
  };
  event_base* base_;
  std::string host_;
  std::uint16_t port_ = 0;
  std::string authority_;
  Counts& counts_;
  Done done_;
  std::unique_ptr<evhttp_connection, ConnectionFree> connection_;
  evhttp_request* request_ = nullptr;  // under way; the connection's own
  EventPtr ready_;                     // the result is handed on outside of evhttp's own call
  std::optional<HostList> result_;
  Fault fault_ = Fault::Refused;
  Micros limit_ = 0;
  bool begun_ = false;  // the answer has
};

class Discovery {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void on_hosts(HostList&& list) = 0;
    /// Any call; the next one may be under way already.
    virtual void on_call_failed() = 0;
    /// None is out: the next one is planned, and the handler may call sooner.
    virtual void on_hosts_failed() = 0;
  };
  /// `seed`: of the jitter in its pauses. `known`: the list that is held. `routers`: of the tier.
  /// `pushed`: lists come from an agent on the own machine; watches from the start and begins again
  /// after failures without being asked to.
  Discovery(event_base* base, const TimeSource& clock, const std::string& address,
            const HostList& known, int routers, bool pushed, std::uint64_t seed, Handler& handler);
  /// Goes over to another address without a gap: the watch that is out at the old one stays until
  /// the new one has given its whole list, and what it still brings counts.
  void move_to(const std::string& address);
  /// Begins a watch, beside calls of which nothing has come yet (src/membership/watching).
  void watch();
  /// The next call is planned, whether one is out or not.
  bool planned() const { return watching_.next() != robinseam::membership::Watching::kNever; }
  /// Asks for changes anew at a random time within `span`, since what is held may be from before.
  void look_again(Micros span);
  /// Asks for the whole list once.
  void fetch();
  void stop();
  const DiscoveryCall::Counts& counts() const { return counts_; }
  /// The version of the list that is held; empty before the first.
  const std::string& version() const { return guard_.version(); }
  /// Something that discovery had to tell may count as told by now and has not been heard.
  bool overdue() const { return watching_.overdue(clock_.now()); }

 private:
  using Call = std::unique_ptr<DiscoveryCall>;
  Call watch_at(std::size_t slot);
  Call fetch_at(const std::string& address);
  void call(const robinseam::membership::Watching::Call& call);
  void take(std::size_t slot, std::optional<HostList> list);
  void take_old(std::optional<HostList> list);
  /// Drops the calls that the machine no longer waits for, and sets the timer to its next one.
  void follow();
  double chance() { return std::uniform_real_distribution<>()(random_); }
  /// Whether the answer may count; says so where not.
  bool may_count(ListGuard& guard, const std::optional<HostList>& list);
  static void on_again(evutil_socket_t, short, void* self);
  static void on_look(evutil_socket_t, short, void* self);

  event_base* base_;
  const TimeSource& clock_;
  Handler& handler_;
  DiscoveryCall::Counts counts_;
  ListGuard guard_;
  ListGuard old_guard_;     // of the address that was left
  bool ask_whole_ = false;  // what is held may not be what discovery thinks it is
  bool fetch_overlapped_ = false;
  std::string address_;
  robinseam::membership::Watching watching_;
  std::array<Call, robinseam::membership::Watching::kSlots> calls_;
  Call fetch_;
  Call old_watch_;  // at the address that was left, until the new one has answered
  EventPtr again_;  // the machine's next call
  EventPtr look_;   // look_again()
  std::minstd_rand random_;
};

}  // namespace arrowfork
