// What a router adds on loopback, by protocol: p50 and p99 at 1,000 requests a second, and the most
// requests a second of one router process, each beside the stand-in reached directly in the same
// run. The stand-in runs on a thread of its own and answers at once.
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

#include "net/config.hpp"
#include "protocol/binary.hpp"
#include "rig/cache_server.hpp"

namespace {

using namespace arrowfork;

EventBasePtr precise_base() {
  std::unique_ptr<event_config, void (*)(event_config*)> options(event_config_new(),
                                                                 event_config_free);
  event_config_set_flag(options.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
  return EventBasePtr(event_base_new_with_config(options.get()));
}

/// Stand-ins that speak both protocols, all on one thread.
class Servers {
 public:
  Servers() {
    std::atomic<bool> up{false};
    thread_ = std::thread([this, &up] {
      EventBasePtr base = precise_base();
      Clock clock;
      rig::Origin origin;
      rig::CacheServer::Options options;
      options.service_time = 0;
      std::vector<std::unique_ptr<rig::CacheServer>> servers;
      for (int k = 0; k < kServers; ++k) {
        servers.push_back(std::make_unique<rig::CacheServer>(base.get(), clock, origin, options));
        ports.push_back(servers.back()->port());
      }
      up = true;
      while (!end_) {
        timeval step{0, 50'000};
        event_base_loopexit(base.get(), &step);
        event_base_dispatch(base.get());
      }
    });
    while (!up) std::this_thread::yield();
  }
  ~Servers() {
    end_ = true;
    thread_.join();
  }
  std::vector<std::uint16_t> ports;

 private:
  static constexpr int kServers = 4;
  std::atomic<bool> end_{false};
  std::thread thread_;
};

/// `wheeldeal run` on a configuration whose servers are at `servers`.
class Router {
 public:
  Router(const std::string& program, const std::string& folder, bool binary,
         const std::vector<std::uint16_t>& servers) {
    std::string hosts;
    for (std::uint16_t at : servers)
      hosts += (hosts.empty() ? "" : ",") + std::string(R"({"host":"s)") + std::to_string(at) +
               R"(","dial":"127.0.0.1:)" + std::to_string(at) +
               R"(","site":"a","class":"std","block":0,"health":"active","share":1,"born_ms":0})";
    std::string config = folder + "/config.json";
    log_ = folder + "/log";
    std::ofstream(config)
        << R"({"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","limits":{"memory_mb":128,"sockets":512},
 "known":{"seq":1,"whole":true,"hosts":[)"
        << hosts << R"(]},
 "settings":{"Az":"a","Balancers":2,"Classes":[{"Name":"read","ObjectiveUs":150000,"DeadlineUs":600000},
  {"Name":"put","ObjectiveUs":150000,"DeadlineUs":600000,"Effect":"by_key","KeyTtlUs":5000000}],
  "Tenants":[{"Name":"acme","Portion":1}],"Limits":{"MaxAttempts":4,"StreamsPerConn":32,"MayCancel":true,"MaxRetryAfterUs":1000000,"MaxOpen":4000},
  "MembershipMode":"automatic","TickUs":2000},
 "binary":{"servers":[{"id":")"
        << (binary ? "*" : "none") << R"("}]}})";
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      int out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      ::dup2(out, 2);
      ::execl(program.c_str(), program.c_str(), "run", config.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    for (int k = 0; k < 500 && port == 0; ++k) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      std::ifstream file(log_);
      std::string text{std::istreambuf_iterator<char>(file), {}};
      std::size_t at = text.find(" listens on 127.0.0.1:");
      if (at != text.npos && text.find('\n', at) != text.npos)
        port = static_cast<std::uint16_t>(std::atoi(text.c_str() + text.find(':', at) + 1));
    }
    if (port == 0) throw std::runtime_error("the router did not start; see " + log_);
  }
  ~Router() {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  /// Processor time so far, in seconds.
  double cpu() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
    std::string text{std::istreambuf_iterator<char>(file), {}};
    std::istringstream rest(text.substr(text.rfind(')') + 2));
    std::string word;
    for (int k = 0; k < 11; ++k) rest >> word;
    double user = 0, system = 0;
    rest >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }
  std::uint16_t port = 0;

 private:
  std::string log_;
  pid_t pid_ = 0;
};

struct Result {
  std::vector<double> latencies;  // microseconds
  double per_second = 0;
  std::uint64_t bad = 0;
  double at(double q) {
    if (latencies.empty()) return 0;
    std::size_t k = std::min(latencies.size() - 1,
                             static_cast<std::size_t>(q * static_cast<double>(latencies.size())));
    std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(k),
                     latencies.end());
    return latencies[k];
  }
};

/// Reads over some connections: one request at a time on each, the next one at once or at a rate.
class Load {
 public:
  /// The connections are dealt out over the ports.
  Load(const std::vector<std::uint16_t>& ports, bool binary, int connections, double rate,
       double seconds)
      : binary_(binary),
        rate_(rate),
        base_(precise_base()),
        clients_(static_cast<std::size_t>(connections)) {
    for (Client& c : clients_) {
      c.load = this;
      c.fd = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
      auto address = parse_address(
          "127.0.0.1:" +
          std::to_string(ports[static_cast<std::size_t>(&c - clients_.data()) % ports.size()]));
      if (::connect(c.fd.get(), reinterpret_cast<sockaddr*>(&*address), sizeof *address) != 0)
        throw std::runtime_error("connect");
      int on = 1;
      ::setsockopt(c.fd.get(), IPPROTO_TCP, 1 /* TCP_NODELAY */, &on, sizeof on);
      c.event.reset(event_new(base_.get(), c.fd.get(), EV_READ | EV_PERSIST, on_read, &c));
      event_add(c.event.get(), nullptr);
    }
    begin_ = clock_.now();
    end_ = begin_ + static_cast<Micros>(seconds * kSecond);
  }
  Result run() {
    if (rate_ > 0) {
      tick_.reset(event_new(base_.get(), -1, 0, on_tick, this));
      next_ = begin_;
      event_active(tick_.get(), 0, 0);
    } else {
      for (Client& c : clients_) ask(c);
    }
    while (clock_.now() < end_) event_base_loop(base_.get(), EVLOOP_ONCE);
    result_.per_second =
        static_cast<double>(answered_) * kSecond / static_cast<double>(clock_.now() - begin_);
    return std::move(result_);
  }

 private:
  struct Client {
    Load* load = nullptr;
    Fd fd;
    EventPtr event;
    bool busy = false;
    Micros sent = 0;
    std::string in;
  };

  void ask(Client& c) {
    c.busy = true;
    std::uint64_t n = ++serial_;
    std::string key = "item" + std::to_string(n % 1000), bytes;
    if (binary_) {
      bytes =
          binary::request({binary::Opcode::Get, static_cast<std::uint32_t>(n), 0, 0, 0, key, ""});
    } else {
      char id[17];
      std::snprintf(id, sizeof id, "%08lx%08lx", static_cast<unsigned long>(begin_ & 0xffffffff),
                    static_cast<unsigned long>(n));
      bytes = "mg " + key + " v O" + id + " Pc=read,t=acme,d=600\r\n";
    }
    c.sent = clock_.now();
    if (::send(c.fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(bytes.size()))
      ++result_.bad;
  }

  static void on_read(evutil_socket_t, short, void* self) {
    auto& c = *static_cast<Client*>(self);
    char data[4096];
    ssize_t got = ::recv(c.fd.get(), data, sizeof data, MSG_DONTWAIT);
    if (got <= 0) throw std::runtime_error("a connection ended");
    c.in.append(data, static_cast<std::size_t>(got));
    Load& l = *c.load;
    // Answers of these keys are one packet of a known form, or two lines.
    bool good;
    if (l.binary_) {
      if (c.in.size() < binary::kHeader) return;
      std::size_t body = static_cast<unsigned char>(c.in[11]);
      if (c.in.size() < binary::kHeader + body) return;
      good = c.in[6] == 0 && c.in[7] == 0;
    } else {
      good = c.in.starts_with("VA ");
      if (std::count(c.in.begin(), c.in.end(), '\n') < (good ? 2 : 1)) return;
    }
    c.in.clear();
    c.busy = false;
    ++l.answered_;
    if (!good) ++l.result_.bad;
    l.result_.latencies.push_back(static_cast<double>(l.clock_.now() - c.sent));
    if (l.rate_ <= 0) l.ask(c);
  }

  static void on_tick(evutil_socket_t, short, void* self) {
    auto* l = static_cast<Load*>(self);
    while (l->next_ <= l->clock_.now()) {
      l->next_ += static_cast<Micros>(kSecond / l->rate_);
      // In turn: one that has asked nothing for 2 s would be closed.
      Client& c = l->clients_[l->turn_++ % l->clients_.size()];
      if (c.busy)
        ++l->result_.bad;
      else
        l->ask(c);
    }
    timeval wait = timeval_of(std::max<Micros>(0, l->next_ - l->clock_.now()));
    event_add(l->tick_.get(), &wait);
  }

  bool binary_;
  double rate_;
  Clock clock_;
  EventBasePtr base_;
  EventPtr tick_;
  std::vector<Client> clients_;
  Micros begin_ = 0, end_ = 0, next_ = 0;
  std::uint64_t serial_ = 0, answered_ = 0;
  std::size_t turn_ = 0;
  Result result_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("What a router adds, by protocol");
  std::string program = "build-full/wheeldeal";
  double seconds = 3;
  int connections = 16, rounds = 3;
  app.add_option("--program", program, "whose `run` is measured");
  app.add_option("--seconds", seconds, "a measurement");
  app.add_option("--connections", connections, "clients of the throughput figure");
  app.add_option("--rounds", rounds, "how often each is measured; all are printed");
  CLI11_PARSE(app, argc, argv);
  std::string folder = std::filesystem::temp_directory_path() / "router-bench-XXXXXX";
  if (!::mkdtemp(folder.data())) return 2;
  try {
    Servers servers;
    std::printf("%u cores; latencies in microseconds at 1,000 requests a second\n",
                std::thread::hardware_concurrency());
    std::printf("%-7s %5s %7s %7s %7s %7s %9s %9s | %9s %9s %6s %12s %5s\n", "clients", "round",
                "direct", "p99", "router", "p99", "added p50", "added p99", "direct/s", "router/s",
                "ratio", "us CPU/req", "bad");
    for (int round = 1; round <= rounds; ++round)
      for (bool binary : {false, true}) {
        Router router(program, folder, binary, servers.ports);
        Result direct = Load(servers.ports, binary, 8, 1000, seconds).run();
        Result through = Load({router.port}, binary, 8, 1000, seconds).run();
        Result most_direct = Load(servers.ports, binary, connections, 0, seconds).run();
        double cpu = router.cpu();
        Result most = Load({router.port}, binary, connections, 0, seconds).run();
        cpu = router.cpu() - cpu;
        std::printf(
            "%-7s %5d %7.0f %7.0f %7.0f %7.0f %9.0f %9.0f | %9.0f %9.0f %6.2f %12.1f %5lu\n",
            binary ? "binary" : "meta", round, direct.at(.5), direct.at(.99), through.at(.5),
            through.at(.99), through.at(.5) - direct.at(.5), through.at(.99) - direct.at(.99),
            most_direct.per_second, most.per_second, most.per_second / most_direct.per_second,
            cpu * 1e6 / (most.per_second * seconds),
            static_cast<unsigned long>(direct.bad + through.bad + most_direct.bad + most.bad));
        std::fflush(stdout);
      }
  } catch (const std::exception& e) {
    std::fprintf(stderr, "router_bench: %s\n", e.what());
    std::filesystem::remove_all(folder);
    return 1;
  }
  std::filesystem::remove_all(folder);
  return 0;
}
