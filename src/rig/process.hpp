// Routers as processes of their own, and what a rig needs around them.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <string>

#include "../io/io.hpp"

namespace arrowfork::rig {

/// `PROGRAM run CONFIG`, or the lean program with CONFIG in its environment, with its standard
/// error in `log`; ends with its owner, or with this process. Throws std::runtime_error where it
/// can't be started.
class RouterProcess {
 public:
  RouterProcess(const std::string& program, const std::filesystem::path& config,
                const std::filesystem::path& log, bool lean = false);
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;
  ~RouterProcess();

  /// The port that it says it listens on; 0 before.
  std::uint16_t port() const;
  /// The same of its external processor.
  std::uint16_t ext_proc_port() const;
  std::string log() const;
  pid_t pid() const { return pid_; }
  void signal(int number) const;
  /// True once it has ended.
  bool has_exited();
  bool exited_cleanly() const;
  /// As waitpid() gave it, once it has ended.
  int status() const { return status_; }

 private:
  std::uint16_t port_after(const std::string& mark) const;
  std::filesystem::path log_;
  mutable std::uint16_t port_ = 0;  // once it is known
  pid_t pid_ = -1;
  int status_ = 0;
};

/// Gone with what is in it.
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

/// An event base whose timers are not rounded to the tick.
EventBasePtr make_precise_event_base();

}  // namespace arrowfork::rig
