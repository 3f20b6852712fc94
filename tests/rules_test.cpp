#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <stdexcept>
#include <tuple>

#include "support.hpp"

namespace robinseam::test {
namespace {

std::map<std::string, std::string> homes(const Balancer& b, int keys) {
  std::map<std::string, std::string> at;
  for (int k = 0; k < keys; ++k)
    at["k" + std::to_string(k)] = b.home_server("k" + std::to_string(k));
  return at;
}

// ---- segments ----
TEST(Segments, LeavingServerMovesOnlyItsOwnKeys) {
  Balancer b(basic_settings(), 1, 0);
  auto list = fleet(10);
  b.on_list(0, ListScope::Full, list);
  auto before = homes(b, 5000);
  list[3].health = Health::Draining;
  b.on_list(1, ListScope::Delta, {list[3]});
  auto after = homes(b, 5000);
  int moved = 0;
  std::map<std::string, int> successors;
  for (auto& [key, server] : before) {
    if (server == after[key]) continue;
    EXPECT_EQ(server, list[3].id);
    ++moved;
    ++successors[after[key]];
  }
  EXPECT_NEAR(moved, 500, 100);
  EXPECT_EQ(successors.size(), 9u);  // spread over all the others
}

TEST(Segments, JoiningServerTakesOnlyItsShare) {
  Balancer b(basic_settings(), 1, 0);
  auto list = fleet(10);
  auto nine = std::vector<Server>(list.begin(), list.end() - 1);
  b.on_list(0, ListScope::Full, nine);
  auto before = homes(b, 5000);
  b.on_list(1, ListScope::Delta, {list.back()});
  auto after = homes(b, 5000);
  int moved = 0, elsewhere = 0;
  for (auto& [key, server] : before) {
    if (server == after[key]) continue;
    ++moved;
    elsewhere += after[key] != list.back().id;
  }
  EXPECT_NEAR(moved, 500, 110);
  EXPECT_LE(elsewhere, 25);  // only where two servers drew the same slot
}

TEST(Segments, KeysAreSplitByWeight) {
  Balancer b(basic_settings(), 1, 0);
  auto list = fleet(8);
  list[0].weight = 3;
  list[1].weight = 0.5;
  b.on_list(0, ListScope::Full, list);
  std::map<std::string, int> keys;
  for (auto& [key, server] : homes(b, 20000)) ++keys[server];
  double unit = 20000 / 9.5;
  EXPECT_NEAR(keys[list[0].id], 3 * unit, 0.1 * 3 * unit);
  EXPECT_NEAR(keys[list[1].id], 0.5 * unit, 0.15 * 0.5 * unit);
  EXPECT_NEAR(keys[list[5].id], unit, 0.12 * unit);
}

TEST(Segments, ListOrderDoesNotChangeTheMapping) {
  Balancer a(basic_settings(), 1, 0), b(basic_settings(), 2, 0);
  auto list = fleet(30, 1.5);
  a.on_list(0, ListScope::Full, list);
  std::vector<Server> reversed(list.rbegin(), list.rend());
  b.on_list(0, ListScope::Full, reversed);
  EXPECT_EQ(homes(a, 2000), homes(b, 2000));
}

TEST(Segments, ManyHeavyServersAllGetSlots) {
  Balancer b(basic_settings(), 1, 0);
  b.on_list(0, ListScope::Full, fleet(300, 16));
  std::set<std::string> used;
  for (auto& [key, server] : homes(b, 20000)) used.insert(server);
  EXPECT_EQ(used.size(), 300u);
}

TEST(Segments, OriginGetsNoSlots) {
  Balancer b(cache_aside_settings(), 1, 0);
  auto list = fleet(4);
  list[2].kind = "ledger";
  b.on_list(0, ListScope::Full, list);
  for (auto& [key, server] : homes(b, 1000)) EXPECT_NE(server, list[2].id);
}

TEST(Segments, DrawsPerDecisionDoNotGrowWithTheFleet) {
  auto draws = [](int servers) {
    Balancer b(basic_settings(), 1, 0);
    b.on_list(0, ListScope::Full, fleet(servers));
    for (RequestId id = 0; id < 500; ++id)
      serve(b, Micros(id) * 1000, id, "k" + std::to_string(id));
    return b.stats().draws / 500.0;
  };
  EXPECT_LT(draws(200), draws(10) + 1);  // more occupied slots need fewer draws
  EXPECT_LT(draws(10), 400);
}

// ---- saved seeds ----
TEST(SavedSeeds, HotKeyIsSpreadAndReturnsToItsHomeServer) {
  Balancer b(basic_settings(), 7, 0);
  b.on_list(0, ListScope::Full, fleet(12));
  std::set<std::string> used;
  int at_home = 0;
  for (RequestId id = 0; id < 200; ++id) {
    std::string server = serve(b, Micros(id) * 10 * kMs, id, "hot");
    used.insert(server);
    at_home += server == b.home_server("hot");
  }
  EXPECT_GE(used.size(), 8u);  // the hot key is spread
  EXPECT_GE(at_home, 5);       // and returns to its first server each time the walk restarts
}

TEST(SavedSeeds, RareKeysStayAtTheirHomeServer) {
  Balancer b(basic_settings(), 7, 0);
  b.on_list(0, ListScope::Full, fleet(12));
  int away = 0;
  for (RequestId id = 0; id < 3000; ++id) {
    std::string key = "k" + std::to_string(id % 600);
    away += serve(b, Micros(id) * 10 * kMs, id, key) != b.home_server(key);
  }
  EXPECT_LT(away, 60);
}

// Guards against a server that stays hot because of several moderately popular keys, none of which
// would be spread on its own.
TEST(SavedSeeds, KeysOfAHotServerAreSpreadFurther) {
  Settings s = basic_settings();
  s.report_fields = {ReportField::Utilization};
  Balancer b(s, 7, 0);
  b.on_list(0, ListScope::Full, fleet(40));
  std::string home = b.home_server("k1");
  Micros now = 0;
  auto count_away = [&](double load) {
    int count = 0;
    for (RequestId k = 0; k < 2000; ++k, now += 10 * kMs) {
      RequestId id = static_cast<RequestId>(now);
      std::string key = k % 50 == 0 ? "k1" : "r" + std::to_string(id);
      std::string server = sent_to(b.on_request(now, read_request(id, key)));
      count += k % 50 == 0 && server != home;
      Outcome o = outcome_of(id, server, Status::Ok);
      o.report = {server == home ? load : 0.3};
      b.on_outcome(now, o);
    }
    return count;
  };
  // 2% of the traffic: over a fair share of 2.5% times kMaxKeyShare, so two servers.
  int normal = count_away(0.3);
  EXPECT_LE(normal, 25);
  EXPECT_GE(count_away(0.99), normal + 5);
}

// Guards against a server never recovering the keys it gave up for a rejection when it reports no
// load.
TEST(Health, EffectOfARejectionDecays) {
  Balancer b(basic_settings(), 7, 0);
  auto list = fleet(6);
  b.on_list(0, ListScope::Full, list);
  Micros now = 0;
  RequestId id = 0;
  for (; id < 200; ++id, now += 10 * kMs) {
    std::string server = sent_to(b.on_request(now, read_request(id, "k" + std::to_string(id))));
    std::string next = sent_to(b.on_outcome(
        now, outcome_of(id, server, server == list[0].id ? Status::Rejected : Status::Ok)));
    if (!next.empty()) b.on_outcome(now, outcome_of(id, next, Status::Ok, 1));
  }
  double part = b.live_fraction(list[0].id);
  EXPECT_LT(part, 0.8);
  for (Micros end = now + 60 * kS; now < end; ++id, now += 50 * kMs)
    serve(b, now, id, "k" + std::to_string(id));
  EXPECT_GT(b.live_fraction(list[0].id), 0.9);
}

// Guards against second and third replicas of keys that were requested twice by chance: their
// fetches overloaded the origin.
TEST(SavedSeeds, TwoRequestsForAKeyStayAtItsHomeServer) {
  Balancer b(basic_settings(), 7, 0);
  b.on_list(0, ListScope::Full, fleet(12));
  for (RequestId id = 0; id < 2000; ++id) {
    std::string key = "k" + std::to_string(id / 2);
    EXPECT_EQ(serve(b, Micros(id) * 10 * kMs, id, key), b.home_server(key));
  }
}

// Guards against six in ten attempts going to other zones with a hundred routers, each of which
// sees nearly all of its keys once. With a dozen routers, a key seen once goes to its home server.
TEST(ZoneAffinity, KeySeenOnceStaysInTheZoneWhenManyRoutersShareTheTraffic) {
  for (auto [routers, least, most] :
       {std::tuple{1, 0.55, 0.75}, {14, 0.55, 0.75}, {100, 0.0, 0.2}}) {
    Settings s = basic_settings();
    s.cross_zone_charge = 0.12;
    s.zones = {"a", "b", "c"};
    s.routers = routers;
    Balancer b(s, 7, 0);
    auto list = fleet(30);
    for (std::size_t k = 0; k < list.size(); ++k) list[k].zone = s.zones[k % 3];
    b.on_list(0, ListScope::Full, list);
    std::map<std::string, std::string> zones;
    for (const Server& server : list) zones[server.id] = server.zone;
    int foreign = 0;
    for (RequestId id = 0; id < 1000; ++id)
      foreign += zones[serve(b, Micros(id) * 10 * kMs, id, "once" + std::to_string(id))] != "a";
    EXPECT_GE(foreign, least * 1000) << routers;
    EXPECT_LE(foreign, most * 1000) << routers;
  }
}

// Guards against losing the zone affinity when the whole fleet gives up a part of its keys: half of
// all requests then went to other zones that were in no better state.
TEST(ZoneAffinity, DependsOnWhatTheOwnZoneGivesUpBeyondTheFleet) {
  struct Case {
    const char* cold;  // zones whose servers have just started, so their live fraction is below 1
    double least, most;
  };
  for (const Case& c :
       {Case{"", 0.85, 0.95}, {"abc", 0.85, 0.95}, {"bc", 0.85, 0.95}, {"a", 0, 0.3}}) {
    Settings s = basic_settings();
    s.cross_zone_charge = 0.12;
    s.zones = {"a", "b", "c"};
    s.routers = 100;
    Balancer b(s, 7, 0);
    auto list = fleet(30);
    for (std::size_t k = 0; k < list.size(); ++k) {
      list[k].zone = s.zones[k % 3];
      if (std::string(c.cold).find(list[k].zone) != std::string::npos) list[k].up_since = 1;
    }
    b.on_list(1, ListScope::Full, list);
    serve(b, kMs, 1, "k");
    EXPECT_GE(b.stats().zone_affinity, c.least) << c.cold;
    EXPECT_LE(b.stats().zone_affinity, c.most) << c.cold;
  }
}

TEST(SavedSeeds, MemoryIsBoundedUnderAScan) {
  Settings s = basic_settings();
  s.cross_zone_charge = 0.1;
  s.zones = {"a", "b"};
  Balancer b(s, 7, 0);
  b.on_list(0, ListScope::Full, fleet(12));
  for (RequestId id = 0; id < 50'000; ++id)
    serve(b, Micros(id) * 100, id, "once" + std::to_string(id));
  EXPECT_EQ(b.stats().open_requests, 0u);
  EXPECT_LE(b.stats().saved_seeds, 100u);
  EXPECT_LE(b.stats().tracked_keys, 9000u);
}

// ---- the list ----
TEST(List, GoneServersAreErasedWithDeltasAlone) {
  Balancer b(basic_settings(), 7, 0);
  auto list = fleet(8);
  b.on_list(0, ListScope::Full, list);
  RequestId id = 0;
  for (int k = 0; k < 500; ++k) {
    Micros now = k * 20 * kMs;
    Server gone = list[k % 8];
    gone.health = Health::Gone;
    list[k % 8].id = "new-" + std::to_string(k);
    b.on_list(now, ListScope::Delta, {list[k % 8], gone});
    EXPECT_FALSE(serve(b, now, id, "k" + std::to_string(id % 30)).empty());
    ++id;
    EXPECT_LE(b.stats().servers, 8u);
  }
}

TEST(List, GoneServerIsKeptUntilItsAttemptEnds) {
  Balancer b(basic_settings(), 7, 0);
  auto list = fleet(1);
  b.on_list(0, ListScope::Full, list);
  ASSERT_FALSE(b.on_request(0, read_request(1, "k")).empty());
  Server gone = list[0], other = list[0];
  gone.health = Health::Gone;
  other.id = "other";
  b.on_list(kMs, ListScope::Delta, {gone, other});
  EXPECT_EQ(b.stats().servers, 2u);
  Outcome end;
  end.id = 1;
  end.server = list[0].id;
  end.finished = true;
  b.on_outcome(2 * kMs, end);
  b.on_list(3 * kMs, ListScope::Delta, {});
  EXPECT_EQ(b.stats().servers, 1u);
  EXPECT_EQ(b.stats().open_requests, 0u);
}

// ---- server health ----
TEST(Health, FailedConnectionsTakeAServerDownAndItReturns) {
  Balancer b(basic_settings(), 7, 0);
  auto list = fleet(6);
  b.on_list(0, ListScope::Full, list);
  Micros now = 0;
  RequestId id = 0;
  int failed = 0;
  std::string bad = list[2].id;
  for (; id < 300; ++id, now += 10 * kMs) {
    std::string server = sent_to(b.on_request(now, read_request(id, "k" + std::to_string(id))));
    if (server != bad) {
      b.on_outcome(now, outcome_of(id, server, Status::Ok));
      continue;
    }
    ++failed;
    std::string next = sent_to(b.on_outcome(now, outcome_of(id, server, Status::ConnectFailed)));
    ASSERT_NE(next, "");
    EXPECT_NE(next, bad);
    b.on_outcome(now, outcome_of(id, next, Status::Ok, 1));
  }
  EXPECT_LE(failed, 8);
  EXPECT_GE(failed, 2);
  // It answers again and is fully live within seconds.
  for (; id < 4000; ++id, now += 10 * kMs) serve(b, now, id, "k" + std::to_string(id));
  EXPECT_EQ(b.live_fraction(bad), 1);
}

// Guards against errors of an overloaded origin taking down one healthy server after another: their
// keys then miss elsewhere and add load on the origin.
TEST(Health, ErrorsAtEveryServerTakeNoneDown) {
  Balancer b(basic_settings(), 7, 0);
  auto list = fleet(6);
  b.on_list(0, ListScope::Full, list);
  for (RequestId id = 0; id < 600; ++id)
    serve(b, Micros(id) * 10 * kMs, id, "k" + std::to_string(id),
          id % 2 ? Status::Error : Status::Ok);
  int live = 0;
  for (const Server& s : list) live += b.live_fraction(s.id) > 0.5;
  EXPECT_GE(live, 5);
}

TEST(Health, RequestsAreServedAfterNearlyEveryServerLookedDown) {
  Balancer b(basic_settings(), 7, 0);
  b.on_list(0, ListScope::Full, fleet(6));
  Micros now = 0;
  RequestId id = 0;
  for (; id < 200; ++id, now += 10 * kMs)
    end_all_attempts(b, now, id, "k" + std::to_string(id), Status::ConnectFailed);
  // They answer again: within eight seconds nearly all requests are served.
  int served = 0;
  for (RequestId end = id + 1000; id < end; ++id, now += 10 * kMs)
    served += !serve(b, now, id, "k" + std::to_string(id)).empty() && id >= end - 200;
  EXPECT_GE(served, 190);
}

TEST(Health, SlowServerLosesPartOfItsKeys) {
  Balancer b(basic_settings(), 7, 0);
  auto list = fleet(6);
  b.on_list(0, ListScope::Full, list);
  Micros now = 0;
  for (RequestId id = 0; id < 1500; ++id, now += 10 * kMs) {
    std::string server = sent_to(b.on_request(now, read_request(id, "k" + std::to_string(id))));
    ASSERT_NE(server, "");
    b.on_outcome(
        now, outcome_of(id, server, Status::Ok, 0, server == list[1].id ? 120 * kMs : 20 * kMs));
  }
  EXPECT_LT(b.live_fraction(list[1].id), 0.7);
  EXPECT_GT(b.live_fraction(list[1].id), 0.0);
  EXPECT_GT(b.live_fraction(list[2].id), 0.9);
}

// Guards against warm servers that shed load overloading a cold one until it fails.
TEST(Health, ColdServerIsLimitedToItsShare) {
  Settings s = basic_settings();
  s.report_fields = {ReportField::Utilization};
  Balancer b(s, 7, 0);
  auto list = fleet(8);
  b.on_list(0, ListScope::Full, list);
  Micros now = 0;
  RequestId id = 0;
  auto step = [&](int& cold_sends) {
    std::string server = sent_to(b.on_request(now, read_request(id, "k" + std::to_string(id))));
    if (server.empty()) return;
    cold_sends += server == list[0].id;
    Outcome o = outcome_of(id, server, Status::Ok);
    o.report = {0.99};  // every warm server is hot
    if (server == list[0].id) o.report = {0.1};
    b.on_outcome(now, o);
  };
  int ignored = 0;
  for (; id < 1000; ++id, now += 10 * kMs) step(ignored);
  list[0].up_since = now;
  b.on_list(now, ListScope::Delta, {list[0]});
  int cold_sends = 0;
  for (int k = 0; k < 150; ++k, ++id, now += 10 * kMs) step(cold_sends);
  // Fair share of 150 requests over 8 servers is 19; at 0.3 to 0.43 of its capacity, 7.
  EXPECT_LE(cold_sends, 12);
  EXPECT_GE(cold_sends, 1);
}

// Guards against servers judged down because all of them send a malformed answer now and then.
TEST(Health, OnlyAServerWithNothingButMalformedAnswersIsTakenDown) {
  for (bool always : {false, true}) {
    Balancer b(basic_settings(), 7, 0);
    auto list = fleet(6);
    b.on_list(0, ListScope::Full, list);
    std::string bad = list[2].id;
    int seen = 0, second_half_at_bad = 0, down = 0;
    for (RequestId id = 0; id < 600; ++id) {
      Micros now = Micros(id) * 10 * kMs;
      std::string server = sent_to(b.on_request(now, read_request(id, "k" + std::to_string(id))));
      if (server.empty()) continue;
      seen += server == bad;
      second_half_at_bad += server == bad && id >= 300;
      // Two in a row of every eight: two resets in a row would have taken it down.
      bool malformed = server == bad && (always || seen % 8 < 2);
      std::string other = sent_to(
          b.on_outcome(now, outcome_of(id, server, malformed ? Status::Malformed : Status::Ok)));
      if (!other.empty()) b.on_outcome(now, outcome_of(id, other, Status::Ok, 1));
      down += b.live_fraction(bad) < 0.1;
    }
    if (always) {
      EXPECT_GT(down, 300);
      EXPECT_LT(second_half_at_bad, 10);
    } else {
      EXPECT_EQ(down, 0);
      EXPECT_GT(second_half_at_bad, 30);
    }
  }
}

// ---- admission ----
/// Ends each attempt some time after it was sent, in order of time. `end` gives the status and the
/// latency of every attempt for a key, including further attempts.
class DelayedServers {
 public:
  using End = std::function<std::pair<Status, Micros>(const std::string& key)>;
  DelayedServers(Balancer& b, End end) : b_(b), end_(std::move(end)) {}
  /// False when the request was shed at admission.
  bool request(Micros now, RequestId id, const std::string& key) {
    run(now);
    Actions a = b_.on_request(now, read_request(id, key, 600 * kMs));
    if (sent_to(a).empty()) return false;
    schedule_end(now, id, key, 0, a);
    return true;
  }
  int further_attempts = 0;

 private:
  void schedule_end(Micros now, RequestId id, const std::string& key, int attempt,
                    const Actions& a) {
    std::string server = sent_to(a);
    if (server.empty()) return;
    further_attempts += attempt > 0;
    auto [status, after] = end_(key);
    Outcome o = outcome_of(id, server, status, attempt, after);
    o.cache_result = status != Status::Ok ? 0 : key[0] == 'h' ? 1 : 2;  // 'h': cached keys
    due_.emplace(now + after, std::make_pair(o, key));
  }
  void run(Micros now) {
    while (!due_.empty() && due_.begin()->first <= now) {
      auto [when, end] = *due_.begin();
      due_.erase(due_.begin());
      schedule_end(when, end.first.id, end.second, end.first.attempt + 1,
                   b_.on_outcome(when, end.first));
    }
  }
  Balancer& b_;
  End end_;
  std::multimap<Micros, std::pair<Outcome, std::string>> due_;
};

std::string server_id(int k) { return "10.0.0." + std::to_string(k) + ":80"; }

/// Six servers, 100 requests per second, each key requested four times; the first `bad` servers end
/// four of five attempts with `status`. Returns the share shed in the second half of 10 s.
double shed_share(Balancer& b, Micros& now, RequestId& id, int bad, Status status) {
  std::map<std::string, int> asked;
  double refused = 0;
  for (int k = 0; k < 1000; ++k, ++id, now += 10 * kMs) {
    std::string server =
        sent_to(b.on_request(now, read_request(id, "k" + std::to_string(id % 250))));
    refused += server.empty() && k >= 500;
    for (int attempt = 0; !server.empty(); ++attempt) {
      bool fails = server < "10.0.0." + std::to_string(bad) && ++asked[server] % 5 > 0;
      Outcome end = outcome_of(id, server, fails ? status : Status::Ok, attempt);
      end.report = {0.3};
      server = sent_to(b.on_outcome(now, end));
    }
  }
  return refused / 500;
}

// Guards against servers that fail most requests, in whatever form, and serve the rest: each
// success cleared their suspicion, and their failures made the router shed requests while the other
// servers had spare capacity.
TEST(Health, OutliersLoseTheirKeysCauseNoSheddingAndReturn) {
  for (Status status : {Status::Rejected, Status::Error, Status::Timeout, Status::Reset}) {
    Settings s = basic_settings();
    s.report_fields = {ReportField::Utilization};
    Balancer b(s, 7, 0);
    b.on_list(0, ListScope::Full, fleet(6));
    Micros now = 0;
    RequestId id = 0;
    EXPECT_LT(shed_share(b, now, id, 3, status), 0.02) << int(status);
    double live = 0;
    for (int k = 0; k < 3; ++k) live += b.live_fraction(server_id(k));
    EXPECT_LT(live / 3, 0.5) << int(status);
    for (int k = 3; k < 6; ++k) EXPECT_GT(b.live_fraction(server_id(k)), 0.9) << int(status);
    for (int k = 0; k < 2; ++k) shed_share(b, now, id, 0, status);  // longer than kMaxDownTime
    for (int k = 0; k < 6; ++k) EXPECT_GT(b.live_fraction(server_id(k)), 0.9) << int(status);
  }
}

// Guards against keys leaving a healthy server, and retries being denied, because idle connections
// of other routers use up its connection limit.
TEST(Health, ServerAtItsConnectionLimitIsNotFaulty) {
  for (Status status : {Status::ConnectionLimit, Status::Rejected, Status::ConnectFailed}) {
    Balancer b(basic_settings(), 1, 0);
    auto list = fleet(6);
    b.on_list(0, ListScope::Full, list);
    RequestId id = 0;
    int served = 0, asked = 0;
    for (Micros now = 0; now < 5 * kS; now += 20 * kMs) {
      ++id, ++asked;
      std::string server = sent_to(b.on_request(now, read_request(id, "k" + std::to_string(id))));
      for (int attempt = 0; !server.empty(); ++attempt) {
        // Half of the attempts at the first server fail while its cores are half idle.
        bool fails = server == list[0].id && id % 2 == 0;
        Outcome o = outcome_of(id, server, fails ? status : Status::Ok, attempt);
        served += !fails;
        server = sent_to(b.on_outcome(now, o));
      }
    }
    bool connection_limit = status == Status::ConnectionLimit;
    EXPECT_EQ(b.live_fraction(list[0].id) >= 0.99, connection_limit) << static_cast<int>(status);
    EXPECT_GE(served, asked - (connection_limit ? 0 : asked / 4)) << static_cast<int>(status);
  }
}

// Guards against a busy server that rejects one in twenty requests losing nearly all its keys: each
// rejection counted for 15 s and its many successes did not count.
TEST(Health, KeysLostByABusyServerDependOnItsShareOfRejections) {
  Settings s = basic_settings();
  s.report_fields = {ReportField::Utilization};
  Balancer b(s, 7, 0);
  b.on_list(0, ListScope::Full, fleet(6));
  std::map<std::string, int> asked;
  for (RequestId id = 0; id < 2000; ++id) {
    Micros now = Micros(id) * 10 * kMs;
    std::string server =
        sent_to(b.on_request(now, read_request(id, "k" + std::to_string(id % 250))));
    for (int attempt = 0; !server.empty(); ++attempt) {
      bool full = ++asked[server] % 20 == 0;
      Outcome end = outcome_of(id, server, full ? Status::Rejected : Status::Ok, attempt);
      end.report = {0.8};
      server = sent_to(b.on_outcome(now, end));
    }
  }
  for (int k = 0; k < 6; ++k) EXPECT_GT(b.live_fraction(server_id(k)), 0.6);
}

// Guards against live fractions being cut when all servers fail alike, which moves keys for
// nothing.
TEST(Health, NoServerIsAnOutlierWhenAllFailAlike) {
  Balancer b(basic_settings(), 7, 0);
  b.on_list(0, ListScope::Full, fleet(6));
  Micros now = 0;
  RequestId id = 0;
  shed_share(b, now, id, 6, Status::Error);
  for (int k = 0; k < 6; ++k) EXPECT_GT(b.live_fraction(server_id(k)), 0.7);
}

// Guards against refusals without a retry time, or all with the same one, whose clients then retry
// all at once.
TEST(Admission, RetryTimesOfRefusalsAreSpread) {
  Settings s = basic_settings();
  s.max_retry_after = kS;
  Balancer b(s, 7, 0);
  EXPECT_LE(all<Refuse>(b.on_request(0, read_request(1, "k"))).at(0).retry_after,
            50 * kMs);  // nothing is shed yet
  b.on_list(0, ListScope::Full, fleet(6));
  std::set<Micros> waits;
  for (RequestId id = 2; id < 1200; ++id)  // never answered
    if (auto refusals =
            all<Refuse>(b.on_request(Micros(id) * kMs, read_request(id, std::to_string(id))));
        !refusals.empty() && id > 600)
      waits.insert(refusals[0].retry_after);
  ASSERT_GT(waits.size(), 200u);
  EXPECT_GT(*waits.begin(), 100 * kMs);
  EXPECT_GT(*waits.rbegin(), *waits.begin() * 3 / 2);
  EXPECT_LE(*waits.rbegin(), kS);
}

// Guards against shedding hits along with misses when only the origin is overloaded, and against
// retries of the fetches that overload it.
TEST(Admission, CachedKeysAreAdmittedWhileFetchesFail) {
  Settings settings = basic_settings();
  settings.routers = 8;  // each may always have one fetch in flight
  Balancer b(settings, 7, 0);
  b.on_list(0, ListScope::Full, fleet(6));
  DelayedServers servers(b, [](const std::string& key) {
    return key[0] == 'h' ? std::pair(Status::Ok, 5 * kMs) : std::pair(Status::Timeout, 500 * kMs);
  });
  Micros now = 0;
  int cached_admitted = 0, uncached_admitted = 0;
  for (RequestId id = 0; id < 3200; ++id, now += 5 * kMs) {
    bool cached = id % 2 == 0;
    bool admitted =
        servers.request(now, id, (cached ? "h" + std::to_string(id % 40) : std::to_string(id)));
    if (id < 1600) continue;
    (cached ? cached_admitted : uncached_admitted) += admitted;
    if (id == 1600) servers.further_attempts = 0;
  }
  EXPECT_EQ(cached_admitted, 800);
  EXPECT_LE(uncached_admitted, 60);
  EXPECT_GE(uncached_admitted, 8);  // some are admitted to find out when the origin recovers
  EXPECT_LE(servers.further_attempts, 4);
}

// Guards against malformed answers and broken connections counting as overload: their retries
// stopped with the first request that was shed.
TEST(Admission, BrokenConnectionsCauseNoShedding) {
  Balancer b(basic_settings(), 7, 0);
  b.on_list(0, ListScope::Full, fleet(6));
  int unsent = 0, retried = 0;
  for (RequestId id = 0; id < 1600; ++id) {
    Micros now = Micros(id) * 10 * kMs;
    std::string key = "k" + std::to_string(id);
    if (id % 4 > 0) {
      unsent += serve(b, now, id, key).empty();
      continue;
    }
    std::string server = sent_to(b.on_request(now, read_request(id, key)));
    unsent += server.empty();
    std::string other = sent_to(b.on_outcome(now, outcome_of(id, server, Status::Reset)));
    if (other.empty()) continue;
    ++retried;
    b.on_outcome(now, outcome_of(id, other, Status::Ok, 1));
  }
  EXPECT_EQ(unsent, 0);
  EXPECT_GE(retried, 100);  // 3 tokens per 100 requests pay for about 7 of them
}

// Guards against slow fetches causing shedding while the servers are idle: when a third of them
// takes 200 ms at any load, fewer fetches in flight do not help.
TEST(Admission, FetchesThatAreSlowAtAnyLoadCauseNoShedding) {
  Balancer b(basic_settings(), 7, 0);
  b.on_list(0, ListScope::Full, fleet(6));
  DelayedServers servers(b, [](const std::string& key) {
    return std::pair(Status::Ok, (key.back() % 3 ? 20 : 200) * kMs);
  });
  int refused = 0;
  for (RequestId id = 0; id < 4000; ++id)
    refused += !servers.request(Micros(id) * 20 * kMs, id, "k" + std::to_string(id));
  EXPECT_LE(refused, 40);
}

// ---- attempts ----
TEST(Attempts, RequestIsRefusedAtOnceWithoutServers) {
  Balancer b(basic_settings(), 7, 0);
  Actions a = b.on_request(0, read_request(1, "k"));
  EXPECT_EQ(all<Refuse>(a).size(), 1u);
  EXPECT_TRUE(all<Send>(a).empty());
}

TEST(Attempts, DeadlineTimerAnswersBeforeTheClientGivesUp) {
  Settings s = basic_settings();
  s.classes[0].late_worth = 0.3;
  Balancer b(s, 7, 0);
  b.on_list(0, ListScope::Full, fleet(3));
  Actions a = b.on_request(0, read_request(1, "k", 100 * kMs));
  Micros last = 0;
  std::uint64_t token = 0;
  for (const Timer& t : all<Timer>(a))
    if (t.delay > last) last = t.delay, token = t.token;
  EXPECT_LT(last, 100 * kMs);
  EXPECT_GT(last, 80 * kMs);
  Actions end = b.on_timer(last, token);
  EXPECT_EQ(all<Refuse>(end).size(), 1u);
  EXPECT_EQ(all<Cancel>(end).size(), 1u);
  EXPECT_TRUE(b.on_timer(last, token).empty());
}

Settings with_effect(Effect effect, Group group) {
  Settings s = basic_settings();
  s.classes[0].effect = effect;
  s.classes[0].group = group;
  s.classes[0].key_ttl = 5 * kS;
  return s;
}

TEST(Attempts, OnceRequestIsNotRepeatedWhenItMayHaveRun) {
  Balancer b(with_effect(Effect::Once, Group::All), 7, 0);
  b.on_list(0, ListScope::Full, fleet(3));
  std::string server = sent_to(b.on_request(0, read_request(1, "k")));
  Actions a = b.on_outcome(1000, outcome_of(1, server, Status::Reset));
  EXPECT_TRUE(all<Send>(a).empty());
  EXPECT_TRUE(all<Refuse>(a).empty());
  EXPECT_EQ(all<Fail>(a).size(), 1u);
}

// Guards against every failed fetch being retried at another server, which kept an origin
// overloaded that would have recovered.
TEST(Attempts, ErrorsAreRetriedWhileRareOrFromOneFaultyServer) {
  Balancer b(basic_settings(), 7, 0);
  auto list = fleet(6);
  b.on_list(0, ListScope::Full, list);
  Micros now = 0;
  RequestId id = 0;
  int retried = 0, errors = 0;
  auto run = [&](auto fails) {
    retried = errors = 0;
    for (int k = 0; k < 400; ++k, ++id, now += 10 * kMs) {
      std::string server = sent_to(b.on_request(now, read_request(id, "k" + std::to_string(id))));
      if (server.empty()) continue;
      bool error = fails(server, k);
      errors += error;
      Actions a = b.on_outcome(now, outcome_of(id, server, error ? Status::Error : Status::Ok));
      if (std::string next = sent_to(a); !next.empty())
        ++retried, b.on_outcome(now, outcome_of(id, next, Status::Ok, 1));
    }
  };
  run([&](const std::string&, int k) { return k == 2; });
  EXPECT_EQ(retried, 1);  // three attempts say nothing about the fleet
  run([&](const std::string&, int k) { return k % 12 == 0; });
  EXPECT_GE(errors, 30);
  EXPECT_LE(retried, 20);  // what the retry budget allows
  run([&](const std::string&, int k) { return k % 2 == 0; });
  EXPECT_LE(retried, 4);
  run([&](const std::string&, int) { return false; });
  run([&](const std::string& server, int) { return server == list[1].id; });
  EXPECT_GE(retried, 2);
}

TEST(Attempts, OnceRequestIsRetriedWhenItDidNotRun) {
  Balancer b(with_effect(Effect::Once, Group::All), 7, 0);
  b.on_list(0, ListScope::Full, fleet(3));
  std::string server = sent_to(b.on_request(0, read_request(1, "k")));
  std::string next = sent_to(b.on_outcome(1000, outcome_of(1, server, Status::Rejected)));
  EXPECT_NE(next, "");
  EXPECT_NE(next, server);
}

TEST(Attempts, RequestKeyedByZoneIsRetriedInTheSameZone) {
  auto list = fleet(6);
  for (int k = 3; k < 6; ++k) list[k].zone = "b";
  std::map<std::string, std::string> zone_of;
  for (const Server& s : list) zone_of[s.id] = s.zone;
  for (RequestId id = 1; id < 40; ++id) {
    Balancer b(with_effect(Effect::Keyed, Group::Zone), id, 0);
    b.on_list(0, ListScope::Full, list);
    std::string server = sent_to(b.on_request(0, read_request(id, "k" + std::to_string(id))));
    Actions a = b.on_outcome(1000, outcome_of(id, server, Status::Reset));
    ASSERT_EQ(all<Send>(a).size(), 1u);
    EXPECT_EQ(zone_of[sent_to(a)], zone_of[server]);
    a = b.on_timer(480 * kMs, id << 2);  // a refusal is not allowed: it may have run
    EXPECT_TRUE(all<Refuse>(a).empty());
  }
}

TEST(Attempts, RequestKeyedByCellIsNotRepeatedWithoutCells) {
  Balancer b(with_effect(Effect::Keyed, Group::Cell), 7, 0);
  b.on_list(0, ListScope::Full, fleet(6));
  std::string server = sent_to(b.on_request(0, read_request(1, "k")));
  Actions a = b.on_outcome(1000, outcome_of(1, server, Status::Reset));
  EXPECT_TRUE(all<Send>(a).empty());
  EXPECT_EQ(all<Fail>(a).size(), 1u);
}

TEST(Attempts, KeyedRequestIsNotRepeatedPastItsKeyTtl) {
  Settings s = with_effect(Effect::Keyed, Group::All);
  s.classes[0].key_ttl = 100 * kMs;
  Balancer b(s, 7, 0);
  b.on_list(0, ListScope::Full, fleet(6));
  std::string server = sent_to(b.on_request(0, read_request(1, "k", 900 * kMs)));
  Actions a = b.on_outcome(200 * kMs, outcome_of(1, server, Status::Timeout));
  EXPECT_TRUE(all<Send>(a).empty());
  EXPECT_EQ(all<Refuse>(a).size(), 1u);
}

TEST(Attempts, RetriesStayWithinTheBudget) {
  Balancer b(basic_settings(), 7, 0);
  b.on_list(0, ListScope::Full, fleet(10));
  int first = 0, further = 0;
  Micros now = 0;
  for (RequestId id = 0; id < 1000; ++id, now += 5 * kMs) {
    int attempts = end_all_attempts(b, now, id, "k" + std::to_string(id), Status::Timeout);
    first += attempts > 0;
    further += std::max(0, attempts - 1);
  }
  EXPECT_GT(first, 50);
  EXPECT_LE(further, 120);
}

TEST(Attempts, CallsWithUnknownIdsAreIgnored) {
  Balancer b(basic_settings(), 7, 0);
  b.on_list(0, ListScope::Full, fleet(3));
  EXPECT_TRUE(b.on_outcome(0, outcome_of(9, "10.0.0.1:80", Status::Ok)).empty());
  EXPECT_TRUE(b.on_client_gone(0, 9).empty());
  EXPECT_TRUE(b.on_timer(0, 12345).empty());
  EXPECT_TRUE(b.on_probe_result(0, "nobody", Status::Ok, 0, {1}).empty());
  std::string server = sent_to(b.on_request(0, read_request(1, "k")));
  EXPECT_TRUE(b.on_request(0, read_request(1, "k")).empty());
  EXPECT_TRUE(b.on_outcome(0, outcome_of(1, server, Status::Ok, 7)).empty());
  EXPECT_TRUE(b.on_outcome(0, outcome_of(1, server, Status::Ok, -1)).empty());
}

TEST(Attempts, CacheAsideMissesAndWritesGoToTheOrigin) {
  Balancer b(cache_aside_settings(), 7, 0);
  auto list = fleet(5);
  list[4].kind = "ledger";
  b.on_list(0, ListScope::Full, list);
  std::string cache = sent_to(b.on_request(0, read_request(1, "k")));
  EXPECT_NE(cache, list[4].id);
  EXPECT_EQ(sent_to(b.on_outcome(1, outcome_of(1, cache, Status::Miss))), list[4].id);
  Request write = read_request(2, "k");
  write.write = true;
  EXPECT_EQ(sent_to(b.on_request(2, write)), list[4].id);
}

// ---- list ----
TEST(List, NoRequestGoesToADrainingGoneOrUnlistedServer) {
  Balancer b(basic_settings(), 7, 0);
  auto list = fleet(4);
  b.on_list(0, ListScope::Full, list);
  list[0].health = Health::Draining;
  list[1].health = Health::Gone;
  b.on_list(1, ListScope::Delta, {list[0], list[1]});
  b.on_list(2, ListScope::Failed, {});
  for (RequestId id = 0; id < 300; ++id) {
    std::string server = serve(b, 3 + Micros(id) * kMs, id, "k" + std::to_string(id));
    EXPECT_TRUE(server == list[2].id || server == list[3].id) << server;
  }
  b.on_list(kS, ListScope::Full, {list[3]});
  for (RequestId id = 300; id < 400; ++id)
    EXPECT_EQ(serve(b, kS + Micros(id) * kMs, id, "k" + std::to_string(id)), list[3].id);
}

TEST(List, RoutersSpreadTheirPollsAndPollAgainAfterAFailure) {
  Settings s = basic_settings();
  s.poll_list = true;
  s.routers = 300;
  std::set<Micros> starts;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    Balancer b(s, seed, 0);
    auto timers = all<Timer>(b.start(0));
    ASSERT_EQ(timers.size(), 1u);
    EXPECT_LT(timers[0].delay, s.max_poll_delay / 2);
    starts.insert(timers[0].delay / (100 * kMs));
  }
  EXPECT_GE(starts.size(), 10u);

  Balancer b(s, 3, 0);
  Timer t = all<Timer>(b.start(0))[0];
  Micros now = 0;
  for (int k = 0; k < 10; ++k) {
    now += t.delay;
    Actions a = b.on_timer(now, t.token);
    EXPECT_EQ(all<WatchList>(a).size(), 1u);
    auto again = all<Timer>(b.on_list(now, ListScope::Failed, {}));
    ASSERT_EQ(again.size(), 1u);
    t = again[0];
    EXPECT_LE(t.delay, s.max_poll_delay);
  }
  now += t.delay;
  Actions a = b.on_timer(now, t.token);
  b.on_list(now, ListScope::Full, fleet(3));
  EXPECT_TRUE(b.on_timer(now + s.max_poll_delay, all<Timer>(a)[0].token)
                  .empty());  // watching: no further polls
}

// ---- settings ----
TEST(SettingsCheck, ErrorNamesTheUnusableSetting) {
  auto message = [](auto change) -> std::string {
    Settings s = basic_settings();
    change(s);
    try {
      Balancer b(s, 1, 0);
    } catch (const std::invalid_argument& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_NE(message([](Settings& s) { s.classes.clear(); }).find("classes"), std::string::npos);
  EXPECT_NE(message([](Settings& s) { s.cold_time = -1; }).find("cold_time"), std::string::npos);
  EXPECT_NE(message([](Settings& s) { s.cold_share = 1.5; }).find("cold_share"), std::string::npos);
  EXPECT_NE(message([](Settings& s) { s.classes[0].worth = 0.0 / 0.0; }).find("worth"),
            std::string::npos);
  EXPECT_EQ(message([](Settings& s) { s.zone = "elsewhere"; }), "");
}

}  // namespace
}  // namespace robinseam::test
