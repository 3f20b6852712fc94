// SIGHUP is sent only once, and the configuration may be unreadable at that moment.
#include "app/config_reloader.hpp"

#include <gtest/gtest.h>

#include <stdexcept>
#include <vector>

namespace arrowfork {
namespace {

struct Fixture {
  explicit Fixture(const ConfigReloader::RetryDelays& delays)
      : reloader(
            base.get(), clock, [this] { reload(); },
            [this](const std::string& reason) { reported.push_back(reason); }, delays) {}
  void reload() {
    ++tries;
    if (tries <= failures) throw std::runtime_error(reasons[tries <= 1 ? 0 : 1]);
    ++applied;
  }
  void run() { event_base_dispatch(base.get()); }

  Clock clock;
  EventBasePtr base{event_base_new()};
  int tries = 0, failures = 0, applied = 0;
  const char* reasons[2] = {"no descriptor", "half a file"};
  std::vector<std::string> reported;
  ConfigReloader reloader;
};

constexpr ConfigReloader::RetryDelays kShortDelays{kMillisecond, 4 * kMillisecond, kSecond};

TEST(ConfigReloader, AReadableFileIsAppliedOnce) {
  Fixture f(kShortDelays);
  f.reloader.on_sighup();
  f.run();
  EXPECT_EQ(f.tries, 1);
  EXPECT_EQ(f.applied, 1);
  EXPECT_TRUE(f.reported.empty());
}

TEST(ConfigReloader, AFailedReadIsRetriedAndEachReasonIsReportedOnce) {
  Fixture f(kShortDelays);
  f.failures = 5;
  f.reloader.on_sighup();
  f.run();
  EXPECT_EQ(f.tries, 6);
  EXPECT_EQ(f.applied, 1);
  EXPECT_EQ(f.reported, (std::vector<std::string>{"no descriptor", "half a file"}));
}

TEST(ConfigReloader, RetriesEndWhileTheFileStaysInvalid) {
  Fixture f({kMillisecond, 4 * kMillisecond, 20 * kMillisecond});
  f.failures = 1'000'000;
  f.reloader.on_sighup();
  f.run();
  EXPECT_EQ(f.applied, 0);
  EXPECT_GE(f.tries, 2);
  EXPECT_EQ(f.reported.back(), "giving up: half a file");
}

TEST(ConfigReloader, ASecondSignalStartsAgain) {
  Fixture f({kSecond * 100, kSecond * 100, kSecond * 1000});
  f.failures = 1;
  f.reloader.on_sighup();
  EXPECT_EQ(f.applied, 0);
  f.reloader.on_sighup();
  EXPECT_EQ(f.applied, 1);
  f.run();  // no retry is scheduled any more
  EXPECT_EQ(f.tries, 2);
}

}  // namespace
}  // namespace arrowfork
