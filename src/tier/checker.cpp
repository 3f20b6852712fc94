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

constexpr Micros kBaseline = 10 * kSecond;          // what service is held against
constexpr Micros kFullServiceWindow = 2 * kSecond;  // service is full again over so long
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
  std::unordered_map<std::uint64_t, std::size_t> by_number;
  for (const Event& e : events) {
    if (e.kind == EventKind::TryStarted) {
      auto number = static_cast<std::uint64_t>(e.value);
      auto [at, fresh] = by_number.emplace(number, requests_.size());
      if (!fresh) continue;
      ClientRequest job{e.at, -1, e.router};
      job.write = e.flag;
      requests_.push_back(job);
    } else if (e.kind == EventKind::RequestDone) {
      auto at = by_number.find(e.id);
      if (at == by_number.end()) continue;
      requests_[at->second].ended = e.at, requests_[at->second].served = e.flag;
    }
  }
}

bool Checker::is_in_time(const ClientRequest& job) const {
  return job.served && job.ended - job.asked <=
                           (job.write ? parameters_.write_objective : parameters_.read_objective);
}

Checker::RequestCounts Checker::count_requests(Micros from, Micros to,
                                               const std::vector<int>& routers) const {
  RequestCounts p;
  auto at = std::lower_bound(requests_.begin(), requests_.end(), from,
                             [](const ClientRequest& job, Micros t) { return job.asked < t; });
  for (; at != requests_.end() && at->asked < to; ++at) {
    if (!is_selected(routers, at->router)) continue;
    ++p.asked;
    p.served += at->served;
    p.late += at->served && !is_in_time(*at);
  }
  return p;
}

Micros Checker::time_to_full_service(Micros mark) const {
  RequestCounts before = count_requests(std::max<Micros>(0, mark - kBaseline), mark);
  if (before.asked == 0) return -1;
  double served = static_cast<double>(before.served) / before.asked;
  double late = static_cast<double>(before.late) / before.asked;
  for (Micros at = mark; at + kFullServiceWindow <= scenario_.duration; at += kSearchStep) {
    RequestCounts now = count_requests(at, at + kFullServiceWindow);
    if (now.asked == 0) continue;
    if (static_cast<double>(now.served) / now.asked >= kMinServedRatio * served &&
        static_cast<double>(now.late) / now.asked <= late + kMaxExtraLate)
      return at - mark;
  }
  return -1;
}

std::vector<Micros> Checker::times_to_first_served(Micros from, Micros to,
                                                   const std::vector<int>& routers) const {
  std::map<int, Micros> killed;
  std::unordered_map<std::uint64_t, int> by_try;
  std::vector<Micros> spans;
  for (const Event& e : events_) {
    if (e.kind == EventKind::ProcessKilled && e.at >= from && e.at < to &&
        is_selected(routers, e.router))
      killed.emplace(e.router, e.at);
    if (e.kind == EventKind::TryStarted && killed.count(e.router)) by_try[e.id] = e.router;
    if (e.kind != EventKind::Served) continue;
    auto at = by_try.find(e.id);
    auto since = at == by_try.end() ? killed.end() : killed.find(at->second);
    if (since == killed.end()) continue;
    spans.push_back(e.at - since->second);
    killed.erase(since);
  }
  for (const auto& [router, at] : killed) spans.push_back(scenario_.duration - at);
  std::sort(spans.begin(), spans.end());
  return spans;
}

/// The most events of a kind in any window; `by_cache`: at any one of the caches.
int Checker::peak_count(EventKind kind, const Claim& hold, bool by_cache) const {
  std::map<int, std::deque<std::pair<Micros, int>>> windows;
  std::map<int, int> sums;
  int most = 0;
  for (const Event& e : events_) {
    if (e.kind != kind || e.at < hold.from || e.at >= hold.to || !is_selected(hold.caches, e.cache))
      continue;
    int key = by_cache ? e.cache : 0;
    int count = kind == EventKind::OriginFetches ? static_cast<int>(e.value) : 1;
    auto& window = windows[key];
    window.emplace_back(e.at, count);
    int& sum = sums[key];
    sum += count;
    while (e.at - window.front().first >= hold.window) {
      sum -= window.front().second;
      window.pop_front();
    }
    most = std::max(most, sum);
  }
  return most;
}

double Checker::measure(const Claim& h) const {
  auto of = [&](int some, int all) { return all ? static_cast<double>(some) / all : 0; };
  auto count = [&](EventKind kind, bool by_cache) {
    return std::count_if(events_.begin(), events_.end(), [&](const Event& e) {
      return e.kind == kind && e.at >= h.from && e.at < h.to &&
             (!by_cache || is_selected(h.caches, e.cache));
    });
  };
  switch (h.metric) {
    case Claim::Metric::ServedShare: {
      RequestCounts p = count_requests(h.from, h.to, h.routers);
      return of(p.served, p.asked);
    }
    case Claim::Metric::InTimeShare: {
      RequestCounts p = count_requests(h.from, h.to);
      return of(p.served - p.late, p.asked);
    }
    case Claim::Metric::UnservedCount: {
      RequestCounts p = count_requests(h.from, h.to);
      return p.asked - p.served;
    }
    case Claim::Metric::FullServiceTime: {
      Micros span = time_to_full_service(h.from);
      return static_cast<double>(span < 0 ? scenario_.duration : span);
    }
    case Claim::Metric::FirstServedTime: {
      std::vector<Micros> all = times_to_first_served(h.from, h.to, h.routers);
      if (all.empty()) return static_cast<double>(scenario_.duration);
      auto at = static_cast<std::size_t>(std::ceil(h.quantile * static_cast<double>(all.size())));
      return static_cast<double>(all[std::min(all.size(), std::max<std::size_t>(at, 1)) - 1]);
    }
    case Claim::Metric::PeakListCalls:
      return peak_count(EventKind::DiscoveryCall, h, false);
    case Claim::Metric::PeakDials:
      return peak_count(EventKind::ConnectionOpened, h, true);
    case Claim::Metric::PeakAttempts:
      return peak_count(EventKind::AttemptReceived, h, true);
    case Claim::Metric::PeakFetches:
      return peak_count(EventKind::OriginFetches, h, false);
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
  for (const Claim& h : scenario_.claims) {
    double value = measure(h), unit = h.is_duration ? kSecond : 1;
    Verdict v;
    v.value = value / unit;
    v.held = (!h.has_min || value >= h.min) && (!h.has_max || value <= h.max);
    v.text = h.label + " from " + format_number(seconds(h.from)) + " s";
    if (h.to < scenario_.duration) v.text += " to " + format_number(seconds(h.to)) + " s";
    v.text += ": " + format_number(v.value) + (h.is_duration ? " s" : "");
    if (h.has_min) v.text += ", at least " + format_number(h.min / unit);
    if (h.has_max) v.text += ", at most " + format_number(h.max / unit);
    all.push_back(std::move(v));
  }
  return all;
}

/// Rule 1. What a router took and did not answer is its own loss where that process was killed, or
/// stood still, while the try was out.
Verdict Checker::check_answers() const {
  struct Out {
    Micros asked, until;
    int router;
  };
  std::unordered_map<std::uint64_t, Out> out;
  std::map<int, std::vector<std::pair<Micros, Micros>>> hurt;  // by router: spans
  for (const Event& e : events_) {
    if (e.kind == EventKind::ProcessKilled) hurt[e.router].emplace_back(e.at, e.at);
    if (e.kind == EventKind::ProcessStopped) hurt[e.router].emplace_back(e.at, scenario_.duration);
    if (e.kind == EventKind::ProcessContinued && !hurt[e.router].empty())
      hurt[e.router].back().second = e.at;
  }
  // A link between tills and a router that is at fault keeps answers from either.
  for (const Action& a : scenario_.actions)
    if (a.kind == Action::Kind::Link && a.path == Action::LinkPath::TillsToRouters)
      for (int r : a.routers)
        hurt[r].emplace_back(a.at, a.duration > 0 ? a.at + a.duration : scenario_.duration);
  int tries = 0, lost = 0, with_router = 0, wrong = 0, open = 0;
  std::string first;
  for (const Event& e : events_) {
    if (e.kind == EventKind::TryStarted) {
      ++tries;
      out[e.id] = {e.at, e.at + e.extra, e.router};
      continue;
    }
    if (e.kind < EventKind::Served || e.kind > EventKind::Wrong) continue;
    auto at = out.find(e.id);
    if (at == out.end()) continue;
    if (e.kind == EventKind::Wrong) ++wrong;
    if (e.kind == EventKind::Lost) {
      const auto& spans = hurt[at->second.router];
      bool excused = std::any_of(spans.begin(), spans.end(), [&](const auto& s) {
        return s.first <= e.at && s.second + scenario_.slack >= at->second.asked;
      });
      excused ? ++with_router : ++lost;
      if (!excused && first.empty())
        first = "; the first at router " + std::to_string(at->second.router) + ", asked " +
                format_number(seconds(at->second.asked)) + " s, lost " +
                format_number(seconds(e.at)) + " s";
    }
    out.erase(at);
  }
  open = static_cast<int>(out.size());
  return {lost + wrong + open == 0,
          "1  one final answer for each of " + std::to_string(tries) +
              " tries: " + std::to_string(lost) + " lost, " + std::to_string(wrong) + " wrong, " +
              std::to_string(open) + " open at the end; " + std::to_string(with_router) +
              " lost with their router" + first,
          static_cast<double>(lost + wrong + open)};
}

/// Rule 3, each router by a judge of its own.
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
  std::vector<bool> reaches(judges.size(), true);
  bool up = true;
  std::unordered_map<std::uint64_t, int> router_of;  // by try
  int broken = 0;
  std::string first;
  auto of = [&](int router) -> judge::DrainJudge& {
    return judges.at(static_cast<std::size_t>(router));
  };
  auto all = [&](const DrainRecord& record) {
    for (judge::DrainJudge& one : judges) static_cast<void>(one.process(record));
  };
  auto one = [&](int router, DrainRecord::Kind kind, Micros at) {
    static_cast<void>(of(router).process({at, kind}));
  };
  auto reach = [&](const Event& e) {
    for (std::size_t r = 0; r < judges.size(); ++r) {
      bool before = up && reaches[r];
      bool meant = e.router < 0 || static_cast<std::size_t>(e.router) == r;
      if (!meant) continue;
      bool now = e.router < 0 ? e.flag && reaches[r] : up && e.flag;
      if (e.router >= 0) reaches[r] = e.flag;
      if (before != now)
        one(static_cast<int>(r),
            now ? DrainRecord::Kind::DiscoveryReachable : DrainRecord::Kind::DiscoveryUnreachable,
            e.at);
    }
    if (e.router < 0) up = e.flag;
  };
  for (const Event& e : events_) {
    switch (e.kind) {
      case EventKind::TryStarted:
        router_of[e.id] = e.router;
        break;
      case EventKind::ListChanged:
        all({e.at,
             e.extra == Event::Active ? DrainRecord::Kind::ServerReturns
                                      : DrainRecord::Kind::ServerLeaves,
             e.cache, 0, e.value});
        break;
      case EventKind::ReachabilityChanged:
        reach(e);
        break;
      case EventKind::DiscoveryCall:
        one(e.router, DrainRecord::Kind::CallStarted, e.at);
        break;
      case EventKind::DiscoveryAnswer:
        static_cast<void>(of(e.router).process(
            {e.at, e.value > 0 ? DrainRecord::Kind::AnswerWritten : DrainRecord::Kind::CallFailed,
             -1, 0, e.value}));
        break;
      case EventKind::WatchSilent:  // noted with the time at which it counts
        static_cast<void>(of(e.router).process({e.at, DrainRecord::Kind::WatchSilent, -1,
                                                e.value - judge::DrainJudge::kAfterSilentWatch}));
        break;
      case EventKind::AddressChanged:
        one(e.router, DrainRecord::Kind::AddressChanged, e.at);
        break;
      case EventKind::ProcessStarted:
        // The first starts lie before the load, whose begin is the origin of times.
        if (e.at < scenario_.duration) one(e.router, DrainRecord::Kind::ProcessStarted, e.at);
        break;
      case EventKind::AttemptReceived: {
        auto who = router_of.find(e.id);
        if (who == router_of.end()) break;
        auto found = of(who->second).process({e.at, DrainRecord::Kind::RequestSent, e.cache});
        if (!found || broken++ > 0) break;
        first = "; the first by router " + std::to_string(who->second) + " to cache " +
                std::to_string(e.cache) + " at " + format_number(seconds(e.at)) + " s, told at " +
                format_number(seconds(found->notified)) + " s: " + description_of(found->rule);
        break;
      }
      default:
        break;
    }
  }
  return {broken == 0,
          "3  nothing new to a server " + format_number(seconds(parameters_.drain_grace)) +
              " s after its router was told that it leaves: " + std::to_string(broken) + first,
          static_cast<double>(broken)};
}

/// Rule 4: no more than the factor of what a cold server can do, over the time that tips one.
Verdict Checker::check_cold_servers() const {
  std::map<int, Micros> born;
  std::map<int, std::deque<Micros>> begun;
  int pushed = 0;
  double worst = 0;
  double warm = scenario_.cores / seconds(scenario_.work_time);
  for (const Event& e : events_) {
    if (e.kind == EventKind::ListChanged && e.extra == Event::Active && e.flag) {
      born[e.cache] = e.at;
      begun[e.cache].clear();
    }
    if (e.kind != EventKind::AttemptReceived) continue;
    auto at = born.find(e.cache);
    if (at == born.end() || e.at - at->second >= scenario_.cold_time) continue;
    auto& window = begun[e.cache];
    window.push_back(e.at);
    while (e.at - window.front() > parameters_.overload_time) window.pop_front();
    double age = static_cast<double>(e.at - at->second) / static_cast<double>(scenario_.cold_time);
    double capacity = warm * (parameters_.cold_share + (1 - parameters_.cold_share) * age);
    double part = static_cast<double>(window.size()) /
                  (parameters_.overload_factor * capacity * seconds(parameters_.overload_time));
    pushed += part > 1;
    worst = std::max(worst, part);
  }
  return {
      pushed == 0,
      "4  no cold server pushed over: at worst " + format_number(worst) + " of what tips one over",
      worst};
}

std::vector<Verdict> Checker::rules() const {
  auto doubled = std::count_if(events_.begin(), events_.end(),
                               [](const Event& e) { return e.kind == EventKind::DuplicateEffect; });
  int unexpected = 0;
  std::string ends;
  for (const Event& e : events_)
    if (e.kind == EventKind::ProcessExited && !e.flag) {
      ++unexpected;
      ends += "; router " + std::to_string(e.router) + " with status " + std::to_string(e.value) +
              " at " + format_number(seconds(e.at)) + " s";
    }
  return {check_answers(),
          {doubled == 0, "2  no effect twice: " + std::to_string(doubled),
           static_cast<double>(doubled)},
          check_drains(),
          check_cold_servers(),
          {unexpected == 0,
           "   processes that ended by themselves: " + std::to_string(unexpected) + ends,
           static_cast<double>(unexpected)}};
}

std::vector<Row> Checker::rows(Micros width) const {
  std::vector<Row> all(static_cast<std::size_t>((scenario_.duration + width - 1) / width));
  auto row = [&](Micros at) -> Row& {
    auto k = static_cast<std::size_t>(std::max<Micros>(0, at) / width);
    return all[std::min(k, all.size() - 1)];
  };
  for (std::size_t k = 0; k < all.size(); ++k) all[k].at = static_cast<Micros>(k) * width;
  for (const ClientRequest& job : requests_) {
    Row& r = row(job.asked);
    ++r.first_tries;
    ++(!job.served ? r.unserved : is_in_time(job) ? r.in_time : r.late);
  }
  std::map<int, Micros> born;
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
    if (e.kind == EventKind::ListChanged && e.flag) born[e.cache] = e.at;
    if (e.kind == EventKind::AttemptReceived && born.count(e.cache) &&
        e.at - born[e.cache] < scenario_.cold_time)
      ++r.attempts_cold;
    if (e.kind == EventKind::OriginFetches) r.fetches += static_cast<int>(e.value);
  }
  return all;
}

}  // namespace arrowfork::tier
