// What the review's cases share: the record, sockets, a discovery service, a cache server, and the
// router as a process started with the deploy file's command. Loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline Clock::time_point& start_time() {
  static Clock::time_point at = Clock::now();
  return at;
}
inline double now_ms() {
  return std::chrono::duration<double, std::milli>(Clock::now() - start_time()).count();
}
inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// ---- the record ----

inline std::FILE*& record_file() {
  static std::FILE* file = nullptr;
  return file;
}

/// One line of record.txt: milliseconds since the start, and the text.
inline void record(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline void record(const char* format, ...) {
  static std::mutex lock;
  char text[2000];
  va_list list;
  va_start(list, format);
  std::vsnprintf(text, sizeof text, format, list);
  va_end(list);
  std::lock_guard<std::mutex> hold(lock);
  if (!record_file()) return;
  std::fprintf(record_file(), "%10.3f %s\n", now_ms(), text);
}

[[noreturn]] inline void cannot_run(const std::string& why) {
  record("cannot run: %s", why.c_str());
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  if (record_file()) std::fflush(record_file());
  std::_Exit(2);
}

inline bool trouble() {
  const char* set = std::getenv("TROUBLE");
  return !set || std::string(set) != "0";
}

// ---- sockets ----

inline sockaddr_in loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  return a;
}

inline void no_delay(int fd) {
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/// Listens on a free port, which is stored in `port`, or on `port` unless that is 0.
inline int listen_on(int& port) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in a = loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  socklen_t size = sizeof a;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
  port = ntohs(a.sin_port);
  return fd;
}

/// A port that is free now.
inline int free_port() {
  int port = 0, fd = listen_on(port);
  if (fd >= 0) ::close(fd);
  return port;
}

/// `receive_buffer`: its size in bytes; 0: the system's.
inline int connect_to(int port, int receive_buffer = 0) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0)
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  sockaddr_in a = loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) {
    ::close(fd);
    return -1;
  }
  no_delay(fd);
  return fd;
}

inline bool send_all(int fd, const char* data, std::size_t size) {
  while (size > 0) {
    ssize_t put = ::send(fd, data, size, MSG_NOSIGNAL);
    if (put < 0 && errno == EINTR) continue;
    if (put <= 0) return false;
    data += put;
    size -= static_cast<std::size_t>(put);
  }
  return true;
}
inline bool send_all(int fd, const std::string& text) {
  return send_all(fd, text.data(), text.size());
}

/// Reads lines and values from a socket.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  enum class End { None, Closed, Reset, Late };
  /// One line without its CRLF. False at the end, on a reset, or `wait_ms` from now.
  bool line(std::string& text, double wait_ms = 1e9) {
    double until = now_ms() + wait_ms;
    std::size_t at;
    while ((at = buffer_.find("\r\n")) == std::string::npos)
      if (!more(until)) return false;
    text = buffer_.substr(0, at);
    buffer_.erase(0, at + 2);
    return true;
  }
  bool bytes(std::size_t count, std::string* to, double wait_ms = 1e9) {
    double until = now_ms() + wait_ms;
    while (buffer_.size() < count) {
      if (!to) {  // dropped as they come
        count -= buffer_.size();
        buffer_.clear();
      }
      if (!more(until)) return false;
    }
    if (to) *to = buffer_.substr(0, count);
    buffer_.erase(0, count);
    return true;
  }
  bool more(double until) {
    double left = until - now_ms();
    if (left <= 0) return end_ = End::Late, false;
    pollfd p{fd_, POLLIN, 0};
    int got = ::poll(&p, 1, left > 1e8 ? -1 : static_cast<int>(left) + 1);
    if (got < 0 && errno == EINTR) return true;
    if (got == 0) return end_ = End::Late, false;
    char chunk[65536];
    ssize_t size = ::recv(fd_, chunk, sizeof chunk, 0);
    if (size < 0 && errno == EINTR) return true;
    if (size <= 0) return end_ = size == 0 ? End::Closed : End::Reset, false;
    buffer_.append(chunk, static_cast<std::size_t>(size));
    return true;
  }
  End end() const { return end_; }
  bool has_buffered() const { return !buffer_.empty(); }
  const char* end_text() const {
    return end_ == End::Closed  ? "closed"
           : end_ == End::Reset ? "reset"
           : end_ == End::Late  ? "no answer in time"
                                : "open";
  }

 private:
  int fd_;
  std::string buffer_;
  End end_ = End::None;
};

// ---- the meta protocol, as PROTOCOL gives it ----

struct Command {
  bool write = false;
  std::string verb, key, id, class_name, idempotency_key;
  std::size_t length = 0;
  double wait_ms = 0;
};

inline Command parse_command(const std::string& line) {
  Command c;
  std::istringstream words(line);
  words >> c.verb >> c.key;
  c.write = c.verb == "ms";
  if (c.write) words >> c.length;
  for (std::string word; words >> word;) {
    if (word[0] == 'O') c.id = word.substr(1);
    if (word[0] != 'P') continue;
    std::istringstream pairs(word.substr(1));
    for (std::string pair; std::getline(pairs, pair, ',');) {
      if (pair.rfind("c=", 0) == 0) c.class_name = pair.substr(2);
      if (pair.rfind("d=", 0) == 0) c.wait_ms = std::atof(pair.c_str() + 2);
      if (pair.rfind("k=", 0) == 0) c.idempotency_key = pair.substr(2);
    }
  }
  return c;
}

inline std::string new_id() {
  static std::mutex lock;
  static std::mt19937_64 draw(std::random_device{}());
  std::lock_guard<std::mutex> hold(lock);
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(draw()));
  return text;
}

inline double random_between(double low, double high) {
  static std::mutex lock;
  static std::mt19937_64 draw(std::random_device{}());
  std::lock_guard<std::mutex> hold(lock);
  return std::uniform_real_distribution<double>(low, high)(draw);
}

inline std::string read_line(const std::string& key, const std::string& id,
                             const std::string& class_name, int wait_ms) {
  return "mg " + key + " v O" + id + " Pc=" + class_name +
         ",t=selam-stores,d=" + std::to_string(wait_ms) + "\r\n";
}

// ---- a cache server ----

/// Begins every command when its last byte has come and answers in the order of the commands of
/// the connection. What it does with a command is the case's to say.
class CacheServer {
 public:
  struct Answer {
    double work_ms = 0;             ///< from the begin of the command to its answer
    std::string text;               ///< the whole answer, sent at once
    std::function<bool(int)> send;  ///< or: sends it; false: the connection is to be reset
    /// A second copy of `text`, so long after the first, if then nothing else waits here.
    double second_copy_after_ms = -1;
    std::function<void()> second_copy_sent;
  };
  /// `alone`: nothing else waits on the connection.
  using Handler = std::function<Answer(const Command& command, bool alone)>;

  /// `one_way_ms`: the way between the router and it, in each direction.
  CacheServer(std::string name, int port, Handler handler, double one_way_ms = 0)
      : name_(std::move(name)), port_(port), handler_(std::move(handler)), one_way_ms_(one_way_ms) {
    listener_ = listen_on(port_);
    if (listener_ < 0) cannot_run("cache server " + name_ + ": no port");
    std::thread([this] { accept_all(); }).detach();
  }
  int port() const { return port_; }
  const std::string& name() const { return name_; }
  /// Connections made to it so far.
  int connections() const { return connections_; }

 private:
  struct Pending {
    Answer answer;
    double due;
  };
  struct Connection {
    int fd;
    std::mutex lock;
    std::condition_variable changed;
    std::deque<Pending> pending;
    bool ended = false;
  };

  void accept_all() {
    while (true) {
      int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      no_delay(fd);
      ++connections_;
      auto c = std::make_shared<Connection>();
      c->fd = fd;
      std::thread([this, c] { read_all(*c, c); }).detach();
      std::thread([this, c] { answer_all(*c); }).detach();
    }
  }
  void read_all(Connection& c, std::shared_ptr<Connection>) {
    Reader in(c.fd);
    std::string line;
    while (in.line(line)) {
      Command command = parse_command(line);
      if (command.write && !in.bytes(command.length + 2, nullptr)) break;
      sleep_ms(one_way_ms_);
      bool alone;
      {
        std::lock_guard<std::mutex> hold(c.lock);
        alone = c.pending.empty();
      }
      Answer answer;
      if (command.verb == "mn")
        answer.text = "MN\r\n";
      else if (command.verb != "mg" && command.verb != "ms")
        answer.text = "ERROR\r\n";
      else
        answer = handler_(command, alone);
      std::lock_guard<std::mutex> hold(c.lock);
      c.pending.push_back({std::move(answer), 0});
      c.pending.back().due = now_ms() + c.pending.back().answer.work_ms;
      c.changed.notify_all();
    }
    std::lock_guard<std::mutex> hold(c.lock);
    c.ended = true;
    c.changed.notify_all();
  }
  void answer_all(Connection& c) {
    while (true) {
      Answer answer;
      double due;
      {
        std::unique_lock<std::mutex> hold(c.lock);
        c.changed.wait(hold, [&] { return c.ended || !c.pending.empty(); });
        if (c.pending.empty()) break;
        answer = c.pending.front().answer;
        due = c.pending.front().due;
      }
      sleep_ms(due - now_ms());
      double answered_at = now_ms();
      sleep_ms(one_way_ms_);
      bool good = answer.send ? answer.send(c.fd) : send_all(c.fd, answer.text);
      {
        std::lock_guard<std::mutex> hold(c.lock);
        c.pending.pop_front();
      }
      if (!good) {
        linger reset{1, 0};
        ::setsockopt(c.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        break;
      }
      if (answer.second_copy_after_ms >= 0) {
        sleep_ms(answered_at + answer.second_copy_after_ms - now_ms());
        std::unique_lock<std::mutex> hold(c.lock);
        if (!c.pending.empty() || c.ended) continue;  // something else waits: no second copy
        hold.unlock();
        if (answer.second_copy_sent) answer.second_copy_sent();
        sleep_ms(one_way_ms_);
        send_all(c.fd, answer.text);
      }
    }
    ::shutdown(c.fd, SHUT_RDWR);
    {
      std::unique_lock<std::mutex> hold(c.lock);
      c.changed.wait(hold, [&] { return c.ended; });
    }
    ::close(c.fd);
  }

  std::string name_;
  int port_, listener_;
  Handler handler_;
  double one_way_ms_;
  std::atomic<int> connections_{0};
};

// ---- discovery ----

struct ListedServer {
  std::string id;
  int port;
  std::string kind = "std-4c";
  std::string health = "active";
  long long born_ms = 0;
};

inline std::string entry_json(const ListedServer& s) {
  return "{\"host\":\"" + s.id + "\",\"dial\":\"127.0.0.1:" + std::to_string(s.port) +
         "\",\"site\":\"bole\",\"class\":\"" + s.kind + "\",\"block\":0,\"health\":\"" + s.health +
         "\",\"share\":1.0,\"born_ms\":" + std::to_string(s.born_ms) + "}";
}

/// Gives the list and lets watches wait, as PROTOCOL says. A change ends the watches with it.
class DiscoveryService {
 public:
  explicit DiscoveryService(std::vector<ListedServer> servers) : servers_(std::move(servers)) {
    listener_ = listen_on(port_);
    if (listener_ < 0) cannot_run("discovery: no port");
    std::thread([this] {
      while (true) {
        int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) std::thread([this, fd] { serve(fd); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  std::string whole_list() {
    std::lock_guard<std::mutex> hold(lock_);
    return whole_locked();
  }
  void change(const ListedServer& server) {
    std::lock_guard<std::mutex> hold(lock_);
    ++seq_;
    bool known = false;
    for (ListedServer& s : servers_)
      if (s.id == server.id) s = server, known = true;
    if (!known) servers_.push_back(server);
    changes_[seq_] = server;
    changed_.notify_all();
  }

 private:
  std::string whole_locked() const {
    std::string hosts;
    for (const ListedServer& s : servers_)
      if (s.health != "left") hosts += (hosts.empty() ? "" : ",") + entry_json(s);
    return "{\"seq\":" + std::to_string(seq_) + ",\"whole\":true,\"hosts\":[" + hosts + "]}";
  }
  void serve(int fd) {
    Reader in(fd);
    std::string line, first;
    while (in.line(line) && !line.empty())
      if (first.empty()) first = line;
    std::string body;
    auto number = [&](const char* name) {
      std::size_t at = first.find(name);
      return at == std::string::npos ? -1L : std::atol(first.c_str() + at + std::strlen(name));
    };
    long index = number("index="), wait = number("wait=");
    {
      std::unique_lock<std::mutex> hold(lock_);
      if (index < 0) {
        body = whole_locked();
      } else {
        changed_.wait_for(hold, std::chrono::milliseconds(std::max(0L, std::min(wait, 60000L))),
                          [&] { return seq_ > index; });
        std::string hosts;
        for (auto at = changes_.upper_bound(index); at != changes_.end(); ++at)
          hosts += (hosts.empty() ? "" : ",") + entry_json(at->second);
        body = "{\"seq\":" + std::to_string(seq_) + ",\"whole\":false,\"hosts\":[" + hosts + "]}";
      }
    }
    send_all(fd,
             "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
             "Content-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
    ::shutdown(fd, SHUT_WR);
    char drop[256];
    while (::recv(fd, drop, sizeof drop, 0) > 0) {
    }
    ::close(fd);
  }

  std::mutex lock_;
  std::condition_variable changed_;
  std::vector<ListedServer> servers_;
  std::map<long, ListedServer> changes_;
  long seq_ = 41;
  int port_ = 0, listener_;
};

// ---- the router ----

struct Settings {
  std::string read_effect = "repeatable", write_effect = "by_key";
  long read_deadline_us = 600000, write_deadline_us = 1000000, key_ttl_us = 5000000;
  bool second_copies = true;
  int memory_mb = 64, sockets = 512, routers = 1;
  bool control = false;
};

inline std::string settings_json(const Settings& s) {
  auto type = [&](const char* name, const std::string& effect, long deadline, long aim,
                  double worth, double late) {
    return "{\"Name\":\"" + std::string(name) + "\",\"Effect\":\"" + effect +
           "\",\"Group\":\"all\",\"KeyTtlUs\":" + std::to_string(s.key_ttl_us) +
           ",\"DeadlineUs\":" + std::to_string(deadline) +
           ",\"ObjectiveUs\":" + std::to_string(aim) +
           ",\"Streamed\":false,\"Worth\":" + std::to_string(worth) +
           ",\"LateWorth\":" + std::to_string(late) + "}";
  };
  return "{\"Az\":\"bole\",\"Balancers\":" + std::to_string(s.routers) + ",\"Classes\":[" +
         type("price-lookup", s.read_effect, s.read_deadline_us, 150000, 3, 0.25) + "," +
         type("sale-record", s.write_effect, s.write_deadline_us, 250000, 2, 0.3) +
         "],\"ClientHabits\":{\"MarksRetry\":false},\"Domain\":{\"Mode\":\"through\","
         "\"OriginFallMultiple\":0.0,\"OriginFallUs\":3000000,\"OriginKind\":-1},"
         "\"FailureDomains\":[\"bole\",\"kality\",\"piassa\"],\"Family\":\"cache\","
         "\"Charges\":{\"CrossZone\":0.12,\"LateFail\":0.045,\"Waste\":0.06},"
         "\"Limits\":{\"CpuUsPerRequest\":0.0,\"CpuUsPerS\":2000000,\"DialTimeoutUs\":75000,"
         "\"KeepaliveUs\":15000000,\"MaxAttempts\":5,\"MaxOpen\":100000,"
         "\"MaxRetryAfterUs\":1000000,\"MayCancel\":true,\"MayProbe\":false,\"Peers\":false,"
         "\"RetryAfter\":false,\"SecondCopies\":" +
         std::string(s.second_copies ? "true" : "false") +
         ",\"StreamsPerConn\":32},\"MachineTypes\":[\"std-4c\",\"small-3c\"],\"Me\":0,"
         "\"MembershipMode\":\"subscribe\",\"OverShareWorth\":0.05,"
         "\"Report\":{\"Fields\":[\"load_share\",\"mean_ms\",\"x0\"],\"How\":\"inline\"},"
         "\"Rules\":{\"AnswerSlackUs\":8000,\"AskWithinUs\":10000000,\"ColdShare\":0.3,"
         "\"ColdUs\":8100000,\"DrainGraceUs\":500000,\"OverloadFactor\":4.0,"
         "\"TipAfterUs\":1500000},\"Tenants\":[{\"Name\":\"selam-stores\",\"Portion\":0.56,"
         "\"QuotaPerS\":5000.0},{\"Name\":\"koket-express\",\"Portion\":0.44,"
         "\"QuotaPerS\":4000.0}],\"TickUs\":2000,\"Tier\":0,\"Tiers\":[\"price-cache\"],"
         "\"ValueBy\":\"work\",\"Weights\":\"nominal\"}";
}

/// The deploy file's command under `name`.
inline std::string deploy_command(const std::string& root, const std::string& name) {
  std::ifstream file(root + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind(name + " = \"", 0) != 0) continue;
    std::size_t from = line.find('"') + 1;
    return line.substr(from, line.find('"', from) - from);
  }
  cannot_run("deploy file: no " + name);
}

class RouterProcess {
 public:
  /// `folder`: an empty folder for the configuration and the log. Starts the deploy file's `run`.
  RouterProcess(const std::string& root, const std::string& folder, const Settings& settings,
                DiscoveryService& discovery)
      : root_(root), folder_(folder) {
    listen_port = free_port();
    std::string listen = "127.0.0.1:" + std::to_string(listen_port);
    std::string known = "127.0.0.1:" + std::to_string(discovery.port());
    std::ofstream config(folder + "/config.json");
    config << "{\"name\":\"n3\",\"listen\":\"" << listen << "\",\"discovery\":\"" << known
           << "\",\"seed\":\"" << new_id()
           << "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" << settings.memory_mb
           << ",\"sockets\":" << settings.sockets << "},";
    if (settings.control) {
      control_port = free_port();
      config << "\"control\":\"127.0.0.1:" << control_port << "\",";
    }
    config << "\"known\":" << discovery.whole_list() << ",\"settings\":" << settings_json(settings)
           << "}";
    config.close();
    ::mkdir((folder + "/tmp").c_str(), 0700);
    start();
  }
  ~RouterProcess() { end(); }

  int listen_port = 0, control_port = 0;
  pid_t pid() const { return pid_; }

  void start() {
    std::string command = deploy_command(root_, "run");
    std::string config = folder_ + "/config.json", log = folder_ + "/router.log",
                temporary = folder_ + "/tmp";
    gone_ = false;
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // also if the case itself is killed
      int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 1), ::dup2(out, 2);
      ::setenv("NODE_CONFIG", config.c_str(), 1);
      ::setenv("NODE_NAME", "n3", 1);
      ::setenv("TMPDIR", temporary.c_str(), 1);
      if (::chdir(root_.c_str()) != 0) ::_exit(127);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      ::_exit(127);
    }
    record("router started: %s (pid %d)", command.c_str(), static_cast<int>(pid_));
    // Used once it has answered `mn`.
    for (double until = now_ms() + 20000; now_ms() < until; sleep_ms(20)) {
      if (ended()) cannot_run("the router ended at its start: " + status_text());
      int fd = connect_to(listen_port);
      if (fd < 0) continue;
      std::string line;
      Reader in(fd);
      bool ready = send_all(fd, "mn\r\n") && in.line(line, 1000) && line == "MN";
      ::close(fd);
      if (ready) return;
    }
    cannot_run("the router was not ready within 20 s");
  }
  /// Whether the process has ended.
  bool ended() {
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = -1, gone_ = true;
    return gone_;
  }
  std::string status_text() const {
    if (!gone_) return "running";
    if (WIFSIGNALED(status_))
      return "ended by signal " + std::to_string(WTERMSIG(status_)) + " (" +
             strsignal(WTERMSIG(status_)) + ")";
    return "exit status " + std::to_string(WEXITSTATUS(status_));
  }
  void signal(int number) {
    if (!ended()) ::kill(pid_, number);
  }
  void end() {
    if (ended()) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, &status_, 0);
    gone_ = true;
    pid_ = -1;
  }
  /// Memory of its own in KB, without the files that it maps (libraries).
  long memory_kb() {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);)
      if (line.rfind("RssAnon:", 0) == 0) return std::atol(line.c_str() + 8);
    return 0;
  }
  long resident_kb() {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);)
      if (line.rfind("VmRSS:", 0) == 0) return std::atol(line.c_str() + 6);
    return 0;
  }
  /// The last lines of its log, into the record.
  void record_log(int lines = 12) {
    std::ifstream file(folder_ + "/router.log");
    std::deque<std::string> last;
    for (std::string line; std::getline(file, line);) {
      last.push_back(line);
      if (static_cast<int>(last.size()) > lines) last.pop_front();
    }
    for (const std::string& line : last) record("router's log: %s", line.c_str());
  }

 private:
  std::string root_, folder_;
  pid_t pid_ = -1;
  int status_ = 0;
  bool gone_ = false;
};

/// Arguments of every case: the repository's root, a temporary folder, the record's path.
struct Case {
  std::string root, folder;
  Case(int count, char** arguments) {
    if (count < 4) std::_Exit(2);
    ::signal(SIGPIPE, SIG_IGN);
    root = arguments[1], folder = arguments[2];
    record_file() = std::fopen(arguments[3], "w");
    start_time();
    if (!record_file()) std::_Exit(2);
    if (::access((root + "/build/arrowfork").c_str(), X_OK) != 0)
      cannot_run("build/arrowfork is missing: run the deploy file's build first");
    record("disruption: %s", trouble() ? "on" : "off (TROUBLE=0)");
  }
  [[noreturn]] void finish(RouterProcess& router, bool held, const std::string& verdict) {
    router.end();
    record("%s: %s", held ? "HELD" : "BROKEN", verdict.c_str());
    std::fflush(record_file());
    std::fprintf(stderr, "%s: %s\n", held ? "held" : "BROKEN", verdict.c_str());
    std::_Exit(held ? 0 : 1);
  }
};

}  // namespace review
