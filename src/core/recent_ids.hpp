// The ids that clients have chosen for their requests, to tell a second copy of a request from a
// new one. No I/O; times come in.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_set>

#include "../io/clock.hpp"

namespace arrowfork {

/// Knows the ids of all open requests, and those of ended requests for one to two spans after their
/// end. It never refuses an id for lack of room: when `capacity` ended ids have come within a span,
/// the older ones are forgotten early, so that one client cannot keep others out.
///
/// Ids are kept as 64-bit hashes under a secret seed. Two ids of one hash count as the same.
class RecentIds {
 public:
  /// `span`: in microseconds. `capacity`: ended ids of one span, at least 1.
  RecentIds(Micros span, std::size_t capacity, std::uint64_t seed);

  /// Whether a request with this id is open or has ended a moment ago.
  bool contains(Micros now, std::string_view id);
  /// A request with this id begins. Call only if contains() is false.
  void open(std::string_view id);
  /// The request has ended. `may_have_run`: else its id is free at once, as a copy of a request
  /// that never ran is as good as the first one.
  void close(Micros now, std::string_view id, bool may_have_run);

  std::size_t size() const { return open_.size() + ended_[0].size() + ended_[1].size(); }
  /// Times at which ids were forgotten before their span was over.
  std::uint64_t forgotten_early() const { return forgotten_early_; }

 private:
  std::uint64_t hash_of(std::string_view id) const;
  void rotate(Micros now);
  void rotate_if_due(Micros now);

  Micros span_;
  std::size_t capacity_;
  std::uint64_t seed_;
  std::unordered_set<std::uint64_t> open_;
  std::array<std::unordered_set<std::uint64_t>, 2> ended_;  // the current span and the one before
  Micros rotated_at_ = 0;
  std::uint64_t forgotten_early_ = 0;
};

}  // namespace arrowfork
