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

using What = Event::What;

constexpr Micros kBefore = 10 * kSecond;  // what service is held against
constexpr Micros kOver = 2 * kSecond;     // service is full again over so long
constexpr Micros kStep = 100 * kMillisecond;
constexpr double kAsBefore = 0.98, kMoreLate = 0.05;

double seconds(Micros span) { return static_cast<double>(span) / kSecond; }

std::string shown(double value) {
  char text[32];
  std::snprintf(text, sizeof text, value == std::floor(value) ? "%.0f" : "%.3f", value);
  return text;
}

bool among(const std::vector<int>& all, int one) {
  return all.empty() || std::find(all.begin(), all.end(), one) != all.end();
}

}  // namespace

Checker::Checker(const Scenario& scenario, const Figures& figures, const std::vector<Event>& events)
    : scenario_(scenario), figures_(figures), events_(events) {
  std::unordered_map<std::uint64_t, std::size_t> by_number;
  for (const Event& e : events) {
    if (e.what == What::Asked) {
      auto number = static_cast<std::uint64_t>(e.value);
      auto [at, fresh] = by_number.emplace(number, jobs_.size());
      if (!fresh) continue;
      Job job{e.at, -1, e.router};
      job.write = e.flag;
      jobs_.push_back(job);
    } else if (e.what == What::Done) {
      auto at = by_number.find(e.id);
      if (at == by_number.end()) continue;
      jobs_[at->second].ended = e.at, jobs_[at->second].served = e.flag;
    }
  }
}

bool Checker::in_time(const Job& job) const {
  return job.served &&
         job.ended - job.asked <= (job.write ? figures_.write_aim : figures_.read_aim);
}

Checker::Part Checker::part(Micros from, Micros to, const std::vector<int>& routers) const {
  Part p;
  auto at = std::lower_bound(jobs_.begin(), jobs_.end(), from,
                             [](const Job& job, Micros t) { return job.asked < t; });
  for (; at != jobs_.end() && at->asked < to; ++at) {
    if (!among(routers, at->router)) continue;
    ++p.asked;
    p.served += at->served;
    p.late += at->served && !in_time(*at);
  }
  return p;
}

Micros Checker::full_service(Micros mark) const {
  Part before = part(std::max<Micros>(0, mark - kBefore), mark);
  if (before.asked == 0) return -1;
  double served = static_cast<double>(before.served) / before.asked;
  double late = static_cast<double>(before.late) / before.asked;
  for (Micros at = mark; at + kOver <= scenario_.lasts; at += kStep) {
    Part now = part(at, at + kOver);
    if (now.asked == 0) continue;
    if (static_cast<double>(now.served) / now.asked >= kAsBefore * served &&
        static_cast<double>(now.late) / now.asked <= late + kMoreLate)
      return at - mark;
  }
  return -1;
}

std::vector<Micros> Checker::first_served(Micros from, Micros to,
                                          const std::vector<int>& routers) const {
  std::map<int, Micros> killed;
  std::unordered_map<std::uint64_t, int> by_try;
  std::vector<Micros> spans;
  for (const Event& e : events_) {
    if (e.what == What::Killed && e.at >= from && e.at < to && among(routers, e.router))
      killed.emplace(e.router, e.at);
    if (e.what == What::Asked && killed.count(e.router)) by_try[e.id] = e.router;
    if (e.what != What::Served) continue;
    auto at = by_try.find(e.id);
    auto since = at == by_try.end() ? killed.end() : killed.find(at->second);
    if (since == killed.end()) continue;
    spans.push_back(e.at - since->second);
    killed.erase(since);
  }
  for (const auto& [router, at] : killed) spans.push_back(scenario_.lasts - at);
  std::sort(spans.begin(), spans.end());
  return spans;
}

/// The most events of a kind in any window; `by_cache`: at any one of the caches.
int Checker::peak(What what, const Hold& hold, bool by_cache) const {
  std::map<int, std::deque<std::pair<Micros, int>>> windows;
  std::map<int, int> sums;
  int most = 0;
  for (const Event& e : events_) {
    if (e.what != what || e.at < hold.from || e.at >= hold.to || !among(hold.caches, e.cache))
      continue;
    int key = by_cache ? e.cache : 0;
    int count = what == What::Fetched ? static_cast<int>(e.value) : 1;
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

double Checker::value_of(const Hold& h) const {
  auto of = [&](int some, int all) { return all ? static_cast<double>(some) / all : 0; };
  auto count = [&](What what, bool by_cache) {
    return std::count_if(events_.begin(), events_.end(), [&](const Event& e) {
      return e.what == what && e.at >= h.from && e.at < h.to &&
             (!by_cache || among(h.caches, e.cache));
    });
  };
  switch (h.what) {
    case Hold::What::Served: {
      Part p = part(h.from, h.to, h.routers);
      return of(p.served, p.asked);
    }
    case Hold::What::InTime: {
      Part p = part(h.from, h.to);
      return of(p.served - p.late, p.asked);
    }
    case Hold::What::Unserved: {
      Part p = part(h.from, h.to);
      return p.asked - p.served;
    }
    case Hold::What::FullService: {
      Micros span = full_service(h.from);
      return static_cast<double>(span < 0 ? scenario_.lasts : span);
    }
    case Hold::What::FirstServed: {
      std::vector<Micros> all = first_served(h.from, h.to, h.routers);
      if (all.empty()) return static_cast<double>(scenario_.lasts);
      auto at = static_cast<std::size_t>(std::ceil(h.part * static_cast<double>(all.size())));
      return static_cast<double>(all[std::min(all.size(), std::max<std::size_t>(at, 1)) - 1]);
    }
    case Hold::What::ListCalls:
      return peak(What::Called, h, false);
    case Hold::What::Dials:
      return peak(What::Dialled, h, true);
    case Hold::What::Begun:
      return peak(What::Begun, h, true);
    case Hold::What::Fetches:
      return peak(What::Fetched, h, false);
    case Hold::What::Sent:
      return static_cast<double>(count(What::Begun, true));
    case Hold::What::Calls:
      return static_cast<double>(count(What::Called, false));
    case Hold::What::Starts:
      return static_cast<double>(count(What::Started, false));
  }
  return 0;
}

std::vector<Verdict> Checker::claims() const {
  std::vector<Verdict> all;
  for (const Hold& h : scenario_.holds) {
    double value = value_of(h), unit = h.is_time ? kSecond : 1;
    Verdict v;
    v.value = value / unit;
    v.held = (!h.has_least || value >= h.least) && (!h.has_most || value <= h.most);
    v.text = h.label + " from " + shown(seconds(h.from)) + " s";
    if (h.to < scenario_.lasts) v.text += " to " + shown(seconds(h.to)) + " s";
    v.text += ": " + shown(v.value) + (h.is_time ? " s" : "");
    if (h.has_least) v.text += ", at least " + shown(h.least / unit);
    if (h.has_most) v.text += ", at most " + shown(h.most / unit);
    all.push_back(std::move(v));
  }
  return all;
}

/// Rule 1. What a router took and did not answer is its own loss where that process was killed, or
/// stood still, while the try was out.
Verdict Checker::answers() const {
  struct Out {
    Micros asked, until;
    int router;
  };
  std::unordered_map<std::uint64_t, Out> out;
  std::map<int, std::vector<std::pair<Micros, Micros>>> hurt;  // by router: spans
  for (const Event& e : events_) {
    if (e.what == What::Killed) hurt[e.router].emplace_back(e.at, e.at);
    if (e.what == What::Stopped) hurt[e.router].emplace_back(e.at, scenario_.lasts);
    if (e.what == What::Continued && !hurt[e.router].empty()) hurt[e.router].back().second = e.at;
  }
  // A link between tills and a router that is at fault keeps answers from either.
  for (const Action& a : scenario_.actions)
    if (a.verb == Action::Verb::Link && a.way == Action::Way::TillsToRouters)
      for (int r : a.routers)
        hurt[r].emplace_back(a.at, a.lasts > 0 ? a.at + a.lasts : scenario_.lasts);
  int tries = 0, lost = 0, with_router = 0, wrong = 0, open = 0;
  std::string first;
  for (const Event& e : events_) {
    if (e.what == What::Asked) {
      ++tries;
      out[e.id] = {e.at, e.at + e.further, e.router};
      continue;
    }
    if (e.what < What::Served || e.what > What::Wrong) continue;
    auto at = out.find(e.id);
    if (at == out.end()) continue;
    if (e.what == What::Wrong) ++wrong;
    if (e.what == What::Lost) {
      const auto& spans = hurt[at->second.router];
      bool excused = std::any_of(spans.begin(), spans.end(), [&](const auto& s) {
        return s.first <= e.at && s.second + scenario_.slack >= at->second.asked;
      });
      excused ? ++with_router : ++lost;
      if (!excused && first.empty())
        first = "; the first at router " + std::to_string(at->second.router) + ", asked " +
                shown(seconds(at->second.asked)) + " s, lost " + shown(seconds(e.at)) + " s";
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
Verdict Checker::drains() const {
  using judge::DrainRecord;
  judge::DrainJudgeOptions rules;
  rules.pushed = scenario_.pushed;
  rules.grace = figures_.drain_grace;
  rules.max_poll_delay = scenario_.ask_within;
  rules.slack = scenario_.slack;
  rules.first_call = 0;
  std::vector<judge::DrainJudge> judges(static_cast<std::size_t>(scenario_.routers),
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
  auto one = [&](int router, DrainRecord::Kind what, Micros at) {
    static_cast<void>(of(router).process({at, what}));
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
    switch (e.what) {
      case What::Asked:
        router_of[e.id] = e.router;
        break;
      case What::Listed:
        all({e.at,
             e.further == Event::Active ? DrainRecord::Kind::ServerReturns
                                        : DrainRecord::Kind::ServerLeaves,
             e.cache, 0, e.value});
        break;
      case What::Reach:
        reach(e);
        break;
      case What::Called:
        one(e.router, DrainRecord::Kind::CallStarted, e.at);
        break;
      case What::Told:
        static_cast<void>(of(e.router).process(
            {e.at, e.value > 0 ? DrainRecord::Kind::AnswerWritten : DrainRecord::Kind::CallFailed,
             -1, 0, e.value}));
        break;
      case What::Muted:  // noted with the time at which it counts
        static_cast<void>(of(e.router).process({e.at, DrainRecord::Kind::WatchSilent, -1,
                                                e.value - judge::DrainJudge::kAfterSilentWatch}));
        break;
      case What::Moved:
        one(e.router, DrainRecord::Kind::AddressChanged, e.at);
        break;
      case What::Started:
        // The first starts lie before the load, whose begin is the origin of times.
        if (e.at < scenario_.lasts) one(e.router, DrainRecord::Kind::ProcessStarted, e.at);
        break;
      case What::Begun: {
        auto who = router_of.find(e.id);
        if (who == router_of.end()) break;
        auto found = of(who->second).process({e.at, DrainRecord::Kind::RequestSent, e.cache});
        if (!found || broken++ > 0) break;
        first = "; the first by router " + std::to_string(who->second) + " to cache " +
                std::to_string(e.cache) + " at " + shown(seconds(e.at)) + " s, told at " +
                shown(seconds(found->notified)) + " s: " + description_of(found->rule);
        break;
      }
      default:
        break;
    }
  }
  return {broken == 0,
          "3  nothing new to a server " + shown(seconds(figures_.drain_grace)) +
              " s after its router was told that it leaves: " + std::to_string(broken) + first,
          static_cast<double>(broken)};
}

/// Rule 4: no more than the factor of what a cold server can do, over the time that tips one.
Verdict Checker::cold() const {
  std::map<int, Micros> born;
  std::map<int, std::deque<Micros>> begun;
  int pushed = 0;
  double worst = 0;
  double warm = scenario_.cores / seconds(scenario_.work);
  for (const Event& e : events_) {
    if (e.what == What::Listed && e.further == Event::Active && e.flag) {
      born[e.cache] = e.at;
      begun[e.cache].clear();
    }
    if (e.what != What::Begun) continue;
    auto at = born.find(e.cache);
    if (at == born.end() || e.at - at->second >= scenario_.cold_time) continue;
    auto& window = begun[e.cache];
    window.push_back(e.at);
    while (e.at - window.front() > figures_.tip_after) window.pop_front();
    double age = static_cast<double>(e.at - at->second) / static_cast<double>(scenario_.cold_time);
    double capacity = warm * (figures_.cold_share + (1 - figures_.cold_share) * age);
    double part = static_cast<double>(window.size()) /
                  (figures_.overload_factor * capacity * seconds(figures_.tip_after));
    pushed += part > 1;
    worst = std::max(worst, part);
  }
  return {pushed == 0,
          "4  no cold server pushed over: at worst " + shown(worst) + " of what tips one over",
          worst};
}

std::vector<Verdict> Checker::rules() const {
  auto doubled = std::count_if(events_.begin(), events_.end(),
                               [](const Event& e) { return e.what == What::Doubled; });
  int unexpected = 0;
  std::string ends;
  for (const Event& e : events_)
    if (e.what == What::Ended && !e.flag) {
      ++unexpected;
      ends += "; router " + std::to_string(e.router) + " with status " + std::to_string(e.value) +
              " at " + shown(seconds(e.at)) + " s";
    }
  return {answers(),
          {doubled == 0, "2  no effect twice: " + std::to_string(doubled),
           static_cast<double>(doubled)},
          drains(),
          cold(),
          {unexpected == 0,
           "   processes that ended by themselves: " + std::to_string(unexpected) + ends,
           static_cast<double>(unexpected)}};
}

std::vector<Row> Checker::rows(Micros width) const {
  std::vector<Row> all(static_cast<std::size_t>((scenario_.lasts + width - 1) / width));
  auto row = [&](Micros at) -> Row& {
    auto k = static_cast<std::size_t>(std::max<Micros>(0, at) / width);
    return all[std::min(k, all.size() - 1)];
  };
  for (std::size_t k = 0; k < all.size(); ++k) all[k].at = static_cast<Micros>(k) * width;
  for (const Job& job : jobs_) {
    Row& r = row(job.asked);
    ++r.asked;
    ++(!job.served ? r.unserved : in_time(job) ? r.in_time : r.late);
  }
  std::map<int, Micros> born;
  for (const Event& e : events_) {
    if (e.at < 0) continue;
    Row& r = row(e.at);
    r.tries += e.what == What::Asked;
    r.refused += e.what == What::Refused;
    r.failed += e.what == What::Failed;
    r.lost += e.what == What::Lost;
    r.unreached += e.what == What::Unreached;
    r.calls += e.what == What::Called;
    r.calls_failed += e.what == What::Told && e.value == 0;
    r.dials += e.what == What::Dialled;
    r.begun += e.what == What::Begun;
    if (e.what == What::Listed && e.flag) born[e.cache] = e.at;
    if (e.what == What::Begun && born.count(e.cache) && e.at - born[e.cache] < scenario_.cold_time)
      ++r.begun_cold;
    if (e.what == What::Fetched) r.fetches += static_cast<int>(e.value);
  }
  return all;
}

}  // namespace arrowfork::tier
