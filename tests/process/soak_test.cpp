// Seeded runs of a router process in which faults of clients and servers overlap. Each run draws
// its limits, what its servers do, its crowd and its signals from the seed, and is judged by the
// rules.
//
//   SOAK_SEEDS=1-50 process_tests --gtest_filter=Soak.*
//
// Without SOAK_SEEDS a few seeds are played. Each prints its line; a broken one names its seed. The
// second test adds to the same draws spoilt answers, other crowds, a cache server whose process is
// replaced, and upgrades.
#include "rig/soak.hpp"

#include <map>
#include <optional>
#include <set>

#include "router_under_test.hpp"

namespace arrowfork::process_test {
namespace {

constexpr unsigned kFirstSeed = 1, kLastSeed = 6, kLastWideSeed = 8;
constexpr Micros kLoadTime = 3 * kSecond;
// STANDING: later than half a second after its time, an answer counts as none.
constexpr Micros kMaxLate = kSecond / 2;
// PROTOCOL: the kill comes no sooner after SIGTERM, beside the longest deadline.
constexpr Micros kKillDelay = 700 * kMillisecond;
constexpr Micros kLongestDeadline = kSecond;

using rig::SoakCrowd;
using rig::SoakKind;

struct Findings {
  rig::SoakBreaks breaks;
  int late = 0, answered = 0;
  long peak_kib = 0;         ///< of the process with the higher one
  Micros shutdown_time = 0;  ///< of the process that was told to end last
  bool ended_by_themselves = true, ended_cleanly = true;
};

/// One play: the peers, the router's processes and what is found.
class Play {
 public:
  Play(unsigned seed, SoakKind kind) : plan_(seed, kind) {}

  void run() {
    start_servers();
    router_.emplace(options_);
    ASSERT_NE(router_->port(), 0) << router_->log();
    start_clients();
    {
      rig::Crowd crowd(router_->port(), plan_.crowd_options());
      load_and_reload();
      if (leaving_) leaving_->stop();
      ASSERT_FALSE(router_->has_ended()) << router_->log();
      if (plan_.upgrade) upgrade();
      end(*router_);
      for (auto& client : checking_) client->stop();
    }
    judge_all();
    print();
    expect_no_break();
  }

 private:
  void start_servers() {
    options_.memory_mb = plan_.memory_mb;
    options_.sockets = plan_.sockets;
    options_.key_ttl = rig::kSoakKeyWindow;
    options_.keyed_deadline = kLongestDeadline;
    options_.dial_timeout = plan_.dial_timeout;
    if (plan_.upgrade) options_.state_dir = state_.path();
    for (int k = 0; k < plan_.servers; ++k) {
      servers_.push_back(std::make_unique<ScriptedCacheServer>(plan_.script(k)));
      options_.hosts.push_back(
          test::host_json("s-" + std::to_string(k), servers_.back()->address()));
    }
  }

  void start_clients() {
    for (int k = 0; k < 4; ++k)
      checking_.push_back(std::make_unique<rig::WritingClient>(router_->port(), "stock-read",
                                                               "sale-record", kMaxLate));
    if (plan_.clients_leave) leaving_ = std::make_unique<rig::LeavingClients>(router_->port());
  }

  void load_and_reload() {
    for (int k = 0; k < plan_.reloads; ++k) {
      sleep_for(kLoadTime / (plan_.reloads + 1));
      router_->process().signal(SIGHUP);
      router_->process().signal(SIGHUP);
      if (k == 0 && plan_.replaces_server) replace_server();
    }
    sleep_for(kLoadTime / (plan_.reloads + 1));
    if (plan_.reloads == 0 && plan_.replaces_server) replace_server();
  }

  /// The process of a cache server dies, and another one comes up at its address.
  void replace_server() {
    ScriptedCacheServer::Options options;
    options.port = servers_[0]->port();
    servers_[0]->end();
    take_received(*servers_[0]);
    servers_[0] = std::make_unique<ScriptedCacheServer>(plan_.script(plan_.servers), options);
  }

  /// A second process takes over from the first, which is told to end.
  void upgrade() {
    RouterUnderTest& next = next_.emplace(options_);
    wait_until([&] { return next.log().find("taking over") != std::string::npos; });
    end(*router_);
    sleep_for(kSecond);
    ASSERT_FALSE(next.has_ended()) << next.log();
    end(next);
  }

  /// All go on using their connections until the kill.
  void end(RouterUnderTest& router) {
    if (router.has_ended()) return;
    found_.peak_kib = std::max(found_.peak_kib, router.peak_memory_kib());
    router.process().signal(SIGTERM);
    router.process().signal(SIGTERM);
    Micros begin = now();
    while (!router.has_ended() && now() < begin + kLongestDeadline + kKillDelay)
      sleep_for(2 * kMillisecond);
    found_.shutdown_time = now() - begin;
    if (router.has_ended())
      found_.ended_cleanly &= router.process().exited_cleanly();
    else
      found_.ended_by_themselves = false;
    router.process().signal(SIGKILL);
  }

  void take_received(const ScriptedCacheServer& server) {
    std::vector<ReceivedCommand> part = server.received();
    received_.insert(received_.end(), part.begin(), part.end());
  }

  void judge_all() {
    std::set<std::string> unanswered;
    for (auto& client : checking_) {
      found_.late += client->late(), found_.answered += client->answered();
      unanswered.insert(client->unanswered().begin(), client->unanswered().end());
    }
    for (const auto& server : servers_) take_received(*server);
    found_.breaks = rig::judge_soak(
        received_, leaving_ ? leaving_->closed_at() : std::map<std::string, Micros>(), unanswered);
  }

  void print() const {
    std::printf(
        "seed %u: %d MB, %d descriptors, %d servers, faults %.2f, spoilt %.2f, crowd %d of %d, "
        "SIGHUP %d, leaving %d, replaced %d, upgrade %d: %d answers, %d late, %d past window, "
        "%d twice, %d lost, %d after close, peak %.1f MB, ended in %.2f s\n",
        plan_.seed, plan_.memory_mb, plan_.sockets, plan_.servers, plan_.fault_share,
        plan_.spoilt_share, static_cast<int>(plan_.crowd), plan_.crowd_size, plan_.reloads,
        plan_.clients_leave, plan_.replaces_server, plan_.upgrade, found_.answered, found_.late,
        found_.breaks.past_window, found_.breaks.run_twice, found_.breaks.lost,
        found_.breaks.begun_after_close, static_cast<double>(found_.peak_kib) / 1024,
        static_cast<double>(found_.shutdown_time) / kSecond);
  }

  void expect_no_break() const {
#ifdef SANITIZED_PROGRAM
    // Commands of 980 fields by the hundred take that program longer than their time.
    bool judges_time = plan_.crowd != SoakCrowd::ManyFields;
#else
    bool judges_time = true;
#endif
    if (judges_time) {
      EXPECT_EQ(found_.late, 0);
    }
    EXPECT_EQ(found_.breaks.past_window, 0);
    EXPECT_EQ(found_.breaks.run_twice, 0);
    EXPECT_EQ(found_.breaks.lost, 0);
    EXPECT_EQ(found_.breaks.begun_after_close, 0);
#ifndef SANITIZED_PROGRAM
    EXPECT_LT(found_.peak_kib, plan_.memory_mb * 1024L);
    EXPECT_TRUE(found_.ended_by_themselves);
#endif
    EXPECT_TRUE(found_.ended_cleanly) << router_->log() << (next_ ? next_->log() : "");
  }

  rig::SoakPlan plan_;
  RouterOptions options_;
  rig::TemporaryDirectory state_;
  std::vector<std::unique_ptr<ScriptedCacheServer>> servers_;
  std::optional<RouterUnderTest> router_, next_;
  std::vector<std::unique_ptr<rig::WritingClient>> checking_;
  std::unique_ptr<rig::LeavingClients> leaving_;
  std::vector<ReceivedCommand> received_;
  Findings found_;
};

void play_seeds(SoakKind kind, unsigned last) {
  unsigned first = kFirstSeed;
  if (const char* seeds = std::getenv("SOAK_SEEDS")) {
    ASSERT_EQ(std::sscanf(seeds, "%u-%u", &first, &last), 2) << "SOAK_SEEDS=FIRST-LAST is wanted";
  }
  ASSERT_LE(first, last) << "SOAK_SEEDS: empty range";
  for (unsigned seed = first; seed <= last; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Play(seed, kind).run();
  }
}

TEST(Soak, RulesHoldWhileFaultsOverlap) { play_seeds(SoakKind::Usual, kLastSeed); }

TEST(Soak, RulesHoldOverUpgradesAndSpoiltAnswers) { play_seeds(SoakKind::Wide, kLastWideSeed); }

}  // namespace
}  // namespace arrowfork::process_test
