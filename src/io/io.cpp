#include "io.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace arrowfork {

std::optional<sockaddr_in> parse_address(const std::string& text) {
  std::size_t colon = text.rfind(':');
  if (colon == text.npos) return std::nullopt;
  unsigned port = 0;
  const char* end = text.data() + text.size();
  auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end || port > 65535) return std::nullopt;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1)
    return std::nullopt;
  return address;
}

}  // namespace arrowfork
