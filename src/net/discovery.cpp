#include "discovery.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <cstdio>

namespace arrowfork {
namespace {

const char* const kPath = "/discovery/hosts";
// How long a watch may wait at discovery. Each call costs it work, so not much shorter.
constexpr int kWaitMs = 20'000;
// The first call of a watch returns at once, so that the module learns that it is watching.
constexpr int kFirstWaitMs = 1;
// A call that is not answered this long after its wait has failed: discovery answers or fails what
// it can't do within seconds, so silence means that it can't be reached.
constexpr Micros kCallTime = 4 * kSecond;
// A watch whose call has been silent for so long is begun anew beside it, whatever the call may yet
// bring. What discovery has to tell counts as told 6 s after a call fell silent, or 2 s after its
// wait was over: a call that was given up after kCallTime, and then a pause, was later than that
// (join+mass 454547756054, one play of nine: eight requests to servers that drained 0.63 s before).
// Discovery fails what it can't do within 2 s, and answers a watch of which nothing came when its
// wait is over.
constexpr Micros kSilentCall = 2500 * kMillisecond;
constexpr Micros kSilentWatch = kSecond;
constexpr Micros kInsistPause = kSecond;
// A new address may come up a little after the configuration that names it, and must be in use
// within 4 s of it: it is tried this often, this many times, before it counts as failed.
constexpr Micros kMovePause = kSecond / 4;
constexpr int kMoveTries = 16;
// Before a watch that brought no change is renewed, so that a discovery that always answers at once
// is not called without end. Within 200 ms it is still the same watch.
constexpr Micros kRenewPause = kSecond / 10;
// A list of hundreds of servers is some 60 KiB; as JSON in memory it takes several times its text.
constexpr ev_ssize_t kMaxBody = 512 << 10;
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
  // For the whole call: evhttp's own time-outs begin again with every byte that trickles in.
  timeval limit_tv = timeval_of(limit);
  event_add(ready_.get(), &limit_tv);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", authority_.c_str());
  evhttp_add_header(headers, "Connection", "close");
  if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, path.c_str()) != 0)
    event_active(ready_.get(), 0, 0);
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

void DiscoveryCall::on_ready(evutil_socket_t, short, void* self) {
  auto* call = static_cast<DiscoveryCall*>(self);
  call->connection_.reset();
  call->request_ = nullptr;
  std::optional<HostList> result = std::exchange(call->result_, std::nullopt);
  call->counts_.failed += !result;
  call->done_(std::move(result));
}

Discovery::Discovery(event_base* base, const std::string& address, const HostList& known,
                     bool insist, std::uint64_t seed, Handler& handler)
    : base_(base),
      handler_(handler),
      insist_(insist),
      address_(address),
      watch_(watch_at(address)),
      fetch_(fetch_at(address)),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {
  again_.reset(event_new(base, -1, 0, on_again, this));
  silent_.reset(event_new(base, -1, 0, on_silent, this));
  guard_.hold(known);
  if (insist_) watch();
}

Discovery::Call Discovery::watch_at(const std::string& address) {
  return std::make_unique<DiscoveryCall>(
      base_, address, counts_, [this](std::optional<HostList> list) { take(std::move(list)); });
}

Discovery::Call Discovery::fetch_at(const std::string& address) {
  return std::make_unique<DiscoveryCall>(base_, address, counts_,
                                         [this](std::optional<HostList> list) {
                                           // A list made before changes that the watch has brought
                                           // since is older than what is held.
                                           if (list && list->whole && fetch_overlapped_) return;
                                           if (!list || !list->whole || !may_count(guard_, list)) {
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
    old_watch_ = std::move(watch_);
    old_guard_ = guard_;
    old_watch_->hand_over([this](std::optional<HostList> list) { take_old(std::move(list)); });
  }
  older_.reset();
  address_ = address;
  watch_ = watch_at(address);
  fetch_ = fetch_at(address);
  guard_.forget_version();
  renewing_ = false;
  moving_ = kMoveTries;
  call();
}

/// The last word of the old address. The list that the new one is making may be older than a change
/// told here: it is asked anew.
void Discovery::take_old(std::optional<HostList> list) {
  if (!may_count(old_guard_, list) || (!list->whole && list->hosts.empty())) return;
  if (guard_.version().empty()) call();
  handler_.on_hosts(std::move(*list));
}

void Discovery::watch() {
  renewing_ = false;
  if (watch_->out()) older_ = std::exchange(watch_, watch_at(address_));
  call();
}

void Discovery::look_again(Micros span) {
  renewing_ = false;
  double part = std::uniform_real_distribution<>()(random_);
  timeval wait = timeval_of(static_cast<Micros>(part * static_cast<double>(span)));
  event_add(again_.get(), &wait);
}

void Discovery::fetch() {
  fetch_overlapped_ = false;
  fetch_->start(kPath, kCallTime);
}

void Discovery::stop() {
  watch_->stop();
  older_.reset();
  fetch_->stop();
  old_watch_.reset();
  event_del(again_.get());
  event_del(silent_.get());
}

void Discovery::call() {
  event_del(again_.get());
  bool waits = renewing_ && !guard_.version().empty() && !ask_whole_;
  // Up to a fifth more: calls that fell silent together would else be made again together.
  double part = 1 + 0.2 * std::uniform_real_distribution<>()(random_);
  timeval silent = timeval_of((waits ? kWaitMs * kMillisecond : 0) +
                              static_cast<Micros>(part * (waits ? kSilentWatch : kSilentCall)));
  event_add(silent_.get(), &silent);
  if (guard_.version().empty() || ask_whole_) {
    watch_->start(kPath, kCallTime);
    return;
  }
  int wait = renewing_ ? kWaitMs : kFirstWaitMs;
  watch_->start(
      std::string(kPath) + "?index=" + escaped(guard_.version()) + "&wait=" + std::to_string(wait),
      wait * kMillisecond + kCallTime);
}

bool Discovery::may_count(ListGuard& guard, const std::optional<HostList>& list) {
  if (!list) return false;
  std::string fault = guard.refuse(*list);
  if (fault.empty()) return true;
  ++counts_.failed, ++counts_.bad;
  std::fprintf(stderr, "arrowfork: discovery: the held list stays: %s\n", fault.c_str());
  return false;
}

void Discovery::take(std::optional<HostList> list) {
  // One of two that failed: the other may still be answered. Stopped and not freed, since it may
  // be the one that tells this.
  if (!list && (watch_->out() || (older_ && older_->out()))) return;
  if (older_) older_->stop();
  watch_->stop();
  event_del(silent_.get());
  bool counts = may_count(guard_, list);
  ask_whole_ = list && !counts;
  if (!counts) {
    renewing_ = false;
    if (moving_ > 0) {
      --moving_;
      again_in(kMovePause);
    } else if (insist_) {
      again_in(kInsistPause);
    } else {
      handler_.on_hosts_failed();
    }
    return;
  }
  moving_ = 0;
  old_watch_.reset();
  if (list->whole || !list->hosts.empty()) fetch_overlapped_ = true;
  // The next call at once: a watch with gaps is a new one.
  bool news = !list->whole && !list->hosts.empty();
  if (std::exchange(renewing_, true) && !news)
    again_in(kRenewPause);
  else
    call();
  handler_.on_hosts(std::move(*list));
}

void Discovery::again_in(Micros pause) {
  // Routers whose calls ended together would else go on in step.
  double part = 0.5 + std::uniform_real_distribution<>()(random_);
  timeval wait = timeval_of(static_cast<Micros>(part * static_cast<double>(pause)));
  event_add(again_.get(), &wait);
}

void Discovery::on_silent(evutil_socket_t, short, void* self) {
  auto* d = static_cast<Discovery*>(self);
  // Two calls at a time: what the second one comes to decides.
  if (!d->watch_->out() || (d->older_ && d->older_->out())) return;
  d->watch();
}

void Discovery::on_again(evutil_socket_t, short, void* self) {
  static_cast<Discovery*>(self)->call();
}

}  // namespace arrowfork
