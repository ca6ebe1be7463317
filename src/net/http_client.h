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

namespace puffinhaven::net {

class HttpClient {
 public:
  struct Request {
    std::string address, method, path, body;
    std::int64_t timeout_ms = 0;
  };
  // Status 0: no answer.
  using Done = std::function<void(int status, std::string body)>;

  // Keeps at most so many idle connections.
  HttpClient(asio::io_context& io, std::size_t most_kept);
  ~HttpClient();
  void send(Request request, Done done);

 private:
  class Connection;
  void sweep();
  asio::io_context& io_;
  std::array<char, limits::kReadBytes> buffer_{};  // for whichever connection reads
  asio::steady_timer sweeper_;
  std::size_t most_kept_, kept_ = 0;
  std::unordered_map<std::string, std::vector<std::shared_ptr<Connection>>> idle_;
};

}  // namespace puffinhaven::net
