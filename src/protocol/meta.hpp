// The memcache meta commands that clients send and the answers that cache servers give, read
// incrementally from bytes. No sockets here; every buffer is bounded.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "robinseam/balancer.hpp"

namespace arrowfork {

constexpr std::size_t kMaxLine = 4096;            ///< bytes of one line, its end included
constexpr std::size_t kMaxKey = 250;              ///< as memcached has it
constexpr std::size_t kMaxId = 64;                ///< ids, receipts and keys of writes have 16
constexpr std::size_t kMaxValue = 64u << 10;      ///< bytes of a value that is held as a whole
constexpr std::size_t kMaxLargeValue = 4u << 20;  ///< bytes of any value

/// One `mg` or `ms`. The line is kept as the client wrote it, cut open where `d` stands.
struct Command {
  bool set = false;
  std::string line_before_deadline,
      line_after_deadline;  ///< the line without its end, on both sides of the figure of `d`
  std::string id, key, class_name, tenant;
  std::string idempotency_key;  ///< `k`; empty where the client gave none
  double time_left_ms = -1;     ///< `d`; negative where the client gave none
  std::optional<std::int64_t> work;
  bool retry = false;
  bool wants_flags = false;  ///< `f`: the answer must tell the flags kept beside the value
  std::uint32_t flags = 0;   ///< `F` of a set
  std::shared_ptr<const std::string> value;  ///< of a set
};

/// Reads commands. `parse` consumes from `in`; what it can't finish yet it keeps.
class CommandReader {
 public:
  /// `flags`: the flags `f` and `F` are known.
  explicit CommandReader(bool flags = false) : flags_(flags) {}
  enum class ParseResult {
    Incomplete,   ///< all of `in` is consumed, no command is whole
    Command,      ///< `command` is whole
    Noop,         ///< `mn`
    Unknown,      ///< a line that is no command known here: ERROR
    Malformed,    ///< a malformed command whose end is certain: CLIENT_ERROR
    FramingLost,  ///< where the next command begins is lost: CLIENT_ERROR and close
  };
  ParseResult parse(std::string_view& in, Command& command);
  /// True while the bytes of a command have come in part.
  bool in_command() const { return !partial_.empty() || state_ != State::Line; }
  /// Bytes of the value that is being read; 0 between values.
  std::size_t value_in_progress_bytes() const { return state_ == State::Line ? 0 : value_size_; }

 private:
  enum class State { Line, Value, Skip };
  bool parse_line(std::string_view line, Command& command) const;
  ParseResult parse_command_line(std::string_view line, Command& command);

  bool flags_;
  State state_ = State::Line;
  std::string partial_;
  Command pending_;
  std::shared_ptr<std::string> value_;
  std::size_t value_need_ = 0, value_size_ = 0;
};

/// A cache server's answer.
struct Answer {
  enum class Kind { Value, Stored, Busy, Error, Miss };
  Kind kind = Kind::Error;
  std::string id;       ///< of `O`; may be empty where the line has none
  std::string receipt;  ///< of `HD`
  std::size_t length = 0;
  std::string value;                   ///< of `VA`
  std::optional<std::uint32_t> flags;  ///< `f`
  int cache_result = 0;        ///< 1 hit, 2 miss, 3 miss while another fetch is out, 0 not told
  std::vector<double> report;  ///< in the order of the settings' fields; NaN where not told
  bool framing_lost = false;   ///< after such a line the connection's framing is not to be trusted
};

/// Reads answers of one connection, in their order.
class AnswerReader {
 public:
  explicit AnswerReader(const std::vector<robinseam::ReportField>* fields) : fields_(fields) {}
  enum class ParseResult {
    Incomplete,  ///< all of `in` is consumed, nothing is whole
    Answer,      ///< `answer` is whole, its value too
    LargeValue,  ///< the same but for a value of over kMaxValue: that and its CRLF are the caller's
    Malformed,   ///< no answer of the protocol; the connection is of no more use
  };
  ParseResult parse(std::string_view& in, Answer& answer);
  /// True while an answer has come in part.
  bool in_answer() const { return !partial_.empty() || state_ != State::Line; }
  /// True while what has come of a value ends like a whole one.
  bool ends_early() const;

 private:
  enum class State { Line, Value };
  bool parse_line(std::string_view line, Answer& answer) const;
  void parse_report(std::string_view text, Answer& answer) const;

  const std::vector<robinseam::ReportField>* fields_;
  State state_ = State::Line;
  std::string partial_;
  Answer pending_;
  std::size_t need_ = 0;
};

}  // namespace arrowfork
