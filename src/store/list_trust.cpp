#include "store/list_trust.hpp"

namespace wheeldeal::store {
namespace {

// Clocks of synchronized machines may differ by this much; a larger step back is a clock change.
constexpr Micros kMaxClockSkew = 2'000'000;

}  // namespace

TrustDecision assess_trust(const PersistedList& persisted, const std::string& self, Micros now,
                           Micros max_trusted_age, Micros max_age) {
  if (persisted.owner != self) return {ListTrust::Discarded, "written by another router"};
  if (!persisted.has_usable_server) return {ListTrust::Discarded, "lists no usable server"};
  Micros age = now - persisted.confirmed;
  // The age of the list is unknown: it may as well be an hour old.
  if (age < -kMaxClockSkew)
    return {ListTrust::Unverified, "the clock was set back since it was written"};
  if (age > max_age) return {ListTrust::Discarded, "too old"};
  if (persisted.unverified) return {ListTrust::Unverified, "the store was damaged"};
  if (age > max_trusted_age) return {ListTrust::Unverified, "older than the trusted age"};
  return {ListTrust::Trusted, "recent enough"};
}

}  // namespace wheeldeal::store
