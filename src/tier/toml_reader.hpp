// Reads tables of a TOML file into typed values and collects every fault with its line and column:
// names that nobody knows, missing ones, wrong types, units and ranges.
#pragma once

#include <toml++/toml.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "../io/clock.hpp"

namespace arrowfork::tier {

/// What is wrong with a file, a line each: "FILE:LINE:COLUMN: what".
class ErrorList {
 public:
  explicit ErrorList(std::string file) : file_(std::move(file)) {}
  void add(const toml::source_region& at, const std::string& what);
  const std::vector<std::string>& all() const { return all_; }

 private:
  std::string file_;
  std::vector<std::string> all_;
};

/// "250us", "20ms", "1.5s", "2min"; nothing where the text is none.
std::optional<Micros> parse_duration(const std::string& text);

/// One table. Each name that is asked for is known; finish() blames the others. What can't be read
/// keeps its value and is blamed.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string path, ErrorList& errors)
      : table_(table), path_(std::move(path)), errors_(errors) {}

  bool has(std::string_view name);
  void text(std::string_view name, std::string& value);
  /// One of `words`.
  void choice(std::string_view name, std::string& value, const std::vector<std::string>& words);
  void flag(std::string_view name, bool& value);
  void integer(std::string_view name, int& value, int least, int most);
  void number(std::string_view name, double& value, double least, double most);
  void duration(std::string_view name, Micros& value, Micros least, Micros most);
  /// "3", "0-8", "0-3, 7" of `count` things, or "all"; an integer too.
  void group(std::string_view name, std::vector<int>& value, int count);
  /// Calls `read` for a table under the name, then blames what it left.
  void table(std::string_view name, const std::function<void(TableReader&)>& read);
  /// The same for each table of an array.
  void tables(std::string_view name, const std::function<void(TableReader&)>& read);
  /// A table as JSON text, whatever is in it; empty: none.
  void json(std::string_view name, std::string& value);

  void error(const std::string& what) { errors_.add(table_.source(), key_path("") + what); }
  void error_at(std::string_view name, const std::string& what);
  /// Blames every name that was not asked for.
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
