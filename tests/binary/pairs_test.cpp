// Runs each test over all four pairs of client and server protocol. Both ends must see the same
// results, and the recorded inputs and decisions of the module must be equal to the byte.
#include <list>

#include "../drill_lines.hpp"
#include "scripted_peers.hpp"

namespace arrowfork::test {
namespace {

using namespace std::string_literals;

/// Two servers of one protocol and a client of one protocol, with a router between them.
class ProtocolPair {
 public:
  ProtocolPair(WireProtocol client, WireProtocol server) : scripted_client(client), server(server) {
    config_.hosts = {host_json("s-1", a_.address()), host_json("s-2", b_.address())};
    config_.mode = "automatic";
    config_.discovery = discovery_.address();  // never answers: the list stays as configured
    config_.binary = R"({"read_class":"read","write_class":"put","idempotency":"cas",
      "server_idempotency":"cas","servers":[{"id":")" +
                     std::string(server == WireProtocol::Binary ? "s-*" : "none-*") + R"("}]})";
  }
  /// Binary clients write with a class that must not run twice.
  void write_once() { config_.binary.replace(config_.binary.find("\"put\""), 5, "\"pay\""); }
  void no_servers() { config_.hosts.clear(); }
  void start() {
    router_ = std::make_unique<RunningRouter>(config_, &clock, &tap_);
    client = router_->client();
  }
  struct Arrival {
    TestConnection* link;
    std::size_t server;
    ReceivedCommand command;
  };
  /// Waits for the next command at a server, on a new connection or an open one.
  Arrival arrival() {
    while (true) {
      std::vector<pollfd> fds = {{a_.fd(), POLLIN, 0}, {b_.fd(), POLLIN, 0}};
      for (auto& one : links_) fds.push_back({one.link.fd(), POLLIN, 0});
      if (::poll(fds.data(), fds.size(), kTestTimeoutMs) <= 0) {
        ADD_FAILURE() << "timeout: received nothing";
        return {nullptr, 0, {}};
      }
      std::size_t k = 2;
      for (auto& one : links_)
        if (fds[k++].revents) return {&one.link, one.server, server.read(one.link)};
      for (std::size_t who : {0u, 1u})
        if (fds[who].revents) links_.push_back({(who ? b_ : a_).accept(), who});
    }
  }
  void remove_connection(TestConnection* link) {
    links_.remove_if([&](const Open& one) { return &one.link == link; });
  }
  bool nothing_arrives(int ms) const {
    std::vector<pollfd> fds = {{a_.fd(), POLLIN, 0}, {b_.fd(), POLLIN, 0}};
    for (auto& one : links_) fds.push_back({one.link.fd(), POLLIN, 0});
    return ::poll(fds.data(), fds.size(), ms) == 0;
  }
  std::string record() {
    router_.reset();
    return tap_.lines;
  }

  TestClock clock;
  ScriptedClient scripted_client;
  ScriptedServer server;
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

void run_for_all_pairs(const std::function<void(ProtocolPair&)>& scenario) {
  std::string first;
  for (WireProtocol client : {WireProtocol::Meta, WireProtocol::Binary})
    for (WireProtocol server : {WireProtocol::Meta, WireProtocol::Binary}) {
      SCOPED_TRACE(std::string(name_of(client)) + " client, " + name_of(server) + " server");
      ProtocolPair pair(client, server);
      scenario(pair);
      std::string record = pair.record();
      EXPECT_NE(record.find("request"), record.npos);
      if (first.empty()) first = record;
      EXPECT_EQ(record, first);
    }
}

const std::string kValue = "a value\r\nEN\r\n\0\x80\x81 with bytes of any kind"s;
const std::string kReceipt = "00f1e2d3c4b5a697", kIdempotency = "5c0f6e1a2b3d4c59";

TEST(Pairs, ReadReturnsValueAndFlagsUnchanged) {
  run_for_all_pairs([](ProtocolPair& p) {
    p.start();
    for (std::uint32_t flags : {0u, 5u, 0xffffffffu}) {
      std::string key = "key" + std::to_string(flags);
      p.scripted_client.get(p.client, key, key);
      auto [link, who, command] = p.arrival();
      EXPECT_FALSE(command.write);
      EXPECT_EQ(command.key, key);
      p.server.serve(*link, command, kValue, flags);
      ClientReply reply = p.scripted_client.read_reply(p.client);
      EXPECT_EQ(reply.what, "value");
      EXPECT_EQ(reply.text, kValue);
      EXPECT_EQ(reply.flags, flags);
    }
  });
}

TEST(Pairs, LargestAndEmptyValuesAreForwarded) {
  run_for_all_pairs([](ProtocolPair& p) {
    p.start();
    for (std::size_t size : {std::size_t{0}, kMaxValue}) {
      std::string value(size, 'v'), id = "i" + std::to_string(size);
      p.scripted_client.get(p.client, "key", id);
      auto [link, who, command] = p.arrival();
      p.server.serve(*link, command, value, 1);
      EXPECT_EQ(p.scripted_client.read_reply(p.client).text, value);
      p.scripted_client.set(p.client, "put", "key", value, 1, kIdempotency, "w" + id);
      auto [to, whom, written] = p.arrival();
      EXPECT_EQ(written.value, value);
      p.server.store(*to, written, kReceipt);
      EXPECT_EQ(p.scripted_client.read_reply(p.client).what, "receipt");
    }
  });
}

TEST(Pairs, WriteIsForwardedCompletelyAndItsReceiptReturned) {
  run_for_all_pairs([](ProtocolPair& p) {
    p.start();
    p.scripted_client.set(p.client, "put", "key", kValue, 77, kIdempotency, "w1");
    auto [link, who, command] = p.arrival();
    EXPECT_TRUE(command.write);
    EXPECT_EQ(command.key, "key");
    EXPECT_EQ(command.value, kValue);
    EXPECT_EQ(command.flags, 77u);
    EXPECT_EQ(command.idempotency, kIdempotency);
    p.server.store(*link, command, kReceipt);
    ClientReply reply = p.scripted_client.read_reply(p.client);
    EXPECT_EQ(reply.what, "receipt");
    EXPECT_EQ(reply.text, kReceipt);
  });
}

TEST(Pairs, BusyAndResetAreRetriedAtTheOtherServer) {
  run_for_all_pairs([](ProtocolPair& p) {
    p.start();
    p.scripted_client.get(p.client, "key", "b1");
    auto [first, who, command] = p.arrival();
    p.server.busy(*first, command);
    auto [second, other, retry] = p.arrival();
    EXPECT_NE(who, other);
    EXPECT_EQ(retry.key, "key");
    p.server.serve(*second, retry, "fine", 0);
    EXPECT_EQ(p.scripted_client.read_reply(p.client).text, "fine");
    p.scripted_client.get(p.client, "key", "b2");
    auto [third, which, command2] = p.arrival();
    third->send_reset();
    p.remove_connection(third);
    auto [fourth, spare, retry2] = p.arrival();
    EXPECT_NE(which, spare);
    p.server.serve(*fourth, retry2, "fine too", 0);
    EXPECT_EQ(p.scripted_client.read_reply(p.client).text, "fine too");
  });
}

TEST(Pairs, NonRepeatableWriteFailsIfItMayHaveRun) {
  run_for_all_pairs([](ProtocolPair& p) {
    p.write_once();
    p.start();
    p.scripted_client.set(p.client, "pay", "key", "v", 0, "", "p1");
    auto [link, who, command] = p.arrival();
    link->send_reset();
    p.remove_connection(link);
    EXPECT_EQ(p.scripted_client.read_reply(p.client).what, "failed");
    EXPECT_TRUE(p.nothing_arrives(50));
  });
}

TEST(Pairs, KeyedWriteIsRetriedWithItsIdempotencyKey) {
  run_for_all_pairs([](ProtocolPair& p) {
    p.start();
    p.scripted_client.set(p.client, "put", "key", "v", 0, kIdempotency, "k1");
    auto [link, who, command] = p.arrival();
    link->send_reset();
    p.remove_connection(link);
    auto [second, other, retry] = p.arrival();
    EXPECT_NE(who, other);
    EXPECT_EQ(retry.idempotency, kIdempotency);
    p.server.store(*second, retry, kReceipt);
    EXPECT_EQ(p.scripted_client.read_reply(p.client).text, kReceipt);
  });
}

TEST(Pairs, RequestWithoutServersIsRefusedWithARetryTime) {
  run_for_all_pairs([](ProtocolPair& p) {
    p.no_servers();
    p.start();
    p.scripted_client.get(p.client, "key", "n1");
    ClientReply reply = p.scripted_client.read_reply(p.client);
    EXPECT_EQ(reply.what, "refused");
    EXPECT_GT(reply.wait_ms, 0);
  });
}

TEST(Pairs, RequestAtASilentServerFailsInTimeAndTheLateAnswerIsDropped) {
  run_for_all_pairs([](ProtocolPair& p) {
    p.write_once();
    p.start();
    p.scripted_client.set(p.client, "pay", "key", "v", 0, "", "s1");
    auto [link, who, command] = p.arrival();
    p.clock.advance(21 * kSecond);
    EXPECT_EQ(p.scripted_client.read_reply(p.client).what, "failed");
    p.scripted_client.get(p.client, "key", "s2");
    p.server.store(*link, command, kReceipt);  // late; the router has abandoned the connection
    p.remove_connection(link);
    auto [second, other, retry] = p.arrival();
    EXPECT_FALSE(retry.write);
    p.server.serve(*second, retry, "fine", 0);
    EXPECT_EQ(p.scripted_client.read_reply(p.client).text, "fine");
  });
}

TEST(Pairs, AnswersKeepTheOrderOfTheCommands) {
  run_for_all_pairs([](ProtocolPair& p) {
    p.start();
    p.scripted_client.get(p.client, "one", "o1");
    auto [first, who, one] = p.arrival();
    p.scripted_client.get(p.client, "two", "o2");
    auto [second, other, two] = p.arrival();
    EXPECT_EQ(one.key, "one");
    EXPECT_EQ(two.key, "two");
    p.server.serve(*second, two, "2", 0);
    EXPECT_TRUE(p.client.stays_silent(50));
    p.server.serve(*first, one, "1", 0);
    EXPECT_EQ(p.scripted_client.read_reply(p.client).text, "1");
    EXPECT_EQ(p.scripted_client.read_reply(p.client).text, "2");
  });
}

TEST(Pairs, ServerErrorIsReportedAsFailure) {
  run_for_all_pairs([](ProtocolPair& p) {
    p.write_once();
    p.start();
    p.scripted_client.set(p.client, "pay", "key", "v", 0, "", "e1");
    auto [link, who, command] = p.arrival();
    p.server.fail(*link, command);
    EXPECT_EQ(p.scripted_client.read_reply(p.client).what, "failed");
  });
}

}  // namespace
}  // namespace arrowfork::test
