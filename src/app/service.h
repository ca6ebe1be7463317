// Joins the core to the network: carries out what the core asks for and feeds it what comes.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>

#include "app/settings.h"
#include "base/capacity.h"
#include "controller/controller.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/peer_link.h"

namespace scheduler::app {

class Service {
 public:
  Service(asio::io_context& io, const NodeSettings& settings, const Options& options,
          std::uint64_t seed);
  void run();

 private:
  static Ms steady_ms();
  static Ms wall_ms();
  void tick();
  void carry_out();
  void arm();
  int most_connections() const;

  asio::io_context& io_;
  NodeSettings settings_;
  Options options_;
  Controller controller_;
  Capacity capacity_;
  net::HttpClient client_;
  std::unique_ptr<net::HttpServer> server_;
  std::unique_ptr<net::PeerLinks> peers_;
  asio::steady_timer timer_;
  Ms status_at_ = 0;
  Ms look_at_ = 0;  // when the timer ends; 0: not set
  bool carrying_ = false;
};

}  // namespace scheduler::app
