// Simulated controllers: start, crash, pause, inputs and outputs.
#include <algorithm>
#include <chrono>

#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"
#include "wire/records.h"

namespace scheduler::sim {

namespace {
constexpr Ms kWallOffset = 1'700'000'000'000;  // of the wall clock from the steady one
}  // namespace

void SimulatedCluster::input(std::size_t i, std::function<void(Controller&)> deliver) {
  SimulatedController& n = *controllers_[i];
  if (!n.controller) return;
  if (n.paused) {
    n.delayed_inputs.push_back(std::move(deliver));
    return;
  }
  timed([&] { deliver(*n.controller); });
  drain(i);
}

void SimulatedCluster::timed(const std::function<void()>& handle) {
  const auto began = std::chrono::steady_clock::now();
  handle();
  const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - began;
  result_.longest_input_ms = std::max(result_.longest_input_ms, took.count());
}

// Inputs that were queued during the pause are handled in any order, timers among them.
void SimulatedCluster::resume_controller(std::size_t i) {
  SimulatedController& n = *controllers_[i];
  if (!n.paused) return;
  n.paused = false;
  auto delayed = std::exchange(n.delayed_inputs, {});
  for (std::size_t k = delayed.size(); k > 1; --k)
    if (chance(0.3))
      std::swap(delayed[k - 1], delayed[static_cast<std::size_t>(random(static_cast<int>(k)))]);
  const std::uint64_t generation = n.generation;
  for (auto& deliver : delayed) {
    if (n.generation != generation) return;
    if (chance(0.05)) tick_once(i);
    input(i, std::move(deliver));
  }
}

// The production version knows only the present limits, and the first format of records.
Settings SimulatedCluster::settings_of(const SimulatedController& node) const {
  Settings s = settings_;
  s.name = node.name;
  s.zone = node.zone;
  for (const auto& other : controllers_)
    if (other->name != node.name) s.peers.push_back({other->name, other->zone, ""});
  if (node.upgraded) return s;
  const StateLimits present;
  s.record_format = wire::kFirstFormat;
  s.state_write_rps = options_.state_writes_per_s;
  s.value_kb = static_cast<double>(present.value_bytes) / 1024.0;
  s.txn_ops = static_cast<int>(present.txn_ops);
  return s;
}

void SimulatedCluster::start_controller(std::size_t i) {
  SimulatedController& n = *controllers_[i];
  ++n.generation;
  const std::uint64_t seed = (static_cast<std::uint64_t>(random_()) << 32U) | random_();
  n.controller = std::make_unique<Controller>(settings_of(n), seed);
  n.controller->start(now_, now_ + kWallOffset);
  drain(i);
  tick_controller(i, n.generation);
}

void SimulatedCluster::crash_controller(std::size_t i, Ms controller_down) {
  SimulatedController& n = *controllers_[i];
  if (!n.controller) return;
  ++n.generation;
  n.controller.reset();
  n.paused = false;
  n.delayed_inputs.clear();
  for (auto& [id, respond] : std::exchange(n.pending_requests, {})) respond(0, "");
  if (controller_down == 0) controller_down = chance(0.2) ? 100 : 1500 + random(2000);
  at(now_ + controller_down, [this, i] {
    if (!controllers_[i]->controller && now_ >= controllers_[i]->down_until) start_controller(i);
  });
}

// Crashes it, if it runs; it isn't restarted before the time is over.
void SimulatedCluster::keep_down(std::size_t i, Ms lasts) {
  crash_controller(i, lasts);
  controllers_[i]->down_until = std::max(controllers_[i]->down_until, now_ + lasts);
  at(controllers_[i]->down_until, [this, i] {
    if (!controllers_[i]->controller && now_ >= controllers_[i]->down_until) start_controller(i);
  });
}

void SimulatedCluster::tick_controller(std::size_t i, std::uint64_t generation) {
  SimulatedController& n = *controllers_[i];
  if (n.generation != generation || !n.controller) return;
  if (!n.paused) tick_once(i);
  at(now_ + kTickMs, [this, i, generation] { tick_controller(i, generation); });
}

void SimulatedCluster::tick_once(std::size_t i) {
  timed([&] { controllers_[i]->controller->tick(now_, now_ + kWallOffset); });
  drain(i);
}

void SimulatedCluster::drain(std::size_t i) {
  SimulatedController& n = *controllers_[i];
  const auto out = n.controller->take_output();
  fingerprint_.add(now_, i, out);
  for (const auto& l : out.logs) trace(n.name + " " + l.text);
  for (const auto& c : out.calls) trace(n.name + " -> " + c.address + c.path + " " + c.body);
  for (const auto& a : out.replies)
    trace(n.name + " answers " + std::to_string(a.status) + " " + a.body);
  for (const auto& a : out.replies) {
    auto request = n.pending_requests.extract(a.request);
    if (request.empty()) continue;
    at(now_ + network_delay(),
       [respond = std::move(request.mapped()), a] { respond(a.status, a.body); });
  }
  for (const auto& c : out.calls) send(i, c);
  for (const auto& message : out.peers) {
    for (std::size_t j = 0; j < controllers_.size(); ++j)
      if (controllers_[j]->name == message.to) send_to_peer(n, j, message.bytes);
  }
}

void SimulatedCluster::send_to_peer(const SimulatedController& from, std::size_t to,
                                    const std::string& bytes) {
  const SimulatedController& peer = *controllers_[to];
  if (partitioned(from.zone, peer.zone) || from.cut_from_peers || peer.cut_from_peers ||
      peers_refuse_ || link_cuts_.down(from.name, peer.name) || chance(0.05))
    return;
  // Some arrive 20 s late.
  at(now_ + (chance(0.02) ? 20'000 : network_delay()), [this, to, bytes] {
    input(to, [this, bytes](Controller& c) { c.on_peer_message(now_, bytes); });
  });
}

}  // namespace scheduler::sim
