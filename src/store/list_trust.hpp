// What a kept list is worth at a start. Pure.
#pragma once

#include <cstdint>
#include <string>

#include "robinseam/balancer.hpp"

namespace wheeldeal::store {

using robinseam::Micros;

/// What is known of a list that was kept, beside its servers.
struct PersistedList {
  std::string owner;              ///< the router that kept it
  Micros confirmed = 0;           ///< when discovery last said that it holds; Unix time
  bool unverified = false;        ///< the store was damaged behind it
  bool has_usable_server = true;  ///< a server that may get something new is on it
};

enum class ListTrust {
  Trusted,     ///< as a list that the process was handed: discovery confirms it in its spread
  Unverified,  ///< the same, but discovery is asked at once: it is likely to have changed
  Discarded,
};

struct TrustDecision {
  ListTrust trust = ListTrust::Discarded;
  const char* reason = "";
};

/// `now`: Unix time, of a clock that may have jumped since. `trusted_for`: up to this age it is
/// taken, up to `usable_for` asked about.
TrustDecision assess_trust(const PersistedList& kept, const std::string& self, Micros now,
                           Micros trusted_for, Micros usable_for);

}  // namespace wheeldeal::store
