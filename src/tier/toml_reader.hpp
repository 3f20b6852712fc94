// Reads tables of a TOML file into typed values and collects every error with its line and column:
// unknown and missing keys, wrong types, units and ranges.
#pragma once

#include <toml++/toml.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "../io/clock.hpp"

namespace arrowfork::tier {

/// Errors in a file, each as "FILE:LINE:COLUMN: message".
class ErrorList {
 public:
  explicit ErrorList(std::string file) : file_(std::move(file)) {}
  void add(const toml::source_region& at, const std::string& message);
  const std::vector<std::string>& all() const { return all_; }

 private:
  std::string file_;
  std::vector<std::string> all_;
};

/// Parses "250us", "20ms", "1.5s" or "2min"; nothing if the text is not a duration.
std::optional<Micros> parse_duration(const std::string& text);

/// Reads one table. Each key that is read becomes known; reject_unknown_keys() reports the others.
/// A value that cannot be read is reported and leaves the variable unchanged.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string path, ErrorList& errors)
      : table_(table), path_(std::move(path)), errors_(errors) {}

  bool has(std::string_view name);
  void text(std::string_view name, std::string& value);
  /// A text that must be one of `words`.
  void choice(std::string_view name, std::string& value, const std::vector<std::string>& words);
  void flag(std::string_view name, bool& value);
  void integer(std::string_view name, int& value, int min, int max);
  void number(std::string_view name, double& value, double min, double max);
  void duration(std::string_view name, Micros& value, Micros min, Micros max);
  /// Indices below `count`: "3", "0-8", "0-3, 7" or "all"; also an integer.
  void group(std::string_view name, std::vector<int>& value, int count);
  /// Calls `read` for the table `name`, then reports the keys that it did not read.
  void table(std::string_view name, const std::function<void(TableReader&)>& read);
  /// The same for each table of the array `name`.
  void tables(std::string_view name, const std::function<void(TableReader&)>& read);
  /// A table of any content, as JSON text; empty if there is none.
  void json(std::string_view name, std::string& value);

  void error(const std::string& message) { errors_.add(table_.source(), key_path("") + message); }
  void error_at(std::string_view name, const std::string& message);
  /// Reports every key that was not read.
  void reject_unknown_keys();

 private:
  const toml::node* node(std::string_view name);
  std::string key_path(std::string_view name) const;
  const toml::table& table_;
  std::string path_;
  ErrorList& errors_;
  std::set<std::string, std::less<>> known_keys_;
};

}  // namespace arrowfork::tier
