// Services: submission, exits of replicas, and the check that replicas run.
#include <algorithm>
#include <cmath>

#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"
#include "wire/messages.h"

namespace scheduler::sim {

namespace {
constexpr double kEndlessWorkMs = 1e12;   // work of a replica, which never completes
constexpr Ms kMaxReplicaDownMs = 20'000;  // limit in the second phase, despite capacity
constexpr double kOverQuotaShare = 0.04;  // share of services that exceed their team's quota
// Share of services; the others run into the second phase.
constexpr double kCancelledEarlyShare = 0.5;
}  // namespace

bool SimulatedCluster::next_job_is_service() {
  return options_.services > 0 && now_ > services_from_ && chance(options_.services);
}

void SimulatedCluster::submit_random_service() {
  SubmittedJob job;
  auto& s = job.spec;
  s.id = "req-" + six_digits(next_job_++);
  s.job_class = "standing";
  s.team = chance(0.4) ? "tight" : "free";
  s.shape = wire::JobShape::service;
  s.priority = wire::Priority::production;
  s.tasks = 1 + static_cast<std::uint32_t>(random(6));
  s.cpus = 1 + random(4);
  s.memory_gb = 1;
  s.image = "i" + std::to_string(random(4));
  s.image_gb = 0.4;
  switch (random(5)) {
    case 0:
      s.spread = true;
      break;
    case 1:
      s.one_zone = true;
      break;
    case 2:
      s.zone = kZones[random(3)];
      break;
    default:
      break;
  }
  s.spot = chance(0.5);
  if (chance(0.2)) {
    s.checkpoint_interval_s = 2;
    s.checkpoint_write_s = 1;
  }
  if (chance(kOverQuotaShare)) {
    s.team = "tight";
    s.tasks = static_cast<std::uint32_t>(options_.tight_team_cpus / s.cpus) + 1;
  }
  job.work_ms = kEndlessWorkMs;
  job.fails_everywhere = chance(options_.failing_jobs);
  job.submitted_at = now_;
  const bool early = chance(kCancelledEarlyShare);
  job.cancel_planned_at = early ? now_ + 20'000 + random(40'000)
                                : options_.fault_ms + options_.services_cancel_delay_ms;
  const std::string id = s.id;
  jobs_[id] = job;
  submit(id, 0);
}

// Checks that a service is refused only if it can never run, and with 422. A controller of the
// production version would reply 400, but users submit services only after the upgrade.
void SimulatedCluster::check_refused(const SubmittedJob& job, int status) {
  if (!job.spec.is_service()) return;
  if (status != 422 || reason_never_to_run(job.spec).empty())
    report_violation("refused_wrong", job.spec.id + " got " + std::to_string(status));
}

void SimulatedCluster::on_replica_start(SimulatedWorker& w, const wire::TaskId& task) {
  const bool first = replicas_started_.insert(task).second;
  if (!first) ++result_.replica_restarts;
  if (const auto lost = replica_lost_at_.find(task); lost != replica_lost_at_.end()) {
    ++result_.replicas_recovered;
    result_.replica_downtime_ms += now_ - lost->second;
    replica_lost_at_.erase(lost);
  }
  if (options_.replica_exit_share <= 0 || !chance(options_.replica_exit_share)) return;
  SimulatedWorker::Task& t = w.tasks.at(task);
  t.exits_at = now_ + 1000 + random(30'000);
  t.exits_with = chance(0.5) ? ExitCause::done : ExitCause::error;
}

void SimulatedCluster::exit_replica(SimulatedWorker& w, const wire::TaskId& task) {
  const SimulatedWorker::Task t = w.tasks.at(task);
  if (t.exits_with == ExitCause::done) w.completed_replicas.insert(task);
  ++result_.replicas_ended;
  end_task(w, task, t.attempt, t.exits_with, false);
}

double SimulatedCluster::used_by(const std::string& team,
                                 const std::map<std::string, double>& used) {
  const auto of_team = used.find(team);
  return of_team == used.end() ? 0 : of_team->second;
}

// Number of the job's tasks that are placed on machines, by zone.
std::map<std::string, std::uint32_t> SimulatedCluster::tasks_by_zone(const std::string& job) const {
  std::map<std::string, std::uint32_t> count;
  for (const auto& [id, w] : workers_) {
    if (w->dead) continue;
    for (const auto& [task, t] : w->tasks)
      if (task.job == job && t.state != TaskState::exited) ++count[w->zone];
  }
  return count;
}

// A machine on which the replica, which is on no machine, could start now; "": there is none.
std::string SimulatedCluster::machine_for_replica(const SubmittedJob& job,
                                                  const wire::TaskId& replica,
                                                  const std::map<std::string, double>& used) const {
  const auto& s = job.spec;
  for (const auto& team : settings_.teams)
    if (team.name == s.team && team.cpus_max > 0 && used_by(s.team, used) + s.cpus > team.cpus_max)
      return "";
  const auto others = tasks_by_zone(replica.job);
  const auto fitting = std::find_if(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const SimulatedWorker& w = *entry.second;
    const std::uint32_t here = others.contains(w.zone) ? others.at(w.zone) : 0;
    if (w.spot && !s.spot) return false;
    if (!s.zone.empty() && w.zone != s.zone) return false;
    if (s.one_zone && !others.empty() && here == 0) return false;
    if (s.spread && here + 1 > (s.tasks + 1) / 2) return false;
    return free_cpus(w) >= s.cpus && !w.completed_replicas.contains(replica);
  });
  return fitting == workers_.end() ? "" : fitting->first;
}

// In the second phase, reports replicas that are down for too long although there is capacity.
void SimulatedCluster::check_services() {
  const std::map<std::string, double> used = used_cpus();
  std::set<wire::TaskId> placed;
  std::set<wire::TaskId> active;
  for (const auto& [id, w] : workers_) {
    if (w->dead || !w->up) continue;
    for (const auto& [task, t] : w->tasks) {
      if (t.state != TaskState::exited) placed.insert(task);
      if (t.active) active.insert(task);
    }
  }
  for (const auto& [id, job] : jobs_) {
    if (!job.spec.is_service() || !job.accepted || job.cancel_requested || job.fails_everywhere)
      continue;
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
      const wire::TaskId replica{id, i};
      check_replica(job, replica, active.contains(replica), placed.contains(replica), used);
    }
  }
}

void SimulatedCluster::check_replica(const SubmittedJob& job, const wire::TaskId& replica,
                                     bool runs, bool placed,
                                     const std::map<std::string, double>& used) {
  const std::string machine = machine_for_replica(job, replica, used);
  const bool could_run = runs || placed || !machine.empty();
  result_.replica_seconds_expected += could_run;
  result_.replica_seconds_running += runs;
  if (runs || !could_run) {
    replica_down_since_.erase(replica);
    return;
  }
  Ms& since = replica_down_since_.emplace(replica, now_).first->second;
  if (now_ - since <= kMaxReplicaDownMs) return;
  report_violation("service_down", wire::task_name(replica.job, replica.index) + ": down since " +
                                       std::to_string(since) + ", capacity on " + machine +
                                       ", team " + job.spec.team + " uses " +
                                       std::to_string(used_by(job.spec.team, used)));
  since = now_;
}

}  // namespace scheduler::sim
