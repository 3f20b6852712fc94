// The router as a process under test, with a configuration of its own.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "../loopback.hpp"
#include "rig/process.hpp"
#include "rig/scripted_peers.hpp"

namespace arrowfork::process_test {

using rig::next_id;
using rig::now;
using rig::Reaction;
using rig::read_command;
using rig::ReceivedCommand;
using rig::ScriptedCacheServer;
using rig::serve;
using rig::sleep_for;
using rig::SteadyClient;
using rig::write_command;
using test::TestConnection;

/// Waits until the condition holds; false, with a test failure, after kTestTimeoutMs.
bool wait_until(const std::function<bool()>& condition);

/// The configuration of the process under test.
struct RouterOptions {
  std::vector<std::string> hosts;  ///< as by test::host_json
  std::string discovery = "127.0.0.1:9";
  int memory_mb = 32, sockets = 1024;
  Micros key_ttl = 5 * kSecond, keyed_deadline = kSecond, read_deadline = 600 * kMillisecond;
  Micros keyed_objective = 250 * kMillisecond;
  Micros dial_timeout = 75 * kMillisecond;
  int streams_per_connection = 32, max_attempts = 5;
  bool binary_clients = false;
  /// Where two processes of an upgrade meet; empty: no second address and no upgrade.
  std::string state_dir;
  std::string text() const;
};

/// The lean router as a process.
class RouterUnderTest {
 public:
  explicit RouterUnderTest(const RouterOptions& options);
  std::uint16_t port() const { return process_->port(); }
  /// Peak resident memory in KiB (VmHWM).
  long peak_memory_kib() const { return status_kib("VmHWM:"); }
  /// Resident memory in KiB (VmRSS); 0 once the process has ended.
  long memory_kib() const { return status_kib("VmRSS:"); }
  bool has_ended() { return process_->has_exited(); }
  rig::RouterProcess& process() { return *process_; }
  std::string log() const { return process_->log(); }

 private:
  long status_kib(std::string_view name) const;
  rig::TemporaryDirectory directory_;
  std::unique_ptr<rig::RouterProcess> process_;
};

}  // namespace arrowfork::process_test
