#include "recent_ids.hpp"

#include <algorithm>
#include <utility>

#include "mix_bits.hpp"

namespace arrowfork {

RecentIds::RecentIds(Micros span, std::size_t capacity, std::uint64_t seed)
    : span_(span), capacity_(std::max<std::size_t>(1, capacity)), seed_(seed) {}

std::uint64_t RecentIds::hash_of(std::string_view id) const {
  std::uint64_t hash = mix_bits(seed_ + id.size());
  while (!id.empty()) {
    std::uint64_t word = 0;
    std::size_t size = std::min(sizeof word, id.size());
    for (std::size_t k = 0; k < size; ++k) word = word << 8 | static_cast<unsigned char>(id[k]);
    hash = mix_bits(hash ^ word);
    id.remove_prefix(size);
  }
  return hash;
}

void RecentIds::rotate(Micros now) {
  ended_[1] = std::exchange(ended_[0], {});
  rotated_at_ = now;
}

/// Also where no id comes: what is remembered must end by itself.
void RecentIds::rotate_if_due(Micros now) {
  if (now - rotated_at_ <= span_) return;
  if (now - rotated_at_ > 2 * span_) ended_[0].clear();
  rotate(now);
}

bool RecentIds::contains(Micros now, std::string_view id) {
  rotate_if_due(now);
  std::uint64_t hash = hash_of(id);
  return open_.contains(hash) || ended_[0].contains(hash) || ended_[1].contains(hash);
}

void RecentIds::open(std::string_view id) {
  std::uint64_t hash = hash_of(id);
  open_.insert(hash);
  if (lists_opened_ && listed_.size() < kMaxListed * capacity_) listed_.push_back(hash);
}

void RecentIds::list(Listing which) {
  lists_opened_ = which != Listing::Off;
  listed_.clear();
  if (which != Listing::KnownAndOpened) return;
  listed_.insert(listed_.end(), open_.begin(), open_.end());
  for (const auto& ended : ended_) listed_.insert(listed_.end(), ended.begin(), ended.end());
}

RecentIds::Hashes RecentIds::listed(std::size_t most) const {
  auto end = listed_.begin() + static_cast<std::ptrdiff_t>(std::min(most, listed_.size()));
  return {seed_, {listed_.begin(), end}};
}

void RecentIds::remove_listed(std::size_t count) {
  count = std::min(count, listed_.size());
  listed_.erase(listed_.begin(), listed_.begin() + static_cast<std::ptrdiff_t>(count));
}

bool RecentIds::adopt(Micros now, const Hashes& hashes) {
  if (hashes.seed != seed_ && size() > 0) return false;
  seed_ = hashes.seed;
  rotate_if_due(now);
  for (std::uint64_t hash : hashes.values) add_ended(now, hash);
  return true;
}

void RecentIds::close(Micros now, std::string_view id, bool may_have_run) {
  rotate_if_due(now);
  std::uint64_t hash = hash_of(id);
  open_.erase(hash);
  if (may_have_run) add_ended(now, hash);
}

void RecentIds::add_ended(Micros now, std::uint64_t hash) {
  if (ended_[0].size() >= capacity_) {
    forgotten_early_ += !ended_[1].empty();
    rotate(now);
  }
  ended_[0].insert(hash);
}

}  // namespace arrowfork
