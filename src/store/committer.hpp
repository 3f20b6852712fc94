// Carries batches to the journal on a thread of its own, so that the router's loop never waits for
// a disk. The two share one batch at a time under a lock that is held for a copy, no longer.
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
  /// Waits for the commit that is under way, if the disk lets it end within `patience`; a disk that
  /// hangs for longer is left to the end of the process.
  ~Committer();

  struct State {
    std::uint64_t durable = 0;  ///< everything up to this change
    Error fault = Error::None;  ///< of the last try
    std::uint64_t commits = 0, compactions = 0, failed = 0;
    std::size_t disk_bytes = 0;
    bool busy = false;
  };
  State state() const;
  /// Until no batch is under way, or a disk that hangs has had its time; true: none is.
  bool wait_until_idle() const;
  /// Takes the batch where none is under way; false else. After a fault the next one has to begin
  /// with the same changes.
  bool submit(const Store::Batch& batch, std::uint64_t now);

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace wheeldeal::store
