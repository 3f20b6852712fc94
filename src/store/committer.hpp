// Commits batches to the journal on a separate thread, so that the router's event loop never waits
// for a disk. They share one batch at a time, under a lock that is held only for a copy.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>

#include "store/store.hpp"

namespace wheeldeal::store {

class Committer {
 public:
  explicit Committer(std::shared_ptr<Journal> journal);
  /// Waits up to kMaxDiskWait for the commit under way. If the disk hangs for longer, the thread is
  /// detached and ends with the process.
  ~Committer();

  struct State {
    std::uint64_t durable = 0;  ///< all changes up to this one are durable
    Error error = Error::None;  ///< of the last commit or compaction
    std::uint64_t commits = 0, compactions = 0, failed = 0;
    std::size_t disk_bytes = 0;
    bool busy = false;
  };
  State state() const;
  /// Waits until no commit is under way, for at most kMaxDiskWait. Returns true if none is.
  bool wait_until_idle() const;
  /// Starts to commit the batch; returns false if a commit is under way or the batch is empty.
  /// After an error the next batch has to begin with the same changes.
  bool submit(const Store::Batch& batch, std::uint64_t now);

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace wheeldeal::store
