// The stand-ins themselves: each fault does what it says, and the checks see what they are for.
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

TEST(RigOrigin, SeesWritesThatRunTwiceAndDropsRepeatsByTheirKey) {
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
  /// What comes for `bytes` until the server has nothing more to say.
  std::string ask(const std::string& bytes, bool* ended = nullptr) {
    TestConnection link = TestConnection::to(server_->port());
    link.write(bytes);
    std::string all;
    bool end = false;
    for (int k = 0; k < 200 && !end; ++k) {
      event_base_loop(base_.get(), EVLOOP_NONBLOCK);
      char data[4096];
      ssize_t got = ::recv(link.fd(), data, sizeof data, MSG_DONTWAIT);
      if (got > 0) all.append(data, static_cast<std::size_t>(got));
      end = got == 0 || (got < 0 && errno != EAGAIN);
      if (got < 0) ::usleep(100);
    }
    if (ended) *ended = end;
    return all;
  }
  std::string get(bool binary) {
    if (!binary) return "mg k v O1 Pc=read,d=100\r\n";
    return binary::request({binary::Opcode::GetK, 5, 0, 0, 0, "k", ""});
  }

  EventBasePtr base_;
  Clock clock_;
  Origin origin_;
  std::unique_ptr<CacheServer> server_;
};

TEST_F(RigCache, EachFaultDoesWhatItSaysInBothProtocols) {
  for (bool binary : {false, true}) {
    SCOPED_TRACE(binary ? "binary" : "meta");
    bool ended = false;
    server_->set_fault(CacheFault::None);
    std::string good = ask(get(binary), &ended);
    EXPECT_NE(good.find("price of k"), good.npos);
    EXPECT_FALSE(ended);
    server_->set_fault(CacheFault::Silent);
    EXPECT_EQ(ask(get(binary), &ended), "");
    EXPECT_FALSE(ended);
    server_->set_fault(CacheFault::Rejecting);
    EXPECT_NE(ask(get(binary)).find("busy"), good.npos);
    server_->set_fault(CacheFault::Failing);
    EXPECT_NE(ask(get(binary)).find("failed"), good.npos);
    server_->set_fault(CacheFault::Malformed);
    std::string noise = ask(get(binary));
    EXPECT_EQ(noise.size(), good.size() + 2);
    EXPECT_EQ(noise.find("price of k"), good.npos);
    server_->set_fault(CacheFault::Truncated);
    EXPECT_EQ(ask(get(binary), &ended), good.substr(0, good.size() / 2));
    EXPECT_TRUE(ended);
    server_->set_fault(CacheFault::Reset);
    EXPECT_EQ(ask(get(binary), &ended), "");
    EXPECT_TRUE(ended);
    server_->set_fault(CacheFault::OtherKey);
    EXPECT_NE(ask(get(binary)), good);
    server_->set_fault(CacheFault::WrongProtocol);
    std::string other = ask(get(binary), &ended);
    EXPECT_EQ(static_cast<unsigned char>(other[0]) == binary::kResponseMagic, !binary);
    EXPECT_TRUE(ended);
    server_->set_fault(CacheFault::RefusingConnections);
    EXPECT_EQ(ask(get(binary), &ended), "");
    EXPECT_TRUE(ended);
  }
}

TEST(RigFaults, NamesAreKnown) {
  EXPECT_EQ(parse_fault("half"), CacheFault::Truncated);
  EXPECT_STREQ(fault_name(CacheFault::Truncated), "half");
  EXPECT_THROW(parse_fault("nothing"), std::invalid_argument);
}

/// Tills against one stand-in, whatever it does.
class RigTills : public testing::TestWithParam<bool> {
 protected:
  Tills::Counts play(CacheFault fault) {
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
    auto turn = [&] {
      timeval step{0, 10'000};
      event_base_loopexit(base.get(), &step);
      event_base_dispatch(base.get());
    };
    while (tills.counts().offered < 60) turn();
    tills.stop();
    Micros end = clock.now() + 20 * kSecond;
    while (!tills.idle() && clock.now() < end) turn();
    return tills.counts();
  }
};

TEST_P(RigTills, CountWhatBecameOfEachRequest) {
  Tills::Counts good = play(CacheFault::None);
  EXPECT_EQ(good.in_time + good.late, good.offered);
  Tills::Counts full = play(CacheFault::Rejecting);
  EXPECT_EQ(full.refused, full.offered);
  Tills::Counts failing = play(CacheFault::Failing);
  EXPECT_EQ(failing.failed, failing.offered);
  Tills::Counts silent = play(CacheFault::Silent);
  EXPECT_EQ(silent.lost + silent.not_sent, silent.offered + silent.not_sent);
  Tills::Counts spoilt = play(CacheFault::Malformed);
  EXPECT_EQ(spoilt.wrong, spoilt.offered);
  Tills::Counts other = play(CacheFault::OtherKey);
  EXPECT_EQ(other.wrong, other.offered);
  Tills::Counts half = play(CacheFault::Truncated);
  EXPECT_EQ(half.lost, half.offered);
}

/// Rude tills against a server that answers nothing, and one that closes at once.
TEST_P(RigTills, RudeOnesSeeWhoLeavesThemWaiting) {
  for (bool closes : {false, true}) {
    EventBasePtr base(event_base_new());
    Clock clock;
    Origin origin;
    CacheServer server(base.get(), clock, origin, {});
    server.set_fault(closes ? CacheFault::RefusingConnections : CacheFault::Silent);
    MisbehavingTills::Options o;
    o.binary = GetParam();
    o.routers = {server.port()};
    o.rate = 200;
    o.answer_limit = 200 * kMillisecond;
    MisbehavingTills rude(base.get(), clock, o);
    rude.start();
    auto turn = [&] {
      timeval step{0, 10'000};
      event_base_loopexit(base.get(), &step);
      event_base_dispatch(base.get());
    };
    Micros end = clock.now() + 20 * kSecond;
    while (rude.counts().started < 35 && clock.now() < end) turn();
    rude.stop();
    while (!rude.idle() && clock.now() < end) turn();
    const MisbehavingTills::Counts& c = rude.counts();
    EXPECT_EQ(c.started, c.rejected + c.closed + c.unanswered + c.served);
    if (closes)
      EXPECT_EQ(c.unanswered, 0u);
    else
      EXPECT_GE(c.unanswered, c.started / 7);  // at least those that say nothing
  }
}

TEST(RigDiscovery, EachFaultDoesWhatItSays) {
  EventBasePtr base(event_base_new());
  DiscoveryServer discovery(base.get());
  discovery.put("s-1", {"127.0.0.1:9"});
  /// What comes for one call within a while.
  auto call = [&](const std::string& query) {
    std::string address = discovery.address();
    TestConnection link = TestConnection::to(
        static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    link.write("GET /discovery/hosts" + query +
               " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    std::string all;
    for (int k = 0; k < 100; ++k) {
      event_base_loop(base.get(), EVLOOP_NONBLOCK);
      char data[4096];
      ssize_t got = ::recv(link.fd(), data, sizeof data, MSG_DONTWAIT);
      if (got == 0 || (got < 0 && errno != EAGAIN)) return all + "<end>";
      if (got > 0) all.append(data, static_cast<std::size_t>(got));
      if (got < 0) ::usleep(500);
    }
    return all;
  };
  auto has = [](const std::string& text, const char* part) { return text.find(part) != text.npos; };
  std::string whole = call("");
  EXPECT_TRUE(has(whole, "200 OK") && has(whole, R"("whole":true)") && has(whole, "s-1"));
  EXPECT_TRUE(has(call("?index=1&wait=10000"), R"("whole":false)"));  // newer than that
  EXPECT_EQ(call("?index=2&wait=10000"), "");                         // waits
  discovery.set_fault(DiscoveryFault::Silent);
  EXPECT_EQ(call(""), "");
  discovery.set_fault(DiscoveryFault::Slow);
  EXPECT_EQ(call(""), "");
  discovery.set_fault(DiscoveryFault::Down);
  EXPECT_TRUE(has(call(""), " 503 "));
  discovery.set_fault(DiscoveryFault::Malformed);
  EXPECT_TRUE(has(call(""), "eurt:"));
  discovery.set_fault(DiscoveryFault::Truncated);
  EXPECT_TRUE(has(call(""), "200 OK") && !has(call(""), R"("whole":true)"));
  discovery.set_fault(DiscoveryFault::Reset);
  EXPECT_EQ(call(""), "<end>");
}

INSTANTIATE_TEST_SUITE_P(Both, RigTills, testing::Bool());

}  // namespace
}  // namespace arrowfork::rig
