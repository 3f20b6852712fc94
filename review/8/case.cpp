// Tills leave while a new version takes over. Is work begun for them at the new process?
#include "../standins-2/standins.hpp"

using namespace standins;

namespace {

constexpr int kTills = 40;
constexpr long kOneWay = 1;          // ms of the network between tills and router
constexpr long kUsualTime = 30, kSlowTime = 350;  // ms of work; what misses takes longer
constexpr long kSecondAfter = 100;   // ms between the two commands of a till
constexpr long kLeavesAfter = 50;    // ms between the second one and the till's close
constexpr long kAllowed = 100 + 50;  // ms from a till's close to the last attempt that may begin

std::mutex table_mutex;
std::map<std::string, long> closed_at;  // when the till of an id closed its connection
std::map<std::string, int> till_of;
std::map<std::string, std::string> sent_as;  // the command's kind
int late_reads = 0, late_writes = 0, attempts = 0;

/// Notes each command as its last byte comes, and answers it after the service time.
void serve(int fd) {
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::pair<Command, long>> waiting;
  bool ended = false;
  std::thread worker([&] {
    while (true) {
      std::unique_lock lock(mutex);
      changed.wait(lock, [&] { return ended || !waiting.empty(); });
      if (ended) return;
      auto [command, came] = waiting.front();
      waiting.erase(waiting.begin());
      lock.unlock();
      sleep_ms(came + (command.key.starts_with("slow") ? kSlowTime : kUsualTime) - now_ms());
      send_all(fd, command.write ? "HD O" + command.id + " cr" + command.id + "\r\n"
                                 : "VA 100 O" + command.id + " h1\r\n" +
                                       value_of(command.key, 100) + "\r\n");
    }
  });
  Reader in(fd);
  while (auto line = in.line(now_ms() + 600'000)) {
    auto command = parse_command(*line);
    if (!command) {
      send_all(fd, *line == "mn" ? "MN\r\n" : "ERROR\r\n");
      continue;
    }
    if (command->write && !in.bytes(command->length + 2, now_ms() + 10'000)) break;
    long came = now_ms();
    {
      std::lock_guard lock(table_mutex);
      ++attempts;
      auto closed = closed_at.find(command->id);
      if (closed != closed_at.end() && came > closed->second + kAllowed) {
        ++(command->write ? late_writes : late_reads);
        record("server: %s O%s of till %d comes %ld ms after the till closed its connection",
               command->write ? "the write" : "the read", command->id.c_str(),
               till_of[command->id], came - closed->second);
      }
    }
    std::lock_guard lock(mutex);
    waiting.emplace_back(*command, came);
    changed.notify_all();
  }
  {
    std::lock_guard lock(mutex);
    ended = true;
    changed.notify_all();
  }
  worker.join();
}

/// The network between one till and the router: what is sent comes 1 ms later, a close as well. What
/// comes for a till that has closed is answered by a reset, which takes its way back.
void carry(int till_fd, int router_port) {
  int fd = connect_to(router_port);
  if (fd < 0) return;
  std::thread up([&] {
    char part[4096];
    while (true) {
      ssize_t got = ::recv(till_fd, part, sizeof part, 0);
      sleep_ms(kOneWay);
      if (got <= 0) break;
      if (!send_all(fd, std::string(part, static_cast<std::size_t>(got)))) break;
    }
    ::shutdown(fd, SHUT_WR);
  });
  char part[4096];
  while (true) {
    ssize_t got = ::recv(fd, part, sizeof part, 0);
    sleep_ms(kOneWay);
    if (got <= 0) break;
    char byte;
    bool closed = ::recv(till_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    if (!closed && send_all(till_fd, std::string(part, static_cast<std::size_t>(got)))) continue;
    sleep_ms(kOneWay);
    linger reset{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    break;
  }
  ::shutdown(till_fd, SHUT_RDWR);
  up.join();
  ::close(fd);
}

std::atomic<bool> over{false};

/// An impatient till, again and again: a read that is answered; a read that takes long, and 0.1 s
/// later a write or a read behind it; 0.05 s later it closes its connection.
void run_till(int port, int till) {
  sleep_ms(till * 13);
  for (int round = 0; !over; ++round) {
    int fd = connect_to(port);
    if (fd < 0) return;
    Reader in(fd);
    std::string first = new_id(), slow = new_id(), second = new_id();
    std::string key = std::to_string(till) + "-" + std::to_string(round % 20);
    {
      std::lock_guard lock(table_mutex);
      for (const std::string& id : {first, slow, second}) till_of[id] = till;
    }
    send_all(fd, read_command("price-" + key, first));
    auto head = in.line(now_ms() + 2000);
    if (head && head->starts_with("VA ")) in.bytes(102, now_ms() + 2000);
    send_all(fd, read_command("slow-" + key, slow));
    sleep_ms(kSecondAfter);
    send_all(fd, round % 2 ? write_command("sale-" + key, second, "a sale")
                           : read_command("price-" + key, second));
    sleep_ms(kLeavesAfter);
    {
      std::lock_guard lock(table_mutex);
      for (const std::string& id : {first, slow, second}) closed_at[id] = now_ms();
    }
    ::close(fd);
    sleep_ms(400);
  }
}

}  // namespace

int main(int argc, char** argv) {
  Case one(argc, argv, "tills that leave while a new version takes over");
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<Host> hosts;
  for (int k = 0; k < 4; ++k) {
    servers.push_back(std::make_unique<Server>(serve));
    hosts.push_back({"s-" + std::to_string(k), servers.back()->address()});
  }
  Discovery discovery(hosts);
  one.start_router(discovery, 10, true);
  Server network([&](int fd) { carry(fd, one.port()); });
  std::thread front([&] {  // it asks `mn` every 0.1 s
    while (!over) {
      one.says_yes();
      sleep_ms(100);
    }
  });
  std::vector<std::thread> tills;
  for (int k = 0; k < kTills; ++k)
    tills.emplace_back([&, k] { run_till(network.port(), k); });
  sleep_ms(1500);
  if (one.trouble()) one.start_new_version(discovery, 10);
  if (one.trouble()) {
    ::kill(one.first_process(), SIGTERM);
    record("platform: SIGTERM to the old process");
  }
  sleep_ms(2000);
  over = true;
  front.join();
  for (std::thread& t : tills) t.join();
  sleep_ms(600);
  record("%d attempts; begun over %ld ms after their till had closed: %d reads, %d writes", attempts,
         kAllowed, late_reads, late_writes);
  if (attempts < 50) one.could_not_run("too few attempts");
  if (late_reads + late_writes > 0)
    one.broken("attempts began for tills that had closed their connections");
  one.held("nothing began for a till that had left");
}
