// HTTP/1.1 server for users, workers and health checks.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "net/limits.h"

namespace scheduler::net {

// Passes requests to a handler and sends the replies given to reply(). Each connection handles one
// request at a time; pipelined requests wait. Not thread-safe.
class HttpServer {
 public:
  struct Request {
    std::string method;  // "GET"
    std::string path;    // as sent, with the query string
    std::string body;    // at most limits::kMaxBodyBytes
  };
  // Receives each request with a unique id, which the caller passes to reply().
  using Handler = std::function<void(std::uint64_t id, Request)>;

  // Starts to listen; throws std::system_error if that fails. `io` must outlive the server and runs
  // its callbacks.
  HttpServer(asio::io_context& io, const asio::ip::tcp::endpoint& listen, int max_connections,
             Handler handler);
  ~HttpServer();

  // Sends the reply to a request, with a JSON body. If `retry_after_s` is above 0, the reply has a
  // Retry-After header with this number of seconds. Ids of requests that have a reply, or whose
  // client has disconnected, are ignored.
  void reply(std::uint64_t id, int status, const std::string& body, int retry_after_s);
  // Number of open connections.
  std::size_t connections() const { return connections_.size(); }
  // Number of connections refused because the limit was reached, and of keep-alive connections
  // closed after a reply because the server was nearly full.
  std::uint64_t refused() const { return refused_; }
  std::uint64_t closed_early() const { return closed_early_; }

 private:
  class Connection;
  void accept();
  // Periodically closes connections that have been idle, or inactive in the middle of a request,
  // for too long.
  void close_expired();
  // Removes a closed connection and its request that has no reply yet.
  void remove_connection(std::uint64_t connection);
  // Closes the connection that has been idle longest if it has been idle for longer than
  // limits::kMinIdleBeforeEvictionMs. Returns whether it closed one.
  bool evict_idle();
  // Whether so many connections are open that each must be closed after its reply.
  bool nearly_full() const;

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer expiry_timer_;
  asio::steady_timer accept_pause_;
  int max_connections_;
  Handler handler_;
  // Shared by all connections; used by one read at a time.
  std::array<char, limits::kReadBufferBytes> buffer_{};
  std::uint64_t next_id_ = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> connections_;
  std::unordered_map<std::uint64_t, std::uint64_t> requests_;  // connection id by request id
  std::list<std::uint64_t> idle_;  // ids of idle connections, the longest idle first
  std::uint64_t refused_ = 0, closed_early_ = 0;
};

}  // namespace scheduler::net
