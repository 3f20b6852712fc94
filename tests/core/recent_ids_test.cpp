#include "core/recent_ids.hpp"

#include <gtest/gtest.h>

#include <string>

namespace arrowfork {
namespace {

constexpr Micros kSpan = kSecond;
constexpr Micros kStart = 1'000 * kSecond;

TEST(RecentIds, AnIdIsKnownWhileOpenAndForASpanAfterItsEnd) {
  RecentIds ids(kSpan, 100, 7);
  EXPECT_FALSE(ids.contains(kStart, "a"));
  ids.open("a");
  EXPECT_TRUE(ids.contains(kStart + 10 * kSpan, "a"));
  ids.close(kStart + 10 * kSpan, "a", true);
  EXPECT_TRUE(ids.contains(kStart + 11 * kSpan, "a"));
  EXPECT_FALSE(ids.contains(kStart + 13 * kSpan, "a"));
  EXPECT_EQ(ids.size(), 0u);
}

TEST(RecentIds, AnIdWhoseRequestNeverRanIsFreeAtOnce) {
  RecentIds ids(kSpan, 100, 7);
  ids.open("a");
  ids.close(kStart, "a", false);
  EXPECT_FALSE(ids.contains(kStart, "a"));
}

TEST(RecentIds, AFullTableForgetsTheOldestEndedIdsAndNoOpenOne) {
  constexpr int kCapacity = 10;
  RecentIds ids(kSpan, kCapacity, 7);
  ids.open("open");
  for (int k = 0; k < 10 * kCapacity; ++k) {
    std::string id = "id" + std::to_string(k);
    EXPECT_FALSE(ids.contains(kStart, id));
    ids.open(id);
    ids.close(kStart, id, true);
    EXPECT_TRUE(ids.contains(kStart, id));
    EXPECT_LE(ids.size(), 2u * kCapacity + 1);
  }
  EXPECT_FALSE(ids.contains(kStart, "id0"));
  EXPECT_TRUE(ids.contains(kStart, "id95"));
  EXPECT_TRUE(ids.contains(kStart, "open"));
  EXPECT_GT(ids.forgotten_early(), 0u);
}

/// Sends all that `from` lists to `to` in messages of `most` ids.
bool send_listed(RecentIds& from, RecentIds& to, std::size_t most) {
  while (from.has_listed()) {
    RecentIds::Hashes part = from.listed(most);
    EXPECT_LE(part.values.size(), most);
    if (!to.adopt(kStart, part)) return false;
    from.remove_listed(part.values.size());
  }
  return true;
}

TEST(RecentIds, BothProcessesOfAnUpgradeKnowWhatTheOtherOneOpened) {
  constexpr int kIds = 90;
  using Listing = RecentIds::Listing;
  RecentIds predecessor(kSpan, 100, 7), successor(kSpan, 100, 8);
  auto id = [](const char* when, int k) { return when + std::to_string(k); };
  for (int k = 0; k < kIds; ++k) predecessor.open(id("before", k));
  predecessor.list(Listing::KnownAndOpened);
  EXPECT_TRUE(send_listed(predecessor, successor, 7));
  successor.list(Listing::Opened);
  for (int k = 0; k < kIds; ++k) predecessor.open(id("after", k));
  for (int k = 0; k < kIds; ++k) successor.open(id("new", k));
  EXPECT_TRUE(send_listed(predecessor, successor, 7));
  EXPECT_TRUE(send_listed(successor, predecessor, 7));
  for (int k = 0; k < kIds; ++k) {
    for (const char* when : {"before", "after", "new"}) {
      EXPECT_TRUE(successor.contains(kStart, id(when, k))) << when << k;
      EXPECT_TRUE(predecessor.contains(kStart, id(when, k))) << when << k;
    }
  }
  EXPECT_FALSE(successor.contains(kStart, "other"));
  RecentIds stranger(kSpan, 100, 9);
  stranger.open("x");
  stranger.list(Listing::KnownAndOpened);
  EXPECT_FALSE(send_listed(stranger, successor, 7));
}

TEST(RecentIds, AListThatNobodyTakesIsBounded) {
  constexpr std::size_t kCapacity = 10;
  RecentIds ids(kSpan, kCapacity, 7);
  ids.list(RecentIds::Listing::Opened);
  for (std::size_t k = 0; k < 100 * kCapacity; ++k) {
    ids.open(std::to_string(k));
    ids.close(kStart, std::to_string(k), true);
  }
  EXPECT_EQ(ids.listed(100 * kCapacity).values.size(), RecentIds::kMaxListed * kCapacity);
}

}  // namespace
}  // namespace arrowfork
