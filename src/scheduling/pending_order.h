// Computes the order in which waiting jobs are served so that as many as possible meet the
// objectives of their class.
#pragma once

#include <cstddef>
#include <vector>

namespace scheduler {

// Share of the fleet's CPUs that is assumed to be available when the start of waiting work is
// forecast; image fetches, lost tasks and wrong estimates take up the rest.
constexpr double kForecastCpuShare = 0.65;

// A job with tasks that wait for capacity.
struct PendingJob {
  int priority = 0;                     // higher values first, in the order and in forecasts
  double work_cpu_s = 0;                // CPU seconds of tasks not yet placed, by the estimate
  double weight = 1;                    // cost of one late job of this class
  double age_s = 0;                     // seconds
  std::vector<double> latest_starts_s;  // seconds from now, ascending: the latest start of all
                                        // tasks for each objective that can still be met
};

// Returns the position of each job in the order, starting at 0. Jobs of equal priority are ordered
// as follows. First come jobs that can meet an objective in time, selected by Moore and Hodgson's
// rule: in order of due time, whenever a job would be late, the job with the most work per weight
// is deferred. Then come jobs that will be late, by ascending work. Jobs that cannot meet any
// objective come after all other jobs, by priority and age.
std::vector<std::size_t> order_by_deadline(const std::vector<PendingJob>& jobs, double cpus);

}  // namespace scheduler
