// Runs ten thousand requests through the external processor and directly through the core, with the
// same events, seed and clock. All decisions of the balancer must be identical, byte for byte.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "../support.hpp"
#include "emu/clock.hpp"
#include "envoy/service/ext_proc/v3/external_processor.pb.h"
#include "extproc/processor.hpp"
#include "wire.hpp"

namespace arrowfork::extproc {
namespace {

namespace pb = envoy::service::ext_proc::v3;

constexpr int kRequests = 10'000;

/// Result of an attempt at the cache server, derived from a hash of the attempt's ids.
struct AttemptOutcome {
  Status status;
  Micros delay;
};
AttemptOutcome attempt_outcome(const std::string& server, const std::string& id, int attempt,
                               int number) {
  std::size_t h = std::hash<std::string>()(server + '/' + id + '/' + std::to_string(attempt));
  // Below the attempt timeout (twice a high quantile of the latency). An attempt that exceeds it
  // ends at once if the router sends it, but continues at a caller, which is not notified.
  Micros delay = 10 * kMillisecond + static_cast<Micros>(h % 5'000);
  // In the middle third one server fails every attempt and another rejects half of them.
  bool degraded = number > kRequests / 3 && number < 2 * kRequests / 3;
  if (degraded && server == "s-1") return {Status::Error, delay};
  if (degraded && server == "s-2" && h % 2) return {Status::Rejected, delay};
  if (h % 97 == 0) return {Status::Error, delay};
  if (h % 101 == 0) return {Status::Reset, delay};
  return {Status::Ok, delay};
}

/// Records each decision with its time, but not the call that led to it: the calls differ, since
/// each further attempt of a caller is an additional one.
struct DecisionLog final : SeamTap {
  void on_call(Micros now, const char*, RequestId, const robinseam::Actions& actions) override {
    for (const robinseam::Action& action : actions)
      lines += std::to_string(now) + ' ' + robinseam::drill::format_action(action) + '\n';
  }
  std::string lines;
};

/// A core on virtual time with scheduled requests.
class Simulation : public Lister {
 public:
  explicit Simulation(const robinseam::Settings& settings)
      : core(settings, 7, time, *this, 20'000, 1'000'000) {
    core.set_tap(&decisions);
    core.start(robinseam::test::fleet(6));
    core.turn();
  }
  void watch() override {}
  void fetch() override {}
  /// Processes pending events of the core, and schedules itself for its next timer.
  void turn() {
    core.turn();
    if (Micros next = core.next_timer();
        next && (!next_wakeup_ || next < next_wakeup_ || next_wakeup_ <= time.now())) {
      next_wakeup_ = std::max(next, time.now() + 1);
      time.at(next_wakeup_, [this] { turn(); });
    }
  }
  void run() {
    for (int k = 0; k < kRequests; ++k)
      time.after(k * 500, [this, k] {
        start_request(k);
        turn();
      });
    time.run_until(time.now() + kRequests * 500 + 5 * kSecond);
  }
  virtual void start_request(int number) = 0;

  static std::string id_of(int number) { return "r" + std::to_string(number); }
  static std::string key_of(int number) { return "k" + std::to_string(number * 7919 % 700); }
  static int number_of(const std::string& id) { return std::atoi(id.c_str() + 1); }
  static bool is_write(int number) { return number % 11 == 0; }

  emu::VirtualTime time;
  DecisionLog decisions;
  Core core;

 private:
  Micros next_wakeup_ = 0;
};

/// The router sends the attempts to the servers itself.
class DirectSimulation final : public Simulation, Carrier, ReplySink {
 public:
  using Simulation::Simulation;
  void start_request(int number) override {
    Request r;
    r.write = is_write(number);
    r.id = id_of(number), r.key = key_of(number), r.type = r.write ? "put" : "read";
    r.tenant = "acme";
    if (r.write) r.idempotency = "i" + std::to_string(number);
    r.patience = 300 * kMillisecond;
    RequestId id;
    EXPECT_EQ(core.take(std::move(r), *this, *this, id), Core::Taken::Yes);
  }

 private:
  void send(const std::string& server, RequestId id, int attempt, const Request& request,
            Micros) override {
    AttemptOutcome outcome = attempt_outcome(server, request.id, attempt, number_of(request.id));
    time.after(outcome.delay, [this, id, attempt, outcome] {
      core.attempt_ended(id, attempt, outcome.status, {});
      turn();
    });
  }
  Status cancel(const std::string&, RequestId, int) override { return Status::Cancelled; }
  bool keeps_key(const Request&) const override { return true; }
  void on_reply(const Request&, Reply&&) override {}
};

/// A proxy asks the processor for an endpoint, calls the server, reports, and retries on failure.
class ExtProcSimulation final : public Simulation, Processor::Output {
 public:
  ExtProcSimulation(const robinseam::Settings& settings, ProcessorOptions options)
      : Simulation(settings),
        processor(core, time, *this, std::move(options), settings.report_fields,
                  [](const std::string& server) { return server; }) {}
  void start_request(int number) override { open_stream(number, 1); }

  Processor processor;
  int answered = 0;

 private:
  struct Stream {
    int number;
    int attempt;
  };
  static void add_header(pb::HttpHeaders& to, const std::string& name, const std::string& value) {
    auto* h = to.mutable_headers()->add_headers();
    h->set_key(name);
    h->set_raw_value(value);
  }
  void open_stream(int number, int attempt) {
    StreamId stream = ++last_stream_;
    streams_[stream] = {number, attempt};
    processor.on_open(stream);
    pb::ProcessingRequest request;
    auto& headers = *request.mutable_request_headers();
    bool write = is_write(number);
    add_header(headers, ":method", write ? "PUT" : "GET");
    add_header(headers, "x-request-id", id_of(number));
    add_header(headers, "x-price-key", key_of(number));
    add_header(headers, "x-tenant", "acme");
    add_header(headers, "x-envoy-expected-rq-timeout-ms", "300");
    add_header(headers, "x-envoy-attempt-count", std::to_string(attempt));
    if (write) add_header(headers, "idempotency-key", "i" + std::to_string(number));
    processor.on_message(stream, request.SerializeAsString());
  }
  void send_message(StreamId id, const std::string& bytes) override {
    pb::ProcessingResponse r;
    ASSERT_TRUE(r.ParseFromString(bytes));
    if (r.has_immediate_response()) ++answered;
    if (!r.has_request_headers()) return;
    Stream s = streams_.at(id);
    std::string server =
        r.request_headers().response().header_mutation().set_headers(0).header().raw_value();
    // The core also counts attempts that were decided but never sent to the caller; the caller
    // numbers only those that it has made.
    AttemptOutcome outcome = attempt_outcome(server, id_of(s.number), s.attempt - 1, s.number);
    time.after(outcome.delay, [this, id, s, outcome] {
      if (outcome.status == Status::Reset) {
        streams_.erase(id);
        processor.on_aborted(id);
      } else {
        pb::ProcessingRequest report;
        auto& headers = *report.mutable_response_headers();
        add_header(headers, ":status",
                   outcome.status == Status::Ok         ? "200"
                   : outcome.status == Status::Rejected ? "429"
                                                        : "500");
        processor.on_message(id, report.SerializeAsString());
        processor.on_half_close(id);
      }
      if (outcome.status == Status::Ok)
        ++answered;
      else
        open_stream(s.number, s.attempt + 1);
      turn();
    });
  }
  void finish(StreamId id, grpc::Status, const std::string&) override { streams_.erase(id); }

  std::map<StreamId, Stream> streams_;
  StreamId last_stream_ = 0;
};

TEST(ExtProcDecisions, AreIdenticalToThoseOfDirectRouting) {
  robinseam::Settings settings = robinseam::test::basic_settings();
  settings.may_hedge = false;
  settings.max_retry_after = kSecond;
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].name = "put";
  settings.classes[1].effect = robinseam::Effect::Keyed;
  settings.classes[1].key_ttl = 10 * kSecond;
  DirectSimulation direct(settings);
  direct.run();
  ProcessorOptions options;
  options.read_class = "read", options.write_class = "put", options.default_tenant = "acme";
  ExtProcSimulation ext_proc(settings, options);
  ext_proc.run();
  EXPECT_EQ(ext_proc.answered, kRequests);
  EXPECT_GT(ext_proc.processor.counts().continued, 100u) << "the run has too few further attempts";
  EXPECT_EQ(ext_proc.core.open_requests(), 0u);
  EXPECT_EQ(ext_proc.processor.kept_requests(), 0u);
  const std::string &direct_lines = direct.decisions.lines,
                    &ext_proc_lines = ext_proc.decisions.lines;
  auto [at, other] = std::mismatch(direct_lines.begin(), direct_lines.end(), ext_proc_lines.begin(),
                                   ext_proc_lines.end());
  std::size_t from = static_cast<std::size_t>(at - direct_lines.begin());
  EXPECT_TRUE(direct_lines == ext_proc_lines)
      << "from byte " << from << ":\n"
      << direct_lines.substr(from - std::min<std::size_t>(from, 400), 700) << "\n---\n"
      << ext_proc_lines.substr(from - std::min<std::size_t>(from, 400), 700);
}

}  // namespace
}  // namespace arrowfork::extproc
