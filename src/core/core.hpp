// The table of open requests: their attempts, deadlines and replies, and the only caller of the
// decision module. Knows no protocol and no socket: requests come from any front, attempts go out
// through whatever carries them, time and randomness are handed in.
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
#include "request.hpp"

namespace arrowfork {

/// Where a request's reply goes. Called once, unless gone() was called before.
class ReplySink {
 public:
  virtual void on_reply(const Request& request, Reply&& reply) = 0;

 protected:
  ~ReplySink() = default;
};

/// Carries attempts out. For each send() it calls Core::attempt_ended once, perhaps before send()
/// returns, unless the attempt was cancelled.
class Carrier {
 public:
  /// `wait`: until the router stops waiting.
  virtual void send(const std::string& server, RequestId id, int attempt, const Request& request,
                    Micros wait) = 0;
  /// Gives an attempt up: NotSent where the server has nothing of it, Cancelled where it may have
  /// run.
  virtual Status cancel(const std::string& server, RequestId id, int attempt) = 0;
  /// The same where another attempt is to follow and no two may be out at once: it must not go on
  /// at its server. Nothing where it can't be ended without harm to others, and goes on.
  virtual std::optional<Status> end(const std::string& server, RequestId id, int attempt) {
    return cancel(server, id, attempt);
  }
  /// Takes an attempt back whose server has not got it whole, so that it never begins; false where
  /// that can't be done any more, or not without harm to others. What is out then goes on.
  virtual bool take_back(const std::string&, RequestId, int) { return false; }
  /// Whether every server that an attempt may reach is told the write's idempotency key.
  virtual bool keeps_key(const Request& request) const = 0;
  /// Attempts are carried out by somebody else who is only told of them. Then no patience is held
  /// against them but the request's own time, since giving one up would not reach who carries it;
  /// and one that was never sent (NotSent) says nothing of whether its server could be reached.
  virtual bool remote() const { return false; }

 protected:
  ~Carrier() = default;
};

/// Where the list of servers is asked for; what comes is told by Core::list.
class Lister {
 public:
  virtual void watch() = 0;
  virtual void fetch() = 0;

 protected:
  ~Lister() = default;
};

/// Sees each call on the module with what it answered, in order. For tests and captures.
class SeamTap {
 public:
  virtual void on_call(Micros now, const char* call, RequestId id,
                       const robinseam::Actions& actions) = 0;

 protected:
  ~SeamTap() = default;
};

class Core {
 public:
  /// Throws std::invalid_argument naming the setting that can't be used. `clock` and `lister` must
  /// outlive the core. At most `max_open` requests are open at once, and at most `max_ids` with ids
  /// of their own are taken in a span of the longest deadline.
  /// `rules` as for the module's constructor.
  Core(const robinseam::Settings& settings, std::uint64_t seed, const TimeSource& clock,
       Lister& lister, std::size_t max_open, std::size_t max_ids,
       const robinseam::limits::LimitFactory& rules = {});

  /// Call once: begins with the list as last held; `doubted`: it is likely to have changed.
  void start(std::vector<robinseam::Server> known, bool doubted = false);

  enum class Taken {
    Yes,
    BadClass,  ///< no such class, or a read of a class whose writes bear keys
    IdInUse,   ///< a client has this id open, or had it a moment ago
    Busy,      ///< the table is full; refused before the module has seen it
  };
  /// Takes a request; `id` names it from here on. `sink` and `carrier` are called until it has
  /// ended; `sink` not after gone(). The module hears of it in the next turn().
  Taken take(Request&& request, ReplySink& sink, Carrier& carrier, RequestId& id);
  /// The client sends no more but may still read: nothing new is sent for it, what its servers have
  /// not got whole a moment later is taken back, what may run is waited for.
  void left(RequestId id);
  /// Nobody is left to get the reply. What its servers have not got whole is taken back.
  void gone(RequestId id);
  /// `held`: nobody waits for a further attempt until again() is called; without, the module
  /// decides on one at once.
  void attempt_ended(RequestId id, int attempt, Status status, AttemptResult&& result,
                     bool held = false);
  /// Somebody waits for the request again.
  void again(RequestId id);
  void list(robinseam::ListScope scope, std::vector<robinseam::Server> servers);

  /// Rings the timers that are due and tells the module what has happened, until nothing is left.
  void turn();
  /// True when a turn() has something to do now.
  bool pending() const { return !events_.empty(); }
  /// When turn() must be called at the latest; 0: no timer is set.
  Micros next_timer() const { return timers_.empty() ? 0 : timers_.top().at; }

  const robinseam::ClassSettings* class_of(const std::string& name) const;
  Micros longest_deadline() const { return longest_deadline_; }
  std::size_t open_requests() const { return open_.size(); }
  /// Requests that have not got their reply yet.
  std::size_t unanswered() const { return unanswered_; }
  /// Counts a request that a front has refused by itself.
  void note_refused(const std::string& type);
  /// The part of its slots that a listed server is live over now, 0 to 1.
  double live_fraction(const std::string& server) const { return balancer_.live_fraction(server); }
  const std::vector<robinseam::ClassSettings>& classes() const { return classes_; }
  struct Counts {
    std::uint64_t requests = 0, refused = 0, failed = 0, gone = 0, hits = 0, misses = 0;
    std::array<std::uint64_t, robinseam::kStatusCount> outcomes{};  ///< by Status
    /// By class, in the settings' order; a request whose client has left is under none.
    struct Ends {
      std::uint64_t served = 0, refused = 0, failed = 0;
    };
    std::vector<Ends> ends;
  };
  const Counts& counts() const { return counts_; }
  using Outcomes = std::array<std::uint32_t, robinseam::kStatusCount>;  ///< by Status
  /// What attempts at each server came to since the last call. Of kMostCounted servers at most:
  /// what ends elsewhere until the next call is under none.
  std::map<std::string, Outcomes> take_server_counts() { return std::exchange(at_servers_, {}); }
  robinseam::Balancer::Stats module_stats() const { return balancer_.stats(); }
  void set_tap(SeamTap* tap) { tap_ = tap; }

 private:
  static constexpr std::size_t kMostCounted = 4096;  // some 150 bytes each, until the next line
  struct Attempt {
    std::string server;
    Micros sent = 0;
    bool out = true;           // its outcome has not been told to the module
    bool carried = true;       // its carrier still owes it an end
    bool may_have_run = true;  // until it is known that it has not
  };
  struct Open {
    ReplySink* sink = nullptr;  // none once the client is gone or has its reply
    Carrier* carrier = nullptr;
    Request request;
    Micros deadline = 0;
    bool answered = false;  // the final answer is given, or nobody is left to get one
    bool left = false;      // the client sends no more: nothing new is sent for it
    bool missed = false;    // the last attempt ended in a miss
    int untold = 0;         // outcomes on their way to the module
    std::vector<Attempt> attempts;
  };
  // What waits for its turn to be told to the module.
  struct OutcomeEvent {
    robinseam::Outcome outcome;
  };
  struct RequestEvent {
    RequestId id;
  };
  struct GoneEvent {
    RequestId id;
  };
  struct AgainEvent {
    RequestId id;
  };
  struct ListEvent {
    robinseam::ListScope scope;
    std::vector<robinseam::Server> servers;
  };
  struct TimerEvent {
    std::uint64_t token;
  };
  using Event =
      std::variant<OutcomeEvent, RequestEvent, GoneEvent, AgainEvent, ListEvent, TimerEvent>;

  enum class Due { Module, Expiry };
  struct Timer {
    Micros at;
    std::uint64_t order;  // first set, first rung
    Due due;
    std::uint64_t token;  // the module's, or a request id
    int attempt;
    bool operator>(const Timer& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  void ring();
  void settle();
  void set_timer(Micros at, Due due, std::uint64_t token, int attempt = 0);
  void perform(const char* call, RequestId id, Micros now, const robinseam::Actions& actions);
  void act(const robinseam::Send& a);
  void act(const robinseam::Refuse& a);
  void act(const robinseam::Fail& a);
  void act(const robinseam::Cancel& a);
  void act(const robinseam::WatchList&) { lister_.watch(); }
  void act(const robinseam::FetchList&) { lister_.fetch(); }
  void act(const robinseam::Timer& a);
  void act(const robinseam::Probe&) {}  // the module probes nothing; no site allows it
  void expire(RequestId id, int attempt);
  std::string make_id();
  bool id_taken(const std::string& id) const;
  void note_id(const std::string& id);
  Counts::Ends* ends_of(const std::string& type);
  void give_reply(Open& open, Reply&& reply);
  void take_back(RequestId id, Open& open);
  void answer_left(Open& open);
  void tell_outcome(RequestId id, Open& open, int attempt, Status status, AttemptResult* result,
                    bool held = false);
  void forget_if_done(RequestId id);

  const TimeSource& clock_;
  Lister& lister_;
  std::vector<robinseam::ClassSettings> classes_;
  bool aside_, second_copies_;
  Micros longest_deadline_;
  robinseam::Balancer balancer_;
  std::unordered_map<RequestId, Open> open_;
  RequestId next_id_ = 1;
  std::uint64_t id_seed_;
  // Ids of the last one to two spans of the longest deadline; those of open requests are among
  // them.
  std::array<std::unordered_set<std::string>, 2> ids_;
  Micros ids_since_ = 0;
  std::size_t max_open_, max_ids_;
  std::size_t unanswered_ = 0;
  std::deque<Event> events_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<Timer>> timers_;
  std::uint64_t timer_order_ = 0;
  Counts counts_;
  std::map<std::string, Outcomes> at_servers_;
  SeamTap* tap_ = nullptr;
};

}  // namespace arrowfork
