// The ids that clients have chosen for their requests, to tell a second copy of a request from a
// new one. No I/O; times come in.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

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

  /// The hashes of all ids that are known, for the process that takes over; they mean something
  /// only beside the seed.
  struct Hashes {
    std::uint64_t seed = 0;
    std::vector<std::uint64_t> values;
  };
  Hashes known() const;
  /// From now on, ids that are opened are listed for take_opened().
  void list_opened() { lists_opened_ = true; }
  /// The ids that were opened since the last call.
  Hashes take_opened() { return {seed_, std::exchange(opened_, {})}; }
  bool has_opened() const { return !opened_.empty(); }
  /// Ids that another process has accepted: they count as ended now. Takes over its seed, unless
  /// ids are known here already under another one; then it does nothing and returns false.
  bool adopt(Micros now, const Hashes& hashes);

  std::size_t size() const { return open_.size() + ended_[0].size() + ended_[1].size(); }
  /// Times at which ids were forgotten before their span was over.
  std::uint64_t forgotten_early() const { return forgotten_early_; }

 private:
  std::uint64_t hash_of(std::string_view id) const;
  void rotate(Micros now);
  void add_ended(Micros now, std::uint64_t hash);
  void rotate_if_due(Micros now);

  Micros span_;
  std::size_t capacity_;
  std::uint64_t seed_;
  std::unordered_set<std::uint64_t> open_;
  std::array<std::unordered_set<std::uint64_t>, 2> ended_;  // the current span and the one before
  bool lists_opened_ = false;
  std::vector<std::uint64_t> opened_;
  Micros rotated_at_ = 0;
  std::uint64_t forgotten_early_ = 0;
};

}  // namespace arrowfork
