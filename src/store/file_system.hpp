// The few things that the store asks of a disk, so that a test can be a disk that lies.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace wheeldeal::store {

/// What went wrong; None: nothing. The texts are for the log.
enum class Error {
  None,
  DiskFull,          ///< no room on the disk
  Io,                ///< it could not be read, written or synced
  PermissionDenied,  ///< not allowed
  NotFound,          ///< no such file
  Locked,            ///< another process has the folder
  NewerVersion,      ///< written by a later version
  TooLarge,          ///< a record, key or file beyond its bound
  Backlogged,        ///< the disk is behind: what waits for it has reached its bound
};
const char* name_of(Error fault);

/// A file that grows at its end. Destroying it closes it, and syncs nothing.
class File {
 public:
  virtual ~File() = default;
  /// All of `bytes`, or a fault: then some of them may be there.
  [[nodiscard]] virtual Error append(std::string_view bytes) = 0;
  /// What has been appended survives from here on. After a fault nothing of it may be believed,
  /// and a further sync proves nothing (Rebello et al., "Can Applications Recover from fsync
  /// Failures?", USENIX ATC 2020).
  [[nodiscard]] virtual Error sync() = 0;
};

/// One folder; names have no slash in them. One thread at a time.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// Takes the folder for this process until destruction, making it where it is missing.
  [[nodiscard]] virtual Error lock() = 0;
  [[nodiscard]] virtual Error list(std::vector<std::string>& names) = 0;
  /// At most `most` bytes; a longer file is TooLarge.
  [[nodiscard]] virtual Error read(const std::string& name, std::size_t most,
                                   std::string& bytes) = 0;
  /// A new, empty file; one of that name is replaced.
  [[nodiscard]] virtual Error create(const std::string& name, std::unique_ptr<File>& file) = 0;
  [[nodiscard]] virtual Error rename(const std::string& from, const std::string& to) = 0;
  [[nodiscard]] virtual Error remove(const std::string& name) = 0;
  /// Names that were made, changed or removed survive from here on.
  [[nodiscard]] virtual Error sync_directory() = 0;
};

/// The folder at `path`.
std::unique_ptr<FileSystem> real_file_system(const std::string& path);

}  // namespace wheeldeal::store
