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

// Sends requests and heartbeats what came of each, exactly once. Requests to one address may be
// under way at the same time, each over a connection of its own. Not for more than one thread.
class HttpClient {
 public:
  struct Request {
    std::string address;  // IP address and port
    std::string method, path;
    std::string body;             // JSON text
    std::int64_t timeout_ms = 0;  // until the reply is complete, connecting included
  };
  // Statuses besides those of HTTP: no complete reply came in time, or one whose body is longer
  // than is taken in.
  static constexpr int kNoAnswer = 0;
  static constexpr int kTooLarge = -1;
  // Gets the status and the body of the reply. May send the next request.
  using Done = std::function<void(int status, std::string body)>;

  struct Limits {
    std::size_t idle_connections = 0;                     // kept for reuse, to all addresses
    std::size_t response_bytes = limits::kResponseBytes;  // of one body
  };
  // `io` outlives the client and runs its calls.
  HttpClient(asio::io_context& io, const Limits& limits);
  ~HttpClient();
  // Never calls `done` before it returns.
  void send(const Request& request, Done done);

 private:
  class Connection;
  // Closes idle connections that are old or were closed by the other side; again and again.
  void sweep();
  asio::io_context& io_;
  std::array<char, limits::kReadBytes> buffer_{};  // for whichever connection reads
  asio::steady_timer sweeper_;
  Limits limits_;
  std::size_t kept_ = 0;  // idle connections
  std::unordered_map<std::string, std::vector<std::shared_ptr<Connection>>> idle_;
};

}  // namespace scheduler::net
