// Simulates discovery, its faults and the routers that call it, in virtual time. The routers use
// the real ListSubscription; faults are drawn from one seed.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <sstream>

#include "judge/drain_judge.hpp"
#include "membership/list_subscription.hpp"
#include "recovery/discovery_backoff.hpp"

namespace arrowfork::test {

using judge::DrainJudge, judge::DrainRecord, judge::DrainJudgeOptions, judge::DrainViolation;
using robinseam::Micros;

constexpr Micros kMilli = 1000, kSecond = 1000 * kMilli;

/// How discovery treats a call.
enum class Mode {
  Up,
  Slow,       ///< answers after `delay`
  Queue,      ///< handles calls one at a time from a queue, see World::Queue
  Crowded,    ///< refuses every second call after 2 s; the others wait up to 1.8 s
  Silent,     ///< accepts calls and never answers
  Refuses,    ///< 503 at once
  Resets,     ///< closes the connection at once
  Truncates,  ///< breaks answers off
};
inline const char* name_of(Mode mode) {
  static const char* const names[] = {"up",     "slow",    "queue",  "crowded",
                                      "silent", "refuses", "resets", "truncates"};
  return names[static_cast<int>(mode)];
}

class World {
 public:
  struct Options {
    int routers = 1;
    int servers = 6;
    bool pushed = false;
    Micros grace = 500 * kMilli;
    std::uint64_t seed = 1;
  };

  /// How discovery handles queued calls in Mode::Queue.
  struct Queue {
    Micros work = 100 * kMilli;      ///< time to handle a call
    Micros most_wait = 2 * kSecond;  ///< after which a call is refused
    std::size_t places = 24;         ///< if all are taken, a call is refused at once
    bool works_on_expired =
        false;             ///< calls refused so, or whose caller is gone, still cost their work
    bool one_each = true;  ///< a second call of a router makes the first one refused
  };
  void set_queue(const Queue& line) {
    queue_ = line;
    set_mode(Mode::Queue, line.work);
  }

  explicit World(const Options& options) : options_(options), random_(options.seed) {
    for (int k = 0; k < options.servers; ++k) hosts_[k] = Listed{};
    for (int k = 0; k < options.routers; ++k) routers_.push_back(std::make_unique<Router>(*this));
    for (auto& router : routers_) router->start(full_list());
  }

  // ---- the script ----

  void at(Micros t, std::function<void()> what) { events_.push({t, order_++, std::move(what)}); }
  void run(Micros until) {
    while (!events_.empty() && events_.top().at <= until) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.what();
    }
    now_ = until;
  }

  void set_mode(Mode mode, Micros delay = 0) {
    // A return too short for any router to notice is not a return: it lasts at least
    // kShortestReturn.
    if (mode != Mode::Up && mode_ == Mode::Up && now_ < up_since_ + kShortestReturn)
      return at(up_since_ + kShortestReturn, [=, this] { set_mode(mode, delay); });
    if (mode == Mode::Up) up_since_ = now_;
    log(std::string("discovery ") + name_of(mode) + (delay ? " " + seconds(delay) : ""));
    bool was_reachable = reachable();
    mode_ = mode, delay_ = delay;
    if (was_reachable && !reachable()) record_all({now_, DrainRecord::Kind::DiscoveryUnreachable});
    if (!was_reachable && reachable()) record_all({now_, DrainRecord::Kind::DiscoveryReachable});
    if (mode == Mode::Refuses || mode == Mode::Resets)
      for (auto& router : routers_) router->end_watches();
    // Open watches hang; those at an agent only in half of the cases.
    if (mode == Mode::Silent && (!options_.pushed || chance() < 0.5)) silence_watches();
    // When an agent returns it has all changes and reports them on watches from before. Calls that
    // it left unanswered stay so.
    if (!options_.pushed || mode != Mode::Up) return;
    bool has_changes = agent_version_ != version_;
    agent_version_ = version_;
    if (has_changes) write_changes();
  }
  void drain(int server) {
    log("server " + std::to_string(server) + " drains");
    change(server, robinseam::Health::Draining);
    record_change(server, DrainRecord::Kind::ServerLeaves);
    write_changes();
  }
  void remove(int server) {
    log("server " + std::to_string(server) + " is gone");
    change(server, robinseam::Health::Gone);
    record_change(server, DrainRecord::Kind::ServerLeaves);
    write_changes();
  }
  /// Both in one partial list, as two entries.
  void drain_and_remove(int server) {
    log("server " + std::to_string(server) + " drains and is gone, in one partial list");
    change(server, robinseam::Health::Draining);
    change(server, robinseam::Health::Gone);
    record_change(server, DrainRecord::Kind::ServerLeaves);
    write_changes();
  }
  void remove_all() {
    log("all servers are gone");
    for (auto& [server, listed] : hosts_)
      if (listed.health != robinseam::Health::Gone) {
        change(server, robinseam::Health::Gone);
        record_change(server, DrainRecord::Kind::ServerLeaves);
      }
    write_changes();
  }
  /// Discovery restarts its version numbers: it answers full lists until a router has a new
  /// version.
  void restart_versions() {
    log("discovery restarts its version numbers");
    version_ = agent_version_ = kFirstVersion - 100 * static_cast<std::uint64_t>(++epoch_);
    changes_.clear();
    for (auto& router : routers_) router->end_watches();
  }
  void silence_watches() {
    log("watches fall silent");
    for (auto& router : routers_) router->silence_watches_here();
  }
  /// A new configuration for all routers; the old address closes open calls after 1.5 s.
  void change_address() {
    log("SIGHUP, another address");
    ++address_;
    for (auto& router : routers_)
      router->change_address("127.0.0.1:" + std::to_string(10'000 + address_));
  }
  /// The process is killed and restarts after `away` with the list that it had.
  void restart(std::size_t r, Micros away) {
    if (r >= routers_.size()) return;
    log("router " + std::to_string(r) + " is killed, away " + seconds(away));
    routers_[r]->restart(away);
  }
  /// The process is suspended; it handles what arrives meanwhile afterwards.
  void suspend(std::size_t r, Micros span) {
    if (r >= routers_.size()) return;
    if (span > 200 * kMilli) log("router " + std::to_string(r) + " is suspended, " + seconds(span));
    routers_[r]->suspend(span);
  }

  // ---- the verdict ----

  struct Verdict {
    std::size_t violations = 0;
    std::string first;  ///< first violation, with the timeline of its router
    std::string rule;   ///< by which the router counts as notified of that change
  };
  Verdict judge() const {
    Verdict verdict;
    for (std::size_t r = 0; r < routers_.size(); ++r) {
      DrainJudgeOptions rules;
      rules.pushed = options_.pushed, rules.grace = options_.grace;
      DrainJudge checker(rules);
      auto found = checker.check(routers_[r]->records);
      if (!found.empty() && verdict.first.empty()) {
        verdict.first = describe(r, found.front());
        verdict.rule = description_of(found.front().rule);
      }
      verdict.violations += found.size();
    }
    return verdict;
  }
  std::size_t calls() const { return calls_; }
  double chance() { return std::uniform_real_distribution<>()(random_); }
  Micros between(Micros from, Micros to) {
    return from + static_cast<Micros>(chance() * static_cast<double>(to - from));
  }
  int below(int n) { return static_cast<int>(chance() * n); }
  std::size_t routers() const { return routers_.size(); }
  Micros now() const { return now_; }

 private:
  static constexpr Micros kNetwork = kMilli;  // one way
  static constexpr Micros kFormerAddressOpen =
      1500 * kMilli;                                 // until a former address closes calls
  static constexpr Micros kSendEvery = 20 * kMilli;  // from each router to each server
  static constexpr Micros kShortestReturn = 300 * kMilli;
  static constexpr Micros kBetweenSuspensions = 300 * kMilli;
  static constexpr Micros kQueueTime = 2 * kSecond;  // in a crowded discovery
  // Far above the versions of a discovery that has restarted them, so that an index from before
  // can't be mistaken for one of the new versions.
  static constexpr std::uint64_t kFirstVersion = 1000;

  struct Listed {
    robinseam::Health health = robinseam::Health::Ready;
  };
  struct Change {
    std::uint64_t version;
    int server;
    robinseam::Health health;
  };
  struct Event {
    Micros at;
    int order;
    std::function<void()> what;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  struct Place;

  /// One router process: the subscription, its current list, and requests to every server in it.
  struct Router final : ListTransport, ListSubscription::Handler {
    explicit Router(World& w) : world(w) {}

    struct OpenCall {
      ListCall call;
      std::uint64_t index = 0;
      Micros until = 0;  ///< end of its wait
      bool watching = false, silent = false;
    };

    void start(const HostList& known) {
      ++generation;
      alive = true;
      current.clear();
      open_calls.clear();
      apply(known);
      record_event({world.now_, DrainRecord::Kind::ProcessStarted});
      ListSubscription::Options options;
      options.routers = world.options_.routers;
      options.pushed = world.options_.pushed;
      options.grace = world.options_.grace;
      options.seed = world.options_.seed * 100 + static_cast<std::uint64_t>(generation);
      subscription = std::make_unique<ListSubscription>(address(), known, options, world.now_,
                                                        static_cast<ListTransport&>(*this),
                                                        static_cast<Handler&>(*this));
      // The first watch starts as in the router.
      if (!world.options_.pushed) {
        robinseam::recovery::DiscoveryBackoff asks(world.options_.routers, 10 * kSecond);
        asks.set_usable(true);
        later(asks.first_delay(world.chance()), [this] { subscription->watch(world.now_); });
      }
      send();
      arm();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(10'000 + world.address_); }

    // ---- faults ----

    void restart(Micros away) {
      if (!alive) return;
      HostList known;
      known.version = subscription->version();
      known.full = true;
      for (const auto& [id, host] : current) known.hosts.push_back(host);
      alive = false;
      ++generation;
      subscription.reset();
      open_calls.clear();
      world.at(world.now_ + away, [this, known] { start(known); });
    }
    void suspend(Micros span) {
      if (world.now_ >= suspended_until + kBetweenSuspensions) suspended_until = world.now_ + span;
    }
    void change_address(const std::string& to) {
      record_event({world.now_, DrainRecord::Kind::AddressChanged});
      later(0, [this, to] {
        // Calls open at the old address are closed after kFormerAddressOpen.
        std::vector<int> ids;
        for (const auto& [id, one] : open_calls)
          if (one.call.address != to) ids.push_back(id);
        for (int id : ids)
          later(kFormerAddressOpen, [this, id] { fail(id, CallFailure::Refused); });
        subscription->change_address(to, world.now_);
        arm();
      });
    }
    void end_watches() {
      std::vector<int> ids;
      for (const auto& [id, one] : open_calls)
        if (one.watching && !one.silent) ids.push_back(id);
      for (int id : ids) later(kNetwork, [this, id] { fail(id, CallFailure::Refused); });
    }
    void break_off_watches() {
      std::vector<int> ids;
      for (const auto& [id, one] : open_calls)
        if (one.watching && !one.silent) ids.push_back(id);
      for (int id : ids) later(kNetwork, [this, id] { fail(id, CallFailure::Malformed); });
    }
    void silence_watches_here() {
      for (auto& [id, one] : open_calls)
        if (one.watching && !one.silent) fall_silent(one);
    }
    void fall_silent(OpenCall& one) {
      one.silent = true;
      // What an agent has when it returns counts at once, whichever calls it left unanswered.
      if (!world.options_.pushed || world.mode_ != Mode::Silent)
        record_event({world.now_, DrainRecord::Kind::WatchSilent, -1, one.until});
    }
    void write_changes() {
      std::vector<int> ids;
      for (const auto& [id, one] : open_calls)
        if (one.watching && !one.silent) ids.push_back(id);
      for (int id : ids) write(id);
    }

    // ---- ListTransport ----

    using CallFailure = robinseam::membership::CallFailure;
    void start(const ListCall& call) override {
      ++world.calls_;
      record_event({world.now_, DrainRecord::Kind::CallStarted});
      OpenCall& one = open_calls[call.id];
      one.call = call;
      std::size_t index = call.path.find("index="), wait = call.path.find("wait=");
      if (index != std::string::npos) one.index = std::stoull(call.path.substr(index + 6));
      Micros span = wait == std::string::npos ? 0 : std::stoll(call.path.substr(wait + 5)) * kMilli;
      one.until = world.now_ + kNetwork + span;
      later(call.timeout, [this, id = call.id] { fail(id, CallFailure::TimedOut); });
      later_at_discovery(kNetwork, call.id, [this, id = call.id] { on_arrival(id); });
    }
    void cancel(int id, CancelReason) override { open_calls.erase(id); }

    // ---- discovery's side of a call ----

    void later_at_discovery(Micros span, int id, std::function<void()> what) {
      int of = generation;
      world.at(world.now_ + span, [this, of, id, what] {
        if (generation == of && open_calls.count(id)) what();
      });
    }
    void on_arrival(int id) {
      OpenCall& one = open_calls.at(id);
      if (one.call.address != address() || world.mode_ == Mode::Refuses ||
          world.mode_ == Mode::Resets)
        return later(kNetwork, [this, id] { fail(id, CallFailure::Refused); });
      switch (world.mode_) {
        case Mode::Silent:
          return fall_silent(one);
        case Mode::Truncates:
          return later(kNetwork, [this, id] { fail(id, CallFailure::Malformed); });
        case Mode::Crowded:
          if (world.crowded_calls_++ % 2 == 0)
            return later(kQueueTime, [this, id] { fail(id, CallFailure::Refused); });
          return later_at_discovery(world.between(0, kQueueTime - 200 * kMilli), id,
                                    [this, id] { handle_call(id); });
        case Mode::Queue:
          return join_queue(id);
        case Mode::Slow:
          return later_at_discovery(world.delay_, id, [this, id] { handle_call(id); });
        default:
          handle_call(id);
      }
    }
    void join_queue(int id) {
      if (world.queue_.one_each) leave_queue();
      if (world.waiting_.size() >= world.queue_.places)
        return later(kNetwork, [this, id] { fail(id, CallFailure::Refused); });
      world.waiting_.push_back({this, generation, id});
      later_at_discovery(world.queue_.most_wait, id, [this, id] {
        if (auto place = find_place(id)) {
          place->refused = true;
          later(kNetwork, [this, id] { fail(id, CallFailure::Refused); });
        }
      });
      if (!world.working_) world.work_on_queue();
    }
    World::Place* find_place(int id) {
      for (World::Place& place : world.waiting_)
        if (place.router == this && place.generation == generation && place.id == id &&
            !place.refused)
          return &place;
      return nullptr;
    }
    void leave_queue() {
      for (World::Place& place : world.waiting_) {
        if (place.router != this || place.generation != generation || place.refused) continue;
        place.refused = true;
        later(kNetwork, [this, id = place.id] { fail(id, CallFailure::Refused); });
      }
    }
    void handle_call(int id) {
      OpenCall& one = open_calls.at(id);
      if (world.mode_ == Mode::Silent) return fall_silent(one);
      if (!world.reachable())
        return later(kNetwork, [this, id] { fail(id, CallFailure::Refused); });
      bool waits = one.index != 0 && one.index == world.visible_version() &&
                   one.until > world.now_ + 2 * kMilli;
      if (!waits) return write(id);
      one.watching = true;
      later_at_discovery(one.until - world.now_, id, [this, id] {
        if (open_calls.at(id).watching && !open_calls.at(id).silent && world.reachable()) write(id);
      });
    }
    /// The answer is written now and read kNetwork later.
    void write(int id) {
      OpenCall& one = open_calls.at(id);
      one.watching = false, one.silent = true;
      ListResult result;
      result.list = world.answer(one.index);
      record_event({world.now_, DrainRecord::Kind::AnswerWritten});
      later(kNetwork, [this, id, result] {
        if (!open_calls.erase(id)) return;
        subscription->on_call_ended(id, result, world.now_);
        arm();
      });
    }
    void fail(int id, CallFailure fault) {
      auto at = open_calls.find(id);
      if (at == open_calls.end()) return;
      // The end of a call at a former address is not a failure.
      if (at->second.call.address == address())
        record_event({world.now_, DrainRecord::Kind::CallFailed});
      open_calls.erase(at);
      ListResult result;
      result.failure = fault;
      subscription->on_call_ended(id, result, world.now_);
      arm();
    }

    // ---- the process ----

    /// Runs `what` in this process, not before it resumes.
    void later(Micros span, std::function<void()> what) {
      int of = generation;
      world.at(world.now_ + span, [this, of, what] {
        if (generation != of || !alive) return;
        if (world.now_ < suspended_until) return later(suspended_until - world.now_, what);
        what();
      });
    }
    void arm() {
      Micros next = subscription->next();
      if (next == ListSubscription::CallSchedule::kNever || next == armed) return;
      armed = next;
      later(std::max<Micros>(0, next - world.now_), [this, next] {
        if (armed != next) return;
        armed = -1;
        if (subscription->next() <= world.now_) subscription->advance(world.now_);
        arm();
      });
    }
    void send() {
      for (const auto& [id, host] : current)
        if (host.server.health == robinseam::Health::Ready)
          record_event({world.now_, DrainRecord::Kind::RequestSent, std::stoi(id)});
      later(kSendEvery, [this] { send(); });
    }

    // ---- ListSubscription::Handler ----

    void on_hosts(HostList&& list) override { apply(list); }
    void on_call_failed() override {}
    void on_hosts_failed() override {}
    void on_list_rejected(const std::string&) override {}
    void on_drains(const HostList& list, bool drain_unlisted) override {
      apply(extract_drains(list, drain_unlisted, current));
    }

    /// Applies a list as the router does: a full one replaces the current list.
    void apply(const HostList& list) {
      if (list.full) current.clear();
      for (const Host& host : list.hosts) {
        if (host.server.health == robinseam::Health::Gone)
          current.erase(host.server.id);
        else
          current[host.server.id] = host;
      }
    }
    void record_event(const DrainRecord& record) { records.push_back(record); }

    World& world;
    std::unique_ptr<ListSubscription> subscription;
    std::unordered_map<std::string, Host> current;
    std::map<int, OpenCall> open_calls;
    std::vector<DrainRecord> records;
    Micros suspended_until = 0, armed = -1;
    int generation = 0;
    bool alive = false;
  };

  struct Place {
    Router* router;
    int generation, id;
    bool refused = false;
  };
  /// Handles the next call in the queue.
  void work_on_queue() {
    working_ = false;
    while (!waiting_.empty()) {
      Place place = waiting_.front();
      waiting_.pop_front();
      bool there = !place.refused && place.router->generation == place.generation &&
                   place.router->open_calls.count(place.id) > 0;
      if (!there && !queue_.works_on_expired) continue;
      working_ = true;
      at(now_ + queue_.work, [this, place, there] {
        bool waits = there && place.router->generation == place.generation &&
                     place.router->open_calls.count(place.id);
        if (waits) place.router->handle_call(place.id);
        work_on_queue();
      });
      return;
    }
  }
  bool reachable() const {
    return mode_ == Mode::Up || mode_ == Mode::Slow || mode_ == Mode::Queue ||
           mode_ == Mode::Crowded;
  }
  std::uint64_t visible_version() const { return options_.pushed ? agent_version_ : version_; }
  void change(int server, robinseam::Health health) {
    hosts_[server].health = health;
    changes_.push_back({++version_, server, health});
    if (!options_.pushed || mode_ == Mode::Up) agent_version_ = version_;
  }
  void write_changes() {
    for (auto& router : routers_)
      if (reachable())
        router->write_changes();
      else if (mode_ == Mode::Truncates)
        router->break_off_watches();
  }
  static Host host(int server, robinseam::Health health) {
    Host host;
    host.server.id = std::to_string(server);
    host.server.health = health;
    host.dial = "127.0.0.1:" + std::to_string(20'000 + server);
    return host;
  }
  HostList full_list() const {
    HostList list;
    list.version = std::to_string(version_);
    list.full = true;
    for (const auto& [server, listed] : hosts_)
      if (listed.health != robinseam::Health::Gone)
        list.hosts.push_back(host(server, listed.health));
    return list;
  }
  HostList answer(std::uint64_t index) const {
    if (index == 0 || index > version_) return full_list();
    HostList list;
    list.version = std::to_string(version_);
    for (const Change& change : changes_)
      if (change.version > index) list.hosts.push_back(host(change.server, change.health));
    return list;
  }
  void record_all(const DrainRecord& record) {
    for (auto& router : routers_) router->record_event(record);
  }
  void record_change(int server, DrainRecord::Kind what) { record_all({now_, what, server}); }
  void log(const std::string& what) { log_.push_back({now_, what}); }
  static std::string seconds(Micros t) {
    std::ostringstream text;
    text << static_cast<double>(t) / kSecond << " s";
    return text.str();
  }
  std::string describe(std::size_t r, const DrainViolation& v) const {
    std::ostringstream text;
    text << "router " << r << " sends to server " << v.server << " at " << seconds(v.sent)
         << "; it left at " << seconds(v.left) << ", notified at " << seconds(v.notified) << ": "
         << description_of(v.rule) << "\n";
    std::vector<std::pair<Micros, std::string>> lines(log_.begin(), log_.end());
    static const char* const names[] = {
        "leaves", "returns",     "answer written", "unreachable", "reachable", "watch silent",
        "calls",  "call failed", "SIGHUP",         "started",     "sends"};
    for (const DrainRecord& record : routers_[r]->records)
      if (record.kind != DrainRecord::Kind::RequestSent &&
          record.kind != DrainRecord::Kind::ServerLeaves)
        lines.emplace_back(record.at,
                           std::string("  router: ") + names[static_cast<int>(record.kind)]);
    std::stable_sort(lines.begin(), lines.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [t, what] : lines)
      if (t > v.left - 40 * kSecond && t < v.sent + 2 * kSecond)
        text << "  " << seconds(t) << "  " << what << "\n";
    return text.str();
  }

  Options options_;
  std::mt19937_64 random_;
  std::map<int, Listed> hosts_;
  std::vector<Change> changes_;
  std::uint64_t version_ = kFirstVersion, agent_version_ = kFirstVersion;
  int epoch_ = 0, address_ = 0, crowded_calls_ = 0, order_ = 0;
  Mode mode_ = Mode::Up;
  Queue queue_;
  std::deque<Place> waiting_;
  bool working_ = false;
  Micros delay_ = 0, now_ = 0, up_since_ = -kShortestReturn;
  std::size_t calls_ = 0;
  std::vector<std::pair<Micros, std::string>> log_;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Router>> routers_;
};

}  // namespace arrowfork::test
