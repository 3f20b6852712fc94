#include "limits.hpp"

#include <algorithm>
#include <cmath>

#include "recovery/recovery.hpp"

namespace robinseam::limits {
namespace {

constexpr Micros kMilli = 1000;
// Budgets. Tokens per first try for further attempts and for second copies, and their caps.
constexpr double kRetryPerRequest = 0.03;
constexpr double kRetryCap = 10;
constexpr double kCopyPerRequest = 0.03;
constexpr double kCopyCap = 3;
// Tokens for one more attempt, by Cause: a broken one has nothing to do with load and takes the
// place of an attempt that served nothing. At its price the budget bears three of ten attempts that
// fail so; should all servers break all connections, the bound is max_attempts for a request until
// the tokens run out.
constexpr std::array<double, 3> kPrice{0.1, 0.25, 1};
// Fetches. The origin is shared by all routers and answers a fetch, so few at once reach far; a cut
// of a fifth was too slow for a dozen routers to agree on less.
constexpr WindowRules kFetchRules{.cut = 0.5, .signals = 2};
// The least window is the tier's, since one origin must bear the sum: so many fetches may always be
// out over all its routers, whose part may be less than one. With twelve, a fleet at its capacity
// did not come out of a jam on one of four seeds; with eight on all (docs/design/limits.md).
constexpr double kTierFetches = 8;
// So many fetches lost in a row, each within this time of the last and at another server, and none
// of them before an answer in time was over (a server's own errors come at once): the origin is
// jammed. A router of a large tier sees one end a second, and its cuts by signals took 12 s from
// 256 to what a jammed origin can take. By two, join+mass 454547756054 refused a third more.
constexpr Micros kJamSpan = 2'000 * kMilli;
constexpr int kJamRun = 3;
constexpr double kWhole = 0.5;  // weights above it are fetches that count alone
// The tier's part that goes on into a jam, from which windows grow again by good ends.
constexpr double kTierJammed = 32;
constexpr double kMissGain = 0.05;    // of one answer in the shares of misses
constexpr double kMissUntold = 0.02;  // of one that was never answered
constexpr double kHeldMisses = 0.05;  // presumed
constexpr double kLostGain = 0.05;    // of one fetch in the part lost
constexpr Micros kFloorHolds = kMilli * 1000;
constexpr double kFetchLeast = 0.15;  // a smaller weight isn't worth an account
// Which part of the window each kind may fill: what earns less leaves room for what earns more.
constexpr double kPartRare = 0.8;   // a key that is not asked for often
constexpr double kPartOver = 0.3;   // beyond its banner's share
constexpr double kPartWrite = 1.2;  // a few in a hundred; nothing else can be served for them
constexpr double kPartLate = 0.7;   // a client's further try, too late for an answer in time
constexpr double kPartWorth = 0.6;  // what is worth next to nothing for its work
constexpr double kTurnedHalf = 250.0 * kMilli;
constexpr double kTurnedGain = 0.05;
constexpr Micros kPressed = 100 * kMilli;
// What a refusal tells the client to wait: about what a token of the retry budget takes to come,
// and up to the most by the part that is refused.
constexpr Micros kComeBack = 50 * kMilli;

WindowRules fetch_rules(int routers) {
  WindowRules rules = kFetchRules;
  rules.least = kTierFetches / std::max(1, routers);
  return rules;
}

std::unique_ptr<Rule> made(const LimitFactory& maker, LimitTarget place, const WindowRules& usual) {
  return maker ? maker(place) : std::make_unique<Window>(usual);
}

}  // namespace

Limits::Limits(const Settings& settings, LimitFactory maker)
    : maker_(std::move(maker)),
      fetches_(made(maker_, LimitTarget::Origin, fetch_rules(settings.routers))),
      miss_share_{1, kHeldMisses},
      jam_(kTierJammed / std::max(1, settings.routers)),
      retry_tokens_(kRetryCap / 2 * recovery::start_part(settings.routers)),
      broken_tokens_(kRetryCap / 2 - retry_tokens_),
      copy_tokens_(kCopyCap / 2 * recovery::start_part(settings.routers)),
      held_part_(1 - recovery::start_part(settings.routers)),
      max_wait_(settings.max_retry_after) {}

std::unique_ptr<Rule> Limits::server_rule() const {
  return made(maker_, LimitTarget::Server, kServerRules);
}

double Limits::fetch_weight(const Ask& ask) const {
  double weight = ask.write ? 1 : miss_share_[ask.held];
  return weight < kFetchLeast ? 0 : weight;
}

double Limits::part(const Ask& ask) const {
  return std::clamp(kPartWorth + (1 - kPartWorth) * ask.value, kPartWorth, 1.0) *
         (1 - (1 - kPartOver) * ask.over_share);
}

bool Limits::admits(Micros now, const Ask& ask) {
  double weight = fetch_weight(ask);
  bool in = fetches_->door(now, ask);
  if (in && weight > 0) {
    // A refused key that is held costs (1 - w) of a hit for w of a fetch.
    double part = ask.write ? kPartWrite : ask.held ? 1 / weight : ask.wanted ? 1 : kPartRare;
    part *= 1 - (1 - kPartOver) * ask.over_share;
    if (ask.late) part *= kPartLate;
    in = fetches_->has_room(now, weight, part);
    // Out of time before it has begun: no fetch is as quick. Not by what fetches take now, which
    // would refuse all until a few had brought that down, then none.
    // And only while fetches end: a floor that none comes to correct would shut the door for good.
    in &= now - fetch_ended_at_ > kFloorHolds ||
          static_cast<double>(ask.remaining) >= fetches_->floor() / 2;
  }
  note_turned(now, ask.held, !in);
  return in;
}

void Limits::ended(Micros now, Micros sent_at, std::size_t server, double weight, Evidence evidence,
                   bool at_fault, Micros latency, int note, const Ask& ask) {
  fetches_->seen(now, ask, evidence, latency);
  if (!ask.write) {
    double& share = miss_share_[ask.held];
    if (evidence == Evidence::Good && note > 0)
      share += kMissGain * ((note > 1) - share);
    else if (evidence == Evidence::Bad)
      share += kMissUntold * (1 - share);
  }
  // A hit says nothing of the origin, but that it was not asked.
  if (evidence == Evidence::Good && note == 1) evidence = Evidence::None;
  if (weight > 0 && evidence != Evidence::None) fetch_ended_at_ = now;
  double blame = 1;
  if (evidence != Evidence::None && weight > 0) {
    blame_.note(now, server, evidence == Evidence::Bad);
    if (evidence == Evidence::Bad) blame = blame_.common(now, server);
    fetches_lost_ += kLostGain * weight * ((evidence == Evidence::Bad) * blame - fetches_lost_);
  }
  if (evidence == Evidence::Good && weight > 0) lost_run_ = 0;
  // Before the servers' own faults are left out: by one or two losses each server looks at fault.
  if (evidence == Evidence::Bad && weight > kWhole && latency >= ask.aim &&
      (lost_run_ == 0 || lost_server_ != server)) {
    lost_run_ = now - lost_at_ < kJamSpan ? lost_run_ + 1 : 1;
    if (lost_run_ >= kJamRun) fetches_->jammed(now, jam_);
    lost_at_ = now, lost_server_ = server;
  }
  if (evidence == Evidence::Bad && at_fault) evidence = Evidence::None;
  // The servers' own queues are part of a fetch's latency, so not each above the aim is a signal.
  fetches_->ended(now, sent_at, weight, evidence, static_cast<double>(latency),
                  2 * static_cast<double>(ask.aim), blame);
}

void Limits::earn() {
  retry_tokens_ = std::min(kRetryCap, retry_tokens_ + kRetryPerRequest);
  copy_tokens_ = std::min(kCopyCap, copy_tokens_ + kCopyPerRequest);
}

void Limits::came_alone() {
  retry_tokens_ = std::min(kRetryCap, retry_tokens_ + kRetryCap / 2 * held_part_);
  copy_tokens_ = std::min(kCopyCap, copy_tokens_ + kCopyCap / 2 * held_part_);
  held_part_ = 0;
}

bool Limits::spend(Cause cause) {
  double price = kPrice[static_cast<std::size_t>(cause)];
  // What a router begins with beyond its part of the tier's is for broken attempts alone, and until
  // its list has been confirmed: one that names servers that are gone has to be found out, and that
  // loads nobody. Kept longer it cost wide+huge 22 0.03 of G.
  double& from = cause == Cause::Broken && retry_tokens_ < price ? broken_tokens_ : retry_tokens_;
  if (from < price) return false;
  from -= price;
  return true;
}

bool Limits::spend_copy() {
  if (copy_tokens_ < 1) return false;
  copy_tokens_ -= 1;
  return true;
}

void Limits::note_turned(Micros now, bool held, bool refused) {
  Turned& t = turned_[held];
  t.share = this->refused(now, held);
  t.at = now;
  t.share += kTurnedGain * (refused - t.share);
  if (refused) refused_at_ = now;
}

double Limits::refused(Micros now, bool held) const {
  const Turned& t = turned_[held];
  return t.share * std::exp2(-static_cast<double>(now - t.at) / kTurnedHalf);
}

bool Limits::pressed(Micros now) const { return refused_at_ >= 0 && now - refused_at_ < kPressed; }

Micros Limits::come_back(Micros now, double chance) const {
  double share = std::max(refused(now, false), refused(now, true));
  double wait = static_cast<double>(kComeBack) + share * static_cast<double>(max_wait_ - kComeBack);
  wait = std::min(wait, static_cast<double>(max_wait_));
  return static_cast<Micros>(wait * (1 - 0.5 * chance));
}

}  // namespace robinseam::limits
