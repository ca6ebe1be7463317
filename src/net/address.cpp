#include "net/address.h"

#include <charconv>

namespace scheduler::net {

std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  auto [parsed_end, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc{} || parsed_end != end || port == 0) return std::nullopt;
  std::error_code code;
  const auto ip = asio::ip::make_address(std::string(text.substr(0, colon)), code);
  if (code) return std::nullopt;
  return asio::ip::tcp::endpoint(ip, port);
}

}  // namespace scheduler::net
