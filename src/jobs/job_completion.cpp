#include "jobs/job_completion.h"

#include <algorithm>
#include <utility>

namespace scheduler {

bool JobCompletion::is_over(const Job& job) {
  if (job.placed_tasks() != 0 || !job.whole()) return false;
  if (job.record.cancelled) return true;
  return std::all_of(job.ranges.begin(), job.ranges.end(),
                     [](const auto& range) { return range.second.complete(); });
}

void JobCompletion::tick(Ms now) {
  if (!context_.can_write(now) || jobs_to_check_.empty()) return;
  std::set<std::string> again;
  for (const auto& id : std::exchange(jobs_to_check_, {})) {
    const auto entry = context_.replica.jobs().find(id);
    if (entry == context_.replica.jobs().end()) {
      failure_tracker_.forget_job(id);
      continue;
    }
    if (!context_.is_leader_of(wire::job_key(id))) {
      // Looked at again when the view changes; cheap enough to keep.
      if (context_.cluster_view.live().empty()) again.insert(id);
      continue;
    }
    const Job& job = entry->second;
    // Ranges that outlived their job, more than one transaction could remove, are removed as well.
    const bool to_end = !job.known || is_over(job);
    if (to_end && !finishing_.contains(id)) write_final_state(id, job);
  }
  jobs_to_check_.insert(again.begin(), again.end());
}

void JobCompletion::write_final_state(const std::string& id, const Job& job) {
  Transaction transaction;
  transaction.conditions = {context_.view_unchanged()};
  const std::string final_key = wire::final_state_key(id);
  const std::string key = wire::job_key(id);
  // Each range is a condition as far as conditions go. Beyond that they are not needed: a finished
  // range never changes, and once the watch has passed a cancellation nothing can be placed any
  // more, since every placement has the job's record as a condition.
  const bool compare_all = job.known && job.ranges.size() <= planner_.max_ranges();
  if (job.known && !compare_all && job.record.cancelled &&
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
        {key, 0});  // that there is no such job is the store's word, not ours
  }
  for (const auto& [number, r] : job.ranges) {
    const std::string range = wire::range_key(id, number);
    // Those beyond one transaction are removed by a later one.
    const bool remove = static_cast<int>(transaction.writes.size()) < context_.settings.txn_ops &&
                        !job.unrecorded_ranges.contains(number);
    if (compare_all || remove)
      transaction.conditions.push_back(context_.state_client.unchanged(range));
    if (remove) transaction.writes.push_back({range, std::nullopt, std::nullopt});
  }
  finishing_.insert(id);
  transaction.done = [this, id](Ms at, TxnResult result, const auto&) {
    if (result == TxnResult::committed) {
      finishing_.erase(id);
      jobs_to_check_.insert(id);
      return;
    }
    context_.state_client.wait_until_settled(at, [this, id](Ms) {
      finishing_.erase(id);
      jobs_to_check_.insert(id);
    });
  };
  context_.state_client.submit(std::move(transaction));
}

}  // namespace scheduler
