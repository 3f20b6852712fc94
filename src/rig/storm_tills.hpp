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
  enum class TryResult {
    Served,
    Refused,
    Failed,
    Lost,       ///< no final answer in its time, or its connection ended under it
    Unreached,  ///< nobody listened; nothing was sent
    Wrong,      ///< what came was not for the try, or not of the protocol
  };
  struct Try {
    std::uint64_t id = 0, request_id = 0;  ///< the job is a first try with its repeats
    int router = 0, number = 1;            ///< the first one is 1
    bool write = false;
    Micros timeout = 0;
  };
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void on_try_started(const Try& one) = 0;
    virtual void on_try_ended(std::uint64_t id, TryResult result) = 0;
    /// The job is over: it was served, or nobody asks again.
    virtual void on_request_done(std::uint64_t request_id, bool served) = 0;
  };
  /// How routers are found.
  struct Routing {
    int router_count = 0;
    std::function<std::uint16_t(int router)> port_of;  ///< 0: nobody listens there now
    std::function<int(int drawn)>
        choose_router;  ///< the router of a try, or of a further one (-1); empty: the drawn
    bool retry_elsewhere = false;  ///< a further try picks anew
    bool marks_retries = false;    ///< and says that it is one
    Observer* observer = nullptr;
  };
  /// Counts go to `second()`, the second a first try belongs to. `slack`: what the machine may take
  /// on top of a try's time.
  StormTills(event_base* base, const TimeSource& clock, const emu::DayPlan& plan, Routing routing,
             Micros slack, std::uint64_t seed, std::function<emu::Second&()> second);
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
    std::uint64_t not_sent = 0;  ///< nobody listened, or the machine had no connection left
  };
  const Counts& counts() const { return counts_; }
  const std::array<emu::Banner, 2>& banners() const { return banners_; }

 private:
  class Connection;
  struct ClientRequest;
  static void on_next(evutil_socket_t, short, void* self);
  static void on_sweep(evutil_socket_t, short, void* self);
  static void on_again(evutil_socket_t, short, void* self);
  void wait_again();
  void begin();
  void ask(const std::shared_ptr<ClientRequest>& job);
  void again(const std::shared_ptr<ClientRequest>& job, Micros pause = 0);
  void end(const std::shared_ptr<ClientRequest>& job, bool served);
  int pick(int drawn) const {
    return routing_.choose_router ? routing_.choose_router(drawn) : drawn;
  }
  void tell(std::uint64_t id, TryResult result) {
    if (routing_.observer) routing_.observer->on_try_ended(id, result);
  }

  event_base* base_;
  const TimeSource& clock_;
  const emu::DayPlan& plan_;
  Routing routing_;
  Micros slack_;
  emu::Demand demand_;
  std::function<emu::Second&()> second_;
  EventPtr next_event_, sweep_event_, again_event_;
  Micros next_at_ = 0;
  bool stopped_ = true;
  std::uint64_t serial_, value_ = 0, jobs_made_ = 0;
  std::vector<std::shared_ptr<ClientRequest>> jobs_;
  std::vector<std::vector<std::unique_ptr<Connection>>> connections_;  // by router
  Counts counts_;
  std::array<emu::Banner, 2> banners_;
};

}  // namespace arrowfork::rig
