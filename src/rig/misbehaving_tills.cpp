#include "misbehaving_tills.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <string_view>

#include "../protocol/binary.hpp"

namespace arrowfork::rig {
namespace {

constexpr int kFloodCommands = 300;

std::string read_command(bool binary, std::uint32_t number) {
  std::string key = "rude" + std::to_string(number);
  if (binary) return binary::request({binary::Opcode::GetKQ, number, 0, 0, 0, key, ""});
  return "mg " + key + " v Or" + std::to_string(number) + " Pc=read,t=acme,d=500\r\n";
}

}  // namespace

const char* misbehavior_name(Misbehavior misbehavior) {
  constexpr const char* kNames[] = {"silent", "half", "cut", "noise", "huge", "flood", "unknown"};
  static_assert(std::size(kNames) == static_cast<std::size_t>(Misbehavior::kCount));
  return kNames[static_cast<std::size_t>(misbehavior)];
}

class MisbehavingTills::Client {
 public:
  Client(MisbehavingTills& tills, Misbehavior misbehavior, std::uint16_t port, std::uint32_t number)
      : tills_(tills),
        misbehavior_(misbehavior),
        fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
        connected_at_(tills.clock_.now()) {
    auto address = parse_address("127.0.0.1:" + std::to_string(port));
    if (::connect(fd_.get(), reinterpret_cast<sockaddr*>(&*address), sizeof *address) != 0 &&
        errno != EINPROGRESS)
      done_ = true;
    out_ = bytes_to_send(number);
    write_event_.reset(event_new(tills.base_, fd_.get(), EV_WRITE, on_writable, this));
    read_event_.reset(event_new(tills.base_, fd_.get(), EV_READ | EV_PERSIST, on_readable, this));
    event_add(write_event_.get(), nullptr);
    if (misbehavior != Misbehavior::Flood) event_add(read_event_.get(), nullptr);
  }

  bool done() const { return done_; }

  void sweep(Micros now) {
    if (done_) return;
    if (misbehavior_ == Misbehavior::Flood) {
      // It reads nothing and so cannot see the close; it counts as closed after half the time
      // limit.
      if (now - connected_at_ > tills_.options_.answer_limit / 2)
        ++tills_.counts_.closed, done_ = true;
    } else if (now - connected_at_ > tills_.options_.answer_limit) {
      ++tills_.counts_.unanswered;
      done_ = true;
    }
  }

 private:
  std::string bytes_to_send(std::uint32_t number) const {
    bool binary = tills_.options_.binary;
    std::string command = read_command(binary, number);
    switch (misbehavior_) {
      case Misbehavior::Silent:
        return "";
      case Misbehavior::Half:
      case Misbehavior::Cut:
        return command.substr(0, command.size() / 2);
      case Misbehavior::Noise: {
        // Starts like a command of the protocol, so that the router parses it as that protocol.
        std::string noise(200, '\0');
        for (char& c : noise) c = static_cast<char>(tills_.random_());
        if (!binary) return "mg " + noise + "\r\n";
        noise[0] = static_cast<char>(binary::kRequestMagic);
        noise[4] = static_cast<char>(0xff), noise[8] = noise[9] = noise[10] = 0;  // body too short
        return noise;
      }
      case Misbehavior::Huge:
        if (!binary) return "ms key 4294967295 Or Pc=put,d=500\r\n";
        command = binary::request({binary::Opcode::Set, number, 0, 0, 0, "key", ""});
        for (std::size_t k = 8; k < 12; ++k) command[k] = static_cast<char>(0xff);
        return command;
      case Misbehavior::Flood: {
        std::string all;
        for (std::uint32_t k = 0; k < kFloodCommands; ++k)
          all += read_command(binary, number * kFloodCommands + k);
        return all;
      }
      default:
        if (!binary) return "get key\r\n";
        command[1] = static_cast<char>(0xee);
        return command;
    }
  }

  static void on_writable(evutil_socket_t, short, void* self) {
    auto* c = static_cast<Client*>(self);
    while (!c->out_.empty()) {
      ssize_t sent = ::send(c->fd_.get(), c->out_.data(), c->out_.size(), MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        event_add(c->write_event_.get(), nullptr);
        return;
      }
      if (sent < 0) return c->on_closed();
      c->out_.erase(0, static_cast<std::size_t>(sent));
    }
    if (c->misbehavior_ != Misbehavior::Cut) return;
    linger immediately{1, 0};
    ::setsockopt(c->fd_.get(), SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    c->on_closed();
  }

  static void on_readable(evutil_socket_t, short, void* self) {
    auto* c = static_cast<Client*>(self);
    char data[4096];
    ssize_t received = ::recv(c->fd_.get(), data, sizeof data, 0);
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (received <= 0) return c->on_closed();
    std::string_view in(data, static_cast<std::size_t>(received));
    bool value = c->tills_.options_.binary ? in.size() > 7 && in[6] == 0 && in[7] == 0
                                           : in.starts_with("VA ") || in.starts_with("HD ");
    ++(value ? c->tills_.counts_.served : c->tills_.counts_.rejected);
    c->finish();
  }

  void on_closed() {
    if (!done_) ++tills_.counts_.closed;
    finish();
  }
  void finish() {
    done_ = true;
    event_del(write_event_.get());
    event_del(read_event_.get());
  }

  MisbehavingTills& tills_;
  Misbehavior misbehavior_;
  Fd fd_;
  EventPtr write_event_, read_event_;
  std::string out_;
  bool done_ = false;
  Micros connected_at_;
};

MisbehavingTills::MisbehavingTills(event_base* base, const TimeSource& clock, Options options)
    : base_(base), clock_(clock), options_(std::move(options)), random_(options_.seed) {
  next_event_.reset(event_new(base, -1, EV_PERSIST, on_next, this));
}

MisbehavingTills::~MisbehavingTills() = default;

void MisbehavingTills::start() {
  stopped_ = false;
  timeval interval = timeval_of(static_cast<Micros>(kSecond / options_.rate));
  event_add(next_event_.get(), &interval);
}

void MisbehavingTills::stop() { stopped_ = true; }

bool MisbehavingTills::idle() const { return clients_.empty(); }

void MisbehavingTills::on_next(evutil_socket_t, short, void* self) {
  auto* t = static_cast<MisbehavingTills*>(self);
  Micros now = t->clock_.now();
  for (auto& c : t->clients_) c->sweep(now);
  std::erase_if(t->clients_, [](const auto& c) { return c->done(); });
  if (t->stopped_ || t->clients_.size() >= t->options_.max_open) return;
  auto number = static_cast<std::uint32_t>(++t->counts_.started);
  auto misbehavior =
      static_cast<Misbehavior>(number % static_cast<std::uint32_t>(Misbehavior::kCount));
  std::uint16_t port = t->options_.routers[t->random_() % t->options_.routers.size()];
  t->clients_.push_back(std::make_unique<Client>(*t, misbehavior, port, number));
}

}  // namespace arrowfork::rig
