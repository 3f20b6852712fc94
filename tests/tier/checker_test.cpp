// Runs the checker on hand-written event logs: each rule and claim fails when violated, and only
// then.
#include "tier/checker.hpp"

#include <gtest/gtest.h>

namespace arrowfork::tier {
namespace {

using EventKind = Event::Kind;
constexpr Micros kMs = kMillisecond;

Scenario scenario(Micros duration = 20 * kSecond) {
  Scenario s;
  s.duration = duration;
  s.router_count = 2, s.cache_count = 2, s.cores = 1;
  s.slack = 50 * kMs;
  return s;
}

RuleParameters rule_parameters() {
  RuleParameters parameters;
  parameters.read_objective = 150 * kMs, parameters.write_objective = 250 * kMs;
  parameters.drain_grace = 500 * kMs, parameters.overload_time = 1500 * kMs;
  parameters.cold_share = 0.3, parameters.overload_factor = 4;
  return parameters;
}

class EventSequence {
 public:
  EventSequence& add(Micros at, Event e) {
    e.at = at;
    events.push_back(e);
    return *this;
  }
  /// A request with one try that ends as `end` after `took`.
  EventSequence& add_request(Micros at, EventKind end, Micros took = 10 * kMs, int router = 0) {
    std::uint64_t id = ++last;
    add(at, {.kind = EventKind::TryStarted,
             .router = static_cast<std::int16_t>(router),
             .id = id,
             .value = static_cast<std::int64_t>(id),
             .extra = 600 * kMs});
    add(at + took, {.kind = end, .id = id});
    return add(at + took,
               {.kind = EventKind::RequestDone, .id = id, .flag = end == EventKind::Served});
  }
  EventSequence& add_attempt(Micros at, int cache, int router) {
    std::uint64_t id = ++last;
    add(at, {.kind = EventKind::TryStarted,
             .router = static_cast<std::int16_t>(router),
             .id = id,
             .value = static_cast<std::int64_t>(id)});
    add(at,
        {.kind = EventKind::AttemptReceived, .cache = static_cast<std::int16_t>(cache), .id = id});
    return add(at, {.kind = EventKind::Served, .id = id});
  }
  std::vector<Event> events;
  std::uint64_t last = 0;
};

struct Case {
  const char* name;
  EventSequence sequence;
  std::size_t rule;  // index into rules()
  bool held;
};

TEST(TierChecker, JudgesEachRuleByTheEventLog) {
  auto leaves = [](Micros notified) {
    EventSequence log;
    log.add(0, {.kind = EventKind::ListChanged, .cache = 1, .value = 5, .extra = Event::Leaving});
    if (notified >= 0)
      log.add(notified, {.kind = EventKind::DiscoveryAnswer, .router = 0, .value = 5});
    return log;
  };
  auto cold = [](int count, Micros from) {
    EventSequence log;
    log.add(0, {.kind = EventKind::ListChanged,
                .cache = 0,
                .value = 2,
                .extra = Event::Active,
                .flag = true});
    for (int k = 0; k < count; ++k) log.add_attempt(from + k * 10, 0, 0);
    return log;
  };
  // With one core and 1 ms per read a cold server can do 300/s, and more than 4 x 300 x 1.5
  // attempts in 1.5 s overload it.
  const Case cases[] = {
      {"served", EventSequence().add_request(0, EventKind::Served), 0, true},
      {"refused is an answer", EventSequence().add_request(0, EventKind::Refused), 0, true},
      {"lost", EventSequence().add_request(0, EventKind::Lost, 700 * kMs), 0, false},
      {"wrong", EventSequence().add_request(0, EventKind::Wrong), 0, false},
      {"still open at the end",
       EventSequence().add(0, {.kind = EventKind::TryStarted, .router = 0, .id = 1}), 0, false},
      {"lost with its router",
       EventSequence()
           .add(5 * kMs, {.kind = EventKind::ProcessKilled, .router = 0})
           .add_request(0, EventKind::Lost),
       0, true},
      {"lost while another router was killed",
       EventSequence()
           .add(5 * kMs, {.kind = EventKind::ProcessKilled, .router = 1})
           .add_request(0, EventKind::Lost),
       0, false},
      {"lost long after a kill",
       EventSequence()
           .add(0, {.kind = EventKind::ProcessKilled, .router = 0})
           .add_request(kSecond, EventKind::Lost),
       0, false},
      {"a write ran twice", EventSequence().add(0, {.kind = EventKind::DuplicateEffect}), 1, false},
      {"sent within the grace", leaves(kSecond).add_attempt(1400 * kMs, 1, 0), 2, true},
      {"sent after the grace", leaves(kSecond).add_attempt(1600 * kMs, 1, 0), 2, false},
      {"sent by a router that was not notified", leaves(kSecond).add_attempt(1600 * kMs, 1, 1), 2,
       true},
      {"not notified, more than 6 s after the change", leaves(-1).add_attempt(6600 * kMs, 1, 0), 2,
       false},
      {"not notified, less than 6 s after the change", leaves(-1).add_attempt(6400 * kMs, 1, 0), 2,
       true},
      {"discovery is unreachable",
       leaves(-1)
           .add(kMs, {.kind = EventKind::ReachabilityChanged})
           .add_attempt(20 * kSecond, 1, 0),
       2, true},
      {"more than 6 s after discovery is back",
       leaves(-1)
           .add(kMs, {.kind = EventKind::ReachabilityChanged})
           .add(9 * kSecond, {.kind = EventKind::ReachabilityChanged, .flag = true})
           .add_attempt(15'600 * kMs, 1, 0),
       2, false},
      {"the router's own link to discovery is cut",
       leaves(-1)
           .add(kMs, {.kind = EventKind::ReachabilityChanged, .router = 0})
           .add_attempt(20 * kSecond, 1, 0),
       2, true},
      {"the link of another router is cut",
       leaves(-1)
           .add(kMs, {.kind = EventKind::ReachabilityChanged, .router = 1})
           .add_attempt(20 * kSecond, 1, 0),
       2, false},
      {"more than 4 s after SIGHUP with another address",
       leaves(-1)
           .add(0, {.kind = EventKind::AddressChanged, .router = 0})
           .add_attempt(4600 * kMs, 1, 0),
       2, false},
      {"less than 4 s after SIGHUP with another address",
       leaves(-1)
           .add(0, {.kind = EventKind::AddressChanged, .router = 0})
           .add_attempt(4400 * kMs, 1, 0),
       2, true},
      {"more than 4 s after the first of several SIGHUPs",
       leaves(-1)
           .add(0, {.kind = EventKind::AddressChanged, .router = 0})
           .add(2 * kSecond, {.kind = EventKind::AddressChanged, .router = 0})
           .add_attempt(4600 * kMs, 1, 0),
       2, false},
      {"SIGHUP of another router",
       leaves(-1)
           .add(0, {.kind = EventKind::AddressChanged, .router = 1})
           .add_attempt(4600 * kMs, 1, 0),
       2, true},
      {"a process started after the deadline has the grace",
       leaves(-1)
           .add(10 * kSecond, {.kind = EventKind::ProcessStarted, .router = 0})
           .add_attempt(10'400 * kMs, 1, 0),
       2, true},
      {"a process started after the deadline has no more than the grace",
       leaves(-1)
           .add(10 * kSecond, {.kind = EventKind::ProcessStarted, .router = 0})
           .add_attempt(10'600 * kMs, 1, 0),
       2, false},
      {"the notified process has exited",
       leaves(0)
           .add(kSecond, {.kind = EventKind::ProcessStarted, .router = 0})
           .add_attempt(2 * kSecond, 1, 0),
       2, true},
      {"back on the list",
       leaves(0)
           .add(kSecond,
                {.kind = EventKind::ListChanged, .cache = 1, .value = 6, .extra = Event::Active})
           .add_attempt(2 * kSecond, 1, 0),
       2, true},
      {"a cold server below its limit", cold(1700, 0), 3, true},
      {"an overloaded cold server", cold(1900, 0), 3, false},
      {"a server that is warm again", cold(1900, 9 * kSecond), 3, true},
      {"an expected exit", EventSequence().add(0, {.kind = EventKind::ProcessExited, .flag = true}),
       4, true},
      {"a crash", EventSequence().add(0, {.kind = EventKind::ProcessExited, .value = 11}), 4,
       false},
  };
  Scenario s = scenario();
  RuleParameters parameters = rule_parameters();
  for (const Case& test_case : cases) {
    std::vector<Event> events = test_case.sequence.events;
    std::stable_sort(events.begin(), events.end(),
                     [](const Event& a, const Event& b) { return a.at < b.at; });
    Checker checker(s, parameters, events);
    auto rules = checker.rules();
    for (std::size_t k = 0; k < rules.size(); ++k)
      EXPECT_EQ(rules[k].held, k != test_case.rule || test_case.held)
          << test_case.name << ": " << rules[k].text;
  }
}

TEST(TierChecker, FullServiceNeedsTheEarlierServedAndLateSharesOverTwoSeconds) {
  struct {
    const char* name;
    Micros refused_until, late_until, full;
  } const cases[] = {{"at once", 0, 0, 0},
                     {"refusals end after 1.5 s", 1500 * kMs, 0, 1500 * kMs},
                     {"lateness ends after 2.5 s", 0, 2500 * kMs, 2500 * kMs},
                     {"never", 30 * kSecond, 0, -1}};
  for (const auto& test_case : cases) {
    EventSequence log;
    for (Micros at = 0; at < 20 * kSecond; at += 10 * kMs) {
      Micros since = at - 10 * kSecond;
      bool refused = since >= 0 && since < test_case.refused_until;
      bool late = since >= 0 && since < test_case.late_until;
      log.add_request(at, refused ? EventKind::Refused : EventKind::Served,
                      late ? 200 * kMs : 5 * kMs);
    }
    Scenario s = scenario();
    RuleParameters parameters = rule_parameters();
    Checker checker(s, parameters, log.events);
    Micros full = checker.time_to_full_service(10 * kSecond);
    EXPECT_NEAR(static_cast<double>(full), static_cast<double>(test_case.full),
                static_cast<double>(100 * kMs))
        << test_case.name;
  }
}

TEST(TierChecker, MeasuresClaimsFromTheEventLog) {
  EventSequence log;
  log.add(kSecond, {.kind = EventKind::ProcessKilled, .router = 1});
  log.add_request(1500 * kMs, EventKind::Refused, kMs, 1)
      .add_request(2 * kSecond, EventKind::Served, 100 * kMs, 1);
  for (int k = 0; k < 4; ++k)
    log.add(3 * kSecond + k * 300 * kMs, {.kind = EventKind::DiscoveryCall});
  log.add_attempt(5 * kSecond, 1, 0);
  log.add(6 * kSecond, {.kind = EventKind::OriginFetches, .value = 9});
  log.add(7 * kSecond, {.kind = EventKind::ProcessStarted, .router = 1});
  const struct {
    const char* text;
    double value;
  } cases[] = {
      {"what = 'first_served'\nmost = '1s'", 1.1},
      {"what = 'list_calls'\nwindow = '700ms'\nmost = 9", 3},
      {"what = 'calls'\nfrom = '3.2s'\nmost = 9", 3},
      {"what = 'sent'\ncaches = 1\nmost = 9", 1},
      {"what = 'sent'\ncaches = 0\nmost = 9", 0},
      {"what = 'fetches'\nmost = 9", 9},
      {"what = 'starts'\nmost = 9", 1},
      {"what = 'unserved'\nfrom = '1s'\nto = '3s'\nmost = 9", 1},
      {"what = 'served'\nfrom = '1s'\nto = '3s'\nrouters = 1\nleast = 0.5", 0.5},
  };
  for (const auto& test_case : cases) {
    Scenario s = parse_scenario(
        std::string("name = 'a'\nlasts = '20s'\n[[hold]]\n") + test_case.text + "\n", "f");
    RuleParameters parameters = rule_parameters();
    EXPECT_DOUBLE_EQ(Checker(s, parameters, log.events).claims().at(0).value, test_case.value)
        << test_case.text;
  }
}

}  // namespace
}  // namespace arrowfork::tier
