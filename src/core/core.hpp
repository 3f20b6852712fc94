// The table of open requests with their attempts, deadlines and replies, and the only caller of
// the balancer. It knows no protocol and no sockets: requests come from any frontend, attempts go
// out through an AttemptSender, and time and randomness are passed in.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "../io/clock.hpp"
#include "recent_ids.hpp"
#include "request.hpp"

namespace arrowfork {

/// Receives a request's reply: once, unless Core::on_client_gone() was called before.
class ReplySink {
 public:
  virtual void on_reply(const Request& request, Reply&& reply) = 0;
  /// Whether its client has other answers to take before this one.
  virtual bool has_backlog() const { return false; }

 protected:
  ~ReplySink() = default;
};

/// Sends attempts to servers. For each send() it calls Core::on_attempt_ended once, possibly before
/// send() returns, unless the attempt was cancelled.
class AttemptSender {
 public:
  /// `timeout`: how long the router waits for the answer.
  virtual void send(const std::string& server, RequestId id, int attempt, const Request& request,
                    Micros timeout) = 0;
  /// Abandons an attempt. Returns NotSent if nothing of it was sent, Cancelled if it may have run.
  virtual Status cancel(const std::string& server, RequestId id, int attempt) = 0;
  /// Like cancel(), for when another attempt is to follow and two may not be in flight at once: the
  /// attempt must not continue at its server. Returns nothing, and lets the attempt continue, if
  /// stopping it would disturb other attempts.
  virtual std::optional<Status> stop_for_retry(const std::string& server, RequestId id,
                                               int attempt) {
    return cancel(server, id, attempt);
  }
  /// Withdraws an attempt that its server has not received in full, so that it never runs. Returns
  /// false, and lets the attempt continue, if it is too late.
  virtual bool withdraw(const std::string&, RequestId, int) { return false; }
  /// When the answer to the attempt will be complete if the rest arrives as fast as what has come.
  /// Nothing while no value is arriving for it.
  virtual std::optional<Micros> expected_end(const std::string&, RequestId, int) const {
    return std::nullopt;
  }
  /// Whether every server that an attempt may reach receives the write's idempotency key.
  virtual bool supports_idempotency_key(const Request& request) const = 0;
  /// True if the caller of the router sends the attempts itself and is only told the server. Such
  /// attempts have no timeout but the request's deadline, since a cancellation would not reach the
  /// caller, and one that was never sent (NotSent) does not show whether its server is reachable.
  virtual bool sent_by_caller() const { return false; }

 protected:
  ~AttemptSender() = default;
};

/// Requests the server list from discovery. Answers arrive through Core::on_list.
class ListSource {
 public:
  virtual void watch_list() = 0;
  virtual void fetch_list() = 0;

 protected:
  ~ListSource() = default;
};

/// An attempt that follows another one of the same request.
struct FurtherAttempt {
  const Request& request;
  int number;  ///< of the attempt, from 1: the first one has 0
  const std::string& server;
  const std::string& previous_server;
  std::optional<Status> previous_end;  ///< none while it is in flight
  Micros since_first;                  ///< from the first attempt, in microseconds
};

/// Is told why the core does what it does with single requests. For logs.
class RequestObserver {
 public:
  virtual void on_further_attempt(const FurtherAttempt& attempt) = 0;

 protected:
  ~RequestObserver() = default;
};

/// Observes each call of the balancer with the actions it returned, in order. For tests and traces.
class BalancerObserver {
 public:
  virtual void on_call(Micros now, const char* call, RequestId id,
                       const robinseam::Actions& actions) = 0;

 protected:
  ~BalancerObserver() = default;
};

class Core {
 public:
  /// Throws std::invalid_argument naming the invalid setting. `clock` and `list_source` must
  /// outlive the core. At most `max_open` requests are open at once. The client-chosen ids of ended
  /// requests are remembered for the longest deadline, or until `max_ids` more have ended.
  /// `rules`: as for the constructor of Balancer.
  Core(const robinseam::Settings& settings, std::uint64_t seed, const TimeSource& clock,
       ListSource& list_source, std::size_t max_open, std::size_t max_ids,
       const robinseam::limits::LimitFactory& rules = {});

  /// Call once. `known`: the list that the router starts with; `unverified`: it has probably
  /// changed since.
  void start(std::vector<robinseam::Server> known, bool unverified = false);

  enum class SubmitResult {
    Accepted,
    InvalidClass,  ///< no such class, or a read in a class of keyed writes
    IdInUse,       ///< a request with this id is open or has ended a moment ago
    TableFull,     ///< the table is full; refused without asking the balancer
    ShuttingDown,  ///< too late to be answered before the process ends; refused in the same way
  };
  static constexpr std::size_t kSubmitResultCount = 5;
  /// Accepts a request and sets `id`. `sink` and `sender` are called until the request has ended,
  /// `sink` not after on_client_gone(). The balancer sees the request in the next process_events().
  SubmitResult submit(Request&& request, ReplySink& sink, AttemptSender& sender, RequestId& id);
  /// Planned shutdown: no reply is given later than `at`. From now on a request is accepted only if
  /// the time until then is enough for it, and its deadline is `at` at the latest.
  void answer_by(Micros at) { answers_due_at_ = at; }
  /// Planned shutdown: replies to every open request at once, Refused where none of its attempts
  /// can have run. Attempts in flight are cancelled.
  void answer_all();
  /// The client sends no more but may still read. No further attempt is sent for the request;
  /// attempts that are not fully sent a moment later are withdrawn; those that may run are awaited.
  void on_client_half_closed(RequestId id);
  /// The client can no longer receive the reply. Attempts that are not fully sent are withdrawn.
  void on_client_gone(RequestId id);
  /// `paused`: no client waits for a further attempt until on_client_resumed() is called; otherwise
  /// the balancer decides on one at once.
  void on_attempt_ended(RequestId id, int attempt, Status status, AttemptResult&& result,
                        bool paused = false);
  /// A client waits for the request again.
  void on_client_resumed(RequestId id);
  void on_list(robinseam::ListScope scope, std::vector<robinseam::Server> servers);

  /// Runs the timers that are due and passes all pending events to the balancer.
  void process_events();
  bool has_pending_events() const { return !events_.empty(); }
  /// Time of the first timer, by which process_events() must be called; 0 if no timer is set.
  Micros next_timer() const { return timers_.empty() ? 0 : timers_.top().at; }

  /// Whether the request's client has other answers to take before its own.
  bool client_has_backlog(RequestId id) const;
  const robinseam::ClassSettings* find_class(const std::string& name) const;
  Micros longest_deadline() const { return longest_deadline_; }
  std::size_t open_requests() const { return open_.size(); }
  /// Number of requests without a reply so far.
  std::size_t unanswered() const { return unanswered_; }
  /// Counts a request that a frontend has refused by itself.
  void record_refused(const std::string& class_name);
  /// The share of a listed server's slots in which it is live now, 0 to 1.
  double live_fraction(const std::string& server) const { return balancer_.live_fraction(server); }
  const std::vector<robinseam::ClassSettings>& classes() const { return classes_; }
  struct Counts {
    std::uint64_t requests = 0, refused = 0, failed = 0, gone = 0, hits = 0, misses = 0;
    std::array<std::uint64_t, robinseam::kStatusCount> outcomes{};  ///< by Status
    std::array<std::uint64_t, kSubmitResultCount> submitted{};      ///< by SubmitResult
    std::uint64_t withdrawn_past_window = 0;  ///< attempts whose key's window ended unsent
    /// By class, in the order of the settings. Requests whose client is gone count in none.
    struct Replies {
      std::uint64_t served = 0, refused = 0, failed = 0;
    };
    std::vector<Replies> replies_by_class;
  };
  const Counts& counts() const { return counts_; }
  /// The ids of requests, to tell copies that come to another process of this router.
  RecentIds& request_ids() { return recent_ids_; }
  /// Times at which ids of ended requests were forgotten early.
  std::uint64_t ids_forgotten_early() const { return recent_ids_.forgotten_early(); }
  using Outcomes = std::array<std::uint32_t, robinseam::kStatusCount>;  ///< by Status
  /// Outcomes of attempts by server since the last call, for at most kMaxCountedServers servers;
  /// outcomes of further servers are not counted.
  std::map<std::string, Outcomes> take_server_counts() {
    return std::exchange(outcomes_by_server_, {});
  }
  robinseam::Balancer::Stats module_stats() const { return balancer_.stats(); }
  void set_observer(BalancerObserver* observer) { observer_ = observer; }
  void set_request_observer(RequestObserver* observer) { request_observer_ = observer; }

 private:
  static constexpr std::size_t kMaxCountedServers = 4096;  // about 150 bytes each
  struct Attempt {
    std::string server;
    Micros sent = 0;
    bool in_flight = true;        // its outcome is not queued for the balancer yet
    bool sender_owes_end = true;  // its sender has not reported its end yet
    bool may_have_run = true;     // false once it is known not to have run
    std::optional<Status> end{};  // how it ended
  };
  struct Open {
    ReplySink* sink = nullptr;  // null once the client is gone or has its reply
    AttemptSender* sender = nullptr;
    Request request;
    Micros deadline = 0;
    bool has_own_id = false;     // made by the core, so no client can repeat it
    bool answered = false;       // the reply is given, or the client is gone
    bool half_closed = false;    // the client sends no more: no further attempt is sent
    bool last_was_miss = false;  // the last attempt ended in a miss
    int pending_outcomes = 0;    // outcomes queued for the balancer
    std::vector<Attempt> attempts;
  };
  // Events that wait to be passed to the balancer.
  struct OutcomeEvent {
    robinseam::Outcome outcome;
  };
  struct RequestEvent {
    RequestId id;
  };
  struct ClientGoneEvent {
    RequestId id;
  };
  struct ResumedEvent {
    RequestId id;
  };
  struct ListEvent {
    robinseam::ListScope scope;
    std::vector<robinseam::Server> servers;
  };
  struct TimerEvent {
    std::uint64_t token;
  };
  using Event = std::variant<OutcomeEvent, RequestEvent, ClientGoneEvent, ResumedEvent, ListEvent,
                             TimerEvent>;

  enum class TimerKind { Balancer, Expiry, WindowEnd };
  struct Timer {
    Micros at;
    std::uint64_t order;  // timers that are due at the same time run in the order they were set
    TimerKind kind;
    std::uint64_t token;  // the balancer's, or a request id
    int attempt;
    bool operator>(const Timer& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  SubmitResult admit(Request&& request, ReplySink& sink, AttemptSender& sender, RequestId& id);
  void report_further_attempt(const Open& open, const std::string& server) const;
  void run_due_timers();
  void deliver_events();
  void set_timer(Micros at, TimerKind kind, std::uint64_t token, int attempt = 0);
  void apply_actions(const char* call, RequestId id, Micros now, const robinseam::Actions& actions);
  void apply(const robinseam::Send& a);
  void apply(const robinseam::Refuse& a);
  void apply(const robinseam::Fail& a);
  void apply(const robinseam::Cancel& a);
  void apply(const robinseam::WatchList&) { list_source_.watch_list(); }
  void apply(const robinseam::FetchList&) { list_source_.fetch_list(); }
  void apply(const robinseam::Timer& a);
  void apply(const robinseam::Probe&) {
  }  // the balancer sends no probes: the router does not allow them
  void expire(RequestId id, int attempt);
  bool is_answer_arriving(RequestId id, const Open& open, int attempt) const;
  void end_key_window(RequestId id, int attempt);
  bool withdraw(RequestId id, Open& open, int attempt);
  std::string make_id();
  void erase(std::unordered_map<RequestId, Open>::iterator request);
  Counts::Replies* replies_of(const std::string& class_name);
  void give_reply(Open& open, Reply&& reply);
  static Reply reply_of(const Open& open, AttemptResult&& result);
  void withdraw_unsent(RequestId id, Open& open);
  static Reply reply_without_further_attempts(const Open& open);
  bool is_too_late(Micros now, Micros time_left,
                   const robinseam::ClassSettings& request_class) const;
  void answer_half_closed(Open& open);
  void queue_outcome(RequestId id, Open& open, int attempt, Status status, AttemptResult* result,
                     bool paused = false, bool answering = false);
  void erase_if_done(RequestId id);

  const TimeSource& clock_;
  ListSource& list_source_;
  std::vector<robinseam::ClassSettings> classes_;
  bool cache_aside_, may_hedge_;
  Micros longest_deadline_;
  robinseam::Balancer balancer_;
  std::unordered_map<RequestId, Open> open_;
  RequestId next_id_ = 1;
  std::uint64_t id_seed_;
  RecentIds recent_ids_;
  std::size_t max_open_;
  Micros answers_due_at_ = 0;  // 0: no shutdown is planned
  std::size_t unanswered_ = 0;
  std::deque<Event> events_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<Timer>> timers_;
  std::uint64_t timer_order_ = 0;
  Counts counts_;
  std::map<std::string, Outcomes> outcomes_by_server_;
  BalancerObserver* observer_ = nullptr;
  RequestObserver* request_observer_ = nullptr;
};

}  // namespace arrowfork
