// Case 3: planned restarts while some tills write their commands slowly.
#include "../stand-ins/stand_ins.hpp"

using namespace review;

namespace {

constexpr int kServers = 3, kSlowTills = 200, kTills = 10, kRestarts = 9;
constexpr double kLongestDeadlineMs = 1000;  // of the settings

struct Sent {
  double last_byte_ms = 0;
  int wait_ms = 0;
  std::string answer;  ///< the line, or how the connection ended
  bool answered = false;
};
std::mutex lock;
std::map<std::string, Sent> sent;             // by request id; once its last byte is written
std::map<std::string, double> run_at;         // by request id: when a cache server began it
std::vector<std::pair<double, double>> ends;  // SIGTERM, end of the process
std::atomic<bool> done{false};
std::atomic<bool> front_sends{true};  // the front deals out new connections to this router

CacheServer::Handler handler_of(const std::string& name) {
  return [=](const Command& c, bool) {
    CacheServer::Answer a;
    {
      std::lock_guard<std::mutex> hold(lock);
      run_at[c.id] = now_ms();
    }
    record("%s runs O%s (d=%.0f)", name.c_str(), c.id.c_str(), c.wait_ms);
    // Work of 22 to 40 ms (34 to 61 ms) on machines of 0.6 of yardstick speed (small-3c).
    a.work_ms = (c.write ? random_between(34, 61) : random_between(22, 40)) / 0.6;
    a.text = c.write ? "HD O" + c.id + " c" + c.idempotency_key + "\r\n"
                     : "VA 20 O" + c.id + "\r\n" + c.id + "0000\r\n";
    return a;
  };
}

/// `head_ms`: how long it writes a command; 0: at once.
void run_till(int number, int port, double shortest_head_ms, double longest_head_ms) {
  int fd = -1;
  std::unique_ptr<Reader> in;
  while (!done) {
    if (fd < 0) {
      fd = front_sends ? connect_to(port) : -1;
      if (fd < 0) {
        sleep_ms(50);
        continue;
      }
      in = std::make_unique<Reader>(fd);
    }
    std::string id = new_id(), key = "item-" + std::to_string(number);
    bool write = number % 2 == 1;
    int wait = write ? 1000 : 600;
    std::string text = write ? "ms " + key + " 5 O" + id +
                                   " Pc=sale-record,t=selam-stores,d=1000,k=" + new_id() +
                                   "\r\nhello\r\n"
                             : read_line(key, id, "price-lookup", wait);
    double head = longest_head_ms > 0 ? random_between(shortest_head_ms, longest_head_ms) : 0;
    bool good = true;
    if (head > 0) {  // in pieces of 4 bytes
      double begin = now_ms(), pieces = static_cast<double>((text.size() + 3) / 4 - 1);
      for (std::size_t at = 0, piece = 0; good && at < text.size(); at += 4, ++piece) {
        sleep_ms(begin + head * static_cast<double>(piece) / pieces - now_ms());
        pollfd p{fd, POLLIN, 0};  // a till sees the end of its connection and writes no more
        if (::poll(&p, 1, 0) > 0) good = false;
        if (good) good = send_all(fd, text.data() + at, std::min<std::size_t>(4, text.size() - at));
      }
    } else {
      good = send_all(fd, text);
    }
    if (!good) {  // not sent whole
      ::close(fd), fd = -1;
      continue;
    }
    Sent s;
    s.last_byte_ms = now_ms(), s.wait_ms = wait;
    record("till %d has sent the last byte of the %s O%s", number, write ? "write" : "read",
           id.c_str());
    std::string line, value;
    // Half a second after its time it is lost.
    s.answered = in->line(line, s.wait_ms + 550) &&
                 (line.rfind("VA ", 0) != 0 || in->bytes(22, &value, 500));
    s.answer = s.answered ? line : in->end_text();
    record("till %d: O%s: %s", number, id.c_str(), s.answer.c_str());
    {
      std::lock_guard<std::mutex> hold(lock);
      sent[id] = s;
    }
    if (!s.answered) ::close(fd), fd = -1;
    sleep_ms(random_between(0, 100));
  }
}

}  // namespace

int main(int count, char** arguments) {
  Case here(count, arguments);
  std::vector<ListedServer> list;
  std::vector<std::unique_ptr<CacheServer>> servers;
  for (int k = 0; k < kServers; ++k) {
    std::string name = "s-" + std::to_string(k);
    servers.push_back(std::make_unique<CacheServer>(name, 0, handler_of(name)));
    list.push_back({name, servers.back()->port(), "small-3c"});
  }
  DiscoveryService discovery(list);
  Settings settings;
  RouterProcess router(here.root, here.folder, settings, discovery);
  std::vector<std::thread> tills;
  for (int k = 0; k < kSlowTills; ++k)
    tills.emplace_back(run_till, k, router.listen_port, 1200, 1900);
  for (int k = 0; k < kTills; ++k)
    tills.emplace_back(run_till, kSlowTills + k, router.listen_port, 0, 0);
  bool crashed = false;
  for (int k = 0; k < kRestarts && !crashed; ++k) {
    for (double until = now_ms() + 4000; now_ms() < until && !crashed; sleep_ms(20))
      crashed = router.ended();
    if (!trouble() || crashed) continue;
    double term = now_ms();
    record("SIGTERM to the router");
    router.signal(SIGTERM);
    // SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM.
    double kill = term + kLongestDeadlineMs + 700 + 300;
    for (; now_ms() < kill && !router.ended(); sleep_ms(1))
      if (now_ms() > term + 300) front_sends = false;  // new ones come for 0.2 to 0.4 s
    record("%.0f ms after SIGTERM the router is: %s", now_ms() - term,
           router.status_text().c_str());
    router.end();
    ends.emplace_back(term, now_ms());
    router.start();
    front_sends = true;
  }
  done = true;
  std::string status = router.status_text();
  for (std::thread& till : tills) till.join();
  sleep_ms(100);
  int lost = 0, writes = 0, served = 0, unread = 0;
  for (const auto& [id, s] : sent) {
    served += s.answered;
    if (s.answered) continue;
    auto at = run_at.find(id);
    if (at == run_at.end()) {  // crossed the end of the connection unread: the till sends it again
      ++unread;
      continue;
    }
    ++lost;
    double term = -1;
    for (const auto& [from, to] : ends)
      if (from <= s.last_byte_ms && s.last_byte_ms <= to) term = from;
    writes += s.wait_ms == 1000;
    record(
        "LOST: %s O%s: last byte %.0f ms after SIGTERM, begun by a cache server %.1f ms later, "
        "its time %d ms; its till: %s",
        s.wait_ms == 1000 ? "write" : "read", id.c_str(), s.last_byte_ms - term,
        at->second - s.last_byte_ms, s.wait_ms, s.answer.c_str());
  }
  record(
      "%zu requests sent whole: %d answered, %d crossed the end of their connection unread, %d "
      "lost (%d writes)",
      sent.size(), served, unread, lost, writes);
  router.record_log(4);
  if (crashed) here.finish(router, false, "the router ended: " + status);
  if (served == 0) cannot_run("nothing was served");
  here.finish(
      router, lost == 0,
      std::to_string(lost) +
          " requests that the router had read and passed on to a cache server got no answer");
}
