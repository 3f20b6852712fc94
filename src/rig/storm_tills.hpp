// Tills that turn any fault into a retry storm: each retries at once, up to a number of tries,
// whatever the refusal says, until its class's deadline. They speak the meta protocol; a connection
// is used by one till at a time and closed if its try times out.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "../emu/day.hpp"
#include "../io/io.hpp"

namespace arrowfork::rig {

/// Generates requests and their retries, and counts how they end.
class StormTills {
 public:
  /// How a try ended.
  enum class TryResult {
    Served,
    Refused,
    Failed,
    Lost,       ///< no final answer in time, or the connection closed first
    Unreached,  ///< no router listened, or the connection closed as the try was sent
    Wrong,      ///< the answer was for another try or violates the protocol
  };
  /// One try of a request.
  struct Try {
    std::uint64_t id = 0, request_id = 0;  ///< request_id is shared by all tries of a request
    int router = 0, number = 1;            ///< number of the try, from 1
    bool write = false;
    Micros timeout = 0;
  };
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void on_try_started(const Try& started) = 0;
    virtual void on_try_ended(std::uint64_t id, TryResult result) = 0;
    /// The request has ended: it was served, or the till retries no more.
    virtual void on_request_done(std::uint64_t request_id, bool served) = 0;
  };
  /// How tills choose and reach routers.
  struct Routing {
    int router_count = 0;
    std::function<std::uint16_t(int router)> port_of;  ///< 0: it does not listen now
    /// The router for a try, given the router drawn for a first try or -1 for a retry. Empty: the
    /// drawn one.
    std::function<int(int drawn)> choose_router;
    bool retry_elsewhere = false;  ///< a retry chooses a router again
    bool marks_retries = false;    ///< a retry is marked as one on the wire
    Observer* observer = nullptr;
  };
  /// `current_row` returns the row of the current second; a request counts in the row of its first
  /// try. `slack`: scheduling delay of the machine, on top of a try's timeout.
  StormTills(event_base* base, const TimeSource& clock, const emu::DayPlan& plan, Routing routing,
             Micros slack, std::uint64_t seed, std::function<emu::Second&()> current_row);
  ~StormTills();

  void start();
  /// Starts no more requests; those in flight continue.
  void stop() { stopped_ = true; }
  bool idle() const { return requests_.empty(); }
  emu::Demand& demand() { return demand_; }

  struct Counts {
    std::uint64_t tries = 0, refused = 0, failed = 0;
    std::uint64_t lost = 0;      ///< tries without a final answer in time
    std::uint64_t wrong = 0;     ///< answers for another try or in violation of the protocol
    std::uint64_t not_sent = 0;  ///< no router listened, or no connection was free
  };
  const Counts& counts() const { return counts_; }
  const std::array<emu::Banner, 2>& banners() const { return banners_; }

 private:
  class Connection;
  struct ClientRequest;
  static void on_next(evutil_socket_t, short, void* self);
  static void on_sweep(evutil_socket_t, short, void* self);
  static void on_retry_timer(evutil_socket_t, short, void* self);
  void schedule_retries();
  void start_request();
  void send_try(const std::shared_ptr<ClientRequest>& job);
  void retry_or_end(const std::shared_ptr<ClientRequest>& request, Micros pause = 0);
  void end_request(const std::shared_ptr<ClientRequest>& request, bool served);
  int choose_router(int drawn) const {
    return routing_.choose_router ? routing_.choose_router(drawn) : drawn;
  }
  void notify_try_ended(std::uint64_t id, TryResult result) {
    if (routing_.observer) routing_.observer->on_try_ended(id, result);
  }

  event_base* base_;
  const TimeSource& clock_;
  const emu::DayPlan& plan_;
  Routing routing_;
  Micros slack_;
  emu::Demand demand_;
  std::function<emu::Second&()> current_row_;
  EventPtr next_event_, sweep_event_, retry_event_;
  Micros next_start_ = 0;
  bool stopped_ = true;
  std::uint64_t last_try_id_, writes_ = 0, requests_made_ = 0;
  std::vector<std::shared_ptr<ClientRequest>> requests_;
  std::vector<std::vector<std::unique_ptr<Connection>>> connections_;  // by router
  Counts counts_;
  std::array<emu::Banner, 2> banners_;
};

}  // namespace arrowfork::rig
