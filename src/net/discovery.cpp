#include "discovery.hpp"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cstdio>

namespace arrowfork {
namespace {

const char* const kPath = "/discovery/hosts";
// A call that is answered at once.
constexpr int kShortWaitMs = 1;
// A call that is not answered this long after its wait has failed: discovery answers or fails what
// it can't do within seconds, so silence means that it can't be reached.
constexpr Micros kCallTime = 4 * kSecond;
// An answer that has begun is whole this soon, or will not be: a list is written at once, and of a
// watch that stops short in it the change counts as told 6 s later, whatever its wait (seen:
// calm+disco+brink+mass 10, an answer that stopped at 3.25 s, drains broken from 10.13 s on).
constexpr Micros kAnswerTime = 1500 * kMillisecond;
// What discovery has to tell counts as told so long after a configuration that names another
// address.
constexpr Micros kMoveWithin = 4 * kSecond;
// A sixteenth of the smallest deployment's 32 MB: as JSON in memory a list takes several times its
// text. 1,024 servers with ids and addresses of 250 characters, indented, are 0.8 MB; of usual
// length 0.3 MB.
constexpr ev_ssize_t kMaxBody = 2 << 20;
constexpr ev_ssize_t kMaxHeaders = 16 << 10;

std::string escaped(const std::string& text) {
  char* encoded = evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
  std::string result = encoded ? encoded : "";
  ::free(encoded);
  return result;
}

}  // namespace

DiscoveryCall::DiscoveryCall(event_base* base, const std::string& address, Counts& counts,
                             Done done)
    : base_(base), authority_(address), counts_(counts), done_(std::move(done)) {
  std::size_t colon = address.rfind(':');
  host_ = address.substr(0, colon);
  if (auto parsed = parse_address(address)) port_ = ntohs(parsed->sin_port);
  ready_.reset(event_new(base, -1, 0, on_ready, this));
}

DiscoveryCall::~DiscoveryCall() = default;

void DiscoveryCall::stop() {
  connection_.reset();
  request_ = nullptr;
  result_.reset();
  event_del(ready_.get());
}

void DiscoveryCall::start(const std::string& path, Micros limit) {
  stop();
  fault_ = Fault::Refused;
  begun_ = false;
  ++counts_.calls;
  connection_.reset(evhttp_connection_base_new(base_, nullptr, host_.c_str(), port_));
  evhttp_request* request = connection_ ? evhttp_request_new(on_answer, this) : nullptr;
  request_ = request;
  if (!request) {
    event_active(ready_.get(), 0, 0);
    return;
  }
  evhttp_request_set_error_cb(request, on_error);
  evhttp_connection_set_max_body_size(connection_.get(), kMaxBody);
  evhttp_connection_set_max_headers_size(connection_.get(), kMaxHeaders);
  limit_ = limit;
  evbuffer_add_cb(bufferevent_get_input(evhttp_connection_get_bufferevent(connection_.get())),
                  on_bytes, this);
  // For the whole call: evhttp's own time-outs begin again with every byte that trickles in.
  timeval limit_tv = timeval_of(limit);
  event_add(ready_.get(), &limit_tv);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", authority_.c_str());
  evhttp_add_header(headers, "Connection", "close");
  if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, path.c_str()) != 0)
    event_active(ready_.get(), 0, 0);
}

/// The answer's first bytes: its time is another from here on.
void DiscoveryCall::on_bytes(evbuffer*, const evbuffer_cb_info* info, void* self) {
  auto* call = static_cast<DiscoveryCall*>(self);
  if (info->n_added == 0 || std::exchange(call->begun_, true)) return;
  timeval limit = timeval_of(std::min(call->limit_, kAnswerTime));
  event_add(call->ready_.get(), &limit);
}

void DiscoveryCall::on_answer(evhttp_request* request, void* self) {
  auto* call = static_cast<DiscoveryCall*>(self);
  call->result_.reset();
  call->request_ = nullptr;
  if (request && evhttp_request_get_response_code(request) == 200) {
    evbuffer* body = evhttp_request_get_input_buffer(request);
    std::size_t size = evbuffer_get_length(body);
    std::string text(size, '\0');
    evbuffer_copyout(body, text.data(), size);
    try {
      call->result_ = parse_host_list(text);
    } catch (const ConfigError& e) {
      call->bad(e.what());
    }
  }
  event_active(call->ready_.get(), 0, 0);
}

void DiscoveryCall::bad(const char* what) {
  ++counts_.bad;
  fault_ = Fault::Spoilt;
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

void DiscoveryCall::on_ready(evutil_socket_t, short what, void* self) {
  auto* call = static_cast<DiscoveryCall*>(self);
  if (what & EV_TIMEOUT) {
    if (call->begun_)
      call->bad("the answer stopped short");
    else
      call->fault_ = Fault::TimedOut;
  }
  call->connection_.reset();
  call->request_ = nullptr;
  std::optional<HostList> result = std::exchange(call->result_, std::nullopt);
  call->counts_.failed += !result;
  call->done_(std::move(result));
}

Discovery::Discovery(event_base* base, const TimeSource& clock, const std::string& address,
                     const HostList& known, int routers, bool pushed, std::uint64_t seed,
                     Handler& handler)
    : base_(base),
      clock_(clock),
      handler_(handler),
      address_(address),
      watching_(routers, pushed),
      fetch_(fetch_at(address)),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {
  again_.reset(event_new(base, -1, 0, on_again, this));
  look_.reset(event_new(base, -1, 0, on_look, this));
  for (std::size_t slot = 0; slot < calls_.size(); ++slot) calls_[slot] = watch_at(slot);
  guard_.hold(known);
  if (pushed)
    watch();
  else if (!known.hosts.empty())
    watching_.hold(clock_.now());
}

Discovery::Call Discovery::watch_at(std::size_t slot) {
  return std::make_unique<DiscoveryCall>(
      base_, address_, counts_,
      [this, slot](std::optional<HostList> list) { take(slot, std::move(list)); });
}

Discovery::Call Discovery::fetch_at(const std::string& address) {
  return std::make_unique<DiscoveryCall>(base_, address, counts_,
                                         [this](std::optional<HostList> list) {
                                           // A list made before changes that the watch has brought
                                           // since is older than what is held.
                                           if (list && list->whole && fetch_overlapped_) return;
                                           if (!list || !list->whole || !may_count(guard_, list)) {
                                             handler_.on_call_failed();
                                             handler_.on_hosts_failed();
                                             return;
                                           }
                                           handler_.on_hosts(std::move(*list));
                                         });
}

/// The new service need not count versions as the old one did, so it is asked for its whole list.
/// Calls that are out at the old address are not renewed: it takes no new ones.
void Discovery::move_to(const std::string& address) {
  if (!guard_.version().empty() ||
      !old_watch_) {  // else it never answered, and the one before still may
    // The watch that waits, or what was to tell whether that is still there.
    std::size_t last = 0;
    for (std::size_t slot = 0; slot < calls_.size(); ++slot)
      if (calls_[slot]->out() &&
          (!calls_[last]->out() || calls_[slot]->limit() > calls_[last]->limit()))
        last = slot;
    old_watch_ = std::move(calls_[last]);
    old_guard_ = guard_;
    old_watch_->hand_over([this](std::optional<HostList> list) { take_old(std::move(list)); });
  }
  address_ = address;
  for (std::size_t slot = 0; slot < calls_.size(); ++slot) calls_[slot] = watch_at(slot);
  fetch_ = fetch_at(address);
  guard_.forget_version();
  watching_.move(clock_.now(), kMoveWithin);
  watch();
}

/// The last word of the old address. The list that the new one is making may be older than a change
/// told here: it is asked anew.
void Discovery::take_old(std::optional<HostList> list) {
  if (!may_count(old_guard_, list) || (!list->whole && list->hosts.empty())) return;
  if (guard_.version().empty()) {
    watching_.drop();
    watch();
  }
  handler_.on_hosts(std::move(*list));
}

void Discovery::watch() {
  event_del(look_.get());
  call(watching_.begin(clock_.now(), chance()));
}

void Discovery::look_again(Micros span) {
  timeval wait = timeval_of(static_cast<Micros>(chance() * static_cast<double>(span)));
  event_add(look_.get(), &wait);
}

void Discovery::fetch() {
  fetch_overlapped_ = false;
  fetch_->start(kPath, kCallTime);
}

void Discovery::stop() {
  watching_.stop();
  follow();
  fetch_->stop();
  old_watch_.reset();
  event_del(look_.get());
}

void Discovery::call(const robinseam::membership::Watching::Call& call) {
  DiscoveryCall& out = *calls_[static_cast<std::size_t>(call.slot)];
  if (guard_.version().empty() || ask_whole_) {
    out.start(kPath, kCallTime);
  } else {
    int wait = std::max(kShortWaitMs, static_cast<int>(call.wait / kMillisecond));
    out.start(std::string(kPath) + "?index=" + escaped(guard_.version()) +
                  "&wait=" + std::to_string(wait),
              wait * kMillisecond + kCallTime);
  }
  follow();
}

void Discovery::follow() {
  // Stopped and not freed, since one of them may be what tells of this.
  for (int slot = 0; slot < static_cast<int>(calls_.size()); ++slot)
    if (!watching_.out(slot)) calls_[static_cast<std::size_t>(slot)]->stop();
  event_del(again_.get());
  if (watching_.next() == robinseam::membership::Watching::kNever) return;
  timeval wait = timeval_of(std::max<Micros>(0, watching_.next() - clock_.now()));
  event_add(again_.get(), &wait);
}

bool Discovery::may_count(ListGuard& guard, const std::optional<HostList>& list) {
  if (!list) return false;
  std::string fault = guard.refuse(*list);
  if (fault.empty()) return true;
  ++counts_.failed, ++counts_.bad;
  std::fprintf(stderr, "arrowfork: discovery: the held list stays: %s\n", fault.c_str());
  return false;
}

void Discovery::take(std::size_t slot, std::optional<HostList> list) {
  bool counts = may_count(guard_, list);
  if (list) ask_whole_ = !counts;
  if (!counts) {
    bool alone =
        watching_.failed(clock_.now(), static_cast<int>(slot),
                         list ? DiscoveryCall::Fault::Spoilt : calls_[slot]->fault(), chance());
    follow();
    handler_.on_call_failed();
    if (alone) handler_.on_hosts_failed();
    return;
  }
  old_watch_.reset();
  bool news = list->whole || !list->hosts.empty();
  if (news) fetch_overlapped_ = true;
  watching_.answered(clock_.now(), static_cast<int>(slot), news, chance());
  follow();
  handler_.on_hosts(std::move(*list));
}

void Discovery::on_again(evutil_socket_t, short, void* self) {
  auto* d = static_cast<Discovery*>(self);
  if (auto call = d->watching_.advance(d->clock_.now(), d->chance()))
    d->call(*call);
  else
    d->follow();
}

void Discovery::on_look(evutil_socket_t, short, void* self) {
  static_cast<Discovery*>(self)->watch();
}

}  // namespace arrowfork
