#include "calls.hpp"

#include <array>
#include <charconv>
#include <optional>

namespace arrowfork {
namespace {

constexpr std::string_view kServersPath = "/-/cache-servers/";

const char* reason_phrase(int status) {
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

/// Percent-decoding as in RFC 3986, section 2.1; nothing if an escape is invalid.
std::optional<std::string> percent_decoded(std::string_view text) {
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

struct Route {
  std::string_view path, method;
  ControlCall::Kind kind;
};
constexpr std::array<Route, 4> kRoutes{{{"/-/ready", "GET", ControlCall::Kind::Ready},
                                        {"/-/metrics", "GET", ControlCall::Kind::Metrics},
                                        {"/-/drain", "PUT", ControlCall::Kind::Drain},
                                        {"/-/resume", "PUT", ControlCall::Kind::Resume}}};

ControlCallParse invalid(int status) {
  ControlCallParse r;
  r.state = ControlCallParse::State::Invalid;
  r.status = status;
  return r;
}

}  // namespace

ControlCallParse parse_control_call(std::string_view text) {
  std::size_t end = text.find("\r\n\r\n");
  if (end == text.npos)
    return text.size() > kMaxControlHeadBytes ? invalid(431) : ControlCallParse();
  if (end > kMaxControlHeadBytes) return invalid(431);
  std::string_view line = text.substr(0, text.find("\r\n"));
  std::size_t first = line.find(' '), last = line.rfind(' ');
  if (first == line.npos || first == last || !line.substr(last + 1).starts_with("HTTP/1."))
    return invalid(400);
  std::string_view method = line.substr(0, first);
  std::string_view path = line.substr(first + 1, last - first - 1);
  path = path.substr(0, path.find('?'));
  ControlCallParse r;
  r.state = ControlCallParse::State::Complete;
  for (const Route& route : kRoutes) {
    if (path != route.path) continue;
    if (method != route.method) return invalid(405);
    r.call.kind = route.kind;
    return r;
  }
  if (!path.starts_with(kServersPath)) return invalid(404);
  path.remove_prefix(kServersPath.size());
  std::size_t slash = path.rfind('/');
  if (slash == path.npos || slash == 0) return invalid(404);
  std::string_view verb = path.substr(slash + 1);
  if (verb != "disable" && verb != "enable") return invalid(404);
  if (method != "PUT") return invalid(405);
  auto id = percent_decoded(path.substr(0, slash));
  if (!id) return invalid(400);
  r.call.kind = verb == "disable" ? ControlCall::Kind::Disable : ControlCall::Kind::Enable;
  r.call.id = std::move(*id);
  return r;
}

std::string control_answer(int status, std::string_view body, std::string_view type) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) +
                     "\r\nContent-Type: " + std::string(type) +
                     "\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\nConnection: close\r\n\r\n";
  return text.append(body);
}

}  // namespace arrowfork
