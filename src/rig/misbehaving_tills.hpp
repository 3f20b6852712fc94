// Tills that misbehave, in either protocol. Each is owed an error or a close within a time.
#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "../io/io.hpp"

namespace arrowfork::rig {

enum class Misbehavior {
  Silent,   ///< connects and says nothing
  Half,     ///< half a command, then nothing
  Cut,      ///< half a command, then a reset
  Noise,    ///< bytes that are no command
  Huge,     ///< announces 4 GB
  Flood,    ///< hundreds of commands, and reads none of the answers
  Unknown,  ///< a command that nobody knows
  kCount
};
const char* misbehavior_name(Misbehavior rudeness);

class MisbehavingTills {
 public:
  struct Options {
    bool binary = false;
    std::vector<std::uint16_t> routers;
    double rate = 10;  ///< connections a second, one of each rudeness in turn
    std::size_t max_open = 40;
    Micros answer_limit = 3 * kSecond;  ///< DAYS: an error or a close, from the connect
    std::uint64_t seed = 1;
  };
  MisbehavingTills(event_base* base, const TimeSource& clock, Options options);
  ~MisbehavingTills();
  void start();
  /// No new ones; those that are open are waited for.
  void stop();
  bool idle() const;

  struct Counts {
    std::uint64_t started = 0, rejected = 0, closed = 0;
    std::uint64_t unanswered = 0;  ///< with neither within the time
    std::uint64_t served = 0;      ///< got a value for what was no whole command
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
