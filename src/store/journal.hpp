// The store's files: a log in segments, and a snapshot that replaces the segments before it.
// Synchronous; Committer runs it on a thread apart from the router's event loop.
//
// Durability: a record is acknowledged once its segment has been synced; the name of a segment is
// synced before its first record. After a failed write or sync a segment gets no further records
// and does not count as durable; unacknowledged changes are written again to the next segment with
// the same sequences. Each start begins a new segment, so nothing is appended after a torn record.
#pragma once

#include <map>
#include <memory>

#include "store/file_system.hpp"
#include "store/format.hpp"

namespace wheeldeal::store {

struct Limits {
  std::size_t segment_bytes = 1u << 20;   ///< a new segment begins beyond this size
  std::size_t disk_bytes = 16u << 20;     ///< all files together, between compactions
  std::size_t record_bytes = 512u << 10;  ///< largest value
  std::size_t memory_bytes = 8u << 20;    ///< keys and values in memory
  std::size_t waiting_bytes = 2u << 20;   ///< changes not yet durable
};

struct Entry {
  std::string value;
  std::uint64_t expires = 0;   ///< Unix time in microseconds; 0: never
  std::uint64_t sequence = 0;  ///< of the change that wrote it
  bool unverified = false;     ///< a later change was damaged or lost, which may have changed it
};
using Entries = std::map<std::string, Entry, std::less<>>;

class Journal {
 public:
  Journal(std::shared_ptr<FileSystem> files, const Limits& limits)
      : files_(std::move(files)), limits_(limits) {}

  struct Contents {
    Entries entries;
    std::uint64_t last = 0;          ///< sequence of the last change
    std::size_t damaged_places = 0;  ///< places in files that cannot be read
    std::size_t trailing_bytes = 0;  ///< bytes after the last valid record of the last segment
    std::size_t files = 0, bytes = 0;
  };
  /// Locks the directory and reads its contents. Changes nothing on disk except that it removes
  /// temporary files of an interrupted compaction.
  [[nodiscard]] Error open(Contents& opened);
  /// Reads the contents without a lock and without any change.
  [[nodiscard]] Error inspect(Contents& opened) { return replay(opened, ~std::uint64_t{0}); }

  /// Writes the changes with the sequences `first` to `last`, encoded as in format.hpp. If it
  /// returns None they are durable; after an error call again with the same changes and any new
  /// ones.
  [[nodiscard]] Error commit(std::string_view records, std::uint64_t first, std::uint64_t last);
  /// Whether compact() pays: the files exceed one segment and twice the size it would leave.
  bool wants_compaction() const {
    return bytes_ > std::max(2 * live_bytes_, limits_.segment_bytes);
  }
  /// Replaces everything durable by a snapshot, without the entries expired at `now`. An error
  /// leaves everything as it was.
  [[nodiscard]] Error compact(std::uint64_t now);

  std::size_t bytes() const { return bytes_; }  ///< on disk, as far as known here
  /// Sequence of the last durable change.
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
  bool needs_snapshot_ = false;  // this process has not synced what it read at the start
};

}  // namespace wheeldeal::store
