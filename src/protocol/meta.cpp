#include "meta.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

#include "../drill/settings.hpp"

namespace arrowfork {
namespace {

// Reserved for a value before it arrives: enough for usual values, while an announced length alone
// costs no memory.
constexpr std::size_t kFirstReserve = 4096;

template <typename T>
std::optional<T> parse_number(std::string_view text) {
  T value{};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// Removes the next word and the space after it from `rest` and returns the word. It is empty
/// between two adjacent spaces and at the end.
std::string_view next_word(std::string_view& rest) {
  std::string_view word = rest.substr(0, rest.find(' '));
  rest.remove_prefix(std::min(rest.size(), word.size() + 1));
  return word;
}

/// Moves bytes up to and including the next '\n' from `in` to the end of `partial`. Returns the
/// line without '\n' once it is complete; it points into `in` or into `partial`, which the caller
/// clears afterwards. A '\r' before the '\n' stays, since it distinguishes lines of the protocol
/// from others. Sets `too_long` if there is no line end within kMaxLine bytes.
std::optional<std::string_view> take_line(std::string_view& in, std::string& partial,
                                          bool& too_long) {
  std::size_t end = in.find('\n');
  std::size_t size = end == in.npos ? in.size() : end + 1;
  if (partial.size() + size > kMaxLine) {
    too_long = true;
    return std::nullopt;
  }
  std::string_view line = in.substr(0, size);
  in.remove_prefix(size);
  if (end == std::string_view::npos || !partial.empty()) partial.append(line);
  if (end == std::string_view::npos) return std::nullopt;
  if (!partial.empty()) line = partial;
  line.remove_suffix(1);
  return line;
}

/// Moves up to `need` bytes from `in` to the end of `to`.
void take_bytes(std::string_view& in, std::string& to, std::size_t& need) {
  std::size_t size = std::min(need, in.size());
  to.append(in.data(), size);
  in.remove_prefix(size);
  need -= size;
}

bool ends_with_crlf(const std::string& value) {
  return value.size() >= 2 && value[value.size() - 2] == '\r' && value.back() == '\n';
}

/// Removes the '\r' at the end of a line; returns false if there is none or the line contains
/// anything but printable ASCII.
bool strip_printable_line(std::string_view& line) {
  if (line.empty() || line.back() != '\r') return false;
  line.remove_suffix(1);
  return std::all_of(line.begin(), line.end(), [](unsigned char c) { return c >= 32 && c < 127; });
}

bool has_valid_size(std::string_view text, std::size_t most) {
  return !text.empty() && text.size() <= most;
}

/// Parses a number from a client: finite, not negative, and small enough to convert to any unit.
std::optional<double> parse_amount(std::string_view text) {
  auto value = parse_number<double>(text);
  if (!value || !(*value >= 0 && *value <= 1e12)) return std::nullopt;
  return value;
}

struct Pair {
  std::string_view name, value;
};

/// Removes the next `name=value` and the comma after it from `rest`; nothing if either part is
/// missing. Reads each byte once, as a line may have a thousand pairs.
std::optional<Pair> next_pair(std::string_view& rest) {
  std::size_t end = 0, equals = rest.npos;
  for (; end < rest.size() && rest[end] != ','; ++end)
    if (rest[end] == '=' && equals == rest.npos) equals = end;
  if (equals == rest.npos || equals == 0 || equals + 1 == end) return std::nullopt;
  Pair pair{rest.substr(0, equals), rest.substr(equals + 1, end - equals - 1)};
  rest.remove_prefix(std::min(rest.size(), end + 1));
  return pair;
}

/// Sets a text that may be given once; false if it is set already.
bool set_once(std::string& text, std::string_view value) {
  if (!text.empty()) return false;
  text = value;
  return true;
}

/// Sets what the pair says; false if it is invalid or repeated. Unknown names are ignored.
/// `deadline`: where the line tells the client's time.
bool set_field(const Pair& pair, Command& command, std::string_view& deadline) {
  auto [name, value] = pair;
  if (name == "size") return parse_amount(value).has_value();
  if (name.size() != 1) return true;
  switch (name.front()) {
    case 'c':
      return set_once(command.class_name, value);
    case 't':
      return set_once(command.tenant, value);
    case 'k':
      return has_valid_size(value, kMaxId) && set_once(command.idempotency_key, value);
    case 'r':
      command.retry = value == "1";
      return value == "1" || value == "0";
    case 'h': {
      auto work = parse_amount(value);
      if (!work || command.work) return false;
      command.work = static_cast<std::int64_t>(*work);
      return true;
    }
    case 'd': {
      auto wait = parse_amount(value);
      if (!wait || !deadline.empty()) return false;
      command.time_left_ms = *wait;
      deadline = value;
      return true;
    }
    default:
      return true;
  }
}

}  // namespace

/// Parses a command after its verb. Accepts only the form that PROTOCOL allows, since the line is
/// forwarded unchanged over a connection shared with other requests, and a cache server closes a
/// connection on a line that it cannot parse.
bool CommandReader::parse_line(std::string_view line, Command& command) const {
  std::string_view rest = line;
  next_word(rest);
  command.key = next_word(rest);
  if (!has_valid_size(command.key, kMaxKey)) return false;
  if (command.set) next_word(rest);  // the length
  std::string_view pairs;
  bool value_wanted = false, flags_set = false;
  while (!rest.empty()) {
    std::string_view flag = next_word(rest);
    if (flag == "v" && !command.set && !value_wanted)
      value_wanted = true;
    else if (flag.starts_with('O') && command.id.empty())
      command.id = flag.substr(1);
    else if (flag.starts_with('P') && pairs.empty())
      pairs = flag.substr(1);
    else if (flags_enabled_ && flag == "f" && !command.set && !command.wants_flags)
      command.wants_flags = true;
    else if (flags_enabled_ && flag.starts_with('F') && command.set && !flags_set) {
      auto flags = parse_number<std::uint32_t>(flag.substr(1));
      if (!flags) return false;
      command.flags = *flags;
      flags_set = true;
    } else
      return false;
  }
  if (line.ends_with(' ') || value_wanted == command.set || !has_valid_size(command.id, kMaxId) ||
      pairs.empty())
    return false;
  std::string_view deadline;
  while (!pairs.empty()) {
    std::optional<Pair> pair = next_pair(pairs);
    if (!pair || !set_field(*pair, command, deadline)) return false;
  }
  if (command.class_name.empty() || deadline.empty()) return false;
  std::size_t cut = static_cast<std::size_t>(deadline.data() - line.data());
  command.line_before_deadline = line.substr(0, cut);
  command.line_after_deadline = line.substr(cut + deadline.size());
  return true;
}

CommandReader::ParseResult CommandReader::parse_command_line(std::string_view line,
                                                             Command& command) {
  bool good = strip_printable_line(line);
  std::string_view rest = line;
  std::string_view verb = next_word(rest);
  if (verb == "mn" && good) return ParseResult::Noop;
  if (verb != "mg" && verb != "ms") return ParseResult::Unknown;
  command = Command();
  command.set = verb == "ms";
  if (!command.set)
    return good && parse_line(line, command) ? ParseResult::Command : ParseResult::Malformed;
  next_word(rest);
  auto length = parse_number<std::size_t>(next_word(rest));
  // Without a valid length the end of the value is unknown; one that is too long is not read.
  if (!length || *length > kMaxLargeValue) return ParseResult::FramingLost;
  value_bytes_needed_ = value_size_ = *length + 2;
  if (!good || !parse_line(line, command)) {
    state_ = State::Skip;  // reported once its value is skipped
    return ParseResult::Incomplete;
  }
  state_ = State::Value;
  pending_ = std::move(command);
  return ParseResult::ValueBegins;
}

/// Drops bytes of a value that is not kept; true once it is over.
bool CommandReader::skip(std::string_view& in) {
  std::size_t size = std::min(value_bytes_needed_, in.size());
  in.remove_prefix(size);
  value_bytes_needed_ -= size;
  if (value_bytes_needed_ > 0) return false;
  state_ = State::Line;
  return true;
}

CommandReader::ParseResult CommandReader::parse(std::string_view& in, Command& command) {
  while (true) {
    if (state_ == State::Line) {
      if (in.empty()) return ParseResult::Incomplete;
      bool too_long = false;
      auto line = take_line(in, partial_, too_long);
      if (too_long) return ParseResult::FramingLost;
      if (!line) return ParseResult::Incomplete;
      ParseResult result = parse_command_line(*line, command);
      partial_.clear();
      if (result == ParseResult::ValueBegins && !announces_values_) continue;
      if (result != ParseResult::Incomplete) return result;
    } else if (state_ == State::Value) {
      // The full capacity at once instead of growing by doubling; its pages are not allocated
      // before the bytes arrive.
      if (!value_) {
        value_ = std::make_shared<std::string>();
        value_->reserve(value_size_);
      }
      take_bytes(in, *value_, value_bytes_needed_);
      if (value_bytes_needed_ > 0) return ParseResult::Incomplete;
      state_ = State::Line;
      if (!ends_with_crlf(*value_)) return ParseResult::FramingLost;
      value_->resize(value_->size() - 2);
      pending_.value = std::move(value_);
      command = std::move(pending_);
      return ParseResult::Command;
    } else if (state_ == State::Refuse) {
      if (!skip(in)) return ParseResult::Incomplete;
      command = std::move(pending_);
      return ParseResult::Refused;
    } else {
      if (!skip(in)) return ParseResult::Incomplete;
      return ParseResult::Malformed;
    }
  }
}

namespace {

/// Largest plausible value of a field of a load report.
double max_value_of(robinseam::ReportField field) {
  switch (field) {
    case robinseam::ReportField::Utilization:
    case robinseam::ReportField::HitShare:
      return 2;  // shares, with some noise
    default:
      return 1e6;
  }
}

}  // namespace

void AnswerReader::parse_report(std::string_view text, Answer& answer) const {
  answer.report.assign(fields_->size(), std::numeric_limits<double>::quiet_NaN());
  while (!text.empty()) {
    std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    std::size_t eq = pair.find('=');
    if (eq == pair.npos) continue;
    auto field = robinseam::drill::parse_report_field(pair.substr(0, eq));
    auto value = parse_number<double>(pair.substr(eq + 1));
    // Invalid fields are skipped. Every field is a load, a time or a share: negative values are
    // invalid, and so are those large enough to distort a mean.
    if (!field || !value || !(*value >= 0 && *value <= max_value_of(*field))) continue;
    auto at = std::find(fields_->begin(), fields_->end(), *field);
    if (at != fields_->end())
      answer.report[static_cast<std::size_t>(at - fields_->begin())] = *value;
  }
}

/// A line that is not in the protocol's form is not an answer, whatever it begins with, and nothing
/// in it is used. Only the load report, at the end of the line, may be invalid in a valid answer.
bool AnswerReader::parse_line(std::string_view line, Answer& answer) const {
  answer = Answer();
  // Parsed apart from the line, since an invalid report may contain any byte.
  std::string_view report;
  if (std::size_t at = line.find(" L"); at != line.npos) {
    report = line.substr(at + 2);
    if (!report.ends_with('\r')) return false;
    report.remove_suffix(1);
    line = line.substr(0, at);
  } else if (line.ends_with('\r')) {
    line.remove_suffix(1);
  } else {
    return false;
  }
  if (!std::all_of(line.begin(), line.end(), [](unsigned char c) { return c >= 32 && c < 127; }))
    return false;
  std::string_view rest = line;
  std::string_view verb = next_word(rest);
  if (verb == "VA") {
    answer.kind = Answer::Kind::Value;
    auto length = parse_number<std::size_t>(next_word(rest));
    if (!length || *length > kMaxLargeValue) return false;
    answer.length = *length;
  } else if (verb == "HD") {
    answer.kind = Answer::Kind::Stored;
  } else if (verb == "EN") {
    answer.kind = Answer::Kind::Miss;
  } else if (verb == "SERVER_ERROR") {
    answer.kind = next_word(rest) == "busy" ? Answer::Kind::Busy : Answer::Kind::Error;
  } else if (verb == "NS" || verb == "EX" || verb == "NF") {
    answer.kind = Answer::Kind::Error;
  } else {
    answer.framing_lost = verb == "CLIENT_ERROR" || verb == "ERROR";
    return answer.framing_lost;
  }
  bool fetching = false;
  while (!rest.empty()) {
    std::string_view flag = next_word(rest);
    if (flag.empty()) continue;
    std::string_view value = flag.substr(1);
    switch (flag[0]) {
      case 'O':
        if (!answer.id.empty() || !has_valid_size(value, kMaxId)) return false;
        answer.id = value;
        break;
      case 'c':
        if (!answer.receipt.empty() || !has_valid_size(value, kMaxId)) return false;
        answer.receipt = value;
        break;
      case 'f':
        answer.flags = parse_number<std::uint32_t>(value);
        break;
      case 'h':
        answer.cache_result = value == "1" ? 1 : value == "0" ? 2 : 0;
        break;
      case 'Z':
        fetching = true;
        break;
      default:
        break;
    }
  }
  bool served = answer.kind == Answer::Kind::Value || answer.kind == Answer::Kind::Stored;
  if (served && answer.id.empty()) return false;
  if (answer.kind == Answer::Kind::Stored && answer.receipt.empty()) return false;
  if (fetching && answer.cache_result == 2) answer.cache_result = 3;
  if (!report.empty()) parse_report(report, answer);
  return true;
}

namespace {

/// Whether `part` can be the start of an answer line. Anything else is reported without waiting for
/// its end, which would use up the client's time.
bool can_start_answer(std::string_view part) {
  std::string_view verb = part.substr(0, part.find_first_of(" \r"));
  bool whole = verb.size() < part.size();
  for (std::string_view known :
       {"VA", "HD", "EN", "SERVER_ERROR", "CLIENT_ERROR", "ERROR", "NS", "EX", "NF"})
    if (whole ? verb == known : known.starts_with(verb)) return true;
  return false;
}

}  // namespace

bool AnswerReader::ends_early() const {
  return state_ == State::Value && ends_with_crlf(pending_.value);
}

void AnswerReader::begin_value(Answer&& head, std::size_t bytes_at_hand) {
  pending_ = std::move(head);
  bytes_needed_ = pending_.length + 2;
  pending_.value_dropped = gate_ && !gate_(pending_.length);
  state_ = pending_.value_dropped ? State::Skip : State::Value;
  if (state_ == State::Value)
    pending_.value.reserve(std::min(bytes_needed_, std::max(bytes_at_hand, kFirstReserve)));
}

AnswerReader::ParseResult AnswerReader::parse(std::string_view& in, Answer& answer) {
  while (true) {
    if (state_ == State::Line) {
      if (in.empty()) return ParseResult::Incomplete;
      bool too_long = false;
      auto line = take_line(in, partial_, too_long);
      if (too_long) return ParseResult::Malformed;
      if (!line)
        return can_start_answer(partial_) ? ParseResult::Incomplete : ParseResult::Malformed;
      bool good = parse_line(*line, answer);
      partial_.clear();
      if (!good) return ParseResult::Malformed;
      if (answer.kind != Answer::Kind::Value) return ParseResult::Answer;
      if (answer.length > kMaxValue) return ParseResult::LargeValue;
      begin_value(std::move(answer), in.size());
    }
    if (state_ == State::Skip) {
      std::size_t size = std::min(bytes_needed_, in.size());
      in.remove_prefix(size);
      bytes_needed_ -= size;
      if (bytes_needed_ > 0) return ParseResult::Incomplete;
      state_ = State::Line;
      answer = std::move(pending_);
      return ParseResult::Answer;
    }
    take_bytes(in, pending_.value, bytes_needed_);
    if (bytes_needed_ > 0) return ParseResult::Incomplete;
    state_ = State::Line;
    if (!ends_with_crlf(pending_.value)) return ParseResult::Malformed;
    pending_.value.resize(pending_.length);
    answer = std::move(pending_);
    return ParseResult::Answer;
  }
}

}  // namespace arrowfork
