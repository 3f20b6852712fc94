// Discovery, its faults and the routers that ask it, in virtual time. The routers' calls and lists
// are those of the shipped ListSubscription; what goes wrong is drawn from one seed.
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
#include "recovery/asking.hpp"

namespace arrowfork::test {

using judge::DrainJudge, judge::DrainRecord, judge::DrainJudgeOptions, judge::DrainViolation;
using robinseam::Micros;

constexpr Micros kMilli = 1000, kSecond = 1000 * kMilli;

/// What discovery does with a call.
enum class Mode {
  Up,
  Slow,     ///< answers after `delay`
  Line,     ///< works calls off in turn, see World::Line
  Crowded,  ///< every second call is refused after 2 s, the others wait up to 1.8 s
  Silent,   ///< takes calls and never answers
  Refuses,  ///< 503 at once
  Resets,   ///< ends the connection at once
  Halves,   ///< breaks answers off
};
inline const char* name_of(Mode mode) {
  static const char* const names[] = {"up",     "slow",    "line",   "crowded",
                                      "silent", "refuses", "resets", "halves"};
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

  /// How discovery works calls off in turn, in Mode::Line.
  struct Line {
    Micros work = 100 * kMilli;      ///< of a call
    Micros most_wait = 2 * kSecond;  ///< then a call is refused
    std::size_t places = 24;         ///< with so many waiting a call is refused at once
    bool works_on_expired =
        false;             ///< what was refused so, or whose caller has gone, costs its work
    bool one_each = true;  ///< a router's second call ends its first one's wait, refused
  };
  void set_line(const Line& line) {
    line_ = line;
    set_mode(Mode::Line, line.work);
  }

  explicit World(const Options& options) : options_(options), random_(options.seed) {
    for (int k = 0; k < options.servers; ++k) hosts_[k] = Listed{};
    for (int k = 0; k < options.routers; ++k) routers_.push_back(std::make_unique<Router>(*this));
    for (auto& router : routers_) router->start(whole());
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
    // Back for a moment that no router can see is not back.
    if (mode != Mode::Up && mode_ == Mode::Up && now_ < up_since_ + kShortestReturn)
      return at(up_since_ + kShortestReturn, [=, this] { set_mode(mode, delay); });
    if (mode == Mode::Up) up_since_ = now_;
    log(std::string("discovery ") + name_of(mode) + (delay ? " " + seconds(delay) : ""));
    bool could = reachable();
    mode_ = mode, delay_ = delay;
    if (could && !reachable()) note_all({now_, DrainRecord::Kind::DiscoveryUnreachable});
    if (!could && reachable()) note_all({now_, DrainRecord::Kind::DiscoveryReachable});
    if (mode == Mode::Refuses || mode == Mode::Resets)
      for (auto& router : routers_) router->end_watches();
    // Watches end or hang, whether the agent's answers come after all or not.
    if (mode == Mode::Silent && (!options_.pushed || chance() < 0.5)) mute_watches();
    // An agent has what it gets at the return, and tells it on watches from before. Calls that it
    // was silent to stay unanswered.
    if (!options_.pushed || mode != Mode::Up) return;
    bool more = agent_version_ != version_;
    agent_version_ = version_;
    if (more) news();
  }
  void drain(int server) {
    log("server " + std::to_string(server) + " drains");
    change(server, robinseam::Health::Draining);
    note_change(server, DrainRecord::Kind::ServerLeaves);
    news();
  }
  void remove(int server) {
    log("server " + std::to_string(server) + " is gone");
    change(server, robinseam::Health::Gone);
    note_change(server, DrainRecord::Kind::ServerLeaves);
    news();
  }
  /// Both in one delta, an entry each.
  void drain_and_remove(int server) {
    log("server " + std::to_string(server) + " drains and is gone, in one delta");
    change(server, robinseam::Health::Draining);
    change(server, robinseam::Health::Gone);
    note_change(server, DrainRecord::Kind::ServerLeaves);
    news();
  }
  void remove_all() {
    log("all servers are gone");
    for (auto& [server, listed] : hosts_)
      if (listed.health != robinseam::Health::Gone) {
        change(server, robinseam::Health::Gone);
        note_change(server, DrainRecord::Kind::ServerLeaves);
      }
    news();
  }
  /// Discovery counts its versions anew: all it answers are whole lists until a router has one.
  void count_anew() {
    log("discovery counts anew");
    version_ = agent_version_ = kFirstVersion - 100 * static_cast<std::uint64_t>(++epoch_);
    changes_.clear();
    for (auto& router : routers_) router->end_watches();
  }
  void mute_watches() {
    log("watches fall silent");
    for (auto& router : routers_) router->mute();
  }
  /// A new configuration for all routers; the old address ends what is open after 1.5 s.
  void hang_up() {
    log("SIGHUP, another address");
    ++address_;
    for (auto& router : routers_) router->hang_up("127.0.0.1:" + std::to_string(10'000 + address_));
  }
  /// The process is killed and starts again after `away` with the list that it had.
  void restart(std::size_t r, Micros away) {
    if (r >= routers_.size()) return;
    log("router " + std::to_string(r) + " is killed, away " + seconds(away));
    routers_[r]->restart(away);
  }
  /// The process stands still; what arrives meanwhile it sees after that.
  void hold_up(std::size_t r, Micros span) {
    if (r >= routers_.size()) return;
    if (span > 200 * kMilli) log("router " + std::to_string(r) + " is held up, " + seconds(span));
    routers_[r]->hold_up(span);
  }

  // ---- the verdict ----

  struct Verdict {
    std::size_t violations = 0;
    std::string first;     ///< with the timeline of that request's router
    std::string sentence;  ///< by which that one's change counts as told
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
        verdict.sentence = description_of(found.front().rule);
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
  static constexpr Micros kNetwork = kMilli;         // one way
  static constexpr Micros kCloses = 1500 * kMilli;   // an address that was left
  static constexpr Micros kSendEvery = 20 * kMilli;  // of each router to each server
  static constexpr Micros kShortestReturn = 300 * kMilli;
  static constexpr Micros kBetweenHolds = 300 * kMilli;
  static constexpr Micros kQueueTime = 2 * kSecond;  // of a crowded discovery
  // Far above what a discovery that counts anew comes to: an index of before is no version of its
  // own, which is so low that it could not tell the two apart.
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

  /// One router process: the subscription, the list it holds, and requests to every server in it.
  struct Router final : ListTransport, ListSubscription::Handler {
    explicit Router(World& w) : world(w) {}

    struct Out {
      ListCall call;
      std::uint64_t index = 0;
      Micros until = 0;  ///< its wait is over then
      bool watching = false, muted = false;
    };

    void start(const HostList& known) {
      ++life;
      alive = true;
      held.clear();
      out.clear();
      apply(known);
      note({world.now_, DrainRecord::Kind::ProcessStarted});
      ListSubscription::Options options;
      options.routers = world.options_.routers;
      options.pushed = world.options_.pushed;
      options.grace = world.options_.grace;
      options.seed = world.options_.seed * 100 + static_cast<std::uint64_t>(life);
      subscription = std::make_unique<ListSubscription>(address(), known, options, world.now_,
                                                        static_cast<ListTransport&>(*this),
                                                        static_cast<Handler&>(*this));
      // As the module asks for its first watch.
      if (!world.options_.pushed) {
        robinseam::recovery::Asking asks(world.options_.routers, 10 * kSecond);
        asks.hold(true);
        later(asks.first(world.chance()), [this] { subscription->watch(world.now_); });
      }
      send();
      arm();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(10'000 + world.address_); }

    // ---- what goes wrong ----

    void restart(Micros away) {
      if (!alive) return;
      HostList known;
      known.version = subscription->version();
      known.full = true;
      for (const auto& [id, host] : held) known.hosts.push_back(host);
      alive = false;
      ++life;
      subscription.reset();
      out.clear();
      world.at(world.now_ + away, [this, known] { start(known); });
    }
    void hold_up(Micros span) {
      if (world.now_ >= held_until + kBetweenHolds) held_until = world.now_ + span;
    }
    void hang_up(const std::string& to) {
      note({world.now_, DrainRecord::Kind::AddressChanged});
      later(0, [this, to] {
        // What is open at the old address ends in a while.
        std::vector<int> ids;
        for (const auto& [id, one] : out)
          if (one.call.address != to) ids.push_back(id);
        for (int id : ids) later(kCloses, [this, id] { fail(id, CallFailure::Refused); });
        subscription->change_address(to, world.now_);
        arm();
      });
    }
    void end_watches() {
      std::vector<int> ids;
      for (const auto& [id, one] : out)
        if (one.watching && !one.muted) ids.push_back(id);
      for (int id : ids) later(kNetwork, [this, id] { fail(id, CallFailure::Refused); });
    }
    void break_off_watches() {
      std::vector<int> ids;
      for (const auto& [id, one] : out)
        if (one.watching && !one.muted) ids.push_back(id);
      for (int id : ids) later(kNetwork, [this, id] { fail(id, CallFailure::Malformed); });
    }
    void mute() {
      for (auto& [id, one] : out)
        if (one.watching && !one.muted) fall_silent(one);
    }
    void fall_silent(Out& one) {
      one.muted = true;
      // What an agent gets at its return counts at once, whatever it was silent to.
      if (!world.options_.pushed || world.mode_ != Mode::Silent)
        note({world.now_, DrainRecord::Kind::WatchSilent, -1, one.until});
    }
    void news() {
      std::vector<int> ids;
      for (const auto& [id, one] : out)
        if (one.watching && !one.muted) ids.push_back(id);
      for (int id : ids) write(id);
    }

    // ---- ListTransport ----

    using CallFailure = robinseam::membership::CallFailure;
    void start(const ListCall& call) override {
      ++world.calls_;
      note({world.now_, DrainRecord::Kind::CallStarted});
      Out& one = out[call.id];
      one.call = call;
      std::size_t index = call.path.find("index="), wait = call.path.find("wait=");
      if (index != std::string::npos) one.index = std::stoull(call.path.substr(index + 6));
      Micros span = wait == std::string::npos ? 0 : std::stoll(call.path.substr(wait + 5)) * kMilli;
      one.until = world.now_ + kNetwork + span;
      later(call.timeout, [this, id = call.id] { fail(id, CallFailure::TimedOut); });
      later_outside(kNetwork, call.id, [this, id = call.id] { arrives(id); });
    }
    void cancel(int id, CancelReason) override { out.erase(id); }

    // ---- discovery's side of a call ----

    void later_outside(Micros span, int id, std::function<void()> what) {
      int of = life;
      world.at(world.now_ + span, [this, of, id, what] {
        if (life == of && out.count(id)) what();
      });
    }
    void arrives(int id) {
      Out& one = out.at(id);
      if (one.call.address != address() || world.mode_ == Mode::Refuses ||
          world.mode_ == Mode::Resets)
        return later(kNetwork, [this, id] { fail(id, CallFailure::Refused); });
      switch (world.mode_) {
        case Mode::Silent:
          return fall_silent(one);
        case Mode::Halves:
          return later(kNetwork, [this, id] { fail(id, CallFailure::Malformed); });
        case Mode::Crowded:
          if (world.crowd_++ % 2 == 0)
            return later(kQueueTime, [this, id] { fail(id, CallFailure::Refused); });
          return later_outside(world.between(0, kQueueTime - 200 * kMilli), id,
                               [this, id] { works(id); });
        case Mode::Line:
          return waits_in_line(id);
        case Mode::Slow:
          return later_outside(world.delay_, id, [this, id] { works(id); });
        default:
          works(id);
      }
    }
    void waits_in_line(int id) {
      if (world.line_.one_each) leave_line();
      if (world.waiting_.size() >= world.line_.places)
        return later(kNetwork, [this, id] { fail(id, CallFailure::Refused); });
      world.waiting_.push_back({this, life, id});
      later_outside(world.line_.most_wait, id, [this, id] {
        if (auto place = place_of(id)) {
          place->refused = true;
          later(kNetwork, [this, id] { fail(id, CallFailure::Refused); });
        }
      });
      if (!world.working_) world.work_on_line();
    }
    World::Place* place_of(int id) {
      for (World::Place& place : world.waiting_)
        if (place.router == this && place.life == life && place.id == id && !place.refused)
          return &place;
      return nullptr;
    }
    void leave_line() {
      for (World::Place& place : world.waiting_) {
        if (place.router != this || place.life != life || place.refused) continue;
        place.refused = true;
        later(kNetwork, [this, id = place.id] { fail(id, CallFailure::Refused); });
      }
    }
    void works(int id) {
      Out& one = out.at(id);
      if (world.mode_ == Mode::Silent) return fall_silent(one);
      if (!world.reachable())
        return later(kNetwork, [this, id] { fail(id, CallFailure::Refused); });
      bool waits = one.index != 0 && one.index == world.told_version() &&
                   one.until > world.now_ + 2 * kMilli;
      if (!waits) return write(id);
      one.watching = true;
      later_outside(one.until - world.now_, id, [this, id] {
        if (out.at(id).watching && !out.at(id).muted && world.reachable()) write(id);
      });
    }
    /// The answer is written now and read a moment later.
    void write(int id) {
      Out& one = out.at(id);
      one.watching = false, one.muted = true;
      ListResult result;
      result.list = world.answer(one.index);
      note({world.now_, DrainRecord::Kind::AnswerWritten});
      later(kNetwork, [this, id, result] {
        if (!out.erase(id)) return;
        subscription->on_call_ended(id, result, world.now_);
        arm();
      });
    }
    void fail(int id, CallFailure fault) {
      auto at = out.find(id);
      if (at == out.end()) return;
      // The end of what was open at an address that was left is no failure.
      if (at->second.call.address == address()) note({world.now_, DrainRecord::Kind::CallFailed});
      out.erase(at);
      ListResult result;
      result.failure = fault;
      subscription->on_call_ended(id, result, world.now_);
      arm();
    }

    // ---- the process's own side ----

    /// Does something in this process, not before it goes on.
    void later(Micros span, std::function<void()> what) {
      int of = life;
      world.at(world.now_ + span, [this, of, what] {
        if (life != of || !alive) return;
        if (world.now_ < held_until) return later(held_until - world.now_, what);
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
      for (const auto& [id, host] : held)
        if (host.server.health == robinseam::Health::Ready)
          note({world.now_, DrainRecord::Kind::RequestSent, std::stoi(id)});
      later(kSendEvery, [this] { send(); });
    }

    // ---- ListSubscription::Handler ----

    void on_hosts(HostList&& list) override { apply(list); }
    void on_call_failed() override {}
    void on_hosts_failed() override {}
    void on_list_rejected(const std::string&) override {}
    void on_drains(const HostList& list, bool drain_unlisted) override {
      apply(extract_drains(list, drain_unlisted, held));
    }

    /// As the router applies a list: a whole one replaces what is held.
    void apply(const HostList& list) {
      if (list.full) held.clear();
      for (const Host& host : list.hosts) {
        if (host.server.health == robinseam::Health::Gone)
          held.erase(host.server.id);
        else
          held[host.server.id] = host;
      }
    }
    void note(const DrainRecord& record) { records.push_back(record); }

    World& world;
    std::unique_ptr<ListSubscription> subscription;
    std::unordered_map<std::string, Host> held;
    std::map<int, Out> out;
    std::vector<DrainRecord> records;
    Micros held_until = 0, armed = -1;
    int life = 0;
    bool alive = false;
  };

  struct Place {
    Router* router;
    int life, id;
    bool refused = false;
  };
  /// The next in line has its turn.
  void work_on_line() {
    working_ = false;
    while (!waiting_.empty()) {
      Place place = waiting_.front();
      waiting_.pop_front();
      bool there = !place.refused && place.router->life == place.life &&
                   place.router->out.count(place.id) > 0;
      if (!there && !line_.works_on_expired) continue;
      working_ = true;
      at(now_ + line_.work, [this, place, there] {
        bool waits = there && place.router->life == place.life && place.router->out.count(place.id);
        if (waits) place.router->works(place.id);
        work_on_line();
      });
      return;
    }
  }
  bool reachable() const {
    return mode_ == Mode::Up || mode_ == Mode::Slow || mode_ == Mode::Line ||
           mode_ == Mode::Crowded;
  }
  std::uint64_t told_version() const { return options_.pushed ? agent_version_ : version_; }
  void change(int server, robinseam::Health health) {
    hosts_[server].health = health;
    changes_.push_back({++version_, server, health});
    if (!options_.pushed || mode_ == Mode::Up) agent_version_ = version_;
  }
  void news() {
    for (auto& router : routers_)
      if (reachable())
        router->news();
      else if (mode_ == Mode::Halves)
        router->break_off_watches();
  }
  static Host host(int server, robinseam::Health health) {
    Host host;
    host.server.id = std::to_string(server);
    host.server.health = health;
    host.dial = "127.0.0.1:" + std::to_string(20'000 + server);
    return host;
  }
  HostList whole() const {
    HostList list;
    list.version = std::to_string(version_);
    list.full = true;
    for (const auto& [server, listed] : hosts_)
      if (listed.health != robinseam::Health::Gone)
        list.hosts.push_back(host(server, listed.health));
    return list;
  }
  HostList answer(std::uint64_t index) const {
    if (index == 0 || index > version_) return whole();
    HostList list;
    list.version = std::to_string(version_);
    for (const Change& change : changes_)
      if (change.version > index) list.hosts.push_back(host(change.server, change.health));
    return list;
  }
  void note_all(const DrainRecord& record) {
    for (auto& router : routers_) router->note(record);
  }
  void note_change(int server, DrainRecord::Kind what) { note_all({now_, what, server}); }
  void log(const std::string& what) { log_.push_back({now_, what}); }
  static std::string seconds(Micros t) {
    std::ostringstream text;
    text << static_cast<double>(t) / kSecond << " s";
    return text.str();
  }
  std::string describe(std::size_t r, const DrainViolation& v) const {
    std::ostringstream text;
    text << "router " << r << " sends to server " << v.server << " at " << seconds(v.sent)
         << "; it left at " << seconds(v.left) << ", told at " << seconds(v.notified) << ": "
         << description_of(v.rule) << "\n";
    std::vector<std::pair<Micros, std::string>> lines(log_.begin(), log_.end());
    static const char* const names[] = {"leaves",    "returns", "answer written", "unreachable",
                                        "reachable", "muted",   "calls",          "call failed",
                                        "SIGHUP",    "started", "sends"};
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
  int epoch_ = 0, address_ = 0, crowd_ = 0, order_ = 0;
  Mode mode_ = Mode::Up;
  Line line_;
  std::deque<Place> waiting_;
  bool working_ = false;
  Micros delay_ = 0, now_ = 0, up_since_ = -kShortestReturn;
  std::size_t calls_ = 0;
  std::vector<std::pair<Micros, std::string>> log_;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Router>> routers_;
};

}  // namespace arrowfork::test
