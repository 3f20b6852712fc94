// Links with faults, between blocking peers on loopback.
#include "tier/link.hpp"

#include <sys/socket.h>

#include "../loopback.hpp"

namespace arrowfork::tier {
namespace {

using test::TestConnection;

class LinkTest : public testing::Test {
 protected:
  LinkTest()
      : base_(event_base_new()),
        far_(listen_at(*parse_address("127.0.0.1:0"), false, error_)),
        link_(base_.get(), clock_, [this] { return port_of(far_); }) {}

  /// Both ends of one connection across the link.
  std::pair<Fd, Fd> join() {
    Fd near = dial();
    Fd far;
    until([&] {
      far = Fd(::accept4(far_.get(), nullptr, nullptr, SOCK_NONBLOCK));
      return bool(far);
    });
    return {std::move(near), std::move(far)};
  }
  Fd dial() {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    auto address = parse_address("127.0.0.1:" + std::to_string(link_.port()));
    ::connect(fd.get(), reinterpret_cast<sockaddr*>(&*address), sizeof *address);
    return fd;
  }
  /// Runs the loop until `done`, or for 10 s: false.
  bool until(const std::function<bool()>& done, Micros limit = 10 * kSecond) {
    for (Micros end = clock_.now() + limit; clock_.now() < end; ::usleep(200)) {
      event_base_loop(base_.get(), EVLOOP_NONBLOCK);
      if (done()) return true;
    }
    return false;
  }
  /// What comes at an end: bytes, "" for its end, "reset".
  std::string take(const Fd& fd, Micros limit = 10 * kSecond) {
    std::string got = "nothing";
    until(
        [&] {
          char data[4096];
          ssize_t n = ::recv(fd.get(), data, sizeof data, MSG_DONTWAIT);
          if (n >= 0) got.assign(data, static_cast<std::size_t>(n));
          if (n < 0 && errno == ECONNRESET) got = "reset";
          return n >= 0 || errno == ECONNRESET;
        },
        limit);
    return got;
  }
  void put(const Fd& fd, const std::string& text) {
    EXPECT_EQ(::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(text.size()));
  }

  static constexpr Micros kShort = 50 * kMillisecond;
  Clock clock_;
  EventBasePtr base_;
  std::string error_;
  Fd far_;
  tier::Link link_;
};

TEST_F(LinkTest, CarriesBytesAndEndsBothWays) {
  auto [near, far] = join();
  put(near, "ask");
  EXPECT_EQ(take(far), "ask");
  put(far, "answer");
  ::shutdown(far.get(), SHUT_WR);
  EXPECT_EQ(take(near), "answer");
  EXPECT_EQ(take(near), "");
  put(near, "still");  // half closed
  EXPECT_EQ(take(far), "still");
}

TEST_F(LinkTest, DelaysAndSlows) {
  for (bool slow : {false, true}) {
    LinkFault fault;
    fault.kind = slow ? LinkFault::Kind::Slow : LinkFault::Kind::Delay;
    fault.delay = 200 * kMillisecond;
    fault.bytes_per_s = 500;  // a hundred bytes take 200 ms
    link_.set(fault);
    auto [near, far] = join();
    Micros from = clock_.now();
    put(near, std::string(100, 'x'));
    EXPECT_EQ(take(far).size(), 100u);
    EXPECT_GE(clock_.now() - from, 200 * kMillisecond);
  }
}

TEST_F(LinkTest, ACutHoldsBackOneWayOrBothAndANewConnectionNeverComesUp) {
  for (int way = 0; way < 3; ++way) {
    auto [near, far] = join();
    LinkFault cut;
    cut.kind = LinkFault::Kind::Cut;
    cut.onward = way != 1, cut.back = way != 2;
    link_.set(cut);
    put(near, "ask"), put(far, "answer");
    EXPECT_EQ(take(far, kShort), cut.onward ? "nothing" : "ask");
    EXPECT_EQ(take(near, kShort), cut.back ? "nothing" : "answer");
    Fd late = dial();
    EXPECT_FALSE(until(
        [&] {
          pollfd up{late.get(), POLLOUT, 0};
          return ::poll(&up, 1, 0) != 0;
        },
        kShort));
    link_.heal();
    if (cut.onward) {
      EXPECT_EQ(take(far), "ask");
    }
    if (cut.back) {
      EXPECT_EQ(take(near), "answer");
    }
    auto [again, beyond] = join();
    put(again, "on");
    EXPECT_EQ(take(beyond), "on");
  }
}

TEST_F(LinkTest, AVanishedMachineIsSilentThenResets) {
  auto [near, far] = join();
  LinkFault fault;
  fault.kind = LinkFault::Kind::Silent;
  link_.set(fault);
  put(near, "ask"), put(far, "answer");
  EXPECT_EQ(take(near, kShort), "nothing");
  link_.heal();
  EXPECT_EQ(take(near), "reset");
}

TEST_F(LinkTest, ResetsAfterSoManyBytesAndRefuses) {
  LinkFault fault;
  fault.kind = LinkFault::Kind::Reset;
  fault.bytes = 5;
  link_.set(fault);
  auto [near, far] = join();
  put(near, "1234");
  EXPECT_EQ(take(far), "1234");
  put(near, "5678");
  EXPECT_EQ(take(near), "reset");
  fault.kind = LinkFault::Kind::Refuse;
  link_.set(fault);
  Fd refused = dial();
  EXPECT_EQ(take(refused), "reset");
}

}  // namespace
}  // namespace arrowfork::tier
