// What a kept list is worth: a table, and the whole way over a folder.
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

constexpr Micros kS = 1'000'000, kNow = 1'000'000 * kS, kTaken = 10 * kS, kAsked = 600 * kS;

struct Case {
  const char* name;
  PersistedList kept;
  ListTrust trust;
};
void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }
class Beliefs : public testing::TestWithParam<Case> {};

TEST_P(Beliefs, AreByAgeOwnerAndDamage) {
  EXPECT_EQ(assess_trust(GetParam().kept, "me", kNow, kTaken, kAsked).trust, GetParam().trust);
}

PersistedList kept(Micros age, bool unverified = false, const char* owner = "me", bool any = true) {
  return {owner, kNow - age, unverified, any};
}

INSTANTIATE_TEST_SUITE_P(
    All, Beliefs,
    testing::Values(Case{"of_now", kept(0), ListTrust::Trusted},
                    Case{"a_little_old", kept(kTaken), ListTrust::Trusted},
                    Case{"older", kept(kTaken + 1), ListTrust::Unverified},
                    Case{"as_old_as_may_be", kept(kAsked), ListTrust::Unverified},
                    Case{"too_old", kept(kAsked + 1), ListTrust::Discarded},
                    Case{"damaged", kept(0, true), ListTrust::Unverified},
                    Case{"damaged_and_too_old", kept(kAsked + 1, true), ListTrust::Discarded},
                    Case{"another_routers", kept(0, false, "you"), ListTrust::Discarded},
                    Case{"names_nobody", kept(0, false, "me", false), ListTrust::Discarded},
                    Case{"clocks_differ_a_little", kept(-2 * kS), ListTrust::Trusted},
                    Case{"clock_set_back_an_hour", kept(-3600 * kS), ListTrust::Unverified},
                    Case{"clock_set_ahead_an_hour", kept(3600 * kS), ListTrust::Discarded}),
    [](const auto& one) { return std::string(one.param.name); });

arrowfork::HostList list() {
  return arrowfork::parse_host_list(
      R"({"seq":7,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"active"}]})");
}

struct Folder {
  arrowfork::rig::TemporaryDirectory top;
  arrowfork::StoreSettings settings{(top.path() / "kept").string()};
  Micros now = kNow;
  std::unique_ptr<DiskListPersistence> keep(const char* owner = "me") {
    return std::make_unique<DiskListPersistence>(settings, owner, [this] { return now; });
  }
  arrowfork::Config given(const char* owner = "me") {
    arrowfork::Config c;
    keep(owner)->restore_list(c);
    return c;
  }
};

TEST(DiskListPersistence, GivesTheListBackByItsAge) {
  Folder f;
  EXPECT_TRUE(f.given().initial_list.hosts.empty());
  f.keep()->on_list_confirmed(list());
  arrowfork::Config c = f.given();
  ASSERT_EQ(c.initial_list.hosts.size(), 1u);
  EXPECT_EQ(c.initial_list.version, "7");
  EXPECT_FALSE(c.initial_list_unverified);
  f.now += 60 * kS;
  EXPECT_TRUE(f.given().initial_list_unverified);
  EXPECT_TRUE(f.given("you").initial_list.hosts.empty());
  f.now += 600 * kS;
  EXPECT_TRUE(f.given().initial_list.hosts.empty());
}

TEST(DiskListPersistence, AFolderThatCannotBeUsedIsToldAndNothingElse) {
  Folder f;
  auto first = f.keep();
  first->on_list_confirmed(list());
  auto state = [](const DiskListPersistence& k) { return k.stats().back().second; };
  auto second = f.keep();  // two processes on one folder
  EXPECT_EQ(state(*second), "not_used");
  second->on_list_confirmed(list());
  second.reset();
  first.reset();
  EXPECT_EQ(f.given().initial_list.hosts.size(), 1u);
  std::ofstream(f.settings.directory + "/0000000000000000.log")
      << encode_header(Header{kVersion + 1, FileKind::Log, 0});
  EXPECT_EQ(state(*f.keep()), "not_used");
  f.settings.directory = f.settings.directory + "/0000000000000000.log/under";
  EXPECT_EQ(state(*f.keep()), "not_used");
}

TEST(DiskListPersistence, TenStartsInAMinuteLeaveTwoFilesAndToolsReadThem) {
  Folder f;
  for (int k = 0; k < 10; ++k, f.now += 6 * kS) {
    auto keeping = f.keep();
    for (int j = 0; j < 3; ++j, f.now += 6 * kS) keeping->on_list_confirmed(list());
  }
  EXPECT_EQ(f.given().initial_list.version, "7");
  // The last word of the last life, 12 s ago, is the one that counts, also where it came late.
  f.now -= 6 * kS;
  EXPECT_FALSE(f.given().initial_list_unverified);
  std::size_t files = 0;
  for (const auto& file : std::filesystem::directory_iterator(f.settings.directory))
    files += file.path().filename() != "LOCK";
  EXPECT_LE(files, 2u);  // a snapshot, and the segment behind it
  EXPECT_EQ(check(f.settings.directory), 0);
  EXPECT_EQ(dump(f.settings.directory), 0);
  EXPECT_EQ(compact(f.settings.directory), 0);
  auto in_service = f.keep();
  EXPECT_EQ(compact(f.settings.directory), 2);
  EXPECT_EQ(check(f.settings.directory), 0);
  EXPECT_EQ(check(f.settings.directory + "/none"), 2);
}

/// A disk that hangs in its next sync until it is let go.
struct Stalled final : FileSystem {
  std::shared_ptr<VirtualDisk> disk = std::make_shared<VirtualDisk>();
  std::mutex gate;
  struct Slow final : File {
    std::unique_ptr<File> file;
    std::mutex& gate;
    Slow(std::unique_ptr<File> inner, std::mutex& g) : file(std::move(inner)), gate(g) {}
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
    file = std::make_unique<Slow>(std::move(inner), gate);
    return f;
  }
  Error rename(const std::string& from, const std::string& to) override {
    return disk->rename(from, to);
  }
  Error remove(const std::string& name) override { return disk->remove(name); }
  Error sync_directory() override { return disk->sync_directory(); }
};

TEST(Committer, AStalledDiskHoldsNobodyUpAndGetsEverythingLater) {
  auto files = std::make_shared<Stalled>();
  Limits limits{.waiting_bytes = 4096};
  auto journal = std::make_shared<Journal>(files, limits);
  Journal::Contents opened;
  ASSERT_EQ(journal->open(opened), Error::None);
  Store store(limits);
  auto committer = std::make_unique<Committer>(journal);
  Store::Sequence token = 0, last = 0;
  Error fault = Error::None;
  {
    std::lock_guard stall(files->gate);
    // More than may wait: every call returns, and the last ones say that the disk is behind.
    for (int k = 0; k < 100; ++k) {
      fault = store.put("k" + std::to_string(k), std::string(100, 'v'), 0, token);
      if (fault == Error::None) last = token;
      committer->submit(store.batch(), 0);
    }
    EXPECT_EQ(fault, Error::Backlogged);
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
