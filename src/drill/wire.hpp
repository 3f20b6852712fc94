// The simulator's wire: turns its lines into calls on Balancer and actions back into lines.
// It decides nothing.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "robinseam/balancer.hpp"
#include "settings.hpp"

namespace robinseam::drill {

/// One line: its message name and its name=value pairs in order.
class Line {
 public:
  explicit Line(std::string_view text);
  std::string_view name() const { return name_; }
  /// The value, or nullptr when absent.
  const std::string_view* find(std::string_view key) const;
  std::string_view text(std::string_view key) const;  ///< throws ParseError when absent
  std::int64_t integer(std::string_view key) const;   ///< throws when absent or malformed
  std::int64_t integer(std::string_view key, std::int64_t absent) const;
  double number(std::string_view key, double absent) const;
  bool flag(std::string_view key, bool absent = false) const;
  const std::vector<std::pair<std::string_view, std::string_view>>& pairs() const { return pairs_; }

 private:
  std::string_view name_;
  std::vector<std::pair<std::string_view, std::string_view>> pairs_;
};

/// The settings of an `enlist` line, whose pairs are named by path.
SettingPairs setting_pairs(const Line& line);

/// One action as a wire line, without its line end.
std::string format_action(const Action& action);

/// All instances that one process hosts.
class Adapter {
 public:
  /// Takes one line; returns the whole reply when it was `your_turn`, otherwise an empty string.
  /// Throws ParseError on a malformed line.
  std::string process_line(std::string_view text);
  /// True between a `batch` line and its `your_turn`.
  bool in_batch() const { return in_batch_; }

 private:
  void event(const Line& line);
  void end_list();
  void emit(Actions actions);
  Balancer& current();

  std::map<std::string, std::unique_ptr<Balancer>> hosts_;
  std::string who_;
  std::string written_;  // the instance that the reply's last lines belong to
  std::string reply_;
  Micros now_ = 0;
  bool in_batch_ = false;
  bool seen_batch_ = false;
  std::int64_t entries_due_ = 0;
  ListScope scope_ = ListScope::Full;
  std::vector<Server> entries_;
};

}  // namespace robinseam::drill
