// The store on a simulated disk: files cut at every byte, power loss at every step, a full disk,
// failing operations and damaged data.
#include "store/store.hpp"

#include <gtest/gtest.h>

#include <random>

#include "store/virtual_disk.hpp"

namespace wheeldeal::store {
namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr std::uint64_t kSeeds = 3;  // sanitizers are about ten times slower
#else
constexpr std::uint64_t kSeeds = 40;
#endif

using Op = VirtualDisk::Op;

Limits small_limits() {
  return {.segment_bytes = 300, .disk_bytes = 64 << 10, .waiting_bytes = 16 << 10};
}

/// A store with its journal, and the values that a later reader may find for each key: those since
/// the last durable change, including it ("" for an erase or no value).
struct StoreProcess {
  explicit StoreProcess(std::shared_ptr<VirtualDisk> files, Limits limits = small_limits())
      : disk(std::move(files)), journal(disk, limits), store(limits) {
    Journal::Contents opened;
    open_error = journal.open(opened);
    damaged = opened.damaged_places;
    for (const auto& [key, e] : opened.entries) found[key] = e.value, unverified += e.unverified;
    store.load(std::move(opened));
  }
  void put(const std::string& key, const std::string& value) {
    Store::Sequence token = 0;
    if (store.put(key, value, 0, token) == Error::None)
      allowed_values[key].emplace_back(token, value);
  }
  void erase(const std::string& key) {
    Store::Sequence token = 0;
    if (store.erase(key, token) == Error::None && token > 0)
      allowed_values[key].emplace_back(token, "");
  }
  Error commit() {
    Store::Batch b = store.batch();
    if (b.last == 0) return Error::None;
    Error f = journal.commit(b.records, b.first, b.last);
    if (f == Error::None) store.mark_durable(b.last);
    return f;
  }
  /// Checks that `other`, as read by a later process, is a state that this one may have left.
  void expect_allowed_state(const std::map<std::string, std::string>& other,
                            const std::string& where) {
    for (const auto& [key, value] : other)
      EXPECT_TRUE(allowed_values.count(key)) << where << " " << key;
    for (const auto& [key, values] : allowed_values) {
      auto at = other.find(key);
      std::string got = at == other.end() ? "" : at->second;
      bool fits = false, any_durable = false;
      for (std::size_t k = values.size(); k-- > 0 && !any_durable;) {
        fits |= values[k].second == got;
        any_durable = store.is_durable(values[k].first);
      }
      EXPECT_TRUE(fits || (!any_durable && got.empty())) << where << " " << key << "=" << got;
    }
  }

  std::shared_ptr<VirtualDisk> disk;
  Journal journal;
  Store store;
  Error open_error = Error::None;
  std::size_t damaged = 0, unverified = 0;
  std::map<std::string, std::string> found;
  std::map<std::string, std::vector<std::pair<Store::Sequence, std::string>>> allowed_values;
};

/// Random puts and erases of a few keys, with commits and compactions in between.
void make_random_changes(StoreProcess& m, std::uint64_t seed, int changes) {
  std::mt19937_64 random(seed);
  for (int k = 0; k < changes && !m.disk->power_lost(); ++k) {
    std::string key = "k" + std::to_string(random() % 7);
    if (random() % 5 == 0)
      m.erase(key);
    else
      m.put(key, "v" + std::to_string(k) + std::string(random() % 40, 'x'));
    if (random() % 3 == 0) (void)m.commit();
    if (m.journal.wants_compaction()) (void)m.journal.compact(0);
  }
}

TEST(Store, FileCutAtAnyByteYieldsOnlyCompleteRecords) {
  auto disk = std::make_shared<VirtualDisk>();
  Limits limits = small_limits();
  limits.segment_bytes = 4096;
  StoreProcess m(disk, limits);
  std::vector<std::map<std::string, std::string>> states{{}};  // after each change
  for (int k = 0; k < 25; ++k) {
    auto state = states.back();
    std::string key = "k" + std::to_string(k % 6);
    if (k % 9 == 8)
      m.erase(key), state.erase(key);
    else
      m.put(key, "value " + std::to_string(k)), state[key] = "value " + std::to_string(k);
    ASSERT_EQ(m.commit(), Error::None);
    states.push_back(state);
  }
  ASSERT_EQ(disk->bytes().size(), 1u);
  const auto [name, bytes] = *disk->bytes().begin();
  std::size_t before = 0;
  for (std::size_t size = 0; size <= bytes.size(); ++size) {
    auto cut = std::make_shared<VirtualDisk>();
    cut->set_bytes(name, bytes.substr(0, size));
    StoreProcess again(cut, limits);
    ASSERT_EQ(again.open_error, Error::None);
    // The state after some change, and never an earlier one for a longer file.
    std::size_t at = before;
    while (at < states.size() && states[at] != again.found) ++at;
    ASSERT_LT(at, states.size()) << size;
    before = at;
    // The store continues from that state.
    again.put("new", "one");
    ASSERT_EQ(again.commit(), Error::None) << size;
    StoreProcess third(cut->after_power_loss(size), limits);
    EXPECT_EQ(third.found["new"], "one");
    EXPECT_EQ(third.found.size(), states[at].size() + 1);
  }
  EXPECT_EQ(before, states.size() - 1);
}

TEST(Store, PowerLossAtAnyStepKeepsAcknowledgedChangesAndInventsNone) {
  int steps = 0;
  {
    auto disk = std::make_shared<VirtualDisk>();
    StoreProcess m(disk);
    make_random_changes(m, 1, 120);
    steps = disk->operations();
  }
  ASSERT_GT(steps, 150);
  for (int die = 0; die <= steps; ++die)
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      auto disk = std::make_shared<VirtualDisk>();
      disk->lose_power_after(die);
      StoreProcess m(disk);
      make_random_changes(m, 1, 120);
      auto left = disk->after_power_loss(seed);
      std::string where = std::to_string(die) + "/" + std::to_string(seed);
      StoreProcess next(left);
      ASSERT_EQ(next.open_error, Error::None) << where;
      EXPECT_EQ(next.damaged, 0u) << where;
      m.expect_allowed_state(next.found, where);
      if (HasFailure()) return;
    }
}

TEST(Store, KillsAndPowerLossesInTurnLoseNothingAcknowledged) {
  for (std::uint64_t seed = 1; seed <= 5 * kSeeds; ++seed) {
    auto disk = std::make_shared<VirtualDisk>();
    std::map<std::string, std::vector<std::pair<Store::Sequence, std::string>>> allowed_values;
    for (int life = 0; life < 4; ++life) {
      std::string where = std::to_string(seed) + "/" + std::to_string(life);
      StoreProcess m(disk);
      ASSERT_EQ(m.open_error, Error::None) << where;
      EXPECT_EQ(m.damaged, 0u) << where;
      // Data read at the start and not yet made durable by this process may be lost at power loss.
      for (const auto& [key, value] : m.found) m.allowed_values[key] = {{0, value}};
      disk->lose_power_after(static_cast<int>(seed * 7 % 60) + 5);
      make_random_changes(m, seed * 10 + static_cast<std::uint64_t>(life), 30);
      auto next = seed % 2 ? disk->after_power_loss(seed) : disk->after_process_kill();
      StoreProcess look(next->after_process_kill());
      if (seed % 2) m.expect_allowed_state(look.found, where);
      disk = next;
      if (HasFailure()) return;
    }
  }
}

struct FaultCase {
  const char* name;
  Op op;
  Error error;
  int times;
};
void PrintTo(const FaultCase& t, std::ostream* out) { *out << t.name; }
class StoreFaults : public testing::TestWithParam<FaultCase> {};

TEST_P(StoreFaults, FaultsAreReportedAndNothingAcknowledgedIsLost) {
  const FaultCase& t = GetParam();
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
    for (int after : {0, 3, 10, 31, 60}) {
      auto disk = std::make_shared<VirtualDisk>();
      StoreProcess m(disk);
      disk->fail_operations(t.op, after, t.times, t.error);
      make_random_changes(m, seed, 80);
      std::string where = std::to_string(seed) + "/" + std::to_string(after);
      StoreProcess next(disk->after_power_loss(seed));
      m.expect_allowed_state(next.found, where);
      // After the fault everything is written.
      disk->fail_operations(t.op, 0, 0, Error::None);
      ASSERT_EQ(m.commit(), Error::None) << where;
      StoreProcess third(disk->after_power_loss(seed + 1));
      EXPECT_EQ(third.damaged, 0u) << where;
      m.expect_allowed_state(third.found, where);
      if (HasFailure()) return;
    }
}

INSTANTIATE_TEST_SUITE_P(
    All, StoreFaults,
    testing::Values(FaultCase{"append_fails_once", Op::Append, Error::Io, 1},
                    FaultCase{"append_fails_long", Op::Append, Error::Io, 9},
                    FaultCase{"disk_full", Op::Append, Error::DiskFull, 9},
                    FaultCase{"sync_fails_once", Op::Sync, Error::Io, 1},
                    FaultCase{"sync_fails_long", Op::Sync, Error::Io, 9},
                    FaultCase{"create_fails", Op::Create, Error::PermissionDenied, 3},
                    FaultCase{"rename_fails", Op::Rename, Error::Io, 3},
                    FaultCase{"remove_fails", Op::Remove, Error::PermissionDenied, 5},
                    FaultCase{"read_fails", Op::Read, Error::Io, 3},
                    FaultCase{"names_not_synced", Op::SyncDirectory, Error::Io, 3}),
    [](const auto& one) { return std::string(one.param.name); });

TEST(Store, DamageInTheMiddleIsReportedAndMarksEarlierEntriesUnverified) {
  auto disk = std::make_shared<VirtualDisk>();
  Limits limits = small_limits();
  limits.segment_bytes = 4096;
  StoreProcess m(disk, limits);
  auto each = [&](auto change) {
    change();
    ASSERT_EQ(m.commit(), Error::None);
  };
  each([&] { m.put("old", "kept"); });
  each([&] { m.put("gone", "was"); });
  each([&] { m.erase("gone"); });
  each([&] { m.put("b", "2"); });
  each([&] { m.put("late", "4"); });
  each([&] { m.put("last", "5"); });  // without a later commit the gap could be a torn commit
  auto [name, bytes] = *disk->bytes().begin();
  // Damages the erase and the change after it; valid records precede and follow them.
  std::size_t erase = bytes.rfind("gone"), b = bytes.rfind("b2");
  bytes[erase] ^= 1, bytes[b] ^= 1;
  auto rotten = std::make_shared<VirtualDisk>();
  rotten->set_bytes(name, bytes);
  StoreProcess again(rotten, limits);
  EXPECT_EQ(again.open_error, Error::None);
  EXPECT_EQ(again.damaged, 1u);
  EXPECT_EQ(again.found.count("b"), 0u);
  EXPECT_EQ(again.found["late"], "4");
  EXPECT_TRUE(again.store.get("gone", 0)->unverified);
  EXPECT_TRUE(again.store.get("old", 0)->unverified);
  EXPECT_FALSE(again.store.get("late", 0)->unverified);
  // A compaction keeps the mark.
  again.put("more", "5");
  ASSERT_EQ(again.commit(), Error::None);
  StoreProcess third(rotten->after_power_loss(1), limits);
  EXPECT_EQ(third.damaged, 0u);
  EXPECT_TRUE(third.store.get("gone", 0)->unverified);
  EXPECT_EQ(third.found["more"], "5");
}

TEST(Store, DirectoryOfANewerVersionIsNotChanged) {
  auto disk = std::make_shared<VirtualDisk>();
  disk->set_bytes("0000000000000001.log", encode_header({kVersion + 1, FileKind::Log, 1}));
  auto before = disk->bytes();
  StoreProcess m(disk);
  EXPECT_EQ(m.open_error, Error::NewerVersion);
  EXPECT_EQ(disk->bytes(), before);
}

TEST(Store, StaysWithinItsLimitsOverAMillionPuts) {
  Limits limits{.segment_bytes = 256 << 10, .disk_bytes = 4 << 20};
  auto disk = std::make_shared<VirtualDisk>();
  StoreProcess m(disk, limits);
  std::size_t most = 0;
  int puts = kSeeds > 10 ? 1'000'000 : 50'000;
  for (int k = 0; k < puts; ++k) {
    Store::Sequence token = 0;
    std::string value = std::to_string(k);
    ASSERT_EQ(m.store.put("key" + std::to_string(k % 1000), value, 0, token), Error::None);
    if (k % 500 != 499) continue;
    ASSERT_EQ(m.commit(), Error::None);
    if (m.journal.wants_compaction()) {
      ASSERT_EQ(m.journal.compact(0), Error::None);
    }
    most = std::max(most, m.journal.bytes());
  }
  EXPECT_LT(most, 1u << 20);
  std::size_t size = 0;
  for (const auto& [name, bytes] : disk->bytes()) size += bytes.size();
  EXPECT_LT(size, 1u << 20);
  StoreProcess again(disk, limits);
  EXPECT_EQ(again.found.size(), 1000u);
  EXPECT_EQ(again.found["key7"], std::to_string(puts - 993));
}

TEST(Store, LimitsAndExpiryAreEnforced) {
  Limits limits{.record_bytes = 100, .memory_bytes = 1000, .waiting_bytes = 300};
  Store store(limits);
  Store::Sequence token = 0;
  EXPECT_EQ(store.put("k", std::string(101, 'x'), 0, token), Error::TooLarge);
  EXPECT_EQ(store.put(std::string(kMaxKeyBytes + 1, 'k'), "", 0, token), Error::TooLarge);
  EXPECT_EQ(store.put("a", "1", 50, token), Error::None);
  EXPECT_EQ(token, 1u);
  EXPECT_NE(store.get("a", 49), nullptr);
  EXPECT_EQ(store.get("a", 50), nullptr);
  store.expire(50);
  EXPECT_EQ(store.size(), 0u);
  EXPECT_EQ(store.memory_bytes(), 0u);
  EXPECT_EQ(store.erase("a", token), Error::None);
  EXPECT_EQ(token, 0u);
  Error f = Error::None;
  int k = 0;
  for (; f == Error::None; ++k)
    f = store.put("w" + std::to_string(k), std::string(60, 'y'), 0, token);
  EXPECT_EQ(f, Error::Backlogged);  // too many changes wait for the disk
  store.mark_durable(store.batch().last);
  EXPECT_EQ(store.waiting_bytes(), 0u);
  for (f = Error::None; f == Error::None; ++k) {
    f = store.put("w" + std::to_string(k), std::string(60, 'y'), 0, token);
    store.mark_durable(store.batch().last);
  }
  EXPECT_EQ(f, Error::DiskFull);
  EXPECT_LE(store.memory_bytes(), 1000u);
}

}  // namespace
}  // namespace wheeldeal::store
