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
  Outgoing(asio::io_context& io, std::string to) : address(std::move(to)), socket(io) {}
  std::string address;
  tcp::socket socket;
  bool connected = false, connecting = false, writing = false;
  Clock::time_point retry_at{}, write_started{};
  std::string waiting, going;
};

class PeerLinks::Incoming : public std::enable_shared_from_this<Incoming> {
 public:
  Incoming(PeerLinks& links, tcp::socket socket) : links_(links), socket_(std::move(socket)) {
    ++links_.incoming_;
  }
  ~Incoming() { --links_.incoming_; }
  void read() {
    asio::async_read(socket_, asio::buffer(length_),
                     [self = shared_from_this()](std::error_code error, std::size_t) {
                       if (error) return;
                       std::size_t n = 0;
                       for (const unsigned char c : self->length_) n = (n << 8U) | c;
                       if (n == 0 || n > wire::kMaxPeerFrameBytes) return;  // not a peer: closed
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
    out_[name] = std::make_shared<Outgoing>(io, address);
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
    if (incoming_ < std::max(limits::kPeerLinksLeast, limits::kLinksPerPeer * out_.size()))
      std::make_shared<Incoming>(*this, std::move(socket))->read();
    accept();
  });
}

void PeerLinks::send(const std::string& peer, const std::string& frame) {
  auto it = out_.find(peer);
  if (it == out_.end() || frame.empty() || frame.size() > wire::kMaxPeerFrameBytes) return;
  auto& out = it->second;
  const auto now = Clock::now();
  // A write that hangs (a cut) is given up, so that the link comes back soon after the cut ends.
  if (out->writing && now - out->write_started > milliseconds(3 * limits::kPeerRetryMs)) {
    std::error_code ignored;
    out->socket.close(ignored);
    return;
  }
  if (!out->connected) {
    if (!out->connecting && now >= out->retry_at) connect(out);
    if (!out->connecting) return;
    out->waiting.clear();  // only the newest message is worth sending later
  }
  if (out->waiting.size() + frame.size() > limits::kPeerQueueBytes) return;
  const auto n = static_cast<std::uint32_t>(frame.size());
  for (const int shift : {24, 16, 8, 0})
    out->waiting.push_back(static_cast<char>((n >> shift) & 0xff));
  out->waiting += frame;
  if (out->connected && !out->writing) write(out);
}

void PeerLinks::connect(const std::shared_ptr<Outgoing>& out) {
  const auto endpoint = parse_endpoint(out->address);
  if (!endpoint) return;
  out->connecting = true;
  out->socket = tcp::socket(io_);
  out->socket.async_connect(*endpoint, [this, out](std::error_code error) {
    out->connecting = false;
    if (error) {
      out->retry_at = Clock::now() + milliseconds(limits::kPeerRetryMs);
      out->waiting.clear();
      return;
    }
    out->connected = true;
    write(out);
  });
}

void PeerLinks::write(const std::shared_ptr<Outgoing>& out) {
  if (out->waiting.empty()) return;
  out->writing = true;
  out->write_started = Clock::now();
  out->going.swap(out->waiting);
  out->waiting.clear();
  asio::async_write(out->socket, asio::buffer(out->going),
                    [this, out](std::error_code error, std::size_t) {
                      out->writing = false;
                      if (error) {
                        out->connected = false;
                        out->retry_at = Clock::now() + milliseconds(limits::kPeerRetryMs);
                        std::error_code ignored;
                        out->socket.close(ignored);
                        return;
                      }
                      write(out);
                    });
}

}  // namespace scheduler::net
