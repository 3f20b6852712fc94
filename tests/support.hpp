#pragma once

#include <string>
#include <vector>

#include "robinseam/balancer.hpp"

namespace robinseam::test {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1'000'000;

inline Settings basic_settings() {
  Settings s;
  ClassSettings read;
  read.name = "read";
  read.latency_objective = 150 * kMs;
  read.deadline = 600 * kMs;
  s.classes.push_back(read);
  s.zone = "a";
  s.zones = {"a"};
  s.max_attempts = 4;
  s.may_cancel = true;
  s.may_hedge = true;
  s.tick = 1 * kMs;
  s.drain_grace = 500 * kMs;
  s.cold_share = 0.3;
  s.cold_time = 8 * kS;
  s.max_poll_delay = 10 * kS;
  return s;
}

inline Settings cache_aside_settings() {
  Settings s = basic_settings();
  s.cache_aside = true;
  s.origin_kind = "ledger";
  return s;
}

inline std::vector<Server> fleet(int count, double weight = 1) {
  std::vector<Server> list;
  for (int k = 0; k < count; ++k) {
    Server s;
    s.id = "10.0.0." + std::to_string(k) + ":80";
    s.zone = "a";
    s.kind = "std";
    s.weight = weight;
    list.push_back(s);
  }
  return list;
}

inline Request read_request(RequestId id, const std::string& key, Micros remaining = 500 * kMs) {
  Request r;
  r.id = id;
  r.class_name = "read";
  r.key = key;
  r.remaining = remaining;
  return r;
}

template <typename T>
std::vector<T> all(const Actions& actions) {
  std::vector<T> found;
  for (const Action& a : actions)
    if (const T* one = std::get_if<T>(&a)) found.push_back(*one);
  return found;
}

/// The server of the first Send among the actions, or "".
inline std::string sent_to(const Actions& actions) {
  auto sends = all<Send>(actions);
  return sends.empty() ? "" : sends.front().server;
}

inline Outcome outcome_of(RequestId id, const std::string& server, Status status, int attempt = 0,
                          Micros latency = 20 * kMs) {
  Outcome o;
  o.id = id;
  o.server = server;
  o.status = status;
  o.attempt = attempt;
  o.latency = latency;
  o.finished = status == Status::Ok;
  return o;
}

/// Sends one request and ends it at once with `status`; returns the server, or "" when refused.
inline std::string serve(Balancer& b, Micros now, RequestId id, const std::string& key,
                         Status status = Status::Ok) {
  std::string server = sent_to(b.on_request(now, read_request(id, key)));
  if (!server.empty()) b.on_outcome(now, outcome_of(id, server, status));
  return server;
}

/// Sends one request and ends every attempt with `status`; returns the number of attempts.
inline int end_all_attempts(Balancer& b, Micros now, RequestId id, const std::string& key,
                            Status status) {
  int attempts = 0;
  std::string server = sent_to(b.on_request(now, read_request(id, key)));
  for (; !server.empty(); ++attempts)
    server = sent_to(b.on_outcome(now, outcome_of(id, server, status, attempts)));
  return attempts;
}

}  // namespace robinseam::test
