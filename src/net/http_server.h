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

class HttpServer {
 public:
  struct Request {
    std::string method, path, body;
  };
  using Handler = std::function<void(std::uint64_t id, Request)>;

  HttpServer(asio::io_context& io, const asio::ip::tcp::endpoint& listen, int max_connections,
             Handler handler);
  ~HttpServer();

  // Answers a request once. Unknown numbers (the client has gone) are ignored.
  void reply(std::uint64_t id, int status, const std::string& body, int retry_after_s);
  std::size_t connections() const { return connections_.size(); }
  // Connections refused because all were in use, and those closed early to make room.
  std::uint64_t refused() const { return refused_; }
  std::uint64_t closed_early() const { return closed_early_; }

 private:
  class Connection;
  void accept();
  void sweep();
  void drop(std::uint64_t connection);
  // Closes the connection that has been idle longest, if that is long enough.
  bool evict_idle();
  // So many are open that each is closed with its answer.
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
