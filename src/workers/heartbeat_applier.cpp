#include "workers/heartbeat_applier.h"

#include <algorithm>
#include <utility>

#include "workers/timing.h"

namespace scheduler {

namespace {

// Images remembered of a machine; the oldest are forgotten.
constexpr std::size_t kImagesRemembered = 16;

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
    const auto* p = context_.replica.placement(ref);
    const wire::TaskId task{ref.range.job, ref.index};
    const bool listed =
        std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                    [&](const auto& t) { return t.task == task && p && t.attempt == p->attempt; });
    if (!p || listed) continue;
    machine.stop_requests[task] = {p->attempt, 0.0};
    machine.unconfirmed_starts[task] = machine.start_token;
  }
}

void HeartbeatApplier::begin_incarnation(Ms now, Machine& machine) {
  machine.tasks.clear();
  machine.stop_requests.clear();
  machine.unconfirmed_starts.clear();
  machine.start_blocked_since.clear();
  machine.images.clear();
  // Guards against counting the former incarnation's lease on: heard by a direct command alone, a
  // new incarnation was taken for expired, and what had just started in it was started elsewhere.
  machine.lease_granted_at = std::max(machine.lease_granted_at, now);
  // Its lease has expired although its heartbeats come: perhaps no reply reaches it. Guards against
  // a machine that draws and loses task after task.
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

void HeartbeatApplier::remember_image(Machine& machine, const wire::TaskStatus& task) const {
  const auto job = context_.replica.jobs().find(task.task.job);
  if (task.state == wire::TaskState::exited || task.state == wire::TaskState::fetching ||
      job == context_.replica.jobs().end())
    return;
  const std::string& image = job->second.record.spec.image;
  if (std::find(machine.images.begin(), machine.images.end(), image) != machine.images.end())
    return;
  machine.images.push_back(image);
  if (machine.images.size() > kImagesRemembered) machine.images.erase(machine.images.begin());
}

bool HeartbeatApplier::apply_tasks(Ms now, Machine& machine, const wire::Heartbeat& heartbeat) {
  bool changed = false;
  std::map<wire::TaskId, ReportedTask> tasks;
  for (const wire::TaskStatus& listed : heartbeat.tasks) {
    ReportedTask task;
    task.attempt = listed.attempt;
    task.state = listed.state;
    task.cause = listed.cause;
    task.checkpointed = listed.checkpointed;
    const auto before = machine.tasks.find(listed.task);
    const bool same = before != machine.tasks.end() && before->second.attempt == listed.attempt;
    changed = changed || !same || before->second.state != listed.state;
    if (listed.state == wire::TaskState::running) {
      const bool ran_before = same && before->second.running_since != 0;
      task.running_since = ran_before ? before->second.running_since : now;
    }
    // How long it ran tells later whether it ended early.
    if (listed.state == wire::TaskState::exited && same)
      task.running_since = before->second.running_since;
    remember_image(machine, listed);
    machine.unconfirmed_starts.erase(listed.task);
    // The same task may be listed twice: an exited attempt and its successor.
    const auto [entry, fresh] = tasks.emplace(listed.task, task);
    if (!fresh && entry->second.state == wire::TaskState::exited) entry->second = task;
  }
  changed = changed || tasks.size() != machine.tasks.size();
  machine.tasks = std::move(tasks);
  return changed;
}

bool HeartbeatApplier::apply(Ms now, Machine& m, const wire::Heartbeat& heartbeat) {
  const HeartbeatCounters counters{heartbeat.incarnation, heartbeat.sequence};
  if (m.sequence > 0 && counters <= m.counters()) return false;  // late: says nothing new
  if (heartbeat.incarnation < m.incarnation) return false;
  if (heartbeat.incarnation > m.incarnation) begin_incarnation(now, m);
  const bool new_address = m.address != heartbeat.address;
  bool changed = m.sequence == 0 || new_address;
  changed = apply_attributes(now, m, heartbeat) || changed;
  changed = apply_tasks(now, m, heartbeat) || changed;
  machines_.refresh_from_records(m);
  const auto* record = context_.replica.machine(m.id);
  if (record &&
      (record->incarnation != m.incarnation || new_address || record->address != m.address))
    shard_records_.record_machine_state(now, m, m.state, kContactWriteDelayMs);
  reconciler_.reconcile(now, m);
  // Most heartbeats only say that all goes on.
  if (changed) {
    m.candidate_known = false;
    pass_trigger_.request();
  }
  return true;
}

}  // namespace scheduler
