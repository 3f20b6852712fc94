// A 64-bit mixing function for ids and hashes.
#pragma once

#include <cstdint>

namespace arrowfork {

/// SplitMix64's finalizer (Steele, Lea and Flood, OOPSLA 2014). It is a bijection, so a counter
/// never yields the same value twice.
constexpr std::uint64_t mix_bits(std::uint64_t z) {
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

}  // namespace arrowfork
