// Bad days on the model fleet as a table: goodput over offered load, and how service comes back
// after each trigger. Virtual time: the figures are the same on every machine.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <map>

#include "emu/day.hpp"
#include "emu/rules.hpp"

namespace {

using namespace arrowfork;
using namespace arrowfork::emu;
constexpr int kBegins = 10;  // second of the trigger

struct Goodput {
  double in_time = 0;  ///< a second
  double worth = 0;    ///< a second, by the classes' worth
};

/// After the first 4 s.
Goodput goodput(double load, int seeds, const NamedRules& rules = rules_of("windows")) {
  Goodput sum;
  for (int seed = 1; seed <= seeds; ++seed) {
    DayPlan plan = usual_day(load);
    plan.lasts = 14 * kSecond;
    plan.rules = rules.maker;
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

struct Back {
  double before = 0, during = 0, soon = 0, later = 0;  ///< parts served, means over seeds
  double worst = 1e9;                                  ///< of `later` over `before`
};

Back play_trigger(const NamedTrigger& t, double load, int seeds, const NamedRules& rules) {
  Back sum;
  int end = kBegins + static_cast<int>(t.trigger.lasts / kSecond);
  for (int seed = 1; seed <= seeds; ++seed) {
    DayPlan plan = usual_day(load);
    plan.triggers = {t.trigger};
    plan.triggers[0].from = kBegins * kSecond;
    plan.lasts = (end + 8) * kSecond;
    plan.rules = rules.maker;
    DayReport r = play(plan, static_cast<std::uint64_t>(seed));
    double usual = r.served(4, kBegins);
    sum.before += usual / seeds;
    sum.during += r.served(kBegins, std::max(end, kBegins + 1)) / seeds;
    sum.soon += r.served(end, end + 2) / seeds;
    double back = r.served(end + 5, end + 8);
    sum.later += back / seeds;
    sum.worst = std::min(sum.worst, back / std::max(0.01, usual));
  }
  return sum;
}

void triggers(double load, int seeds) {
  std::printf(
      "\nload %.2f, %d seeds; parts of the first tries answered: mean, and the worst seed\n", load,
      seeds);
  std::printf("%-14s %7s %7s %9s %9s %9s\n", "trigger", "before", "during", "0 to 2 s", "5 to 8 s",
              "worst");
  for (const NamedTrigger& t : named_triggers()) {
    Back b = play_trigger(t, load, seeds, rules_of("windows"));
    std::printf("%-14s %7.2f %7.2f %9.2f %9.2f %8.0f%%\n", t.name, b.before, b.during, b.soon,
                b.later, 100 * b.worst);
  }
}

/// Each rule of the field on the same days.
void compare(int seeds) {
  const double loads[] = {0.45, 0.9, 1, 3, 10};
  std::printf("worth a second, by load\n%-16s", "rules");
  for (double load : loads) std::printf(" %7.2f", load);
  std::printf("  source\n");
  for (const NamedRules& rules : all_rules()) {
    std::printf("%-16s", rules.name);
    for (double load : loads) std::printf(" %7.0f", goodput(load, seeds, rules).worth);
    std::printf("  %s\n", rules.source);
    std::fflush(stdout);
  }
  for (double load : {0.45, 0.8}) {
    std::printf("\npart served 5 to 8 s after the trigger's end, load %.2f\n%-14s", load,
                "trigger");
    for (const NamedRules& rules : all_rules()) std::printf(" %15s", rules.name);
    std::printf("\n");
    for (const NamedTrigger& t : named_triggers()) {
      std::printf("%-14s", t.name);
      for (const NamedRules& rules : all_rules())
        std::printf(" %15.2f", play_trigger(t, load, seeds, rules).later);
      std::printf("\n");
      std::fflush(stdout);
    }
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
  bool others = false;
  app.add_flag("--compare", others, "the field's other rules on the same days, and nothing else");
  std::string day, rules = "windows";
  int servers = 10, cores = 4, seed = 1;
  std::vector<std::string> names, rule_names;
  for (const auto& one : named_triggers()) names.emplace_back(one.name);
  for (const auto& one : all_rules()) rule_names.emplace_back(one.name);
  app.add_option("--day", day, "one day with this trigger, second by second, and nothing else")
      ->check(CLI::IsMember(names));
  app.add_option("--rules", rules, "of that day")->check(CLI::IsMember(rule_names));
  app.add_option("--servers", servers, "of that day")->check(CLI::Range(1, 200));
  app.add_option("--cores", cores, "of each server of that day")->check(CLI::Range(1, 64));
  app.add_option("--seed", seed, "of that day");
  CLI11_PARSE(app, argc, argv);
  if (!day.empty()) {
    DayPlan plan = scaled_day(at.front(), servers, cores);
    plan.triggers = {trigger_of(day)};
    plan.triggers[0].from = kBegins * kSecond;
    plan.lasts = kBegins * kSecond + plan.triggers[0].lasts + 8 * kSecond;
    plan.rules = rules_of(rules).maker;
    std::printf("%s", table(play(plan, static_cast<std::uint64_t>(seed))).c_str());
    return 0;
  }
  if (others) {
    compare(seeds);
    return 0;
  }
  std::ofstream csv(out);
  loads(seeds, csv);
  if (!csv) {
    std::fprintf(stderr, "limits_bench: cannot write %s\n", out.c_str());
    return 1;
  }
  for (double load : at) triggers(load, seeds);
  return 0;
}
