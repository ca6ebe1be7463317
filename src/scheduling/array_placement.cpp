#include "scheduling/array_placement.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "scheduling/start_deadlines.h"

namespace scheduler {

namespace {

// Fetch time in seconds from which machines that already hold the image are sampled first; about
// the run time of a short task. Two random samples among hundreds of machines rarely find a machine
// that holds the image.
constexpr double kLongFetchS = 20.0;
// Tasks placed per range when a job is served before the normal order, because none of its tasks
// has started or because it is old.
constexpr std::uint32_t kFirstTasksPerRange = 8;

}  // namespace

bool ArrayPlacement::smaller_demand_failed(const SchedulingPass& pass, const wire::JobSpec& spec) {
  // The task demands at least as much as a task that found no capacity, is allowed on no further
  // machines, and has no higher priority.
  return std::any_of(pass.failed.begin(), pass.failed.end(), [&spec](const auto* failed) {
    return resources_of(spec).covers(resources_of(*failed)) && spec.types == failed->types &&
           spec.zone == failed->zone && (!spec.spot || failed->spot) &&
           spec.priority <= failed->priority;
  });
}

const std::vector<int>& ArrayPlacement::eligible_machines(SchedulingPass& pass,
                                                          const wire::JobSpec& spec,
                                                          const SchedulingPriority& priority,
                                                          std::vector<int>& filtered) const {
  const bool zoned = spec.one_zone || spec.spread;
  const std::vector<int>& matching = pass.machines_for(spec, "", zoned);
  const bool keep_reserved = priority.in_normal_order && !pass.reserved.empty();
  if (!keep_reserved && !failure_tracker_.has_failed(spec.id)) return matching;
  std::copy_if(matching.begin(), matching.end(), std::back_inserter(filtered), [&](int index) {
    if (keep_reserved && pass.reserved.contains(index)) return false;
    return !failure_tracker_.has_failed_on(pass.now, pass.candidate(index).id, spec.id);
  });
  // The job failed on every eligible machine: it is retried on any machine of this shard that it
  // may use, limited by its back-off.
  if (filtered.empty() && failure_tracker_.is_faulty_job(spec.id))
    return pass.machines_for(spec, "", false);
  return filtered;
}

ArrayPlacement::PreferredMachines ArrayPlacement::find_preferred(const SchedulingPass& pass,
                                                                 const wire::JobSpec& spec,
                                                                 const std::vector<int>& eligible) {
  PreferredMachines out;
  for (const int i : eligible) {
    const Candidate& candidate = pass.candidate(i);
    if (!candidate.fits(spec)) continue;
    const bool long_fetch = spec.image_gb / std::max(0.01, candidate.fetch_gb_per_s) >= kLongFetchS;
    const bool has_image = std::find(candidate.images.begin(), candidate.images.end(),
                                     spec.image) != candidate.images.end();
    if (long_fetch && has_image) out.with_image.push_back(i);
    if (pass.whole_machine_gangs && (candidate.spot || !candidate.booked.empty()))
      out.unsuitable_for_gangs.push_back(i);
  }
  return out;
}

int ArrayPlacement::pick_preferred(SchedulingPass& pass, const wire::JobSpec& spec,
                                   const std::vector<int>& eligible, PreferredMachines& preferred) {
  for (const auto* machines : {&preferred.with_image, &preferred.unsuitable_for_gangs}) {
    const int machine = pick_of_two(pass.now, pass.candidates, spec, *machines, random_);
    if (machine >= 0) return machine;
  }
  const int machine = pick_of_two(pass.now, pass.candidates, spec, eligible, random_);
  if (machine >= 0) {
    // For the next task of the job, the machine counts as in use and as holding the image, which is
    // being fetched.
    preferred.with_image.push_back(machine);
    if (pass.whole_machine_gangs) preferred.unsuitable_for_gangs.push_back(machine);
  }
  return machine;
}

int ArrayPlacement::pick_in_zones(SchedulingPass& pass, const wire::JobSpec& spec,
                                  const std::vector<int>& eligible,
                                  const std::set<std::string>& zones) {
  // Machines of this controller's shard come first: a placement on another shard's machine makes
  // concurrent placements by that shard's owner fail.
  for (const bool local : {true, false}) {
    std::vector<int> in_zones;
    std::copy_if(eligible.begin(), eligible.end(), std::back_inserter(in_zones), [&](int index) {
      const Candidate& candidate = pass.candidate(index);
      return candidate.local == local && zones.contains(candidate.zone);
    });
    const int machine = pick_of_two(pass.now, pass.candidates, spec, in_zones, random_);
    if (machine >= 0) return machine;
  }
  return -1;
}

int ArrayPlacement::pick_machine(SchedulingPass& pass, const Job& job,
                                 const SchedulingPriority& priority, MachineOptions& options) {
  const wire::JobSpec& spec = job.record.spec;
  const bool zoned = spec.one_zone || spec.spread;
  std::set<std::string> zones;
  if (zoned) zones = assigner_.open_zones(pass, job);
  if (!zoned && !options.preferred)
    options.preferred = find_preferred(pass, spec, options.eligible);
  const int picked = zoned ? pick_in_zones(pass, spec, options.eligible, zones)
                           : pick_preferred(pass, spec, options.eligible, *options.preferred);
  // A job that can no longer meet any objective waits for capacity instead of preempting other
  // work.
  if (picked >= 0 || priority.misses_every_objective) return picked;
  const double age_s = status_.age_s(pass.now, job.record.submitted_ms);
  const bool urgent = is_urgent(context_.settings, spec, age_s);
  return preemption_.preempt_for(pass, spec, urgent, zoned ? &zones : nullptr);
}

void ArrayPlacement::skip_finished(RangeState& state, const wire::RangeRecord& range) {
  while (state.cursor < range.end &&
         (state.cursor < range.begin || range.done[state.cursor - range.begin]))
    ++state.cursor;
}

std::uint32_t ArrayPlacement::count_unstarted(std::uint32_t first, const RangeState& state,
                                              const wire::RangeRecord& range) {
  std::uint32_t count = 0;
  for (std::uint32_t task = first; task < range.end; ++task)
    count += state.is_unstarted(range, task) ? 1 : 0;
  return count;
}

void ArrayPlacement::place(SchedulingPass& pass, const RangeId& id, const Job& job,
                           const wire::RangeRecord& range, const SchedulingPriority& priority) {
  const wire::JobSpec& spec = job.record.spec;
  const bool zoned = spec.one_zone || spec.spread;
  if (!zoned && smaller_demand_failed(pass, spec)) return;
  if (zoned) candidate_cache_.add_remote_candidates(pass);
  std::vector<int> filtered;
  MachineOptions options{eligible_machines(pass, spec, priority, filtered), std::nullopt};
  RangeState& state = ranges_[id];
  skip_finished(state, range);
  const std::size_t max_placements = planner_.max_placements(range.end - range.begin);
  std::uint32_t task_limit = priority.in_normal_order ? range.end : kFirstTasksPerRange;
  for (std::uint32_t task = std::max(state.cursor, range.begin); task < range.end; ++task) {
    if (!state.is_unstarted(range, task)) continue;
    const bool range_is_full =
        range.placed.size() + state.pending_placements.size() >= max_placements;
    if (pass.remaining_placements <= 0 || range_is_full || task_limit-- == 0) return;
    if (!quota_.allows(pass.used, spec)) {
      quota_.add_demand(spec, count_unstarted(task, state, range));
      return;
    }
    const int machine = pick_machine(pass, job, priority, options);
    if (machine < 0) {
      if (!priority.in_normal_order) pass.reserve(spec, 1);
      if (!zoned) pass.failed.push_back(&spec);
      return;
    }
    assigner_.assign(pass, {spec, state, task, range.next_attempt}, machine, false);
  }
}

}  // namespace scheduler
