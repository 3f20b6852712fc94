#include "demo.hpp"

#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "cache_server.hpp"
#include "calling_proxy.hpp"
#include "discovery_server.hpp"
#include "misbehaving_tills.hpp"
#include "process.hpp"
#include "till.hpp"

namespace arrowfork::rig {
namespace {

using Json = nlohmann::json;

constexpr Micros kStep = 10 * kMillisecond;
constexpr Micros kStartLimit = 20 * kSecond;
constexpr Micros kDirectTime = 2 * kSecond;
// A router may be waiting on a watch that a silent discovery took, 20 s and 4 s more, and asks
// again within 8 s of a failure.
constexpr Micros kRejoinLimit = 45 * kSecond;
// After SIGTERM a router ends within the longest deadline and 0.7 s.
constexpr Micros kEndLimit = 5 * kSecond;
constexpr double kColdShare = 0.3, kOverloadFactor = 4;
constexpr Micros kColdTime = 8 * kSecond, kTipAfter = 1'500 * kMillisecond;
// Requests a second that a warm cache server of the rig stands for; tells a cold one that is
// pushed over.
constexpr double kCapacity = 200;
constexpr Micros kDrainGrace = 500 * kMillisecond;

Json settings(int routers) {
  return {{"Az", "a"},
          {"Balancers", routers},
          {"Classes",
           {{{"Name", "read"},
             {"ObjectiveUs", 150'000},
             {"DeadlineUs", 600'000},
             {"Effect", "repeatable"}},
            {{"Name", "put"},
             {"ObjectiveUs", 250'000},
             {"DeadlineUs", 600'000},
             {"Effect", "by_key"},
             {"Group", "all"},
             {"KeyTtlUs", 5'000'000}}}},
          {"Tenants", {{{"Name", "acme"}, {"Portion", 1.0}}}},
          {"FailureDomains", {"a"}},
          {"MachineTypes", {"std", "bin"}},
          {"Domain", {{"Mode", "through"}, {"OriginKind", -1}}},
          {"Limits",
           {{"MaxAttempts", 4},
            {"MaxRetryAfterUs", 1'000'000},
            {"MayCancel", true},
            {"SecondCopies", false},
            {"StreamsPerConn", 16},
            {"KeepaliveUs", 15'000'000},
            {"DialTimeoutUs", 75'000},
            {"MaxOpen", 4000}}},
          {"MembershipMode", "subscribe"},
          {"Report", {{"Fields", Json::array()}}},
          {"Rules",
           {{"AnswerSlackUs", 8'000},
            {"AskWithinUs", 10'000'000},
            {"ColdShare", kColdShare},
            {"ColdUs", kColdTime},
            {"DrainGraceUs", 500'000},
            {"OverloadFactor", kOverloadFactor},
            {"TipAfterUs", kTipAfter}}},
          {"TickUs", 2000},
          {"Weights", "nominal"}};
}

class Demo {
 public:
  explicit Demo(const DemoOptions& options) : o_(options), base_(make_precise_event_base()) {}

  int run() {
    start_caches();
    start_routers();
    Tills direct_meta(base_.get(), clock_, direct(false)),
        direct_binary(base_.get(), clock_, direct(true));
    say("asks cache servers directly, for comparison");
    direct_meta.start(), direct_binary.start();
    spin(kDirectTime);
    direct_meta.stop(), direct_binary.stop();
    spin_until([&] { return direct_meta.idle() && direct_binary.idle(); }, kSecond);
    Tills meta(base_.get(), clock_, through(false)), binary(base_.get(), clock_, through(true));
    tills_ = {&meta, &binary};
    say("tills of both protocols ask the routers, " +
        std::to_string(static_cast<int>(2 * o_.rate)) + " requests a second");
    meta.start(), binary.start();
    MisbehavingTills rude_meta(base_.get(), clock_, rude(false)),
        rude_binary(base_.get(), clock_, rude(true));
    rude_meta.start(), rude_binary.start();
    CallingProxy proxy(calling());
    say("a calling proxy asks the external processors, one stream in 50 left without a word");
    proxy.start();
    spin(kSecond);
    if (o_.list_changes) changes();
    for (const std::string& name : faults()) trouble(parse_fault(name));
    if (o_.list_changes) {
      discovery_faults();
      reload();
    }
    spin(kSecond);
    rude_meta.stop(), rude_binary.stop();
    spin_until([&] { return rude_meta.idle() && rude_binary.idle(); },
               rude(false).answer_limit * 2);
    for (Tills* t : tills_) t->stop();
    proxy.stop();
    spin_until([&] { return meta.idle() && binary.idle() && proxy.idle(); }, 2 * kSecond);
    end_routers();
    std::printf("\n%-8s %8s %8s %6s %8s %7s %6s %6s %9s %9s %11s %10s\n", "tills", "offered",
                "in time", "late", "refused", "failed", "lost", "wrong", "p50 ms", "p99 ms",
                "direct p50", "added p50");
    row("meta", meta, direct_meta);
    row("binary", binary, direct_binary);
    row("proxy", proxy);
    return verdict(meta, binary, proxy.counts(), rude_meta.counts(), rude_binary.counts());
  }

 private:
  struct Cache {
    std::string id;
    bool binary;
    std::unique_ptr<CacheServer> server;
    Micros joined = 0;              // 0: long ago
    std::uint64_t begun_after = 0;  // when it had been leaving for the rule's time
    bool leaving = false;
    std::vector<std::pair<Micros, std::uint64_t>> begun{};  // of a cold one, by time
  };

  void say(const std::string& what) const {
    std::printf("%5.1f s  %s\n", static_cast<double>(clock_.now() - began_) / kSecond,
                what.c_str());
    std::fflush(stdout);
  }

  std::vector<std::string> faults() const {
    if (!o_.faults.empty()) return o_.faults;
    return {"slow",  "silent", "full",      "failing",        "spoilt",
            "reset", "half",   "other-key", "wrong-protocol", "refusing"};
  }

  /// The loop for a while; a step at a time, so that cold servers are watched and dead routers
  /// seen.
  void spin(Micros span) {
    spin_until([] { return false; }, span);
  }
  bool spin_until(const std::function<bool()>& done, Micros limit) {
    Micros end = clock_.now() + limit;
    while (!done()) {
      if (clock_.now() >= end) return false;
      timeval step = timeval_of(kStep);
      event_base_loopexit(base_.get(), &step);
      event_base_dispatch(base_.get());
      watch_cold();
      watch_routers();
    }
    return true;
  }

  void add_cache(bool binary, Micros joined) {
    Cache c{(binary ? "b-" : "m-") + std::to_string(caches_.size()), binary, nullptr, joined};
    CacheServer::Options options;
    options.meta = !binary;
    options.binary = binary;
    options.seed = o_.seed + caches_.size();
    c.server = std::make_unique<CacheServer>(base_.get(), clock_, origin_, options);
    if (binary) {
      std::lock_guard lock(binary_mutex_);
      binary_ports_.insert(c.server->port());
    }
    caches_.push_back(std::move(c));
    list(caches_.back(), "active");
  }

  void list(const Cache& c, const std::string& health) {
    DiscoveryServer::Entry e;
    e.dial = c.server->address();
    e.kind = c.binary ? "bin" : "std";
    e.health = health;
    e.started_ms = c.joined / kMillisecond;
    discovery_.put(c.id, e);
  }

  void start_caches() {
    for (int k = 0; k < o_.caches; ++k) add_cache(k < o_.binary_caches, 0);
    say(std::to_string(o_.caches) + " cache servers, " + std::to_string(o_.binary_caches) +
        " of them binary, and discovery at " + discovery_.address());
  }

  std::string config(int number) const {
    return Json{{"name", "n" + std::to_string(number)},
                {"listen", "127.0.0.1:0"},
                {"discovery", discovery_.address()},
                {"seed", std::to_string(1000 + o_.seed * 100 + static_cast<unsigned>(number))},
                {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 512}}},
                {"known", Json::parse(discovery_.full_list())},
                {"settings", settings(o_.routers)},
                {"ext_proc", {{"listen", "127.0.0.1:0"}}},
                {"binary", {{"servers", {{{"kind", "bin"}, {"id", "b-*"}}}}}}}
        .dump(1);
  }

  void start_routers() {
    for (int k = 0; k < o_.routers; ++k) {
      auto at = folder_.path() / ("n" + std::to_string(k) + ".json");
      std::ofstream(at) << config(k);
      routers_.push_back(std::make_unique<RouterProcess>(
          o_.program, at, folder_.path() / ("n" + std::to_string(k) + ".log")));
    }
    bool up = spin_until(
        [&] {
          return std::all_of(routers_.begin(), routers_.end(),
                             [](const auto& r) { return r->port() && r->ext_proc_port(); });
        },
        kStartLimit);
    if (!up) throw std::runtime_error("a router did not start: " + routers_.back()->log());
    for (auto& r : routers_) ports_.push_back(r->port());
    say(std::to_string(o_.routers) + " routers listen");
  }

  Tills::Options direct(bool binary) const {
    Tills::Options t;
    t.binary = binary;
    for (const Cache& c : caches_)
      if (c.binary == binary) t.routers.push_back(c.server->port());
    t.rate = o_.rate;
    t.seed = o_.seed + 1;
    t.name = binary ? "db" : "dm";
    return t;
  }
  Tills::Options through(bool binary) const {
    Tills::Options t;
    t.binary = binary;
    t.routers = ports_;
    t.rate = o_.rate;
    t.slack = slack();
    t.seed = o_.seed + (binary ? 2 : 3);
    t.name = binary ? "b" : "m";
    return t;
  }

  CallingProxy::Options calling() const {
    CallingProxy::Options p;
    for (auto& r : routers_) p.ext_proc_ports.push_back(r->ext_proc_port());
    // Those that discovery's faults bring later speak it as well.
    p.is_binary = [this](std::uint16_t port) {
      std::lock_guard lock(binary_mutex_);
      return binary_ports_.count(port) > 0;
    };
    p.rate = o_.rate;
    p.abandon_share = 0.02;
    p.slack = slack();
    p.seed = o_.seed + 6;
    return p;
  }

  MisbehavingTills::Options rude(bool binary) const {
    MisbehavingTills::Options r;
    r.binary = binary;
    r.routers = ports_;
    r.seed = o_.seed + (binary ? 4 : 5);
    r.answer_limit += slack();
    return r;
  }

  /// The last of each protocol gets it.
  void trouble(CacheFault fault) {
    spin(static_cast<Micros>(o_.fault_duration_s * kSecond / 2));
    std::vector<Cache*> hit;
    for (bool binary : {false, true})
      for (std::size_t k = caches_.size(); k-- > 0;)
        if (caches_[k].binary == binary && !caches_[k].leaving && !caches_[k].joined) {
          hit.push_back(&caches_[k]);
          break;
        }
    std::string names;
    for (Cache* c : hit) {
      c->server->set_fault(fault);
      names += (names.empty() ? "" : " and ") + c->id;
    }
    say(names + ": " + fault_name(fault));
    spin(static_cast<Micros>(o_.fault_duration_s * kSecond));
    for (Cache* c : hit) c->server->set_fault(CacheFault::None);
    std::string line = "        so far:";
    for (std::size_t k = 0; k < tills_.size(); ++k) {
      const Tills::Counts& c = tills_[k]->counts();
      line += std::string(k ? "; binary " : " meta ") + std::to_string(c.in_time) + " of " +
              std::to_string(c.offered) + " in time, " + std::to_string(c.refused) + " refused, " +
              std::to_string(c.failed) + " failed";
    }
    std::printf("%s\n", line.c_str());
  }

  Micros slack() const { return static_cast<Micros>(o_.slack_ms * kMillisecond); }

  void changes() {
    Cache& leaver = caches_.front();
    leaver.leaving = true;
    list(leaver, "leaving");
    say(leaver.id + " leaves");
    spin(kDrainGrace + slack());
    leaver.begun_after = leaver.server->counts().commands;
    add_cache(false, clock_.now());
    say(caches_.back().id + " joins, cold");
    spin(kSecond);
  }

  void discovery_faults() {
    const std::pair<const char*, DiscoveryFault> all[] = {
        {"slow", DiscoveryFault::Slow},      {"silent", DiscoveryFault::Silent},
        {"down", DiscoveryFault::Down},      {"spoilt", DiscoveryFault::Malformed},
        {"half", DiscoveryFault::Truncated}, {"reset", DiscoveryFault::Reset}};
    for (const auto& [name, fault] : all) {
      discovery_.set_fault(fault);
      add_cache(true, clock_.now());  // a change, so that it has something to tell
      say(std::string("discovery: ") + name);
      spin(static_cast<Micros>(o_.fault_duration_s * kSecond / 2));
    }
    discovery_.set_fault(DiscoveryFault::None);
    std::string last = caches_.back().id;
    rejoined_ = spin_until([&] { return caches_.back().server->counts().commands > 0; },
                           kRejoinLimit + slack());
    say(rejoined_ ? last + " has joined" : last + " never got a request");
  }

  void reload() {
    for (auto& r : routers_) r->signal(SIGHUP);
    say("routers reload");
    spin(kSecond);
  }

  /// Rule 4: a cold server that gets more than a multiple of what it can do for long falls over.
  void watch_cold() {
    Micros now = clock_.now();
    for (Cache& c : caches_) {
      if (!c.joined || now - c.joined > kColdTime) continue;
      std::uint64_t begun = c.server->counts().commands;
      c.begun.emplace_back(now, begun);
      auto from = std::find_if(c.begun.begin(), c.begun.end(),
                               [&](const auto& one) { return now - one.first <= kTipAfter; });
      double warmth =
          kColdShare + (1 - kColdShare) * static_cast<double>(now - c.joined) / kColdTime;
      double most = kOverloadFactor * kCapacity * warmth * kTipAfter / kSecond;
      if (static_cast<double>(begun - from->second) > most) pushed_over_ = c.id;
    }
  }

  void watch_routers() {
    if (ending_) return;
    for (auto& r : routers_)
      if (r->has_exited()) {
        std::fputs(r->log().c_str(), stderr);
        throw std::runtime_error("a router has ended");
      }
  }

  void end_routers() {
    ending_ = true;
    for (auto& r : routers_) r->signal(SIGTERM);
    spin_until(
        [&] {
          return std::all_of(routers_.begin(), routers_.end(),
                             [](const auto& r) { return r->has_exited(); });
        },
        kEndLimit);
  }

  static double ms(Micros span) { return static_cast<double>(span) / kMillisecond; }

  void row(const char* name, const Tills& t, const Tills& direct) const {
    const Tills::Counts& c = t.counts();
    auto n = [](std::uint64_t count) { return static_cast<unsigned long>(count); };
    std::printf("%-8s %8lu %8lu %6lu %8lu %7lu %6lu %6lu %9.2f %9.2f %11.2f %10.2f\n", name,
                n(c.offered), n(c.in_time), n(c.late), n(c.refused), n(c.failed), n(c.lost),
                n(c.wrong), ms(t.latency_quantile(0.5)), ms(t.latency_quantile(0.99)),
                ms(direct.latency_quantile(0.5)),
                ms(t.latency_quantile(0.5) - direct.latency_quantile(0.5)));
  }

  /// A request of the proxy's is a decision over gRPC and a connection of its own to the cache.
  static void row(const char* name, const CallingProxy& p) {
    const CallingProxy::Counts& c = p.counts();
    auto n = [](std::uint64_t count) { return static_cast<unsigned long>(count); };
    std::printf(
        "%-8s %8lu %8lu %6lu %8lu %7lu %6lu %6lu %9.2f %9.2f %11s %10s  decision p50 %.2f p99 "
        "%.2f ms\n",
        name, n(c.offered), n(c.in_time), n(c.late), n(c.refused), n(c.failed), n(c.lost),
        n(c.wrong), ms(p.latency_quantile(0.5)), ms(p.latency_quantile(0.99)), "-", "-",
        ms(p.decision_quantile(0.5)), ms(p.decision_quantile(0.99)));
  }

  int verdict(const Tills& meta, const Tills& binary, const CallingProxy::Counts& proxy,
              const MisbehavingTills::Counts& rude_meta,
              const MisbehavingTills::Counts& rude_binary) {
    bool held = true;
    auto rule = [&](bool good, const std::string& what) {
      std::printf("%s  %s\n", good ? "held  " : "BROKEN", what.c_str());
      held &= good;
    };
    std::printf("\n");
    bool answered = true;
    for (const Tills* t : {&meta, &binary}) {
      const Tills::Counts& c = t->counts();
      answered &= c.lost == 0 && c.wrong == 0 && c.offered > 0 &&
                  c.in_time + c.late + c.refused + c.failed == c.offered;
    }
    answered &= proxy.lost == 0 && proxy.wrong == 0 && proxy.offered > 0 &&
                proxy.in_time + proxy.late + proxy.refused + proxy.failed + proxy.abandoned ==
                    proxy.offered;
    rule(answered, "1  one final answer for each request, in time and made for it");
    rule(origin_.duplicate_effects() == 0,
         "2  no effect twice (" + std::to_string(origin_.writes()) + " writes ran)");
    bool drained = true;
    for (const Cache& c : caches_)
      drained &= !c.leaving || c.server->counts().commands == c.begun_after;
    rule(drained, "3  nothing new to a server 500 ms after it was told to leave");
    rule(pushed_over_.empty(),
         "4  no cold server pushed over" + (pushed_over_.empty() ? "" : ": " + pushed_over_));
    rule(rude_meta.unanswered + rude_binary.unanswered == 0,
         "   " + std::to_string(rude_meta.started + rude_binary.started) +
             " rude clients were told or closed in time");
    if (o_.list_changes) rule(rejoined_, "   discovery's faults were recovered from");
    bool well = std::all_of(routers_.begin(), routers_.end(),
                            [](const auto& r) { return r->exited_cleanly(); });
    rule(well, "   the routers ended as asked, with status 0");
    return held ? 0 : 1;
  }

  const DemoOptions& o_;
  Clock clock_;
  Micros began_ = clock_.now();
  EventBasePtr base_;
  TemporaryDirectory folder_;
  Origin origin_;
  DiscoveryServer discovery_{base_.get()};
  std::vector<Cache> caches_;
  std::vector<std::unique_ptr<RouterProcess>> routers_;
  std::vector<std::uint16_t> ports_;
  std::vector<Tills*> tills_;
  mutable std::mutex binary_mutex_;  // the proxy's threads ask
  std::set<std::uint16_t> binary_ports_;
  std::string pushed_over_;
  bool ending_ = false, rejoined_ = false;
};

}  // namespace

int run_demo(const DemoOptions& options) try {
  ::signal(SIGPIPE, SIG_IGN);
  return Demo(options).run();
} catch (const std::exception& e) {
  std::fprintf(stderr, "rig: %s\n", e.what());
  return 2;
}

}  // namespace arrowfork::rig
