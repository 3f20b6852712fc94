// Persists the server list of a router on disk. Connects the store and its thread to the router's
// event loop.
//
// Disk errors do not affect the router's service: they are logged once and counted.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "io/clock.hpp"
#include "net/config.hpp"
#include "net/list_persistence.hpp"
#include "store/committer.hpp"
#include "store/list_trust.hpp"

namespace wheeldeal::store {

class DiskListPersistence final : public arrowfork::ListPersistence {
 public:
  /// Opens the directory of `settings` for the router named `owner`. Never fails: if the directory
  /// cannot be used, this is logged and nothing is persisted. `unix_time`: in microseconds.
  DiskListPersistence(const arrowfork::StoreSettings& settings, std::string owner,
                      std::function<Micros()> unix_time);
  ~DiskListPersistence() override;

  /// Sets the configuration's initial list to the persisted list, unless it has one.
  void restore_list(arrowfork::Config& config);
  void on_list_confirmed(const arrowfork::HostList& list) override;
  void continue_writing() override;
  std::vector<std::pair<std::string, std::string>> stats() const override;

 private:
  void log_once(Error error, const char* what);

  arrowfork::StoreSettings settings_;
  std::string owner_;
  std::function<Micros()> unix_time_;
  Limits limits_;
  Store store_;
  std::unique_ptr<Committer> committer_;  // null if the directory cannot be used
  TrustDecision trust_{ListTrust::Discarded, "no list was persisted"};
  std::string last_list_json_;  // without the time of confirmation
  Micros written_at_ = 0;
  Error logged_error_ = Error::None;
  std::uint64_t failed_commits_ = 0, dropped_ = 0;
};

}  // namespace wheeldeal::store
