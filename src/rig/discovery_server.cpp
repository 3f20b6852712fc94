#include "discovery_server.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace arrowfork::rig {
namespace {

using Json = nlohmann::json;

constexpr long kLongestWaitMs = 60'000;
constexpr Micros kSlowTime = kSecond;
// Longer than any caller waits: it is forgotten when the caller goes.
constexpr Micros kSilentTime = 3600 * kSecond;

Json json_of(const std::string& id, const DiscoveryServer::Entry& e) {
  return {{"host", id}, {"dial", e.dial},     {"site", e.site}, {"class", e.kind},
          {"block", 0}, {"health", e.health}, {"share", 1.0},   {"born_ms", e.born_ms}};
}

}  // namespace

DiscoveryServer::DiscoveryServer(event_base* base) : base_(base), http_(evhttp_new(base)) {
  evhttp_bound_socket* bound =
      http_ ? evhttp_bind_socket_with_handle(http_.get(), "127.0.0.1", 0) : nullptr;
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (!bound || ::getsockname(evhttp_bound_socket_get_fd(bound),
                              reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("discovery: cannot listen");
  port_ = ntohs(address.sin_port);
  evhttp_set_gencb(http_.get(), on_call, this);
}

DiscoveryServer::~DiscoveryServer() { http_.reset(); }  // it still tells of connections it ends

void DiscoveryServer::put(const std::string& id, const Entry& entry) {
  hosts_[id] = {entry, ++version_};
  end_watches();
}

void DiscoveryServer::set_fault(DiscoveryFault fault) {
  fault_ = fault;
  if (fault == DiscoveryFault::Down) end_watches();
}

std::string DiscoveryServer::whole() const {
  Json hosts = Json::array();
  for (const auto& [id, one] : hosts_)
    if (one.entry.health != "left") hosts.push_back(json_of(id, one.entry));
  return Json{{"seq", version_}, {"whole", true}, {"hosts", std::move(hosts)}}.dump();
}

std::string DiscoveryServer::changes(std::uint64_t since) const {
  Json hosts = Json::array();
  for (const auto& [id, one] : hosts_)
    if (one.changed > since) hosts.push_back(json_of(id, one.entry));
  return Json{{"seq", version_}, {"whole", false}, {"hosts", std::move(hosts)}}.dump();
}

void DiscoveryServer::answer(evhttp_request* request, std::string json) {
  if (fault_ == DiscoveryFault::Down) {
    evhttp_send_error(request, HTTP_SERVUNAVAIL, nullptr);
    return;
  }
  if (fault_ == DiscoveryFault::Spoilt) json = "[\"" + std::string(json.rbegin(), json.rend());
  if (fault_ == DiscoveryFault::Half) json.resize(json.size() / 2);
  evbuffer_add(evhttp_request_get_output_buffer(request), json.data(), json.size());
  evhttp_send_reply(request, HTTP_OK, "OK", nullptr);
}

void DiscoveryServer::end_watches() {
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    if (!at->watch) {
      ++at;
      continue;
    }
    Waiting w = std::move(*at);
    at = waiting_.erase(at);
    answer(w.request, changes(w.index));
  }
}

void DiscoveryServer::on_call(evhttp_request* request, void* self) {
  auto* d = static_cast<DiscoveryServer*>(self);
  ++d->calls_;
  evkeyvalq query{};
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* text = uri ? evhttp_uri_get_query(uri) : nullptr;
  if (text) evhttp_parse_query_str(text, &query);
  const char* index = evhttp_find_header(&query, "index");
  const char* wait = evhttp_find_header(&query, "wait");
  std::uint64_t since = index ? std::strtoull(index, nullptr, 10) : 0;
  long ms = std::clamp(wait ? std::strtol(wait, nullptr, 10) : 0L, 0L, kLongestWaitMs);
  evhttp_clear_headers(&query);
  if (since > d->version_) since = 0;
  if (d->fault_ == DiscoveryFault::Reset)
    evhttp_connection_free(evhttp_request_get_connection(request));
  else if (d->fault_ == DiscoveryFault::Silent)
    d->wait(request, since, false, kSilentTime);
  else if (d->fault_ == DiscoveryFault::Slow)
    d->wait(request, since, false, kSlowTime);
  else if (since == 0)
    d->answer(request, d->whole());
  else if (since < d->version_ || ms == 0 || d->fault_ != DiscoveryFault::None)
    d->answer(request, d->changes(since));
  else
    d->wait(request, since, true, ms * kMillisecond);
}

void DiscoveryServer::wait(evhttp_request* request, std::uint64_t index, bool watch, Micros span) {
  waiting_.push_back({this, request, index, watch, nullptr});
  Waiting& w = waiting_.back();
  w.timer.reset(event_new(base_, -1, 0, on_wait_over, &w));
  timeval limit = timeval_of(span);
  event_add(w.timer.get(), &limit);
  // A caller that goes away takes its request along.
  evhttp_connection_set_closecb(
      evhttp_request_get_connection(request),
      [](evhttp_connection* connection, void* server) {
        static_cast<DiscoveryServer*>(server)->waiting_.remove_if([&](const Waiting& one) {
          return evhttp_request_get_connection(one.request) == connection;
        });
      },
      this);
}

void DiscoveryServer::on_wait_over(evutil_socket_t, short, void* waiting) {
  auto* w = static_cast<Waiting*>(waiting);
  DiscoveryServer* d = w->server;
  evhttp_request* request = w->request;
  std::uint64_t index = w->index;
  d->waiting_.remove_if([&](const Waiting& one) { return &one == w; });
  d->answer(request, index ? d->changes(index) : d->whole());
}

}  // namespace arrowfork::rig
