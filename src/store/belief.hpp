// What a kept list is worth at a start. Pure.
#pragma once

#include <cstdint>
#include <string>

#include "robinseam/balancer.hpp"

namespace wheeldeal::store {

using robinseam::Micros;

/// What is known of a list that was kept, beside its servers.
struct KeptList {
  std::string owner;      ///< the router that kept it
  Micros confirmed = 0;   ///< when discovery last said that it holds; Unix time
  bool doubted = false;   ///< the store was damaged behind it
  bool names_any = true;  ///< a server that may get something new is on it
};

enum class Worth {
  Taken,  ///< as a list that the process was handed: discovery confirms it in its spread
  Asked,  ///< the same, but discovery is asked at once: it is likely to have changed
  Dropped,
};

struct Belief {
  Worth worth = Worth::Dropped;
  const char* why = "";
};

/// `now`: Unix time, of a clock that may have jumped since. `taken_for`: up to this age it is
/// taken, up to `asked_for` asked about.
Belief judge(const KeptList& kept, const std::string& self, Micros now, Micros taken_for,
             Micros asked_for);

}  // namespace wheeldeal::store
