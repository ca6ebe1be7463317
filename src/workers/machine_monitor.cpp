#include "workers/machine_monitor.h"

#include <algorithm>
#include <string>
#include <utility>

#include "allocation/placement.h"
#include "workers/timing.h"

namespace scheduler {

namespace {

// Estimated run time in seconds up to which high-priority tasks are restarted elsewhere when their
// zone is partitioned. Partitions last about a minute, so waiting for longer tasks is better.
constexpr double kRestartElsewhereMaxEstimateS = 30.0;
// Relative drift of steady clocks: 0.05% per clock (PROTOCOL), doubled because both clocks may
// drift.
constexpr double kClockDrift = 0.001;
// Milliseconds added to a lease before it counts as expired, because timers fire a few milliseconds
// late.
constexpr std::int64_t kLeaseMarginMs = 250;
// Seconds before the preemption of its machine at which a replica is stopped in order to move it.
// Stopping it and confirming the stop takes about one second; until then it keeps serving.
constexpr double kServiceMoveLeadTimeS = 3.0;
// Direct messages that a machine without heartbeats leaves unanswered before it is returned. One is
// enough once the machine counts as unresponsive.
constexpr int kProbesBeforeReturn = 2;
// Milliseconds between checks whether a machine needs a direct message, if no event requests one
// earlier.
constexpr std::int64_t kCommandCheckIntervalMs = 1000;
// Maximum number of machines checked per second. A check takes about a microsecond, so the checks
// of a large shard use less than a hundredth of a core. A shard of 4,000 machines is checked every
// 0.8 s.
constexpr std::int64_t kMachineChecksPerS = 5000;
// Worker leases for which a machine may be unreachable, or without heartbeats while it answers
// direct messages, before it is returned.
constexpr double kUnreachableLeases = 2.0;

}  // namespace

bool MachineMonitor::peers_acknowledged_epoch(std::uint64_t epoch) const {
  const auto& view = context_.replica.view();
  if (!view.departing.empty()) return false;
  return std::all_of(view.live.begin(), view.live.end(), [&](const auto& member) {
    if (member.first == context_.settings.name) return true;
    auto live = context_.replica.live().find(member.first);
    return live != context_.replica.live().end() && live->second.incarnation == member.second &&
           live->second.epoch >= epoch;
  });
}

void MachineMonitor::start_lease_timer(Ms now, Machine& machine) const {
  if (machine.lease_known ||
      !(machine.token_confirmed || peers_acknowledged_epoch(machine.owned_since_epoch)))
    return;
  machine.lease_known = true;
  machine.lease_granted_at = std::max(machine.lease_granted_at, now);
}

bool MachineMonitor::lease_expired(Ms now, const Machine& machine) const {
  return machine.lease_known &&
         static_cast<double>(now - machine.lease_granted_at) >
             context_.settings.lease_s * 1000.0 * (1.0 + kClockDrift) + kLeaseMarginMs;
}

void MachineMonitor::drain(Machine& machine) const {
  for (const auto& [attempt, reported] : machine.tasks) {
    const Job* job = context_.replica.job(attempt.task.job);
    if (!job || reported.state == wire::TaskState::exited || machine.stop_requested(attempt))
      continue;
    machine.stop_requests[attempt] = job->record.spec.checkpoint_write_s;
    machine.resend_commands = true;
  }
}

void MachineMonitor::drain_before_preemption(Ms now, Machine& machine) {
  for (const auto& [attempt, reported] : machine.tasks) {
    const Job* job = context_.replica.job(attempt.task.job);
    if (!job || reported.state == wire::TaskState::exited || machine.stop_requested(attempt))
      continue;
    const auto& spec = job->record.spec;
    const double remaining_s = static_cast<double>(machine.preemption_at - now) / 1000.0;
    const double run_s = machine.run_time_s(now, attempt);
    const double needed_s = run_s < spec.estimate_s ? spec.estimate_s - run_s : kOverrunAllowanceS;
    if (spec.is_gang()) {
      for (const auto& [number, range] : job->ranges)
        ranges_[{attempt.task.job, number}].stop_requested = true;
      pass_trigger_.request();
      continue;
    }
    if (spec.is_service()) {
      if (remaining_s <= kServiceMoveLeadTimeS) move_replica(machine, attempt);
      continue;
    }
    // A task that can finish in time runs on. A task with checkpoints is stopped when just enough
    // time is left to write one.
    if (needed_s < remaining_s - 1.0) continue;
    if (spec.checkpoint_interval_s > 0 && remaining_s > spec.checkpoint_write_s + 2.0) continue;
    machine.stop_requests[attempt] = spec.checkpoint_interval_s > 0 ? spec.checkpoint_write_s : 0.0;
    machine.candidate_valid = false;
    machine.resend_commands = true;
  }
}

void MachineMonitor::move_replica(Machine& machine, const TaskAttempt& attempt) {
  machine.stop_requests[attempt] = 0;
  machine.candidate_valid = false;
  machine.resend_commands = true;
}

bool MachineMonitor::presumed_dead(Ms now, const Machine& machine,
                                   const links::ContactCount& probed_early_in_zone) const {
  const Ms silent_ms = now - machine.last_contact;
  // Guards against returning a machine because of one lost message while its heartbeat waits for
  // the reply of a former controller that does not answer.
  const Ms timeout =
      machines_.unresponsive_after() + (machine.heartbeat_answered ? 0 : kHeartbeatReplyTimeoutMs);
  if (machine.unanswered_commands > 0 && silent_ms > timeout) return true;
  if (machine.unanswered_commands < kProbesBeforeReturn || silent_ms <= machines_.overdue_after())
    return false;
  // Guards against returning all service machines of a zone in the first seconds of a partition:
  // when the first of them has left two messages unanswered, most of the others have not been
  // probed yet.
  return !machines_.probed_early(machine) || probed_early_in_zone.mostly_responsive() ||
         silent_ms > machines_.overdue_after() + kTwoUnansweredCommandsMs;
}

bool MachineMonitor::should_restart_elsewhere(const Machine& machine) const {
  const auto& tasks = context_.replica.placed_on(machine.id);
  return std::all_of(tasks.begin(), tasks.end(), [this](const TaskRef& ref) {
    const Job* job = context_.replica.job(ref.range.job);
    return job && !job->record.spec.is_service() &&
           job->record.spec.priority >= wire::Priority::high &&
           job->record.spec.estimate_s <= kRestartElsewhereMaxEstimateS;
  });
}

void MachineMonitor::on_pause(Ms now) {
  for (auto& [id, machine] : machines_) {
    machine.last_contact = machine.last_heartbeat = now;
    machine.lease_granted_at = now;
    machine.lease_known = false;
    if (machine.unreachable_since != 0) machine.unreachable_since = now;
  }
}

void MachineMonitor::tick(Ms now) {
  if (!status_.ready() || now < next_machine_check_ || status_.resynchronising(now)) return;
  const auto count = static_cast<Ms>(machines_.size());
  next_machine_check_ = now + std::max(kMachineCheckIntervalMs, count * 1000 / kMachineChecksPerS);
  remove_unknown(now);
  const links::Census census = worker_links_.take_census(now);
  for (auto& [id, machine] : machines_) {
    if (machine.incarnation != 0) check(now, machine, census);
  }
}

void MachineMonitor::remove_unknown(Ms now) {
  machines_.erase_if([&](const auto& entry) {
    const Machine& machine = entry.second;
    // Keeps machines with commands in flight: removing one would lose the record of starts that may
    // still reach it.
    return !machine.recorded && !context_.replica.machine(machine.id) &&
           !machine.commands_in_flight &&
           now - machine.last_contact > machines_.unresponsive_after() &&
           context_.replica.placed_on(entry.first).empty();
  });
}

void MachineMonitor::check(Ms now, Machine& machine, const links::Census& census) {
  start_lease_timer(now, machine);
  // Only a few machines are silent, so the cause is not a broken link.
  const bool few_machines_silent =
      links_.may_declare_dead(status_.moment(now), machine.zone, census, now - machine.last_contact)
          .allowed;
  if (release_if_ended(now, machine, few_machines_silent)) return;
  const bool ready = machine.recorded && machine.state == wire::MachineState::ready;
  if (ready && few_machines_silent) check_reachability(now, machine);
  if (machine.state == wire::MachineState::quarantined) drain(machine);
  if (ready) check_silence(now, machine, census, few_machines_silent);
  if (machine.preemption_notice && ready)
    shard_records_.record_machine_state(now, machine, wire::MachineState::draining, 0);
  if (machine.preemption_notice) drain_before_preemption(now, machine);
  send_commands_if_due(now, machine);
}

bool MachineMonitor::release_if_ended(Ms now, Machine& machine, bool few_machines_silent) {
  const bool terminated = machine.state == wire::MachineState::terminated;
  // Without the state service this controller may miss a newer view whose owner renews the
  // machine's lease.
  if (!terminated && !(context_.can_write(now) && lease_expired(now, machine))) return false;
  // All tasks of the machine are gone, and a start still in flight names an older incarnation.
  const ReleaseEvidence evidence{terminated ? ReleaseProof::machine_terminated
                                            : ReleaseProof::lease_expired};
  for (const TaskRef& ref : context_.replica.placed_on(machine.id)) {
    const auto* placement = context_.replica.placement(ref);
    if (placement && (terminated || placement->incarnation <= machine.incarnation))
      ranges_.release_task(ref, placement->attempt, false, evidence);
  }
  machine.tasks.clear();
  machine.stop_requests.clear();
  machine.start_blocked_since.clear();
  machine.candidate_valid = false;
  // The machine is replaced unless this controller receives no messages because of its own links.
  const bool ready = machine.recorded && machine.state == wire::MachineState::ready;
  if (!terminated && ready && few_machines_silent &&
      now - machine.last_contact > machines_.unresponsive_after())
    shard_records_.record_machine_state(now, machine, wire::MachineState::lost, 0);
  return true;
}

void MachineMonitor::mark_lost(Ms now, Machine& machine, const char* reason) {
  context_.log(LogLevel::info, "machine " + machine.id + reason);
  shard_records_.record_machine_state(now, machine, wire::MachineState::lost, 0);
}

void MachineMonitor::check_reachability(Ms now, Machine& machine) {
  const Ms timeout = to_ms(context_.settings.lease_s * kUnreachableLeases);
  // Heartbeats arrive, but no message reaches the machine. Its tasks stop when its lease expires,
  // so it can be returned.
  if (machine.unreachable_since != 0 && now - machine.unreachable_since > timeout)
    mark_lost(now, machine, " cannot be reached; returning it");
  if (now - machine.last_heartbeat > timeout &&
      now - machine.last_contact <= machines_.unresponsive_after())
    mark_lost(now, machine, " sends no heartbeats; returning it");
}

// A machine that sends no heartbeats and answers no direct command while other machines do is most
// likely dead, hung or preempted. Returning it to the cloud proves that its tasks are gone sooner
// than the expiry of its lease does.
void MachineMonitor::check_silence(Ms now, Machine& machine, const links::Census& census,
                                   bool few_machines_silent) {
  if (!presumed_dead(now, machine, census.probed_early_in_zone(machine.zone)) ||
      context_.replica.placed_on(machine.id).empty())
    return;
  const bool machine_failed =
      few_machines_silent || (census.all.mostly_responsive() && should_restart_elsewhere(machine));
  if (machine_failed && !worker_links_.may_be_reachable_by_relay(now, machine))
    mark_lost(now, machine, " is unresponsive; returning it");
}

void MachineMonitor::send_commands_if_due(Ms now, Machine& machine) {
  const bool probe_due = now - machine.last_contact > machines_.probe_after(machine) &&
                         now >= machine.next_command_at &&
                         !context_.replica.placed_on(machine.id).empty();
  // Events that need a direct message set resend_commands; all other cases are checked at
  // intervals.
  if (!machine.resend_commands && !probe_due && now < machine.next_command_check) return;
  machine.next_command_check = now + kCommandCheckIntervalMs;
  commands_.send(now, machine, probe_due);
}

}  // namespace scheduler
