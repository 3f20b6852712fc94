// File that keeps the servers disabled by the operator. Both processes of an upgrade read and write
// it.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>

#include "operator_overrides.hpp"

namespace arrowfork {

/// The file is replaced by rename, so that no reader sees a partial file; a writer holds a lock on
/// a separate lock file meanwhile.
class DisabledServersFile {
 public:
  /// With an empty path nothing is written to disk and the state stays in this process.
  explicit DisabledServersFile(std::string path) : path_(std::move(path)) {}

  /// The disabled servers if the file has changed since the last read. A missing or unreadable file
  /// changes nothing; an unreadable one sets `error`, once per reason.
  std::optional<DisabledServers> read_if_changed(std::string& error);
  /// Disables `id` from `now` on, or enables it; returns all disabled servers. Nothing, with the
  /// reason in `error`, if the change could not be stored.
  std::optional<DisabledServers> set_disabled(const std::string& id, bool disable,
                                              robinseam::Micros now, std::string& error);

 private:
  std::optional<DisabledServers> read(std::string& error) const;
  bool write(const DisabledServers& disabled, std::string& error) const;
  /// Identifies the version of the file that was read last.
  struct FileVersion {
    ino_t inode = 0;
    off_t size = -1;
    std::int64_t modified_ns = 0;
    bool operator==(const FileVersion&) const = default;
  };
  FileVersion file_version() const;

  std::string path_;
  FileVersion last_read_;
  DisabledServers disabled_;
  std::string last_error_;
};

}  // namespace arrowfork
