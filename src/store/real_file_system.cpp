#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>

#include "io/io.hpp"
#include "store/file_system.hpp"

namespace wheeldeal::store {
namespace {

using arrowfork::Fd;

constexpr const char* kLockFile = "LOCK";

Error error_from_errno(int error) {
  switch (error) {
    case ENOSPC:
    case EDQUOT:
    case EFBIG:
      return Error::DiskFull;
    case EACCES:
    case EPERM:
    case EROFS:
      return Error::PermissionDenied;
    case ENOENT:
    case ENOTDIR:
      return Error::NotFound;
    default:
      return Error::Io;
  }
}

Error sync_descriptor(int fd, bool data_only) {
  while ((data_only ? ::fdatasync(fd) : ::fsync(fd)) != 0)
    if (errno != EINTR) return error_from_errno(errno);
  return Error::None;
}

class RealFile final : public File {
 public:
  explicit RealFile(Fd fd) : fd_(std::move(fd)) {}
  Error append(std::string_view bytes) override {
    while (!bytes.empty()) {
      ssize_t put = ::write(fd_.get(), bytes.data(), bytes.size());
      if (put < 0 && errno == EINTR) continue;
      if (put < 0) return error_from_errno(errno);
      bytes.remove_prefix(static_cast<std::size_t>(put));
    }
    return Error::None;
  }
  Error sync() override { return sync_descriptor(fd_.get(), true); }

 private:
  Fd fd_;
};

class RealFileSystem final : public FileSystem {
 public:
  explicit RealFileSystem(std::string path) : path_(std::move(path)) {}

  Error lock() override {
    std::error_code error;
    std::filesystem::create_directories(path_, error);
    lock_ = Fd(::open(at(kLockFile).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (!lock_) return error_from_errno(errno);
    if (::flock(lock_.get(), LOCK_EX | LOCK_NB) == 0) return Error::None;
    return errno == EWOULDBLOCK ? Error::Locked : error_from_errno(errno);
  }

  Error list(std::vector<std::string>& names) override {
    names.clear();
    std::unique_ptr<DIR, int (*)(DIR*)> directory(::opendir(path_.c_str()), ::closedir);
    if (!directory) return error_from_errno(errno);
    while (true) {
      errno = 0;
      dirent* entry = ::readdir(directory.get());
      if (!entry) return errno == 0 ? Error::None : error_from_errno(errno);
      std::string name = entry->d_name;
      if (name != "." && name != ".." && name != kLockFile) names.push_back(std::move(name));
    }
  }

  Error read(const std::string& name, std::size_t max_bytes, std::string& bytes) override {
    bytes.clear();
    Fd fd(::open(at(name).c_str(), O_RDONLY | O_CLOEXEC));
    if (!fd) return error_from_errno(errno);
    struct stat info {};
    if (::fstat(fd.get(), &info) != 0) return error_from_errno(errno);
    if (!S_ISREG(info.st_mode)) return Error::Io;
    auto size = static_cast<std::size_t>(info.st_size);
    if (size > max_bytes) return Error::TooLarge;
    bytes.resize(size);
    std::size_t got = 0;
    while (got < size) {
      ssize_t more = ::read(fd.get(), bytes.data() + got, size - got);
      if (more < 0 && errno == EINTR) continue;
      if (more < 0) return error_from_errno(errno);
      if (more == 0) break;
      got += static_cast<std::size_t>(more);
    }
    bytes.resize(got);
    return Error::None;
  }

  Error create(const std::string& name, std::unique_ptr<File>& file) override {
    Fd fd(::open(at(name).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600));
    if (!fd) return error_from_errno(errno);
    file = std::make_unique<RealFile>(std::move(fd));
    return Error::None;
  }

  Error rename(const std::string& from, const std::string& to) override {
    return ::rename(at(from).c_str(), at(to).c_str()) == 0 ? Error::None : error_from_errno(errno);
  }

  Error remove(const std::string& name) override {
    return ::unlink(at(name).c_str()) == 0 ? Error::None : error_from_errno(errno);
  }

  Error sync_directory() override {
    Fd fd(::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    return fd ? sync_descriptor(fd.get(), false) : error_from_errno(errno);
  }

 private:
  std::string at(const std::string& name) const { return path_ + "/" + name; }
  std::string path_;
  Fd lock_;  // held until the end
};

}  // namespace

const char* name_of(Error error) {
  switch (error) {
    case Error::None:
      return "well";
    case Error::DiskFull:
      return "no room on the disk";
    case Error::Io:
      return "input or output error";
    case Error::PermissionDenied:
      return "not allowed";
    case Error::NotFound:
      return "no such file";
    case Error::Locked:
      return "another process has it";
    case Error::NewerVersion:
      return "written by a later version";
    case Error::TooLarge:
      return "too large";
    case Error::Backlogged:
      return "the disk is behind";
  }
  return "";
}

std::unique_ptr<FileSystem> real_file_system(const std::string& path) {
  return std::make_unique<RealFileSystem>(path);
}

}  // namespace wheeldeal::store
