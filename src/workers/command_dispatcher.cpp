#include "workers/command_dispatcher.h"

#include <algorithm>
#include <utility>

#include "workers/timing.h"

namespace scheduler {

namespace {

// Limit of the exponential backoff: how many times kCommandRetryMs doubles while a machine does not
// answer.
constexpr int kCommandRetryDoublings = 3;

}  // namespace

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
  const auto commands = planner_.commands_for(now, machine);
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
