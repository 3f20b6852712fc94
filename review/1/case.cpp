// Case 1: a cache server crashes while a large value of it is passed on to a till that has sent
// further commands behind that read.
//
//   case ROOT FOLDER RECORD         the case
//   case server NAME PORT RECORD START   one cache server, as a process of its own
#include "../stand-ins/stand_ins.hpp"

using namespace review;

namespace {

constexpr std::size_t kLargeValue = 512u << 10, kPiece = 16u << 10;
constexpr int kServers = 4, kTills = 24, kSmallReads = 20, kCrashes = 6;

std::string value_of(const std::string& id, std::size_t size) {
  std::string value = id + ":";
  while (value.size() < size) value += "0123456789abcdef";
  value.resize(size);
  return value;
}

/// `start`: the case's start on the steady clock, in nanoseconds.
int serve(const std::string& name, int port, const char* file, long long start) {
  start_time() = Clock::time_point(std::chrono::nanoseconds(start));
  record_file() = std::fopen(file, "a");
  if (!record_file()) return 2;
  std::setvbuf(record_file(), nullptr, _IOLBF, 1 << 12);  // it will be killed
  CacheServer server(name, port, [name](const Command& c, bool) {
    record("%s runs O%s", name.c_str(), c.id.c_str());
    CacheServer::Answer a;
    a.work_ms = random_between(22, 40);
    if (c.key.rfind("large", 0) != 0) {
      a.text = "VA 100 O" + c.id + "\r\n" + value_of(c.id, 100) + "\r\n";
      return a;
    }
    a.send = [id = c.id](int fd) {  // slowly, in pieces
      std::string text = "VA " + std::to_string(kLargeValue) + " O" + id + "\r\n" +
                         value_of(id, kLargeValue) + "\r\n";
      for (std::size_t at = 0; at < text.size(); at += kPiece, sleep_ms(20))
        if (!send_all(fd, text.data() + at, std::min(kPiece, text.size() - at))) return false;
      return true;
    };
    return a;
  });
  while (true) ::pause();
}

pid_t start_server(const char* program, const ListedServer& server, const std::string& file) {
  std::string port = std::to_string(server.port),
              start =
                  std::to_string(std::chrono::nanoseconds(start_time().time_since_epoch()).count());
  pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::execl(program, program, "server", server.id.c_str(), port.c_str(), file.c_str(),
            start.c_str(), nullptr);
    ::_exit(127);
  }
  return pid;
}

/// Merges the cache servers' records into the case's, by time.
void merge_records(const std::string& main_file, const std::vector<std::string>& files) {
  std::fflush(record_file());
  std::vector<std::pair<double, std::string>> lines;
  std::vector<std::string> all = files;
  all.push_back(main_file);
  for (const std::string& file : all) {
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);)
      lines.emplace_back(std::atof(line.c_str()), line);
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  record_file() = std::freopen(main_file.c_str(), "w", record_file());
  for (const auto& [at, line] : lines) std::fprintf(record_file(), "%s\n", line.c_str());
}

std::atomic<bool> done{false};
std::atomic<int> served{0}, other{0}, broken_off{0}, wrong{0};

/// One read of a large value and small reads behind it, again and again on one connection.
void run_till(int number, int port) {
  for (int round = 0; !done; ++round) {
    int fd = connect_to(port);
    if (fd < 0) {
      sleep_ms(100);
      continue;
    }
    Reader in(fd);
    for (bool open = true; open && !done; ++round) {
      std::vector<std::string> ids;
      for (int k = 0; k <= kSmallReads; ++k) ids.push_back(new_id());
      std::string large = "large-" + std::to_string(number) + "-" + std::to_string(round);
      record("till %d sends read O%s of %s, then %d small reads", number, ids[0].c_str(),
             large.c_str(), kSmallReads);
      std::thread sender([&] {
        if (!send_all(fd, read_line(large, ids[0], "price-lookup", 600))) return;
        for (int k = 1; k <= kSmallReads; ++k) {
          sleep_ms(20);
          std::string key = "small-" + std::to_string(number) + "-" + std::to_string(k);
          if (!send_all(fd, read_line(key, ids[k], "price-lookup", 600))) return;
          record("till %d has sent O%s", number, ids[k].c_str());
        }
      });
      for (int k = 0; k <= kSmallReads && open; ++k) {
        std::string line, value;
        open = in.line(line, 5000);
        std::size_t size = k == 0 ? kLargeValue : 100;
        bool value_comes = open && line.rfind("VA ", 0) == 0;
        if (value_comes) open = in.bytes(size + 2, &value, 5000);
        if (!open) {
          ++broken_off;
          record("till %d: connection ended at answer %d (O%s): %s%s", number, k, ids[k].c_str(),
                 in.end_text(), value_comes ? ", inside the value" : "");
        } else if (value_comes) {
          bool right = line == "VA " + std::to_string(size) + " O" + ids[k] &&
                       value == value_of(ids[k], size) + "\r\n";
          ++(right ? served : wrong);
          record("till %d has read the value of O%s", number, ids[k].c_str());
          if (!right)
            record("till %d: WRONG DATA for O%s: %s", number, ids[k].c_str(), line.c_str());
        } else {
          ++other;
          record("till %d got for O%s: %s", number, ids[k].c_str(), line.c_str());
        }
      }
      if (!open) ::shutdown(fd, SHUT_RDWR);
      sender.join();
    }
    ::close(fd);
  }
}

}  // namespace

int main(int count, char** arguments) {
  if (count == 6 && std::string(arguments[1]) == "server")
    return serve(arguments[2], std::atoi(arguments[3]), arguments[4], std::atoll(arguments[5]));
  Case here(count, arguments);
  std::vector<ListedServer> list;
  std::vector<pid_t> pids;
  std::vector<std::string> files;
  for (int k = 0; k < kServers; ++k) {
    list.push_back({"s-" + std::to_string(k), free_port()});
    files.push_back(here.folder + "/" + list.back().id + ".txt");
    pids.push_back(start_server(arguments[0], list.back(), files.back()));
  }
  DiscoveryService discovery(list);
  Settings settings;
  RouterProcess router(here.root, here.folder, settings, discovery);
  std::vector<std::thread> tills;
  for (int k = 0; k < kTills; ++k) tills.emplace_back(run_till, k, router.listen_port);
  auto wait = [&](double ms) {
    for (double until = now_ms() + ms; now_ms() < until && !router.ended();) sleep_ms(10);
  };
  wait(3000);
  for (int k = 0; k < kCrashes && !router.ended(); ++k) {
    if (trouble()) {
      ::kill(pids[0], SIGKILL);
      ::waitpid(pids[0], nullptr, 0);
      record("cache server s-0 crashed (SIGKILL)");
    }
    wait(3000);
    if (!trouble()) continue;
    pids[0] = start_server(arguments[0], list[0], files[0]);
    list[0].born_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    discovery.change(list[0]);
    record("cache server s-0 started again, and listed so");
    wait(3000);
  }
  bool crashed = router.ended();
  done = true;
  record("tills: %d reads served, %d refused or failed, %d connections ended, %d wrong values",
         served.load(), other.load(), broken_off.load(), wrong.load());
  std::string status = router.status_text();
  record("router: %s", status.c_str());
  router.record_log();
  for (pid_t pid : pids) ::kill(pid, SIGKILL), ::waitpid(pid, nullptr, 0);
  for (std::thread& till : tills) till.join();
  merge_records(arguments[3], files);
  if (served == 0) cannot_run("nothing was served");
  if (crashed) here.finish(router, false, "the router crashed: " + status);
  if (wrong > 0) here.finish(router, false, "a till got a value that is not its own");
  here.finish(router, true, "the router did not crash");
}
