#include "discovery.hpp"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cstdio>

namespace arrowfork {
namespace {

// An answer that has started must be complete within this time, else it counts as stalled:
// discovery writes a list at once, and a change in an answer that stalls counts as notified 6 s
// later, however long the watch may wait. (Seen in calm+disco+brink+mass 10: an answer stalled at
// 3.25 s, and sends to the draining server broke the rule from 10.13 s on.)
constexpr Micros kAnswerTimeout = 1500 * kMillisecond;
// A stalled answer may still complete for this time, beside other calls.
constexpr Micros kStalledAnswerTime = 4 * kSecond;
// A sixteenth of the smallest deployment's 32 MB: parsed JSON takes several times the memory of its
// text. 1,024 servers with ids and addresses of 250 characters, indented, are 0.8 MB; of usual
// length 0.3 MB.
constexpr ev_ssize_t kMaxBodyBytes = 2 << 20;
constexpr ev_ssize_t kMaxHeaderBytes = 16 << 10;

// Log lines about calls: a burst for the first seconds of a restart or an outage, then one a
// second.
constexpr double kCallLogBurst = 40, kCallLogLinesPerSecond = 1;

}  // namespace

DiscoveryCall::DiscoveryCall(event_base* base, const TimeSource& clock, Counts& counts,
                             Callback done)
    : base_(base), clock_(clock), counts_(counts), callback_(std::move(done)) {
  ready_.reset(event_new(base, -1, 0, on_result_or_timeout, this));
}

DiscoveryCall::~DiscoveryCall() = default;

void DiscoveryCall::stop() {
  connection_.reset();
  request_ = nullptr;
  result_.reset();
  event_del(ready_.get());
}

void DiscoveryCall::start(const ListCall& call) {
  stop();
  id_ = call.id;
  authority_ = call.address;
  const std::string host = call.address.substr(0, call.address.rfind(':'));
  auto parsed = parse_address(call.address);
  std::uint16_t port = parsed ? ntohs(parsed->sin_port) : 0;
  failure_ = CallFailure::Refused;
  answer_started_ = stalled_ = false;
  trace_ = {call.path, clock_.now(), 0, 0};
  ++counts_.calls;
  connection_.reset(evhttp_connection_base_new(base_, nullptr, host.c_str(), port));
  evhttp_request* request = connection_ ? evhttp_request_new(on_answer, this) : nullptr;
  request_ = request;
  if (!request) {
    event_active(ready_.get(), 0, 0);
    return;
  }
  evhttp_request_set_error_cb(request, on_error);
  evhttp_connection_set_max_body_size(connection_.get(), kMaxBodyBytes);
  evhttp_connection_set_max_headers_size(connection_.get(), kMaxHeaderBytes);
  timeout_ = call.timeout;
  evbuffer_add_cb(bufferevent_get_input(evhttp_connection_get_bufferevent(connection_.get())),
                  on_answer_bytes, this);
  // For the whole call: evhttp's own timeouts start anew with every byte.
  timeval limit_tv = timeval_of(call.timeout);
  event_add(ready_.get(), &limit_tv);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", authority_.c_str());
  evhttp_add_header(headers, "Connection", "close");
  if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, call.path.c_str()) != 0)
    event_active(ready_.get(), 0, 0);
}

/// From the first bytes of the answer on, the answer timeout applies.
void DiscoveryCall::on_answer_bytes(evbuffer*, const evbuffer_cb_info* info, void* self) {
  auto* call = static_cast<DiscoveryCall*>(self);
  if (info->n_added == 0 || std::exchange(call->answer_started_, true)) return;
  call->trace_.first_byte = call->clock_.now();
  timeval limit = timeval_of(std::min(call->timeout_, kAnswerTimeout));
  event_add(call->ready_.get(), &limit);
}

void DiscoveryCall::on_answer(evhttp_request* request, void* self) {
  auto* call = static_cast<DiscoveryCall*>(self);
  call->result_.reset();
  call->request_ = nullptr;
  if (request) call->trace_.status = evhttp_request_get_response_code(request);
  if (request && evhttp_request_get_response_code(request) == 200) {
    evbuffer* body = evhttp_request_get_input_buffer(request);
    std::size_t size = evbuffer_get_length(body);
    std::string text(size, '\0');
    evbuffer_copyout(body, text.data(), size);
    try {
      call->result_ = parse_discovery_answer(text);
    } catch (const ConfigError& e) {
      call->record_invalid_answer(e.what());
    }
  }
  event_active(call->ready_.get(), 0, 0);
}

void DiscoveryCall::record_invalid_answer(const char* reason) {
  ++counts_.invalid;
  failure_ = CallFailure::Malformed;
  std::fprintf(stderr, "arrowfork: discovery %s: %s\n", authority_.c_str(), reason);
}

/// Called before on_answer, which then gets no request. Connection failures and timeouts do not
/// count as invalid answers.
void DiscoveryCall::on_error(evhttp_request_error error, void* self) {
  auto* call = static_cast<DiscoveryCall*>(self);
  // Discovery may reject a call by closing the connection without an answer.
  bool answer_started = call->request_ && evhttp_request_get_response_code(call->request_) != 0;
  if (error == EVREQ_HTTP_EOF && answer_started)
    call->record_invalid_answer("the connection was closed before the answer was complete");
  if (error == EVREQ_HTTP_INVALID_HEADER) call->record_invalid_answer("invalid HTTP response head");
  if (error == EVREQ_HTTP_DATA_TOO_LONG) call->record_invalid_answer("the answer is too large");
}

/// Reports the failure, but keeps the call: a server that writes slowly may still complete its
/// answer, which is then used.
void DiscoveryCall::on_stalled() {
  stalled_ = true;
  record_invalid_answer("the answer stalled before it was complete");
  ++counts_.failed;
  timeval rest = timeval_of(kStalledAnswerTime);
  event_add(ready_.get(), &rest);
  callback_(id_, {std::nullopt, failure_, true});
}

void DiscoveryCall::on_result_or_timeout(evutil_socket_t, short what, void* self) {
  auto* call = static_cast<DiscoveryCall*>(self);
  if ((what & EV_TIMEOUT) && call->answer_started_ && !call->stalled_) {
    call->on_stalled();
    return;
  }
  if (what & EV_TIMEOUT) {
    call->failure_ = CallFailure::TimedOut;
    call->counts_.timed_out += !call->stalled_;
  }
  call->connection_.reset();
  call->request_ = nullptr;
  std::optional<HostList> result = std::exchange(call->result_, std::nullopt);
  call->counts_.failed += !result && !call->stalled_;
  call->callback_(call->id_, {std::move(result), call->failure_});
}

Discovery::Discovery(event_base* base, const TimeSource& clock, const std::string& address,
                     const HostList& known, const ListSubscription::Options& options,
                     Handler& handler)
    : base_(base),
      clock_(clock),
      handler_(handler),
      call_log_limit_(kCallLogBurst, kCallLogLinesPerSecond) {
  timer_.reset(event_new(base, -1, 0, on_timer, this));
  subscription_ = std::make_unique<ListSubscription>(
      address, known, options, clock_.now(), static_cast<ListTransport&>(*this),
      static_cast<ListSubscription::Handler&>(*this));
  schedule_timer();
}

Discovery::~Discovery() = default;

void Discovery::change_address(const std::string& address) {
  subscription_->change_address(address, clock_.now());
  schedule_timer();
}

void Discovery::watch() {
  subscription_->watch(clock_.now());
  schedule_timer();
}

void Discovery::poll_within(Micros span) {
  subscription_->poll_within(clock_.now(), span);
  schedule_timer();
}

void Discovery::fetch_full_list() {
  subscription_->fetch_full_list(clock_.now());
  schedule_timer();
}

void Discovery::stop() {
  subscription_->stop();
  schedule_timer();
}

void Discovery::start(const ListCall& call) {
  auto free =
      std::find_if(calls_.begin(), calls_.end(), [](const auto& c) { return !c->in_flight(); });
  if (free == calls_.end()) {
    auto done = [this](int id, ListResult result) {
      log_ended_call(id, result);
      subscription_->on_call_ended(id, std::move(result), clock_.now());
      schedule_timer();
    };
    calls_.push_back(std::make_unique<DiscoveryCall>(base_, clock_, counts_, done));
    free = calls_.end() - 1;
  }
  (*free)->start(call);
}

void Discovery::cancel(int id, CancelReason reason) {
  for (auto& call : calls_) {
    if (!call->in_flight() || call->id() != id) continue;
    ++counts_.cancelled;
    log_call(*call, name_of(reason), nullptr);
    call->stop();
  }
}

void Discovery::log_ended_call(int id, const ListResult& result) {
  auto of_id = [id](const auto& call) { return call->id() == id; };
  auto call = std::find_if(calls_.begin(), calls_.end(), of_id);
  if (call == calls_.end()) return;
  const HostList* list = result.list ? &*result.list : nullptr;
  log_call(**call, list ? "answered" : name_of(result.failure), list);
}

void Discovery::log_call(const DiscoveryCall& call, const char* end, const HostList* list) {
  Micros now = clock_.now();
  if (!call_log_limit_.allow(now)) return;
  const DiscoveryCall::Trace& trace = call.trace();
  std::string query = trace.path.substr(std::min(trace.path.find('?'), trace.path.size()));
  std::string text = "call=" + std::to_string(call.id()) + " query=" + query + " end=" + end;
  text += " took_ms=" + std::to_string((now - trace.started) / kMillisecond);
  if (trace.first_byte > 0)
    text += " first_byte_ms=" + std::to_string((trace.first_byte - trace.started) / kMillisecond);
  if (trace.status != 0) text += " status=" + std::to_string(trace.status);
  if (list) {
    auto is_leaving = [](const Host& h) { return h.server.health != robinseam::Health::Ready; };
    text += " seq=" + list->version + (list->full ? " whole=" : " changed=") +
            std::to_string(list->hosts.size()) + " leaving=" +
            std::to_string(std::count_if(list->hosts.begin(), list->hosts.end(), is_leaving));
  }
  if (auto suppressed = call_log_limit_.take_suppressed())
    text += " suppressed=" + std::to_string(suppressed);
  std::fprintf(stderr, "arrowfork: discovery: %s\n", text.c_str());
}

void Discovery::on_hosts(HostList&& list) {
  last_rejection_reason_.clear();
  handler_.on_hosts(std::move(list));
}

void Discovery::on_list_rejected(const std::string& reason) {
  ++counts_.failed, ++counts_.invalid;
  if (last_rejection_reason_ != reason)
    std::fprintf(stderr, "arrowfork: discovery: list rejected, keeping the current one: %s\n",
                 reason.c_str());
  last_rejection_reason_ = reason;
}

void Discovery::schedule_timer() {
  event_del(timer_.get());
  Micros next = subscription_->next();
  if (next == ListSubscription::CallSchedule::kNever) return;
  timeval wait = timeval_of(std::max<Micros>(0, next - clock_.now()));
  event_add(timer_.get(), &wait);
}

void Discovery::on_timer(evutil_socket_t, short, void* self) {
  auto* discovery = static_cast<Discovery*>(self);
  discovery->subscription_->advance(discovery->clock_.now());
  discovery->schedule_timer();
}

}  // namespace arrowfork
