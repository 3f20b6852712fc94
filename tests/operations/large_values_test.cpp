// Values of up to 4 MiB are forwarded while they are received, with bounded memory. A truncated one
// closes the connection, so that no client takes it for complete.
#include "../loopback.hpp"
#include "core/value_pipe.hpp"

namespace arrowfork::test {
namespace {

constexpr std::size_t kMiB = 1u << 20;

std::string get(const std::string& id) { return "mg key v O" + id + " Pc=read,t=acme,d=15000\r\n"; }

std::string put(const std::string& id, const std::string& value) {
  return "ms key " + std::to_string(value.size()) + " O" + id + " Pc=put,t=acme,d=15000,k=" + id +
         "\r\n" + value + "\r\n";
}

/// Bytes that depend on their position.
std::string pattern(std::size_t size) {
  std::string text(size, ' ');
  for (std::size_t k = 0; k < size; ++k) text[k] = static_cast<char>('a' + (k * k / 7 + k) % 26);
  return text;
}

class LargeValues : public testing::Test {
 protected:
  ConfigText config() {
    ConfigText c;
    c.hosts = {host_json("s-1", server.address())};
    return c;
  }
  Peer server;
};

TEST_F(LargeValues, AValueIsForwardedBeforeItIsReceivedCompletely) {
  RunningRouter router(config());
  TestConnection client = router.client();
  client.write(get("a") + "mn\r\n");
  TestConnection at_server = server.accept();
  at_server.line();
  std::string value = pattern(4 * kMiB), answer = value_answer("a", value);
  std::size_t head = answer.find('\n') + 1;
  at_server.write(answer.substr(0, head + 1000));
  EXPECT_EQ(client.line(), "VA 4194304 Oa\r\n");
  EXPECT_EQ(client.bytes(1000), value.substr(0, 1000));
  std::thread writer([&] { at_server.write(std::string_view(answer).substr(head + 1000)); });
  EXPECT_TRUE(client.bytes(value.size() - 1000) == value.substr(1000));
  writer.join();
  EXPECT_EQ(client.line(), "\r\n");
  EXPECT_EQ(client.line(), "MN\r\n");  // answers stay in order
  client.write(get("b"));              // both connections are still usable
  EXPECT_EQ(id_of(at_server.line()), "b");
}

TEST_F(LargeValues, AClientThatDoesNotReadSlowsTheServerAndLosesNothing) {
  RunningRouter router(config());
  TestConnection client = router.client();
  client.write(get("a"));
  TestConnection at_server = server.accept();
  at_server.line();
  std::string answer = value_answer("a", pattern(4 * kMiB));
  ::fcntl(at_server.fd(), F_SETFL, O_NONBLOCK);
  std::string_view left = answer;
  int refused = 0;  // in a row: all buffers on the way are full
  while (!left.empty() && refused < 20) {
    ssize_t put = ::send(at_server.fd(), left.data(), left.size(), MSG_NOSIGNAL);
    refused = put > 0 ? 0 : refused + 1;
    if (put > 0) left.remove_prefix(static_cast<std::size_t>(put));
    if (put <= 0) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  ::fcntl(at_server.fd(), F_SETFL, 0);
  std::thread writer([&] { at_server.write(left); });
  EXPECT_TRUE(client.bytes(answer.size()) == answer);
  writer.join();
}

TEST_F(LargeValues, ATruncatedValueClosesTheClientsConnection) {
  for (bool bad_end : {false, true}) {
    RunningRouter router(config());
    TestConnection client = router.client();
    client.write(get("a"));
    TestConnection at_server = server.accept();
    at_server.line();
    std::string answer = value_answer("a", pattern(100'000));
    if (bad_end) answer.replace(answer.size() - 2, 2, "xx");
    at_server.write(bad_end ? answer : answer.substr(0, 90'000));
    if (!bad_end) at_server.close();
    EXPECT_LT(client.read_to_end().size(), answer.size());
  }
}

TEST_F(LargeValues, AClientThatLeavesDuringAValueCostsOnlyTheServerConnection) {
  RunningRouter router(config());
  TestConnection client = router.client(), next = router.client();
  client.write(get("a"));
  TestConnection at_server = server.accept();
  at_server.line();
  at_server.write(value_answer("a", pattern(kMiB)).substr(0, 200'000));
  EXPECT_EQ(client.line(), "VA 1048576 Oa\r\n");
  client.send_reset();
  char byte;
  while (::recv(at_server.fd(), &byte, 1, 0) > 0) {
  }  // until the router closes or resets it
  next.write(get("b"));
  TestConnection again = server.accept();
  EXPECT_EQ(id_of(again.line()), "b");
}

TEST_F(LargeValues, WritesWaitForBufferMemoryAndAllArrive) {
  ConfigText c = config();
  c.memory_mb = 8;  // memory for one of them at a time
  RunningRouter router(c);
  std::string value = pattern(3 * kMiB);
  std::vector<TestConnection> clients;
  for (int k = 0; k < 3; ++k) clients.push_back(router.client());
  std::vector<std::thread> writers;
  for (std::size_t k = 0; k < 3; ++k)
    writers.emplace_back([&, k] { clients[k].write(put("w" + std::to_string(k), value)); });
  TestConnection at_server = server.accept();
  for (int k = 0; k < 3; ++k) {
    std::string id = id_of(at_server.line());
    EXPECT_TRUE(at_server.bytes(value.size()) == value);
    EXPECT_EQ(at_server.line(), "\r\n");
    EXPECT_TRUE(server.no_connection_within(50));  // the others wait
    EXPECT_TRUE(at_server.stays_silent(0));
    at_server.write("HD O" + id + " c1\r\n");
    EXPECT_EQ(clients[static_cast<std::size_t>(id[1] - '0')].line(), "HD O" + id + " c1\r\n");
  }
  for (std::thread& w : writers) w.join();
}

TEST_F(LargeValues, ARejectedWriteIsSentCompletelyToAnotherServer) {
  Peer other;
  ConfigText c = config();
  c.hosts.push_back(host_json("s-2", other.address()));
  RunningRouter router(c);
  TestConnection client = router.client();
  std::string value = pattern(kMiB);
  std::thread writer([&] { client.write(put("a", value)); });
  Peer* peers[] = {&server, &other};
  std::size_t first = first_contacted({&server, &other});
  TestConnection at_first = peers[first]->accept();
  at_first.line();
  at_first.bytes(value.size() + 2);
  at_first.write("SERVER_ERROR busy\r\n");
  TestConnection at_second = peers[1 - first]->accept();
  at_second.line();
  EXPECT_TRUE(at_second.bytes(value.size()) == value);
  at_second.write("HD Oa c1\r\n");
  EXPECT_EQ(client.line(), "HD Oa c1\r\n");
  writer.join();
}

TEST_F(LargeValues, ABinaryClientGetsAValueFromAMetaServer) {
  ConfigText c = config();
  c.binary = R"({"clients":true,"read_class":"read","write_class":"pay"})";
  RunningRouter router(c);
  TestConnection client = router.client();
  std::string command(
      "\x80\x00\x00\x03\x00\x00\x00\x00\x00\x00\x00\x03\x00\x00\x00\x07"
      "\x00\x00\x00\x00\x00\x00\x00\x00key",
      27);
  client.write(command);
  TestConnection at_server = server.accept();
  std::string id = id_of(at_server.line()), value = pattern(kMiB);
  at_server.write(value_answer(id, value, " f5"));
  std::string header = client.bytes(28);
  EXPECT_EQ(header.substr(8, 4), std::string("\x00\x10\x00\x04", 4));  // length of flags and value
  EXPECT_EQ(header.substr(24), std::string("\x00\x00\x00\x05", 4));
  EXPECT_TRUE(client.bytes(value.size()) == value);
}

TEST(ValuePipe, BuffersAWindowAndEndsFromEitherSide) {
  ValuePipe pipe(10, 4);
  int room = 0, bytes = 0;
  pipe.on_writable([&] { ++room; });
  pipe.on_readable([&] { ++bytes; });
  EXPECT_EQ(pipe.take(), "");
  EXPECT_EQ(room, 0);
  pipe.put("abcd");
  EXPECT_TRUE(pipe.full());
  EXPECT_EQ(pipe.take(), "abcd");
  EXPECT_EQ(room, 1);
  pipe.put("efghij");
  pipe.finish();
  EXPECT_EQ(bytes, 3);
  EXPECT_FALSE(pipe.finished());  // not before it is read
  pipe.fail();
  EXPECT_FALSE(pipe.failed());  // it was complete already
  EXPECT_EQ(pipe.take(), "efghij");
  EXPECT_TRUE(pipe.finished());
  pipe.abandon();
  pipe.abandon();
  EXPECT_EQ(room, 3);
  pipe.put("x");
  EXPECT_EQ(bytes, 4);  // not called for an abandoned pipe
}

}  // namespace
}  // namespace arrowfork::test
