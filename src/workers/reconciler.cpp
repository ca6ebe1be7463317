#include "workers/reconciler.h"

#include <algorithm>

#include "workers/timing.h"

namespace scheduler {

namespace {

// Milliseconds for which a machine that refused a start for lack of capacity gets no new tasks.
constexpr std::int64_t kFullMachinePauseMs = 1500;

}  // namespace

void Reconciler::reconcile(Ms now, Machine& machine) {
  if (machine.sequence == 0) return;
  for (const TaskRef& ref : context_.replica.placed_on(machine.id)) {
    const auto* placement = context_.replica.placement(ref);
    if (!placement) continue;
    const TaskAttempt attempt{{ref.range.job, ref.index}, placement->attempt};
    if (placement->incarnation < machine.incarnation) {
      ranges_.release_task(ref, placement->attempt, false, {ReleaseProof::later_incarnation});
      continue;
    }
    if (const ReportedTask* reported = machine.reported(attempt)) {
      if (reported->state == wire::TaskState::exited)
        on_exit(now, machine, ref, placement->attempt, *reported);
      continue;
    }
    if (!machine.token_confirmed || !must_not_run(machine, ref, *placement)) continue;
    auto start = machine.unconfirmed_starts.find(attempt);
    const std::uint64_t sent_token = start == machine.unconfirmed_starts.end() ? 0 : start->second;
    if (machine.highest_token_seen > sent_token) {
      // The worker rejects a start still in flight, because that carries a lower token.
      machine.stop_requests.erase(attempt);
      machine.start_blocked_since.erase(attempt);
      ranges_.release_task(
          ref, placement->attempt, false,
          {ReleaseProof::token_above_start, machine.highest_token_seen, sent_token});
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
  // Placed in an incarnation from before the machine restarted.
  if (machine.sequence > 0 && placement.incarnation > machine.incarnation) return true;
  if (machine.stop_requested({{ref.range.job, ref.index}, placement.attempt})) return true;
  if (!spec.is_gang()) return false;
  const auto* range = context_.replica.range(ref.range);
  if (!range || range->stopping) return true;
  // Placements of a gang are written together, so missing ones mean that a task was lost. Once a
  // task of the gang is done, the remaining ones exit by themselves.
  return range->placed.size() < spec.tasks && range->done_count() == 0;
}

bool Reconciler::has_unproven_absence(const Machine& machine) const {
  const auto& placed = context_.replica.placed_on(machine.id);
  return std::any_of(placed.begin(), placed.end(), [&](const TaskRef& ref) {
    const auto* placement = context_.replica.placement(ref);
    if (!placement || placement->incarnation < machine.incarnation ||
        !must_not_run(machine, ref, *placement))
      return false;
    return !machine.reported({{ref.range.job, ref.index}, placement->attempt}) &&
           !ranges_.is_released(ref, placement->attempt);
  });
}

void Reconciler::on_exit(Ms now, Machine& machine, const TaskRef& ref, std::uint64_t attempt,
                         const ReportedTask& reported) {
  if (ranges_.is_released(ref, attempt)) return;  // already handled
  const Job* job = context_.replica.job(ref.range.job);
  const bool service = job && job->record.spec.is_service();
  // A service never completes: a replica that reports completion has ended like any other.
  ranges_.release_task(ref, attempt, reported.cause == wire::ExitCause::done && !service,
                       {ReleaseProof::exit_listed, machine.highest_token_seen});
  machine.stop_requests.erase({{ref.range.job, ref.index}, attempt});
  if (service) on_replica_end(now, machine, ref, reported);
  switch (reported.cause) {
    case wire::ExitCause::done:
      if (!service) failure_tracker_.on_task_completed(machine.id, ref.range.job);
      break;
    case wire::ExitCause::error:
      context_.log(LogLevel::info, "task " + wire::task_name(ref.range.job, ref.index) +
                                       " failed on " + machine.id);
      if (failure_tracker_.on_task_failed(now, machine.id, ref.range.job)) {
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
      machine.full_until = now + kFullMachinePauseMs;
      break;
    default:
      break;
  }
}

void Reconciler::on_replica_end(Ms now, const Machine& machine, const TaskRef& ref,
                                const ReportedTask& reported) {
  const bool stable =
      reported.running_since != 0 && now - reported.running_since > kReplicaStableMs;
  if (stable) failure_tracker_.on_replica_stable(ref.range.job);
  // Guards against a loop of replicas that end at once: a worker that has stored the completion of
  // a task ends every further attempt of it immediately.
  if (reported.cause != wire::ExitCause::done) return;
  failure_tracker_.on_result_kept(now, machine.id, {ref.range.job, ref.index});
  if (!stable) failure_tracker_.on_early_exit(now, machine.id, ref.range.job);
}

}  // namespace scheduler
