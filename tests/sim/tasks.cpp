// Tasks on machines: execution of commands, and the start, run, checkpoints and exit of tasks.
#include <algorithm>
#include <cmath>

#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"

namespace scheduler::sim {

namespace {
auto& task_of(const auto& member) { return member.first->tasks.at(member.second); }
}  // namespace

// ---- commands ----

void SimulatedCluster::execute_commands(SimulatedWorker& w, const wire::Json& commands) {
  newest_epoch_ = std::max(newest_epoch_, ClusterView::epoch_of(w.token));
  for (const auto& command : commands.GetArray()) {
    const auto name = wire::parse_task_name(command["load"].GetString());
    if (!name) continue;
    const wire::TaskId& task = *name;
    const std::uint64_t attempt = command["try"].GetUint64();
    const std::string verb = command["verb"].GetString();
    const auto found = w.tasks.find(task);
    const bool has_attempt = found != w.tasks.end() && found->second.attempt == attempt;
    if (verb == "start") {
      if (!has_attempt && !w.other_attempts.contains({task, attempt})) start_task(w, task, attempt);
    } else if (!has_attempt) {
      if (verb == "clear") w.other_attempts.erase({task, attempt});
    } else if (verb == "clear") {
      if (found->second.state == TaskState::exited) w.tasks.erase(found);
    } else {
      stop_task(w, task, command["leewayS"].GetDouble());
    }
  }
}

void SimulatedCluster::start_task(SimulatedWorker& w, const wire::TaskId& task,
                                  std::uint64_t attempt) {
  if (options_.starts_ignored_from && now_ > options_.starts_ignored_from) return;
  ++result_.starts;
  if (w.heartbeats_lost_since) ++result_.starts_without_heartbeats;
  if (w.unreachable_since && now_ - w.unreachable_since > 8000) ++result_.starts_on_unreachable;
  w.changed_since_heartbeat = true;
  SimulatedWorker::Task t;
  t.attempt = attempt;
  t.state_since = now_;
  const auto found = w.tasks.find(task);
  if (found != w.tasks.end() && found->second.state != TaskState::exited) {
    t.state = TaskState::exited;
    t.cause = ExitCause::busy;
    w.other_attempts[{task, attempt}] = t;
    return;
  }
  if (found != w.tasks.end()) w.other_attempts[{task, found->second.attempt}] = found->second;
  const auto job = jobs_.find(task.job);
  if (job == jobs_.end()) {
    t.state = TaskState::exited;
    t.cause = ExitCause::unknown;
  } else if (cpus_in_use(w) + job->second.spec.cpus > kMachineCpus + 1e-9) {
    t.state = TaskState::exited;
    t.cause = ExitCause::no_room;
  } else {
    check_cancelled_start(job->second, task, w);
  }
  w.tasks[task] = t;
  started_on_[task].insert(w.id);
}

double SimulatedCluster::cpus_in_use(const SimulatedWorker& w) const {
  double cpus = 0;
  for (const auto& [task, t] : w.tasks)
    if (t.state != TaskState::exited) cpus += jobs_.at(task.job).spec.cpus;
  return cpus;
}

// Stops the task, with a checkpoint if the grace period is long enough to write one. A repeated
// command during the checkpoint has an effect only if its grace period is zero.
void SimulatedCluster::stop_task(SimulatedWorker& w, const wire::TaskId& task, double grace_s) {
  auto& t = w.tasks.at(task);
  if (t.state == TaskState::exited) return;
  const auto& spec = jobs_.at(task.job).spec;
  const bool saves = spec.checkpoint_interval_s > 0 && grace_s >= spec.checkpoint_write_s;
  if (t.state == TaskState::running && saves) {
    t.state = TaskState::checkpointing;
    t.state_since = now_;
    w.changed_since_heartbeat = true;
  } else if (t.state != TaskState::checkpointing || grace_s <= 0) {
    end_task(w, task, t.attempt, ExitCause::stopped, false);
  }
}

// ---- steps ----

void SimulatedCluster::step_worker(SimulatedWorker& w) {
  if (w.preempted_at && now_ >= w.preempted_at) {
    w.dead = true;
    clear_tasks(w);
    cloud_->machines.erase(w.id);
    return;
  }
  std::vector<wire::TaskId> tasks;
  for (const auto& [task, t] : w.tasks) tasks.push_back(task);
  for (const auto& task : tasks) step_task(w, task);
}

void SimulatedCluster::step_task(SimulatedWorker& w, const wire::TaskId& task) {
  auto& t = w.tasks.at(task);
  switch (t.state) {
    case TaskState::fetching:
      if (static_cast<double>(now_ - t.state_since) >= kImageFetchMs) finish_fetch(w, task);
      break;
    case TaskState::waiting:
      if (now_ - t.state_since > static_cast<Ms>(settings_.gang_wait_s * 1000))
        end_task(w, task, t.attempt, ExitCause::alone, false);
      break;
    case TaskState::running:
      // step_gangs() runs the tasks of gangs.
      if (!jobs_.at(task.job).spec.is_gang()) run_task(w, task);
      break;
    case TaskState::checkpointing:
      finish_checkpoint(w, task);
      break;
    case TaskState::exited:
      break;
  }
}

// Handles the end of the image fetch: the task fails, completes, runs or waits for its gang.
void SimulatedCluster::finish_fetch(SimulatedWorker& w, const wire::TaskId& task) {
  auto& t = w.tasks.at(task);
  auto& job = jobs_.at(task.job);
  check_start(w, task);
  if (job.first_start_at == 0) job.first_start_at = now_;
  if (const auto lost = lease_expired_at_.find(task); lost != lease_expired_at_.end()) {
    result_.restarts_during_zone_cut += cut_zone_.empty() ? 0 : 1;
    lease_expired_at_.erase(lost);
  }
  t.active = true;
  history_.add(now_, history::TaskStarted{task, w.id});
  t.state_since = now_;
  if (w.fails_tasks || job.fails_everywhere) {
    end_task(w, task, t.attempt, ExitCause::error, false);
  } else if (job.completed.contains(task.index) || w.completed_replicas.contains(task)) {
    end_task(w, task, t.attempt, ExitCause::done, false);
  } else {
    t.state = job.spec.is_gang() ? TaskState::waiting : TaskState::running;
    t.work_ms = job.progress[task.index];
    if (job.spec.is_service()) on_replica_start(w, task);
    w.changed_since_heartbeat = true;
  }
}

void SimulatedCluster::run_task(SimulatedWorker& w, const wire::TaskId& task) {
  auto& t = w.tasks.at(task);
  auto& job = jobs_.at(task.job);
  if (t.exits_at != 0 && now_ >= t.exits_at) return exit_replica(w, task);
  t.work_ms += static_cast<double>(options_.worker_step_ms);
  double& saved = job.progress[task.index];
  saved = std::max(saved, progress_at_checkpoint(job, t.work_ms));
  if (t.work_ms < job.work_of(task.index)) return;
  job.completed.insert(task.index);
  end_task(w, task, t.attempt, ExitCause::done, false);
  if (job.completed.size() == job.spec.tasks) on_last_task_ended(task.job);
}

// The part of the work that the last periodic checkpoint contains.
double SimulatedCluster::progress_at_checkpoint(const SubmittedJob& job, double work_ms) {
  const double interval_ms = job.spec.checkpoint_interval_s * 1000;
  return interval_ms > 0 ? std::floor(work_ms / interval_ms) * interval_ms : 0;
}

void SimulatedCluster::finish_checkpoint(SimulatedWorker& w, const wire::TaskId& task) {
  const auto& t = w.tasks.at(task);
  auto& job = jobs_.at(task.job);
  if (now_ - t.state_since < static_cast<Ms>(job.spec.checkpoint_write_s * 1000)) return;
  job.progress[task.index] = std::max(job.progress[task.index], t.work_ms);
  end_task(w, task, t.attempt, ExitCause::stopped, true);
}

void SimulatedCluster::end_task(SimulatedWorker& w, const wire::TaskId& task, std::uint64_t attempt,
                                ExitCause cause, bool saved) {
  const auto found = w.tasks.find(task);
  if (found == w.tasks.end() || found->second.attempt != attempt) return;
  history_.add(now_, history::TaskEnded{task, w.id, cause == ExitCause::done});
  auto& t = found->second;
  t.state = TaskState::exited;
  t.cause = cause;
  t.saved = saved;
  t.active = false;
  w.changed_since_heartbeat = true;
  w.next_heartbeat_at = std::min(w.next_heartbeat_at, now_ + 250);
  if (saved) ++result_.checkpointed_stops;
}

// Counts lease expiries after which the controllers must restart the task elsewhere, as soon as
// they can prove the expiry.
void SimulatedCluster::record_lease_expiry(const wire::TaskId& task) {
  const SubmittedJob& job = jobs_.at(task.job);
  if (job.spec.is_gang() || job.cancel_requested || job.completed.contains(task.index)) return;
  lease_expired_at_[task] = now_;
  ++result_.lease_expiries;
}

// ---- gangs ----

// The tasks of a gang that have the same attempt start together and end together.
void SimulatedCluster::step_gangs() {
  std::map<std::string, std::map<std::uint64_t, GangMembers>> gangs;  // by job and attempt
  for (auto& [id, w] : workers_) {
    if (w->dead || !w->up) continue;
    for (auto& [task, t] : w->tasks)
      if (t.state != TaskState::exited && jobs_.at(task.job).spec.is_gang())
        gangs[task.job][t.attempt].emplace_back(w.get(), task);
  }
  for (const auto& [id, attempts] : gangs)
    for (const auto& [attempt, members] : attempts) step_gang(id, members);
}

void SimulatedCluster::step_gang(const std::string& id, const GangMembers& members) {
  const SubmittedJob& job = jobs_.at(id);
  const auto count = [&](TaskState state) {
    return static_cast<std::uint32_t>(std::count_if(
        members.begin(), members.end(), [&](const auto& m) { return task_of(m).state == state; }));
  };
  const bool whole = members.size() == job.spec.tasks;
  const bool hanging =
      std::any_of(members.begin(), members.end(), [](const auto& m) { return m.first->hanging; });
  if (whole && count(TaskState::waiting) == job.spec.tasks && !hanging) {
    start_gang(job, members);
  } else if (count(TaskState::running) > 0 && (!whole || hanging)) {
    end_gang_without_peers(members);
  } else if (whole && count(TaskState::running) == job.spec.tasks) {
    run_gang(id, members);
  }
}

void SimulatedCluster::start_gang(const SubmittedJob& job, const GangMembers& members) {
  for (const auto& m : members) {
    task_of(m).state = TaskState::running;
    task_of(m).work_ms = job.gang_progress;
    m.first->changed_since_heartbeat = true;
  }
}

// After the gang lost a task, each remaining task exits once the setting gang_peer_s has elapsed.
void SimulatedCluster::end_gang_without_peers(const GangMembers& members) {
  for (const auto& m : members) {
    auto& t = task_of(m);
    if (t.state != TaskState::running) continue;
    if (t.exit_without_peers_at == 0)
      t.exit_without_peers_at = now_ + static_cast<Ms>(settings_.gang_peer_s * 1000);
    if (now_ >= t.exit_without_peers_at && !m.first->hanging)
      end_task(*m.first, m.second, t.attempt, ExitCause::peers, false);
  }
}

void SimulatedCluster::run_gang(const std::string& id, const GangMembers& members) {
  SubmittedJob& job = jobs_.at(id);
  for (const auto& m : members) task_of(m).work_ms += static_cast<double>(options_.check_every_ms);
  const double work = task_of(members.front()).work_ms;
  job.gang_progress = std::max(job.gang_progress, progress_at_checkpoint(job, work));
  if (work < job.work_ms) return;
  for (std::uint32_t i = 0; i < job.spec.tasks; ++i) job.completed.insert(i);
  for (const auto& m : members)
    end_task(*m.first, m.second, task_of(m).attempt, ExitCause::done, false);
  on_last_task_ended(id);
}

}  // namespace scheduler::sim
