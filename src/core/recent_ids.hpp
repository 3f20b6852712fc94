// The ids that clients have chosen for their requests, to tell a second copy of a request from a
// new one. No I/O; times come in.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>
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

  /// Hashes of ids for another process; they mean something only beside the seed.
  struct Hashes {
    std::uint64_t seed = 0;
    std::vector<std::uint64_t> values;
  };
  enum class Listing {
    Off,
    Opened,          ///< ids that are opened from now on
    KnownAndOpened,  ///< also those that are known now
  };
  /// Which ids are listed for the other process of an upgrade. A list of kMaxListed ids for each
  /// one of `capacity` takes no more.
  void list(Listing which);
  static constexpr std::size_t kMaxListed = 4;
  /// The first `most` of the listed ids, and removing as many once they are sent.
  Hashes listed(std::size_t most) const;
  void remove_listed(std::size_t count);
  bool has_listed() const { return !listed_.empty(); }
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
  std::deque<std::uint64_t> listed_;
  Micros rotated_at_ = 0;
  std::uint64_t forgotten_early_ = 0;
};

}  // namespace arrowfork
