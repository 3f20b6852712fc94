// wheeldeal: everything the project has under one name. `run` is the same router as arrowfork.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>

#include "../account/run.hpp"
#include "../extproc/server.hpp"
#include "../rig/cache_server.hpp"
#include "../rig/show.hpp"
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
    // What the module would say at the start.
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

std::unique_ptr<arrowfork::Frontend> ext_proc(event_base* base, const arrowfork::TimeSource& clock,
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

arrowfork::Micros wall() {
  using namespace std::chrono;
  return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

std::string own_program() {
  char path[4096];
  ssize_t size = ::readlink("/proc/self/exe", path, sizeof path);
  return size > 0 ? std::string(path, static_cast<std::size_t>(size)) : "wheeldeal";
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("wheeldeal: a router between clients and cache servers that speak memcached");
  app.set_version_flag("--version", "wheeldeal " ARROWFORK_VERSION);
  app.require_subcommand(1);
  std::string file;
  int status = 0;
  CLI::App* run = app.add_subcommand("run", "serve until SIGTERM; SIGHUP reads the file again");
  run->add_option("file", file, "configuration (JSON); without it, the one NODE_CONFIG names");
  run->callback([&] {
    std::unique_ptr<wheeldeal::store::Keeping> keeping;  // of the first configuration
    auto load = [&] {
      auto config = file.empty() ? arrowfork::load_config() : arrowfork::load_config(file);
      if (config.store && !keeping) {
        keeping = std::make_unique<wheeldeal::store::Keeping>(*config.store, config.name, wall);
        keeping->give(config);
      }
      return config;
    };
    auto attach = [&](event_base* base, const arrowfork::TimeSource& clock,
                      arrowfork::Router& router, const arrowfork::Config& config) {
      router.set_list_persistence(keeping.get());
      return ext_proc(base, clock, router, config);
    };
    status = arrowfork::serve(load, attach);
  });
  CLI::App* checked = app.add_subcommand("check", "say whether a configuration can be used");
  checked->add_option("file", file, "configuration (JSON)")->required();
  checked->callback([&] { status = check(file); });
  wheeldeal::account::Options account;
  CLI::App* summed = app.add_subcommand(
      "account", "sum the figures of a tier's logs, second by second, and say who acted when");
  summed->add_option("path", account.paths, "logs, or folders of *.log files, a file a router")
      ->required()
      ->check(CLI::ExistingPath);
  summed
      ->add_option("--events", account.events,
                   "CSV of what really happened: seconds,server,down|up")
      ->check(CLI::ExistingFile);
  summed->add_option("--csv", account.csv, "file for all rows");
  summed->add_option("--servers-csv", account.servers_csv, "file for attempts by server");
  summed->add_option("--html", account.html, "file for a page with plots");
  summed->add_option("--rows", account.rows, "of the table, at most")
      ->check(CLI::Range(1, 100'000))
      ->capture_default_str();
  summed->callback([&] { status = wheeldeal::account::run(account); });
  arrowfork::rig::ShowOptions show;
  CLI::App* rig = app.add_subcommand(
      "rig", "a whole service on loopback with faults; exit status 0 where the rules held");
  rig->add_option("--caches", show.caches, "cache servers")->check(CLI::Range(2, 200));
  rig->add_option("--binary", show.binary, "of them binary")->check(CLI::Range(1, 199));
  rig->add_option("--routers", show.routers, "routers")->check(CLI::Range(1, 16));
  rig->add_option("--rate", show.rate, "requests a second of each protocol's tills")
      ->check(CLI::Range(1.0, 20'000.0));
  rig->add_option("--fault-seconds", show.fault_s, "how long each fault lasts")
      ->check(CLI::Range(0.1, 60.0));
  rig->add_option("--fault", show.faults, "play these faults only; may be given again")
      ->check([](const std::string& name) -> std::string {
        try {
          arrowfork::rig::fault_of(name);
          return {};
        } catch (const std::exception& e) {
          return e.what();
        }
      });
  rig->add_flag("!--no-changes", show.changes, "no server leaves or joins, no reload");
  rig->add_option("--slack-ms", show.slack_ms,
                  "what the machine may take on top of each time limit")
      ->check(CLI::Range(0.0, 60'000.0));
  rig->add_option("--seed", show.seed, "of keys, times and routers");
  rig->callback([&] {
    if (show.binary >= show.caches) throw CLI::ValidationError("--binary", "not under --caches");
    show.program = own_program();
    status = arrowfork::rig::show(show);
  });
  arrowfork::rig::StormOptions storm;
  CLI::App* stormy = app.add_subcommand(
      "storm", "tills that ask again at once, over a fleet in trouble that ends; a table a day");
  std::vector<std::string> names;
  for (const auto& one : arrowfork::emu::named_triggers()) names.emplace_back(one.name);
  stormy->add_option("trigger", storm.triggers, "what goes wrong, one day each")
      ->required()
      ->check(CLI::IsMember(names));
  stormy->add_option("--load", storm.load, "first tries, of the fleet's capacity")
      ->check(CLI::Range(0.01, 20.0))
      ->capture_default_str();
  stormy->add_option("--servers", storm.servers, "cache servers")
      ->check(CLI::Range(2, 60))
      ->capture_default_str();
  stormy->add_option("--cores", storm.cores, "of each")
      ->check(CLI::Range(1, 16))
      ->capture_default_str();
  stormy->add_option("--routers", storm.routers, "routers")
      ->check(CLI::Range(1, 16))
      ->capture_default_str();
  stormy->add_option("--tries", storm.tries, "of one till, the first among them")
      ->check(CLI::Range(1, 20))
      ->capture_default_str();
  stormy->add_option("--begins", storm.begins_s, "s until the trigger")
      ->check(CLI::Range(3.0, 600.0))
      ->capture_default_str();
  stormy->add_option("--after", storm.after_s, "s after its end")
      ->check(CLI::Range(3.0, 600.0))
      ->capture_default_str();
  stormy->add_option("--back-within", storm.back_within_s, "s until 95% of before is served again")
      ->capture_default_str();
  stormy->add_flag("!--only-rules", storm.require_back, "service that is late back fails no day");
  stormy
      ->add_option("--slack-ms", storm.slack_ms,
                   "what the machine may take on top of each time limit")
      ->check(CLI::Range(0.0, 60'000.0));
  stormy->add_option("--seed", storm.seed, "of keys, times and routers");
  stormy->callback([&] {
    storm.program = own_program();
    status = arrowfork::rig::storm(storm);
  });
  arrowfork::tier::TierOptions tier;
  std::string scenario;
  bool only_check = false;
  CLI::App* tiered = app.add_subcommand(
      "tier", "play a scenario: many routers, faults between them, an account; 0 where all held");
  tiered->add_option("file", scenario, "scenario (TOML)");
  std::uint64_t drains = 0;
  bool pushed = false;
  tiered->add_option("--drains", drains,
                     "in place of a file: drains with faults around them, drawn from this seed");
  tiered->add_flag("--pushed", pushed, "with --drains: lists are pushed");
  tiered->add_flag("--check", only_check, "say whether the file can be used, and play nothing");
  tiered->add_option("--json", tier.json, "file for the result");
  tiered->add_option("--html", tier.html, "file for a page with plots");
  tiered->add_option("--logs", tier.logs, "folder for the routers' logs")
      ->check(CLI::ExistingDirectory);
  tiered->add_option("--arrowfork", tier.arrowfork, "the lean program; else beside this one")
      ->check(CLI::ExistingFile);
  tiered->add_flag("--quiet", tier.quiet, "no table");
  tiered->callback([&] {
    tier.wheeldeal = own_program();
    if (tier.arrowfork.empty())
      tier.arrowfork = std::filesystem::path(tier.wheeldeal).replace_filename("arrowfork").string();
    try {
      if (scenario.empty() == (tiered->count("--drains") == 0))
        throw std::runtime_error("wheeldeal tier: a file or --drains, one of the two");
      auto read = scenario.empty() ? arrowfork::tier::drain_scenario(drains, pushed)
                                   : arrowfork::tier::read_scenario(scenario);
      status = only_check ? 0 : arrowfork::tier::play(read, tier);
    } catch (const std::exception& e) {
      std::fprintf(stderr, "%s\n", e.what());
      status = arrowfork::tier::kUnusable;
    }
  });
  CLI::App* kept = app.add_subcommand("store", "look at a router's kept state, or compact it");
  kept->require_subcommand(1);
  std::string folder;
  auto with_folder = [&](const char* name, const char* what, int (*act)(const std::string&)) {
    CLI::App* one = kept->add_subcommand(name, what);
    one->add_option("folder", folder, "as the configuration's store.folder")->required();
    one->callback([&, act] { status = act(folder); });
  };
  with_folder("dump", "every entry: change, key, until when, value", wheeldeal::store::dump);
  with_folder("check", "0 where all is whole, 1 where something is damaged",
              wheeldeal::store::check);
  with_folder("compact", "one snapshot in the place of all; its router must be down",
              wheeldeal::store::compact);
  CLI11_PARSE(app, argc, argv);
  return status;
}
