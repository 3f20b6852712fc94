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

constexpr int kVersion = 1;
// Of the file: the most bans with the longest ids fit.
constexpr std::size_t kMostBytes = 1u << 20;

std::string system_error(const std::string& what) { return what + ": " + std::strerror(errno); }

}  // namespace

DisabledServersFile::Mark DisabledServersFile::mark() const {
  struct stat s {};
  if (::stat(path_.c_str(), &s) != 0) return {};
  return {s.st_ino, s.st_size, std::int64_t{s.st_mtim.tv_sec} * 1'000'000'000 + s.st_mtim.tv_nsec};
}

std::optional<DisabledServers> DisabledServersFile::read(std::string& error) const {
  errno = 0;
  std::ifstream file(path_, std::ios::binary);
  // A file that is gone puts nobody back: only a call does. One that can't be opened now, as
  // without a descriptor left, says nothing.
  if (!file && errno == ENOENT) return bans_;
  if (!file) {
    error = system_error(path_);
    return std::nullopt;
  }
  std::string text(kMostBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || json.value("v", Json()) != kVersion || !json.contains("out") ||
      !json["out"].is_object()) {
    error = path_ + ": no list of bans of version 1";
    return std::nullopt;
  }
  DisabledServers bans;
  for (const auto& [id, since] : json["out"].items())
    if (since.is_number_integer() && bans.size() < OperatorOverrides::kMaxDisabled)
      bans[id] = since.get<robinseam::Micros>();
  return bans;
}

bool DisabledServersFile::write(const DisabledServers& bans, std::string& error) const {
  Json json = {{"v", kVersion}, {"out", Json::object()}};
  for (const auto& [id, since] : bans) json["out"][id] = since;
  std::string text = json.dump(-1, ' ', false, Json::error_handler_t::replace),
              next = path_ + ".new";
  Fd fd(::open(next.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (!fd || ::write(fd.get(), text.data(), text.size()) != static_cast<ssize_t>(text.size()) ||
      ::rename(next.c_str(), path_.c_str()) != 0) {
    error = system_error(path_);
    return false;
  }
  return true;
}

std::optional<DisabledServers> DisabledServersFile::read_if_changed(std::string& error) {
  if (path_.empty()) return std::nullopt;
  Mark now = mark();
  if (now == seen_) return std::nullopt;
  auto bans = read(error);
  seen_ = now;
  if (bans) bans_ = *bans;
  if (!bans && error == said_) error.clear();
  if (!bans) {
    if (!error.empty()) said_ = error;
    seen_ = Mark{0, -2, 0};  // no file's: looked at again the next time
  }
  return bans;
}

std::optional<DisabledServers> DisabledServersFile::set_disabled(const std::string& id, bool out,
                                                                 robinseam::Micros now,
                                                                 std::string& error) {
  DisabledServers bans = bans_;
  Fd lock;
  if (!path_.empty()) {
    lock.reset(::open((path_ + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (!lock || ::flock(lock.get(), LOCK_EX) != 0) {
      error = system_error(path_ + ".lock");
      return std::nullopt;
    }
    auto kept = read(error);
    if (!kept) return std::nullopt;
    bans = std::move(*kept);
  }
  bool changed = false;
  if (out) {
    if (!bans.count(id) && bans.size() >= OperatorOverrides::kMaxDisabled) {
      error = "too many cache servers out by hand";
      return std::nullopt;
    }
    changed = bans.emplace(id, now).second;
  } else {
    changed = bans.erase(id) > 0;
  }
  if (changed && !path_.empty()) {
    if (!write(bans, error)) return std::nullopt;
    seen_ = mark();
  }
  bans_ = bans;
  return bans;
}

}  // namespace arrowfork
