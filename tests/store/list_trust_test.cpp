// Trust in a persisted list: a table of cases, and the way through a directory on disk.
#include "store/list_trust.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>

#include "rig/process.hpp"
#include "store/disk_list_persistence.hpp"
#include "store/tool.hpp"
#include "store/virtual_disk.hpp"

namespace wheeldeal::store {
namespace {

constexpr Micros kSecond = 1'000'000, kNow = 1'000'000 * kSecond, kMaxTrustedAge = 10 * kSecond,
                 kMaxAge = 600 * kSecond;

struct Case {
  const char* name;
  PersistedList list;
  ListTrust trust;
};
void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }
class ListTrustTest : public testing::TestWithParam<Case> {};

TEST_P(ListTrustTest, DependsOnAgeOwnerAndDamage) {
  EXPECT_EQ(assess_trust(GetParam().list, "me", kNow, kMaxTrustedAge, kMaxAge).trust,
            GetParam().trust);
}

PersistedList persisted_list(Micros age, bool unverified = false, const char* owner = "me",
                             bool has_usable_server = true) {
  return {owner, kNow - age, unverified, has_usable_server};
}

INSTANTIATE_TEST_SUITE_P(
    All, ListTrustTest,
    testing::Values(
        Case{"recent", persisted_list(0), ListTrust::Trusted},
        Case{"at_max_trusted_age", persisted_list(kMaxTrustedAge), ListTrust::Trusted},
        Case{"older_than_trusted", persisted_list(kMaxTrustedAge + 1), ListTrust::Unverified},
        Case{"at_max_age", persisted_list(kMaxAge), ListTrust::Unverified},
        Case{"too_old", persisted_list(kMaxAge + 1), ListTrust::Discarded},
        Case{"damaged", persisted_list(0, true), ListTrust::Unverified},
        Case{"damaged_and_too_old", persisted_list(kMaxAge + 1, true), ListTrust::Discarded},
        Case{"written_by_another_router", persisted_list(0, false, "you"), ListTrust::Discarded},
        Case{"no_usable_server", persisted_list(0, false, "me", false), ListTrust::Discarded},
        Case{"clocks_differ_slightly", persisted_list(-2 * kSecond), ListTrust::Trusted},
        Case{"clock_set_back_an_hour", persisted_list(-3600 * kSecond), ListTrust::Unverified},
        Case{"clock_set_ahead_an_hour", persisted_list(3600 * kSecond), ListTrust::Discarded}),
    [](const auto& one) { return std::string(one.param.name); });

arrowfork::HostList list() {
  return arrowfork::parse_host_list(
      R"({"seq":7,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"active"}]})");
}

struct StoreDirectory {
  arrowfork::rig::TemporaryDirectory top;
  arrowfork::StoreSettings settings{(top.path() / "kept").string()};
  Micros now = kNow;
  std::unique_ptr<DiskListPersistence> open(const char* owner = "me") {
    return std::make_unique<DiskListPersistence>(settings, owner, [this] { return now; });
  }
  arrowfork::Config restored_config(const char* owner = "me") {
    arrowfork::Config c;
    open(owner)->restore_list(c);
    return c;
  }
};

TEST(DiskListPersistence, RestoresTheListDependingOnItsAge) {
  StoreDirectory f;
  EXPECT_TRUE(f.restored_config().initial_list.hosts.empty());
  f.open()->on_list_confirmed(list());
  arrowfork::Config c = f.restored_config();
  ASSERT_EQ(c.initial_list.hosts.size(), 1u);
  EXPECT_EQ(c.initial_list.version, "7");
  EXPECT_FALSE(c.initial_list_unverified);
  f.now += 60 * kSecond;
  EXPECT_TRUE(f.restored_config().initial_list_unverified);
  EXPECT_TRUE(f.restored_config("you").initial_list.hosts.empty());
  f.now += 600 * kSecond;
  EXPECT_TRUE(f.restored_config().initial_list.hosts.empty());
}

TEST(DiskListPersistence, UnusableDirectoryIsReportedAndNothingIsStored) {
  StoreDirectory f;
  auto first = f.open();
  first->on_list_confirmed(list());
  auto state = [](const DiskListPersistence& k) { return k.stats().back().second; };
  auto second = f.open();  // two processes on one directory
  EXPECT_EQ(state(*second), "not_used");
  second->on_list_confirmed(list());
  second.reset();
  first.reset();
  EXPECT_EQ(f.restored_config().initial_list.hosts.size(), 1u);
  std::ofstream(f.settings.directory + "/0000000000000000.log")
      << encode_header(Header{kVersion + 1, FileKind::Log, 0});
  EXPECT_EQ(state(*f.open()), "not_used");
  f.settings.directory = f.settings.directory + "/0000000000000000.log/under";
  EXPECT_EQ(state(*f.open()), "not_used");
}

TEST(DiskListPersistence, TenRestartsInAMinuteLeaveTwoFilesThatTheToolsRead) {
  StoreDirectory f;
  for (int k = 0; k < 10; ++k, f.now += 6 * kSecond) {
    auto persistence = f.open();
    for (int j = 0; j < 3; ++j, f.now += 6 * kSecond) persistence->on_list_confirmed(list());
  }
  EXPECT_EQ(f.restored_config().initial_list.version, "7");
  // The last confirmation of the last process, 12 s ago, counts, although it came during a commit.
  f.now -= 6 * kSecond;
  EXPECT_FALSE(f.restored_config().initial_list_unverified);
  std::size_t files = 0;
  for (const auto& file : std::filesystem::directory_iterator(f.settings.directory))
    files += file.path().filename() != "LOCK";
  EXPECT_LE(files, 2u);  // a snapshot and the segment after it
  EXPECT_EQ(check(f.settings.directory), 0);
  EXPECT_EQ(dump(f.settings.directory), 0);
  EXPECT_EQ(compact(f.settings.directory), 0);
  auto in_service = f.open();
  EXPECT_EQ(compact(f.settings.directory), 2);
  EXPECT_EQ(check(f.settings.directory), 0);
  EXPECT_EQ(check(f.settings.directory + "/none"), 2);
}

/// A disk whose syncs block while the test holds `gate`.
struct StallingDisk final : FileSystem {
  std::shared_ptr<VirtualDisk> disk = std::make_shared<VirtualDisk>();
  std::mutex gate;
  struct SlowFile final : File {
    std::unique_ptr<File> file;
    std::mutex& gate;
    SlowFile(std::unique_ptr<File> inner, std::mutex& g) : file(std::move(inner)), gate(g) {}
    Error append(std::string_view bytes) override { return file->append(bytes); }
    Error sync() override {
      std::lock_guard wait(gate);
      return file->sync();
    }
  };
  Error lock() override { return disk->lock(); }
  Error list(std::vector<std::string>& names) override { return disk->list(names); }
  Error read(const std::string& name, std::size_t most, std::string& bytes) override {
    return disk->read(name, most, bytes);
  }
  Error create(const std::string& name, std::unique_ptr<File>& file) override {
    std::unique_ptr<File> inner;
    Error f = disk->create(name, inner);
    file = std::make_unique<SlowFile>(std::move(inner), gate);
    return f;
  }
  Error rename(const std::string& from, const std::string& to) override {
    return disk->rename(from, to);
  }
  Error remove(const std::string& name) override { return disk->remove(name); }
  Error sync_directory() override { return disk->sync_directory(); }
};

TEST(Committer, StalledDiskDoesNotBlockAndGetsAllChangesLater) {
  auto files = std::make_shared<StallingDisk>();
  Limits limits{.waiting_bytes = 4096};
  auto journal = std::make_shared<Journal>(files, limits);
  Journal::Contents opened;
  ASSERT_EQ(journal->open(opened), Error::None);
  Store store(limits);
  auto committer = std::make_unique<Committer>(journal);
  Store::Sequence token = 0, last = 0;
  Error error = Error::None;
  {
    std::lock_guard stall(files->gate);
    // More changes than may wait: every call returns at once, and the last ones report Backlogged.
    for (int k = 0; k < 100; ++k) {
      error = store.put("k" + std::to_string(k), std::string(100, 'v'), 0, token);
      if (error == Error::None) last = token;
      committer->submit(store.batch(), 0);
    }
    EXPECT_EQ(error, Error::Backlogged);
    EXPECT_EQ(committer->state().durable, 0u);
    EXPECT_TRUE(committer->state().busy);
  }
  while (!store.is_durable(last)) {
    store.mark_durable(committer->state().durable);
    committer->submit(store.batch(), 0);
    std::this_thread::yield();
  }
  EXPECT_EQ(store.waiting_bytes(), 0u);
  committer.reset();
  Journal::Contents again;
  ASSERT_EQ(Journal(files->disk->after_power_loss(1), limits).open(again), Error::None);
  EXPECT_EQ(again.entries.size(), last);
}

}  // namespace
}  // namespace wheeldeal::store
