// What tills ask for and what goes wrong, drawn from a plan and a seed: the same in virtual time
// (day.hpp) and over sockets (src/rig/storm.hpp).
#pragma once

#include <set>
#include <string>
#include <vector>

#include "fleet.hpp"

namespace arrowfork::emu {

/// Something goes wrong from `from` for `lasts`, then is well again.
struct Trigger {
  enum class Kind {
    Slow,         ///< servers, by `factor`
    Full,         ///< servers turn everything away
    Silent,       ///< servers take and never answer
    Failing,      ///< servers answer with errors at once
    OriginSlow,   ///< the origin, by `factor`
    ColdRestart,  ///< servers lose what they hold and start at `factor` of their speed
    Shrink,       ///< servers leave and come back cold
    Load,         ///< tills ask `factor` times as often
    Scan,         ///< `factor` of the reads ask for keys that are asked for once
    Misses,       ///< every server forgets all it holds, once
    Storm,        ///< the part's tills alone ask `factor` times as often: `part` of the routers
    ClassFails,   ///< servers answer all writes with errors at once, and reads as ever
    ClockStep,    ///< the routers' clocks jump `factor` seconds ahead, once
  };
  Kind kind;
  Micros from = 0, lasts = 0;  ///< since the day's begin
  double part = 1;             ///< of the servers (of the routers, for Storm and ClockStep)
  double factor = 1;
};

struct NamedTrigger {
  const char* name;
  Trigger trigger;  ///< `from` is left to the player
};
/// The triggers that tables and the command line know by name.
const std::vector<NamedTrigger>& named_triggers();
/// Throws std::invalid_argument on an unknown name.
const Trigger& trigger_of(const std::string& name);

struct TillPlan {
  double rate = 0;            ///< first tries a second, over all routers
  int tries = 5;              ///< the first one among them
  double try_share = 0.4;     ///< a try is given up after this part of the class's deadline
  Micros pause = 0;           ///< before a further try; the wait that a refusal names is ignored...
  bool honours_wait = false;  ///< ...unless this is set
  int keys = 3'000;
  double zipf = 1.0;
  double writes = 0.05;        ///< part of the requests
  double second_share = 0.44;  ///< part of the second banner
};

/// Draws first tries. Owns no clock.
class Demand {
 public:
  Demand(const TillPlan& tills, const FleetPlan& fleet, const robinseam::Settings& settings,
         int routers, std::uint64_t seed);

  /// Until the next first try comes.
  Micros next_gap();
  struct First {
    Request request;
    int banner = 0;  ///< index of its tenant
    int router = 0;
  };
  First draw();

  void set_load(double factor) { load_ = factor; }
  void set_scan(double part) { scan_ = part; }
  /// `part` of the routers get `factor` times as much.
  void set_storm(double part, double factor) { storm_part_ = part, storm_ = factor; }

 private:
  const TillPlan tills_;
  const FleetPlan fleet_;
  const robinseam::Settings& settings_;
  int routers_;
  Random random_;
  std::vector<double> ranks_;  // sums of Zipf's law
  double load_ = 1, scan_ = 0, storm_ = 1, storm_part_ = 0;
  std::uint64_t scanned_ = 0, receipts_ = 0;
};

/// Lays triggers on a fleet and its demand, and lifts them.
class Troubles {
 public:
  Troubles(Fleet& fleet, Demand& demand) : fleet_(fleet), demand_(demand) {}
  /// True where the list of servers has changed with it.
  bool begin(const Trigger& trigger);
  bool end(const Trigger& trigger);
  /// As discovery would tell it now.
  std::vector<robinseam::Server> listed() const;
  bool left(const std::string& server) const { return left_.count(server) > 0; }

 private:
  std::size_t part_of(const Trigger& trigger) const;
  Fleet& fleet_;
  Demand& demand_;
  std::set<std::string> left_;
};

}  // namespace arrowfork::emu
