#include "processor.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "envoy/service/ext_proc/v3/external_processor.pb.h"
#include "orca.hpp"

namespace arrowfork::extproc {
namespace {

namespace pb = envoy::service::ext_proc::v3;
namespace mode = envoy::extensions::filters::http::ext_proc::v3;

const char* const kEndpointKey = "x-gateway-destination-endpoint";
const char* const kServedEndpointKey = "x-gateway-destination-endpoint-served";
const char* const kMetadataNamespace = "envoy.lb";
constexpr std::size_t kMaxKeyBytes = 250, kMaxIdBytes = 64;  // same as for the other frontends

using Headers = std::unordered_map<std::string, std::string>;

/// Returns the headers with names in lower case. Of repeated headers the first one counts.
Headers lower_case_headers(const pb::HttpHeaders& headers) {
  Headers all;
  for (const auto& h : headers.headers().headers()) {
    std::string name = h.key();
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    all.emplace(std::move(name), h.raw_value().empty() ? h.value() : h.raw_value());
  }
  return all;
}

std::string header_value(const Headers& headers, const std::string& name) {
  auto at = headers.find(name);
  return at == headers.end() ? std::string() : at->second;
}

bool is_printable(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 32 && c < 127; });
}

std::optional<std::int64_t> parse_non_negative(const std::string& text) {
  std::int64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 0) return std::nullopt;
  return value;
}

void set_header(pb::HeaderMutation& to, const std::string& name, const std::string& value) {
  auto* option = to.add_set_headers();
  option->set_append_action(envoy::config::core::v3::HeaderValueOption::OVERWRITE_IF_EXISTS_OR_ADD);
  option->mutable_header()->set_key(name);
  option->mutable_header()->set_raw_value(value);
}

}  // namespace

/// A request, across all streams that its caller opens for it (one per attempt).
struct Processor::TrackedRequest final : ReplySink {
  explicit TrackedRequest(Processor& processor) : processor(processor) {}
  void on_reply(const Request&, Reply&& reply) override {
    processor.on_final_reply(*this, std::move(reply));
  }
  Processor& processor;
  std::string request_id;  // from the request id header
  RequestId id = 0;
  StreamId stream = 0;              // latest stream of the request; 0 once it is closed
  bool awaits_decision = false;     // the stream waits for a decision
  std::int64_t caller_attempt = 0;  // number of the attempt according to the caller
  int attempt = -1;                 // number in the core, while in flight
  bool endpoint_sent = false;       // the caller knows the endpoint: the attempt may run
  std::string address;
  std::optional<Reply> final_reply;  // kept while no caller waits for it
  Micros expires_at = 0;             // when final_reply is dropped
};

Processor::Processor(Core& core, const TimeSource& clock, Output& output, ProcessorOptions options,
                     const std::vector<robinseam::ReportField>& fields,
                     std::function<std::string(const std::string&)> address_of)
    : core_(core),
      clock_(clock),
      output_(output),
      options_(std::move(options)),
      fields_(fields),
      address_of_(std::move(address_of)) {}

Processor::~Processor() = default;

// ---- streams ----

void Processor::on_open(StreamId stream) {
  if (streams_.size() >= options_.max_streams) {
    ++counts_.rejected_streams;
    output_.finish(stream, grpc::Status::ResourceExhausted, "too many streams");
    return;
  }
  ++counts_.streams;
  streams_.emplace(stream, "");
}

void Processor::on_message(StreamId stream, const std::string& bytes) {
  auto at = streams_.find(stream);
  if (at == streams_.end()) return;
  pb::ProcessingRequest request;
  if (!request.ParseFromString(bytes)) {
    ++counts_.invalid;
    close_stream(stream);
    output_.finish(stream, grpc::Status::InvalidArgument, "no ProcessingRequest");
    return;
  }
  Response response;
  switch (request.request_case()) {
    case pb::ProcessingRequest::kRequestHeaders:
      if (at->second.empty()) return on_request_headers(stream, request.request_headers());
      ++counts_.invalid;
      close_stream(stream);
      return output_.finish(stream, grpc::Status::InvalidArgument, "request_headers twice");
    case pb::ProcessingRequest::kResponseHeaders: {
      const auto& metadata = request.metadata_context().filter_metadata();
      std::string served_endpoint;
      if (auto lb = metadata.find(kMetadataNamespace); lb != metadata.end())
        if (auto one = lb->second.fields().find(kServedEndpointKey);
            one != lb->second.fields().end())
          served_endpoint = one->second.string_value();
      return on_response_headers(stream, request.response_headers(), served_endpoint);
    }
    // Passed on unread; the processing mode does not request them.
    case pb::ProcessingRequest::kRequestBody:
      response.mutable_request_body();
      break;
    case pb::ProcessingRequest::kResponseBody:
      response.mutable_response_body();
      break;
    case pb::ProcessingRequest::kRequestTrailers:
      response.mutable_request_trailers();
      break;
    case pb::ProcessingRequest::kResponseTrailers:
      response.mutable_response_trailers();
      break;
    case pb::ProcessingRequest::REQUEST_NOT_SET:
      return;  // a message of a later protocol version; needs no answer that is known here
  }
  send_response(stream, response);
}

void Processor::on_half_close(StreamId stream) {
  if (!streams_.count(stream)) return;
  close_stream(stream);
  output_.finish(stream, grpc::Status::Ok, "");
}

void Processor::on_aborted(StreamId stream) { close_stream(stream); }

/// Removes a closed stream. If it was still waiting for an endpoint, the client is gone. If the
/// endpoint was already sent, the caller abandoned the attempt, which may have run; this says
/// nothing about the server except how long the attempt took.
void Processor::close_stream(StreamId stream) {
  auto at = streams_.find(stream);
  if (at == streams_.end()) return;
  std::string request_id = std::move(at->second);
  streams_.erase(at);
  auto it = requests_.find(request_id);
  if (it == requests_.end() || it->second->stream != stream) return;
  TrackedRequest& e = *it->second;
  e.stream = 0;
  if (std::exchange(e.awaits_decision, false)) {
    core_.on_client_gone(e.id);
    remove(request_id);
  } else if (e.attempt >= 0 && e.endpoint_sent) {
    ++counts_.unreported;
    end_attempt(e, Status::Cancelled);
  }
}

// ---- requests ----

void Processor::on_request_headers(StreamId stream, const pb::HttpHeaders& message) {
  Headers headers = lower_case_headers(message);
  Request r;
  r.key = header_value(headers, options_.key_header);
  if (r.key.empty() || r.key.size() > kMaxKeyBytes || !is_printable(r.key))
    return reject_invalid(stream, options_.key_header);
  r.id = header_value(headers, options_.id_header);
  if (r.id.empty() || r.id.size() > kMaxIdBytes || !is_printable(r.id))
    return reject_invalid(stream, options_.id_header);
  std::string method = header_value(headers, ":method");
  r.write = method != "GET" && method != "HEAD" && !method.empty();
  r.class_name = header_value(headers, options_.class_header);
  if (r.class_name.empty()) r.class_name = r.write ? options_.write_class : options_.read_class;
  const robinseam::ClassSettings* class_settings = core_.find_class(r.class_name);
  if (!class_settings) return reject_invalid(stream, options_.class_header);
  r.tenant = header_value(headers, options_.tenant_header);
  if (r.tenant.empty()) r.tenant = options_.default_tenant;
  if (r.tenant.size() > kMaxKeyBytes || !is_printable(r.tenant))
    return reject_invalid(stream, options_.tenant_header);
  r.idempotency_key = header_value(headers, options_.idempotency_header);
  if (r.idempotency_key.size() > kMaxIdBytes || !is_printable(r.idempotency_key))
    return reject_invalid(stream, options_.idempotency_header);
  r.time_left = class_settings->deadline;
  if (std::string text = header_value(headers, options_.deadline_header); !text.empty()) {
    auto ms = parse_non_negative(text);
    if (!ms) return reject_invalid(stream, options_.deadline_header);
    r.time_left = std::min<std::int64_t>(*ms, 1'000'000'000) * kMillisecond;
  }
  std::int64_t caller_attempt = 1;
  if (std::string text = header_value(headers, options_.attempt_header); !text.empty()) {
    auto number = parse_non_negative(text);
    if (!number) return reject_invalid(stream, options_.attempt_header);
    caller_attempt = *number;
  }
  r.retry = caller_attempt > 1;
  std::string request_id = r.id;
  if (auto it = requests_.find(request_id); it != requests_.end()) {
    TrackedRequest& e = *it->second;
    if (caller_attempt <= e.caller_attempt)
      return reject_invalid(stream, options_.id_header);  // duplicate attempt
    ++counts_.continued;
    e.caller_attempt = caller_attempt;
    streams_[stream] = request_id;
    // The caller has abandoned its previous attempt, possibly without reporting it.
    bool abandoned = e.attempt >= 0 && e.endpoint_sent;
    e.stream = stream;
    e.awaits_decision = true;
    if (abandoned) end_attempt(e, Status::Cancelled);
    if (e.final_reply) return send_final_reply(e);
    if (e.attempt >= 0)
      send_endpoint(e);  // decided while no stream was open
    else
      core_.on_client_resumed(e.id);
    return;
  }
  const robinseam::ClassSettings* type = core_.find_class(r.class_name);
  bool repeatable = type ? type->effect == robinseam::Effect::Repeatable : !r.write;
  // A further attempt of a request that this router does not know. An earlier attempt may have run,
  // before a restart or through another router, and without an idempotency key the servers cannot
  // drop the duplicate.
  if (caller_attempt > 1 && !repeatable && r.idempotency_key.empty()) {
    ++counts_.failed;
    streams_.erase(stream);
    return send_immediate_response(stream, 503, "failed");
  }
  auto owner = std::make_unique<TrackedRequest>(*this);
  TrackedRequest& e = *owner;
  switch (core_.submit(std::move(r), e, *this, e.id)) {
    case Core::SubmitResult::Accepted:
      break;
    case Core::SubmitResult::InvalidClass:
      return reject_invalid(stream, options_.class_header);
    case Core::SubmitResult::IdInUse:
      return reject_invalid(stream, options_.id_header);
    case Core::SubmitResult::TableFull:
    case Core::SubmitResult::ShuttingDown:
      ++counts_.refused;
      streams_.erase(stream);
      send_immediate_response(stream, 429, "busy");
      return;
  }
  e.request_id = request_id;
  e.stream = stream;
  e.awaits_decision = true;
  e.caller_attempt = caller_attempt;
  streams_[stream] = request_id;
  by_id_[e.id] = &e;
  requests_[request_id] = std::move(owner);
}

void Processor::on_response_headers(StreamId stream, const pb::HttpHeaders& message,
                                    const std::string& served_endpoint) {
  auto at = streams_.find(stream);
  if (at->second.empty()) {
    ++counts_.invalid;
    close_stream(stream);
    return output_.finish(stream, grpc::Status::InvalidArgument, "response_headers came first");
  }
  Response response;
  response.mutable_response_headers();
  send_response(stream, response);
  auto it = requests_.find(at->second);
  // Ignore late reports of an attempt that was already abandoned.
  if (it == requests_.end() || it->second->stream != stream) return;
  TrackedRequest& e = *it->second;
  if (e.attempt < 0 || !e.endpoint_sent) return;
  Headers headers = lower_case_headers(message);
  AttemptResult result;
  if (std::string text = header_value(headers, "endpoint-load-metrics"); !text.empty())
    result.report = parse_orca_report(text, fields_).value_or(std::vector<double>());
  else if (std::string bin = header_value(headers, "endpoint-load-metrics-bin"); !bin.empty())
    result.report = parse_orca_report_bin(bin, fields_).value_or(std::vector<double>());
  auto code = parse_non_negative(header_value(headers, ":status"));
  Status status = Status::Malformed;
  if (!served_endpoint.empty() && served_endpoint != e.address) {
    ++counts_.other_endpoint;  // the answer of another server says nothing about this attempt
    result = {};
  } else if (code && *code >= 200 && *code < 500) {
    status = *code == 429 ? Status::Rejected : Status::Ok;
  } else if (code && *code >= 500 && *code < 600) {
    status = *code == 503 && headers.count("retry-after") ? Status::Rejected : Status::Error;
  }
  ++counts_.reported;
  end_attempt(e, status, std::move(result));
}

void Processor::end_attempt(TrackedRequest& e, Status status, AttemptResult&& result) {
  int attempt = std::exchange(e.attempt, -1);
  e.endpoint_sent = false;
  // The next attempt is decided only when the caller asks for it. Otherwise callers that never
  // return, or that have no retries left, would fill the servers' limits with attempts that nobody
  // sends.
  core_.on_attempt_ended(e.id, attempt, status, std::move(result), status != Status::Ok);
}

// ---- decisions ----

void Processor::send(const std::string& server, RequestId id, int attempt, const Request&, Micros) {
  auto it = by_id_.find(id);
  std::string address = it == by_id_.end() ? std::string() : address_of_(server);
  if (address.empty()) {
    core_.on_attempt_ended(id, attempt, Status::ConnectFailed, {});
    return;
  }
  TrackedRequest& e = *it->second;
  // The caller sends one attempt at a time, so a hedge is never sent. If it replaced the first
  // attempt, it would take that attempt's report, and the first would time out although no server
  // was slow.
  if (e.attempt >= 0) {
    core_.on_attempt_ended(id, attempt, Status::NotSent, {});
    return;
  }
  e.attempt = attempt;
  e.endpoint_sent = false;
  e.address = std::move(address);
  if (e.awaits_decision)
    send_endpoint(e);  // otherwise it waits for the caller, at most until the attempt timeout
}

Status Processor::cancel(const std::string&, RequestId id, int attempt) {
  auto it = by_id_.find(id);
  if (it == by_id_.end() || it->second->attempt != attempt) return Status::Cancelled;
  TrackedRequest& e = *it->second;
  bool endpoint_sent = std::exchange(e.endpoint_sent, false);
  e.attempt = -1;
  return endpoint_sent ? Status::Cancelled : Status::NotSent;
}

void Processor::send_endpoint(TrackedRequest& e) {
  e.awaits_decision = false;
  e.endpoint_sent = true;
  ++counts_.picked;
  Response response;
  auto* common = response.mutable_request_headers()->mutable_response();
  set_header(*common->mutable_header_mutation(), kEndpointKey, e.address);
  common->set_clear_route_cache(true);
  auto& lb = (*response.mutable_dynamic_metadata()->mutable_fields())[kMetadataNamespace];
  (*lb.mutable_struct_value()->mutable_fields())[kEndpointKey].set_string_value(e.address);
  auto* mode_override = response.mutable_mode_override();
  mode_override->set_response_header_mode(mode::ProcessingMode::SEND);
  mode_override->set_request_trailer_mode(mode::ProcessingMode::SKIP);
  mode_override->set_response_trailer_mode(mode::ProcessingMode::SKIP);
  send_response(e.stream, response);
}

/// Takes the core's final reply. If no caller waits for it, it is kept for a later attempt.
void Processor::on_final_reply(TrackedRequest& e, Reply&& reply) {
  if (reply.kind == Reply::Kind::Served) return remove(std::string(e.request_id));
  e.final_reply = std::move(reply);
  e.expires_at = clock_.now() + core_.longest_deadline();
  if (e.awaits_decision) send_final_reply(e);
}

void Processor::send_final_reply(TrackedRequest& e) {
  bool refused = e.final_reply->kind == Reply::Kind::Refused;
  ++(refused ? counts_.refused : counts_.failed);
  StreamId stream = e.stream;
  Micros retry_after = e.final_reply->retry_after;
  streams_.erase(stream);
  remove(std::string(e.request_id));
  send_immediate_response(stream, refused ? 429 : 503, refused ? "busy" : "failed", retry_after);
}

void Processor::reject_invalid(StreamId stream, const std::string& header) {
  ++counts_.invalid;
  streams_.erase(stream);
  send_immediate_response(stream, 400, header);
}

void Processor::send_immediate_response(StreamId stream, int code, const std::string& body,
                                        Micros retry_after) {
  Response response;
  auto* immediate = response.mutable_immediate_response();
  immediate->mutable_status()->set_code(static_cast<envoy::type::v3::StatusCode>(code));
  immediate->set_body(body);
  immediate->set_details("wheeldeal: " + body);
  if (retry_after > 0) {
    std::int64_t ms = (retry_after + kMillisecond - 1) / kMillisecond;
    set_header(*immediate->mutable_headers(), "retry-after", std::to_string((ms + 999) / 1000));
    set_header(*immediate->mutable_headers(), "retry-after-ms", std::to_string(ms));
  }
  send_response(stream, response);
  output_.finish(stream, grpc::Status::Ok, "");
}

void Processor::send_response(StreamId stream, const Response& response) {
  output_.send_message(stream, response.SerializeAsString());
}

void Processor::remove(const std::string& request_id) {
  auto it = requests_.find(request_id);
  if (it == requests_.end()) return;
  by_id_.erase(it->second->id);
  requests_.erase(it);
}

void Processor::expire_replies() {
  Micros now = clock_.now();
  std::erase_if(requests_, [&](const auto& entry) {
    bool expired = entry.second->final_reply && now >= entry.second->expires_at;
    if (expired) by_id_.erase(entry.second->id);
    return expired;
  });
}

}  // namespace arrowfork::extproc
