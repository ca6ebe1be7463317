#include "workers/command_planner.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"
#include "state/job_revision.h"

namespace scheduler {

namespace {

// Milliseconds that a recorded start may wait for capacity while no task on its machine is being
// stopped. Heartbeats that report ended tasks arrive within one second.
constexpr std::int64_t kBlockedStartTimeoutMs = 2500;
// Maximum number of commands in one message to a worker; keeps its body far below 64 KiB.
constexpr std::size_t kMaxCommandsPerMessage = 200;

}  // namespace

void CommandPlanner::add_commands_for_listed(const Machine& machine, CommandPlan& plan) const {
  for (const auto& [attempt, reported] : machine.tasks) {
    if (plan.commands.size() >= kMaxCommandsPerMessage) break;
    const ListedTask listed = find_listed(machine, attempt);
    if (reported.state == wire::TaskState::exited) {
      if (listed.placement) continue;
      plan.commands.push_back({wire::CommandKind::forget, attempt.task, attempt.attempt, 0});
      plan.has_forget = true;
      continue;
    }
    const std::optional<double> grace_s = grace_to_stop(machine, listed, attempt);
    const bool frees_capacity =
        grace_s && add_stop(machine, listed, attempt, reported, *grace_s, plan);
    if (!frees_capacity && listed.job) plan.free -= resources_of(listed.job->record.spec);
  }
}

CommandPlanner::ListedTask CommandPlanner::find_listed(const Machine& machine,
                                                       const TaskAttempt& attempt) const {
  const wire::TaskId& task = attempt.task;
  ListedTask listed;
  const auto job = context_.replica.jobs().find(task.job);
  if (job == context_.replica.jobs().end()) return listed;
  listed.job = &job->second;
  for (const auto& [number, range] : job->second.ranges) {
    if (task.index < range.begin || task.index >= range.end) continue;
    const auto placed = range.placed.find(task.index);
    if (placed != range.placed.end() && placed->second.machine == machine.id &&
        placed->second.attempt == attempt.attempt &&
        placed->second.incarnation == machine.incarnation) {
      listed.placement = &placed->second;
      listed.ref = {{task.job, number}, task.index};
    }
  }
  return listed;
}

std::optional<double> CommandPlanner::grace_to_stop(const Machine& machine,
                                                    const ListedTask& listed,
                                                    const TaskAttempt& attempt) const {
  if (!listed.placement) return 0.0;  // not recorded: must not run
  if (!reconciler_.must_not_run(machine, listed.ref, *listed.placement)) return std::nullopt;
  const Job& job = *listed.job;
  if (!job.known || cancellations_.is_cancelled(attempt.task.job, job)) return 0.0;
  if (const auto request = machine.stop_requests.find(attempt);
      request != machine.stop_requests.end())
    return request->second;
  const wire::JobSpec& spec = job.record.spec;
  // The tasks of a gang stop together; the grace period gives all of them time to write
  // checkpoints.
  if (spec.is_gang() && spec.checkpoint_interval_s > 0)
    return spec.checkpoint_write_s + context_.settings.gang_peer_s;
  return 0.0;
}

bool CommandPlanner::add_stop(const Machine& machine, const ListedTask& listed,
                              const TaskAttempt& attempt, const ReportedTask& reported,
                              double grace_s, CommandPlan& plan) const {
  plan.stopping = true;
  // A checkpoint in progress is not interrupted unless it is no longer needed.
  if (reported.state != wire::TaskState::checkpointing || grace_s == 0) {
    plan.commands.push_back({wire::CommandKind::stop, attempt.task, attempt.attempt, grace_s});
    const bool cancelled = listed.job && listed.job->known &&
                           cancellations_.is_cancelled(attempt.task.job, *listed.job);
    log_command(machine, plan.commands.back(), listed.placement,
                !listed.placement ? "not_recorded"
                : cancelled       ? "cancelled"
                                  : "must_not_run");
  }
  const bool checkpoints =
      listed.job && listed.job->known && listed.job->record.spec.checkpoint_interval_s > 0;
  return grace_s == 0 || !checkpoints || reported.state == wire::TaskState::fetching ||
         reported.state == wire::TaskState::waiting;
}

void CommandPlanner::add_starts(Ms now, Machine& machine, CommandPlan& plan) {
  for (const TaskRef& ref : context_.replica.placed_on(machine.id)) {
    if (plan.commands.size() >= kMaxCommandsPerMessage) break;
    const auto* placement = context_.replica.placement(ref);
    const Job* job = context_.replica.job(ref.range.job);
    if (!placement || !job || placement->incarnation != machine.incarnation ||
        reconciler_.must_not_run(machine, ref, *placement))
      continue;
    const TaskAttempt attempt{{ref.range.job, ref.index}, placement->attempt};
    if (machine.reported(attempt)) continue;
    if (ranges_.is_released(ref, placement->attempt)) continue;
    const wire::JobSpec& spec = job->record.spec;
    if (!plan.free.fits(resources_of(spec))) {
      if (!plan.stopping && !spec.is_gang()) abandon_blocked_start(now, machine, attempt);
      continue;  // waits for the tasks that are being stopped
    }
    machine.start_blocked_since.erase(attempt);
    plan.free -= resources_of(spec);
    plan.commands.push_back({wire::CommandKind::start, attempt.task, attempt.attempt, 0});
    log_command(machine, plan.commands.back(), placement, "placed");
    machine.start_token = machines_.token(machine);
    machine.unconfirmed_starts[attempt] = machine.start_token;
  }
}

std::vector<wire::Command> CommandPlanner::commands_for(Ms now, Machine& machine) {
  CommandPlan plan;
  if (const auto* type = context_.replica.type(machine.type)) plan.free = resources_of(*type);
  add_commands_for_listed(machine, plan);
  // A delayed start of a forgotten task may still be in flight; the worker rejects it under the new
  // token. For a recorded task that must not run and is not listed, a higher token settles whether
  // it can still start. Raise the token before starts of this message are stored with it.
  if ((plan.has_forget || reconciler_.has_unproven_absence(machine)) &&
      machines_.token(machine) <= machine.start_token)
    ++machine.fence;
  // No task is started while the state service does not answer.
  if (context_.can_write(now) && machine.sequence > 0) add_starts(now, machine, plan);
  return std::move(plan.commands);
}

void CommandPlanner::log_command(const Machine& machine, const wire::Command& command,
                                 const wire::Placement* placement, std::string_view reason) const {
  if (!context_.logs_debug()) return;
  LogEvent event(command.kind == wire::CommandKind::start ? "start" : "stop");
  event.field("task", wire::task_name(command.task.job, command.task.index));
  event.field("attempt", command.attempt)
      .field("machine", machine.id)
      .field("token", machines_.token(machine));
  event.field("incarnation", placement ? placement->incarnation : machine.incarnation)
      .field("reason", reason);
  event
      .field("revision",
             newest_job_revision(context_.replica, context_.state_client, command.task.job))
      .field("applied", context_.state_client.applied_revision());
  context_.log(LogLevel::debug, event.text());
}

void CommandPlanner::abandon_blocked_start(Ms now, Machine& machine, const TaskAttempt& attempt) {
  auto [blocked_since, inserted] = machine.start_blocked_since.try_emplace(attempt, now);
  if (inserted || now - blocked_since->second < kBlockedStartTimeoutMs) return;
  context_.log(LogLevel::info, "no capacity for " +
                                   wire::task_name(attempt.task.job, attempt.task.index) + " on " +
                                   machine.id);
  machine.stop_requests[attempt] = 0;
  machine.start_blocked_since.erase(blocked_since);
  machine.candidate_valid = false;
  machine.resend_commands = true;
}

}  // namespace scheduler
