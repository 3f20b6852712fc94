// An independent statement of the four rules for one router: it sees the events and the actions and
// shares no code with the library.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "robinseam/balancer.hpp"

namespace robinseam::test {

class RuleChecker {
 public:
  /// `capacity`: requests per second a warm server of weight 1 can do.
  RuleChecker(const Settings& settings, double capacity) : set_(settings), capacity_(capacity) {}

  const std::vector<std::string>& breaks() const { return breaks_; }

  void list(Micros now, ListScope scope, const std::vector<Server>& entries) {
    if (scope == ListScope::Failed) return;
    if (scope != ListScope::Delta)
      for (auto& [id, s] : servers_) {
        bool named = false;
        for (const Server& e : entries) named |= e.id == id;
        if (!named && s.entry.health == Health::Ready) s.entry.health = Health::Gone, s.told = now;
      }
    for (const Server& e : entries) {
      Known& s = servers_[e.id];
      if (e.health != Health::Ready && s.entry.health == Health::Ready) s.told = now;
      s.entry = e;
    }
  }

  void request(Micros now, const Request& r) {
    Owed o;
    o.deadline = now + r.remaining;
    for (const ClassSettings& c : set_.classes)
      if (c.name == r.class_name) o.cls = c;
    owed_[r.id] = o;
  }

  void outcome(const Outcome& r) {
    Owed& o = owed_[r.id];
    Try& t = o.tries[r.attempt];
    t.out = false;
    t.never = r.status == Status::Rejected || r.status == Status::ConnectFailed ||
              r.status == Status::NotSent || r.status == Status::Miss;
    if (r.finished) o.ended = true;
  }

  void gone(RequestId id) { owed_[id].ended = true; }

  void actions(Micros now, const Actions& actions) {
    for (const Action& a : actions) {
      if (const Send* s = std::get_if<Send>(&a)) send(now, *s);
      if (const Refuse* s = std::get_if<Refuse>(&a)) final(now, s->id, true);
      if (const Fail* s = std::get_if<Fail>(&a)) final(now, s->id, false);
    }
  }

  /// To be called as time passes: is any final answer overdue?
  void clock(Micros now) {
    for (auto& [id, o] : owed_)
      if (!o.ended && now > o.deadline + set_.answer_slack) {
        broke("1: no final answer for", id);
        o.ended = true;
      }
  }

 private:
  struct Try {
    std::string server;
    Micros sent = 0;
    bool out = true;
    bool never = false;
  };
  struct Owed {
    ClassSettings cls;
    Micros deadline = 0;
    bool ended = false;
    std::vector<Try> tries;
  };
  struct Known {
    Server entry;
    Micros told = 0;
    std::vector<Micros> cold_sends;
  };

  void broke(const std::string& what, RequestId id) {
    breaks_.push_back("rule " + what + " " + std::to_string(id));
  }

  void final(Micros now, RequestId id, bool refusal) {
    Owed& o = owed_[id];
    if (o.ended) broke("1: a second final answer for", id);
    if (now > o.deadline + set_.answer_slack) broke("1: late answer for", id);
    o.ended = true;
    if (!refusal || o.cls.effect == Effect::Repeatable) return;
    for (const Try& t : o.tries)
      if (!t.never && !(o.cls.effect == Effect::Keyed && o.cls.group == Group::All))
        broke("2: refused though it may have run", id);
  }

  void send(Micros now, const Send& s) {
    Owed& o = owed_[s.id];
    Known& to = servers_[s.server];
    if (o.ended) broke("1: sent after the end", s.id);
    for (const Try& t : o.tries) {
      if (t.out && !set_.may_hedge) broke("2: two copies out", s.id);
      if (t.never || o.cls.effect == Effect::Repeatable) continue;
      const Server& from = servers_[t.server].entry;
      bool same = o.cls.group == Group::All ||
                  (o.cls.group == Group::Zone && from.zone == to.entry.zone) ||
                  (o.cls.group == Group::Cell && from.cell >= 0 && from.cell == to.entry.cell);
      if (o.cls.effect == Effect::Once)
        broke("2: repeated", s.id);
      else if (!same)
        broke("2: repeated outside its group", s.id);
      else if (now > t.sent + o.cls.key_ttl)
        broke("2: repeated past its time to live", s.id);
    }
    if (to.entry.health != Health::Ready && now > to.told + set_.drain_grace)
      broke("3: sent to a leaving server", s.id);
    Micros age = now - to.entry.up_since;
    if (to.entry.up_since > 0 && age < set_.cold_time) {
      to.cold_sends.push_back(now);
      double count = 0;
      for (Micros at : to.cold_sends)
        count += at > now - set_.overload_time && at >= to.entry.up_since;
      double part = set_.cold_share + (1 - set_.cold_share) * double(age) / double(set_.cold_time);
      double window = double(set_.overload_time) / 1e6;
      if (count > set_.overload_factor * part * capacity_ * window + 2)
        broke("4: a cold server was pushed over by", s.id);
    }
    o.tries.push_back({s.server, now});
  }

  Settings set_;
  double capacity_;
  std::map<std::string, Known> servers_;
  std::map<RequestId, Owed> owed_;
  std::vector<std::string> breaks_;
};

}  // namespace robinseam::test
