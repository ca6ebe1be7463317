// Checks of the invariants of PROTOCOL, at every step of a run.
#include <algorithm>

#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"
#include "wire/messages.h"
#include "wire/records.h"

namespace scheduler::sim {

void SimulatedCluster::check_start(const SimulatedWorker& w, const wire::TaskId& task) {
  auto& job = jobs_.at(task.job);
  const std::string name = wire::task_name(task.job, task.index);
  if (!job.accepted && !job.cancel_requested && job.spec.id.empty())
    report_violation("invented", name);
  check_cancelled_start(job, task, w);
  if (w.spot && !job.spec.spot) report_violation("wrong_place", name + " on a spot machine");
  if (!job.spec.zone.empty() && w.zone != job.spec.zone)
    report_violation("wrong_place", name + " in " + w.zone);
  check_runs_once(w, task);
  if (job.spec.one_zone || job.spec.spread) check_zones(w, task);
}

void SimulatedCluster::check_runs_once(const SimulatedWorker& w, const wire::TaskId& task) {
  for (const auto& id : started_on_[task]) {
    const SimulatedWorker& other = *workers_.at(id);
    const auto there = other.tasks.find(task);
    if (&other != &w && !other.dead && there != other.tasks.end() && there->second.active)
      report_violation("ran_twice", wire::task_name(task.job, task.index) + " starts on " + w.id +
                                        " while active on " + id);
  }
}

// Checks the zones of a job whose tasks must all be in one zone or be spread over zones.
void SimulatedCluster::check_zones(const SimulatedWorker& w, const wire::TaskId& task) {
  const auto& spec = jobs_.at(task.job).spec;
  const std::string name = wire::task_name(task.job, task.index);
  std::size_t here = 1;
  for (const auto& [id, other] : workers_) {
    if (other->dead) continue;
    for (const auto& [t, state] : other->tasks) {
      if (t.job != task.job || !state.active || t.index == task.index) continue;
      if (spec.one_zone && other->zone != w.zone)
        report_violation("wrong_place",
                         name + " starts in " + w.zone + ", other tasks are in " + other->zone);
      if (other->zone == w.zone) ++here;
    }
  }
  if (spec.spread && here > (spec.tasks + 1) / 2)
    report_violation("wrong_place", name + ": more than half of the tasks in " + w.zone);
}

// No task of a job may start, however briefly, once the cancellation was confirmed to the user.
void SimulatedCluster::check_cancelled_start(const SubmittedJob& job, const wire::TaskId& task,
                                             const SimulatedWorker& w) {
  if (job.reported_cancelled)
    report_violation("started_cancelled", wire::task_name(task.job, task.index) + " on " + w.id);
}

// The reason why the job can never run; "": it can run.
std::string SimulatedCluster::reason_never_to_run(const wire::JobSpec& s) const {
  const auto team = std::find_if(settings_.teams.begin(), settings_.teams.end(),
                                 [&](const auto& t) { return t.name == s.team; });
  const bool zone =
      s.zone.empty() || std::find(std::begin(kZones), std::end(kZones), s.zone) != std::end(kZones);
  if (s.cpus > kMachineCpus || s.gpus > 0 || s.memory_gb > kMachineMemoryGb || !zone ||
      team == settings_.teams.end())
    return "fits no machine, zone or team";
  const bool all_at_once = s.is_gang() || s.is_service();
  if (team->cpus_max > 0 && s.cpus * (all_at_once ? s.tasks : 1) > team->cpus_max)
    return "exceeds its team's quota";
  if (s.is_gang() && s.spread && s.tasks > 1 && (s.one_zone || !s.zone.empty()))
    return "is spread, but limited to one zone";
  return "";
}

// A job that can never run must not be accepted.
void SimulatedCluster::check_accepted(const SubmittedJob& job) {
  const std::string reason = reason_never_to_run(job.spec);
  if (!reason.empty()) report_violation("accepted_wrong", job.spec.id + " " + reason);
}

double SimulatedCluster::free_cpus(const SimulatedWorker& w) const {
  if (!w.up || w.dead || w.hanging || w.preempted_at) return 0;
  return kMachineCpus - cpus_in_use(w);
}

// Whether the job could start now: one task of an array, or all tasks of a gang.
bool SimulatedCluster::has_capacity(const SubmittedJob& job,
                                    const std::map<std::string, double>& used) const {
  const auto& s = job.spec;
  const std::size_t needed = s.is_gang() ? s.tasks : 1;
  for (const auto& t : settings_.teams) {
    auto u = used.find(t.name);
    if (t.name == s.team && t.cpus_max > 0 &&
        (u == used.end() ? 0 : u->second) + static_cast<double>(needed) * s.cpus > t.cpus_max)
      return false;
  }
  std::map<std::string, std::size_t> places;  // by zone
  for (const auto& [id, w] : workers_)
    if ((s.spot || !w->spot) && (s.zone.empty() || s.zone == w->zone))
      places[w->zone] += static_cast<std::size_t>(std::max(0.0, free_cpus(*w)) / s.cpus);
  std::size_t all = 0;
  std::size_t most = 0;
  for (const auto& [zone, n] : places) {
    all += s.spread ? std::min<std::size_t>(n, (s.tasks + 1) / 2) : n;
    most = std::max(most, n);
  }
  return (s.one_zone ? most : all) >= needed;
}

// CPUs in use by team, including tasks that still fetch their image.
std::map<std::string, double> SimulatedCluster::used_cpus() const {
  std::map<std::string, double> used;
  for (const auto& [id, w] : workers_)
    for (const auto& [task, t] : w->tasks)
      if (!w->dead && t.state != TaskState::exited)
        used[jobs_.at(task.job).spec.team] += jobs_.at(task.job).spec.cpus;
  return used;
}

void SimulatedCluster::check_waiting() {
  constexpr Ms kMaxWaitMs = 90'000;
  const std::map<std::string, double> used = used_cpus();
  std::set<std::string> placed;
  for (const auto& [id, w] : workers_)
    for (const auto& [task, t] : w->tasks)
      if (!w->dead && t.state != TaskState::exited) placed.insert(task.job);
  for (auto& [id, j] : jobs_) {
    // Jobs that fail on every machine wait because of the back-off between attempts.
    const bool waits = j.accepted && !j.cancel_requested && !j.fails_everywhere &&
                       !placed.contains(id) && j.completed.size() < j.spec.tasks &&
                       has_capacity(j, used);
    if (!waits) j.waiting_since = 0;
    if (waits && j.waiting_since == 0) j.waiting_since = now_;
    if (waits && now_ - j.waiting_since > kMaxWaitMs) {
      report_violation("waited", id + ": not started for 90 s despite free capacity");
      j.waiting_since = now_;
    }
  }
  const bool ended = std::all_of(jobs_.begin(), jobs_.end(), [](const auto& entry) {
    const SubmittedJob& j = entry.second;
    return !j.accepted || j.reported_done || j.reported_cancelled;
  });
  if (options_.until_finished && ended && finished_since_ == 0) finished_since_ = now_;
}

void SimulatedCluster::check_all() {
  std::map<std::string, double> used;
  for (auto& [id, w] : workers_) {
    if (w->dead || !w->up) continue;
    expire_worker_lease(*w);  // the lease of a hanging machine expires too
    for (const auto& [task, t] : w->tasks) {
      if (!t.active) continue;
      const auto& job = jobs_.at(task.job);
      used[job.spec.team] += job.spec.cpus;
      if (job.cancel_confirmed_at && now_ - job.cancel_confirmed_at > to_ms(settings_.cancel_s))
        report_violation("ran_cancelled", wire::task_name(task.job, task.index) + " on " + id);
    }
  }
  if (recovering_) check_reads_answered();
  check_quotas(used);
}

void SimulatedCluster::check_reads_answered() {
  for (auto& [id, j] : jobs_) {
    if (!j.accepted || now_ - j.last_reply_at <= 75'000) continue;
    report_violation("forgotten", id + ": no reply to any request for 75 s");
    j.last_reply_at = now_;
  }
}

void SimulatedCluster::check_quotas(const std::map<std::string, double>& used) {
  for (const auto& [team, cpus] : used)
    result_.peak_cpus_by_team[team] = std::max(result_.peak_cpus_by_team[team], cpus);
  for (const auto& t : settings_.teams) {
    const auto of_team = used.find(t.name);
    const double cpus = of_team == used.end() ? 0 : of_team->second;
    if (t.cpus_max > 0 && cpus > t.cpus_max + 1e-6)
      report_violation("quota", t.name + " uses " + std::to_string(cpus));
  }
}

void SimulatedCluster::record_final_state(const std::string& key,
                                          const std::optional<std::string>& value) {
  if (!key.starts_with(wire::kFinalStatePrefix)) return;
  const std::string id = key.substr(wire::kFinalStatePrefix.size());
  if (!value) {
    history_.add(now_, history::ResultRemoved{id});
    return;
  }
  if (const auto record = wire::decode<wire::FinalStateRecord>(*value))
    history_.add(now_, history::ResultRecorded{id, record->done});
}

// Every job reported as ended must have a recorded final state. If a run ends before all jobs have
// ended, only the recorded history is checked.
void SimulatedCluster::report_history() {
  // A cancellation is recorded in the job record; its final state is written when the write rate
  // allows it.
  for (const auto& [key, item] : state_->items) {
    if (!key.starts_with(wire::kJobPrefix)) continue;
    const auto record = wire::decode<wire::JobRecord>(item.value);
    if (record && record->cancelled)
      history_.add(now_, history::ResultRecorded{record->spec.id, false});
  }
  if (result_.unfinished.empty()) history_.finish(now_);
  for (const auto& finding : history_.findings())
    report_violation("history", std::string(history::name(finding.fault)) + " " + finding.what);
}

void SimulatedCluster::on_job_state(const std::string& id, const std::string& status,
                                    Ms requested_at) {
  auto& job = jobs_.at(id);
  history_.add(now_, history::JobStateReported{id,
                                               status == "done"        ? wire::JobState::done
                                               : status == "withdrawn" ? wire::JobState::cancelled
                                                                       : wire::JobState::running,
                                               requested_at});
  if (status == "done") {
    if (job.spec.is_service()) report_violation("not_done", id + " is a service");
    if (job.completed.size() < job.spec.tasks) report_violation("not_done", id);
    if (job.reported_cancelled) report_violation("went_back", id + " cancelled, then done");
    if (!job.reported_done) job.end_reported_at = now_;
    job.reported_done = true;
  } else if (status == "withdrawn") {
    if (job.reported_done) report_violation("went_back", id + " done, then cancelled");
    if (!job.cancel_requested) report_violation("went_back", id + " cancelled without a request");
    if (!job.reported_cancelled) {
      job.cancel_confirmed_at = job.end_reported_at = now_;
      result_.cancellations.emplace_back(job.cancel_requested_at, now_);
    }
    job.reported_cancelled = true;
  } else if (status != "pending" && status != "running") {
    report_violation("answer", id + " has the status " + status);
  } else if ((job.reported_done || job.reported_cancelled) && requested_at > job.end_reported_at) {
    // Only for requests sent after the end was reported: replies to earlier requests may arrive
    // later.
    report_violation("went_back", id + " ended, then " + status);
  }
}

}  // namespace scheduler::sim
