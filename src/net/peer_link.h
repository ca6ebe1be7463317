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

// One outgoing link to each peer, connected when there is something to send, and incoming ones from
// whoever connects. A frame is sent once or lost; nobody is told which. Not for more than one
// thread.
class PeerLinks {
 public:
  // Gets each frame that comes in. Who sent it is for the frame to say.
  using Handler = std::function<void(std::string frame)>;
  // Listens at once; throws std::system_error if it can't. `addresses` are IP addresses and ports
  // by the names of peers.
  PeerLinks(asio::io_context& io, const asio::ip::tcp::endpoint& listen,
            const std::map<std::string, std::string>& addresses, Handler handler);
  ~PeerLinks();
  // Sends a frame of at most wire::kMaxPeerFrameBytes bytes, or drops it: to an unknown peer, over
  // a link that is down, or behind too many bytes that still wait.
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
