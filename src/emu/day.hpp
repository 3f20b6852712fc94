// A day in virtual time: routers (the real Core and decision module), the model fleet and tills
// that retry, with triggers that begin and end. The same plan and seed give the same day.
#pragma once

#include <array>
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
  };
  Kind kind;
  Micros from = 0, lasts = 0;  ///< since the day's begin
  double part = 1;             ///< of the servers (of the routers, for Storm)
  double factor = 1;
};

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

struct DayPlan {
  FleetPlan fleet;
  TillPlan tills;
  std::vector<Trigger> triggers;
  int routers = 2;
  Micros lasts = 30 * kSecond;
  Micros list_delay = kSecond;   ///< until a router hears of a restart or a server that left
  bool warm = true;              ///< servers hold what tills ask for most at the begin
  robinseam::Settings settings;  ///< classes: first reads, second writes; tenants: two
};

/// A site like the one in service; `capacity_share` of the fleet's cores is what the tills ask for.
DayPlan usual_day(double capacity_share);

/// What came of the first tries of one second, and what that second cost.
struct Second {
  int asked = 0, in_time = 0, late = 0, unserved = 0;
  int tries = 0, refused = 0, attempts = 0, full = 0, timeouts = 0, errors = 0, dials = 0;
  double worth = 0;                   ///< by the classes' worth, in time and late
  double busy = 0;                    ///< mean of the servers' cores
  std::size_t origin_queue = 0;       ///< at its end
  std::size_t in_flight = 0;          ///< attempts that routers wait for, at its end
  robinseam::Balancer::Stats module;  ///< of the first router, at its end
};

struct Banner {
  int asked = 0, served = 0;
};

struct DayReport {
  std::vector<Second> seconds;
  std::array<Banner, 2> banners, classes;
  int answers_missing = 0;  ///< tries that got no final answer in their time
  int answers_twice = 0;
  int doubled_effects = 0;  ///< writes sent again after their key had lapsed at the servers
  int to_left = 0;          ///< attempts to a server a router had known to be gone for its grace
  std::uint64_t fingerprint = 0;  ///< of every decision, in order
  /// Parts of the first tries of [from, to) seconds that were answered.
  double served(int from, int to) const;
};

DayReport play(const DayPlan& plan, std::uint64_t seed);
/// One line a second.
std::string table(const DayReport& report);

}  // namespace arrowfork::emu
