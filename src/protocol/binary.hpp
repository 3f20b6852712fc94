// Incremental parser and encoder of memcached's binary protocol, for requests and responses. No
// sockets; all buffers are bounded.
//
// Source: "Memcache Binary Protocol" (draft-stone-memcache-binary-01) and memcached's
// protocol_binary.h. All numbers on the wire are in network byte order; a packet is a header of 24
// bytes and a body of extras, key and value.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "meta.hpp"

namespace arrowfork::binary {

constexpr std::size_t kHeader = 24;  ///< bytes
constexpr unsigned char kRequestMagic = 0x80, kResponseMagic = 0x81;

/// The supported opcodes; a packet may have any other.
enum class Opcode : std::uint8_t {
  Get = 0x00,
  Set = 0x01,
  Quit = 0x07,
  GetQ = 0x09,
  Noop = 0x0a,
  Version = 0x0b,
  GetK = 0x0c,
  GetKQ = 0x0d,
  Stat = 0x10,
  SetQ = 0x11,
  QuitQ = 0x17,
};
constexpr bool is_read(Opcode o) {
  return o == Opcode::Get || o == Opcode::GetQ || o == Opcode::GetK || o == Opcode::GetKQ;
}
constexpr bool is_write(Opcode o) { return o == Opcode::Set || o == Opcode::SetQ; }
constexpr bool is_quiet(Opcode o) {
  return o == Opcode::GetQ || o == Opcode::GetKQ || o == Opcode::SetQ || o == Opcode::QuitQ;
}
/// Whether the response to a read with this opcode includes the key.
constexpr bool includes_key(Opcode o) { return o == Opcode::GetK || o == Opcode::GetKQ; }

namespace status {
constexpr std::uint16_t kOk = 0x0000, kNotFound = 0x0001, kTooLarge = 0x0003, kInvalid = 0x0004,
                        kUnknown = 0x0081, kNotSupported = 0x0083, kInternal = 0x0084,
                        kBusy = 0x0085;
}  // namespace status

/// A request packet.
struct Command {
  Opcode opcode = Opcode::Noop;
  std::uint32_t opaque = 0;
  std::uint64_t cas = 0;
  std::uint32_t flags = 0, expiry = 0;  ///< of a write; expiry in seconds, as in memcached
  std::string key, value;
};

/// Parses requests. `parse` consumes from `in` and buffers an incomplete packet, at most a header,
/// a key and kMaxValue bytes.
class CommandReader {
 public:
  /// `announces_values`: whether parse() returns ValueBegins; else bodies are buffered without
  /// asking.
  explicit CommandReader(bool announces_values = false) : announces_values_(announces_values) {}
  enum class ParseResult {
    Incomplete,   ///< all of `in` is consumed, no packet is complete
    Command,      ///< `command` is complete
    ValueBegins,  ///< the header of a write is complete: go on when there is room for its body
    Refused,      ///< as Command without its body, which refuse_value() has dropped
    Rejected,     ///< `command` has the opcode and opaque, rejection_status() the reason
    FramingLost,  ///< as Rejected, but the start of the next packet is unknown: answer and close
  };
  ParseResult parse(std::string_view& in, Command& command);
  /// The response status for a packet that was rejected.
  std::uint16_t rejection_status() const { return rejection_status_; }
  /// True while a packet is incomplete.
  bool in_command() const { return !partial_.empty() || state_ != State::Header; }
  /// Size of the body of a write that is being read; 0 if none is.
  std::size_t value_in_progress_bytes() const {
    return state_ == State::Body && is_write(pending_.opcode) ? bytes_needed_ : 0;
  }
  /// Drops what has been read of the body in progress, and the rest as it arrives.
  void refuse_value() {
    if (state_ != State::Body) return;
    state_ = State::Refuse;
    bytes_needed_ -= partial_.size();
    std::string().swap(partial_);
  }

 private:
  enum class State { Header, Body, Skip, Refuse };
  ParseResult parse_header(Command& command);

  bool announces_values_;
  State state_ = State::Header;
  std::string partial_;  // of the header, then of extras, key and value
  std::size_t extras_size_ = 0, key_size_ = 0, bytes_needed_ = 0;
  std::uint16_t rejection_status_ = 0;
  Command pending_;
};

/// A response packet.
struct Answer {
  std::uint8_t opcode = 0;
  std::uint16_t status = 0;
  std::uint32_t opaque = 0;
  std::uint64_t cas = 0;
  std::uint32_t flags = 0;     ///< of a successful read
  std::string key, value;      ///< the value of any status but kOk is its text
  bool value_dropped = false;  ///< there was no room for its body
};

/// Parses the responses of one connection in order.
class AnswerReader {
 public:
  explicit AnswerReader(ValueGate gate = {}) : gate_(std::move(gate)) {}
  enum class ParseResult {
    Incomplete,  ///< all of `in` is consumed, no packet is complete
    Answer,      ///< `answer` is complete
    Malformed,   ///< not a response of the protocol; the connection must be closed
  };
  ParseResult parse(std::string_view& in, Answer& answer);
  /// True while a packet is incomplete.
  bool in_answer() const { return !partial_.empty() || in_body_; }
  /// The body that is arriving; null between bodies.
  struct PartialBody {
    std::uint32_t opaque;
    std::size_t received, missing;  ///< bytes
  };
  std::optional<PartialBody> partial_body() const {
    if (!in_body_) return std::nullopt;
    return PartialBody{pending_.opaque, partial_.size(), bytes_needed_ - partial_.size()};
  }

 private:
  bool parse_header();

  ValueGate gate_;
  bool in_body_ = false;
  std::string partial_;
  std::size_t extras_size_ = 0, key_size_ = 0, bytes_needed_ = 0;
  Answer pending_;
};

/// Encodes a request. The key has at most kMaxKey bytes, the value at most kMaxValue.
/// `remaining_value_bytes`: size of the rest of the value, which the caller sends separately.
std::string request(const Command& command, std::size_t remaining_value_bytes = 0);

/// Encodes a response. `flags` are sent only for a read with kOk, `key` if the opcode includes it.
/// `remaining_value_bytes`: size of the rest of the value, which the caller sends separately.
std::string response(Opcode opcode, std::uint16_t status, std::uint32_t opaque,
                     std::string_view value = {}, std::string_view key = {},
                     std::uint32_t flags = 0, std::uint64_t cas = 0,
                     std::size_t remaining_value_bytes = 0);
/// Encodes one value of a STAT response; without name and value, its end.
std::string stat(std::uint32_t opaque, std::string_view name, std::string_view value);

}  // namespace arrowfork::binary
