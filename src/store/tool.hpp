// `wheeldeal store`: commands for operators on a store directory.
#pragma once

#include <string>

namespace wheeldeal::store {

/// Each command prints to standard output and returns the exit status: 0 intact, 1 damaged,
/// 2 unusable. dump and check take no lock, so they work on the directory of a running router;
/// what it writes meanwhile may appear torn.
int dump(const std::string& directory);
int check(const std::string& directory);
/// Takes the lock, so the router must not be running.
int compact(const std::string& directory);

}  // namespace wheeldeal::store
