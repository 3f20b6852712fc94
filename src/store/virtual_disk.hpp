// A folder in memory that does what disks do: forgets what was not synced when the power goes,
// tears writes, forgets names whose folder was not synced, runs full, fails, and rots.
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
  Error read(const std::string& name, std::size_t most, std::string& bytes) override;
  Error create(const std::string& name, std::unique_ptr<File>& file) override;
  Error rename(const std::string& from, const std::string& to) override;
  Error remove(const std::string& name) override;
  Error sync_directory() override;

  enum class Op { Lock, List, Read, Create, Append, Sync, Rename, Remove, SyncDirectory };
  /// From the operation of that number on, counted from now, each of `kind` fails `times` times.
  /// An append that fails leaves a part behind.
  void fail_operations(Op kind, int after, int times, Error with);
  /// The power goes at the operation of that number, counted from now: nothing more is done.
  void lose_power_after(int operations) { power_lost_at_ = done_ + operations; }
  bool power_lost() const { return power_lost_; }
  int operations() const { return done_; }
  /// Bytes of all files; what would go beyond is Full.
  void set_capacity(std::size_t bytes) { capacity_ = bytes; }

  /// The same disk after the power went: what was synced, and of the rest what `seed` leaves. A
  /// file's end that was not synced may be there, cut at any byte, or with holes; each name that
  /// was not synced may be as it was before.
  std::shared_ptr<VirtualDisk> after_power_loss(std::uint64_t seed) const;
  /// As a process finds it after one that was killed: everything written is there.
  std::shared_ptr<VirtualDisk> after_process_kill() const;
  /// Files as they are now, to be damaged by hand.
  std::map<std::string, std::string> bytes() const;
  void set_bytes(const std::string& name, std::string bytes);

 private:
  struct Content {
    std::string bytes;
    std::size_t synced = 0;
    bool poisoned = false;  // a sync has failed: further ones claim to work and prove nothing
  };
  using Names = std::map<std::string, std::shared_ptr<Content>>;
  class Handle;
  Error step(Op kind);
  std::size_t used() const;

  Names names_, synced_names_;
  struct Failing {
    int from = 0, times = 0;
    Error with = Error::None;
  };
  std::map<Op, Failing> failing_;
  int done_ = 0, power_lost_at_ = -1;
  bool power_lost_ = false;
  std::size_t capacity_ = ~std::size_t{0};
};

}  // namespace wheeldeal::store
