// A simulated price cache server for testing routers. It speaks the meta protocol, the binary
// protocol or both, reads through to an origin shared by all servers, and injects faults.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "../io/io.hpp"

namespace arrowfork::rig {

/// State shared by all cache servers of a rig: the values, and the writes that have run.
class Origin {
 public:
  struct Item {
    std::string value;
    std::uint32_t flags = 0;
  };
  /// The value last written to the key, or "price of KEY" if there is none.
  Item read(const std::string& key) const;
  /// Runs a write and returns its receipt, 16 hex digits. A write with an idempotency key that was
  /// seen before does not run again and returns the receipt of the first one.
  std::string write(const std::string& key, Item item, const std::string& idempotency_key);
  /// Number of writes of the same value to the same key that ran more than once. Tills give each
  /// write a unique value, so each of these breaks the rule that no effect happens twice.
  std::uint64_t duplicate_effects() const { return duplicate_effects_; }
  std::uint64_t writes() const { return receipts_; }

 private:
  std::unordered_map<std::string, Item> items_;
  std::unordered_map<std::string, std::string> receipts_by_key_;
  std::unordered_map<std::string, std::uint64_t> runs_;
  std::uint64_t receipts_ = 0, duplicate_effects_ = 0;
};

/// Fault that a cache server injects.
enum class CacheFault {
  None,
  Slow,           ///< answers take ten times as long
  Silent,         ///< reads commands but never answers
  Rejecting,      ///< rejects every command as busy, without running it
  Failing,        ///< answers every command with an error
  Malformed,      ///< runs the command and answers random letters
  Reset,          ///< runs the command and resets the connection
  Truncated,      ///< runs the command, sends half of the answer and closes
  OtherKey,       ///< runs the command, answers with a wrong id (meta), key and opaque (binary)
  WrongProtocol,  ///< speaks only the protocol that the client does not use
  RefusingConnections,  ///< resets new and open connections
};
/// Parses a fault name of the command line. Throws std::invalid_argument on an unknown name.
CacheFault parse_fault(const std::string& name);
const char* fault_name(CacheFault fault);

/// A cache server on a loopback port.
class CacheServer {
 public:
  struct Options {
    bool meta = true, binary = true;         ///< protocols spoken; commands of others are malformed
    Micros service_time = 2 * kMillisecond;  ///< per request; requests do not queue for cores
    bool cache_aside = false;                ///< serves only values written to it, no read-through
    bool cas_is_idempotency_key = false;     ///< a binary write's CAS is its idempotency key
    std::uint64_t seed = 1;                  ///< of the random bytes
  };
  /// Listens on `port` of the loopback interface, or on a free port if 0. Throws
  /// std::runtime_error on failure. Base, clock and origin must outlive the server.
  CacheServer(event_base* base, const TimeSource& clock, Origin& origin, Options options,
              std::uint16_t port = 0);
  ~CacheServer();

  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void set_fault(CacheFault fault);
  struct Counts {
    std::uint64_t connections = 0, meta_connections = 0, binary_connections = 0,
                  malformed_commands = 0;
    std::uint64_t commands = 0, reads = 0, writes = 0;  ///< commands received; reads and writes run
  };
  const Counts& counts() const { return counts_; }

 private:
  class Connection;
  static void on_accept(evutil_socket_t, short, void* self);
  void close(Connection& connection);
  char next_noise_char();

  event_base* base_;
  const TimeSource& clock_;
  Origin& origin_;
  Options options_;
  std::uint16_t port_ = 0;
  Fd listener_;
  EventPtr accept_event_;
  CacheFault fault_ = CacheFault::None;
  Counts counts_;
  std::uint64_t noise_state_;
  std::unordered_map<std::string, Origin::Item> cached_items_;  // in cache-aside mode
  std::vector<std::unique_ptr<Connection>> connections_;
};

}  // namespace arrowfork::rig
