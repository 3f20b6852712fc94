// One test for each cause found by fault_injection_test: a known drain or a pending deadline must
// not be lost to a later event.
#include "membership/list_subscription.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace arrowfork {
namespace {

using robinseam::Health;
using robinseam::Micros;
using robinseam::membership::CallFailure;
constexpr Micros kMilli = 1000, kSecond = 1000 * kMilli;

Host host(const std::string& id, Health health = Health::Ready) {
  Host one;
  one.server.id = id;
  one.server.health = health;
  return one;
}

HostList list(const std::string& version, bool full, std::vector<Host> hosts) {
  HostList one;
  one.version = version, one.full = full, one.hosts = std::move(hosts);
  return one;
}

/// A subscription whose calls the test answers. Its list has servers a and b at version 10.
struct Fixture : ListTransport, ListSubscription::Handler {
  explicit Fixture(int routers = 1, bool pushed = false, Micros grace = 500 * kMilli)
      : subscription("one:1", initial_list(), {routers, pushed, 1, grace}, 0,
                     static_cast<ListTransport&>(*this), static_cast<Handler&>(*this)) {
    current["a"] = host("a"), current["b"] = host("b");
    if (!pushed) subscription.watch(0);
  }
  static HostList initial_list() { return list("10", true, {host("a"), host("b")}); }

  void start(const ListCall& call) override { in_flight.push_back(call); }
  void cancel(int id, CancelReason = CancelReason::Superseded) override {
    std::erase_if(in_flight, [id](const ListCall& call) { return call.id == id; });
  }
  void on_hosts(HostList&& update) override {
    ++accepted;
    apply(update);
  }
  void on_call_failed() override {}
  void on_hosts_failed() override {}
  void on_list_rejected(const std::string& reason) override { rejected.push_back(reason); }
  void on_drains(const HostList& update, bool drain_unlisted) override {
    apply(extract_drains(update, drain_unlisted, current));
  }
  void apply(const HostList& update) {
    if (update.full) current.clear();
    for (const Host& one : update.hosts)
      if (one.server.health == Health::Gone)
        current.erase(one.server.id);
      else
        current[one.server.id] = one;
  }
  bool ready(const std::string& id) const {
    auto at = current.find(id);
    return at != current.end() && at->second.server.health == Health::Ready;
  }
  /// The most recent call.
  const ListCall& last() const { return in_flight.back(); }
  void answer(const ListCall& call, HostList update) {
    int id = call.id;
    cancel(id);
    subscription.on_call_ended(id, {std::move(update), CallFailure::Refused}, now);
  }
  void fail(const ListCall& call, CallFailure fault = CallFailure::Refused) {
    int id = call.id;
    cancel(id);
    subscription.on_call_ended(id, {std::nullopt, fault}, now);
  }
  /// Advances the time by `span`; true if a call was made meanwhile.
  bool advance(Micros span) {
    std::size_t before = made();
    for (Micros end = now + span; now < end;) {
      Micros next = subscription.next();
      now = next == ListSubscription::CallSchedule::kNever ? end : std::clamp(next, now, end);
      if (next != ListSubscription::CallSchedule::kNever && next <= now) subscription.advance(now);
    }
    return made() > before;
  }
  std::size_t made() const { return in_flight.empty() ? 0 : static_cast<std::size_t>(last().id); }

  std::vector<ListCall> in_flight;
  std::unordered_map<std::string, Host> current;
  std::vector<std::string> rejected;
  int accepted = 0;
  Micros now = 0;
  ListSubscription subscription;
};

TEST(ListSubscription, APartialListWithADuplicateDrainsTheServerAndRequestsTheFullList) {
  Fixture f;
  f.answer(f.last(), list("11", false, {host("a", Health::Draining), host("a", Health::Gone)}));
  EXPECT_FALSE(f.ready("a"));
  EXPECT_TRUE(f.ready("b"));
  EXPECT_EQ(f.accepted, 0);
  ASSERT_EQ(f.rejected.size(), 1u);
  EXPECT_EQ(f.rejected[0], "hosts: a twice");
  ASSERT_TRUE(f.advance(300 * kMilli));
  EXPECT_EQ(f.last().path, "/discovery/hosts");
}

TEST(ListSubscription, AFullListWithADuplicateIsAcceptedTheSecondTimeAndKeepsTheDrain) {
  Fixture f;
  HostList twice = list("11", true, {host("a", Health::Draining), host("b"), host("a")});
  f.answer(f.last(), twice);
  EXPECT_EQ(f.accepted, 0);
  ASSERT_TRUE(f.advance(300 * kMilli));
  f.answer(f.last(), twice);
  EXPECT_EQ(f.accepted, 1);
  EXPECT_FALSE(f.ready("a"));
  EXPECT_TRUE(f.ready("b"));
}

TEST(ListSubscription, AnInvalidEntryDoesNotHideADrainAndIsOmittedTheSecondTime) {
  Fixture f;
  HostList change = list("11", false, {host("a", Health::Draining)});
  change.entry_error = "hosts: unknown health 'asleep'";
  f.answer(f.last(), change);
  EXPECT_FALSE(f.ready("a"));
  EXPECT_EQ(f.accepted, 0);
  EXPECT_EQ(f.rejected, std::vector<std::string>{"hosts: unknown health 'asleep'"});
  HostList full = list("11", true, {host("a", Health::Draining), host("c")});
  full.entry_error = change.entry_error;
  ASSERT_TRUE(f.advance(300 * kMilli));
  EXPECT_EQ(f.last().path, "/discovery/hosts");
  f.answer(f.last(), full);
  EXPECT_FALSE(f.ready("b"));
  EXPECT_FALSE(f.ready("c"));
  ASSERT_TRUE(f.advance(300 * kMilli));
  f.answer(f.last(), full);
  EXPECT_TRUE(f.ready("c"));
}

TEST(ListSubscription, AnEmptyFullListDrainsAllAndIsAcceptedTheSecondTime) {
  Fixture f;
  f.answer(f.last(), list("11", true, {}));
  EXPECT_FALSE(f.ready("a") || f.ready("b"));
  EXPECT_EQ(f.current.size(), 2u);
  ASSERT_TRUE(f.advance(300 * kMilli));
  f.answer(f.last(), list("11", true, {}));
  EXPECT_TRUE(f.current.empty());
}

TEST(ListSubscription, AnEmptyListWithARestartedVersionDrainsNoServerUntilItIsRepeated) {
  Fixture f;
  f.answer(f.last(), list("1", true, {}));
  EXPECT_TRUE(f.ready("a") && f.ready("b"));
  ASSERT_TRUE(f.advance(300 * kMilli));
  f.answer(f.last(), list("2", true, {host("a"), host("b")}));
  EXPECT_TRUE(f.ready("a") && f.ready("b"));
}

TEST(ListSubscription, AnOlderListAppliesItsDrainsAndIsAcceptedTheThirdTimeWithin600Ms) {
  Fixture f;
  for (int k = 0; k < 3; ++k) {
    EXPECT_EQ(f.accepted, 0);
    f.answer(f.last(), list("3", true, {host("a", Health::Draining), host("c")}));
    EXPECT_FALSE(f.ready("a") || f.ready("b")) << k;
    if (k == 2) break;
    ASSERT_TRUE(f.advance(300 * kMilli)) << k;
  }
  EXPECT_EQ(f.accepted, 1);
  EXPECT_TRUE(f.ready("c"));
}

TEST(ListSubscription, ServersDrainedByARejectedListReturnWithTheNextFullList) {
  Fixture f;
  // Two calls in flight; the earlier one was made with the index of the old version.
  ASSERT_TRUE(f.advance(5 * kSecond));
  ASSERT_GE(f.in_flight.size(), 2u);
  ListCall beside = f.in_flight[0];
  f.answer(f.last(), list("9", false, {host("a", Health::Draining)}));
  EXPECT_FALSE(f.ready("a"));
  // A partial list without the server does not restore it: the full list is still requested.
  f.answer(beside, list("11", false, {}));
  EXPECT_FALSE(f.ready("a"));
  ASSERT_TRUE(f.advance(300 * kMilli) || f.last().path == "/discovery/hosts");
  EXPECT_EQ(f.last().path, "/discovery/hosts");
  f.answer(f.last(), list("11", true, {host("a"), host("b")}));
  EXPECT_TRUE(f.ready("a"));
}

TEST(ListSubscription, TheDeadlineOfTheFirstOfSeveralAddressChangesStays) {
  Fixture f;
  f.answer(f.last(), list("11", false, {}));
  f.now = kSecond;
  for (int k = 0; k < 4; ++k) {
    f.subscription.change_address("next:" + std::to_string(k), f.now);
    f.advance(1500 * kMilli);
  }
  // 6 s after the first change no call has been answered: after 4 s the list may be too old.
  EXPECT_TRUE(f.subscription.overdue(f.now));
  EXPECT_FALSE(f.subscription.overdue(5 * kSecond));
  EXPECT_TRUE(f.subscription.overdue(5 * kSecond + kMilli));
}

TEST(ListSubscription, TheDeadlineOfASilentWatchStaysAfterAnAddressChange) {
  Fixture f;
  f.answer(f.last(), list("11", false, {}));  // then a watch
  f.advance(18 * kSecond);                    // a check of the watch may have been made
  f.advance(12 * kSecond);
  ASSERT_TRUE(f.subscription.overdue(f.now));
  f.subscription.change_address("next:1", f.now);
  EXPECT_TRUE(f.subscription.overdue(f.now));
}

TEST(ListSubscription, ACallAtAFormerAddressThatNeverAnsweredStillCounts) {
  Fixture f;
  f.answer(f.last(), list("11", false, {}));
  f.now = kSecond;
  f.subscription.change_address("two:1", f.now);
  ListCall at_two = f.last();
  f.advance(300 * kMilli);
  f.subscription.change_address("three:1", f.now);
  ASSERT_TRUE(std::any_of(f.in_flight.begin(), f.in_flight.end(),
                          [&](const ListCall& call) { return call.id == at_two.id; }));
  f.answer(at_two, list("1", true, {host("a", Health::Draining), host("b")}));
  EXPECT_FALSE(f.ready("a"));
  // The latest address is called again, since its list may be older.
  EXPECT_EQ(f.last().address, "three:1");
  f.answer(f.last(), list("7", true, {host("b")}));
  EXPECT_TRUE(f.ready("b"));
}

TEST(ListSubscription, ManyAddressChangesInARowKeepCallsWithinTheReservedDescriptors) {
  Fixture f;
  f.answer(f.last(), list("11", false, {}));
  for (int k = 0; k < 100; ++k) {
    f.advance(30 * kMilli);
    f.subscription.change_address("next:" + std::to_string(k), f.now);
    EXPECT_LE(f.in_flight.size(), 3u + 4u + 8u);
  }
  EXPECT_GE(f.in_flight.size(), 9u);  // the most recent ones stay in flight
}

TEST(ListSubscription, ADrainReportedDuringTheFirstAnswerOfANewAddressCounts) {
  Fixture f;
  f.answer(f.last(), list("11", false, {}));
  f.advance(kSecond);
  ListCall watch = f.last();
  f.subscription.change_address("two:1", f.now);
  f.answer(f.last(), list("1", true, {host("a"), host("b")}));
  f.advance(10 * kMilli);
  f.answer(watch, list("12", false, {host("a", Health::Draining)}));
  EXPECT_FALSE(f.ready("a"));
  f.advance(300 * kMilli);
  EXPECT_EQ(f.last().path, "/discovery/hosts");  // the new address decides
}

TEST(ListSubscription, ADrainReportedWhileAPollBesideTheWatchIsAnsweredCounts) {
  Fixture f;
  f.answer(f.last(), list("11", false, {}));
  f.advance(kMilli);
  ListCall watch = f.last();
  ASSERT_NE(watch.path.find("wait=2"), std::string::npos);
  while (f.in_flight.size() < 2) f.advance(100 * kMilli);  // a poll beside the watch
  f.answer(f.last(), list("11", false, {}));
  f.answer(watch, list("12", false, {host("a", Health::Draining)}));
  EXPECT_FALSE(f.ready("a"));
}

TEST(ListSubscription, ARejectedListOfASupersededCallThatDrainsRequestsTheFullList) {
  Fixture f;
  f.answer(f.last(), list("11", false, {}));
  f.advance(kMilli);
  ListCall watch = f.last();
  while (f.in_flight.size() < 2) f.advance(100 * kMilli);
  f.answer(f.last(), list("11", false, {}));
  f.answer(watch, list("12", false, {host("a", Health::Draining), host("a")}));
  EXPECT_FALSE(f.ready("a"));
  f.advance(300 * kMilli);
  EXPECT_EQ(f.last().path, "/discovery/hosts");
}

TEST(ListSubscription, ARejectedListOfAFormerAddressThatDrainsRequestsTheFullList) {
  Fixture f;
  f.answer(f.last(), list("11", false, {}));
  f.advance(kSecond);
  ListCall watch = f.last();
  f.subscription.change_address("two:1", f.now);
  f.answer(f.last(), list("1", true, {host("a"), host("b")}));
  f.advance(10 * kMilli);
  f.answer(watch, list("12", false, {host("a", Health::Draining), host("a")}));
  EXPECT_FALSE(f.ready("a"));
  f.advance(300 * kMilli);
  EXPECT_EQ(f.last().path, "/discovery/hosts");
}

TEST(ListSubscription, ASupersededCallOfTheOldAddressDoesNotSetTheNewVersion) {
  Fixture f;
  f.answer(f.last(), list("11", false, {}));
  f.advance(kMilli);
  ListCall watch = f.last();
  while (f.in_flight.size() < 2) f.advance(100 * kMilli);
  f.answer(f.last(), list("11", false, {}));  // the watch is superseded
  f.subscription.change_address("two:1", f.now);
  f.answer(watch, list("12", false, {host("a", Health::Draining)}));
  EXPECT_FALSE(f.ready("a"));
  EXPECT_EQ(f.subscription.version(), "");
  EXPECT_EQ(f.last().address, "two:1");
  EXPECT_EQ(f.last().path, "/discovery/hosts");
}

// Discovery answers a request for the full list with a partial one.
TEST(ListSubscription, APartialListInsteadOfTheFullOneIsNotRequestedForever) {
  Fixture f;
  f.answer(f.last(), list("11", false, {host("a", Health::Draining), host("a")}));
  ASSERT_TRUE(f.advance(300 * kMilli));
  ASSERT_EQ(f.last().path, "/discovery/hosts");
  f.answer(f.last(), list("11", false, {}));
  f.advance(200 * kMilli);
  EXPECT_NE(f.last().path.find("index=11"), std::string::npos);
}

TEST(ListSubscription, SupersededCallsEndAfter2Seconds) {
  Fixture f;
  f.answer(f.last(), list("11", false, {}));
  while (f.in_flight.size() < 2) f.advance(100 * kMilli);
  int watch = f.in_flight[0].id;
  f.answer(f.last(), list("11", false, {}));
  auto is_out = [&] {
    return std::any_of(f.in_flight.begin(), f.in_flight.end(),
                       [&](const ListCall& c) { return c.id == watch; });
  };
  EXPECT_TRUE(is_out());
  f.advance(2 * kSecond + kMilli);
  EXPECT_FALSE(is_out());
}

// Two of three calls are replaced all the time; the oldest keeps its timeout.
TEST(ListSubscription, AnAgentThatNeeds400MsIsHeardThoughItIsCalledEvery120Ms) {
  Fixture f(1, true);
  ListCall first = f.last();
  f.advance(400 * kMilli);
  ASSERT_TRUE(std::any_of(f.in_flight.begin(), f.in_flight.end(),
                          [&](const ListCall& call) { return call.id == first.id; }));
  f.answer(first, list("11", true, {host("b")}));
  EXPECT_FALSE(f.ready("a"));
}

// What an agent has when it returns counts at once. The grace must also cover 0.15 s of delay in
// the router itself.
TEST(ListSubscription, ASilentAgentIsCalledAtLeastOnceInTheGraceLess150Ms) {
  for (Micros grace : {200 * kMilli, 300 * kMilli, 500 * kMilli, 1500 * kMilli}) {
    Fixture f(1, true, grace);
    Micros made_at = 0;
    for (int seen = f.last().id; f.now < 20 * kSecond;) {
      f.advance(kMilli);
      if (f.last().id == seen) continue;
      seen = f.last().id;
      EXPECT_LE(f.now - made_at, grace - 150 * kMilli) << grace;
      made_at = f.now;
    }
  }
}

}  // namespace
}  // namespace arrowfork
