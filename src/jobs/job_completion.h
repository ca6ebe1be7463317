// The end of jobs: their final state is written, and their records are removed.
#pragma once

#include <set>
#include <string>

#include "membership/context.h"
#include "scheduling/range_planner.h"
#include "workers/failure_tracker.h"

namespace scheduler {

// The one writer of `over/ID`, on the controller that leads the duty of the job's key.
class JobCompletion {
 public:
  JobCompletion(const Context& context, const RangePlanner& planner, FailureTracker& failures)
      : context_(context), planner_(planner), failure_tracker_(failures) {}

  // Something of the job has changed, or its leader has.
  void check(const std::string& job) { jobs_to_check_.insert(job); }
  // Ends jobs of those to be checked that are over.
  void tick(Ms now);

 private:
  // Every task is done, or cancelled and provably gone.
  static bool is_over(const Job& job);
  void write_final_state(const std::string& id, const Job& job);

  const Context& context_;
  const RangePlanner& planner_;
  FailureTracker& failure_tracker_;
  std::set<std::string> jobs_to_check_;
  std::set<std::string> finishing_;  // being written
};

}  // namespace scheduler
