// The operations that the store needs of a disk, as an interface so that tests can simulate faults.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace wheeldeal::store {

/// Result of an operation. name_of() gives the text for logs and statistics.
enum class Error {
  None,
  DiskFull,          ///< no space left on the disk
  Io,                ///< read, write or sync failed
  PermissionDenied,  ///< not allowed
  NotFound,          ///< no such file
  Locked,            ///< another process has locked the directory
  NewerVersion,      ///< written by a later version
  TooLarge,          ///< a record, key or file exceeds its limit
  Backlogged,        ///< too many changes wait for a slow disk
};
const char* name_of(Error error);

/// An append-only file. The destructor closes it without a sync.
class File {
 public:
  virtual ~File() = default;
  /// Appends all of `bytes`. After an error, some of them may have been written.
  [[nodiscard]] virtual Error append(std::string_view bytes) = 0;
  /// Makes everything appended so far durable. After an error none of it may be taken for durable,
  /// and a later successful sync does not change that (Rebello et al., "Can Applications Recover
  /// from fsync Failures?", USENIX ATC 2020).
  [[nodiscard]] virtual Error sync() = 0;
};

/// One directory; names contain no slash. For one thread at a time.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// Locks the directory for this process until destruction; creates it if it is missing.
  [[nodiscard]] virtual Error lock() = 0;
  [[nodiscard]] virtual Error list(std::vector<std::string>& names) = 0;
  /// Reads a whole file. TooLarge if it has more than `max_bytes` bytes.
  [[nodiscard]] virtual Error read(const std::string& name, std::size_t max_bytes,
                                   std::string& bytes) = 0;
  /// Creates an empty file or truncates the one of that name.
  [[nodiscard]] virtual Error create(const std::string& name, std::unique_ptr<File>& file) = 0;
  [[nodiscard]] virtual Error rename(const std::string& from, const std::string& to) = 0;
  [[nodiscard]] virtual Error remove(const std::string& name) = 0;
  /// Makes created, renamed and removed names durable.
  [[nodiscard]] virtual Error sync_directory() = 0;
};

/// The directory at `path`.
std::unique_ptr<FileSystem> real_file_system(const std::string& path);

}  // namespace wheeldeal::store
