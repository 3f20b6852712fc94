#include "store/list_trust.hpp"

namespace wheeldeal::store {
namespace {

// A clock that is set by others is off by this much without having jumped.
constexpr Micros kSkew = 2'000'000;

}  // namespace

TrustDecision assess_trust(const PersistedList& kept, const std::string& self, Micros now,
                           Micros trusted_for, Micros usable_for) {
  if (kept.owner != self) return {ListTrust::Discarded, "another router kept it"};
  if (!kept.has_usable_server) return {ListTrust::Discarded, "it names no usable server"};
  Micros age = now - kept.confirmed;
  // Its age can't be told: it may be of an hour ago as well as of now.
  if (age < -kSkew) return {ListTrust::Unverified, "the clock was set back since"};
  if (age > usable_for) return {ListTrust::Discarded, "it is too old to send by"};
  if (kept.unverified) return {ListTrust::Unverified, "the store was damaged"};
  if (age > trusted_for) return {ListTrust::Unverified, "it is not of now"};
  return {ListTrust::Trusted, "it is of now"};
}

}  // namespace wheeldeal::store
