#include "limits.hpp"

#include <algorithm>
#include <cmath>

#include "recovery/recovery.hpp"

namespace robinseam::limits {
namespace {

constexpr Micros kMilli = 1000;
// Budgets: tokens that a first try earns for retries and for hedges, and their upper bounds.
constexpr double kRetryPerRequest = 0.03;
constexpr double kRetryCap = 10;
constexpr double kHedgePerRequest = 0.03;
constexpr double kHedgeCap = 3;
// Tokens that a retry costs, by RetryCause. A broken attempt has nothing to do with load, and its
// retry replaces an attempt that served nothing. At its price the budget bears three of ten
// attempts that fail so; should all servers break all connections, max_attempts bounds a request's
// retries until the tokens run out.
constexpr std::array<double, 3> kRetryPrice{0.1, 0.25, 1};
// All routers share the origin and it answers a fetch, so a few in flight at once suffice; a cut of
// a fifth was too slow for a dozen routers to agree on less.
constexpr WindowParameters kFetchWindow{.cut = 0.5, .signals = 2};
// The least window is the tier's, since one origin bears the sum: so many fetches may always be in
// flight over all routers, whose share of it may be below one. With twelve, a fleet at its capacity
// did not recover from an overload on one of four seeds; with eight it did on all
// (docs/design/limits.md).
constexpr double kTierFetches = 8;
// So many fetches lost in a row, each within this time of the last and at another server, and none
// before the latency objective had passed (a server's own errors come at once), mean that the
// origin is overloaded. A router of a large tier sees one fetch end a second, and cuts by signals
// took 12 s from 256 to what an overloaded origin can take. With two losses instead of three,
// join+mass 454547756054 refused a third more.
constexpr Micros kOverloadSpan = 2'000 * kMilli;
constexpr int kOverloadLosses = 3;
constexpr double kFullFetchWeight = 0.5;  // only fetches above this weight count here
// What the whole tier keeps in flight at an overloaded origin; windows grow from there by good
// ends.
constexpr double kTierOverloadCap = 32;
constexpr double kMissGain = 0.05;            // weight of one answer in the miss shares
constexpr double kUnansweredMissGain = 0.02;  // weight of an attempt that was never answered
constexpr double kInitialCachedMisses = 0.05;
constexpr double kLossGain = 0.05;  // weight of one fetch in the loss share
constexpr Micros kFloorValidFor = kMilli * 1000;
constexpr double kMinFetchWeight = 0.15;  // smaller weights are not counted
// Which share of the window each kind of request may fill: what earns less leaves capacity for what
// earns more.
constexpr double kShareUnpopular = 0.8;  // a key that is rarely requested
constexpr double kShareOverQuota = 0.3;  // beyond the tenant's share
constexpr double kShareWrite = 1.2;      // a few in a hundred; nothing cached can be served instead
constexpr double kShareLate = 0.7;       // a client's retry, too late for the latency objective
constexpr double kShareLowWorth = 0.6;   // worth next to nothing for its work
constexpr double kShedHalfLifeUs = 250.0 * kMilli;
constexpr double kShedGain = 0.05;
constexpr Micros kSheddingFor = 100 * kMilli;
// Least wait that a refusal names: about the time until the retry budget earns a token. It grows to
// the maximum with the share that is shed.
constexpr Micros kMinRetryAfter = 50 * kMilli;

WindowParameters fetch_window(int routers) {
  WindowParameters window = kFetchWindow;
  window.least = kTierFetches / std::max(1, routers);
  return window;
}

std::unique_ptr<ConcurrencyLimit> make_limit(const LimitFactory& factory, LimitTarget place,
                                             const WindowParameters& window) {
  return factory ? factory(place) : std::make_unique<Window>(window);
}

}  // namespace

Limits::Limits(const Settings& settings, LimitFactory factory)
    : factory_(std::move(factory)),
      fetch_limit_(make_limit(factory_, LimitTarget::Origin, fetch_window(settings.routers))),
      miss_share_{1, kInitialCachedMisses},
      overload_cap_(kTierOverloadCap / std::max(1, settings.routers)),
      retry_tokens_(kRetryCap / 2 * recovery::initial_budget_share(settings.routers)),
      broken_tokens_(kRetryCap / 2 - retry_tokens_),
      hedge_tokens_(kHedgeCap / 2 * recovery::initial_budget_share(settings.routers)),
      withheld_share_(1 - recovery::initial_budget_share(settings.routers)),
      max_retry_after_(settings.max_retry_after) {}

std::unique_ptr<ConcurrencyLimit> Limits::make_server_limit() const {
  return make_limit(factory_, LimitTarget::Server, kServerWindow);
}

double Limits::fetch_weight(const AdmissionRequest& request) const {
  double weight = request.write ? 1 : miss_share_[request.cached];
  return weight < kMinFetchWeight ? 0 : weight;
}

double Limits::window_share(const AdmissionRequest& request) const {
  return std::clamp(kShareLowWorth + (1 - kShareLowWorth) * request.value, kShareLowWorth, 1.0) *
         (1 - (1 - kShareOverQuota) * request.over_share);
}

bool Limits::admits(Micros now, const AdmissionRequest& request) {
  double weight = fetch_weight(request);
  bool admitted = fetch_limit_->admits_request(now, request);
  if (admitted && weight > 0) {
    // Refusing a cached key of miss share w loses (1 - w) of a hit to save w of a fetch.
    double share = request.write     ? kShareWrite
                   : request.cached  ? 1 / weight
                   : request.popular ? 1
                                     : kShareUnpopular;
    share *= 1 - (1 - kShareOverQuota) * request.over_share;
    if (request.late) share *= kShareLate;
    admitted = fetch_limit_->has_capacity(now, weight, share);
    // Refuses a request whose remaining time is shorter than any fetch takes. Judged by the latency
    // floor: by the current latency all would be refused until a few had brought it down, then
    // none. Only while fetches end: a floor that no fetch updates would refuse requests for good.
    admitted &= now - last_fetch_end_at_ > kFloorValidFor ||
                static_cast<double>(request.remaining) >= fetch_limit_->latency_floor() / 2;
  }
  record_admission(now, request.cached, !admitted);
  return admitted;
}

void Limits::record_end(Micros now, Micros sent_at, std::size_t server, double weight,
                        Evidence evidence, bool at_fault, Micros latency, int cache_result,
                        const AdmissionRequest& request) {
  fetch_limit_->observe_end(now, request, evidence, latency);
  if (!request.write) {
    double& share = miss_share_[request.cached];
    if (evidence == Evidence::Good && cache_result > 0)
      share += kMissGain * ((cache_result > 1) - share);
    else if (evidence == Evidence::Bad)
      share += kUnansweredMissGain * (1 - share);
  }
  // A hit tells nothing about the origin, which was not asked.
  if (evidence == Evidence::Good && cache_result == 1) evidence = Evidence::None;
  if (weight > 0 && evidence != Evidence::None) last_fetch_end_at_ = now;
  double blame = 1;
  if (evidence != Evidence::None && weight > 0) {
    attribution_.record_fetch(now, server, evidence == Evidence::Bad);
    if (evidence == Evidence::Bad) blame = attribution_.origin_share(now, server);
    fetch_loss_share_ +=
        kLossGain * weight * ((evidence == Evidence::Bad) * blame - fetch_loss_share_);
  }
  if (evidence == Evidence::Good && weight > 0) consecutive_losses_ = 0;
  // Checked before the servers' own faults are excluded: after one or two losses each server looks
  // at fault.
  if (evidence == Evidence::Bad && weight > kFullFetchWeight &&
      latency >= request.latency_objective &&
      (consecutive_losses_ == 0 || last_loss_server_ != server)) {
    consecutive_losses_ = now - last_loss_at_ < kOverloadSpan ? consecutive_losses_ + 1 : 1;
    if (consecutive_losses_ >= kOverloadLosses) fetch_limit_->cap_for_overload(now, overload_cap_);
    last_loss_at_ = now, last_loss_server_ = server;
  }
  if (evidence == Evidence::Bad && at_fault) evidence = Evidence::None;
  // A fetch's latency includes the server's own queue, so not each latency above the objective is a
  // signal.
  fetch_limit_->record_end(now, sent_at, weight, evidence, static_cast<double>(latency),
                           2 * static_cast<double>(request.latency_objective), blame);
}

void Limits::earn_tokens() {
  retry_tokens_ = std::min(kRetryCap, retry_tokens_ + kRetryPerRequest);
  hedge_tokens_ = std::min(kHedgeCap, hedge_tokens_ + kHedgePerRequest);
}

void Limits::release_withheld_budget() {
  retry_tokens_ = std::min(kRetryCap, retry_tokens_ + kRetryCap / 2 * withheld_share_);
  hedge_tokens_ = std::min(kHedgeCap, hedge_tokens_ + kHedgeCap / 2 * withheld_share_);
  withheld_share_ = 0;
}

bool Limits::spend_retry(RetryCause cause) {
  double price = kRetryPrice[static_cast<std::size_t>(cause)];
  // What a router starts with beyond its share of the tier's budget pays only for broken attempts,
  // and only until its list is confirmed: a list that names servers that are gone has to be
  // detected, and those retries load nobody. Kept longer, it cost wide+huge 22 0.03 of G.
  double& tokens =
      cause == RetryCause::Broken && retry_tokens_ < price ? broken_tokens_ : retry_tokens_;
  if (tokens < price) return false;
  tokens -= price;
  return true;
}

bool Limits::spend_hedge() {
  if (hedge_tokens_ < 1) return false;
  hedge_tokens_ -= 1;
  return true;
}

void Limits::record_admission(Micros now, bool cached, bool shed) {
  ShedRate& rate = shed_[cached];
  rate.share = this->shed_share(now, cached);
  rate.updated_at = now;
  rate.share += kShedGain * (shed - rate.share);
  if (shed) last_shed_at_ = now;
}

double Limits::shed_share(Micros now, bool cached) const {
  const ShedRate& rate = shed_[cached];
  return rate.share * std::exp2(-static_cast<double>(now - rate.updated_at) / kShedHalfLifeUs);
}

bool Limits::is_shedding(Micros now) const {
  return last_shed_at_ >= 0 && now - last_shed_at_ < kSheddingFor;
}

Micros Limits::retry_after(Micros now, double chance) const {
  double share = std::max(shed_share(now, false), shed_share(now, true));
  double wait = static_cast<double>(kMinRetryAfter) +
                share * static_cast<double>(max_retry_after_ - kMinRetryAfter);
  wait = std::min(wait, static_cast<double>(max_retry_after_));
  return static_cast<Micros>(wait * (1 - 0.5 * chance));
}

}  // namespace robinseam::limits
