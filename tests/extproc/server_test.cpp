// Tests the external processor over loopback: a gRPC caller on a real socket, next to clients of
// the router that speak the meta protocol.
#include "extproc/server.hpp"

#include "../grpc/caller.hpp"
#include "../loopback.hpp"
#include "envoy/service/ext_proc/v3/external_processor.pb.h"
#include "grpc/health/v1/health.pb.h"

namespace arrowfork::extproc {
namespace {

namespace pb = envoy::service::ext_proc::v3;
using test::TestConnection;

const char* const kProcessPath = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";

class ServerTest : public testing::Test {
 protected:
  ServerTest() {
    config_.hosts = {test::host_json("s-1", server_.address())};
    settings_.listen = "127.0.0.1:0";
    settings_.read_class = "read";
    settings_.write_class = "put";
  }
  void start() {
    std::promise<std::uint16_t> port;
    auto known = port.get_future();
    router_ = std::make_unique<test::RunningRouter>(
        config_, nullptr, nullptr,
        [&](event_base* base, const TimeSource& clock,
            Router& router) -> std::unique_ptr<Frontend> {
          auto made = std::make_unique<Server>(
              base, clock, router.core(), settings_, router.report_fields(),
              [&router](const std::string& id) { return router.address_of(id); });
          server_in_loop_ = made.get();
          port.set_value(made->port());
          return made;
        });
    port_ = known.get();
    connection_ = TestConnection::to(port_);
  }
  /// Passes bytes until `done`; false if the peer closes or the test timeout expires first.
  bool until(const std::function<bool()>& done) {
    auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(test::kTestTimeoutMs);
    while (!done()) {
      if (std::string out = caller_.send(); !out.empty()) connection_.write(out);
      pollfd p{connection_.fd(), POLLIN, 0};
      if (::poll(&p, 1, 10) == 1) {
        char data[65536];
        ssize_t got = ::recv(connection_.fd(), data, sizeof data, 0);
        if (got <= 0) return done();
        caller_.recv({data, static_cast<std::size_t>(got)});
      }
      if (std::chrono::steady_clock::now() > end) return false;
    }
    return true;
  }
  std::int32_t send_request(const std::string& id) {
    auto call = caller_.call(kProcessPath);
    pb::ProcessingRequest request;
    for (const auto& [name, value] : {std::pair<std::string, std::string>{":method", "GET"},
                                      {"x-request-id", id},
                                      {"x-price-key", "k"}}) {
      auto* h = request.mutable_request_headers()->mutable_headers()->add_headers();
      h->set_key(name);
      h->set_raw_value(value);
    }
    caller_.send_message(call, request.SerializeAsString());
    return call;
  }
  pb::ProcessingResponse answer(std::int32_t call, std::size_t number = 0) {
    pb::ProcessingResponse r;
    EXPECT_TRUE(until([&] { return caller_.messages(call).size() > number; }));
    if (caller_.messages(call).size() > number) r.ParseFromString(caller_.messages(call)[number]);
    return r;
  }
  std::string endpoint(const pb::ProcessingResponse& r) {
    return r.has_request_headers() ? r.request_headers()
                                         .response()
                                         .header_mutation()
                                         .set_headers(0)
                                         .header()
                                         .raw_value()
                                   : "";
  }

  Server* server_in_loop_ = nullptr;
  test::Peer server_;
  test::ConfigText config_;
  ExtProcSettings settings_;
  std::unique_ptr<test::RunningRouter> router_;
  std::uint16_t port_ = 0;
  TestConnection connection_;
  test::Caller caller_;
};

TEST_F(ServerTest, CallerGetsTheAddressAndReportsTheOutcome) {
  start();
  auto call = send_request("r1");
  EXPECT_EQ(endpoint(answer(call)), server_.address());
  pb::ProcessingRequest report;
  auto* h = report.mutable_response_headers()->mutable_headers()->add_headers();
  h->set_key(":status");
  h->set_raw_value("200");
  caller_.send_message(call, report.SerializeAsString());
  EXPECT_TRUE(answer(call, 1).has_response_headers());
  caller_.half_close(call);
  EXPECT_TRUE(until([&] { return caller_.responses[call].closed; }));
  EXPECT_EQ(caller_.responses[call].headers["grpc-status"], "0");
  // The same core serves meta protocol clients at the same time.
  TestConnection client = router_->client();
  client.write("mg key v Om1 Pc=read,t=acme,d=15000\r\n");
  TestConnection at_server = server_.accept();
  EXPECT_EQ(test::id_of(at_server.line()), "m1");
  at_server.write(test::value_answer("m1", "v"));
  EXPECT_EQ(client.line(), "VA 1 Om1\r\n");
}

// Guards against connections that stay open for ever: one that sends nothing, one that sends only
// part of the preface, and one that stops answering with calls open. Each is closed after its
// timeout and counted, and its calls are aborted.
TEST_F(ServerTest, SilentConnectionsAreClosedAfterTheirTimeouts) {
  settings_.handshake_timeout = 100 * kMillisecond;
  settings_.keepalive_interval = 100 * kMillisecond;
  settings_.keepalive_timeout = 100 * kMillisecond;
  start();
  TestConnection silent = TestConnection::to(port_), half = TestConnection::to(port_);
  half.write("PRI * HTTP/2.0\r\n\r\nSM");
  EXPECT_NE(endpoint(answer(send_request("v1"))), "");
  // A caller that answers pings stays connected, however long it is silent otherwise.
  auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(900);
  EXPECT_TRUE(until([&] { return std::chrono::steady_clock::now() > end; }));
  EXPECT_NE(endpoint(answer(send_request("v2"))), "");
  silent.read_to_end(), half.read_to_end();  // both are closed by the server
  connection_.read_to_end();                 // from here on nobody answers its pings
  std::map<std::string, std::uint64_t> counters;
  do {
    counters.clear();
    router_->run_in_loop([&] {
      for (auto& [name, value] : server_in_loop_->counters()) counters[name] = value;
    });
  } while (counters["ext_proc_streams_open"] > 0);
  EXPECT_EQ(counters["ext_proc_connections_half_open"], 2u);
  EXPECT_EQ(counters["ext_proc_connections_vanished"], 1u);
  EXPECT_EQ(counters["ext_proc_unreported"], 2u);
}

TEST_F(ServerTest, HealthCheckAnswersOnceAndWatchFollowsChanges) {
  start();
  ::grpc::health::v1::HealthCheckRequest request;
  ::grpc::health::v1::HealthCheckResponse response;
  auto check = caller_.call("/grpc.health.v1.Health/Check");
  caller_.send_message(check, request.SerializeAsString());
  EXPECT_TRUE(until([&] { return caller_.responses[check].closed; }));
  ASSERT_EQ(caller_.messages(check).size(), 1u);
  response.ParseFromString(caller_.messages(check)[0]);
  EXPECT_EQ(response.status(), ::grpc::health::v1::HealthCheckResponse::SERVING);
  request.set_service("nobody");
  auto unknown = caller_.call("/grpc.health.v1.Health/Check");
  caller_.send_message(unknown, request.SerializeAsString());
  EXPECT_TRUE(until([&] { return caller_.responses[unknown].closed; }));
  EXPECT_EQ(caller_.responses[unknown].headers["grpc-status"], "5");
  auto other = caller_.call("/some.Other/Method");
  EXPECT_TRUE(until([&] { return caller_.responses[other].closed; }));
  EXPECT_EQ(caller_.responses[other].headers["grpc-status"], "12");
  request.clear_service();
  auto watch = caller_.call("/grpc.health.v1.Health/Watch");
  caller_.send_message(watch, request.SerializeAsString());
  EXPECT_TRUE(until([&] { return caller_.messages(watch).size() == 1; }));
  router_->terminate();
  EXPECT_TRUE(until([&] { return caller_.messages(watch).size() == 2; }));
  response.ParseFromString(caller_.messages(watch)[1]);
  EXPECT_EQ(response.status(), ::grpc::health::v1::HealthCheckResponse::NOT_SERVING);
  caller_.reset(watch);
  until([&] { return false; });  // until the connection closes
  router_->wait_for_end();
}

TEST_F(ServerTest, ShutdownFinishesOpenCalls) {
  start();
  auto call = send_request("r1");
  EXPECT_EQ(endpoint(answer(call)), server_.address());
  router_->terminate();
  EXPECT_TRUE(until([&] { return caller_.goaway; }));
  pb::ProcessingRequest report;
  auto* h = report.mutable_response_headers()->mutable_headers()->add_headers();
  h->set_key(":status");
  h->set_raw_value("200");
  caller_.send_message(call, report.SerializeAsString());
  EXPECT_TRUE(answer(call, 1).has_response_headers());
  caller_.half_close(call);
  EXPECT_TRUE(until([&] { return caller_.responses[call].closed; }));
  connection_.close();
  router_->wait_for_end();
}

TEST_F(ServerTest, ConnectionsOverTheLimitAreClosedAndInvalidBytesAffectNoOtherCaller) {
  settings_.max_connections = 2;
  start();
  TestConnection second = TestConnection::to(port_);
  auto call = send_request("r1");
  EXPECT_EQ(endpoint(answer(call)), server_.address());
  TestConnection third = TestConnection::to(port_);
  EXPECT_TRUE(third.is_closed());
  second.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n" + std::string(200, 'x'));
  while (!second.bytes(1).empty()) {
  }
  auto again = send_request("r2");
  EXPECT_EQ(endpoint(answer(again)), server_.address());
}

TEST_F(ServerTest, ConnectionsLostAtAnyPointDoNotAffectLaterCalls) {
  start();
  for (int k = 0; k < 60; ++k) {
    connection_ = TestConnection::to(port_);
    test::Caller fresh;
    auto id = fresh.call(kProcessPath);
    fresh.send_message(id, std::string(static_cast<std::size_t>(k), '\x0a'));
    std::string bytes = fresh.send();
    connection_.write(
        std::string_view(bytes).substr(0, bytes.size() * static_cast<std::size_t>(k) / 60));
    k % 2 ? connection_.send_reset() : connection_.close();
  }
  connection_ = TestConnection::to(port_);
  auto call = send_request("r1");
  EXPECT_EQ(endpoint(answer(call)), server_.address());
}

TEST(ExtProcConfig, IsParsedAndErrorsNameTheSetting) {
  auto parse_result = [](const std::string& object) -> std::string {
    test::ConfigText c;
    std::string text = c.text();
    text.insert(1, "\"ext_proc\":" + object + ",");
    try {
      Config config = parse_config(text);
      return config.ext_proc->listen + ' ' + config.ext_proc->read_class + ' ' +
             config.ext_proc->write_class + ' ' + config.ext_proc->key_header + ' ' +
             std::to_string(config.ext_proc->max_streams);
    } catch (const ConfigError& e) {
      return e.what();
    }
  };
  EXPECT_EQ(parse_result(R"({"listen":"127.0.0.1:9","key_header":"X-Key","streams":5})"),
            "127.0.0.1:9 read put x-key 5");
  EXPECT_EQ(parse_result("{}"), "ext_proc.listen: missing");
  EXPECT_EQ(parse_result(R"({"lisen":"a"})"), "ext_proc.lisen: no such setting");
  EXPECT_EQ(parse_result(R"({"listen":"a","streams":0})"),
            "ext_proc.streams: must be a whole number from 1 to 16777216");
  EXPECT_EQ(parse_result(R"({"listen":"a","read_class":"put"})"),
            "ext_proc.read_class: 'put' is not a class with the required effect");
  EXPECT_EQ(parse_result(R"({"listen":"a","connections":250})"),
            "ext_proc.connections: too many for limits.sockets");
}

}  // namespace
}  // namespace arrowfork::extproc
