// A folder of a test's own, gone with it.
#pragma once

#include <stdlib.h>

#include <filesystem>
#include <string>

namespace arrowfork::test {

class TempDirectory {
 public:
  TempDirectory() {
    std::string form = (std::filesystem::temp_directory_path() / "wheeldeal-XXXXXX").string();
    path_ = ::mkdtemp(form.data());
  }
  ~TempDirectory() { std::filesystem::remove_all(path_); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace arrowfork::test
