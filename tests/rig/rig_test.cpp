// Tests of the simulated servers and tills: each injected fault has its documented effect, and the
// tills' counts and the origin's duplicate check detect what they exist for.
#include <functional>

#include "../loopback.hpp"
#include "protocol/binary.hpp"
#include "rig/cache_server.hpp"
#include "rig/discovery_server.hpp"
#include "rig/misbehaving_tills.hpp"
#include "rig/till.hpp"

namespace arrowfork::rig {
namespace {

using test::TestConnection;

TEST(RigOrigin, CountsDuplicateEffectsAndDropsRepeatsOfAnIdempotencyKey) {
  Origin origin;
  std::string first = origin.write("k", {"v", 1}, "id");
  EXPECT_EQ(origin.write("k", {"v", 1}, "id"), first);
  EXPECT_EQ(origin.duplicate_effects(), 0u);
  EXPECT_EQ(origin.read("k").value, "v");
  EXPECT_EQ(origin.read("other").value, "price of other");
  origin.write("k", {"w", 1}, "");
  EXPECT_EQ(origin.duplicate_effects(), 0u);
  origin.write("k", {"w", 1}, "");
  EXPECT_EQ(origin.duplicate_effects(), 1u);
}

class RigCache : public testing::Test {
 protected:
  RigCache() : base_(event_base_new()) {
    CacheServer::Options options;
    options.service_time = 0;
    server_ = std::make_unique<CacheServer>(base_.get(), clock_, origin_, options);
  }
  /// Sends `bytes` and returns what the server answers within a short time.
  std::string exchange(const std::string& bytes, bool* closed = nullptr) {
    TestConnection connection = TestConnection::to(server_->port());
    connection.write(bytes);
    std::string all;
    bool end = false;
    for (int k = 0; k < 200 && !end; ++k) {
      event_base_loop(base_.get(), EVLOOP_NONBLOCK);
      char data[4096];
      ssize_t received = ::recv(connection.fd(), data, sizeof data, MSG_DONTWAIT);
      if (received > 0) all.append(data, static_cast<std::size_t>(received));
      end = received == 0 || (received < 0 && errno != EAGAIN);
      if (received < 0) ::usleep(100);
    }
    if (closed) *closed = end;
    return all;
  }
  std::string read_command(bool binary) {
    if (!binary) return "mg k v O1 Pc=read,d=100\r\n";
    return binary::request({binary::Opcode::GetK, 5, 0, 0, 0, "k", ""});
  }

  EventBasePtr base_;
  Clock clock_;
  Origin origin_;
  std::unique_ptr<CacheServer> server_;
};

TEST_F(RigCache, EachFaultHasItsEffectInBothProtocols) {
  for (bool binary : {false, true}) {
    SCOPED_TRACE(binary ? "binary" : "meta");
    bool closed = false;
    server_->set_fault(CacheFault::None);
    std::string good = exchange(read_command(binary), &closed);
    EXPECT_NE(good.find("price of k"), good.npos);
    EXPECT_FALSE(closed);
    server_->set_fault(CacheFault::Silent);
    EXPECT_EQ(exchange(read_command(binary), &closed), "");
    EXPECT_FALSE(closed);
    server_->set_fault(CacheFault::Rejecting);
    EXPECT_NE(exchange(read_command(binary)).find("busy"), good.npos);
    server_->set_fault(CacheFault::Failing);
    EXPECT_NE(exchange(read_command(binary)).find("failed"), good.npos);
    server_->set_fault(CacheFault::Malformed);
    std::string noise = exchange(read_command(binary));
    EXPECT_EQ(noise.size(), good.size() + 2);
    EXPECT_EQ(noise.find("price of k"), good.npos);
    server_->set_fault(CacheFault::Truncated);
    EXPECT_EQ(exchange(read_command(binary), &closed), good.substr(0, good.size() / 2));
    EXPECT_TRUE(closed);
    server_->set_fault(CacheFault::Reset);
    EXPECT_EQ(exchange(read_command(binary), &closed), "");
    EXPECT_TRUE(closed);
    server_->set_fault(CacheFault::OtherKey);
    EXPECT_NE(exchange(read_command(binary)), good);
    server_->set_fault(CacheFault::WrongProtocol);
    std::string other = exchange(read_command(binary), &closed);
    EXPECT_EQ(static_cast<unsigned char>(other[0]) == binary::kResponseMagic, !binary);
    EXPECT_TRUE(closed);
    server_->set_fault(CacheFault::RefusingConnections);
    EXPECT_EQ(exchange(read_command(binary), &closed), "");
    EXPECT_TRUE(closed);
  }
}

TEST(RigFaults, ParsesAndPrintsFaultNames) {
  EXPECT_EQ(parse_fault("half"), CacheFault::Truncated);
  EXPECT_STREQ(fault_name(CacheFault::Truncated), "half");
  EXPECT_THROW(parse_fault("nothing"), std::invalid_argument);
}

/// Tills of both protocols against one cache server.
class RigTills : public testing::TestWithParam<bool> {
 protected:
  Tills::Counts run_tills(CacheFault fault) {
    EventBasePtr base(event_base_new());
    Clock clock;
    Origin origin;
    CacheServer::Options options;
    options.service_time = 0;
    CacheServer server(base.get(), clock, origin, options);
    server.set_fault(fault);
    Tills::Options o;
    o.binary = GetParam();
    o.routers = {server.port()};
    o.rate = 400;
    o.deadline = 100 * kMillisecond;
    Tills tills(base.get(), clock, o);
    tills.start();
    auto run_loop_step = [&] {
      timeval step{0, 10'000};
      event_base_loopexit(base.get(), &step);
      event_base_dispatch(base.get());
    };
    while (tills.counts().offered < 60) run_loop_step();
    tills.stop();
    Micros end = clock.now() + 20 * kSecond;
    while (!tills.idle() && clock.now() < end) run_loop_step();
    return tills.counts();
  }
};

TEST_P(RigTills, CountHowEachRequestEnds) {
  Tills::Counts good = run_tills(CacheFault::None);
  EXPECT_EQ(good.in_time + good.late, good.offered);
  Tills::Counts full = run_tills(CacheFault::Rejecting);
  EXPECT_EQ(full.refused, full.offered);
  Tills::Counts failing = run_tills(CacheFault::Failing);
  EXPECT_EQ(failing.failed, failing.offered);
  Tills::Counts silent = run_tills(CacheFault::Silent);
  EXPECT_EQ(silent.lost + silent.not_sent, silent.offered + silent.not_sent);
  Tills::Counts spoilt = run_tills(CacheFault::Malformed);
  EXPECT_EQ(spoilt.wrong, spoilt.offered);
  Tills::Counts other = run_tills(CacheFault::OtherKey);
  EXPECT_EQ(other.wrong, other.offered);
  Tills::Counts half = run_tills(CacheFault::Truncated);
  EXPECT_EQ(half.lost, half.offered);
}

/// Against a server that answers nothing, and one that resets connections at once.
TEST_P(RigTills, MisbehavingTillsCountUnansweredConnections) {
  for (bool refuses : {false, true}) {
    EventBasePtr base(event_base_new());
    Clock clock;
    Origin origin;
    CacheServer server(base.get(), clock, origin, {});
    server.set_fault(refuses ? CacheFault::RefusingConnections : CacheFault::Silent);
    MisbehavingTills::Options o;
    o.binary = GetParam();
    o.routers = {server.port()};
    o.rate = 200;
    o.answer_limit = 200 * kMillisecond;
    MisbehavingTills tills(base.get(), clock, o);
    tills.start();
    auto run_loop_step = [&] {
      timeval step{0, 10'000};
      event_base_loopexit(base.get(), &step);
      event_base_dispatch(base.get());
    };
    Micros end = clock.now() + 20 * kSecond;
    while (tills.counts().started < 35 && clock.now() < end) run_loop_step();
    tills.stop();
    while (!tills.idle() && clock.now() < end) run_loop_step();
    const MisbehavingTills::Counts& c = tills.counts();
    EXPECT_EQ(c.started, c.rejected + c.closed + c.unanswered + c.served);
    if (refuses)
      EXPECT_EQ(c.unanswered, 0u);
    else
      EXPECT_GE(c.unanswered, c.started / 7);  // at least those that send nothing
  }
}

TEST(RigDiscovery, EachFaultHasItsEffect) {
  EventBasePtr base(event_base_new());
  DiscoveryServer discovery(base.get());
  discovery.put("s-1", {"127.0.0.1:9"});
  /// Makes one call and returns what comes within a short time.
  auto call = [&](const std::string& query) {
    std::string address = discovery.address();
    TestConnection connection = TestConnection::to(
        static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    connection.write("GET /discovery/hosts" + query +
                     " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    std::string all;
    for (int k = 0; k < 100; ++k) {
      event_base_loop(base.get(), EVLOOP_NONBLOCK);
      char data[4096];
      ssize_t received = ::recv(connection.fd(), data, sizeof data, MSG_DONTWAIT);
      if (received == 0 || (received < 0 && errno != EAGAIN)) return all + "<end>";
      if (received > 0) all.append(data, static_cast<std::size_t>(received));
      if (received < 0) ::usleep(500);
    }
    return all;
  };
  auto contains = [](const std::string& text, const char* part) {
    return text.find(part) != text.npos;
  };
  std::string full = call("");
  EXPECT_TRUE(contains(full, "200 OK") && contains(full, R"("whole":true)") &&
              contains(full, "s-1"));
  EXPECT_TRUE(contains(call("?index=1&wait=10000"), R"("whole":false)"));  // version 1 is outdated
  EXPECT_EQ(call("?index=2&wait=10000"), "");                              // waits for a change
  discovery.set_fault(DiscoveryFault::Silent);
  EXPECT_EQ(call(""), "");
  discovery.set_fault(DiscoveryFault::Slow);
  EXPECT_EQ(call(""), "");
  discovery.set_fault(DiscoveryFault::Down);
  EXPECT_TRUE(contains(call(""), " 503 "));
  discovery.set_fault(DiscoveryFault::Malformed);
  EXPECT_TRUE(contains(call(""), "eurt:"));
  discovery.set_fault(DiscoveryFault::Truncated);
  EXPECT_TRUE(contains(call(""), "200 OK") && !contains(call(""), R"("whole":true)"));
  discovery.set_fault(DiscoveryFault::Reset);
  EXPECT_EQ(call(""), "<end>");
}

INSTANTIATE_TEST_SUITE_P(Both, RigTills, testing::Bool());

}  // namespace
}  // namespace arrowfork::rig
