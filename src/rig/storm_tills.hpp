// Tills that make a storm of any trouble: each asks again at once, up to so many times, whatever
// the refusal says, until its class's deadline. Meta protocol; a connection is used by one till at
// a time and given up with the try.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "../emu/day.hpp"
#include "../io/io.hpp"

namespace arrowfork::rig {

class StormTills {
 public:
  /// Counts go to `second()`, the second a first try belongs to. `slack`: what the machine may take
  /// on top of a try's time.
  StormTills(event_base* base, const TimeSource& clock, const emu::DayPlan& plan,
             std::vector<std::uint16_t> routers, Micros slack, std::uint64_t seed,
             std::function<emu::Second&()> second);
  ~StormTills();

  void start();
  /// No new first tries; what is out goes on.
  void stop() { stopped_ = true; }
  bool idle() const { return jobs_.empty(); }
  emu::Demand& demand() { return demand_; }

  struct Counts {
    std::uint64_t tries = 0, refused = 0, failed = 0;
    std::uint64_t lost = 0;      ///< tries without a final answer in their time
    std::uint64_t wrong = 0;     ///< what came was not for the request, or not of the protocol
    std::uint64_t not_sent = 0;  ///< the machine had no connection left
  };
  const Counts& counts() const { return counts_; }
  const std::array<emu::Banner, 2>& banners() const { return banners_; }

 private:
  class Connection;
  struct Job;
  static void on_next(evutil_socket_t, short, void* self);
  static void on_sweep(evutil_socket_t, short, void* self);
  static void on_again(evutil_socket_t, short, void* self);
  void wait_again();
  void begin();
  void ask(const std::shared_ptr<Job>& job);
  void again(const std::shared_ptr<Job>& job);
  void end(const std::shared_ptr<Job>& job, bool served);

  event_base* base_;
  const TimeSource& clock_;
  const emu::DayPlan& plan_;
  std::vector<std::uint16_t> routers_;
  Micros slack_;
  emu::Demand demand_;
  std::function<emu::Second&()> second_;
  EventPtr next_event_, sweep_event_, again_event_;
  Micros next_at_ = 0;
  bool stopped_ = true;
  std::uint64_t serial_, value_ = 0;
  std::vector<std::shared_ptr<Job>> jobs_;
  std::vector<std::vector<std::unique_ptr<Connection>>> connections_;  // by router
  Counts counts_;
  std::array<emu::Banner, 2> banners_;
};

}  // namespace arrowfork::rig
