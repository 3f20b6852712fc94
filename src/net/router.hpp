// The router: the decision module and the table of open requests. Turns what happens on sockets
// into calls on the module and its actions into I/O; nothing else calls the module.
#pragma once

#include <array>
#include <deque>
#include <queue>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "client_side.hpp"
#include "config.hpp"
#include "discovery.hpp"
#include "io.hpp"
#include "server_side.hpp"

namespace arrowfork {

class Router final : ClientSide::Handler, ServerSide::Handler, Discovery::Handler {
 public:
  /// Throws ConfigError when the configuration can't be used.
  Router(event_base* base, const Config& config);

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
  std::size_t open_requests() const { return open_.size(); }

 private:
  struct Attempt {
    std::string server;
    Micros sent = 0;
    bool out = true;      // its outcome has not been told to the module
    bool on_wire = true;  // its connection still owes it an end
  };
  struct Open {
    ClientSlot* slot = nullptr;  // none once the client is gone
    Command command;
    Micros deadline = 0;
    bool answered = false;  // the final answer is given, or nobody is left to get one
    bool left = false;      // the client sends no more: nothing new is sent for it
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
  struct ListEvent {
    robinseam::ListScope scope;
    std::vector<robinseam::Server> servers;
  };
  struct TimerEvent {
    std::uint64_t token;
  };
  using Event = std::variant<OutcomeEvent, RequestEvent, GoneEvent, ListEvent, TimerEvent>;

  enum class Due { Module, Expiry, Deadline };
  struct Timer {
    Micros at;
    std::uint64_t order;  // first set, first rung
    Due due;
    std::uint64_t token;  // the module's, or a request id
    int attempt;
    bool operator>(const Timer& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  // ClientSide::Handler
  void on_command(ClientSlot& slot, Command&& command) override;
  void on_left(RequestId id) override;
  void on_gone(RequestId id) override;
  // ServerSide::Handler
  void on_attempt_end(RequestId id, int attempt, Status status, Answer&& answer) override;
  // Discovery::Handler
  void on_hosts(HostList&& list) override;
  void on_hosts_failed() override;

  static void on_timer(evutil_socket_t, short, void* self);
  static void on_stop_step(evutil_socket_t, short, void* self);
  static void on_log(evutil_socket_t, short, void* self);

  void ring();
  void arm();
  void set_timer(Micros at, Due due, std::uint64_t token, int attempt = 0);
  /// Tells the module what has happened and carries out what it answers, until nothing is left.
  void settle();
  void perform(const robinseam::Actions& actions);
  void act(const robinseam::Send& a);
  void act(const robinseam::Refuse& a);
  void act(const robinseam::Fail& a);
  void act(const robinseam::Cancel& a);
  void act(const robinseam::Watch&) { discovery_.watch(); }
  void act(const robinseam::Fetch&) { discovery_.fetch(); }
  void act(const robinseam::Timer& a);
  void act(const robinseam::Probe& a);
  void expire(RequestId id, int attempt);
  /// Whether a client has this id open, or had it a moment ago.
  bool id_taken(const std::string& id) const;
  void note_id(const std::string& id);
  const robinseam::ClassSettings* class_of(const std::string& name) const;
  void give_answer(Open& open, std::string text);
  void tell_outcome(RequestId id, Open& open, int attempt, Status status, Answer* answer);
  void forget_if_done(RequestId id);

  event_base* base_;
  Config config_;
  Clock clock_;
  robinseam::Balancer balancer_;
  std::unordered_map<RequestId, Open> open_;
  RequestId next_id_ = 1;
  // Clients' ids of the last one to two spans; those of open requests are among them.
  Micros id_span_;
  std::array<std::unordered_set<std::string>, 2> ids_;
  Micros ids_since_ = 0;
  std::size_t max_open_;
  std::deque<Event> events_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<Timer>> timers_;
  std::uint64_t timer_order_ = 0;
  Micros armed_at_ = 0;
  EventPtr timer_event_, stop_event_, log_event_;
  struct Counts {
    std::uint64_t requests = 0, refused = 0, failed = 0, gone = 0, hits = 0, misses = 0;
    std::array<std::uint64_t, 10> outcomes{};  // by Status
  } counts_;
  ClientSide clients_;
  ServerSide servers_;
  Discovery discovery_;
  Micros stopping_since_ = 0;
  bool done_ = false;
};

}  // namespace arrowfork
