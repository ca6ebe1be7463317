// Commands to machines of our part: what follows from the records, and direct messages.
#include <algorithm>

#include "base/constants.h"
#include "base/log_event.h"
#include "controller/controller.h"

namespace scheduler {

namespace k = constants;

std::vector<wire::Command> Controller::commands(Ms now, Machine& m) {
  std::vector<wire::Command> out;
  const auto* type = replica_.type(m.type);
  double cpus = type ? type->cpus : 1e9, gpus = type ? type->gpus : 1e9,
         memory = type ? type->memory_gb : 1e9;
  bool clears = false, stopping = false;
  // What the worker lists.
  for (const auto& [task, seen] : m.tasks) {
    if (out.size() >= k::kCommandsPerMessage) break;
    auto job = replica_.jobs().find(task.job);
    const Job* known = job == replica_.jobs().end() ? nullptr : &job->second;
    const wire::Placement* p = nullptr;
    TaskRef ref;
    if (known) {
      for (const auto& [number, r] : known->ranges) {
        if (task.index < r.begin || task.index >= r.end) continue;
        auto at = r.placed.find(task.index);
        if (at != r.placed.end() && at->second.machine == m.id &&
            at->second.attempt == seen.attempt && at->second.session == m.session) {
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
    const bool saves = known && known->known && known->record.spec.checkpoint_s > 0;
    if (!p) {
      grace = 0;  // not recorded: must not run
    } else if (unwanted(m, ref, *p)) {
      auto h = m.halts.find(task);
      const bool wanted = known->known && !called_off(task.job, *known);
      if (wanted && h != m.halts.end() && h->second.first == seen.attempt) {
        grace = h->second.second;
      } else if (wanted && known->record.spec.is_gang()) {
        grace = saves ? known->record.spec.save_s + settings_.gang_peer_s : 0;
      } else {
        grace = 0;
      }
    }
    bool leaves = false;
    if (grace >= 0) {
      stopping = true;
      // Saving goes on undisturbed unless it is of no use any more.
      if (seen.state != wire::TaskState::saving || grace == 0) {
        out.push_back({wire::CommandKind::stop, task, seen.attempt, grace});
        const bool cancelled = known && known->known && called_off(task.job, *known);
        log_command(m, out.back(), p, !p ? "not_recorded" : cancelled ? "cancelled" : "unwanted");
      }
      leaves = grace == 0 || !saves || seen.state == wire::TaskState::fetching ||
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
  if ((clears || absence_open(m)) && token(m) <= m.start_token) ++m.fence;
  // What is recorded and not listed. Nothing is started while the state service is silent.
  if (can_write(now) && m.sequence > 0) {
    for (const TaskRef& ref : replica_.placed_on(m.id)) {
      if (out.size() >= k::kCommandsPerMessage) break;
      const auto* p = replica_.placement(ref);
      const Job* job = replica_.job(ref.range.job);
      if (!p || !job || p->session != m.session || unwanted(m, ref, *p)) continue;
      const wire::TaskId task{ref.range.job, ref.index};
      auto seen = m.tasks.find(task);
      if (seen != m.tasks.end() && seen->second.attempt == p->attempt) continue;
      if (freed(ref, p->attempt)) continue;
      const auto& spec = job->record.spec;
      if (cpus + k::kAmountSlack < spec.cpus || gpus + k::kAmountSlack < spec.gpus ||
          memory + k::kAmountSlack < spec.memory_gb) {
        if (!stopping && !spec.is_gang()) abandon_blocked_start(now, m, task, p->attempt);
        continue;  // waits for what is being stopped
      }
      m.blocked_since.erase(task);
      cpus -= spec.cpus;
      gpus -= spec.gpus;
      memory -= spec.memory_gb;
      out.push_back({wire::CommandKind::start, task, p->attempt, 0});
      log_command(m, out.back(), p, "placed");
      m.start_token = token(m);
      m.unseen_starts[task] = token(m);
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
  event.field("session", placement ? placement->session : m.session).field("reason", reason);
  event.field("revision", newest_revision(command.task.job))
      .field("watched", state_client_.applied_revision());
  log(LogLevel::debug, event.text());
}

// Guards against a start that waits for ever: two controllers may have filled the same machine at
// the same time, and what runs there may be a service, which does not end. The task is placed anew
// once the machine has shown that it does not have it.
void Controller::abandon_blocked_start(Ms now, Machine& m, const wire::TaskId& task,
                                       std::uint64_t attempt) {
  auto [since, fresh] = m.blocked_since.try_emplace(task, now);
  if (fresh || now - since->second < k::kBlockedStartMs) return;
  log(LogLevel::info, "no room for " + wire::task_name(task.job, task.index) + " on " + m.id);
  m.halts[task] = {attempt, 0.0};
  m.blocked_since.erase(since);
  m.candidate_known = false;
  m.send_again = true;
}

bool Controller::direct_needed(const Machine& m, const std::vector<wire::Command>& list) const {
  if (!m.touched || m.unreached_since != 0 || m.doubted) return true;
  if (std::any_of(list.begin(), list.end(),
                  [](const auto& c) { return c.kind != wire::CommandKind::forget; }))
    return true;
  return absence_open(m);
}

void Controller::send_orders(Ms now, Machine& m, bool probe) {
  if (!ready() || m.address.empty() || m.session == 0 || deposed(now) || resynchronising(now))
    return;
  if (m.orders_in_flight) {
    m.send_again = true;
    return;
  }
  if (now < m.orders_after) return;
  const auto list = commands(now, m);
  m.send_again = false;
  if (!probe && !direct_needed(m, list)) return;
  // Bounded, or a cut would take all sockets; those that do not answer must not be in the way.
  const bool doubtful = m.orders_failed > 0 || now - m.heard_at > silent_after();
  int& out = doubtful ? probes_out_ : orders_out_;
  if (out >= (doubtful ? capacity_.probes : capacity_.direct_messages)) {
    m.send_again = true;
    return;
  }
  ++out;
  m.orders_in_flight = true;
  m.send_again = false;
  SentOrders sent{m.id, m.owner_since, Counters(m.session, m.sequence), doubtful, false, pauses_};
  std::string body = wire::orders_body(token(m), m.session, list);
  if (const auto peer = relay_for(now, m)) {
    sent.relayed = true;
    if (relay_.send_command(
            now, now + wall_offset_, *peer, m.address, body,
            [this, sent](Ms at, const Outcome& outcome) { on_orders(at, sent, outcome); }))
      return;
    sent.relayed = false;
  }
  call(Target::worker, m.address, "POST", wire::kOrdersPath, std::move(body), k::kOrdersTimeoutMs,
       [this, sent](Ms at, const Outcome& outcome) { on_orders(at, sent, outcome); });
}

void Controller::on_orders(Ms now, const SentOrders& sent, const Outcome& outcome) {
  --(sent.doubtful ? probes_out_ : orders_out_);
  auto it = machines_.find(sent.machine);
  if (it == machines_.end()) return;
  Machine& m = it->second;
  m.orders_in_flight = false;
  if (m.owner_since != sent.owner_since) return;
  const bool current = sent.pauses == pauses_;
  wire::MachineReport report;
  if ((outcome.status == 200 || outcome.status == 409) &&
      wire::parse_report(outcome.body, report) && report.machine == m.id) {
    const bool again = Counters(report.session, report.sequence) <= sent.counters;
    if (again) restarted(now, m, report);
    take_report(now, m, report);
    m.doubted = false;
    m.orders_failed = 0;
    m.relayed_unanswered = false;
    if (!sent.relayed) {
      m.direct_failed_at = 0;
      links_.zone(m.zone).answered(now);
    }
    // It has answered, so it is within reach. A restarted one shows our token first.
    if (!again) m.unreached_since = 0;
    m.orders_after = outcome.status == 200 ? now : now + k::kOrdersRetryMs / 4;
    // What was stopped may be gone, and what waits for its room can start.
    m.send_check_at = std::min(m.send_check_at, now + k::kLookEveryMs);
  } else if (!current) {
    // We were not there to hear it. It may have been executed, or may still be.
    ++m.fence;
    m.candidate_known = false;
    m.send_again = true;
    m.orders_after = now;
  } else {
    on_unanswered_orders(now, m, sent);
  }
  if (m.send_again) send_orders(now, m);
}

// May still be executed: everything sent from now on outruns it.
void Controller::on_unanswered_orders(Ms now, Machine& m, const SentOrders& sent) {
  out_of_reach(now, m);
  m.candidate_known = false;
  m.send_again = true;
  const bool first_of_service = m.orders_failed == 0 && asked_early(m);
  m.orders_after = now;
  m.relayed_unanswered = sent.relayed;
  if (!sent.relayed) {
    m.direct_failed_at = now;
    if (now - m.reported_at <= quiet_after()) links_.zone(m.zone).suspect_commands();
  }
  // The next goes another way at once, if there is one.
  const bool other_way = !sent.relayed && relay_for(now, m).has_value();
  if (!first_of_service && !other_way)
    m.orders_after += k::kOrdersRetryMs << std::min(m.orders_failed, k::kOrdersRetryDoubles);
  ++m.orders_failed;
}

}  // namespace scheduler
