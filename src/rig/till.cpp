#include "till.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cmath>

#include "../protocol/binary.hpp"
#include "../protocol/meta.hpp"

namespace arrowfork::rig {
namespace {

constexpr Micros kSweep = 20 * kMillisecond;
// Latencies kept for the quantiles; at 1,000 a second those of a quarter of an hour.
constexpr std::size_t kMostLatencies = 1u << 20;

std::string hex16(std::uint64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
  return text;
}

}  // namespace

/// One request at a time, as a till has it.
class Tills::Connection {
 public:
  Connection(Tills& tills, std::uint16_t port)
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

  bool free() const { return !busy_ && !closed_; }
  bool closed() const { return closed_; }
  bool busy() const { return busy_; }

  void ask(bool write, const std::string& key, Micros since = 0) {
    const Options& o = tills_.options_;
    busy_ = true;
    again_ = since > 0;
    write_request_ = write;
    key_ = key;
    sent_ = since ? since : tills_.clock_.now();
    std::uint64_t serial = ++tills_.serial_;
    opaque_ = static_cast<std::uint32_t>(serial);
    id_ = hex16(tills_.random_());
    std::string value = key + "=" + o.name + std::to_string(serial);
    if (o.binary) {
      binary::Command c;
      c.opcode = write ? binary::Opcode::Set : binary::Opcode::GetK;
      c.opaque = opaque_;
      c.key = key;
      if (write) c.value = value;
      out_ = binary::request(c);
    } else {
      std::string tail = " O" + id_ + " Pc=" + (write ? o.write_class : o.read_class) +
                         ",t=" + o.tenant + ",d=" + std::to_string(o.deadline / kMillisecond);
      out_ = write ? "ms " + key + " " + std::to_string(value.size()) + tail +
                         ",k=" + hex16(tills_.random_()) + "\r\n" + value + "\r\n"
                   : "mg " + key + " v" + tail + "\r\n";
    }
    push();
  }

  /// Takes what is overdue for lost.
  void sweep(Micros now) {
    if (!busy_ || now - sent_ <= tills_.options_.deadline + tills_.options_.slack) return;
    ++tills_.counts_.lost;
    end();
  }

 private:
  enum class What { Served, Refused, Failed, Wrong };

  static void on_write(evutil_socket_t, short, void* self) {
    static_cast<Connection*>(self)->push();
  }
  static void on_read(evutil_socket_t, short, void* self) {
    auto* c = static_cast<Connection*>(self);
    char data[65536];
    ssize_t got = ::recv(c->fd_.get(), data, sizeof data, 0);
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (got <= 0) {
      c->ended();
      return;
    }
    std::string_view in(data, static_cast<std::size_t>(got));
    while (!in.empty() && !c->closed_)
      c->tills_.options_.binary ? c->take_binary(in) : c->take_meta(in);
  }

  void push() {
    while (!out_.empty() && !closed_) {
      ssize_t put = ::send(fd_.get(), out_.data(), out_.size(), MSG_NOSIGNAL);
      if (put < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN)) {
        event_add(write_.get(), nullptr);
        return;
      }
      if (put < 0) {
        ended();
        return;
      }
      out_.erase(0, static_cast<std::size_t>(put));
    }
  }

  /// A router may close between requests; a request that crosses that close is sent once more.
  void ended() {
    bool crossed = busy_ && answered_ && !again_;
    if (busy_ && !crossed) ++tills_.counts_.lost;
    end();
    if (crossed) tills_.ask_again(write_request_, key_, sent_);
  }

  void end() {
    closed_ = true;
    busy_ = false;
    event_del(read_.get());
    event_del(write_.get());
  }

  bool value_fits(const std::string& value) const {
    return value == "price of " + key_ || value.starts_with(key_ + "=");
  }

  void take_meta(std::string_view& in) {
    Answer a;
    auto got = reader_.take(in, a);
    if (got == AnswerReader::Got::Nothing) return;
    if (got == AnswerReader::Got::Broken || a.last) return note(What::Wrong);
    if (a.kind == Answer::Kind::Busy) return note(What::Refused);
    if (a.kind == Answer::Kind::Error || a.kind == Answer::Kind::Miss) return note(What::Failed);
    bool fits = a.id == id_ && (a.kind == Answer::Kind::Stored) == write_request_ &&
                (write_request_ ? !a.receipt.empty() : value_fits(a.value));
    note(fits ? What::Served : What::Wrong);
  }

  void take_binary(std::string_view& in) {
    binary::Answer a;
    auto got = binary_reader_.take(in, a);
    if (got == binary::AnswerReader::Got::Nothing) return;
    if (got == binary::AnswerReader::Got::Broken || a.opaque != opaque_) return note(What::Wrong);
    if (a.status == binary::status::kBusy) return note(What::Refused);
    if (a.status != binary::status::kOk) return note(What::Failed);
    note((write_request_ ? a.cas != 0 : a.key == key_ && value_fits(a.value)) ? What::Served
                                                                              : What::Wrong);
  }

  void note(What what) {
    Counts& c = tills_.counts_;
    if (!busy_ || what == What::Wrong) {
      ++c.wrong;
      end();
      return;
    }
    busy_ = false;
    answered_ = true;
    Micros latency = tills_.clock_.now() - sent_;
    if (what == What::Refused) ++c.refused;
    if (what == What::Failed) ++c.failed;
    if (what != What::Served) return;
    ++(latency <= tills_.options_.latency_objective ? c.in_time : c.late);
    if (c.latencies.size() < kMostLatencies) c.latencies.push_back(latency);
  }

  Tills& tills_;
  const std::vector<robinseam::ReportField> no_fields_;
  AnswerReader reader_;
  binary::AnswerReader binary_reader_;
  Fd fd_;
  EventPtr read_, write_;
  std::string out_;
  bool busy_ = false, closed_ = false;
  bool answered_ = false;  // something, on this connection
  bool again_ = false;     // the request was on another before
  bool write_request_ = false;
  std::string key_, id_;
  std::uint32_t opaque_ = 0;
  Micros sent_ = 0;
};

Tills::Tills(event_base* base, const TimeSource& clock, Options options)
    : base_(base), clock_(clock), options_(std::move(options)), random_(options_.seed) {
  next_event_.reset(event_new(base, -1, 0, on_next, this));
  sweep_event_.reset(event_new(base, -1, EV_PERSIST, on_sweep, this));
}

Tills::~Tills() = default;

void Tills::start() {
  stopped_ = false;
  next_at_ = clock_.now();
  timeval every = timeval_of(kSweep);
  event_add(sweep_event_.get(), &every);
  event_active(next_event_.get(), 0, 0);
}

void Tills::stop() { stopped_ = true; }

bool Tills::idle() const {
  return std::none_of(connections_.begin(), connections_.end(),
                      [](const auto& c) { return c->busy(); });
}

/// Requests come as a Poisson process, whatever became of those before.
void Tills::on_next(evutil_socket_t, short, void* self) {
  auto* t = static_cast<Tills*>(self);
  std::exponential_distribution<double> gap(t->options_.rate);
  while (!t->stopped_ && t->next_at_ <= t->clock_.now()) {
    t->ask();
    t->next_at_ += static_cast<Micros>(gap(t->random_) * kSecond);
  }
  if (t->stopped_) return;
  timeval wait = timeval_of(std::max<Micros>(0, t->next_at_ - t->clock_.now()));
  event_add(t->next_event_.get(), &wait);
}

void Tills::on_sweep(evutil_socket_t, short, void* self) {
  auto* t = static_cast<Tills*>(self);
  Micros now = t->clock_.now();
  for (auto& c : t->connections_) c->sweep(now);
  t->drop_closed();
}

void Tills::drop_closed() {
  std::erase_if(connections_, [](const auto& c) { return c->closed(); });
}

Tills::Connection* Tills::pick() {
  // The one used last: idle ones behind it may be closed by the router.
  for (auto it = connections_.rbegin(); it != connections_.rend(); ++it)
    if ((*it)->free()) return it->get();
  if (connections_.size() >= options_.max_connections) return nullptr;
  std::uint16_t port = options_.routers[random_() % options_.routers.size()];
  connections_.push_back(std::make_unique<Connection>(*this, port));
  return connections_.back().get();
}

void Tills::ask() {
  // 1/rank by inversion: rank = keys^u for u uniform.
  double u = std::uniform_real_distribution<double>(0, 1)(random_);
  std::string key = "item" + std::to_string(static_cast<int>(std::pow(options_.keys, u)));
  bool write = std::uniform_real_distribution<double>(0, 1)(random_) < options_.write_share;
  Connection* c = pick();
  if (!c || c->closed()) {
    ++counts_.not_sent;
    return;
  }
  ++counts_.offered;
  c->ask(write, key);
}

void Tills::ask_again(bool write, const std::string& key, Micros since) {
  std::uint16_t port = options_.routers[random_() % options_.routers.size()];
  connections_.push_back(std::make_unique<Connection>(*this, port));
  if (connections_.back()->closed())
    ++counts_.lost;
  else
    connections_.back()->ask(write, key, since);
}

Micros Tills::latency_quantile(double q) const {
  std::vector<Micros> sorted = counts_.latencies;
  if (sorted.empty()) return 0;
  auto at =
      std::min(sorted.size() - 1, static_cast<std::size_t>(q * static_cast<double>(sorted.size())));
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(at), sorted.end());
  return sorted[at];
}

}  // namespace arrowfork::rig
