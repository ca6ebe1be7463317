#include "scheduling/scheduler.h"

#include <algorithm>
#include <utility>

#include "scheduling/start_deadlines.h"

namespace scheduler {

namespace {

// Maximum tasks placed in one pass; limits the duration of a pass on a small CPU share.
constexpr int kPlacementsPerPass = 256;
// Minimum milliseconds between passes; a pass takes about a millisecond.
constexpr std::int64_t kMinPassIntervalMs = 50;
// Maximum machines and jobs that passes iterate over per second. Each takes about half a
// microsecond, so that passes use less than a twentieth of a core.
constexpr std::int64_t kMaxScannedEntriesPerS = 40'000;
// Writes that may be queued for the state service before a pass adds no more, except for work of
// high priority; about one second of the permitted write rate.
constexpr int kMaxQueuedWrites = 16;
// Age in seconds from which a job counts as old, and the share of a shard's CPUs that old jobs get
// before all others.
constexpr double kOldJobAgeS = 180.0;
constexpr double kOldJobCpuShare = 0.2;
// Age in seconds after which a job without a started task gets its first tasks before all others.
// The largest jobs must begin within 240 s; starting takes a few seconds, but several such jobs may
// be due at the same time.
constexpr double kUnstartedJobAgeS = 120.0;
// Milliseconds for which the CPU total of the fleet is reused.
constexpr std::int64_t kFleetCountValidMs = 1000;
// Maximum milliseconds between passes, for changes that depend on time alone.
constexpr std::int64_t kMaxPassIntervalMs = 200;

}  // namespace

Scheduler::Scheduler(const Context& context, const ControllerStatus& status, MachineTable& machines,
                     RangeTable& ranges, CandidateCache& candidates, RangePlanner& planner,
                     QuotaManager& quota, ServiceReserve& service_reserve, FailureTracker& failures,
                     PassTrigger& pass_trigger, pcg32& random)
    : context_(context),
      status_(status),
      machines_(machines),
      ranges_(ranges),
      candidate_cache_(candidates),
      quota_(quota),
      service_reserve_(service_reserve),
      failure_tracker_(failures),
      pass_trigger_(pass_trigger),
      range_writer_(context, status, ranges, candidates, pass_trigger, random),
      assigner_(context, ranges, candidates),
      preemption_(context, machines, failures, random),
      arrays_(context, status, ranges, candidates, assigner_, preemption_, planner, quota, failures,
              random),
      gangs_(context, status, ranges, candidates, assigner_, quota, random),
      services_(context, machines, ranges, candidates, assigner_, preemption_, planner, quota,
                failures, random),
      work_stealing_(context, ranges, planner, quota, failures, pass_trigger, random) {}

void Scheduler::tick(Ms now) {
  if (now >= next_pass_at_ + (pass_trigger_.requested() ? 0 : kMaxPassIntervalMs)) run_pass(now);
}

void Scheduler::run_if_requested(Ms now) {
  if (pass_trigger_.requested() && now >= next_pass_at_) run_pass(now);
}

Ms Scheduler::next_tick(Ms now, Ms default_at) const {
  return pass_trigger_.requested() ? std::min(default_at, std::max(next_pass_at_, now))
                                   : default_at;
}

// A pass iterates over the machines of the shard and all jobs, so the interval grows with their
// number.
Ms Scheduler::pass_interval() const {
  const auto scanned = static_cast<Ms>(machines_.size() + context_.replica.jobs().size());
  return std::max(kMinPassIntervalMs, scanned * 1000 / kMaxScannedEntriesPerS);
}

double Scheduler::total_fleet_cpus(Ms now) {
  if (now < next_fleet_count_at_) return fleet_cpus_;
  next_fleet_count_at_ = now + kFleetCountValidMs;
  fleet_cpus_ = 0;
  for (const auto& [id, record] : context_.replica.machines()) {
    if (record.state != wire::MachineState::ready || record.incarnation == 0) continue;
    if (const auto* type = context_.replica.type(record.type)) fleet_cpus_ += type->cpus;
  }
  return fleet_cpus_;
}

void Scheduler::run_pass(Ms now) {
  pass_trigger_.clear();
  next_pass_at_ = now + pass_interval();
  if (!context_.can_write(now)) return;
  service_reserve_.recount();
  SchedulingPass pass = begin_pass(now);
  write_completed_ranges(pass);
  PendingWork work = collect_pending_work(pass);
  order_entries(pass, work);
  quota_.clear_demand();
  place_entries(pass, work.entries);
  if (pass.remaining_writes > 0) work_stealing_.steal_ranges(pass);
  write_remaining_changes(pass);
  ranges_.erase_unrecorded();
  context_.state_client.tick(now);
}

SchedulingPass Scheduler::begin_pass(Ms now) {
  candidate_cache_.begin_pass();
  SchedulingPass pass;
  pass.now = now;
  pass.remaining_placements = kPlacementsPerPass;
  // Few writes are queued at a time: the order of work is decided shortly before it is written, and
  // changes that accumulate in the meantime share one write.
  pass.remaining_writes = kMaxQueuedWrites - static_cast<int>(context_.state_client.queued());
  for (const auto& [id, machine] : machines_) {
    if (!machines_.usable(now, machine)) continue;
    pass.candidates.push_back(&candidate_cache_.candidate(now, machine));
    pass.zones.insert(machine.zone);
  }
  pass.local_machines = pass.candidates.size();
  return pass;
}

void Scheduler::write(SchedulingPass& pass, const RangeId& id) {
  range_writer_.write(id);
  --pass.remaining_writes;
}

void Scheduler::write_completed_ranges(SchedulingPass& pass) {
  for (auto& [id, state] : ranges_) {
    if (!state.write_in_progress && pass.now >= state.retry_at &&
        range_writer_.completes(id, state))
      write(pass, id);
  }
}

Scheduler::PendingWork Scheduler::collect_pending_work(SchedulingPass& pass) {
  PendingWork work;
  for (const auto& [id, job] : context_.replica.jobs()) {
    if (!job.known || job.record.cancelled || job.done_tasks() >= job.record.spec.tasks) continue;
    add_job(pass, id, job, work);
  }
  return work;
}

void Scheduler::add_job(SchedulingPass& pass, const std::string& id, const Job& job,
                        PendingWork& work) {
  const wire::JobSpec& spec = job.record.spec;
  work.live_jobs_per_class[spec.job_class] += 1;
  pass.whole_machine_gangs =
      pass.whole_machine_gangs || is_whole_machine_gang(spec, context_.replica.catalog());
  const double age_s = status_.age_s(pass.now, job.record.submitted_ms);
  const bool is_old = !spec.is_service() && age_s > kOldJobAgeS;
  const std::size_t index = work.jobs.size();
  bool has_waiting_tasks = job.done_tasks() + job.placed_tasks() < spec.tasks;
  for (const auto& [number, range] : job.ranges) {
    const RangeId range_id{id, number};
    const std::string key = wire::range_key(id, number);
    if (context_.cluster_view.range_owner(key, range.owner) != context_.settings.name) continue;
    if (is_old) work.old_cpus += spec.cpus * static_cast<double>(range.placed.size());
    RangeState& state = ranges_[range_id];
    if (state.open_tasks(range) == 0) continue;
    if (state.first_seen_at == 0) state.first_seen_at = pass.now;
    has_waiting_tasks = true;
    work.entries.push_back({range_id, &job, &range, index, is_old, {}});
  }
  if (!has_waiting_tasks) return;
  work.jobs.push_back(pending_job(context_.settings, job, age_s));
  work.job_classes.push_back(&spec.job_class);
}

void Scheduler::order_entries(const SchedulingPass& pass, PendingWork& work) {
  // Objectives are percentages of a class, so one job weighs more in a class with few jobs.
  for (std::size_t i = 0; i < work.jobs.size(); ++i)
    work.jobs[i].weight = 1.0 / work.live_jobs_per_class[*work.job_classes[i]];
  const auto positions = order_by_deadline(work.jobs, total_fleet_cpus(pass.now));
  double shard_cpus = 0;
  for (const Candidate* machine : pass.candidates)
    if (const auto* type = context_.replica.type(machine->type)) shard_cpus += type->cpus;
  // Old jobs get a share of the machines before all others, so that a long overload does not starve
  // them; the rest is assigned by the objectives.
  const bool old_first = work.old_cpus < kOldJobCpuShare * shard_cpus;
  for (PendingRange& entry : work.entries) {
    const PendingJob& pending = work.jobs[entry.pending_job];
    // Prevents starvation: a job that has waited this long without a started task gets its first
    // tasks now, and is then served in its normal position.
    const bool started = entry.job->done_tasks() + entry.job->placed_tasks() > 0;
    entry.priority.in_normal_order = pending.age_s < kUnstartedJobAgeS || started;
    if (old_first && entry.is_old) entry.priority.in_normal_order = false;
    entry.priority.misses_every_objective = pending.latest_starts_s.empty();
    entry.priority.queue_position = positions[entry.pending_job];
  }
  std::sort(work.entries.begin(), work.entries.end(),
            [](const PendingRange& x, const PendingRange& y) {
              const bool x_service = x.job->record.spec.is_service();
              const bool y_service = y.job->record.spec.is_service();
              if (x_service != y_service) return x_service;
              if (x.priority.in_normal_order != y.priority.in_normal_order)
                return !x.priority.in_normal_order;
              if (x.priority.queue_position != y.priority.queue_position)
                return x.priority.queue_position < y.priority.queue_position;
              return x.id < y.id;
            });
}

void Scheduler::place_entries(SchedulingPass& pass, const std::vector<PendingRange>& entries) {
  for (const PendingRange& entry : entries) {
    if (pass.remaining_placements <= 0) {
      pass_trigger_.request();
      break;
    }
    RangeState& state = ranges_[entry.id];
    if (state.write_in_progress || state.write_uncertain || pass.now < state.retry_at ||
        failure_tracker_.next_attempt_at(entry.id.job) > pass.now)
      continue;
    const wire::JobSpec& spec = entry.job->record.spec;
    if (pass.remaining_writes <= 0 && spec.priority < wire::Priority::high) {
      pass_trigger_.request();
      continue;
    }
    if (spec.is_service()) {
      services_.place(pass, entry.id, *entry.job, *entry.range);
    } else if (spec.is_gang()) {
      gangs_.place(pass, entry.id, *entry.job, *entry.range, entry.priority.in_normal_order);
    } else {
      arrays_.place(pass, entry.id, *entry.job, *entry.range, entry.priority);
    }
    if (!state.pending_placements.empty()) write(pass, entry.id);
  }
}

void Scheduler::write_remaining_changes(SchedulingPass& pass) {
  for (auto& [id, state] : ranges_) {
    const bool may_queue_writes = pass.remaining_writes > 0;
    if (!state.write_in_progress && pass.now >= state.retry_at &&
        range_writer_.must_write_now(pass.now, id, state, may_queue_writes))
      write(pass, id);
  }
}

}  // namespace scheduler
