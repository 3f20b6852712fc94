#include "storm_tills.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>

#include "../protocol/meta.hpp"

namespace arrowfork::rig {
namespace {

constexpr Micros kSweepInterval = 10 * kMillisecond;
// The router's limit on client descriptors is reached before this one.
constexpr std::size_t kMaxConnectionsPerRouter = 400;
// Delay before a try that reached no router is repeated.
constexpr Micros kUnreachedRetryDelay = 20 * kMillisecond;

std::string hex16(std::uint64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
  return text;
}

}  // namespace

struct StormTills::ClientRequest {
  Request content;
  emu::Second* row;
  std::uint64_t number;
  int router, banner;
  Micros started_at, latency_objective, deadline;
  int tries = 0;
  bool may_have_run = false;  // a try was sent on a connection that broke
  bool sent_before = false;   // a try was made before
  Micros retry_at = 0;        // when the next try is due; 0: one is in flight
};

class StormTills::Connection {
 public:
  Connection(StormTills& tills, std::uint16_t port)
      : tills_(tills),
        reader_(&no_fields_),
        fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    auto address = parse_address("127.0.0.1:" + std::to_string(port));
    int on = 1;
    ::setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(fd_.get(), reinterpret_cast<sockaddr*>(&*address), sizeof *address) != 0 &&
        errno != EINPROGRESS)
      closed_ = true;
    read_.reset(event_new(tills.base_, fd_.get(), EV_READ | EV_PERSIST, on_read, this));
    write_.reset(event_new(tills.base_, fd_.get(), EV_WRITE, on_write, this));
    event_add(read_.get(), nullptr);
  }
  bool free() const { return !request_ && !closed_; }
  bool closed() const { return closed_; }

  void send_try(std::shared_ptr<ClientRequest> request, Micros timeout, std::uint64_t id) {
    request_ = std::move(request);
    try_id_ = id, sent_ = false;
    id_ = hex16(id);
    expires_at_ = tills_.clock_.now() + timeout;
    const Request& r = request_->content;
    std::string tail = " O" + id_ + " Pc=" + r.class_name + ",t=" + r.tenant +
                       ",d=" + std::to_string(std::max<Micros>(1, timeout / kMillisecond));
    if (r.work) tail += ",h=" + std::to_string(*r.work);
    if (tills_.routing_.marks_retries && (request_->tries > 1 || request_->may_have_run))
      tail += ",r=1";
    out_ = r.write ? "ms " + r.key + " " + std::to_string(r.value->size()) + tail +
                         ",k=" + r.idempotency_key + "\r\n" + *r.value + "\r\n"
                   : "mg " + r.key + " v" + tail + "\r\n";
    flush();
  }

  void sweep(Micros now) {
    if (!request_ || now <= expires_at_ + tills_.slack_) return;
    ++tills_.counts_.lost;
    close();
    tills_.notify_try_ended(try_id_, TryResult::Lost);
    release(false);
  }

 private:
  static void on_write(evutil_socket_t, short, void* self) {
    static_cast<Connection*>(self)->flush();
  }
  static void on_read(evutil_socket_t, short, void* self) {
    auto* c = static_cast<Connection*>(self);
    char data[65536];
    ssize_t received = ::recv(c->fd_.get(), data, sizeof data, 0);
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (received <= 0) return c->on_closed();
    std::string_view in(data, static_cast<std::size_t>(received));
    while (!in.empty() && !c->closed_) c->parse_answer(in);
  }

  void flush() {
    while (!out_.empty() && !closed_) {
      ssize_t sent = ::send(fd_.get(), out_.data(), out_.size(), MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN)) {
        event_add(write_.get(), nullptr);
        return;
      }
      if (sent < 0) return on_closed();
      out_.erase(0, static_cast<std::size_t>(sent));
      sent_ = true;
    }
  }

  /// A router may close an idle connection. A try that was sent at that moment, or of which nothing
  /// was sent, does not count and is repeated.
  void on_closed() {
    close();
    if (!request_) return;
    if (answered_before_ || !sent_) {
      --request_->tries;
      request_->may_have_run |= sent_;
      tills_.notify_try_ended(try_id_, TryResult::Unreached);
      if (!sent_) ++tills_.counts_.not_sent;
      return release(false, sent_ ? 0 : kUnreachedRetryDelay);
    }
    ++tills_.counts_.lost;
    tills_.notify_try_ended(try_id_, TryResult::Lost);
    release(false);
  }

  void parse_answer(std::string_view& in) {
    Answer a;
    auto got = reader_.parse(in, a);
    if (got == AnswerReader::ParseResult::Incomplete) return;
    bool matches = request_ && got == AnswerReader::ParseResult::Answer && !a.framing_lost;
    if (matches && (a.kind == Answer::Kind::Value || a.kind == Answer::Kind::Stored))
      matches = a.id == id_ && (a.kind == Answer::Kind::Stored) == request_->content.write;
    if (!matches) {
      ++tills_.counts_.wrong;
      close();
      if (!request_) return;
      tills_.notify_try_ended(try_id_, TryResult::Wrong);
      return release(false);
    }
    answered_before_ = true;
    if (a.kind == Answer::Kind::Busy) ++tills_.counts_.refused, ++tills_.current_row_().refused;
    bool served = a.kind == Answer::Kind::Value || a.kind == Answer::Kind::Stored;
    if (!served && a.kind != Answer::Kind::Busy) ++tills_.counts_.failed;
    tills_.notify_try_ended(try_id_, served                         ? TryResult::Served
                                     : a.kind == Answer::Kind::Busy ? TryResult::Refused
                                                                    : TryResult::Failed);
    release(served);
  }

  void release(bool served, Micros pause = 0) {
    auto request = std::move(request_);
    request_ = nullptr;
    served ? tills_.end_request(request, true) : tills_.retry_or_end(request, pause);
  }

  void close() {
    closed_ = true;
    event_del(read_.get());
    event_del(write_.get());
    fd_.reset();
  }

  StormTills& tills_;
  const std::vector<robinseam::ReportField> no_fields_;
  AnswerReader reader_;
  Fd fd_;
  EventPtr read_, write_;
  std::string out_, id_;
  std::shared_ptr<ClientRequest> request_;
  Micros expires_at_ = 0;
  std::uint64_t try_id_ = 0;
  bool closed_ = false, answered_before_ = false;
  bool sent_ = false;  // at least a part of the try
};

StormTills::StormTills(event_base* base, const TimeSource& clock, const emu::DayPlan& plan,
                       Routing routing, Micros slack, std::uint64_t seed,
                       std::function<emu::Second&()> current_row)
    : base_(base),
      clock_(clock),
      plan_(plan),
      routing_(std::move(routing)),
      slack_(slack),
      demand_(plan.tills, plan.fleet, plan.settings, routing_.router_count, seed),
      current_row_(std::move(current_row)),
      last_try_id_(seed << 40),
      connections_(static_cast<std::size_t>(routing_.router_count)) {
  next_event_.reset(event_new(base, -1, 0, on_next, this));
  sweep_event_.reset(event_new(base, -1, EV_PERSIST, on_sweep, this));
  retry_event_.reset(event_new(base, -1, 0, on_retry_timer, this));
}

StormTills::~StormTills() = default;

void StormTills::start() {
  stopped_ = false;
  next_start_ = clock_.now();
  timeval interval = timeval_of(kSweepInterval);
  event_add(sweep_event_.get(), &interval);
  event_active(next_event_.get(), 0, 0);
}

void StormTills::on_next(evutil_socket_t, short, void* self) {
  auto* t = static_cast<StormTills*>(self);
  while (!t->stopped_ && t->next_start_ <= t->clock_.now()) {
    t->start_request();
    t->next_start_ += t->demand_.next_gap();
  }
  if (t->stopped_) return;
  timeval wait = timeval_of(std::max<Micros>(0, t->next_start_ - t->clock_.now()));
  event_add(t->next_event_.get(), &wait);
}

void StormTills::on_sweep(evutil_socket_t, short, void* self) {
  auto* t = static_cast<StormTills*>(self);
  Micros now = t->clock_.now();
  for (auto& all : t->connections_) {
    for (std::size_t k = 0; k < all.size(); ++k) all[k]->sweep(now);
    std::erase_if(all, [](const auto& c) { return c->closed(); });
  }
}

void StormTills::on_retry_timer(evutil_socket_t, short, void* self) {
  auto* t = static_cast<StormTills*>(self);
  Micros now = t->clock_.now();
  auto all = t->requests_;  // a copy: sending may end requests
  for (const auto& request : all)
    if (request->retry_at > 0 && request->retry_at <= now) t->send_try(request);
  t->schedule_retries();
}

void StormTills::schedule_retries() {
  Micros next = 0;
  for (const auto& request : requests_)
    if (request->retry_at > 0 && (!next || request->retry_at < next)) next = request->retry_at;
  if (!next) return;
  timeval wait = timeval_of(std::max<Micros>(1, next - clock_.now()));
  event_add(retry_event_.get(), &wait);
}

void StormTills::start_request() {
  emu::Demand::First first = demand_.draw();
  const robinseam::ClassSettings& type = plan_.settings.classes[first.request.write];
  auto request = std::make_shared<ClientRequest>();
  request->row = &current_row_();
  request->number = ++requests_made_;
  request->router = choose_router(first.router);
  request->banner = first.banner;
  request->started_at = clock_.now();
  request->latency_objective = type.latency_objective;
  request->deadline = type.deadline;
  request->content = std::move(first.request);
  // Unique even if two storms run at the same time.
  if (request->content.write) request->content.idempotency_key = hex16(last_try_id_ + ++writes_);
  ++request->row->asked;
  ++banners_[static_cast<std::size_t>(request->banner)].asked;
  requests_.push_back(request);
  send_try(request);
}

void StormTills::send_try(const std::shared_ptr<ClientRequest>& request) {
  request->retry_at = 0;
  ++request->tries;
  if (std::exchange(request->sent_before, true) && routing_.retry_elsewhere)
    request->router = choose_router(-1);
  ++counts_.tries;
  ++current_row_().tries;
  Micros left = request->started_at + request->deadline - clock_.now();
  Micros timeout = std::min(
      left, static_cast<Micros>(plan_.tills.try_share * static_cast<double>(request->deadline)));
  auto& all = connections_[static_cast<std::size_t>(request->router)];
  Connection* c = nullptr;
  for (auto it = all.rbegin(); it != all.rend() && !c; ++it)
    if ((*it)->free()) c = it->get();
  std::uint16_t port = c ? 0 : routing_.port_of(request->router);
  if (port && all.size() < kMaxConnectionsPerRouter) {
    all.push_back(std::make_unique<Connection>(*this, port));
    c = all.back().get();
  }
  std::uint64_t id = ++last_try_id_;
  if (routing_.observer)
    routing_.observer->on_try_started(
        {id, request->number, request->router, request->tries, request->content.write, timeout});
  if (!c || c->closed()) {
    ++counts_.not_sent;
    --request->tries;
    notify_try_ended(id, TryResult::Unreached);
    return retry_or_end(request, kUnreachedRetryDelay);
  }
  c->send_try(request, timeout, id);
}

/// A retry starts in a later turn of the event loop: that is immediate for a client and avoids
/// recursion.
void StormTills::retry_or_end(const std::shared_ptr<ClientRequest>& request, Micros pause) {
  Micros at = clock_.now() + std::max<Micros>({plan_.tills.pause, pause, 1});
  if (request->tries >= plan_.tills.tries || at >= request->started_at + request->deadline)
    return end_request(request, false);
  request->retry_at = at;
  if (!event_pending(retry_event_.get(), EV_TIMEOUT, nullptr)) schedule_retries();
}

void StormTills::end_request(const std::shared_ptr<ClientRequest>& request, bool served) {
  bool in_time = served && clock_.now() - request->started_at <= request->latency_objective;
  emu::Second& s = *request->row;
  ++(in_time ? s.in_time : served ? s.late : s.unserved);
  banners_[static_cast<std::size_t>(request->banner)].served += served;
  if (routing_.observer) routing_.observer->on_request_done(request->number, served);
  std::erase(requests_, request);
}

}  // namespace arrowfork::rig
