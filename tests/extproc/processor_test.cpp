// Tests the external processor with a core on a virtual clock; the test acts as its callers.
#include "extproc/processor.hpp"

#include <gtest/gtest.h>

#include <map>

#include "../support.hpp"
#include "envoy/service/ext_proc/v3/external_processor.pb.h"

namespace arrowfork::extproc {
namespace {

namespace pb = envoy::service::ext_proc::v3;
using Fields = std::vector<std::pair<std::string, std::string>>;

class ProcessorTest : public testing::Test,
                      public TimeSource,
                      public ListSource,
                      public Processor::Output {
 protected:
  ProcessorTest() {
    settings_ = robinseam::test::basic_settings();
    settings_.may_hedge = false;
    settings_.max_retry_after = kSecond;
    settings_.report_fields = {robinseam::ReportField::Utilization};
    settings_.classes.push_back(settings_.classes[0]);
    settings_.classes[1].name = "put";
    settings_.classes[1].effect = robinseam::Effect::Keyed;
    settings_.classes[1].key_ttl = 10 * kSecond;
    start(4, 1000);
  }
  void start(int servers, std::size_t max_open) {
    core_ = std::make_unique<Core>(settings_, 7, *this, *this, max_open, 1'000'000);
    core_->start(robinseam::test::fleet(servers));
    core_->process_events();
    ProcessorOptions options;
    options.read_class = "read";
    options.write_class = "put";
    options.max_streams = 2000;
    processor_ =
        std::make_unique<Processor>(*core_, *this, *this, options, settings_.report_fields,
                                    [](const std::string& server) { return "at-" + server; });
  }
  Micros now() const override { return now_; }
  void watch_list() override {}
  void fetch_list() override {}
  void send_message(StreamId stream, const std::string& bytes) override {
    pb::ProcessingResponse r;
    EXPECT_TRUE(r.ParseFromString(bytes));
    answers_[stream].push_back(r);
  }
  void finish(StreamId stream, grpc::Status status, const std::string& text) override {
    finished_[stream] = std::to_string(static_cast<int>(status)) + ' ' + text;
  }

  static void fill(pb::HttpHeaders& to, const Fields& fields) {
    for (const auto& [name, value] : fields) {
      auto* h = to.mutable_headers()->add_headers();
      h->set_key(name);
      h->set_raw_value(value);
    }
  }
  StreamId send_request(const std::string& id, const Fields& more = {},
                        const std::string& key = "k1") {
    StreamId stream = ++last_stream_;
    processor_->on_open(stream);
    pb::ProcessingRequest request;
    Fields fields = {{":method", "GET"}};
    if (!id.empty()) fields.emplace_back("X-Request-Id", id);
    if (!key.empty()) fields.emplace_back("x-price-key", key);
    fields.insert(fields.begin(), more.begin(), more.end());
    fill(*request.mutable_request_headers(), fields);
    processor_->on_message(stream, request.SerializeAsString());
    core_->process_events();
    return stream;
  }
  void send_report(StreamId stream, const Fields& fields, const std::string& served_endpoint = "") {
    pb::ProcessingRequest request;
    fill(*request.mutable_response_headers(), fields);
    if (!served_endpoint.empty()) {
      auto& lb = (*request.mutable_metadata_context()->mutable_filter_metadata())["envoy.lb"];
      (*lb.mutable_fields())["x-gateway-destination-endpoint-served"].set_string_value(
          served_endpoint);
    }
    processor_->on_message(stream, request.SerializeAsString());
    core_->process_events();
  }
  /// The endpoint sent on the stream, "" if none; checks that header and metadata agree.
  std::string endpoint(StreamId stream) {
    if (answers_[stream].empty() || !answers_[stream][0].has_request_headers()) return "";
    const auto& r = answers_[stream][0];
    const auto& option = r.request_headers().response().header_mutation().set_headers(0);
    EXPECT_EQ(option.header().key(), "x-gateway-destination-endpoint");
    const auto& lb = r.dynamic_metadata().fields().at("envoy.lb").struct_value().fields();
    EXPECT_EQ(lb.at("x-gateway-destination-endpoint").string_value(), option.header().raw_value());
    return option.header().raw_value();
  }
  int status(StreamId stream) {
    return answers_[stream].empty() ? 0
                                    : answers_[stream].back().immediate_response().status().code();
  }
  std::string body(StreamId stream) { return answers_[stream].back().immediate_response().body(); }
  void advance(Micros span) {
    Micros end = now_ + span;
    while (core_->next_timer() && core_->next_timer() <= end) {
      now_ = std::max(now_, core_->next_timer());
      core_->process_events();
    }
    now_ = end;
    core_->process_events();
    processor_->expire_replies();
  }

  Micros now_ = 1000 * kSecond;
  robinseam::Settings settings_;
  std::unique_ptr<Core> core_;
  std::unique_ptr<Processor> processor_;
  StreamId last_stream_ = 0;
  std::map<StreamId, std::vector<pb::ProcessingResponse>> answers_;
  std::map<StreamId, std::string> finished_;
};

TEST_F(ProcessorTest, RequestGetsAnEndpointAndItsReportEndsIt) {
  StreamId s = send_request("r1");
  EXPECT_EQ(endpoint(s).substr(0, 3), "at-");
  EXPECT_EQ(core_->open_requests(), 1u);
  send_report(s, {{":status", "200"}, {"endpoint-load-metrics", "TEXT cpu_utilization=0.4"}});
  EXPECT_TRUE(answers_[s].back().has_response_headers());
  EXPECT_EQ(core_->open_requests(), 0u);
  EXPECT_EQ(processor_->kept_requests(), 0u);
  EXPECT_EQ(core_->counts().outcomes[static_cast<int>(Status::Ok)], 1u);
  processor_->on_half_close(s);
  EXPECT_EQ(finished_[s], "0 ");
  EXPECT_EQ(processor_->open_streams(), 0u);
}

TEST_F(ProcessorTest, InvalidAndMissingHeadersAreNamed) {
  const std::pair<Fields, std::string> cases[] = {
      {{{"x-request-class", "none"}}, "x-request-class"},
      {{{"x-tenant", "a b"}}, "x-tenant"},
      {{{"x-envoy-expected-rq-timeout-ms", "soon"}}, "x-envoy-expected-rq-timeout-ms"},
      {{{"x-envoy-attempt-count", "-1"}}, "x-envoy-attempt-count"},
      {{{"idempotency-key", std::string(65, 'i')}}, "idempotency-key"},
      {{{"x-price-key", "a b"}}, "x-price-key"}};
  for (const auto& [fields, name] : cases) {
    StreamId s = send_request("b" + name, fields);
    EXPECT_EQ(status(s), 400) << name;
    EXPECT_EQ(body(s), name);
  }
  EXPECT_EQ(body(send_request("", {})), "x-request-id");
  EXPECT_EQ(body(send_request("r", {}, "")), "x-price-key");
  EXPECT_EQ(core_->open_requests(), 0u);
  EXPECT_EQ(processor_->open_streams(), 0u);
}

TEST_F(ProcessorTest, WithoutServersTheRequestIsRefusedWithRetryAfter) {
  start(0, 10);
  StreamId s = send_request("r1");
  EXPECT_EQ(status(s), 429);
  std::map<std::string, std::string> headers;
  for (const auto& h : answers_[s].back().immediate_response().headers().set_headers())
    headers[h.header().key()] = h.header().raw_value();
  EXPECT_GT(std::stoi(headers["retry-after-ms"]), 0);
  EXPECT_GT(std::stoi(headers["retry-after"]), 0);
  advance(kSecond);
  EXPECT_EQ(processor_->kept_requests(), 0u);
}

TEST_F(ProcessorTest, FurtherAttemptContinuesTheRequestOnAnotherServer) {
  StreamId first = send_request("r1");
  send_report(first, {{":status", "503"}, {"retry-after", "1"}});  // rejected, not run
  processor_->on_half_close(first);
  StreamId second = send_request("r1", {{"x-envoy-attempt-count", "2"}});
  EXPECT_NE(endpoint(second), "");
  EXPECT_NE(endpoint(second), endpoint(first));
  send_report(second, {{":status", "200"}});
  EXPECT_EQ(core_->open_requests(), 0u);
  EXPECT_EQ(core_->counts().requests, 1u);
}

TEST_F(ProcessorTest, AttemptAbandonedWithoutAReportMayHaveRun) {
  Fields put = {{":method", "PUT"}};  // keyed class without an idempotency key: must not run twice
  StreamId first = send_request("w1", put);
  EXPECT_NE(endpoint(first), "");
  put.emplace_back("x-envoy-attempt-count", "2");
  StreamId second = send_request("w1", put);
  EXPECT_EQ(endpoint(second), "");
  EXPECT_EQ(status(second), 503);
  EXPECT_EQ(core_->counts().outcomes[static_cast<int>(Status::Cancelled)], 1u);
  // With an idempotency key the servers drop the duplicate.
  put = {{":method", "PUT"}, {"idempotency-key", "k"}};
  StreamId third = send_request("w2", put);
  processor_->on_aborted(third);  // connection lost after the endpoint was sent
  core_->process_events();
  put.emplace_back("x-envoy-attempt-count", "2");
  StreamId fourth = send_request("w2", put);
  EXPECT_NE(endpoint(fourth), "");
  EXPECT_NE(endpoint(fourth), endpoint(third));
}

TEST_F(ProcessorTest, FurtherAttemptOfAnUnknownWriteFailsUnlessItHasAnIdempotencyKey) {
  Fields second_attempt = {{":method", "PUT"}, {"x-envoy-attempt-count", "2"}};
  EXPECT_EQ(status(send_request("w1", second_attempt)), 503);
  second_attempt.emplace_back("idempotency-key", "k");
  EXPECT_NE(endpoint(send_request("w2", second_attempt)), "");
  EXPECT_NE(endpoint(send_request("r1", {{"x-envoy-attempt-count", "2"}})), "");  // a read
}

TEST_F(ProcessorTest, DuplicateAttemptIsRejected) {
  StreamId first = send_request("r1");
  StreamId twin = send_request("r1");
  EXPECT_EQ(status(twin), 400);
  EXPECT_EQ(body(twin), "x-request-id");
  send_report(first, {{":status", "200"}});
  EXPECT_EQ(core_->counts().outcomes[static_cast<int>(Status::Ok)], 1u);
}

TEST_F(ProcessorTest, ReportOfAnotherEndpointIsNotAttributedToTheAttempt) {
  StreamId s = send_request("r1");
  send_report(s, {{":status", "200"}}, "at-somewhere-else");
  EXPECT_EQ(core_->counts().outcomes[static_cast<int>(Status::Ok)], 0u);
  EXPECT_EQ(core_->counts().outcomes[static_cast<int>(Status::Malformed)], 1u);
  EXPECT_EQ(processor_->counts().other_endpoint, 1u);
}

TEST_F(ProcessorTest, AttemptWithoutAReportEndsAtItsDeadline) {
  send_request("r1");
  advance(2 * kSecond);
  EXPECT_EQ(core_->open_requests(), 0u);
  EXPECT_EQ(processor_->kept_requests(), 0u);
}

TEST_F(ProcessorTest, ExpiredDeadlineIsAnsweredWithoutAnEndpoint) {
  StreamId s = send_request("r1", {{"x-envoy-expected-rq-timeout-ms", "0"}});
  advance(100 * kMillisecond);
  EXPECT_EQ(endpoint(s), "");
  EXPECT_NE(status(s), 0);
}

TEST_F(ProcessorTest, MessagesOutOfOrderAreErrorsAndUnknownOnesAreIgnored) {
  StreamId s = ++last_stream_;
  processor_->on_open(s);
  processor_->on_message(s, std::string("\x9a\x01\x03"
                                        "abc",
                                        6));  // field 19, of a later version
  EXPECT_TRUE(finished_[s].empty());
  send_report(s, {{":status", "200"}});
  EXPECT_EQ(finished_[s], "3 response_headers came first");
  StreamId t = send_request("r1");
  pb::ProcessingRequest again;
  fill(*again.mutable_request_headers(), {{"x-request-id", "r2"}});
  processor_->on_message(t, again.SerializeAsString());
  EXPECT_EQ(finished_[t], "3 request_headers twice");
  StreamId u = ++last_stream_;
  processor_->on_open(u);
  processor_->on_message(u, "\xff\xff\xff");
  EXPECT_EQ(finished_[u], "3 no ProcessingRequest");
  StreamId v = send_request("r3");
  pb::ProcessingRequest body;
  body.mutable_request_body()->set_body("let through");
  processor_->on_message(v, body.SerializeAsString());
  EXPECT_TRUE(answers_[v].back().has_request_body());
}

TEST_F(ProcessorTest, ConcurrentStreamsAreLimited) {
  for (int k = 0; k < 2000; ++k) processor_->on_open(++last_stream_);
  StreamId s = ++last_stream_;
  processor_->on_open(s);
  EXPECT_EQ(finished_[s], "8 too many streams");
}

// Callers abandon their streams before the headers, by half-closing after the request, after the
// endpoint was sent, or after the report.
TEST_F(ProcessorTest, AbandonedCallsLeaveNoState) {
  for (int k = 0; k < 100'000; ++k) {
    answers_.clear(), finished_.clear();
    std::string id = "a" + std::to_string(k);
    if (k % 5 == 0) {
      processor_->on_open(++last_stream_);
      processor_->on_aborted(last_stream_);
      continue;
    }
    StreamId s = send_request(id, {}, "key" + std::to_string(k % 50));
    if (k % 5 == 1) processor_->on_half_close(s);
    if (k % 5 == 3) send_report(s, {{":status", k % 2 ? "200" : "500"}});
    if (k % 5 != 1) processor_->on_aborted(s);
    core_->process_events();
    if (k % 10 == 0) advance(20 * kMillisecond);
  }
  EXPECT_EQ(processor_->open_streams(), 0u);
  advance(3 * kSecond);
  EXPECT_EQ(core_->open_requests(), 0u);
  EXPECT_EQ(processor_->kept_requests(), 0u);
}

// Guards against blaming servers for what a caller does. A caller that takes endpoints and leaves
// without a report says nothing about any server, so all other callers are served as before.
class AbandonedCalls : public ProcessorTest, public testing::WithParamInterface<bool> {};
// Without hedging each attempt has a timeout, 8 ms here, that the caller does not know. When it
// counted against servers, 200 calls abandoned after a burst of a slow caller became 250 timeouts,
// and a quarter of 2,000 good calls were refused.
TEST_P(AbandonedCalls, CallsWithoutAReportDoNotCloseServersForOthers) {
  settings_.may_hedge = GetParam();
  start(4, 1000);
  // Fast answers first, so that a hedge would be due within a few milliseconds.
  for (int k = 0; k < 50; ++k) {
    StreamId s = send_request("quick" + std::to_string(k), {}, "key" + std::to_string(k));
    advance(kMillisecond);
    send_report(s, {{":status", "200"}});
    processor_->on_half_close(s);
  }
  for (int k = 0; k < 400; ++k) {
    StreamId s = send_request("gone" + std::to_string(k), {}, "key" + std::to_string(k));
    advance(20 * kMillisecond);
    processor_->on_aborted(s);
    core_->process_events();
  }
  advance(2 * kSecond);
  const auto& outcomes = core_->counts().outcomes;
  EXPECT_EQ(outcomes[static_cast<std::size_t>(Status::Timeout)], 0u);
  EXPECT_EQ(outcomes[static_cast<std::size_t>(Status::Cancelled)], 400u);
  int refused = 0;
  for (int k = 0; k < 500; ++k) {
    StreamId s = send_request("good" + std::to_string(k), {}, "other" + std::to_string(k));
    refused += endpoint(s).empty();
    if (!endpoint(s).empty()) send_report(s, {{":status", "200"}});
    processor_->on_half_close(s);
    advance(10 * kMillisecond);
  }
  EXPECT_EQ(refused, 0);
}
INSTANTIATE_TEST_SUITE_P(Hedging, AbandonedCalls, testing::Bool());

}  // namespace
}  // namespace arrowfork::extproc
