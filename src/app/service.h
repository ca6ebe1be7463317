// Connects the controller core to the network: passes requests, messages and results to the core
// and sends the calls, replies and messages that the core outputs.
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

// Runs one controller. All work is done on the thread that calls run().
class Service {
 public:
  // Starts to listen; throws std::system_error if that fails. Two runs must never have the same
  // `seed`.
  Service(asio::io_context& io, const NodeSettings& settings, Options options, std::uint64_t seed);
  // Serves until the process ends.
  void run();

 private:
  static Ms steady_ms();  // steady clock; never 0
  static Ms wall_ms();    // time of day
  void tick();
  // Sends the core's output until the core has none left, and sets the timer.
  void process_output();
  static void write_log(const LogLine& line);
  // Address that the call is sent to.
  const std::string& address_of(const Call& call) const;
  void send(Call& call);
  void set_timer();
  // Maximum number of connections to the HTTP server if the options don't set it.
  int default_max_connections() const;

  asio::io_context& io_;
  NodeSettings settings_;
  Options options_;
  Controller controller_;
  Capacity capacity_;
  net::HttpClient client_;
  std::unique_ptr<net::HttpServer> server_;
  std::unique_ptr<net::PeerLinks> peers_;
  asio::steady_timer timer_;
  Ms next_status_at_ = 0;
  Ms timer_expires_at_ = 0;  // when the timer expires; 0: not set
  bool processing_output_ = false;
};

}  // namespace scheduler::app
