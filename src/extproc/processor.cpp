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

const char* const kEndpoint = "x-gateway-destination-endpoint";
const char* const kServedBy = "x-gateway-destination-endpoint-served";
const char* const kMetadata = "envoy.lb";
constexpr std::size_t kMaxKey = 250, kMaxName = 64;  // as for the other fronts

using Headers = std::unordered_map<std::string, std::string>;

/// Names in lower case; of a name that comes twice the first counts.
Headers read(const pb::HttpHeaders& headers) {
  Headers all;
  for (const auto& h : headers.headers().headers()) {
    std::string name = h.key();
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    all.emplace(std::move(name), h.raw_value().empty() ? h.value() : h.raw_value());
  }
  return all;
}

std::string value_of(const Headers& headers, const std::string& name) {
  auto at = headers.find(name);
  return at == headers.end() ? std::string() : at->second;
}

bool printable(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 32 && c < 127; });
}

std::optional<std::int64_t> whole_number(const std::string& text) {
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

/// One request, over all streams that its caller opens for it.
struct Processor::Exchange final : ReplySink {
  explicit Exchange(Processor& processor) : processor(processor) {}
  void on_reply(const Request&, Reply&& reply) override {
    processor.settle_final(*this, std::move(reply));
  }
  Processor& processor;
  std::string name;
  RequestId id = 0;
  StreamId stream = 0;     // the last that came for it; 0 once it has gone
  bool waiting = false;    // that stream waits for a decision
  std::int64_t count = 0;  // the caller's number of the attempt
  int attempt = -1;        // the core's, while it is out
  bool told = false;       // the caller knows its endpoint: it may run
  std::string address;
  std::optional<Reply> last;  // the final answer, for which nobody was there
  Micros forget_at = 0;
};

Processor::Processor(Core& core, const TimeSource& clock, Output& output, Rules rules,
                     const std::vector<robinseam::ReportField>& fields,
                     std::function<std::string(const std::string&)> address_of)
    : core_(core),
      clock_(clock),
      output_(output),
      rules_(std::move(rules)),
      fields_(fields),
      address_of_(std::move(address_of)) {}

Processor::~Processor() = default;

// ---- streams ----

void Processor::on_open(StreamId stream) {
  if (streams_.size() >= rules_.streams) {
    ++counts_.too_many;
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
    ++counts_.bad;
    leave(stream);
    output_.finish(stream, grpc::Status::InvalidArgument, "no ProcessingRequest");
    return;
  }
  Response response;
  switch (request.request_case()) {
    case pb::ProcessingRequest::kRequestHeaders:
      if (at->second.empty()) return request_headers(stream, request.request_headers());
      ++counts_.bad;
      leave(stream);
      return output_.finish(stream, grpc::Status::InvalidArgument, "request_headers twice");
    case pb::ProcessingRequest::kResponseHeaders: {
      const auto& metadata = request.metadata_context().filter_metadata();
      std::string served_by;
      if (auto lb = metadata.find(kMetadata); lb != metadata.end())
        if (auto one = lb->second.fields().find(kServedBy); one != lb->second.fields().end())
          served_by = one->second.string_value();
      return response_headers(stream, request.response_headers(), served_by);
    }
    // Let through unread; the processing mode does not ask for them.
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
      return;  // a member of a later version: nothing is due that would be known
  }
  write(stream, response);
}

void Processor::on_half_close(StreamId stream) {
  if (!streams_.count(stream)) return;
  leave(stream);
  output_.finish(stream, grpc::Status::Ok, "");
}

void Processor::on_gone(StreamId stream) { leave(stream); }

/// What a stream that ends proves: before its endpoint was told, that nobody waits; after, that its
/// caller gave the attempt up, which may have run: nothing of the server, but for the time it took.
void Processor::leave(StreamId stream) {
  auto at = streams_.find(stream);
  if (at == streams_.end()) return;
  std::string name = std::move(at->second);
  streams_.erase(at);
  auto it = exchanges_.find(name);
  if (it == exchanges_.end() || it->second->stream != stream) return;
  Exchange& e = *it->second;
  e.stream = 0;
  if (std::exchange(e.waiting, false)) {
    core_.gone(e.id);
    forget(name);
  } else if (e.attempt >= 0 && e.told) {
    ++counts_.unreported;
    end_attempt(e, Status::Cancelled);
  }
}

// ---- requests ----

void Processor::request_headers(StreamId stream, const pb::HttpHeaders& message) {
  Headers headers = read(message);
  Request r;
  r.key = value_of(headers, rules_.key);
  if (r.key.empty() || r.key.size() > kMaxKey || !printable(r.key)) return bad(stream, rules_.key);
  r.id = value_of(headers, rules_.id);
  if (r.id.empty() || r.id.size() > kMaxName || !printable(r.id)) return bad(stream, rules_.id);
  std::string method = value_of(headers, ":method");
  r.write = method != "GET" && method != "HEAD" && !method.empty();
  r.type = value_of(headers, rules_.type);
  if (r.type.empty()) r.type = r.write ? rules_.write_type : rules_.read_type;
  const robinseam::ClassSettings* type = core_.class_of(r.type);
  if (!type) return bad(stream, rules_.type);
  r.tenant = value_of(headers, rules_.tenant);
  if (r.tenant.empty()) r.tenant = rules_.first_tenant;
  if (r.tenant.size() > kMaxKey || !printable(r.tenant)) return bad(stream, rules_.tenant);
  r.idempotency = value_of(headers, rules_.idempotency);
  if (r.idempotency.size() > kMaxName || !printable(r.idempotency))
    return bad(stream, rules_.idempotency);
  r.patience = type->deadline;
  if (std::string text = value_of(headers, rules_.deadline); !text.empty()) {
    auto ms = whole_number(text);
    if (!ms) return bad(stream, rules_.deadline);
    r.patience = std::min<std::int64_t>(*ms, 1'000'000'000) * kMillisecond;
  }
  std::int64_t count = 1;
  if (std::string text = value_of(headers, rules_.attempt); !text.empty()) {
    auto number = whole_number(text);
    if (!number) return bad(stream, rules_.attempt);
    count = *number;
  }
  r.repeat = count > 1;
  std::string name = r.id;
  if (auto it = exchanges_.find(name); it != exchanges_.end()) {
    Exchange& e = *it->second;
    if (count <= e.count) return bad(stream, rules_.id);  // the same attempt twice
    ++counts_.continued;
    e.count = count;
    streams_[stream] = name;
    // The caller has given the last attempt up, and may have done so without a word.
    bool gave_up = e.attempt >= 0 && e.told;
    e.stream = stream;
    e.waiting = true;
    if (gave_up) end_attempt(e, Status::Cancelled);
    if (e.last) return give_final(e);
    if (e.attempt >= 0)
      tell(e);  // decided while nobody was there
    else
      core_.again(e.id);
    return;
  }
  // A further attempt of a write that is not known here: an earlier one may have run, before a
  // restart or by another router's word, and nothing drops the repeat.
  if (count > 1 && r.write && r.idempotency.empty()) {
    ++counts_.failed;
    streams_.erase(stream);
    return immediate(stream, 503, "failed");
  }
  auto owner = std::make_unique<Exchange>(*this);
  Exchange& e = *owner;
  switch (core_.take(std::move(r), e, *this, e.id)) {
    case Core::Taken::Yes:
      break;
    case Core::Taken::BadClass:
      return bad(stream, rules_.type);
    case Core::Taken::IdInUse:
      return bad(stream, rules_.id);
    case Core::Taken::Busy:
      ++counts_.refused;
      streams_.erase(stream);
      immediate(stream, 429, "busy");
      return;
  }
  e.name = name;
  e.stream = stream;
  e.waiting = true;
  e.count = count;
  streams_[stream] = name;
  by_id_[e.id] = &e;
  exchanges_[name] = std::move(owner);
}

void Processor::response_headers(StreamId stream, const pb::HttpHeaders& message,
                                 const std::string& served_by) {
  auto at = streams_.find(stream);
  if (at->second.empty()) {
    ++counts_.bad;
    leave(stream);
    return output_.finish(stream, grpc::Status::InvalidArgument, "response_headers came first");
  }
  Response response;
  response.mutable_response_headers();
  write(stream, response);
  auto it = exchanges_.find(at->second);
  // Late news of an attempt that was given up before says nothing any more.
  if (it == exchanges_.end() || it->second->stream != stream) return;
  Exchange& e = *it->second;
  if (e.attempt < 0 || !e.told) return;
  Headers headers = read(message);
  AttemptResult result;
  if (std::string text = value_of(headers, "endpoint-load-metrics"); !text.empty())
    result.report = orca_report(text, fields_).value_or(std::vector<double>());
  else if (std::string bin = value_of(headers, "endpoint-load-metrics-bin"); !bin.empty())
    result.report = orca_report_bin(bin, fields_).value_or(std::vector<double>());
  auto code = whole_number(value_of(headers, ":status"));
  Status status = Status::Malformed;
  if (!served_by.empty() && served_by != e.address) {
    ++counts_.other_endpoint;  // what another server did says nothing of this one's attempt
    result = {};
  } else if (code && *code >= 200 && *code < 500) {
    status = *code == 429 ? Status::Rejected : Status::Ok;
  } else if (code && *code >= 500 && *code < 600) {
    status = *code == 503 && headers.count("retry-after") ? Status::Rejected : Status::Error;
  }
  ++counts_.reported;
  end_attempt(e, status, std::move(result));
}

void Processor::end_attempt(Exchange& e, Status status, AttemptResult&& result) {
  int attempt = std::exchange(e.attempt, -1);
  e.told = false;
  // A further attempt is decided when the caller comes for it: one that never comes, or whose
  // retries are used up, would fill the servers' limits with attempts that nobody carries.
  core_.attempt_ended(e.id, attempt, status, std::move(result), status != Status::Ok);
}

// ---- decisions ----

void Processor::send(const std::string& server, RequestId id, int attempt, const Request&, Micros) {
  auto it = by_id_.find(id);
  std::string address = it == by_id_.end() ? std::string() : address_of_(server);
  if (address.empty()) {
    core_.attempt_ended(id, attempt, Status::ConnectFailed, {});
    return;
  }
  Exchange& e = *it->second;
  // The caller carries one attempt at a time: a second copy is never sent. Put in the first one's
  // place it took that one's report, and the first ran into a time-out that no server had caused.
  if (e.attempt >= 0) {
    core_.attempt_ended(id, attempt, Status::NotSent, {});
    return;
  }
  e.attempt = attempt;
  e.told = false;
  e.address = std::move(address);
  if (e.waiting) tell(e);  // else it waits for the caller, at most its patience
}

Status Processor::cancel(const std::string&, RequestId id, int attempt) {
  auto it = by_id_.find(id);
  if (it == by_id_.end() || it->second->attempt != attempt) return Status::Cancelled;
  Exchange& e = *it->second;
  bool told = std::exchange(e.told, false);
  e.attempt = -1;
  return told ? Status::Cancelled : Status::NotSent;
}

void Processor::tell(Exchange& e) {
  e.waiting = false;
  e.told = true;
  ++counts_.picked;
  Response response;
  auto* common = response.mutable_request_headers()->mutable_response();
  set_header(*common->mutable_header_mutation(), kEndpoint, e.address);
  common->set_clear_route_cache(true);
  auto& lb = (*response.mutable_dynamic_metadata()->mutable_fields())[kMetadata];
  (*lb.mutable_struct_value()->mutable_fields())[kEndpoint].set_string_value(e.address);
  auto* only = response.mutable_mode_override();
  only->set_response_header_mode(mode::ProcessingMode::SEND);
  only->set_request_trailer_mode(mode::ProcessingMode::SKIP);
  only->set_response_trailer_mode(mode::ProcessingMode::SKIP);
  write(e.stream, response);
}

/// The core's last word. Where nobody waits for it, it is kept for an attempt that may come.
void Processor::settle_final(Exchange& e, Reply&& reply) {
  if (reply.kind == Reply::Kind::Served) return forget(std::string(e.name));
  e.last = std::move(reply);
  e.forget_at = clock_.now() + core_.longest_deadline();
  if (e.waiting) give_final(e);
}

void Processor::give_final(Exchange& e) {
  bool refused = e.last->kind == Reply::Kind::Refused;
  ++(refused ? counts_.refused : counts_.failed);
  StreamId stream = e.stream;
  Micros come_back = e.last->come_back;
  streams_.erase(stream);
  forget(std::string(e.name));
  immediate(stream, refused ? 429 : 503, refused ? "busy" : "failed", come_back);
}

void Processor::bad(StreamId stream, const std::string& field) {
  ++counts_.bad;
  streams_.erase(stream);
  immediate(stream, 400, field);
}

void Processor::immediate(StreamId stream, int code, const std::string& body, Micros come_back) {
  Response response;
  auto* now = response.mutable_immediate_response();
  now->mutable_status()->set_code(static_cast<envoy::type::v3::StatusCode>(code));
  now->set_body(body);
  now->set_details("wheeldeal: " + body);
  if (come_back > 0) {
    std::int64_t ms = (come_back + kMillisecond - 1) / kMillisecond;
    set_header(*now->mutable_headers(), "retry-after", std::to_string((ms + 999) / 1000));
    set_header(*now->mutable_headers(), "retry-after-ms", std::to_string(ms));
  }
  write(stream, response);
  output_.finish(stream, grpc::Status::Ok, "");
}

void Processor::write(StreamId stream, const Response& response) {
  output_.message(stream, response.SerializeAsString());
}

void Processor::forget(const std::string& name) {
  auto it = exchanges_.find(name);
  if (it == exchanges_.end()) return;
  by_id_.erase(it->second->id);
  exchanges_.erase(it);
}

void Processor::sweep() {
  Micros now = clock_.now();
  std::erase_if(exchanges_, [&](const auto& entry) {
    bool over = entry.second->last && now >= entry.second->forget_at;
    if (over) by_id_.erase(entry.second->id);
    return over;
  });
}

}  // namespace arrowfork::extproc
