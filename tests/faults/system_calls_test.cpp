// Discovery calls while system calls fail with documented errors: a drain becomes known in time,
// failed calls are repeated, and the event loop does not spin.
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

/// Discovery in its own thread, where no calls fail; server "a" drains `drains_at` after the start.
class DiscoveryThread {
 public:
  explicit DiscoveryThread(Micros drains_at) : drains_at_(drains_at) {
    std::signal(SIGPIPE, SIG_IGN);  // as the router does
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

struct DiscoveryFixture final : Discovery::Handler {
  DiscoveryFixture(const std::string& address, bool pushed, std::uint64_t seed)
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

TEST(SystemCalls, ADrainIsKnownWithin6SecondsWhicheverCallsToDiscoveryFail) {
  constexpr Micros kFaultTime = 700 * kMillisecond, kDrainAt = 400 * kMillisecond;
  for (bool pushed : {false, true})
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      DiscoveryThread discovery(kDrainAt);
      SystemCallFaults::Plan plan;
      plan.probability.fill(seed % 2 == 0 ? 0.15 : 0.5);
      plan.seed = seed;
      auto faults = std::make_unique<SystemCallFaults>(plan);
      DiscoveryFixture fixture(discovery.address(), pushed, seed);
      Micros began = fixture.clock.now();
      std::uint64_t turns = 0;
      while (!fixture.drained && fixture.clock.now() - began < kDrainAt + 6 * kSecond) {
        event_base_loop(fixture.base.get(), EVLOOP_ONCE);
        ++turns;
        if (faults && fixture.clock.now() - began > kFaultTime) faults.reset();
      }
      EXPECT_TRUE(fixture.drained) << (pushed ? "pushed " : "polled ") << seed;
      EXPECT_LT(turns, 20'000u) << seed;
      fixture.discovery.stop();
    }
}

/// Each error, with every call of its kind failing for a while.
TEST(SystemCalls, EachErrorOfACallToDiscoveryIsFollowedByAnotherCall) {
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
    plan.probability[static_cast<std::size_t>(c.call)] = 1;
    plan.only_error = c.error;
    auto faults = std::make_unique<SystemCallFaults>(plan);
    DiscoveryFixture fixture(discovery.address(), true, 1);
    while (faults->injected() < 4) event_base_loop(fixture.base.get(), EVLOOP_ONCE);
    EXPECT_FALSE(fixture.drained) << c.error;
    faults.reset();
    Micros began = fixture.clock.now();
    while (!fixture.drained && fixture.clock.now() - began < 6 * kSecond)
      event_base_loop(fixture.base.get(), EVLOOP_ONCE);
    EXPECT_TRUE(fixture.drained) << static_cast<int>(c.call) << ' ' << std::strerror(c.error);
    fixture.discovery.stop();
  }
}

}  // namespace
}  // namespace arrowfork::test
