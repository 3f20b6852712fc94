// What a decision of the external processor costs: p50 and p99 at several rates, the most a second
// on one core, and memory for open streams, each beside a bare echo of the same gRPC shape (the
// same session, the same messages and answers of the same size, no decision) in the same run.
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <map>
#include <thread>

#include "envoy/service/ext_proc/v3/external_processor.pb.h"
#include "grpc/server_session.hpp"
#include "io/io.hpp"
#include "rig/process.hpp"

namespace {

using namespace arrowfork;
namespace pb = envoy::service::ext_proc::v3;

const char* const kPath = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";

std::string framed(const std::string& text) {
  std::string prefix(5, '\0');
  for (std::size_t k = 0; k < 4; ++k)
    prefix[1 + k] = static_cast<char>(text.size() >> (24 - 8 * k));
  return prefix + text;
}

std::string request_bytes(std::uint64_t number) {
  pb::ProcessingRequest request;
  auto put = [&](const char* name, const std::string& value) {
    auto* h = request.mutable_request_headers()->mutable_headers()->add_headers();
    h->set_key(name);
    h->set_raw_value(value);
  };
  put(":method", "GET");
  put(":path", "/price");
  put("x-request-id", "bench-" + std::to_string(number));
  put("x-price-key", "item" + std::to_string(number * 7919 % 5000));
  put("x-envoy-expected-rq-timeout-ms", "600");
  return framed(request.SerializeAsString());
}

std::string report_bytes() {
  pb::ProcessingRequest report;
  auto* h = report.mutable_response_headers()->mutable_headers()->add_headers();
  h->set_key(":status");
  h->set_raw_value("200");
  return framed(report.SerializeAsString());
}

/// As large as a choice is.
std::string choice_bytes() {
  pb::ProcessingResponse r;
  auto* common = r.mutable_request_headers()->mutable_response();
  auto* option = common->mutable_header_mutation()->add_set_headers();
  option->mutable_header()->set_key("x-gateway-destination-endpoint");
  option->mutable_header()->set_raw_value("127.0.0.1:20001");
  auto& lb = (*r.mutable_dynamic_metadata()->mutable_fields())["envoy.lb"];
  (*lb.mutable_struct_value()->mutable_fields())["x-gateway-destination-endpoint"].set_string_value(
      "127.0.0.1:20001");
  r.mutable_mode_override();
  return r.SerializeAsString();
}

// ---- the echo, in a process of its own ----

class Echo final : public grpc::ServerSession::Handler {
 public:
  Echo(event_base* base, const TimeSource& clock, Fd fd) : fd_(std::move(fd)) {
    limits_.max_streams = 100'000;
    limits_.resets_per_s = 1'000'000;
    limits_.pings_per_s = 1'000'000;
    session_ = std::make_unique<grpc::ServerSession>(clock, *this, limits_, counts_);
    read_.reset(event_new(base, fd_.get(), EV_READ | EV_PERSIST, on_read, this));
    write_.reset(event_new(base, fd_.get(), EV_WRITE, on_write, this));
    event_add(read_.get(), nullptr);
    push();
  }

 private:
  void on_call(grpc::CallId, const std::string&, Micros) override {}
  void on_message(grpc::CallId call, std::string&&) override {
    session_->send_message(call, answer_);
  }
  void on_half_close(grpc::CallId call) override { session_->finish(call, grpc::Status::Ok); }
  void on_aborted(grpc::CallId) override {}
  static void on_write(evutil_socket_t, short, void* self) { static_cast<Echo*>(self)->push(); }
  static void on_read(evutil_socket_t, short, void* self) {
    auto* e = static_cast<Echo*>(self);
    char data[65536];
    ssize_t got = ::recv(e->fd_.get(), data, sizeof data, MSG_DONTWAIT);
    if (got <= 0 && errno != EAGAIN) {
      event_del(e->read_.get());
      return;
    }
    if (got > 0) (void)e->session_->recv({data, static_cast<std::size_t>(got)});
    e->push();
  }
  void push() {
    while (true) {
      if (out_.empty()) (void)session_->send(out_);
      if (out_.empty()) return;
      ssize_t put = ::send(fd_.get(), out_.data(), out_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (put < 0) {
        event_add(write_.get(), nullptr);
        return;
      }
      out_.erase(0, static_cast<std::size_t>(put));
    }
  }
  Fd fd_;
  EventPtr read_, write_;
  grpc::ServerSession::Limits limits_;
  grpc::ServerSession::Counts counts_;
  std::unique_ptr<grpc::ServerSession> session_;
  const std::string answer_ = choice_bytes();
  std::string out_;
};

struct EchoProcess {
  EchoProcess() {
    std::string error;
    Fd listener = listen_at(*parse_address("127.0.0.1:0"), false, error);
    sockaddr_in at{};
    socklen_t size = sizeof at;
    ::getsockname(listener.get(), reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
    pid = ::fork();
    if (pid != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    EventBasePtr base = rig::make_precise_event_base();
    Clock clock;
    struct All {
      event_base* base;
      const TimeSource& clock;
      std::vector<std::unique_ptr<Echo>> echoes;
    } all{base.get(), clock, {}};
    EventPtr accepts(event_new(
        base.get(), listener.get(), EV_READ | EV_PERSIST,
        [](evutil_socket_t from, short, void* self) {
          auto* a = static_cast<All*>(self);
          Fd fd(::accept4(from, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
          int on = 1;
          ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
          if (fd) a->echoes.push_back(std::make_unique<Echo>(a->base, a->clock, std::move(fd)));
        },
        &all));
    event_add(accepts.get(), nullptr);
    event_base_dispatch(base.get());
    ::_exit(0);
  }
  ~EchoProcess() {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  std::uint16_t port = 0;
  pid_t pid = -1;
};

// ---- the caller ----

/// One connection with many calls; each is asked, answered, reported and ended.
class Caller {
 public:
  explicit Caller(std::uint16_t port) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    auto address = parse_address("127.0.0.1:" + std::to_string(port));
    if (::connect(fd_.get(), reinterpret_cast<sockaddr*>(&*address), sizeof *address) != 0)
      throw std::runtime_error("connect");
    int on = 1;
    ::setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks, [](nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* bytes,
                      std::size_t size, void* self) {
          static_cast<Caller*>(self)->take(id, bytes, size);
          return 0;
        });
    nghttp2_session_callbacks_set_on_stream_close_callback(
        callbacks, [](nghttp2_session*, std::int32_t id, std::uint32_t, void* self) {
          static_cast<Caller*>(self)->calls_.erase(id);
          return 0;
        });
    nghttp2_session_client_new(&session_, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    nghttp2_settings_entry windows[] = {{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, 1u << 20},
                                        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, windows, 2);
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, 16 << 20);
  }
  ~Caller() { nghttp2_session_del(session_); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  /// `report`: ends the call once it has been answered; else it stays open.
  void ask(std::uint64_t number, bool report) {
    auto field = [](const char* name, const char* value) {
      return nghttp2_nv{reinterpret_cast<std::uint8_t*>(const_cast<char*>(name)),
                        reinterpret_cast<std::uint8_t*>(const_cast<char*>(value)),
                        std::strlen(name), std::strlen(value), NGHTTP2_NV_FLAG_NONE};
    };
    nghttp2_nv fields[] = {field(":method", "POST"), field(":scheme", "http"),
                           field(":path", kPath),    field(":authority", "x"),
                           field("te", "trailers"),  field("content-type", "application/grpc")};
    nghttp2_data_provider body{};
    body.read_callback = read_body;
    std::int32_t id = nghttp2_submit_request(session_, nullptr, fields, 6, &body, nullptr);
    Call& c = calls_[id];
    c.out = request_bytes(number);
    c.report = report;
    c.asked = clock_.now();
  }
  /// Sends and receives for at most `wait`.
  void turn(Micros wait) {
    flush();
    pollfd p{fd_.get(), POLLIN, 0};
    timespec span{wait / kSecond, wait % kSecond * 1000};
    if (::ppoll(&p, 1, &span, nullptr) != 1) return;
    char data[65536];
    ssize_t got = ::recv(fd_.get(), data, sizeof data, 0);
    if (got <= 0) throw std::runtime_error("the server ended the connection");
    nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(data),
                             static_cast<std::size_t>(got));
    flush();
  }
  std::size_t open() const { return calls_.size(); }

  std::vector<Micros> latencies;
  std::uint64_t answered = 0;

 private:
  struct Call {
    std::string out, in;
    bool report = false, told = false, ending = false;
    Micros asked = 0;
  };
  void flush() {
    const std::uint8_t* bytes = nullptr;
    std::string out;
    for (ssize_t size; (size = nghttp2_session_mem_send(session_, &bytes)) > 0;)
      out.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
    for (std::string_view left = out; !left.empty();) {
      ssize_t put = ::send(fd_.get(), left.data(), left.size(), MSG_NOSIGNAL);
      if (put <= 0) throw std::runtime_error("send");
      left.remove_prefix(static_cast<std::size_t>(put));
    }
  }
  void take(std::int32_t id, const std::uint8_t* bytes, std::size_t size) {
    auto at = calls_.find(id);
    if (at == calls_.end()) return;
    Call& c = at->second;
    c.in.append(reinterpret_cast<const char*>(bytes), size);
    while (c.in.size() >= 5) {
      std::size_t length = 0;
      for (std::size_t k = 1; k < 5; ++k)
        length = length << 8 | static_cast<unsigned char>(c.in[k]);
      if (c.in.size() < 5 + length) return;
      c.in.erase(0, 5 + length);
      if (!std::exchange(c.told, true)) {
        latencies.push_back(clock_.now() - c.asked);
        ++answered;
        if (c.report) c.out = report_bytes();
      } else {
        c.ending = true;
      }
      if (c.report) nghttp2_session_resume_data(session_, id);
    }
  }
  static ssize_t read_body(nghttp2_session*, std::int32_t id, std::uint8_t* to, std::size_t most,
                           std::uint32_t* flags, nghttp2_data_source*, void* self) {
    Call& c = static_cast<Caller*>(self)->calls_[id];
    std::size_t size = std::min(most, c.out.size());
    std::memcpy(to, c.out.data(), size);
    c.out.erase(0, size);
    if (c.out.empty() && c.ending)
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    else if (size == 0)
      return NGHTTP2_ERR_DEFERRED;
    return static_cast<ssize_t>(size);
  }
  Fd fd_;
  Clock clock_;
  nghttp2_session* session_ = nullptr;
  std::map<std::int32_t, Call> calls_;
};

struct Figure {
  double p50 = 0, p99 = 0, per_s = 0;  ///< us, us, calls a second
};

double at(std::vector<Micros>& all, double q) {
  if (all.empty()) return 0;
  auto place = all.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(all.size() - 1));
  std::nth_element(all.begin(), place, all.end());
  return static_cast<double>(*place);
}

std::uint64_t serial = 0;

/// Calls at a rate, whatever becomes of those before; `rate` 0: 64 open at any time.
Figure calls(std::uint16_t port, double rate, double seconds) {
  Caller caller(port);
  Clock clock;
  Micros begun = clock.now(), end = begun + static_cast<Micros>(seconds * kSecond);
  std::uint64_t asked = 0;
  for (Micros now = begun; now < end; now = clock.now()) {
    if (rate > 0) {
      auto due = static_cast<std::uint64_t>(static_cast<double>(now - begun) / 1e6 * rate);
      while (asked < due && caller.open() < 900) caller.ask(++serial, true), ++asked;
    } else {
      while (caller.open() < 64) caller.ask(++serial, true);
    }
    caller.turn(rate > 0 ? 50 : 1000);
  }
  double span = static_cast<double>(clock.now() - begun) / 1e6;
  // The first tenth warms up.
  caller.latencies.erase(
      caller.latencies.begin(),
      caller.latencies.begin() + static_cast<std::ptrdiff_t>(caller.latencies.size() / 10));
  return {at(caller.latencies, 0.5), at(caller.latencies, 0.99),
          static_cast<double>(caller.answered) / span};
}

/// KiB of the process in memory.
double resident(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double all = 0, pages = 0;
  file >> all >> pages;
  return pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1024;
}

/// KiB for each of 1,000 streams that stay open, asked and answered.
double held(std::uint16_t port, pid_t pid) {
  Caller caller(port);
  caller.turn(100'000);
  double before = resident(pid);
  for (int k = 0; k < 1000; ++k) caller.ask(++serial, false);
  for (int k = 0; k < 400 && caller.answered < 1000; ++k) caller.turn(10'000);
  return (resident(pid) - before) / 1000;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("What a decision of the external processor costs beside an echo");
  std::string program;
  double seconds = 3;
  int runs = 3;
  app.add_option("wheeldeal", program, "the program")->required()->check(CLI::ExistingFile);
  app.add_option("--seconds", seconds, "of each measurement")->capture_default_str();
  app.add_option("--runs", runs, "of which the middle one counts, with the spread")
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  ::signal(SIGPIPE, SIG_IGN);
  EchoProcess echo;
  rig::TemporaryDirectory folder;
  std::string hosts;
  for (int k = 1; k <= 4; ++k)
    hosts += (k > 1 ? "," : "") + std::string(R"({"host":"s)") + std::to_string(k) +
             R"(","dial":"127.0.0.1:2000)" + std::to_string(k) +
             R"(","site":"a","class":"std","block":0,"health":"active","share":1,"born_ms":0})";
  auto config = folder.path() / "n0.json";
  std::ofstream(config)
      << R"({"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","limits":{"memory_mb":256,"sockets":512},
 "known":{"seq":1,"whole":true,"hosts":[)"
      << hosts << R"(]},"ext_proc":{"listen":"127.0.0.1:0","resets_per_s":1000000},
 "settings":{"Az":"a","Balancers":1,"Classes":[{"Name":"read","ObjectiveUs":150000,"DeadlineUs":600000},
  {"Name":"put","ObjectiveUs":150000,"DeadlineUs":600000,"Effect":"by_key","KeyTtlUs":5000000}],
  "Tenants":[{"Name":"acme","Portion":1}],"Limits":{"MaxAttempts":4,"StreamsPerConn":32,"MayCancel":true,"MaxRetryAfterUs":1000000,"MaxOpen":20000},
  "MembershipMode":"automatic","TickUs":2000}})";
  rig::RouterProcess router(program, config, folder.path() / "log");
  for (int k = 0; k < 500 && router.ext_proc_port() == 0; ++k)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  if (router.ext_proc_port() == 0) {
    std::fprintf(stderr, "extproc_bench: the router did not start: %s\n", router.log().c_str());
    return 1;
  }
  std::printf("%-22s %28s %28s %8s\n", "", "decision", "echo", "ratio");
  for (double rate : {1'000.0, 5'000.0, 10'000.0, 0.0}) {
    std::vector<Figure> decisions, echoes;
    for (int k = 0; k < runs; ++k) {
      echoes.push_back(calls(echo.port, rate, seconds));
      decisions.push_back(calls(router.ext_proc_port(), rate, seconds));
    }
    auto row = [&](const char* what, auto of) {
      auto middle = [&](std::vector<Figure>& all, double& least, double& most) {
        std::sort(all.begin(), all.end(),
                  [&](const Figure& a, const Figure& b) { return of(a) < of(b); });
        least = of(all.front()), most = of(all.back());
        return of(all[all.size() / 2]);
      };
      double dl, dm, el, em, d = middle(decisions, dl, dm), e = middle(echoes, el, em);
      char name[64];
      if (rate > 0)
        std::snprintf(name, sizeof name, "%s at %.0f a second", what, rate);
      else
        std::snprintf(name, sizeof name, "%s, 64 open", what);
      std::printf("%-22s %9.0f (%7.0f to %7.0f) %9.0f (%7.0f to %7.0f) %8.2f\n", name, d, dl, dm, e,
                  el, em, d / e);
    };
    if (rate > 0) {
      row("p50 us", [](const Figure& f) { return f.p50; });
      row("p99 us", [](const Figure& f) { return f.p99; });
    }
    row("a second", [](const Figure& f) { return f.per_s; });
    std::fflush(stdout);
  }
  double d = held(router.ext_proc_port(), router.pid()), e = held(echo.port, echo.pid);
  std::printf("%-22s %9.1f %28.1f %28.2f\n", "KiB an open stream", d, e, d / e);
  return 0;
}
