#include "fleet.hpp"

#include <algorithm>
#include <cmath>

namespace arrowfork::emu {

double spread(Random& random, double cv) {
  double variance = std::log(1 + cv * cv);
  return boost::random::lognormal_distribution<>(-variance / 2, std::sqrt(variance))(random);
}

// ---- origin ----

void Origin::work(std::function<void(bool)> done) {
  if (busy_ < plan_.origin_places) return begin(std::move(done));
  double wait = static_cast<double>(queue_.size()) / plan_.origin_places *
                static_cast<double>(plan_.origin_work);
  if (wait > static_cast<double>(plan_.origin_queue)) return done(false);
  queue_.push_back(std::move(done));
}

/// It goes on with what nobody waits for any more.
void Origin::begin(std::function<void(bool)> done) {
  ++busy_;
  double span = static_cast<double>(plan_.origin_work) * slowdown_ * spread(random_, 0.5);
  time_.after(static_cast<Micros>(span), [this, done = std::move(done)] {
    --busy_, ++fetched_;
    done(true);
    if (queue_.empty() || busy_ >= plan_.origin_places) return;
    auto next = std::move(queue_.front());
    queue_.pop_front();
    begin(std::move(next));
  });
}

// ---- cache servers ----

CacheModel::CacheModel(Fleet& fleet, std::string id) : fleet_(fleet), id_(std::move(id)) {
  busy_at_ = window_at_ = fleet.time().now();
}

double CacheModel::speed() const {
  Micros now = fleet_.time().now();
  double warm = now >= warm_at_
                    ? 1
                    : cold_ + (1 - cold_) * static_cast<double>(now - cold_at_) /
                                  static_cast<double>(std::max<Micros>(1, warm_at_ - cold_at_));
  return warm / slowdown_;
}

void CacheModel::set_trouble(Trouble trouble, double slowdown) {
  trouble_ = trouble;
  slowdown_ = slowdown;
}

void CacheModel::restart(double capacity, Micros warm) {
  ++life_;
  running_ = 0;
  waiting_.clear();
  kept_.clear();
  order_.clear();
  cold_ = capacity;
  born_ = cold_at_ = fleet_.time().now();
  warm_at_ = born_ + warm;
}

void CacheModel::arrive(const Request& request, bool handshake, std::shared_ptr<bool> given_up,
                        Done done) {
  ++arrived_;
  if (trouble_ == Trouble::Silent) return;
  if (trouble_ == Trouble::Full) return answer(done, {Status::Rejected, 0, 0, 0, 0});
  if (trouble_ == Trouble::Failing || (trouble_ == Trouble::WritesFail && request.write))
    return answer(done, {Status::Error, 0, 0, 0, 0});
  const FleetPlan& plan = fleet_.plan();
  Micros mean = request.write ? plan.write_work : plan.read_work;
  double work = request.work ? static_cast<double>(*request.work) : static_cast<double>(mean);
  work *= spread(fleet_.random(), 0.4);
  if (handshake) work += static_cast<double>(plan.handshake);
  Job job{request, work, std::move(given_up), std::move(done)};
  if (running_ < plan.cores) return begin(std::move(job));
  if (static_cast<int>(waiting_.size()) >= plan.waiting)
    return answer(job.done, {Status::Rejected, 0, 0, 0, 0});
  waiting_.push_back(std::move(job));
}

void CacheModel::note_busy() {
  Micros now = fleet_.time().now();
  busy_sum_ += running_ * static_cast<double>(now - busy_at_);
  busy_at_ = now;
  const FleetPlan& plan = fleet_.plan();
  if (now - window_at_ < plan.report_period) return;
  double span = static_cast<double>(now - window_at_) * plan.cores;
  reports_.push_back({now + plan.report_delay, busy_sum_ / span, service_ms_, hit_share_});
  busy_sum_ = 0;
  window_at_ = now;
}

double CacheModel::utilization() {
  note_busy();
  while (reports_.size() > 1 && reports_[1].seen_from <= fleet_.time().now()) reports_.pop_front();
  return reports_.empty() ? 0 : reports_.front().utilization;
}

void CacheModel::begin(Job job) {
  note_busy();
  ++running_;
  double span = job.work / speed();
  service_ms_ += 0.05 * (span / 1000 - service_ms_);
  fleet_.time().after(static_cast<Micros>(span), [this, life = life_, job = std::move(job)] {
    if (life != life_) return;
    worked(job);
  });
}

/// The core is free; what must be fetched waits without one.
void CacheModel::worked(Job job) {
  note_busy();
  --running_;
  const Request& r = job.request;
  if (!r.write) {
    bool hit = holds(r.key);
    hit_share_ += 0.02 * (hit - hit_share_);
    if (hit) {
      finish(job, Status::Ok, 1);
      return next();
    }
  }
  auto over = std::make_shared<bool>(false);
  fleet_.time().after(fleet_.plan().fetch_timeout, [this, life = life_, over, job] {
    if (std::exchange(*over, true) || life != life_) return;
    finish(job, Status::Error, 0);
  });
  fleet_.origin().work([this, life = life_, over, job](bool done) {
    if (done && job.request.write)
      for (auto& other : fleet_.servers()) other->drop(job.request.key);
    if (std::exchange(*over, true) || life != life_) return;
    if (done && !job.request.write) store(job.request.key);
    finish(job, done ? Status::Ok : Status::Error, job.request.write ? 0 : 2);
  });
  next();
}

void CacheModel::next() {
  while (!waiting_.empty() && running_ < fleet_.plan().cores) {
    Job job = std::move(waiting_.front());
    waiting_.pop_front();
    if (fleet_.plan().drops_given_up && *job.given_up) continue;
    begin(std::move(job));
  }
}

void CacheModel::finish(const Job& job, Status status, int note) {
  served_ += status == Status::Ok;
  if (trouble_ == Trouble::Silent) return;
  answer(job.done, {status, note, 0, 0, 0});
}

void CacheModel::answer(const Done& done, Answer answer) {
  answer.utilization = utilization();
  answer.service_ms = service_ms_;
  answer.hit_share = hit_share_;
  fleet_.time().after(fleet_.plan().one_way, [done, answer] { done(answer); });
}

bool CacheModel::holds(const std::string& key) {
  auto at = kept_.find(key);
  if (at == kept_.end()) return false;
  if (at->second.until < fleet_.time().now()) {
    drop(key);
    return false;
  }
  order_.splice(order_.begin(), order_, at->second.place);
  return true;
}

void CacheModel::store(const std::string& key) {
  drop(key);
  order_.push_front(key);
  // Spread, or keys that were fetched together would go void together.
  double life = static_cast<double>(fleet_.plan().ttl) *
                (0.5 + boost::random::uniform_01<>()(fleet_.random()));
  kept_[key] = {fleet_.time().now() + static_cast<Micros>(life), order_.begin()};
  if (kept_.size() > fleet_.plan().keeps) {
    std::string last = order_.back();
    drop(last);
  }
}

void CacheModel::drop(const std::string& key) {
  auto at = kept_.find(key);
  if (at == kept_.end()) return;
  order_.erase(at->second.place);
  kept_.erase(at);
}

// ---- fleet ----

Fleet::Fleet(VirtualTime& time, const FleetPlan& plan, std::uint64_t seed)
    : time_(time), plan_(plan), random_(seed), origin_(time, random_, plan_) {
  for (int k = 0; k < plan.servers; ++k) {
    char name[16];
    std::snprintf(name, sizeof name, "s-%03d", k);
    servers_.push_back(std::make_unique<CacheModel>(*this, name));
  }
}

CacheModel* Fleet::find(const std::string& id) {
  for (auto& one : servers_)
    if (one->id() == id) return one.get();
  return nullptr;
}

robinseam::Server Fleet::listed(const CacheModel& server) const {
  robinseam::Server s;
  s.id = server.id();
  s.zone = "a";
  s.kind = "std";
  s.up_since = server.born();
  return s;
}

}  // namespace arrowfork::emu
