#include "workers/heartbeat_applier.h"

#include <algorithm>
#include <utility>

#include "workers/timing.h"

namespace scheduler {

namespace {

// Images remembered of a machine; the oldest are forgotten.
constexpr std::size_t kImagesRemembered = 16;

}  // namespace

void HeartbeatApplier::mark_unreachable(Ms now, Machine& m) {
  ++m.fence;
  m.reachability_token = machines_.token(m);
  if (m.unreachable_since == 0) m.unreachable_since = now;
}

void HeartbeatApplier::on_agent_restart(Ms now, Machine& m, const wire::Heartbeat& heartbeat) {
  context_.log(LogLevel::info, "machine " + m.id + " has restarted");
  m.tasks.clear();
  m.images.clear();
  m.stop_requests.clear();
  m.unconfirmed_starts.clear();
  m.incarnation = heartbeat.incarnation;
  m.sequence = 0;
  m.last_heartbeat_counters = {};
  m.highest_token_seen = 0;
  m.token_confirmed = false;
  m.lease_granted_at = std::max(m.lease_granted_at, now);
  m.start_token = machines_.token(m);
  mark_unreachable(now, m);
  for (const TaskRef& ref : context_.replica.placed_on(m.id)) {
    const auto* p = context_.replica.placement(ref);
    const wire::TaskId task{ref.range.job, ref.index};
    const bool listed =
        std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                    [&](const auto& t) { return t.task == task && p && t.attempt == p->attempt; });
    if (!p || listed) continue;
    m.stop_requests[task] = {p->attempt, 0.0};
    m.unconfirmed_starts[task] = m.start_token;
  }
}

void HeartbeatApplier::begin_incarnation(Ms now, Machine& m) {
  m.tasks.clear();
  m.stop_requests.clear();
  m.unconfirmed_starts.clear();
  m.start_blocked_since.clear();
  m.images.clear();
  // Guards against counting the former incarnation's lease on: heard by a direct command alone, a
  // new incarnation was taken for expired, and what had just started in it was started elsewhere.
  m.lease_granted_at = std::max(m.lease_granted_at, now);
  // Its lease has expired although its heartbeats come: perhaps no reply reaches it. Guards against
  // a machine that draws and loses task after task.
  if (m.sequence > 0) mark_unreachable(now, m);
}

bool HeartbeatApplier::apply_attributes(Ms now, Machine& m, const wire::Heartbeat& heartbeat) {
  bool changed = false;
  m.suspect = false;
  m.incarnation = heartbeat.incarnation;
  m.sequence = heartbeat.sequence;
  m.address = heartbeat.address;
  m.type = heartbeat.type;
  m.zone = heartbeat.zone;
  m.spot = heartbeat.spot;
  m.last_contact = now;
  m.highest_token_seen = std::max(m.highest_token_seen, heartbeat.token);
  if (heartbeat.token >= ClusterView::token(m.owned_since_epoch, 0) && !m.token_confirmed)
    m.token_confirmed = changed = true;
  if (m.unreachable_since != 0 && heartbeat.token >= m.reachability_token) {
    m.unreachable_since = 0;
    m.unanswered_commands = 0;
    changed = true;
  }
  changed = changed || m.preemption_notice != heartbeat.preemption_notice_s.has_value();
  m.preemption_notice = heartbeat.preemption_notice_s.has_value();
  if (m.preemption_notice) m.preemption_at = now + to_ms(*heartbeat.preemption_notice_s);
  return changed;
}

void HeartbeatApplier::remember_image(Machine& m, const wire::TaskStatus& task) const {
  const auto job = context_.replica.jobs().find(task.task.job);
  if (task.state == wire::TaskState::exited || task.state == wire::TaskState::fetching ||
      job == context_.replica.jobs().end())
    return;
  const std::string& image = job->second.record.spec.image;
  if (std::find(m.images.begin(), m.images.end(), image) != m.images.end()) return;
  m.images.push_back(image);
  if (m.images.size() > kImagesRemembered) m.images.erase(m.images.begin());
}

bool HeartbeatApplier::apply_tasks(Ms now, Machine& m, const wire::Heartbeat& heartbeat) {
  bool changed = false;
  std::map<wire::TaskId, ReportedTask> tasks;
  for (const wire::TaskStatus& listed : heartbeat.tasks) {
    ReportedTask task;
    task.attempt = listed.attempt;
    task.state = listed.state;
    task.cause = listed.cause;
    task.checkpointed = listed.checkpointed;
    const auto before = m.tasks.find(listed.task);
    const bool same = before != m.tasks.end() && before->second.attempt == listed.attempt;
    changed = changed || !same || before->second.state != listed.state;
    if (listed.state == wire::TaskState::running) {
      const bool ran_before = same && before->second.running_since != 0;
      task.running_since = ran_before ? before->second.running_since : now;
    }
    // How long it ran tells later whether it ended early.
    if (listed.state == wire::TaskState::exited && same)
      task.running_since = before->second.running_since;
    remember_image(m, listed);
    m.unconfirmed_starts.erase(listed.task);
    // The same task may be listed twice: an exited attempt and its successor.
    const auto [entry, fresh] = tasks.emplace(listed.task, task);
    if (!fresh && entry->second.state == wire::TaskState::exited) entry->second = task;
  }
  changed = changed || tasks.size() != m.tasks.size();
  m.tasks = std::move(tasks);
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
