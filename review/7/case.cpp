// A cache server's connection is reset in the middle of a large value. Tills had sent further
// commands behind the one for that value, and cache servers have run them: are they answered?
#include "../standins-2/standins.hpp"

using namespace standins;

namespace {

constexpr std::size_t kValue = 1u << 20, kGivenBeforeReset = 512u << 10;
constexpr int kTills = 6;
std::atomic<bool> reset_large_values{false};
std::mutex run_mutex;
std::map<std::string, std::string> run;  // what cache servers have run and answered whole, by id

/// A sound cache server but for the trouble: it resets connections in the middle of large values.
void serve(int fd) {
  Reader in(fd);
  while (auto line = in.line(now_ms() + 600'000)) {
    auto command = parse_command(*line);
    if (!command) {
      send_all(fd, *line == "mn" ? "MN\r\n" : "ERROR\r\n");
      continue;
    }
    if (command->write && !in.bytes(command->length + 2, now_ms() + 10'000)) return;
    bool large = command->key.starts_with("large");
    sleep_ms(large ? 60 : 20);
    if (command->write) {
      if (!send_all(fd, "HD O" + command->id + " cr" + command->id + "\r\n")) return;
      std::lock_guard lock(run_mutex);
      run[command->id] = "HD";
      record("server: ran and answered the write O%s", command->id.c_str());
      continue;
    }
    std::string value = value_of(command->key, large ? kValue : 100);
    std::string text = "VA " + std::to_string(value.size()) + " O" + command->id + " h1\r\n" +
                       value + "\r\n";
    if (large && reset_large_values) {
      send_all(fd, text.substr(0, kGivenBeforeReset));
      sleep_ms(100);
      record("server: resets the connection in the middle of the value for O%s",
             command->id.c_str());
      linger reset{1, 0};
      ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      return;
    }
    if (!send_all(fd, text)) return;
    std::lock_guard lock(run_mutex);
    run[command->id] = "VA";
    if (!large) record("server: answered the read O%s", command->id.c_str());
  }
}

struct Result {
  int value_begun = 0, unanswered = 0, unanswered_but_run = 0;
};

Result ask(int port, int till) {
  Result r;
  std::string name = std::to_string(till), large = new_id(), sale = new_id(), read = new_id();
  int fd = connect_to(port);
  if (fd < 0) return r;
  send_all(fd, read_command("large-" + name, large) +
                   write_command("sale-" + name, sale, "a sale of till " + name) +
                   read_command("price-" + name, read));
  record("till %d: at once mg O%s (large), ms O%s, mg O%s", till, large.c_str(), sale.c_str(),
         read.c_str());
  Reader in(fd);
  long until = now_ms() + 8000;  // far more than the longest deadline and half a second
  std::vector<std::string> waiting{large, sale, read};
  while (!waiting.empty()) {
    auto line = in.line(until);
    if (!line) break;
    if (line->starts_with("VA ")) {
      std::size_t length = std::strtoul(line->c_str() + 3, nullptr, 10);
      r.value_begun += waiting.front() == large;
      if (!in.bytes(length + 2, until)) break;
    }
    record("till %d: O%s: %s", till, waiting.front().c_str(), line->c_str());
    waiting.erase(waiting.begin());
  }
  if (!waiting.empty()) record("till %d: %s", till, name_of(in.end()));
  for (const std::string& id : waiting) {
    if (id == large) {
      record("till %d: O%s: its value came in part: failed", till, id.c_str());
      continue;
    }
    std::lock_guard lock(run_mutex);
    bool ran = run.count(id) > 0;
    ++r.unanswered, r.unanswered_but_run += ran;
    record("till %d: O%s: NO ANSWER%s", till, id.c_str(),
           ran ? ", though a cache server ran it and answered the router" : "");
  }
  ::close(fd);
  return r;
}

}  // namespace

int main(int argc, char** argv) {
  Case one(argc, argv, "commands behind a large value whose server connection is reset");
  Server a(serve), b(serve), c(serve);
  Discovery discovery(
      {{"s-a", a.address()}, {"s-b", b.address()}, {"s-c", c.address()}});
  one.start_router(discovery, 10);
  reset_large_values = one.trouble();
  int begun = 0, unanswered = 0, run_only = 0;
  for (int k = 0; k < kTills; ++k) {
    Result r = ask(one.port(), k);
    begun += r.value_begun, unanswered += r.unanswered, run_only += r.unanswered_but_run;
  }
  record("%d values begun; %d commands behind them without an answer, %d of these run", begun,
         unanswered, run_only);
  if (run_only > 0) one.broken("requests that were taken, forwarded and run got no answer");
  if (begun == 0) one.could_not_run("no value was begun");
  one.held("every request got its answer");
}
