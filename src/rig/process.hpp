// Router child processes, temporary directories and event bases for rigs.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <string>

#include "../io/io.hpp"

namespace arrowfork::rig {

/// A router started as `PROGRAM run CONFIG`, or, with `lean`, as PROGRAM with the path CONFIG in
/// NODE_CONFIG. Its standard error goes to the file `log`. It is killed when this object is
/// destroyed or this process ends. The constructor throws std::runtime_error if the fork fails.
class RouterProcess {
 public:
  RouterProcess(const std::string& program, const std::filesystem::path& config,
                const std::filesystem::path& log, bool lean = false);
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;
  ~RouterProcess();

  /// The port that the router logs as its listening port; 0 until then.
  std::uint16_t port() const;
  /// The port that the router logs for its external processor; 0 until then.
  std::uint16_t ext_proc_port() const;
  std::string log() const;
  pid_t pid() const { return pid_; }
  /// Does nothing once the process is known to have exited.
  void signal(int signal_number) const;
  /// Whether the process has exited; reaps it without blocking.
  bool has_exited();
  /// Whether it has exited with status 0.
  bool exited_cleanly() const;
  /// The status from waitpid(), valid once the process has exited.
  int status() const { return status_; }

 private:
  std::uint16_t port_after(const std::string& prefix) const;
  std::filesystem::path log_;
  mutable std::uint16_t port_ = 0;  // 0 until it is known
  pid_t pid_ = -1;
  int status_ = 0;
};

/// A directory that is removed with its contents on destruction.
class TemporaryDirectory {
 public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

/// An event base with precise timers, which are not rounded to the coarse clock's tick.
EventBasePtr make_precise_event_base();

}  // namespace arrowfork::rig
