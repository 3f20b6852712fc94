#include "discovery_server.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace arrowfork::rig {
namespace {

using Json = nlohmann::json;

constexpr long kMaxWaitMs = 60'000;
constexpr Micros kSlowDelay = kSecond;
// Longer than any caller waits. The call is dropped when the caller disconnects.
constexpr Micros kSilentTimeout = 3600 * kSecond;

Json entry_to_json(const std::string& id, const DiscoveryServer::Entry& e) {
  return {{"host", id}, {"dial", e.dial},     {"site", e.site}, {"class", e.kind},
          {"block", 0}, {"health", e.health}, {"share", 1.0},   {"born_ms", e.started_ms}};
}

/// Whether the caller has closed or reset the connection. evhttp does not notice, as it reads
/// nothing while a call is open.
bool caller_has_disconnected(evhttp_request* request) {
  bufferevent* stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
  char byte;
  ssize_t got = ::recv(bufferevent_getfd(stream), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace

DiscoveryServer::DiscoveryServer(event_base* base) : base_(base) { add_port({}); }

DiscoveryServer::~DiscoveryServer() {
  for (auto& port : ports_) port->http.reset();  // calls back for the connections it closes
}

std::size_t DiscoveryServer::add_port(DialAddress dial) {
  auto port = std::make_unique<Port>();
  port->server = this, port->number = ports_.size(), port->dial = std::move(dial);
  port->http.reset(evhttp_new(base_));
  evhttp_bound_socket* bound =
      port->http ? evhttp_bind_socket_with_handle(port->http.get(), "127.0.0.1", 0) : nullptr;
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (!bound || ::getsockname(evhttp_bound_socket_get_fd(bound),
                              reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("discovery: cannot listen");
  port->port = ntohs(address.sin_port);
  port->bound = bound;
  evhttp_set_gencb(port->http.get(), on_call, port.get());
  ports_.push_back(std::move(port));
  return ports_.size() - 1;
}

void DiscoveryServer::close_port(std::size_t number, Micros grace) {
  Port& port = *ports_.at(number);
  if (!port.bound) return;
  evhttp_del_accept_socket(port.http.get(), std::exchange(port.bound, nullptr));
  port.close_timer.reset(event_new(base_, -1, 0, on_port_close, &port));
  timeval wait = timeval_of(grace);
  event_add(port.close_timer.get(), &wait);
}

void DiscoveryServer::on_port_close(evutil_socket_t, short, void* port) {
  auto* p = static_cast<Port*>(port);
  std::vector<evhttp_request*> open;
  for (const WaitingCall& w : p->server->waiting_)
    if (w.port == p) open.push_back(w.request);
  p->server->waiting_.remove_if([p](const WaitingCall& w) { return w.port == p; });
  for (evhttp_request* request : open)
    evhttp_connection_free(evhttp_request_get_connection(request));
}

void DiscoveryServer::put(const std::string& id, const Entry& entry) {
  hosts_[id] = {entry, ++version_};
  answer_watches();
}

void DiscoveryServer::put_with_earlier_entry(const std::string& id, const Entry& earlier,
                                             const Entry& entry) {
  hosts_[id] = {entry, ++version_, earlier};
  answer_watches();
}

void DiscoveryServer::lose_state() {
  hosts_.clear();
  version_ = 1;
}

void DiscoveryServer::set_fault(DiscoveryFault fault) {
  fault_ = fault;
  if (fault == DiscoveryFault::Down) answer_watches();
}

void DiscoveryServer::silence_watches() {
  for (WaitingCall& w : waiting_) {
    if (!w.watch) continue;
    w.watch = false;
    event_del(w.timer.get());
    if (observer_) observer_->on_watch_silenced(w.port->number, w.expires_at - clock_.now());
  }
}

std::string DiscoveryServer::full_list(std::size_t port) const { return list_since(port, 0); }

/// The list as JSON: the changes since a version, or the full list for version 0.
std::string DiscoveryServer::list_since(std::size_t port, std::uint64_t since) const {
  const Port& to = *ports_.at(port);
  Json hosts = Json::array();
  for (const auto& [id, one] : hosts_) {
    if (since == 0 ? one.entry.health == "left" : one.changed <= since) continue;
    auto name = [&](Entry entry) {
      if (to.dial) entry.dial = to.dial(id, entry);
      hosts.push_back(entry_to_json(id, entry));
    };
    if (since > 0 && one.earlier) name(*one.earlier);
    name(one.entry);
  }
  return Json{{"seq", version_}, {"whole", since == 0}, {"hosts", std::move(hosts)}}.dump();
}

void DiscoveryServer::refuse(Port& port, evhttp_request* request) {
  if (observer_) observer_->on_answer(port.number, std::nullopt);
  evhttp_send_error(request, HTTP_SERVUNAVAIL, nullptr);
}

void DiscoveryServer::answer(Port& port, evhttp_request* request, std::uint64_t since) {
  // An answer written to a dead process notifies nobody and is not reported to the observer.
  if (caller_has_disconnected(request))
    return evhttp_connection_free(evhttp_request_get_connection(request));
  if (fault_ == DiscoveryFault::Down) return refuse(port, request);
  std::string json = list_since(port.number, since);
  bool valid = fault_ != DiscoveryFault::Malformed && fault_ != DiscoveryFault::Truncated;
  if (observer_) observer_->on_answer(port.number, valid ? std::optional(version_) : std::nullopt);
  if (fault_ == DiscoveryFault::Malformed) json = "[\"" + std::string(json.rbegin(), json.rend());
  if (fault_ == DiscoveryFault::Truncated) json.resize(json.size() / 2);
  evbuffer_add(evhttp_request_get_output_buffer(request), json.data(), json.size());
  evhttp_send_reply(request, HTTP_OK, "OK", nullptr);
}

void DiscoveryServer::answer_watches() {
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    if (!at->watch) {
      ++at;
      continue;
    }
    WaitingCall w = std::move(*at);
    at = waiting_.erase(at);
    answer(*w.port, w.request, w.index);
  }
}

void DiscoveryServer::on_call(evhttp_request* request, void* port) {
  auto* p = static_cast<Port*>(port);
  p->server->handle_call(*p, request);
}

void DiscoveryServer::handle_call(Port& port, evhttp_request* request) {
  ++calls_;
  if (observer_) observer_->on_call(port.number);
  evkeyvalq query{};
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* text = uri ? evhttp_uri_get_query(uri) : nullptr;
  if (text) evhttp_parse_query_str(text, &query);
  const char* index = evhttp_find_header(&query, "index");
  const char* wait_for = evhttp_find_header(&query, "wait");
  std::uint64_t since = index ? std::strtoull(index, nullptr, 10) : 0;
  long ms = std::clamp(wait_for ? std::strtol(wait_for, nullptr, 10) : 0L, 0L, kMaxWaitMs);
  evhttp_clear_headers(&query);
  if (since > version_) since = 0;
  if (fault_ == DiscoveryFault::Reset)
    evhttp_connection_free(evhttp_request_get_connection(request));
  else if (fault_ == DiscoveryFault::Silent)
    hold_silently(port, request, since, ms * kMillisecond);
  else if (fault_ == DiscoveryFault::Slow)
    wait(port, request, since, false, kSlowDelay);
  else
    enqueue(port, request, since, ms * kMillisecond);
}

/// A call that may wait is reported as a watch that is silent from its start.
void DiscoveryServer::hold_silently(Port& port, evhttp_request* request, std::uint64_t since,
                                    Micros timeout) {
  if (observer_) observer_->on_watch_silenced(port.number, timeout);
  wait(port, request, since, false, kSilentTimeout);
}

/// Answers the call, or lets it wait for a change.
void DiscoveryServer::process(Port& port, evhttp_request* request, std::uint64_t since,
                              Micros timeout) {
  bool has_changes = since == 0 || since < version_;
  if (has_changes || timeout == 0 || fault_ != DiscoveryFault::None)
    return answer(port, request, since);
  wait(port, request, since, true, timeout);
}

/// Refuses the queued call of that caller. It is not processed, but its place in the queue stays
/// taken: the calls behind it move up no sooner.
void DiscoveryServer::refuse_queued_call_of(const Port& port) {
  auto waits = [&port](const WaitingCall& w) {
    return w.port == &port && w.action == TimeoutAction::Process;
  };
  auto at = std::find_if(waiting_.begin(), waiting_.end(), waits);
  if (at == waiting_.end()) return;
  Port& to = *at->port;
  evhttp_request* request = at->request;
  waiting_.erase(at);
  refuse(to, request);
}

void DiscoveryServer::enqueue(Port& port, evhttp_request* request, std::uint64_t since,
                              Micros timeout) {
  const Capacity& c = capacity_;
  if (c.service_time == 0) return process(port, request, since, timeout);
  Micros now = clock_.now();
  Micros starts_at = std::max(now, busy_until_);
  if (c.one_call_per_caller) refuse_queued_call_of(port);
  if (c.max_queue > 0 && starts_at - now >= c.max_queue * c.service_time)
    return refuse(port, request);
  bool expires = c.max_wait > 0 && starts_at - now > c.max_wait;
  if (!expires || c.serves_expired_calls) busy_until_ = starts_at + c.service_time;
  if (expires) return wait(port, request, since, false, c.max_wait, TimeoutAction::Refuse);
  wait(port, request, since, false, busy_until_ - now, TimeoutAction::Process, timeout);
}

void DiscoveryServer::wait(Port& port, evhttp_request* request, std::uint64_t index, bool watch,
                           Micros timeout, TimeoutAction action, Micros watch_timeout) {
  waiting_.push_back(
      {&port, request, index, watch, action, watch_timeout, nullptr, clock_.now() + timeout});
  WaitingCall& w = waiting_.back();
  w.timer.reset(event_new(base_, -1, 0, on_wait_timeout, &w));
  timeval limit = timeval_of(timeout);
  event_add(w.timer.get(), &limit);
  // When the caller disconnects, its waiting call is dropped.
  evhttp_connection_set_closecb(
      evhttp_request_get_connection(request),
      [](evhttp_connection* connection, void* server) {
        static_cast<DiscoveryServer*>(server)->waiting_.remove_if([&](const WaitingCall& one) {
          return evhttp_request_get_connection(one.request) == connection;
        });
      },
      this);
}

void DiscoveryServer::on_wait_timeout(evutil_socket_t, short, void* waiting) {
  auto* w = static_cast<WaitingCall*>(waiting);
  Port& port = *w->port;
  DiscoveryServer* d = port.server;
  evhttp_request* request = w->request;
  std::uint64_t index = w->index;
  TimeoutAction action = w->action;
  Micros watch_timeout = w->watch_timeout;
  d->waiting_.remove_if([&](const WaitingCall& one) { return &one == w; });
  if (action == TimeoutAction::Refuse) return d->refuse(port, request);
  if (action == TimeoutAction::Process) return d->process(port, request, index, watch_timeout);
  d->answer(port, request, index);
}

}  // namespace arrowfork::rig
