// HTTP/1.1 client with kept connections and one deadline per request.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/limits.h"

namespace scheduler::net {

class HttpClient {
 public:
  struct Request {
    std::string address, method, path, body;
    std::int64_t timeout_ms = 0;
  };
  // Statuses besides those of HTTP: no answer came, or one whose body is longer than is taken in.
  static constexpr int kNoAnswer = 0;
  static constexpr int kTooLarge = -1;
  using Done = std::function<void(int status, std::string body)>;

  struct Limits {
    std::size_t idle_connections = 0;                     // kept for reuse, to all addresses
    std::size_t response_bytes = limits::kResponseBytes;  // of one body
  };
  HttpClient(asio::io_context& io, const Limits& limits);
  ~HttpClient();
  void send(Request request, Done done);

 private:
  class Connection;
  void sweep();
  asio::io_context& io_;
  std::array<char, limits::kReadBytes> buffer_{};  // for whichever connection reads
  asio::steady_timer sweeper_;
  Limits limits_;
  std::size_t kept_ = 0;  // idle connections
  std::unordered_map<std::string, std::vector<std::shared_ptr<Connection>>> idle_;
};

}  // namespace scheduler::net
