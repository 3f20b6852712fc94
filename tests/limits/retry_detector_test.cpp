// Retries of clients told from first tries: what counts as a retry, and the bounds.
#include "limits/retry_detector.hpp"

#include <gtest/gtest.h>

#include "robinseam/balancer.hpp"

namespace robinseam::limits {
namespace {

constexpr Micros kMs = 1000, kS = 1'000'000;

TEST(RetryDetector, AnUnservedTryIsMatchedOnceWithinItsSpan) {
  RetryDetector r;
  EXPECT_EQ(r.take_first_try(kS, 7, kS), kS) << "nothing recorded yet";
  r.record_unserved(7, kS);
  EXPECT_EQ(r.take_first_try(kS + 10 * kMs, 8, kS), kS + 10 * kMs) << "another request hash";
  EXPECT_EQ(r.take_first_try(kS + 20 * kMs, 7, kS), kS);
  EXPECT_EQ(r.take_first_try(kS + 30 * kMs, 7, kS), kS + 30 * kMs) << "already taken";
  r.record_unserved(7, kS);
  EXPECT_EQ(r.take_first_try(2 * kS, 7, kS), 2 * kS) << "past its client's deadline";
  EXPECT_EQ(r.pending(2 * kS, kS), 0u);
}

// The documented error: another client may take the place of an owner, but never are more requests
// counted as retries than ended unserved.
TEST(RetryDetector, NeverCountsMoreRetriesThanUnservedRequests) {
  RetryDetector r;
  int retries = 0;
  for (int k = 0; k < 3; ++k) r.record_unserved(7, kS + k);
  for (int k = 0; k < 50; ++k) retries += r.take_first_try(kS + 10 * kMs, 7, kS) != kS + 10 * kMs;
  EXPECT_EQ(retries, 3);
}

TEST(RetryDetector, AMillionRefusalsAreBoundedByTheTable) {
  RetryDetector r;
  for (std::uint64_t k = 0; k < 1'000'000; ++k)
    r.record_unserved(k * 0x9e3779b97f4a7c15ULL, kS + static_cast<Micros>(k));
  EXPECT_LE(r.pending(2 * kS, 10 * kS), RetryDetector::kSets * RetryDetector::kWays);
  EXPECT_GT(r.pending(2 * kS, 10 * kS), RetryDetector::kSets * RetryDetector::kWays * 9 / 10);
}

// Through the Balancer: a client that is refused and tries five times earns the retry tokens of one
// request. Guards against a storm of clients' retries that pays for the router's own retries.
TEST(RetryDetector, ClientRetriesEarnNoRetryTokens) {
  Settings s;
  ClassSettings read;
  read.name = "read";
  read.latency_objective = 150 * kMs;
  read.deadline = 600 * kMs;
  read.worth = 1;
  s.classes = {read};
  s.max_attempts = 3;
  Balancer b(s, 1, kS);
  std::vector<Server> list(4);
  for (std::size_t k = 0; k < list.size(); ++k) list[k].id = "s" + std::to_string(k);
  b.on_list(kS, ListScope::Full, list);
  // Every attempt is rejected as full, so that each request spends tokens until none are left.
  int sends = 0;
  RequestId id = 0;
  Micros now = kS;
  auto ask = [&](const std::string& key) {
    Request r;
    r.id = ++id, r.class_name = "read", r.key = key, r.remaining = 300 * kMs;
    Actions todo = b.on_request(now += 100, r);
    for (int attempt = 0; !todo.empty(); ++attempt) {
      auto* send = std::get_if<Send>(&todo.front());
      if (!send) return;
      ++sends;
      todo = b.on_outcome(now += 100,
                          {r.id, false, send->server, Status::Rejected, 100, attempt, 0, {}});
    }
  };
  for (int k = 0; k < 100; ++k) ask("spend" + std::to_string(k));
  sends = 0;
  for (int k = 0; k < 200; ++k) ask("fresh" + std::to_string(k));
  int fresh = sends - 200;
  sends = 0;
  for (int k = 0; k < 40; ++k)
    for (int t = 0; t < 5; ++t) ask("again" + std::to_string(k));
  int again = sends - 200;
  EXPECT_GE(fresh, 20);
  EXPECT_LE(again, fresh / 3);
}

}  // namespace
}  // namespace robinseam::limits
