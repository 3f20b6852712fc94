// A simulated directory for tests. It loses unsynced data and names at a power loss, tears writes,
// runs full, fails operations and lets a test damage files.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>

#include "store/file_system.hpp"

namespace wheeldeal::store {

class VirtualDisk final : public FileSystem, public std::enable_shared_from_this<VirtualDisk> {
 public:
  Error lock() override { return step(Op::Lock); }
  Error list(std::vector<std::string>& names) override;
  Error read(const std::string& name, std::size_t max_bytes, std::string& bytes) override;
  Error create(const std::string& name, std::unique_ptr<File>& file) override;
  Error rename(const std::string& from, const std::string& to) override;
  Error remove(const std::string& name) override;
  Error sync_directory() override;

  enum class Op { Lock, List, Read, Create, Append, Sync, Rename, Remove, SyncDirectory };
  /// After `after` further operations the next `times` operations of `kind` fail with `with`. A
  /// failed append writes part of its bytes.
  void fail_operations(Op kind, int after, int times, Error with);
  /// The power fails after that many further operations: later ones have no effect.
  void lose_power_after(int operations) { power_loss_at_ = operations_done_ + operations; }
  bool power_lost() const { return power_lost_; }
  int operations() const { return operations_done_; }
  /// Capacity for all files; a write beyond it returns DiskFull.
  void set_capacity(std::size_t bytes) { capacity_ = bytes; }

  /// The disk after a power loss: the synced data, and of the rest what `seed` decides. The
  /// unsynced end of a file may be present, cut at any byte or have zeroed ranges; each unsynced
  /// name may be in its former state.
  std::shared_ptr<VirtualDisk> after_power_loss(std::uint64_t seed) const;
  /// The disk after the process was killed: everything written is present.
  std::shared_ptr<VirtualDisk> after_process_kill() const;
  /// Current file contents, for tests that damage them.
  std::map<std::string, std::string> bytes() const;
  void set_bytes(const std::string& name, std::string bytes);

 private:
  struct Content {
    std::string bytes;
    std::size_t synced = 0;
    bool poisoned = false;  // a sync has failed: later ones report success without effect
  };
  using Names = std::map<std::string, std::shared_ptr<Content>>;
  class Handle;
  Error step(Op kind);
  std::size_t used() const;

  Names names_, synced_names_;
  struct InjectedFailure {
    int from = 0, times = 0;
    Error with = Error::None;
  };
  std::map<Op, InjectedFailure> failures_;
  int operations_done_ = 0, power_loss_at_ = -1;
  bool power_lost_ = false;
  std::size_t capacity_ = ~std::size_t{0};
};

}  // namespace wheeldeal::store
