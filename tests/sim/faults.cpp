// Faults: what each kind does to controllers, the state service, the network, machines and users.
#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"

namespace scheduler::sim {

void SimulatedCluster::inject_fault() {
  const auto n = any_controller_index();
  const Ms lasts = chance(0.2) ? 10'000 + random(30'000) : 2000 + random(14'000);
  inject_fault(static_cast<Fault>(random(static_cast<int>(options_.random_faults_before))), n,
               lasts);
}

// The injections by kind. Each takes the controller that is concerned, if any, and how long the
// fault lasts.
void SimulatedCluster::inject_fault(Fault kind, std::size_t node, Ms lasts) {
  using Self = SimulatedCluster;
  using Controller = SimulatedController;
  using Injection = void (Self::*)(std::size_t, Ms);
  static const std::map<Fault, Injection> kInjections{
      // Controllers
      {Fault::controller_crash, &Self::crash_one_controller},
      {Fault::all_controllers_crash, &Self::crash_all_controllers},
      {Fault::quick_restart, &Self::restart_controller_twice},
      {Fault::rolling_restart, &Self::restart_controllers_in_turn},
      {Fault::process_pause, &Self::pause_controller},
      {Fault::all_controllers_down, &Self::keep_all_controllers_down},
      {Fault::controller_down, &Self::keep_down},
      {Fault::view_changes, &Self::crash_controllers_by_turns},
      {Fault::failback, &Self::fail_over_and_back},
      // State service
      {Fault::state_outage, &Self::random_state_outage},
      {Fault::state_refuses_one, &Self::set_on_controller<&Controller::refused_by_state>},
      {Fault::refused_then_outage, &Self::refuse_one_then_all},
      {Fault::state_slow, &Self::slow_state_service},
      {Fault::late_writes, &Self::set_until<&Self::late_writes_until_>},
      {Fault::state_reorders, &Self::set_until<&Self::state_reorders_until_>},
      {Fault::watch_lags, &Self::set_until<&Self::watch_lags_until_>},
      {Fault::answers_lost, &Self::set_until<&Self::answers_lost_until_>},
      // Network and cloud
      {Fault::cut_from_state, &Self::set_on_controller<&Controller::cut_from_state>},
      {Fault::cut_from_workers, &Self::set_on_controller<&Controller::cut_from_workers>},
      {Fault::controller_isolated, &Self::isolate_controller},
      {Fault::zones_partitioned, &Self::set_for<&Self::zones_partitioned_>},
      {Fault::zone_cut, &Self::cut_off_zone},
      {Fault::peers_refuse, &Self::set_for<&Self::peers_refuse_>},
      {Fault::slow_links, &Self::set_for<&Self::slow_links_>},
      {Fault::cloud_outage, &Self::start_cloud_outage},
      // Machines
      {Fault::machine_hangs, &Self::hang_machine},
      {Fault::machine_dies, &Self::fail_machine},
      {Fault::machine_restarts, &Self::restart_machine},
      {Fault::machine_unreachable, &Self::make_machine_unreachable},
      {Fault::machine_heartbeats_lost, &Self::lose_heartbeats},
      {Fault::machine_fails_tasks, &Self::make_machine_fail_tasks},
      {Fault::preemption_notice, &Self::give_preemption_notice},
      {Fault::spot_wave, &Self::preempt_spot_machines},
      {Fault::duplicate_heartbeats, &Self::set_until<&Self::duplicate_heartbeats_until_>},
      {Fault::heartbeats_delayed, &Self::set_until<&Self::heartbeats_delayed_until_>},
      // Users
      {Fault::job_burst, &Self::submit_burst},
      {Fault::cancel_now, &Self::cancel_running},
      {Fault::cancel_at_end, &Self::set_until<&Self::cancel_at_end_until_>},
      {Fault::invalid_requests, &Self::send_invalid_requests},
      {Fault::concurrent_reads, &Self::set_until<&Self::concurrent_reads_until_>},
  };
  if (recovering_) return;
  trace("fault " + std::to_string(static_cast<int>(kind)) + " node " + std::to_string(node) +
        " for " + std::to_string(lasts));
  (this->*kInjections.at(kind))(node, lasts);
}

template <Ms SimulatedCluster::*Deadline>
void SimulatedCluster::set_until(std::size_t /*node*/, Ms lasts) {
  this->*Deadline = now_ + lasts;
}

template <bool SimulatedCluster::*Flag>
void SimulatedCluster::set_for(std::size_t /*node*/, Ms lasts) {
  this->*Flag = true;
  at(now_ + lasts, [this] { this->*Flag = false; });
}

template <bool SimulatedCluster::SimulatedController::*Flag>
void SimulatedCluster::set_on_controller(std::size_t node, Ms lasts) {
  (*controllers_[node]).*Flag = true;
  at(now_ + lasts, [this, node] { (*controllers_[node]).*Flag = false; });
}

// ---- controllers ----

void SimulatedCluster::crash_one_controller(std::size_t node, Ms /*lasts*/) {
  crash_controller(node);
}

void SimulatedCluster::crash_all_controllers(std::size_t /*node*/, Ms /*lasts*/) {
  for (std::size_t i = 0; i < controllers_.size(); ++i) crash_controller(i);
}

// The second crash falls into the time in which the controller joins the view.
void SimulatedCluster::restart_controller_twice(std::size_t node, Ms /*lasts*/) {
  crash_controller(node, 30 + random(300));
  at(now_ + 350 + random(500), [this, node] {
    if (!recovering_) crash_controller(node, 30 + random(300));
  });
}

void SimulatedCluster::restart_controllers_in_turn(std::size_t /*node*/, Ms /*lasts*/) {
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    at(now_ + static_cast<Ms>(i) * 5000, [this, i] {
      if (!recovering_) crash_controller(i);
    });
}

void SimulatedCluster::pause_controller(std::size_t node, Ms lasts) {
  controllers_[node]->paused = true;
  at(now_ + lasts, [this, node, generation = controllers_[node]->generation] {
    if (controllers_[node]->generation == generation) resume_controller(node);
  });
}

// They restart one after the other.
void SimulatedCluster::keep_all_controllers_down(std::size_t node, Ms lasts) {
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    keep_down((node + i) % controllers_.size(), lasts + static_cast<Ms>(i) * 300);
}

void SimulatedCluster::crash_controllers_by_turns(std::size_t node, Ms lasts) {
  constexpr std::size_t kCrashes = 10;
  for (std::size_t i = 0; i < kCrashes; ++i)
    at(now_ + static_cast<Ms>(i) * lasts / static_cast<Ms>(kCrashes), [this, i, node] {
      if (!recovering_) crash_controller((node + i) % controllers_.size());
    });
}

// The controller is down for longer than its session lease, so that others take its shard over,
// and the shard returns to it (failback). Then all crash, and it alone restarts within a second.
void SimulatedCluster::fail_over_and_back(std::size_t node, Ms lasts) {
  keep_down(node, 6500);
  at(now_ + 9000, [this, node, lasts] {
    if (recovering_) return;
    keep_down(node, 100 + random(800));
    for (std::size_t i = 1; i < controllers_.size(); ++i)
      keep_down((node + i) % controllers_.size(), lasts);
  });
}

// ---- the state service ----

// Session leases run on during this outage; those that are left at its end have their full time
// again.
void SimulatedCluster::random_state_outage(std::size_t node, Ms lasts) {
  state_->outage = true;
  at(now_ + lasts / 2, [this] {
    if (state_->outage) state_->renew_all_session_leases(now_);
    state_->outage = false;
  });
  if (options_.faults && chance(0.4)) crash_controller(node);
}

void SimulatedCluster::refuse_one_then_all(std::size_t node, Ms lasts) {
  controllers_[node]->refused_by_state = true;
  at(now_ + 1000, [this, lasts] {
    if (!recovering_) outage(lasts);
  });
  at(now_ + 1000 + lasts, [this, node] { controllers_[node]->refused_by_state = false; });
}

void SimulatedCluster::slow_state_service(std::size_t /*node*/, Ms lasts) {
  constexpr int kSlower = 20;
  state_slower_ = kSlower;
  at(now_ + lasts, [this] { state_slower_ = 1; });
}

// Session leases are suspended meanwhile, and have their full time again afterwards (PROTOCOL).
void SimulatedCluster::outage(Ms lasts) {
  state_->outage = state_->leases_suspended = true;
  at(now_ + lasts, [this] {
    if (state_->outage) state_->renew_all_session_leases(now_);
    state_->outage = state_->leases_suspended = false;
  });
}

// ---- network and cloud ----

void SimulatedCluster::isolate_controller(std::size_t node, Ms lasts) {
  controllers_[node]->cut_from_state = controllers_[node]->cut_from_peers = true;
  controllers_[node]->isolated_since = now_;
  at(now_ + lasts, [this, node] {
    controllers_[node]->cut_from_state = controllers_[node]->cut_from_peers = false;
    controllers_[node]->isolated_since = 0;
  });
}

// Zone c has no controller, zone a has two, zone b has one.
void SimulatedCluster::cut_off_zone(std::size_t node, Ms lasts) {
  cut_zone_ = kZones[(node + 2) % 3];
  at(now_ + lasts, [this] { cut_zone_.clear(); });
}

void SimulatedCluster::start_cloud_outage(std::size_t /*node*/, Ms lasts) {
  cloud_->outage = true;
  at(now_ + lasts, [this] { cloud_->outage = false; });
}

// ---- machines ----

SimulatedCluster::SimulatedWorker* SimulatedCluster::random_running_machine() {
  std::vector<SimulatedWorker*> running;
  for (auto& [id, w] : workers_)
    if (w->up && !w->dead) running.push_back(w.get());
  if (running.empty()) return nullptr;
  return running[static_cast<std::size_t>(random(static_cast<int>(running.size())))];
}

void SimulatedCluster::hang_machine(std::size_t /*node*/, Ms lasts) {
  if (SimulatedWorker* w = random_running_machine()) hang(*w, lasts);
}

void SimulatedCluster::fail_machine(std::size_t /*node*/, Ms /*lasts*/) {
  if (SimulatedWorker* w = random_running_machine()) machine_dies(*w);
}

// The agent loses its tasks and all counters.
void SimulatedCluster::restart_machine(std::size_t /*node*/, Ms /*lasts*/) {
  SimulatedWorker* w = random_running_machine();
  if (!w) return;
  w->up = w->reporting = false;
  clear_tasks(*w);
  w->incarnation = 1;
  w->sequence = w->token = 0;
  ++w->heartbeat_number;
  ++w->life;
  at(now_ + 50 + random(600), [this, id = w->id] {
    SimulatedWorker& restarted = *workers_.at(id);
    if (restarted.dead) return;
    restarted.up = true;
    restarted.lease_from = now_;
    restarted.next_heartbeat_at = restarted.no_heartbeat_before = now_;
    tick_worker(id, restarted.life);
  });
}

void SimulatedCluster::make_machine_unreachable(std::size_t /*node*/, Ms lasts) {
  SimulatedWorker* w = random_running_machine();
  if (!w || w->unreachable_since != 0) return;
  w->unreachable_since = now_;
  at(now_ + lasts, [this, id = w->id] { workers_.at(id)->unreachable_since = 0; });
}

void SimulatedCluster::lose_heartbeats(std::size_t /*node*/, Ms lasts) {
  SimulatedWorker* w = random_running_machine();
  if (!w || w->heartbeats_lost_since != 0) return;
  w->heartbeats_lost_since = now_;
  at(now_ + lasts, [this, id = w->id] { workers_.at(id)->heartbeats_lost_since = 0; });
}

void SimulatedCluster::make_machine_fail_tasks(std::size_t /*node*/, Ms /*lasts*/) {
  if (SimulatedWorker* w = random_running_machine()) w->fails_tasks = true;
}

void SimulatedCluster::give_preemption_notice(std::size_t /*node*/, Ms /*lasts*/) {
  if (SimulatedWorker* w = random_running_machine()) w->preempted_at = now_ + 2000 + random(3000);
}

void SimulatedCluster::preempt_spot_machines(std::size_t /*node*/, Ms /*lasts*/) {
  for (auto& [id, w] : workers_)
    if (w->spot && w->up && !w->dead && chance(0.33))
      w->preempted_at = now_ + (chance(0.3) ? 1 : 1000 + random(4000));
}

// The cloud goes on listing it as running for a while.
void SimulatedCluster::machine_dies(SimulatedWorker& w) {
  for (const auto& [task, t] : w.tasks) {
    const auto& spec = jobs_.at(task.job).spec;
    result_.zone_bound_tasks_lost += t.present && (spec.one_zone || !spec.zone.empty());
    if (t.present && spec.is_service()) replica_lost_at_[task] = now_;
  }
  w.dead = true;
  clear_tasks(w);
  at(now_ + options_.dead_listed_ms, [this, id = w.id] {
    const auto machine = cloud_->machines.find(id);
    if (machine != cloud_->machines.end()) machine->second.failed = true;
  });
}

void SimulatedCluster::hang(SimulatedWorker& w, Ms lasts) {
  w.hanging = true;
  w.reporting = false;
  at(now_ + lasts, [this, id = w.id] { workers_.at(id)->hanging = false; });
}

// ---- users ----

void SimulatedCluster::submit_burst(std::size_t /*node*/, Ms lasts) {
  for (Ms t = 0; t < lasts / 2; t += 400)
    at(now_ + t, [this] {
      if (!recovering_) new_job();
    });
}

void SimulatedCluster::send_invalid_requests(std::size_t /*node*/, Ms lasts) {
  for (Ms t = 0; t < lasts; t += 100) at(now_ + t, [this] { send_invalid_request(); });
}

// Users cancel many jobs that run and have long to go; most of their machines hang.
void SimulatedCluster::cancel_running(std::size_t /*node*/, Ms lasts) {
  constexpr std::size_t kMostJobs = 20;
  constexpr std::size_t kMostMachines = 8;
  constexpr double kLongMs = 3000;
  std::set<std::string> jobs;
  std::vector<SimulatedWorker*> machines;
  for (auto& [id, w] : workers_) {
    if (!w->up || w->dead) continue;
    bool concerned = false;
    for (const auto& [task, t] : w->tasks) {
      const SubmittedJob& j = jobs_.at(task.job);
      if (!t.present || !j.accepted || j.work_ms - t.work_ms < kLongMs || jobs.size() >= kMostJobs)
        continue;
      concerned = jobs.insert(task.job).second || concerned;
    }
    if (concerned && machines.size() < kMostMachines) machines.push_back(w.get());
  }
  for (const auto& id : jobs) at(now_ + random(200), [this, id] { cancel(id, 0); });
  for (SimulatedWorker* w : machines) {
    if (!chance(0.7)) continue;
    ++result_.hangs_during_cancellation;
    hang(*w, lasts);
  }
}

}  // namespace scheduler::sim
