// Links between controllers: frames of bytes, one way each. Frames may be lost.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace scheduler::net {

class PeerLinks {
 public:
  using Handler = std::function<void(std::string frame)>;
  PeerLinks(asio::io_context& io, const asio::ip::tcp::endpoint& listen,
            const std::map<std::string, std::string>& addresses, Handler handler);
  ~PeerLinks();
  void send(const std::string& peer, const std::string& frame);

 private:
  class Incoming;
  struct Outgoing;
  void accept();
  void connect(const std::shared_ptr<Outgoing>& out);
  void write(const std::shared_ptr<Outgoing>& out);

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_pause_;
  std::map<std::string, std::shared_ptr<Outgoing>> out_;
  std::size_t incoming_ = 0;  // links from peers
  Handler handler_;
};

}  // namespace scheduler::net
