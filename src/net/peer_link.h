// Unidirectional TCP links between controllers, which carry frames of bytes. Frames may be lost.
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

// Has one outgoing link to each peer, which connects when there is a frame to send, and accepts
// incoming links. A frame is sent at most once, and its loss is not reported. Not thread-safe.
class PeerLinks {
 public:
  // Receives each incoming frame. The link does not identify the sender; the frame has to.
  using Handler = std::function<void(std::string frame)>;
  // Starts to listen; throws std::system_error if that fails. `addresses` has the IP address and
  // port of each peer by its name.
  PeerLinks(asio::io_context& io, const asio::ip::tcp::endpoint& listen,
            const std::map<std::string, std::string>& addresses, Handler handler);
  ~PeerLinks();
  // Sends a frame. Drops it if the peer is unknown, the frame is empty or larger than
  // wire::kMaxPeerFrameBytes, the link is down, or too many bytes are queued on the link.
  void send(const std::string& peer, const std::string& frame);

 private:
  class Incoming;
  struct Outgoing;
  void accept();
  void connect(const std::shared_ptr<Outgoing>& link);
  void write(const std::shared_ptr<Outgoing>& link);

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_pause_;
  std::map<std::string, std::shared_ptr<Outgoing>> outgoing_;
  std::size_t incoming_count_ = 0;  // number of open incoming links
  Handler handler_;
};

}  // namespace scheduler::net
