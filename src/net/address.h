// Parses socket addresses found in settings and messages.
#pragma once

#include <asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace scheduler::net {

// Parses text such as "10.0.0.1:8080". Returns nullopt unless it is an IP address and a port from 1
// to 65535. Host names are not resolved.
std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

}  // namespace scheduler::net
