#include "discovery.hpp"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cstdio>

namespace arrowfork {
namespace {

// An answer that has begun is whole this soon, or will not be: a list is written at once, and of a
// watch that stops short in it the change counts as told 6 s later, whatever its wait (seen:
// calm+disco+brink+mass 10, an answer that stopped at 3.25 s, drains broken from 10.13 s on).
constexpr Micros kAnswerTime = 1500 * kMillisecond;
// After that it is heard out for so long, beside other calls.
constexpr Micros kStalledTime = 4 * kSecond;
// A sixteenth of the smallest deployment's 32 MB: as JSON in memory a list takes several times its
// text. 1,024 servers with ids and addresses of 250 characters, indented, are 0.8 MB; of usual
// length 0.3 MB.
constexpr ev_ssize_t kMaxBody = 2 << 20;
constexpr ev_ssize_t kMaxHeaders = 16 << 10;

// Lines about calls: what a restart or an outage brings in its first seconds, then one a second.
constexpr double kCallLines = 40, kCallLinesPerSecond = 1;

}  // namespace

DiscoveryCall::DiscoveryCall(event_base* base, const TimeSource& clock, Counts& counts, Done done)
    : base_(base), clock_(clock), counts_(counts), done_(std::move(done)) {
  ready_.reset(event_new(base, -1, 0, on_ready, this));
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
  fault_ = CallFailure::Refused;
  begun_ = stalled_ = false;
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
  evhttp_connection_set_max_body_size(connection_.get(), kMaxBody);
  evhttp_connection_set_max_headers_size(connection_.get(), kMaxHeaders);
  limit_ = call.timeout;
  evbuffer_add_cb(bufferevent_get_input(evhttp_connection_get_bufferevent(connection_.get())),
                  on_bytes, this);
  // For the whole call: evhttp's own time-outs begin again with every byte that trickles in.
  timeval limit_tv = timeval_of(call.timeout);
  event_add(ready_.get(), &limit_tv);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", authority_.c_str());
  evhttp_add_header(headers, "Connection", "close");
  if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, call.path.c_str()) != 0)
    event_active(ready_.get(), 0, 0);
}

/// The answer's first bytes: its time is another from here on.
void DiscoveryCall::on_bytes(evbuffer*, const evbuffer_cb_info* info, void* self) {
  auto* call = static_cast<DiscoveryCall*>(self);
  if (info->n_added == 0 || std::exchange(call->begun_, true)) return;
  call->trace_.first_byte = call->clock_.now();
  timeval limit = timeval_of(std::min(call->limit_, kAnswerTime));
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
      call->result_ = parse_answer(text);
    } catch (const ConfigError& e) {
      call->bad(e.what());
    }
  }
  event_active(call->ready_.get(), 0, 0);
}

void DiscoveryCall::bad(const char* what) {
  ++counts_.invalid;
  fault_ = CallFailure::Malformed;
  std::fprintf(stderr, "arrowfork: discovery %s: %s\n", authority_.c_str(), what);
}

/// Before on_answer, which then has no request. What could not be reached, or was too slow, is no
/// bad answer.
void DiscoveryCall::on_error(evhttp_request_error error, void* self) {
  auto* call = static_cast<DiscoveryCall*>(self);
  // Ended without a word is one of discovery's ways to turn a call away.
  bool begun = call->request_ && evhttp_request_get_response_code(call->request_) != 0;
  if (error == EVREQ_HTTP_EOF && begun) call->bad("the answer broke off");
  if (error == EVREQ_HTTP_INVALID_HEADER) call->bad("the answer's head can't be read");
  if (error == EVREQ_HTTP_DATA_TOO_LONG) call->bad("an answer without end");
}

/// A server that writes slowly may go on: whoever waits is told, and the answer is taken if it
/// comes.
void DiscoveryCall::stall() {
  stalled_ = true;
  bad("the answer stopped short");
  ++counts_.failed;
  timeval rest = timeval_of(kStalledTime);
  event_add(ready_.get(), &rest);
  done_(id_, {std::nullopt, fault_, true});
}

void DiscoveryCall::on_ready(evutil_socket_t, short what, void* self) {
  auto* call = static_cast<DiscoveryCall*>(self);
  if ((what & EV_TIMEOUT) && call->begun_ && !call->stalled_) {
    call->stall();
    return;
  }
  if (what & EV_TIMEOUT) {
    call->fault_ = CallFailure::TimedOut;
    call->counts_.timed_out += !call->stalled_;
  }
  call->connection_.reset();
  call->request_ = nullptr;
  std::optional<HostList> result = std::exchange(call->result_, std::nullopt);
  call->counts_.failed += !result && !call->stalled_;
  call->done_(call->id_, {std::move(result), call->fault_});
}

Discovery::Discovery(event_base* base, const TimeSource& clock, const std::string& address,
                     const HostList& known, const ListSubscription::Options& options,
                     Handler& handler)
    : base_(base), clock_(clock), handler_(handler), call_lines_(kCallLines, kCallLinesPerSecond) {
  due_.reset(event_new(base, -1, 0, on_due, this));
  subscription_ = std::make_unique<ListSubscription>(
      address, known, options, clock_.now(), static_cast<ListTransport&>(*this),
      static_cast<ListSubscription::Handler&>(*this));
  arm();
}

Discovery::~Discovery() = default;

void Discovery::move_to(const std::string& address) {
  subscription_->change_address(address, clock_.now());
  arm();
}

void Discovery::watch() {
  subscription_->watch(clock_.now());
  arm();
}

void Discovery::look_again(Micros span) {
  subscription_->poll_within(clock_.now(), span);
  arm();
}

void Discovery::fetch() {
  subscription_->fetch_full_list(clock_.now());
  arm();
}

void Discovery::stop() {
  subscription_->stop();
  arm();
}

void Discovery::start(const ListCall& call) {
  auto free =
      std::find_if(calls_.begin(), calls_.end(), [](const auto& one) { return !one->in_flight(); });
  if (free == calls_.end()) {
    auto done = [this](int id, ListResult result) {
      log_end(id, result);
      subscription_->on_call_ended(id, std::move(result), clock_.now());
      arm();
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

void Discovery::log_end(int id, const ListResult& result) {
  auto of_id = [id](const auto& one) { return one->id() == id; };
  auto call = std::find_if(calls_.begin(), calls_.end(), of_id);
  if (call == calls_.end()) return;
  const HostList* list = result.list ? &*result.list : nullptr;
  log_call(**call, list ? "answered" : name_of(result.failure), list);
}

void Discovery::log_call(const DiscoveryCall& call, const char* end, const HostList* list) {
  Micros now = clock_.now();
  if (!call_lines_.allow(now)) return;
  const DiscoveryCall::Trace& trace = call.trace();
  std::string query = trace.path.substr(std::min(trace.path.find('?'), trace.path.size()));
  std::string text = "call=" + std::to_string(call.id()) + " query=" + query + " end=" + end;
  text += " took_ms=" + std::to_string((now - trace.started) / kMillisecond);
  if (trace.first_byte > 0)
    text += " first_byte_ms=" + std::to_string((trace.first_byte - trace.started) / kMillisecond);
  if (trace.status != 0) text += " status=" + std::to_string(trace.status);
  if (list) {
    auto leaves = [](const Host& h) { return h.server.health != robinseam::Health::Ready; };
    text += " seq=" + list->version + (list->full ? " whole=" : " changed=") +
            std::to_string(list->hosts.size()) + " leaving=" +
            std::to_string(std::count_if(list->hosts.begin(), list->hosts.end(), leaves));
  }
  if (auto missing = call_lines_.take_suppressed())
    text += " suppressed=" + std::to_string(missing);
  std::fprintf(stderr, "arrowfork: discovery: %s\n", text.c_str());
}

void Discovery::on_hosts(HostList&& list) {
  refused_for_.clear();
  handler_.on_hosts(std::move(list));
}

void Discovery::on_list_rejected(const std::string& reason) {
  ++counts_.failed, ++counts_.invalid;
  if (refused_for_ != reason)
    std::fprintf(stderr, "arrowfork: discovery: the held list stays: %s\n", reason.c_str());
  refused_for_ = reason;
}

void Discovery::arm() {
  event_del(due_.get());
  Micros next = subscription_->next();
  if (next == ListSubscription::CallSchedule::kNever) return;
  timeval wait = timeval_of(std::max<Micros>(0, next - clock_.now()));
  event_add(due_.get(), &wait);
}

void Discovery::on_due(evutil_socket_t, short, void* self) {
  auto* discovery = static_cast<Discovery*>(self);
  discovery->subscription_->advance(discovery->clock_.now());
  discovery->arm();
}

}  // namespace arrowfork
