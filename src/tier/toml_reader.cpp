#include "toml_reader.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <sstream>

namespace arrowfork::tier {
namespace {

std::string format_duration(Micros span) {
  std::ostringstream out;
  span % kSecond == 0 ? out << span / kSecond << "s"
                      : out << static_cast<double>(span) / kMillisecond << "ms";
  return out.str();
}

template <class T>
std::string range_error(T min, T max) {
  std::ostringstream out;
  out << "must be from " << min << " to " << max;
  return out.str();
}

/// Adds an index or a range of indices; false if the text is neither.
bool add_range(std::string_view text, int count, std::vector<int>& all) {
  int from = 0, to = 0;
  const char* end = text.data() + text.size();
  auto [number_end, result] = std::from_chars(text.data(), end, from);
  if (result != std::errc()) return false;
  to = from;
  if (number_end != end) {
    if (*number_end != '-') return false;
    auto [range_end, range_result] = std::from_chars(number_end + 1, end, to);
    if (range_result != std::errc() || range_end != end) return false;
  }
  if (from < 0 || to < from || to >= count) return false;
  for (int k = from; k <= to; ++k) all.push_back(k);
  return true;
}

}  // namespace

void ErrorList::add(const toml::source_region& at, const std::string& message) {
  all_.push_back(file_ + ":" + std::to_string(at.begin.line) + ":" +
                 std::to_string(at.begin.column) + ": " + message);
}

std::optional<Micros> parse_duration(const std::string& text) {
  constexpr std::array<std::pair<std::string_view, double>, 4> kUnits{
      {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}}};
  double value = 0;
  const char* end = text.data() + text.size();
  auto [number_end, result] = std::from_chars(text.data(), end, value);
  if (result != std::errc() || !std::isfinite(value) || value < 0 || value > 1e9)
    return std::nullopt;
  std::string_view unit(number_end, static_cast<std::size_t>(end - number_end));
  for (const auto& [name, micros] : kUnits)
    if (unit == name) return static_cast<Micros>(std::llround(value * micros));
  return std::nullopt;
}

const toml::node* TableReader::node(std::string_view name) {
  known_keys_.emplace(name);
  return table_.get(name);
}

std::string TableReader::key_path(std::string_view name) const {
  std::string all = path_;
  if (!name.empty()) all += (all.empty() ? "" : ".") + std::string(name);
  return all.empty() ? all : all + ": ";
}

void TableReader::error_at(std::string_view name, const std::string& message) {
  const toml::node* n = table_.get(name);
  errors_.add(n ? n->source() : table_.source(), key_path(name) + message);
}

bool TableReader::has(std::string_view name) { return node(name) != nullptr; }

void TableReader::text(std::string_view name, std::string& value) {
  const toml::node* n = node(name);
  if (!n) return;
  if (auto read = n->value_exact<std::string>())
    value = *read;
  else
    error_at(name, "not a string");
}

void TableReader::choice(std::string_view name, std::string& value,
                         const std::vector<std::string>& words) {
  if (!node(name)) return;
  std::string read = value;
  text(name, read);
  std::string all;
  for (const std::string& one : words) {
    if (one == read) {
      value = read;
      return;
    }
    all += (all.empty() ? "" : ", ") + one;
  }
  error_at(name, "'" + read + "' is not one of " + all);
}

void TableReader::flag(std::string_view name, bool& value) {
  const toml::node* n = node(name);
  if (!n) return;
  if (auto read = n->value_exact<bool>())
    value = *read;
  else
    error_at(name, "must be true or false");
}

void TableReader::integer(std::string_view name, int& value, int min, int max) {
  const toml::node* n = node(name);
  if (!n) return;
  auto read = n->value_exact<std::int64_t>();
  if (!read || *read < min || *read > max) return error_at(name, range_error(min, max));
  value = static_cast<int>(*read);
}

void TableReader::number(std::string_view name, double& value, double min, double max) {
  const toml::node* n = node(name);
  if (!n) return;
  auto read = n->value<double>();
  if (!read || !(*read >= min && *read <= max)) return error_at(name, range_error(min, max));
  value = *read;
}

void TableReader::duration(std::string_view name, Micros& value, Micros min, Micros max) {
  const toml::node* n = node(name);
  if (!n) return;
  auto read = n->value_exact<std::string>();
  auto span = read ? parse_duration(*read) : std::nullopt;
  if (!span)
    return error_at(name, "not a duration with a unit, such as \"20ms\", \"1.5s\" or \"2min\"");
  if (*span < min || *span > max)
    return error_at(name, range_error(format_duration(min), format_duration(max)));
  value = *span;
}

void TableReader::group(std::string_view name, std::vector<int>& value, int count) {
  const toml::node* n = node(name);
  if (!n) return;
  std::string text;
  if (auto number = n->value_exact<std::int64_t>())
    text = std::to_string(*number);
  else if (auto read = n->value_exact<std::string>())
    text = *read;
  std::vector<int> all;
  bool good = !text.empty();
  if (text == "all") text = "0-" + std::to_string(count - 1);
  std::istringstream parts(text);
  for (std::string part; good && std::getline(parts, part, ',');) {
    part.erase(0, part.find_first_not_of(' '));
    good = add_range(part, count, all);
  }
  if (!good)
    return error_at(name, "not a list of indices such as \"all\", \"3\" or \"0-2, 5\", from 0 to " +
                              std::to_string(count - 1));
  value = std::move(all);
}

void TableReader::table(std::string_view name, const std::function<void(TableReader&)>& read) {
  const toml::node* n = node(name);
  if (!n) return;
  if (!n->is_table()) return error_at(name, "not a table");
  TableReader inner(*n->as_table(),
                    path_.empty() ? std::string(name) : path_ + "." + std::string(name), errors_);
  read(inner);
  inner.reject_unknown_keys();
}

void TableReader::tables(std::string_view name, const std::function<void(TableReader&)>& read) {
  const toml::node* n = node(name);
  if (!n) return;
  const toml::array* all = n->as_array();
  if (!all) return error_at(name, "not an array of tables ([[" + std::string(name) + "]])");
  std::size_t number = 0;
  for (const toml::node& one : *all) {
    std::string path = std::string(name) + "[" + std::to_string(number++) + "]";
    if (!one.is_table()) {
      errors_.add(one.source(), path + ": not a table");
      continue;
    }
    TableReader inner(*one.as_table(), path, errors_);
    read(inner);
    inner.reject_unknown_keys();
  }
}

void TableReader::json(std::string_view name, std::string& value) {
  const toml::node* n = node(name);
  if (!n) return;
  if (!n->is_table()) return error_at(name, "not a table");
  std::ostringstream out;
  out << toml::json_formatter(*n->as_table());
  value = out.str();
}

void TableReader::reject_unknown_keys() {
  for (const auto& [key, one] : table_)
    if (!known_keys_.count(key.str())) {
      std::string all;
      for (const std::string& name : known_keys_) all += (all.empty() ? "" : ", ") + name;
      errors_.add(one.source(), key_path(key.str()) + "unknown key; known keys: " + all);
    }
}

}  // namespace arrowfork::tier
