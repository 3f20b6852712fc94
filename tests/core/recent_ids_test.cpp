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

TEST(RecentIds, TheNextProcessKnowsWhatItsPredecessorOpened) {
  RecentIds predecessor(kSpan, 100, 7), successor(kSpan, 100, 8);
  predecessor.open("before");
  predecessor.list_opened();
  EXPECT_TRUE(successor.adopt(kStart, predecessor.known()));
  predecessor.open("after");
  EXPECT_TRUE(successor.adopt(kStart, predecessor.take_opened()));
  EXPECT_FALSE(predecessor.has_opened());
  for (const char* id : {"before", "after"}) EXPECT_TRUE(successor.contains(kStart, id));
  EXPECT_FALSE(successor.contains(kStart, "other"));
  RecentIds stranger(kSpan, 100, 9);
  stranger.open("x");
  EXPECT_FALSE(successor.adopt(kStart, stranger.known()));
}

}  // namespace
}  // namespace arrowfork
