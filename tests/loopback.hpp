// Scripted peers on ephemeral loopback ports, and a router on its own thread. The test acts as
// client, cache server and discovery over blocking sockets that time out after kTestTimeoutMs.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>

#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "net/router.hpp"

namespace arrowfork::test {

constexpr int kTestTimeoutMs = 20'000;

/// One connection with blocking calls.
class TestConnection {
 public:
  explicit TestConnection(Fd fd = Fd()) : fd_(std::move(fd)) {
    timeval limit{kTestTimeoutMs / 1000, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  }
  static TestConnection to(std::uint16_t port) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    auto address = parse_address("127.0.0.1:" + std::to_string(port));
    if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&*address), sizeof *address) != 0)
      ADD_FAILURE() << "connect";
    return TestConnection(std::move(fd));
  }
  int fd() const { return fd_.get(); }
  void close() { fd_.reset(); }
  void send_reset() {  // closes with a reset
    linger now{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    fd_.reset();
  }
  void shut_down_sending() { ::shutdown(fd_.get(), SHUT_WR); }
  void write(std::string_view text) {
    while (!text.empty()) {
      ssize_t put = ::send(fd_.get(), text.data(), text.size(), MSG_NOSIGNAL);
      if (put <= 0) {
        ADD_FAILURE() << "write";
        return;
      }
      text.remove_prefix(static_cast<std::size_t>(put));
    }
  }
  /// The next line including its line end; at the end of the stream, the bytes that were left.
  std::string line() {
    while (true) {
      std::size_t end = buffer_.find('\n');
      if (end != buffer_.npos) return cut(end + 1);
      if (!fill()) return cut(buffer_.size());
    }
  }
  /// Everything until the peer closes.
  std::string read_to_end() {
    while (fill()) {
    }
    return cut(buffer_.size());
  }
  std::string bytes(std::size_t count) {
    while (buffer_.size() < count)
      if (!fill()) return cut(buffer_.size());
    return cut(count);
  }
  /// Waits for the peer to close, orderly or by a reset; false if it sent anything before.
  bool is_closed() {
    if (!buffer_.empty()) return false;
    return !fill() && !timed_out_;
  }
  /// True if nothing is received for `ms`.
  bool stays_silent(int ms) const {
    if (!buffer_.empty()) return false;
    pollfd p{fd_.get(), POLLIN, 0};
    return ::poll(&p, 1, ms) == 0;
  }

 private:
  bool fill() {
    char data[65536];
    ssize_t got = ::recv(fd_.get(), data, sizeof data, 0);
    timed_out_ = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (timed_out_) ADD_FAILURE() << "timeout: received nothing";
    if (got <= 0) return false;
    buffer_.append(data, static_cast<std::size_t>(got));
    return true;
  }
  std::string cut(std::size_t size) {
    std::string text = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return text;
  }
  Fd fd_;
  std::string buffer_;
  bool timed_out_ = false;
};

/// A listening peer.
class Peer {
 public:
  Peer() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    auto address = parse_address("127.0.0.1:0");
    ::bind(fd_.get(), reinterpret_cast<sockaddr*>(&*address), sizeof *address);
    ::listen(fd_.get(), 64);
    socklen_t size = sizeof *address;
    ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&*address), &size);
    port_ = ntohs(address->sin_port);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  TestConnection accept() {
    pollfd p{fd_.get(), POLLIN, 0};
    if (::poll(&p, 1, kTestTimeoutMs) != 1) {
      ADD_FAILURE() << "timeout: no connection";
      return TestConnection();
    }
    return TestConnection(Fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC)));
  }
  bool no_connection_within(int ms) const {
    pollfd p{fd_.get(), POLLIN, 0};
    return ::poll(&p, 1, ms) == 0;
  }
  int fd() const { return fd_.get(); }
  void close() { fd_.reset(); }  ///< later connects are refused

 private:
  Fd fd_;
  std::uint16_t port_ = 0;
};

/// Waits for a connection to any of `peers`; returns the index of the first one connected to.
inline std::size_t first_contacted(const std::vector<Peer*>& peers) {
  std::vector<pollfd> fds;
  for (Peer* p : peers) fds.push_back({p->fd(), POLLIN, 0});
  if (::poll(fds.data(), fds.size(), kTestTimeoutMs) <= 0)
    ADD_FAILURE() << "timeout: no connection";
  for (std::size_t k = 0; k < fds.size(); ++k)
    if (fds[k].revents) return k;
  return 0;
}

/// The size of the first line in `text`, including its line end; 0 if none is complete.
inline std::size_t complete_line_size(std::string_view text) { return text.find('\n') + 1; }

/// A cache server on its own thread. Answers each command with the result of `answer`; an empty one
/// closes the connection. `complete_size` gives the size of the first complete command, or 0.
class ServingPeer {
 public:
  explicit ServingPeer(std::function<std::string(const std::string&)> answer,
                       std::size_t (*complete_size)(std::string_view) = complete_line_size) {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) ADD_FAILURE() << "pipe";
    end_ = Fd(ends[1]);
    address_ = peer_.address();
    thread_ = std::thread([this, answer = std::move(answer), complete_size, in = ends[0]] {
      Fd end(in);
      std::vector<std::pair<Fd, std::string>> links;
      while (true) {
        std::vector<pollfd> fds{{end.get(), POLLIN, 0}, {peer_.fd(), POLLIN, 0}};
        for (auto& [fd, unread] : links) fds.push_back({fd.get(), POLLIN, 0});
        ::poll(fds.data(), fds.size(), -1);
        if (fds[0].revents) return;
        for (std::size_t k = links.size(); k-- > 0;) {
          if (!fds[k + 2].revents) continue;
          auto& [fd, unread] = links[k];
          char data[65536];
          ssize_t got = ::recv(fd.get(), data, sizeof data, 0);
          if (got <= 0) {
            links.erase(links.begin() + static_cast<std::ptrdiff_t>(k));
            continue;
          }
          unread.append(data, static_cast<std::size_t>(got));
          bool open = true;
          for (std::size_t size; open && (size = complete_size(unread)) != 0;) {
            std::string text = answer(unread.substr(0, size));
            unread.erase(0, size);
            open = !text.empty();
            ::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL);
          }
          if (!open) links.erase(links.begin() + static_cast<std::ptrdiff_t>(k));
        }
        if (fds[1].revents)
          links.emplace_back(Fd(::accept4(peer_.fd(), nullptr, nullptr, SOCK_CLOEXEC)), "");
      }
    });
  }
  ~ServingPeer() {
    end_.reset();
    thread_.join();
  }
  const std::string& address() const { return address_; }

 private:
  Peer peer_;
  std::string address_;
  Fd end_;
  std::thread thread_;
};

inline std::string host_json(const std::string& id, const std::string& dial,
                             const std::string& health = "active", long long born_ms = 0,
                             const std::string& kind = "std") {
  return R"({"host":")" + id + R"(","dial":")" + dial + R"(","site":"a","class":")" + kind +
         R"(","block":0,"health":")" + health + R"(","share":1.0,"born_ms":)" +
         std::to_string(born_ms) + "}";
}

inline std::string list_json(int seq, bool whole, const std::vector<std::string>& hosts) {
  std::string joined;
  for (const std::string& h : hosts) joined += (joined.empty() ? "" : ",") + h;
  return R"({"seq":)" + std::to_string(seq) + R"(,"whole":)" + (whole ? "true" : "false") +
         R"(,"hosts":[)" + joined + "]}";
}

struct ConfigText {
  std::vector<std::string> hosts;
  std::string discovery = "127.0.0.1:9";
  std::string mode = "subscribe";
  int sockets = 256;
  int streams = 32;
  int max_attempts = 5;
  int routers = 2;
  bool may_cancel = true;
  long long keepalive_us = 15'000'000;
  long long dial_timeout_us = 75'000;
  long long deadline_us = 20'000'000;  // of each class
  std::string binary;                  // JSON object of the setting `binary`; empty for none
  std::string origin_kind;  // enables cache-aside mode, with servers of this kind as the origin
  std::string control, state_dir;
  int memory_mb = 128;

  std::string text() const {
    return R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + discovery + R"(","control":")" +
           control + R"(","state_dir":")" + state_dir +
           R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" +
           std::to_string(memory_mb) + R"(,"sockets":)" + std::to_string(sockets) +
           R"(},"known":)" + list_json(1, true, hosts) +
           (binary.empty() ? "" : R"(,"binary":)" + binary) +
           R"(,"settings":{"Az":"a","Tenants":[{"Name":"acme","Portion":0.5},{"Name":"zeta","Portion":0.5}],"Balancers":)" +
           std::to_string(routers) +
           R"(,"Classes":[
             {"Name":"read","ObjectiveUs":5000000,"DeadlineUs":)" +
           std::to_string(deadline_us) + R"(,"Effect":"repeatable","Worth":3.0},
             {"Name":"put","ObjectiveUs":5000000,"DeadlineUs":)" +
           std::to_string(deadline_us) +
           R"(,"Effect":"by_key","Group":"all","KeyTtlUs":5000000,"Worth":2.0},
             {"Name":"pay","ObjectiveUs":5000000,"DeadlineUs":)" +
           std::to_string(deadline_us) + R"(,"Effect":"once","Worth":2.0}],
             "FailureDomains":["a"],"MachineTypes":["std","ledger"],"Domain":{"Mode":")" +
           (origin_kind.empty() ? R"(through","OriginKind":-1)" : R"(aside","OriginKind":1)") +
           R"(},
             "Limits":{"MaxAttempts":)" +
           std::to_string(max_attempts) + R"(,"MaxRetryAfterUs":1000000,"MayCancel":)" +
           (may_cancel ? "true" : "false") + R"(,"SecondCopies":false,"StreamsPerConn":)" +
           std::to_string(streams) + R"(,"KeepaliveUs":)" + std::to_string(keepalive_us) +
           R"(,"DialTimeoutUs":)" + std::to_string(dial_timeout_us) +
           R"(,"MaxOpen":1000},"MembershipMode":")" + mode +
           R"(","Report":{"Fields":["load_share","mean_ms","x0"],"How":"inline"},
             "Rules":{"AnswerSlackUs":8000,"AskWithinUs":10000000,"ColdShare":0.3,"ColdUs":8000000,"DrainGraceUs":2500000,"OverloadFactor":4.0,"TipAfterUs":1500000},
             "TickUs":2000,"Weights":"nominal"}})";
  }
};

inline std::string http(const std::string& body, const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nConnection: close\r\n" +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts one call to discovery and answers it; returns its request line.
inline std::string answer_next_call(Peer& discovery, const std::string& response) {
  TestConnection call = discovery.accept();
  std::string request = call.line();
  for (std::string header = call.line(); header.size() > 2;) header = call.line();
  call.write(response);
  return request;
}

/// A router on its own thread. Ends without a drain unless terminate() is called.
class RunningRouter {
 public:
  using Attach = std::function<std::unique_ptr<Frontend>(event_base*, const TimeSource&, Router&)>;
  /// `clock` and `observer` must outlive it. `attach` creates a frontend.
  explicit RunningRouter(const ConfigText& config, const TimeSource* clock = nullptr,
                         BalancerObserver* observer = nullptr, Attach attach = nullptr) {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) ADD_FAILURE() << "pipe";
    command_pipe_ = Fd(ends[1]);
    std::promise<std::uint16_t> port;
    auto known = port.get_future();
    thread_ = std::thread([this, config, in = ends[0], &port, clock, observer, attach] {
      Fd command_end(in);
      EventBasePtr base(event_base_new());
      Clock own;
      Router router(base.get(), parse_config(config.text()), clock ? *clock : own);
      router.core().set_observer(observer);
      std::unique_ptr<Frontend> frontend;
      if (attach) frontend = attach(base.get(), clock ? *clock : own, router);
      if (frontend) router.add_frontend(*frontend);
      std::string error;
      if (!router.listen(error)) ADD_FAILURE() << error;
      struct Context {
        int fd;
        Router* router;
        RunningRouter* self;
      } context{command_end.get(), &router, this};
      auto on_command = [](evutil_socket_t fd, short, void* self) {
        char what = 'q';
        ssize_t got = ::read(fd, &what, 1);
        auto* context = static_cast<Context*>(self);
        if (got == 1 && what == 't')
          context->router->stop();
        else if (got == 1 && what == 'h')
          context->self->reload_now(*context->router);
        else if (got == 1 && what == 'c')
          context->self->loop_task_(), context->self->command_done_->set_value();
        else
          context->router->quit();
      };
      EventPtr command_event(
          event_new(base.get(), command_end.get(), EV_READ | EV_PERSIST, on_command, &context));
      event_add(command_event.get(), nullptr);
      control_port_ = router.control_port();
      port.set_value(router.port());
      router.run();
    });
    port_ = known.get();
  }
  ~RunningRouter() {
    if (!thread_.joinable()) return;
    send_command('q');
    thread_.join();
  }
  TestConnection client() const { return TestConnection::to(port_); }
  std::uint16_t port() const { return port_; }
  std::uint16_t control_port() const { return control_port_; }
  /// The complete answer to a call of the control address.
  std::string control(const std::string& method, const std::string& path) const {
    TestConnection link = TestConnection::to(control_port_);
    link.write(method + " " + path + " HTTP/1.1\r\nHost: n0\r\n\r\n");
    return link.read_to_end();
  }
  /// As SIGHUP with `text` in the configuration file; returns when the reload has been tried.
  void reload(const std::string& text) {
    reload_text_ = text;
    std::promise<void> done;
    command_done_ = &done;
    send_command('h');
    done.get_future().wait();
  }
  /// Runs `what` on the router's thread and returns when it is done.
  void run_in_loop(std::function<void()> what) {
    loop_task_ = std::move(what);
    std::promise<void> done;
    command_done_ = &done;
    send_command('c');
    done.get_future().wait();
  }
  /// As SIGTERM.
  void terminate() { send_command('t'); }
  void wait_for_end() { thread_.join(); }

 private:
  void send_command(char what) {
    if (::write(command_pipe_.get(), &what, 1) != 1) ADD_FAILURE() << "command";
  }
  void reload_now(Router& router) {
    try {
      router.reload(parse_config(reload_text_));
    } catch (const ConfigError&) {
    }
    command_done_->set_value();
  }
  Fd command_pipe_;
  std::string reload_text_;          // argument of the command 'h'
  std::function<void()> loop_task_;  // argument of the command 'c'
  std::promise<void>* command_done_ = nullptr;
  std::thread thread_;
  std::uint16_t port_ = 0, control_port_ = 0;
};

/// The request id of a command line, from its `O` token.
inline std::string id_of(const std::string& line) {
  std::size_t at = line.find(" O");
  return at == line.npos ? "" : line.substr(at + 2, line.find(' ', at + 2) - at - 2);
}

inline std::string value_answer(const std::string& id, const std::string& value,
                                const std::string& flags = "") {
  return "VA " + std::to_string(value.size()) + " O" + id + flags + "\r\n" + value + "\r\n";
}

}  // namespace arrowfork::test
