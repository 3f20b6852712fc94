#include "io/log_limit.hpp"

#include <gtest/gtest.h>

namespace arrowfork {
namespace {

TEST(LogLimit, AllowsABurstThenTheSteadyRate) {
  LogLimit limit(3, 2);
  Micros now = 100 * kSecond;
  for (int k = 0; k < 3; ++k) EXPECT_TRUE(limit.allow(now));
  EXPECT_FALSE(limit.allow(now));
  EXPECT_FALSE(limit.allow(now + 400 * kMillisecond));
  EXPECT_EQ(limit.take_suppressed(), 2u);
  EXPECT_EQ(limit.take_suppressed(), 0u);
  EXPECT_TRUE(limit.allow(now + 500 * kMillisecond));
  EXPECT_FALSE(limit.allow(now + 500 * kMillisecond));
}

TEST(LogLimit, IdleTimeEarnsNoMoreThanOneBurst) {
  LogLimit limit(2, 1);
  EXPECT_TRUE(limit.allow(0));
  int passed = 0;
  for (int k = 0; k < 5; ++k) passed += limit.allow(3600 * kSecond);
  EXPECT_EQ(passed, 2);
}

}  // namespace
}  // namespace arrowfork
