// A temporary directory that is removed with the object.
#pragma once

#include <stdlib.h>

#include <filesystem>
#include <string>

namespace arrowfork::test {

class TempDirectory {
 public:
  TempDirectory() {
    std::string pattern = (std::filesystem::temp_directory_path() / "wheeldeal-XXXXXX").string();
    path_ = ::mkdtemp(pattern.data());
  }
  ~TempDirectory() { std::filesystem::remove_all(path_); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace arrowfork::test
