#include "app/service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "net/address.h"
#include "net/limits.h"

namespace scheduler::app {

namespace {

// Milliseconds between two status lines in the log.
constexpr std::int64_t kStatusIntervalMs = 10'000;
// Milliseconds by which a tick may be late: the timer isn't set anew for less, since that costs a
// system call.
constexpr std::int64_t kTimerToleranceMs = 5;

}  // namespace

Service::Service(asio::io_context& io, const NodeSettings& settings, Options options,
                 std::uint64_t seed)
    : io_(io),
      settings_(settings),
      options_(std::move(options)),
      controller_(settings.core, seed),
      capacity_(capacity_of(settings.core)),
      client_(io,
              {static_cast<std::size_t>(settings.core.sockets / net::limits::kIdleSocketsDivisor),
               capacity_.response_bytes}),
      timer_(io) {
  const int connection_limit =
      options_.max_connections > 0 ? options_.max_connections : default_max_connections();
  server_ = std::make_unique<net::HttpServer>(
      io, *net::parse_endpoint(settings_.listen), connection_limit,
      [this](std::uint64_t id, net::HttpServer::Request r) {
        controller_.on_request(steady_ms(), id,
                               {std::move(r.method), std::move(r.path), std::move(r.body)});
        process_output();
      });
  std::map<std::string, std::string> addresses;
  for (const auto& p : settings_.core.peers) addresses[p.name] = p.address;
  peers_ = std::make_unique<net::PeerLinks>(io, *net::parse_endpoint(settings_.peer_listen),
                                            addresses, [this](const std::string& frame) {
                                              controller_.on_peer_message(steady_ms(), frame);
                                              process_output();
                                            });
}

// The platform's limit on sockets, less those reserved for outgoing calls, idle client connections
// and links to peers.
int Service::default_max_connections() const {
  const int sockets = settings_.core.sockets;
  const int idle = sockets / net::limits::kIdleSocketsDivisor;
  const int calls = capacity_.direct_messages + capacity_.probes + net::limits::kReservedSockets;
  return std::max(16, sockets - idle - calls);
}

Ms Service::steady_ms() {
  // Never 0, because the core uses 0 for "not yet".
  return 1 + std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::steady_clock::now().time_since_epoch())
                 .count();
}

Ms Service::wall_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Service::run() {
  for (const auto& problem : capacity_problems(settings_.core)) spdlog::error("{}", problem);
  for (const auto& kind : settings_.unknown_objectives)
    spdlog::info("objectives of kind {} are not known and ignored", kind);
  spdlog::info("{} in {} listens on {}", settings_.core.name, settings_.core.zone,
               settings_.listen);
  controller_.start(steady_ms(), wall_ms());
  process_output();
  tick();
  io_.run();
}

void Service::tick() {
  const Ms now = steady_ms();
  controller_.tick(now, wall_ms());
  timer_expires_at_ = 0;
  process_output();
  if (now >= next_status_at_) {
    next_status_at_ = now + kStatusIntervalMs;
    spdlog::info("{}, connections {}, closed early {}, refused {}", controller_.status_line(now),
                 server_->connections(), server_->closed_early(), server_->refused());
  }
}

// Sets the timer only if the core needs a tick earlier than the timer expires.
void Service::set_timer() {
  const Ms now = steady_ms();
  const Ms at = std::clamp(controller_.next_tick(now), now + 1, now + options_.tick_ms);
  if (timer_expires_at_ != 0 && timer_expires_at_ <= at + kTimerToleranceMs) return;
  timer_expires_at_ = at;
  timer_.expires_after(std::chrono::milliseconds(at - now));
  timer_.async_wait([this](std::error_code error) {
    if (!error) tick();
  });
}

void Service::write_log(const LogLine& line) {
  switch (line.level) {
    case LogLevel::error:
      spdlog::error("{}", line.text);
      break;
    case LogLevel::info:
      spdlog::info("{}", line.text);
      break;
    case LogLevel::debug:
      spdlog::debug("{}", line.text);
      break;
  }
}

const std::string& Service::address_of(const Call& call) const {
  switch (call.target) {
    case Target::state:
      return settings_.state;
    case Target::cloud:
      return settings_.cloud;
    case Target::worker:
      break;
  }
  return call.address;
}

void Service::send(Call& call) {
  client_.send({address_of(call), std::move(call.method), std::move(call.path),
                std::move(call.body), call.timeout},
               [this, id = call.id](int status, std::string body) {
                 controller_.on_result(steady_ms(), id, {status, std::move(body)});
                 process_output();
               });
}

void Service::process_output() {
  if (processing_output_) return;
  processing_output_ = true;
  for (;;) {
    Output out = controller_.take_output();
    if (out.calls.empty() && out.replies.empty() && out.peers.empty() && out.logs.empty()) break;
    for (const auto& line : out.logs) write_log(line);
    for (const auto& reply : out.replies)
      server_->reply(reply.request, reply.status, reply.body, reply.retry_after_s);
    for (auto& call : out.calls) send(call);
    for (const auto& message : out.peers) peers_->send(message.to, message.bytes);
  }
  processing_output_ = false;
  set_timer();
}

}  // namespace scheduler::app
