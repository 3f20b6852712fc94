#include "store/committer.hpp"

#include <chrono>
#include <utility>

namespace wheeldeal::store {
namespace {

constexpr auto kMaxDiskWait = std::chrono::seconds(2);

}  // namespace

struct Committer::Shared {
  std::mutex lock;
  std::condition_variable changed;
  State state;
  Store::Batch batch;
  std::uint64_t now = 0;
  bool submitted = false, stop = false, ended = false;
};

Committer::Committer(std::shared_ptr<Journal> journal) : shared_(std::make_shared<Shared>()) {
  shared_->state.durable = journal->durable();
  shared_->state.disk_bytes = journal->bytes();
  thread_ = std::thread([shared = shared_, journal] {
    std::unique_lock lock(shared->lock);
    while (true) {
      shared->changed.wait(lock, [&] { return shared->submitted || shared->stop; });
      if (!shared->submitted) break;
      shared->submitted = false;
      Store::Batch batch = std::move(shared->batch);
      std::uint64_t now = shared->now;
      lock.unlock();
      Error error = journal->commit(batch.records, batch.first, batch.last);
      bool committed = error == Error::None;
      // If the disk space is used up, a compaction, which keeps one record per key, may free some.
      bool compacts = (committed && journal->wants_compaction()) || error == Error::DiskFull;
      Error compacted = compacts ? journal->compact(now) : Error::None;
      lock.lock();
      State& s = shared->state;
      if (committed) s.durable = batch.last, ++s.commits;
      s.failed += !committed;
      s.compactions += compacts && compacted == Error::None;
      s.error = committed ? compacted : error;
      s.disk_bytes = journal->bytes();
      s.busy = false;
      shared->changed.notify_all();
    }
    shared->ended = true;
    shared->changed.notify_all();
  });
}

Committer::~Committer() {
  std::unique_lock lock(shared_->lock);
  shared_->stop = true;
  shared_->changed.notify_all();
  bool ended = shared_->changed.wait_for(lock, kMaxDiskWait, [&] { return shared_->ended; });
  lock.unlock();
  ended ? thread_.join() : thread_.detach();
}

Committer::State Committer::state() const {
  std::lock_guard lock(shared_->lock);
  return shared_->state;
}

bool Committer::wait_until_idle() const {
  std::unique_lock lock(shared_->lock);
  return shared_->changed.wait_for(lock, kMaxDiskWait, [&] { return !shared_->state.busy; });
}

bool Committer::submit(const Store::Batch& batch, std::uint64_t now) {
  std::lock_guard lock(shared_->lock);
  if (shared_->state.busy || batch.last == 0) return false;
  shared_->batch = batch;
  shared_->now = now;
  shared_->submitted = shared_->state.busy = true;
  shared_->changed.notify_all();
  return true;
}

}  // namespace wheeldeal::store
