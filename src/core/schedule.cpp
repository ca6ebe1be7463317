// Choosing machines for tasks and recording the choice. Starts follow from the records.
#include <algorithm>
#include <cmath>

#include "core/constants.h"
#include "core/controller.h"

namespace puffinhaven::core {

namespace k = constants;

namespace {
constexpr Ms kPassEveryMs = 25;            // between passes; a pass takes about a millisecond
constexpr Ms kRefusedRetryMs = 250;        // before a refused write is tried again
constexpr std::size_t kRangesPerJob = 48;  // so that one transaction can end a job (guards)
}  // namespace

// One scheduling pass: machines as they are booked while tasks are placed.
struct Controller::Pass {
  std::vector<Candidate> pool;
  std::map<std::string, int> index;
  bool foreign_added = false;
  int left = k::kPlacementsPerPass;
  std::set<RangeId> changed;
  std::map<std::string, wire::QuotaRecord::Amount> used;  // of our grants, by team
  std::map<std::string, Usage> team_usage;                // of all parts, as of the pass's start
  std::vector<const wire::JobSpec*> failed;               // shapes that found no room
};

std::size_t Controller::placed_most() const {
  const double bytes = settings_.value_kb * 1024.0 - static_cast<double>(k::kRangeOverheadBytes);
  return static_cast<std::size_t>(std::max(1.0, bytes / k::kBytesPerPlacement));
}

double Controller::elapsed_s(Ms now, const Machine& m, const TaskRef& ref,
                             std::uint64_t attempt) const {
  auto seen = m.tasks.find({ref.range.job, ref.index});
  if (seen == m.tasks.end() || seen->second.attempt != attempt || !seen->second.running_since)
    return 0;
  return static_cast<double>(now - seen->second.running_since) / 1000.0;
}

Candidate Controller::candidate(Ms now, const Machine& m) const {
  Candidate c;
  c.id = m.id;
  c.zone = m.zone;
  c.type = m.type;
  c.spot = m.spot;
  c.session = m.session;
  c.images = m.images;
  const auto* type = replica_.type(m.type);
  if (!type) return c;
  c.cpus = type->cpus - m.reserved_cpus;
  c.gpus = type->gpus - m.reserved_gpus;
  c.memory_gb = type->memory_gb - m.reserved_memory;
  c.fetch_gb_per_s = type->fetch_gb_per_s;
  for (const TaskRef& ref : replica_.placed_on(m.id)) {
    const auto* p = replica_.placement(ref);
    auto job = replica_.jobs().find(ref.range.job);
    if (!p || job == replica_.jobs().end()) continue;
    const wire::TaskId task{ref.range.job, ref.index};
    auto seen = m.tasks.find(task);
    if (seen != m.tasks.end() && seen->second.attempt == p->attempt &&
        seen->second.state == wire::TaskState::exited)
      continue;
    // What is being stopped to make room counts as gone; starts wait until it is.
    if (auto h = m.halts.find(task); h != m.halts.end() && h->second.first == p->attempt) continue;
    const auto& spec = job->second.record.spec;
    c.book(spec, remaining(spec.estimate_s, elapsed_s(now, m, ref, p->attempt)));
  }
  // Listed but not recorded: on its way out, yet still there.
  for (const auto& [task, seen] : m.tasks) {
    if (seen.state == wire::TaskState::exited) continue;
    auto job = replica_.jobs().find(task.job);
    if (job == replica_.jobs().end()) continue;
    const bool recorded =
        std::any_of(job->second.ranges.begin(), job->second.ranges.end(), [&](const auto& r) {
          auto at = r.second.placed.find(task.index);
          return at != r.second.placed.end() && at->second.machine == m.id;
        });
    if (!recorded) c.book(job->second.record.spec, 0);
  }
  return c;
}

Candidate Controller::foreign_candidate(const std::string& id,
                                        const wire::MachineRecord& record) const {
  Candidate c;
  c.id = id;
  c.zone = record.zone;
  c.type = record.type;
  c.spot = record.spot;
  c.session = record.session;
  c.own = false;
  const auto* type = replica_.type(record.type);
  if (!type) return c;
  c.cpus = type->cpus;
  c.gpus = type->gpus;
  c.memory_gb = type->memory_gb;
  c.fetch_gb_per_s = type->fetch_gb_per_s;
  for (const TaskRef& ref : replica_.placed_on(id)) {
    auto job = replica_.jobs().find(ref.range.job);
    if (job != replica_.jobs().end())
      c.book(job->second.record.spec, job->second.record.spec.estimate_s);
  }
  return c;
}

bool Controller::unstarted(const RangeWork& work, const wire::RangeRecord& range,
                           std::uint32_t task) const {
  return !range.done[task - range.begin] && !range.placed.contains(task) &&
         !work.placing.contains(task);
}

bool Controller::grant_allows(Pass& pass, const wire::JobSpec& spec) {
  const Team* t = team(spec.team);
  if (!t) return false;
  if (!limited(*t)) return true;
  if (quota_busy_[spec.team]) return false;  // our grant may just be shrinking
  auto [used, fresh] = pass.used.try_emplace(spec.team);
  if (fresh) {
    const Usage u = replica_.usage(spec.team, settings_.name);
    used->second = {u.cpus, u.gpus};
    for (const auto& [id, w] : work_) {
      const Job* job = w.placing.empty() ? nullptr : replica_.job(id.job);
      if (!job || job->record.spec.team != spec.team) continue;
      used->second.cpus += job->record.spec.cpus * static_cast<double>(w.placing.size());
      used->second.gpus += job->record.spec.gpus * static_cast<double>(w.placing.size());
    }
  }
  auto q = replica_.quotas().find(spec.team);
  const bool ok = q != replica_.quotas().end() &&
                  within_grant(*t, q->second, settings_.name, used->second, spec.cpus, spec.gpus);
  return ok;
}

void Controller::assign(Pass& pass, RangeWork& work, const RangeId& id, const Job& job,
                        std::uint32_t task, std::uint64_t attempt, int machine) {
  Candidate& c = pass.pool[static_cast<std::size_t>(machine)];
  const auto& spec = job.record.spec;
  work.placing[task] = {attempt, c.id, c.session, settings_.name};
  work.cpus = spec.cpus;
  work.gpus = spec.gpus;
  work.memory_gb = spec.memory_gb;
  c.book(spec, spec.estimate_s);
  if (auto m = machines_.find(c.id); m != machines_.end()) {
    m->second.reserved_cpus += spec.cpus;
    m->second.reserved_gpus += spec.gpus;
    m->second.reserved_memory += spec.memory_gb;
  }
  auto& used = pass.used[spec.team];
  used.cpus += spec.cpus;
  used.gpus += spec.gpus;
  --pass.left;
  pass.changed.insert(id);
}

void Controller::clear_placing(RangeWork& work) {
  for (const auto& [task, p] : work.placing) {
    auto m = machines_.find(p.machine);
    if (m == machines_.end()) continue;
    m->second.reserved_cpus = std::max(0.0, m->second.reserved_cpus - work.cpus);
    m->second.reserved_gpus = std::max(0.0, m->second.reserved_gpus - work.gpus);
    m->second.reserved_memory = std::max(0.0, m->second.reserved_memory - work.memory_gb);
  }
  work.placing.clear();
  work.uncertain = false;
}

// Most jobs are in time when those that still can be go first, the ones with least left to do
// before the others. Without this, an overload makes every job a little late.
Controller::Urgency Controller::urgency_of(Ms now, const Job& job) const {
  const auto& spec = job.record.spec;
  const double age = static_cast<double>(now + wall_offset_ - job.record.submitted_ms) / 1000.0;
  const std::uint64_t left = spec.tasks - std::min<std::uint64_t>(spec.tasks, job.done_tasks());
  // The aims of its class that it can no longer meet, and those that it can.
  int missed = 0, open = 0;
  for (const auto& o : settings_.objectives) {
    if (o.job_class != spec.job_class) continue;
    double within = -1;
    if (o.kind == "deadline" && spec.deadline_s) within = *spec.deadline_s * o.times;
    if (o.kind == "finished") within = o.within_s;
    if (within < 0) continue;
    (age + spec.estimate_s > within ? missed : open) += 1;
  }
  Urgency u;
  u.hopeless = missed > 0 && open == 0;
  // While its class has an aim to meet, low work waits in one queue with standard work (measured,
  // docs/design.md); it still stops nothing and may be stopped.
  const auto rank = open > 0 ? std::max(spec.priority, wire::Priority::normal) : spec.priority;
  u.priority = -static_cast<int>(rank);
  u.left = static_cast<double>(left) * spec.estimate_s * std::max(spec.cpus, 0.1);
  return u;
}

void Controller::schedule(Ms now) {
  dirty_ = false;
  schedule_after_ = now + kPassEveryMs;
  if (!can_write(now)) return;
  Pass pass;
  for (const auto& [id, m] : machines_) {
    if (!usable(now, m)) continue;
    pass.index[id] = static_cast<int>(pass.pool.size());
    pass.pool.push_back(candidate(now, m));
  }
  struct Entry {
    RangeId id;
    const Job* job;
    const wire::RangeRecord* range;
    Urgency urgency;
  };
  std::vector<Entry> entries;
  for (const auto& [id, job] : replica_.jobs()) {
    if (!job.known || job.record.cancelled) continue;
    std::optional<Urgency> urgency;
    for (const auto& [number, r] : job.ranges) {
      const RangeId range{id, number};
      if (r.placed.size() + r.done_count() >= r.end - r.begin) continue;
      if (membership_.range_owner(wire::range_key(id, number), r.owner) != settings_.name) continue;
      RangeWork& w = work_[range];
      if (w.first_seen == 0) w.first_seen = now;
      if (!urgency) urgency = urgency_of(now, job);
      entries.push_back({range, &job, &r, *urgency});
    }
  }
  std::sort(entries.begin(), entries.end(), [](const Entry& x, const Entry& y) {
    if (x.urgency != y.urgency) return x.urgency < y.urgency;
    return x.id < y.id;
  });
  quota_need_.clear();
  for (const auto& e : entries) {
    if (pass.left <= 0) {
      dirty_ = true;
      break;
    }
    RangeWork& w = work_[e.id];
    if (w.busy || w.uncertain || now < w.retry_at || health_.not_before(e.id.job) > now) continue;
    if (e.job->record.spec.gang) {
      place_gang(pass, e.id, *e.job, *e.range);
    } else {
      place_array(now, pass, e.id, *e.job, *e.range);
    }
  }
  take_ranges(now, pass);
  for (auto& [id, w] : work_) {
    if (!w.busy && now >= w.retry_at && (!w.freed.empty() || !w.placing.empty() || w.want_stop))
      pass.changed.insert(id);
  }
  for (const auto& id : pass.changed) write_range(id);
  std::erase_if(work_,
                [this](const auto& w) { return !w.second.busy && !replica_.range(w.first); });
  store_.tick(now);
}

bool Controller::zone_allows(const Job& job, const std::string& zone) const {
  const auto& spec = job.record.spec;
  if (!spec.one_zone && !spec.spread) return true;
  std::size_t here = 0;
  for (const auto& [number, r] : job.ranges) {
    auto count = [&](const wire::Placement& p) {
      const auto* m = replica_.machine(p.machine);
      const std::string other = m ? m->zone : "";
      if (spec.one_zone && other != zone) return false;
      if (other == zone) ++here;
      return true;
    };
    for (const auto& [task, p] : r.placed)
      if (!count(p)) return false;
    if (auto w = work_.find({spec.id, number}); w != work_.end()) {
      for (const auto& [task, p] : w->second.placing)
        if (!count(p)) return false;
    }
  }
  return !spec.spread || here + 1 <= (spec.tasks + 1) / 2;
}

bool Controller::place_array(Ms now, Pass& pass, const RangeId& id, const Job& job,
                             const wire::RangeRecord& range) {
  const auto& spec = job.record.spec;
  const bool zoned = spec.one_zone || spec.spread;
  for (const auto* f : pass.failed) {
    // At least as large as something that found no room, and allowed nowhere else.
    if (!zoned && spec.cpus >= f->cpus && spec.gpus >= f->gpus && spec.memory_gb >= f->memory_gb &&
        spec.types == f->types && spec.zone == f->zone && (!spec.spot || f->spot) &&
        spec.priority <= f->priority)
      return false;
  }
  if (zoned && !pass.foreign_added) {
    // Only these may need machines of other parts: their zones are theirs to choose.
    pass.foreign_added = true;
    for (const auto& [mid, record] : replica_.machines()) {
      if (pass.index.contains(mid) || machines_.contains(mid) || record.session == 0 ||
          record.standing != wire::MachineStanding::ready)
        continue;
      pass.index[mid] = static_cast<int>(pass.pool.size());
      pass.pool.push_back(foreign_candidate(mid, record));
    }
  }
  std::vector<int> eligible;
  for (std::size_t i = 0; i < pass.pool.size(); ++i) {
    const Candidate& c = pass.pool[i];
    if ((c.own || zoned) && allowed(spec, c.type, c.zone, c.spot) &&
        !health_.failed_here(now, c.id, spec.id))
      eligible.push_back(static_cast<int>(i));
  }
  if (eligible.empty() && health_.faulty_job(spec.id)) {
    // Failed everywhere: try again anywhere, at the pace of its back-off.
    for (std::size_t i = 0; i < pass.pool.size(); ++i)
      if (pass.pool[i].own &&
          allowed(spec, pass.pool[i].type, pass.pool[i].zone, pass.pool[i].spot))
        eligible.push_back(static_cast<int>(i));
  }
  RangeWork& w = work_[id];
  const std::size_t most = placed_most();
  std::uint64_t attempt = range.next_attempt;
  bool any = false;
  std::size_t foreign = 0;
  while (w.cursor < range.end && (w.cursor < range.begin || range.done[w.cursor - range.begin]))
    ++w.cursor;
  std::uint32_t waiting = 0;
  for (std::uint32_t task = std::max(w.cursor, range.begin); task < range.end; ++task) {
    if (!unstarted(w, range, task)) continue;
    if (pass.left <= 0 || range.placed.size() + w.placing.size() >= most) break;
    if (!grant_allows(pass, spec)) {
      for (std::uint32_t t = task; t < range.end; ++t) waiting += unstarted(w, range, t) ? 1 : 0;
      break;
    }
    std::vector<int> here = eligible;
    if (zoned) {
      std::erase_if(here, [&](int i) {
        return !zone_allows(job, pass.pool[static_cast<std::size_t>(i)].zone);
      });
    }
    int chosen = choose(pass.pool, spec, here, random_);
    // What can meet no aim any more waits for room instead of making others late.
    if (chosen < 0 && !urgency_of(now, job).hopeless) chosen = make_room(now, pass, spec);
    if (chosen >= 0 && zoned && !zone_allows(job, pass.pool[static_cast<std::size_t>(chosen)].zone))
      chosen = -1;
    if (chosen < 0) {
      if (!zoned) pass.failed.push_back(&spec);
      break;
    }
    // Each machine of another part is one more write of the transaction.
    if (!pass.pool[static_cast<std::size_t>(chosen)].own &&
        static_cast<int>(++foreign) + 2 > settings_.txn_ops)
      break;
    assign(pass, w, id, job, task, attempt, chosen);
    any = true;
  }
  if (waiting > 0) {
    auto& need = quota_need_[spec.team];
    need.cpus += spec.cpus * waiting;
    need.gpus += spec.gpus * waiting;
  }
  return any;
}

bool Controller::place_gang(Pass& pass, const RangeId& id, const Job& job,
                            const wire::RangeRecord& range) {
  const auto& spec = job.record.spec;
  RangeWork& w = work_[id];
  // The next attempt starts when nothing of the last is left anywhere.
  if (!range.placed.empty() || !w.placing.empty() || range.done_count() > 0) return false;
  const Team* t = team(spec.team);
  if (!t) return false;
  if (limited(*t)) {
    wire::JobSpec all = spec;
    all.cpus *= spec.tasks;
    all.gpus *= spec.tasks;
    if (!grant_allows(pass, all)) {
      auto& need = quota_need_[spec.team];
      need.cpus += all.cpus;
      need.gpus += all.gpus;
      return false;
    }
  }
  // Our own part first; if it cannot hold the gang, other parts' machines too.
  for (const bool foreign : {false, true}) {
    if (foreign && !pass.foreign_added) {
      pass.foreign_added = true;
      for (const auto& [mid, record] : replica_.machines()) {
        if (pass.index.contains(mid) || machines_.contains(mid) || record.session == 0 ||
            record.standing != wire::MachineStanding::ready)
          continue;
        pass.index[mid] = static_cast<int>(pass.pool.size());
        pass.pool.push_back(foreign_candidate(mid, record));
      }
    }
    std::set<std::string> zones;
    for (const auto& c : pass.pool) zones.insert(c.zone);
    std::vector<std::string> tries;
    if (spec.one_zone) {
      tries.assign(zones.begin(), zones.end());
    } else {
      tries.emplace_back();
    }
    for (const auto& only : tries) {
      std::vector<Candidate> pool = pass.pool;
      std::map<std::string, std::uint32_t> in_zone;
      std::vector<int> chosen;
      std::set<int> foreign_machines;
      for (std::uint32_t task = 0; task < spec.tasks; ++task) {
        std::vector<int> eligible;
        for (std::size_t i = 0; i < pool.size(); ++i) {
          const Candidate& c = pool[i];
          if ((!c.own && !foreign) || !allowed(spec, c.type, c.zone, c.spot)) continue;
          if (!only.empty() && c.zone != only) continue;
          if (spec.spread && in_zone[c.zone] + 1 > (spec.tasks + 1) / 2) continue;
          eligible.push_back(static_cast<int>(i));
        }
        const int at = choose(pool, spec, eligible, random_);
        if (at < 0) break;
        Candidate& c = pool[static_cast<std::size_t>(at)];
        c.book(spec, spec.estimate_s);
        ++in_zone[c.zone];
        if (!c.own) foreign_machines.insert(at);
        chosen.push_back(at);
      }
      if (chosen.size() < spec.tasks ||
          static_cast<int>(foreign_machines.size()) + 1 > settings_.txn_ops)
        continue;
      for (std::uint32_t task = 0; task < spec.tasks; ++task)
        assign(pass, w, id, job, range.begin + task, range.next_attempt, chosen[task]);
      return true;
    }
  }
  return false;
}

// Stops what may be stopped for this task on the machine where that loses least; returns the
// machine, with its room counted as free, or -1.
int Controller::make_room(Ms now, Pass& pass, const wire::JobSpec& spec) {
  // A team that stays within its guarantee need not wait for what another runs beyond its own.
  auto within = [this, &pass](const std::string& name, const wire::JobSpec& more) {
    const Team* t = team(name);
    if (!t || (t->cpus <= 0 && t->gpus <= 0)) return false;
    auto [used, fresh] = pass.team_usage.try_emplace(name);
    if (fresh) used->second = replica_.usage(name);
    const Usage& u = used->second;
    return u.cpus + more.cpus <= t->cpus + 1e-6 && u.gpus + more.gpus <= t->gpus + 1e-6;
  };
  const bool entitled = within(spec.team, spec);
  if (spec.priority == wire::Priority::low && !entitled) return -1;
  std::map<std::string, bool> borrows;  // team -> runs beyond its guarantee
  if (entitled) {
    const wire::JobSpec nothing;
    for (const auto& t : settings_.teams)
      borrows[t.name] = t.name != spec.team && !within(t.name, nothing);
  }
  double wait_aim_s = 1e9;
  for (const auto& o : settings_.objectives)
    if (o.kind == "wait" && o.job_class == spec.job_class) wait_aim_s = o.within_s;
  struct Victim {
    wire::TaskId task;
    std::uint64_t attempt;
    double grace, loss;
    const wire::JobSpec* spec;
  };
  int best = -1;
  double best_loss = 0;
  std::vector<Victim> best_victims;
  for (std::size_t i = 0; i < pass.pool.size(); ++i) {
    const Candidate& c = pass.pool[i];
    auto at = machines_.find(c.id);
    if (!c.own || at == machines_.end() || !allowed(spec, c.type, c.zone, c.spot) ||
        health_.failed_here(now, c.id, spec.id))
      continue;
    const Machine& m = at->second;
    std::vector<Victim> victims;
    for (const TaskRef& ref : replica_.placed_on(m.id)) {
      const auto* p = replica_.placement(ref);
      const Job* job = replica_.job(ref.range.job);
      if (!p || !job || job->record.spec.gang) continue;
      const bool lower = job->record.spec.priority < spec.priority;
      const bool borrowed = entitled && borrows[job->record.spec.team];
      if (!lower && !borrowed) continue;
      const wire::TaskId task{ref.range.job, ref.index};
      auto seen = m.tasks.find(task);
      if (m.halts.contains(task) || seen == m.tasks.end() || seen->second.attempt != p->attempt ||
          seen->second.state == wire::TaskState::exited ||
          seen->second.state == wire::TaskState::saving)
        continue;
      const auto& v = job->record.spec;
      const double ran = elapsed_s(now, m, ref, p->attempt);
      // Work that can wait a little does not stop what will soon end by itself: measured, each stop
      // costs more than it brings (docs/design.md).
      if (spec.priority < wire::Priority::high && remaining(v.estimate_s, ran) < k::kLongVictimS)
        continue;
      const bool saves = v.checkpoint_s > 0 && v.save_s + 1.0 < wait_aim_s / 2;
      const double lost =
          v.checkpoint_s > 0 ? (saves ? v.save_s : std::min(ran, v.checkpoint_s / 2)) : ran;
      victims.push_back({task, p->attempt, saves ? v.save_s : 0.0, (lost + 1.0) * v.cpus, &v});
    }
    std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
      if (a.spec->priority != b.spec->priority) return a.spec->priority < b.spec->priority;
      return a.loss < b.loss;
    });
    Candidate after = c;
    double loss = 0;
    std::vector<Victim> taken;
    for (const Victim& v : victims) {
      if (after.fits(spec)) break;
      after.cpus += v.spec->cpus;
      after.gpus += v.spec->gpus;
      after.memory_gb += v.spec->memory_gb;
      loss += v.loss;
      taken.push_back(v);
    }
    if (!after.fits(spec) || taken.empty()) continue;
    if (best < 0 || loss < best_loss) {
      best = static_cast<int>(i);
      best_loss = loss;
      best_victims = std::move(taken);
    }
  }
  if (best < 0) return -1;
  Candidate& c = pass.pool[static_cast<std::size_t>(best)];
  Machine& m = machines_.at(c.id);
  for (const Victim& v : best_victims) {
    m.halts[v.task] = {v.attempt, v.grace};
    c.cpus += v.spec->cpus;
    c.gpus += v.spec->gpus;
    c.memory_gb += v.spec->memory_gb;
    log(LogLevel::debug, "stopping " + wire::task_name(v.task.job, v.task.index) + " on " + c.id +
                             " for " + spec.id);
  }
  return best;
}

// Idle room takes unstarted tasks from the end of other parts' ranges.
void Controller::take_ranges(Ms now, Pass& pass) {
  if (pass.left <= 0) return;
  const Job* best_job = nullptr;
  RangeId best;
  std::uint32_t best_first = 0;
  for (const auto& [id, job] : replica_.jobs()) {
    const auto& spec = job.record.spec;
    if (!job.known || job.record.cancelled || spec.gang || spec.one_zone || spec.spread ||
        !job.whole() || job.ranges.size() >= kRangesPerJob || health_.not_before(id) > now)
      continue;
    if (best_job && spec.priority <= best_job->record.spec.priority) continue;
    double room = 0;
    for (const auto& c : pass.pool) {
      if (c.own && allowed(spec, c.type, c.zone, c.spot) && !health_.failed_here(now, c.id, id))
        room += fit_count(spec, c.cpus, c.gpus, c.memory_gb);
    }
    if (room < 1) continue;
    const bool granted = grant_allows(pass, spec);
    for (const auto& [number, r] : job.ranges) {
      const RangeId range{id, number};
      if (membership_.range_owner(wire::range_key(id, number), r.owner) == settings_.name) continue;
      RangeWork& w = work_[range];
      if (w.first_seen == 0) w.first_seen = now;
      if (w.busy || !w.freed.empty() || now < w.retry_at) continue;
      if (now - w.first_seen < k::kTakeOverAfterMs) {
        if (r.placed.size() + r.done_count() < r.end - r.begin) dirty_ = true;
        continue;
      }
      std::uint32_t first = r.end, open = 0;
      while (first > r.begin && !r.placed.contains(first - 1) && open < room) {
        --first;
        if (!r.done[first - r.begin]) ++open;
      }
      if (open == 0) continue;
      if (!granted) {
        // Guards against work that only our machines may run staying with a part that holds the
        // grants but has no such machines.
        auto& need = quota_need_[spec.team];
        need.cpus += spec.cpus * open;
        need.gpus += spec.gpus * open;
        break;
      }
      best_job = &job;
      best = range;
      best_first = first;
      break;
    }
  }
  if (!best_job) return;
  std::uint32_t number = random_();
  while (number == 0 || best_job->ranges.contains(number)) number = random_();
  write_taken(best, best_first, {best.job, number});
}

void Controller::write_taken(const RangeId& from, std::uint32_t first, const RangeId& to) {
  const auto* range = replica_.range(from);
  if (!range) return;
  wire::RangeRecord left = *range;
  const std::string from_key = wire::range_key(from.job, from.number);
  const std::string to_key = wire::range_key(to.job, to.number);
  Transaction t;
  t.guards = {view_guard(), store_.guard(wire::job_key(from.job)), store_.guard(from_key)};
  if (first == left.begin) {
    left.owner = settings_.name;
  } else {
    wire::RangeRecord right;
    right.owner = settings_.name;
    right.begin = first;
    right.end = left.end;
    right.done.assign(left.done.begin() + (first - left.begin), left.done.end());
    right.next_attempt = left.next_attempt;
    left.end = first;
    left.done.resize(first - left.begin);
    t.guards.push_back({to_key, 0});
    t.writes.push_back({to_key, encode(right), std::nullopt});
  }
  t.writes.push_back({from_key, encode(left), std::nullopt});
  work_[from].busy = true;
  t.done = [this, from](Ms at, Committed result, const auto&) {
    auto release = [this, from](Ms) {
      work_[from].busy = false;
      dirty_ = true;
    };
    if (result == Committed::yes) {
      release(at);
    } else {
      settle(at, release);
    }
  };
  store_.submit(std::move(t));
}

void Controller::write_range(const RangeId& id) {
  RangeWork& w = work_[id];
  const auto* range = replica_.range(id);
  const Job* job = replica_.job(id.job);
  if (w.busy) return;
  if (!range || !job) {
    clear_placing(w);
    w.freed.clear();
    w.want_stop = false;
    return;
  }
  const auto& spec = job->record.spec;
  wire::RangeRecord next = *range;
  bool changed = false;
  for (auto it = w.freed.begin(); it != w.freed.end();) {
    auto p = next.placed.find(it->first);
    if (p == next.placed.end() || p->second.attempt != it->second.attempt) {
      it = w.freed.erase(it);  // recorded already
      continue;
    }
    next.placed.erase(p);
    if (it->second.done) {
      if (spec.gang) {  // if one task of a gang is done, every one is
        next.done.assign(next.done.size(), true);
      } else {
        next.done[it->first - next.begin] = true;
      }
    } else {
      w.cursor = std::min(w.cursor, it->first);
    }
    changed = true;
    ++it;
  }
  if (w.want_stop && spec.gang && !next.placed.empty() && next.done_count() == 0 &&
      !next.stopping) {
    next.stopping = true;
    changed = true;
  }
  w.want_stop = false;
  if (next.placed.empty() && next.stopping) next.stopping = false;
  Transaction t;
  const std::string key = wire::range_key(id.job, id.number);
  t.guards = {view_guard(), store_.guard(key)};
  std::set<std::string> machines;
  if (w.uncertain) changed = true;  // the same again, with a new stamp
  if (!w.placing.empty() && !w.uncertain) {
    // A cancellation or a change of a machine's standing in between voids the placement.
    t.guards.push_back(store_.guard(wire::job_key(id.job)));
    next.owner = settings_.name;
    for (const auto& [task, p] : w.placing) {
      next.placed[task] = p;
      next.next_attempt = std::max(next.next_attempt, p.attempt + 1);
      machines.insert(p.machine);
    }
    for (const auto& m : machines) {
      const std::string machine_key = std::string(wire::kMachinePrefix) + m;
      t.guards.push_back(store_.guard(machine_key));
      const auto* record = replica_.machine(m);
      // Another part's machine: writing its record makes its controller's own placements that
      // do not know of ours fail.
      if (record && membership_.machine_owner(m, record->zone) != settings_.name)
        t.writes.push_back({machine_key, encode(*record), std::nullopt});
    }
    changed = true;
  }
  if (!changed) return;
  t.writes.push_back({key, encode(next), std::nullopt});
  t.urgent = spec.priority >= wire::Priority::high;
  w.busy = true;
  t.done = [this, id, machines](Ms at, Committed result, const auto&) {
    auto it = work_.find(id);
    if (it == work_.end()) return;
    dirty_ = true;
    if (result == Committed::unknown) {
      // Guards against a late write that fills a grant or a machine a second time.
      it->second.uncertain = true;
    } else if (result != Committed::refused || !it->second.uncertain) {
      clear_placing(it->second);
    }
    if (result == Committed::yes) {
      it->second.busy = false;
      return;  // starts follow from the changed machines
    }
    if (result == Committed::refused) {
      it->second.busy = false;
      it->second.retry_at = at + kRefusedRetryMs;
      return;
    }
    settle(at, [this, id](Ms) {
      auto again = work_.find(id);
      if (again != work_.end()) again->second.busy = false;
      dirty_ = true;
    });
  };
  store_.submit(std::move(t));
}

// ---- quota ----

void Controller::keep_quotas(Ms now) {
  if (!can_write(now) || now < quota_after_) return;
  quota_after_ = now + 4 * kPassEveryMs;
  for (const auto& t : settings_.teams) {
    if (!limited(t) || (quota_busy_[t.name] && !quota_uncertain_.contains(t.name))) continue;
    const auto need = quota_need_.find(t.name);
    auto recorded = replica_.quotas().find(t.name);
    const wire::QuotaRecord record =
        recorded == replica_.quotas().end() ? wire::QuotaRecord{} : recorded->second;
    const bool asked = std::any_of(record.wanted.begin(), record.wanted.end(), [](const auto& w) {
      return w.second.cpus > 0 || w.second.gpus > 0;
    });
    const bool uncertain = quota_uncertain_.contains(t.name);
    if (need == quota_need_.end() && !asked && !uncertain) continue;
    QuotaInput in;
    in.team = &t;
    in.self = settings_.name;
    in.live = membership_.live();
    if (need != quota_need_.end()) in.need = need->second;
    for (const auto& [who, grant] : record.grants) {
      const Usage u = replica_.usage(t.name, who);
      in.used[who] = {u.cpus, u.gpus};
    }
    const Usage own = replica_.usage(t.name, settings_.name);
    in.used[settings_.name] = {own.cpus, own.gpus};
    for (const auto& [id, w] : work_) {
      const Job* job = w.placing.empty() ? nullptr : replica_.job(id.job);
      if (!job || job->record.spec.team != t.name) continue;
      in.used[settings_.name].cpus += job->record.spec.cpus * static_cast<double>(w.placing.size());
      in.used[settings_.name].gpus += job->record.spec.gpus * static_cast<double>(w.placing.size());
    }
    auto next = next_quota(in, record);
    if (!next && uncertain) next = record;  // the same again, with a new stamp
    if (!next) continue;
    const std::string key = std::string(wire::kQuotaPrefix) + t.name;
    Transaction x;
    x.guards = {view_guard(), store_.guard(key)};
    x.writes = {{key, encode(*next), std::nullopt}};
    quota_busy_[t.name] = true;
    quota_uncertain_.erase(t.name);
    x.done = [this, name = t.name, uncertain](Ms at, Committed result, const auto&) {
      if (result == Committed::yes) {
        quota_busy_[name] = false;
        dirty_ = true;
        return;
      }
      // Guards against a grant that shrinks late while we fill it: after a write without an answer
      // nothing is placed from the grant until the record has been written again.
      const bool open = result == Committed::unknown || (result == Committed::refused && uncertain);
      settle(at, [this, name, open](Ms) {
        if (open) {
          quota_uncertain_.insert(name);
        } else {
          quota_busy_[name] = false;
        }
        dirty_ = true;
      });
    };
    store_.submit(std::move(x));
  }
}

}  // namespace puffinhaven::core
