// Edge cases of the binary protocol, over loopback against a running router: malformed and cut
// input, quiet commands, wrong or late answers, servers configured for the wrong protocol.
#include <sys/socket.h>

#include <atomic>
#include <set>

#include "scripted_peers.hpp"

namespace arrowfork::test {
namespace {

using binary::Opcode;

const char* const kAllBinary = R"({"write_class":"pay","servers":[{"id":"*"}]})";

ConfigText binary_config(const std::vector<Peer*>& servers) {
  ConfigText c;
  c.binary = kAllBinary;
  for (std::size_t k = 0; k < servers.size(); ++k)
    c.hosts.push_back(host_json("s-" + std::to_string(k + 1), servers[k]->address()));
  return c;
}

/// The answer of a binary server: "v:KEY" to a read, CAS 7 to a write.
std::string good_answer(const binary::Command& c) {
  if (binary::is_write(c.opcode))
    return binary::response(c.opcode, binary::status::kOk, c.opaque, {}, {}, 0, 7);
  return served(c, "v:" + c.key);
}
std::function<std::string(const std::string&)> good_server() {
  return [](const std::string& p) { return good_answer(command_of(p)); };
}

/// Reads `count` answers, fewer if the connection closes before.
std::vector<binary::Answer> read_answers(TestConnection& client, std::size_t count) {
  std::vector<binary::Answer> all;
  while (all.size() < count) {
    std::string p = read_packet(client);
    if (p.size() < binary::kHeader) break;
    all.push_back(answer_of(p));
  }
  return all;
}

class OneServer : public testing::Test {
 protected:
  void start() {
    ConfigText c;
    c.binary = kAllBinary;
    c.hosts = {host_json("s-1", server_.address())};
    router_ = std::make_unique<RunningRouter>(c);
    client_ = router_->client();
  }
  void expect_alive() {
    TestConnection other = router_->client();
    other.write(packet(Opcode::GetK, 77, "alive"));
    binary::Answer a = read_answer(other);
    EXPECT_EQ(a.opaque, 77u);
    EXPECT_EQ(a.value, "v:alive");
  }
  ServingPeer server_{good_server(), complete_packet_size};
  std::unique_ptr<RunningRouter> router_;
  TestConnection client_;
};

// ---- clients ----

TEST_F(OneServer, EachReadAndWriteOpcodeGetsItsAnswerForm) {
  start();
  client_.write(packet(Opcode::Get, 1, "a") + packet(Opcode::GetQ, 2, "b") +
                packet(Opcode::GetK, 3, "c") + packet(Opcode::GetKQ, 4, "d") +
                packet(Opcode::Set, 5, "e", "v") + packet(Opcode::SetQ, 6, "f", "v") +
                packet(Opcode::Noop, 7));
  auto all = read_answers(client_, 6);
  ASSERT_EQ(all.size(), 6u);
  const std::uint32_t opaques[] = {1, 2, 3, 4, 5, 7};  // SETQ has no answer on success
  const char* const keys[] = {"", "", "c", "d", "", ""};
  const char* const values[] = {"v:a", "v:b", "v:c", "v:d", "", ""};
  for (std::size_t k = 0; k < all.size(); ++k) {
    EXPECT_EQ(all[k].opaque, opaques[k]);
    EXPECT_EQ(all[k].status, 0);
    EXPECT_EQ(all[k].key, keys[k]);
    EXPECT_EQ(all[k].value, values[k]);
  }
  EXPECT_EQ(all[4].cas, 7u);
}

TEST_F(OneServer, VersionStatNoopAndQuitAreAnsweredByTheRouter) {
  start();
  client_.write(packet(Opcode::Version, 1) + packet(Opcode::Stat, 2) +
                packet(Opcode::Stat, 3, "items") + packet(Opcode::Noop, 4));
  EXPECT_EQ(read_answer(client_).value.substr(0, 10), "wheeldeal ");
  std::set<std::string> names;
  for (binary::Answer a = read_answer(client_); !a.key.empty(); a = read_answer(client_)) {
    EXPECT_EQ(a.opaque, 2u);
    EXPECT_FALSE(a.value.empty());
    names.insert(a.key);
  }
  EXPECT_TRUE(names.count("requests") && names.count("attempts_ok"));
  EXPECT_EQ(read_answer(client_).status, binary::status::kNotFound);
  EXPECT_EQ(read_answer(client_).opaque, 4u);
  client_.write(packet(Opcode::Get, 5, "a") + packet(Opcode::Quit, 6) + packet(Opcode::Noop, 7));
  EXPECT_EQ(read_answer(client_).opaque, 5u);
  EXPECT_EQ(read_answer(client_).opaque, 6u);
  EXPECT_TRUE(client_.is_closed());
  TestConnection quiet = router_->client();
  quiet.write(packet(Opcode::Get, 1, "a") + packet(Opcode::QuitQ, 2));
  EXPECT_EQ(read_answer(quiet).opaque, 1u);
  EXPECT_TRUE(quiet.is_closed());
}

TEST_F(OneServer, UnsupportedCommandsAreRejectedAndTheConnectionKept) {
  start();
  std::string add = packet(Opcode::Set, 1, "k", "v"), unknown = packet(Opcode::Noop, 2);
  add[1] = 0x02;
  unknown[1] = static_cast<char>(0xd0);
  std::string long_key = packet(Opcode::Get, 3, std::string(251, 'k'));
  std::string no_key = packet(Opcode::Get, 4);
  client_.write(add + unknown + long_key + no_key +
                packet(Opcode::Set, 5, "k", std::string(kMaxValue + 1, 'v')) +
                packet(Opcode::Set, 6, "k", "v", 0, 99) + packet(Opcode::Get, 7, "a b") +
                packet(Opcode::GetQ, 8, "a\r\nms k 1 O1") +
                packet(Opcode::Get, 9, std::string(250, 'k')));
  const std::uint16_t due[] = {0x83, 0x81, 0x04, 0x04, 0x03, 0x83, 0x04, 0x04, 0x00};
  auto all = read_answers(client_, 9);
  ASSERT_EQ(all.size(), 9u);
  for (std::size_t k = 0; k < 9; ++k) {
    EXPECT_EQ(all[k].opaque, k + 1);
    EXPECT_EQ(all[k].status, due[k]) << k;
  }
}

TEST_F(OneServer, ContradictoryOrHugeLengthsCloseTheConnection) {
  start();
  std::string shorter = packet(Opcode::Set, 1, "key", "value"), huge = shorter;
  shorter[11] = 5;  // key and extras alone take 11
  for (int k = 8; k < 12; ++k) huge[k] = static_cast<char>(0xff);
  const std::pair<std::string, std::uint16_t> cases[] = {{shorter, 0x04}, {huge, 0x03}};
  for (const auto& [bytes, status] : cases) {
    TestConnection client = router_->client();
    client.write(packet(Opcode::Get, 9, "a") + bytes);
    EXPECT_EQ(read_answer(client).opaque, 9u);  // the complete command before is answered
    binary::Answer a = read_answer(client);
    EXPECT_EQ(a.status, status);
    EXPECT_EQ(a.opaque, 1u);
    EXPECT_TRUE(client.is_closed());
  }
  expect_alive();
}

TEST_F(OneServer, CommandCutAtEachByteDoesNotAffectOtherClients) {
  start();
  std::string bytes = packet(Opcode::Set, 1, "key", "value");
  for (std::size_t size = 1; size < bytes.size(); ++size) {
    TestConnection client = router_->client();
    client.write(bytes.substr(0, size));
    client.shut_down_sending();
    EXPECT_TRUE(client.is_closed()) << size;
  }
  expect_alive();
}

TEST_F(OneServer, RepeatedOpaqueIsAnsweredTwiceInOrder) {
  start();
  client_.write(packet(Opcode::GetK, 5, "a") + packet(Opcode::GetK, 5, "b"));
  binary::Answer a = read_answer(client_), b = read_answer(client_);
  EXPECT_EQ(a.opaque, 5u);
  EXPECT_EQ(b.opaque, 5u);
  EXPECT_EQ(a.value, "v:a");
  EXPECT_EQ(b.value, "v:b");
}

TEST_F(OneServer, MetaAndBinaryClientsShareTheListener) {
  start();
  TestConnection meta = router_->client();
  client_.write(packet(Opcode::Get, 1, "a"));
  meta.write("mg a v OM1 Pc=read,t=acme,d=5000\r\n");
  EXPECT_EQ(read_answer(client_).value, "v:a");
  EXPECT_EQ(meta.line(), "VA 3 OM1\r\n");
  EXPECT_EQ(meta.line(), "v:a\r\n");
  // A connection keeps the protocol of its first byte.
  meta.write(packet(Opcode::Noop, 1) + "\r\n");
  EXPECT_EQ(meta.line(), "ERROR\r\n");
  client_.write("mn\r\n");
  EXPECT_EQ(read_answer(client_).status, binary::status::kInvalid);
  EXPECT_TRUE(client_.is_closed());
}

TEST(BinaryOff, BinaryMagicIsNotRecognizedWithoutTheSetting) {
  Peer server;
  ConfigText c;
  c.hosts = {host_json("s-1", server.address())};
  RunningRouter router(c);
  TestConnection client = router.client();
  client.write(packet(Opcode::Version, 1) + "\r\n");
  EXPECT_EQ(client.line(), "ERROR\r\n");
  client.write("mg k v f O1 Pc=read,d=100\r\n");  // flags are not supported either
  EXPECT_EQ(client.line(), "CLIENT_ERROR bad command\r\n");
}

TEST(Quiet, ErrorsAmongQuietCommandsAreReportedInOrder) {
  auto answer = [](const std::string& p) {
    binary::Command c = command_of(p);
    if (c.key == "full")
      return binary::response(c.opcode, binary::status::kBusy, c.opaque, "busy 30");
    if (c.key == "failing")
      return binary::response(c.opcode, binary::status::kInternal, c.opaque, "failed");
    return good_answer(c);
  };
  ServingPeer one(answer, complete_packet_size);
  ConfigText config;
  config.binary = kAllBinary;
  config.hosts = {host_json("s-1", one.address())};
  RunningRouter router(config);
  TestConnection client = router.client();
  client.write(packet(Opcode::GetQ, 1, "a") + packet(Opcode::SetQ, 2, "b", "v") +
               packet(Opcode::GetQ, 3, "full") + packet(Opcode::SetQ, 4, "full", "v") +
               packet(Opcode::SetQ, 5, "failing", "v") + packet(Opcode::GetK, 6, "c") +
               packet(Opcode::SetQ, 7, "d", "v") + packet(Opcode::Noop, 8));
  auto all = read_answers(client, 6);
  ASSERT_EQ(all.size(), 6u);
  const std::uint32_t opaques[] = {1, 3, 4, 5, 6, 8};
  const std::uint16_t statuses[] = {0, 0x85, 0x85, 0x84, 0, 0};
  for (std::size_t k = 0; k < 6; ++k) {
    EXPECT_EQ(all[k].opaque, opaques[k]);
    EXPECT_EQ(all[k].status, statuses[k]) << opaques[k];
  }
  EXPECT_EQ(all[1].value.substr(0, 5), "busy ");
  EXPECT_GT(std::atoi(all[1].value.c_str() + 5), 0);
}

TEST(Quiet, ClientThatNeverReadsIsNotReadFurtherAndDisconnected) {
  std::atomic<int> reads{0};
  auto answer = [&](const std::string& p) {
    ++reads;
    binary::Command c = command_of(p);
    return served(c, c.key == "alive" ? "yes" : std::string(kMaxValue, 'v'));
  };
  ServingPeer server(answer, complete_packet_size);
  ConfigText config;
  config.binary = kAllBinary;
  config.hosts = {host_json("s-1", server.address())};
  RunningRouter router(config);
  TestConnection greedy = router.client();
  int small = 4096;
  ::setsockopt(greedy.fd(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  std::string bytes;
  for (std::uint32_t k = 0; k < 800; ++k)
    bytes += packet(Opcode::GetQ, k, "key" + std::to_string(k));
  greedy.write(bytes);  // fits the socket buffers
  // Other clients are served meanwhile, and the client that reads nothing is disconnected.
  TestConnection other = router.client();
  for (int k = 0; k < 20; ++k) {
    other.write(packet(Opcode::Get, 1, "alive"));
    EXPECT_EQ(read_answer(other).value, "yes");
  }
  auto connections = [&] {
    other.write(packet(Opcode::Stat, 2));
    int count = 0;
    for (binary::Answer a = read_answer(other); !a.key.empty(); a = read_answer(other))
      if (a.key == "curr_connections") count = std::stoi(a.value);
    return count;
  };
  auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(kTestTimeoutMs);
  while (connections() > 1 && std::chrono::steady_clock::now() < end)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  EXPECT_EQ(connections(), 1);
  EXPECT_LT(reads, 400);  // back-pressure: most were never forwarded
}

TEST_F(OneServer, TerminationWaitsForTheBarrierOfAQuietBatch) {
  start();
  TestConnection idle = router_->client();
  idle.write(packet(Opcode::Noop, 1));
  EXPECT_EQ(read_answer(idle).opaque, 1u);
  client_.write(packet(Opcode::SetQ, 1, "a", "v") + packet(Opcode::GetQ, 2, "b"));
  EXPECT_EQ(read_answer(client_).opaque, 2u);
  router_->terminate();
  EXPECT_TRUE(idle.is_closed());  // drained: between requests it is closed
  client_.write(packet(Opcode::SetQ, 3, "c", "v") + packet(Opcode::Noop, 4));
  EXPECT_EQ(read_answer(client_).opaque, 4u);
  EXPECT_TRUE(client_.is_closed());
  client_.close(), idle.close();
  router_->wait_for_end();
}

TEST_F(OneServer, ReloadBetweenAQuietCommandAndItsBarrierKeepsBoth) {
  start();
  client_.write(packet(Opcode::SetQ, 1, "a", "v") + packet(Opcode::GetQ, 2, "b"));
  EXPECT_EQ(read_answer(client_).opaque, 2u);
  ConfigText next;
  next.hosts = {host_json("s-1", server_.address())};
  next.binary = R"({"clients":false,"write_class":"pay","servers":[{"id":"*"}]})";
  router_->reload(next.text());
  client_.write(packet(Opcode::Noop, 3));
  EXPECT_EQ(read_answer(client_).opaque, 3u);  // an open connection keeps its protocol
  TestConnection late = router_->client();
  late.write(packet(Opcode::Noop, 1) + "\r\n");
  EXPECT_EQ(late.line(), "ERROR\r\n");
}

// ---- servers ----

/// Two binary servers; the client's read reaches one, whose answer then fails.
class FailedBinaryAttempt : public testing::Test {
 protected:
  FailedBinaryAttempt() : config_(binary_config({&a_, &b_})) {}
  void start(const std::string& bytes) {
    router_ = std::make_unique<RunningRouter>(config_);
    client_ = router_->client();
    client_.write(bytes);
    std::size_t who = first_contacted({&a_, &b_});
    spare_ = who == 0 ? &b_ : &a_;
    hit_ = who == 0 ? &a_ : &b_;
    link_ = hit_->accept();
    command_ = command_of(read_packet(link_));
  }
  void expect_retry() {
    TestConnection second = spare_->accept();
    binary::Command c = command_of(read_packet(second));
    EXPECT_EQ(c.key, command_.key);
    second.write(served(c, "fine"));
    EXPECT_EQ(read_answer(client_).value, "fine");
  }
  Peer a_, b_;
  ConfigText config_;
  std::unique_ptr<RunningRouter> router_;
  Peer *hit_ = nullptr, *spare_ = nullptr;
  TestConnection client_, link_;
  binary::Command command_;
};

TEST_F(FailedBinaryAttempt, AnswerWithAnotherOpaqueIsNeverServed) {
  start(packet(Opcode::Get, 1, "key"));
  binary::Command wrong = command_;
  ++wrong.opaque;
  link_.write(served(wrong, "wrong"));
  expect_retry();
  EXPECT_TRUE(link_.is_closed());
}

TEST_F(FailedBinaryAttempt, AnswerWithAnotherKeyIsNeverServed) {
  start(packet(Opcode::Get, 1, "key"));
  binary::Command wrong = command_;
  wrong.key = "kez";
  link_.write(served(wrong, "wrong"));
  expect_retry();
  EXPECT_TRUE(link_.is_closed());
}

TEST_F(FailedBinaryAttempt, AnswerWithAnotherOpcodeIsNeverServed) {
  start(packet(Opcode::Get, 1, "key"));
  link_.write(binary::response(Opcode::Set, 0, command_.opaque, {}, {}, 0, 5));
  expect_retry();
  EXPECT_TRUE(link_.is_closed());
}

TEST_F(FailedBinaryAttempt, AnswerCutAtAnyByteIsRetriedAtTheOtherServer) {
  std::size_t whole = served({Opcode::GetK, 0, 0, 0, 0, "key", ""}, "wrong").size();
  for (std::size_t size = 0; size < whole; ++size) {
    start(packet(Opcode::Get, 1, "key"));
    link_.write(std::string_view(served(command_, "wrong")).substr(0, size));
    link_.close();
    expect_retry();
  }
}

TEST_F(FailedBinaryAttempt, BytesAfterAValidAnswerOnlyCloseTheirConnection) {
  start(packet(Opcode::Get, 1, "key"));
  link_.write(served(command_, "good") + served(command_, "again"));
  EXPECT_EQ(read_answer(client_).value, "good");
  EXPECT_TRUE(link_.is_closed());
  EXPECT_TRUE(client_.stays_silent(50));
}

TEST_F(FailedBinaryAttempt, LateAnswerWithACancelledOpaqueIsDroppedAndNeverServed) {
  config_.may_cancel = false;
  config_.binary = R"({"read_deadline_ms":300,"write_class":"pay","servers":[{"id":"*"}]})";
  config_.hosts.pop_back();  // one server
  config_.hosts = {host_json("s-1", a_.address())};
  router_ = std::make_unique<RunningRouter>(config_);
  client_ = router_->client();
  client_.write(packet(Opcode::Get, 1, "key"));
  link_ = a_.accept();
  binary::Command abandoned = command_of(read_packet(link_));
  EXPECT_NE(read_answer(client_).status, 0);  // within its deadline
  link_.write(served(abandoned, "late"));
  // The late answer was skipped: the connection is used further.
  bool reused = false;
  for (int k = 0; k < 40 && !reused; ++k) {  // admission may shed some keys by now
    client_.write(packet(Opcode::Get, 2, "key" + std::to_string(k)));
    std::vector<pollfd> fds = {{link_.fd(), POLLIN, 0}, {client_.fd(), POLLIN, 0}};
    ASSERT_GT(::poll(fds.data(), 2, kTestTimeoutMs), 0);
    reused = fds[0].revents != 0;
    if (!reused) {
      EXPECT_NE(read_answer(client_).status, 0);
    }
  }
  ASSERT_TRUE(reused);
  // An answer with the opaque of the ended attempt is not taken for the answer to the next one.
  binary::Command next = command_of(read_packet(link_));
  EXPECT_NE(next.opaque, abandoned.opaque);
  binary::Command forged = next;
  forged.opaque = abandoned.opaque;
  link_.write(served(forged, "old"));
  EXPECT_NE(read_answer(client_).value, "old");
  EXPECT_TRUE(link_.is_closed());
}

TEST(WrongProtocol, CostsOneAttemptPerConnectionIsLoggedAndEndsWithAReload) {
  // s-1 is configured as binary but speaks meta; s-2 is binary as configured.
  std::atomic<int> binary_bytes{0}, meta_served{0}, good_served{0};
  auto meta = [&](const std::string& line) -> std::string {
    if (static_cast<unsigned char>(line[0]) == binary::kRequestMagic) {
      ++binary_bytes;
      return "ERROR\r\n";
    }
    ++meta_served;
    return value_answer(id_of(line), "meta", " f0");
  };
  // Accepts a line or a packet, so that the meta server sees whatever it was sent.
  auto line_or_packet = [](std::string_view text) {
    return !text.empty() && static_cast<unsigned char>(text[0]) == binary::kRequestMagic
               ? complete_packet_size(text)
               : complete_line_size(text);
  };
  ServingPeer wrong(meta, line_or_packet);
  ServingPeer right([&](const std::string& p) { return ++good_served, good_answer(command_of(p)); },
                    complete_packet_size);
  ConfigText config;
  config.binary = kAllBinary;
  config.hosts = {host_json("s-1", wrong.address()), host_json("s-2", right.address())};
  RunningRouter router(config);
  TestConnection client = router.client();
  testing::internal::CaptureStderr();
  int failed = 0;
  for (std::uint32_t k = 0; k < 400; ++k) {
    client.write(packet(Opcode::Get, k, "key" + std::to_string(k)));
    failed += read_answer(client).status != 0;
  }
  std::string log = testing::internal::GetCapturedStderr();
  EXPECT_LE(failed, 4);
  EXPECT_GT(binary_bytes, 0);
  EXPECT_LT(binary_bytes, 120);  // its keys went to the other server
  EXPECT_GE(good_served, 390);
  EXPECT_NE(log.find("server s-1 at " + wrong.address() +
                     " answers in the meta protocol but is configured for binary"),
            log.npos)
      << log;
  config.binary = R"({"write_class":"pay","servers":[{"id":"s-2"}]})";
  router.reload(config.text());
  // The server is used again within seconds, without further action.
  auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(kTestTimeoutMs);
  for (std::uint32_t k = 0; meta_served < 20 && std::chrono::steady_clock::now() < end; ++k) {
    client.write(packet(Opcode::Get, k, "again" + std::to_string(k)));
    read_answer(client);
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  EXPECT_GE(meta_served, 20);
}

TEST(WrongProtocol, ConnectionCarriesOneAttemptUntilTheServerHasAnswered) {
  Peer server;
  ConfigText config = binary_config({&server});
  config.routers = 30;  // two connections per server
  TestClock clock;      // stands still: no attempt times out
  RunningRouter router(config, &clock);
  TestConnection client = router.client();
  for (std::uint32_t k = 0; k < 6; ++k)
    client.write(packet(Opcode::Get, k, "key" + std::to_string(k)));
  TestConnection links[2] = {server.accept(), server.accept()};
  binary::Command first[2] = {command_of(read_packet(links[0])), command_of(read_packet(links[1]))};
  EXPECT_TRUE(links[0].stays_silent(50));
  EXPECT_TRUE(links[1].stays_silent(50));
  links[0].write(good_answer(first[0]));
  links[1].write(good_answer(first[1]));
  for (int left = 4; left > 0; --left) {
    for (int k = 0; k < kTestTimeoutMs && links[0].stays_silent(0) && links[1].stays_silent(1);
         ++k) {
    }
    TestConnection& link = links[links[0].stays_silent(0) ? 1 : 0];
    link.write(good_answer(command_of(read_packet(link))));
  }
  for (std::uint32_t k = 0; k < 6; ++k)
    EXPECT_EQ(read_answer(client).value, "v:key" + std::to_string(k));
}

TEST(WrongProtocol, BinaryServerConfiguredForMetaIsLoggedAsWell) {
  Peer server;
  ConfigText config;
  config.binary = R"({"write_class":"pay"})";
  config.hosts = {host_json("s-1", server.address())};
  RunningRouter router(config);
  TestConnection client = router.client();
  testing::internal::CaptureStderr();
  client.write(packet(Opcode::Get, 1, "key"));
  TestConnection at_server = server.accept();
  EXPECT_EQ(at_server.line().substr(0, 11), "mg key v f ");
  at_server.write(binary::response(Opcode::Noop, binary::status::kInvalid, 0));
  EXPECT_TRUE(at_server.is_closed());
  EXPECT_NE(read_answer(client).status, 0);
  EXPECT_NE(testing::internal::GetCapturedStderr().find(
                "answers in the binary protocol but is configured for meta"),
            std::string::npos);
}

TEST(Fleet, KeyedWriteIsNotRetriedIfAServerCannotReceiveItsIdempotencyKey) {
  for (bool cas : {false, true}) {
    Peer a, b;
    ConfigText config = binary_config({&a, &b});
    config.binary = std::string(R"({"write_class":"put","servers":[{"id":"s-2"}])") +
                    (cas ? R"(,"server_idempotency":"cas"})" : "}");
    RunningRouter router(config);
    TestConnection client = router.client();
    client.write("ms key 1 OW1 Pc=put,t=acme,d=15000,k=5c0f6e1a2b3d4c59\r\nv\r\n");
    std::size_t who = first_contacted({&a, &b});
    Peer &hit = who ? b : a, &spare = who ? a : b;
    TestConnection first = hit.accept();
    first.bytes(1);
    first.send_reset();
    if (cas) {
      EXPECT_EQ(spare.accept().bytes(1).size(), 1u);
    } else {
      EXPECT_EQ(client.line(), "SERVER_ERROR failed\r\n");
      EXPECT_TRUE(spare.no_connection_within(50));
    }
  }
}

TEST(Aside, MissIsAnsweredAsNotFoundAndNotAtAllToGetq) {
  auto missing = [](const std::string& p) {
    binary::Command c = command_of(p);
    if (c.key.starts_with("held")) return good_answer(c);
    return binary::response(c.opcode, binary::status::kNotFound, c.opaque, "Not found");
  };
  ServingPeer cache(missing, complete_packet_size), origin(missing, complete_packet_size);
  ConfigText config;
  config.binary = kAllBinary;
  config.origin_kind = "ledger";
  config.hosts = {host_json("s-1", cache.address()),
                  host_json("o-1", origin.address(), "active", 0, "ledger")};
  RunningRouter router(config);
  TestConnection client = router.client();
  client.write(packet(Opcode::Get, 1, "a") + packet(Opcode::GetQ, 2, "b") +
               packet(Opcode::GetQ, 3, "held") + packet(Opcode::Noop, 4));
  auto all = read_answers(client, 3);
  ASSERT_EQ(all.size(), 3u);
  EXPECT_EQ(all[0].opaque, 1u);
  EXPECT_EQ(all[0].status, binary::status::kNotFound);
  EXPECT_EQ(all[1].opaque, 3u);
  EXPECT_EQ(all[1].status, 0);
  EXPECT_EQ(all[2].opaque, 4u);
}

TEST(Through, NotFoundIsAFailureWithoutCacheAside) {
  ServingPeer server(
      [](const std::string& p) {
        binary::Command c = command_of(p);
        return binary::response(c.opcode, binary::status::kNotFound, c.opaque, "Not found");
      },
      complete_packet_size);
  ConfigText config;
  config.binary = kAllBinary;
  config.hosts = {host_json("s-1", server.address())};
  RunningRouter router(config);
  TestConnection client = router.client();
  client.write(packet(Opcode::GetQ, 1, "a"));
  binary::Answer a = read_answer(client);  // answered, although the command is quiet
  EXPECT_TRUE(a.status == binary::status::kInternal || a.status == binary::status::kBusy);
}

TEST(BinaryReload, UnknownClassIsRejectedAndChangesNothing) {
  Peer server;
  ConfigText config;
  config.binary = kAllBinary;
  config.hosts = {host_json("s-1", server.address())};
  Config c = parse_config(config.text());
  EventBasePtr base(event_base_new());
  Clock clock;
  Router router(base.get(), c, clock);
  c.binary.read_class = "other";
  EXPECT_THROW(router.reload(c), ConfigError);
}

}  // namespace
}  // namespace arrowfork::test
