// The simulated run: setup, phases and results.
#include "sim/simulated_cluster.h"

#include <algorithm>
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
      settings_(cluster_settings(options)),
      state_(std::make_unique<FakeStateService>()),
      cloud_(std::make_unique<SimulatedCloud>()) {
  configure_state_service();
  capacity_ = capacity_of(settings_);
  create_controllers();
  for (int i = 0; i < options_.machines; ++i)
    add_machine(kZones[i % 3], options_.spot_every > 0 && i % options_.spot_every == 0, 1, "");
  schedule_event(1, [this] { step(); });
}

// The settings common to all controllers; settings_of() adds name, zone and peers.
Settings SimulatedCluster::cluster_settings(const Options& options) {
  const StateLimits limits;
  Settings s;
  s.teams = {{"free", 0, 0, 0, 0}, {"tight", 8, options.tight_team_cpus, 0, 0}};
  s.objectives = {{ObjectiveKind::finished, "small", 0.9, 0, 30},
                  {ObjectiveKind::deadline, "due", 0.9, 1.0, 0},
                  {ObjectiveKind::wait, "fast", 0.9, 0, 5}};
  if (options.services > 0) s.objectives.push_back({ObjectiveKind::up, "standing", 0.95, 0, 20});
  s.controllers = options.controllers;
  s.relays = options.relays;
  s.zones = {"a", "b", "c"};
  s.heartbeat_interval_s = options.heartbeat_interval_s;
  s.lease_s = options.lease_s * options.controller_lease_factor;
  s.gang_wait_s = options.gang_wait_s;
  s.gang_peer_s = options.gang_peer_s;
  s.cancel_s = options.cancel_s;
  s.state_rps = options.state_rps;
  s.state_write_rps = options.state_writes_per_s;
  s.value_kb = static_cast<double>(limits.value_bytes) / 1024.0;
  s.txn_ops = static_cast<int>(options.txn_ops);
  s.current_value_kb = s.value_kb;
  if (options.limits_drop_at) {  // the settings announce the new limits from the start, but not the
                                 // time of the change
    const StateLimits& next = options.limits_after;
    s.state_write_rps = std::min(options.state_writes_per_s, next.writes_per_s);
    s.value_kb = static_cast<double>(next.value_bytes) / 1024.0;
    s.txn_ops = static_cast<int>(next.txn_ops);
  }
  s.cloud_rps = options.cloud_rps;
  s.list_lag_s = 1;
  s.memory_mb = options.memory_mb;
  s.sockets = options.sockets;
  return s;
}

void SimulatedCluster::configure_state_service() {
  state_->ignore_conditions = options_.state_ignores_conditions;
  state_->on_change = [this](const std::string& key, const std::optional<std::string>& value) {
    record_final_state(key, value);
  };
  state_->changes_kept = options_.changes_kept;
  state_->limits.txn_ops = options_.txn_ops;
  state_->limits.writes_per_s = options_.enforces_rates ? options_.state_writes_per_s : 0;
}

void SimulatedCluster::create_controllers() {
  const char* zones[] = {"a", "b", "a", "b", "a"};
  for (int i = 0; i < options_.controllers; ++i) {
    auto process = std::make_unique<SimulatedController>();
    process->name = "puffin-" + std::to_string(i);
    process->zone = zones[i % 5];
    process->upgraded = options_.upgrade_from == 0;
    controllers_.push_back(std::move(process));
  }
  for (std::size_t i = 0; i < controllers_.size(); ++i) start_controller(i);
}

// Runs every Options::check_every_ms.
void SimulatedCluster::step() {
  check_all();
  step_gangs();
  state_->expire_session_leases(now_);
  state_->serve_watchers(now_, [this](std::size_t controller_index) {
    return !controllers_[controller_index]->refused_by_state &&
           !controllers_[controller_index]->cut_from_state &&
           !partitioned(controllers_[controller_index]->zone, "");
  });
  schedule_event(now_ + options_.check_every_ms, [this] { step(); });
}

void SimulatedCluster::schedule_event(Ms time, std::function<void()> action) {
  events_.push({std::max(time, now_), next_event_number_++, std::move(action)});
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

// ---- the run ----

Result SimulatedCluster::run() {
  const Ms end = options_.fault_ms + options_.recovery_ms;
  if (options_.upgrade_from) plan_upgrade();
  plan_submissions();
  for (const auto& p : options_.planned_faults)
    schedule_event(p.at, [this, p] { inject_fault(p.kind, p.controller_index, p.duration_ms); });
  for (const auto& cut : options_.link_cuts) plan_link_cut(cut);
  plan_checks(end);
  plan_cancellations();
  if (options_.faults)
    for (Ms t = 6000; t < options_.fault_ms; t += 2500 + random(5000))
      schedule_event(t, [this] { inject_fault(); });
  schedule_event(options_.fault_ms, [this] { begin_recovery(); });
  while (!events_.empty() && events_.top().time <= end &&
         (finished_since_ == 0 || now_ - finished_since_ < 40'000)) {
    auto e = events_.top();
    events_.pop();
    now_ = std::max(now_, e.time);
    e.action();
  }
  collect_results();
  return result_;
}

void SimulatedCluster::plan_upgrade() {
  std::vector<std::size_t> order(controllers_.size());
  std::iota(order.begin(), order.end(), 0);
  for (std::size_t k = order.size(); k > 1; --k)
    std::swap(order[k - 1], order[static_cast<std::size_t>(random(static_cast<int>(k)))]);
  services_from_ = options_.upgrade_from;
  for (const std::size_t i : order) {
    schedule_event(services_from_, [this, i] {
      controllers_[i]->upgraded = true;
      crash_controller(i);  // a controller that is already down restarts with the new version
    });
    if (i != order.back()) services_from_ += options_.upgrade_every;
  }
  schedule_event(services_from_, [this] { result_.oversized_at_upgrade = oversized_values(); });
}

int SimulatedCluster::oversized_values() const {
  return static_cast<int>(
      std::count_if(state_->items.begin(), state_->items.end(), [this](const auto& entry) {
        return entry.second.value.size() > options_.limits_after.value_bytes;
      }));
}

void SimulatedCluster::plan_submissions() {
  const Ms until = options_.jobs_until_ms > 0 ? options_.jobs_until_ms : options_.fault_ms;
  for (Ms t = 500; t < until; t += options_.job_every_ms / 2 + random(options_.job_every_ms))
    schedule_event(t, [this] { submit_random_job(); });
}

void SimulatedCluster::plan_checks(Ms end) {
  for (Ms t = 1000; t < end; t += 1000) schedule_event(t, [this] { probe_health(); });
  for (Ms t = options_.fault_ms + 1000; t < end; t += 1000)
    schedule_event(t, [this] { check_waiting(); });
  if (options_.limits_drop_at)
    schedule_event(options_.limits_drop_at, [this] {
      state_->set_limits(now_, options_.limits_after);
      result_.oversized_at_drop = oversized_values();
    });
  if (options_.services > 0)
    for (Ms t = options_.fault_ms + 1000; t < end; t += 1000)
      schedule_event(t, [this] { check_services(); });
}

void SimulatedCluster::plan_cancellations() {
  if (options_.cancel_all_at)
    schedule_event(options_.cancel_all_at, [this] {
      for (auto& [id, j] : jobs_)
        if (j.accepted) cancel(id, 0);
    });
  for (const auto& cancellation : options_.cancels)
    schedule_event(cancellation.first, [this, share = cancellation.second] {
      for (auto& [id, j] : jobs_)
        if (j.accepted && !j.reported_done && !j.cancel_requested && chance(share)) cancel(id, 0);
    });
}

// All faults end. All jobs must end by the end of the run, so users cancel the jobs that fail on
// every machine.
void SimulatedCluster::begin_recovery() {
  recovering_ = true;
  end_network_faults();
  end_controller_faults();
  duplicate_heartbeats_until_ = late_writes_until_ = 0;
  state_reorders_until_ = watch_lags_until_ = replies_lost_until_ = concurrent_reads_until_ = 0;
  for (auto& [id, w] : workers_) {
    w->hanging = w->fails_tasks = false;
    w->unreachable_since = w->heartbeats_lost_since = 0;
  }
  for (auto& [id, j] : jobs_) j.last_reply_at = now_;
  for (auto& [id, j] : jobs_)
    if (j.fails_everywhere) cancel(id, 0);
}

void SimulatedCluster::end_network_faults() {
  slow_links_ = false;
  heartbeats_delayed_until_ = cancel_at_end_until_ = 0;
  zones_partitioned_ = peers_refuse_ = false;
  cut_zone_.clear();
  link_cuts_.clear();
  state_delay_factor_ = 1;
}

void SimulatedCluster::end_controller_faults() {
  for (std::size_t i = 0; i < controllers_.size(); ++i) resume_controller(i);
  state_->outage = state_->leases_suspended = cloud_->outage = false;
  for (auto& process : controllers_) {
    process->refused_by_state = process->cut_from_state = process->cut_from_workers =
        process->cut_from_peers = false;
    process->isolated_since = 0;
  }
  for (std::size_t i = 0; i < controllers_.size(); ++i) {
    if (std::exchange(controllers_[i]->down_until, 0) > now_ && !controllers_[i]->controller)
      start_controller(i);
  }
}

void SimulatedCluster::collect_results() {
  count_served();
  result_.fingerprint = fingerprint_.value();
  result_.writes = state_->writes;
  result_.views = static_cast<int>(
      std::count_if(state_->changes.begin(), state_->changes.end(),
                    [](const FakeStateService::Change& c) { return c.key == wire::kViewKey; }));
  result_.oversized_txns = state_->oversized_txns;
  result_.throttled_txns = state_->throttled_txns;
  result_.failed_txns = state_->failed_txns;
  result_.compacted_watches = state_->compacted_watches;
  result_.peak_requests = state_->peak_requests;
  result_.peak_writes = state_->peak_writes;
  result_.machines = static_cast<int>(cloud_->machines.size());
  result_.machines_known = machines_known();
  for (const auto& process : controllers_)
    if (process->controller) trace(process->name + ": " + process->controller->status_line(now_));
  for (const auto& [id, j] : jobs_)
    if (j.accepted) count_accepted(j);
  report_history();
}

void SimulatedCluster::count_accepted(const SubmittedJob& j) {
  ++result_.accepted;
  if (j.reported_done) ++result_.done;
  if (j.reported_cancelled) ++result_.cancelled;
  if (j.spec.is_service()) ++result_.services;
  if (j.reported_done && j.spec.is_gang()) ++result_.gangs_done;
  if (j.reported_done && j.spec.spread) ++result_.spread_done;
  if (j.reported_done && options_.large_gang && j.spec.tasks == options_.large_gang)
    result_.large_gang_done = true;
  if (!j.reported_done && !j.reported_cancelled) result_.unfinished.push_back(j.spec.id);
}

int SimulatedCluster::machines_known() const {
  int count = 0;
  for (const auto& [id, w] : workers_) {
    if (!w->up || w->dead) continue;
    const bool known = std::any_of(
        controllers_.begin(), controllers_.end(),
        [id = id, incarnation = w->incarnation](const auto& process) {
          const auto* record =
              process->controller ? process->controller->replica().machine(id) : nullptr;
          return record && record->incarnation == incarnation;
        });
    count += known ? 1 : 0;
  }
  return count;
}

}  // namespace scheduler::sim
