// One account of the bytes that the router holds for its peers: commands in part and whole,
// answers, values passed on, and what servers have sent. No I/O.
#pragma once

#include <cstddef>
#include <utility>

namespace robinseam::limits {

/// Whoever holds bytes for a peer reserves them here first. What does not fit stays unread with the
/// peer, or is refused. Reservations have one of three priorities, so that those who hold a lot
/// leave room for those who hold little.
class MemoryAccount {
 public:
  enum class Priority {
    ReadAhead,  ///< bytes read before their command can begin: up to half of the limit
    Backlog,    ///< for a peer that already has others to take: up to three quarters
    First,      ///< for a peer that waits for nothing else: up to the limit
  };

  /// `limit`: in bytes.
  explicit MemoryAccount(std::size_t limit) : limit_(limit) {}

  void set_limit(std::size_t limit) { limit_ = limit; }
  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used_; }
  /// The most that was in use at once.
  std::size_t peak() const { return peak_; }

  bool has_room(std::size_t bytes, Priority priority) const {
    return used_ + bytes <= limit_of(priority);
  }
  /// Reserves `bytes`, or nothing if that would exceed what the priority may use.
  [[nodiscard]] bool try_reserve(std::size_t bytes, Priority priority) {
    if (!has_room(bytes, priority)) return false;
    reserve(bytes);
    return true;
  }
  /// Reserves `bytes` whatever is in use: for what is small and bounded by the number of peers.
  void reserve(std::size_t bytes) {
    used_ += bytes;
    if (used_ > peak_) peak_ = used_;
  }
  void release(std::size_t bytes) { used_ -= bytes; }

 private:
  std::size_t limit_of(Priority priority) const {
    switch (priority) {
      case Priority::ReadAhead:
        return limit_ / 2;
      case Priority::Backlog:
        return limit_ / 4 * 3;
      case Priority::First:
        break;
    }
    return limit_;
  }

  std::size_t limit_;
  std::size_t used_ = 0, peak_ = 0;
};

/// Bytes reserved for one holder; released with it.
class MemoryCharge {
 public:
  explicit MemoryCharge(MemoryAccount& account) : account_(&account) {}
  MemoryCharge(MemoryCharge&& other) noexcept
      : account_(other.account_), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryCharge& operator=(MemoryCharge&& other) noexcept {
    if (this == &other) return *this;
    set(0);
    account_ = other.account_;
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
  }
  ~MemoryCharge() { set(0); }

  std::size_t bytes() const { return bytes_; }
  /// Makes it `bytes`, whatever is in use.
  void set(std::size_t bytes) {
    account_->release(std::exchange(bytes_, 0));
    account_->reserve(bytes);
    bytes_ = bytes;
  }
  /// Makes it `bytes` if the difference has room; else leaves it unchanged.
  [[nodiscard]] bool try_set(std::size_t bytes, MemoryAccount::Priority priority) {
    if (bytes > bytes_ && !account_->has_room(bytes - bytes_, priority)) return false;
    set(bytes);
    return true;
  }

 private:
  MemoryAccount* account_;
  std::size_t bytes_ = 0;
};

}  // namespace robinseam::limits
