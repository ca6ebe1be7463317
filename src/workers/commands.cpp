// Commands to machines of our part: what follows from the records, and direct messages.
#include <algorithm>

#include "base/log_event.h"
#include "base/resources.h"
#include "controller/controller.h"
#include "workers/timing.h"

namespace scheduler {

namespace {

// Milliseconds for which a recorded start may wait for room while nothing on its machine is being
// stopped: reports of what ended come within one.
constexpr std::int64_t kBlockedStartMs = 2500;
// Commands in one message to a worker; keeps any body far below 64 KiB.
constexpr std::size_t kCommandsPerMessage = 200;
// Times that this interval doubles while a machine goes on not answering.
constexpr int kCommandRetryDoublings = 3;

}  // namespace

std::vector<wire::Command> Controller::commands_for(Ms now, Machine& m) {
  std::vector<wire::Command> out;
  const auto* type = replica_.type(m.type);
  double cpus = type ? type->cpus : 1e9, gpus = type ? type->gpus : 1e9,
         memory = type ? type->memory_gb : 1e9;
  bool clears = false, stopping = false;
  // What the worker lists.
  for (const auto& [task, seen] : m.tasks) {
    if (out.size() >= kCommandsPerMessage) break;
    auto job = replica_.jobs().find(task.job);
    const Job* known = job == replica_.jobs().end() ? nullptr : &job->second;
    const wire::Placement* p = nullptr;
    TaskRef ref;
    if (known) {
      for (const auto& [number, r] : known->ranges) {
        if (task.index < r.begin || task.index >= r.end) continue;
        auto at = r.placed.find(task.index);
        if (at != r.placed.end() && at->second.machine == m.id &&
            at->second.attempt == seen.attempt && at->second.incarnation == m.incarnation) {
          p = &at->second;
          ref = {{task.job, number}, task.index};
        }
      }
    }
    if (seen.state == wire::TaskState::exited) {
      if (!p) {
        out.push_back({wire::CommandKind::forget, task, seen.attempt, 0});
        clears = true;
      }
      continue;
    }
    double grace = -1;
    const bool checkpoints = known && known->known && known->record.spec.checkpoint_interval_s > 0;
    if (!p) {
      grace = 0;  // not recorded: must not run
    } else if (must_not_run(m, ref, *p)) {
      auto h = m.stop_requests.find(task);
      const bool wanted = known->known && !is_cancelled(task.job, *known);
      if (wanted && h != m.stop_requests.end() && h->second.first == seen.attempt) {
        grace = h->second.second;
      } else if (wanted && known->record.spec.is_gang()) {
        grace = checkpoints ? known->record.spec.checkpoint_write_s + settings_.gang_peer_s : 0;
      } else {
        grace = 0;
      }
    }
    bool leaves = false;
    if (grace >= 0) {
      stopping = true;
      // Saving goes on undisturbed unless it is of no use any more.
      if (seen.state != wire::TaskState::checkpointing || grace == 0) {
        out.push_back({wire::CommandKind::stop, task, seen.attempt, grace});
        const bool cancelled = known && known->known && is_cancelled(task.job, *known);
        log_command(m, out.back(), p, !p ? "not_recorded" : cancelled ? "cancelled" : "unwanted");
      }
      leaves = grace == 0 || !checkpoints || seen.state == wire::TaskState::fetching ||
               seen.state == wire::TaskState::waiting;
    }
    if (!leaves && known) {
      const auto& spec = known->record.spec;
      cpus -= spec.cpus;
      gpus -= spec.gpus;
      memory -= spec.memory_gb;
    }
  }
  // A copy of a start for what is cleared may still be on its way; the new token refuses it. A
  // recorded task that is not wanted and not listed: a higher token settles whether it can still
  // start. Both before any start of this message is noted with the token that carries it.
  if ((clears || has_unproven_absence(m)) && token(m) <= m.start_token) ++m.fence;
  // What is recorded and not listed. Nothing is started while the state service is silent.
  if (can_write(now) && m.sequence > 0) {
    for (const TaskRef& ref : replica_.placed_on(m.id)) {
      if (out.size() >= kCommandsPerMessage) break;
      const auto* p = replica_.placement(ref);
      const Job* job = replica_.job(ref.range.job);
      if (!p || !job || p->incarnation != m.incarnation || must_not_run(m, ref, *p)) continue;
      const wire::TaskId task{ref.range.job, ref.index};
      auto seen = m.tasks.find(task);
      if (seen != m.tasks.end() && seen->second.attempt == p->attempt) continue;
      if (released(ref, p->attempt)) continue;
      const auto& spec = job->record.spec;
      if (cpus + kAmountSlack < spec.cpus || gpus + kAmountSlack < spec.gpus ||
          memory + kAmountSlack < spec.memory_gb) {
        if (!stopping && !spec.is_gang()) abandon_blocked_start(now, m, task, p->attempt);
        continue;  // waits for what is being stopped
      }
      m.start_blocked_since.erase(task);
      cpus -= spec.cpus;
      gpus -= spec.gpus;
      memory -= spec.memory_gb;
      out.push_back({wire::CommandKind::start, task, p->attempt, 0});
      log_command(m, out.back(), p, "placed");
      m.start_token = token(m);
      m.unconfirmed_starts[task] = token(m);
    }
  }
  return out;
}

void Controller::log_command(const Machine& m, const wire::Command& command,
                             const wire::Placement* placement, std::string_view reason) {
  if (!logs_debug()) return;
  LogEvent event(command.kind == wire::CommandKind::start ? "start" : "stop");
  event.field("task", wire::task_name(command.task.job, command.task.index));
  event.field("attempt", command.attempt).field("machine", m.id).field("token", token(m));
  event.field("session", placement ? placement->incarnation : m.incarnation)
      .field("reason", reason);
  event.field("revision", newest_revision(command.task.job))
      .field("watched", state_client_.applied_revision());
  log(LogLevel::debug, event.text());
}

// Guards against a start that waits for ever: two controllers may have filled the same machine at
// the same time, and what runs there may be a service, which does not end. The task is placed anew
// once the machine has shown that it does not have it.
void Controller::abandon_blocked_start(Ms now, Machine& m, const wire::TaskId& task,
                                       std::uint64_t attempt) {
  auto [since, fresh] = m.start_blocked_since.try_emplace(task, now);
  if (fresh || now - since->second < kBlockedStartMs) return;
  log(LogLevel::info, "no room for " + wire::task_name(task.job, task.index) + " on " + m.id);
  m.stop_requests[task] = {attempt, 0.0};
  m.start_blocked_since.erase(since);
  m.candidate_known = false;
  m.resend_commands = true;
}

bool Controller::needs_direct_command(const Machine& m,
                                      const std::vector<wire::Command>& list) const {
  if (!m.token_confirmed || m.unreachable_since != 0 || m.suspect) return true;
  if (std::any_of(list.begin(), list.end(),
                  [](const auto& c) { return c.kind != wire::CommandKind::forget; }))
    return true;
  return has_unproven_absence(m);
}

void Controller::send_commands(Ms now, Machine& m, bool probe) {
  if (!ready() || m.address.empty() || m.incarnation == 0 || deposed(now) || resynchronising(now))
    return;
  if (m.commands_in_flight) {
    m.resend_commands = true;
    return;
  }
  if (now < m.next_command_at) return;
  const auto list = commands_for(now, m);
  m.resend_commands = false;
  if (!probe && !needs_direct_command(m, list)) return;
  // Bounded, or a cut would take all sockets; those that do not answer must not be in the way.
  const bool suspect = m.unanswered_commands > 0 || now - m.last_contact > unresponsive_after();
  int& out = suspect ? probes_in_flight_ : direct_commands_in_flight_;
  if (out >= (suspect ? capacity_.probes : capacity_.direct_messages)) {
    m.resend_commands = true;
    return;
  }
  ++out;
  m.commands_in_flight = true;
  m.resend_commands = false;
  SentCommands sent{
      m.id, m.owned_since_epoch, Counters(m.incarnation, m.sequence), suspect, false, pauses_};
  std::string body = wire::commands_body(token(m), m.incarnation, list);
  if (const auto peer = relay_for(now, m)) {
    sent.relayed = true;
    if (relay_.send_command(now, now + wall_offset_, *peer, m.address, body,
                            [this, sent](Ms at, const HttpResult& http_result) {
                              on_command_result(at, sent, http_result);
                            }))
      return;
    sent.relayed = false;
  }
  call(Target::worker, m.address, "POST", wire::kCommandsPath, std::move(body), kCommandTimeoutMs,
       [this, sent](Ms at, const HttpResult& http_result) {
         on_command_result(at, sent, http_result);
       });
}

void Controller::on_command_result(Ms now, const SentCommands& sent,
                                   const HttpResult& http_result) {
  --(sent.suspect ? probes_in_flight_ : direct_commands_in_flight_);
  auto it = machines_.find(sent.machine);
  if (it == machines_.end()) return;
  Machine& m = it->second;
  m.commands_in_flight = false;
  if (m.owned_since_epoch != sent.owned_since_epoch) return;
  const bool current = sent.pauses == pauses_;
  const bool replied = http_result.status == 200 || http_result.status == 409;
  const auto decoded = replied ? wire::parse_heartbeat(http_result.body)
                               : wire::decode_error("status", "200 or 409");
  if (decoded && decoded->machine == m.id) {
    const wire::Heartbeat& heartbeat = *decoded;
    const bool again = Counters(heartbeat.incarnation, heartbeat.sequence) <= sent.counters;
    if (again) on_agent_restart(now, m, heartbeat);
    apply_heartbeat(now, m, heartbeat);
    m.suspect = false;
    m.unanswered_commands = 0;
    m.relayed_command_unanswered = false;
    if (!sent.relayed) {
      m.direct_command_failed_at = 0;
      links_.zone(m.zone).answered(now);
    }
    // It has answered, so it is within reach. A restarted one shows our token first.
    if (!again) m.unreachable_since = 0;
    m.next_command_at = http_result.status == 200 ? now : now + kCommandRetryMs / 4;
    // What was stopped may be gone, and what waits for its room can start.
    m.next_command_check = std::min(m.next_command_check, now + kMachineCheckMs);
  } else if (!current) {
    // We were not there to hear it. It may have been executed, or may still be.
    ++m.fence;
    m.candidate_known = false;
    m.resend_commands = true;
    m.next_command_at = now;
  } else {
    on_commands_unanswered(now, m, sent);
  }
  if (m.resend_commands) send_commands(now, m);
}

// May still be executed: everything sent from now on outruns it.
void Controller::on_commands_unanswered(Ms now, Machine& m, const SentCommands& sent) {
  mark_unreachable(now, m);
  m.candidate_known = false;
  m.resend_commands = true;
  const bool first_of_service = m.unanswered_commands == 0 && probed_early(m);
  m.next_command_at = now;
  m.relayed_command_unanswered = sent.relayed;
  if (!sent.relayed) {
    m.direct_command_failed_at = now;
    if (now - m.last_heartbeat <= overdue_after()) links_.zone(m.zone).suspect_commands();
  }
  // The next goes another way at once, if there is one.
  const bool other_way = !sent.relayed && relay_for(now, m).has_value();
  if (!first_of_service && !other_way)
    m.next_command_at += kCommandRetryMs << std::min(m.unanswered_commands, kCommandRetryDoublings);
  ++m.unanswered_commands;
}

}  // namespace scheduler
