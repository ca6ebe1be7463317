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

// Takes requests and replies to each when told to. One request of a connection is under way at a
// time; those sent ahead wait. Not for more than one thread.
class HttpServer {
 public:
  struct Request {
    std::string method;  // "GET"
    std::string path;    // as sent, with its query
    std::string body;    // at most limits::kBodyBytes
  };
  // Gets each request with a number that is not used again, by which to reply.
  using Handler = std::function<void(std::uint64_t id, Request)>;

  // Listens at once; throws std::system_error if it can't. `io` outlives the server and runs its
  // calls.
  HttpServer(asio::io_context& io, const asio::ip::tcp::endpoint& listen, int max_connections,
             Handler handler);
  ~HttpServer();

  // Replies to a request once, with a JSON body; `retry_after_s` above 0 is sent as Retry-After, in
  // seconds. Unknown numbers (the client has gone) are ignored.
  void reply(std::uint64_t id, int status, const std::string& body, int retry_after_s);
  // Open connections.
  std::size_t connections() const { return connections_.size(); }
  // Connections refused because all were in use, and those closed early to free enough.
  std::uint64_t refused() const { return refused_; }
  std::uint64_t closed_early() const { return closed_early_; }

 private:
  class Connection;
  void accept();
  // Closes connections that have been idle, or in the middle of a request, for too long; again and
  // again.
  void sweep();
  // Forgets a connection that has closed, and the request that it waits for.
  void drop(std::uint64_t connection);
  // Closes the connection that has been idle longest, if that is long enough.
  bool evict_idle();
  // So many are open that each is closed with its reply.
  bool crowded() const;

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer sweeper_;
  asio::steady_timer accept_pause_;
  int max_connections_;
  Handler handler_;
  std::array<char, limits::kReadBytes> buffer_{};  // for whichever connection reads
  std::uint64_t next_ = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> connections_;
  std::unordered_map<std::uint64_t, std::uint64_t> requests_;  // request -> connection
  std::list<std::uint64_t> idle_;  // connections without a request, longest idle first
  std::uint64_t refused_ = 0, closed_early_ = 0;
};

}  // namespace scheduler::net
