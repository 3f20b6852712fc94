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

constexpr Micros kSweepInterval = 20 * kMillisecond;
// Bounds the latencies kept for the quantiles: a quarter of an hour at 1,000 requests per second.
constexpr std::size_t kMaxLatencies = 1u << 20;

std::string hex16(std::uint64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
  return text;
}

}  // namespace

/// A till's connection; it has at most one request in flight.
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

  void send_request(bool write, const std::string& key, Micros first_sent_at = 0) {
    const Options& o = tills_.options_;
    busy_ = true;
    resent_ = first_sent_at > 0;
    write_request_ = write;
    key_ = key;
    sent_at_ = first_sent_at ? first_sent_at : tills_.clock_.now();
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
    flush();
  }

  /// Counts an overdue request as lost and closes the connection.
  void sweep(Micros now) {
    if (!busy_ || now - sent_at_ <= tills_.options_.deadline + tills_.options_.slack) return;
    ++tills_.counts_.lost;
    close();
  }

 private:
  enum class Result { Served, Refused, Failed, Wrong };

  static void on_write(evutil_socket_t, short, void* self) {
    static_cast<Connection*>(self)->flush();
  }
  static void on_read(evutil_socket_t, short, void* self) {
    auto* c = static_cast<Connection*>(self);
    char data[65536];
    ssize_t received = ::recv(c->fd_.get(), data, sizeof data, 0);
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (received <= 0) {
      c->on_closed();
      return;
    }
    std::string_view in(data, static_cast<std::size_t>(received));
    while (!in.empty() && !c->closed_)
      c->tills_.options_.binary ? c->parse_binary(in) : c->parse_meta(in);
  }

  void flush() {
    while (!out_.empty() && !closed_) {
      ssize_t sent = ::send(fd_.get(), out_.data(), out_.size(), MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN)) {
        event_add(write_.get(), nullptr);
        return;
      }
      if (sent < 0) {
        on_closed();
        return;
      }
      out_.erase(0, static_cast<std::size_t>(sent));
    }
  }

  /// A router may close an idle connection. A request sent at that moment crosses the close and is
  /// sent once more on another connection.
  void on_closed() {
    bool crossed_close = busy_ && answered_before_ && !resent_;
    if (busy_ && !crossed_close) ++tills_.counts_.lost;
    close();
    if (crossed_close) tills_.resend(write_request_, key_, sent_at_);
  }

  void close() {
    closed_ = true;
    busy_ = false;
    event_del(read_.get());
    event_del(write_.get());
  }

  bool value_matches(const std::string& value) const {
    return value == "price of " + key_ || value.starts_with(key_ + "=");
  }

  void parse_meta(std::string_view& in) {
    Answer a;
    auto got = reader_.take(in, a);
    if (got == AnswerReader::Got::Nothing) return;
    if (got == AnswerReader::Got::Broken || a.last) return record_result(Result::Wrong);
    if (a.kind == Answer::Kind::Busy) return record_result(Result::Refused);
    if (a.kind == Answer::Kind::Error || a.kind == Answer::Kind::Miss)
      return record_result(Result::Failed);
    bool matches = a.id == id_ && (a.kind == Answer::Kind::Stored) == write_request_ &&
                   (write_request_ ? !a.receipt.empty() : value_matches(a.value));
    record_result(matches ? Result::Served : Result::Wrong);
  }

  void parse_binary(std::string_view& in) {
    binary::Answer a;
    auto got = binary_reader_.take(in, a);
    if (got == binary::AnswerReader::Got::Nothing) return;
    if (got == binary::AnswerReader::Got::Broken || a.opaque != opaque_)
      return record_result(Result::Wrong);
    if (a.status == binary::status::kBusy) return record_result(Result::Refused);
    if (a.status != binary::status::kOk) return record_result(Result::Failed);
    record_result((write_request_ ? a.cas != 0 : a.key == key_ && value_matches(a.value))
                      ? Result::Served
                      : Result::Wrong);
  }

  void record_result(Result result) {
    Counts& c = tills_.counts_;
    if (!busy_ || result == Result::Wrong) {
      ++c.wrong;
      close();
      return;
    }
    busy_ = false;
    answered_before_ = true;
    Micros latency = tills_.clock_.now() - sent_at_;
    if (result == Result::Refused) ++c.refused;
    if (result == Result::Failed) ++c.failed;
    if (result != Result::Served) return;
    ++(latency <= tills_.options_.latency_objective ? c.in_time : c.late);
    if (c.latencies.size() < kMaxLatencies) c.latencies.push_back(latency);
  }

  Tills& tills_;
  const std::vector<robinseam::ReportField> no_fields_;
  AnswerReader reader_;
  binary::AnswerReader binary_reader_;
  Fd fd_;
  EventPtr read_, write_;
  std::string out_;
  bool busy_ = false, closed_ = false;
  bool answered_before_ = false;  // an earlier request on this connection
  bool resent_ = false;           // the request was sent on another connection before
  bool write_request_ = false;
  std::string key_, id_;
  std::uint32_t opaque_ = 0;
  Micros sent_at_ = 0;
};

Tills::Tills(event_base* base, const TimeSource& clock, Options options)
    : base_(base), clock_(clock), options_(std::move(options)), random_(options_.seed) {
  next_event_.reset(event_new(base, -1, 0, on_next, this));
  sweep_event_.reset(event_new(base, -1, EV_PERSIST, on_sweep, this));
}

Tills::~Tills() = default;

void Tills::start() {
  stopped_ = false;
  next_start_ = clock_.now();
  timeval interval = timeval_of(kSweepInterval);
  event_add(sweep_event_.get(), &interval);
  event_active(next_event_.get(), 0, 0);
}

void Tills::stop() { stopped_ = true; }

bool Tills::idle() const {
  return std::none_of(connections_.begin(), connections_.end(),
                      [](const auto& c) { return c->busy(); });
}

/// Requests arrive as a Poisson process, independent of earlier answers.
void Tills::on_next(evutil_socket_t, short, void* self) {
  auto* t = static_cast<Tills*>(self);
  std::exponential_distribution<double> gap(t->options_.rate);
  while (!t->stopped_ && t->next_start_ <= t->clock_.now()) {
    t->send_request();
    t->next_start_ += static_cast<Micros>(gap(t->random_) * kSecond);
  }
  if (t->stopped_) return;
  timeval wait = timeval_of(std::max<Micros>(0, t->next_start_ - t->clock_.now()));
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

Tills::Connection* Tills::free_connection() {
  // Prefers the newest connection: the router may close older ones that are idle.
  for (auto it = connections_.rbegin(); it != connections_.rend(); ++it)
    if ((*it)->free()) return it->get();
  if (connections_.size() >= options_.max_connections) return nullptr;
  std::uint16_t port = options_.routers[random_() % options_.routers.size()];
  connections_.push_back(std::make_unique<Connection>(*this, port));
  return connections_.back().get();
}

void Tills::send_request() {
  // Popularity 1/rank by inversion: rank = keys^u for uniform u.
  double u = std::uniform_real_distribution<double>(0, 1)(random_);
  std::string key = "item" + std::to_string(static_cast<int>(std::pow(options_.keys, u)));
  bool write = std::uniform_real_distribution<double>(0, 1)(random_) < options_.write_share;
  Connection* c = free_connection();
  if (!c || c->closed()) {
    ++counts_.not_sent;
    return;
  }
  ++counts_.offered;
  c->send_request(write, key);
}

void Tills::resend(bool write, const std::string& key, Micros first_sent_at) {
  std::uint16_t port = options_.routers[random_() % options_.routers.size()];
  connections_.push_back(std::make_unique<Connection>(*this, port));
  if (connections_.back()->closed())
    ++counts_.lost;
  else
    connections_.back()->send_request(write, key, first_sent_at);
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
