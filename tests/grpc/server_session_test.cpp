// Tests the gRPC server session against nghttp2's client side, in memory.
#include "grpc/server_session.hpp"

#include <random>

#include "caller.hpp"

namespace arrowfork::grpc {
namespace {

using test::Caller;

class SessionTest : public testing::Test, public TimeSource, public ServerSession::Handler {
 protected:
  Micros now() const override { return now_; }
  void on_call(CallId call, const std::string& path, Micros timeout) override {
    events_.push_back("call " + path + " " + std::to_string(timeout));
    last_call_ = call;
    ++open_calls_;
  }
  void on_message(CallId call, std::string&& message) override {
    events_.push_back("message " + message);
    if (echo_) session_->send_message(call, "echo " + message);
    if (finish_on_message_) session_->finish(call, Status::Unavailable, "no 100%\n"), --open_calls_;
  }
  void on_half_close(CallId call) override {
    events_.push_back("half");
    if (!echo_) return;
    session_->finish(call, Status::Ok);
    --open_calls_;
  }
  void on_aborted(CallId) override {
    events_.push_back("gone");
    --open_calls_;
  }

  void start() { session_ = std::make_unique<ServerSession>(*this, *this, limits_, counts_); }
  /// Passes bytes both ways until none are left; false once the session has failed.
  bool exchange(std::size_t chunk_size = 1u << 20) {
    bool good = true;
    for (bool moved = true; moved;) {
      moved = false;
      std::string request_bytes = caller_.send(), response_bytes;
      for (std::size_t at = 0; at < request_bytes.size() && good; at += chunk_size)
        good = session_->recv(std::string_view(request_bytes).substr(at, chunk_size));
      good &= session_->send(response_bytes);
      if (!response_bytes.empty()) caller_.recv(response_bytes);
      moved = !request_bytes.empty() || !response_bytes.empty();
      if (!good) break;
    }
    return good;
  }

  Micros now_ = 100 * kSecond;
  ServerSession::Limits limits_;
  ServerSession::Counts counts_;
  Caller caller_;
  std::vector<std::string> events_;
  CallId last_call_ = 0;
  int open_calls_ = 0;
  bool echo_ = true, finish_on_message_ = false;
  std::unique_ptr<ServerSession> session_;  // declared last: its destructor calls on_aborted()
};

using Events = std::vector<std::string>;

TEST_F(SessionTest, CallExchangesMessagesAndFinishes) {
  start();
  auto id = caller_.call("/a.B/C", {{"grpc-timeout", "250m"}});
  caller_.send_message(id, "one");
  caller_.send_message(id, "");
  caller_.half_close(id);
  EXPECT_TRUE(exchange());
  EXPECT_EQ(events_, (Events{"call /a.B/C 250000", "message one", "message ", "half"}));
  EXPECT_EQ(caller_.messages(id), (Events{"echo one", "echo "}));
  EXPECT_EQ(caller_.responses[id].headers[":status"], "200");
  EXPECT_EQ(caller_.responses[id].headers["grpc-status"], "0");
  EXPECT_TRUE(caller_.responses[id].closed);
  EXPECT_EQ(session_->open_calls(), 0u);
  EXPECT_EQ(counts_.finished, 1u);
}

TEST_F(SessionTest, EventsDoNotDependOnHowBytesAreSplit) {
  for (std::size_t chunk_size : {1u, 2u, 3u, 7u, 100u}) {
    events_.clear();
    start();
    Caller fresh;
    std::string bytes;
    auto id = fresh.call("/a.B/C");
    fresh.send_message(id, std::string(1000, 'x'));
    fresh.half_close(id);
    std::string request_bytes = fresh.send(), response_bytes;
    for (std::size_t at = 0; at < request_bytes.size(); at += chunk_size)
      ASSERT_TRUE(session_->recv(std::string_view(request_bytes).substr(at, chunk_size)));
    ASSERT_TRUE(session_->send(response_bytes));
    EXPECT_EQ(events_, (Events{"call /a.B/C 0", "message " + std::string(1000, 'x'), "half"}));
  }
}

TEST_F(SessionTest, MessageIsDeliveredOnlyWhenComplete) {
  start();
  auto id = caller_.call("/a.B/C");
  caller_.send_bytes(id, std::string("\0\0\0\0\5he", 7));
  EXPECT_TRUE(exchange());
  EXPECT_EQ(events_.size(), 1u);
  caller_.send_bytes(id, "llo");
  EXPECT_TRUE(exchange());
  EXPECT_EQ(events_.back(), "message hello");
}

TEST_F(SessionTest, StatusAndMessageReachTheCaller) {
  echo_ = false;
  finish_on_message_ = true;
  start();
  auto id = caller_.call("/a.B/C");
  caller_.send_message(id, "x");
  caller_.send_message(id, "never seen");
  EXPECT_TRUE(exchange());
  EXPECT_EQ(caller_.responses[id].headers["grpc-status"], "14");
  EXPECT_EQ(caller_.responses[id].headers["grpc-message"], "no 100%25%0A");
  EXPECT_TRUE(caller_.responses[id].closed);  // although the caller has not half-closed
  EXPECT_EQ(session_->open_calls(), 0u);
  EXPECT_EQ(events_, (Events{"call /a.B/C 0", "message x"}));
  EXPECT_EQ(open_calls_, 0);
}

TEST_F(SessionTest, ResetAndConnectionLossAbortCalls) {
  echo_ = false;
  start();
  auto first = caller_.call("/a.B/C");
  caller_.call("/a.B/C");
  EXPECT_TRUE(exchange());
  EXPECT_EQ(open_calls_, 2);
  caller_.reset(first);
  EXPECT_TRUE(exchange());
  EXPECT_EQ(open_calls_, 1);
  session_->send_message(first, "nobody");  // ignored
  session_->finish(first, Status::Ok);
  session_.reset();
  EXPECT_EQ(open_calls_, 0);
  EXPECT_EQ(counts_.aborted, 2u);
}

TEST_F(SessionTest, RequestsThatAreNotValidGrpcCallsAreRejected) {
  start();
  auto plain = caller_.call("/a.B/C", {}, "text/plain");
  auto none = caller_.call("/a.B/C", {}, "");
  auto get = caller_.call("/a.B/C", {}, "application/grpc", "GET");
  auto timeout = caller_.call("/a.B/C", {{"grpc-timeout", "5x"}});
  auto encoded = caller_.call("/a.B/C", {{"grpc-encoding", "gzip"}});
  auto longer = caller_.call("/" + std::string(300, 'p'));
  EXPECT_TRUE(exchange());
  EXPECT_EQ(caller_.responses[plain].headers[":status"], "415");
  EXPECT_EQ(caller_.responses[none].headers[":status"], "415");
  EXPECT_EQ(caller_.responses[get].headers[":status"], "405");
  EXPECT_EQ(caller_.responses[timeout].headers["grpc-status"], "3");
  EXPECT_EQ(caller_.responses[encoded].headers["grpc-status"], "12");
  EXPECT_EQ(caller_.responses[longer].headers["grpc-status"], "3");
  EXPECT_EQ(counts_.not_grpc, 3u);
  EXPECT_TRUE(events_.empty());
}

TEST_F(SessionTest, TooLongMessageEndsOnlyItsCall) {
  limits_.message_bytes = 100;
  start();
  auto id = caller_.call("/a.B/C"), other = caller_.call("/a.B/D");
  caller_.send_bytes(id, std::string("\0\x7f\xff\xff\xff", 5));  // announces 2 GB
  caller_.send_message(other, "fine");
  EXPECT_TRUE(exchange());
  EXPECT_EQ(caller_.responses[id].headers["grpc-status"], "8");
  EXPECT_EQ(caller_.messages(other), Events{"echo fine"});
  EXPECT_EQ(counts_.messages_too_long, 1u);
  EXPECT_EQ(open_calls_, 1);
}

TEST_F(SessionTest, TooLongHeadersResetOnlyTheirCall) {
  start();
  auto id = caller_.call("/a.B/C", {{"x-long", std::string(20'000, 'h')}});
  auto other = caller_.call("/a.B/D");
  caller_.send_message(other, "fine");
  EXPECT_TRUE(exchange());
  EXPECT_TRUE(caller_.responses[id].closed);
  EXPECT_NE(caller_.responses[id].error, 0u);
  EXPECT_EQ(caller_.messages(other), Events{"echo fine"});
  EXPECT_EQ(counts_.headers_too_long, 1u);
}

TEST_F(SessionTest, HeaderBlockOfAMegabyteClosesTheConnection) {
  start();
  std::string hello = caller_.send(), out;
  ASSERT_TRUE(session_->recv(hello));
  ASSERT_TRUE(session_->send(out));
  // HEADERS without END_HEADERS, then CONTINUATION without an end: literals of 16,000 bytes each.
  auto frame = [](unsigned type, unsigned flags, const std::string& payload) {
    std::string f;
    for (int shift : {16, 8, 0}) f.push_back(static_cast<char>(payload.size() >> shift));
    f.push_back(static_cast<char>(type));
    f.push_back(static_cast<char>(flags));
    f.append("\0\0\0\1", 4);
    return f + payload;
  };
  std::string field("\0\1x\x7f\x81\x7c", 6);  // a literal: name "x", a value of 127 + 15873 bytes
  field += std::string(127 + 1 + 0x7c * 128, 'v');
  bool good = session_->recv(frame(1, 0, field));
  for (int k = 0; k < 64 && good; ++k) good = session_->recv(frame(9, 0, field));
  bool write = session_->send(out);
  EXPECT_FALSE(good && write);
  EXPECT_EQ(open_calls_, 0);
}

TEST_F(SessionTest, ConcurrentCallsAreLimited) {
  limits_.max_streams = 3;
  echo_ = false;
  start();
  EXPECT_TRUE(exchange());  // so that the client knows the server's settings
  std::vector<std::int32_t> ids;
  for (int k = 0; k < 5; ++k) ids.push_back(caller_.call("/a.B/C"));
  EXPECT_TRUE(exchange());
  EXPECT_EQ(open_calls_, 3);  // nghttp2's client side holds the others back
  session_->finish(last_call_, Status::Ok);
  EXPECT_TRUE(exchange());
}

TEST_F(SessionTest, RapidResetsCloseTheConnection) {
  limits_.resets_per_s = 50;
  echo_ = false;
  start();
  bool good = true;
  int started = 0;
  for (; started < 100'000 && good; ++started) {
    auto id = caller_.call("/a.B/C");
    good = exchange();
    caller_.reset(id);
    good = good && exchange();
  }
  EXPECT_LE(started, 60);
  EXPECT_EQ(counts_.rapid_resets, 1u);
  EXPECT_TRUE(caller_.goaway);
  EXPECT_EQ(caller_.goaway_error, static_cast<std::uint32_t>(NGHTTP2_ENHANCE_YOUR_CALM));
  EXPECT_EQ(open_calls_, 0);
}

TEST_F(SessionTest, OccasionalResetsAreAccepted) {
  limits_.resets_per_s = 5;
  echo_ = false;
  start();
  for (int k = 0; k < 100; ++k) {
    auto id = caller_.call("/a.B/C");
    ASSERT_TRUE(exchange());
    caller_.reset(id);
    ASSERT_TRUE(exchange());
    now_ += kSecond / 4;
  }
  EXPECT_EQ(open_calls_, 0);
}

TEST_F(SessionTest, PingsAreAnsweredAndAPingFloodClosesTheConnection) {
  start();
  caller_.ping();
  EXPECT_TRUE(exchange());
  bool good = true;
  for (int k = 0; k < 100 && good; ++k) {
    caller_.ping();
    good = exchange();
  }
  EXPECT_FALSE(good);
  EXPECT_EQ(counts_.ping_floods, 1u);
}

TEST_F(SessionTest, SlowReaderIsDisconnected) {
  limits_.out_bytes = 10'000;
  echo_ = false;
  start();
  auto id = caller_.call("/a.B/C");
  EXPECT_TRUE(exchange());
  std::string out;
  bool good = true;
  int sent = 0;
  for (; sent < 1000 && good; ++sent) {
    session_->send_message(id, std::string(100, 'm'));
    good = session_->send(out);  // the peer reads nothing, so no WINDOW_UPDATE arrives
    session_->set_unsent_bytes(static_cast<std::size_t>(sent) * 105);
  }
  EXPECT_LT(sent, 150);
  EXPECT_EQ(counts_.slow_readers, 1u);
}

TEST_F(SessionTest, CallerThatKeepsSendingButNeverReadsIsDisconnected) {
  limits_.out_bytes = 10'000;
  start();
  auto id = caller_.call("/a.B/C");
  EXPECT_TRUE(exchange());
  bool good = true;
  int requests = 0;
  for (; requests < 1000 && good; ++requests) {  // the answers are never taken from the session
    caller_.send_message(id, std::string(95, 'm'));
    good = session_->recv(caller_.send());
  }
  EXPECT_LT(requests, 120);
  EXPECT_EQ(counts_.slow_readers, 1u);
}

TEST_F(SessionTest, OpenCallsFinishAfterGoAway) {
  start();
  auto id = caller_.call("/a.B/C");
  caller_.send_message(id, "one");
  EXPECT_TRUE(exchange());
  session_->go_away();
  EXPECT_FALSE(session_->drained());
  EXPECT_TRUE(exchange());
  EXPECT_TRUE(caller_.goaway);
  caller_.send_message(id, "two");
  caller_.half_close(id);
  exchange();
  EXPECT_EQ(caller_.messages(id), (Events{"echo one", "echo two"}));
  EXPECT_TRUE(session_->drained());
}

TEST_F(SessionTest, CorruptedBytesCloseTheConnectionAndLeaveNoOpenCalls) {
  std::mt19937_64 random(9);
  for (int round = 0; round < 3000; ++round) {
    start();
    Caller fresh;
    auto id = fresh.call("/a.B/C", {{"x", "y"}});
    fresh.send_message(id, "hello");
    std::string bytes = fresh.send(), out;
    for (int k = 0; k < 3; ++k) bytes[random() % bytes.size()] = static_cast<char>(random());
    std::size_t cut = random() % bytes.size();
    if (session_->recv(std::string_view(bytes).substr(0, cut)))
      (void)session_->recv(std::string_view(bytes).substr(cut));
    (void)session_->send(out);
    session_.reset();
    ASSERT_EQ(open_calls_, 0);
  }
  EXPECT_GT(counts_.protocol_errors + counts_.not_grpc, 100u);
}

TEST(GrpcTimeout, IsParsedAsSpecified) {
  EXPECT_EQ(parse_timeout("1H"), 3600 * kSecond);
  EXPECT_EQ(parse_timeout("2M"), 120 * kSecond);
  EXPECT_EQ(parse_timeout("3S"), 3 * kSecond);
  EXPECT_EQ(parse_timeout("99999999m"), 99'999'999 * kMillisecond);
  EXPECT_EQ(parse_timeout("7u"), 7);
  EXPECT_EQ(parse_timeout("1999n"), 1);
  for (const char* bad : {"", "1", "S", "-1S", "1x", "123456789S", "1.5S"})
    EXPECT_FALSE(parse_timeout(bad)) << bad;
}

}  // namespace
}  // namespace arrowfork::grpc
