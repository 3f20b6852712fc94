// A day in virtual time: routers (the real Core and decision module), the model fleet and tills
// that retry, with triggers that begin and end. The same plan and seed give the same day.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "demand.hpp"

namespace arrowfork::emu {

/// What giving an attempt up does with its connection where nobody else waits on it.
enum class GivenUp {
  Closes,  ///< it is closed, each time
  Drains,  ///< its answer is read and dropped, and the connection used again
  Budget,  ///< closed as far as answers pay for it (limits/connection_close_budget.hpp), else
           ///< drained
};

/// Discovery as routers that have to ask find it. `work` 0: every call is answered at once.
struct DiscoveryPlan {
  Micros work = 0;                     ///< of a call; one after the other
  Micros most_wait = 2 * kSecond;      ///< a call that would wait longer fails after it
  Micros down_from = 0, down_for = 0;  ///< fails every call meanwhile
};

/// So many routers are killed at once and start again at once, with nothing but a list.
struct Return {
  enum class List { Now, Old, None };  ///< Old names six in ten servers that are not there
  Micros at = 0;
  double part = 0;
  List list = List::Now;
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
  GivenUp given_up = GivenUp::Budget;
  DiscoveryPlan discovery;  ///< where the settings say that lists are asked for
  std::vector<Return> returns;
  robinseam::limits::LimitFactory rules;  ///< in place of the windows; empty: windows
};

/// A site like the one in service; `capacity_share` of the fleet's cores is what the tills ask for.
DayPlan usual_day(double capacity_share);
/// The same with another number of servers and cores; waiting rooms, quotas and the origin go with
/// the cores.
DayPlan scaled_day(double capacity_share, int servers, int cores);

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

/// What all routers together did in a tenth of a second.
struct Moment {
  int calls = 0;    ///< on discovery
  int dials = 0;    ///< of servers
  int fetches = 0;  ///< done by the origin
};

struct Banner {
  int asked = 0, served = 0;
};

struct DayReport {
  std::vector<Second> seconds;
  std::vector<Moment> moments;
  int lost_with_router = 0;  ///< tries that were out when their router was killed
  std::array<Banner, 2> banners, classes;
  int answers_missing = 0;  ///< tries that got no final answer in their time
  int answers_twice = 0;
  int doubled_effects = 0;  ///< writes sent again after their key had lapsed at the servers
  int to_left = 0;          ///< attempts to a server a router had known to be gone for its grace
  std::uint64_t fingerprint = 0;  ///< of every decision, in order
  /// Parts of the first tries of [from, to) seconds that were answered.
  double served(int from, int to) const;
  /// Seconds from second `end` until 3 s begin in which `part` of them are answered; -1: never.
  int back(int end, double part) const;
};

DayReport play(const DayPlan& plan, std::uint64_t seed);
/// One line a second.
std::string table(const DayReport& report);

}  // namespace arrowfork::emu
