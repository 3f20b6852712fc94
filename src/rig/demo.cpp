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

constexpr Micros kLoopStep = 10 * kMillisecond;
constexpr Micros kStartTimeout = 20 * kSecond;
constexpr Micros kDirectLoadTime = 2 * kSecond;
// A router may wait up to 24 s (20 s and 4 s more) on a watch that a silent discovery accepted, and
// polls again within 8 s of a failure.
constexpr Micros kRecoveryTimeout = 45 * kSecond;
// After SIGTERM a router exits within the longest deadline plus 0.7 s.
constexpr Micros kExitTimeout = 5 * kSecond;
constexpr double kColdShare = 0.3, kOverloadFactor = 4;
constexpr Micros kColdTime = 8 * kSecond, kOverloadTime = 1'500 * kMillisecond;
// Nominal requests per second of a warm cache server of the rig; used to detect that a cold one is
// overloaded.
constexpr double kWarmServerRate = 200;
constexpr Micros kDrainGrace = 500 * kMillisecond;

Json make_settings(int routers) {
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
            {"TipAfterUs", kOverloadTime}}},
          {"TickUs", 2000},
          {"Weights", "nominal"}};
}

class Demo {
 public:
  explicit Demo(const DemoOptions& options) : options_(options), base_(make_precise_event_base()) {}

  int run() {
    start_caches();
    start_routers();
    Tills direct_meta(base_.get(), clock_, direct_options(false)),
        direct_binary(base_.get(), clock_, direct_options(true));
    log_event("tills call cache servers directly, for comparison");
    direct_meta.start(), direct_binary.start();
    run_loop(kDirectLoadTime);
    direct_meta.stop(), direct_binary.stop();
    run_loop_until([&] { return direct_meta.idle() && direct_binary.idle(); }, kSecond);
    Tills meta(base_.get(), clock_, router_options(false)),
        binary(base_.get(), clock_, router_options(true));
    tills_ = {&meta, &binary};
    log_event("tills of both protocols call the routers, " +
              std::to_string(static_cast<int>(2 * options_.rate)) + " requests per second");
    meta.start(), binary.start();
    MisbehavingTills misbehaving_meta(base_.get(), clock_, misbehaving_options(false)),
        misbehaving_binary(base_.get(), clock_, misbehaving_options(true));
    misbehaving_meta.start(), misbehaving_binary.start();
    CallingProxy proxy(proxy_options());
    log_event("a proxy calls the external processors and abandons one stream in 50");
    proxy.start();
    run_loop(kSecond);
    if (options_.list_changes) change_list();
    for (const std::string& name : faults()) inject_fault(parse_fault(name));
    if (options_.list_changes) {
      inject_discovery_faults();
      reload_routers();
    }
    run_loop(kSecond);
    misbehaving_meta.stop(), misbehaving_binary.stop();
    run_loop_until([&] { return misbehaving_meta.idle() && misbehaving_binary.idle(); },
                   misbehaving_options(false).answer_limit * 2);
    for (Tills* t : tills_) t->stop();
    proxy.stop();
    run_loop_until([&] { return meta.idle() && binary.idle() && proxy.idle(); }, 2 * kSecond);
    stop_routers();
    std::printf("\n%-8s %8s %8s %6s %8s %7s %6s %6s %9s %9s %11s %10s\n", "tills", "offered",
                "in time", "late", "refused", "failed", "lost", "wrong", "p50 ms", "p99 ms",
                "direct p50", "added p50");
    row("meta", meta, direct_meta);
    row("binary", binary, direct_binary);
    row("proxy", proxy);
    return print_verdict(meta, binary, proxy.counts(), misbehaving_meta.counts(),
                         misbehaving_binary.counts());
  }

 private:
  struct Cache {
    std::string id;
    bool binary;
    std::unique_ptr<CacheServer> server;
    Micros joined_at = 0;                    // 0: before the start
    std::uint64_t commands_after_grace = 0;  // count when the drain grace had passed
    bool leaving = false;
    std::vector<std::pair<Micros, std::uint64_t>>
        command_samples{};  // of a cold server: time and command count
  };

  void log_event(const std::string& what) const {
    std::printf("%5.1f s  %s\n", static_cast<double>(clock_.now() - started_at_) / kSecond,
                what.c_str());
    std::fflush(stdout);
  }

  std::vector<std::string> faults() const {
    if (!options_.faults.empty()) return options_.faults;
    return {"slow",  "silent", "full",      "failing",        "spoilt",
            "reset", "half",   "other-key", "wrong-protocol", "refusing"};
  }

  /// Runs the event loop for `span`, in steps, so that cold servers and routers are checked.
  void run_loop(Micros span) {
    run_loop_until([] { return false; }, span);
  }
  bool run_loop_until(const std::function<bool()>& done, Micros limit) {
    Micros end = clock_.now() + limit;
    while (!done()) {
      if (clock_.now() >= end) return false;
      timeval step = timeval_of(kLoopStep);
      event_base_loopexit(base_.get(), &step);
      event_base_dispatch(base_.get());
      check_cold_servers();
      check_routers();
    }
    return true;
  }

  void add_cache(bool binary, Micros joined_at) {
    Cache c{(binary ? "b-" : "m-") + std::to_string(caches_.size()), binary, nullptr, joined_at};
    CacheServer::Options options;
    options.meta = !binary;
    options.binary = binary;
    options.seed = options_.seed + caches_.size();
    c.server = std::make_unique<CacheServer>(base_.get(), clock_, origin_, options);
    if (binary) {
      std::lock_guard lock(binary_mutex_);
      binary_ports_.insert(c.server->port());
    }
    caches_.push_back(std::move(c));
    list_server(caches_.back(), "active");
  }

  void list_server(const Cache& c, const std::string& health) {
    DiscoveryServer::Entry e;
    e.dial = c.server->address();
    e.kind = c.binary ? "bin" : "std";
    e.health = health;
    e.started_ms = c.joined_at / kMillisecond;
    discovery_.put(c.id, e);
  }

  void start_caches() {
    for (int k = 0; k < options_.caches; ++k) add_cache(k < options_.binary_caches, 0);
    log_event(std::to_string(options_.caches) + " cache servers, " +
              std::to_string(options_.binary_caches) + " of them binary, and discovery at " +
              discovery_.address());
  }

  std::string config(int number) const {
    return Json{
        {"name", "n" + std::to_string(number)},
        {"listen", "127.0.0.1:0"},
        {"discovery", discovery_.address()},
        {"seed", std::to_string(1000 + options_.seed * 100 + static_cast<unsigned>(number))},
        {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 512}}},
        {"known", Json::parse(discovery_.full_list())},
        {"settings", make_settings(options_.routers)},
        {"ext_proc", {{"listen", "127.0.0.1:0"}}},
        {"binary", {{"servers", {{{"kind", "bin"}, {"id", "b-*"}}}}}}}
        .dump(1);
  }

  void start_routers() {
    for (int k = 0; k < options_.routers; ++k) {
      auto at = folder_.path() / ("n" + std::to_string(k) + ".json");
      std::ofstream(at) << config(k);
      routers_.push_back(std::make_unique<RouterProcess>(
          options_.program, at, folder_.path() / ("n" + std::to_string(k) + ".log")));
    }
    bool up = run_loop_until(
        [&] {
          return std::all_of(routers_.begin(), routers_.end(),
                             [](const auto& r) { return r->port() && r->ext_proc_port(); });
        },
        kStartTimeout);
    if (!up) throw std::runtime_error("a router did not start: " + routers_.back()->log());
    for (auto& r : routers_) ports_.push_back(r->port());
    log_event(std::to_string(options_.routers) + " routers listen");
  }

  Tills::Options direct_options(bool binary) const {
    Tills::Options t;
    t.binary = binary;
    for (const Cache& c : caches_)
      if (c.binary == binary) t.routers.push_back(c.server->port());
    t.rate = options_.rate;
    t.seed = options_.seed + 1;
    t.name = binary ? "db" : "dm";
    return t;
  }
  Tills::Options router_options(bool binary) const {
    Tills::Options t;
    t.binary = binary;
    t.routers = ports_;
    t.rate = options_.rate;
    t.slack = slack();
    t.seed = options_.seed + (binary ? 2 : 3);
    t.name = binary ? "b" : "m";
    return t;
  }

  CallingProxy::Options proxy_options() const {
    CallingProxy::Options p;
    for (auto& r : routers_) p.ext_proc_ports.push_back(r->ext_proc_port());
    // Looked up per call: cache servers added during discovery's faults speak binary too.
    p.is_binary = [this](std::uint16_t port) {
      std::lock_guard lock(binary_mutex_);
      return binary_ports_.count(port) > 0;
    };
    p.rate = options_.rate;
    p.abandon_share = 0.02;
    p.slack = slack();
    p.seed = options_.seed + 6;
    return p;
  }

  MisbehavingTills::Options misbehaving_options(bool binary) const {
    MisbehavingTills::Options r;
    r.binary = binary;
    r.routers = ports_;
    r.seed = options_.seed + (binary ? 4 : 5);
    r.answer_limit += slack();
    return r;
  }

  /// Injects the fault into the last cache server of each protocol.
  void inject_fault(CacheFault fault) {
    run_loop(static_cast<Micros>(options_.fault_duration_s * kSecond / 2));
    std::vector<Cache*> affected;
    for (bool binary : {false, true})
      for (std::size_t k = caches_.size(); k-- > 0;)
        if (caches_[k].binary == binary && !caches_[k].leaving && !caches_[k].joined_at) {
          affected.push_back(&caches_[k]);
          break;
        }
    std::string names;
    for (Cache* c : affected) {
      c->server->set_fault(fault);
      names += (names.empty() ? "" : " and ") + c->id;
    }
    log_event(names + ": " + fault_name(fault));
    run_loop(static_cast<Micros>(options_.fault_duration_s * kSecond));
    for (Cache* c : affected) c->server->set_fault(CacheFault::None);
    std::string line = "        so far:";
    for (std::size_t k = 0; k < tills_.size(); ++k) {
      const Tills::Counts& c = tills_[k]->counts();
      line += std::string(k ? "; binary " : " meta ") + std::to_string(c.in_time) + " of " +
              std::to_string(c.offered) + " in time, " + std::to_string(c.refused) + " refused, " +
              std::to_string(c.failed) + " failed";
    }
    std::printf("%s\n", line.c_str());
  }

  Micros slack() const { return static_cast<Micros>(options_.slack_ms * kMillisecond); }

  void change_list() {
    Cache& leaver = caches_.front();
    leaver.leaving = true;
    list_server(leaver, "leaving");
    log_event(leaver.id + " leaves");
    run_loop(kDrainGrace + slack());
    leaver.commands_after_grace = leaver.server->counts().commands;
    add_cache(false, clock_.now());
    log_event(caches_.back().id + " joins, cold");
    run_loop(kSecond);
  }

  void inject_discovery_faults() {
    const std::pair<const char*, DiscoveryFault> all[] = {
        {"slow", DiscoveryFault::Slow},      {"silent", DiscoveryFault::Silent},
        {"down", DiscoveryFault::Down},      {"spoilt", DiscoveryFault::Malformed},
        {"half", DiscoveryFault::Truncated}, {"reset", DiscoveryFault::Reset}};
    for (const auto& [name, fault] : all) {
      discovery_.set_fault(fault);
      add_cache(true, clock_.now());  // a change for discovery to report
      log_event(std::string("discovery: ") + name);
      run_loop(static_cast<Micros>(options_.fault_duration_s * kSecond / 2));
    }
    discovery_.set_fault(DiscoveryFault::None);
    std::string last = caches_.back().id;
    rejoined_ = run_loop_until([&] { return caches_.back().server->counts().commands > 0; },
                               kRecoveryTimeout + slack());
    log_event(rejoined_ ? last + " has joined" : last + " never got a request");
  }

  void reload_routers() {
    for (auto& r : routers_) r->signal(SIGHUP);
    log_event("routers reload");
    run_loop(kSecond);
  }

  /// Rule 4: a cold server is overloaded if for kOverloadTime it gets more than kOverloadFactor
  /// times the commands that it can serve.
  void check_cold_servers() {
    Micros now = clock_.now();
    for (Cache& c : caches_) {
      if (!c.joined_at || now - c.joined_at > kColdTime) continue;
      std::uint64_t commands = c.server->counts().commands;
      c.command_samples.emplace_back(now, commands);
      auto from = std::find_if(c.command_samples.begin(), c.command_samples.end(),
                               [&](const auto& one) { return now - one.first <= kOverloadTime; });
      double warmth =
          kColdShare + (1 - kColdShare) * static_cast<double>(now - c.joined_at) / kColdTime;
      double max_commands = kOverloadFactor * kWarmServerRate * warmth * kOverloadTime / kSecond;
      if (static_cast<double>(commands - from->second) > max_commands) overloaded_server_ = c.id;
    }
  }

  void check_routers() {
    if (stopping_) return;
    for (auto& r : routers_)
      if (r->has_exited()) {
        std::fputs(r->log().c_str(), stderr);
        throw std::runtime_error("a router exited unexpectedly");
      }
  }

  void stop_routers() {
    stopping_ = true;
    for (auto& r : routers_) r->signal(SIGTERM);
    run_loop_until(
        [&] {
          return std::all_of(routers_.begin(), routers_.end(),
                             [](const auto& r) { return r->has_exited(); });
        },
        kExitTimeout);
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

  /// A proxy's request consists of a decision over gRPC and a new connection to the cache server.
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

  int print_verdict(const Tills& meta, const Tills& binary, const CallingProxy::Counts& proxy,
                    const MisbehavingTills::Counts& misbehaving_meta,
                    const MisbehavingTills::Counts& misbehaving_binary) {
    bool passed = true;
    auto check = [&](bool good, const std::string& what) {
      std::printf("%s  %s\n", good ? "held  " : "BROKEN", what.c_str());
      passed &= good;
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
    check(answered, "1  one final answer for each request, in time and made for it");
    check(origin_.duplicate_effects() == 0,
          "2  no effect twice (" + std::to_string(origin_.writes()) + " writes ran)");
    bool drained = true;
    for (const Cache& c : caches_)
      drained &= !c.leaving || c.server->counts().commands == c.commands_after_grace;
    check(drained, "3  nothing new to a server 500 ms after it was told to leave");
    check(overloaded_server_.empty(),
          "4  no cold server pushed over" +
              (overloaded_server_.empty() ? "" : ": " + overloaded_server_));
    check(misbehaving_meta.unanswered + misbehaving_binary.unanswered == 0,
          "   " + std::to_string(misbehaving_meta.started + misbehaving_binary.started) +
              " rude clients were told or closed in time");
    if (options_.list_changes) check(rejoined_, "   discovery's faults were recovered from");
    bool exited_cleanly = std::all_of(routers_.begin(), routers_.end(),
                                      [](const auto& r) { return r->exited_cleanly(); });
    check(exited_cleanly, "   the routers ended as asked, with status 0");
    return passed ? 0 : 1;
  }

  const DemoOptions& options_;
  Clock clock_;
  Micros started_at_ = clock_.now();
  EventBasePtr base_;
  TemporaryDirectory folder_;
  Origin origin_;
  DiscoveryServer discovery_{base_.get()};
  std::vector<Cache> caches_;
  std::vector<std::unique_ptr<RouterProcess>> routers_;
  std::vector<std::uint16_t> ports_;
  std::vector<Tills*> tills_;
  mutable std::mutex binary_mutex_;  // also used by the proxy's threads
  std::set<std::uint16_t> binary_ports_;
  std::string overloaded_server_;
  bool stopping_ = false, rejoined_ = false;
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
