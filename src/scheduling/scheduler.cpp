// Choosing machines for tasks. What is chosen is then recorded (ranges.cpp), and starts follow from
// the records.
#include <algorithm>
#include <cmath>
#include <iterator>

#include "base/resources.h"
#include "base/types.h"
#include "controller/controller.h"
#include "scheduling/scheduling_pass.h"

namespace scheduler {

namespace {

// Seconds of an image's fetch from which on machines that have the image are sampled first: as long
// as a short task runs. Two samples of hundreds of machines hardly ever meet one that has it.
constexpr double kLongFetchS = 20.0;
// Tasks placed in one scheduling pass; bounds the time of a pass on a small processor share.
constexpr int kPlacementsPerPass = 256;
// Milliseconds between passes at least; a pass takes about a millisecond.
constexpr std::int64_t kPassEveryMs = 50;
// Machines and jobs that passes walk in a second at most: each takes about half a microsecond, so
// that they stay below a twentieth of a core.
constexpr std::int64_t kPassWalkPerS = 40'000;
// Writes that may wait for the state service before scheduling asks for more (high work excepted):
// about a second's share of the rate.
constexpr int kWritesQueued = 16;
// Seconds left to start a task in time below which others lose their work for it.
constexpr double kUrgentStartS = 6.0;
// Seconds from which on a job is old, whatever its aims, and the share of a part's CPUs that old
// jobs have before all others.
constexpr double kOldJobS = 180.0;
constexpr double kOldShare = 0.2;
// Seconds after which a job that has nothing started goes before all others with its first tasks,
// and how many in each range. The largest must begin within 240 s (four minutes); starts take
// seconds, but more than one such job may be due at once.
constexpr double kBeginWithinS = 120.0;
constexpr std::uint32_t kTasksToBegin = 8;
// Milliseconds that a booked replica counts as still running in predictions: it ends when its user
// calls it off, so its machine counts as full for longer than any array runs.
constexpr std::int64_t kServiceRunsMs = 24LL * 3600 * 1000;
// Milliseconds for which a sum over the machines of the fleet is used again.
constexpr std::int64_t kFleetCountMs = 1000;

}  // namespace

double Controller::elapsed_s(Ms now, const Machine& m, const TaskRef& ref,
                             std::uint64_t attempt) const {
  auto seen = m.tasks.find({ref.range.job, ref.index});
  if (seen == m.tasks.end() || seen->second.attempt != attempt || !seen->second.running_since)
    return 0;
  return static_cast<double>(now - seen->second.running_since) / 1000.0;
}

Ms Controller::ends_at(Ms from, const wire::JobSpec& spec) {
  // A service has no end to predict.
  if (spec.is_service()) return from + kServiceRunsMs;
  return from + static_cast<Ms>(spec.estimate_s * 1000.0);
}

// Kept until something about the machine changes; a pass must not cost fleet times tasks.
Candidate& Controller::candidate(Ms now, const Machine& m) const {
  if (m.candidate_known) return m.candidate;
  m.candidate_known = true;
  Candidate& c = m.candidate;
  c = {};
  c.id = m.id;
  c.zone = m.zone;
  c.type = m.type;
  c.spot = m.spot;
  c.incarnation = m.incarnation;
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
    const bool listed = seen != m.tasks.end() && seen->second.attempt == p->attempt;
    if (listed && seen->second.state == wire::TaskState::exited) continue;
    if (released(ref, p->attempt)) continue;
    // What is being stopped to make room counts as gone; starts wait until it is.
    if (auto h = m.stop_requests.find(task);
        h != m.stop_requests.end() && h->second.first == p->attempt)
      continue;
    const auto& spec = job->second.record.spec;
    const Ms since = listed && seen->second.running_since ? seen->second.running_since : now;
    c.book(spec, ends_at(since, spec));
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
    if (!recorded) c.book(job->second.record.spec, now);
  }
  return c;
}

Candidate Controller::remote_candidate(Ms now, const std::string& id,
                                       const wire::MachineRecord& record) const {
  Candidate c;
  c.id = id;
  c.zone = record.zone;
  c.type = record.type;
  c.spot = record.spot;
  c.incarnation = record.incarnation;
  c.local = false;
  const auto* type = replica_.type(record.type);
  if (!type) return c;
  const auto found = remote_reservations_.find(id);
  const Amounts unwritten = found == remote_reservations_.end() ? Amounts{} : found->second;
  c.cpus = type->cpus - unwritten.cpus;
  c.gpus = type->gpus - unwritten.gpus;
  c.memory_gb = type->memory_gb - unwritten.memory_gb;
  c.fetch_gb_per_s = type->fetch_gb_per_s;
  for (const TaskRef& ref : replica_.placed_on(id)) {
    auto job = replica_.jobs().find(ref.range.job);
    if (job != replica_.jobs().end())
      c.book(job->second.record.spec, ends_at(now, job->second.record.spec));
  }
  return c;
}

// Only gangs and jobs that are bound to zones may need machines of other parts.
void Controller::add_remote_candidates(SchedulingPass& pass) {
  if (pass.remote_added) return;
  pass.remote_added = true;
  for (const auto& [id, record] : replica_.machines()) {
    if (machines_.contains(id) || record.incarnation == 0 ||
        record.state != wire::MachineState::ready)
      continue;
    auto known = remote_candidates_.find(id);
    if (known == remote_candidates_.end())
      known = remote_candidates_.emplace(id, remote_candidate(pass.now, id, record)).first;
    pass.candidates.push_back(&known->second);
    pass.zones.insert(record.zone);
  }
}

const std::vector<int>& Controller::machines_for(SchedulingPass& pass, const wire::JobSpec& spec,
                                                 const std::string& zone, bool remote) {
  static const std::vector<int> none;
  if (!zone.empty() && !spec.zone.empty() && zone != spec.zone) return none;
  const std::string& only = zone.empty() ? spec.zone : zone;
  auto [found, fresh] =
      pass.eligible_by_kind.try_emplace(SchedulingPass::Kind{spec.spot, spec.types, only, remote});
  if (!fresh) return found->second;
  for (std::size_t i = 0; i < pass.candidates.size(); ++i) {
    const Candidate& c = *pass.candidates[i];
    const bool here = only.empty() || c.zone == only;
    if (here && (c.local || remote) && allowed(spec, c.type, c.zone, c.spot))
      found->second.push_back(static_cast<int>(i));
  }
  return found->second;
}

bool Controller::released(const TaskRef& ref, std::uint64_t attempt) const {
  auto w = range_states_.find(ref.range);
  if (w == range_states_.end()) return false;
  auto f = w->second.released.find(ref.index);
  return f != w->second.released.end() && f->second.attempt == attempt;
}

// What is proven gone, though not recorded yet, is recorded together with its next placement.
bool Controller::is_unstarted(const RangeState& work, const wire::RangeRecord& range,
                              std::uint32_t task) const {
  if (range.done[task - range.begin] || work.pending_placements.contains(task)) return false;
  auto p = range.placed.find(task);
  if (p == range.placed.end()) return true;
  auto f = work.released.find(task);
  return !range.stopping && f != work.released.end() && !f->second.done &&
         f->second.attempt == p->second.attempt;
}

// Tasks of the range that could be placed now.
std::size_t Controller::open_tasks(const RangeState& work, const wire::RangeRecord& range) {
  const std::size_t held = range.placed.size() + range.done_count();
  const auto lost = static_cast<std::size_t>(std::count_if(
      work.released.begin(), work.released.end(), [](const auto& f) { return !f.second.done; }));
  const std::size_t all = range.end - range.begin;
  return std::min(all, all - std::min(all, held) + lost);
}

void Controller::assign(SchedulingPass& pass, RangeState& work, const Job& job, std::uint32_t task,
                        std::uint64_t attempt, int machine, bool booked) {
  Candidate& c = *pass.candidates[static_cast<std::size_t>(machine)];
  const auto& spec = job.record.spec;
  work.pending_placements[task] = {attempt, c.id, c.incarnation, settings_.name};
  work.cpus = spec.cpus;
  work.gpus = spec.gpus;
  work.memory_gb = spec.memory_gb;
  if (!booked) c.book(spec, ends_at(pass.now, spec));
  adjust_reservation(c.id, spec, 1);
  auto& used = pass.used[spec.team];
  used.cpus += spec.cpus;
  used.gpus += spec.gpus;
  --pass.remaining_placements;
}

// Takes the last `count` choices back.
void Controller::drop_pending_placements(RangeState& work, std::size_t count) {
  wire::JobSpec task;
  task.cpus = work.cpus;
  task.gpus = work.gpus;
  task.memory_gb = work.memory_gb;
  while (count-- > 0 && !work.pending_placements.empty()) {
    auto last = std::prev(work.pending_placements.end());
    const std::string& id = last->second.machine;
    adjust_reservation(id, task, -1);
    if (auto m = machines_.find(id); m != machines_.end()) m->second.candidate_known = false;
    remote_candidates_.erase(id);
    work.pending_placements.erase(last);
  }
}

void Controller::adjust_reservation(const std::string& machine, const wire::JobSpec& spec,
                                    int sign) {
  const auto change = [sign](double& amount, double by) {
    amount = std::max(0.0, amount + sign * by);
  };
  if (auto m = machines_.find(machine); m != machines_.end()) {
    change(m->second.reserved_cpus, spec.cpus);
    change(m->second.reserved_gpus, spec.gpus);
    change(m->second.reserved_memory, spec.memory_gb);
    return;
  }
  const auto at = remote_reservations_.try_emplace(machine).first;
  change(at->second.cpus, spec.cpus);
  change(at->second.gpus, spec.gpus);
  change(at->second.memory_gb, spec.memory_gb);
  const bool none = at->second.cpus <= kAmountSlack && at->second.gpus <= kAmountSlack &&
                    at->second.memory_gb <= kAmountSlack;
  if (none) remote_reservations_.erase(at);
}

void Controller::recount_remote_reservations() {
  remote_reservations_.clear();
  for (const auto& [id, work] : range_states_) {
    for (const auto& [task, placement] : work.pending_placements) {
      if (machines_.contains(placement.machine)) continue;
      Amounts& sum = remote_reservations_[placement.machine];
      sum.cpus += work.cpus;
      sum.gpus += work.gpus;
      sum.memory_gb += work.memory_gb;
    }
  }
}

// A pass walks the machines of the part and all jobs; with thousands of them passes are rarer.
Ms Controller::pass_interval() const {
  const auto walked = static_cast<Ms>(machines_.size() + replica_.jobs().size());
  return std::max(kPassEveryMs, walked * 1000 / kPassWalkPerS);
}

void Controller::clear_pending_placements(RangeState& work) {
  drop_pending_placements(work, work.pending_placements.size());
  work.write_uncertain = false;
}

double Controller::age_s(Ms now, const Job& job) const {
  return static_cast<double>(now + wall_offset_ - job.record.submitted_ms) / 1000.0;
}

// The aims of its class that the job can still meet, as times by which its tasks must have started.
PendingJob Controller::pending_job(Ms now, const Job& job) const {
  const auto& spec = job.record.spec;
  PendingJob w;
  w.age = age_s(now, job);
  const std::uint64_t held = job.done_tasks() + job.placed_tasks();
  w.work = static_cast<double>(spec.tasks - std::min<std::uint64_t>(spec.tasks, held)) *
           spec.estimate_s * std::max(spec.cpus, 0.1);
  if (spec.is_service()) {
    // Every second that a replica is missing counts, however long it has been so.
    w.latest_starts.push_back(0);
    w.priority = static_cast<int>(spec.priority);
    return w;
  }
  bool finish_open = false, any = false;
  for (const auto& o : settings_.objectives) {
    if (o.job_class != spec.job_class) continue;
    double start_by = -1;
    if (o.kind == ObjectiveKind::wait) start_by = o.within_s - w.age;
    if (o.kind == ObjectiveKind::deadline && spec.deadline_s)
      start_by = *spec.deadline_s * o.times - spec.estimate_s - w.age;
    if (o.kind == ObjectiveKind::finished) start_by = o.within_s - spec.estimate_s - w.age;
    const bool finishing = o.kind == ObjectiveKind::deadline || o.kind == ObjectiveKind::finished;
    any = any || finishing;
    if (start_by < 0) continue;
    w.latest_starts.push_back(start_by);
    finish_open = finish_open || finishing;
  }
  if (!any) w.latest_starts.push_back(std::max(0.0, kDefaultHorizonS - spec.estimate_s - w.age));
  std::sort(w.latest_starts.begin(), w.latest_starts.end());
  // While its class has an aim to meet, low work waits in one queue with standard work (measured,
  // docs/design.md); it still stops nothing and may be stopped.
  w.priority = static_cast<int>(finish_open ? std::max(spec.priority, wire::Priority::normal)
                                            : spec.priority);
  return w;
}

bool Controller::is_urgent(Ms now, const Job& job) const {
  const auto& spec = job.record.spec;
  if (spec.is_service()) return true;
  const double age = age_s(now, job);
  double left = 1e9;
  for (const auto& o : settings_.objectives) {
    if (o.job_class != spec.job_class) continue;
    double start_by = 1e9;
    if (o.kind == ObjectiveKind::wait) start_by = o.within_s;
    if (o.kind == ObjectiveKind::deadline && spec.deadline_s)
      start_by = *spec.deadline_s * o.times - spec.estimate_s;
    if (o.kind == ObjectiveKind::finished) start_by = o.within_s - spec.estimate_s;
    if (start_by > age) left = std::min(left, start_by - age);
  }
  return left < kUrgentStartS;
}

double Controller::total_fleet_cpus(Ms now) {
  if (now < fleet_cpus_at_) return fleet_cpus_;
  fleet_cpus_at_ = now + kFleetCountMs;
  fleet_cpus_ = 0;
  for (const auto& [id, record] : replica_.machines()) {
    if (record.state != wire::MachineState::ready || record.incarnation == 0) continue;
    if (const auto* type = replica_.type(record.type)) fleet_cpus_ += type->cpus;
  }
  return fleet_cpus_;
}

void Controller::schedule(Ms now) {
  dirty_ = false;
  schedule_after_ = now + pass_interval();
  if (!can_write(now)) return;
  count_service_reserve();
  SchedulingPass pass;
  pass.now = now;
  pass.remaining_placements = kPlacementsPerPass;
  // Few writes wait at once: which work goes next is decided when it can be written, not before a
  // queue of seconds, and what gathers meanwhile goes in one write.
  pass.remaining_writes = kWritesQueued - static_cast<int>(state_client_.queued());
  for (const auto& [id, m] : machines_)
    if (usable(now, m)) {
      pass.candidates.push_back(&candidate(now, m));
      pass.zones.insert(m.zone);
    }
  pass.local_machines = pass.candidates.size();
  auto write = [&](const RangeId& id) {
    write_range(id);
    --pass.remaining_writes;
  };
  // Ends of ranges first: users wait for them.
  for (auto& [id, w] : range_states_)
    if (!w.busy && now >= w.retry_at && completes(id, w)) write(id);
  struct Entry {
    RangeId id;
    const Job* job;
    const wire::RangeRecord* range;
    std::size_t waiter;
    bool old;
    SchedulingPriority scheduling_priority;
  };
  double all_cpus = 0, old_cpus = 0;  // of our part; of those, what old jobs use
  for (const auto* c : pass.candidates)
    if (const auto* type = replica_.type(c->type)) all_cpus += type->cpus;
  std::vector<Entry> entries;
  // All jobs that wait, of whatever part: every controller comes to the same order.
  std::vector<PendingJob> waiters;
  std::vector<const std::string*> classes;
  std::map<std::string_view, double> of_class;  // live jobs
  for (const auto& [id, job] : replica_.jobs()) {
    if (!job.known || job.record.cancelled || job.done_tasks() >= job.record.spec.tasks) continue;
    of_class[job.record.spec.job_class] += 1;
    pass.whole_machine_gangs = pass.whole_machine_gangs || is_whole_machine_gang(job.record.spec);
    const bool old = !job.record.spec.is_service() && age_s(now, job) > kOldJobS;
    const std::size_t waiter = waiters.size();
    bool waits = job.done_tasks() + job.placed_tasks() < job.record.spec.tasks;
    for (const auto& [number, r] : job.ranges) {
      const RangeId range{id, number};
      if (cluster_view_.range_owner(wire::range_key(id, number), r.owner) != settings_.name)
        continue;
      if (old) old_cpus += job.record.spec.cpus * static_cast<double>(r.placed.size());
      RangeState& w = range_states_[range];
      if (open_tasks(w, r) == 0) continue;
      if (w.first_seen == 0) w.first_seen = now;
      waits = true;
      entries.push_back({range, &job, &r, waiter, old, {}});
    }
    if (!waits) continue;
    waiters.push_back(pending_job(now, job));
    classes.push_back(&job.record.spec.job_class);
  }
  // The aims are shares of a class: one job of a small class counts for more.
  for (std::size_t i = 0; i < waiters.size(); ++i) waiters[i].weight = 1.0 / of_class[*classes[i]];
  const auto place = order_by_deadline(waiters, total_fleet_cpus(now));
  for (auto& e : entries) {
    const PendingJob& w = waiters[e.waiter];
    // Nobody is starved: whoever has waited this long without any task started begins now, and goes
    // on in its own place afterwards.
    e.scheduling_priority.has_started =
        w.age < kBeginWithinS || e.job->done_tasks() + e.job->placed_tasks() > 0;
    e.scheduling_priority.misses_every_objective = w.latest_starts.empty();
    e.scheduling_priority.place = place[e.waiter];
  }
  // Old jobs have a share of the machines before all others, so that an overload that lasts does
  // not put them off for ever; the rest goes by the aims.
  if (old_cpus < kOldShare * all_cpus) {
    for (auto& e : entries)
      if (e.old) e.scheduling_priority.has_started = false;
  }
  std::sort(entries.begin(), entries.end(), [](const Entry& x, const Entry& y) {
    const bool x_service = x.job->record.spec.is_service();
    const bool y_service = y.job->record.spec.is_service();
    if (x_service != y_service) return x_service;
    if (x.scheduling_priority.has_started != y.scheduling_priority.has_started)
      return !x.scheduling_priority.has_started;
    if (x.scheduling_priority.place != y.scheduling_priority.place)
      return x.scheduling_priority.place < y.scheduling_priority.place;
    return x.id < y.id;
  });
  quota_demand_.clear();
  for (const auto& e : entries) {
    if (pass.remaining_placements <= 0) {
      dirty_ = true;
      break;
    }
    RangeState& w = range_states_[e.id];
    if (w.busy || w.write_uncertain || now < w.retry_at ||
        failure_tracker_.next_attempt_at(e.id.job) > now)
      continue;
    if (pass.remaining_writes <= 0 && e.job->record.spec.priority < wire::Priority::high) {
      dirty_ = true;
      continue;
    }
    if (e.job->record.spec.is_service()) {
      place_service(pass, e.id, *e.job, *e.range);
    } else if (e.job->record.spec.is_gang()) {
      place_gang(pass, e.id, *e.job, *e.range, e.scheduling_priority.has_started);
    } else {
      place_array(pass, e.id, *e.job, *e.range, e.scheduling_priority);
    }
    if (!w.pending_placements.empty()) write(e.id);
  }
  if (pass.remaining_writes > 0) steal_ranges(now, pass);
  for (auto& [id, w] : range_states_) {
    if (!w.busy && now >= w.retry_at && must_write_now(now, id, w, pass.remaining_writes > 0))
      write(id);
  }
  std::erase_if(range_states_,
                [this](const auto& w) { return !w.second.busy && !replica_.range(w.first); });
  state_client_.tick(now);
}

// Keeps the machines with most room for what must begin and finds none yet. Guards against large
// tasks and gangs that wait for ever, since small ones take every bit of room as it comes.
void Controller::reserve(SchedulingPass& pass, const wire::JobSpec& spec, std::size_t tasks) {
  std::vector<int> open = machines_for(pass, spec, "", false);
  const std::size_t n = std::min(tasks, open.size() / 4 + 1);
  const auto middle = open.begin() + static_cast<std::ptrdiff_t>(std::min(n, open.size()));
  std::partial_sort(open.begin(), middle, open.end(), [&](int a, int b) {
    return pass.candidates[static_cast<std::size_t>(a)]->cpus >
           pass.candidates[static_cast<std::size_t>(b)]->cpus;
  });
  pass.reserved.insert(open.begin(), middle);
}

std::set<std::string> Controller::zones_open(const SchedulingPass& pass, const Job& job) const {
  const auto& spec = job.record.spec;
  std::map<std::string, std::size_t> here;  // tasks by zone
  auto count = [&](const wire::Placement& p) {
    const auto* m = replica_.machine(p.machine);
    ++here[m ? m->zone : ""];
  };
  for (const auto& [number, r] : job.ranges) {
    // What is proven gone though not yet recorded holds its zone no longer.
    for (const auto& [task, p] : r.placed)
      if (!released({{spec.id, number}, task}, p.attempt)) count(p);
    if (auto w = range_states_.find({spec.id, number}); w != range_states_.end())
      for (const auto& [task, p] : w->second.pending_placements) count(p);
  }
  std::set<std::string> out;
  for (const auto& zone : pass.zones) {
    const bool alone = here.empty() || (here.size() == 1 && here.contains(zone));
    auto n = here.find(zone);
    const std::size_t then = (n == here.end() ? 0 : n->second) + 1;
    if ((!spec.one_zone || alone) && (!spec.spread || then <= (spec.tasks + 1) / 2))
      out.insert(zone);
  }
  return out;
}

// A task of it leaves no other of its kind room on any machine that it fits.
bool Controller::is_whole_machine_gang(const wire::JobSpec& spec) const {
  if (!spec.is_gang()) return false;
  const auto& types = replica_.catalog();
  return std::all_of(types.begin(), types.end(), [&spec](const auto& type) {
    return !type_fits(spec, type) || fit_count(spec, type.cpus, type.gpus, type.memory_gb) < 2;
  });
}

Controller::PreferredMachines Controller::find_preferred(const SchedulingPass& pass,
                                                         const wire::JobSpec& spec,
                                                         const std::vector<int>& eligible) const {
  PreferredMachines out;
  for (const int i : eligible) {
    const Candidate& c = *pass.candidates[static_cast<std::size_t>(i)];
    if (!c.fits(spec)) continue;
    const bool long_fetch = spec.image_gb / std::max(0.01, c.fetch_gb_per_s) >= kLongFetchS;
    const bool has_image =
        std::find(c.images.begin(), c.images.end(), spec.image) != c.images.end();
    if (long_fetch && has_image) out.with_image.push_back(i);
    if (pass.whole_machine_gangs && (c.spot || !c.booked.empty()))
      out.useless_to_gangs.push_back(i);
  }
  return out;
}

int Controller::pick_preferred(SchedulingPass& pass, const wire::JobSpec& spec,
                               const std::vector<int>& eligible, PreferredMachines& preferred) {
  for (const auto* some : {&preferred.with_image, &preferred.useless_to_gangs}) {
    const int machine = pick_of_two(pass.now, pass.candidates, spec, *some, random_);
    if (machine >= 0) return machine;
  }
  const int machine = pick_of_two(pass.now, pass.candidates, spec, eligible, random_);
  if (machine >= 0) {
    // The next task of the job finds the image on its way there, and the machine in use.
    preferred.with_image.push_back(machine);
    if (pass.whole_machine_gangs) preferred.useless_to_gangs.push_back(machine);
  }
  return machine;
}

void Controller::place_array(SchedulingPass& pass, const RangeId& id, const Job& job,
                             const wire::RangeRecord& range,
                             const SchedulingPriority& scheduling_priority) {
  const auto& spec = job.record.spec;
  const bool zoned = spec.one_zone || spec.spread;
  for (const auto* f : pass.failed) {
    // At least as large as something that found no room, and allowed nowhere else.
    if (!zoned && spec.cpus >= f->cpus && spec.gpus >= f->gpus && spec.memory_gb >= f->memory_gb &&
        spec.types == f->types && spec.zone == f->zone && (!spec.spot || f->spot) &&
        spec.priority <= f->priority)
      return;
  }
  if (zoned) add_remote_candidates(pass);
  const std::vector<int>& of_kind = machines_for(pass, spec, "", zoned);
  const bool keep_reserved = scheduling_priority.has_started && !pass.reserved.empty();
  std::vector<int> some;  // of those, if not all may be used
  const bool all = !keep_reserved && !failure_tracker_.has_failed(spec.id);
  if (!all) {
    std::copy_if(of_kind.begin(), of_kind.end(), std::back_inserter(some), [&](int i) {
      if (keep_reserved && pass.reserved.contains(i)) return false;
      const Candidate& c = *pass.candidates[static_cast<std::size_t>(i)];
      return !failure_tracker_.has_failed_on(pass.now, c.id, spec.id);
    });
  }
  // Failed everywhere: try again anywhere, at the pace of its back-off.
  const bool anywhere = !all && some.empty() && failure_tracker_.is_faulty_job(spec.id);
  const std::vector<int>& eligible = all        ? of_kind
                                     : anywhere ? machines_for(pass, spec, "", false)
                                                : some;
  RangeState& w = range_states_[id];
  const std::size_t most = max_placements(range.end - range.begin);
  while (w.cursor < range.end && (w.cursor < range.begin || range.done[w.cursor - range.begin]))
    ++w.cursor;
  std::optional<PreferredMachines> preferred;  // made for the first task that is placed
  std::uint32_t tasks_without_quota = 0;
  std::uint32_t begin_with = scheduling_priority.has_started ? range.end : kTasksToBegin;
  for (std::uint32_t task = std::max(w.cursor, range.begin); task < range.end; ++task) {
    if (!is_unstarted(w, range, task)) continue;
    if (pass.remaining_placements <= 0 || range.placed.size() + w.pending_placements.size() >= most)
      break;
    if (begin_with-- == 0) break;
    if (!quota_allows(pass, spec)) {
      for (std::uint32_t t = task; t < range.end; ++t)
        tasks_without_quota += is_unstarted(w, range, t) ? 1 : 0;
      break;
    }
    int chosen = -1;
    std::set<std::string> open;
    if (zoned) {
      open = zones_open(pass, job);
      std::vector<int> here = eligible;
      std::erase_if(here, [&](int i) {
        return !open.contains(pass.candidates[static_cast<std::size_t>(i)]->zone);
      });
      chosen = pick_of_two(pass.now, pass.candidates, spec, here, random_);
    } else {
      if (!preferred) preferred = find_preferred(pass, spec, eligible);
      chosen = pick_preferred(pass, spec, eligible, *preferred);
    }
    // What can meet no aim any more waits for room instead of making others late.
    if (chosen < 0 && !scheduling_priority.misses_every_objective)
      chosen = preempt_for(pass, spec, is_urgent(pass.now, job), zoned ? &open : nullptr);
    if (chosen < 0) {
      if (!scheduling_priority.has_started) reserve(pass, spec, 1);
      if (!zoned) pass.failed.push_back(&spec);
      break;
    }
    assign(pass, w, job, task, range.next_attempt, chosen, false);
  }
  add_quota_demand(spec, tasks_without_quota);
}

}  // namespace scheduler
