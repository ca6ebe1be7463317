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

// One controller as a process. Everything runs on the thread that calls run().
class Service {
 public:
  // Listens at once; throws std::system_error if it can't. Two runs must never have the same
  // `seed`.
  Service(asio::io_context& io, const NodeSettings& settings, Options options, std::uint64_t seed);
  // Serves until the process ends.
  void run();

 private:
  static Ms steady_ms();  // steady clock; never 0
  static Ms wall_ms();    // time of day
  void tick();
  // Sends what the controller asks for until it asks for nothing more, and sets the timer.
  void carry_out();
  static void write_log(const LogLine& line);
  // Where the call goes.
  const std::string& address_of(const Call& call) const;
  void send(Call& call);
  void arm();
  // Connections to the server, if the options don't say.
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
