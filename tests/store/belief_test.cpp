// What a kept list is worth: a table, and the whole way over a folder.
#include "store/belief.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "rig/process.hpp"
#include "store/keeping.hpp"

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
  arrowfork::rig::TemporaryFolder top;
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
  EXPECT_TRUE(f.given().known.hosts.empty());
  f.keep()->told(list());
  arrowfork::Config c = f.given();
  ASSERT_EQ(c.known.hosts.size(), 1u);
  EXPECT_EQ(c.known.version, "7");
  EXPECT_FALSE(c.known_is_doubted);
  f.now += 60 * kS;
  EXPECT_TRUE(f.given().known_is_doubted);
  EXPECT_TRUE(f.given("you").known.hosts.empty());
  f.now += 600 * kS;
  EXPECT_TRUE(f.given().known.hosts.empty());
}

TEST(Keeping, AFolderThatCannotBeUsedIsToldAndNothingElse) {
  Folder f;
  auto first = f.keep();
  first->told(list());
  auto state = [](const Keeping& k) { return k.figures().back().second; };
  auto second = f.keep();  // two processes on one folder
  EXPECT_EQ(state(*second), "not_used");
  second->told(list());
  second.reset();
  first.reset();
  EXPECT_EQ(f.given().known.hosts.size(), 1u);
  std::ofstream(f.settings.folder + "/0000000000000000.log")
      << text_of(Header{kVersion + 1, Kind::Log, 0});
  EXPECT_EQ(state(*f.keep()), "not_used");
  f.settings.folder = f.settings.folder + "/0000000000000000.log/under";
  EXPECT_EQ(state(*f.keep()), "not_used");
}

}  // namespace
}  // namespace wheeldeal::store
