// Key-value store: entries in memory, and the changes that still have to be written to disk. It has
// no I/O, no clock and no thread: the caller passes times, writes the changes and reports which of
// them are durable.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "store/journal.hpp"

namespace wheeldeal::store {

/// xxHash (64 bits). Keys may come from clients; std::hash offers no more protection against chosen
/// keys and is slower at the usual key lengths.
struct KeyHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view key) const;
};

class Store {
 public:
  explicit Store(const Limits& limits) : limits_(limits) {}
  /// Loads the contents read at the start. If they exceed the memory limit, the oldest entries are
  /// left out.
  void load(Journal::Contents&& opened);

  /// Sequence of a change; 0: there was nothing to change. See is_durable().
  using Sequence = std::uint64_t;
  /// `expires`: Unix time in microseconds; 0: never. On an error nothing changes.
  [[nodiscard]] Error put(std::string_view key, std::string_view value, std::uint64_t expires,
                          Sequence& token);
  [[nodiscard]] Error erase(std::string_view key, Sequence& token);
  /// Returns nullptr if there is no entry or it has expired at `now`.
  const Entry* get(std::string_view key, std::uint64_t now) const;
  /// Calls `each` for every entry whose key begins with `prefix`, in no particular order. `each`
  /// must not change the store.
  void scan(std::string_view prefix, std::uint64_t now,
            const std::function<void(const std::string& key, const Entry&)>& each) const;
  /// Removes expired entries from memory. The next compaction removes them from disk.
  void expire(std::uint64_t now);

  /// The changes that are not durable yet, for Journal::commit. They stay here until
  /// mark_durable().
  struct Batch {
    std::string records;
    Sequence first = 0, last = 0;  ///< 0: none
  };
  Batch batch() const;
  /// Records that all changes up to `last` are durable.
  void mark_durable(Sequence last);
  Sequence durable() const { return durable_; }
  bool is_durable(Sequence token) const { return token <= durable_; }

  std::size_t size() const { return entries_.size(); }
  std::size_t memory_bytes() const { return memory_; }           ///< bytes of keys and values
  std::size_t waiting_bytes() const { return waiting_.size(); }  ///< bytes

 private:
  Error append_change(const Record& record, Sequence& token);
  static std::size_t entry_bytes(std::string_view key, std::string_view value) {
    return key.size() + value.size() + kEntryOverheadBytes;
  }
  static constexpr std::size_t kEntryOverheadBytes = 128;  // estimate, without key and value

  Limits limits_;
  std::unordered_map<std::string, Entry, KeyHash, std::equal_to<>> entries_;
  std::size_t memory_ = 0;
  std::string waiting_;
  std::vector<std::pair<Sequence, std::size_t>>
      change_ends_;  // end of each waiting change in `waiting_`
  Sequence last_ = 0, durable_ = 0;
};

}  // namespace wheeldeal::store
