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
// Tasks placed per range when a job is served before the normal order because none of its tasks has
// started.
constexpr std::uint32_t kTasksToBegin = 8;

}  // namespace

bool ArrayPlacement::has_failed_already(const SchedulingPass& pass, const wire::JobSpec& spec) {
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
                                                          std::vector<int>& some) const {
  const bool zoned = spec.one_zone || spec.spread;
  const std::vector<int>& of_kind = pass.machines_for(spec, "", zoned);
  const bool keep_reserved = priority.has_started && !pass.reserved.empty();
  if (!keep_reserved && !failure_tracker_.has_failed(spec.id)) return of_kind;
  std::copy_if(of_kind.begin(), of_kind.end(), std::back_inserter(some), [&](int index) {
    if (keep_reserved && pass.reserved.contains(index)) return false;
    return !failure_tracker_.has_failed_on(pass.now, pass.candidate(index).id, spec.id);
  });
  // The job failed on every eligible machine: it is retried on any machine of its kind, limited by
  // its back-off.
  if (some.empty() && failure_tracker_.is_faulty_job(spec.id))
    return pass.machines_for(spec, "", false);
  return some;
}

ArrayPlacement::PreferredMachines ArrayPlacement::find_preferred(const SchedulingPass& pass,
                                                                 const wire::JobSpec& spec,
                                                                 const std::vector<int>& eligible) {
  PreferredMachines out;
  for (const int i : eligible) {
    const Candidate& c = pass.candidate(i);
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

int ArrayPlacement::pick_preferred(SchedulingPass& pass, const wire::JobSpec& spec,
                                   const std::vector<int>& eligible, PreferredMachines& preferred) {
  for (const auto* some : {&preferred.with_image, &preferred.useless_to_gangs}) {
    const int machine = pick_of_two(pass.now, pass.candidates, spec, *some, random_);
    if (machine >= 0) return machine;
  }
  const int machine = pick_of_two(pass.now, pass.candidates, spec, eligible, random_);
  if (machine >= 0) {
    // For the next task of the job, the machine counts as in use and as holding the image, which is
    // being fetched.
    preferred.with_image.push_back(machine);
    if (pass.whole_machine_gangs) preferred.useless_to_gangs.push_back(machine);
  }
  return machine;
}

int ArrayPlacement::pick_in_zones(SchedulingPass& pass, const wire::JobSpec& spec,
                                  const std::vector<int>& eligible,
                                  const std::set<std::string>& zones) {
  std::vector<int> here = eligible;
  std::erase_if(here, [&](int index) { return !zones.contains(pass.candidate(index).zone); });
  return pick_of_two(pass.now, pass.candidates, spec, here, random_);
}

int ArrayPlacement::pick_machine(SchedulingPass& pass, const Job& job,
                                 const SchedulingPriority& priority, Choice& choice) {
  const wire::JobSpec& spec = job.record.spec;
  const bool zoned = spec.one_zone || spec.spread;
  std::set<std::string> zones;
  if (zoned) zones = assigner_.zones_open(pass, job);
  if (!zoned && !choice.preferred) choice.preferred = find_preferred(pass, spec, choice.eligible);
  const int picked = zoned ? pick_in_zones(pass, spec, choice.eligible, zones)
                           : pick_preferred(pass, spec, choice.eligible, *choice.preferred);
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

std::uint32_t ArrayPlacement::unstarted_from(std::uint32_t first, const RangeState& state,
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
  if (!zoned && has_failed_already(pass, spec)) return;
  if (zoned) candidate_cache_.add_remote_candidates(pass);
  std::vector<int> some;
  Choice choice{eligible_machines(pass, spec, priority, some), std::nullopt};
  RangeState& state = ranges_[id];
  skip_finished(state, range);
  const std::size_t most = planner_.max_placements(range.end - range.begin);
  std::uint32_t begin_with = priority.has_started ? range.end : kTasksToBegin;
  for (std::uint32_t task = std::max(state.cursor, range.begin); task < range.end; ++task) {
    if (!state.is_unstarted(range, task)) continue;
    const bool full = range.placed.size() + state.pending_placements.size() >= most;
    if (pass.remaining_placements <= 0 || full || begin_with-- == 0) return;
    if (!quota_.allows(pass.used, spec)) {
      quota_.add_demand(spec, unstarted_from(task, state, range));
      return;
    }
    const int machine = pick_machine(pass, job, priority, choice);
    if (machine < 0) {
      if (!priority.has_started) pass.reserve(spec, 1);
      if (!zoned) pass.failed.push_back(&spec);
      return;
    }
    assigner_.assign(pass, {spec, state, task, range.next_attempt}, machine, false);
  }
}

}  // namespace scheduler
