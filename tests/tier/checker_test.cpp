// Accounts written by hand: each rule and claim is seen to break, and not to break without cause.
#include "tier/checker.hpp"

#include <gtest/gtest.h>

namespace arrowfork::tier {
namespace {

using What = Event::What;
constexpr Micros kMs = kMillisecond;

Scenario scenario(Micros lasts = 20 * kSecond) {
  Scenario s;
  s.lasts = lasts;
  s.routers = 2, s.caches = 2, s.cores = 1;
  s.slack = 50 * kMs;
  return s;
}

Figures figures() {
  Figures f;
  f.read_aim = 150 * kMs, f.write_aim = 250 * kMs;
  f.drain_grace = 500 * kMs, f.tip_after = 1500 * kMs;
  f.cold_share = 0.3, f.overload_factor = 4;
  return f;
}

class Written {
 public:
  Written& note(Micros at, Event e) {
    e.at = at;
    events.push_back(e);
    return *this;
  }
  /// One first try that ends so after `took`.
  Written& request(Micros at, What end, Micros took = 10 * kMs, int router = 0) {
    std::uint64_t id = ++last;
    note(at, {.what = What::Asked,
              .router = static_cast<std::int16_t>(router),
              .id = id,
              .value = static_cast<std::int64_t>(id),
              .further = 600 * kMs});
    note(at + took, {.what = end, .id = id});
    return note(at + took, {.what = What::Done, .id = id, .flag = end == What::Served});
  }
  Written& begun(Micros at, int cache, int router) {
    std::uint64_t id = ++last;
    note(at, {.what = What::Asked,
              .router = static_cast<std::int16_t>(router),
              .id = id,
              .value = static_cast<std::int64_t>(id)});
    note(at, {.what = What::Begun, .cache = static_cast<std::int16_t>(cache), .id = id});
    return note(at, {.what = What::Served, .id = id});
  }
  std::vector<Event> events;
  std::uint64_t last = 0;
};

struct Case {
  const char* name;
  Written written;
  std::size_t rule;  // of rules()
  bool held;
};

TEST(TierChecker, JudgesTheRulesByTheAccount) {
  auto leaves = [](Micros told) {
    Written w;
    w.note(0, {.what = What::Listed, .cache = 1, .value = 5, .further = Event::Leaving});
    if (told >= 0) w.note(told, {.what = What::Told, .router = 0, .value = 5});
    return w;
  };
  auto cold = [](int count, Micros from) {
    Written w;
    w.note(0,
           {.what = What::Listed, .cache = 0, .value = 2, .further = Event::Active, .flag = true});
    for (int k = 0; k < count; ++k) w.begun(from + k * 10, 0, 0);
    return w;
  };
  // A core and 1 ms a read: cold it can do 300 a second, and 4 x 300 x 1.5 s tips it over.
  const Case cases[] = {
      {"served", Written().request(0, What::Served), 0, true},
      {"refused is an answer", Written().request(0, What::Refused), 0, true},
      {"lost", Written().request(0, What::Lost, 700 * kMs), 0, false},
      {"wrong", Written().request(0, What::Wrong), 0, false},
      {"never ended", Written().note(0, {.what = What::Asked, .router = 0, .id = 1}), 0, false},
      {"lost with its router",
       Written().note(5 * kMs, {.what = What::Killed, .router = 0}).request(0, What::Lost), 0,
       true},
      {"lost while another was killed",
       Written().note(5 * kMs, {.what = What::Killed, .router = 1}).request(0, What::Lost), 0,
       false},
      {"lost long after a kill",
       Written().note(0, {.what = What::Killed, .router = 0}).request(kSecond, What::Lost), 0,
       false},
      {"a write ran twice", Written().note(0, {.what = What::Doubled}), 1, false},
      {"sent within the grace", leaves(kSecond).begun(1400 * kMs, 1, 0), 2, true},
      {"sent after it", leaves(kSecond).begun(1600 * kMs, 1, 0), 2, false},
      {"sent by one who was not told", leaves(kSecond).begun(1600 * kMs, 1, 1), 2, true},
      {"not told, 6 s after discovery had it", leaves(-1).begun(6600 * kMs, 1, 0), 2, false},
      {"not told, nor counts it yet", leaves(-1).begun(6400 * kMs, 1, 0), 2, true},
      {"discovery can't be reached",
       leaves(-1).note(kMs, {.what = What::Reach}).begun(20 * kSecond, 1, 0), 2, true},
      {"6 s after it is back",
       leaves(-1)
           .note(kMs, {.what = What::Reach})
           .note(9 * kSecond, {.what = What::Reach, .flag = true})
           .begun(15'600 * kMs, 1, 0),
       2, false},
      {"its own way to it is cut",
       leaves(-1).note(kMs, {.what = What::Reach, .router = 0}).begun(20 * kSecond, 1, 0), 2, true},
      {"another's is",
       leaves(-1).note(kMs, {.what = What::Reach, .router = 1}).begun(20 * kSecond, 1, 0), 2,
       false},
      {"4 s after SIGHUP with another address",
       leaves(-1).note(0, {.what = What::Moved, .router = 0}).begun(4600 * kMs, 1, 0), 2, false},
      {"nor does it count before",
       leaves(-1).note(0, {.what = What::Moved, .router = 0}).begun(4400 * kMs, 1, 0), 2, true},
      {"4 s after the first of several",
       leaves(-1)
           .note(0, {.what = What::Moved, .router = 0})
           .note(2 * kSecond, {.what = What::Moved, .router = 0})
           .begun(4600 * kMs, 1, 0),
       2, false},
      {"another's SIGHUP",
       leaves(-1).note(0, {.what = What::Moved, .router = 1}).begun(4600 * kMs, 1, 0), 2, true},
      {"a process that starts later than it counts has the grace",
       leaves(-1)
           .note(10 * kSecond, {.what = What::Started, .router = 0})
           .begun(10'400 * kMs, 1, 0),
       2, true},
      {"and no more",
       leaves(-1)
           .note(10 * kSecond, {.what = What::Started, .router = 0})
           .begun(10'600 * kMs, 1, 0),
       2, false},
      {"told to a process that is gone",
       leaves(0).note(kSecond, {.what = What::Started, .router = 0}).begun(2 * kSecond, 1, 0), 2,
       true},
      {"back on the list",
       leaves(0)
           .note(kSecond, {.what = What::Listed, .cache = 1, .value = 6, .further = Event::Active})
           .begun(2 * kSecond, 1, 0),
       2, true},
      {"a cold server in bounds", cold(1700, 0), 3, true},
      {"a cold server pushed over", cold(1900, 0), 3, false},
      {"a warm one", cold(1900, 9 * kSecond), 3, true},
      {"an end that was meant", Written().note(0, {.what = What::Ended, .flag = true}), 4, true},
      {"a crash", Written().note(0, {.what = What::Ended, .value = 11}), 4, false},
  };
  Scenario s = scenario();
  Figures f = figures();
  for (const Case& one : cases) {
    std::vector<Event> events = one.written.events;
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
    Written w;
    for (Micros at = 0; at < 20 * kSecond; at += 10 * kMs) {
      Micros since = at - 10 * kSecond;
      bool refused = since >= 0 && since < one.refused_until;
      bool late = since >= 0 && since < one.late_until;
      w.request(at, refused ? What::Refused : What::Served, late ? 200 * kMs : 5 * kMs);
    }
    Scenario s = scenario();
    Figures f = figures();
    Checker checker(s, f, w.events);
    Micros full = checker.full_service(10 * kSecond);
    EXPECT_NEAR(static_cast<double>(full), static_cast<double>(one.full),
                static_cast<double>(100 * kMs))
        << one.name;
  }
}

TEST(TierChecker, ClaimsComeFromTheAccount) {
  Written w;
  w.note(kSecond, {.what = What::Killed, .router = 1});
  w.request(1500 * kMs, What::Refused, kMs, 1).request(2 * kSecond, What::Served, 100 * kMs, 1);
  for (int k = 0; k < 4; ++k) w.note(3 * kSecond + k * 300 * kMs, {.what = What::Called});
  w.begun(5 * kSecond, 1, 0);
  w.note(6 * kSecond, {.what = What::Fetched, .value = 9});
  w.note(7 * kSecond, {.what = What::Started, .router = 1});
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
    Figures f = figures();
    EXPECT_DOUBLE_EQ(Checker(s, f, w.events).claims().at(0).value, one.value) << one.text;
  }
}

}  // namespace
}  // namespace arrowfork::tier
