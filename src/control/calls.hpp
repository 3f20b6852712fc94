// The calls of the control address, between HTTP/1.1 text and what is asked. No I/O.
#pragma once

#include <string>
#include <string_view>

namespace arrowfork {

/// Bytes of a call's head (RFC 9112); a longer one is refused.
constexpr std::size_t kMaxControlHeadBytes = 8192;

struct ControlCall {
  enum class Kind { Ready, Metrics, Disable, Enable, Drain, Resume };
  Kind kind = Kind::Ready;
  std::string id;  ///< of the cache server, of Disable and Enable
};

/// The status of an answer: 200, or why not.
struct ControlCallParse {
  enum class State { Incomplete, Complete, Invalid };
  State state = State::Incomplete;
  ControlCall call;
  int status = 400;  ///< of Invalid
};

/// Reads the head of a request from what has come so far.
ControlCallParse parse_control_call(std::string_view text);
/// A whole answer that ends the connection; `type` is its body's media type.
std::string control_answer(int status, std::string_view body, std::string_view type = "text/plain");

}  // namespace arrowfork
