#include "rules.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>

#include "limits/concurrency_limit.hpp"

namespace arrowfork::emu {
namespace {

using robinseam::Micros;
using robinseam::limits::AdmissionRequest;
using robinseam::limits::ConcurrencyLimit;
using robinseam::limits::Evidence;
using robinseam::limits::LimitTarget;

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1'000'000;

/// A draw for this request that is the same at each of its tries.
double chance_of(const AdmissionRequest& ask) {
  return static_cast<double>(ask.request_hash >> 11) / 9007199254740992.0;
}

/// Counts what is out and limits nothing: the base of rules that act at the door, and what servers
/// have under those.
class Open : public ConcurrencyLimit {
 public:
  bool has_capacity(Micros, double, double) const override { return true; }
  void record_send(Micros, double weight) override { out_ += weight; }
  void record_end(Micros, Micros, double weight, Evidence, double, double, double) override {
    out_ = std::max(0.0, out_ - weight);
  }
  void reset() override {}
  double limit() const override { return 1e9; }
  double in_flight() const override { return out_; }

 protected:
  double out_ = 0;
};

/// A limit on what is out that follows latencies; `Derived` says how.
class Limiter : public Open {
 public:
  explicit Limiter(double start, double least, double most)
      : limit_(start), start_(start), least_(least), most_(most) {}
  bool has_capacity(Micros, double weight, double part) const override {
    return out_ + weight <= std::max(limit_ * part, weight);
  }
  void record_end(Micros now, Micros sent_at, double weight, Evidence evidence, double latency,
                  double fine, double blame) override {
    double flight = out_;
    Open::record_end(now, sent_at, weight, evidence, latency, fine, blame);
    if (evidence == Evidence::None || weight <= 0 || latency <= 0) return;
    sample(now, latency, flight, evidence == Evidence::Bad);
    limit_ = std::clamp(limit_, least_, most_);
  }
  void reset() override { limit_ = start_; }
  double limit() const override { return limit_; }

 protected:
  virtual void sample(Micros now, double latency, double flight, bool lost) = 0;
  double limit_, start_, least_, most_;
};

/// Netflix, concurrency-limits, Gradient2Limit: the gradient of a long mean over a short one, with
/// its defaults (tolerance 1.5, queue 4, smoothing 0.2, long window 600 samples, limits 20 to 200,
/// short windows of 100 ms and 10 samples at least).
class Gradient2 final : public Limiter {
 public:
  Gradient2() : Limiter(20, 20, 200) {}

 private:
  void sample(Micros now, double latency, double flight, bool) override {
    sum_ += latency, ++count_, flight_ = std::max(flight_, flight);
    if (now - window_at_ < 100 * kMs || count_ < 10) return;
    double brief = sum_ / count_;
    long_ += (samples_ < 10 ? 1.0 / ++samples_ : 2.0 / 601) * (brief - long_);
    if (long_ / brief > 2) long_ *= 0.95;
    if (flight_ >= limit_ / 2) {
      double gradient = std::clamp(1.5 * long_ / brief, 0.5, 1.0);
      limit_ = 0.8 * limit_ + 0.2 * (limit_ * gradient + 4);
    }
    sum_ = flight_ = 0, count_ = 0, window_at_ = now;
  }
  double sum_ = 0, long_ = 0, flight_ = 0;
  int count_ = 0, samples_ = 0;
  Micros window_at_ = 0;
};

/// TCP Vegas in the same library (Brakmo and Peterson, SIGCOMM 1994): the queue that is seen,
/// limit x (1 - floor / latency), held between 3 and 6 times the limit's logarithm; a loss takes
/// one such step. Its floor is probed every 30 limits' worth of samples.
class Vegas final : public Limiter {
 public:
  Vegas() : Limiter(20, 1, 1000) {}

 private:
  void sample(Micros, double latency, double flight, bool lost) override {
    double step = std::max(1.0, std::log10(limit_));
    if (++probe_ > 30 * limit_) probe_ = 0, floor_ = latency;
    if (floor_ <= 0 || (latency < floor_ && !lost)) floor_ = latency;
    double queue = std::ceil(limit_ * (1 - floor_ / latency));
    if (lost)
      limit_ -= step;
    else if (flight * 2 < limit_)
      return;
    else if (queue <= step)
      limit_ += 6 * step;
    else if (queue < 3 * step)
      limit_ += step;
    else if (queue > 6 * step)
      limit_ -= step;
  }
  double floor_ = 0;
  double probe_ = 0;
};

/// Envoy's adaptive concurrency, gradient controller: limit x (least latency + 25%) / latency now,
/// plus the root of the limit, every 100 ms by the medians; the least latency is measured anew each
/// 60 s, or after five turns at the least limit, with 3 out until 50 answers have come.
class EnvoyAdaptive final : public Limiter {
 public:
  EnvoyAdaptive() : Limiter(3, 3, 1000) {}
  bool has_capacity(Micros now, double weight, double part) const override {
    if (probing_) return out_ + weight <= std::max(3.0, weight);
    return Limiter::has_capacity(now, weight, part);
  }

 private:
  void sample(Micros now, double latency, double, bool lost) override {
    if (lost) return;  // Envoy samples answers alone
    samples_.push_back(latency);
    if (probing_) {
      if (samples_.size() < 50) return;
      floor_ = median(), probing_ = false, probed_at_ = now, at_least_ = 0;
      samples_.clear();
      window_at_ = now;
      return;
    }
    if (now - window_at_ < 100 * kMs) return;
    double gradient = std::clamp(1.25 * floor_ / median(), 0.5, 2.0);
    limit_ = gradient * limit_;
    limit_ = std::clamp(limit_ + std::sqrt(limit_), least_, most_);
    samples_.clear();
    window_at_ = now;
    at_least_ = limit_ <= least_ ? at_least_ + 1 : 0;
    if (now - probed_at_ > 60 * kSecond || at_least_ >= 5) probing_ = true;
  }
  double median() {
    auto middle = samples_.begin() + static_cast<std::ptrdiff_t>(samples_.size() / 2);
    std::nth_element(samples_.begin(), middle, samples_.end());
    return *middle;
  }
  std::vector<double> samples_;
  double floor_ = 0;
  bool probing_ = true;
  int at_least_ = 0;
  Micros window_at_ = 0, probed_at_ = 0;
};

/// Breakwater (Cho et al., OSDI 2020), its credit pool kept by the router since servers hand out
/// none: below the target delay the pool grows by one a round trip, above it shrinks by
/// `aggressiveness` times the excess, to a half at most. Target: 60 ms of queueing over the floor,
/// 40% of the reads' aim, as the paper has it of its objective, aggressiveness 0.02.
class Breakwater final : public Limiter {
 public:
  Breakwater() : Limiter(64, 1, 2000) {}

 private:
  void sample(Micros now, double latency, double, bool) override {
    if (floor_ <= 0 || latency < floor_) floor_ = latency;
    delay_ += 0.2 * (latency - floor_ - delay_);
    if (now - updated_ < static_cast<Micros>(floor_)) return;
    updated_ = now;
    constexpr double kTarget = 60 * kMs;
    if (delay_ < kTarget)
      limit_ += 1;
    else
      limit_ *= std::max(0.5, 1 - 0.02 * (delay_ - kTarget) / kTarget);
  }
  double floor_ = 0, delay_ = 0;
  Micros updated_ = 0;
};

/// Envoy's admission control, after the SRE book's client-side throttling (chapter 21): refuses
/// with (n - served / threshold) / (n + 1) over the last span, 80% at most. Envoy's defaults: 95%,
/// 30 s, aggression 1.
class EnvoyAdmission final : public Open {
 public:
  bool admits_request(Micros now, const AdmissionRequest&) override {
    roll(now);
    double n = 0, good = 0;
    for (const Slot& s : slots_) n += s.count, good += s.good;
    double refuse = std::clamp((n - good / 0.95) / (n + 1), 0.0, 0.8);
    // Its own draw, deterministic: refused are the first of each hundred.
    state_ = state_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(state_ >> 11) / 9007199254740992.0 >= refuse;
  }
  void observe_end(Micros now, const AdmissionRequest&, Evidence evidence, Micros) override {
    roll(now);
    if (evidence == Evidence::None) return;
    ++slots_[at_].count;
    slots_[at_].good += evidence == Evidence::Good;
  }

 private:
  struct Slot {
    double count = 0, good = 0;
  };
  void roll(Micros now) {
    while (now - slot_at_ >= kSecond) {
      slot_at_ = now - slot_at_ > 60 * kSecond ? now : slot_at_ + kSecond;
      at_ = (at_ + 1) % slots_.size();
      slots_[at_] = Slot();
    }
  }
  std::array<Slot, 30> slots_;
  std::size_t at_ = 0;
  Micros slot_at_ = 0;
  std::uint64_t state_ = 1;
};

/// DAGOR (Zhou et al., SoCC 2018): overload is a mean queueing time above 20 ms in a window of 1 s
/// or 2,000 requests; then 5% fewer are let in than came in, else 1% more, by a level over business
/// and user priority. Business: writes, then reads that a server holds, then the others. User: 128
/// levels by hash, the same at each try. Queueing time: a router sees none, so the window's mean
/// latency over the least such mean.
class Dagor final : public Open {
 public:
  bool admits_request(Micros now, const AdmissionRequest& ask) override {
    step(now);
    int level = level_of(ask);
    ++came_[static_cast<std::size_t>(level)];
    ++all_;
    bool in = level <= level_;
    admitted_ += in;
    return in;
  }
  void observe_end(Micros now, const AdmissionRequest&, Evidence evidence,
                   Micros latency) override {
    if (evidence == Evidence::None) return;
    latency_ += static_cast<double>(latency), ++ended_;
    step(now);
  }

 private:
  static constexpr int kUsers = 128, kLevels = 3 * kUsers;
  static int level_of(const AdmissionRequest& ask) {
    int business = ask.write ? 0 : ask.cached ? 1 : 2;
    return business * kUsers + static_cast<int>(ask.request_hash >> 57);
  }
  void step(Micros now) {
    if (now - step_at_ < kSecond && all_ < 2000) return;
    if (ended_ > 0 || admitted_ > 0) {
      double mean = ended_ > 0 ? latency_ / ended_ : 0;
      if (ended_ >= 20 && (floor_ <= 0 || mean < floor_)) floor_ = mean;
      bool overload = ended_ > 0 && floor_ > 0 && mean - floor_ > 20 * kMs;
      double want = admitted_ * (overload ? 0.95 : 1.01) + (overload ? 0 : 1);
      int level = -1;
      for (double sum = 0; level + 1 < kLevels; ++level) {
        sum += came_[static_cast<std::size_t>(level + 1)];
        if (sum > want) break;
      }
      level_ = std::max(level, 0);
    } else {
      level_ = kLevels - 1;
    }
    came_.fill(0);
    all_ = ended_ = 0, admitted_ = latency_ = 0;
    step_at_ = now;
  }
  std::array<double, kLevels> came_{};
  int level_ = kLevels - 1;
  double all_ = 0, ended_ = 0, admitted_ = 0, latency_ = 0, floor_ = 0;
  Micros step_at_ = 0;
};

/// The shed levels that the windows replaced: two doors, of held keys and of others, that shut by
/// the share of bad ends every 250 ms and reopen by a quarter a step; refused by key, so that what
/// is let in stays cached. Its figures as they were.
class ShedLevels final : public Open {
 public:
  bool admits_request(Micros now, const AdmissionRequest& ask) override {
    step(now);
    double shed = doors_[ask.cached].shed;
    double chance = shed * std::clamp(1 / std::max(0.01, ask.value), 0.4, 1.4);
    chance = std::min(chance, 1 - kLeast / 2) + std::min(1.0, 4 * shed) * ask.over_share;
    if (ask.popular) chance *= chance;
    return shed <= 0 || chance_of(ask) >= chance;
  }
  void observe_end(Micros, const AdmissionRequest& ask, Evidence evidence,
                   Micros latency) override {
    if (evidence == Evidence::None) return;
    bool bad = evidence == Evidence::Bad || latency > ask.latency_objective;
    ++(bad ? doors_[ask.cached].bad : doors_[ask.cached].good);
  }

 private:
  static constexpr double kLeast = 0.03;
  struct Door {
    double shed = 0, good = 0, bad = 0;
  };
  void step(Micros now) {
    if (now - step_at_ < kSecond / 4) return;
    step_at_ = now;
    for (Door& d : doors_) {
      double bad = d.bad / (d.good + d.bad + 2);
      double in = (1 - d.shed) * (bad > 0.2 ? 1 - 0.5 * bad : 1 + 0.25 * (1 - bad / 0.2));
      d.shed = 1 - std::clamp(in, kLeast, 1.0);
      d.good *= 0.75, d.bad *= 0.75;
    }
  }
  std::array<Door, 2> doors_;
  Micros step_at_ = 0;
};

/// The rule at the origin alone, nothing at the servers.
template <typename Door>
std::unique_ptr<ConcurrencyLimit> at_the_door(LimitTarget place) {
  if (place == LimitTarget::Origin) return std::make_unique<Door>();
  return std::make_unique<Open>();
}

}  // namespace

const std::vector<NamedRules>& all_rules() {
  static const std::vector<NamedRules> all = {
      {"windows", "Chiu and Jain 1989, RFC 5681, Vegas", {}},
      {"none", "nothing is limited", [](LimitTarget) { return std::make_unique<Open>(); }},
      {"shed-levels", "the module before the windows", at_the_door<ShedLevels>},
      {"gradient2", "Netflix concurrency-limits",
       [](LimitTarget) { return std::make_unique<Gradient2>(); }},
      {"vegas", "Netflix concurrency-limits; SIGCOMM 1994",
       [](LimitTarget) { return std::make_unique<Vegas>(); }},
      {"envoy-adaptive", "Envoy adaptive concurrency",
       [](LimitTarget) { return std::make_unique<EnvoyAdaptive>(); }},
      {"envoy-admission", "Envoy admission control; SRE book", at_the_door<EnvoyAdmission>},
      {"dagor", "DAGOR, SoCC 2018", at_the_door<Dagor>},
      {"breakwater", "Breakwater, OSDI 2020",
       [](LimitTarget) { return std::make_unique<Breakwater>(); }},
  };
  return all;
}

const NamedRules& rules_of(const std::string& name) {
  for (const NamedRules& one : all_rules())
    if (name == one.name) return one;
  throw std::invalid_argument("no rules '" + name + "'");
}

}  // namespace arrowfork::emu
