// What is kept, by key: in memory for those who ask, and as changes for the disk. No I/O, no clock,
// no thread: times come in, bytes go out, and what has become durable is told.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "store/journal.hpp"

namespace wheeldeal::store {

/// xxHash's 64 bits: keys may come from clients, and std::hash is open to chosen ones no less, but
/// slower on the lengths that are usual here.
struct KeyHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view key) const;
};

class Store {
 public:
  explicit Store(const Limits& limits) : limits_(limits) {}
  /// What was found at the start. Entries beyond the memory's bound are left out, the oldest first.
  void load(Journal::Contents&& opened);

  /// Number of a change; 0: there was nothing to change. It is durable once durable() says so.
  using Sequence = std::uint64_t;
  /// `expires`: Unix time in microseconds; 0: never. A fault changes nothing.
  [[nodiscard]] Error put(std::string_view key, std::string_view value, std::uint64_t expires,
                          Sequence& token);
  [[nodiscard]] Error erase(std::string_view key, Sequence& token);
  /// nullptr: there is none, or its time is over at `now`.
  const Entry* get(std::string_view key, std::uint64_t now) const;
  /// Every entry whose key begins with `prefix`, in no order. `each` must not change the store.
  void scan(std::string_view prefix, std::uint64_t now,
            const std::function<void(const std::string& key, const Entry&)>& each) const;
  /// Frees what has expired. The disk forgets it with the next compaction.
  void expire(std::uint64_t now);

  /// Changes that wait for the disk, as the journal wants them. They stay here until
  /// mark_durable().
  struct Batch {
    std::string records;
    Sequence first = 0, last = 0;  ///< 0: none
  };
  Batch batch() const;
  /// Everything up to that change is durable.
  void mark_durable(Sequence last);
  Sequence durable() const { return durable_; }
  bool is_durable(Sequence token) const { return token <= durable_; }

  std::size_t size() const { return entries_.size(); }
  std::size_t memory_bytes() const { return memory_; }           ///< bytes of keys and values
  std::size_t waiting_bytes() const { return waiting_.size(); }  ///< bytes

 private:
  Error change(const Record& record, Sequence& token);
  static std::size_t entry_bytes(std::string_view key, std::string_view value) {
    return key.size() + value.size() + kEntryOverheadBytes;
  }
  static constexpr std::size_t kEntryOverheadBytes =
      128;  // bytes of an entry beside its key and value, about

  Limits limits_;
  std::unordered_map<std::string, Entry, KeyHash, std::equal_to<>> entries_;
  std::size_t memory_ = 0;
  std::string waiting_;
  std::vector<std::pair<Sequence, std::size_t>> ends_;  // of each change that waits, in `waiting_`
  Sequence last_ = 0, durable_ = 0;
};

}  // namespace wheeldeal::store
