// Addresses of sockets in settings and messages.
#pragma once

#include <asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace scheduler::net {

// "10.0.0.1:8080" as an endpoint; none if it is not an IP address and a port of 1 to 65535. There
// are no name look-ups.
std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

}  // namespace scheduler::net
