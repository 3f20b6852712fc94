// Links with faults between two sockets on loopback.
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

  /// Opens a connection through the link and returns both ends.
  std::pair<Fd, Fd> connect_through_link() {
    Fd near = dial();
    Fd far;
    run_loop_until([&] {
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
  /// Runs the loop until `done` returns true; false after `limit`.
  bool run_loop_until(const std::function<bool()>& done, Micros limit = 10 * kSecond) {
    for (Micros end = clock_.now() + limit; clock_.now() < end; ::usleep(200)) {
      event_base_loop(base_.get(), EVLOOP_NONBLOCK);
      if (done()) return true;
    }
    return false;
  }
  /// Returns the bytes received, "" at the end of the stream, "reset", or "nothing" after `limit`.
  std::string receive(const Fd& fd, Micros limit = 10 * kSecond) {
    std::string got = "nothing";
    run_loop_until(
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
  void send_text(const Fd& fd, const std::string& text) {
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

TEST_F(LinkTest, ForwardsDataAndEndOfStreamInBothDirections) {
  auto [near, far] = connect_through_link();
  send_text(near, "ask");
  EXPECT_EQ(receive(far), "ask");
  send_text(far, "answer");
  ::shutdown(far.get(), SHUT_WR);
  EXPECT_EQ(receive(near), "answer");
  EXPECT_EQ(receive(near), "");
  send_text(near, "still");  // the other direction is still open
  EXPECT_EQ(receive(far), "still");
}

TEST_F(LinkTest, DelaysOrThrottlesData) {
  for (bool slow : {false, true}) {
    LinkFault fault;
    fault.kind = slow ? LinkFault::Kind::Slow : LinkFault::Kind::Delay;
    fault.delay = 200 * kMillisecond;
    fault.bytes_per_s = 500;  // 100 bytes take 200 ms
    link_.set_fault(fault);
    auto [near, far] = connect_through_link();
    Micros from = clock_.now();
    send_text(near, std::string(100, 'x'));
    EXPECT_EQ(receive(far).size(), 100u);
    EXPECT_GE(clock_.now() - from, 200 * kMillisecond);
  }
}

TEST_F(LinkTest, CutHoldsDataBackPerDirectionAndBlocksNewConnections) {
  for (int way = 0; way < 3; ++way) {
    auto [near, far] = connect_through_link();
    LinkFault cut;
    cut.kind = LinkFault::Kind::Cut;
    cut.blocks_forward = way != 1, cut.blocks_backward = way != 2;
    link_.set_fault(cut);
    send_text(near, "ask"), send_text(far, "answer");
    EXPECT_EQ(receive(far, kShort), cut.blocks_forward ? "nothing" : "ask");
    EXPECT_EQ(receive(near, kShort), cut.blocks_backward ? "nothing" : "answer");
    Fd late = dial();
    EXPECT_FALSE(run_loop_until(
        [&] {
          pollfd up{late.get(), POLLOUT, 0};
          return ::poll(&up, 1, 0) != 0;
        },
        kShort));
    link_.clear_fault();
    if (cut.blocks_forward) {
      EXPECT_EQ(receive(far), "ask");
    }
    if (cut.blocks_backward) {
      EXPECT_EQ(receive(near), "answer");
    }
    auto [again, beyond] = connect_through_link();
    send_text(again, "on");
    EXPECT_EQ(receive(beyond), "on");
  }
}

TEST_F(LinkTest, SilentLinkStallsConnectionsAndResetsThemWhenCleared) {
  auto [near, far] = connect_through_link();
  LinkFault fault;
  fault.kind = LinkFault::Kind::Silent;
  link_.set_fault(fault);
  send_text(near, "ask"), send_text(far, "answer");
  EXPECT_EQ(receive(near, kShort), "nothing");
  link_.clear_fault();
  EXPECT_EQ(receive(near), "reset");
}

TEST_F(LinkTest, ResetsAfterTheGivenBytesAndRefusesNewConnections) {
  LinkFault fault;
  fault.kind = LinkFault::Kind::Reset;
  fault.bytes = 5;
  link_.set_fault(fault);
  auto [near, far] = connect_through_link();
  send_text(near, "1234");
  EXPECT_EQ(receive(far), "1234");
  send_text(near, "5678");
  EXPECT_EQ(receive(near), "reset");
  fault.kind = LinkFault::Kind::Refuse;
  link_.set_fault(fault);
  Fd refused = dial();
  EXPECT_EQ(receive(refused), "reset");
}

}  // namespace
}  // namespace arrowfork::tier
