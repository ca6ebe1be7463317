#include "workers/heartbeat_applier.h"

#include <algorithm>
#include <utility>

#include "workers/timing.h"

namespace scheduler {

namespace {

// Maximum number of images stored per machine; the oldest are dropped.
constexpr std::size_t kMaxImages = 16;

}  // namespace

void HeartbeatApplier::mark_unreachable(Ms now, Machine& machine) {
  ++machine.fence;
  machine.reachability_token = machines_.token(machine);
  if (machine.unreachable_since == 0) machine.unreachable_since = now;
}

void HeartbeatApplier::on_agent_restart(Ms now, Machine& machine,
                                        const wire::Heartbeat& heartbeat) {
  context_.log(LogLevel::info, "machine " + machine.id + " has restarted");
  machine.tasks.clear();
  machine.images.clear();
  machine.stop_requests.clear();
  machine.unconfirmed_starts.clear();
  machine.incarnation = heartbeat.incarnation;
  machine.sequence = 0;
  machine.last_heartbeat_counters = {};
  machine.highest_token_seen = 0;
  machine.token_confirmed = false;
  machine.lease_granted_at = std::max(machine.lease_granted_at, now);
  machine.start_token = machines_.token(machine);
  mark_unreachable(now, machine);
  for (const TaskRef& ref : context_.replica.placed_on(machine.id)) {
    const auto* placement = context_.replica.placement(ref);
    const wire::TaskId task{ref.range.job, ref.index};
    const bool listed =
        std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](const auto& t) {
          return t.task == task && placement && t.attempt == placement->attempt;
        });
    if (!placement || listed) continue;
    const TaskAttempt attempt{task, placement->attempt};
    machine.stop_requests[attempt] = 0;
    machine.unconfirmed_starts[attempt] = machine.start_token;
  }
}

void HeartbeatApplier::begin_incarnation(Ms now, Machine& machine) {
  machine.tasks.clear();
  machine.stop_requests.clear();
  machine.unconfirmed_starts.clear();
  machine.start_blocked_since.clear();
  machine.images.clear();
  // The lease timer restarts with the new incarnation. Otherwise a new incarnation known only from
  // a reply to a direct command would be judged by the old incarnation's lease, count as expired,
  // and have its newly started tasks started elsewhere as well.
  machine.lease_granted_at = std::max(machine.lease_granted_at, now);
  // The worker's lease expired although its heartbeats arrived, so replies may not reach it. Guards
  // against a machine that receives and loses one task after another.
  if (machine.sequence > 0) mark_unreachable(now, machine);
}

bool HeartbeatApplier::apply_attributes(Ms now, Machine& machine,
                                        const wire::Heartbeat& heartbeat) {
  bool changed = false;
  machine.suspect = false;
  machine.incarnation = heartbeat.incarnation;
  machine.sequence = heartbeat.sequence;
  machine.address = heartbeat.address;
  machine.type = heartbeat.type;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  machine.last_contact = now;
  machine.highest_token_seen = std::max(machine.highest_token_seen, heartbeat.token);
  if (heartbeat.token >= ClusterView::token(machine.owned_since_epoch, 0) &&
      !machine.token_confirmed)
    machine.token_confirmed = changed = true;
  if (machine.unreachable_since != 0 && heartbeat.token >= machine.reachability_token) {
    machine.unreachable_since = 0;
    machine.unanswered_commands = 0;
    changed = true;
  }
  changed = changed || machine.preemption_notice != heartbeat.preemption_notice_s.has_value();
  machine.preemption_notice = heartbeat.preemption_notice_s.has_value();
  if (machine.preemption_notice)
    machine.preemption_at = now + to_ms(*heartbeat.preemption_notice_s);
  return changed;
}

void HeartbeatApplier::add_image(Machine& machine, const wire::TaskStatus& task) const {
  const auto job = context_.replica.jobs().find(task.task.job);
  if (task.state == wire::TaskState::exited || task.state == wire::TaskState::fetching ||
      job == context_.replica.jobs().end())
    return;
  const std::string& image = job->second.record.spec.image;
  if (std::find(machine.images.begin(), machine.images.end(), image) != machine.images.end())
    return;
  machine.images.push_back(image);
  if (machine.images.size() > kMaxImages) machine.images.erase(machine.images.begin());
}

bool HeartbeatApplier::apply_tasks(Ms now, Machine& machine, const wire::Heartbeat& heartbeat) {
  bool changed = false;
  std::map<TaskAttempt, ReportedTask> tasks;
  for (const wire::TaskStatus& listed : heartbeat.tasks) {
    const TaskAttempt attempt{listed.task, listed.attempt};
    ReportedTask task;
    task.state = listed.state;
    task.cause = listed.cause;
    task.checkpointed = listed.checkpointed;
    const ReportedTask* previous = machine.reported(attempt);
    changed = changed || !previous || previous->state != listed.state;
    const Ms ran_since = previous ? previous->running_since : 0;
    if (listed.state == wire::TaskState::running) task.running_since = ran_since ? ran_since : now;
    // The run time later shows whether the attempt ended early.
    if (listed.state == wire::TaskState::exited) task.running_since = ran_since;
    add_image(machine, listed);
    machine.unconfirmed_starts.erase(attempt);
    tasks.emplace(attempt, task);
  }
  changed = changed || tasks.size() != machine.tasks.size();
  machine.tasks = std::move(tasks);
  return changed;
}

bool HeartbeatApplier::apply(Ms now, Machine& machine, const wire::Heartbeat& heartbeat) {
  const HeartbeatCounters counters{heartbeat.incarnation, heartbeat.sequence};
  if (machine.sequence > 0 && counters <= machine.counters()) return false;  // outdated
  if (heartbeat.incarnation < machine.incarnation) return false;
  if (heartbeat.incarnation > machine.incarnation) begin_incarnation(now, machine);
  const bool address_changed = machine.address != heartbeat.address;
  bool changed = machine.sequence == 0 || address_changed;
  changed = apply_attributes(now, machine, heartbeat) || changed;
  changed = apply_tasks(now, machine, heartbeat) || changed;
  machines_.refresh_from_records(machine);
  const auto* record = context_.replica.machine(machine.id);
  if (record && (record->incarnation != machine.incarnation || address_changed ||
                 record->address != machine.address))
    shard_records_.record_machine_state(now, machine, machine.state, kContactWriteDelayMs);
  reconciler_.reconcile(now, machine);
  // The worker rejects a start that it has not received before it reported a higher token.
  std::erase_if(machine.unconfirmed_starts, [&machine](const auto& start) {
    return start.second < machine.highest_token_seen;
  });
  // Most heartbeats report no change and need no scheduling pass.
  if (changed) {
    machine.candidate_valid = false;
    pass_trigger_.request();
  }
  return true;
}

}  // namespace scheduler
