// Incremental parsers of memcache meta commands, as clients send them, and of the answers of cache
// servers. No sockets; all buffers are bounded.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "robinseam/balancer.hpp"

namespace arrowfork {

constexpr std::size_t kMaxLine = 4096;        ///< bytes of a line including its end
constexpr std::size_t kMaxKey = 250;          ///< as in memcached
constexpr std::size_t kMaxId = 64;            ///< of ids, receipts and idempotency keys; usually 16
constexpr std::size_t kMaxValue = 64u << 10;  ///< bytes of a value that is buffered in full
constexpr std::size_t kMaxLargeValue = 4u << 20;  ///< bytes of any value

/// One `mg` or `ms` command. The client's line is kept as written, split around the value of `d`.
struct Command {
  bool set = false;
  /// The line without its end, before and after the value of `d`.
  std::string line_before_deadline, line_after_deadline;
  std::string id, key, class_name, tenant;
  std::string idempotency_key;  ///< `k`; empty if missing
  double time_left_ms = -1;     ///< `d`; negative if missing
  std::optional<std::int64_t> work;
  bool retry = false;
  bool wants_flags = false;  ///< `f`: the answer must include the flags of the value
  std::uint32_t flags = 0;   ///< `F` of a set
  std::shared_ptr<const std::string> value;  ///< of a set
};

/// Parses commands. `parse` consumes from `in` and buffers an incomplete command.
class CommandReader {
 public:
  /// `flags`: whether the flags `f` and `F` are accepted. `announces_values`: whether parse()
  /// returns ValueBegins; else values are buffered without asking.
  explicit CommandReader(bool flags = false, bool announces_values = false)
      : flags_enabled_(flags), announces_values_(announces_values) {}
  enum class ParseResult {
    Incomplete,   ///< all of `in` is consumed, no command is complete
    Command,      ///< `command` is complete
    ValueBegins,  ///< the head of a set is complete: go on when there is room for its value
    Refused,      ///< as Command without its value, which refuse_value() has dropped
    Noop,         ///< `mn`
    Unknown,      ///< not a supported command: answer ERROR
    Malformed,    ///< a malformed command whose end is known: answer CLIENT_ERROR
    FramingLost,  ///< the start of the next command is unknown: answer CLIENT_ERROR and close
  };
  ParseResult parse(std::string_view& in, Command& command);
  /// True while a command is incomplete.
  bool in_command() const { return !partial_.empty() || state_ != State::Line; }
  /// Size of the value that is being read, with its line end; 0 if none is.
  std::size_t value_in_progress_bytes() const { return state_ == State::Value ? value_size_ : 0; }
  /// `d` of the set whose value is being read, in milliseconds.
  double time_left_in_progress_ms() const { return pending_.time_left_ms; }
  /// Drops what has been read of the value in progress, and the rest as it arrives.
  void refuse_value() {
    if (state_ != State::Value) return;
    state_ = State::Refuse;
    value_.reset();
  }

 private:
  enum class State { Line, Value, Skip, Refuse };
  bool parse_line(std::string_view line, Command& command) const;
  bool skip(std::string_view& in);
  ParseResult parse_command_line(std::string_view line, Command& command);

  bool flags_enabled_, announces_values_;
  State state_ = State::Line;
  std::string partial_;
  Command pending_;
  std::shared_ptr<std::string> value_;
  std::size_t value_bytes_needed_ = 0, value_size_ = 0;
};

/// A cache server's answer.
struct Answer {
  enum class Kind { Value, Stored, Busy, Error, Miss };
  Kind kind = Kind::Error;
  std::string id;       ///< `O`; may be empty
  std::string receipt;  ///< of `HD`
  std::size_t length = 0;
  std::string value;                   ///< of `VA`
  std::optional<std::uint32_t> flags;  ///< `f`
  int cache_result = 0;                ///< 1 hit, 2 miss, 3 miss with a fetch in flight, 0 unknown
  std::vector<double>
      report;                 ///< load report, in the order of the settings' fields; NaN if missing
  bool framing_lost = false;  ///< the connection's framing is unreliable after this line
  bool value_dropped = false;  ///< there was no room for the value
};

/// Asked before a value of that many bytes is buffered. If it says no, the value is dropped as it
/// arrives.
using ValueGate = std::function<bool(std::size_t bytes)>;

/// Parses the answers of one connection in order.
class AnswerReader {
 public:
  explicit AnswerReader(const std::vector<robinseam::ReportField>* fields, ValueGate gate = {})
      : fields_(fields), gate_(std::move(gate)) {}
  enum class ParseResult {
    Incomplete,  ///< all of `in` is consumed, no answer is complete
    Answer,      ///< `answer` is complete, with its value
    LargeValue,  ///< a value of over kMaxValue follows: the caller reads it and its CRLF
    Malformed,   ///< not an answer of the protocol; the connection must be closed
  };
  ParseResult parse(std::string_view& in, Answer& answer);
  /// True while an answer is incomplete.
  bool in_answer() const { return !partial_.empty() || state_ != State::Line; }
  /// True if a value is incomplete but the bytes so far end like a complete one.
  bool ends_early() const;
  /// The value that is arriving; null between values.
  struct PartialValue {
    const std::string& id;
    std::size_t received, missing;  ///< bytes, without its CRLF where that matters little
  };
  std::optional<PartialValue> partial_value() const {
    if (state_ != State::Value) return std::nullopt;
    return PartialValue{pending_.id, pending_.value.size(), bytes_needed_};
  }

 private:
  enum class State { Line, Value, Skip };
  void begin_value(Answer&& head, std::size_t bytes_at_hand);
  bool parse_line(std::string_view line, Answer& answer) const;
  void parse_report(std::string_view text, Answer& answer) const;

  const std::vector<robinseam::ReportField>* fields_;
  ValueGate gate_;
  State state_ = State::Line;
  std::string partial_;
  Answer pending_;
  std::size_t bytes_needed_ = 0;
};

}  // namespace arrowfork
