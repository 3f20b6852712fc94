// No write takes effect twice over all tries of its client: what is recorded, and how the Balancer
// uses it.
#include "recovery/keyed_writes.hpp"

#include <gtest/gtest.h>

#include <string>

namespace robinseam {
namespace {

constexpr Micros kMs = 1000, kS = 1'000'000;

Settings settings(Group group, Micros ttl) {
  Settings s;
  ClassSettings write;
  write.name = "write", write.latency_objective = 250 * kMs, write.deadline = kS;
  write.effect = Effect::Keyed, write.group = group, write.key_ttl = ttl;
  s.classes = {write};
  s.max_attempts = 5, s.tick = 2 * kMs;
  return s;
}

enum class End { Sent, Refused, Failed };

/// A router with servers a (zone x, cell 1), b (x, 2) and c (y, 3).
struct Router {
  explicit Router(const Settings& s) : b(s, 7, 0) {
    b.start(0);
    std::vector<Server> list(3);
    const char* const zones[] = {"x", "x", "y"};
    for (std::size_t k = 0; k < 3; ++k) {
      list[k].id = std::string(1, static_cast<char>('a' + k));
      list[k].zone = zones[k], list[k].cell = static_cast<std::int64_t>(k + 1);
    }
    b.on_list(0, ListScope::Full, list);
  }
  End ask(Micros now, const std::string& key, bool repeat) {
    Request r;
    r.id = ++id, r.class_name = "write", r.key = "k" + std::to_string(id), r.remaining = 400 * kMs;
    r.write = true, r.retry = repeat, r.idempotency_key = key;
    for (const Action& a : b.on_request(now, r)) {
      if (const auto* send = std::get_if<Send>(&a)) {
        server = send->server;
        return End::Sent;
      }
      if (std::get_if<Refuse>(&a)) return End::Refused;
    }
    return End::Failed;
  }
  void end(Micros now, Status status) {
    Outcome o;
    o.id = id, o.server = server, o.status = status, o.finished = true;
    b.on_outcome(now, o);
  }
  Balancer b;
  RequestId id = 0;
  std::string server;
};

struct Case {
  const char* name;
  Group group;
  Micros ttl;
  bool first_here;    // the first try went through this router
  Status first_ends;  // how it ended
  bool marked;        // the retry is marked as one
  Micros after;       // time of the retry since the first send
  End repeat;
};

void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }

class WriteRetry : public testing::TestWithParam<Case> {};

TEST_P(WriteRetry, IsSentOnlyWhereItCannotTakeEffectTwice) {
  const Case& c = GetParam();
  for (int round = 0; round < 20; ++round) {  // another home server and another walk
    Router router(settings(c.group, c.ttl));
    std::string key = "w" + std::to_string(round), first;
    if (c.first_here) {
      ASSERT_EQ(router.ask(kS, key, false), End::Sent);
      first = router.server;
      router.end(kS + kMs, c.first_ends);
    }
    router.server.clear();
    ASSERT_EQ(router.ask(kS + c.after, key, c.marked), c.repeat) << round;
    bool bound = c.repeat == End::Sent && c.first_here && c.first_ends != Status::Rejected;
    if (bound && c.group == Group::Zone) {
      EXPECT_EQ(router.server == "c", first == "c");
    }
    if (bound && c.group == Group::Cell) {
      EXPECT_EQ(router.server, first);
    }
    // Other writes count as first tries.
    EXPECT_EQ(router.ask(kS + c.after, "other", false), End::Sent);
  }
}

INSTANTIATE_TEST_SUITE_P(All, WriteRetry,
                         testing::Values(Case{"dropped_everywhere_long_enough", Group::All, 5 * kS,
                                              true, Status::Timeout, false, 500 * kMs, End::Sent},
                                         Case{"lapsed_at_the_servers", Group::All, 400 * kMs, true,
                                              Status::Timeout, false, 500 * kMs, End::Failed},
                                         Case{"in_its_time", Group::All, 400 * kMs, true,
                                              Status::Timeout, true, 300 * kMs, End::Sent},
                                         Case{"never_ran_so_free", Group::All, 400 * kMs, true,
                                              Status::Rejected, false, 500 * kMs, End::Sent},
                                         Case{"served_and_repeated_late", Group::All, 400 * kMs,
                                              true, Status::Ok, false, 500 * kMs, End::Failed},
                                         Case{"in_the_zone", Group::Zone, 5 * kS, true,
                                              Status::Timeout, true, 300 * kMs, End::Sent},
                                         Case{"in_the_cell", Group::Cell, 5 * kS, true,
                                              Status::Timeout, true, 300 * kMs, End::Sent},
                                         Case{"lost_memory_marked_dropped", Group::All, 5 * kS,
                                              false, Status::Ok, true, 300 * kMs, End::Sent},
                                         Case{"lost_memory_marked_may_lapse", Group::All, 900 * kMs,
                                              false, Status::Ok, true, 300 * kMs, End::Failed},
                                         Case{"lost_memory_marked_of_a_zone", Group::Zone, 5 * kS,
                                              false, Status::Ok, true, 300 * kMs, End::Failed},
                                         Case{"lost_memory_marked_of_a_cell", Group::Cell, 5 * kS,
                                              false, Status::Ok, true, 300 * kMs, End::Failed},
                                         Case{"a_first_try", Group::Zone, 400 * kMs, false,
                                              Status::Ok, false, 300 * kMs, End::Sent}),
                         [](const auto& one) { return std::string(one.param.name); });

TEST(KeyedWrites, EntriesExpireAndAreBounded) {
  recovery::KeyedWrites writes(settings(Group::All, 5 * kS).classes);
  Server to;
  for (std::uint64_t k = 1; k <= 1000; ++k) writes.record_send(static_cast<Micros>(k), k, to);
  EXPECT_EQ(writes.size(), 1000u);
  writes.record_send(6 * kS + 1000, 2000, to);  // a deadline and a key_ttl later
  EXPECT_EQ(writes.size(), 1u);
  EXPECT_EQ(writes.evicted(), 0u);
  for (std::uint64_t k = 0; k < 2 * recovery::KeyedWrites::kCapacity; ++k)
    writes.record_send(7 * kS, 5000 + k, to);
  EXPECT_EQ(writes.size(), recovery::KeyedWrites::kCapacity);
  EXPECT_EQ(writes.evicted(), recovery::KeyedWrites::kCapacity + 1);
  EXPECT_EQ(writes.first_send(5000), nullptr);
}

}  // namespace
}  // namespace robinseam
