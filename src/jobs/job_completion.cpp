#include "jobs/job_completion.h"

#include <algorithm>
#include <utility>

namespace scheduler {

bool JobCompletion::has_ended(const Job& job) {
  if (job.placed_tasks() != 0 || !job.covers_all_tasks()) return false;
  if (job.record.cancelled) return true;
  return std::all_of(job.ranges.begin(), job.ranges.end(),
                     [](const auto& range) { return range.second.complete(); });
}

void JobCompletion::tick(Ms now) {
  if (!context_.can_write(now) || jobs_to_check_.empty()) return;
  std::set<std::string> recheck;
  for (const auto& id : std::exchange(jobs_to_check_, {})) {
    const auto entry = context_.replica.jobs().find(id);
    if (entry == context_.replica.jobs().end()) {
      failure_tracker_.forget_job(id);
      continue;
    }
    if (!context_.is_leader_of(wire::job_key(id))) {
      // Only the leader completes the job. Every new view triggers another check of all jobs; while
      // the view has no live controllers, the job stays in the set.
      if (context_.cluster_view.live().empty()) recheck.insert(id);
      continue;
    }
    const Job& job = entry->second;
    // An unknown job has no record but still has ranges: one transaction could not remove all of
    // them with the job. The remaining ones are removed now.
    const bool must_end = !job.known || has_ended(job);
    if (must_end && !final_state_writes_.contains(id)) write_final_state(id, job);
  }
  jobs_to_check_.insert(recheck.begin(), recheck.end());
}

void JobCompletion::write_final_state(const std::string& id, const Job& job) {
  Transaction transaction;
  transaction.conditions = {context_.view_unchanged()};
  const std::string final_key = wire::final_state_key(id);
  const std::string key = wire::job_key(id);
  // Every range is a condition if the job has no more ranges than a transaction can compare.
  // Otherwise only the removed ranges are conditions, which is safe: a finished range never
  // changes, and once the watch has delivered a cancellation no task can be placed any more, since
  // every placement has the job's record as a condition.
  const bool compare_all_ranges = job.known && job.ranges.size() <= planner_.max_ranges();
  if (job.known && !compare_all_ranges && job.record.cancelled &&
      !context_.state_client.has_applied(key)) {
    jobs_to_check_.insert(id);
    return;
  }
  if (job.known) {
    wire::FinalStateRecord record;
    record.done = !job.record.cancelled;
    record.tasks = job.record.spec.tasks;
    transaction.conditions.push_back({final_key, 0});
    transaction.conditions.push_back(context_.state_client.unchanged(key));
    transaction.writes.push_back({final_key, encode(record), std::nullopt});
    transaction.writes.push_back({key, std::nullopt, std::nullopt});
  } else {
    transaction.conditions.push_back(
        {key, 0});  // the state service confirms that the job has no record
  }
  for (const auto& [number, task_range] : job.ranges) {
    const std::string range = wire::range_key(id, number);
    // Ranges that don't fit into this transaction are removed by a later one.
    const bool remove_range =
        static_cast<int>(transaction.writes.size()) < context_.settings.txn_ops &&
        !job.unrecorded_ranges.contains(number);
    if (compare_all_ranges || remove_range)
      transaction.conditions.push_back(context_.state_client.unchanged(range));
    if (remove_range) transaction.writes.push_back({range, std::nullopt, std::nullopt});
  }
  final_state_writes_.insert(id);
  transaction.done = [this, id](Ms at, TxnResult result, const auto&) {
    if (result == TxnResult::committed) {
      final_state_writes_.erase(id);
      jobs_to_check_.insert(id);
      return;
    }
    context_.state_client.barrier_read_with_retries(at, [this, id](Ms) {
      final_state_writes_.erase(id);
      jobs_to_check_.insert(id);
    });
  };
  context_.state_client.submit(std::move(transaction));
}

}  // namespace scheduler
