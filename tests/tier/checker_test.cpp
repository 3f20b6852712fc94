// Accounts written by hand: each rule and claim is seen to break, and not to break without cause.
#include "tier/checker.hpp"

#include <gtest/gtest.h>

namespace arrowfork::tier {
namespace {

using EventKind = Event::Kind;
constexpr Micros kMs = kMillisecond;

Scenario scenario(Micros lasts = 20 * kSecond) {
  Scenario s;
  s.duration = lasts;
  s.router_count = 2, s.cache_count = 2, s.cores = 1;
  s.slack = 50 * kMs;
  return s;
}

RuleParameters rule_parameters() {
  RuleParameters f;
  f.read_objective = 150 * kMs, f.write_objective = 250 * kMs;
  f.drain_grace = 500 * kMs, f.overload_time = 1500 * kMs;
  f.cold_share = 0.3, f.overload_factor = 4;
  return f;
}

class EventSequence {
 public:
  EventSequence& add(Micros at, Event e) {
    e.at = at;
    events.push_back(e);
    return *this;
  }
  /// One first try that ends so after `took`.
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
  std::size_t rule;  // of rules()
  bool held;
};

TEST(TierChecker, JudgesTheRulesByTheAccount) {
  auto leaves = [](Micros notified) {
    EventSequence w;
    w.add(0, {.kind = EventKind::ListChanged, .cache = 1, .value = 5, .extra = Event::Leaving});
    if (notified >= 0)
      w.add(notified, {.kind = EventKind::DiscoveryAnswer, .router = 0, .value = 5});
    return w;
  };
  auto cold = [](int count, Micros from) {
    EventSequence w;
    w.add(0, {.kind = EventKind::ListChanged,
              .cache = 0,
              .value = 2,
              .extra = Event::Active,
              .flag = true});
    for (int k = 0; k < count; ++k) w.add_attempt(from + k * 10, 0, 0);
    return w;
  };
  // A core and 1 ms a read: cold it can do 300 a second, and 4 x 300 x 1.5 s tips it over.
  const Case cases[] = {
      {"served", EventSequence().add_request(0, EventKind::Served), 0, true},
      {"refused is an answer", EventSequence().add_request(0, EventKind::Refused), 0, true},
      {"lost", EventSequence().add_request(0, EventKind::Lost, 700 * kMs), 0, false},
      {"wrong", EventSequence().add_request(0, EventKind::Wrong), 0, false},
      {"never ended", EventSequence().add(0, {.kind = EventKind::TryStarted, .router = 0, .id = 1}),
       0, false},
      {"lost with its router",
       EventSequence()
           .add(5 * kMs, {.kind = EventKind::ProcessKilled, .router = 0})
           .add_request(0, EventKind::Lost),
       0, true},
      {"lost while another was killed",
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
      {"sent after it", leaves(kSecond).add_attempt(1600 * kMs, 1, 0), 2, false},
      {"sent by one who was not told", leaves(kSecond).add_attempt(1600 * kMs, 1, 1), 2, true},
      {"not told, 6 s after discovery had it", leaves(-1).add_attempt(6600 * kMs, 1, 0), 2, false},
      {"not told, nor counts it yet", leaves(-1).add_attempt(6400 * kMs, 1, 0), 2, true},
      {"discovery can't be reached",
       leaves(-1)
           .add(kMs, {.kind = EventKind::ReachabilityChanged})
           .add_attempt(20 * kSecond, 1, 0),
       2, true},
      {"6 s after it is back",
       leaves(-1)
           .add(kMs, {.kind = EventKind::ReachabilityChanged})
           .add(9 * kSecond, {.kind = EventKind::ReachabilityChanged, .flag = true})
           .add_attempt(15'600 * kMs, 1, 0),
       2, false},
      {"its own way to it is cut",
       leaves(-1)
           .add(kMs, {.kind = EventKind::ReachabilityChanged, .router = 0})
           .add_attempt(20 * kSecond, 1, 0),
       2, true},
      {"another's is",
       leaves(-1)
           .add(kMs, {.kind = EventKind::ReachabilityChanged, .router = 1})
           .add_attempt(20 * kSecond, 1, 0),
       2, false},
      {"4 s after SIGHUP with another address",
       leaves(-1)
           .add(0, {.kind = EventKind::AddressChanged, .router = 0})
           .add_attempt(4600 * kMs, 1, 0),
       2, false},
      {"nor does it count before",
       leaves(-1)
           .add(0, {.kind = EventKind::AddressChanged, .router = 0})
           .add_attempt(4400 * kMs, 1, 0),
       2, true},
      {"4 s after the first of several",
       leaves(-1)
           .add(0, {.kind = EventKind::AddressChanged, .router = 0})
           .add(2 * kSecond, {.kind = EventKind::AddressChanged, .router = 0})
           .add_attempt(4600 * kMs, 1, 0),
       2, false},
      {"another's SIGHUP",
       leaves(-1)
           .add(0, {.kind = EventKind::AddressChanged, .router = 1})
           .add_attempt(4600 * kMs, 1, 0),
       2, true},
      {"a process that starts later than it counts has the grace",
       leaves(-1)
           .add(10 * kSecond, {.kind = EventKind::ProcessStarted, .router = 0})
           .add_attempt(10'400 * kMs, 1, 0),
       2, true},
      {"and no more",
       leaves(-1)
           .add(10 * kSecond, {.kind = EventKind::ProcessStarted, .router = 0})
           .add_attempt(10'600 * kMs, 1, 0),
       2, false},
      {"told to a process that is gone",
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
      {"a cold server in bounds", cold(1700, 0), 3, true},
      {"a cold server pushed over", cold(1900, 0), 3, false},
      {"a warm one", cold(1900, 9 * kSecond), 3, true},
      {"an end that was meant",
       EventSequence().add(0, {.kind = EventKind::ProcessExited, .flag = true}), 4, true},
      {"a crash", EventSequence().add(0, {.kind = EventKind::ProcessExited, .value = 11}), 4,
       false},
  };
  Scenario s = scenario();
  RuleParameters f = rule_parameters();
  for (const Case& one : cases) {
    std::vector<Event> events = one.sequence.events;
    std::stable_sort(events.begin(), events.end(),
                     [](const Event& a, const Event& b) { return a.at < b.at; });
    Checker checker(s, f, events);
    auto rules = checker.rules();
    for (std::size_t k = 0; k < rules.size(); ++k)
      EXPECT_EQ(rules[k].held, k != one.rule || one.held) << one.name << ": " << rules[k].text;
  }
}

TEST(TierChecker, FullServiceIsServedAsBeforeAndNoLaterOverTwoSeconds) {
  struct {
    const char* name;
    Micros refused_until, late_until, full;
  } const cases[] = {{"at once", 0, 0, 0},
                     {"refusals end after 1.5 s", 1500 * kMs, 0, 1500 * kMs},
                     {"lateness ends after 2.5 s", 0, 2500 * kMs, 2500 * kMs},
                     {"never", 30 * kSecond, 0, -1}};
  for (const auto& one : cases) {
    EventSequence w;
    for (Micros at = 0; at < 20 * kSecond; at += 10 * kMs) {
      Micros since = at - 10 * kSecond;
      bool refused = since >= 0 && since < one.refused_until;
      bool late = since >= 0 && since < one.late_until;
      w.add_request(at, refused ? EventKind::Refused : EventKind::Served,
                    late ? 200 * kMs : 5 * kMs);
    }
    Scenario s = scenario();
    RuleParameters f = rule_parameters();
    Checker checker(s, f, w.events);
    Micros full = checker.time_to_full_service(10 * kSecond);
    EXPECT_NEAR(static_cast<double>(full), static_cast<double>(one.full),
                static_cast<double>(100 * kMs))
        << one.name;
  }
}

TEST(TierChecker, ClaimsComeFromTheAccount) {
  EventSequence w;
  w.add(kSecond, {.kind = EventKind::ProcessKilled, .router = 1});
  w.add_request(1500 * kMs, EventKind::Refused, kMs, 1)
      .add_request(2 * kSecond, EventKind::Served, 100 * kMs, 1);
  for (int k = 0; k < 4; ++k)
    w.add(3 * kSecond + k * 300 * kMs, {.kind = EventKind::DiscoveryCall});
  w.add_attempt(5 * kSecond, 1, 0);
  w.add(6 * kSecond, {.kind = EventKind::OriginFetches, .value = 9});
  w.add(7 * kSecond, {.kind = EventKind::ProcessStarted, .router = 1});
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
  for (const auto& one : cases) {
    Scenario s =
        parse_scenario(std::string("name = 'a'\nlasts = '20s'\n[[hold]]\n") + one.text + "\n", "f");
    RuleParameters f = rule_parameters();
    EXPECT_DOUBLE_EQ(Checker(s, f, w.events).claims().at(0).value, one.value) << one.text;
  }
}

}  // namespace
}  // namespace arrowfork::tier
