#include "disabled_servers_file.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>

#include "io/io.hpp"

namespace arrowfork {
namespace {

using Json = nlohmann::json;

constexpr int kFormatVersion = 1;
// Enough for the maximum number of disabled servers with the longest ids.
constexpr std::size_t kMaxFileBytes = 1u << 20;

std::string system_error(const std::string& what) { return what + ": " + std::strerror(errno); }

}  // namespace

DisabledServersFile::FileVersion DisabledServersFile::file_version() const {
  struct stat s {};
  if (::stat(path_.c_str(), &s) != 0) return {};
  return {s.st_ino, s.st_size, std::int64_t{s.st_mtim.tv_sec} * 1'000'000'000 + s.st_mtim.tv_nsec};
}

std::optional<DisabledServers> DisabledServersFile::read(std::string& error) const {
  errno = 0;
  std::ifstream file(path_, std::ios::binary);
  // A missing file enables no server again: only a call does. A file that can't be opened for now,
  // such as when the process is out of descriptors, is an error and changes nothing.
  if (!file && errno == ENOENT) return disabled_;
  if (!file) {
    error = system_error(path_);
    return std::nullopt;
  }
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || json.value("v", Json()) != kFormatVersion || !json.contains("out") ||
      !json["out"].is_object()) {
    error = path_ + ": no list of bans of version 1";
    return std::nullopt;
  }
  DisabledServers disabled;
  for (const auto& [id, since] : json["out"].items())
    if (since.is_number_integer() && disabled.size() < OperatorOverrides::kMaxDisabled)
      disabled[id] = since.get<robinseam::Micros>();
  return disabled;
}

bool DisabledServersFile::write(const DisabledServers& disabled, std::string& error) const {
  Json json = {{"v", kFormatVersion}, {"out", Json::object()}};
  for (const auto& [id, since] : disabled) json["out"][id] = since;
  std::string text = json.dump(-1, ' ', false, Json::error_handler_t::replace),
              temporary_path = path_ + ".new";
  Fd fd(::open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (!fd || ::write(fd.get(), text.data(), text.size()) != static_cast<ssize_t>(text.size()) ||
      ::rename(temporary_path.c_str(), path_.c_str()) != 0) {
    error = system_error(path_);
    return false;
  }
  return true;
}

std::optional<DisabledServers> DisabledServersFile::read_if_changed(std::string& error) {
  if (path_.empty()) return std::nullopt;
  FileVersion now = file_version();
  if (now == last_read_) return std::nullopt;
  auto disabled = read(error);
  last_read_ = now;
  if (disabled) disabled_ = *disabled;
  if (!disabled && error == last_error_) error.clear();
  if (!disabled) {
    if (!error.empty()) last_error_ = error;
    last_read_ = FileVersion{0, -2, 0};  // matches no file, so the next call reads again
  }
  return disabled;
}

std::optional<DisabledServers> DisabledServersFile::set_disabled(const std::string& id,
                                                                 bool disable,
                                                                 robinseam::Micros now,
                                                                 std::string& error) {
  DisabledServers disabled = disabled_;
  Fd lock;
  if (!path_.empty()) {
    lock.reset(::open((path_ + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (!lock || ::flock(lock.get(), LOCK_EX) != 0) {
      error = system_error(path_ + ".lock");
      return std::nullopt;
    }
    auto stored = read(error);
    if (!stored) return std::nullopt;
    disabled = std::move(*stored);
  }
  bool changed = false;
  if (disable) {
    if (!disabled.count(id) && disabled.size() >= OperatorOverrides::kMaxDisabled) {
      error = "too many cache servers out by hand";
      return std::nullopt;
    }
    changed = disabled.emplace(id, now).second;
  } else {
    changed = disabled.erase(id) > 0;
  }
  if (changed && !path_.empty()) {
    if (!write(disabled, error)) return std::nullopt;
    last_read_ = file_version();
  }
  disabled_ = disabled;
  return disabled;
}

}  // namespace arrowfork
