// What a kept list is worth: a table, and the whole way over a folder.
#include "store/belief.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>

#include "rig/process.hpp"
#include "store/keeping.hpp"
#include "store/tool.hpp"
#include "store/virtual_disk.hpp"

namespace wheeldeal::store {
namespace {

constexpr Micros kS = 1'000'000, kNow = 1'000'000 * kS, kTaken = 10 * kS, kAsked = 600 * kS;

struct Case {
  const char* name;
  KeptList kept;
  Worth worth;
};
void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }
class Beliefs : public testing::TestWithParam<Case> {};

TEST_P(Beliefs, AreByAgeOwnerAndDamage) {
  EXPECT_EQ(judge(GetParam().kept, "me", kNow, kTaken, kAsked).worth, GetParam().worth);
}

KeptList kept(Micros age, bool doubted = false, const char* owner = "me", bool any = true) {
  return {owner, kNow - age, doubted, any};
}

INSTANTIATE_TEST_SUITE_P(
    All, Beliefs,
    testing::Values(Case{"of_now", kept(0), Worth::Taken},
                    Case{"a_little_old", kept(kTaken), Worth::Taken},
                    Case{"older", kept(kTaken + 1), Worth::Asked},
                    Case{"as_old_as_may_be", kept(kAsked), Worth::Asked},
                    Case{"too_old", kept(kAsked + 1), Worth::Dropped},
                    Case{"damaged", kept(0, true), Worth::Asked},
                    Case{"damaged_and_too_old", kept(kAsked + 1, true), Worth::Dropped},
                    Case{"another_routers", kept(0, false, "you"), Worth::Dropped},
                    Case{"names_nobody", kept(0, false, "me", false), Worth::Dropped},
                    Case{"clocks_differ_a_little", kept(-2 * kS), Worth::Taken},
                    Case{"clock_set_back_an_hour", kept(-3600 * kS), Worth::Asked},
                    Case{"clock_set_ahead_an_hour", kept(3600 * kS), Worth::Dropped}),
    [](const auto& one) { return std::string(one.param.name); });

arrowfork::HostList list() {
  return arrowfork::parse_host_list(
      R"({"seq":7,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"active"}]})");
}

struct Folder {
  arrowfork::rig::TemporaryDirectory top;
  arrowfork::StoreSettings settings{(top.path() / "kept").string()};
  Micros now = kNow;
  std::unique_ptr<Keeping> keep(const char* owner = "me") {
    return std::make_unique<Keeping>(settings, owner, [this] { return now; });
  }
  arrowfork::Config given(const char* owner = "me") {
    arrowfork::Config c;
    keep(owner)->give(c);
    return c;
  }
};

TEST(Keeping, GivesTheListBackByItsAge) {
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

TEST(Keeping, AFolderThatCannotBeUsedIsToldAndNothingElse) {
  Folder f;
  auto first = f.keep();
  first->on_list_confirmed(list());
  auto state = [](const Keeping& k) { return k.stats().back().second; };
  auto second = f.keep();  // two processes on one folder
  EXPECT_EQ(state(*second), "not_used");
  second->on_list_confirmed(list());
  second.reset();
  first.reset();
  EXPECT_EQ(f.given().initial_list.hosts.size(), 1u);
  std::ofstream(f.settings.directory + "/0000000000000000.log")
      << text_of(Header{kVersion + 1, Kind::Log, 0});
  EXPECT_EQ(state(*f.keep()), "not_used");
  f.settings.directory = f.settings.directory + "/0000000000000000.log/under";
  EXPECT_EQ(state(*f.keep()), "not_used");
}

TEST(Keeping, TenStartsInAMinuteLeaveTwoFilesAndToolsReadThem) {
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
    Fault append(std::string_view bytes) override { return file->append(bytes); }
    Fault sync() override {
      std::lock_guard wait(gate);
      return file->sync();
    }
  };
  Fault lock() override { return disk->lock(); }
  Fault list(std::vector<std::string>& names) override { return disk->list(names); }
  Fault read(const std::string& name, std::size_t most, std::string& bytes) override {
    return disk->read(name, most, bytes);
  }
  Fault create(const std::string& name, std::unique_ptr<File>& file) override {
    std::unique_ptr<File> inner;
    Fault f = disk->create(name, inner);
    file = std::make_unique<Slow>(std::move(inner), gate);
    return f;
  }
  Fault rename(const std::string& from, const std::string& to) override {
    return disk->rename(from, to);
  }
  Fault remove(const std::string& name) override { return disk->remove(name); }
  Fault sync_names() override { return disk->sync_names(); }
};

TEST(Committer, AStalledDiskHoldsNobodyUpAndGetsEverythingLater) {
  auto files = std::make_shared<Stalled>();
  Limits limits{.waiting_bytes = 4096};
  auto journal = std::make_shared<Journal>(files, limits);
  Journal::Opened opened;
  ASSERT_EQ(journal->open(opened), Fault::None);
  Store store(limits);
  auto committer = std::make_unique<Committer>(journal);
  Store::Token token = 0, last = 0;
  Fault fault = Fault::None;
  {
    std::lock_guard stall(files->gate);
    // More than may wait: every call returns, and the last ones say that the disk is behind.
    for (int k = 0; k < 100; ++k) {
      fault = store.put("k" + std::to_string(k), std::string(100, 'v'), 0, token);
      if (fault == Fault::None) last = token;
      committer->offer(store.batch(), 0);
    }
    EXPECT_EQ(fault, Fault::Busy);
    EXPECT_EQ(committer->state().durable, 0u);
    EXPECT_TRUE(committer->state().busy);
  }
  while (!store.is_durable(last)) {
    store.written(committer->state().durable);
    committer->offer(store.batch(), 0);
    std::this_thread::yield();
  }
  EXPECT_EQ(store.waiting(), 0u);
  committer.reset();
  Journal::Opened again;
  ASSERT_EQ(Journal(files->disk->after_power_loss(1), limits).open(again), Fault::None);
  EXPECT_EQ(again.entries.size(), last);
}

}  // namespace
}  // namespace wheeldeal::store
