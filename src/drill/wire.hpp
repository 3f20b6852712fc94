// Adapter to the simulator: turns its lines into calls on Balancer, and actions into reply lines.
// Makes no decisions of its own.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "robinseam/balancer.hpp"
#include "settings.hpp"

namespace robinseam::drill {

/// One line: a message name, followed by name=value pairs in their order.
class Line {
 public:
  explicit Line(std::string_view text);
  std::string_view name() const { return name_; }
  /// The value, or nullptr if the line has none.
  const std::string_view* find(std::string_view key) const;
  std::string_view text(std::string_view key) const;  ///< throws ParseError if missing
  std::int64_t integer(std::string_view key) const;   ///< throws if missing or malformed
  std::int64_t integer(std::string_view key, std::int64_t default_value) const;
  double number(std::string_view key, double default_value) const;
  bool flag(std::string_view key, bool default_value = false) const;
  const std::vector<std::pair<std::string_view, std::string_view>>& pairs() const { return pairs_; }

 private:
  std::string_view name_;
  std::vector<std::pair<std::string_view, std::string_view>> pairs_;
};

/// The settings of an `enlist` line, whose pairs carry them by path.
SettingPairs setting_pairs(const Line& line);

/// Formats one action as a line, without the line end.
std::string format_action(const Action& action);

/// Runs the Balancer instances of one simulator process.
class Adapter {
 public:
  /// Processes one line. Returns the reply of the whole batch for `your_turn`, otherwise an empty
  /// string. Throws ParseError on a malformed line.
  std::string process_line(std::string_view text);
  /// True between a `batch` line and its `your_turn`.
  bool in_batch() const { return in_batch_; }

 private:
  void handle_event(const Line& line);
  void deliver_list();
  void append_actions(Actions actions);
  Balancer& current_instance();

  std::map<std::string, std::unique_ptr<Balancer>> instances_;
  std::string instance_;
  std::string reply_instance_;  // the instance that the last lines of the reply belong to
  std::string reply_;
  Micros now_ = 0;
  bool in_batch_ = false;
  bool seen_batch_ = false;
  std::int64_t entries_expected_ = 0;
  ListScope scope_ = ListScope::Full;
  std::vector<Server> entries_;
};

}  // namespace robinseam::drill
