#include "scheduling/work_stealing.h"

#include <utility>

#include "allocation/placement.h"

namespace scheduler {

namespace {

// A range with fewer waiting tasks than kMinTasksForEarlySteal must have waited for
// kStealFewTasksDelayMs milliseconds before another shard may take tasks from it.
constexpr std::size_t kMinTasksForEarlySteal = 8;
constexpr std::int64_t kStealFewTasksDelayMs = 3000;
// Milliseconds for which a range with more waiting tasks must have waited: the owner, which
// receives the range first, gets the first attempt.
constexpr std::int64_t kStealDelayMs = 400;

}  // namespace

bool WorkStealing::may_steal(Ms now, const std::string& id, const Job& job) const {
  const wire::JobSpec& spec = job.record.spec;
  return job.known && !job.record.cancelled && !spec.is_gang() && !spec.one_zone && !spec.spread &&
         job.done_tasks() + job.placed_tasks() < spec.tasks && job.covers_all_tasks() &&
         failure_tracker_.next_attempt_at(id) <= now;
}

bool WorkStealing::has_waited_long_enough(Ms now, const RangeId& id,
                                          const wire::RangeRecord& range) {
  RangeState& state = ranges_[id];
  if (state.first_seen_at == 0) state.first_seen_at = now;
  if (state.write_in_progress || !state.released.empty() || now < state.retry_at) return false;
  // The record exceeds the value size limit; the owner must split it first.
  if (range.placed.size() > planner_.max_placements(range.end - range.begin)) return false;
  // A few tasks are left to their owner for longer, because each steal adds a record.
  const std::size_t waiting_tasks =
      (range.end - range.begin) - range.placed.size() - range.done_count();
  const Ms delay_ms =
      waiting_tasks < kMinTasksForEarlySteal ? kStealFewTasksDelayMs : kStealDelayMs;
  if (now - state.first_seen_at >= delay_ms) return true;
  pass_trigger_.request();
  return false;
}

std::optional<WorkStealing::StealableTasks> WorkStealing::find_stealable_tasks(
    SchedulingPass& pass, const std::string& id, const Job& job) {
  const wire::JobSpec& spec = job.record.spec;
  // Guards against work that stays forever with a shard that has no machine for it: if a job cannot
  // be divided further, whole ranges can still be taken over, which adds no record.
  const bool whole_ranges_only = job.ranges.size() >= planner_.max_ranges();
  double capacity = -1;
  for (const auto& [number, range] : job.ranges) {
    if (range.placed.size() + range.done_count() >= range.end - range.begin) continue;
    const RangeId range_id{id, number};
    const std::string key = wire::range_key(id, number);
    if (context_.cluster_view.range_owner(key, range.owner) == context_.settings.name) continue;
    if (!has_waited_long_enough(pass.now, range_id, range)) continue;
    if (capacity < 0) capacity = free_capacity_for(pass, spec);
    if (capacity < 1) return std::nullopt;
    std::uint32_t first_task = range.end;
    std::uint32_t unstarted = 0;
    while (first_task > range.begin && !range.placed.contains(first_task - 1) &&
           unstarted < capacity) {
      --first_task;
      if (!range.done[first_task - range.begin]) ++unstarted;
    }
    if (whole_ranges_only && range.placed.empty()) first_task = range.begin;
    if (unstarted == 0 || (whole_ranges_only && first_task != range.begin)) continue;
    if (!quota_.allows(pass.used, spec)) {
      // Guards against work that only machines of this controller's shard may run but that stays
      // with a shard that holds the quota leases and has no such machines.
      quota_.add_demand(spec, unstarted);
      return std::nullopt;
    }
    return StealableTasks{&job, range_id, first_task};
  }
  return std::nullopt;
}

void WorkStealing::steal_ranges(SchedulingPass& pass) {
  if (pass.remaining_placements <= 0) return;
  std::optional<StealableTasks> best;
  for (const auto& [id, job] : context_.replica.jobs()) {
    if (!may_steal(pass.now, id, job)) continue;
    if (best && job.record.spec.priority <= best->job->record.spec.priority) continue;
    if (auto stealable = find_stealable_tasks(pass, id, job)) best = std::move(stealable);
  }
  if (!best) return;
  std::uint32_t number = random_();
  while (number == 0 || best->job->ranges.contains(number)) number = random_();
  write_stolen_range(best->range, best->first_task, {best->range.job, number});
}

double WorkStealing::free_capacity_for(SchedulingPass& pass, const wire::JobSpec& spec) {
  auto [at, inserted] = pass.free_capacity.try_emplace(
      {spec.cpus, spec.gpus, spec.memory_gb, spec.spot, spec.types, spec.zone}, 0.0);
  if (!inserted) return at->second;
  for (const auto* candidate : pass.candidates) {
    if (candidate->local && candidate->free.cpus > 0 &&
        allowed(spec, candidate->type, candidate->zone, candidate->spot))
      at->second += fit_count(resources_of(spec), candidate->free);
  }
  return at->second;
}

void WorkStealing::write_stolen_range(const RangeId& from, std::uint32_t first_task,
                                      const RangeId& to) {
  const auto* range = context_.replica.range(from);
  if (!range) return;
  wire::RangeRecord left = *range;
  const std::string from_key = wire::range_key(from.job, from.number);
  const std::string to_key = wire::range_key(to.job, to.number);
  Transaction transaction;
  transaction.conditions = {context_.view_unchanged(),
                            context_.state_client.unchanged(wire::job_key(from.job)),
                            context_.state_client.unchanged(from_key)};
  if (first_task == left.begin) {
    left.owner = context_.settings.name;
  } else {
    wire::RangeRecord right;
    right.owner = context_.settings.name;
    right.begin = first_task;
    right.end = left.end;
    right.done.assign(left.done.begin() + (first_task - left.begin), left.done.end());
    right.next_attempt = left.next_attempt;
    left.end = first_task;
    left.done.resize(first_task - left.begin);
    transaction.conditions.push_back({to_key, 0});
    transaction.writes.push_back({to_key, encode(right), std::nullopt});
  }
  transaction.writes.push_back({from_key, encode(left), std::nullopt});
  ranges_[from].write_in_progress = true;
  transaction.done = [this, from](Ms at, TxnResult result, const auto&) {
    auto release = [this, from](Ms) {
      ranges_[from].write_in_progress = false;
      pass_trigger_.request();
    };
    if (result == TxnResult::committed) {
      release(at);
    } else {
      context_.state_client.barrier_read_with_retries(at, release);
    }
  };
  context_.state_client.submit(std::move(transaction));
}

}  // namespace scheduler
