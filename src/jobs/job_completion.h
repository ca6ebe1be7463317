// Completion of jobs: writes the final state of jobs that have ended and removes their records.
#pragma once

#include <set>
#include <string>

#include "membership/context.h"
#include "scheduling/range_planner.h"
#include "workers/failure_tracker.h"

namespace scheduler {

// Only the controller that is the leader for the job's key writes the final state, `over/ID`.
class JobCompletion {
 public:
  JobCompletion(const Context& context, const RangePlanner& planner, FailureTracker& failures)
      : context_(context), planner_(planner), failure_tracker_(failures) {}

  // Called when a record of the job, or the job's leader, has changed.
  void check(const std::string& job) { jobs_to_check_.insert(job); }
  // Writes the final state of those jobs to be checked that have ended.
  void tick(Ms now);

 private:
  // Whether every task is done, or the job is cancelled and the records show that no task is left.
  static bool has_ended(const Job& job);
  void write_final_state(const std::string& id, const Job& job);

  const Context& context_;
  const RangePlanner& planner_;
  FailureTracker& failure_tracker_;
  std::set<std::string> jobs_to_check_;
  std::set<std::string> final_state_writes_;  // jobs whose final state is being written
};

}  // namespace scheduler
