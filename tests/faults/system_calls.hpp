// System calls that fail as Linux documents, for tests: this program's own definitions of the calls
// come before the C library's, also for libevent. Only in the test program that links them.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>

namespace arrowfork::test {

enum class Call { Socket, Connect, Accept, Read, Write, Wait };
constexpr std::size_t kCalls = 6;

/// What the calls of this thread do from now on; other threads are left alone.
class SystemCallFaults {
 public:
  /// Each call of a kind fails with this chance, with one of its documented errors; reads and
  /// writes may come short instead.
  struct Plan {
    std::array<double, kCalls> chance{};
    std::uint64_t seed = 1;
    int only_error = 0;  ///< this error alone; 0: any of the kind's
  };
  explicit SystemCallFaults(const Plan& plan);
  ~SystemCallFaults();
  SystemCallFaults(const SystemCallFaults&) = delete;
  SystemCallFaults& operator=(const SystemCallFaults&) = delete;
  /// Calls that were made to fail or come short.
  std::uint64_t injected() const;
};

}  // namespace arrowfork::test
