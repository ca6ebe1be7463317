// Tests the HTTP server and client at their limits, on loopback.
#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"

namespace scheduler::net {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

tcp::endpoint free_endpoint(asio::io_context& io) {
  tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return acceptor.local_endpoint();
}

std::string text(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// A machine that sends heartbeats at an interval. It keeps its connection open unless the server
// closes it, and retries after a second if a request fails.
class HeartbeatMachine {
 public:
  HeartbeatMachine(asio::io_context& io, std::string address, milliseconds interval)
      : client_(io, {1}), timer_(io), address_(std::move(address)), interval_(interval) {}

  void send_heartbeat() {
    client_.send({address_, "POST", "/hello", "{}", 4000}, [this](int status, const std::string&) {
      if (status == 200) ++answered_;
      timer_.expires_after(status == 200 ? interval_ : milliseconds(1000));
      timer_.async_wait([this](std::error_code error) {
        if (!error) send_heartbeat();
      });
    });
  }
  int answered() const { return answered_; }

 private:
  HttpClient client_;
  asio::steady_timer timer_;
  std::string address_;
  milliseconds interval_;
  int answered_ = 0;
};

// With more machines than connections, the server closes each connection after its reply while it
// is nearly full, so that it serves all machines. If it kept the connections open, the first forty
// machines would starve all others.
TEST(HttpServer, ServesMoreMachinesThanItHasConnections) {
  constexpr int kConnections = 40;
  constexpr int kMachines = 200;
  asio::io_context io;
  const auto endpoint = free_endpoint(io);
  std::unique_ptr<HttpServer> server;
  server = std::make_unique<HttpServer>(
      io, endpoint, kConnections,
      [&server](std::uint64_t id, const HttpServer::Request&) { server->reply(id, 200, "{}", 0); });
  std::vector<std::unique_ptr<HeartbeatMachine>> machines;
  for (int i = 0; i < kMachines; ++i) {
    machines.push_back(std::make_unique<HeartbeatMachine>(io, text(endpoint), milliseconds(400)));
    machines.back()->send_heartbeat();
  }
  std::size_t most_open = 0;
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(6);
  while (std::chrono::steady_clock::now() < end) {
    io.run_for(milliseconds(20));
    most_open = std::max(most_open, server->connections());
  }
  int never_answered = 0;
  for (const auto& machine : machines) never_answered += machine->answered() == 0 ? 1 : 0;
  EXPECT_EQ(never_answered, 0);
  EXPECT_LE(most_open, static_cast<std::size_t>(kConnections));
  EXPECT_GT(server->closed_early(), 0U);
}

TEST(HttpClient, DistinguishesAnOversizedReplyFromNone) {
  asio::io_context io;
  const auto endpoint = free_endpoint(io);
  std::unique_ptr<HttpServer> server;
  server = std::make_unique<HttpServer>(
      io, endpoint, 10, [&server](std::uint64_t id, const HttpServer::Request& request) {
        server->reply(id, 200, std::string(request.path == "/large" ? 5000 : 100, 'x'), 0);
      });
  HttpClient client(io, {4, 1000});
  const auto request_status = [&](const std::string& address, const std::string& path) {
    int status = 1;
    bool answered = false;
    client.send({address, "GET", path, "", 500}, [&](int received_status, const std::string&) {
      status = received_status;
      answered = true;
    });
    for (int i = 0; i < 200 && !answered; ++i) io.run_for(milliseconds(10));
    return status;
  };
  EXPECT_EQ(request_status(text(endpoint), "/large"), HttpClient::kTooLarge);
  EXPECT_EQ(request_status(text(endpoint), "/small"), 200);
  EXPECT_EQ(request_status(text(free_endpoint(io)), "/small"), HttpClient::kNoReply);
}

}  // namespace
}  // namespace scheduler::net
