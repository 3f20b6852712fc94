#include "membership/list_subscription.hpp"

#include <algorithm>
#include <utility>

namespace arrowfork {
namespace {

using robinseam::Micros;
using robinseam::membership::CallFailure;

constexpr Micros kMillisecond = 1000, kSecond = 1000 * kMillisecond;

const char* const kPath = "/discovery/hosts";
// A call that is answered at once.
constexpr int kShortWaitMs = 1;
// A call that is not answered this long after its wait has failed: discovery answers or fails what
// it can't do within seconds, so silence means that it can't be reached. Over the patience with
// calls that wait in line (call_schedule).
constexpr Micros kCallTime = 5500 * kMillisecond;
// What discovery has to tell counts as told so long after a configuration that names another
// address.
constexpr Micros kMoveWithin = 4 * kSecond;

std::string escaped(const std::string& text) {
  static const char* const kHex = "0123456789ABCDEF";
  std::string result;
  for (unsigned char c : text) {
    bool plain = (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
                 c == '-' || c == '.' || c == '_' || c == '~';
    if (plain) {
      result += static_cast<char>(c);
      continue;
    }
    result += '%';
    result += kHex[c >> 4];
    result += kHex[c & 15];
  }
  return result;
}

}  // namespace

const char* name_of(CancelReason reason) {
  switch (reason) {
    case CancelReason::Replaced:
      return "replaced";
    case CancelReason::Superseded:
      return "settled";
    case CancelReason::AddressChanged:
      return "moved";
    case CancelReason::Stopped:
      return "stopped";
  }
  return "";
}

ListSubscription::ListSubscription(const std::string& address, const HostList& known,
                                   const Options& options, Micros now, ListTransport& transport,
                                   Handler& handler)
    : transport_(transport),
      handler_(handler),
      address_(address),
      schedule_(options.routers, options.pushed, options.grace),
      random_(static_cast<std::minstd_rand::result_type>(options.seed)) {
  ids_.fill(kNone);
  guard_.set_current(known);
  if (options.pushed)
    watch(now);
  else if (!known.hosts.empty())
    schedule_.add_inherited_list(now);
}

void ListSubscription::watch(Micros now) {
  look_at_ = CallSchedule::kNever;
  if (auto due = schedule_.begin(now, chance())) call(*due, now);
}

void ListSubscription::poll_within(Micros now, Micros span) {
  look_at_ = now + static_cast<Micros>(chance() * static_cast<double>(span));
}

void ListSubscription::fetch_full_list(Micros now) {
  ask_whole_ = true;
  watch(now);
}

/// The new service need not count versions as the old one did, so it is asked for its whole list.
/// Calls that are out at the old address are not renewed: it takes no new ones.
void ListSubscription::change_address(const std::string& address, Micros now) {
  Former former;
  former.guard = guard_;
  for (int& id : ids_)
    if (id != kNone) former.ids.push_back(std::exchange(id, kNone));
  for (const Lingering& one : lingering_) former.ids.push_back(one.id);
  lingering_.clear();
  std::erase_if(formers_, [](const Former& one) { return one.ids.empty(); });
  formers_.push_back(std::move(former));
  formers_until_ = CallSchedule::kNever;
  while (former_calls() > kMostFormerCalls) cancel_former(0);
  address_ = address;
  guard_.reset_version();
  schedule_.change_address(now, kMoveWithin);
  watch(now);
}

void ListSubscription::stop() {
  schedule_.stop();
  look_at_ = CallSchedule::kNever;
  for (std::size_t slot = 0; slot < ids_.size(); ++slot) cancel_slot(slot, CancelReason::Stopped);
  while (!lingering_.empty()) cancel_lingering();
  cancel_formers();
}

void ListSubscription::call(const CallSchedule::Call& call, Micros now) {
  auto slot = static_cast<std::size_t>(call.slot);
  cancel_slot(slot, CancelReason::Replaced);
  ListCall out;
  out.id = ids_[slot] = ++last_id_;
  out.address = address_;
  out.path = kPath;
  out.timeout = kCallTime;
  whole_asked_[slot] = guard_.version().empty() || ask_whole_;
  if (!whole_asked_[slot]) {
    int wait = std::max(kShortWaitMs, static_cast<int>(call.wait / kMillisecond));
    out.path += "?index=" + escaped(guard_.version()) + "&wait=" + std::to_string(wait);
    out.timeout += wait * kMillisecond;
  }
  transport_.start(out);
  follow(now);
}

void ListSubscription::cancel_slot(std::size_t slot, CancelReason reason) {
  int id = std::exchange(ids_[slot], kNone);
  if (id != kNone) transport_.cancel(id, reason);
}

std::size_t ListSubscription::former_calls() const {
  std::size_t calls = 0;
  for (const Former& former : formers_) calls += former.ids.size();
  return calls;
}

void ListSubscription::cancel_former(std::size_t which) {
  for (int id : formers_[which].ids) transport_.cancel(id, CancelReason::AddressChanged);
  formers_.erase(formers_.begin() + static_cast<std::ptrdiff_t>(which));
}

void ListSubscription::cancel_formers() {
  while (!formers_.empty()) cancel_former(formers_.size() - 1);
  formers_until_ = CallSchedule::kNever;
}

void ListSubscription::linger(std::size_t slot, Micros now) {
  int id = std::exchange(ids_[slot], kNone);
  if (id != kNone) hear_out(id, now);
}

void ListSubscription::hear_out(int id, Micros now) {
  if (lingering_.size() == kMostLingering) cancel_lingering();
  lingering_.push_back({id, now + kLinger});
}

void ListSubscription::cancel_lingering() {
  transport_.cancel(lingering_.front().id, CancelReason::Superseded);
  lingering_.erase(lingering_.begin());
}

void ListSubscription::end_lingering(Micros now) {
  while (!lingering_.empty() && now >= lingering_.front().until) cancel_lingering();
  if (formers_until_ != CallSchedule::kNever && now >= formers_until_) cancel_formers();
}

void ListSubscription::follow(Micros now) {
  for (std::size_t slot = 0; slot < ids_.size(); ++slot)
    if (!schedule_.in_flight(static_cast<int>(slot))) linger(slot, now);
}

bool ListSubscription::may_count(ListValidator& guard, std::optional<HostList>& list) {
  if (!list) return false;
  bool drain_unlisted = guard.drains_unlisted(*list);
  std::string reason = guard.validate(*list);
  if (reason.empty()) {
    merge_duplicates(*list);
    return true;
  }
  handler_.on_list_rejected(reason);
  drain(*list, drain_unlisted);
  return false;
}

/// The whole list has to say what became of these servers.
void ListSubscription::drain(const HostList& list, bool drain_unlisted) {
  ask_whole_ = true;
  handler_.on_drains(list, drain_unlisted);
}

void ListSubscription::on_call_ended(int id, ListResult result, Micros now) {
  for (Former& former : formers_) {
    if (std::erase(former.ids, id) == 0) continue;
    take_former(former, std::move(result), now);
    return;
  }
  if (std::erase_if(lingering_, [id](const Lingering& one) { return one.id == id; }) > 0) {
    take_lingering(std::move(result), now);
    return;
  }
  auto at = std::find(ids_.begin(), ids_.end(), id);
  if (at == ids_.end()) return;
  *at = kNone;
  if (result.may_resume) hear_out(id, now);
  take(static_cast<std::size_t>(at - ids_.begin()), std::move(result), now);
}

/// The last word of an old address. The list that the new one is making may be older than a change
/// told here: it is asked anew. Once the new one has answered, what it told is of now but for
/// drains that crossed its answer.
void ListSubscription::take_former(Former& former, ListResult result, Micros now) {
  std::optional<HostList>& list = result.list;
  if (!list) return;
  schedule_.require_new_watch(now, chance());
  if (!may_count(former.guard, list)) {
    watch(now);
    return;
  }
  if (!list->full && list->hosts.empty()) return;
  if (guard_.version().empty()) {
    schedule_.abandon_calls();
    watch(now);
    handler_.on_hosts(std::move(*list));
    return;
  }
  drain(*list, false);
  watch(now);
}

/// Told in the moment in which a later call was answered, or slowly: newer than what is held, or
/// known.
void ListSubscription::take_lingering(ListResult result, Micros now) {
  std::optional<HostList>& list = result.list;
  if (!list || !(version().empty() || guard_.is_newer(*list))) return;
  schedule_.require_new_watch(now, chance());
  if (may_count(guard_, list))
    handler_.on_hosts(std::move(*list));
  else
    watch(now);
}

void ListSubscription::take(std::size_t slot, ListResult result, Micros now) {
  std::optional<HostList>& list = result.list;
  bool counts = may_count(guard_, list);
  if (!counts) {
    CallFailure fault = list ? CallFailure::Unusable : result.failure;
    bool alone = schedule_.on_failure(now, static_cast<int>(slot), fault, chance());
    follow(now);
    handler_.on_call_failed();
    if (alone) handler_.on_hosts_failed();
    return;
  }
  // Only a whole list says what became of servers in an answer that was refused, or what comes in
  // its place.
  if (list->full || whole_asked_[slot]) ask_whole_ = false;
  if (!formers_.empty() && formers_until_ == CallSchedule::kNever) formers_until_ = now + kLinger;
  bool news = list->full || !list->hosts.empty();
  schedule_.on_answer(now, static_cast<int>(slot), news, chance());
  // A whole list is answered at once and no watch, so its silence must be noticed as soon.
  if (ask_whole_) watch(now);
  follow(now);
  handler_.on_hosts(std::move(*list));
}

Micros ListSubscription::next() const {
  Micros next = CallSchedule::kNever;
  auto at = [&next](Micros t) {
    if (t != CallSchedule::kNever && (next == CallSchedule::kNever || t < next)) next = t;
  };
  at(schedule_.next());
  at(look_at_);
  at(formers_until_);
  if (!lingering_.empty()) at(lingering_.front().until);
  return next;
}

void ListSubscription::advance(Micros now) {
  end_lingering(now);
  if (look_at_ != CallSchedule::kNever && now >= look_at_) {
    watch(now);
    return;
  }
  if (auto due = schedule_.advance(now, chance())) call(*due, now);
}

}  // namespace arrowfork
