// A model fleet in virtual time: cache servers with cores, a short waiting room and kept keys, and
// the one origin that they all fetch from. What it leaves out: bytes, sizes of objects, zones.
#pragma once

#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "../core/request.hpp"
#include "clock.hpp"

namespace arrowfork::emu {

using Random = boost::random::mt19937_64;

/// A lognormal draw of mean 1 and the coefficient of variation `cv`.
double spread(Random& random, double cv);

struct FleetPlan {
  int servers = 10;
  int cores = 4;          ///< and as many slots
  int waiting = 8;        ///< places behind the slots; beyond them `full`
  Micros read_work = 0;   ///< mean, on one core
  Micros write_work = 0;  ///< mean
  double work_cv = 1;
  std::size_t keeps = 2'000;                  ///< keys a server holds; the longest unused goes
  Micros ttl = 30 * kSecond;                  ///< kept copies go void after it
  int origin_places = 4;                      ///< fetches the origin works on at once
  Micros origin_work = 15 * kMillisecond;     ///< mean of one
  Micros origin_queue = kSecond;              ///< turns away what would wait longer
  Micros fetch_timeout = 450 * kMillisecond;  ///< then the server answers with an error
  Micros handshake = 2 * kMillisecond;        ///< a core's work for a new connection
  Micros one_way = 300;                       ///< the network
  Micros report_period = 200 * kMillisecond;
  Micros report_delay = 80 * kMillisecond;
  bool drops_given_up = false;  ///< waiting work whose connection has been closed is dropped
};

/// What a server or the origin is suffering from now.
enum class Trouble { None, Slow, Full, Silent, Failing, WritesFail };

struct Answer {
  Status status = Status::Ok;
  int note = 0;  ///< as AttemptResult::note
  double utilization = 0, service_ms = 0, hit_share = 0;
};
/// Called once, after the way back; never for silence.
using Done = std::function<void(const Answer&)>;

class Origin {
 public:
  Origin(VirtualTime& time, Random& random, const FleetPlan& plan)
      : time_(time), random_(random), plan_(plan) {}
  /// `done(true)` once it is fetched or written; at once with false where too much waits.
  void work(std::function<void(bool)> done);
  void set_slowdown(double factor) { slowdown_ = factor; }
  std::size_t waiting() const { return queue_.size(); }
  std::uint64_t fetched() const { return fetched_; }

 private:
  void begin(std::function<void(bool)> done);
  VirtualTime& time_;
  Random& random_;
  const FleetPlan& plan_;
  double slowdown_ = 1;
  int busy_ = 0;
  std::uint64_t fetched_ = 0;
  std::deque<std::function<void(bool)>> queue_;
};

class Fleet;

class CacheModel {
 public:
  CacheModel(Fleet& fleet, std::string id);
  /// One attempt has arrived whole. `given_up` tells whether anybody still waits for it.
  void arrive(const Request& request, bool handshake, std::shared_ptr<bool> given_up, Done done);
  void set_trouble(Trouble trouble, double slowdown = 1);
  /// Forgets what it holds and starts at `capacity` of its speed, warm again after `warm`.
  void restart(double capacity, Micros warm);
  void hold(const std::string& key) { store(key); }
  void drop(const std::string& key);

  const std::string& id() const { return id_; }
  Micros born() const { return born_; }
  std::uint64_t arrived() const { return arrived_; }
  std::uint64_t served() const { return served_; }
  double utilization();

 private:
  struct Job {
    Request request;
    double work;
    std::shared_ptr<bool> given_up;
    Done done;
  };
  void begin(Job job);
  void worked(Job job);
  void next();
  void finish(const Job& job, Status status, int note);
  void answer(const Done& done, Answer answer);
  bool holds(const std::string& key);
  void store(const std::string& key);
  double speed() const;
  void note_busy();

  Fleet& fleet_;
  std::string id_;
  Micros born_ = 0;
  Trouble trouble_ = Trouble::None;
  double slowdown_ = 1;
  double cold_ = 1;
  Micros warm_at_ = 0, cold_at_ = 0;
  int running_ = 0;
  int life_ = 0;  // process; a restart loses what was in work
  std::deque<Job> waiting_;
  struct Kept {
    Micros until;
    std::list<std::string>::iterator place;
  };
  std::list<std::string> order_;  // last used first
  std::unordered_map<std::string, Kept> kept_;
  std::uint64_t arrived_ = 0, served_ = 0;
  // What the next report says, and the one that is out.
  double busy_sum_ = 0, busy_window_ = 0;
  Micros busy_at_ = 0, window_at_ = 0;
  double service_ms_ = 0, hit_share_ = 0.9;
  struct Report {
    Micros seen_from;
    double utilization, service_ms, hit_share;
  };
  std::deque<Report> reports_;
};

/// The servers and their origin. Owns the randomness of the world.
class Fleet {
 public:
  Fleet(VirtualTime& time, const FleetPlan& plan, std::uint64_t seed);
  CacheModel* find(const std::string& id);
  std::vector<std::unique_ptr<CacheModel>>& servers() { return servers_; }
  const std::vector<std::unique_ptr<CacheModel>>& servers() const { return servers_; }
  Origin& origin() { return origin_; }
  VirtualTime& time() { return time_; }
  Random& random() { return random_; }
  const FleetPlan& plan() const { return plan_; }
  /// As discovery lists it.
  robinseam::Server listed(const CacheModel& server) const;

 private:
  VirtualTime& time_;
  FleetPlan plan_;
  Random random_;
  Origin origin_;
  std::vector<std::unique_ptr<CacheModel>> servers_;
};

}  // namespace arrowfork::emu
