// The external processor's decisions, without I/O: messages of callers' streams go in, answers come
// out, and the core decides in between. The callers carry the attempts out.
//
// Source: envoy.service.ext_proc.v3; the endpoint picker protocol of the Gateway API inference
// extension (004-endpoint-picker-protocol).
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "../core/core.hpp"
#include "../grpc/server_session.hpp"

namespace envoy::service::ext_proc::v3 {
class HttpHeaders;
class ProcessingResponse;
}  // namespace envoy::service::ext_proc::v3

namespace arrowfork::extproc {

using StreamId = std::uint64_t;  ///< one call of one connection, never used again

/// Where a request's facts are found, and what holds where a header is absent.
struct ProcessorOptions {
  std::string key_header = "x-price-key";  ///< must come
  std::string class_header = "x-request-class";
  std::string tenant_header = "x-tenant";
  std::string deadline_header = "x-envoy-expected-rq-timeout-ms";
  std::string id_header = "x-request-id";  ///< must come
  std::string idempotency_header = "idempotency-key";
  std::string attempt_header = "x-envoy-attempt-count";
  std::string read_class, write_class;  ///< classes of GET and HEAD, and of other methods
  std::string default_tenant;
  std::size_t max_streams = 10'000;  ///< open at once, over all connections
};

class Processor final : public Carrier {
 public:
  /// Carries answers to callers.
  class Output {
   public:
    virtual ~Output() = default;
    virtual void send_message(StreamId stream, const std::string& bytes) = 0;
    virtual void finish(StreamId stream, grpc::Status status, const std::string& text) = 0;
  };
  struct Counts {
    std::uint64_t streams = 0, rejected_streams = 0, invalid = 0, picked = 0, refused = 0,
                  failed = 0;
    std::uint64_t reported = 0, unreported = 0, other_endpoint = 0, continued = 0;
  };

  /// `address_of` gives where a server is reached, empty for one that is not known. All outlive it.
  Processor(Core& core, const TimeSource& clock, Output& output, ProcessorOptions options,
            const std::vector<robinseam::ReportField>& fields,
            std::function<std::string(const std::string& server)> address_of);
  ~Processor();

  void on_open(StreamId stream);
  void on_message(StreamId stream, const std::string& bytes);
  /// The caller sends no more.
  void on_half_close(StreamId stream);
  /// The stream has ended; nothing more can be sent on it.
  void on_aborted(StreamId stream);
  /// Forgets final answers that nobody came for. Call about once a second.
  void expire_replies();

  // Carrier
  void send(const std::string& server, RequestId id, int attempt, const Request& request,
            Micros wait) override;
  Status cancel(const std::string& server, RequestId id, int attempt) override;
  /// The caller sends the request itself, with its idempotency header.
  bool keeps_key(const Request&) const override { return true; }
  bool remote() const override { return true; }

  const Counts& counts() const { return counts_; }
  std::size_t open_streams() const { return streams_.size(); }
  bool is_open(StreamId stream) const { return streams_.count(stream) > 0; }
  /// Requests of which anything is kept.
  std::size_t kept_requests() const { return exchanges_.size(); }

 private:
  struct Exchange;
  using Headers = std::unordered_map<std::string, std::string>;
  using Response = envoy::service::ext_proc::v3::ProcessingResponse;

  void request_headers(StreamId stream, const envoy::service::ext_proc::v3::HttpHeaders& headers);
  void response_headers(StreamId stream, const envoy::service::ext_proc::v3::HttpHeaders& headers,
                        const std::string& served_by);
  void tell(Exchange& exchange);
  void give_final(Exchange& exchange);
  void settle_final(Exchange& exchange, Reply&& reply);
  void end_attempt(Exchange& exchange, Status status, AttemptResult&& result = {});
  void leave(StreamId stream);
  void bad(StreamId stream, const std::string& field);
  void immediate(StreamId stream, int code, const std::string& body, Micros come_back = 0);
  void write(StreamId stream, const Response& response);
  void forget(const std::string& name);

  Core& core_;
  const TimeSource& clock_;
  Output& output_;
  ProcessorOptions options_;
  const std::vector<robinseam::ReportField>& fields_;
  std::function<std::string(const std::string&)> address_of_;
  std::unordered_map<StreamId, std::string> streams_;  // the name of its exchange; "" before
  std::unordered_map<std::string, std::unique_ptr<Exchange>> exchanges_;
  std::unordered_map<RequestId, Exchange*> by_id_;
  Counts counts_;
};

}  // namespace arrowfork::extproc
