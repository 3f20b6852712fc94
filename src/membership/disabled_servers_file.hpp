// The bans of a router in a file, which both processes of an upgrade read and write.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>

#include "operator_overrides.hpp"

namespace arrowfork {

/// The file is replaced as a whole by rename, so that no reader sees a part of it; who changes it
/// holds a lock beside it meanwhile.
class DisabledServersFile {
 public:
  /// With an empty path nothing is kept on disk and the bans are this process's alone.
  explicit DisabledServersFile(std::string path) : path_(std::move(path)) {}

  /// The bans where the file has changed since the last look. A file that is gone or can't be read
  /// as one changes nothing; `error` says why, once.
  std::optional<DisabledServers> read_if_changed(std::string& error);
  /// Takes `id` out from `now` on, or puts it back; gives all bans as they stand then. Nothing with
  /// the reason in `error` where that could not be kept.
  std::optional<DisabledServers> set_disabled(const std::string& id, bool out,
                                              robinseam::Micros now, std::string& error);

 private:
  std::optional<DisabledServers> read(std::string& error) const;
  bool write(const DisabledServers& bans, std::string& error) const;
  /// Which file was read last.
  struct Mark {
    ino_t inode = 0;
    off_t size = -1;
    std::int64_t changed_ns = 0;
    bool operator==(const Mark&) const = default;
  };
  Mark mark() const;

  std::string path_;
  Mark seen_;
  DisabledServers bans_;
  std::string said_;  // the last error
};

}  // namespace arrowfork
