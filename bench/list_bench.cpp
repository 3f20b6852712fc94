// What one whole list costs the router's loop, by its size: read, laid under what operators said,
// taken by the server side and by the decisions. Every server's start moves with each list, so that
// nothing is taken as unchanged. Time as a ratio to a plain copy of the list's text in the same
// run.
#include <event2/event.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/core.hpp"
#include "emu/day.hpp"
#include "membership/operator_overrides.hpp"
#include "net/config.hpp"
#include "net/server_side.hpp"

namespace {

using namespace arrowfork;

struct Quiet final : ServerSide::Handler, Lister {
  void on_attempt_end(RequestId, int, Status, AttemptResult&&) override {}
  void watch() override {}
  void fetch() override {}
};

std::string list_text(int servers, int version) {
  nlohmann::json list = {{"seq", version}, {"whole", true}};
  for (int k = 0; k < servers; ++k)
    list["hosts"].push_back({{"host", "cache-" + std::to_string(k) + ".piassa.example.org"},
                             {"dial", "127.1.0.1:" + std::to_string(1024 + k)},
                             {"site", "zone-" + std::to_string(k % 5)},
                             {"class", "std-4c"},
                             {"block", k / 8},
                             {"health", "active"},
                             {"share", 4.0},
                             {"born_ms", 1'700'000'000'000 + version}});
  return list.dump(4);
}

double ms(std::chrono::steady_clock::duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

double median(std::vector<double> v) {
  std::nth_element(v.begin(), v.begin() + static_cast<std::ptrdiff_t>(v.size() / 2), v.end());
  return v[v.size() / 2];
}

void run(int servers, int rounds) {
  EventBasePtr base(event_base_new());
  Clock clock;
  Quiet quiet;
  emu::DayPlan day = emu::usual_day(0.3);
  day.settings.routers = 1024;
  ServerSide side(base.get(), clock, quiet, {}, &day.settings.report_fields);
  Core core(day.settings, 1, clock, quiet, 2000, 32'000);
  core.start({});
  OperatorOverrides hand;
  std::vector<double> read, taken, decided, copied;
  std::size_t bytes = 0;
  for (int round = 1; round <= rounds; ++round) {
    std::string text = list_text(servers, round);
    bytes = text.size();
    auto t0 = std::chrono::steady_clock::now();
    std::string copy(text);
    auto t1 = std::chrono::steady_clock::now();
    HostList list = parse_host_list(copy);
    auto t2 = std::chrono::steady_clock::now();
    list = hand.apply_list(std::move(list));
    side.apply_list(list);
    auto t3 = std::chrono::steady_clock::now();
    std::vector<robinseam::Server> all;
    for (const Host& host : list.hosts) all.push_back(host.server);
    core.list(robinseam::ListScope::Full, std::move(all));
    core.turn();
    auto t4 = std::chrono::steady_clock::now();
    copied.push_back(ms(t1 - t0)), read.push_back(ms(t2 - t1));
    taken.push_back(ms(t3 - t2)), decided.push_back(ms(t4 - t3));
  }
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  double all = median(read) + median(taken) + median(decided);
  std::printf("%7d %8zu %8.2f %8.2f %8.2f %8.2f %8.0f %8.1f\n", servers, bytes >> 10, median(read),
              median(taken), median(decided), all, all / std::max(1e-4, median(copied)),
              static_cast<double>(usage.ru_maxrss) / 1024);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"What a list of cache servers costs the router's loop"};
  int rounds = 60;
  app.add_option("--rounds", rounds, "lists of each size")->check(CLI::Range(1, 10'000));
  CLI11_PARSE(app, argc, argv);
  std::printf("servers      KiB  read ms  take ms decide ms  all ms   copies   peak MB\n");
  for (int servers : {12, 200, 1024, 1025}) run(servers, rounds);
}
