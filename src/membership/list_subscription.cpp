#include "membership/list_subscription.hpp"

#include <algorithm>
#include <utility>

namespace arrowfork {
namespace {

using robinseam::Micros;
using robinseam::membership::CallFailure;

constexpr Micros kMillisecond = 1000, kSecond = 1000 * kMillisecond;

const char* const kListPath = "/discovery/hosts";
// A call that is answered at once.
constexpr int kShortWaitMs = 1;
// A call that is not answered this long after its wait has failed: discovery answers, or fails what
// it can't do, within seconds, so silence means that it can't be reached. Longer than the timeout
// of calls that wait in discovery's queue (call_schedule).
constexpr Micros kCallTimeout = 5500 * kMillisecond;
// The router counts as notified of all changes this long after a configuration names another
// address.
constexpr Micros kAddressChangeTime = 4 * kSecond;

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
  ids_.fill(kNoCall);
  validator_.set_current(known);
  if (options.pushed)
    watch(now);
  else if (!known.hosts.empty())
    schedule_.add_inherited_list(now);
}

void ListSubscription::watch(Micros now) {
  poll_at_ = CallSchedule::kNever;
  if (auto due = schedule_.begin(now, chance())) start_call(*due, now);
}

void ListSubscription::poll_within(Micros now, Micros span) {
  poll_at_ = now + static_cast<Micros>(chance() * static_cast<double>(span));
}

void ListSubscription::fetch_full_list(Micros now) {
  need_full_list_ = true;
  watch(now);
}

/// The version numbers of the new service may be unrelated, so it is asked for its full list. Calls
/// in flight at the old address are not renewed: it accepts no new ones.
void ListSubscription::change_address(const std::string& address, Micros now) {
  FormerAddress former;
  former.validator = validator_;
  for (int& id : ids_)
    if (id != kNoCall) former.ids.push_back(std::exchange(id, kNoCall));
  for (const SupersededCall& one : superseded_) former.ids.push_back(one.id);
  superseded_.clear();
  std::erase_if(former_addresses_, [](const FormerAddress& one) { return one.ids.empty(); });
  former_addresses_.push_back(std::move(former));
  former_until_ = CallSchedule::kNever;
  while (former_calls() > kMaxFormerCalls) cancel_former_address(0);
  address_ = address;
  validator_.reset_version();
  schedule_.change_address(now, kAddressChangeTime);
  watch(now);
}

void ListSubscription::stop() {
  schedule_.stop();
  poll_at_ = CallSchedule::kNever;
  for (std::size_t slot = 0; slot < ids_.size(); ++slot) cancel_slot(slot, CancelReason::Stopped);
  while (!superseded_.empty()) cancel_oldest_superseded();
  cancel_former_addresses();
}

void ListSubscription::start_call(const CallSchedule::Call& call, Micros now) {
  auto slot = static_cast<std::size_t>(call.slot);
  cancel_slot(slot, CancelReason::Replaced);
  ListCall request;
  request.id = ids_[slot] = ++last_id_;
  request.address = address_;
  request.path = kListPath;
  request.timeout = kCallTimeout;
  full_requested_[slot] = validator_.version().empty() || need_full_list_;
  if (!full_requested_[slot]) {
    int wait = std::max(kShortWaitMs, static_cast<int>(call.wait / kMillisecond));
    request.path += "?index=" + escaped(validator_.version()) + "&wait=" + std::to_string(wait);
    request.timeout += wait * kMillisecond;
  }
  transport_.start(request);
  supersede_dropped(now);
}

void ListSubscription::cancel_slot(std::size_t slot, CancelReason reason) {
  int id = std::exchange(ids_[slot], kNoCall);
  if (id != kNoCall) transport_.cancel(id, reason);
}

std::size_t ListSubscription::former_calls() const {
  std::size_t calls = 0;
  for (const FormerAddress& former : former_addresses_) calls += former.ids.size();
  return calls;
}

void ListSubscription::cancel_former_address(std::size_t index) {
  for (int id : former_addresses_[index].ids) transport_.cancel(id, CancelReason::AddressChanged);
  former_addresses_.erase(former_addresses_.begin() + static_cast<std::ptrdiff_t>(index));
}

void ListSubscription::cancel_former_addresses() {
  while (!former_addresses_.empty()) cancel_former_address(former_addresses_.size() - 1);
  former_until_ = CallSchedule::kNever;
}

void ListSubscription::supersede_slot(std::size_t slot, Micros now) {
  int id = std::exchange(ids_[slot], kNoCall);
  if (id != kNoCall) add_superseded(id, now);
}

void ListSubscription::add_superseded(int id, Micros now) {
  if (superseded_.size() == kMaxSupersededCalls) cancel_oldest_superseded();
  superseded_.push_back({id, now + kSupersededTime});
}

void ListSubscription::cancel_oldest_superseded() {
  transport_.cancel(superseded_.front().id, CancelReason::Superseded);
  superseded_.erase(superseded_.begin());
}

void ListSubscription::cancel_expired(Micros now) {
  while (!superseded_.empty() && now >= superseded_.front().until) cancel_oldest_superseded();
  if (former_until_ != CallSchedule::kNever && now >= former_until_) cancel_former_addresses();
}

void ListSubscription::supersede_dropped(Micros now) {
  for (std::size_t slot = 0; slot < ids_.size(); ++slot)
    if (!schedule_.in_flight(static_cast<int>(slot))) supersede_slot(slot, now);
}

bool ListSubscription::accept(ListValidator& validator, std::optional<HostList>& list) {
  if (!list) return false;
  bool drain_unlisted = validator.drains_unlisted(*list);
  std::string reason = validator.validate(*list);
  if (reason.empty()) {
    merge_duplicates(*list);
    return true;
  }
  handler_.on_list_rejected(reason);
  apply_drains(*list, drain_unlisted);
  return false;
}

/// Requests the full list, which decides what became of these servers.
void ListSubscription::apply_drains(const HostList& list, bool drain_unlisted) {
  need_full_list_ = true;
  handler_.on_drains(list, drain_unlisted);
}

void ListSubscription::on_call_ended(int id, ListResult result, Micros now) {
  for (FormerAddress& former : former_addresses_) {
    if (std::erase(former.ids, id) == 0) continue;
    handle_former_result(former, std::move(result), now);
    return;
  }
  if (std::erase_if(superseded_, [id](const SupersededCall& one) { return one.id == id; }) > 0) {
    handle_superseded_result(std::move(result), now);
    return;
  }
  auto at = std::find(ids_.begin(), ids_.end(), id);
  if (at == ids_.end()) return;
  *at = kNoCall;
  if (result.may_resume) add_superseded(id, now);
  handle_result(static_cast<std::size_t>(at - ids_.begin()), std::move(result), now);
}

/// Handles an answer of a former address. The list that the new address is preparing may be older
/// than a change reported here, so it is asked again. Once the new address has answered, its list
/// is up to date except for drains reported while its answer was under way.
void ListSubscription::handle_former_result(FormerAddress& former, ListResult result, Micros now) {
  std::optional<HostList>& list = result.list;
  if (!list) return;
  schedule_.require_new_watch(now, chance());
  if (!accept(former.validator, list)) {
    watch(now);
    return;
  }
  if (!list->full && list->hosts.empty()) return;
  if (validator_.version().empty()) {
    schedule_.abandon_calls();
    watch(now);
    handler_.on_hosts(std::move(*list));
    return;
  }
  apply_drains(*list, false);
  watch(now);
}

/// Handles an answer that arrived while a later call was answered, or slowly. It is either newer
/// than the current list or already known.
void ListSubscription::handle_superseded_result(ListResult result, Micros now) {
  std::optional<HostList>& list = result.list;
  if (!list || !(version().empty() || validator_.is_newer(*list))) return;
  schedule_.require_new_watch(now, chance());
  if (accept(validator_, list))
    handler_.on_hosts(std::move(*list));
  else
    watch(now);
}

void ListSubscription::handle_result(std::size_t slot, ListResult result, Micros now) {
  std::optional<HostList>& list = result.list;
  bool accepted = accept(validator_, list);
  if (!accepted) {
    CallFailure failure = list ? CallFailure::Unusable : result.failure;
    bool none_in_flight = schedule_.on_failure(now, static_cast<int>(slot), failure, chance());
    supersede_dropped(now);
    handler_.on_call_failed();
    if (none_in_flight) handler_.on_hosts_failed();
    return;
  }
  // Only a full list, or the answer to a request for one, says what became of the servers in a
  // rejected answer.
  if (list->full || full_requested_[slot]) need_full_list_ = false;
  if (!former_addresses_.empty() && former_until_ == CallSchedule::kNever)
    former_until_ = now + kSupersededTime;
  bool has_changes = list->full || !list->hosts.empty();
  schedule_.on_answer(now, static_cast<int>(slot), has_changes, chance());
  // The full list is answered at once, not at the end of a watch, so it is requested by a poll,
  // whose silence is noticed as soon.
  if (need_full_list_) watch(now);
  supersede_dropped(now);
  handler_.on_hosts(std::move(*list));
}

Micros ListSubscription::next() const {
  Micros next = CallSchedule::kNever;
  auto include = [&next](Micros t) {
    if (t != CallSchedule::kNever && (next == CallSchedule::kNever || t < next)) next = t;
  };
  include(schedule_.next());
  include(poll_at_);
  include(former_until_);
  if (!superseded_.empty()) include(superseded_.front().until);
  return next;
}

void ListSubscription::advance(Micros now) {
  cancel_expired(now);
  if (poll_at_ != CallSchedule::kNever && now >= poll_at_) {
    watch(now);
    return;
  }
  if (auto due = schedule_.advance(now, chance())) start_call(*due, now);
}

}  // namespace arrowfork
