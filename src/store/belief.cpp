#include "store/belief.hpp"

namespace wheeldeal::store {
namespace {

// A clock that is set by others is off by this much without having jumped.
constexpr Micros kSkew = 2'000'000;

}  // namespace

Belief judge(const KeptList& kept, const std::string& self, Micros now, Micros taken_for,
             Micros asked_for) {
  if (kept.owner != self) return {Worth::Dropped, "another router kept it"};
  if (!kept.names_any) return {Worth::Dropped, "it names no usable server"};
  Micros age = now - kept.confirmed;
  // Its age can't be told: it may be of an hour ago as well as of now.
  if (age < -kSkew) return {Worth::Asked, "the clock was set back since"};
  if (age > asked_for) return {Worth::Dropped, "it is too old to send by"};
  if (kept.doubted) return {Worth::Asked, "the store was damaged"};
  if (age > taken_for) return {Worth::Asked, "it is not of now"};
  return {Worth::Taken, "it is of now"};
}

}  // namespace wheeldeal::store
