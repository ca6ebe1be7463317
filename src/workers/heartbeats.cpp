// Reports of machines of our part, and what they prove about recorded tasks.
#include <algorithm>

#include "base/types.h"
#include "controller/controller.h"
#include "workers/timing.h"

namespace scheduler {

namespace {

// Milliseconds for which a machine that refused a start for lack of room is passed over.
constexpr std::int64_t kNoRoomPauseMs = 1500;
// Report intervals without a report after which a machine gets nothing new; reports come at up to
// 1.25 intervals, so this allows one to be lost.
constexpr double kUnresponsiveIntervals = 2.6;
// Report intervals without a report after which it is asked directly; just above the longest.
constexpr double kOverdueIntervals = 1.4;
// Estimated seconds of high-priority tasks that are begun again rather than waited for when their
// zone is cut off; cuts last about a minute.
constexpr double kRestartElsewhereS = 30.0;
// Share of a worker lease without a report after which a machine gets nothing new though it answers
// direct messages: its lease is about to end. After a crash of its controller it finds the next in
// 5 s as a rule, well within.
constexpr double kHeartbeatsMissingLeaseShare = 0.6;

}  // namespace

Ms Controller::unresponsive_after() const {
  return to_ms(settings_.heartbeat_interval_s * kUnresponsiveIntervals);
}

Ms Controller::overdue_after() const {
  return to_ms(settings_.heartbeat_interval_s * kOverdueIntervals);
}

// All that it runs is short and must be done soon: it is sooner begun again elsewhere than heard of
// when a cut is over.
bool Controller::restart_elsewhere_first(const Machine& m) const {
  const auto& tasks = replica_.placed_on(m.id);
  return std::all_of(tasks.begin(), tasks.end(), [this](const TaskRef& ref) {
    const Job* job = replica_.job(ref.range.job);
    return job && !job->record.spec.is_service() &&
           job->record.spec.priority >= wire::Priority::high &&
           job->record.spec.estimate_s <= kRestartElsewhereS;
  });
}

bool Controller::usable(Ms now, const Machine& m) const {
  return m.recorded && m.state == wire::MachineState::ready && m.sequence > 0 &&
         m.token_confirmed && m.unreachable_since == 0 && !m.preemption_notice &&
         now - m.last_contact < unresponsive_after() && !heartbeats_missing(now, m) &&
         now >= m.full_until;
}

// It answers direct messages, but its reports do not come, and only answers to those renew its
// lease. Guards against a machine that draws task after task and loses each with its lease.
bool Controller::heartbeats_missing(Ms now, const Machine& m) const {
  return now - m.last_heartbeat >
         std::max(unresponsive_after(), to_ms(settings_.lease_s * kHeartbeatsMissingLeaseShare));
}

void Controller::on_heartbeat(Ms now, std::uint64_t request, const std::string& body) {
  const auto decoded = wire::parse_heartbeat(body);
  if (!decoded) {
    reply(request, 400, wire::error_body("malformed report"));
    return;
  }
  const wire::Heartbeat& heartbeat = *decoded;
  if (!Relay::is_relayed(request)) links_.zone(heartbeat.zone).heartbeat_received(now);
  if (!state_client_.loaded() || !view_known_ || deposed(now) || resynchronising(now)) {
    reply_unavailable(request, kRetryAfterS);
    return;
  }
  if (ClusterView::epoch_of(heartbeat.token) > cluster_view_.epoch()) {
    // Somebody acts on a newer view than we know.
    newest_epoch_seen_ = std::max(newest_epoch_seen_, ClusterView::epoch_of(heartbeat.token));
    reply_unavailable(request, kRetryAfterS);
    return;
  }
  const std::string& owner = cluster_view_.machine_owner(heartbeat.machine, heartbeat.zone);
  if (owner != settings_.name) {
    if (owner.empty()) {
      reply_unavailable(request, kRetryAfterS);
    } else {
      redirect_heartbeat(now, request, owner, heartbeat, body);
    }
    return;
  }
  if (!ready()) {
    reply_unavailable(request, kRetryAfterS);
    return;
  }
  const auto* record = replica_.machine(heartbeat.machine);
  if (record && record->state == wire::MachineState::terminated) {
    reply_unavailable(request, kRetryAfterS);  // a late copy
    return;
  }
  auto it = machines_.find(heartbeat.machine);
  if (it == machines_.end()) it = add_machine(now, heartbeat.machine);
  Machine& m = it->second;
  // Guards against a machine that nobody can ask because its address was never recorded.
  if (m.address.empty()) m.address = heartbeat.address;
  // Guards against copies from a machine's life before it restarted, whose counters may well be the
  // higher ones: within a life its token never falls, and a later session counts only once the
  // machine has said so in answer to a message of our own. Until then it gets no commands.
  if (m.incarnation != 0 && heartbeat.incarnation > m.incarnation &&
      heartbeat.token >= m.highest_token_seen) {
    m.suspect = true;
    send_commands(now, m);
    m.lease_granted_at = std::max(m.lease_granted_at, now);
    reply(request, 200, wire::heartbeat_reply(token(m), {}));
    return;
  }
  const bool stale = heartbeat.token < m.highest_token_seen;
  // A report may be overtaken by the answer to a direct message; it is genuine all the same.
  const bool fresh =
      !stale && Counters(heartbeat.incarnation, heartbeat.sequence) > m.last_heartbeat_counters;
  if (fresh) {
    m.last_heartbeat_counters = {heartbeat.incarnation, heartbeat.sequence};
    m.last_heartbeat = now;
  }
  // Guards against answers that the machine drops for ever because this process has forgotten how
  // far it had raised the fence: only the owner of this epoch, ourselves, can have given it.
  if (fresh && ClusterView::epoch_of(heartbeat.token) == cluster_view_.epoch())
    m.fence = std::max(m.fence, ClusterView::fence_of(heartbeat.token));
  if ((stale || !apply_heartbeat(now, m, heartbeat)) &&
      !(fresh && heartbeat.incarnation == m.incarnation)) {
    // Guards against late copies: they renew nothing and get no commands. A machine that came back
    // with low counters looks the same; its answer to a message of our own tells (on_orders).
    m.suspect = true;
    send_commands(now, m);
    reply_unavailable(request, kRetryAfterS);
    return;
  }
  const auto list = commands_for(now, m);
  const std::uint64_t given = token(m);
  m.heartbeat_answered = true;
  m.lease_granted_at = std::max(m.lease_granted_at, now);
  reply(request, 200, wire::heartbeat_reply(given, list));
}

// Something that we sent did not reach the machine: everything sent from now on outruns it, and the
// new token is what the machine must show before it gets new work.
void Controller::mark_unreachable(Ms now, Machine& m) {
  ++m.fence;
  m.reachability_token = token(m);
  if (m.unreachable_since == 0) m.unreachable_since = now;
}

// The machine's answer to our own message carries counters that it had already passed when we sent
// it: it has restarted, and what it ran is gone. Starts still on their way are outrun by a new
// token; what it does not list is freed once it has shown that one (reconcile).
void Controller::on_agent_restart(Ms now, Machine& m, const wire::Heartbeat& heartbeat) {
  log(LogLevel::info, "machine " + m.id + " has restarted");
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
  m.start_token = token(m);
  mark_unreachable(now, m);
  for (const TaskRef& ref : replica_.placed_on(m.id)) {
    const auto* p = replica_.placement(ref);
    const wire::TaskId task{ref.range.job, ref.index};
    const bool listed =
        std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                    [&](const auto& t) { return t.task == task && p && t.attempt == p->attempt; });
    if (!p || listed) continue;
    m.stop_requests[task] = {p->attempt, 0.0};
    m.unconfirmed_starts[task] = m.start_token;
  }
}

bool Controller::apply_heartbeat(Ms now, Machine& m, const wire::Heartbeat& heartbeat) {
  if (m.sequence > 0 &&
      Counters(heartbeat.incarnation, heartbeat.sequence) <= Counters(m.incarnation, m.sequence))
    return false;  // late: says nothing new
  if (heartbeat.incarnation < m.incarnation) return false;
  if (heartbeat.incarnation > m.incarnation) {
    m.tasks.clear();
    m.stop_requests.clear();
    m.unconfirmed_starts.clear();
    m.start_blocked_since.clear();
    m.images.clear();
    // Guards against counting the former session's lease on: heard by a direct command alone, a new
    // session was taken for run out, and what had just started in it was started elsewhere.
    m.lease_granted_at = std::max(m.lease_granted_at, now);
    // Its lease has run out although it reports: perhaps no answer reaches it. Guards against a
    // machine that draws and loses task after task.
    if (m.sequence > 0) mark_unreachable(now, m);
  }
  const bool new_address = m.address != heartbeat.address;
  m.suspect = false;
  bool changed = m.sequence == 0 || new_address;
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
  std::map<wire::TaskId, ReportedTask> tasks;
  for (const auto& t : heartbeat.tasks) {
    ReportedTask s;
    s.attempt = t.attempt;
    s.state = t.state;
    s.cause = t.cause;
    s.checkpointed = t.checkpointed;
    auto old = m.tasks.find(t.task);
    const bool same = old != m.tasks.end() && old->second.attempt == t.attempt;
    changed = changed || !same || old->second.state != t.state;
    if (t.state == wire::TaskState::running) {
      s.running_since = same && old->second.running_since ? old->second.running_since : now;
    }
    // How long it ran tells later whether it ended early.
    if (t.state == wire::TaskState::exited && same) s.running_since = old->second.running_since;
    auto job = replica_.jobs().find(t.task.job);
    if (t.state != wire::TaskState::exited && t.state != wire::TaskState::fetching &&
        job != replica_.jobs().end()) {
      const auto& image = job->second.record.spec.image;
      if (std::find(m.images.begin(), m.images.end(), image) == m.images.end()) {
        m.images.push_back(image);
        if (m.images.size() > 16) m.images.erase(m.images.begin());
      }
    }
    auto start = m.unconfirmed_starts.find(t.task);
    if (start != m.unconfirmed_starts.end()) m.unconfirmed_starts.erase(start);
    // The same task may be listed twice: an exited attempt and its successor.
    auto [at, fresh] = tasks.emplace(t.task, s);
    if (!fresh && at->second.state == wire::TaskState::exited) at->second = s;
  }
  changed = changed || tasks.size() != m.tasks.size();
  m.tasks = std::move(tasks);
  refresh_from_records(m);
  const auto* record = replica_.machine(m.id);
  if (record &&
      (record->incarnation != m.incarnation || new_address || record->address != m.address))
    record_machine_state(now, m, m.state, kContactWriteDelayMs);
  reconcile(now, m);
  // Most reports only say that all goes on.
  if (changed) {
    m.candidate_known = false;
    dirty_ = true;
  }
  return true;
}

bool Controller::must_not_run(const Machine& m, const TaskRef& ref,
                              const wire::Placement& p) const {
  auto job = replica_.jobs().find(ref.range.job);
  if (job == replica_.jobs().end() || !job->second.known ||
      is_cancelled(ref.range.job, job->second))
    return true;
  const auto& spec = job->second.record.spec;
  // Placed in a session that is over with the machine's former life (restarted).
  if (m.sequence > 0 && p.incarnation > m.incarnation) return true;
  if (auto h = m.stop_requests.find({ref.range.job, ref.index});
      h != m.stop_requests.end() && h->second.first == p.attempt)
    return true;
  if (!spec.is_gang()) return false;
  const auto* range = replica_.range(ref.range);
  if (!range || range->stopping) return true;
  // Placements of a gang are written together: a part of them means that one was lost. Once it is
  // done, what is left exits by itself.
  return range->placed.size() < spec.tasks && range->done_count() == 0;
}

// A recorded task is gone when its machine, under a token that outruns every start sent for it,
// no longer lists it, or lists it as exited, or has moved to a later session.
void Controller::reconcile(Ms now, Machine& m) {
  if (m.sequence == 0) return;
  for (const TaskRef& ref : replica_.placed_on(m.id)) {
    const auto* p = replica_.placement(ref);
    if (!p) continue;
    const wire::TaskId task{ref.range.job, ref.index};
    if (p->incarnation < m.incarnation) {
      release_task(ref, p->attempt, false);
      continue;
    }
    auto seen = m.tasks.find(task);
    if (seen != m.tasks.end() && seen->second.attempt == p->attempt) {
      if (seen->second.state == wire::TaskState::exited) on_exit(now, m, ref, seen->second);
      continue;
    }
    if (!m.token_confirmed || !must_not_run(m, ref, *p)) continue;
    auto start = m.unconfirmed_starts.find(task);
    const std::uint64_t sent = start == m.unconfirmed_starts.end() ? 0 : start->second;
    if (m.highest_token_seen > sent) {
      // Guards against a start still in flight: it carries a token that the worker now refuses.
      m.unconfirmed_starts.erase(task);
      m.stop_requests.erase(task);
      release_task(ref, p->attempt, false);
    }
  }
}

bool Controller::has_unproven_absence(const Machine& m) const {
  const auto& placed = replica_.placed_on(m.id);
  return std::any_of(placed.begin(), placed.end(), [&](const TaskRef& ref) {
    const auto* p = replica_.placement(ref);
    if (!p || p->incarnation < m.incarnation || !must_not_run(m, ref, *p)) return false;
    if (m.tasks.contains({ref.range.job, ref.index})) return false;
    const auto work = range_states_.find(ref.range);
    return work == range_states_.end() || !work->second.released.contains(ref.index);
  });
}

void Controller::release_task(const TaskRef& ref, std::uint64_t attempt, bool done) {
  Released& f = range_states_[ref.range].released[ref.index];
  if (f.attempt == attempt && f.done) return;
  f = {attempt, done};
  log(LogLevel::debug, std::string(done ? "done: " : "free: ") +
                           wire::task_name(ref.range.job, ref.index) + " try " +
                           std::to_string(attempt));
  dirty_ = true;
}

void Controller::on_exit(Ms now, Machine& m, const TaskRef& ref, const ReportedTask& seen) {
  auto w = range_states_.find(ref.range);
  if (w != range_states_.end()) {
    auto f = w->second.released.find(ref.index);
    if (f != w->second.released.end() && f->second.attempt == seen.attempt) return;  // counted
  }
  const Job* job = replica_.job(ref.range.job);
  const bool service = job && job->record.spec.is_service();
  // A service is never done: a replica that says so has ended like any other.
  release_task(ref, seen.attempt, seen.cause == wire::ExitCause::done && !service);
  m.stop_requests.erase({ref.range.job, ref.index});
  if (service) on_replica_end(now, m, ref, seen);
  switch (seen.cause) {
    case wire::ExitCause::done:
      if (!service) failure_tracker_.completed(m.id, ref.range.job);
      break;
    case wire::ExitCause::error:
      log(LogLevel::info,
          "task " + wire::task_name(ref.range.job, ref.index) + " failed on " + m.id);
      if (failure_tracker_.failed(now, m.id, ref.range.job)) {
        if (m.recorded && m.state == wire::MachineState::ready) {
          log(LogLevel::info, "machine " + m.id + " is sick");
          record_machine_state(now, m, wire::MachineState::quarantined, 0);
        }
      }
      break;
    case wire::ExitCause::no_room:
    case wire::ExitCause::busy:
    case wire::ExitCause::unknown:
      log(LogLevel::info,
          "start of " + wire::task_name(ref.range.job, ref.index) + " refused by " + m.id);
      m.full_until = now + kNoRoomPauseMs;
      break;
    default:
      break;
  }
}

}  // namespace scheduler
