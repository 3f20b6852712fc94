// What a few answers tell about a kind of server, and which requests are sent to a faster kind.
#include "limits/server_kind_speeds.hpp"

#include <gtest/gtest.h>

#include "../support.hpp"

namespace robinseam::limits {
namespace {

using test::kMs;

TEST(ServerKindSpeeds, AGainIsFoundWhereTheObjectiveLiesBetweenTheKinds) {
  ServerKindSpeeds p;
  for (int k = 0; k < 40; ++k)
    p.record_answer("quick", 30 * kMs, 30 * kMs), p.record_answer("slow", 30 * kMs, 60 * kMs);
  struct Case {
    const char* kind;
    Micros work, aim;
    double least, most;
  };
  for (const Case& c : {Case{"slow", 30 * kMs, 150 * kMs, 0, 0.05},  // in time anywhere
                        {"slow", 100 * kMs, 150 * kMs, 0.4, 0.9},    // only at the fast kind
                        {"slow", 900 * kMs, 150 * kMs, 0, 0.05},     // late anywhere
                        {"quick", 100 * kMs, 150 * kMs, 0, 0},       // it is the fastest
                        {"unseen", 100 * kMs, 150 * kMs, 0, 0},      // nothing is known
                        {"slow", 0, 150 * kMs, 0, 0},
                        {"slow", 100 * kMs, 0, 0, 0}}) {
    EXPECT_GE(p.gain_at_fastest_kind(c.kind, c.work, c.aim), c.least) << c.kind << ' ' << c.work;
    EXPECT_LE(p.gain_at_fastest_kind(c.kind, c.work, c.aim), c.most) << c.kind << ' ' << c.work;
  }
}

TEST(ServerKindSpeeds, FewAnswersAreIgnoredAndOldOnesFade) {
  ServerKindSpeeds p;
  auto gain = [&] { return p.gain_at_fastest_kind("slow", 100 * kMs, 150 * kMs); };
  for (int k = 0; k < 40; ++k) p.record_answer("quick", 30 * kMs, 30 * kMs);
  for (int k = 0; k < 9; ++k) p.record_answer("slow", 30 * kMs, 60 * kMs);
  EXPECT_EQ(gain(), 0);
  p.record_answer("slow", 30 * kMs, 60 * kMs);
  EXPECT_GT(gain(), 0.4);
  for (int k = 0; k < 150; ++k) p.record_answer("slow", 30 * kMs, 30 * kMs);
  EXPECT_LT(gain(), 0.1);
}

TEST(ServerKindSpeeds, KindsAreBounded) {
  ServerKindSpeeds p;
  for (int kind = 0; kind < 100; ++kind)
    for (int k = 0; k < 20; ++k)
      p.record_answer("k" + std::to_string(kind), 30 * kMs, (kind + 1) * 30 * kMs);
  EXPECT_GT(p.gain_at_fastest_kind("k31", 100 * kMs, 150 * kMs), 0.5);
  EXPECT_EQ(p.gain_at_fastest_kind("k32", 100 * kMs, 150 * kMs), 0);
  p.retain_kinds({"k31"});  // the fast kinds have left the list, so others can be added
  EXPECT_EQ(p.gain_at_fastest_kind("k31", 100 * kMs, 150 * kMs), 0);
  for (int k = 0; k < 20; ++k) p.record_answer("k32", 30 * kMs, 30 * kMs);
  EXPECT_GT(p.gain_at_fastest_kind("k31", 100 * kMs, 150 * kMs), 0.5);
}

// Guards against sending three in four large requests to machines that serve them late, and against
// overloading the fast kind once the whole fleet is busy.
TEST(ServerKindSpeeds, LargeRequestsGoToTheFastKindWhileItsCoresAreFree) {
  struct Case {
    double utilization;
    Micros work;
    double least, most;  // share of requests at the fast kind, a third of the fleet
  };
  for (const Case& c : {Case{0.4, 20 * kMs, 0.25, 0.45},
                        {0.4, 100 * kMs, 0.75, 0.95},
                        {1.0, 100 * kMs, 0.2, 0.45}}) {
    Settings s = test::basic_settings();
    s.report_fields = {ReportField::Utilization};
    Balancer b(s, 7, 0);
    auto list = test::fleet(30);
    std::map<std::string, bool> quick;
    for (std::size_t k = 0; k < list.size(); ++k) {
      list[k].kind = k % 3 ? "slow" : "quick";
      quick[list[k].id] = k % 3 == 0;
    }
    b.on_list(0, ListScope::Full, list);
    int at_quick = 0;
    for (RequestId id = 0; id < 1500; ++id) {
      Micros now = Micros(id) * 20 * kMs;
      bool counted = id >= 500;
      Request r = test::read_request(id, "k" + std::to_string(id));
      r.work = counted ? c.work : 30 * kMs;
      std::string server = test::sent_to(b.on_request(now, r));
      at_quick += counted && quick[server];
      Outcome o = test::outcome_of(id, server, Status::Ok);
      o.latency = *r.work * (quick[server] ? 1 : 2);
      o.report = {c.utilization};
      b.on_outcome(now + o.latency, o);
    }
    EXPECT_GE(at_quick, c.least * 1000) << c.utilization << ' ' << c.work;
    EXPECT_LE(at_quick, c.most * 1000) << c.utilization << ' ' << c.work;
  }
}

// Guards against passing over caches because the origin is fast: no walk can choose the origin.
TEST(ServerKindSpeeds, TheOriginIsNotComparedWithCaches) {
  Balancer b(test::cache_aside_settings(), 7, 0);
  auto list = test::fleet(10);
  list.push_back(list[0]);
  list[10].id = "10.0.1.1:80", list[10].kind = "ledger";
  b.on_list(0, ListScope::Full, list);
  for (RequestId id = 0; id < 300; ++id) {
    Request r = test::read_request(id, "k" + std::to_string(id));
    r.work = 100 * kMs;
    r.write = id % 2 == 0 && id < 200;
    std::string server = test::sent_to(b.on_request(Micros(id) * 20 * kMs, r));
    if (id >= 200) {
      EXPECT_EQ(server, b.home_server(r.key)) << id;
    }
    Outcome o = test::outcome_of(id, server, Status::Ok);
    o.latency = r.write ? 20 * kMs : 200 * kMs;
    b.on_outcome(Micros(id) * 20 * kMs, o);
  }
}

}  // namespace
}  // namespace robinseam::limits
