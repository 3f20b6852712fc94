// Decides at a start whether the persisted list can be trusted. No I/O and no clock.
#pragma once

#include <cstdint>
#include <string>

#include "robinseam/balancer.hpp"

namespace wheeldeal::store {

using robinseam::Micros;

/// What is known about a persisted list apart from its servers.
struct PersistedList {
  std::string owner;              ///< name of the router that wrote it
  Micros confirmed = 0;           ///< when discovery last confirmed it; Unix time
  bool unverified = false;        ///< damage to the store may have changed it
  bool has_usable_server = true;  ///< it lists a server that may get requests
};

enum class ListTrust {
  Trusted,     ///< used like an inherited list: discovery confirms it within the usual delay
  Unverified,  ///< used, but discovery is polled at once: it has probably changed
  Discarded,   ///< not used
};

struct TrustDecision {
  ListTrust trust = ListTrust::Discarded;
  const char* reason = "";
};

/// `now`: Unix time, from a clock that may have been set since. Up to `max_trusted_age` a list is
/// trusted, up to `max_age` it is unverified, beyond it is discarded.
TrustDecision assess_trust(const PersistedList& persisted, const std::string& self, Micros now,
                           Micros max_trusted_age, Micros max_age);

}  // namespace wheeldeal::store
