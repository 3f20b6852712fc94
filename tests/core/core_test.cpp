// The core without a protocol and without sockets: attempts are carried out by the test.
#include "core/core.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "../support.hpp"

namespace arrowfork {
namespace {

using robinseam::test::basic_settings;
using robinseam::test::fleet;

class CoreTest : public testing::Test, public TimeSource, public Carrier, public Lister {
 protected:
  struct Sink final : ReplySink {
    void on_reply(const Request&, Reply&& reply) override {
      ++replies;
      last = std::move(reply);
    }
    int replies = 0;
    Reply last;
  };
  struct Sent {
    std::string server;
    RequestId id;
    int attempt;
  };

  CoreTest() { use(basic_settings()); }
  void use(const robinseam::Settings& settings, std::size_t max_open = 100) {
    core_ = std::make_unique<Core>(settings, 7, *this, *this, max_open, 8192);
    core_->start(fleet(4));
    core_->turn();
  }
  static robinseam::Settings with_put(robinseam::Effect effect) {
    robinseam::Settings s = basic_settings();
    s.classes.push_back(s.classes[0]);
    s.classes[1].name = "put";
    s.classes[1].effect = effect;
    s.classes[1].key_ttl = 10 * kSecond;
    return s;
  }
  Request read(const std::string& id = "") {
    Request r;
    r.key = "key";
    r.id = id;
    r.type = "read";
    r.patience = 500 * kMillisecond;
    return r;
  }
  Request put(const std::string& idempotency) {
    Request r = read();
    r.type = "put";
    r.write = true;
    r.idempotency = idempotency;
    r.value = std::make_shared<const std::string>("v");
    return r;
  }
  RequestId take(Request&& request, Sink& sink) {
    RequestId id = 0;
    EXPECT_EQ(core_->take(std::move(request), sink, *this, id), Core::Taken::Yes);
    core_->turn();
    return id;
  }
  void end(std::size_t sent, Status status, AttemptResult result = {}) {
    core_->attempt_ended(sent_[sent].id, sent_[sent].attempt, status, std::move(result));
    core_->turn();
  }

  // TimeSource, Carrier, Lister
  Micros now() const override { return now_; }
  void send(const std::string& server, RequestId id, int attempt, const Request& request,
            Micros wait) override {
    EXPECT_GT(wait, 0);
    names_.insert(request.id);
    sent_.push_back({server, id, attempt});
  }
  Status cancel(const std::string&, RequestId, int) override {
    ++cancelled_;
    return Status::Cancelled;
  }
  std::optional<Status> end(const std::string&, RequestId, int) override { return ends_; }
  bool take_back(const std::string&, RequestId, int) override { return unwritten_; }
  bool keeps_key(const Request&) const override { return keeps_key_; }
  void watch() override {}
  void fetch() override {}

  Micros now_ = 1'000 * kSecond;
  bool keeps_key_ = true;
  int cancelled_ = 0;
  std::optional<Status> ends_ = Status::Cancelled;  // what end() comes to
  bool unwritten_ = false;                          // attempts wait to be sent
  std::vector<Sent> sent_;
  std::set<std::string> names_;
  std::unique_ptr<Core> core_;
};

TEST_F(CoreTest, AReadIsCarriedOutAndItsValueGivenOnce) {
  Sink sink;
  take(read(), sink);
  ASSERT_EQ(sent_.size(), 1u);
  AttemptResult result;
  result.value = "fine";
  result.flags = 5;
  end(0, Status::Ok, result);
  EXPECT_EQ(sink.replies, 1);
  EXPECT_EQ(sink.last.kind, Reply::Kind::Served);
  EXPECT_EQ(sink.last.value, "fine");
  EXPECT_EQ(sink.last.flags, 5u);
  EXPECT_EQ(core_->open_requests(), 0u);
  end(0, Status::Ok, result);  // again, and for an attempt that never was
  core_->attempt_ended(sent_[0].id, 9, Status::Ok, {});
  EXPECT_EQ(sink.replies, 1);
}

TEST_F(CoreTest, OutcomesAreCountedByServerUntilTheyAreTaken) {
  Sink sink;
  take(read(), sink);
  end(0, Status::Reset);
  end(1, Status::Ok);
  auto counts = core_->take_server_counts();
  ASSERT_EQ(counts.size(), 2u);
  EXPECT_EQ(counts[sent_[0].server][static_cast<std::size_t>(Status::Reset)], 1u);
  EXPECT_EQ(counts[sent_[1].server][static_cast<std::size_t>(Status::Ok)], 1u);
  EXPECT_TRUE(core_->take_server_counts().empty());
}

TEST_F(CoreTest, AnAttemptNumberThatNeverWasIsIgnored) {
  Sink sink;
  RequestId id = take(read(), sink);
  core_->attempt_ended(id, 3, Status::Ok, {});
  core_->attempt_ended(id, -1, Status::Ok, {});
  EXPECT_EQ(sink.replies, 0);
}

TEST_F(CoreTest, ResetsGoElsewhereUntilTheRequestIsAnswered) {
  Sink sink;
  take(read(), sink);
  end(0, Status::Reset);
  ASSERT_EQ(sent_.size(), 2u);
  EXPECT_NE(sent_[0].server, sent_[1].server);
  end(1, Status::Ok);
  EXPECT_EQ(sink.last.kind, Reply::Kind::Served);
}

TEST_F(CoreTest, TheDeadlineIsTheClassesAtMostAndGivesAnAnswer) {
  Sink sink;
  Request r = read();
  r.patience = 3600 * kSecond;
  take(std::move(r), sink);
  // Each timer in its turn, until the deadline of 600 ms and the guard behind it.
  while (core_->next_timer() && core_->next_timer() <= 1'000 * kSecond + 615 * kMillisecond) {
    now_ = core_->next_timer();
    core_->turn();
  }
  EXPECT_EQ(sink.replies, 1);
  EXPECT_NE(sink.last.kind, Reply::Kind::Served);
  EXPECT_GE(cancelled_, 1);
  EXPECT_EQ(core_->open_requests(), 0u);
}

TEST_F(CoreTest, WhatIsNotTakenIsLeftAsItWas) {
  use(basic_settings(), 1);
  Sink sink;
  RequestId id = 0;
  Request unknown = read();
  unknown.type = "other";
  EXPECT_EQ(core_->take(std::move(unknown), sink, *this, id), Core::Taken::BadClass);
  EXPECT_EQ(unknown.key, "key");
  take(read("a"), sink);
  EXPECT_EQ(core_->take(read("a"), sink, *this, id), Core::Taken::IdInUse);
  EXPECT_EQ(core_->take(read("b"), sink, *this, id), Core::Taken::Busy);
  EXPECT_EQ(sink.replies, 0);
}

TEST_F(CoreTest, IdsOfItsOwnAreNeverTwiceTheSame) {
  Sink sink;
  for (int k = 0; k < 1000; ++k) {
    take(read(), sink);
    end(sent_.size() - 1, Status::Ok);
  }
  EXPECT_EQ(names_.size(), 1000u);
  for (const std::string& name : names_) EXPECT_EQ(name.size(), 16u);
}

TEST_F(CoreTest, NobodyIsToldOnceTheClientIsGone) {
  Sink sink;
  RequestId id = take(read(), sink);
  core_->gone(id);
  core_->turn();
  EXPECT_EQ(cancelled_, 1);
  EXPECT_EQ(sink.replies, 0);
  EXPECT_EQ(core_->open_requests(), 0u);
}

// Nothing of it has been sent: it is taken back at once, and not by leave of the settings.
TEST_F(CoreTest, WhatWaitsUnsentForAClientThatIsGoneIsTakenBack) {
  robinseam::Settings settings = basic_settings();
  settings.may_cancel = false;
  for (bool unwritten : {true, false}) {
    use(settings);
    unwritten_ = unwritten;
    Sink sink;
    RequestId id = take(read(), sink);
    core_->gone(id);
    core_->turn();
    EXPECT_EQ(core_->open_requests(), unwritten ? 0u : 1u);
    EXPECT_EQ(cancelled_, 0);
  }
}

// A moment later, and the client may still read: what has not been sent by then never ran.
TEST_F(CoreTest, WhatWaitsUnsentForAClientThatHasLeftIsTakenBackAMomentLater) {
  struct Case {
    const char* idempotency;
    bool unwritten;
    int replies;
    Reply::Kind kind;
  };
  for (const Case& c : {Case{nullptr, true, 1, Reply::Kind::Refused},
                        Case{"k1", true, 1, Reply::Kind::Failed},  // an earlier try may have run
                        Case{nullptr, false, 0, Reply::Kind::Failed}}) {
    use(with_put(robinseam::Effect::Keyed));
    unwritten_ = c.unwritten;
    Sink sink;
    RequestId id = take(c.idempotency ? put(c.idempotency) : read(), sink);
    core_->left(id);
    core_->turn();
    EXPECT_EQ(sink.replies, 0);
    now_ += 50 * kMillisecond;
    core_->turn();
    EXPECT_EQ(sink.replies, c.replies);
    EXPECT_EQ(core_->open_requests(), c.replies ? 0u : 1u);
    if (c.replies) {
      EXPECT_EQ(sink.last.kind, c.kind);
    }
  }
}

// Two may not be out at once, and the first can't be ended yet: nothing follows until it can.
TEST_F(CoreTest, WithoutSecondCopiesNoAttemptFollowsOneThatIsStillOut) {
  robinseam::Settings settings = basic_settings();
  settings.may_hedge = false;
  use(settings);
  Sink sink;
  ends_ = std::nullopt;
  Request r = read();
  r.patience = 600 * kMillisecond;
  take(std::move(r), sink);
  Micros begun = now_;
  for (; now_ < begun + 400 * kMillisecond; now_ += kMillisecond) core_->turn();
  EXPECT_EQ(sent_.size(), 1u);
  ends_ = Status::Cancelled;
  now_ += 20 * kMillisecond;
  core_->turn();
  EXPECT_EQ(sent_.size(), 2u);
  EXPECT_EQ(sent_.back().attempt, 1);
}

TEST_F(CoreTest, AClientThatHasLeftGetsWhatWasOutAndNothingNewIsSent) {
  Sink sink;
  RequestId id = take(read(), sink);
  core_->left(id);
  core_->turn();
  EXPECT_EQ(cancelled_, 0);
  end(0, Status::Reset);
  EXPECT_EQ(sent_.size(), 1u);
  EXPECT_EQ(sink.replies, 1);
  EXPECT_EQ(sink.last.kind, Reply::Kind::Failed);
}

TEST_F(CoreTest, AKeyedWriteIsRepeatedOnlyWhereItsKeyIsKept) {
  for (auto [idempotency, kept, repeated] :
       {std::tuple{"k1", true, true}, {"", true, false}, {"k1", false, false}}) {
    use(with_put(robinseam::Effect::Keyed));
    sent_.clear();
    keeps_key_ = kept;
    Sink sink;
    take(put(idempotency), sink);
    end(0, Status::Reset);
    EXPECT_EQ(sent_.size(), repeated ? 2u : 1u) << idempotency << kept;
    EXPECT_EQ(sink.replies, repeated ? 0 : 1);
    if (!repeated) {
      EXPECT_EQ(sink.last.kind, Reply::Kind::Failed);  // refused would promise that it never ran
    }
  }
}

TEST_F(CoreTest, AWriteWithoutAKeyGoesOnAfterAProvenNonRun) {
  use(with_put(robinseam::Effect::Keyed));
  Sink sink;
  take(put(""), sink);
  end(0, Status::ConnectFailed);
  EXPECT_EQ(sent_.size(), 2u);
}

TEST_F(CoreTest, AMissIsToldOfOnlyInAsideMode) {
  Sink sink;
  take(read(), sink);
  for (std::size_t k = 0; k < sent_.size(); ++k) end(k, Status::Miss);
  EXPECT_EQ(sink.replies, 1);
  EXPECT_FALSE(sink.last.missed);
  robinseam::Settings aside = robinseam::test::cache_aside_settings();
  core_ = std::make_unique<Core>(aside, 7, *this, *this, 10, 8192);
  auto servers = fleet(3);
  servers[2].kind = "ledger";
  core_->start(servers);
  core_->turn();
  sent_.clear();
  Sink other;
  take(read(), other);
  for (std::size_t k = 0; k < sent_.size(); ++k) end(k, Status::Miss);
  EXPECT_EQ(sent_.size(), 2u);
  EXPECT_EQ(sent_.back().server, servers[2].id);
  EXPECT_EQ(other.replies, 1);
  EXPECT_TRUE(other.last.missed);
}

}  // namespace
}  // namespace arrowfork
