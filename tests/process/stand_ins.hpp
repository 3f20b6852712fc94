// Peers for tests of the router as a process: cache servers whose behavior a test scripts, a client
// that sends a steady load, and a crowd of connections. All on loopback, each on its own thread.
#pragma once

#include <atomic>
#include <filesystem>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../loopback.hpp"
#include "rig/process.hpp"

namespace arrowfork::process_test {

using test::TestConnection;

/// Microseconds of one clock for all peers of a test.
Micros now();
void sleep_for(Micros span);
/// Waits until the condition holds; false, with a test failure, after kTestTimeoutMs.
bool wait_until(const std::function<bool()>& condition);

/// A command as a cache server has received it.
struct ReceivedCommand {
  std::string line, id, value;
  bool write = false;
  bool turned_away = false;  ///< answered as busy, so it never ran
  Micros first_byte_at = 0, complete_at = 0;
  std::size_t connection = 0;  ///< number of its connection at that server
};

/// What a cache server does with a command.
struct Reaction {
  Micros delay = 0;                  ///< from the complete command to the first byte
  std::string answer;                ///< empty: none
  std::size_t bytes_per_second = 0;  ///< of the answer; 0: all at once
  bool close = false;                ///< behind the answer
};

/// The usual reaction: the value or receipt of the command after `delay`.
Reaction serve(const ReceivedCommand& command, Micros delay = kMillisecond,
               const std::string& value = "v");

class ScriptedCacheServer {
 public:
  using Script = std::function<Reaction(const ReceivedCommand&)>;
  struct Options {
    std::size_t read_bytes_per_second = 0;  ///< from each connection; 0: without limit
    int backlog = 512;
    bool accepts = true;  ///< else connections stay in the backlog until accept_from_now_on()
    std::uint16_t port = 0;
  };
  explicit ScriptedCacheServer(Script script) : ScriptedCacheServer(std::move(script), Options{}) {}
  ScriptedCacheServer(Script script, Options options);
  ~ScriptedCacheServer();
  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  std::vector<ReceivedCommand> received() const;
  std::size_t connections() const { return accepted_; }
  void accept_from_now_on() { accepts_ = true; }
  /// The process dies: its connections break off and new ones are refused.
  void end();

 private:
  struct Connection;
  void run();
  bool read_from(Connection& connection);
  void take_commands(Connection& connection);
  bool write_to(Connection& connection);

  Script script_;
  Options options_;
  Fd listener_;
  std::uint16_t port_ = 0;
  std::atomic<bool> ends_{false}, accepts_{true};
  std::atomic<std::size_t> accepted_{0};
  mutable std::mutex mutex_;
  std::vector<ReceivedCommand> received_;
  std::thread thread_;
};

/// The configuration of the process under test.
struct RouterOptions {
  std::vector<std::string> hosts;  ///< as by test::host_json
  std::string discovery = "127.0.0.1:9";
  int memory_mb = 32, sockets = 1024;
  Micros key_ttl = 5 * kSecond, keyed_deadline = kSecond, read_deadline = 600 * kMillisecond;
  Micros keyed_objective = 250 * kMillisecond;
  Micros dial_timeout = 75 * kMillisecond;
  int streams_per_connection = 32, max_attempts = 5;
  bool binary_clients = false;
  std::string text() const;
};

/// The lean router as a process.
class RouterUnderTest {
 public:
  explicit RouterUnderTest(const RouterOptions& options);
  std::uint16_t port() const { return process_->port(); }
  /// Peak resident memory in KiB (VmHWM).
  long peak_memory_kib() const;
  bool has_ended() { return process_->has_exited(); }
  rig::RouterProcess& process() { return *process_; }
  std::string log() const { return process_->log(); }

 private:
  rig::TemporaryDirectory directory_;
  std::unique_ptr<rig::RouterProcess> process_;
};

std::string read_command(const std::string& id, int deadline_ms, const std::string& key = "key");
std::string write_command(const std::string& id, int deadline_ms, const std::string& value,
                          const std::string& idempotency_key,
                          const std::string& class_name = "sale-record");
/// An id that no other call returns.
std::string next_id();

/// Sends one read each 20 ms, on one connection as long as that stays open.
class SteadyClient {
 public:
  explicit SteadyClient(std::uint16_t port);
  ~SteadyClient() { stop(); }
  void stop();
  struct Counts {
    int served = 0, refused = 0, failed = 0, closed = 0;  ///< closed: without an answer
    Micros longest = 0;                                   ///< from sending to the answer
    int requests() const { return served + refused + failed + closed; }
  };
  Counts counts() const;

 private:
  void run(std::uint16_t port);
  std::atomic<bool> ends_{false};
  mutable std::mutex mutex_;
  Counts counts_;
  std::thread thread_;
};

/// Connections that each send the same bytes and then read at a given rate.
class Crowd {
 public:
  struct Options {
    std::size_t connections = 100;
    std::function<std::string()> input;     ///< what one connection sends
    std::size_t read_bytes_per_second = 0;  ///< of each; 0: nothing is read
    int receive_buffer = 0;                 ///< in bytes; 0: the system's
  };
  Crowd(std::uint16_t port, Options options);
  ~Crowd();
  std::uint64_t bytes_read() const { return bytes_read_; }

 private:
  void run(std::uint16_t port);
  Options options_;
  std::atomic<bool> ends_{false};
  std::atomic<std::uint64_t> bytes_read_{0};
  std::thread thread_;
};

}  // namespace arrowfork::process_test
