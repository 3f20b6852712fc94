// One suite over all four pairs of client and server protocol: the same is seen at both ends, and
// the module is told and decides the same, to the byte.
#include <list>

#include "../drill_lines.hpp"
#include "talk.hpp"

namespace arrowfork::test {
namespace {

using namespace std::string_literals;

/// Two servers and one client of a pair of protocols, with a router between them.
class Pair {
 public:
  Pair(Speaks client, Speaks server) : client_talk(client), server(server) {
    config_.hosts = {host_json("s-1", a_.address()), host_json("s-2", b_.address())};
    config_.mode = "automatic";
    config_.discovery = discovery_.address();  // silent: the list stays as known
    config_.binary = R"({"read_class":"read","write_class":"put","idempotency":"cas",
      "server_idempotency":"cas","servers":[{"id":")" +
                     std::string(server == Speaks::Binary ? "s-*" : "none-*") + R"("}]})";
  }
  /// Writes go to a class that must not run twice.
  void write_once() { config_.binary.replace(config_.binary.find("\"put\""), 5, "\"pay\""); }
  void no_servers() { config_.hosts.clear(); }
  void start() {
    router_ = std::make_unique<RunningRouter>(config_, &clock, &tap_);
    client = router_->client();
  }
  struct Arrival {
    TestConnection* link;
    std::size_t server;
    Asked asked;
  };
  /// The next command that comes to a server, on a new connection or an open one.
  Arrival arrival() {
    while (true) {
      std::vector<pollfd> fds = {{a_.fd(), POLLIN, 0}, {b_.fd(), POLLIN, 0}};
      for (auto& one : links_) fds.push_back({one.link.fd(), POLLIN, 0});
      if (::poll(fds.data(), fds.size(), kTestTimeoutMs) <= 0) {
        ADD_FAILURE() << "nothing comes";
        return {nullptr, 0, {}};
      }
      std::size_t k = 2;
      for (auto& one : links_)
        if (fds[k++].revents) return {&one.link, one.server, server.read(one.link)};
      for (std::size_t who : {0u, 1u})
        if (fds[who].revents) links_.push_back({(who ? b_ : a_).accept(), who});
    }
  }
  void forget(TestConnection* link) {
    links_.remove_if([&](const Open& one) { return &one.link == link; });
  }
  bool nothing_comes(int ms) const {
    std::vector<pollfd> fds = {{a_.fd(), POLLIN, 0}, {b_.fd(), POLLIN, 0}};
    for (auto& one : links_) fds.push_back({one.link.fd(), POLLIN, 0});
    return ::poll(fds.data(), fds.size(), ms) == 0;
  }
  std::string record() {
    router_.reset();
    return tap_.lines;
  }

  TestClock clock;
  ClientTalk client_talk;
  ServerTalk server;
  TestConnection client;

 private:
  struct Open {
    TestConnection link;
    std::size_t server;
  };
  Peer a_, b_, discovery_;
  ConfigText config_;
  DrillLines tap_;
  std::unique_ptr<RunningRouter> router_;
  std::list<Open> links_;
};

void over_all_pairs(const std::function<void(Pair&)>& play) {
  std::string first;
  for (Speaks client : {Speaks::Meta, Speaks::Binary})
    for (Speaks server : {Speaks::Meta, Speaks::Binary}) {
      SCOPED_TRACE(std::string(name_of(client)) + " client, " + name_of(server) + " server");
      Pair pair(client, server);
      play(pair);
      std::string record = pair.record();
      EXPECT_NE(record.find("request"), record.npos);
      if (first.empty()) first = record;
      EXPECT_EQ(record, first);
    }
}

const std::string kValue = "a value\r\nEN\r\n\0\x80\x81 with bytes of any kind"s;
const std::string kReceipt = "00f1e2d3c4b5a697", kIdempotency = "5c0f6e1a2b3d4c59";

TEST(Pairs, AReadsValueAndFlagsComeBackIntact) {
  over_all_pairs([](Pair& p) {
    p.start();
    for (std::uint32_t flags : {0u, 5u, 0xffffffffu}) {
      std::string key = "key" + std::to_string(flags);
      p.client_talk.get(p.client, key, key);
      auto [link, who, asked] = p.arrival();
      EXPECT_FALSE(asked.write);
      EXPECT_EQ(asked.key, key);
      p.server.serve(*link, asked, kValue, flags);
      Told told = p.client_talk.told(p.client);
      EXPECT_EQ(told.what, "value");
      EXPECT_EQ(told.text, kValue);
      EXPECT_EQ(told.flags, flags);
    }
  });
}

TEST(Pairs, TheLargestValueAndAnEmptyOnePass) {
  over_all_pairs([](Pair& p) {
    p.start();
    for (std::size_t size : {std::size_t{0}, kMaxValue}) {
      std::string value(size, 'v'), id = "i" + std::to_string(size);
      p.client_talk.get(p.client, "key", id);
      auto [link, who, asked] = p.arrival();
      p.server.serve(*link, asked, value, 1);
      EXPECT_EQ(p.client_talk.told(p.client).text, value);
      p.client_talk.set(p.client, "put", "key", value, 1, kIdempotency, "w" + id);
      auto [to, whom, written] = p.arrival();
      EXPECT_EQ(written.value, value);
      p.server.store(*to, written, kReceipt);
      EXPECT_EQ(p.client_talk.told(p.client).what, "receipt");
    }
  });
}

TEST(Pairs, AWriteArrivesWholeAndItsReceiptComesBack) {
  over_all_pairs([](Pair& p) {
    p.start();
    p.client_talk.set(p.client, "put", "key", kValue, 77, kIdempotency, "w1");
    auto [link, who, asked] = p.arrival();
    EXPECT_TRUE(asked.write);
    EXPECT_EQ(asked.key, "key");
    EXPECT_EQ(asked.value, kValue);
    EXPECT_EQ(asked.flags, 77u);
    EXPECT_EQ(asked.idempotency, kIdempotency);
    p.server.store(*link, asked, kReceipt);
    Told told = p.client_talk.told(p.client);
    EXPECT_EQ(told.what, "receipt");
    EXPECT_EQ(told.text, kReceipt);
  });
}

TEST(Pairs, BusyAndResetGoElsewhere) {
  over_all_pairs([](Pair& p) {
    p.start();
    p.client_talk.get(p.client, "key", "b1");
    auto [first, who, asked] = p.arrival();
    p.server.busy(*first, asked);
    auto [second, other, again] = p.arrival();
    EXPECT_NE(who, other);
    EXPECT_EQ(again.key, "key");
    p.server.serve(*second, again, "fine", 0);
    EXPECT_EQ(p.client_talk.told(p.client).text, "fine");
    p.client_talk.get(p.client, "key", "b2");
    auto [third, which, asked2] = p.arrival();
    third->send_reset();
    p.forget(third);
    auto [fourth, spare, again2] = p.arrival();
    EXPECT_NE(which, spare);
    p.server.serve(*fourth, again2, "fine too", 0);
    EXPECT_EQ(p.client_talk.told(p.client).text, "fine too");
  });
}

TEST(Pairs, AWriteThatMustNotRunTwiceFailsWhenItMayHaveRun) {
  over_all_pairs([](Pair& p) {
    p.write_once();
    p.start();
    p.client_talk.set(p.client, "pay", "key", "v", 0, "", "p1");
    auto [link, who, asked] = p.arrival();
    link->send_reset();
    p.forget(link);
    EXPECT_EQ(p.client_talk.told(p.client).what, "failed");
    EXPECT_TRUE(p.nothing_comes(50));
  });
}

TEST(Pairs, AKeyedWriteIsRepeatedUnderItsKey) {
  over_all_pairs([](Pair& p) {
    p.start();
    p.client_talk.set(p.client, "put", "key", "v", 0, kIdempotency, "k1");
    auto [link, who, asked] = p.arrival();
    link->send_reset();
    p.forget(link);
    auto [second, other, again] = p.arrival();
    EXPECT_NE(who, other);
    EXPECT_EQ(again.idempotency, kIdempotency);
    p.server.store(*second, again, kReceipt);
    EXPECT_EQ(p.client_talk.told(p.client).text, kReceipt);
  });
}

TEST(Pairs, WithNoServerARequestIsRefusedAndToldWhenToComeAgain) {
  over_all_pairs([](Pair& p) {
    p.no_servers();
    p.start();
    p.client_talk.get(p.client, "key", "n1");
    Told told = p.client_talk.told(p.client);
    EXPECT_EQ(told.what, "refused");
    EXPECT_GT(told.wait_ms, 0);
  });
}

TEST(Pairs, ASilentServersRequestIsAnsweredInTimeAndTheLateAnswerDropped) {
  over_all_pairs([](Pair& p) {
    p.write_once();
    p.start();
    p.client_talk.set(p.client, "pay", "key", "v", 0, "", "s1");
    auto [link, who, asked] = p.arrival();
    p.clock.pass(21 * kSecond);
    EXPECT_EQ(p.client_talk.told(p.client).what, "failed");
    p.client_talk.get(p.client, "key", "s2");
    p.server.store(*link, asked, kReceipt);  // late; the connection has been given up
    p.forget(link);
    auto [second, other, again] = p.arrival();
    EXPECT_FALSE(again.write);
    p.server.serve(*second, again, "fine", 0);
    EXPECT_EQ(p.client_talk.told(p.client).text, "fine");
  });
}

TEST(Pairs, AnswersComeInTheOrderOfTheCommands) {
  over_all_pairs([](Pair& p) {
    p.start();
    p.client_talk.get(p.client, "one", "o1");
    auto [first, who, one] = p.arrival();
    p.client_talk.get(p.client, "two", "o2");
    auto [second, other, two] = p.arrival();
    EXPECT_EQ(one.key, "one");
    EXPECT_EQ(two.key, "two");
    p.server.serve(*second, two, "2", 0);
    EXPECT_TRUE(p.client.stays_silent(50));
    p.server.serve(*first, one, "1", 0);
    EXPECT_EQ(p.client_talk.told(p.client).text, "1");
    EXPECT_EQ(p.client_talk.told(p.client).text, "2");
  });
}

TEST(Pairs, ErrorsAreFailures) {
  over_all_pairs([](Pair& p) {
    p.write_once();
    p.start();
    p.client_talk.set(p.client, "pay", "key", "v", 0, "", "e1");
    auto [link, who, asked] = p.arrival();
    p.server.fail(*link, asked);
    EXPECT_EQ(p.client_talk.told(p.client).what, "failed");
  });
}

}  // namespace
}  // namespace arrowfork::test
