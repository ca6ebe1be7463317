#include "scheduling/start_deadlines.h"

#include <algorithm>
#include <optional>

namespace scheduler {

namespace {

// Remaining seconds to start a task in time below which running work may be lost to preemption for
// that task.
constexpr double kUrgentStartWindowS = 6.0;
// Minimum CPUs per task when the amount of waiting work is computed.
constexpr double kMinCpusCounted = 0.1;
// Seconds; further away than any objective.
constexpr double kNoDeadlineS = 1e9;

// Whether the objective counts completed jobs, not started tasks.
bool counts_completions(const Objective& objective) {
  return objective.kind == ObjectiveKind::deadline || objective.kind == ObjectiveKind::finished;
}

// Returns the seconds after the job's submission by which its tasks must have started to meet the
// objective, if the objective limits the start.
std::optional<double> latest_start_s(const Objective& objective, const wire::JobSpec& spec) {
  switch (objective.kind) {
    case ObjectiveKind::wait:
      return objective.within_s;
    case ObjectiveKind::deadline:
      if (!spec.deadline_s) return std::nullopt;
      return *spec.deadline_s * objective.deadline_factor - spec.estimate_s;
    case ObjectiveKind::finished:
      return objective.within_s - spec.estimate_s;
    case ObjectiveKind::up:
      break;
  }
  return std::nullopt;
}

// CPU seconds of the job's tasks that are not placed yet, by the estimate.
double waiting_work(const Job& job) {
  const wire::JobSpec& spec = job.record.spec;
  const std::uint64_t done_or_placed = job.done_tasks() + job.placed_tasks();
  const std::uint64_t unplaced = spec.tasks - std::min<std::uint64_t>(spec.tasks, done_or_placed);
  return static_cast<double>(unplaced) * spec.estimate_s * std::max(spec.cpus, kMinCpusCounted);
}

}  // namespace

PendingJob pending_job(const Settings& settings, const Job& job, double age_s) {
  const wire::JobSpec& spec = job.record.spec;
  PendingJob pending;
  pending.age_s = age_s;
  pending.work_cpu_s = waiting_work(job);
  if (spec.is_service()) {
    // Every second without a replica counts, regardless of the job's age.
    pending.latest_starts_s.push_back(0);
    pending.priority = static_cast<int>(spec.priority);
    return pending;
  }
  bool completion_objective_open = false;
  bool has_completion_objective = false;
  for (const Objective& objective : settings.objectives) {
    if (objective.job_class != spec.job_class) continue;
    const bool completion = counts_completions(objective);
    has_completion_objective = has_completion_objective || completion;
    const std::optional<double> latest_s = latest_start_s(objective, spec);
    if (!latest_s || *latest_s - age_s < 0) continue;
    pending.latest_starts_s.push_back(*latest_s - age_s);
    completion_objective_open = completion_objective_open || completion;
  }
  if (!has_completion_objective)
    pending.latest_starts_s.push_back(std::max(0.0, kDefaultHorizonS - spec.estimate_s - age_s));
  std::sort(pending.latest_starts_s.begin(), pending.latest_starts_s.end());
  // While its class has a completion objective that can be met, a low-priority job shares one queue
  // with standard work (docs/design.md). It still preempts nothing and may be preempted.
  const wire::Priority priority =
      completion_objective_open ? std::max(spec.priority, wire::Priority::normal) : spec.priority;
  pending.priority = static_cast<int>(priority);
  return pending;
}

bool is_urgent(const Settings& settings, const wire::JobSpec& spec, double age_s) {
  if (spec.is_service()) return true;
  double left_s = kNoDeadlineS;
  for (const Objective& objective : settings.objectives) {
    if (objective.job_class != spec.job_class) continue;
    const std::optional<double> latest_s = latest_start_s(objective, spec);
    if (latest_s && *latest_s > age_s) left_s = std::min(left_s, *latest_s - age_s);
  }
  return left_s < kUrgentStartWindowS;
}

}  // namespace scheduler
