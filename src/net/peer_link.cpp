#include "net/peer_link.h"

#include <algorithm>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <chrono>

#include "net/address.h"
#include "net/limits.h"
#include "wire/peer.h"

namespace scheduler::net {

using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct PeerLinks::Outgoing {
  Outgoing(asio::io_context& io, std::string peer_address)
      : address(std::move(peer_address)), socket(io) {}
  std::string address;
  tcp::socket socket;
  bool connected = false, connecting = false, writing = false;
  Clock::time_point retry_at{}, write_started{};
  std::string queued_bytes, bytes_being_sent;
};

class PeerLinks::Incoming : public std::enable_shared_from_this<Incoming> {
 public:
  Incoming(PeerLinks& links, tcp::socket socket) : links_(links), socket_(std::move(socket)) {
    ++links_.incoming_count_;
  }
  ~Incoming() { --links_.incoming_count_; }
  void read() {
    asio::async_read(socket_, asio::buffer(length_),
                     [self = shared_from_this()](std::error_code error, std::size_t) {
                       if (error) return;
                       std::size_t n = 0;
                       for (const unsigned char c : self->length_) n = (n << 8U) | c;
                       // Closes the link, since a peer never sends such a length.
                       if (n == 0 || n > wire::kMaxPeerFrameBytes) return;
                       self->frame_.resize(n);
                       self->read_frame();
                     });
  }

 private:
  void read_frame() {
    asio::async_read(socket_, asio::buffer(frame_),
                     [self = shared_from_this()](std::error_code error, std::size_t) {
                       if (error) return;
                       self->links_.handler_(self->frame_);
                       self->read();
                     });
  }
  PeerLinks& links_;
  tcp::socket socket_;
  std::array<unsigned char, 4> length_{};
  std::string frame_;
};

PeerLinks::PeerLinks(asio::io_context& io, const tcp::endpoint& listen,
                     const std::map<std::string, std::string>& addresses, Handler handler)
    : io_(io), acceptor_(io), accept_pause_(io), handler_(std::move(handler)) {
  for (const auto& [name, address] : addresses)
    outgoing_[name] = std::make_shared<Outgoing>(io, address);
  acceptor_.open(listen.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(listen);
  acceptor_.listen();
  accept();
}

PeerLinks::~PeerLinks() = default;

void PeerLinks::accept() {
  acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      accept_pause_.expires_after(milliseconds(100));
      accept_pause_.async_wait([this](std::error_code e) {
        if (!e) accept();
      });
      return;
    }
    if (incoming_count_ <
        std::max(limits::kMinIncomingPeerLinks, limits::kIncomingLinksPerPeer * outgoing_.size()))
      std::make_shared<Incoming>(*this, std::move(socket))->read();
    accept();
  });
}

void PeerLinks::send(const std::string& peer, const std::string& frame) {
  auto it = outgoing_.find(peer);
  if (it == outgoing_.end() || frame.empty() || frame.size() > wire::kMaxPeerFrameBytes) return;
  auto& link = it->second;
  const auto now = Clock::now();
  // Aborts a write that hangs because the network is cut, so that the link reconnects soon after
  // the cut ends.
  if (link->writing && now - link->write_started > milliseconds(3 * limits::kPeerRetryDelayMs)) {
    std::error_code ignored;
    link->socket.close(ignored);
    return;
  }
  if (!link->connected) {
    if (!link->connecting && now >= link->retry_at) connect(link);
    if (!link->connecting) return;
    link->queued_bytes.clear();  // while connecting, only the newest frame is kept
  }
  if (link->queued_bytes.size() + frame.size() > limits::kMaxPeerQueueBytes) return;
  const auto n = static_cast<std::uint32_t>(frame.size());
  for (const int shift : {24, 16, 8, 0})
    link->queued_bytes.push_back(static_cast<char>((n >> shift) & 0xff));
  link->queued_bytes += frame;
  if (link->connected && !link->writing) write(link);
}

void PeerLinks::connect(const std::shared_ptr<Outgoing>& link) {
  const auto endpoint = parse_endpoint(link->address);
  if (!endpoint) return;
  link->connecting = true;
  link->socket = tcp::socket(io_);
  link->socket.async_connect(*endpoint, [this, link](std::error_code error) {
    link->connecting = false;
    if (error) {
      link->retry_at = Clock::now() + milliseconds(limits::kPeerRetryDelayMs);
      link->queued_bytes.clear();
      return;
    }
    link->connected = true;
    write(link);
  });
}

void PeerLinks::write(const std::shared_ptr<Outgoing>& link) {
  if (link->queued_bytes.empty()) return;
  link->writing = true;
  link->write_started = Clock::now();
  link->bytes_being_sent.swap(link->queued_bytes);
  link->queued_bytes.clear();
  asio::async_write(link->socket, asio::buffer(link->bytes_being_sent),
                    [this, link](std::error_code error, std::size_t) {
                      link->writing = false;
                      if (error) {
                        link->connected = false;
                        link->retry_at = Clock::now() + milliseconds(limits::kPeerRetryDelayMs);
                        std::error_code ignored;
                        link->socket.close(ignored);
                        return;
                      }
                      write(link);
                    });
}

}  // namespace scheduler::net
