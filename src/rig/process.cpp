#include "process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace arrowfork::rig {

RouterProcess::RouterProcess(const std::string& program, const std::filesystem::path& config,
                             const std::filesystem::path& log, bool lean)
    : log_(log) {
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error("cannot fork the router process");
  if (pid_ > 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  ::dup2(out, 2);
  if (lean) {
    ::setenv("NODE_CONFIG", config.c_str(), 1);
    ::execl(program.c_str(), program.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  ::execl(program.c_str(), program.c_str(), "run", config.c_str(), static_cast<char*>(nullptr));
  ::_exit(127);
}

RouterProcess::~RouterProcess() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

std::uint16_t RouterProcess::port() const {
  if (port_ == 0) port_ = port_after(" listens on 127.0.0.1:");
  return port_;
}
std::uint16_t RouterProcess::ext_proc_port() const {
  return port_after("ext_proc listens on port ");
}

std::uint16_t RouterProcess::port_after(const std::string& prefix) const {
  std::string text = log();
  std::size_t at = text.find(prefix);
  if (at == text.npos || text.find('\n', at) == text.npos) return 0;
  return static_cast<std::uint16_t>(std::atoi(text.c_str() + at + prefix.size()));
}

std::string RouterProcess::log() const {
  std::ifstream file(log_);
  return {std::istreambuf_iterator<char>(file), {}};
}

void RouterProcess::signal(int signal_number) const {
  if (pid_ > 0) ::kill(pid_, signal_number);
}

bool RouterProcess::has_exited() {
  if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = 0;
  return pid_ == 0;
}

bool RouterProcess::exited_cleanly() const {
  return pid_ == 0 && WIFEXITED(status_) && WEXITSTATUS(status_) == 0;
}

TemporaryDirectory::TemporaryDirectory() {
  std::string pattern = (std::filesystem::temp_directory_path() / "wheeldeal-XXXXXX").string();
  if (!::mkdtemp(pattern.data())) throw std::runtime_error("cannot create a temporary directory");
  path_ = pattern;
}

TemporaryDirectory::~TemporaryDirectory() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

EventBasePtr make_precise_event_base() {
  std::unique_ptr<event_config, void (*)(event_config*)> options(event_config_new(),
                                                                 event_config_free);
  event_config_set_flag(options.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
  return EventBasePtr(event_base_new_with_config(options.get()));
}

}  // namespace arrowfork::rig
