#include "calling_proxy.hpp"

#include <grpcpp/grpcpp.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <unordered_map>

#include "../io/io.hpp"
#include "../protocol/binary.hpp"
#include "../protocol/meta.hpp"
#include "envoy/service/ext_proc/v3/external_processor.grpc.pb.h"

namespace arrowfork::rig {
namespace {

namespace pb = envoy::service::ext_proc::v3;

constexpr std::size_t kMaxLatencies = 1u << 20;

void add_header(pb::HttpHeaders& to, const std::string& name, const std::string& value) {
  auto* h = to.mutable_headers()->add_headers();
  h->set_key(name);
  h->set_raw_value(value);
}

std::chrono::system_clock::time_point from_now(Micros span) {
  return std::chrono::system_clock::now() + std::chrono::microseconds(span);
}

}  // namespace

struct CallingProxy::Backend {
  std::shared_ptr<::grpc::Channel> channel;
  std::unique_ptr<pb::ExternalProcessor::Stub> stub;
};

/// Runs one request at a time, with blocking calls.
class CallingProxy::Worker {
 public:
  Worker(CallingProxy& proxy, std::uint64_t seed) : p_(proxy), random_(seed) {}

  void run_request() {
    const Options& o = p_.options_;
    std::uint64_t serial = ++p_.serial_;
    id_ = o.name + "-" + std::to_string(o.seed) + "-" + std::to_string(serial);
    double u = std::uniform_real_distribution<double>(0, 1)(random_);
    key_ = "item" + std::to_string(static_cast<int>(std::pow(o.keys, u)));
    write_ = std::uniform_real_distribution<double>(0, 1)(random_) < o.write_share;
    started_at_ = p_.clock_.now();
    ++p_.counts_.offered;
    Outcome outcome = Outcome::Retry;
    for (int try_number = 1; outcome == Outcome::Retry; ++try_number) {
      if (try_number > 1) ++p_.counts_.continued;
      bool last = try_number >= o.max_tries;
      outcome = run_stream(serial, try_number);
      if (outcome == Outcome::Retry && last) outcome = Outcome::Failed;
    }
    Micros span = p_.clock_.now() - started_at_;
    Counts& c = p_.counts_;
    switch (outcome) {
      case Outcome::Served:
        ++(span <= o.latency_objective ? c.in_time : c.late);
        p_.record_latency(p_.latencies_, span);
        break;
      case Outcome::Refused:
        ++c.refused;
        break;
      case Outcome::Abandoned:
        ++c.abandoned;
        break;
      case Outcome::Lost:
        ++c.lost;
        break;
      case Outcome::Wrong:
        ++c.wrong;
        break;
      default:
        ++c.failed;
    }
  }

 private:
  enum class Outcome { Served, Refused, Failed, Retry, Abandoned, Lost, Wrong };

  Micros time_left() const { return started_at_ + p_.options_.deadline - p_.clock_.now(); }

  AbandonPoint draw_abandon(std::uint64_t serial) {
    const Options& o = p_.options_;
    if (std::uniform_real_distribution<double>(0, 1)(random_) >= o.abandon_share)
      return AbandonPoint::None;
    return static_cast<AbandonPoint>(1 + serial % 4);
  }

  /// One try of the request, on a new stream with the same request id and the number of the try.
  Outcome run_stream(std::uint64_t serial, int try_number) {
    const Options& o = p_.options_;
    Micros time = std::max<Micros>(time_left(), kMillisecond);
    AbandonPoint abandon = draw_abandon(serial);
    ::grpc::ClientContext context;
    context.set_deadline(from_now(time + o.slack));
    ++p_.counts_.streams;
    auto stream = p_.backends_[serial % p_.backends_.size()]->stub->Process(&context);
    auto abandon_stream = [&] {
      context.TryCancel();
      stream->Finish();
      return Outcome::Abandoned;
    };
    if (abandon == AbandonPoint::BeforeHeaders) return abandon_stream();
    pb::ProcessingRequest request;
    auto& headers = *request.mutable_request_headers();
    add_header(headers, ":method", write_ ? "PUT" : "GET");
    add_header(headers, "x-request-id", id_);
    add_header(headers, "x-price-key", key_);
    add_header(headers, "x-envoy-expected-rq-timeout-ms", std::to_string(time / kMillisecond));
    add_header(headers, "x-envoy-attempt-count", std::to_string(try_number));
    headers.set_end_of_stream(!write_);
    Micros sent_at = p_.clock_.now();
    stream->Write(request);
    if (abandon == AbandonPoint::AfterHeaders) return abandon_stream();
    pb::ProcessingResponse answer;
    if (!stream->Read(&answer)) {
      ::grpc::Status status = stream->Finish();
      return status.error_code() == ::grpc::StatusCode::DEADLINE_EXCEEDED ? Outcome::Lost
             : status.error_code() == ::grpc::StatusCode::UNAVAILABLE ||
                     status.error_code() == ::grpc::StatusCode::RESOURCE_EXHAUSTED
                 ? Outcome::Failed
                 : Outcome::Wrong;
    }
    p_.record_latency(p_.decisions_, p_.clock_.now() - sent_at);
    if (answer.has_immediate_response()) {
      int code = answer.immediate_response().status().code();
      stream->WritesDone();
      stream->Finish();
      return code == 429 ? Outcome::Refused : code == 503 ? Outcome::Failed : Outcome::Wrong;
    }
    std::string endpoint;
    for (const auto& option : answer.request_headers().response().header_mutation().set_headers())
      if (option.header().key() == "x-gateway-destination-endpoint")
        endpoint = option.header().raw_value();
    auto address = parse_address(endpoint);
    if (!answer.has_request_headers() || !address) {
      stream->Finish();
      return Outcome::Wrong;
    }
    if (abandon == AbandonPoint::AfterChoice) return abandon_stream();
    int status = call_cache_server(*address);
    if (abandon == AbandonPoint::InResponse) return abandon_stream();
    ++p_.counts_.attempts[status == 200 ? 0 : status == 500 ? 1 : status == 503 ? 2 : 3];
    if (status == 0) {  // no complete answer: the result is unknown, so none is reported
      context.TryCancel();
      stream->Finish();
    } else {
      pb::ProcessingRequest report;
      auto& response_headers = *report.mutable_response_headers();
      add_header(response_headers, ":status", std::to_string(status));
      if (status == 503) add_header(response_headers, "retry-after", "1");
      stream->Write(report);
      stream->Read(&answer);
      stream->WritesDone();
      stream->Finish();
    }
    if (status == 200) return Outcome::Served;
    if (time_left() <= kMillisecond) return Outcome::Failed;
    return Outcome::Retry;
  }

  /// Sends the request to the cache server. Returns 200, 500, 503 (rejected, did not run), or 0 if
  /// no valid answer came.
  int call_cache_server(const sockaddr_in& address) {
    std::uint16_t port = ntohs(address.sin_port);
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    Micros wait = std::max<Micros>(time_left(), kMillisecond);
    timeval limit = timeval_of(wait);
    ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(fd.get(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    int on = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
      return 503;  // did not run
    bool binary = p_.options_.is_binary && p_.options_.is_binary(port);
    std::string value = key_ + "=" + id_, out;
    if (binary) {
      binary::Command c;
      c.opcode = write_ ? binary::Opcode::Set : binary::Opcode::GetK;
      c.opaque = 1;
      c.key = key_;
      if (write_) c.value = value;
      out = binary::request(c);
    } else {
      std::string tail = " O" + id_ + " Pc=" + (write_ ? "put" : "read") +
                         ",t=acme,d=" + std::to_string(wait / kMillisecond);
      out = write_
                ? "ms " + key_ + " " + std::to_string(value.size()) + tail + "\r\n" + value + "\r\n"
                : "mg " + key_ + " v" + tail + "\r\n";
    }
    if (::send(fd.get(), out.data(), out.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(out.size()))
      return 0;
    const std::vector<robinseam::ReportField> no_fields;
    AnswerReader meta(&no_fields);
    binary::AnswerReader reader;
    char data[65536];
    while (true) {
      ssize_t received = ::recv(fd.get(), data, sizeof data, 0);
      if (received <= 0) return 0;
      std::string_view bytes(data, static_cast<std::size_t>(received));
      if (binary) {
        binary::Answer a;
        auto what = reader.take(bytes, a);
        if (what == binary::AnswerReader::Got::Nothing) continue;
        if (what == binary::AnswerReader::Got::Broken || a.opaque != 1) return 0;
        return a.status == binary::status::kOk     ? 200
               : a.status == binary::status::kBusy ? 503
                                                   : 500;
      }
      Answer a;
      auto what = meta.take(bytes, a);
      if (what == AnswerReader::Got::Nothing) continue;
      if (what != AnswerReader::Got::Answer || a.last) return 0;
      if (a.kind == Answer::Kind::Busy) return 503;
      if (a.kind == Answer::Kind::Error || a.kind == Answer::Kind::Miss) return 500;
      return a.id == id_ && (a.kind == Answer::Kind::Stored) == write_ ? 200 : 0;
    }
  }

  CallingProxy& p_;
  std::mt19937_64 random_;
  std::string id_, key_;
  bool write_ = false;
  Micros started_at_ = 0;
};

CallingProxy::CallingProxy(Options options) : options_(std::move(options)) {
  for (std::uint16_t port : options_.ext_proc_ports) {
    ::grpc::ChannelArguments arguments;
    // A connection per proxy, as real proxies have, and no hidden retries in the gRPC library.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    auto backend = std::make_shared<Backend>();
    backend->channel = ::grpc::CreateCustomChannel("127.0.0.1:" + std::to_string(port),
                                                   ::grpc::InsecureChannelCredentials(), arguments);
    backend->stub = pb::ExternalProcessor::NewStub(backend->channel);
    backends_.push_back(std::move(backend));
  }
}

CallingProxy::~CallingProxy() {
  stop();
  for (std::thread& t : threads_) t.join();
}

void CallingProxy::start() {
  stopped_ = false;
  next_start_ = clock_.now();
  for (int k = 0; k < options_.workers; ++k) {
    ++running_;
    threads_.emplace_back([this, k] {
      Worker worker(*this, options_.seed * 1000 + static_cast<std::uint64_t>(k));
      while (!stopped_) {
        if (options_.rate > 0) {
          Micros gap = static_cast<Micros>(kSecond / options_.rate);
          Micros start_at = next_start_.fetch_add(gap);
          // When far behind, skips the missed requests instead of catching up.
          if (clock_.now() - start_at > 100 * kMillisecond) next_start_ = clock_.now();
          if (Micros wait = start_at - clock_.now(); wait > 0)
            std::this_thread::sleep_for(std::chrono::microseconds(wait));
          if (stopped_) break;
        }
        worker.run_request();
      }
      --running_;
    });
  }
}

void CallingProxy::run_burst(int requests) {
  std::vector<std::thread> all;
  for (int k = 0; k < requests; ++k)
    all.emplace_back([this, k] {
      Worker(*this, options_.seed * 100'000 + static_cast<std::uint64_t>(k)).run_request();
    });
  for (std::thread& t : all) t.join();
}

void CallingProxy::record_latency(std::vector<Micros>& samples, Micros value) {
  std::lock_guard lock(mutex_);
  if (samples.size() < kMaxLatencies) samples.push_back(value);
}

Micros CallingProxy::quantile_of(const std::vector<Micros>& samples, double q) const {
  std::lock_guard lock(mutex_);
  if (samples.empty()) return 0;
  std::vector<Micros> sorted = samples;
  auto at =
      sorted.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), at, sorted.end());
  return *at;
}

Micros CallingProxy::decision_quantile(double q) const { return quantile_of(decisions_, q); }
Micros CallingProxy::latency_quantile(double q) const { return quantile_of(latencies_, q); }

}  // namespace arrowfork::rig
