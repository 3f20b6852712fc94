#include "checker.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <unordered_map>

#include "../judge/drain_judge.hpp"

namespace arrowfork::tier {
namespace {

using EventKind = Event::Kind;

constexpr Micros kBaseline = 10 * kSecond;          // service before the fault, as the reference
constexpr Micros kFullServiceWindow = 2 * kSecond;  // interval over which full service is checked
constexpr Micros kSearchStep = 100 * kMillisecond;
constexpr double kMinServedRatio = 0.98, kMaxExtraLate = 0.05;

double seconds(Micros span) { return static_cast<double>(span) / kSecond; }

std::string format_number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, value == std::floor(value) ? "%.0f" : "%.3f", value);
  return text;
}

bool is_selected(const std::vector<int>& all, int one) {
  return all.empty() || std::find(all.begin(), all.end(), one) != all.end();
}

}  // namespace

Checker::Checker(const Scenario& scenario, const RuleParameters& parameters,
                 const std::vector<Event>& events)
    : scenario_(scenario), parameters_(parameters), events_(events) {
  std::unordered_map<std::uint64_t, std::size_t> index_by_id;
  for (const Event& e : events) {
    if (e.kind == EventKind::TryStarted) {
      auto id = static_cast<std::uint64_t>(e.value);
      auto [at, fresh] = index_by_id.emplace(id, requests_.size());
      if (!fresh) continue;
      ClientRequest request{e.at, -1, e.router};
      request.write = e.flag;
      requests_.push_back(request);
    } else if (e.kind == EventKind::RequestDone) {
      auto at = index_by_id.find(e.id);
      if (at == index_by_id.end()) continue;
      requests_[at->second].ended_at = e.at, requests_[at->second].served = e.flag;
    }
  }
}

bool Checker::is_in_time(const ClientRequest& request) const {
  return request.served &&
         request.ended_at - request.started_at <=
             (request.write ? parameters_.write_objective : parameters_.read_objective);
}

Checker::RequestCounts Checker::count_requests(Micros from, Micros to,
                                               const std::vector<int>& routers) const {
  RequestCounts counts;
  auto at = std::lower_bound(
      requests_.begin(), requests_.end(), from,
      [](const ClientRequest& request, Micros t) { return request.started_at < t; });
  for (; at != requests_.end() && at->started_at < to; ++at) {
    if (!is_selected(routers, at->router)) continue;
    ++counts.total;
    counts.served += at->served;
    counts.late += at->served && !is_in_time(*at);
  }
  return counts;
}

Micros Checker::time_to_full_service(Micros mark) const {
  RequestCounts before = count_requests(std::max<Micros>(0, mark - kBaseline), mark);
  if (before.total == 0) return -1;
  double served = static_cast<double>(before.served) / before.total;
  double late = static_cast<double>(before.late) / before.total;
  for (Micros at = mark; at + kFullServiceWindow <= scenario_.duration; at += kSearchStep) {
    RequestCounts now = count_requests(at, at + kFullServiceWindow);
    if (now.total == 0) continue;
    if (static_cast<double>(now.served) / now.total >= kMinServedRatio * served &&
        static_cast<double>(now.late) / now.total <= late + kMaxExtraLate)
      return at - mark;
  }
  return -1;
}

std::vector<Micros> Checker::times_to_first_served(Micros from, Micros to,
                                                   const std::vector<int>& routers) const {
  std::map<int, Micros> killed;
  std::unordered_map<std::uint64_t, int> by_try;
  std::vector<Micros> intervals;
  for (const Event& e : events_) {
    if (e.kind == EventKind::ProcessKilled && e.at >= from && e.at < to &&
        is_selected(routers, e.router))
      killed.emplace(e.router, e.at);
    if (e.kind == EventKind::TryStarted && killed.count(e.router)) by_try[e.id] = e.router;
    if (e.kind != EventKind::Served) continue;
    auto at = by_try.find(e.id);
    auto since = at == by_try.end() ? killed.end() : killed.find(at->second);
    if (since == killed.end()) continue;
    intervals.push_back(e.at - since->second);
    killed.erase(since);
  }
  for (const auto& [router, at] : killed) intervals.push_back(scenario_.duration - at);
  std::sort(intervals.begin(), intervals.end());
  return intervals;
}

/// The highest number of events of a kind in any window; `by_cache`: at any single cache.
int Checker::peak_count(EventKind kind, const Claim& claim, bool by_cache) const {
  std::map<int, std::deque<std::pair<Micros, int>>> windows;
  std::map<int, int> sums;
  int most = 0;
  for (const Event& e : events_) {
    if (e.kind != kind || e.at < claim.from || e.at >= claim.to ||
        !is_selected(claim.caches, e.cache))
      continue;
    int key = by_cache ? e.cache : 0;
    int count = kind == EventKind::OriginFetches ? static_cast<int>(e.value) : 1;
    auto& window = windows[key];
    window.emplace_back(e.at, count);
    int& sum = sums[key];
    sum += count;
    while (e.at - window.front().first >= claim.window) {
      sum -= window.front().second;
      window.pop_front();
    }
    most = std::max(most, sum);
  }
  return most;
}

double Checker::measure(const Claim& claim) const {
  auto share = [&](int some, int all) { return all ? static_cast<double>(some) / all : 0; };
  auto count = [&](EventKind kind, bool by_cache) {
    return std::count_if(events_.begin(), events_.end(), [&](const Event& e) {
      return e.kind == kind && e.at >= claim.from && e.at < claim.to &&
             (!by_cache || is_selected(claim.caches, e.cache));
    });
  };
  switch (claim.metric) {
    case Claim::Metric::ServedShare: {
      RequestCounts counts = count_requests(claim.from, claim.to, claim.routers);
      return share(counts.served, counts.total);
    }
    case Claim::Metric::InTimeShare: {
      RequestCounts counts = count_requests(claim.from, claim.to);
      return share(counts.served - counts.late, counts.total);
    }
    case Claim::Metric::UnservedCount: {
      RequestCounts counts = count_requests(claim.from, claim.to);
      return counts.total - counts.served;
    }
    case Claim::Metric::FullServiceTime: {
      Micros span = time_to_full_service(claim.from);
      return static_cast<double>(span < 0 ? scenario_.duration : span);
    }
    case Claim::Metric::FirstServedTime: {
      std::vector<Micros> all = times_to_first_served(claim.from, claim.to, claim.routers);
      if (all.empty()) return static_cast<double>(scenario_.duration);
      auto at =
          static_cast<std::size_t>(std::ceil(claim.quantile * static_cast<double>(all.size())));
      return static_cast<double>(all[std::min(all.size(), std::max<std::size_t>(at, 1)) - 1]);
    }
    case Claim::Metric::PeakListCalls:
      return peak_count(EventKind::DiscoveryCall, claim, false);
    case Claim::Metric::PeakDials:
      return peak_count(EventKind::ConnectionOpened, claim, true);
    case Claim::Metric::PeakAttempts:
      return peak_count(EventKind::AttemptReceived, claim, true);
    case Claim::Metric::PeakFetches:
      return peak_count(EventKind::OriginFetches, claim, false);
    case Claim::Metric::TotalAttempts:
      return static_cast<double>(count(EventKind::AttemptReceived, true));
    case Claim::Metric::TotalListCalls:
      return static_cast<double>(count(EventKind::DiscoveryCall, false));
    case Claim::Metric::TotalStarts:
      return static_cast<double>(count(EventKind::ProcessStarted, false));
  }
  return 0;
}

std::vector<Verdict> Checker::claims() const {
  std::vector<Verdict> all;
  for (const Claim& claim : scenario_.claims) {
    double value = measure(claim), unit = claim.is_duration ? kSecond : 1;
    Verdict v;
    v.value = value / unit;
    v.held = (!claim.has_min || value >= claim.min) && (!claim.has_max || value <= claim.max);
    v.text = claim.label + " from " + format_number(seconds(claim.from)) + " s";
    if (claim.to < scenario_.duration) v.text += " to " + format_number(seconds(claim.to)) + " s";
    v.text += ": " + format_number(v.value) + (claim.is_duration ? " s" : "");
    if (claim.has_min) v.text += ", at least " + format_number(claim.min / unit);
    if (claim.has_max) v.text += ", at most " + format_number(claim.max / unit);
    all.push_back(std::move(v));
  }
  return all;
}

/// Rule 1. A try without an answer is excused if its router was killed or stopped while the try was
/// open.
Verdict Checker::check_answers() const {
  struct OpenTry {
    Micros started_at, deadline;
    int router;
  };
  std::unordered_map<std::uint64_t, OpenTry> open_tries;
  std::map<int, std::vector<std::pair<Micros, Micros>>> unavailable;  // by router: spans
  for (const Event& e : events_) {
    if (e.kind == EventKind::ProcessKilled) unavailable[e.router].emplace_back(e.at, e.at);
    if (e.kind == EventKind::ProcessStopped)
      unavailable[e.router].emplace_back(e.at, scenario_.duration);
    if (e.kind == EventKind::ProcessContinued && !unavailable[e.router].empty())
      unavailable[e.router].back().second = e.at;
  }
  // A faulty link between tills and a router also excuses lost tries.
  for (const Action& a : scenario_.actions)
    if (a.kind == Action::Kind::Link && a.path == Action::LinkPath::TillsToRouters)
      for (int r : a.routers)
        unavailable[r].emplace_back(a.at, a.duration > 0 ? a.at + a.duration : scenario_.duration);
  int tries = 0, lost = 0, lost_with_router = 0, wrong = 0, open = 0;
  std::string first_violation;
  for (const Event& e : events_) {
    if (e.kind == EventKind::TryStarted) {
      ++tries;
      open_tries[e.id] = {e.at, e.at + e.extra, e.router};
      continue;
    }
    if (e.kind < EventKind::Served || e.kind > EventKind::Wrong) continue;
    auto at = open_tries.find(e.id);
    if (at == open_tries.end()) continue;
    if (e.kind == EventKind::Wrong) ++wrong;
    if (e.kind == EventKind::Lost) {
      const auto& intervals = unavailable[at->second.router];
      bool excused = std::any_of(intervals.begin(), intervals.end(), [&](const auto& s) {
        return s.first <= e.at && s.second + scenario_.slack >= at->second.started_at;
      });
      excused ? ++lost_with_router : ++lost;
      if (!excused && first_violation.empty())
        first_violation = "; the first at router " + std::to_string(at->second.router) +
                          ", asked " + format_number(seconds(at->second.started_at)) + " s, lost " +
                          format_number(seconds(e.at)) + " s";
    }
    open_tries.erase(at);
  }
  open = static_cast<int>(open_tries.size());
  return {lost + wrong + open == 0,
          "1  one final answer for each of " + std::to_string(tries) +
              " tries: " + std::to_string(lost) + " lost, " + std::to_string(wrong) + " wrong, " +
              std::to_string(open) + " open at the end; " + std::to_string(lost_with_router) +
              " lost with their router" + first_violation,
          static_cast<double>(lost + wrong + open)};
}

/// Rule 3. Each router has a judge of its own.
Verdict Checker::check_drains() const {
  using judge::DrainRecord;
  judge::DrainJudgeOptions rules;
  rules.pushed = scenario_.pushed_lists;
  rules.grace = parameters_.drain_grace;
  rules.max_poll_delay = scenario_.max_poll_delay;
  rules.slack = scenario_.slack;
  rules.first_call = 0;
  std::vector<judge::DrainJudge> judges(static_cast<std::size_t>(scenario_.router_count),
                                        judge::DrainJudge(rules));
  std::vector<bool> reachable_from(judges.size(), true);
  bool discovery_up = true;
  std::unordered_map<std::uint64_t, int> router_by_try;  // by try id
  int broken = 0;
  std::string first_violation;
  auto judge_of = [&](int router) -> judge::DrainJudge& {
    return judges.at(static_cast<std::size_t>(router));
  };
  auto process_for_all = [&](const DrainRecord& record) {
    for (judge::DrainJudge& judge : judges) static_cast<void>(judge.process(record));
  };
  auto process_for = [&](int router, DrainRecord::Kind kind, Micros at) {
    static_cast<void>(judge_of(router).process({at, kind}));
  };
  auto update_reachability = [&](const Event& e) {
    for (std::size_t r = 0; r < judges.size(); ++r) {
      bool before = discovery_up && reachable_from[r];
      bool concerned = e.router < 0 || static_cast<std::size_t>(e.router) == r;
      if (!concerned) continue;
      bool now = e.router < 0 ? e.flag && reachable_from[r] : discovery_up && e.flag;
      if (e.router >= 0) reachable_from[r] = e.flag;
      if (before != now)
        process_for(
            static_cast<int>(r),
            now ? DrainRecord::Kind::DiscoveryReachable : DrainRecord::Kind::DiscoveryUnreachable,
            e.at);
    }
    if (e.router < 0) discovery_up = e.flag;
  };
  for (const Event& e : events_) {
    switch (e.kind) {
      case EventKind::TryStarted:
        router_by_try[e.id] = e.router;
        break;
      case EventKind::ListChanged:
        process_for_all({e.at,
                         e.extra == Event::Active ? DrainRecord::Kind::ServerReturns
                                                  : DrainRecord::Kind::ServerLeaves,
                         e.cache, 0, e.value});
        break;
      case EventKind::ReachabilityChanged:
        update_reachability(e);
        break;
      case EventKind::DiscoveryCall:
        process_for(e.router, DrainRecord::Kind::CallStarted, e.at);
        break;
      case EventKind::DiscoveryAnswer:
        static_cast<void>(judge_of(e.router).process(
            {e.at, e.value > 0 ? DrainRecord::Kind::AnswerWritten : DrainRecord::Kind::CallFailed,
             -1, 0, e.value}));
        break;
      case EventKind::WatchSilent:  // recorded with the time at which it counts as notified
        static_cast<void>(
            judge_of(e.router).process({e.at, DrainRecord::Kind::WatchSilent, -1,
                                        e.value - judge::DrainJudge::kAfterSilentWatch}));
        break;
      case EventKind::AddressChanged:
        process_for(e.router, DrainRecord::Kind::AddressChanged, e.at);
        break;
      case EventKind::ProcessStarted:
        // The first starts happen before the load, so before the origin of event times.
        if (e.at < scenario_.duration)
          process_for(e.router, DrainRecord::Kind::ProcessStarted, e.at);
        break;
      case EventKind::AttemptReceived: {
        auto router = router_by_try.find(e.id);
        if (router == router_by_try.end()) break;
        auto found =
            judge_of(router->second).process({e.at, DrainRecord::Kind::RequestSent, e.cache});
        if (!found || broken++ > 0) break;
        first_violation = "; the first by router " + std::to_string(router->second) + " to cache " +
                          std::to_string(e.cache) + " at " + format_number(seconds(e.at)) +
                          " s, told at " + format_number(seconds(found->notified)) +
                          " s: " + description_of(found->rule);
        break;
      }
      default:
        break;
    }
  }
  return {broken == 0,
          "3  nothing new to a server " + format_number(seconds(parameters_.drain_grace)) +
              " s after its router was told that it leaves: " + std::to_string(broken) +
              first_violation,
          static_cast<double>(broken)};
}

/// Rule 4. Within overload_time, a cold server receives at most overload_factor times its capacity.
Verdict Checker::check_cold_servers() const {
  std::map<int, Micros> started_cold;
  std::map<int, std::deque<Micros>> recent_attempts;
  int overloads = 0;
  double worst = 0;
  double warm_capacity = scenario_.cores / seconds(scenario_.work_time);
  for (const Event& e : events_) {
    if (e.kind == EventKind::ListChanged && e.extra == Event::Active && e.flag) {
      started_cold[e.cache] = e.at;
      recent_attempts[e.cache].clear();
    }
    if (e.kind != EventKind::AttemptReceived) continue;
    auto at = started_cold.find(e.cache);
    if (at == started_cold.end() || e.at - at->second >= scenario_.cold_time) continue;
    auto& window = recent_attempts[e.cache];
    window.push_back(e.at);
    while (e.at - window.front() > parameters_.overload_time) window.pop_front();
    double age = static_cast<double>(e.at - at->second) / static_cast<double>(scenario_.cold_time);
    double capacity = warm_capacity * (parameters_.cold_share + (1 - parameters_.cold_share) * age);
    double load = static_cast<double>(window.size()) /
                  (parameters_.overload_factor * capacity * seconds(parameters_.overload_time));
    overloads += load > 1;
    worst = std::max(worst, load);
  }
  return {
      overloads == 0,
      "4  no cold server pushed over: at worst " + format_number(worst) + " of what tips one over",
      worst};
}

std::vector<Verdict> Checker::rules() const {
  auto duplicates = std::count_if(events_.begin(), events_.end(), [](const Event& e) {
    return e.kind == EventKind::DuplicateEffect;
  });
  int unexpected = 0;
  std::string details;
  for (const Event& e : events_)
    if (e.kind == EventKind::ProcessExited && !e.flag) {
      ++unexpected;
      details += "; router " + std::to_string(e.router) + " with status " +
                 std::to_string(e.value) + " at " + format_number(seconds(e.at)) + " s";
    }
  return {check_answers(),
          {duplicates == 0, "2  no effect twice: " + std::to_string(duplicates),
           static_cast<double>(duplicates)},
          check_drains(),
          check_cold_servers(),
          {unexpected == 0,
           "   processes that ended by themselves: " + std::to_string(unexpected) + details,
           static_cast<double>(unexpected)}};
}

std::vector<Row> Checker::rows(Micros width) const {
  std::vector<Row> all(static_cast<std::size_t>((scenario_.duration + width - 1) / width));
  auto row = [&](Micros at) -> Row& {
    auto k = static_cast<std::size_t>(std::max<Micros>(0, at) / width);
    return all[std::min(k, all.size() - 1)];
  };
  for (std::size_t k = 0; k < all.size(); ++k) all[k].at = static_cast<Micros>(k) * width;
  for (const ClientRequest& request : requests_) {
    Row& r = row(request.started_at);
    ++r.first_tries;
    ++(!request.served ? r.unserved : is_in_time(request) ? r.in_time : r.late);
  }
  std::map<int, Micros> started_cold;
  for (const Event& e : events_) {
    if (e.at < 0) continue;
    Row& r = row(e.at);
    r.tries += e.kind == EventKind::TryStarted;
    r.refused += e.kind == EventKind::Refused;
    r.failed += e.kind == EventKind::Failed;
    r.lost += e.kind == EventKind::Lost;
    r.unreached += e.kind == EventKind::Unreached;
    r.list_calls += e.kind == EventKind::DiscoveryCall;
    r.failed_list_calls += e.kind == EventKind::DiscoveryAnswer && e.value == 0;
    r.dials += e.kind == EventKind::ConnectionOpened;
    r.attempts += e.kind == EventKind::AttemptReceived;
    if (e.kind == EventKind::ListChanged && e.flag) started_cold[e.cache] = e.at;
    if (e.kind == EventKind::AttemptReceived && started_cold.count(e.cache) &&
        e.at - started_cold[e.cache] < scenario_.cold_time)
      ++r.attempts_cold;
    if (e.kind == EventKind::OriginFetches) r.fetches += static_cast<int>(e.value);
  }
  return all;
}

}  // namespace arrowfork::tier
