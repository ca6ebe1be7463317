// Leases of machines of our part, and what becomes of those that are silent, sick, noticed or out
// of reach.
#include <algorithm>

#include "base/constants.h"
#include "controller/controller.h"

namespace scheduler {

namespace k = constants;

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
  if (m.lease_known || !(m.touched || peers_acknowledged_epoch(m.owner_since))) return;
  m.lease_known = true;
  m.lease_from = std::max(m.lease_from, now);
}

bool Controller::lease_over(Ms now, const Machine& m) const {
  return m.lease_known &&
         static_cast<double>(now - m.lease_from) >
             settings_.lease_s * 1000.0 * (1.0 + k::kClockDrift) + k::kLeaseMarginMs;
}

// What still runs on a sick machine is stopped; it is returned once it is empty.
void Controller::empty_machine(Machine& m) {
  for (const auto& [task, seen] : m.tasks) {
    const Job* job = replica_.job(task.job);
    if (!job || seen.state == wire::TaskState::exited || m.halts.contains(task)) continue;
    m.halts[task] = {seen.attempt, job->record.spec.save_s};
    m.send_again = true;
  }
}

// The cloud takes the machine away soon.
void Controller::heed_notice(Ms now, Machine& m) {
  for (const auto& [task, seen] : m.tasks) {
    const Job* job = replica_.job(task.job);
    if (!job || seen.state == wire::TaskState::exited || m.halts.contains(task)) continue;
    const auto& spec = job->record.spec;
    const double left_s = static_cast<double>(m.notice_ends - now) / 1000.0;
    const double ran =
        seen.running_since ? static_cast<double>(now - seen.running_since) / 1000.0 : 0;
    const double need = ran < spec.estimate_s ? spec.estimate_s - ran : k::kOverrunAllowanceS;
    if (spec.is_gang()) {
      for (const auto& [number, r] : job->ranges) work_[{task.job, number}].want_stop = true;
      dirty_ = true;
      continue;
    }
    if (spec.is_service()) {
      if (left_s <= k::kServiceMoveS) move_replica(m, task, seen.attempt);
      continue;
    }
    // It may end in time; what saves is stopped when just enough is left for that.
    if (need < left_s - 1.0) continue;
    if (spec.checkpoint_s > 0 && left_s > spec.save_s + 2.0) continue;
    m.halts[task] = {seen.attempt, spec.checkpoint_s > 0 ? spec.save_s : 0.0};
    m.candidate_known = false;
    m.send_again = true;
  }
}

Ms Controller::ask_after(const Machine& m) const {
  return replica_.hosts_service(m.id) ? std::min(quiet_after(), k::kServiceQuietMs) : quiet_after();
}

bool Controller::presumed_dead(Ms now, const Machine& m, const links::HeardCount& early) const {
  const Ms quiet = now - m.heard_at;
  // Guards against returning a machine for one lost message while its report waits for a controller
  // that it reported to before and that does not answer.
  const Ms patience = silent_after() + (m.report_answered ? 0 : k::kReportAnswerMs);
  if (m.orders_failed > 0 && quiet > patience) return true;
  if (m.orders_failed < k::kProbesBeforeReturn || quiet <= quiet_after()) return false;
  // Guards against returning all services of a zone in the first seconds of a cut: when the first
  // of their machines has left two messages unanswered, most others have not been asked yet.
  return !asked_early(m) || early.mostly_heard() || quiet > quiet_after() + k::kAskedTwiceMs;
}

void Controller::watch_machines(Ms now) {
  if (!ready() || now < machines_at_ || resynchronising(now)) return;
  const auto shard = static_cast<Ms>(machines_.size());
  machines_at_ = now + std::max(k::kLookEveryMs, shard * 1000 / k::kLooksPerS);
  std::erase_if(machines_, [&](const auto& entry) {
    const Machine& m = entry.second;
    // Guards against forgetting, with the machine, which starts may still be on their way to it.
    return !m.recorded && !replica_.machine(m.id) && !m.orders_in_flight &&
           now - m.heard_at > silent_after() && replica_.placed_on(entry.first).empty();
  });
  const links::Census census = take_census(now);
  const links::Moment when = moment(now);
  for (auto& [id, m] : machines_) {
    if (m.session == 0) continue;
    learn_lease(now, m);
    const bool ready = m.recorded && m.standing == wire::MachineStanding::ready;
    const bool gone = m.standing == wire::MachineStanding::gone;
    // Its silence is that of a few, not that of a link.
    const bool few = links_.may_declare_dead(when, m.zone, census, now - m.heard_at).allowed;
    // Without the state service a newer view may exist in which another keeps the lease.
    if (gone || (can_write(now) && lease_over(now, m))) {
      // Every task it had is gone, and a start that is still on its way names an older session.
      for (const TaskRef& ref : replica_.placed_on(id)) {
        const auto* p = replica_.placement(ref);
        if (p && (gone || p->session <= m.session)) free_task(ref, p->attempt, false);
      }
      m.tasks.clear();
      m.candidate_known = false;
      // Replaced, unless it is we who hear nobody.
      if (!gone && ready && few && now - m.heard_at > silent_after())
        note_machine(now, m, wire::MachineStanding::lost, 0);
      continue;
    }
    // It reports, but nothing reaches it: what it has is stopped by its own lease, and it goes.
    if (ready && few && m.unreached_since != 0 &&
        now - m.unreached_since > to_ms(settings_.lease_s * k::kUnreachedLeases)) {
      log(LogLevel::info, "machine " + id + " cannot be reached; returning it");
      note_machine(now, m, wire::MachineStanding::lost, 0);
    }
    if (ready && few && now - m.reported_at > to_ms(settings_.lease_s * k::kUnreachedLeases) &&
        now - m.heard_at <= silent_after()) {
      log(LogLevel::info, "machine " + id + " does not report; returning it");
      note_machine(now, m, wire::MachineStanding::lost, 0);
    }
    if (m.standing == wire::MachineStanding::sick) empty_machine(m);
    // Silent to reports and to a direct command while others are heard: most likely dead, hanging
    // or taken. Returning it proves its tasks gone sooner than its lease does.
    if (ready && presumed_dead(now, m, census.early(m.zone)) && !replica_.placed_on(id).empty() &&
        (few || (census.all.mostly_heard() && hurries(m))) && !may_be_reached(now, m)) {
      log(LogLevel::info, "machine " + id + " is silent; returning it");
      note_machine(now, m, wire::MachineStanding::lost, 0);
    }
    if (m.notice && ready) note_machine(now, m, wire::MachineStanding::draining, 0);
    if (m.notice) heed_notice(now, m);
    const bool idle_probe =
        now - m.heard_at > ask_after(m) && now >= m.orders_after && !replica_.placed_on(id).empty();
    // What calls for a direct message sets send_again; the rest is looked at now and then.
    if (m.send_again || idle_probe || now >= m.send_check_at) {
      m.send_check_at = now + k::kOrdersCheckEveryMs;
      send_orders(now, m, idle_probe);
    }
  }
}

}  // namespace scheduler
