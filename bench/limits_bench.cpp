// Bad days on the model fleet as a table: goodput over offered load, and how service comes back
// after each trigger. Virtual time: the figures are the same on every machine.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <map>

#include "emu/day.hpp"

namespace {

using namespace arrowfork;
using namespace arrowfork::emu;
using Kind = Trigger::Kind;

struct Named {
  const char* name;
  Kind kind;
  double lasts, part, factor;
};
constexpr Named kTriggers[] = {
    {"half-slow", Kind::Slow, 5, 0.5, 5},      {"all-slow", Kind::Slow, 3, 1, 3},
    {"half-full", Kind::Full, 5, 0.5, 1},      {"half-silent", Kind::Silent, 3, 0.5, 1},
    {"all-silent", Kind::Silent, 3, 1, 1},     {"half-failing", Kind::Failing, 5, 0.5, 1},
    {"all-failing", Kind::Failing, 3, 1, 1},   {"origin-1s", Kind::OriginSlow, 1, 1, 20},
    {"origin-5s", Kind::OriginSlow, 5, 1, 20}, {"cold-third", Kind::ColdRestart, 1, 0.3, 0.3},
    {"shrink", Kind::Shrink, 5, 0.4, 1},       {"scan", Kind::Scan, 5, 1, 0.3},
    {"forgotten", Kind::Misses, 0, 1, 1},      {"storm", Kind::Storm, 5, 0.5, 10},
};
constexpr int kBegins = 10;  // second of the trigger

struct Goodput {
  double in_time = 0;  ///< a second
  double worth = 0;    ///< a second, by the classes' worth
};

/// After the first 4 s.
Goodput goodput(double load, int seeds) {
  Goodput sum;
  for (int seed = 1; seed <= seeds; ++seed) {
    DayPlan plan = usual_day(load);
    plan.lasts = 14 * kSecond;
    DayReport r = play(plan, static_cast<std::uint64_t>(seed));
    for (std::size_t k = 4; k < 14; ++k) {
      sum.in_time += r.seconds[k].in_time / 10.0 / seeds;
      sum.worth += r.seconds[k].worth / 10 / seeds;
    }
  }
  return sum;
}

void loads(int seeds, std::ofstream& csv) {
  std::printf("offered/capacity  in time a second  of the most  worth a second\n");
  csv << "load,in_time_per_s,worth_per_s\n";
  std::vector<std::pair<double, Goodput>> points;
  double most = 0;
  for (double load : {0.25, 0.5, 0.75, 0.9, 1.0, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0}) {
    points.emplace_back(load, goodput(load, seeds));
    most = std::max(most, points.back().second.in_time);
  }
  for (auto [load, good] : points) {
    std::printf("%16.2f %17.0f %11.0f%% %15.0f\n", load, good.in_time, 100 * good.in_time / most,
                good.worth);
    csv << load << ',' << good.in_time << ',' << good.worth << '\n';
  }
}

void triggers(double load, int seeds) {
  std::printf(
      "\nload %.2f, %d seeds; parts of the first tries answered: mean, and the worst seed\n", load,
      seeds);
  std::printf("%-14s %7s %7s %9s %9s %9s\n", "trigger", "before", "during", "0 to 2 s", "5 to 8 s",
              "worst");
  for (const Named& t : kTriggers) {
    double before = 0, during = 0, soon = 0, later = 0, worst = 1e9;
    int end = kBegins + static_cast<int>(t.lasts);
    for (int seed = 1; seed <= seeds; ++seed) {
      DayPlan plan = usual_day(load);
      plan.triggers = {
          {t.kind, kBegins * kSecond, static_cast<Micros>(t.lasts * 1e6), t.part, t.factor}};
      plan.lasts = (end + 8) * kSecond;
      DayReport r = play(plan, static_cast<std::uint64_t>(seed));
      double usual = r.served(4, kBegins);
      before += usual / seeds;
      during += r.served(kBegins, std::max(end, kBegins + 1)) / seeds;
      soon += r.served(end, end + 2) / seeds;
      double back = r.served(end + 5, end + 8);
      later += back / seeds;
      worst = std::min(worst, back / usual);
    }
    std::printf("%-14s %7.2f %7.2f %9.2f %9.2f %8.0f%%\n", t.name, before, during, soon, later,
                100 * worst);
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Bad days on the model fleet");
  int seeds = 6;
  std::vector<double> at{0.45, 0.8, 1.0};
  std::string out = "goodput.csv";
  app.add_option("--seeds", seeds, "days of each kind")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  app.add_option("--load", at, "parts of the fleet's capacity")->capture_default_str();
  app.add_option("--csv", out, "goodput over offered load, for bench/goodput.plot")
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  std::ofstream csv(out);
  loads(seeds, csv);
  if (!csv) {
    std::fprintf(stderr, "limits_bench: cannot write %s\n", out.c_str());
    return 1;
  }
  for (double load : at) triggers(load, seeds);
  return 0;
}
