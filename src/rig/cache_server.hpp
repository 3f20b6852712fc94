// A price cache server to run routers against: speaks meta, binary or both, reads through to an
// origin that all of them share, and misbehaves as it is told.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "../io/io.hpp"

namespace arrowfork::rig {

/// What all cache servers of a rig share: the values, and which writes have run.
class Origin {
 public:
  struct Item {
    std::string value;
    std::uint32_t flags = 0;
  };
  /// What a key holds: as last written, else "price of KEY".
  Item read(const std::string& key) const;
  /// Carries out a write and gives its receipt, 16 hex digits. A repeat under the same
  /// `idempotency` key runs no second time and gets the first one's receipt.
  std::string write(const std::string& key, Item item, const std::string& idempotency);
  /// Writes of the same value to the same key that ran more than once. Tills give each write a
  /// value of its own, so each of these is a broken rule.
  std::uint64_t duplicate_effects() const { return duplicate_effects_; }
  std::uint64_t writes() const { return receipts_; }

 private:
  std::unordered_map<std::string, Item> items_;
  std::unordered_map<std::string, std::string> by_idempotency_;
  std::unordered_map<std::string, std::uint64_t> runs_;
  std::uint64_t receipts_ = 0, duplicate_effects_ = 0;
};

enum class CacheFault {
  None,
  Slow,                 ///< answers take ten times as long
  Silent,               ///< takes everything, answers nothing
  Rejecting,            ///< turns everything away unseen
  Failing,              ///< fails everything
  Malformed,            ///< carries out and answers noise
  Reset,                ///< carries out and resets the connection
  Truncated,            ///< carries out, gives half of the answer and ends the connection
  OtherKey,             ///< carries out and answers for another request (its id; key and opaque)
  WrongProtocol,        ///< knows only the protocol that it is not asked in
  RefusingConnections,  ///< accepts no connection and resets those that are open
};
/// Throws std::invalid_argument on an unknown name.
CacheFault parse_fault(const std::string& name);
const char* fault_name(CacheFault fault);

class CacheServer {
 public:
  struct Options {
    bool meta = true,
         binary = true;  ///< commands of a protocol it does not speak are garbage to it
    Micros service_time = 2 * kMillisecond;  ///< per request, each on its own core
    bool cache_aside = false;                ///< holds only what was written to it; else a miss
    bool cas_is_idempotency_key = false;     ///< a binary write's CAS is its idempotency key
    std::uint64_t seed = 1;                  ///< of the noise
  };
  /// Listens on a loopback port that the system chooses, or on `port`. Throws std::runtime_error
  /// where it can't. Base, clock and origin must outlive it.
  CacheServer(event_base* base, const TimeSource& clock, Origin& origin, Options options,
              std::uint16_t port = 0);
  ~CacheServer();

  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void set_fault(CacheFault fault);
  struct Counts {
    std::uint64_t connections = 0, meta_connections = 0, binary_connections = 0,
                  malformed_commands = 0;
    std::uint64_t commands = 0, reads = 0, writes = 0;  ///< commands taken; of them carried out
  };
  const Counts& counts() const { return counts_; }

 private:
  class Connection;
  static void on_accept(evutil_socket_t, short, void* self);
  void close(Connection& connection);
  char noise();

  event_base* base_;
  const TimeSource& clock_;
  Origin& origin_;
  Options options_;
  std::uint16_t port_ = 0;
  Fd listener_;
  EventPtr accept_event_;
  CacheFault fault_ = CacheFault::None;
  Counts counts_;
  std::uint64_t noise_;
  std::unordered_map<std::string, Origin::Item> held_;  // aside
  std::vector<std::unique_ptr<Connection>> connections_;
};

}  // namespace arrowfork::rig
