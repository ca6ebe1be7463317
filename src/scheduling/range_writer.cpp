#include "scheduling/range_writer.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/resources.h"
#include "scheduling/range_split.h"
#include "state/state_client.h"

namespace scheduler {

namespace {

// Milliseconds after which completions of tasks are written (three times as long if the write queue
// is full), and the minimum time for which they are collected: otherwise the record of a hundred
// tasks would be written again for every completion.
constexpr std::int64_t kCompletionWriteDelayMs = 4000;
constexpr std::int64_t kCompletionBatchDelayMs = 500;

}  // namespace

bool RangeWriter::completes(const RangeId& id, const RangeState& state) const {
  if (state.released.empty()) return false;
  const auto* range = context_.replica.range(id);
  if (!range) return false;
  const auto done = static_cast<std::size_t>(std::count_if(
      state.released.begin(), state.released.end(), [](const auto& f) { return f.second.done; }));
  return range->done_count() + done >= range->end - range->begin;
}

bool RangeWriter::must_write_now(Ms now, const RangeId& id, RangeState& state,
                                 bool may_queue_writes) const {
  if (!state.pending_placements.empty() || state.stop_requested || state.write_uncertain)
    return true;
  if (state.released.empty()) {
    state.oldest_release_at = 0;
    return false;
  }
  if (state.oldest_release_at == 0) state.oldest_release_at = now;
  const Job* job = context_.replica.job(id.job);
  if (!job || job->record.cancelled || job->record.spec.is_gang()) return true;
  const Ms waited = now - state.oldest_release_at;
  return (waited >= kCompletionWriteDelayMs && may_queue_writes) ||
         waited >= 3 * kCompletionWriteDelayMs ||
         (waited >= kCompletionBatchDelayMs && context_.state_client.has_write_headroom(now));
}

// Records the released tasks: removes their placements from the record and marks completed tasks as
// done. Returns false if all of them are already recorded.
bool RangeWriter::record_completions(const wire::JobSpec& spec, RangeState& state,
                                     wire::RangeRecord& record) {
  bool changed = false;
  for (auto it = state.released.begin(); it != state.released.end();) {
    const auto placed = record.placed.find(it->first);
    if (placed == record.placed.end() || placed->second.attempt != it->second.attempt) {
      it = state.released.erase(it);  // recorded already
      continue;
    }
    record.placed.erase(placed);
    if (it->second.done && spec.is_gang()) {
      // One completed task means that the whole gang has completed.
      record.done.assign(record.done.size(), true);
    } else if (it->second.done) {
      record.done[it->first - record.begin] = true;
    } else {
      state.cursor = std::min(state.cursor, it->first);
    }
    changed = true;
    ++it;
  }
  return changed;
}

// Marks the record of a gang as stopping if a stop was requested, and clears the mark when no task
// is placed any more. Returns true if the gang has been marked.
bool RangeWriter::record_stop(const wire::JobSpec& spec, const RangeState& state,
                              wire::RangeRecord& record) {
  const bool stop = state.stop_requested && spec.is_gang() && !record.placed.empty() &&
                    record.done_count() == 0 && !record.stopping;
  if (stop) record.stopping = true;
  if (record.placed.empty()) record.stopping = false;
  return stop;
}

// Discards pending placements until the record fits. Guards against a value over the state
// service's limit, which would be rejected on every retry: machine names may be longer than
// RangePlanner::max_placements() assumes.
void RangeWriter::fit_placements(const wire::JobSpec& spec, RangeState& state,
                                 const wire::RangeRecord& record) {
  while (!spec.is_gang() && state.pending_placements.size() > 1) {
    wire::RangeRecord full_record = record;
    for (const auto& [task, placement] : state.pending_placements)
      full_record.placed[task] = placement;
    if (static_cast<double>(encode(full_record).size()) <= context_.value_bytes()) break;
    candidate_cache_.drop_pending_placements(state, state.pending_placements.size() / 2);
  }
}

// Adds the pending placements to the record, and the conditions under which they are valid to the
// transaction.
void RangeWriter::record_placements(const Job& job, const RangeState& state,
                                    wire::RangeRecord& record, Transaction& transaction) {
  const wire::JobSpec& spec = job.record.spec;
  // A concurrent cancellation of the job, or a state change of a machine, invalidates the
  // placement.
  transaction.conditions.push_back(context_.state_client.unchanged(wire::job_key(spec.id)));
  record.owner = context_.settings.name;
  std::set<std::string> owners;  // owners of the placements' machines
  for (const auto& [task, placement] : state.pending_placements) {
    record.placed[task] = placement;
    record.next_attempt = std::max(record.next_attempt, placement.attempt + 1);
    const auto* machine = context_.replica.machine(placement.machine);
    owners.insert(machine ? context_.cluster_view.machine_owner(placement.machine, machine->zone)
                          : context_.settings.name);
  }
  // The shard write guard of a shard is the condition for all its machines. A controller that
  // places tasks on another shard's machines changes that shard's guard, so that concurrent
  // placements by the shard's owner fail. One condition per machine would exceed the transaction
  // limit for an array spread over hundreds of machines.
  for (const auto& owner : owners) {
    const std::string guard_key = wire::shard_guard_key(owner);
    transaction.conditions.push_back(context_.state_client.unchanged(guard_key));
    if (owner != context_.settings.name)
      transaction.writes.push_back(
          {guard_key, wire::shard_guard_body(context_.settings.name), std::nullopt});
  }
  // Guards against two controllers that concurrently place ranges of one job with zone constraints:
  // the tasks per zone are counted over all ranges of the job.
  if (!spec.one_zone && !spec.spread) return;
  for (const auto& [number, other_range] : job.ranges)
    if (number != record.number)
      transaction.conditions.push_back(
          context_.state_client.unchanged(wire::range_key(spec.id, number)));
}

// Adds the write of the record to the transaction, split into several records if the record is too
// large. Returns false if the record cannot be written within the limits now; it can be written
// after more of its tasks have ended.
bool RangeWriter::write_pieces(const Job& job, const wire::RangeRecord& record,
                               Transaction& transaction) {
  const auto limit = static_cast<std::size_t>(context_.value_bytes());
  const wire::JobSpec& spec = job.record.spec;
  const std::string key = wire::range_key(spec.id, record.number);
  if (spec.is_gang()) {
    // A gang is placed and ends as a whole, so its record is not split. The previous version may
    // have written records larger than `limit`.
    const std::string value = encode(record);
    if (static_cast<double>(value.size()) > context_.unsplit_value_bytes()) return false;
    transaction.writes.push_back({key, value, std::nullopt});
    return true;
  }
  std::set<std::uint32_t> numbers;
  for (const wire::RangeRecord& piece : split_to_fit(record, limit)) {
    const std::string value = encode(piece);
    if (value.size() > limit) return false;
    std::uint32_t number = record.number;
    if (piece.begin != record.begin) {
      do {
        number = random_();
      } while (number == 0 || job.ranges.contains(number) || !numbers.insert(number).second);
      transaction.conditions.push_back({wire::range_key(spec.id, number), 0});
    }
    transaction.writes.push_back({wire::range_key(spec.id, number), value, std::nullopt});
  }
  return static_cast<int>(transaction.writes.size()) <= context_.settings.txn_ops;
}

bool RangeWriter::add_placements(const Job& job, RangeState& state, wire::RangeRecord& record,
                                 Transaction& transaction) {
  if (state.pending_placements.empty() || state.write_uncertain) return false;
  const wire::JobSpec& spec = job.record.spec;
  const bool fits =
      spec.is_gang() || static_cast<double>(encode(record).size()) <= context_.value_bytes();
  if (fits) {
    fit_placements(spec, state, record);
    record_placements(job, state, record, transaction);
  } else {
    candidate_cache_.clear_pending_placements(state);  // chosen again after the split
  }
  return true;
}

void RangeWriter::write(const RangeId& id) {
  RangeState& state = ranges_[id];
  const auto* range = context_.replica.range(id);
  const Job* job = context_.replica.job(id.job);
  if (state.write_in_progress) return;
  if (!range || !job) {
    candidate_cache_.clear_pending_placements(state);
    state.released.clear();
    state.stop_requested = false;
    return;
  }
  const wire::JobSpec& spec = job->record.spec;
  const std::string key = wire::range_key(id.job, id.number);
  wire::RangeRecord next = *range;
  Transaction transaction;
  transaction.conditions = {context_.view_unchanged(), context_.state_client.unchanged(key)};
  bool changed = record_completions(spec, state, next);
  const bool stop = record_stop(spec, state, next);
  state.stop_requested = false;
  changed = changed || stop;
  changed = changed || state.write_uncertain;  // a rewrite voids the uncertain write
  changed = add_placements(*job, state, next, transaction) || changed;
  if (!changed) return;
  if (!write_pieces(*job, next, transaction)) {
    context_.log(LogLevel::info, key + " does not fit the state service's limits yet");
    candidate_cache_.clear_pending_placements(state);
    state.stop_requested = stop;
    state.retry_at = status_.last_input_at() + kRejectedRetryDelayMs;
    return;
  }
  context_.log(LogLevel::debug, "writing " + key + " stamp " +
                                    std::to_string(context_.state_client.version(key)) +
                                    " placing " + std::to_string(state.pending_placements.size()) +
                                    " released " + std::to_string(state.released.size()));
  state.oldest_release_at = 0;
  // Cancellation is urgent because a user waits for its confirmation.
  transaction.urgent = spec.priority >= wire::Priority::high || job->record.cancelled;
  state.write_in_progress = true;
  transaction.done = [this, id](Ms at, TxnResult result, const auto&) {
    on_written(at, id, result);
  };
  context_.state_client.submit(std::move(transaction));
}

void RangeWriter::on_written(Ms now, const RangeId& id, TxnResult result) {
  auto it = ranges_.find(id);
  if (it == ranges_.end()) return;
  RangeState& state = it->second;
  pass_trigger_.request();
  const bool not_executed = result == TxnResult::refused || result == TxnResult::rejected;
  if (result == TxnResult::unknown) {
    // Guards against a late application of this write, whose placements would use quota or a
    // machine that has been given to other tasks in the meantime.
    state.write_uncertain = true;
  } else if (result == TxnResult::committed || (not_executed && !state.write_uncertain)) {
    candidate_cache_.clear_pending_placements(state);
  }
  if (result == TxnResult::committed) {
    state.write_in_progress = false;
    return;  // tasks are started when the changed placements are processed
  }
  if (not_executed) {
    state.write_in_progress = false;
    state.retry_at = now + kRefusedRetryDelayMs;
    return;
  }
  context_.state_client.barrier_read_with_retries(now, [this, id, result](Ms) {
    auto current = ranges_.find(id);
    if (current != ranges_.end()) {
      // Guards against a conflict caused by a retry of this write after its first attempt was
      // applied: until the replica shows the result, the placements count as made. New placements
      // would exceed the team's limit.
      if (result == TxnResult::conflict) candidate_cache_.clear_pending_placements(current->second);
      current->second.write_in_progress = false;
    }
    pass_trigger_.request();
  });
}

}  // namespace scheduler
