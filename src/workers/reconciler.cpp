#include "workers/reconciler.h"

#include <algorithm>

#include "workers/timing.h"

namespace scheduler {

namespace {

// Milliseconds for which a machine that refused a start for lack of capacity is passed over.
constexpr std::int64_t kNoRoomPauseMs = 1500;

}  // namespace

void Reconciler::reconcile(Ms now, Machine& machine) {
  if (machine.sequence == 0) return;
  for (const TaskRef& ref : context_.replica.placed_on(machine.id)) {
    const auto* p = context_.replica.placement(ref);
    if (!p) continue;
    const wire::TaskId task{ref.range.job, ref.index};
    if (p->incarnation < machine.incarnation) {
      ranges_.release_task(ref, p->attempt, false);
      continue;
    }
    auto seen = machine.tasks.find(task);
    if (seen != machine.tasks.end() && seen->second.attempt == p->attempt) {
      if (seen->second.state == wire::TaskState::exited) on_exit(now, machine, ref, seen->second);
      continue;
    }
    if (!machine.token_confirmed || !must_not_run(machine, ref, *p)) continue;
    auto start = machine.unconfirmed_starts.find(task);
    const std::uint64_t sent = start == machine.unconfirmed_starts.end() ? 0 : start->second;
    if (machine.highest_token_seen > sent) {
      // Guards against a start still in flight: it carries a token that the worker now refuses.
      machine.unconfirmed_starts.erase(task);
      machine.stop_requests.erase(task);
      ranges_.release_task(ref, p->attempt, false);
    }
  }
}

bool Reconciler::must_not_run(const Machine& machine, const TaskRef& ref,
                              const wire::Placement& placement) const {
  auto job = context_.replica.jobs().find(ref.range.job);
  if (job == context_.replica.jobs().end() || !job->second.known ||
      cancellations_.is_cancelled(ref.range.job, job->second))
    return true;
  const auto& spec = job->second.record.spec;
  // Placed in an incarnation of the machine's life before it restarted.
  if (machine.sequence > 0 && placement.incarnation > machine.incarnation) return true;
  if (machine.stop_requested({ref.range.job, ref.index}, placement.attempt)) return true;
  if (!spec.is_gang()) return false;
  const auto* range = context_.replica.range(ref.range);
  if (!range || range->stopping) return true;
  // Placements of a gang are written together: a part of them means that one was lost. Once it is
  // done, what is left exits by itself.
  return range->placed.size() < spec.tasks && range->done_count() == 0;
}

bool Reconciler::has_unproven_absence(const Machine& machine) const {
  const auto& placed = context_.replica.placed_on(machine.id);
  return std::any_of(placed.begin(), placed.end(), [&](const TaskRef& ref) {
    const auto* p = context_.replica.placement(ref);
    if (!p || p->incarnation < machine.incarnation || !must_not_run(machine, ref, *p)) return false;
    if (machine.tasks.contains({ref.range.job, ref.index})) return false;
    const auto work = ranges_.find(ref.range);
    return work == ranges_.end() || !work->second.released.contains(ref.index);
  });
}

void Reconciler::on_exit(Ms now, Machine& machine, const TaskRef& ref, const ReportedTask& seen) {
  auto w = ranges_.find(ref.range);
  if (w != ranges_.end()) {
    auto f = w->second.released.find(ref.index);
    if (f != w->second.released.end() && f->second.attempt == seen.attempt) return;  // counted
  }
  const Job* job = context_.replica.job(ref.range.job);
  const bool service = job && job->record.spec.is_service();
  // A service is never done: a replica that says so has ended like any other.
  ranges_.release_task(ref, seen.attempt, seen.cause == wire::ExitCause::done && !service);
  machine.stop_requests.erase({ref.range.job, ref.index});
  if (service) on_replica_end(now, machine, ref, seen);
  switch (seen.cause) {
    case wire::ExitCause::done:
      if (!service) failure_tracker_.completed(machine.id, ref.range.job);
      break;
    case wire::ExitCause::error:
      context_.log(LogLevel::info, "task " + wire::task_name(ref.range.job, ref.index) +
                                       " failed on " + machine.id);
      if (failure_tracker_.failed(now, machine.id, ref.range.job)) {
        if (machine.recorded && machine.state == wire::MachineState::ready) {
          context_.log(LogLevel::info, "machine " + machine.id + " is quarantined");
          shard_records_.record_machine_state(now, machine, wire::MachineState::quarantined, 0);
        }
      }
      break;
    case wire::ExitCause::no_room:
    case wire::ExitCause::busy:
    case wire::ExitCause::unknown:
      context_.log(LogLevel::info, "start of " + wire::task_name(ref.range.job, ref.index) +
                                       " refused by " + machine.id);
      machine.full_until = now + kNoRoomPauseMs;
      break;
    default:
      break;
  }
}

void Reconciler::on_replica_end(Ms now, const Machine& machine, const TaskRef& ref,
                                const ReportedTask& seen) {
  const bool settled = seen.running_since != 0 && now - seen.running_since > kServiceSettledMs;
  if (settled) failure_tracker_.on_stable(ref.range.job);
  // Guards against a loop of instant ends: a worker remembers that a task is done, and ends every
  // further attempt at once.
  if (seen.cause != wire::ExitCause::done) return;
  failure_tracker_.on_result_kept(now, machine.id, {ref.range.job, ref.index});
  if (!settled) failure_tracker_.on_early_exit(now, machine.id, ref.range.job);
}

}  // namespace scheduler
