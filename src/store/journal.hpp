// The store's files: a log in segments, and a snapshot that stands for the segments before it.
// Synchronous and without a thread of its own; Committer runs it off the router's loop.
//
// What may be believed. A record is acknowledged once its segment has been synced, and a segment's
// name before its first record is. A segment that could not be written or synced gets nothing more
// and proves nothing; what was not acknowledged is written again to the next one, under the same
// sequences. Each start writes to a new segment, so nothing is ever appended behind a torn record.
#pragma once

#include <map>
#include <memory>

#include "store/file_system.hpp"
#include "store/format.hpp"

namespace wheeldeal::store {

struct Limits {
  std::size_t segment_bytes = 1u << 20;   ///< a segment is left for the next one past this
  std::size_t disk_bytes = 16u << 20;     ///< of all files, between compactions
  std::size_t record_bytes = 512u << 10;  ///< a value
  std::size_t memory_bytes = 8u << 20;    ///< keys and values held
  std::size_t waiting_bytes = 2u << 20;   ///< changes that wait for the disk
};

struct Entry {
  std::string value;
  std::uint64_t expires = 0;   ///< Unix time in microseconds; 0: never
  std::uint64_t sequence = 0;  ///< of the change
  bool unverified = false;  ///< something behind it was damaged or lost, which may have changed it
};
using Entries = std::map<std::string, Entry, std::less<>>;

class Journal {
 public:
  Journal(std::shared_ptr<FileSystem> files, const Limits& limits)
      : files_(std::move(files)), limits_(limits) {}

  struct Contents {
    Entries entries;
    std::uint64_t last = 0;          ///< sequence of the last change
    std::size_t damaged_places = 0;  ///< places in files at which something can't be read
    std::size_t trailing_bytes = 0;  ///< bytes behind the last whole record of the last segment
    std::size_t files = 0, bytes = 0;
  };
  /// Locks the folder and reads what is there. Changes nothing on disk but leftovers of a
  /// compaction that was cut off.
  [[nodiscard]] Error open(Contents& opened);
  /// The same without a lock and without any change, for those who only look.
  [[nodiscard]] Error inspect(Contents& opened) { return replay(opened, ~std::uint64_t{0}); }

  /// Changes of the sequences `first` to `last`, as format.hpp has them. None: they are durable.
  /// After a fault call again with the same ones, and more where there are.
  [[nodiscard]] Error commit(std::string_view records, std::uint64_t first, std::uint64_t last);
  /// Whether compact() would pay: twice what it would leave, and a segment at least.
  bool wants_compaction() const {
    return bytes_ > std::max(2 * live_bytes_, limits_.segment_bytes);
  }
  /// Puts a snapshot in the place of all that is durable. `now` drops what has expired. A fault
  /// leaves everything as it was.
  [[nodiscard]] Error compact(std::uint64_t now);

  std::size_t bytes() const { return bytes_; }  ///< on disk, as far as known
  /// Sequence of the last change that survives anything that happens from here on.
  std::uint64_t durable() const { return needs_snapshot_ ? 0 : durable_; }

 private:
  Error replay(Contents& opened, std::uint64_t up_to);
  Error start_segment(std::uint64_t first);

  std::shared_ptr<FileSystem> files_;
  Limits limits_;
  std::unique_ptr<File> segment_;
  std::size_t segment_bytes_ = 0;
  std::size_t bytes_ = 0, live_bytes_ = 0;
  std::uint64_t durable_ = 0;
  bool needs_snapshot_ = false;  // what was found at the start has not been synced by this process
};

}  // namespace wheeldeal::store
