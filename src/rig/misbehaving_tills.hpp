// Tills that violate the protocol, in either protocol. The router must answer each one with an
// error or close its connection within a time limit.
#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "../io/io.hpp"

namespace arrowfork::rig {

/// How a till violates the protocol.
enum class Misbehavior {
  Silent,   ///< connects and sends nothing
  Half,     ///< half a command, then nothing
  Cut,      ///< half a command, then a reset
  Noise,    ///< random bytes
  Huge,     ///< announces a value of 4 GB
  Flood,    ///< hundreds of commands, reads no answers
  Unknown,  ///< an unknown command
  kCount
};
const char* misbehavior_name(Misbehavior misbehavior);

/// Opens misbehaving connections at a fixed rate and counts how each one ends.
class MisbehavingTills {
 public:
  struct Options {
    bool binary = false;
    std::vector<std::uint16_t> routers;
    double rate = 10;  ///< connections per second, each kind of misbehavior in turn
    std::size_t max_open = 40;
    Micros answer_limit = 3 * kSecond;  ///< DAYS: an error or a close, counted from the connect
    std::uint64_t seed = 1;
  };
  MisbehavingTills(event_base* base, const TimeSource& clock, Options options);
  ~MisbehavingTills();
  void start();
  /// Opens no more connections; idle() tells when the open ones have ended.
  void stop();
  bool idle() const;

  struct Counts {
    std::uint64_t started = 0, rejected = 0, closed = 0;
    std::uint64_t unanswered = 0;  ///< got neither an error nor a close in time
    std::uint64_t served = 0;      ///< got a value though no valid command was sent
  };
  const Counts& counts() const { return counts_; }

 private:
  class Client;
  static void on_next(evutil_socket_t, short, void* self);

  event_base* base_;
  const TimeSource& clock_;
  Options options_;
  std::mt19937_64 random_;
  EventPtr next_event_;
  bool stopped_ = true;
  std::vector<std::unique_ptr<Client>> clients_;
  Counts counts_;
};

}  // namespace arrowfork::rig
