// wheeldeal: the router, the test rigs and the tools as subcommands of one program. `run` is the
// same router as arrowfork, with the store and ext_proc.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>

#include "../account/run.hpp"
#include "../extproc/server.hpp"
#include "../rig/cache_server.hpp"
#include "../rig/demo.hpp"
#include "../rig/storm.hpp"
#include "../store/keeping.hpp"
#include "../store/tool.hpp"
#include "../tier/drain_scenario.hpp"
#include "../tier/tier.hpp"
#include "serve.hpp"

namespace {

int check(const std::string& file) {
  try {
    arrowfork::Config c = arrowfork::load_config(file);
    // Reports settings that the balancer would reject at the start.
    robinseam::Balancer(c.settings, c.seed, 0);
    std::printf(
        "%s: good: %s listens on %s, %zu classes, %zu known servers; binary clients %s, "
        "%zu rules for binary servers\n",
        file.c_str(), c.name.c_str(), c.listen.c_str(), c.settings.classes.size(),
        c.initial_list.hosts.size(), c.binary.clients ? "on" : "off", c.binary.servers.size());
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s: %s\n", file.c_str(), e.what());
    return 1;
  }
}

std::unique_ptr<arrowfork::Frontend> make_ext_proc(event_base* base,
                                                   const arrowfork::TimeSource& clock,
                                                   arrowfork::Router& router,
                                                   const arrowfork::Config& config) {
  if (!config.ext_proc) return nullptr;
  auto server = std::make_unique<arrowfork::extproc::Server>(
      base, clock, router.core(), *config.ext_proc, router.report_fields(),
      [&router](const std::string& id) { return router.address_of(id); });
  std::fprintf(stderr, "arrowfork: ext_proc listens on port %u\n",
               static_cast<unsigned>(server->port()));
  return server;
}

arrowfork::Micros unix_now() {
  using namespace std::chrono;
  return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

std::string own_path() {
  char path[4096];
  ssize_t size = ::readlink("/proc/self/exe", path, sizeof path);
  return size > 0 ? std::string(path, static_cast<std::size_t>(size)) : "wheeldeal";
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("wheeldeal: a router between clients and memcached-speaking cache servers");
  app.set_version_flag("--version", "wheeldeal " ARROWFORK_VERSION);
  app.require_subcommand(1);
  std::string file;
  int status = 0;
  CLI::App* run =
      app.add_subcommand("run", "run one router until SIGTERM; SIGHUP reloads the configuration");
  run->add_option("file", file, "configuration (JSON); default: the file that NODE_CONFIG names");
  run->callback([&] {
    std::unique_ptr<wheeldeal::store::Keeping> keeping;  // opened with the first configuration
    auto load = [&] {
      auto config = file.empty() ? arrowfork::load_config() : arrowfork::load_config(file);
      if (config.store && !keeping) {
        keeping = std::make_unique<wheeldeal::store::Keeping>(*config.store, config.name, unix_now);
        keeping->give(config);
      }
      return config;
    };
    auto make_frontend = [&](event_base* base, const arrowfork::TimeSource& clock,
                             arrowfork::Router& router, const arrowfork::Config& config) {
      router.set_list_persistence(keeping.get());
      return make_ext_proc(base, clock, router, config);
    };
    status = arrowfork::serve(load, make_frontend);
  });
  CLI::App* check_command = app.add_subcommand("check", "check whether a configuration is valid");
  check_command->add_option("file", file, "configuration (JSON)")->required();
  check_command->callback([&] { status = check(file); });
  wheeldeal::account::Options account;
  CLI::App* account_command = app.add_subcommand(
      "account", "sum the statistics in a tier's logs per second, and show when each router acted");
  account_command
      ->add_option("path", account.paths, "log files, or folders with *.log files, one per router")
      ->required()
      ->check(CLI::ExistingPath);
  account_command
      ->add_option("--events", account.events, "CSV of the actual events: seconds,server,down|up")
      ->check(CLI::ExistingFile);
  account_command->add_option("--csv", account.csv, "CSV file to write all rows to");
  account_command->add_option("--servers-csv", account.servers_csv,
                              "CSV file to write the attempts per server to");
  account_command->add_option("--html", account.html, "HTML file to write plots to");
  account_command->add_option("--rows", account.rows, "maximum number of table rows to print")
      ->check(CLI::Range(1, 100'000))
      ->capture_default_str();
  account_command->callback([&] { status = wheeldeal::account::run(account); });
  arrowfork::rig::DemoOptions demo;
  CLI::App* rig = app.add_subcommand(
      "rig", "run a whole service with faults on loopback; exit status 0 if all rules held");
  rig->add_option("--caches", demo.caches, "number of cache servers")->check(CLI::Range(2, 200));
  rig->add_option("--binary", demo.binary_caches, "how many of them speak the binary protocol")
      ->check(CLI::Range(1, 199));
  rig->add_option("--routers", demo.routers, "number of routers")->check(CLI::Range(1, 16));
  rig->add_option("--rate", demo.rate, "requests per second of each protocol's tills")
      ->check(CLI::Range(1.0, 20'000.0));
  rig->add_option("--fault-seconds", demo.fault_duration_s, "duration of each fault")
      ->check(CLI::Range(0.1, 60.0));
  rig->add_option("--fault", demo.faults, "inject only this fault; may be repeated")
      ->check([](const std::string& name) -> std::string {
        try {
          arrowfork::rig::parse_fault(name);
          return {};
        } catch (const std::exception& e) {
          return e.what();
        }
      });
  rig->add_flag("!--no-changes", demo.list_changes,
                "without servers that leave or join, and without reloads");
  rig->add_option("--slack-ms", demo.slack_ms,
                  "tolerance on top of each time limit, for slow machines")
      ->check(CLI::Range(0.0, 60'000.0));
  rig->add_option("--seed", demo.seed, "random seed of keys, times and routers");
  rig->callback([&] {
    if (demo.binary_caches >= demo.caches)
      throw CLI::ValidationError("--binary", "must be less than --caches");
    demo.program = own_path();
    status = arrowfork::rig::run_demo(demo);
  });
  arrowfork::rig::StormOptions storm;
  CLI::App* storm_command = app.add_subcommand(
      "storm",
      "retry storm: tills that retry at once, during a fault that ends; one table per trigger");
  std::vector<std::string> names;
  for (const auto& one : arrowfork::emu::named_triggers()) names.emplace_back(one.name);
  storm_command->add_option("trigger", storm.triggers, "kind of fault, one run each")
      ->required()
      ->check(CLI::IsMember(names));
  storm_command
      ->add_option("--load", storm.load, "first tries, as a share of the servers' capacity")
      ->check(CLI::Range(0.01, 20.0))
      ->capture_default_str();
  storm_command->add_option("--servers", storm.servers, "number of cache servers")
      ->check(CLI::Range(2, 60))
      ->capture_default_str();
  storm_command->add_option("--cores", storm.cores, "cores of each server")
      ->check(CLI::Range(1, 16))
      ->capture_default_str();
  storm_command->add_option("--routers", storm.routers, "number of routers")
      ->check(CLI::Range(1, 16))
      ->capture_default_str();
  storm_command->add_option("--tries", storm.tries, "tries of one till, including the first")
      ->check(CLI::Range(1, 20))
      ->capture_default_str();
  storm_command->add_option("--begins", storm.trigger_start_s, "seconds before the trigger")
      ->check(CLI::Range(3.0, 600.0))
      ->capture_default_str();
  storm_command
      ->add_option("--after", storm.time_after_trigger_s, "seconds after the end of the trigger")
      ->check(CLI::Range(3.0, 600.0))
      ->capture_default_str();
  storm_command
      ->add_option("--back-within", storm.recovery_limit_s,
                   "seconds within which 95% of the earlier rate must be served again")
      ->capture_default_str();
  storm_command->add_flag("!--only-rules", storm.require_recovery,
                          "late recovery does not fail a run");
  storm_command
      ->add_option("--slack-ms", storm.slack_ms,
                   "tolerance on top of each time limit, for slow machines")
      ->check(CLI::Range(0.0, 60'000.0));
  storm_command->add_option("--seed", storm.seed, "random seed of keys, times and routers");
  storm_command->callback([&] {
    storm.program = own_path();
    status = arrowfork::rig::run_storm(storm);
  });
  arrowfork::tier::TierOptions tier;
  std::string scenario;
  bool only_check = false;
  CLI::App* tier_command = app.add_subcommand("tier",
                                              "run a scenario with many routers and faults and "
                                              "report on it; exit status 0 if all claims held");
  tier_command->add_option("file", scenario, "scenario (TOML)");
  std::uint64_t drains = 0;
  bool pushed = false;
  tier_command->add_option("--drains", drains,
                           "instead of a file: random drains and faults from this seed");
  tier_command->add_flag("--pushed", pushed, "with --drains: discovery pushes lists");
  tier_command->add_flag("--check", only_check, "only check whether the file is valid");
  tier_command->add_option("--json", tier.json, "JSON file to write the result to");
  tier_command->add_option("--html", tier.html, "HTML file to write plots to");
  tier_command->add_option("--logs", tier.logs, "folder for the routers' logs")
      ->check(CLI::ExistingDirectory);
  tier_command
      ->add_option("--arrowfork", tier.arrowfork,
                   "path of arrowfork; default: in the folder of this program")
      ->check(CLI::ExistingFile);
  tier_command->add_flag("--quiet", tier.quiet, "print no table");
  tier_command->callback([&] {
    tier.wheeldeal = own_path();
    if (tier.arrowfork.empty())
      tier.arrowfork = std::filesystem::path(tier.wheeldeal).replace_filename("arrowfork").string();
    try {
      if (scenario.empty() == (tier_command->count("--drains") == 0))
        throw std::runtime_error("wheeldeal tier: give either a file or --drains");
      auto read = scenario.empty() ? arrowfork::tier::make_drain_scenario(drains, pushed)
                                   : arrowfork::tier::read_scenario(scenario);
      status = only_check ? 0 : arrowfork::tier::run_scenario(read, tier);
    } catch (const std::exception& e) {
      std::fprintf(stderr, "%s\n", e.what());
      status = arrowfork::tier::kUnusable;
    }
  });
  CLI::App* store_command =
      app.add_subcommand("store", "inspect or compact the persisted state of a router");
  store_command->require_subcommand(1);
  std::string folder;
  auto add_store_command = [&](const char* name, const char* what, int (*act)(const std::string&)) {
    CLI::App* one = store_command->add_subcommand(name, what);
    one->add_option("folder", folder, "the store.folder of the configuration")->required();
    one->callback([&, act] { status = act(folder); });
  };
  add_store_command("dump", "print every entry: change, key, expiry, value",
                    wheeldeal::store::dump);
  add_store_command("check", "exit status 0 if all files are intact, 1 if any is damaged",
                    wheeldeal::store::check);
  add_store_command("compact", "replace all files by one snapshot; the router must be stopped",
                    wheeldeal::store::compact);
  CLI11_PARSE(app, argc, argv);
  return status;
}
