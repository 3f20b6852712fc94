// Parsing and answers of the HTTP/1.1 calls at the control address. No I/O.
#pragma once

#include <string>
#include <string_view>

namespace arrowfork {

/// Longest accepted head of a call (RFC 9112).
constexpr std::size_t kMaxControlHeadBytes = 8192;

struct ControlCall {
  enum class Kind { Ready, Metrics, Disable, Enable, Drain, Resume };
  Kind kind = Kind::Ready;
  std::string id;  ///< for Disable and Enable: the cache server
};

/// The result of parsing what has been received of a call.
struct ControlCallParse {
  enum class State { Incomplete, Complete, Invalid };
  State state = State::Incomplete;
  ControlCall call;
  int status = 400;  ///< for Invalid: the HTTP status of the answer
};

/// Parses the head of a request from the bytes received so far.
ControlCallParse parse_control_call(std::string_view text);
/// A complete answer with `Connection: close`; `type` is the media type of the body.
std::string control_answer(int status, std::string_view body, std::string_view type = "text/plain");

}  // namespace arrowfork
