#include "misbehaving_tills.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <string_view>

#include "../protocol/binary.hpp"

namespace arrowfork::rig {
namespace {

constexpr int kFlood = 300;

std::string command(bool binary, std::uint32_t number) {
  std::string key = "rude" + std::to_string(number);
  if (binary) return binary::request({binary::Opcode::GetKQ, number, 0, 0, 0, key, ""});
  return "mg " + key + " v Or" + std::to_string(number) + " Pc=read,t=acme,d=500\r\n";
}

}  // namespace

const char* misbehavior_name(Misbehavior rudeness) {
  constexpr const char* kNames[] = {"silent", "half", "cut", "noise", "huge", "flood", "unknown"};
  static_assert(std::size(kNames) == static_cast<std::size_t>(Misbehavior::kCount));
  return kNames[static_cast<std::size_t>(rudeness)];
}

class MisbehavingTills::Client {
 public:
  Client(MisbehavingTills& tills, Misbehavior rudeness, std::uint16_t port, std::uint32_t number)
      : tills_(tills),
        rudeness_(rudeness),
        fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
        since_(tills.clock_.now()) {
    auto address = parse_address("127.0.0.1:" + std::to_string(port));
    if (::connect(fd_.get(), reinterpret_cast<sockaddr*>(&*address), sizeof *address) != 0 &&
        errno != EINPROGRESS)
      done_ = true;
    out_ = bytes(number);
    event_.reset(event_new(tills.base_, fd_.get(), EV_WRITE, on_writable, this));
    read_.reset(event_new(tills.base_, fd_.get(), EV_READ | EV_PERSIST, on_readable, this));
    event_add(event_.get(), nullptr);
    if (rudeness != Misbehavior::Flood) event_add(read_.get(), nullptr);
  }

  bool done() const { return done_; }

  void sweep(Micros now) {
    if (done_) return;
    if (rudeness_ == Misbehavior::Flood) {
      // It takes nothing: what it is owed, the close, would not even show. It goes by itself.
      if (now - since_ > tills_.options_.answer_limit / 2) ++tills_.counts_.closed, done_ = true;
    } else if (now - since_ > tills_.options_.answer_limit) {
      ++tills_.counts_.unanswered;
      done_ = true;
    }
  }

 private:
  std::string bytes(std::uint32_t number) const {
    bool binary = tills_.options_.binary;
    std::string one = command(binary, number);
    switch (rudeness_) {
      case Misbehavior::Silent:
        return "";
      case Misbehavior::Half:
      case Misbehavior::Cut:
        return one.substr(0, one.size() / 2);
      case Misbehavior::Noise: {
        // In the protocol's dress, so that it is read as that protocol.
        std::string noise(200, '\0');
        for (char& c : noise) c = static_cast<char>(tills_.random_());
        if (!binary) return "mg " + noise + "\r\n";
        noise[0] = static_cast<char>(binary::kRequestMagic);
        noise[4] = static_cast<char>(0xff), noise[8] = noise[9] = noise[10] = 0;  // body too short
        return noise;
      }
      case Misbehavior::Huge:
        if (!binary) return "ms key 4294967295 Or Pc=put,d=500\r\n";
        one = binary::request({binary::Opcode::Set, number, 0, 0, 0, "key", ""});
        for (std::size_t k = 8; k < 12; ++k) one[k] = static_cast<char>(0xff);
        return one;
      case Misbehavior::Flood: {
        std::string all;
        for (std::uint32_t k = 0; k < kFlood; ++k) all += command(binary, number * kFlood + k);
        return all;
      }
      default:
        if (!binary) return "get key\r\n";
        one[1] = static_cast<char>(0xee);
        return one;
    }
  }

  static void on_writable(evutil_socket_t, short, void* self) {
    auto* c = static_cast<Client*>(self);
    while (!c->out_.empty()) {
      ssize_t put = ::send(c->fd_.get(), c->out_.data(), c->out_.size(), MSG_NOSIGNAL);
      if (put < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        event_add(c->event_.get(), nullptr);
        return;
      }
      if (put < 0) return c->ended();
      c->out_.erase(0, static_cast<std::size_t>(put));
    }
    if (c->rudeness_ != Misbehavior::Cut) return;
    linger now{1, 0};
    ::setsockopt(c->fd_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    c->ended();
  }

  static void on_readable(evutil_socket_t, short, void* self) {
    auto* c = static_cast<Client*>(self);
    char data[4096];
    ssize_t got = ::recv(c->fd_.get(), data, sizeof data, 0);
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (got <= 0) return c->ended();
    std::string_view in(data, static_cast<std::size_t>(got));
    bool value = c->tills_.options_.binary ? in.size() > 7 && in[6] == 0 && in[7] == 0
                                           : in.starts_with("VA ") || in.starts_with("HD ");
    ++(value ? c->tills_.counts_.served : c->tills_.counts_.rejected);
    c->finish();
  }

  void ended() {
    if (!done_) ++tills_.counts_.closed;
    finish();
  }
  void finish() {
    done_ = true;
    event_del(event_.get());
    event_del(read_.get());
  }

  MisbehavingTills& tills_;
  Misbehavior rudeness_;
  Fd fd_;
  EventPtr event_, read_;
  std::string out_;
  bool done_ = false;
  Micros since_;
};

MisbehavingTills::MisbehavingTills(event_base* base, const TimeSource& clock, Options options)
    : base_(base), clock_(clock), options_(std::move(options)), random_(options_.seed) {
  next_event_.reset(event_new(base, -1, EV_PERSIST, on_next, this));
}

MisbehavingTills::~MisbehavingTills() = default;

void MisbehavingTills::start() {
  stopped_ = false;
  timeval every = timeval_of(static_cast<Micros>(kSecond / options_.rate));
  event_add(next_event_.get(), &every);
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
  auto rudeness =
      static_cast<Misbehavior>(number % static_cast<std::uint32_t>(Misbehavior::kCount));
  std::uint16_t port = t->options_.routers[t->random_() % t->options_.routers.size()];
  t->clients_.push_back(std::make_unique<Client>(*t, rudeness, port, number));
}

}  // namespace arrowfork::rig
