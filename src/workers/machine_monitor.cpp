#include "workers/machine_monitor.h"

#include <algorithm>
#include <string>
#include <utility>

#include "allocation/placement.h"
#include "workers/timing.h"

namespace scheduler {

namespace {

// Estimated seconds of high-priority tasks that are begun again rather than waited for when their
// zone is partitioned; partitions last about a minute.
constexpr double kRestartElsewhereS = 30.0;
// Relative drift of steady clocks (PROTOCOL: 0.05%), doubled for both ends being off.
constexpr double kClockDrift = 0.001;
// Milliseconds added to a lease before it counts as run out: timers fire late by a few.
constexpr std::int64_t kLeaseMarginMs = 250;
// Seconds before its machine is preempted at which a replica is stopped to be moved: a stop and the
// proof of it take about one, and until then it serves.
constexpr double kServiceMoveS = 3.0;
// Direct messages that a machine without heartbeats leaves unanswered before it is returned; one is
// enough once it counts as silent.
constexpr int kProbesBeforeReturn = 2;
// Milliseconds between checks whether a machine needs a direct message, if nothing calls for one.
constexpr std::int64_t kCommandCheckMs = 1000;
// Machines checked in a second at most, so that the checks of a large shard stay below a hundredth
// of a core: each takes about a microsecond. A shard of 4,000 is then checked every 0.8 s.
constexpr std::int64_t kMachineChecksPerS = 5000;
// Worker leases for which a machine may be out of reach, though its heartbeats come, before it is
// returned.
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

void MachineMonitor::learn_lease(Ms now, Machine& machine) const {
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
  for (const auto& [task, seen] : machine.tasks) {
    const Job* job = context_.replica.job(task.job);
    if (!job || seen.state == wire::TaskState::exited || machine.stop_requests.contains(task))
      continue;
    machine.stop_requests[task] = {seen.attempt, job->record.spec.checkpoint_write_s};
    machine.resend_commands = true;
  }
}

void MachineMonitor::drain_before_preemption(Ms now, Machine& machine) {
  for (const auto& [task, seen] : machine.tasks) {
    const Job* job = context_.replica.job(task.job);
    if (!job || seen.state == wire::TaskState::exited || machine.stop_requests.contains(task))
      continue;
    const auto& spec = job->record.spec;
    const double left_s = static_cast<double>(machine.preemption_at - now) / 1000.0;
    const double ran = machine.run_time_s(now, task, seen.attempt);
    const double need = ran < spec.estimate_s ? spec.estimate_s - ran : kOverrunAllowanceS;
    if (spec.is_gang()) {
      for (const auto& [number, range] : job->ranges)
        ranges_[{task.job, number}].stop_requested = true;
      pass_trigger_.request();
      continue;
    }
    if (spec.is_service()) {
      if (left_s <= kServiceMoveS) move_replica(machine, task, seen.attempt);
      continue;
    }
    // It may end in time; what saves is stopped when just enough is left for that.
    if (need < left_s - 1.0) continue;
    if (spec.checkpoint_interval_s > 0 && left_s > spec.checkpoint_write_s + 2.0) continue;
    machine.stop_requests[task] = {seen.attempt,
                                   spec.checkpoint_interval_s > 0 ? spec.checkpoint_write_s : 0.0};
    machine.candidate_known = false;
    machine.resend_commands = true;
  }
}

void MachineMonitor::move_replica(Machine& machine, const wire::TaskId& task,
                                  std::uint64_t attempt) {
  machine.stop_requests[task] = {attempt, 0.0};
  machine.candidate_known = false;
  machine.resend_commands = true;
}

bool MachineMonitor::presumed_dead(Ms now, const Machine& machine,
                                   const links::ContactCount& early) const {
  const Ms quiet = now - machine.last_contact;
  // Guards against returning a machine for one lost message while its heartbeat waits for a
  // controller that it was sent to before and that does not answer.
  const Ms patience =
      machines_.unresponsive_after() + (machine.heartbeat_answered ? 0 : kHeartbeatReplyMs);
  if (machine.unanswered_commands > 0 && quiet > patience) return true;
  if (machine.unanswered_commands < kProbesBeforeReturn || quiet <= machines_.overdue_after())
    return false;
  // Guards against returning all services of a zone in the first seconds of a partition: when the
  // first of their machines has left two messages unanswered, most others have not been asked yet.
  return !machines_.probed_early(machine) || early.mostly_responsive() ||
         quiet > machines_.overdue_after() + kTwoUnansweredCommandsMs;
}

bool MachineMonitor::restart_elsewhere_first(const Machine& machine) const {
  const auto& tasks = context_.replica.placed_on(machine.id);
  return std::all_of(tasks.begin(), tasks.end(), [this](const TaskRef& ref) {
    const Job* job = context_.replica.job(ref.range.job);
    return job && !job->record.spec.is_service() &&
           job->record.spec.priority >= wire::Priority::high &&
           job->record.spec.estimate_s <= kRestartElsewhereS;
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
  next_machine_check_ = now + std::max(kMachineCheckMs, count * 1000 / kMachineChecksPerS);
  forget_unknown(now);
  const links::Census census = worker_links_.take_census(now);
  for (auto& [id, machine] : machines_) {
    if (machine.incarnation != 0) check(now, machine, census);
  }
}

void MachineMonitor::forget_unknown(Ms now) {
  machines_.erase_if([&](const auto& entry) {
    const Machine& m = entry.second;
    // Guards against forgetting, with the machine, which starts may still be on their way to it.
    return !m.recorded && !context_.replica.machine(m.id) && !m.commands_in_flight &&
           now - m.last_contact > machines_.unresponsive_after() &&
           context_.replica.placed_on(entry.first).empty();
  });
}

void MachineMonitor::check(Ms now, Machine& machine, const links::Census& census) {
  learn_lease(now, machine);
  // Its silence is that of a few, not that of a link.
  const bool silence_of_few =
      links_.may_declare_dead(status_.moment(now), machine.zone, census, now - machine.last_contact)
          .allowed;
  if (release_after_end(now, machine, silence_of_few)) return;
  const bool ready = machine.recorded && machine.state == wire::MachineState::ready;
  if (ready && silence_of_few) check_reachability(now, machine);
  if (machine.state == wire::MachineState::quarantined) drain(machine);
  if (ready) check_silence(now, machine, census, silence_of_few);
  if (machine.preemption_notice && ready)
    shard_records_.record_machine_state(now, machine, wire::MachineState::draining, 0);
  if (machine.preemption_notice) drain_before_preemption(now, machine);
  send_commands_if_due(now, machine);
}

bool MachineMonitor::release_after_end(Ms now, Machine& machine, bool silence_of_few) {
  const bool terminated = machine.state == wire::MachineState::terminated;
  // Without the state service a newer view may exist in which another keeps the lease.
  if (!terminated && !(context_.can_write(now) && lease_expired(now, machine))) return false;
  // Every task it had is gone, and a start that is still on its way names an older incarnation.
  for (const TaskRef& ref : context_.replica.placed_on(machine.id)) {
    const auto* placement = context_.replica.placement(ref);
    if (placement && (terminated || placement->incarnation <= machine.incarnation))
      ranges_.release_task(ref, placement->attempt, false);
  }
  machine.tasks.clear();
  machine.candidate_known = false;
  // Replaced, unless it is we who hear nobody.
  const bool ready = machine.recorded && machine.state == wire::MachineState::ready;
  if (!terminated && ready && silence_of_few &&
      now - machine.last_contact > machines_.unresponsive_after())
    shard_records_.record_machine_state(now, machine, wire::MachineState::lost, 0);
  return true;
}

void MachineMonitor::mark_lost(Ms now, Machine& machine, const char* reason) {
  context_.log(LogLevel::info, "machine " + machine.id + reason);
  shard_records_.record_machine_state(now, machine, wire::MachineState::lost, 0);
}

void MachineMonitor::check_reachability(Ms now, Machine& machine) {
  const Ms patience = to_ms(context_.settings.lease_s * kUnreachableLeases);
  // Its heartbeats come, but nothing reaches it: what it has is stopped by its own lease, and it
  // goes.
  if (machine.unreachable_since != 0 && now - machine.unreachable_since > patience)
    mark_lost(now, machine, " cannot be reached; returning it");
  if (now - machine.last_heartbeat > patience &&
      now - machine.last_contact <= machines_.unresponsive_after())
    mark_lost(now, machine, " sends no heartbeats; returning it");
}

// Silent to heartbeats and to a direct command while others are heard: most likely dead, hanging or
// taken. Returning it proves its tasks gone sooner than its lease does.
void MachineMonitor::check_silence(Ms now, Machine& machine, const links::Census& census,
                                   bool silence_of_few) {
  if (!presumed_dead(now, machine, census.early(machine.zone)) ||
      context_.replica.placed_on(machine.id).empty())
    return;
  const bool alone =
      silence_of_few || (census.all.mostly_responsive() && restart_elsewhere_first(machine));
  if (alone && !worker_links_.may_be_reached(now, machine))
    mark_lost(now, machine, " is unresponsive; returning it");
}

void MachineMonitor::send_commands_if_due(Ms now, Machine& machine) {
  const bool idle_probe = now - machine.last_contact > machines_.probe_after(machine) &&
                          now >= machine.next_command_at &&
                          !context_.replica.placed_on(machine.id).empty();
  // What calls for a direct message sets resend_commands; the rest is looked at now and then.
  if (!machine.resend_commands && !idle_probe && now < machine.next_command_check) return;
  machine.next_command_check = now + kCommandCheckMs;
  commands_.send(now, machine, idle_probe);
}

}  // namespace scheduler
