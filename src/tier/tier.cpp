#include "tier.hpp"

#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <stdexcept>

#include "report.hpp"
#include "scenario_runner.hpp"

namespace arrowfork::tier {
namespace {

void write_file(const std::string& path, const std::function<void(std::ostream&)>& write) {
  if (path.empty()) return;
  std::ofstream file(path, std::ios::binary);
  if (file) write(file);
  file.close();
  if (!file) throw std::runtime_error(path + ": cannot be written");
}

}  // namespace

int run_scenario(const Scenario& scenario, const TierOptions& options) try {
  ::signal(SIGPIPE, SIG_IGN);
  ScenarioRunner runner(scenario, options);
  runner.run();
  const EventLog& log = runner.event_log();
  RuleParameters parameters = runner.rule_parameters();
  Checker checker(scenario, parameters, log.events());
  Result r;
  r.rules = checker.rules(), r.claims = checker.claims();
  r.rows = checker.rows(kSecond);
  r.max_lag = runner.max_lag();
  for (const Event& e : log.events())
    if (e.kind == Event::Kind::Label)
      r.marks.emplace_back(static_cast<double>(e.at) / kSecond,
                           log.labels().at(static_cast<std::size_t>(e.value)));
  auto any_violated = [](const std::vector<Verdict>& all) {
    return std::any_of(all.begin(), all.end(), [](const Verdict& v) { return !v.held; });
  };
  // Beyond the tolerance for this machine, delays may come from the simulation itself.
  r.status = log.truncated() || r.max_lag > scenario.slack     ? kTooSlow
             : any_violated(r.rules) || any_violated(r.claims) ? kFailed
                                                               : kPassed;
  if (!options.quiet) write_table(scenario, r, std::cout);
  write_file(options.json, [&](std::ostream& out) { out << result_to_json(scenario, r) << '\n'; });
  write_file(options.html, [&](std::ostream& out) { write_html(scenario, r, out); });
  if (r.status == kTooSlow)
    std::cout << "this machine did not keep up with the load; nothing was judged\n";
  return std::cout.flush() ? r.status : kUnusable;
} catch (const std::exception& e) {
  std::fprintf(stderr, "wheeldeal tier: %s\n", e.what());
  return kUnusable;
}

}  // namespace arrowfork::tier
