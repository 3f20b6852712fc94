// The external processor, without I/O: takes the messages of a proxy's streams, asks the core for a
// decision and returns the answers. The calling proxy sends the attempts to the servers itself.
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

using StreamId = std::uint64_t;  ///< a call of a connection; ids are never reused

/// Names of the request headers to read, and defaults for absent ones.
struct ProcessorOptions {
  std::string key_header = "x-price-key";  ///< required
  std::string class_header = "x-request-class";
  std::string tenant_header = "x-tenant";
  std::string deadline_header = "x-envoy-expected-rq-timeout-ms";
  std::string id_header = "x-request-id";  ///< required
  std::string idempotency_header = "idempotency-key";
  std::string attempt_header = "x-envoy-attempt-count";
  std::string read_class, write_class;  ///< classes of GET and HEAD, and of other methods
  std::string default_tenant;
  std::size_t max_streams = 10'000;  ///< concurrent streams over all connections
};

/// Maps streams to requests of the core: several streams, one per attempt, may belong to a request.
class Processor final : public AttemptSender {
 public:
  /// Sends answers to callers.
  class Output {
   public:
    virtual ~Output() = default;
    virtual void send_message(StreamId stream, const std::string& bytes) = 0;
    virtual void finish(StreamId stream, grpc::Status status, const std::string& text) = 0;
  };
  struct Counts {
    std::uint64_t streams = 0;
    std::uint64_t rejected_streams = 0;  ///< over max_streams
    std::uint64_t invalid = 0;           ///< invalid messages and headers
    std::uint64_t picked = 0;            ///< endpoints sent
    std::uint64_t refused = 0, failed = 0;
    std::uint64_t reported = 0;        ///< attempts with a report of the caller
    std::uint64_t unreported = 0;      ///< attempts whose stream ended without a report
    std::uint64_t other_endpoint = 0;  ///< reports of another server than the chosen one
    std::uint64_t continued = 0;       ///< further attempts of a known request
  };

  /// `address_of` returns the address of a server, empty if it is unknown. All references must
  /// outlive the processor.
  Processor(Core& core, const TimeSource& clock, Output& output, ProcessorOptions options,
            const std::vector<robinseam::ReportField>& fields,
            std::function<std::string(const std::string& server)> address_of);
  ~Processor();

  void on_open(StreamId stream);
  void on_message(StreamId stream, const std::string& bytes);
  /// The caller will send no more messages.
  void on_half_close(StreamId stream);
  /// The stream was reset or its connection closed; nothing more can be sent on it.
  void on_aborted(StreamId stream);
  /// Drops final replies that no caller fetched in time. Call at least about once a second.
  void expire_replies();

  // AttemptSender
  void send(const std::string& server, RequestId id, int attempt, const Request& request,
            Micros wait) override;
  Status cancel(const std::string& server, RequestId id, int attempt) override;
  /// Always true: the caller sends the request itself, with its idempotency header.
  bool supports_idempotency_key(const Request&) const override { return true; }
  bool sent_by_caller() const override { return true; }

  const Counts& counts() const { return counts_; }
  std::size_t open_streams() const { return streams_.size(); }
  bool is_open(StreamId stream) const { return streams_.count(stream) > 0; }
  /// Requests with state in the processor, including unfetched final replies.
  std::size_t kept_requests() const { return requests_.size(); }

 private:
  struct TrackedRequest;
  using Headers = std::unordered_map<std::string, std::string>;
  using Response = envoy::service::ext_proc::v3::ProcessingResponse;

  void on_request_headers(StreamId stream,
                          const envoy::service::ext_proc::v3::HttpHeaders& headers);
  void on_response_headers(StreamId stream,
                           const envoy::service::ext_proc::v3::HttpHeaders& headers,
                           const std::string& served_endpoint);
  void send_endpoint(TrackedRequest& request);
  void send_final_reply(TrackedRequest& request);
  void on_final_reply(TrackedRequest& request, Reply&& reply);
  void end_attempt(TrackedRequest& request, Status status, AttemptResult&& result = {});
  void close_stream(StreamId stream);
  void reject_invalid(StreamId stream, const std::string& header);
  void send_immediate_response(StreamId stream, int code, const std::string& body,
                               Micros retry_after = 0);
  void send_response(StreamId stream, const Response& response);
  void remove(const std::string& request_id);

  Core& core_;
  const TimeSource& clock_;
  Output& output_;
  ProcessorOptions options_;
  const std::vector<robinseam::ReportField>& fields_;
  std::function<std::string(const std::string&)> address_of_;
  // Request id of each open stream; empty until its request headers arrive.
  std::unordered_map<StreamId, std::string> streams_;
  std::unordered_map<std::string, std::unique_ptr<TrackedRequest>> requests_;
  std::unordered_map<RequestId, TrackedRequest*> by_id_;
  Counts counts_;
};

}  // namespace arrowfork::extproc
