// Fault injection: the effect of each fault on controllers, the state service, the network,
// machines and users.
#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"

namespace scheduler::sim {

void SimulatedCluster::inject_fault() {
  const auto n = random_controller_index();
  const Ms duration_ms = chance(0.2) ? 10'000 + random(30'000) : 2000 + random(14'000);
  inject_fault(static_cast<Fault>(random(static_cast<int>(options_.random_faults_before))), n,
               duration_ms);
}

// Calls the injection function of the kind. The functions take the index of the affected
// controller, if any, and the duration of the fault.
void SimulatedCluster::inject_fault(Fault kind, std::size_t controller_index, Ms duration_ms) {
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
      {Fault::replies_lost, &Self::set_until<&Self::replies_lost_until_>},
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
      {Fault::restarts_held, &Self::set_until<&Self::restarts_held_until_>},
      // Users
      {Fault::job_burst, &Self::submit_burst},
      {Fault::cancel_now, &Self::cancel_running},
      {Fault::cancel_at_end, &Self::set_until<&Self::cancel_at_end_until_>},
      {Fault::invalid_requests, &Self::send_invalid_requests},
      {Fault::concurrent_reads, &Self::set_until<&Self::concurrent_reads_until_>},
  };
  if (recovering_) return;
  trace("fault " + std::to_string(static_cast<int>(kind)) + " controller " +
        std::to_string(controller_index) + " for " + std::to_string(duration_ms));
  (this->*kInjections.at(kind))(controller_index, duration_ms);
}

template <Ms SimulatedCluster::*Deadline>
void SimulatedCluster::set_until(std::size_t /*controller_index*/, Ms duration_ms) {
  this->*Deadline = now_ + duration_ms;
}

template <bool SimulatedCluster::*Flag>
void SimulatedCluster::set_for(std::size_t /*controller_index*/, Ms duration_ms) {
  this->*Flag = true;
  schedule_event(now_ + duration_ms, [this] { this->*Flag = false; });
}

template <bool SimulatedCluster::SimulatedController::*Flag>
void SimulatedCluster::set_on_controller(std::size_t controller_index, Ms duration_ms) {
  (*controllers_[controller_index]).*Flag = true;
  schedule_event(now_ + duration_ms,
                 [this, controller_index] { (*controllers_[controller_index]).*Flag = false; });
}

// ---- controllers ----

void SimulatedCluster::crash_one_controller(std::size_t controller_index, Ms /*duration_ms*/) {
  crash_controller(controller_index);
}

void SimulatedCluster::crash_all_controllers(std::size_t /*controller_index*/, Ms /*duration_ms*/) {
  for (std::size_t i = 0; i < controllers_.size(); ++i) crash_controller(i);
}

// The second crash happens while the restarted controller joins the view.
void SimulatedCluster::restart_controller_twice(std::size_t controller_index, Ms /*duration_ms*/) {
  crash_controller(controller_index, 30 + random(300));
  schedule_event(now_ + 350 + random(500), [this, controller_index] {
    if (!recovering_) crash_controller(controller_index, 30 + random(300));
  });
}

void SimulatedCluster::restart_controllers_in_turn(std::size_t /*controller_index*/,
                                                   Ms /*duration_ms*/) {
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    schedule_event(now_ + static_cast<Ms>(i) * 5000, [this, i] {
      if (!recovering_) crash_controller(i);
    });
}

void SimulatedCluster::pause_controller(std::size_t controller_index, Ms duration_ms) {
  controllers_[controller_index]->paused = true;
  schedule_event(now_ + duration_ms,
                 [this, controller_index, generation = controllers_[controller_index]->generation] {
                   if (controllers_[controller_index]->generation == generation)
                     resume_controller(controller_index);
                 });
}

// The controllers restart one after the other, 300 ms apart.
void SimulatedCluster::keep_all_controllers_down(std::size_t controller_index, Ms duration_ms) {
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    keep_down((controller_index + i) % controllers_.size(), duration_ms + static_cast<Ms>(i) * 300);
}

void SimulatedCluster::crash_controllers_by_turns(std::size_t controller_index, Ms duration_ms) {
  constexpr std::size_t kCrashes = 10;
  for (std::size_t i = 0; i < kCrashes; ++i)
    schedule_event(now_ + static_cast<Ms>(i) * duration_ms / static_cast<Ms>(kCrashes),
                   [this, i, controller_index] {
                     if (!recovering_)
                       crash_controller((controller_index + i) % controllers_.size());
                   });
}

// The controller is down for longer than its session lease, so that peers take over its shard,
// which returns to the controller after its restart (failback). Then all controllers crash, and
// only this controller restarts within a second.
void SimulatedCluster::fail_over_and_back(std::size_t controller_index, Ms duration_ms) {
  keep_down(controller_index, 6500);
  schedule_event(now_ + 9000, [this, controller_index, duration_ms] {
    if (recovering_) return;
    keep_down(controller_index, 100 + random(800));
    for (std::size_t i = 1; i < controllers_.size(); ++i)
      keep_down((controller_index + i) % controllers_.size(), duration_ms);
  });
}

// ---- the state service ----

// Session leases expire during this outage. At its end, the remaining leases are extended to their
// full duration.
void SimulatedCluster::random_state_outage(std::size_t controller_index, Ms duration_ms) {
  state_->outage = true;
  schedule_event(now_ + duration_ms / 2, [this] {
    if (state_->outage) state_->renew_all_session_leases(now_);
    state_->outage = false;
  });
  if (options_.faults && chance(0.4)) crash_controller(controller_index);
}

void SimulatedCluster::refuse_one_then_all(std::size_t controller_index, Ms duration_ms) {
  controllers_[controller_index]->refused_by_state = true;
  schedule_event(now_ + 1000, [this, duration_ms] {
    if (!recovering_) start_state_outage(duration_ms);
  });
  schedule_event(now_ + 1000 + duration_ms, [this, controller_index] {
    controllers_[controller_index]->refused_by_state = false;
  });
}

void SimulatedCluster::slow_state_service(std::size_t /*controller_index*/, Ms duration_ms) {
  constexpr int kDelayFactor = 20;
  state_delay_factor_ = kDelayFactor;
  schedule_event(now_ + duration_ms, [this] { state_delay_factor_ = 1; });
}

// Session leases don't expire during this outage. At its end they are extended to their full
// duration (PROTOCOL).
void SimulatedCluster::start_state_outage(Ms duration_ms) {
  state_->outage = state_->leases_suspended = true;
  schedule_event(now_ + duration_ms, [this] {
    if (state_->outage) state_->renew_all_session_leases(now_);
    state_->outage = state_->leases_suspended = false;
  });
}

// ---- network and cloud ----

void SimulatedCluster::isolate_controller(std::size_t controller_index, Ms duration_ms) {
  controllers_[controller_index]->cut_from_state = controllers_[controller_index]->cut_from_peers =
      true;
  controllers_[controller_index]->isolated_since = now_;
  schedule_event(now_ + duration_ms, [this, controller_index] {
    controllers_[controller_index]->cut_from_state =
        controllers_[controller_index]->cut_from_peers = false;
    controllers_[controller_index]->isolated_since = 0;
  });
}

// With three controllers, zone a has two of them, zone b one and zone c none.
void SimulatedCluster::cut_off_zone(std::size_t controller_index, Ms duration_ms) {
  cut_zone_ = kZones[(controller_index + 2) % 3];
  schedule_event(now_ + duration_ms, [this] { cut_zone_.clear(); });
}

void SimulatedCluster::start_cloud_outage(std::size_t /*controller_index*/, Ms duration_ms) {
  cloud_->outage = true;
  schedule_event(now_ + duration_ms, [this] { cloud_->outage = false; });
}

// ---- machines ----

SimulatedCluster::SimulatedWorker* SimulatedCluster::random_running_machine() {
  std::vector<SimulatedWorker*> running;
  for (auto& [id, w] : workers_)
    if (w->up && !w->dead) running.push_back(w.get());
  if (running.empty()) return nullptr;
  return running[static_cast<std::size_t>(random(static_cast<int>(running.size())))];
}

void SimulatedCluster::hang_machine(std::size_t /*controller_index*/, Ms duration_ms) {
  if (SimulatedWorker* w = random_running_machine()) hang(*w, duration_ms);
}

void SimulatedCluster::fail_machine(std::size_t /*controller_index*/, Ms /*duration_ms*/) {
  if (SimulatedWorker* w = random_running_machine()) kill_machine(*w);
}

// The restarted agent has lost its tasks and all counters.
void SimulatedCluster::restart_machine(std::size_t /*controller_index*/, Ms /*duration_ms*/) {
  SimulatedWorker* w = random_running_machine();
  if (!w) return;
  w->up = w->heartbeat_in_flight = false;
  clear_tasks(*w);
  w->incarnation = 1;
  w->sequence = w->token = 0;
  ++w->heartbeat_number;
  ++w->agent_generation;
  schedule_event(now_ + 50 + random(600), [this, id = w->id] {
    SimulatedWorker& restarted = *workers_.at(id);
    if (restarted.dead) return;
    restarted.up = true;
    restarted.lease_start = now_;
    restarted.next_heartbeat_at = restarted.backoff_until = now_;
    tick_worker(id, restarted.agent_generation);
  });
}

void SimulatedCluster::make_machine_unreachable(std::size_t /*controller_index*/, Ms duration_ms) {
  SimulatedWorker* w = random_running_machine();
  if (!w || w->unreachable_since != 0) return;
  w->unreachable_since = now_;
  schedule_event(now_ + duration_ms,
                 [this, id = w->id] { workers_.at(id)->unreachable_since = 0; });
}

bool SimulatedCluster::restarts_task(const SimulatedWorker& w, const wire::Json& command) {
  const auto task = wire::parse_task_name(command["load"].GetString());
  if (!task || std::string(command["verb"].GetString()) != "start") return false;
  const auto former = w.tasks.find(*task);
  return former != w.tasks.end() && former->second.state == TaskState::exited &&
         former->second.attempt < command["try"].GetUint64();
}

void SimulatedCluster::hold_restart(SimulatedWorker& w, const wire::Json& message) {
  if (w.incoming_held || w.preempted_at) return;
  if (message["baton"].GetUint64() < w.token || message["shift"].GetUint64() != w.incarnation)
    return;
  const auto array = message["orders"].GetArray();
  const auto* restart = std::find_if(
      array.begin(), array.end(), [&w](const auto& command) { return restarts_task(w, command); });
  if (restart == array.end()) return;
  ++result_.restarts_held;
  w.incoming_held = true;
  trace(w.id + " receives nothing");
  const std::string job = wire::parse_task_name((*restart)["load"].GetString())->job;
  schedule_event(now_ + 200 + random(600), [this, job, id = w.id] {
    if (!recovering_) stop_job_elsewhere(job, id);
  });
  schedule_event(now_ + 4000 + random(6000), [this, id = w.id] {
    SimulatedWorker& released = *workers_.at(id);
    released.incoming_held = false;
    for (const auto& deliver : std::exchange(released.held_commands, {})) deliver();
  });
}

void SimulatedCluster::stop_job_elsewhere(const std::string& job, const std::string& held_machine) {
  if (chance(0.3)) {
    cancel(job, 0);
    return;
  }
  for (auto& [id, w] : workers_) {
    const bool has_task = std::any_of(w->tasks.begin(), w->tasks.end(), [&job](const auto& task) {
      return task.first.job == job && task.second.state != TaskState::exited;
    });
    if (id == held_machine || !has_task || w->dead || w->preempted_at) continue;
    w->preempted_at = now_ + 2000 + random(3000);
    w->changed_since_heartbeat = true;
    w->next_heartbeat_at = std::min(w->next_heartbeat_at, now_ + 250);
    return;
  }
}

void SimulatedCluster::lose_heartbeats(std::size_t /*controller_index*/, Ms duration_ms) {
  SimulatedWorker* w = random_running_machine();
  if (!w || w->heartbeats_lost_since != 0) return;
  w->heartbeats_lost_since = now_;
  schedule_event(now_ + duration_ms,
                 [this, id = w->id] { workers_.at(id)->heartbeats_lost_since = 0; });
}

void SimulatedCluster::make_machine_fail_tasks(std::size_t /*controller_index*/,
                                               Ms /*duration_ms*/) {
  if (SimulatedWorker* w = random_running_machine()) w->fails_tasks = true;
}

void SimulatedCluster::give_preemption_notice(std::size_t /*controller_index*/,
                                              Ms /*duration_ms*/) {
  if (SimulatedWorker* w = random_running_machine()) w->preempted_at = now_ + 2000 + random(3000);
}

void SimulatedCluster::preempt_spot_machines(std::size_t /*controller_index*/, Ms /*duration_ms*/) {
  for (auto& [id, w] : workers_)
    if (w->spot && w->up && !w->dead && chance(0.33))
      w->preempted_at = now_ + (chance(0.3) ? 1 : 1000 + random(4000));
}

// The cloud lists the failed machine as running for Options::dead_listed_ms.
void SimulatedCluster::kill_machine(SimulatedWorker& w) {
  for (const auto& [task, t] : w.tasks) {
    const auto& spec = jobs_.at(task.job).spec;
    result_.zone_bound_tasks_lost += t.active && (spec.one_zone || !spec.zone.empty());
    if (t.active && spec.is_service()) replica_lost_at_[task] = now_;
  }
  w.dead = true;
  clear_tasks(w);
  schedule_event(now_ + options_.dead_listed_ms, [this, id = w.id] {
    const auto machine = cloud_->machines.find(id);
    if (machine != cloud_->machines.end()) machine->second.failed = true;
  });
}

void SimulatedCluster::hang(SimulatedWorker& w, Ms duration_ms) {
  w.hanging = true;
  w.heartbeat_in_flight = false;
  schedule_event(now_ + duration_ms, [this, id = w.id] { workers_.at(id)->hanging = false; });
}

// ---- users ----

void SimulatedCluster::submit_burst(std::size_t /*controller_index*/, Ms duration_ms) {
  for (Ms t = 0; t < duration_ms / 2; t += 400)
    schedule_event(now_ + t, [this] {
      if (!recovering_) submit_random_job();
    });
}

void SimulatedCluster::send_invalid_requests(std::size_t /*controller_index*/, Ms duration_ms) {
  for (Ms t = 0; t < duration_ms; t += 100)
    schedule_event(now_ + t, [this] { send_invalid_request(); });
}

// Users cancel up to 20 running jobs with at least 3 s of work left; most of their machines hang.
void SimulatedCluster::cancel_running(std::size_t /*controller_index*/, Ms duration_ms) {
  constexpr std::size_t kMaxJobs = 20;
  constexpr std::size_t kMaxMachines = 8;
  constexpr double kMinRemainingMs = 3000;
  std::set<std::string> jobs;
  std::vector<SimulatedWorker*> machines;
  for (auto& [id, w] : workers_) {
    if (!w->up || w->dead) continue;
    bool affected = false;
    for (const auto& [task, t] : w->tasks) {
      const SubmittedJob& j = jobs_.at(task.job);
      if (!t.active || !j.accepted || j.work_ms - t.work_ms < kMinRemainingMs ||
          jobs.size() >= kMaxJobs)
        continue;
      affected = jobs.insert(task.job).second || affected;
    }
    if (affected && machines.size() < kMaxMachines) machines.push_back(w.get());
  }
  for (const auto& id : jobs) schedule_event(now_ + random(200), [this, id] { cancel(id, 0); });
  for (SimulatedWorker* w : machines) {
    if (!chance(0.7)) continue;
    ++result_.hangs_during_cancellation;
    hang(*w, duration_ms);
  }
}

}  // namespace scheduler::sim
