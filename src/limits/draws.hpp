// Hashes of names and pseudo-random draws from seeds, the same on every machine.
#pragma once

#include <cstdint>
#include <string_view>

namespace robinseam::limits {

inline std::uint64_t mix(std::uint64_t x) {  // splitmix64 finalizer
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

inline std::uint64_t hash_name(std::string_view name) {  // FNV-1a, then mixed
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (unsigned char c : name) h = (h ^ c) * 0x100000001b3ULL;
  return mix(h);
}

inline std::uint64_t next_draw(std::uint64_t seed) {  // Knuth's MMIX generator
  return seed * 6364136223846793005ULL + 1442695040888963407ULL;
}

}  // namespace robinseam::limits
