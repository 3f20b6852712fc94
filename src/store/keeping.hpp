// A router's kept state: the shell between the store, its thread and the router's loop.
//
// Whatever the disk does, the router serves on: what can't be kept is told once and counted.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "io/clock.hpp"
#include "net/config.hpp"
#include "net/list_persistence.hpp"
#include "store/belief.hpp"
#include "store/committer.hpp"

namespace wheeldeal::store {

class Keeping final : public arrowfork::ListPersistence {
 public:
  /// Opens the folder of `settings` for the router of that name. Never fails: a folder that can't
  /// be used is told in the log, and nothing is kept. `wall`: Unix time in microseconds.
  Keeping(const arrowfork::StoreSettings& settings, std::string owner,
          std::function<Micros()> wall);
  ~Keeping() override;

  /// Puts the kept list in the place of one that the configuration does not give.
  void give(arrowfork::Config& config);
  void on_list_confirmed(const arrowfork::HostList& list) override;
  void continue_writing() override;
  std::vector<std::pair<std::string, std::string>> stats() const override;

 private:
  void say(Fault fault, const char* what);

  arrowfork::StoreSettings settings_;
  std::string owner_;
  std::function<Micros()> wall_;
  Limits limits_;
  Store store_;
  std::unique_ptr<Committer> committer_;  // none where the folder can't be used
  Belief belief_{Worth::Dropped, "nothing was kept"};
  std::string last_text_;  // the list without its age
  Micros kept_at_ = 0;
  Fault said_ = Fault::None;
  std::uint64_t faults_ = 0, dropped_ = 0;
};

}  // namespace wheeldeal::store
