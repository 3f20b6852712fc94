// Parses names, numbers and lists as the simulator's protocol and the settings write them.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace robinseam::drill {

/// A malformed line or an invalid setting; what() names the fault.
struct ParseError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::int64_t to_integer(std::string_view text, std::string_view what);
double to_number(std::string_view text, std::string_view what);

template <typename T, std::size_t N>
using NameTable = std::array<std::pair<std::string_view, T>, N>;

template <typename T, std::size_t N>
std::optional<T> look_up(const NameTable<T, N>& table, std::string_view text) {
  for (const auto& [name, value] : table)
    if (name == text) return value;
  return std::nullopt;
}

inline ParseError bad_value(std::string_view what, std::string_view value) {
  return ParseError("bad value for " + std::string(what) + ": '" + std::string(value) + "'");
}

template <typename T, std::size_t N>
T parse_name(const NameTable<T, N>& table, std::string_view text, std::string_view what) {
  if (auto found = look_up(table, text)) return *found;
  throw bad_value(what, text);
}

inline std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    std::size_t end = text.find(separator);
    parts.push_back(text.substr(0, end));
    if (end == text.npos) break;
    text.remove_prefix(end + 1);
  }
  return parts;
}

inline bool to_flag(std::string_view text, std::string_view what) {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false") return false;
  throw bad_value(what, text);
}

inline std::int64_t in_range(std::int64_t value, std::int64_t low, std::int64_t high,
                             std::string_view what) {
  if (value < low || value > high) throw bad_value(what, std::to_string(value));
  return value;
}

}  // namespace robinseam::drill
