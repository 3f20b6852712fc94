// Injects failures into system calls, with the errors that Linux documents. The test program's own
// definitions of the calls take precedence over the C library's, also for libevent. Only for the
// test program that links them.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>

namespace arrowfork::test {

enum class Call { Socket, Connect, Accept, Read, Write, Wait };
constexpr std::size_t kCallKinds = 6;

/// Makes system calls of the current thread fail while it exists; other threads are not affected.
class SystemCallFaults {
 public:
  /// Each call of a kind fails with the given probability and one of its documented errors; reads
  /// and writes may be short instead.
  struct Plan {
    std::array<double, kCallKinds> probability{};
    std::uint64_t seed = 1;
    int only_error = 0;  ///< only this error; 0: any documented one
  };
  explicit SystemCallFaults(const Plan& plan);
  ~SystemCallFaults();
  SystemCallFaults(const SystemCallFaults&) = delete;
  SystemCallFaults& operator=(const SystemCallFaults&) = delete;
  /// Number of calls made to fail or to be short.
  std::uint64_t injected() const;
};

}  // namespace arrowfork::test
