// Machines of our part: reports, leases, commands, and what proves that a task is gone.
#include <algorithm>
#include <cmath>

#include "core/constants.h"
#include "core/controller.h"

namespace puffinhaven::core {

namespace k = constants;

namespace {
Ms ms(double seconds) { return static_cast<Ms>(seconds * 1000.0); }
}  // namespace

Ms Controller::silent_after() const { return ms(settings_.report_s * k::kSilentIntervals); }

Ms Controller::quiet_after() const { return ms(settings_.report_s * k::kQuietIntervals); }

// All that it runs is short and must be done soon: it is sooner begun again elsewhere than heard of
// when a cut is over.
bool Controller::hurries(const Machine& m) const {
  const auto& tasks = replica_.placed_on(m.id);
  return std::all_of(tasks.begin(), tasks.end(), [this](const TaskRef& ref) {
    const Job* job = replica_.job(ref.range.job);
    return job && job->record.spec.priority >= wire::Priority::high &&
           job->record.spec.estimate_s <= k::kHurryS;
  });
}

bool Controller::usable(Ms now, const Machine& m) const {
  return m.recorded && m.standing == wire::MachineStanding::ready && m.sequence > 0 && m.touched &&
         m.unreached_since == 0 && !m.notice && now - m.heard_at < silent_after() &&
         now >= m.no_room_until;
}

// ---- reports ----

void Controller::on_report(Ms now, std::uint64_t request, const std::string& body) {
  wire::MachineReport report;
  if (!wire::parse_report(body, report)) {
    answer(request, 400, wire::error_body("malformed report"));
    return;
  }
  if (!store_.loaded() || !view_known_ || superseded(now) || waking(now)) {
    decline(request, k::kRetryAfterS);
    return;
  }
  if (Membership::epoch_of(report.token) > membership_.epoch()) {
    // Somebody acts on a newer view than we know.
    newest_epoch_ = std::max(newest_epoch_, Membership::epoch_of(report.token));
    decline(request, k::kRetryAfterS);
    return;
  }
  const std::string& owner = membership_.machine_owner(report.machine, report.zone);
  if (owner != settings_.name) {
    if (owner.empty()) {
      decline(request, k::kRetryAfterS);
    } else {
      answer(request, 421, wire::redirect_body(owner));
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
    kick(now, m);
    m.lease_from = std::max(m.lease_from, now);
    answer(request, 200, wire::report_answer(token(m), {}));
    return;
  }
  const bool stale = report.token < m.token_seen;
  // A report may be overtaken by the answer to a direct message; it is genuine all the same.
  const bool fresh = !stale && Counters(report.session, report.sequence) > m.last_report;
  if (fresh) m.last_report = {report.session, report.sequence};
  if ((stale || !take_report(now, m, report)) && !(fresh && report.session == m.session)) {
    // Guards against late copies: they renew nothing and get no commands. A machine that came back
    // with low counters looks the same; its answer to a message of our own tells (on_orders).
    m.doubted = true;
    kick(now, m);
    decline(request, k::kRetryAfterS);
    return;
  }
  const auto list = commands(now, m);
  const std::uint64_t given = token(m);
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
  if (report.token >= Membership::token(m.owner_since, 0) && !m.touched) m.touched = changed = true;
  if (m.unreached_since != 0 && report.token >= m.reach_token) {
    m.unreached_since = 0;
    m.orders_failed = 0;
    changed = true;
  }
  changed = changed || m.notice != report.notice_s.has_value();
  m.notice = report.notice_s.has_value();
  if (m.notice) m.notice_ends = now + ms(*report.notice_s);
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
  if (job == replica_.jobs().end() || !job->second.known || job->second.record.cancelled)
    return true;
  const auto& spec = job->second.record.spec;
  // Placed in a session that is over with the machine's former life (restarted).
  if (m.sequence > 0 && p.session > m.session) return true;
  if (auto h = m.halts.find({ref.range.job, ref.index});
      h != m.halts.end() && h->second.first == p.attempt)
    return true;
  if (!spec.gang) return false;
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
  for (const TaskRef& ref : replica_.placed_on(m.id)) {
    const auto* p = replica_.placement(ref);
    if (!p || p->session < m.session || !unwanted(m, ref, *p)) continue;
    if (!m.tasks.contains({ref.range.job, ref.index})) {
      auto w = work_.find(ref.range);
      if (w == work_.end() || !w->second.freed.contains(ref.index)) return true;
    }
  }
  return false;
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
  free_task(ref, seen.attempt, seen.cause == wire::ExitCause::done);
  m.halts.erase({ref.range.job, ref.index});
  switch (seen.cause) {
    case wire::ExitCause::done:
      health_.completed(m.id, ref.range.job);
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

// ---- commands ----

std::vector<wire::Command> Controller::commands(Ms now, Machine& m) {
  std::vector<wire::Command> out;
  const auto* type = replica_.type(m.type);
  double cpus = type ? type->cpus : 1e9, gpus = type ? type->gpus : 1e9,
         memory = type ? type->memory_gb : 1e9;
  bool clears = false;
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
      if (known->known && !known->record.cancelled && h != m.halts.end() &&
          h->second.first == seen.attempt) {
        grace = h->second.second;
      } else if (known->known && !known->record.cancelled && known->record.spec.gang) {
        grace = saves ? known->record.spec.save_s + settings_.gang_peer_s : 0;
      } else {
        grace = 0;
      }
    }
    bool leaves = false;
    if (grace >= 0) {
      // Saving goes on undisturbed unless it is of no use any more.
      if (seen.state != wire::TaskState::saving || grace == 0)
        out.push_back({wire::CommandKind::stop, task, seen.attempt, grace});
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
  if (clears && token(m) <= m.start_token) {
    // A copy of a start for what is cleared may still be on its way; the new token refuses it.
    ++m.fence;
  }
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
      auto w = work_.find(ref.range);
      if (w != work_.end()) {
        auto f = w->second.freed.find(ref.index);
        if (f != w->second.freed.end() && f->second.attempt == p->attempt) continue;
      }
      const auto& spec = job->record.spec;
      if (cpus + k::kAmountSlack < spec.cpus || gpus + k::kAmountSlack < spec.gpus ||
          memory + k::kAmountSlack < spec.memory_gb)
        continue;  // waits for what is being stopped
      cpus -= spec.cpus;
      gpus -= spec.gpus;
      memory -= spec.memory_gb;
      out.push_back({wire::CommandKind::start, task, p->attempt, 0});
      log(LogLevel::debug, "starting " + wire::task_name(task.job, task.index) + " try " +
                               std::to_string(p->attempt) + " on " + m.id);
      m.start_token = token(m);
      m.unseen_starts[task] = token(m);
    }
  }
  // A recorded task that is not wanted and not listed: a higher token settles whether it can still
  // start.
  if (absence_open(m) && token(m) <= m.start_token) ++m.fence;
  return out;
}

bool Controller::direct_needed(const Machine& m, const std::vector<wire::Command>& list) const {
  if (!m.touched || m.unreached_since != 0 || m.doubted) return true;
  if (std::any_of(list.begin(), list.end(),
                  [](const auto& c) { return c.kind != wire::CommandKind::forget; }))
    return true;
  return absence_open(m);
}

void Controller::kick(Ms now, Machine& m, bool probe) {
  if (!ready() || m.address.empty() || m.session == 0 || superseded(now) || waking(now)) return;
  if (m.orders_in_flight) {
    m.kick_again = true;
    return;
  }
  if (now < m.orders_after) return;
  const auto list = commands(now, m);
  m.kick_again = false;
  if (!probe && !direct_needed(m, list)) return;
  // Bounded, or a cut would take all sockets; those that do not answer must not be in the way.
  const bool doubtful = m.orders_failed > 0 || now - m.heard_at > silent_after();
  int& out = doubtful ? probes_out_ : orders_out_;
  if (out >= (doubtful ? k::kProbesInFlight : k::kOrdersInFlight)) {
    m.kick_again = true;
    return;
  }
  ++out;
  m.orders_in_flight = true;
  m.kick_again = false;
  call(Target::worker, m.address, "POST", wire::kOrdersPath,
       wire::orders_body(token(m), m.session, list), k::kOrdersTimeoutMs,
       [this, id = m.id, epoch = m.owner_since, asked = Counters(m.session, m.sequence), doubtful,
        wakes = wakes_](Ms at, const Outcome& outcome) {
         --(doubtful ? probes_out_ : orders_out_);
         on_orders(at, id, epoch, asked, wakes == wakes_, outcome);
       });
}

void Controller::on_orders(Ms now, const std::string& id, std::uint64_t epoch, Counters asked,
                           bool current, const Outcome& outcome) {
  auto it = machines_.find(id);
  if (it == machines_.end()) return;
  Machine& m = it->second;
  m.orders_in_flight = false;
  if (m.owner_since != epoch) return;
  wire::MachineReport report;
  if ((outcome.status == 200 || outcome.status == 409) &&
      wire::parse_report(outcome.body, report) && report.machine == id) {
    const bool again = Counters(report.session, report.sequence) <= asked;
    if (again) restarted(now, m, report);
    take_report(now, m, report);
    m.doubted = false;
    m.orders_failed = 0;
    // It has answered, so it is within reach. A restarted one shows our token first.
    if (!again) m.unreached_since = 0;
    m.orders_after = outcome.status == 200 ? now : now + k::kOrdersRetryMs / 4;
    // What was stopped may be gone, and what waits for its room can start.
    m.kick_at = std::min(m.kick_at, now + k::kLookEveryMs);
  } else if (!current) {
    // We were not there to hear it. It may have been executed, or may still be.
    ++m.fence;
    m.candidate_known = false;
    m.kick_again = true;
    m.orders_after = now;
  } else {
    // May still be executed: everything sent from now on outruns it.
    out_of_reach(now, m);
    m.candidate_known = false;
    m.kick_again = true;
    m.orders_after = now + (k::kOrdersRetryMs << std::min(m.orders_failed, k::kOrdersRetryDoubles));
    ++m.orders_failed;
  }
  if (m.kick_again) kick(now, m);
}

// ---- leases ----

bool Controller::others_yielded(std::uint64_t epoch) const {
  const auto& view = replica_.view();
  if (!view.departed.empty()) return false;
  return std::all_of(view.live.begin(), view.live.end(), [&](const auto& member) {
    if (member.first == settings_.name) return true;
    auto live = replica_.live().find(member.first);
    return live != replica_.live().end() && live->second.incarnation == member.second &&
           live->second.epoch >= epoch;
  });
}

void Controller::learn_lease(Ms now, Machine& m) const {
  if (m.lease_known || !(m.touched || others_yielded(m.owner_since))) return;
  m.lease_known = true;
  m.lease_from = std::max(m.lease_from, now);
}

bool Controller::lease_over(Ms now, const Machine& m) const {
  return m.lease_known &&
         static_cast<double>(now - m.lease_from) >
             settings_.lease_s * 1000.0 * (1.0 + k::kClockDrift) + k::kLeaseMarginMs;
}

void Controller::watch_machines(Ms now) {
  if (!ready() || now < machines_at_ || waking(now)) return;
  machines_at_ = now + k::kLookEveryMs;
  std::erase_if(machines_, [&](const auto& entry) {
    const Machine& m = entry.second;
    return !m.recorded && !replica_.machine(m.id) && !m.orders_in_flight &&
           now - m.heard_at > silent_after();
  });
  // Who hears nothing of most machines may be cut off itself, and a zone of which most is silent
  // is cut off rather than dead: what runs there goes on, and returning it would end that.
  struct Count {
    std::size_t good = 0, bad = 0;
  };
  Count all;
  std::map<std::string, Count> zones;
  auto bad = [&](const Machine& m) {
    return now - m.heard_at > quiet_after() ||
           (m.unreached_since != 0 && now - m.unreached_since > silent_after());
  };
  for (const auto& [id, m] : machines_) {
    if (m.session == 0 || m.standing != wire::MachineStanding::ready) continue;
    Count& zone = zones[m.zone];
    bad(m) ? (++all.bad, ++zone.bad) : (++all.good, ++zone.good);
  }
  for (auto& [id, m] : machines_) {
    if (m.session == 0) continue;
    learn_lease(now, m);
    const bool ready = m.recorded && m.standing == wire::MachineStanding::ready;
    const bool gone = m.standing == wire::MachineStanding::gone;
    const Count& zone = zones[m.zone];
    const bool few =
        all.good >= all.bad && (zone.good >= zone.bad || now - m.heard_at > k::kZoneCutPatienceMs);
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
        now - m.unreached_since > ms(settings_.lease_s * k::kUnreachedLeases)) {
      log(LogLevel::info, "machine " + id + " cannot be reached; returning it");
      note_machine(now, m, wire::MachineStanding::lost, 0);
    }
    if (m.standing == wire::MachineStanding::sick) {
      // What still runs there is stopped; the machine is returned once it is empty.
      for (const auto& [task, seen] : m.tasks) {
        const Job* job = replica_.job(task.job);
        if (!job || seen.state == wire::TaskState::exited || m.halts.contains(task)) continue;
        m.halts[task] = {seen.attempt, job->record.spec.save_s};
        m.kick_again = true;
      }
    }
    // Silent to reports and to a direct command while others are heard: most likely dead, hanging
    // or taken. Returning it proves its tasks gone sooner than its lease does.
    const Ms quiet = now - m.heard_at;
    const bool dead = (m.orders_failed >= k::kProbesBeforeReturn && quiet > quiet_after()) ||
                      (m.orders_failed > 0 && quiet > silent_after());
    if (dead && ready && !replica_.placed_on(id).empty() &&
        (few || (all.good >= all.bad && hurries(m)))) {
      log(LogLevel::info, "machine " + id + " is silent; returning it");
      note_machine(now, m, wire::MachineStanding::lost, 0);
    }
    if (m.notice && ready) note_machine(now, m, wire::MachineStanding::draining, 0);
    if (m.notice) {
      for (const auto& [task, seen] : m.tasks) {
        const Job* job = replica_.job(task.job);
        if (!job || seen.state == wire::TaskState::exited || m.halts.contains(task)) continue;
        const auto& spec = job->record.spec;
        const double left_s = static_cast<double>(m.notice_ends - now) / 1000.0;
        const double ran =
            seen.running_since ? static_cast<double>(now - seen.running_since) / 1000.0 : 0;
        const double need = ran < spec.estimate_s ? spec.estimate_s - ran : k::kOverrunAllowanceS;
        if (spec.gang) {
          for (const auto& [number, r] : job->ranges) work_[{task.job, number}].want_stop = true;
          dirty_ = true;
          continue;
        }
        // It may end in time; what saves is stopped when just enough is left for that.
        if (need < left_s - 1.0) continue;
        if (spec.checkpoint_s > 0 && left_s > spec.save_s + 2.0) continue;
        m.halts[task] = {seen.attempt, spec.checkpoint_s > 0 ? spec.save_s : 0.0};
        m.candidate_known = false;
        m.kick_again = true;
      }
    }
    const bool idle_probe =
        quiet > quiet_after() && now >= m.orders_after && !replica_.placed_on(id).empty();
    // What calls for a direct message sets kick_again; the rest is looked at now and then.
    if (m.kick_again || idle_probe || now >= m.kick_at) {
      m.kick_at = now + k::kKickEveryMs;
      kick(now, m, idle_probe);
    }
  }
}

}  // namespace puffinhaven::core
