#include "membership/list_subscription.hpp"

#include <algorithm>
#include <utility>

namespace arrowfork {
namespace {

using robinseam::Micros;
using robinseam::membership::Fault;

constexpr Micros kMillisecond = 1000, kSecond = 1000 * kMillisecond;

const char* const kPath = "/discovery/hosts";
// A call that is answered at once.
constexpr int kShortWaitMs = 1;
// A call that is not answered this long after its wait has failed: discovery answers or fails what
// it can't do within seconds, so silence means that it can't be reached.
constexpr Micros kCallTime = 4 * kSecond;
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

ListSubscription::ListSubscription(const std::string& address, const HostList& known,
                                   const Options& options, Micros now, ListTransport& transport,
                                   Handler& handler)
    : transport_(transport),
      handler_(handler),
      address_(address),
      watching_(options.routers, options.pushed),
      random_(static_cast<std::minstd_rand::result_type>(options.seed)) {
  ids_.fill(kNone);
  guard_.hold(known);
  if (options.pushed)
    watch(now);
  else if (!known.hosts.empty())
    watching_.hold(now);
}

void ListSubscription::watch(Micros now) {
  look_at_ = Watching::kNever;
  call(watching_.begin(now, chance()));
}

void ListSubscription::look_again(Micros now, Micros span) {
  look_at_ = now + static_cast<Micros>(chance() * static_cast<double>(span));
}

void ListSubscription::fetch(Micros now) {
  ask_whole_ = true;
  watch(now);
}

/// The new service need not count versions as the old one did, so it is asked for its whole list.
/// Calls that are out at the old address are not renewed: it takes no new ones.
void ListSubscription::move_to(const std::string& address, Micros now) {
  if (!guard_.version().empty() || !former_) {  // else it never answered, and the one before may
    // The watch that waits, or what was to tell whether that is still there.
    std::size_t last = 0;
    for (std::size_t slot = 0; slot < ids_.size(); ++slot)
      if (ids_[slot] != kNone && (ids_[last] == kNone || limits_[slot] > limits_[last]))
        last = slot;
    cancel_former();
    former_ = Former{std::exchange(ids_[last], kNone), guard_};
  }
  for (std::size_t slot = 0; slot < ids_.size(); ++slot) cancel_slot(slot);
  address_ = address;
  guard_.forget_version();
  watching_.move(now, kMoveWithin);
  watch(now);
}

void ListSubscription::stop() {
  watching_.stop();
  look_at_ = Watching::kNever;
  follow();
  cancel_former();
}

void ListSubscription::call(const Watching::Call& call) {
  auto slot = static_cast<std::size_t>(call.slot);
  cancel_slot(slot);
  ListCall out;
  out.id = ids_[slot] = ++last_id_;
  out.address = address_;
  out.path = kPath;
  out.limit = kCallTime;
  if (!guard_.version().empty() && !ask_whole_) {
    int wait = std::max(kShortWaitMs, static_cast<int>(call.wait / kMillisecond));
    out.path += "?index=" + escaped(guard_.version()) + "&wait=" + std::to_string(wait);
    out.limit += wait * kMillisecond;
  }
  limits_[slot] = out.limit;
  transport_.start(out);
  follow();
}

void ListSubscription::cancel_slot(std::size_t slot) {
  int id = std::exchange(ids_[slot], kNone);
  if (id != kNone) transport_.cancel(id);
}

void ListSubscription::cancel_former() {
  if (former_ && former_->id != kNone) transport_.cancel(former_->id);
  former_.reset();
}

void ListSubscription::follow() {
  for (std::size_t slot = 0; slot < ids_.size(); ++slot)
    if (!watching_.out(static_cast<int>(slot))) cancel_slot(slot);
}

bool ListSubscription::may_count(ListGuard& guard, const std::optional<HostList>& list) {
  if (!list) return false;
  std::string reason = guard.refuse(*list);
  if (reason.empty()) return true;
  handler_.on_refused(reason);
  return false;
}

void ListSubscription::ended(int id, ListResult result, Micros now) {
  if (former_ && former_->id == id) {
    former_->id = kNone;
    take_former(std::move(result), now);
    return;
  }
  auto at = std::find(ids_.begin(), ids_.end(), id);
  if (at == ids_.end()) return;
  *at = kNone;
  take(static_cast<std::size_t>(at - ids_.begin()), std::move(result), now);
}

/// The last word of the old address. The list that the new one is making may be older than a change
/// told here: it is asked anew.
void ListSubscription::take_former(ListResult result, Micros now) {
  if (!may_count(former_->guard, result.list)) return;
  if (!result.list->whole && result.list->hosts.empty()) return;
  if (guard_.version().empty()) {
    watching_.drop();
    watch(now);
  }
  handler_.on_hosts(std::move(*result.list));
}

void ListSubscription::take(std::size_t slot, ListResult result, Micros now) {
  std::optional<HostList>& list = result.list;
  bool counts = may_count(guard_, list);
  if (list) ask_whole_ = !counts;
  if (!counts) {
    Fault fault = list ? Fault::Spoilt : result.fault;
    bool alone = watching_.failed(now, static_cast<int>(slot), fault, chance());
    follow();
    handler_.on_call_failed();
    if (alone) handler_.on_hosts_failed();
    return;
  }
  cancel_former();
  bool news = list->whole || !list->hosts.empty();
  watching_.answered(now, static_cast<int>(slot), news, chance());
  follow();
  handler_.on_hosts(std::move(*list));
}

Micros ListSubscription::next() const {
  Micros next = watching_.next();
  if (look_at_ == Watching::kNever) return next;
  return next == Watching::kNever ? look_at_ : std::min(next, look_at_);
}

void ListSubscription::advance(Micros now) {
  if (look_at_ != Watching::kNever && now >= look_at_) {
    watch(now);
    return;
  }
  if (auto due = watching_.advance(now, chance())) call(*due);
}

}  // namespace arrowfork
