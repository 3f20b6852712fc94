// Peers with scripted behavior for a router that runs as a process: cache servers that do with each
// command what a function says, and clients from steady ones to crowds. They speak meta over
// loopback, with blocking calls, each on a thread of its own.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "../io/clock.hpp"
#include "../io/io.hpp"

namespace arrowfork::rig {

/// Microseconds of one clock for all peers of a process.
Micros now();
void sleep_for(Micros span);

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

std::string read_command(const std::string& id, int deadline_ms, const std::string& key = "key",
                         const std::string& class_name = "price-lookup");
std::string write_command(const std::string& id, int deadline_ms, const std::string& value,
                          const std::string& idempotency_key,
                          const std::string& class_name = "sale-record");
/// An id that no other call returns.
std::string next_id();

/// One connection of a client to a port of the loopback interface, with blocking calls.
class ClientLink {
 public:
  static constexpr Micros kTimeout = 20 * kSecond;  ///< of each call

  /// Not connected if the port refuses.
  explicit ClientLink(std::uint16_t port);
  bool connected() const { return static_cast<bool>(fd_); }
  /// What an ended connection does not take is dropped.
  void send(std::string_view text) const;
  /// Sends what the system takes at once; returns how many bytes that were.
  std::size_t send_without_waiting(std::string_view text) const;
  /// The next line without its line end; empty at the end of the connection or after kTimeout.
  std::string line();
  /// Drops the answers that have come.
  void discard_answers() const;
  void close() { fd_.reset(); }
  /// Closes with a reset: unsent bytes are dropped.
  void reset();

 private:
  Fd fd_;
  std::string buffer_;
};

/// Sends one read each 20 ms, on one connection as long as that stays open.
class SteadyClient {
 public:
  static constexpr Micros kDeadline = 480 * kMillisecond;

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

/// Clients that one after the other send many reads at once and close 40 ms later, whatever has
/// come.
class LeavingClients {
 public:
  static constexpr int kCommands = 1'500;

  explicit LeavingClients(std::uint16_t port) : thread_([this, port] { run(port); }) {}
  ~LeavingClients() { stop(); }
  void stop();
  /// When the client of each id closed its connection. Call after stop().
  const std::map<std::string, Micros>& closed_at() const { return closed_at_; }

 private:
  void run(std::uint16_t port);
  std::atomic<bool> ends_{false};
  std::map<std::string, Micros> closed_at_;
  std::thread thread_;
};

/// Sends 16 reads each 10 ms without waiting for their answers.
class PipeliningClient {
 public:
  PipeliningClient(std::uint16_t port, std::string class_name);
  ~PipeliningClient() { stop(); }
  void stop();

 private:
  void run(std::uint16_t port);
  std::string class_name_;
  std::atomic<bool> ends_{false};
  std::thread thread_;
};

/// Sends copies of reads, with their ids, as soon as a cache server has received them, and counts
/// the ids that reach servers twice. Its calls may come from any thread.
class CopyingCaller {
 public:
  /// From now on copies go to the router at `port`.
  void connect(std::uint16_t port);
  /// A cache server has received the command.
  void on_command(const ReceivedCommand& command);
  int copied() const { return copied_; }
  int begun_twice() const { return begun_twice_; }

 private:
  std::mutex mutex_;
  std::optional<ClientLink> link_;
  std::set<std::string> begun_;
  Micros last_copy_at_ = 0;
  std::atomic<int> copied_{0}, begun_twice_{0};
};

/// Sends one write after the other, of two classes in turn, until its router is gone.
class WritingClient {
 public:
  static constexpr int kDeadlineMs = 900;

  /// An answer later than its deadline and `max_late` counts as late.
  WritingClient(std::uint16_t port, std::string even_class, std::string odd_class, Micros max_late);
  ~WritingClient() { stop(); }
  void stop();
  int late() const { return late_; }
  int answered() const { return answered_; }
  /// Requests whose connection ended without an answer. Call after stop().
  const std::set<std::string>& unanswered() const { return unanswered_; }

 private:
  void run(std::uint16_t port);
  std::string classes_[2];
  Micros max_late_;
  std::atomic<bool> ends_{false};
  std::atomic<int> late_{0}, answered_{0};
  std::set<std::string> unanswered_;
  std::thread thread_;
};

}  // namespace arrowfork::rig
