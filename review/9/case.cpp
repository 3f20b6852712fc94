// Tills read a value of 4 MiB slowly and without a pause: is it cut off?
#include "../standins-2/standins.hpp"

using namespace standins;

namespace {

constexpr std::size_t kValue = 4u << 20;
// The trouble: a till that reads slowly. It takes a piece every half second and never rests longer.
constexpr std::size_t kPiece = 64u << 10;
constexpr long kBetweenPieces = 500;
constexpr int kTills = 4;
constexpr int kReceiveBuffer = 64 << 10;  // of a till: a small machine

/// A sound cache server: begins each command at once and gives the value as fast as it is taken.
void serve(int fd) {
  Reader in(fd);
  while (auto line = in.line(now_ms() + 600'000)) {
    auto command = parse_command(*line);
    if (!command || command->write) {
      send_all(fd, *line == "mn" ? "MN\r\n" : "ERROR\r\n");
      continue;
    }
    bool large = command->key.starts_with("large");
    std::string value = value_of(command->key, large ? kValue : 100);
    sleep_ms(20);
    if (large) record("server: gives %s to O%s", command->key.c_str(), command->id.c_str());
    bool given = send_all(fd, "VA " + std::to_string(value.size()) + " O" + command->id +
                                  " h1\r\n" + value + "\r\n");
    if (large) record("server: O%s %s", command->id.c_str(), given ? "given whole" : "CUT OFF by the router");
    if (!given) return;
  }
}

struct Result {
  int begun = 0, whole = 0, cut = 0;
};

/// Asks for `count` values at once, and takes them one after another.
Result read_values(int port, int till, int count, bool slow) {
  Result r;
  int fd = connect_to(port, kReceiveBuffer);
  if (fd < 0) return r;
  long began = now_ms();
  std::vector<std::string> keys;
  std::string commands;
  for (int k = 0; k < count; ++k) {
    keys.push_back("large-" + std::to_string(till) + "-" + std::to_string(k));
    std::string id = new_id();
    commands += read_command(keys.back(), id);
    record("till %d: mg %s O%s", till, keys.back().c_str(), id.c_str());
  }
  send_all(fd, commands);
  std::string in;
  std::vector<char> part(kPiece);
  bool ended = false;
  auto more = [&] {
    if (slow) sleep_ms(kBetweenPieces);
    ssize_t size = readable(fd, 20'000) ? ::recv(fd, part.data(), part.size(), 0) : -1;
    ended = size <= 0;
    if (ended) record("till %d: %s", till, size == 0 ? "closed by the router" : "reset, or no bytes for 20 s");
    if (!ended) in.append(part.data(), static_cast<std::size_t>(size));
  };
  for (const std::string& key : keys) {
    while (!ended && in.find("\r\n") == in.npos) more();
    std::size_t at = in.find("\r\n");
    if (at == in.npos) break;
    std::string head = in.substr(0, at), expected = value_of(key, kValue) + "\r\n";
    in.erase(0, at + 2);
    record("till %d: %s: %s", till, key.c_str(), head.c_str());
    if (!head.starts_with("VA ")) continue;
    ++r.begun;
    while (!ended && in.size() < expected.size()) more();
    bool whole = in.size() >= expected.size() && in.compare(0, expected.size(), expected) == 0;
    r.whole += whole, r.cut += !whole && ended;
    record("till %d: %s: %zu of %zu bytes%s, %ld ms after the command", till, key.c_str(),
           std::min(in.size(), expected.size()), expected.size(), whole ? ", whole" : ", CUT OFF",
           now_ms() - began);
    if (!whole) break;
    in.erase(0, expected.size());
  }
  ::close(fd);
  return r;
}

}  // namespace

int main(int argc, char** argv) {
  Case one(argc, argv, "slow readers of large values");
  Server a(serve), b(serve);
  Discovery discovery({{"s-a", a.address()}, {"s-b", b.address()}});
  one.start_router(discovery, 10);
  std::vector<Result> results(kTills);
  std::vector<std::thread> tills;
  // One half ask for one value, the others for two at once: these are more than any buffer of the
  // system takes.
  for (int k = 0; k < kTills; ++k)
    tills.emplace_back(
        [&, k] { results[k] = read_values(one.port(), k, 1 + k % 2, one.trouble()); });
  for (std::thread& t : tills) t.join();
  int begun = 0, whole = 0, cut = 0;
  for (const Result& r : results) begun += r.begun, whole += r.whole, cut += r.cut;
  record("%d values begun, %d whole, %d cut off", begun, whole, cut);
  if (cut > 0) one.broken("the router cut a value off that its cache server still gave");
  if (begun == 0) one.could_not_run("no value was begun");
  one.held("every value that was begun came whole");
}
