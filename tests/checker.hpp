// An independent check of the four service rules for one router. It sees the events and the actions
// and shares no code with the library. The rules: 1, one final answer, in time; 2, no repeat that
// may run a request twice; 3, nothing new to a server that drains; 4, no overload of a cold server.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "robinseam/balancer.hpp"

namespace robinseam::test {

class RuleChecker {
 public:
  /// `capacity`: requests per second of a warm server of weight 1.
  RuleChecker(const Settings& settings, double capacity)
      : settings_(settings), capacity_(capacity) {}

  const std::vector<std::string>& violations() const { return violations_; }

  void list(Micros now, ListScope scope, const std::vector<Server>& entries) {
    if (scope == ListScope::Failed) return;
    if (scope != ListScope::Delta)
      for (auto& [id, s] : servers_) {
        bool listed = false;
        for (const Server& e : entries) listed |= e.id == id;
        if (!listed && s.entry.health == Health::Ready)
          s.entry.health = Health::Gone, s.notified_at = now;
      }
    for (const Server& e : entries) {
      ServerState& s = servers_[e.id];
      if (e.health != Health::Ready && s.entry.health == Health::Ready) s.notified_at = now;
      s.entry = e;
    }
  }

  void request(Micros now, const Request& r) {
    OpenRequest o;
    o.deadline = now + r.remaining;
    for (const ClassSettings& c : settings_.classes)
      if (c.name == r.class_name) o.request_class = c;
    requests_[r.id] = o;
  }

  void outcome(const Outcome& r) {
    OpenRequest& o = requests_[r.id];
    Attempt& t = o.attempts[r.attempt];
    t.in_flight = false;
    t.not_run = r.status == Status::Rejected || r.status == Status::ConnectFailed ||
                r.status == Status::NotSent || r.status == Status::Miss;
    if (r.finished) o.ended = true;
  }

  void gone(RequestId id) { requests_[id].ended = true; }

  void actions(Micros now, const Actions& actions) {
    for (const Action& a : actions) {
      if (const Send* s = std::get_if<Send>(&a)) send(now, *s);
      if (const Refuse* s = std::get_if<Refuse>(&a)) final(now, s->id, true);
      if (const Fail* s = std::get_if<Fail>(&a)) final(now, s->id, false);
    }
  }

  /// Call as time passes; reports overdue final answers.
  void advance(Micros now) {
    for (auto& [id, o] : requests_)
      if (!o.ended && now > o.deadline + settings_.answer_slack) {
        add_violation("1: no final answer for", id);
        o.ended = true;
      }
  }

 private:
  struct Attempt {
    std::string server;
    Micros sent_at = 0;
    bool in_flight = true;
    bool not_run = false;
  };
  struct OpenRequest {
    ClassSettings request_class;
    Micros deadline = 0;
    bool ended = false;
    std::vector<Attempt> attempts;
  };
  struct ServerState {
    Server entry;
    Micros notified_at = 0;
    std::vector<Micros> cold_sends;
  };

  void add_violation(const std::string& what, RequestId id) {
    violations_.push_back("rule " + what + " " + std::to_string(id));
  }

  void final(Micros now, RequestId id, bool refusal) {
    OpenRequest& o = requests_[id];
    if (o.ended) add_violation("1: a second final answer for", id);
    if (now > o.deadline + settings_.answer_slack) add_violation("1: late answer for", id);
    o.ended = true;
    if (!refusal || o.request_class.effect == Effect::Repeatable) return;
    for (const Attempt& t : o.attempts)
      if (!t.not_run &&
          !(o.request_class.effect == Effect::Keyed && o.request_class.group == Group::All))
        add_violation("2: refused though it may have run", id);
  }

  void send(Micros now, const Send& s) {
    OpenRequest& o = requests_[s.id];
    ServerState& to = servers_[s.server];
    if (o.ended) add_violation("1: sent after the end", s.id);
    for (const Attempt& t : o.attempts) {
      if (t.in_flight && !settings_.may_hedge) add_violation("2: two attempts in flight", s.id);
      if (t.not_run || o.request_class.effect == Effect::Repeatable) continue;
      const Server& from = servers_[t.server].entry;
      bool same =
          o.request_class.group == Group::All ||
          (o.request_class.group == Group::Zone && from.zone == to.entry.zone) ||
          (o.request_class.group == Group::Cell && from.cell >= 0 && from.cell == to.entry.cell);
      if (o.request_class.effect == Effect::Once)
        add_violation("2: repeated", s.id);
      else if (!same)
        add_violation("2: repeated outside its group", s.id);
      else if (now > t.sent_at + o.request_class.key_ttl)
        add_violation("2: repeated past its key TTL", s.id);
    }
    if (to.entry.health != Health::Ready && now > to.notified_at + settings_.drain_grace)
      add_violation("3: sent to a draining server", s.id);
    Micros age = now - to.entry.up_since;
    if (to.entry.up_since > 0 && age < settings_.cold_time) {
      to.cold_sends.push_back(now);
      double count = 0;
      for (Micros at : to.cold_sends)
        count += at > now - settings_.overload_time && at >= to.entry.up_since;
      double part = settings_.cold_share +
                    (1 - settings_.cold_share) * double(age) / double(settings_.cold_time);
      double window = double(settings_.overload_time) / 1e6;
      if (count > settings_.overload_factor * part * capacity_ * window + 2)
        add_violation("4: a cold server was overloaded by", s.id);
    }
    o.attempts.push_back({s.server, now});
  }

  Settings settings_;
  double capacity_;
  std::map<std::string, ServerState> servers_;
  std::map<RequestId, OpenRequest> requests_;
  std::vector<std::string> violations_;
};

}  // namespace robinseam::test
