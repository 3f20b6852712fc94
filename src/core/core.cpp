#include "core.hpp"

#include <algorithm>
#include <utility>

namespace arrowfork {
namespace {

// A request that the module has left open this long after its time gets its answer all the same.
constexpr Micros kLastAnswer = 15 * kMillisecond;
// A client that ends its sending may have gone: nothing may begin for it 0.1 s later. What is out
// has half of that to get to its server, for one that only said that this was all.
constexpr Micros kLeftGrace = 50 * kMillisecond;
// An attempt that could not be ended when its patience was over is looked at again this often.
constexpr Micros kEndAgain = 20 * kMillisecond;
// What is over, where it is not an attempt.
constexpr int kClient = -1, kLastGuard = -2, kLeftGuard = -3;

Micros longest_of(const std::vector<robinseam::ClassSettings>& classes) {
  Micros longest = 0;
  for (const auto& one : classes) longest = std::max(longest, one.deadline);
  return longest;
}

/// SplitMix64's finalizer (Steele, Lea and Flood, OOPSLA 2014): a bijection, so that a counter
/// never gives the same twice.
std::uint64_t mixed(std::uint64_t z) {
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

}  // namespace

Core::Core(const robinseam::Settings& settings, std::uint64_t seed, const TimeSource& clock,
           Lister& lister, std::size_t max_open, std::size_t max_ids,
           const robinseam::limits::LimitFactory& rules)
    : clock_(clock),
      lister_(lister),
      classes_(settings.classes),
      aside_(settings.cache_aside),
      second_copies_(settings.may_hedge),
      longest_deadline_(longest_of(settings.classes)),
      balancer_(settings, seed, clock.now(), rules),
      id_seed_(mixed(seed)),
      max_open_(max_open),
      max_ids_(max_ids) {
  counts_.ends.resize(classes_.size());
}

void Core::start(std::vector<robinseam::Server> known, bool doubted) {
  Micros now = clock_.now();
  perform("start", 0, now, balancer_.start(now));
  using Scope = robinseam::ListScope;
  list(doubted ? Scope::Unverified : Scope::Cached, std::move(known));
}

// ---- requests ----

Core::Taken Core::take(Request&& request, ReplySink& sink, Carrier& carrier, RequestId& id) {
  const robinseam::ClassSettings* type = class_of(request.type);
  if (!type || (type->effect == robinseam::Effect::Keyed && !request.write)) return Taken::BadClass;
  bool own_id = request.id.empty();  // never twice the same, so that none need be remembered
  if (!own_id && id_taken(request.id)) return Taken::IdInUse;
  if (open_.size() >= max_open_ || (!own_id && ids_[0].size() >= max_ids_)) {
    note_refused(request.type);
    return Taken::Busy;
  }
  ++counts_.requests;
  ++unanswered_;
  if (own_id)
    request.id = make_id();
  else
    note_id(request.id);
  id = next_id_++;
  Open& open = open_[id];
  open.sink = &sink;
  open.carrier = &carrier;
  // No client waits longer than its class allows; a longer time would only keep what is kept for
  // it.
  open.deadline = clock_.now() + std::min(request.patience, type->deadline);
  // Nor is any work longer than the patience for it: such a hint would upset the module's means.
  request.keyed = request.write && !request.idempotency.empty() && carrier.keeps_key(request);
  if (request.work) request.work = std::min(*request.work, type->deadline);
  open.request = std::move(request);
  events_.push_back(RequestEvent{id});
  return Taken::Yes;
}

std::string Core::make_id() {
  constexpr char kHex[] = "0123456789abcdef";
  std::uint64_t bits = mixed(id_seed_++);
  std::string id(16, '0');
  for (char& c : id) c = kHex[bits >> 60], bits <<= 4;
  return id;
}

/// An id that is out twice could be answered with the other's value, and cache servers take the
/// second one for a copy of the first. Those of requests that have just ended count as well: a copy
/// sent while the first was open may be read after it.
bool Core::id_taken(const std::string& id) const {
  return ids_[0].count(id) > 0 || ids_[1].count(id) > 0;
}

void Core::note_id(const std::string& id) {
  Micros now = clock_.now();
  if (now - ids_since_ > longest_deadline_) {
    ids_[1] = std::exchange(ids_[0], {});
    ids_since_ = now;
  }
  ids_[0].insert(id);
}

const robinseam::ClassSettings* Core::class_of(const std::string& name) const {
  for (const auto& c : classes_)
    if (c.name == name) return &c;
  return nullptr;
}

Core::Counts::Ends* Core::ends_of(const std::string& type) {
  const robinseam::ClassSettings* c = class_of(type);
  return c ? &counts_.ends[static_cast<std::size_t>(c - classes_.data())] : nullptr;
}

void Core::note_refused(const std::string& type) {
  if (Counts::Ends* ends = ends_of(type)) ++ends->refused;
}

void Core::left(RequestId id) {
  auto it = open_.find(id);
  if (it == open_.end() || it->second.left) return;
  Open& open = it->second;
  open.left = true;
  events_.push_back(GoneEvent{id});
  set_timer(clock_.now() + kLeftGrace, Due::Expiry, id, kLeftGuard);
  answer_left(open);
}

/// Begun from here on it would be work for nobody: what waits for a dial, behind others or for a
/// full socket goes no further.
void Core::take_back(RequestId id, Open& open) {
  for (std::size_t k = 0; k < open.attempts.size(); ++k) {
    Attempt& a = open.attempts[k];
    if (!a.carried || !open.carrier->take_back(a.server, id, static_cast<int>(k))) continue;
    a.carried = a.may_have_run = false;
    if (a.out) tell_outcome(id, open, static_cast<int>(k), Status::NotSent, nullptr);
  }
}

/// Who may still read gets an answer once nothing is out any more: that trying again is harmless
/// where nothing has run, of this try or, for a write that bears a key, of one before.
void Core::answer_left(Open& open) {
  if (open.answered || std::any_of(open.attempts.begin(), open.attempts.end(),
                                   [](const Attempt& one) { return one.carried; }))
    return;
  Reply reply;
  if (open.request.idempotency.empty() &&
      std::none_of(open.attempts.begin(), open.attempts.end(),
                   [](const Attempt& one) { return one.may_have_run; })) {
    ++counts_.refused;
    reply.kind = Reply::Kind::Refused;
  }
  give_reply(open, std::move(reply));
}

void Core::gone(RequestId id) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  Open& open = it->second;
  ++counts_.gone;
  unanswered_ -= !open.answered;
  open.sink = nullptr;
  open.answered = true;
  take_back(id, open);
  events_.push_back(GoneEvent{id});  // also where it has left before: settle() forgets it then
}

void Core::give_reply(Open& open, Reply&& reply) {
  counts_.failed += reply.kind == Reply::Kind::Failed;
  unanswered_ -= !open.answered;
  if (Counts::Ends* ends = ends_of(open.request.type))
    ++(reply.kind == Reply::Kind::Served    ? ends->served
       : reply.kind == Reply::Kind::Refused ? ends->refused
                                            : ends->failed);
  reply.missed = reply.kind != Reply::Kind::Served && open.missed;
  open.answered = true;
  if (ReplySink* sink = std::exchange(open.sink, nullptr))
    sink->on_reply(open.request, std::move(reply));
}

void Core::forget_if_done(RequestId id) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  const Open& open = it->second;
  if (!open.answered || open.untold > 0) return;
  for (const Attempt& a : open.attempts)
    if (a.out) return;
  open_.erase(it);
}

// ---- attempts ----

void Core::again(RequestId id) { events_.push_back(AgainEvent{id}); }

void Core::attempt_ended(RequestId id, int attempt, Status status, AttemptResult&& result,
                         bool held) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  Open& open = it->second;
  if (attempt < 0 || attempt >= static_cast<int>(open.attempts.size())) return;
  Attempt& a = open.attempts[static_cast<std::size_t>(attempt)];
  a.carried = false;
  if (status == Status::Miss && !aside_) status = Status::Error;
  if (status == Status::Ok && !open.answered) {
    Reply reply;
    reply.kind = Reply::Kind::Served;
    reply.value = std::move(result.value);
    reply.pipe = std::move(result.pipe);
    reply.receipt = std::move(result.receipt);
    reply.flags = result.flags;
    give_reply(open, std::move(reply));
  }
  if (a.out) tell_outcome(id, open, attempt, status, &result, held);
  if (open.left) answer_left(open);
  forget_if_done(id);
}

/// The attempt's patience, or with kClient the client's, is over. The last guard: whatever
/// happened, the client gets its answer.
void Core::expire(RequestId id, int attempt) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  Open& open = it->second;
  if (attempt == kLastGuard) {
    if (!open.answered) give_reply(open, Reply());
    forget_if_done(id);
    return;
  }
  if (attempt == kLeftGuard) {
    take_back(id, open);
    answer_left(open);
    forget_if_done(id);
    return;
  }
  for (std::size_t k = 0; k < open.attempts.size(); ++k) {
    Attempt& a = open.attempts[k];
    if (!a.out || (attempt >= 0 && static_cast<int>(k) != attempt)) continue;
    Status status;
    if (attempt >= 0 && !second_copies_) {
      std::optional<Status> ended = open.carrier->end(a.server, id, attempt);
      if (!ended) {  // out until then, so that no other may follow
        set_timer(clock_.now() + kEndAgain, Due::Expiry, id, attempt);
        continue;
      }
      status = *ended;
    } else {
      status = open.carrier->cancel(a.server, id, static_cast<int>(k));
    }
    a.carried = false;
    bool unreached = status == Status::NotSent && !open.carrier->remote();
    tell_outcome(id, open, static_cast<int>(k),
                 unreached                   ? Status::ConnectFailed
                 : status == Status::NotSent ? Status::NotSent
                                             : Status::Timeout,
                 nullptr);
  }
  if (attempt == kClient && !open.answered)
    set_timer(clock_.now() + kLastAnswer, Due::Expiry, id, kLastGuard);
  forget_if_done(id);
}

void Core::tell_outcome(RequestId id, Open& open, int attempt, Status status, AttemptResult* result,
                        bool held) {
  Attempt& a = open.attempts[static_cast<std::size_t>(attempt)];
  a.out = false;
  open.missed = status == Status::Miss;
  if (status == Status::Rejected || status == Status::ConnectFailed || status == Status::NotSent ||
      status == Status::Miss || status == Status::ConnectionLimit)
    a.may_have_run = false;
  ++counts_.outcomes[static_cast<std::size_t>(status)];
  if (at_servers_.size() < kMostCounted || at_servers_.count(a.server))
    ++at_servers_[a.server][static_cast<std::size_t>(status)];
  OutcomeEvent e;
  e.outcome.id = id;
  e.outcome.server = a.server;
  e.outcome.status = status;
  e.outcome.latency = clock_.now() - a.sent;
  e.outcome.attempt = attempt;
  e.outcome.paused = held;
  if (result) {
    counts_.hits += result->note == 1;
    counts_.misses += result->note > 1;
    e.outcome.cache_result = result->note;
    e.outcome.report = std::move(result->report);
  }
  ++open.untold;
  events_.push_back(std::move(e));
}

// ---- the list ----

void Core::list(robinseam::ListScope scope, std::vector<robinseam::Server> servers) {
  events_.push_back(ListEvent{scope, std::move(servers)});
}

// ---- timers ----

void Core::set_timer(Micros at, Due due, std::uint64_t token, int attempt) {
  timers_.push({at, timer_order_++, due, token, attempt});
}

void Core::ring() {
  Micros now = clock_.now();
  while (!timers_.empty() && timers_.top().at <= now) {
    Timer t = timers_.top();
    timers_.pop();
    if (t.due == Due::Module)
      events_.push_back(TimerEvent{t.token});
    else
      expire(t.token, t.attempt);
  }
}

// ---- the module ----

void Core::turn() {
  ring();
  settle();
}

void Core::settle() {
  while (!events_.empty()) {
    Event event = std::move(events_.front());
    events_.pop_front();
    Micros now = clock_.now();
    if (auto* e = std::get_if<OutcomeEvent>(&event)) {
      auto it = open_.find(e->outcome.id);
      e->outcome.finished = it == open_.end() || it->second.answered;
      if (it != open_.end()) --it->second.untold;
      perform("outcome", e->outcome.id, now, balancer_.on_outcome(now, e->outcome));
      forget_if_done(e->outcome.id);
    } else if (auto* e = std::get_if<RequestEvent>(&event)) {
      auto it = open_.find(e->id);
      if (it == open_.end()) continue;
      const Open& open = it->second;
      if (open.answered) {  // gone before the module heard of it
        open_.erase(it);
        continue;
      }
      robinseam::Request r;
      r.id = e->id;
      r.class_name = open.request.type;
      r.tenant = open.request.tenant;
      r.key = open.request.key;
      r.remaining = std::max<Micros>(0, open.deadline - now);
      r.work = open.request.work;
      r.retry = open.request.repeat;
      r.write = open.request.write;
      r.lacks_idempotency_key = open.request.write && !open.request.keyed;
      if (open.request.keyed) r.idempotency_key = open.request.idempotency;
      set_timer(open.deadline, Due::Expiry, e->id, kClient);
      perform("request", e->id, now, balancer_.on_request(now, r));
    } else if (auto* e = std::get_if<GoneEvent>(&event)) {
      perform("gone", e->id, now, balancer_.on_client_gone(now, e->id));
      forget_if_done(e->id);
    } else if (auto* e = std::get_if<AgainEvent>(&event)) {
      perform("again", e->id, now, balancer_.on_resume(now, e->id));
    } else if (auto* e = std::get_if<ListEvent>(&event)) {
      perform("list", 0, now, balancer_.on_list(now, e->scope, e->servers));
    } else if (auto* e = std::get_if<TimerEvent>(&event)) {
      perform("timer", e->token, now, balancer_.on_timer(now, e->token));
    }
  }
}

void Core::perform(const char* call, RequestId id, Micros now, const robinseam::Actions& actions) {
  if (tap_) tap_->on_call(now, call, id, actions);
  for (const robinseam::Action& action : actions)
    std::visit([this](const auto& a) { act(a); }, action);
}

void Core::act(const robinseam::Send& a) {
  auto it = open_.find(a.id);
  if (it == open_.end()) return;
  Open& open = it->second;
  int attempt = static_cast<int>(open.attempts.size());
  Micros now = clock_.now();
  open.attempts.push_back({a.server, now});
  // An answer may have come while the module did not know of it yet.
  if (open.answered || open.left || now >= open.deadline) {
    open.attempts.back().carried = false;
    tell_outcome(a.id, open, attempt, Status::NotSent, nullptr);
    return;
  }
  Micros wait = open.deadline - now;
  if (a.timeout > 0 && a.timeout < wait && !open.carrier->remote()) {
    wait = a.timeout;
    set_timer(now + wait, Due::Expiry, a.id, attempt);
  }
  open.carrier->send(a.server, a.id, attempt, open.request, wait);
}

void Core::act(const robinseam::Refuse& a) {
  auto it = open_.find(a.id);
  if (it == open_.end() || it->second.answered) return;
  ++counts_.refused;
  Reply reply;
  reply.kind = Reply::Kind::Refused;
  reply.come_back = a.retry_after;
  give_reply(it->second, std::move(reply));
  forget_if_done(a.id);
}

void Core::act(const robinseam::Fail& a) {
  auto it = open_.find(a.id);
  if (it == open_.end() || it->second.answered) return;
  give_reply(it->second, Reply());
  forget_if_done(a.id);
}

void Core::act(const robinseam::Cancel& a) {
  auto it = open_.find(a.id);
  if (it == open_.end() || a.attempt < 0 ||
      a.attempt >= static_cast<int>(it->second.attempts.size()))
    return;
  Open& open = it->second;
  Attempt& one = open.attempts[static_cast<std::size_t>(a.attempt)];
  if (!one.out) return;
  Status status = Status::Cancelled;
  // For a client that has left but may still read, what is out goes on.
  if (!open.left || open.answered) {
    status = open.carrier->cancel(one.server, a.id, a.attempt);
    one.carried = false;
  }
  tell_outcome(a.id, open, a.attempt, status, nullptr);
}

void Core::act(const robinseam::Timer& a) {
  set_timer(clock_.now() + a.delay, Due::Module, a.token);
}

}  // namespace arrowfork
