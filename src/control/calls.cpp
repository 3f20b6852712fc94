#include "calls.hpp"

#include <array>
#include <charconv>
#include <optional>

namespace arrowfork {
namespace {

constexpr std::string_view kServers = "/-/cache-servers/";

const char* reason_of(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 503:
      return "Service Unavailable";
    default:
      return "Bad Request";
  }
}

/// RFC 3986, section 2.1; nothing where an escape is none.
std::optional<std::string> unescaped(std::string_view text) {
  std::string plain;
  for (std::size_t k = 0; k < text.size(); ++k) {
    if (text[k] != '%') {
      plain += text[k];
      continue;
    }
    unsigned byte = 0;
    const char* from = text.data() + k + 1;
    if (k + 2 >= text.size()) return std::nullopt;
    auto [end, error] = std::from_chars(from, from + 2, byte, 16);
    if (error != std::errc() || end != from + 2) return std::nullopt;
    plain += static_cast<char>(byte);
    k += 2;
  }
  return plain;
}

struct Path {
  std::string_view path, method;
  ControlCall::Kind kind;
};
constexpr std::array<Path, 4> kPaths{{{"/-/ready", "GET", ControlCall::Kind::Ready},
                                      {"/-/metrics", "GET", ControlCall::Kind::Metrics},
                                      {"/-/drain", "PUT", ControlCall::Kind::Drain},
                                      {"/-/resume", "PUT", ControlCall::Kind::Resume}}};

ControlCallParse bad(int status) {
  ControlCallParse r;
  r.state = ControlCallParse::State::Invalid;
  r.status = status;
  return r;
}

}  // namespace

ControlCallParse parse_control_call(std::string_view text) {
  std::size_t end = text.find("\r\n\r\n");
  if (end == text.npos) return text.size() > kMaxControlHeadBytes ? bad(431) : ControlCallParse();
  if (end > kMaxControlHeadBytes) return bad(431);
  std::string_view line = text.substr(0, text.find("\r\n"));
  std::size_t first = line.find(' '), last = line.rfind(' ');
  if (first == line.npos || first == last || !line.substr(last + 1).starts_with("HTTP/1."))
    return bad(400);
  std::string_view method = line.substr(0, first);
  std::string_view path = line.substr(first + 1, last - first - 1);
  path = path.substr(0, path.find('?'));
  ControlCallParse r;
  r.state = ControlCallParse::State::Complete;
  for (const Path& one : kPaths) {
    if (path != one.path) continue;
    if (method != one.method) return bad(405);
    r.call.kind = one.kind;
    return r;
  }
  if (!path.starts_with(kServers)) return bad(404);
  path.remove_prefix(kServers.size());
  std::size_t slash = path.rfind('/');
  if (slash == path.npos || slash == 0) return bad(404);
  std::string_view verb = path.substr(slash + 1);
  if (verb != "disable" && verb != "enable") return bad(404);
  if (method != "PUT") return bad(405);
  auto id = unescaped(path.substr(0, slash));
  if (!id) return bad(400);
  r.call.kind = verb == "disable" ? ControlCall::Kind::Disable : ControlCall::Kind::Enable;
  r.call.id = std::move(*id);
  return r;
}

std::string control_answer(int status, std::string_view body, std::string_view type) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason_of(status) +
                     "\r\nContent-Type: " + std::string(type) +
                     "\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\nConnection: close\r\n\r\n";
  return text.append(body);
}

}  // namespace arrowfork
