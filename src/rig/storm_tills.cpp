#include "storm_tills.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>

#include "../protocol/meta.hpp"

namespace arrowfork::rig {
namespace {

constexpr Micros kSweep = 10 * kMillisecond;
// To one router; its own share of descriptors for clients is what holds first.
constexpr std::size_t kMostConnections = 400;
// Before a try that reached nobody is made anew.
constexpr Micros kUnreachedPause = 20 * kMillisecond;

std::string hex16(std::uint64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
  return text;
}

}  // namespace

struct StormTills::ClientRequest {
  Request request;
  emu::Second* second;
  std::uint64_t number;
  int router, banner;
  Micros begun, aim, deadline;
  int tries = 0;
  bool unsure = false;  // a try was on its way when its connection broke: it may have run
  bool asked = false;   // before
  Micros again_at = 0;  // a further try is due then; 0: one is out
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
  bool free() const { return !job_ && !closed_; }
  bool closed() const { return closed_; }

  void ask(std::shared_ptr<ClientRequest> job, Micros timeout, std::uint64_t id) {
    job_ = std::move(job);
    number_ = id, sent_ = false;
    id_ = hex16(id);
    until_ = tills_.clock_.now() + timeout;
    const Request& r = job_->request;
    std::string tail = " O" + id_ + " Pc=" + r.type + ",t=" + r.tenant +
                       ",d=" + std::to_string(std::max<Micros>(1, timeout / kMillisecond));
    if (r.work) tail += ",h=" + std::to_string(*r.work);
    if (tills_.routing_.marks_retries && (job_->tries > 1 || job_->unsure)) tail += ",r=1";
    out_ = r.write ? "ms " + r.key + " " + std::to_string(r.value->size()) + tail +
                         ",k=" + r.idempotency + "\r\n" + *r.value + "\r\n"
                   : "mg " + r.key + " v" + tail + "\r\n";
    push();
  }

  void sweep(Micros now) {
    if (!job_ || now <= until_ + tills_.slack_) return;
    ++tills_.counts_.lost;
    close();
    tills_.tell(number_, TryResult::Lost);
    give_back(false);
  }

 private:
  static void on_write(evutil_socket_t, short, void* self) {
    static_cast<Connection*>(self)->push();
  }
  static void on_read(evutil_socket_t, short, void* self) {
    auto* c = static_cast<Connection*>(self);
    char data[65536];
    ssize_t got = ::recv(c->fd_.get(), data, sizeof data, 0);
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (got <= 0) return c->ended();
    std::string_view in(data, static_cast<std::size_t>(got));
    while (!in.empty() && !c->closed_) c->take(in);
  }

  void push() {
    while (!out_.empty() && !closed_) {
      ssize_t put = ::send(fd_.get(), out_.data(), out_.size(), MSG_NOSIGNAL);
      if (put < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN)) {
        event_add(write_.get(), nullptr);
        return;
      }
      if (put < 0) return ended();
      out_.erase(0, static_cast<std::size_t>(put));
      sent_ = true;
    }
  }

  /// A router may close a connection between requests; a try that crosses that is sent again.
  void ended() {
    close();
    if (!job_) return;
    if (answered_ || !sent_) {
      --job_->tries;
      job_->unsure |= sent_;
      tills_.tell(number_, TryResult::Unreached);
      if (!sent_) ++tills_.counts_.not_sent;
      return give_back(false, sent_ ? 0 : kUnreachedPause);
    }
    ++tills_.counts_.lost;
    tills_.tell(number_, TryResult::Lost);
    give_back(false);
  }

  void take(std::string_view& in) {
    Answer a;
    auto got = reader_.take(in, a);
    if (got == AnswerReader::Got::Nothing) return;
    bool fits = job_ && got == AnswerReader::Got::Answer && !a.last;
    if (fits && (a.kind == Answer::Kind::Value || a.kind == Answer::Kind::Stored))
      fits = a.id == id_ && (a.kind == Answer::Kind::Stored) == job_->request.write;
    if (!fits) {
      ++tills_.counts_.wrong;
      close();
      if (!job_) return;
      tills_.tell(number_, TryResult::Wrong);
      return give_back(false);
    }
    answered_ = true;
    if (a.kind == Answer::Kind::Busy) ++tills_.counts_.refused, ++tills_.second_().refused;
    bool served = a.kind == Answer::Kind::Value || a.kind == Answer::Kind::Stored;
    if (!served && a.kind != Answer::Kind::Busy) ++tills_.counts_.failed;
    tills_.tell(number_, served                         ? TryResult::Served
                         : a.kind == Answer::Kind::Busy ? TryResult::Refused
                                                        : TryResult::Failed);
    give_back(served);
  }

  void give_back(bool served, Micros pause = 0) {
    auto job = std::move(job_);
    job_ = nullptr;
    served ? tills_.end(job, true) : tills_.again(job, pause);
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
  std::shared_ptr<ClientRequest> job_;
  Micros until_ = 0;
  std::uint64_t number_ = 0;
  bool closed_ = false, answered_ = false;
  bool sent_ = false;  // some of the try
};

StormTills::StormTills(event_base* base, const TimeSource& clock, const emu::DayPlan& plan,
                       Routing routing, Micros slack, std::uint64_t seed,
                       std::function<emu::Second&()> second)
    : base_(base),
      clock_(clock),
      plan_(plan),
      routing_(std::move(routing)),
      slack_(slack),
      demand_(plan.tills, plan.fleet, plan.settings, routing_.router_count, seed),
      second_(std::move(second)),
      serial_(seed << 40),
      connections_(static_cast<std::size_t>(routing_.router_count)) {
  next_event_.reset(event_new(base, -1, 0, on_next, this));
  sweep_event_.reset(event_new(base, -1, EV_PERSIST, on_sweep, this));
  again_event_.reset(event_new(base, -1, 0, on_again, this));
}

StormTills::~StormTills() = default;

void StormTills::start() {
  stopped_ = false;
  next_at_ = clock_.now();
  timeval every = timeval_of(kSweep);
  event_add(sweep_event_.get(), &every);
  event_active(next_event_.get(), 0, 0);
}

void StormTills::on_next(evutil_socket_t, short, void* self) {
  auto* t = static_cast<StormTills*>(self);
  while (!t->stopped_ && t->next_at_ <= t->clock_.now()) {
    t->begin();
    t->next_at_ += t->demand_.next_gap();
  }
  if (t->stopped_) return;
  timeval wait = timeval_of(std::max<Micros>(0, t->next_at_ - t->clock_.now()));
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

void StormTills::on_again(evutil_socket_t, short, void* self) {
  auto* t = static_cast<StormTills*>(self);
  Micros now = t->clock_.now();
  auto all = t->jobs_;  // asking may end some
  for (const auto& job : all)
    if (job->again_at > 0 && job->again_at <= now) t->ask(job);
  t->wait_again();
}

void StormTills::wait_again() {
  Micros next = 0;
  for (const auto& job : jobs_)
    if (job->again_at > 0 && (!next || job->again_at < next)) next = job->again_at;
  if (!next) return;
  timeval wait = timeval_of(std::max<Micros>(1, next - clock_.now()));
  event_add(again_event_.get(), &wait);
}

void StormTills::begin() {
  emu::Demand::First first = demand_.draw();
  const robinseam::ClassSettings& type = plan_.settings.classes[first.request.write];
  auto job = std::make_shared<ClientRequest>();
  job->second = &second_();
  job->number = ++jobs_made_;
  job->router = pick(first.router);
  job->banner = first.banner;
  job->begun = clock_.now();
  job->aim = type.latency_objective;
  job->deadline = type.deadline;
  job->request = std::move(first.request);
  // Its own even where two storms run beside each other.
  if (job->request.write) job->request.idempotency = hex16(serial_ + ++value_);
  ++job->second->asked;
  ++banners_[static_cast<std::size_t>(job->banner)].asked;
  jobs_.push_back(job);
  ask(job);
}

void StormTills::ask(const std::shared_ptr<ClientRequest>& job) {
  job->again_at = 0;
  ++job->tries;
  if (std::exchange(job->asked, true) && routing_.retry_elsewhere) job->router = pick(-1);
  ++counts_.tries;
  ++second_().tries;
  Micros left = job->begun + job->deadline - clock_.now();
  Micros timeout = std::min(
      left, static_cast<Micros>(plan_.tills.try_share * static_cast<double>(job->deadline)));
  auto& all = connections_[static_cast<std::size_t>(job->router)];
  Connection* c = nullptr;
  for (auto it = all.rbegin(); it != all.rend() && !c; ++it)
    if ((*it)->free()) c = it->get();
  std::uint16_t port = c ? 0 : routing_.port_of(job->router);
  if (port && all.size() < kMostConnections) {
    all.push_back(std::make_unique<Connection>(*this, port));
    c = all.back().get();
  }
  std::uint64_t id = ++serial_;
  if (routing_.observer)
    routing_.observer->on_try_started(
        {id, job->number, job->router, job->tries, job->request.write, timeout});
  if (!c || c->closed()) {
    ++counts_.not_sent;
    --job->tries;
    tell(id, TryResult::Unreached);
    return again(job, kUnreachedPause);
  }
  c->ask(job, timeout, id);
}

/// Not before the loop's next turn: at once for a client, and no recursion here.
void StormTills::again(const std::shared_ptr<ClientRequest>& job, Micros pause) {
  Micros at = clock_.now() + std::max<Micros>({plan_.tills.pause, pause, 1});
  if (job->tries >= plan_.tills.tries || at >= job->begun + job->deadline) return end(job, false);
  job->again_at = at;
  if (!event_pending(again_event_.get(), EV_TIMEOUT, nullptr)) wait_again();
}

void StormTills::end(const std::shared_ptr<ClientRequest>& job, bool served) {
  bool in_time = served && clock_.now() - job->begun <= job->aim;
  emu::Second& s = *job->second;
  ++(in_time ? s.in_time : served ? s.late : s.unserved);
  banners_[static_cast<std::size_t>(job->banner)].served += served;
  if (routing_.observer) routing_.observer->on_request_done(job->number, served);
  std::erase(jobs_, job);
}

}  // namespace arrowfork::rig
