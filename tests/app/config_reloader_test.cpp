// A signal that comes once, and a file that can't be read at that moment.
#include "app/config_reloader.hpp"

#include <gtest/gtest.h>

#include <stdexcept>
#include <vector>

namespace arrowfork {
namespace {

struct Fixture {
  explicit Fixture(const ConfigReloader::Pauses& pauses)
      : reloader(
            base.get(), clock, [this] { reload(); },
            [this](const std::string& reason) { told.push_back(reason); }, pauses) {}
  void reload() {
    ++tries;
    if (tries <= failing) throw std::runtime_error(reasons[tries <= 1 ? 0 : 1]);
    ++taken;
  }
  void run() { event_base_dispatch(base.get()); }

  Clock clock;
  EventBasePtr base{event_base_new()};
  int tries = 0, failing = 0, taken = 0;
  const char* reasons[2] = {"no descriptor", "half a file"};
  std::vector<std::string> told;
  ConfigReloader reloader;
};

constexpr ConfigReloader::Pauses kQuick{kMillisecond, 4 * kMillisecond, kSecond};

TEST(ConfigReloader, AFileThatCanBeReadIsTakenOnce) {
  Fixture f(kQuick);
  f.reloader.hang_up();
  f.run();
  EXPECT_EQ(f.tries, 1);
  EXPECT_EQ(f.taken, 1);
  EXPECT_TRUE(f.told.empty());
}

TEST(ConfigReloader, AReadThatFailsForAWhileIsTriedAgainAndEachReasonToldOnce) {
  Fixture f(kQuick);
  f.failing = 5;
  f.reloader.hang_up();
  f.run();
  EXPECT_EQ(f.tries, 6);
  EXPECT_EQ(f.taken, 1);
  EXPECT_EQ(f.told, (std::vector<std::string>{"no descriptor", "half a file"}));
}

TEST(ConfigReloader, AFileThatStaysBadIsGivenUp) {
  Fixture f({kMillisecond, 4 * kMillisecond, 20 * kMillisecond});
  f.failing = 1'000'000;
  f.reloader.hang_up();
  f.run();
  EXPECT_EQ(f.taken, 0);
  EXPECT_GE(f.tries, 2);
  EXPECT_EQ(f.told.back(), "given up: half a file");
}

TEST(ConfigReloader, ASecondSignalBeginsAnew) {
  Fixture f({kSecond * 100, kSecond * 100, kSecond * 1000});
  f.failing = 1;
  f.reloader.hang_up();
  EXPECT_EQ(f.taken, 0);
  f.reloader.hang_up();
  EXPECT_EQ(f.taken, 1);
  f.run();  // nothing is planned any more
  EXPECT_EQ(f.tries, 2);
}

}  // namespace
}  // namespace arrowfork
