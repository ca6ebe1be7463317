#include "workers/command_dispatcher.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"
#include "base/resources.h"
#include "state/job_revision.h"
#include "workers/timing.h"

namespace scheduler {

namespace {

// Milliseconds that a recorded start may wait for capacity while no task on its machine is being
// stopped. Heartbeats that report ended tasks arrive within one second.
constexpr std::int64_t kBlockedStartTimeoutMs = 2500;
// Maximum number of commands in one message to a worker; keeps its body far below 64 KiB.
constexpr std::size_t kMaxCommandsPerMessage = 200;
// Limit of the exponential backoff: how many times kCommandRetryMs doubles while a machine does not
// answer.
constexpr int kCommandRetryDoublings = 3;

}  // namespace

void CommandDispatcher::add_commands_for_listed(const Machine& machine, CommandPlan& plan) const {
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

CommandDispatcher::ListedTask CommandDispatcher::find_listed(const Machine& machine,
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

std::optional<double> CommandDispatcher::grace_to_stop(const Machine& machine,
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

bool CommandDispatcher::add_stop(const Machine& machine, const ListedTask& listed,
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

void CommandDispatcher::add_starts(Ms now, Machine& machine, CommandPlan& plan) {
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

std::vector<wire::Command> CommandDispatcher::commands_for(Ms now, Machine& machine) {
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

void CommandDispatcher::log_command(const Machine& machine, const wire::Command& command,
                                    const wire::Placement* placement,
                                    std::string_view reason) const {
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

void CommandDispatcher::abandon_blocked_start(Ms now, Machine& machine,
                                              const TaskAttempt& attempt) {
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

bool CommandDispatcher::needs_direct_command(const Machine& machine,
                                             const std::vector<wire::Command>& commands) const {
  if (!machine.token_confirmed || machine.unreachable_since != 0 || machine.suspect) return true;
  if (std::any_of(commands.begin(), commands.end(),
                  [](const auto& c) { return c.kind != wire::CommandKind::forget; }))
    return true;
  return reconciler_.has_unproven_absence(machine);
}

void CommandDispatcher::send(Ms now, Machine& machine, bool probe) {
  if (!status_.ready() || machine.address.empty() || machine.incarnation == 0 ||
      status_.deposed(now) || status_.resynchronising(now))
    return;
  if (machine.commands_in_flight) {
    machine.resend_commands = true;
    return;
  }
  if (now < machine.next_command_at) return;
  const auto commands = commands_for(now, machine);
  machine.resend_commands = false;
  if (!probe && !needs_direct_command(machine, commands)) return;
  // The number of messages in flight is limited so that a partition does not use up all sockets.
  // Unresponsive machines have a separate limit so that they don't delay messages to responsive
  // ones.
  const bool unresponsive = machine.unanswered_commands > 0 ||
                            now - machine.last_contact > machines_.unresponsive_after();
  int& in_flight = unresponsive ? probes_in_flight_ : direct_commands_in_flight_;
  if (in_flight >= (unresponsive ? context_.capacity.probes : context_.capacity.direct_messages)) {
    machine.resend_commands = true;
    return;
  }
  ++in_flight;
  machine.commands_in_flight = true;
  machine.resend_commands = false;
  SentCommands sent{machine.id,
                    machine.owned_since_epoch,
                    HeartbeatCounters{machine.incarnation, machine.sequence},
                    unresponsive,
                    false,
                    status_.pauses()};
  std::string body = wire::commands_body(machines_.token(machine), machine.incarnation, commands);
  if (const auto peer = worker_links_.relay_for(now, machine)) {
    sent.relayed = true;
    if (relay_.send_command(now, status_.wall(now), *peer, machine.address, body,
                            [this, sent](Ms at, const HttpResult& http_result) {
                              on_command_result(at, sent, http_result);
                            }))
      return;
    sent.relayed = false;
  }
  context_.send_request(Target::worker, machine.address, "POST", wire::kCommandsPath,
                        std::move(body), kCommandTimeoutMs,
                        [this, sent](Ms at, const HttpResult& http_result) {
                          on_command_result(at, sent, http_result);
                        });
}

void CommandDispatcher::on_command_result(Ms now, const SentCommands& sent,
                                          const HttpResult& http_result) {
  --(sent.unresponsive ? probes_in_flight_ : direct_commands_in_flight_);
  auto entry = machines_.find(sent.machine);
  if (entry == machines_.end()) return;
  Machine& machine = entry->second;
  machine.commands_in_flight = false;
  if (machine.owned_since_epoch != sent.owned_since_epoch) return;
  const bool current = sent.pauses == status_.pauses();
  const bool replied = http_result.status == 200 || http_result.status == 409;
  const auto decoded = replied ? wire::parse_heartbeat(http_result.body)
                               : wire::decode_error("status", "200 or 409");
  if (decoded && decoded->machine == machine.id) {
    const wire::Heartbeat& heartbeat = *decoded;
    const bool restarted =
        HeartbeatCounters{heartbeat.incarnation, heartbeat.sequence} <= sent.counters;
    if (restarted) heartbeat_applier_.on_agent_restart(now, machine, heartbeat);
    heartbeat_applier_.apply(now, machine, heartbeat);
    machine.suspect = false;
    machine.unanswered_commands = 0;
    machine.relayed_command_unanswered = false;
    if (!sent.relayed) {
      machine.direct_command_failed_at = 0;
      links_.zone(machine.zone).answered(now);
    }
    // The machine has answered and so is reachable. A restarted one must first report a token of
    // this controller.
    if (!restarted) machine.unreachable_since = 0;
    machine.next_command_at = http_result.status == 200 ? now : now + kCommandRetryMs / 4;
    // Stopped tasks may have ended by now, so that starts waiting for their capacity can be sent.
    machine.next_command_check =
        std::min(machine.next_command_check, now + kMachineCheckIntervalMs);
  } else if (!current) {
    // This process was paused when the reply was due. The commands may have been executed, or may
    // still be.
    ++machine.fence;
    machine.candidate_valid = false;
    machine.resend_commands = true;
    machine.next_command_at = now;
  } else {
    on_commands_unanswered(now, machine, sent);
  }
  if (machine.resend_commands) send(now, machine);
}

void CommandDispatcher::on_commands_unanswered(Ms now, Machine& machine, const SentCommands& sent) {
  heartbeat_applier_.mark_unreachable(now, machine);
  machine.candidate_valid = false;
  machine.resend_commands = true;
  const bool first_early_probe =
      machine.unanswered_commands == 0 && machines_.probed_early(machine);
  machine.next_command_at = now;
  machine.relayed_command_unanswered = sent.relayed;
  if (!sent.relayed) {
    machine.direct_command_failed_at = now;
    if (now - machine.last_heartbeat <= machines_.overdue_after())
      links_.zone(machine.zone).suspect_commands();
  }
  // The next message is sent through a relay at once, if one is available.
  const bool relay_available = !sent.relayed && worker_links_.relay_for(now, machine).has_value();
  if (!first_early_probe && !relay_available)
    machine.next_command_at += kCommandRetryMs
                               << std::min(machine.unanswered_commands, kCommandRetryDoublings);
  ++machine.unanswered_commands;
}

}  // namespace scheduler
