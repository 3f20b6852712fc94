// Discovery and the router while system calls fail as Linux documents: a drain is known in time,
// the listener lives, each request gets its answer, and nobody spins.
#include "system_calls.hpp"

#include <atomic>
#include <csignal>
#include <cstring>
#include <thread>

#include "../loopback.hpp"
#include "net/discovery.hpp"
#include "rig/discovery_server.hpp"

namespace arrowfork::test {
namespace {

/// Discovery in a thread of its own, whose calls do not fail; server a drains after `drains_at`.
class DiscoveryThread {
 public:
  explicit DiscoveryThread(Micros drains_at) : drains_at_(drains_at) {
    std::signal(SIGPIPE, SIG_IGN);  // as the router has it
    thread_ = std::thread([this] { run(); });
    while (port_ == 0) std::this_thread::yield();
  }
  ~DiscoveryThread() {
    done_ = true;
    thread_.join();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_.load()); }

 private:
  void run() {
    EventBasePtr base(event_base_new());
    rig::DiscoveryServer server(base.get());
    rig::DiscoveryServer::Entry entry;
    entry.dial = "127.0.0.1:1";
    server.put("a", entry);
    server.put("b", entry);
    Clock clock;
    Micros began = clock.now();
    port_ = server.port(0);
    for (bool drained = false; !done_;) {
      timeval step = timeval_of(5 * kMillisecond);
      event_base_loopexit(base.get(), &step);
      event_base_dispatch(base.get());
      if (drained || clock.now() - began < drains_at_) continue;
      drained = true;
      entry.health = "leaving";
      server.put("a", entry);
    }
  }

  Micros drains_at_;
  std::atomic<std::uint16_t> port_{0};
  std::atomic<bool> done_{false};
  std::thread thread_;
};

struct Asking final : Discovery::Handler {
  Asking(const std::string& address, bool pushed, std::uint64_t seed)
      : discovery(base.get(), clock, address, {}, {1, pushed, seed, 500 * kMillisecond}, *this) {
    if (!pushed) discovery.watch();
  }
  void on_hosts(HostList&& list) override {
    for (const Host& host : list.hosts)
      drained |= host.server.id == "a" && host.server.health == robinseam::Health::Draining;
  }
  void on_drains(const HostList&, bool) override {}
  void on_call_failed() override {}
  void on_hosts_failed() override {}

  Clock clock;
  EventBasePtr base{event_base_new()};
  bool drained = false;
  Discovery discovery;
};

TEST(SystemCalls, ADrainIsKnownWithin6SecondsWhateverFailsOnDiscoverysWay) {
  constexpr Micros kFailing = 700 * kMillisecond, kDrains = 400 * kMillisecond;
  for (bool pushed : {false, true})
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      DiscoveryThread discovery(kDrains);
      SystemCallFaults::Plan plan;
      plan.chance.fill(seed % 2 == 0 ? 0.15 : 0.5);
      plan.seed = seed;
      auto faults = std::make_unique<SystemCallFaults>(plan);
      Asking asking(discovery.address(), pushed, seed);
      Micros began = asking.clock.now();
      std::uint64_t turns = 0;
      while (!asking.drained && asking.clock.now() - began < kDrains + 6 * kSecond) {
        event_base_loop(asking.base.get(), EVLOOP_ONCE);
        ++turns;
        if (faults && asking.clock.now() - began > kFailing) faults.reset();
      }
      EXPECT_TRUE(asking.drained) << (pushed ? "pushed " : "asked ") << seed;
      EXPECT_LT(turns, 20'000u) << seed;
      asking.discovery.stop();
    }
}

/// Each error of each kind, again and again.
TEST(SystemCalls, EachErrorOfACallOnDiscoverysWayIsFollowedByAnotherCall) {
  struct Case {
    Call call;
    int error;
  };
  const Case cases[] = {
      {Call::Socket, ENFILE},         {Call::Socket, EMFILE},       {Call::Socket, ENOBUFS},
      {Call::Connect, EADDRNOTAVAIL}, {Call::Connect, ENETUNREACH}, {Call::Connect, ETIMEDOUT},
      {Call::Connect, EINTR},         {Call::Read, ETIMEDOUT},      {Call::Read, EHOSTUNREACH},
      {Call::Read, ECONNRESET},       {Call::Write, ENOBUFS},       {Call::Write, EPIPE},
      {Call::Write, ETIMEDOUT}};
  for (const Case& c : cases) {
    DiscoveryThread discovery(0);
    SystemCallFaults::Plan plan;
    plan.chance[static_cast<std::size_t>(c.call)] = 1;
    plan.only_error = c.error;
    auto faults = std::make_unique<SystemCallFaults>(plan);
    Asking asking(discovery.address(), true, 1);
    while (faults->injected() < 4) event_base_loop(asking.base.get(), EVLOOP_ONCE);
    EXPECT_FALSE(asking.drained) << c.error;
    faults.reset();
    Micros began = asking.clock.now();
    while (!asking.drained && asking.clock.now() - began < 6 * kSecond)
      event_base_loop(asking.base.get(), EVLOOP_ONCE);
    EXPECT_TRUE(asking.drained) << static_cast<int>(c.call) << ' ' << std::strerror(c.error);
    asking.discovery.stop();
  }
}

}  // namespace
}  // namespace arrowfork::test
