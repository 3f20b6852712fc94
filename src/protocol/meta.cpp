#include "meta.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

#include "../drill/settings.hpp"

namespace arrowfork {
namespace {

// Set aside for a value before its bytes have come: the usual ones fit, and lengths that are only
// said cost no memory.
constexpr std::size_t kFirstReserve = 4096;

template <typename T>
std::optional<T> number(std::string_view text) {
  T value{};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// The next word of `rest`, which it is taken from with the space behind it; empty where two spaces
/// stand together, and at the end.
std::string_view next_word(std::string_view& rest) {
  std::string_view word = rest.substr(0, rest.find(' '));
  rest.remove_prefix(std::min(rest.size(), word.size() + 1));
  return word;
}

/// Moves bytes up to and with the next '\n' from `in` behind `partial`. Gives the line without its
/// end when it is whole; it lives in `in`'s memory or in `partial`, which the caller clears then.
/// The '\r' before it stays, and with it what tells a line of the protocol from others. Sets
/// `too_long` when no line end came within kMaxLine bytes.
std::optional<std::string_view> take_text_line(std::string_view& in, std::string& partial,
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

/// Moves up to `need` bytes from `in` behind `to`.
void take_bytes(std::string_view& in, std::string& to, std::size_t& need) {
  std::size_t size = std::min(need, in.size());
  to.append(in.data(), size);
  in.remove_prefix(size);
  need -= size;
}

bool ends_line(const std::string& value) {
  return value.size() >= 2 && value[value.size() - 2] == '\r' && value.back() == '\n';
}

/// Takes the '\r' off the end of a line; false where there is none, or where anything else but
/// printable ASCII stands in it.
bool printable(std::string_view& line) {
  if (line.empty() || line.back() != '\r') return false;
  line.remove_suffix(1);
  return std::all_of(line.begin(), line.end(), [](unsigned char c) { return c >= 32 && c < 127; });
}

bool well_sized(std::string_view text, std::size_t most) {
  return !text.empty() && text.size() <= most;
}

/// A figure that a client gives: finite, not negative, and small enough for any unit it is put in.
std::optional<double> amount(std::string_view text) {
  auto value = number<double>(text);
  if (!value || !(*value >= 0 && *value <= 1e12)) return std::nullopt;
  return value;
}

}  // namespace

/// Reads what stands behind the verb, a read's or a write's: exactly what PROTOCOL gives clients to
/// send, since it goes on as it is over a connection that others share, and a cache server closes
/// on what it can't read.
bool CommandReader::parse_line(std::string_view line, Command& command) const {
  std::string_view rest = line;
  next_word(rest);
  command.key = next_word(rest);
  if (!well_sized(command.key, kMaxKey)) return false;
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
    else if (flags_ && flag == "f" && !command.set && !command.wants_flags)
      command.wants_flags = true;
    else if (flags_ && flag.starts_with('F') && command.set && !flags_set) {
      auto flags = number<std::uint32_t>(flag.substr(1));
      if (!flags) return false;
      command.flags = *flags;
      flags_set = true;
    } else
      return false;
  }
  if (line.ends_with(' ') || value_wanted == command.set || !well_sized(command.id, kMaxId) ||
      pairs.empty())
    return false;
  std::string_view at_d;
  for (std::string_view left = pairs; !left.empty();) {
    std::string_view pair = left.substr(0, left.find(','));
    left.remove_prefix(std::min(left.size(), pair.size() + 1));
    std::size_t eq = pair.find('=');
    if (eq == pair.npos || eq == 0 || eq + 1 == pair.size()) return false;
    std::string_view name = pair.substr(0, eq), value = pair.substr(eq + 1);
    if (name == "c") {
      if (!command.type.empty()) return false;
      command.type = value;
    } else if (name == "t") {
      if (!command.tenant.empty()) return false;
      command.tenant = value;
    } else if (name == "k") {
      if (!command.idempotency.empty() || !well_sized(value, kMaxId)) return false;
      command.idempotency = value;
    } else if (name == "r") {
      if (value != "1" && value != "0") return false;
      command.repeat = value == "1";
    } else if (name == "h") {
      auto work = amount(value);
      if (!work || command.work) return false;
      command.work = static_cast<std::int64_t>(*work);
    } else if (name == "size") {
      if (!amount(value)) return false;
    } else if (name == "d") {
      auto wait = amount(value);
      if (!wait || !at_d.empty()) return false;
      command.wait_ms = *wait;
      at_d = value;
    }
  }
  if (command.type.empty() || at_d.empty()) return false;
  std::size_t cut = static_cast<std::size_t>(at_d.data() - line.data());
  command.before_d = line.substr(0, cut);
  command.after_d = line.substr(cut + at_d.size());
  return true;
}

CommandReader::Got CommandReader::take_line(std::string_view line, Command& command) {
  bool good = printable(line);
  std::string_view rest = line;
  std::string_view verb = next_word(rest);
  if (verb == "mn" && good) return Got::Noop;
  if (verb != "mg" && verb != "ms") return Got::Unknown;
  command = Command();
  command.set = verb == "ms";
  if (!command.set) return good && parse_line(line, command) ? Got::Command : Got::Bad;
  next_word(rest);
  auto length = number<std::size_t>(next_word(rest));
  // Without its length nobody can tell where the value ends; one that is too long is not waited
  // for.
  if (!length || *length > kMaxBulk) return Got::Broken;
  value_need_ = value_size_ = *length + 2;
  if (!good || !parse_line(line, command)) {
    state_ = State::Skip;  // told once its value is past
    return Got::Nothing;
  }
  state_ = State::Value;
  value_ = std::make_shared<std::string>();
  // A large one is not let grow by doubling; its pages are not there before its bytes.
  value_->reserve(value_need_ > kMaxValue ? value_need_ : std::min(value_need_, kFirstReserve));
  pending_ = std::move(command);
  return Got::Nothing;
}

CommandReader::Got CommandReader::take(std::string_view& in, Command& command) {
  while (true) {
    if (state_ == State::Line) {
      if (in.empty()) return Got::Nothing;
      bool too_long = false;
      auto line = take_text_line(in, partial_, too_long);
      if (too_long) return Got::Broken;
      if (!line) return Got::Nothing;
      Got got = take_line(*line, command);
      partial_.clear();
      if (got != Got::Nothing) return got;
    } else if (state_ == State::Value) {
      take_bytes(in, *value_, value_need_);
      if (value_need_ > 0) return Got::Nothing;
      state_ = State::Line;
      if (!ends_line(*value_)) return Got::Broken;
      value_->resize(value_->size() - 2);
      pending_.value = std::move(value_);
      command = std::move(pending_);
      return Got::Command;
    } else {
      std::size_t size = std::min(value_need_, in.size());
      in.remove_prefix(size);
      value_need_ -= size;
      if (value_need_ > 0) return Got::Nothing;
      state_ = State::Line;
      return Got::Bad;
    }
  }
}

namespace {

/// More than this of a load report's field is no load.
double most_of(robinseam::ReportField field) {
  switch (field) {
    case robinseam::ReportField::Utilization:
    case robinseam::ReportField::HitShare:
      return 2;  // shares, a little noisy
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
    auto value = number<double>(pair.substr(eq + 1));
    // Unreadable: skipped. Every field is a load, a time or a share: none is negative, and none is
    // so large that it could upset a mean.
    if (!field || !value || !(*value >= 0 && *value <= most_of(*field))) continue;
    auto at = std::find(fields_->begin(), fields_->end(), *field);
    if (at != fields_->end())
      answer.report[static_cast<std::size_t>(at - fields_->begin())] = *value;
  }
}

/// A line that is not of the protocol's form is no answer, whatever it begins with: nothing in it
/// is to be believed. Only a load report, which stands last, may be unreadable in an answer that is
/// good.
bool AnswerReader::parse_line(std::string_view line, Answer& answer) const {
  answer = Answer();
  // Apart from the line: what can't be read may hold any byte.
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
    auto length = number<std::size_t>(next_word(rest));
    if (!length || *length > kMaxBulk) return false;
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
    answer.last = verb == "CLIENT_ERROR" || verb == "ERROR";
    return answer.last;
  }
  bool fetching = false;
  while (!rest.empty()) {
    std::string_view flag = next_word(rest);
    if (flag.empty()) continue;
    std::string_view value = flag.substr(1);
    switch (flag[0]) {
      case 'O':
        if (!answer.id.empty() || !well_sized(value, kMaxId)) return false;
        answer.id = value;
        break;
      case 'c':
        if (!answer.receipt.empty() || !well_sized(value, kMaxId)) return false;
        answer.receipt = value;
        break;
      case 'f':
        answer.flags = number<std::uint32_t>(value);
        break;
      case 'h':
        answer.note = value == "1" ? 1 : value == "0" ? 2 : 0;
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
  if (fetching && answer.note == 2) answer.note = 3;
  if (!report.empty()) parse_report(report, answer);
  return true;
}

namespace {

/// Whether `part` can become the line of an answer. Noise need not be waited for to end: the time
/// until it does is the client's.
bool may_begin(std::string_view part) {
  std::string_view verb = part.substr(0, part.find_first_of(" \r"));
  bool whole = verb.size() < part.size();
  for (std::string_view known :
       {"VA", "HD", "EN", "SERVER_ERROR", "CLIENT_ERROR", "ERROR", "NS", "EX", "NF"})
    if (whole ? verb == known : known.starts_with(verb)) return true;
  return false;
}

}  // namespace

bool AnswerReader::ends_early() const {
  return state_ == State::Value && ends_line(pending_.value);
}

AnswerReader::Got AnswerReader::take(std::string_view& in, Answer& answer) {
  while (true) {
    if (state_ == State::Line) {
      if (in.empty()) return Got::Nothing;
      bool too_long = false;
      auto line = take_text_line(in, partial_, too_long);
      if (too_long) return Got::Broken;
      if (!line) return may_begin(partial_) ? Got::Nothing : Got::Broken;
      bool good = parse_line(*line, answer);
      partial_.clear();
      if (!good) return Got::Broken;
      if (answer.kind != Answer::Kind::Value) return Got::Answer;
      if (answer.length > kMaxValue) return Got::Begin;
      need_ = answer.length + 2;
      pending_ = std::move(answer);
      pending_.value.reserve(std::min(need_, std::max(in.size(), kFirstReserve)));
      state_ = State::Value;
    }
    take_bytes(in, pending_.value, need_);
    if (need_ > 0) return Got::Nothing;
    state_ = State::Line;
    if (!ends_line(pending_.value)) return Got::Broken;
    pending_.value.resize(pending_.length);
    answer = std::move(pending_);
    return Got::Answer;
  }
}

}  // namespace arrowfork
