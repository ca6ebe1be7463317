// In which order waiting jobs are served, so that as many as possible meet their class's
// objectives.
#pragma once

#include <cstddef>
#include <vector>

namespace scheduler {

// Share of the fleet's CPUs that forecasts of when waiting work starts count with: fetches, losses
// and wrong estimates take the rest.
constexpr double kForecastShare = 0.65;

// A job with tasks that wait for capacity.
struct PendingJob {
  int priority = 0;   // high first; forecasts count what goes before as work done first
  double work = 0;    // CPU seconds that wait, by the estimate
  double weight = 1;  // what one late job of its class counts for
  double age = 0;     // seconds
  std::vector<double> latest_starts;  // seconds from now by which all must have started, for each
                                      // objective that can still be met; ascending
};

// Places of the jobs, 0 first. Among equals in priority: those that can be in time, the earliest
// first (Moore and Hodgson's rule: whenever one would be late, the one that takes most for its
// weight is put off); then those that cannot, the least work first; then what meets no objective,
// by age.
std::vector<std::size_t> order_by_deadline(const std::vector<PendingJob>& jobs, double cpus);

}  // namespace scheduler
