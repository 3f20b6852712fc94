// The few things that the store asks of a disk, so that a test can be a disk that lies.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace wheeldeal::store {

/// What went wrong; None: nothing. The texts are for the log.
enum class Fault {
  None,
  Full,      ///< no room on the disk
  Io,        ///< it could not be read, written or synced
  Rights,    ///< not allowed
  Missing,   ///< no such file
  Locked,    ///< another process has the folder
  Newer,     ///< written by a later version
  TooLarge,  ///< a record, key or file beyond its bound
  Busy,      ///< the disk is behind: what waits for it has reached its bound
};
const char* name_of(Fault fault);

/// A file that grows at its end. Destroying it closes it, and syncs nothing.
class File {
 public:
  virtual ~File() = default;
  /// All of `bytes`, or a fault: then some of them may be there.
  [[nodiscard]] virtual Fault append(std::string_view bytes) = 0;
  /// What has been appended survives from here on. After a fault nothing of it may be believed,
  /// and a further sync proves nothing (Rebello et al., "Can Applications Recover from fsync
  /// Failures?", USENIX ATC 2020).
  [[nodiscard]] virtual Fault sync() = 0;
};

/// One folder; names have no slash in them. One thread at a time.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// Takes the folder for this process until destruction, making it where it is missing.
  [[nodiscard]] virtual Fault lock() = 0;
  [[nodiscard]] virtual Fault list(std::vector<std::string>& names) = 0;
  /// At most `most` bytes; a longer file is TooLarge.
  [[nodiscard]] virtual Fault read(const std::string& name, std::size_t most,
                                   std::string& bytes) = 0;
  /// A new, empty file; one of that name is replaced.
  [[nodiscard]] virtual Fault create(const std::string& name, std::unique_ptr<File>& file) = 0;
  [[nodiscard]] virtual Fault rename(const std::string& from, const std::string& to) = 0;
  [[nodiscard]] virtual Fault remove(const std::string& name) = 0;
  /// Names that were made, changed or removed survive from here on.
  [[nodiscard]] virtual Fault sync_names() = 0;
};

/// The folder at `path`.
std::unique_ptr<FileSystem> real_folder(const std::string& path);

}  // namespace wheeldeal::store
