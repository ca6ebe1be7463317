// The run itself, controllers, and the network between all.
#include "sim/simulated_cluster.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <numeric>

#include "sim/cluster_members.h"
#include "wire/messages.h"
#include "wire/records.h"

namespace scheduler::sim {

SimulatedCluster::~SimulatedCluster() = default;

SimulatedCluster::SimulatedCluster(const Options& options)
    : options_(options),
      random_(options.seed),
      state_(std::make_unique<FakeStateService>()),
      cloud_(std::make_unique<SimulatedCloud>()) {
  state_->ignore_conditions = options.state_ignores_conditions;
  state_->on_change = [this](const std::string& key, const std::optional<std::string>& value) {
    note_result(key, value);
  };
  state_->changes_kept = options.changes_kept;
  state_->limits.txn_ops = options.txn_ops;
  settings_.teams = {{"free", 0, 0, 0, 0}, {"tight", 8, options.limit_cpus, 0, 0}};
  settings_.objectives = {{ObjectiveKind::finished, "small", 0.9, 0, 30},
                          {ObjectiveKind::deadline, "due", 0.9, 1.0, 0},
                          {ObjectiveKind::wait, "fast", 0.9, 0, 5}};
  if (options_.services > 0)
    settings_.objectives.push_back({ObjectiveKind::up, "standing", 0.95, 0, 20});
  settings_.controllers = options.controllers;
  settings_.relays = options.relays;
  settings_.zones = {"a", "b", "c"};
  settings_.heartbeat_interval_s = options.heartbeat_interval_s;
  settings_.lease_s = options.lease_s * options.believed_lease_share;
  settings_.gang_wait_s = options.gang_wait_s;
  settings_.gang_peer_s = options.gang_peer_s;
  settings_.cancel_s = options.cancel_s;
  settings_.state_rps = options.state_rps;
  settings_.state_write_rps = options.state_writes_per_s;
  state_->limits.writes_per_s = options.enforces_rates ? options.state_writes_per_s : 0;
  settings_.value_kb = static_cast<double>(state_->limits.value_bytes) / 1024.0;
  settings_.txn_ops = static_cast<int>(state_->limits.txn_ops);
  settings_.stored_value_kb = settings_.value_kb;
  if (options_.limits_drop_at) {  // announced from the start; when, nobody is told
    const StateLimits& next = options_.limits_after;
    settings_.state_write_rps = std::min(options.state_writes_per_s, next.writes_per_s);
    settings_.value_kb = static_cast<double>(next.value_bytes) / 1024.0;
    settings_.txn_ops = static_cast<int>(next.txn_ops);
  }
  settings_.cloud_rps = options.cloud_rps;
  settings_.list_lag_s = 1;
  settings_.memory_mb = options.memory_mb;
  settings_.sockets = options.sockets;
  capacity_ = capacity_of(settings_);
  const char* zones[] = {"a", "b", "a", "b", "a"};
  for (int i = 0; i < options.controllers; ++i) {
    auto n = std::make_unique<SimulatedController>();
    n->name = "puffin-" + std::to_string(i);
    n->zone = zones[i % 5];
    controllers_.push_back(std::move(n));
  }
  for (auto& n : controllers_) n->upgraded = options_.upgrade_from == 0;
  for (std::size_t i = 0; i < controllers_.size(); ++i) start_controller(i);
  for (int i = 0; i < options_.machines; ++i)
    add_machine(kZones[i % 3], options_.spot_every > 0 && i % options_.spot_every == 0, 1, "");
  const std::function<void()> beat = [this] {
    check_all();
    gang_step();
    state_->end_holds(now_);
    state_->serve_watchers(now_, [this](std::size_t n) {
      return !controllers_[n]->refused_by_state && !controllers_[n]->cut_from_state &&
             !partitioned(controllers_[n]->zone, "");
    });
  };
  auto again = std::make_shared<std::function<void()>>();
  *again = [this, beat, again = std::weak_ptr(again)] {
    beat();
    if (auto self = again.lock()) at(now_ + options_.check_every_ms, *self);
  };
  // Kept alive by the world's first event.
  at(1, [again] { (*again)(); });
  at(options_.fault_ms + options_.recovery_ms + 1'000'000'000, [again] {});
}

void SimulatedCluster::at(Ms time, std::function<void()> action) {
  events_.push({std::max(time, now_), order_++, std::move(action)});
}

void SimulatedCluster::report_violation(const std::string& rule, const std::string& what) {
  if (result_.violations.size() < 20)
    result_.violations.push_back(rule + " at " + std::to_string(now_) + ": " + what);
}

void SimulatedCluster::trace(const std::string& text) const {
  if (options_.trace.empty()) return;
  if (options_.trace != "*" && text.find(options_.trace) == std::string::npos) return;
  std::fprintf(stderr, "%8lld %s\n", static_cast<long long>(now_), text.c_str());
}

Result SimulatedCluster::run() {
  const Ms end = options_.fault_ms + options_.recovery_ms;
  if (options_.upgrade_from) plan_upgrade();
  const Ms jobs_until = options_.jobs_until_ms > 0 ? options_.jobs_until_ms : options_.fault_ms;
  for (Ms t = 500; t < jobs_until; t += options_.job_every_ms / 2 + random(options_.job_every_ms))
    at(t, [this] { new_job(); });
  for (const auto& p : options_.planned_faults)
    at(p.at, [this, p] { inject_fault(p.kind, p.node, p.lasts); });
  for (const auto& cut : options_.link_cuts) plan_link_cut(cut);
  for (Ms t = 1000; t < end; t += 1000) at(t, [this] { probe_health(); });
  for (Ms t = options_.fault_ms + 1000; t < end; t += 1000) at(t, [this] { check_waiting(); });
  if (options_.limits_drop_at)
    at(options_.limits_drop_at, [this] {
      state_->set_limits(now_, options_.limits_after);
      result_.oversized_at_drop = oversized_values();
    });
  if (options_.services > 0)
    for (Ms t = options_.fault_ms + 1000; t < end; t += 1000) at(t, [this] { check_services(); });
  if (options_.cancel_all_at)
    at(options_.cancel_all_at, [this] {
      for (auto& [id, j] : jobs_)
        if (j.accepted) cancel(id, 0);
    });
  for (const auto& [when, share] : options_.cancels)
    at(when, [this, share] {
      for (auto& [id, j] : jobs_)
        if (j.accepted && !j.told_done && !j.asked_cancel && chance(share)) cancel(id, 0);
    });
  if (options_.faults)
    for (Ms t = 6000; t < options_.fault_ms; t += 2500 + random(5000))
      at(t, [this] { inject_fault(); });
  at(options_.fault_ms, [this] {
    recovering_ = true;
    slow_links_ = false;
    heartbeats_delayed_until_ = cancel_at_end_until_ = 0;
    zones_partitioned_ = peers_refuse_ = false;
    cut_zone_.clear();
    link_cuts_.clear();
    state_slower_ = 1;
    for (std::size_t i = 0; i < controllers_.size(); ++i) resume_controller(i);
    state_->outage = state_->holds_wait = cloud_->outage = false;
    for (auto& n : controllers_) {
      n->refused_by_state = n->cut_from_state = n->cut_from_workers = n->cut_from_peers = false;
      n->isolated_since = 0;
    }
    for (std::size_t i = 0; i < controllers_.size(); ++i) {
      if (std::exchange(controllers_[i]->away_until, 0) > now_ && !controllers_[i]->controller)
        start_controller(i);
    }
    duplicate_heartbeats_until_ = late_writes_until_ = 0;
    state_reorders_until_ = watch_lags_until_ = answers_lost_until_ = concurrent_reads_until_ = 0;
    for (auto& [id, w] : workers_) {
      w->hanging = w->sick = false;
      w->unreachable_since = w->heartbeats_lost_since = 0;
    }
    for (auto& [id, j] : jobs_) j.answered_at = now_;
    for (auto& [id, j] : jobs_)
      if (j.mistake) cancel(id, 0);
  });
  while (!events_.empty() && events_.top().time <= end &&
         (over_since_ == 0 || now_ - over_since_ < 40'000)) {
    auto e = events_.top();
    events_.pop();
    now_ = std::max(now_, e.time);
    e.action();
  }
  count_served();
  result_.fingerprint = fingerprint_.value();
  result_.writes = state_->writes;
  result_.views = static_cast<int>(
      std::count_if(state_->changes.begin(), state_->changes.end(),
                    [](const FakeStateService::Change& c) { return c.key == wire::kViewKey; }));
  result_.over_limits = state_->over_limits;
  result_.throttled = state_->throttled;
  result_.watches_too_old = state_->watches_too_old;
  result_.peak_requests = state_->peak_requests;
  result_.peak_writes = state_->peak_writes;
  result_.machines = static_cast<int>(cloud_->machines.size());
  result_.machines_heard = machines_heard();
  for (const auto& n : controllers_)
    if (n->controller) trace(n->name + ": " + n->controller->status_line(now_));
  for (const auto& [id, j] : jobs_) {
    if (!j.accepted) continue;
    ++result_.accepted;
    if (j.told_done) ++result_.done;
    if (j.told_cancelled) ++result_.cancelled;
    if (j.spec.is_service()) ++result_.services;
    if (j.told_done && j.spec.is_gang()) ++result_.gangs_done;
    if (j.told_done && j.spec.spread) ++result_.spread_done;
    if (j.told_done && options_.large_gang && j.spec.tasks == options_.large_gang)
      result_.large_gang_done = true;
    if (!j.told_done && !j.told_cancelled) result_.unfinished.push_back(id);
  }
  report_history();
  return result_;
}

int SimulatedCluster::machines_heard() const {
  int heard = 0;
  for (const auto& [id, w] : workers_) {
    if (!w->up || w->dead) continue;
    const bool known =
        std::any_of(controllers_.begin(), controllers_.end(), [&, id = id](const auto& n) {
          const auto* record = n->controller ? n->controller->replica().machine(id) : nullptr;
          return record && record->incarnation == w->incarnation;
        });
    heard += known ? 1 : 0;
  }
  return heard;
}

// ---- controllers ----

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

void SimulatedCluster::timed(const std::function<void()>& pass) {
  const auto began = std::chrono::steady_clock::now();
  pass();
  const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - began;
  result_.longest_pass_ms = std::max(result_.longest_pass_ms, took.count());
}

SimulatedCluster::SimulatedWorker* SimulatedCluster::worker_at(const std::string& address) {
  const auto found = workers_.find(address.substr(0, address.find(':')));
  return found == workers_.end() ? nullptr : found->second.get();
}

// What waited is handled in whatever order the process finds it, its own timers among it.
void SimulatedCluster::resume_controller(std::size_t i) {
  SimulatedController& n = *controllers_[i];
  if (!n.paused) return;
  n.paused = false;
  auto held = std::exchange(n.delayed_inputs, {});
  for (std::size_t k = held.size(); k > 1; --k)
    if (chance(0.3))
      std::swap(held[k - 1], held[static_cast<std::size_t>(random(static_cast<int>(k)))]);
  const std::uint64_t generation = n.generation;
  for (auto& deliver : held) {
    if (n.generation != generation) return;
    if (chance(0.05)) tick_once(i);
    input(i, std::move(deliver));
  }
}

void SimulatedCluster::plan_upgrade() {
  std::vector<std::size_t> order(controllers_.size());
  std::iota(order.begin(), order.end(), 0);
  for (std::size_t k = order.size(); k > 1; --k)
    std::swap(order[k - 1], order[static_cast<std::size_t>(random(static_cast<int>(k)))]);
  services_from_ = options_.upgrade_from;
  for (const std::size_t i : order) {
    at(services_from_, [this, i] {
      controllers_[i]->upgraded = true;
      crash_controller(i);  // one that is away comes back upgraded
    });
    if (i != order.back()) services_from_ += options_.upgrade_every;
  }
  at(services_from_, [this] { result_.oversized_at_upgrade = oversized_values(); });
}

int SimulatedCluster::oversized_values() const {
  return static_cast<int>(
      std::count_if(state_->items.begin(), state_->items.end(), [this](const auto& entry) {
        return entry.second.value.size() > options_.limits_after.value_bytes;
      }));
}

// The production version knows the limits of today alone, and the first format of records.
Settings SimulatedCluster::settings_of(const SimulatedController& node) const {
  Settings s = settings_;
  s.name = node.name;
  s.zone = node.zone;
  for (const auto& other : controllers_)
    if (other->name != node.name) s.peers.push_back({other->name, other->zone, ""});
  if (node.upgraded) return s;
  const StateLimits today;
  s.record_format = wire::kFirstFormat;
  s.state_write_rps = options_.state_writes_per_s;
  s.value_kb = static_cast<double>(today.value_bytes) / 1024.0;
  s.txn_ops = static_cast<int>(today.txn_ops);
  return s;
}

void SimulatedCluster::start_controller(std::size_t i) {
  SimulatedController& n = *controllers_[i];
  ++n.generation;
  const std::uint64_t seed = (static_cast<std::uint64_t>(random_()) << 32U) | random_();
  n.controller = std::make_unique<Controller>(settings_of(n), seed);
  n.controller->start(now_, now_ + 1'700'000'000'000);
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
  auto asked = std::move(n.asked);
  n.asked.clear();
  for (auto& [id, a] : asked) a.second(0, "");
  if (controller_down == 0) controller_down = chance(0.2) ? 100 : 1500 + random(2000);
  at(now_ + controller_down, [this, i] {
    if (!controllers_[i]->controller && now_ >= controllers_[i]->away_until) start_controller(i);
  });
}

// It ends, if it is there, and is not back before the time is over.
void SimulatedCluster::keep_down(std::size_t i, Ms lasts) {
  crash_controller(i, lasts);
  controllers_[i]->away_until = std::max(controllers_[i]->away_until, now_ + lasts);
  at(controllers_[i]->away_until, [this, i] {
    if (!controllers_[i]->controller && now_ >= controllers_[i]->away_until) start_controller(i);
  });
}

void SimulatedCluster::tick_controller(std::size_t i, std::uint64_t generation) {
  SimulatedController& n = *controllers_[i];
  if (n.generation != generation || !n.controller) return;
  if (!n.paused) tick_once(i);
  at(now_ + kTickMs, [this, i, generation] { tick_controller(i, generation); });
}

void SimulatedCluster::tick_once(std::size_t i) {
  timed([&] { controllers_[i]->controller->tick(now_, now_ + 1'700'000'000'000); });
  drain(i);
}

void SimulatedCluster::drain(std::size_t i) {
  SimulatedController& n = *controllers_[i];
  auto out = n.controller->take_output();
  fingerprint_.add(now_, i, out);
  for (const auto& l : out.logs) trace(n.name + " " + l.text);
  for (const auto& c : out.calls) trace(n.name + " -> " + c.address + c.path + " " + c.body);
  for (const auto& a : out.replies)
    trace(n.name + " answers " + std::to_string(a.status) + " " + a.body);
  for (const auto& a : out.replies) {
    auto it = n.asked.find(a.request);
    if (it == n.asked.end()) continue;
    auto respond = std::move(it->second.second);
    n.asked.erase(it);
    at(now_ + network_delay(), [respond, a] { respond(a.status, a.body); });
  }
  for (const auto& c : out.calls) send(i, c);
  for (const auto& p : out.peers) {
    for (std::size_t j = 0; j < controllers_.size(); ++j) {
      if (controllers_[j]->name != p.to || partitioned(n.zone, controllers_[j]->zone) ||
          n.cut_from_peers || controllers_[j]->cut_from_peers || peers_refuse_ ||
          link_cuts_.down(n.name, controllers_[j]->name) || chance(0.05))
        continue;
      // Some arrive minutes late.
      at(now_ + (chance(0.02) ? 20'000 : network_delay()), [this, j, bytes = p.bytes] {
        input(j, [this, bytes](Controller& c) { c.on_peer(now_, bytes); });
      });
    }
  }
}

}  // namespace scheduler::sim
