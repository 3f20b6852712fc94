// Minimal use of a Balancer: report events with their time and carry out the returned actions.
#include <cstdio>
#include <robinseam/balancer.hpp>

int main() {
  using namespace robinseam;
  Settings settings;
  ClassSettings page;
  page.name = "page";
  page.latency_objective = 150'000;
  page.deadline = 600'000;
  settings.classes.push_back(page);

  Micros now = 0;  // microseconds, from the router's own clock
  Balancer balancer(settings, /*seed=*/42, now);
  Server a, b;
  a.id = "10.0.0.1:80";
  b.id = "10.0.0.2:80";
  balancer.on_list(now, ListScope::Full, {a, b});

  Request request;
  request.id = 1;
  request.class_name = "page";
  request.key = "/index";
  request.remaining = 600'000;
  for (const Action& action : balancer.on_request(now, request)) {
    if (const Send* send = std::get_if<Send>(&action))
      std::printf("send request %llu to %s\n", static_cast<unsigned long long>(send->id),
                  send->server.c_str());
    if (const Timer* timer = std::get_if<Timer>(&action))
      std::printf("call on_timer in %lld us\n", static_cast<long long>(timer->delay));
  }
}
