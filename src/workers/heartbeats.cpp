// Reports of machines of our part, and what they prove about recorded tasks.
#include <algorithm>

#include "base/constants.h"
#include "controller/controller.h"

namespace scheduler {

namespace k = constants;

Ms Controller::silent_after() const { return to_ms(settings_.report_s * k::kSilentIntervals); }

Ms Controller::quiet_after() const { return to_ms(settings_.report_s * k::kQuietIntervals); }

// All that it runs is short and must be done soon: it is sooner begun again elsewhere than heard of
// when a cut is over.
bool Controller::hurries(const Machine& m) const {
  const auto& tasks = replica_.placed_on(m.id);
  return std::all_of(tasks.begin(), tasks.end(), [this](const TaskRef& ref) {
    const Job* job = replica_.job(ref.range.job);
    return job && !job->record.spec.is_service() &&
           job->record.spec.priority >= wire::Priority::high &&
           job->record.spec.estimate_s <= k::kHurryS;
  });
}

bool Controller::usable(Ms now, const Machine& m) const {
  return m.recorded && m.standing == wire::MachineStanding::ready && m.sequence > 0 && m.touched &&
         m.unreached_since == 0 && !m.notice && now - m.heard_at < silent_after() &&
         !mute(now, m) && now >= m.no_room_until;
}

// It answers direct messages, but its reports do not come, and only answers to those renew its
// lease. Guards against a machine that draws task after task and loses each with its lease.
bool Controller::mute(Ms now, const Machine& m) const {
  return now - m.reported_at >
         std::max(silent_after(), to_ms(settings_.lease_s * k::kMuteLeaseShare));
}

void Controller::on_report(Ms now, std::uint64_t request, const std::string& body) {
  wire::MachineReport report;
  if (!wire::parse_report(body, report)) {
    answer(request, 400, wire::error_body("malformed report"));
    return;
  }
  if (!Relay::is_relayed(request)) links_.zone(report.zone).report_heard(now);
  if (!state_client_.loaded() || !view_known_ || deposed(now) || resynchronising(now)) {
    decline(request, k::kRetryAfterS);
    return;
  }
  if (ClusterView::epoch_of(report.token) > cluster_view_.epoch()) {
    // Somebody acts on a newer view than we know.
    newest_epoch_seen_ = std::max(newest_epoch_seen_, ClusterView::epoch_of(report.token));
    decline(request, k::kRetryAfterS);
    return;
  }
  const std::string& owner = cluster_view_.machine_owner(report.machine, report.zone);
  if (owner != settings_.name) {
    if (owner.empty()) {
      decline(request, k::kRetryAfterS);
    } else {
      redirect_report(now, request, owner, report, body);
    }
    return;
  }
  if (!ready()) {
    decline(request, k::kRetryAfterS);
    return;
  }
  const auto* record = replica_.machine(report.machine);
  if (record && record->standing == wire::MachineStanding::gone) {
    decline(request, k::kRetryAfterS);  // a late copy
    return;
  }
  auto it = machines_.find(report.machine);
  if (it == machines_.end()) it = own(now, report.machine);
  Machine& m = it->second;
  // Guards against a machine that nobody can ask because its address was never recorded.
  if (m.address.empty()) m.address = report.address;
  // Guards against copies from a machine's life before it restarted, whose counters may well be the
  // higher ones: within a life its token never falls, and a later session counts only once the
  // machine has said so in answer to a message of our own. Until then it gets no commands.
  if (m.session != 0 && report.session > m.session && report.token >= m.token_seen) {
    m.doubted = true;
    send_orders(now, m);
    m.lease_from = std::max(m.lease_from, now);
    answer(request, 200, wire::report_answer(token(m), {}));
    return;
  }
  const bool stale = report.token < m.token_seen;
  // A report may be overtaken by the answer to a direct message; it is genuine all the same.
  const bool fresh = !stale && Counters(report.session, report.sequence) > m.last_report;
  if (fresh) {
    m.last_report = {report.session, report.sequence};
    m.reported_at = now;
  }
  // Guards against answers that the machine drops for ever because this process has forgotten how
  // far it had raised the fence: only the owner of this epoch, ourselves, can have given it.
  if (fresh && ClusterView::epoch_of(report.token) == cluster_view_.epoch())
    m.fence = std::max(m.fence, ClusterView::fence_of(report.token));
  if ((stale || !take_report(now, m, report)) && !(fresh && report.session == m.session)) {
    // Guards against late copies: they renew nothing and get no commands. A machine that came back
    // with low counters looks the same; its answer to a message of our own tells (on_orders).
    m.doubted = true;
    send_orders(now, m);
    decline(request, k::kRetryAfterS);
    return;
  }
  const auto list = commands(now, m);
  const std::uint64_t given = token(m);
  m.report_answered = true;
  m.lease_from = std::max(m.lease_from, now);
  answer(request, 200, wire::report_answer(given, list));
}

// Something that we sent did not reach the machine: everything sent from now on outruns it, and the
// new token is what the machine must show before it gets new work.
void Controller::out_of_reach(Ms now, Machine& m) {
  ++m.fence;
  m.reach_token = token(m);
  if (m.unreached_since == 0) m.unreached_since = now;
}

// The machine's answer to our own message carries counters that it had already passed when we sent
// it: it has restarted, and what it ran is gone. Starts still on their way are outrun by a new
// token; what it does not list is freed once it has shown that one (reconcile).
void Controller::restarted(Ms now, Machine& m, const wire::MachineReport& report) {
  log(LogLevel::info, "machine " + m.id + " has restarted");
  m.tasks.clear();
  m.images.clear();
  m.halts.clear();
  m.unseen_starts.clear();
  m.session = report.session;
  m.sequence = 0;
  m.last_report = {};
  m.token_seen = 0;
  m.touched = false;
  m.lease_from = std::max(m.lease_from, now);
  m.start_token = token(m);
  out_of_reach(now, m);
  for (const TaskRef& ref : replica_.placed_on(m.id)) {
    const auto* p = replica_.placement(ref);
    const wire::TaskId task{ref.range.job, ref.index};
    const bool listed = std::any_of(report.tasks.begin(), report.tasks.end(), [&](const auto& t) {
      return t.task == task && p && t.attempt == p->attempt;
    });
    if (!p || listed) continue;
    m.halts[task] = {p->attempt, 0.0};
    m.unseen_starts[task] = m.start_token;
  }
}

bool Controller::take_report(Ms now, Machine& m, const wire::MachineReport& report) {
  if (m.sequence > 0 &&
      Counters(report.session, report.sequence) <= Counters(m.session, m.sequence))
    return false;  // late: says nothing new
  if (report.session < m.session) return false;
  if (report.session > m.session) {
    m.tasks.clear();
    m.halts.clear();
    m.unseen_starts.clear();
    m.blocked_since.clear();
    m.images.clear();
    // Guards against counting the former session's lease on: heard by a direct command alone, a new
    // session was taken for run out, and what had just started in it was started elsewhere.
    m.lease_from = std::max(m.lease_from, now);
    // Its lease has run out although it reports: perhaps no answer reaches it. Guards against a
    // machine that draws and loses task after task.
    if (m.sequence > 0) out_of_reach(now, m);
  }
  const bool new_address = m.address != report.address;
  m.doubted = false;
  bool changed = m.sequence == 0 || new_address;
  m.session = report.session;
  m.sequence = report.sequence;
  m.address = report.address;
  m.type = report.type;
  m.zone = report.zone;
  m.spot = report.spot;
  m.heard_at = now;
  m.token_seen = std::max(m.token_seen, report.token);
  if (report.token >= ClusterView::token(m.owner_since, 0) && !m.touched)
    m.touched = changed = true;
  if (m.unreached_since != 0 && report.token >= m.reach_token) {
    m.unreached_since = 0;
    m.orders_failed = 0;
    changed = true;
  }
  changed = changed || m.notice != report.notice_s.has_value();
  m.notice = report.notice_s.has_value();
  if (m.notice) m.notice_ends = now + to_ms(*report.notice_s);
  std::map<wire::TaskId, Seen> tasks;
  for (const auto& t : report.tasks) {
    Seen s;
    s.attempt = t.attempt;
    s.state = t.state;
    s.cause = t.cause;
    s.saved = t.saved;
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
    auto start = m.unseen_starts.find(t.task);
    if (start != m.unseen_starts.end()) m.unseen_starts.erase(start);
    // The same task may be listed twice: an exited attempt and its successor.
    auto [at, fresh] = tasks.emplace(t.task, s);
    if (!fresh && at->second.state == wire::TaskState::exited) at->second = s;
  }
  changed = changed || tasks.size() != m.tasks.size();
  m.tasks = std::move(tasks);
  refresh(m);
  const auto* record = replica_.machine(m.id);
  if (record && (record->session != m.session || new_address || record->address != m.address))
    note_machine(now, m, m.standing, k::kHeardWithinMs);
  reconcile(now, m);
  // Most reports only say that all goes on.
  if (changed) {
    m.candidate_known = false;
    dirty_ = true;
  }
  return true;
}

bool Controller::unwanted(const Machine& m, const TaskRef& ref, const wire::Placement& p) const {
  auto job = replica_.jobs().find(ref.range.job);
  if (job == replica_.jobs().end() || !job->second.known || called_off(ref.range.job, job->second))
    return true;
  const auto& spec = job->second.record.spec;
  // Placed in a session that is over with the machine's former life (restarted).
  if (m.sequence > 0 && p.session > m.session) return true;
  if (auto h = m.halts.find({ref.range.job, ref.index});
      h != m.halts.end() && h->second.first == p.attempt)
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
    if (p->session < m.session) {
      free_task(ref, p->attempt, false);
      continue;
    }
    auto seen = m.tasks.find(task);
    if (seen != m.tasks.end() && seen->second.attempt == p->attempt) {
      if (seen->second.state == wire::TaskState::exited) on_exit(now, m, ref, seen->second);
      continue;
    }
    if (!m.touched || !unwanted(m, ref, *p)) continue;
    auto start = m.unseen_starts.find(task);
    const std::uint64_t sent = start == m.unseen_starts.end() ? 0 : start->second;
    if (m.token_seen > sent) {
      // Guards against a start still in flight: it carries a token that the worker now refuses.
      m.unseen_starts.erase(task);
      m.halts.erase(task);
      free_task(ref, p->attempt, false);
    }
  }
}

bool Controller::absence_open(const Machine& m) const {
  const auto& placed = replica_.placed_on(m.id);
  return std::any_of(placed.begin(), placed.end(), [&](const TaskRef& ref) {
    const auto* p = replica_.placement(ref);
    if (!p || p->session < m.session || !unwanted(m, ref, *p)) return false;
    if (m.tasks.contains({ref.range.job, ref.index})) return false;
    const auto work = work_.find(ref.range);
    return work == work_.end() || !work->second.freed.contains(ref.index);
  });
}

void Controller::free_task(const TaskRef& ref, std::uint64_t attempt, bool done) {
  Freed& f = work_[ref.range].freed[ref.index];
  if (f.attempt == attempt && f.done) return;
  f = {attempt, done};
  log(LogLevel::debug, std::string(done ? "done: " : "free: ") +
                           wire::task_name(ref.range.job, ref.index) + " try " +
                           std::to_string(attempt));
  dirty_ = true;
}

void Controller::on_exit(Ms now, Machine& m, const TaskRef& ref, const Seen& seen) {
  auto w = work_.find(ref.range);
  if (w != work_.end()) {
    auto f = w->second.freed.find(ref.index);
    if (f != w->second.freed.end() && f->second.attempt == seen.attempt) return;  // counted
  }
  const Job* job = replica_.job(ref.range.job);
  const bool service = job && job->record.spec.is_service();
  // A service is never done: a replica that says so has ended like any other.
  free_task(ref, seen.attempt, seen.cause == wire::ExitCause::done && !service);
  m.halts.erase({ref.range.job, ref.index});
  if (service) on_replica_end(now, m, ref, seen);
  switch (seen.cause) {
    case wire::ExitCause::done:
      if (!service) health_.completed(m.id, ref.range.job);
      break;
    case wire::ExitCause::error:
      log(LogLevel::info,
          "task " + wire::task_name(ref.range.job, ref.index) + " failed on " + m.id);
      if (health_.failed(now, m.id, ref.range.job)) {
        if (m.recorded && m.standing == wire::MachineStanding::ready) {
          log(LogLevel::info, "machine " + m.id + " is sick");
          note_machine(now, m, wire::MachineStanding::sick, 0);
        }
      }
      break;
    case wire::ExitCause::no_room:
    case wire::ExitCause::busy:
    case wire::ExitCause::unknown:
      log(LogLevel::info,
          "start of " + wire::task_name(ref.range.job, ref.index) + " refused by " + m.id);
      m.no_room_until = now + k::kNoRoomPauseMs;
      break;
    default:
      break;
  }
}

}  // namespace scheduler
