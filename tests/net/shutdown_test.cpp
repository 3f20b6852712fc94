// A planned shutdown on a clock that the test moves: whatever the router has read gets its answer
// before the process ends.
#include <atomic>

#include "../loopback.hpp"

namespace arrowfork::test {
namespace {

/// Read by the router's thread, moved by the test's.
struct SharedClock final : TimeSource {
  std::atomic<Micros> at = 1'000'000 * kSecond;
  Micros now() const override { return at; }
};

std::string get(const std::string& id, const std::string& wait_ms = "600") {
  return "mg key v O" + id + " Pc=read,t=acme,d=" + wait_ms + "\r\n";
}

/// A router with one cache server and a shutdown under way, which no longer accepts connections.
/// `client` has sent something before.
class Shutdown : public testing::Test {
 protected:
  void start(std::string_view sent_before) {
    ConfigText config;
    config.hosts = {host_json("s-1", server.address())};
    config.deadline_us = deadline;
    router = std::make_unique<RunningRouter>(config, &clock);
    client = router->client();
    client.write(sent_before);
    TestConnection idle = router->client();
    idle.write("mn\r\n");
    EXPECT_EQ(idle.line(), "MN\r\n");  // so the router has read what came before, too
    begin = clock.at;
    router->terminate();
    router->run_in_loop([] {});  // the shutdown has begun
    clock.at = begin + 600 * kMillisecond;
    EXPECT_TRUE(idle.is_closed());
  }
  void write_at(Micros since_begin, std::string_view bytes) {
    clock.at = begin + since_begin;
    client.write(bytes);
  }
  void expect_end() {
    client.close();
    clock.at = begin + deadline + 660 * kMillisecond;
    router->wait_for_end();
  }

  Micros deadline = kSecond;
  SharedClock clock;
  Peer server;
  std::unique_ptr<RunningRouter> router;
  TestConnection client;
  Micros begin = 0;
  const std::string command = get("r1");
  const std::string_view first_half = std::string_view(command).substr(0, 10);
  const std::string_view second_half = std::string_view(command).substr(10);
};

// Guards against lost requests: what was written slowly over a planned restart was sent to a cache
// server, and the process ended before the answer.
TEST_F(Shutdown, ACommandThatIsCompleteTooLateIsRefused) {
  for (Micros late : {1'100 * kMillisecond, 1'490 * kMillisecond}) {
    start(first_half);
    write_at(late, second_half);
    EXPECT_EQ(client.line(), "SERVER_ERROR busy\r\n");
    EXPECT_TRUE(client.is_closed());
    EXPECT_TRUE(server.no_connection_within(0));
    expect_end();
  }
}

TEST_F(Shutdown, ACommandThatIsCompleteInTimeIsServed) {
  start(first_half);
  write_at(700 * kMillisecond, second_half);
  TestConnection at_server = server.accept();
  EXPECT_EQ(id_of(at_server.line()), "r1");
  at_server.write(value_answer("r1", "v"));
  EXPECT_EQ(client.line(), "VA 1 Or1\r\n");
  EXPECT_EQ(client.line(), "v\r\n");
  EXPECT_TRUE(client.is_closed());
  expect_end();
}

// Its client sees the end of the connection, and does not complete it.
TEST_F(Shutdown, ACommandThatIsNeverCompletedEndsWithItsConnectionBeforeTheProcess) {
  start(first_half);
  clock.at = begin + 1'510 * kMillisecond;
  EXPECT_TRUE(client.is_closed());
  expect_end();
}

// Guards against lost requests: commands that were read early, but wait behind 32 that hang, were
// sent when there was no time left for their answers.
TEST_F(Shutdown, CommandsReadBehindOthersAreAnsweredBeforeTheProcessEnds) {
  constexpr int kCommands = 100;
  std::string commands;
  for (int k = 0; k < kCommands; ++k) commands += get("r" + std::to_string(k), "1000");
  start(commands);
  TestConnection at_server = server.accept();
  at_server.line();  // and it hangs
  clock.at = begin + deadline + 20 * kMillisecond;
  for (int k = 0; k < kCommands; ++k)
    ASSERT_EQ(client.line().substr(0, 13), "SERVER_ERROR ") << "command " << k;
  EXPECT_TRUE(client.is_closed());
  expect_end();
}

// Guards against lost requests: SIGKILL comes 3.7 s after SIGTERM at the earliest, however long the
// deadlines are, and found requests of long deadlines unanswered.
TEST_F(Shutdown, RequestsWithLongDeadlinesAreAnsweredBeforeTheProcessIsKilled) {
  constexpr Micros kEarliestKill = 3'700 * kMillisecond;
  deadline = 20 * kSecond;
  start(get("r1", "15000"));
  TestConnection at_server = server.accept();
  at_server.line();  // and it hangs
  clock.at = begin + kEarliestKill - 150 * kMillisecond;
  EXPECT_EQ(client.line(), "SERVER_ERROR failed\r\n");
  EXPECT_TRUE(client.is_closed());
  client.close();
  router->wait_for_end();
}

}  // namespace
}  // namespace arrowfork::test
