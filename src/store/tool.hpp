// `wheeldeal store`: what operators do with a folder by hand.
#pragma once

#include <string>

namespace wheeldeal::store {

/// Each prints to standard output and gives the exit status: 0 well, 1 damaged, 2 can't be used.
/// Looking takes no lock, so a folder in service can be looked at; what it writes meanwhile may
/// look torn.
int dump(const std::string& folder);
int check(const std::string& folder);
/// Takes the lock: for a folder whose router is down.
int compact(const std::string& folder);

}  // namespace wheeldeal::store
