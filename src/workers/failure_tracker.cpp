#include "workers/failure_tracker.h"

#include <algorithm>

namespace scheduler {

namespace {

// Milliseconds for which a machine that keeps the result of a replica is avoided for this replica.
// The worker keeps the result permanently and would end each further attempt at once.
constexpr std::int64_t kKeptResultMemoryMs = 3'600'000;
// Number of jobs with failed tasks on a machine at which the machine is quarantined.
constexpr std::size_t kQuarantineFailedJobs = 2;
// Number of machines with failed tasks of a job at which the job counts as faulty.
constexpr std::size_t kFaultyJobMachines = 2;

}  // namespace

void FailureTracker::record_failure(Ms now, const std::string& machine, const std::string& job) {
  JobFailures& job_failures = jobs_[job];
  job_failures.machines[machine] = now;
  ++job_failures.consecutive;
  if (job_failures.machines.size() >= kFaultyJobMachines) back_off(now, job_failures);
}

void FailureTracker::back_off(Ms now, JobFailures& failures) {
  const Ms wait = kInitialJobBackoffMs << std::min(failures.consecutive - 1, 10);
  failures.next_attempt_at = now + std::min(wait, kMaxJobBackoffMs);
}

void FailureTracker::on_early_exit(Ms now, const std::string& machine, const std::string& job) {
  record_failure(now, machine, job);
  back_off(now, jobs_[job]);
}

void FailureTracker::on_result_kept(Ms now, const std::string& machine,
                                    const wire::TaskId& replica) {
  kept_results_[machine][replica] = now;
}

bool FailureTracker::has_kept_result(Ms now, const std::string& machine,
                                     const wire::TaskId& replica) const {
  const auto kept = kept_results_.find(machine);
  if (kept == kept_results_.end()) return false;
  const auto ended = kept->second.find(replica);
  return ended != kept->second.end() && now - ended->second < kKeptResultMemoryMs;
}

void FailureTracker::on_replica_stable(const std::string& job) { jobs_.erase(job); }

bool FailureTracker::on_task_failed(Ms now, const std::string& machine, const std::string& job) {
  record_failure(now, machine, job);
  auto& machine_failures = machines_[machine];
  machine_failures[job] = now;
  std::erase_if(machine_failures,
                [now](const auto& e) { return now - e.second > kFailureMemoryMs; });
  // A job that fails wherever it runs says nothing about the machine.
  const auto machine_faults =
      std::count_if(machine_failures.begin(), machine_failures.end(),
                    [this](const auto& e) { return !is_faulty_job(e.first); });
  return static_cast<std::size_t>(machine_faults) >= kQuarantineFailedJobs;
}

void FailureTracker::on_task_completed(const std::string& machine, const std::string& job) {
  jobs_.erase(job);
  machines_.erase(machine);
}

Ms FailureTracker::next_attempt_at(const std::string& job) const {
  auto it = jobs_.find(job);
  return it == jobs_.end() ? 0 : it->second.next_attempt_at;
}

bool FailureTracker::has_failed_on(Ms now, const std::string& machine, const std::string& job,
                                   Ms failure_memory) const {
  const auto failures = machines_.find(machine);
  if (failures == machines_.end()) return false;
  const auto last = failures->second.find(job);
  return last != failures->second.end() && now - last->second < failure_memory;
}

bool FailureTracker::is_faulty_job(const std::string& job) const {
  auto it = jobs_.find(job);
  return it != jobs_.end() && it->second.machines.size() >= kFaultyJobMachines;
}

void FailureTracker::forget_job(const std::string& job) {
  jobs_.erase(job);
  for (auto& [machine, replicas] : kept_results_)
    std::erase_if(replicas, [&job](const auto& entry) { return entry.first.job == job; });
  std::erase_if(kept_results_, [](const auto& entry) { return entry.second.empty(); });
}
void FailureTracker::forget_machine(const std::string& machine) {
  machines_.erase(machine);
  kept_results_.erase(machine);
}

}  // namespace scheduler
