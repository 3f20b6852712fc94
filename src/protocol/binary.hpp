// memcached's binary protocol, read incrementally from bytes and written, both directions. No
// sockets here; every buffer is bounded.
//
// Source: "Memcache Binary Protocol" (draft-stone-memcache-binary-01) and memcached's
// protocol_binary.h. All figures on the wire are in network byte order; a packet is a header of 24
// bytes and a body of extras, key and value.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "meta.hpp"

namespace arrowfork::binary {

constexpr std::size_t kHeader = 24;  ///< bytes
constexpr unsigned char kRequestMagic = 0x80, kResponseMagic = 0x81;

/// The opcodes that mean something here; a packet may hold any other.
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
/// Its answer to a read names the key.
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
  std::uint32_t flags = 0, expiry = 0;  ///< of a write; expiry as memcached reads it, in seconds
  std::string key, value;
};

/// Reads requests. `parse` consumes from `in`; what it can't finish yet it keeps, at most a header,
/// a key and kMaxValue bytes.
class CommandReader {
 public:
  enum class ParseResult {
    Incomplete,   ///< all of `in` is consumed, no packet is whole
    Command,      ///< `command` is whole
    Rejected,     ///< its opcode and opaque are in `command`, why in rejection_status(); the next
                  ///< packet follows
    FramingLost,  ///< the same, but where the next packet begins is lost: answer and close
  };
  ParseResult parse(std::string_view& in, Command& command);
  /// The status that a packet not taken is to be answered with.
  std::uint16_t rejection_status() const { return refused_; }
  /// True while a packet has come in part.
  bool in_command() const { return !partial_.empty() || state_ != State::Header; }

 private:
  enum class State { Header, Body, Skip };
  ParseResult parse_header(Command& command);

  State state_ = State::Header;
  std::string partial_;  // of the header, then of extras, key and value
  std::size_t extras_ = 0, key_ = 0, need_ = 0;
  std::uint16_t refused_ = 0;
  Command pending_;
};

/// A response packet.
struct Answer {
  std::uint8_t opcode = 0;
  std::uint16_t status = 0;
  std::uint32_t opaque = 0;
  std::uint64_t cas = 0;
  std::uint32_t flags = 0;  ///< of a read that was served
  std::string key, value;   ///< the value of any other status is its text
};

/// Reads responses of one connection, in their order.
class AnswerReader {
 public:
  enum class ParseResult {
    Incomplete,  ///< all of `in` is consumed, no packet is whole
    Answer,      ///< `answer` is whole
    Malformed,   ///< no response of the protocol; the connection is of no more use
  };
  ParseResult parse(std::string_view& in, Answer& answer);
  /// True while a packet has come in part.
  bool in_answer() const { return !partial_.empty() || in_body_; }

 private:
  bool parse_header();

  bool in_body_ = false;
  std::string partial_;
  std::size_t extras_ = 0, key_ = 0, need_ = 0;
  Answer pending_;
};

/// The bytes of a request. Key at most kMaxKey bytes, value at most kMaxValue.
std::string request(const Command& command);

/// The bytes of a response. `flags` go out with a read's kOk alone, `key` where the opcode tells
/// it. `remaining_value_bytes`: bytes of the value that follow apart from this.
std::string response(Opcode opcode, std::uint16_t status, std::uint32_t opaque,
                     std::string_view value = {}, std::string_view key = {},
                     std::uint32_t flags = 0, std::uint64_t cas = 0,
                     std::size_t remaining_value_bytes = 0);
/// One figure of a STAT answer; without name and value, its end.
std::string stat(std::uint32_t opaque, std::string_view name, std::string_view value);

}  // namespace arrowfork::binary
