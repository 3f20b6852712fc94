#include "cache_server.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "../protocol/binary.hpp"
#include "../protocol/meta.hpp"

namespace arrowfork::rig {
namespace {

constexpr int kSlowFactor = 10;
// Bounds memory: the records used to detect duplicates are cleared above this size.
constexpr std::size_t kMaxEntries = 1u << 20;

constexpr std::array<std::pair<const char*, CacheFault>, 11> kFaults{
    {{"none", CacheFault::None},
     {"slow", CacheFault::Slow},
     {"silent", CacheFault::Silent},
     {"full", CacheFault::Rejecting},
     {"failing", CacheFault::Failing},
     {"spoilt", CacheFault::Malformed},
     {"reset", CacheFault::Reset},
     {"half", CacheFault::Truncated},
     {"other-key", CacheFault::OtherKey},
     {"wrong-protocol", CacheFault::WrongProtocol},
     {"refusing", CacheFault::RefusingConnections}}};

std::string hex16(std::uint64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
  return text;
}

}  // namespace

CacheFault parse_fault(const std::string& name) {
  for (const auto& [known, fault] : kFaults)
    if (name == known) return fault;
  throw std::invalid_argument("unknown fault '" + name + "'");
}

const char* fault_name(CacheFault fault) {
  for (const auto& [known, one] : kFaults)
    if (one == fault) return known;
  return "";
}

Origin::Item Origin::read(const std::string& key) const {
  auto at = items_.find(key);
  return at == items_.end() ? Item{"price of " + key, 0} : at->second;
}

std::string Origin::write(const std::string& key, Item item, const std::string& idempotency_key) {
  if (receipts_by_key_.size() > kMaxEntries) receipts_by_key_.clear();
  if (runs_.size() > kMaxEntries) runs_.clear();
  if (!idempotency_key.empty()) {
    auto at = receipts_by_key_.find(idempotency_key);
    if (at != receipts_by_key_.end()) return at->second;
  }
  duplicate_effects_ += ++runs_[key + '\n' + item.value] == 2;
  items_[key] = std::move(item);
  std::string receipt = hex16(++receipts_);
  if (!idempotency_key.empty()) receipts_by_key_[idempotency_key] = receipt;
  return receipt;
}

/// Commands start on arrival, each takes the service time, and answers are sent in order.
class CacheServer::Connection {
 public:
  Connection(CacheServer& server, Fd fd) : server_(server), fd_(std::move(fd)), meta_reader_(true) {
    read_.reset(event_new(server.base_, fd_.get(), EV_READ | EV_PERSIST, on_read, this));
    write_.reset(event_new(server.base_, fd_.get(), EV_WRITE, on_write, this));
    timer_.reset(event_new(server.base_, -1, 0, on_write, this));
    event_add(read_.get(), nullptr);
  }

  void reset() {
    linger immediately{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    fd_.reset();
  }

 private:
  struct PendingAnswer {
    Micros due_at;
    std::string bytes;
    enum class After { KeepOpen, Close, Reset } after = After::KeepOpen;
  };

  static void on_read(evutil_socket_t, short, void* self) {
    auto* c = static_cast<Connection*>(self);
    char data[65536];
    ssize_t received = ::recv(c->fd_.get(), data, sizeof data, MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (received <= 0) {
      c->server_.close(*c);
      return;
    }
    std::string_view in(data, static_cast<std::size_t>(received));
    if (!c->protocol_known_) {
      c->protocol_known_ = true;
      c->binary_ = static_cast<unsigned char>(in.front()) == binary::kRequestMagic;
      ++(c->binary_ ? c->server_.counts_.binary_connections : c->server_.counts_.meta_connections);
    }
    c->binary_ ? c->process_binary(in) : c->process_meta(in);
    c->write_due_answers();
  }

  static void on_write(evutil_socket_t, short, void* self) {
    static_cast<Connection*>(self)->write_due_answers();
  }

  CacheFault fault() const { return server_.fault_; }

  void schedule(std::string bytes, PendingAnswer::After after = PendingAnswer::After::KeepOpen) {
    Micros service =
        server_.options_.service_time * (fault() == CacheFault::Slow ? kSlowFactor : 1);
    pending_.push_back({server_.clock_.now() + service, std::move(bytes), after});
  }

  /// Schedules an answer, altered or dropped as the current fault requires.
  void schedule_answer(std::string bytes) {
    switch (fault()) {
      case CacheFault::Silent:
        return;
      case CacheFault::Malformed:
        for (char& c : bytes) c = server_.next_noise_char();
        return schedule(bytes + "\r\n");
      case CacheFault::Reset:
        return schedule({}, PendingAnswer::After::Reset);
      case CacheFault::Truncated:
        bytes.resize(bytes.size() / 2);
        return schedule(std::move(bytes), PendingAnswer::After::Close);
      default:
        return schedule(std::move(bytes));
    }
  }

  void reject_malformed(std::string error) {
    ++server_.counts_.malformed_commands;
    schedule(std::move(error), PendingAnswer::After::Close);
  }

  bool is_cached(const std::string& key) const {
    return !server_.options_.cache_aside || server_.cached_items_.count(key) > 0;
  }

  void process_meta(std::string_view in) {
    if (!server_.options_.meta || fault() == CacheFault::WrongProtocol)
      return reject_malformed(
          binary::response(binary::Opcode::Noop, binary::status::kInvalid, 0, "bad magic"));
    while (!in.empty()) {
      Command c;
      auto got = meta_reader_.take(in, c);
      if (got == CommandReader::Got::Nothing) return;
      if (got == CommandReader::Got::Noop) {
        schedule("MN\r\n");
        continue;
      }
      if (got == CommandReader::Got::Broken || got == CommandReader::Got::Unknown)
        return reject_malformed("ERROR\r\n");
      if (got != CommandReader::Got::Command) return reject_malformed("CLIENT_ERROR bad\r\n");
      ++server_.counts_.commands;
      std::string id = fault() == CacheFault::OtherKey ? "of-another" : c.id;
      if (fault() == CacheFault::Rejecting || fault() == CacheFault::Failing) {
        schedule(fault() == CacheFault::Rejecting ? "SERVER_ERROR busy 20\r\n"
                                                  : "SERVER_ERROR failed\r\n");
      } else if (c.set) {
        ++server_.counts_.writes;
        std::string receipt = write(c.key, {*c.value, c.flags}, c.idempotency);
        schedule_answer("HD O" + id + " c" + receipt + "\r\n");
      } else if (!is_cached(c.key)) {
        schedule_answer("EN\r\n");
      } else {
        ++server_.counts_.reads;
        Origin::Item item = server_.origin_.read(c.key);
        std::string text = "VA " + std::to_string(item.value.size());
        if (c.wants_flags) text += " f" + std::to_string(item.flags);
        schedule_answer(text + " O" + id + " h1\r\n" + item.value + "\r\n");
      }
    }
  }

  void process_binary(std::string_view in) {
    using binary::Opcode;
    if (!server_.options_.binary || fault() == CacheFault::WrongProtocol)
      return reject_malformed("ERROR\r\n");
    while (!in.empty()) {
      binary::Command c;
      auto got = binary_reader_.take(in, c);
      if (got == binary::CommandReader::Got::Nothing) return;
      if (got == binary::CommandReader::Got::Broken)
        return reject_malformed(binary::response(c.opcode, binary_reader_.refused(), c.opaque));
      if (got == binary::CommandReader::Got::Refused) {
        schedule(binary::response(c.opcode, binary_reader_.refused(), c.opaque));
        continue;
      }
      ++server_.counts_.commands;
      if (fault() == CacheFault::Rejecting || fault() == CacheFault::Failing) {
        schedule(binary::response(
            c.opcode,
            fault() == CacheFault::Rejecting ? binary::status::kBusy : binary::status::kInternal,
            c.opaque, fault() == CacheFault::Rejecting ? "busy 20" : "failed"));
        continue;
      }
      bool other = fault() == CacheFault::OtherKey;
      std::uint32_t opaque = c.opaque + (other ? 1 : 0);
      if (binary::is_write(c.opcode)) {
        ++server_.counts_.writes;
        bool keyed = server_.options_.cas_is_idempotency_key && c.cas != 0;
        std::string receipt = write(c.key, {c.value, c.flags}, keyed ? hex16(c.cas) : "");
        std::uint64_t cas = std::stoull(receipt, nullptr, 16);
        if (c.opcode == Opcode::Set)
          schedule_answer(binary::response(c.opcode, binary::status::kOk, opaque, {}, {}, 0, cas));
      } else if (binary::is_read(c.opcode) && !is_cached(c.key)) {
        if (!binary::is_quiet(c.opcode))
          schedule_answer(
              binary::response(c.opcode, binary::status::kNotFound, opaque, "not found"));
      } else if (binary::is_read(c.opcode)) {
        ++server_.counts_.reads;
        Origin::Item item = server_.origin_.read(c.key);
        schedule_answer(binary::response(c.opcode, binary::status::kOk, opaque, item.value,
                                         other ? "of-another" : c.key, item.flags));
      } else {
        schedule(binary::response(c.opcode, binary::status::kOk, c.opaque));
      }
    }
  }

  std::string write(const std::string& key, Origin::Item item, const std::string& idempotency_key) {
    if (server_.options_.cache_aside && server_.cached_items_.size() < kMaxEntries)
      server_.cached_items_[key] = item;
    return server_.origin_.write(key, std::move(item), idempotency_key);
  }

  /// Writes the answers that are due and sets the timer for the next one.
  void write_due_answers() {
    while (true) {
      while (!pending_.empty() && pending_.front().due_at <= server_.clock_.now() && !closing_) {
        PendingAnswer due = std::move(pending_.front());
        pending_.pop_front();
        if (due.after == PendingAnswer::After::Reset) {
          reset();
          server_.close(*this);
          return;
        }
        out_ += due.bytes;
        closing_ = due.after == PendingAnswer::After::Close;
      }
      if (out_.empty()) break;
      ssize_t sent = ::send(fd_.get(), out_.data(), out_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        event_add(write_.get(), nullptr);
        return;
      }
      if (sent < 0) {
        server_.close(*this);
        return;
      }
      out_.erase(0, static_cast<std::size_t>(sent));
    }
    if (closing_) {
      server_.close(*this);
      return;
    }
    if (pending_.empty()) return;
    timeval wait = timeval_of(std::max<Micros>(0, pending_.front().due_at - server_.clock_.now()));
    event_add(timer_.get(), &wait);
  }

  friend class CacheServer;
  CacheServer& server_;
  Fd fd_;
  EventPtr read_, write_, timer_;
  bool protocol_known_ = false, binary_ = false, closing_ = false;
  CommandReader meta_reader_;
  binary::CommandReader binary_reader_;
  std::deque<PendingAnswer> pending_;
  std::string out_;
};

CacheServer::CacheServer(event_base* base, const TimeSource& clock, Origin& origin, Options options,
                         std::uint16_t port)
    : base_(base), clock_(clock), origin_(origin), options_(options), noise_state_(options.seed) {
  auto address = parse_address("127.0.0.1:" + std::to_string(port));
  listener_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  int on = 1;
  socklen_t size = sizeof *address;
  auto* raw = reinterpret_cast<sockaddr*>(&*address);
  if (!listener_ || ::setsockopt(listener_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      ::bind(listener_.get(), raw, size) != 0 || ::listen(listener_.get(), SOMAXCONN) != 0 ||
      ::getsockname(listener_.get(), raw, &size) != 0)
    throw std::runtime_error("cache server: cannot listen: " + std::string(std::strerror(errno)));
  port_ = ntohs(address->sin_port);
  accept_event_.reset(event_new(base_, listener_.get(), EV_READ | EV_PERSIST, on_accept, this));
  event_add(accept_event_.get(), nullptr);
}

CacheServer::~CacheServer() = default;

char CacheServer::next_noise_char() {  // Knuth's MMIX generator
  noise_state_ = noise_state_ * 6364136223846793005ULL + 1442695040888963407ULL;
  return static_cast<char>('a' + (noise_state_ >> 33) % 26);
}

void CacheServer::set_fault(CacheFault fault) {
  fault_ = fault;
  if (fault != CacheFault::RefusingConnections) return;
  for (auto& c : connections_) c->reset();
  connections_.clear();
}

void CacheServer::on_accept(evutil_socket_t, short, void* self) {
  auto* s = static_cast<CacheServer*>(self);
  Fd fd(::accept4(s->listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!fd) return;
  int on = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ++s->counts_.connections;
  s->connections_.push_back(std::make_unique<Connection>(*s, std::move(fd)));
  if (s->fault_ == CacheFault::RefusingConnections) {
    s->connections_.back()->reset();
    s->connections_.pop_back();
  }
}

void CacheServer::close(Connection& c) {
  std::erase_if(connections_, [&](const auto& one) { return one.get() == &c; });
}

}  // namespace arrowfork::rig
