// Stand-ins for the cases 6 to 10 of the review: clients, cache servers, discovery and the platform,
// on loopback addresses and the real clock. Blocking sockets, one thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standins {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point& origin() {
  static const Clock::time_point at = Clock::now();
  return at;
}
/// Milliseconds since the start of the case.
inline long now_ms() {
  return static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - origin()).count());
}
inline void sleep_ms(long ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// ---- the record ----

inline std::mutex record_mutex;
inline FILE* record_file = nullptr;

__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...) {
  std::lock_guard lock(record_mutex);
  if (!record_file) return;
  std::fprintf(record_file, "%7ld ms  ", now_ms());
  va_list args;
  va_start(args, format);
  std::vfprintf(record_file, format, args);
  va_end(args);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

// ---- sockets ----

inline sockaddr_in loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}

inline int port_of(int fd) {
  sockaddr_in a{};
  socklen_t size = sizeof a;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
  return ntohs(a.sin_port);
}

/// A listening socket on a free port; `receive_buffer` sets SO_RCVBUF of its connections.
inline int listen_anywhere(int receive_buffer = 0) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (receive_buffer)
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  sockaddr_in a = loopback(0);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || ::listen(fd, 128) != 0) return -1;
  return fd;
}

inline int free_port() {
  int fd = listen_anywhere();
  int port = port_of(fd);
  ::close(fd);
  return port;
}

inline int connect_to(int port, int receive_buffer = 0) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (receive_buffer)
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  sockaddr_in a = loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline bool send_all(int fd, const std::string& text) {
  for (std::size_t at = 0; at < text.size();) {
    ssize_t put = ::send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
    if (put < 0 && errno == EINTR) continue;
    if (put <= 0) return false;
    at += static_cast<std::size_t>(put);
  }
  return true;
}

/// Waits until there is something to read; false after `timeout_ms`.
inline bool readable(int fd, long timeout_ms) {
  pollfd p{fd, POLLIN, 0};
  return ::poll(&p, 1, static_cast<int>(timeout_ms)) > 0;
}

/// Reads from a connection by lines and by numbers of bytes.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  enum class End { None, Timeout, Closed, Reset };
  End end() const { return end_; }

  /// A line without its end, or nothing at the time given (absolute, of now_ms()).
  std::optional<std::string> line(long until) {
    while (true) {
      std::size_t at = in_.find("\r\n");
      if (at != in_.npos) {
        std::string text = in_.substr(0, at);
        in_.erase(0, at + 2);
        return text;
      }
      if (!more(until)) return std::nullopt;
    }
  }
  std::optional<std::string> bytes(std::size_t count, long until) {
    while (in_.size() < count)
      if (!more(until)) return std::nullopt;
    std::string text = in_.substr(0, count);
    in_.erase(0, count);
    return text;
  }
  std::size_t buffered() const { return in_.size(); }
  std::string take_buffered() { return std::exchange(in_, {}); }

 private:
  bool more(long until) {
    end_ = End::None;
    if (!readable(fd_, std::max(0L, until - now_ms()))) {
      end_ = End::Timeout;
      return false;
    }
    char part[65536];
    ssize_t got = ::recv(fd_, part, sizeof part, 0);
    if (got > 0) {
      in_.append(part, static_cast<std::size_t>(got));
      return true;
    }
    end_ = got == 0 ? End::Closed : End::Reset;
    return false;
  }
  int fd_;
  std::string in_;
  End end_ = End::None;
};

inline const char* name_of(Reader::End end) {
  switch (end) {
    case Reader::End::Timeout:
      return "no more bytes";
    case Reader::End::Closed:
      return "closed by the router";
    case Reader::End::Reset:
      return "reset by the router";
    default:
      return "open";
  }
}

// ---- a server of any kind ----

/// Accepts connections and runs `serve` for each in a thread of its own.
class Server {
 public:
  explicit Server(std::function<void(int)> serve, int receive_buffer = 0)
      : serve_(std::move(serve)), listener_(listen_anywhere(receive_buffer)) {
    std::thread([this] { accept_all(); }).detach();
  }
  int port() const { return port_of(listener_); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

 private:
  void accept_all() {
    while (true) {
      int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] {
        serve_(fd);
        ::close(fd);
      }).detach();
    }
  }
  std::function<void(int)> serve_;
  int listener_;
};

// ---- discovery ----

struct Host {
  std::string id, dial;
  std::string health = "active";
};

/// Answers every call; a watch waits for a change or for its time.
class Discovery {
 public:
  explicit Discovery(std::vector<Host> hosts)
      : hosts_(std::move(hosts)), server_([this](int fd) { serve(fd); }) {}
  std::string address() const { return server_.address(); }
  std::string whole_list() const {
    std::lock_guard lock(mutex_);
    return list(true, hosts_);
  }

 private:
  std::string list(bool whole, const std::vector<Host>& hosts) const {
    std::string text = "{\"seq\":" + std::to_string(seq_) +
                       ",\"whole\":" + (whole ? "true" : "false") + ",\"hosts\":[";
    for (const Host& h : hosts)
      text += std::string(&h == &hosts.front() ? "" : ",") + "{\"host\":\"" + h.id +
              "\",\"dial\":\"" + h.dial +
              "\",\"site\":\"bole\",\"class\":\"std-4c\",\"block\":0,\"health\":\"" + h.health +
              "\",\"share\":1.0,\"born_ms\":0}";
    return text + "]}";
  }
  void serve(int fd) {
    Reader in(fd);
    auto first = in.line(now_ms() + 5000);
    while (first) {
      auto header = in.line(now_ms() + 5000);
      if (!header) return;
      if (header->empty()) break;
    }
    if (!first) return;
    std::size_t wait = first->find("wait=");
    bool watch = first->find("index=" + std::to_string(seq_)) != first->npos;
    if (watch && wait != first->npos) sleep_ms(std::atol(first->c_str() + wait + 5));
    std::string body = watch ? list(false, {}) : whole_list();
    send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body);
  }
  mutable std::mutex mutex_;
  std::vector<Host> hosts_;
  int seq_ = 41;
  Server server_;
};

// ---- commands ----

struct Command {
  bool write = false;
  std::string key, id;
  std::size_t length = 0;
};

inline std::optional<Command> parse_command(const std::string& line) {
  Command c;
  std::vector<std::string> words;
  for (std::size_t at = 0; at <= line.size();) {
    std::size_t end = std::min(line.find(' ', at), line.size());
    words.push_back(line.substr(at, end - at));
    at = end + 1;
  }
  if (words.size() < 3 || (words[0] != "mg" && words[0] != "ms")) return std::nullopt;
  c.write = words[0] == "ms";
  c.key = words[1];
  if (c.write) c.length = std::strtoul(words[2].c_str(), nullptr, 10);
  for (const std::string& word : words)
    if (word[0] == 'O') c.id = word.substr(1);
  return c;
}

inline std::string new_id() {
  static std::atomic<unsigned> count{0};
  char text[32];
  std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(::getpid()), ++count);
  return text;
}

inline std::string read_command(const std::string& key, const std::string& id, int wait_ms = 600) {
  return "mg " + key + " v O" + id +
         " Pc=price-lookup,t=selam-stores,d=" + std::to_string(wait_ms) + "\r\n";
}
inline std::string write_command(const std::string& key, const std::string& id,
                                 const std::string& value, int wait_ms = 1000) {
  return "ms " + key + " " + std::to_string(value.size()) + " O" + id +
         " Pc=sale-record,t=selam-stores,d=" + std::to_string(wait_ms) + ",k=" + id + "\r\n" +
         value + "\r\n";
}

/// The value that the cache servers keep under a key: a text that repeats it.
inline std::string value_of(const std::string& key, std::size_t size) {
  std::string text;
  text.reserve(size + key.size() + 1);
  while (text.size() < size) text += key + ".";
  text.resize(size);
  return text;
}

// ---- the platform ----

/// The settings of WIRE's example, with the effects and times of BRIEF.
inline std::string settings(int routers, bool second_copies = true) {
  return R"({"Az":"bole","Balancers":)" + std::to_string(routers) + R"(,
 "Classes":[
  {"Name":"price-lookup","DeadlineUs":600000,"Effect":"repeatable","Group":"all","KeyTtlUs":5000000,
   "LateWorth":0.25,"ObjectiveUs":150000,"Streamed":false,"Worth":3.0},
  {"Name":"sale-record","DeadlineUs":1000000,"Effect":"by_key","Group":"all","KeyTtlUs":5000000,
   "LateWorth":0.3,"ObjectiveUs":250000,"Streamed":false,"Worth":2.0}],
 "Charges":{"CrossZone":0.12,"LateFail":0.045,"Waste":0.06},
 "ClientHabits":{"MarksRetry":false},
 "Domain":{"Mode":"through","OriginKind":-1},
 "FailureDomains":["bole","kality","piassa"],"Family":"cache",
 "Limits":{"DialTimeoutUs":75000,"KeepaliveUs":15000000,"MaxAttempts":5,"MaxOpen":100000,
  "MaxRetryAfterUs":1000000,"MayCancel":true,"MayProbe":false,"Peers":false,"RetryAfter":false,
  "SecondCopies":)" +
         (second_copies ? "true" : "false") + R"(,"StreamsPerConn":32},
 "MachineTypes":["std-4c","small-3c"],"Me":0,"MembershipMode":"subscribe","OverShareWorth":0.05,
 "Report":{"Fields":["load_share","mean_ms","x0"],"How":"inline"},
 "Rules":{"AnswerSlackUs":8000,"AskWithinUs":10000000,"ColdShare":0.3,"ColdUs":8100000,
  "DrainGraceUs":500000,"OverloadFactor":4.0,"TipAfterUs":1500000},
 "Tenants":[{"Name":"selam-stores","Portion":0.56,"QuotaPerS":275.0},
  {"Name":"koket-express","Portion":0.44,"QuotaPerS":216.0}],
 "TickUs":2000,"Tier":0,"Tiers":["price-cache"],"ValueBy":"work","Weights":"nominal"})";
}

/// One case: its folder, the router's process and the end of both.
class Case {
 public:
  Case(int argc, char** argv, const char* what) {
    origin();
    if (argc < 3) {
      std::fprintf(stderr, "usage: %s RECORD RUN\n", argv[0]);
      std::exit(2);
    }
    record_file = std::fopen(argv[1], "w");
    run_ = argv[2];
    const char* set = std::getenv("TROUBLE");
    trouble_ = !set || std::strcmp(set, "0") != 0;
    const char* temporary = std::getenv("TMPDIR");
    folder_ = std::string(temporary && *temporary ? temporary : "/tmp") + "/review-2-XXXXXX";
    if (!record_file || !::mkdtemp(folder_.data())) std::exit(2);
    ::signal(SIGPIPE, SIG_IGN);
    record("%s; TROUBLE=%d", what, trouble_);
    std::thread([this] {
      sleep_ms(110'000);
      could_not_run("the case took too long");
    }).detach();
  }
  bool trouble() const { return trouble_; }
  int port() const { return port_; }
  int control_port() const { return control_port_; }

  /// Starts a router with the command of the deploy file and waits until it answers `mn`.
  void start_router(const Discovery& discovery, int routers, bool control = false,
                    bool second_copies = true) {
    port_ = free_port();
    start_process(discovery, routers, control, second_copies);
    for (long until = now_ms() + 15'000; now_ms() < until; sleep_ms(50)) {
      if (!says_yes()) continue;
      record("the router is ready");
      sleep_ms(1000);  // its first call to discovery
      return;
    }
    could_not_run("the router was not ready");
  }
  /// An upgrade: a second process beside the running one, with the same addresses and folder and
  /// another second address. Returns when that says yes.
  void start_new_version(const Discovery& discovery, int routers) {
    start_process(discovery, routers, true, true);
    for (long until = now_ms() + 6000; now_ms() < until; sleep_ms(20)) {
      if (control_call("GET /-/ready").find(" 200 ") == std::string::npos) continue;
      record("platform: the new process says yes");
      return;
    }
    could_not_run("the new process did not say yes within 6 s");
  }
  /// Whether a new connection's `mn` is answered with `MN`.
  bool says_yes() {
    int fd = connect_to(port_);
    if (fd < 0) return false;
    Reader in(fd);
    send_all(fd, "mn\r\n");
    auto answer = in.line(now_ms() + 500);
    ::close(fd);
    return answer == "MN";
  }
  /// The first line of the answer to an operator's call, by the newest process.
  std::string control_call(const std::string& call) {
    int fd = connect_to(control_port_);
    if (fd < 0) return "no connection";
    send_all(fd, call + " HTTP/1.1\r\nHost: router\r\nContent-Length: 0\r\n\r\n");
    Reader in(fd);
    auto answer = in.line(now_ms() + 2000);
    ::close(fd);
    return answer.value_or("no answer");
  }
  /// The process that was started first.
  pid_t first_process() const { return routers_.front(); }

  [[noreturn]] void could_not_run(const char* why) { end(2, why); }
  [[noreturn]] void held(const char* why) { end(0, why); }
  [[noreturn]] void broken(const char* why) { end(1, why); }

 private:
  void start_process(const Discovery& discovery, int routers, bool control, bool second_copies) {
    if (control) control_port_ = free_port();
    std::string number = std::to_string(routers_.size());
    std::string path = folder_ + "/config" + number + ".json";
    std::ofstream(path) << "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" << port_
                        << "\",\"discovery\":\"" << discovery.address()
                        << "\",\"seed\":\"8c1f30d27a5be96" << number << "\","
                        << (control ? "\"control\":\"127.0.0.1:" +
                                          std::to_string(control_port_) + "\","
                                    : std::string())
                        << "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                        << "\"known\":" << discovery.whole_list()
                        << ",\"settings\":" << settings(routers, second_copies) << "}";
    std::filesystem::create_directory(folder_ + "/tmp");
    pid_t router = ::fork();
    if (router == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // should the case itself be killed
      ::setenv("NODE_NAME", "n0", 1);
      ::setenv("NODE_CONFIG", path.c_str(), 1);
      ::setenv("TMPDIR", (folder_ + "/tmp").c_str(), 1);
      int log = ::open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::execl("/bin/sh", "sh", "-c", run_.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    if (router < 0) could_not_run("no process could be started");
    routers_.push_back(router);
  }
  [[noreturn]] void end(int code, const char* why) {
    static std::mutex once;
    once.lock();  // never unlocked: the first end counts
    record("%s: %s", code == 0 ? "HELD" : code == 1 ? "BROKEN" : "NOT RUN", why);
    std::printf("%s: %s\n", code == 0 ? "held" : code == 1 ? "broken" : "not run", why);
    for (pid_t router : routers_) {
      ::kill(router, SIGKILL);
      ::waitpid(router, nullptr, 0);
    }
    if (const char* keep = std::getenv("KEEP_LOG"); keep && !routers_.empty())  // a path for its log
      std::filesystem::copy_file(folder_ + "/log", keep,
                                 std::filesystem::copy_options::overwrite_existing);
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
    std::fflush(stdout);
    std::fclose(record_file);
    ::_exit(code);
  }
  std::string run_, folder_;
  bool trouble_ = true;
  int port_ = 0, control_port_ = 0;
  std::vector<pid_t> routers_;
};

}  // namespace standins
