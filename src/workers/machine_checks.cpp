// Leases of machines of our part, and what becomes of those that are silent, sick, noticed or out
// of reach.
#include <algorithm>

#include "controller/controller.h"
#include "scheduling/placement.h"
#include "workers/timing.h"

namespace scheduler {

namespace {

// Relative drift of steady clocks (PROTOCOL: 0.05%), doubled for both ends being off.
constexpr double kClockDrift = 0.001;
// Milliseconds added to a lease before it counts as run out: timers fire late by a few.
constexpr std::int64_t kLeaseMarginMs = 250;
// Seconds before its machine is taken at which a replica is stopped to be moved: a halt and the
// proof of it take about one, and until then it serves.
constexpr double kServiceMoveS = 3.0;
// Direct messages that a machine without reports leaves unanswered before it is returned; one is
// enough once it counts as silent.
constexpr int kProbesBeforeReturn = 2;
// Milliseconds between looks whether a machine needs a direct message, if nothing calls for one.
constexpr std::int64_t kCommandCheckMs = 1000;
// Machines looked at in a second at most, so that the looks of a large part stay below a hundredth
// of a core: each takes about a microsecond. A part of 4,000 is then looked at every 0.8 s.
constexpr std::int64_t kMachineChecksPerS = 5000;
// Worker leases for which a machine may be out of reach, though it reports, before it is returned.
constexpr double kUnreachableLeases = 2.0;

}  // namespace

bool Controller::peers_acknowledged_epoch(std::uint64_t epoch) const {
  const auto& view = replica_.view();
  if (!view.departing.empty()) return false;
  return std::all_of(view.live.begin(), view.live.end(), [&](const auto& member) {
    if (member.first == settings_.name) return true;
    auto live = replica_.live().find(member.first);
    return live != replica_.live().end() && live->second.incarnation == member.second &&
           live->second.epoch >= epoch;
  });
}

void Controller::learn_lease(Ms now, Machine& m) const {
  if (m.lease_known || !(m.token_confirmed || peers_acknowledged_epoch(m.owned_since_epoch)))
    return;
  m.lease_known = true;
  m.lease_granted_at = std::max(m.lease_granted_at, now);
}

bool Controller::lease_expired(Ms now, const Machine& m) const {
  return m.lease_known && static_cast<double>(now - m.lease_granted_at) >
                              settings_.lease_s * 1000.0 * (1.0 + kClockDrift) + kLeaseMarginMs;
}

// What still runs on a sick machine is stopped; it is returned once it is empty.
void Controller::drain(Machine& m) {
  for (const auto& [task, seen] : m.tasks) {
    const Job* job = replica_.job(task.job);
    if (!job || seen.state == wire::TaskState::exited || m.stop_requests.contains(task)) continue;
    m.stop_requests[task] = {seen.attempt, job->record.spec.checkpoint_write_s};
    m.resend_commands = true;
  }
}

// The cloud takes the machine away soon.
void Controller::drain_before_preemption(Ms now, Machine& m) {
  for (const auto& [task, seen] : m.tasks) {
    const Job* job = replica_.job(task.job);
    if (!job || seen.state == wire::TaskState::exited || m.stop_requests.contains(task)) continue;
    const auto& spec = job->record.spec;
    const double left_s = static_cast<double>(m.preemption_at - now) / 1000.0;
    const double ran =
        seen.running_since ? static_cast<double>(now - seen.running_since) / 1000.0 : 0;
    const double need = ran < spec.estimate_s ? spec.estimate_s - ran : kOverrunAllowanceS;
    if (spec.is_gang()) {
      for (const auto& [number, r] : job->ranges)
        range_states_[{task.job, number}].stop_requested = true;
      dirty_ = true;
      continue;
    }
    if (spec.is_service()) {
      if (left_s <= kServiceMoveS) move_replica(m, task, seen.attempt);
      continue;
    }
    // It may end in time; what saves is stopped when just enough is left for that.
    if (need < left_s - 1.0) continue;
    if (spec.checkpoint_interval_s > 0 && left_s > spec.checkpoint_write_s + 2.0) continue;
    m.stop_requests[task] = {seen.attempt,
                             spec.checkpoint_interval_s > 0 ? spec.checkpoint_write_s : 0.0};
    m.candidate_known = false;
    m.resend_commands = true;
  }
}

Ms Controller::probe_after(const Machine& m) const {
  return replica_.hosts_service(m.id) ? std::min(overdue_after(), kServiceOverdueMs)
                                      : overdue_after();
}

bool Controller::presumed_dead(Ms now, const Machine& m, const links::ContactCount& early) const {
  const Ms quiet = now - m.last_contact;
  // Guards against returning a machine for one lost message while its report waits for a controller
  // that it reported to before and that does not answer.
  const Ms patience = unresponsive_after() + (m.heartbeat_answered ? 0 : kHeartbeatReplyMs);
  if (m.unanswered_commands > 0 && quiet > patience) return true;
  if (m.unanswered_commands < kProbesBeforeReturn || quiet <= overdue_after()) return false;
  // Guards against returning all services of a zone in the first seconds of a cut: when the first
  // of their machines has left two messages unanswered, most others have not been asked yet.
  return !probed_early(m) || early.mostly_responsive() ||
         quiet > overdue_after() + kTwoUnansweredCommandsMs;
}

void Controller::check_machines(Ms now) {
  if (!ready() || now < next_machine_check_ || resynchronising(now)) return;
  const auto shard = static_cast<Ms>(machines_.size());
  next_machine_check_ = now + std::max(kMachineCheckMs, shard * 1000 / kMachineChecksPerS);
  std::erase_if(machines_, [&](const auto& entry) {
    const Machine& m = entry.second;
    // Guards against forgetting, with the machine, which starts may still be on their way to it.
    return !m.recorded && !replica_.machine(m.id) && !m.commands_in_flight &&
           now - m.last_contact > unresponsive_after() && replica_.placed_on(entry.first).empty();
  });
  const links::Census census = take_census(now);
  const links::Moment when = moment(now);
  for (auto& [id, m] : machines_) {
    if (m.incarnation == 0) continue;
    learn_lease(now, m);
    const bool ready = m.recorded && m.state == wire::MachineState::ready;
    const bool gone = m.state == wire::MachineState::terminated;
    // Its silence is that of a few, not that of a link.
    const bool few = links_.may_declare_dead(when, m.zone, census, now - m.last_contact).allowed;
    // Without the state service a newer view may exist in which another keeps the lease.
    if (gone || (can_write(now) && lease_expired(now, m))) {
      // Every task it had is gone, and a start that is still on its way names an older session.
      for (const TaskRef& ref : replica_.placed_on(id)) {
        const auto* p = replica_.placement(ref);
        if (p && (gone || p->incarnation <= m.incarnation)) release_task(ref, p->attempt, false);
      }
      m.tasks.clear();
      m.candidate_known = false;
      // Replaced, unless it is we who hear nobody.
      if (!gone && ready && few && now - m.last_contact > unresponsive_after())
        record_machine_state(now, m, wire::MachineState::lost, 0);
      continue;
    }
    // It reports, but nothing reaches it: what it has is stopped by its own lease, and it goes.
    if (ready && few && m.unreachable_since != 0 &&
        now - m.unreachable_since > to_ms(settings_.lease_s * kUnreachableLeases)) {
      log(LogLevel::info, "machine " + id + " cannot be reached; returning it");
      record_machine_state(now, m, wire::MachineState::lost, 0);
    }
    if (ready && few && now - m.last_heartbeat > to_ms(settings_.lease_s * kUnreachableLeases) &&
        now - m.last_contact <= unresponsive_after()) {
      log(LogLevel::info, "machine " + id + " does not report; returning it");
      record_machine_state(now, m, wire::MachineState::lost, 0);
    }
    if (m.state == wire::MachineState::quarantined) drain(m);
    // Silent to reports and to a direct command while others are heard: most likely dead, hanging
    // or taken. Returning it proves its tasks gone sooner than its lease does.
    if (ready && presumed_dead(now, m, census.early(m.zone)) && !replica_.placed_on(id).empty() &&
        (few || (census.all.mostly_responsive() && restart_elsewhere_first(m))) &&
        !may_be_reached(now, m)) {
      log(LogLevel::info, "machine " + id + " is silent; returning it");
      record_machine_state(now, m, wire::MachineState::lost, 0);
    }
    if (m.preemption_notice && ready) record_machine_state(now, m, wire::MachineState::draining, 0);
    if (m.preemption_notice) drain_before_preemption(now, m);
    const bool idle_probe = now - m.last_contact > probe_after(m) && now >= m.next_command_at &&
                            !replica_.placed_on(id).empty();
    // What calls for a direct message sets send_again; the rest is looked at now and then.
    if (m.resend_commands || idle_probe || now >= m.next_command_check) {
      m.next_command_check = now + kCommandCheckMs;
      send_commands(now, m, idle_probe);
    }
  }
}

}  // namespace scheduler
