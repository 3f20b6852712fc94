#include "core.hpp"

#include <algorithm>
#include <utility>

#include "mix_bits.hpp"

namespace arrowfork {
namespace {

// A request that the balancer leaves open for this long after its deadline is failed.
constexpr Micros kReplyGuardDelay = 15 * kMillisecond;
// A client that shuts down its sending side may be gone, so nothing may begin for it 0.1 s later.
// Attempts in flight have half of that to reach their server, in case the client still reads.
constexpr Micros kHalfClosedGrace = 50 * kMillisecond;
// During a shutdown a request is accepted with this much time left, whatever its class's objective.
constexpr Micros kMaxTimeNeeded = kSecond;
// Interval at which stopping an attempt after its timeout is tried again.
constexpr Micros kStopRetryInterval = 20 * kMillisecond;
// Interval at which an answer that is arriving is looked at after its attempt's timeout.
constexpr Micros kProgressCheckInterval = 20 * kMillisecond;
// Values of Timer::attempt for timers that are not the timeout of an attempt.
constexpr int kRequestDeadline = -1, kReplyGuard = -2, kHalfClosedGuard = -3;

Micros longest_deadline_of(const std::vector<robinseam::ClassSettings>& classes) {
  Micros longest = 0;
  for (const auto& one : classes) longest = std::max(longest, one.deadline);
  return longest;
}

}  // namespace

Core::Core(const robinseam::Settings& settings, std::uint64_t seed, const TimeSource& clock,
           ListSource& list_source, std::size_t max_open, std::size_t max_ids,
           const robinseam::limits::LimitFactory& rules)
    : clock_(clock),
      list_source_(list_source),
      classes_(settings.classes),
      cache_aside_(settings.cache_aside),
      may_hedge_(settings.may_hedge),
      longest_deadline_(longest_deadline_of(settings.classes)),
      balancer_(settings, seed, clock.now(), rules),
      id_seed_(mix_bits(seed)),
      recent_ids_(longest_deadline_, max_ids, mix_bits(id_seed_)),
      max_open_(max_open) {
  counts_.replies_by_class.resize(classes_.size());
}

void Core::start(std::vector<robinseam::Server> known, bool unverified) {
  Micros now = clock_.now();
  apply_actions("start", 0, now, balancer_.start(now));
  using Scope = robinseam::ListScope;
  on_list(unverified ? Scope::Unverified : Scope::Cached, std::move(known));
}

// ---- requests ----

Core::SubmitResult Core::submit(Request&& request, ReplySink& sink, AttemptSender& sender,
                                RequestId& id) {
  SubmitResult result = admit(std::move(request), sink, sender, id);
  ++counts_.submitted[static_cast<std::size_t>(result)];
  return result;
}

Core::SubmitResult Core::admit(Request&& request, ReplySink& sink, AttemptSender& sender,
                               RequestId& id) {
  const robinseam::ClassSettings* request_class = find_class(request.class_name);
  if (!request_class || (request_class->effect == robinseam::Effect::Keyed && !request.write))
    return SubmitResult::InvalidClass;
  Micros now = clock_.now();
  bool has_own_id = request.id.empty();  // make_id() never repeats an id
  // Of two open requests with one id, one could be answered with the other's value, and cache
  // servers would take the second for a hedge of the first. Ids of requests that have just ended
  // count as well: a copy sent while the request was open may be read after its end.
  if (!has_own_id && recent_ids_.contains(now, request.id)) return SubmitResult::IdInUse;
  if (open_.size() >= max_open_) {
    record_refused(request.class_name);
    return SubmitResult::TableFull;
  }
  // A request stays open no longer than its class allows; a longer time would only hold its memory.
  Micros time_left = std::min(request.time_left, request_class->deadline);
  if (is_too_late(now, time_left, *request_class)) {
    record_refused(request.class_name);
    return SubmitResult::ShuttingDown;
  }
  ++counts_.requests;
  ++unanswered_;
  if (has_own_id)
    request.id = make_id();
  else
    recent_ids_.open(request.id);
  id = next_id_++;
  Open& open = open_[id];
  open.has_own_id = has_own_id;
  open.sink = &sink;
  open.sender = &sender;
  open.deadline = now + time_left;
  if (answers_due_at_ > 0) open.deadline = std::min(open.deadline, answers_due_at_);
  request.repeatable = request_class->effect == robinseam::Effect::Repeatable;
  // A work hint beyond the deadline would distort the balancer's mean values.
  request.deduplicated =
      request.write && !request.idempotency_key.empty() && sender.supports_idempotency_key(request);
  if (request.work) request.work = std::min(*request.work, request_class->deadline);
  open.request = std::move(request);
  events_.push_back(RequestEvent{id});
  return SubmitResult::Accepted;
}

/// During a shutdown: whether the time until its reply is due is too short for a request, that is
/// shorter than its own and than the latency objective of its class, however long that is.
bool Core::is_too_late(Micros now, Micros time_left,
                       const robinseam::ClassSettings& request_class) const {
  if (answers_due_at_ == 0) return false;
  Micros needed = std::min(time_left, kMaxTimeNeeded);
  if (request_class.latency_objective > 0)
    needed = std::min(needed, request_class.latency_objective);
  return answers_due_at_ - now < needed;
}

std::string Core::make_id() {
  constexpr char kHex[] = "0123456789abcdef";
  std::uint64_t bits = mix_bits(id_seed_++);
  std::string id(16, '0');
  for (char& c : id) c = kHex[bits >> 60], bits <<= 4;
  return id;
}

const robinseam::ClassSettings* Core::find_class(const std::string& name) const {
  for (const auto& c : classes_)
    if (c.name == name) return &c;
  return nullptr;
}

Core::Counts::Replies* Core::replies_of(const std::string& class_name) {
  const robinseam::ClassSettings* c = find_class(class_name);
  return c ? &counts_.replies_by_class[static_cast<std::size_t>(c - classes_.data())] : nullptr;
}

void Core::record_refused(const std::string& class_name) {
  if (Counts::Replies* replies = replies_of(class_name)) ++replies->refused;
}

void Core::on_client_half_closed(RequestId id) {
  auto it = open_.find(id);
  if (it == open_.end() || it->second.half_closed) return;
  Open& open = it->second;
  open.half_closed = true;
  events_.push_back(ClientGoneEvent{id});
  set_timer(clock_.now() + kHalfClosedGrace, TimerKind::Expiry, id, kHalfClosedGuard);
  answer_half_closed(open);
}

/// Withdraws attempts that still wait for a connection, behind others or for a full socket: no
/// client waits for them any more.
void Core::withdraw_unsent(RequestId id, Open& open) {
  for (std::size_t k = 0; k < open.attempts.size(); ++k) withdraw(id, open, static_cast<int>(k));
}

/// Withdraws an attempt if it is not fully sent; false if it continues or has ended.
bool Core::withdraw(RequestId id, Open& open, int attempt) {
  Attempt& a = open.attempts[static_cast<std::size_t>(attempt)];
  if (!a.sender_owes_end || !open.sender->withdraw(a.server, id, attempt)) return false;
  a.sender_owes_end = a.may_have_run = false;
  if (a.in_flight) queue_outcome(id, open, attempt, Status::NotSent, nullptr);
  return true;
}

/// From now on servers may run a repeat of a keyed write again, so an attempt that still waits for
/// its connection must not be written.
void Core::end_key_window(RequestId id, int attempt) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  if (withdraw(id, it->second, attempt)) ++counts_.withdrawn_past_window;
}

/// The reply is Refused (safe to retry) only if no attempt has run; a write with an idempotency key
/// fails instead, since an earlier try of the client may have run.
Reply Core::reply_without_further_attempts(const Open& open) {
  Reply reply;
  if (open.request.idempotency_key.empty() &&
      std::none_of(open.attempts.begin(), open.attempts.end(),
                   [](const Attempt& one) { return one.may_have_run; }))
    reply.kind = Reply::Kind::Refused;
  return reply;
}

/// Replies to a half-closed client once no attempt is in flight.
void Core::answer_half_closed(Open& open) {
  if (open.answered || std::any_of(open.attempts.begin(), open.attempts.end(),
                                   [](const Attempt& one) { return one.sender_owes_end; }))
    return;
  give_reply(open, reply_without_further_attempts(open));
}

void Core::answer_all() {
  std::vector<RequestId> unanswered;  // withdrawing an attempt may end other requests
  for (const auto& [id, open] : open_)
    if (!open.answered) unanswered.push_back(id);
  for (RequestId id : unanswered) {
    auto it = open_.find(id);
    if (it == open_.end() || it->second.answered) continue;
    withdraw_unsent(id, it->second);
    give_reply(it->second, reply_without_further_attempts(it->second));
    events_.push_back(ClientGoneEvent{id});
  }
}

void Core::on_client_gone(RequestId id) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  Open& open = it->second;
  ++counts_.gone;
  unanswered_ -= !open.answered;
  open.sink = nullptr;
  open.answered = true;
  withdraw_unsent(id, open);
  events_.push_back(
      ClientGoneEvent{id});  // also after a half-close: deliver_events() then erases it
}

void Core::give_reply(Open& open, Reply&& reply) {
  counts_.failed += reply.kind == Reply::Kind::Failed;
  counts_.refused += reply.kind == Reply::Kind::Refused;
  unanswered_ -= !open.answered;
  if (Counts::Replies* replies = replies_of(open.request.class_name))
    ++(reply.kind == Reply::Kind::Served    ? replies->served
       : reply.kind == Reply::Kind::Refused ? replies->refused
                                            : replies->failed);
  reply.cache_miss = reply.kind != Reply::Kind::Served && open.last_was_miss;
  reply.time_left = std::max<Micros>(0, open.deadline - clock_.now());
  open.answered = true;
  if (ReplySink* sink = std::exchange(open.sink, nullptr))
    sink->on_reply(open.request, std::move(reply));
}

void Core::erase_if_done(RequestId id) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  const Open& open = it->second;
  if (!open.answered || open.pending_outcomes > 0) return;
  for (const Attempt& a : open.attempts)
    if (a.in_flight) return;
  erase(it);
}

void Core::erase(std::unordered_map<RequestId, Open>::iterator request) {
  const Open& open = request->second;
  bool may_have_run = std::any_of(open.attempts.begin(), open.attempts.end(),
                                  [](const Attempt& one) { return one.may_have_run; });
  if (!open.has_own_id) recent_ids_.close(clock_.now(), open.request.id, may_have_run);
  open_.erase(request);
}

// ---- attempts ----

void Core::on_client_resumed(RequestId id) { events_.push_back(ResumedEvent{id}); }

void Core::on_attempt_ended(RequestId id, int attempt, Status status, AttemptResult&& result,
                            bool paused) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  Open& open = it->second;
  if (attempt < 0 || attempt >= static_cast<int>(open.attempts.size())) return;
  Attempt& a = open.attempts[static_cast<std::size_t>(attempt)];
  a.sender_owes_end = false;
  if (status == Status::Miss && !cache_aside_) status = Status::Error;
  if (status == Status::Ok && !open.answered) give_reply(open, reply_of(open, std::move(result)));
  if (a.in_flight) queue_outcome(id, open, attempt, status, &result, paused);
  if (open.half_closed) answer_half_closed(open);
  erase_if_done(id);
}

Reply Core::reply_of(const Open& open, AttemptResult&& result) {
  Reply reply;
  if (result.value_dropped) {
    reply.kind = open.request.repeatable ? Reply::Kind::Refused : Reply::Kind::Failed;
    return reply;
  }
  reply.kind = Reply::Kind::Served;
  reply.value = std::move(result.value);
  reply.pipe = std::move(result.pipe);
  reply.receipt = std::move(result.receipt);
  reply.flags = result.flags;
  return reply;
}

bool Core::client_has_backlog(RequestId id) const {
  auto it = open_.find(id);
  return it != open_.end() && it->second.sink && it->second.sink->has_backlog();
}

/// Runs when an attempt's timeout or, with kRequestDeadline, the request's deadline has passed.
/// kReplyGuard makes sure that the client gets a reply whatever happened.
void Core::expire(RequestId id, int attempt) {
  auto it = open_.find(id);
  if (it == open_.end()) return;
  Open& open = it->second;
  if (attempt == kReplyGuard) {
    if (!open.answered) give_reply(open, Reply());
    erase_if_done(id);
    return;
  }
  if (attempt == kHalfClosedGuard) {
    withdraw_unsent(id, open);
    answer_half_closed(open);
    erase_if_done(id);
    return;
  }
  if (attempt >= 0 && is_answer_arriving(id, open, attempt)) {
    set_timer(clock_.now() + kProgressCheckInterval, TimerKind::Expiry, id, attempt);
    return;
  }
  for (std::size_t k = 0; k < open.attempts.size(); ++k) {
    Attempt& a = open.attempts[k];
    if (!a.in_flight || (attempt >= 0 && static_cast<int>(k) != attempt)) continue;
    Status status;
    bool answering = open.sender->expected_end(a.server, id, static_cast<int>(k)).has_value();
    if (attempt >= 0 && !may_hedge_) {
      std::optional<Status> ended = open.sender->stop_for_retry(a.server, id, attempt);
      if (!ended) {  // still in flight, so that no other attempt may follow
        set_timer(clock_.now() + kStopRetryInterval, TimerKind::Expiry, id, attempt);
        continue;
      }
      status = *ended;
    } else {
      status = open.sender->cancel(a.server, id, static_cast<int>(k));
    }
    a.sender_owes_end = false;
    bool unreached = status == Status::NotSent && !open.sender->sent_by_caller();
    queue_outcome(id, open, static_cast<int>(k),
                  unreached                   ? Status::ConnectFailed
                  : status == Status::NotSent ? Status::NotSent
                                              : Status::Timeout,
                  nullptr, false, answering);
  }
  if (attempt == kRequestDeadline && !open.answered)
    set_timer(clock_.now() + kReplyGuardDelay, TimerKind::Expiry, id, kReplyGuard);
  erase_if_done(id);
}

/// Whether the attempt's answer is arriving fast enough to be complete in time. The attempt timeout
/// is one for the answer's beginning: another attempt would only fetch the same bytes again.
bool Core::is_answer_arriving(RequestId id, const Open& open, int attempt) const {
  const Attempt& a = open.attempts[static_cast<std::size_t>(attempt)];
  if (!a.in_flight) return false;
  std::optional<Micros> end = open.sender->expected_end(a.server, id, attempt);
  return end && *end <= open.deadline;
}

void Core::queue_outcome(RequestId id, Open& open, int attempt, Status status,
                         AttemptResult* result, bool paused, bool answering) {
  Attempt& a = open.attempts[static_cast<std::size_t>(attempt)];
  a.in_flight = false;
  a.end = status;
  open.last_was_miss = status == Status::Miss;
  if (status == Status::Rejected || status == Status::ConnectFailed || status == Status::NotSent ||
      status == Status::Miss || status == Status::ConnectionLimit)
    a.may_have_run = false;
  ++counts_.outcomes[static_cast<std::size_t>(status)];
  if (outcomes_by_server_.size() < kMaxCountedServers || outcomes_by_server_.count(a.server))
    ++outcomes_by_server_[a.server][static_cast<std::size_t>(status)];
  OutcomeEvent e;
  e.outcome.id = id;
  e.outcome.server = a.server;
  e.outcome.status = status;
  // A long answer takes the time of its bytes, which tells nothing of the server's queue.
  e.outcome.latency = (result && result->began_at > 0 ? result->began_at : clock_.now()) - a.sent;
  e.outcome.attempt = attempt;
  e.outcome.paused = paused;
  e.outcome.answering = answering;
  if (result) {
    counts_.hits += result->cache_result == 1;
    counts_.misses += result->cache_result > 1;
    e.outcome.cache_result = result->cache_result;
    e.outcome.report = std::move(result->report);
  }
  ++open.pending_outcomes;
  events_.push_back(std::move(e));
}

// ---- the list ----

void Core::on_list(robinseam::ListScope scope, std::vector<robinseam::Server> servers) {
  events_.push_back(ListEvent{scope, std::move(servers)});
}

// ---- timers ----

void Core::set_timer(Micros at, TimerKind kind, std::uint64_t token, int attempt) {
  timers_.push({at, timer_order_++, kind, token, attempt});
}

void Core::run_due_timers() {
  Micros now = clock_.now();
  while (!timers_.empty() && timers_.top().at <= now) {
    Timer t = timers_.top();
    timers_.pop();
    switch (t.kind) {
      case TimerKind::Balancer:
        events_.push_back(TimerEvent{t.token});
        break;
      case TimerKind::Expiry:
        expire(t.token, t.attempt);
        break;
      case TimerKind::WindowEnd:
        end_key_window(t.token, t.attempt);
        break;
    }
  }
}

// ---- the balancer ----

void Core::process_events() {
  run_due_timers();
  deliver_events();
}

void Core::deliver_events() {
  while (!events_.empty()) {
    Event event = std::move(events_.front());
    events_.pop_front();
    Micros now = clock_.now();
    if (auto* e = std::get_if<OutcomeEvent>(&event)) {
      auto it = open_.find(e->outcome.id);
      e->outcome.finished = it == open_.end() || it->second.answered;
      if (it != open_.end()) --it->second.pending_outcomes;
      apply_actions("outcome", e->outcome.id, now, balancer_.on_outcome(now, e->outcome));
      erase_if_done(e->outcome.id);
    } else if (auto* e = std::get_if<RequestEvent>(&event)) {
      auto it = open_.find(e->id);
      if (it == open_.end()) continue;
      const Open& open = it->second;
      if (open.answered) {  // the client left before the balancer saw the request
        erase(it);
        continue;
      }
      robinseam::Request r;
      r.id = e->id;
      r.class_name = open.request.class_name;
      r.tenant = open.request.tenant;
      r.key = open.request.key;
      r.remaining = std::max<Micros>(0, open.deadline - now);
      r.work = open.request.work;
      r.retry = open.request.retry;
      r.write = open.request.write;
      r.lacks_idempotency_key = open.request.write && !open.request.deduplicated;
      if (open.request.deduplicated) r.idempotency_key = open.request.idempotency_key;
      set_timer(open.deadline, TimerKind::Expiry, e->id, kRequestDeadline);
      apply_actions("request", e->id, now, balancer_.on_request(now, r));
    } else if (auto* e = std::get_if<ClientGoneEvent>(&event)) {
      apply_actions("gone", e->id, now, balancer_.on_client_gone(now, e->id));
      erase_if_done(e->id);
    } else if (auto* e = std::get_if<ResumedEvent>(&event)) {
      apply_actions("again", e->id, now, balancer_.on_resume(now, e->id));
    } else if (auto* e = std::get_if<ListEvent>(&event)) {
      apply_actions("list", 0, now, balancer_.on_list(now, e->scope, e->servers));
    } else if (auto* e = std::get_if<TimerEvent>(&event)) {
      apply_actions("timer", e->token, now, balancer_.on_timer(now, e->token));
    }
  }
}

void Core::apply_actions(const char* call, RequestId id, Micros now,
                         const robinseam::Actions& actions) {
  if (observer_) observer_->on_call(now, call, id, actions);
  for (const robinseam::Action& action : actions)
    std::visit([this](const auto& a) { apply(a); }, action);
}

void Core::apply(const robinseam::Send& a) {
  auto it = open_.find(a.id);
  if (it == open_.end()) return;
  Open& open = it->second;
  int attempt = static_cast<int>(open.attempts.size());
  Micros now = clock_.now();
  if (attempt > 0) report_further_attempt(open, a.server);
  open.attempts.push_back({a.server, now});
  // The request may have been answered without the balancer knowing it yet.
  bool answer_is_arriving = false;
  for (int k = 0; k < attempt && !answer_is_arriving; ++k)
    answer_is_arriving = is_answer_arriving(a.id, open, k);
  if (open.answered || open.half_closed || now >= open.deadline || answer_is_arriving) {
    open.attempts.back().sender_owes_end = false;
    queue_outcome(a.id, open, attempt, Status::NotSent, nullptr);
    return;
  }
  Micros timeout = open.deadline - now;
  if (a.timeout > 0 && a.timeout < timeout && !open.sender->sent_by_caller()) {
    timeout = a.timeout;
    set_timer(now + timeout, TimerKind::Expiry, a.id, attempt);
  }
  if (a.valid_for > 0) set_timer(now + a.valid_for, TimerKind::WindowEnd, a.id, attempt);
  open.sender->send(a.server, a.id, attempt, open.request, timeout);
}

void Core::report_further_attempt(const Open& open, const std::string& server) const {
  if (!request_observer_) return;
  const Attempt& previous = open.attempts.back();
  request_observer_->on_further_attempt({open.request, static_cast<int>(open.attempts.size()),
                                         server, previous.server, previous.end,
                                         clock_.now() - open.attempts.front().sent});
}

void Core::apply(const robinseam::Refuse& a) {
  auto it = open_.find(a.id);
  if (it == open_.end() || it->second.answered) return;
  Reply reply;
  reply.kind = Reply::Kind::Refused;
  reply.retry_after = a.retry_after;
  give_reply(it->second, std::move(reply));
  erase_if_done(a.id);
}

void Core::apply(const robinseam::Fail& a) {
  auto it = open_.find(a.id);
  if (it == open_.end() || it->second.answered) return;
  give_reply(it->second, Reply());
  erase_if_done(a.id);
}

void Core::apply(const robinseam::Cancel& a) {
  auto it = open_.find(a.id);
  if (it == open_.end() || a.attempt < 0 ||
      a.attempt >= static_cast<int>(it->second.attempts.size()))
    return;
  Open& open = it->second;
  Attempt& one = open.attempts[static_cast<std::size_t>(a.attempt)];
  if (!one.in_flight) return;
  Status status = Status::Cancelled;
  // For a half-closed client, which may still read, attempts in flight continue.
  if (!open.half_closed || open.answered) {
    status = open.sender->cancel(one.server, a.id, a.attempt);
    one.sender_owes_end = false;
  }
  queue_outcome(a.id, open, a.attempt, status, nullptr);
}

void Core::apply(const robinseam::Timer& a) {
  set_timer(clock_.now() + a.delay, TimerKind::Balancer, a.token);
}

}  // namespace arrowfork
