// Simulated controllers: start, crash, pause, inputs and outputs.
#include <algorithm>
#include <chrono>

#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"
#include "wire/records.h"

namespace scheduler::sim {

namespace {
constexpr Ms kWallClockOffsetMs = 1'700'000'000'000;  // wall clock minus steady clock
}  // namespace

void SimulatedCluster::deliver_input(std::size_t i, std::function<void(Controller&)> handle_input) {
  SimulatedController& process = *controllers_[i];
  if (!process.controller) return;
  if (process.paused) {
    process.delayed_inputs.push_back(std::move(handle_input));
    return;
  }
  measure_input([&] { handle_input(*process.controller); });
  send_outputs(i);
}

void SimulatedCluster::measure_input(const std::function<void()>& handle_input) {
  const auto start_time = std::chrono::steady_clock::now();
  handle_input();
  const std::chrono::duration<double, std::milli> elapsed =
      std::chrono::steady_clock::now() - start_time;
  result_.longest_input_ms = std::max(result_.longest_input_ms, elapsed.count());
}

// The inputs queued during the pause are handled in random order, with timer ticks between them.
void SimulatedCluster::resume_controller(std::size_t i) {
  SimulatedController& process = *controllers_[i];
  if (!process.paused) return;
  process.paused = false;
  auto delayed = std::exchange(process.delayed_inputs, {});
  for (std::size_t k = delayed.size(); k > 1; --k)
    if (chance(0.3))
      std::swap(delayed[k - 1], delayed[static_cast<std::size_t>(random(static_cast<int>(k)))]);
  const std::uint64_t generation = process.generation;
  for (auto& handle_input : delayed) {
    if (process.generation != generation) return;
    if (chance(0.05)) tick_once(i);
    deliver_input(i, std::move(handle_input));
  }
}

// The production version supports only the current limits and the first record format.
Settings SimulatedCluster::settings_of(const SimulatedController& process) const {
  Settings s = settings_;
  s.name = process.name;
  s.zone = process.zone;
  for (const auto& other : controllers_)
    if (other->name != process.name) s.peers.push_back({other->name, other->zone, ""});
  if (process.upgraded) return s;
  const StateLimits current_limits;
  s.record_format = wire::kFirstFormat;
  s.state_write_rps = options_.state_writes_per_s;
  s.value_kb = static_cast<double>(current_limits.value_bytes) / 1024.0;
  s.txn_ops = static_cast<int>(current_limits.txn_ops);
  return s;
}

void SimulatedCluster::start_controller(std::size_t i) {
  SimulatedController& process = *controllers_[i];
  ++process.generation;
  const std::uint64_t seed = (static_cast<std::uint64_t>(random_()) << 32U) | random_();
  process.controller = std::make_unique<Controller>(settings_of(process), seed);
  process.controller->start(now_, now_ + kWallClockOffsetMs);
  send_outputs(i);
  tick_controller(i, process.generation);
}

void SimulatedCluster::crash_controller(std::size_t i, Ms controller_down) {
  SimulatedController& process = *controllers_[i];
  if (!process.controller) return;
  ++process.generation;
  process.controller.reset();
  process.paused = false;
  process.delayed_inputs.clear();
  for (auto& [id, respond] : std::exchange(process.pending_requests, {})) respond(0, "");
  if (controller_down == 0) controller_down = chance(0.2) ? 100 : 1500 + random(2000);
  schedule_event(now_ + controller_down, [this, i] {
    if (!controllers_[i]->controller && now_ >= controllers_[i]->down_until) start_controller(i);
  });
}

// Crashes the controller if it runs, and restarts it after the given time and not before.
void SimulatedCluster::keep_down(std::size_t i, Ms duration_ms) {
  crash_controller(i, duration_ms);
  controllers_[i]->down_until = std::max(controllers_[i]->down_until, now_ + duration_ms);
  schedule_event(controllers_[i]->down_until, [this, i] {
    if (!controllers_[i]->controller && now_ >= controllers_[i]->down_until) start_controller(i);
  });
}

void SimulatedCluster::tick_controller(std::size_t i, std::uint64_t generation) {
  SimulatedController& process = *controllers_[i];
  if (process.generation != generation || !process.controller) return;
  if (!process.paused) tick_once(i);
  schedule_event(now_ + kTickMs, [this, i, generation] { tick_controller(i, generation); });
}

void SimulatedCluster::tick_once(std::size_t i) {
  measure_input([&] { controllers_[i]->controller->tick(now_, now_ + kWallClockOffsetMs); });
  send_outputs(i);
}

void SimulatedCluster::send_outputs(std::size_t i) {
  SimulatedController& process = *controllers_[i];
  const auto out = process.controller->take_output();
  fingerprint_.add(now_, i, out);
  for (const auto& log : out.logs) trace(process.name + " " + log.text);
  for (const auto& call : out.calls)
    trace(process.name + " -> " + call.address + call.path + " " + call.body);
  for (const auto& reply : out.replies)
    trace(process.name + " replies " + std::to_string(reply.status) + " " + reply.body);
  for (const auto& reply : out.replies) {
    auto request = process.pending_requests.extract(reply.request);
    if (request.empty()) continue;
    schedule_event(now_ + network_delay(), [respond = std::move(request.mapped()), reply] {
      respond(reply.status, reply.body);
    });
  }
  for (const auto& call : out.calls) send(i, call);
  for (const auto& message : out.peers) {
    for (std::size_t j = 0; j < controllers_.size(); ++j)
      if (controllers_[j]->name == message.to) send_to_peer(process, j, message.bytes);
  }
}

void SimulatedCluster::send_to_peer(const SimulatedController& from, std::size_t to,
                                    const std::string& bytes) {
  const SimulatedController& peer = *controllers_[to];
  if (partitioned(from.zone, peer.zone) || from.cut_from_peers || peer.cut_from_peers ||
      peers_refuse_ || link_cuts_.down(from.name, peer.name) || chance(0.05))
    return;
  // Some messages arrive 20 s late.
  schedule_event(now_ + (chance(0.02) ? 20'000 : network_delay()), [this, to, bytes] {
    deliver_input(to, [this, bytes](Controller& c) { c.on_peer_message(now_, bytes); });
  });
}

}  // namespace scheduler::sim
