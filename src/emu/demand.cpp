#include "demand.hpp"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <cmath>
#include <stdexcept>

namespace arrowfork::emu {
namespace {

using boost::random::uniform_01;
using Kind = Trigger::Kind;

Trigger of(Kind kind, double seconds, double part, double factor) {
  return {kind, 0, static_cast<Micros>(seconds * 1e6), part, factor};
}

}  // namespace

const std::vector<NamedTrigger>& named_triggers() {
  static const std::vector<NamedTrigger> all = {
      {"half-slow", of(Kind::Slow, 5, 0.5, 5)},
      {"all-slow", of(Kind::Slow, 3, 1, 3)},
      {"half-full", of(Kind::Full, 5, 0.5, 1)},
      {"half-silent", of(Kind::Silent, 3, 0.5, 1)},
      {"all-silent", of(Kind::Silent, 3, 1, 1)},
      {"half-failing", of(Kind::Failing, 5, 0.5, 1)},
      {"all-failing", of(Kind::Failing, 3, 1, 1)},
      {"origin-1s", of(Kind::OriginSlow, 1, 1, 20)},
      {"origin-5s", of(Kind::OriginSlow, 5, 1, 20)},
      {"cold-third", of(Kind::ColdRestart, 1, 0.3, 0.3)},
      {"shrink", of(Kind::Shrink, 5, 0.4, 1)},
      {"scan", of(Kind::Scan, 5, 1, 0.3)},
      {"forgotten", of(Kind::Misses, 0, 1, 1)},
      {"storm", of(Kind::Storm, 5, 0.5, 10)},
      {"writes-fail", of(Kind::ClassFails, 5, 1, 1)},
      {"steady", of(Kind::Load, 1, 1, 1)},
  };
  return all;
}

const Trigger& trigger_of(const std::string& name) {
  for (const NamedTrigger& one : named_triggers())
    if (name == one.name) return one.trigger;
  throw std::invalid_argument("no trigger '" + name + "'");
}

Demand::Demand(const TillPlan& tills, const FleetPlan& fleet, const robinseam::Settings& settings,
               int routers, std::uint64_t seed)
    : tills_(tills), fleet_(fleet), settings_(settings), routers_(routers), random_(seed) {
  double sum = 0;
  for (int k = 1; k <= tills.keys; ++k) ranks_.push_back(sum += std::pow(k + 3, -tills.zipf));
}

Micros Demand::next_gap() {
  double rate = tills_.rate * load_ * (storm_part_ * storm_ + (1 - storm_part_));
  double gap = boost::random::exponential_distribution<>(rate)(random_);
  return std::max<Micros>(1, static_cast<Micros>(gap * 1e6));
}

Demand::First Demand::draw() {
  auto chance = [this] { return uniform_01<>()(random_); };
  First f;
  Request& r = f.request;
  r.write = chance() < tills_.writes;
  auto rank = std::lower_bound(ranks_.begin(), ranks_.end(), chance() * ranks_.back());
  r.key = "k" + std::to_string(rank - ranks_.begin());
  if (!r.write && chance() < scan_) r.key = "once" + std::to_string(scanned_++);
  r.class_name = settings_.classes[r.write].name;
  f.banner = chance() < tills_.second_share;
  r.tenant = settings_.tenants[static_cast<std::size_t>(f.banner)].name;
  if (r.write) {
    r.idempotency_key = std::to_string(++receipts_);
    r.value = std::make_shared<const std::string>("sold");
  }
  double mean = static_cast<double>(r.write ? fleet_.write_work : fleet_.read_work);
  r.work = std::max<Micros>(1, static_cast<Micros>(mean * spread(random_, fleet_.work_cv)));
  // Storming routers get their tills' multiple of the share.
  double in_storm = storm_part_ * storm_ / (storm_part_ * storm_ + (1 - storm_part_));
  int stormy = static_cast<int>(std::lround(storm_part_ * routers_));
  if (stormy > 0 && chance() < in_storm)
    f.router = static_cast<int>(chance() * stormy);
  else
    f.router = stormy + static_cast<int>(chance() * (routers_ - stormy));
  f.router = std::min(f.router, routers_ - 1);
  return f;
}

std::size_t Troubles::part_of(const Trigger& t) const {
  return static_cast<std::size_t>(std::lround(t.part * fleet_.plan().servers));
}

bool Troubles::begin(const Trigger& t) {
  auto& servers = fleet_.servers();
  for (std::size_t k = 0; k < part_of(t); ++k) {
    CacheModel& s = *servers[k];
    switch (t.kind) {
      case Kind::Slow:
        s.set_trouble(Trouble::Slow, t.factor);
        break;
      case Kind::Full:
        s.set_trouble(Trouble::Full);
        break;
      case Kind::Silent:
        s.set_trouble(Trouble::Silent);
        break;
      case Kind::Failing:
        s.set_trouble(Trouble::Failing);
        break;
      case Kind::ClassFails:
        s.set_trouble(Trouble::WritesFail);
        break;
      case Kind::ColdRestart:
        s.restart(t.factor, 8 * kSecond);
        break;
      case Kind::Misses:
        s.restart(1, 0);
        break;
      case Kind::Shrink:
        s.set_trouble(Trouble::Silent), left_.insert(s.id());
        break;
      default:
        break;
    }
  }
  if (t.kind == Kind::OriginSlow) fleet_.origin().set_slowdown(t.factor);
  if (t.kind == Kind::Load) demand_.set_load(t.factor);
  if (t.kind == Kind::Scan) demand_.set_scan(t.factor);
  if (t.kind == Kind::Storm) demand_.set_storm(t.part, t.factor);
  return t.kind == Kind::Shrink || t.kind == Kind::ColdRestart;
}

bool Troubles::end(const Trigger& t) {
  auto& servers = fleet_.servers();
  for (std::size_t k = 0; k < part_of(t); ++k) {
    servers[k]->set_trouble(Trouble::None);
    if (t.kind != Kind::Shrink) continue;
    servers[k]->restart(0.3, 8 * kSecond);
    left_.erase(servers[k]->id());
  }
  if (t.kind == Kind::OriginSlow) fleet_.origin().set_slowdown(1);
  if (t.kind == Kind::Load) demand_.set_load(1);
  if (t.kind == Kind::Scan) demand_.set_scan(0);
  if (t.kind == Kind::Storm) demand_.set_storm(0, 1);
  return t.kind == Kind::Shrink;
}

std::vector<robinseam::Server> Troubles::listed() const {
  std::vector<robinseam::Server> all;
  for (const auto& server : fleet_.servers())
    if (!left(server->id())) all.push_back(fleet_.listed(*server));
  return all;
}

}  // namespace arrowfork::emu
