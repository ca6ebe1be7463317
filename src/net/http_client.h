// HTTP/1.1 client that reuses connections and applies a timeout to each request.
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

// Sends requests and reports the result of each exactly once. Concurrent requests to one address
// use separate connections. Not thread-safe.
class HttpClient {
 public:
  struct Request {
    std::string address;  // IP address and port
    std::string method, path;
    std::string body;             // JSON text
    std::int64_t timeout_ms = 0;  // from connecting to the complete reply
  };
  // Results besides HTTP statuses: no complete reply was received within the timeout, or the reply
  // body exceeds Limits::response_bytes.
  static constexpr int kNoReply = 0;
  static constexpr int kTooLarge = -1;
  // Receives the status and the body of the reply. The callback may call send().
  using Done = std::function<void(int status, std::string body)>;

  struct Limits {
    std::size_t idle_connections = 0;                        // kept for reuse, over all addresses
    std::size_t response_bytes = limits::kMaxResponseBytes;  // maximum size of one body
  };
  // `io` must outlive the client and runs its callbacks.
  HttpClient(asio::io_context& io, const Limits& limits);
  ~HttpClient();
  // Returns before `done` is called.
  void send(const Request& request, Done done);

 private:
  class Connection;
  // Periodically closes idle connections that have timed out or that the server has closed.
  void close_expired();
  asio::io_context& io_;
  // Shared by all connections; used by one read at a time.
  std::array<char, limits::kReadBufferBytes> buffer_{};
  asio::steady_timer expiry_timer_;
  Limits limits_;
  std::size_t idle_count_ = 0;
  std::unordered_map<std::string, std::vector<std::shared_ptr<Connection>>> idle_;
};

}  // namespace scheduler::net
