// A bad client uses the id of another client's open request: is it served with a value?
#include "../standins-2/standins.hpp"

using namespace standins;

namespace {

constexpr std::size_t kLarge = 4u << 20;
// Commands that the till sends at once; a cache server takes 100 ms for each.
constexpr int kAtOnce = 64;
// The other till takes its value of 4 MiB in some four seconds, a piece every 100 ms.
constexpr std::size_t kPiece = 100u << 10;
constexpr long kBetweenPieces = 100;

void serve(int fd) {
  Reader in(fd);
  while (auto line = in.line(now_ms() + 600'000)) {
    auto command = parse_command(*line);
    if (!command || command->write) {
      send_all(fd, *line == "mn" ? "MN\r\n" : "ERROR\r\n");
      continue;
    }
    bool large = command->key.starts_with("large");
    sleep_ms(large ? 20 : 100);
    std::string value = value_of(command->key, large ? kLarge : 100);
    if (!send_all(fd, "VA " + std::to_string(value.size()) + " O" + command->id + " h1\r\n" +
                          value + "\r\n"))
      return;
  }
}

struct Copy {
  bool served = false;
};

/// The bad client: a command of its own with an id that is another client's.
Copy send_copy(int port, const char* which, const std::string& id) {
  Copy c;
  int fd = connect_to(port);
  if (fd < 0) return c;
  record("bad client: mg price-other O%s, the id of %s", id.c_str(), which);
  send_all(fd, read_command("price-other", id));
  Reader in(fd);
  auto answer = in.line(now_ms() + 3000);
  c.served = answer && answer->starts_with("VA ");
  record("bad client: O%s: %s%s", id.c_str(), answer ? answer->c_str() : name_of(in.end()),
         c.served ? " (SERVED)" : "");
  ::close(fd);
  return c;
}

}  // namespace

int main(int argc, char** argv) {
  Case one(argc, argv, "a bad client uses the ids of other clients' open requests");
  Server a(serve), b(serve), c(serve);
  Discovery discovery(
      {{"s-a", a.address()}, {"s-b", b.address()}, {"s-c", c.address()}});
  one.start_router(discovery, 10);

  // A till whose large value is on its way.
  std::string large_id = new_id();
  std::atomic<bool> begun{false}, large_ended{false};
  std::thread slow([&] {
    int fd = connect_to(one.port(), 64 << 10);
    send_all(fd, read_command("large-1", large_id));
    Reader in(fd);
    auto head = in.line(now_ms() + 2000);
    record("till 1: O%s: %s", large_id.c_str(), head ? head->c_str() : "no answer");
    begun = head && head->starts_with("VA ");
    std::size_t left = kLarge + 2 - in.buffered();
    std::vector<char> part(kPiece);
    while (begun && left > 0) {
      sleep_ms(kBetweenPieces);
      ssize_t got = ::recv(fd, part.data(), std::min(left, part.size()), 0);
      if (got <= 0) break;
      left -= static_cast<std::size_t>(got);
    }
    large_ended = true;
    record("till 1: O%s: %s", large_id.c_str(),
           left == 0 ? "the whole value" : "the value was cut off");
    ::close(fd);
  });
  sleep_ms(3000);
  Copy of_large, of_waiting;
  bool large_open = begun && !large_ended;
  record("the value for till 1 is %s", large_open ? "on its way" : "not on its way");
  if (one.trouble() && large_open) of_large = send_copy(one.port(), "till 1's request", large_id);
  large_open &= !large_ended;
  slow.join();

  // A till that sends many commands at once.
  std::vector<std::string> ids;
  std::string commands;
  for (int k = 0; k < kAtOnce; ++k) {
    ids.push_back(new_id());
    commands += read_command("price-" + std::to_string(k), ids.back());
  }
  int fd = connect_to(one.port());
  send_all(fd, commands);
  record("till 2: %d commands at once, O%s to O%s", kAtOnce, ids.front().c_str(),
         ids.back().c_str());
  sleep_ms(20);
  std::thread bad([&] {
    if (one.trouble()) of_waiting = send_copy(one.port(), "till 2's last command", ids.back());
  });
  Reader in(fd);
  int served = 0;
  std::string last;
  for (int k = 0; k < kAtOnce; ++k) {
    auto line = in.line(now_ms() + 5000);
    if (!line) break;
    last = *line;
    if (line->starts_with("VA ")) in.bytes(102, now_ms() + 5000), ++served;
  }
  bad.join();
  record("till 2: %d of %d served; the last answer: %s", served, kAtOnce, last.c_str());
  ::close(fd);

  record("copy of the request whose value was on its way: %s",
         !large_open ? "not tried" : of_large.served ? "SERVED" : "not served");
  record("copy of the command that waited: %s", of_waiting.served ? "SERVED" : "not served");
  if (of_large.served || of_waiting.served)
    one.broken("a bad client was served under the id of another client's open request");
  if (!large_open || served == 0) one.could_not_run("no request was open");
  one.held("no copy was served");
}
