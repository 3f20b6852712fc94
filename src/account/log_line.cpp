#include "log_line.hpp"

#include <charconv>

namespace wheeldeal::account {
namespace {

constexpr std::string_view kLogMark = "arrowfork: ";

bool parse_number(std::string_view text, double& value) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}

/// Removes and returns the next word of `text`; empty at the end.
std::string_view next_word(std::string_view& text) {
  std::size_t from = text.find_first_not_of(' ');
  if (from == text.npos) return text = {};
  text.remove_prefix(from);
  std::size_t size = std::min(text.find(' '), text.size());
  std::string_view found = text.substr(0, size);
  text.remove_prefix(size);
  return found;
}

/// Parses `ok/failed/full/given_up/unreached/live`.
bool parse_counts(std::string_view text, ServerAttempts& at) {
  double* const fields[] = {&at.ok,        &at.failed,      &at.rejected,
                            &at.timed_out, &at.unreachable, &at.live};
  for (std::size_t k = 0; k < std::size(fields); ++k) {
    bool last = k + 1 == std::size(fields);
    std::size_t size = last ? text.size() : text.find('/');
    if (size == text.npos || !parse_number(text.substr(0, size), *fields[k])) return false;
    if (*fields[k] < 0) return false;
    text.remove_prefix(last ? size : size + 1);
  }
  return true;
}

}  // namespace

void parse_log_line(std::string_view text, LogLine& line) {
  line.kind = LogLine::Kind::Other;
  line.figures.clear(), line.attempts.clear(), line.states.clear();
  std::size_t at = text.find(kLogMark);
  if (at == text.npos) return;
  text.remove_prefix(at + kLogMark.size());
  if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
  std::string_view type = next_word(text);
  if (type == "figures") {
    line.kind = LogLine::Kind::Figures;
    for (std::string_view entry = next_word(text); !entry.empty(); entry = next_word(text)) {
      std::size_t separator = entry.find('=');
      double value = 0;
      if (separator == entry.npos) {
        line.kind = LogLine::Kind::Malformed;
        return;
      }
      if (parse_number(entry.substr(separator + 1), value))
        line.figures.emplace_back(entry.substr(0, separator), value);
    }
  } else if (type == "at") {
    line.kind = LogLine::Kind::Attempts;
    for (std::string_view id = next_word(text); !id.empty(); id = next_word(text)) {
      ServerAttempts entry;
      entry.id = id;
      if (!parse_counts(next_word(text), entry)) {
        line.kind = LogLine::Kind::Malformed;
        return;
      }
      line.attempts.push_back(entry);
    }
  } else if (type == "states") {
    line.kind = LogLine::Kind::States;
    for (std::string_view entry = next_word(text); !entry.empty(); entry = next_word(text)) {
      std::size_t separator = entry.rfind('=');
      std::string_view state = separator == entry.npos ? "" : entry.substr(separator + 1);
      if (state != "down" && state != "up") {
        line.kind = LogLine::Kind::Malformed;
        return;
      }
      line.states.push_back({entry.substr(0, separator), state == "down"});
    }
  }
}

}  // namespace wheeldeal::account
