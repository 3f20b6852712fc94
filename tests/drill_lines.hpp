// Records the calls on the balancer and the actions it returned, as text lines.
#pragma once

#include <string>

#include "core/core.hpp"
#include "wire.hpp"

namespace arrowfork::test {

struct DrillLines final : SeamTap {
  void on_call(Micros now, const char* call, RequestId id,
               const robinseam::Actions& actions) override {
    lines += std::to_string(now) + ' ' + call + ' ' + std::to_string(id) + '\n';
    for (const robinseam::Action& action : actions)
      lines += "  " + robinseam::drill::format_action(action) + '\n';
  }
  std::string lines;
};

}  // namespace arrowfork::test
