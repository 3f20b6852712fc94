// A till's large write is taken slowly by its cache server, behind a read of another till whose
// large value is on its way. The write's time ends: does the other till still get its value?
#include "../standins-2/standins.hpp"

using namespace standins;

namespace {

constexpr std::size_t kValue = 4u << 20;
constexpr int kReads = 8, kWrites = 8;
constexpr int kRouters = 24;  // each may hold two connections to a cache server
constexpr int kReceiveBuffer = 64 << 10;
std::atomic<bool> slow{false};
std::atomic<int> cut_by_router{0};

/// Gives a value in pieces; one of 4 MiB takes four seconds.
bool give(int fd, const std::string& text) {
  constexpr std::size_t kPiece = 128u << 10;
  for (std::size_t at = 0; at < text.size(); at += kPiece) {
    if (!send_all(fd, text.substr(at, kPiece))) return false;
    sleep_ms(125);
  }
  return true;
}

/// Reads commands as they come and answers them in their order. The trouble: it reads the value of
/// a write slowly, 64 KiB every 100 ms.
void serve(int fd) {
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<Command> commands;
  bool ended = false;
  std::thread writer([&] {
    while (true) {
      std::unique_lock lock(mutex);
      changed.wait(lock, [&] { return ended || !commands.empty(); });
      if (commands.empty()) return;
      Command c = commands.front();
      commands.erase(commands.begin());
      lock.unlock();
      if (c.write) {
        send_all(fd, "HD O" + c.id + " cr" + c.id + "\r\n");
        record("server: ran the write O%s", c.id.c_str());
        continue;
      }
      bool large = c.key.starts_with("large");
      sleep_ms(large ? 150 : 20);
      std::string value = value_of(c.key, large ? kValue : 100);
      std::string text =
          "VA " + std::to_string(value.size()) + " O" + c.id + " h1\r\n" + value + "\r\n";
      if (!large) {
        send_all(fd, text);
        continue;
      }
      record("server: gives %s to O%s", c.key.c_str(), c.id.c_str());
      bool given = give(fd, text);
      record("server: O%s %s", c.id.c_str(), given ? "given whole" : "CUT OFF by the router");
      if (!given) return;
    }
  });
  Reader in(fd);
  while (auto line = in.line(now_ms() + 600'000)) {
    auto command = parse_command(*line);
    if (!command) {
      send_all(fd, *line == "mn" ? "MN\r\n" : "ERROR\r\n");
      continue;
    }
    if (command->write) {
      std::size_t left = command->length + 2;
      record("server: begins to read the write O%s", command->id.c_str());
      bool whole = true;
      while (left > 0 && whole) {
        std::size_t part = std::min<std::size_t>(left, 64u << 10);
        whole = in.bytes(part, now_ms() + 30'000).has_value();
        left -= part;
        if (slow) sleep_ms(100);
      }
      if (!whole) {
        record("server: the write O%s was broken off", command->id.c_str());
        break;
      }
    }
    std::lock_guard lock(mutex);
    commands.push_back(*command);
    changed.notify_all();
  }
  {
    std::lock_guard lock(mutex);
    ended = true;
    changed.notify_all();
  }
  writer.join();
}

struct Result {
  bool begun = false, whole = false, cut = false;
};

Result read_value(int port, int till) {
  Result r;
  std::string key = "large-" + std::to_string(till), id = new_id();
  int fd = connect_to(port);
  if (fd < 0) return r;
  send_all(fd, read_command(key, id));
  record("till %d: mg %s O%s", till, key.c_str(), id.c_str());
  Reader in(fd);
  auto head = in.line(now_ms() + 3000);
  record("till %d: %s", till, head ? head->c_str() : "no answer");
  r.begun = head && head->starts_with("VA ");
  if (r.begun) {
    auto value = in.bytes(kValue + 2, now_ms() + 30'000);
    r.whole = value && *value == value_of(key, kValue) + "\r\n";
    r.cut = !value && in.end() != Reader::End::Timeout;
    record("till %d: O%s: %s", till, id.c_str(),
           r.whole ? "the whole value" : r.cut ? "CUT OFF by the router" : "no whole value");
  }
  ::close(fd);
  return r;
}

void write_value(int port, int till) {
  int fd = connect_to(port);
  if (fd < 0) return;
  std::string id = new_id();
  record("till %d: ms O%s, 4 MiB", till, id.c_str());
  send_all(fd, write_command("sale-" + std::to_string(till), id, value_of("w", kValue)));
  Reader in(fd);
  auto answer = in.line(now_ms() + 5000);
  record("till %d: O%s: %s", till, id.c_str(), answer ? answer->c_str() : name_of(in.end()));
  ::close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  Case one(argc, argv, "large values beside large writes");
  Server a(serve, kReceiveBuffer), b(serve, kReceiveBuffer);
  Discovery discovery({{"s-a", a.address()}, {"s-b", b.address()}});
  one.start_router(discovery, kRouters);
  slow = one.trouble();
  std::vector<Result> results(kReads);
  std::vector<std::thread> tills;
  for (int k = 0; k < kReads; ++k)
    tills.emplace_back([&, k] { results[k] = read_value(one.port(), k); });
  sleep_ms(60);  // the reads are with the cache servers, no value has begun
  for (int k = 0; k < kWrites; ++k)
    tills.emplace_back([&, k] { write_value(one.port(), kReads + k); });
  for (std::thread& t : tills) t.join();
  int begun = 0, whole = 0, cut = 0;
  for (const Result& r : results) begun += r.begun, whole += r.whole, cut += r.cut;
  record("%d values begun, %d whole, %d cut off", begun, whole, cut);
  if (cut > 0) one.broken("the router cut off values that cache servers still gave");
  if (begun == 0) one.could_not_run("no value was begun");
  one.held("every value that was begun came whole");
}
