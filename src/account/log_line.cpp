#include "log_line.hpp"

#include <charconv>

namespace wheeldeal::account {
namespace {

constexpr std::string_view kLogMark = "arrowfork: ";

bool parse_number(std::string_view text, double& value) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}

/// The next word of `text`, which loses it; empty at the end.
std::string_view next_word(std::string_view& text) {
  std::size_t from = text.find_first_not_of(' ');
  if (from == text.npos) return text = {};
  text.remove_prefix(from);
  std::size_t size = std::min(text.find(' '), text.size());
  std::string_view found = text.substr(0, size);
  text.remove_prefix(size);
  return found;
}

/// `ok/failed/full/given_up/unreached/live`.
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
  std::string_view what = next_word(text);
  if (what == "figures") {
    line.kind = LogLine::Kind::Figures;
    for (std::string_view one = next_word(text); !one.empty(); one = next_word(text)) {
      std::size_t separator = one.find('=');
      double value = 0;
      if (separator == one.npos) {
        line.kind = LogLine::Kind::Malformed;
        return;
      }
      if (parse_number(one.substr(separator + 1), value))
        line.figures.emplace_back(one.substr(0, separator), value);
    }
  } else if (what == "at") {
    line.kind = LogLine::Kind::Attempts;
    for (std::string_view id = next_word(text); !id.empty(); id = next_word(text)) {
      ServerAttempts one;
      one.id = id;
      if (!parse_counts(next_word(text), one)) {
        line.kind = LogLine::Kind::Malformed;
        return;
      }
      line.attempts.push_back(one);
    }
  } else if (what == "states") {
    line.kind = LogLine::Kind::States;
    for (std::string_view one = next_word(text); !one.empty(); one = next_word(text)) {
      std::size_t separator = one.rfind('=');
      std::string_view state = separator == one.npos ? "" : one.substr(separator + 1);
      if (state != "down" && state != "up") {
        line.kind = LogLine::Kind::Malformed;
        return;
      }
      line.states.push_back({one.substr(0, separator), state == "down"});
    }
  }
}

}  // namespace wheeldeal::account
