#include "workers/failure_tracker.h"

#include <algorithm>

namespace scheduler {

namespace {

// Milliseconds for which a machine that has a replica's result is avoided for its job: the worker
// keeps the result for good, and would end each further attempt at once.
constexpr std::int64_t kKeptResultMemoryMs = 3'600'000;
// Jobs whose tasks must have failed on a machine before it is quarantined.
constexpr std::size_t kQuarantineJobs = 2;
// Machines on which tasks of a job must have failed before the job counts as faulty itself.
constexpr std::size_t kFaultyJobMachines = 2;

}  // namespace

void FailureTracker::note_error(Ms now, const std::string& machine, const std::string& job) {
  JobErrors& j = jobs_[job];
  j.machines[machine] = now;
  ++j.in_a_row;
  if (j.machines.size() >= kFaultyJobMachines) back_off(now, j);
}

void FailureTracker::back_off(Ms now, JobErrors& errors) {
  const Ms wait = kJobBackoffMs << std::min(errors.in_a_row - 1, 10);
  errors.next_attempt_at = now + std::min(wait, kJobBackoffMostMs);
}

void FailureTracker::on_early_exit(Ms now, const std::string& machine, const std::string& job) {
  note_error(now, machine, job);
  back_off(now, jobs_[job]);
}

void FailureTracker::on_result_kept(Ms now, const std::string& machine,
                                    const wire::TaskId& replica) {
  results_[machine][replica] = now;
}

bool FailureTracker::has_kept_result(Ms now, const std::string& machine,
                                     const wire::TaskId& replica) const {
  const auto kept = results_.find(machine);
  if (kept == results_.end()) return false;
  const auto ended = kept->second.find(replica);
  return ended != kept->second.end() && now - ended->second < kKeptResultMemoryMs;
}

void FailureTracker::on_stable(const std::string& job) { jobs_.erase(job); }

bool FailureTracker::failed(Ms now, const std::string& machine, const std::string& job) {
  note_error(now, machine, job);
  auto& m = machines_[machine];
  m[job] = now;
  std::erase_if(m, [now](const auto& e) { return now - e.second > kFailureMemoryMs; });
  // A job that fails wherever it runs says nothing about the machine.
  const auto telling =
      std::count_if(m.begin(), m.end(), [this](const auto& e) { return !is_faulty_job(e.first); });
  return static_cast<std::size_t>(telling) >= kQuarantineJobs;
}

void FailureTracker::completed(const std::string& machine, const std::string& job) {
  jobs_.erase(job);
  machines_.erase(machine);
}

Ms FailureTracker::next_attempt_at(const std::string& job) const {
  auto it = jobs_.find(job);
  return it == jobs_.end() ? 0 : it->second.next_attempt_at;
}

bool FailureTracker::has_failed_on(Ms now, const std::string& machine, const std::string& job,
                                   Ms failure_memory) const {
  const auto errors = machines_.find(machine);
  if (errors == machines_.end()) return false;
  const auto last = errors->second.find(job);
  return last != errors->second.end() && now - last->second < failure_memory;
}

bool FailureTracker::is_faulty_job(const std::string& job) const {
  auto it = jobs_.find(job);
  return it != jobs_.end() && it->second.machines.size() >= kFaultyJobMachines;
}

void FailureTracker::forget_job(const std::string& job) {
  jobs_.erase(job);
  for (auto& [machine, replicas] : results_)
    std::erase_if(replicas, [&job](const auto& entry) { return entry.first.job == job; });
  std::erase_if(results_, [](const auto& entry) { return entry.second.empty(); });
}
void FailureTracker::forget_machine(const std::string& machine) {
  machines_.erase(machine);
  results_.erase(machine);
}

}  // namespace scheduler
