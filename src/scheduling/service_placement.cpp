#include "scheduling/service_placement.h"

#include <algorithm>
#include <utility>

namespace scheduler {

namespace {

// Replicas of one range that may find no machine in a pass before the rest of the range waits for
// the next pass. The only machine with capacity may be excluded for one replica, because it keeps a
// result of that replica, but not for the others.
constexpr std::uint32_t kMaxReplicasWithoutMachine = 4;
// Milliseconds after which a replica is retried on a machine where it failed, if only such machines
// have capacity. The time suffices for a faulty machine to fail another job as well and be
// returned.
constexpr std::int64_t kFailedMachineRetryDelayMs = 10'000;

}  // namespace

void ServicePlacement::place(SchedulingPass& pass, const RangeId& id, const Job& job,
                             const wire::RangeRecord& range) {
  const wire::JobSpec& spec = job.record.spec;
  RangeState& state = ranges_[id];
  const std::size_t max_placements = planner_.max_placements(range.end - range.begin);
  std::uint32_t without_quota = 0;
  std::uint32_t without_machine = 0;
  for (std::uint32_t task = range.begin; task < range.end; ++task) {
    if (!state.is_unstarted(range, task)) continue;
    if (pass.remaining_placements <= 0 || range.placed.size() + state.pending_placements.size() >=
                                              max_placements + state.released.size())
      break;
    if (!quota_.allows(pass.used, spec)) {
      ++without_quota;
      continue;
    }
    const int machine = pick_for_replica(pass, job, task);
    if (machine >= 0) {
      assigner_.assign(pass, {spec, state, task, range.next_attempt}, machine, false);
    } else if (++without_machine >= kMaxReplicasWithoutMachine) {
      break;  // the rest of the range waits for the next pass
    }
  }
  quota_.add_demand(spec, without_quota);
}

int ServicePlacement::pick_local_for_replica(SchedulingPass& pass, ReplicaConstraints constraints) {
  for (const bool without_replica : {true, false}) {
    for (const bool contacted_recently : {true, false}) {
      constraints.without_replica = without_replica;
      constraints.contacted_recently = contacted_recently;
      const int machine = pick_of_two(pass.now, pass.candidates, *constraints.spec,
                                      replica_candidates(pass, constraints, true), random_);
      if (machine >= 0) return machine;
    }
  }
  return -1;
}

// Machines of this controller's shard are tried first, then preemption, then other shards'
// machines, and last machines where the job failed.
int ServicePlacement::pick_for_replica(SchedulingPass& pass, const Job& job, std::uint32_t task) {
  const wire::JobSpec& spec = job.record.spec;
  const bool bound_to_zones = spec.one_zone || spec.spread;
  ReplicaConstraints constraints;
  constraints.spec = &spec;
  constraints.replica = {spec.id, task};
  constraints.occupied = assigner_.machines_with_tasks(job);
  if (bound_to_zones) constraints.zones = assigner_.open_zones(pass, job);
  const int local = pick_local_for_replica(pass, constraints);
  if (local >= 0) return local;
  const int preempted = preemption_.preempt_for(
      pass, spec, true, bound_to_zones ? &*constraints.zones : nullptr, &constraints.replica);
  if (preempted >= 0) return preempted;
  // Guards against a service whose zone has no machine of this controller's shard.
  candidate_cache_.add_remote_candidates(pass);
  if (bound_to_zones) constraints.zones = assigner_.open_zones(pass, job);
  // Guards against a service limited to a zone of another shard that waits because each machine
  // with capacity there already has a replica.
  for (const bool without_replica : {true, false}) {
    constraints.without_replica = without_replica;
    const int remote = pick_of_two(pass.now, pass.candidates, spec,
                                   replica_candidates(pass, constraints, false), random_);
    if (remote >= 0) return remote;
  }
  // Guards against a replica that waits for as long as failures are remembered because the only
  // free capacity is on a machine where it failed once.
  const bool other_machines_exist =
      !failure_tracker_.is_faulty_job(spec.id) && has_other_machine(pass, constraints, true);
  constraints.avoid_failures_ms.reset();
  if (other_machines_exist) constraints.avoid_failures_ms = kFailedMachineRetryDelayMs;
  constraints.avoid_kept_result = has_other_machine(pass, constraints, false);
  return pick_of_two(pass.now, pass.candidates, spec, replica_candidates(pass, constraints, true),
                     random_);
}

bool ServicePlacement::has_other_machine(const SchedulingPass& pass,
                                         const ReplicaConstraints& constraints,
                                         bool without_failure) const {
  const wire::JobSpec& spec = *constraints.spec;
  return std::any_of(
      pass.candidates.begin(), pass.candidates.end(), [&](const Candidate* candidate) {
        return allowed(spec, candidate->type, candidate->zone, candidate->spot) &&
               !failure_tracker_.has_kept_result(pass.now, candidate->id, constraints.replica) &&
               !(without_failure &&
                 failure_tracker_.has_failed_on(pass.now, candidate->id, spec.id));
      });
}

std::vector<int> ServicePlacement::replica_candidates(const SchedulingPass& pass,
                                                      const ReplicaConstraints& constraints,
                                                      bool local) const {
  const wire::JobSpec& spec = *constraints.spec;
  std::vector<int> out;
  for (std::size_t i = 0; i < pass.candidates.size(); ++i) {
    const Candidate& candidate = *pass.candidates[i];
    if (candidate.local != local || !candidate.fits(spec) ||
        !allowed(spec, candidate.type, candidate.zone, candidate.spot))
      continue;
    if (constraints.zones && !constraints.zones->contains(candidate.zone)) continue;
    if (constraints.without_replica && constraints.occupied.contains(candidate.id)) continue;
    if (constraints.contacted_recently && !machines_.contacted_recently(pass.now, candidate.id))
      continue;
    if (constraints.avoid_failures_ms &&
        failure_tracker_.has_failed_on(pass.now, candidate.id, spec.id,
                                       *constraints.avoid_failures_ms))
      continue;
    if (constraints.avoid_kept_result &&
        failure_tracker_.has_kept_result(pass.now, candidate.id, constraints.replica))
      continue;
    out.push_back(static_cast<int>(i));
  }
  return out;
}

}  // namespace scheduler
