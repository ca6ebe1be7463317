#include "scheduling/service_placement.h"

#include <algorithm>
#include <utility>

namespace scheduler {

namespace {

// Replicas of one range that may find no machine in a pass before the rest of the range waits for
// the next pass. The only machine with capacity may be excluded for one replica, because it keeps a
// result of that replica, but not for the others.
constexpr std::uint32_t kReplicasWithoutMachine = 4;
// Milliseconds after which a replica is retried on a machine where it failed, if only such machines
// have capacity. The time suffices for a faulty machine to fail another job as well and be
// returned.
constexpr std::int64_t kRetryFailedMachineMs = 10'000;

}  // namespace

void ServicePlacement::place(SchedulingPass& pass, const RangeId& id, const Job& job,
                             const wire::RangeRecord& range) {
  const wire::JobSpec& spec = job.record.spec;
  RangeState& state = ranges_[id];
  const std::size_t most = planner_.max_placements(range.end - range.begin);
  std::uint32_t without_quota = 0;
  std::uint32_t without_machine = 0;
  for (std::uint32_t task = range.begin; task < range.end; ++task) {
    if (!state.is_unstarted(range, task)) continue;
    if (pass.remaining_placements <= 0 ||
        range.placed.size() + state.pending_placements.size() >= most + state.released.size())
      break;
    if (!quota_.allows(pass.used, spec)) {
      ++without_quota;
      continue;
    }
    const int machine = pick_for_replica(pass, job, task);
    if (machine >= 0) {
      assigner_.assign(pass, {spec, state, task, range.next_attempt}, machine, false);
    } else if (++without_machine >= kReplicasWithoutMachine) {
      break;  // the rest of the range waits for the next pass
    }
  }
  quota_.add_demand(spec, without_quota);
}

int ServicePlacement::pick_local_for_replica(SchedulingPass& pass, ReplicaChoice choice) {
  for (const bool without_replica : {true, false}) {
    for (const bool contacted_recently : {true, false}) {
      choice.without_replica = without_replica;
      choice.contacted_recently = contacted_recently;
      const int machine = pick_of_two(pass.now, pass.candidates, *choice.spec,
                                      replica_candidates(pass, choice, true), random_);
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
  ReplicaChoice choice;
  choice.spec = &spec;
  choice.replica = {spec.id, task};
  choice.taken = assigner_.machines_of(job);
  if (bound_to_zones) choice.zones = assigner_.zones_open(pass, job);
  const int local = pick_local_for_replica(pass, choice);
  if (local >= 0) return local;
  const int preempted =
      preemption_.preempt_for(pass, spec, true, bound_to_zones ? &*choice.zones : nullptr);
  if (preempted >= 0) return preempted;
  // Guards against a service whose zone has no machine of this controller's shard.
  candidate_cache_.add_remote_candidates(pass);
  if (bound_to_zones) choice.zones = assigner_.zones_open(pass, job);
  // Guards against a service limited to a zone of another shard that waits because each machine
  // with capacity there already has a replica.
  for (const bool without_replica : {true, false}) {
    choice.without_replica = without_replica;
    const int remote = pick_of_two(pass.now, pass.candidates, spec,
                                   replica_candidates(pass, choice, false), random_);
    if (remote >= 0) return remote;
  }
  // Guards against a replica that waits for as long as failures are remembered because the only
  // free capacity is on a machine where it failed once.
  const bool others = !failure_tracker_.is_faulty_job(spec.id) && other_machine_left(pass, choice);
  choice.avoid_failures.reset();
  if (others) choice.avoid_failures = kRetryFailedMachineMs;
  return pick_of_two(pass.now, pass.candidates, spec, replica_candidates(pass, choice, true),
                     random_);
}

bool ServicePlacement::other_machine_left(const SchedulingPass& pass,
                                          const ReplicaChoice& choice) const {
  const wire::JobSpec& spec = *choice.spec;
  return std::any_of(pass.candidates.begin(), pass.candidates.end(), [&](const Candidate* c) {
    return allowed(spec, c->type, c->zone, c->spot) &&
           !failure_tracker_.has_failed_on(pass.now, c->id, spec.id) &&
           !failure_tracker_.has_kept_result(pass.now, c->id, choice.replica);
  });
}

std::vector<int> ServicePlacement::replica_candidates(const SchedulingPass& pass,
                                                      const ReplicaChoice& choice,
                                                      bool local) const {
  const wire::JobSpec& spec = *choice.spec;
  std::vector<int> out;
  for (std::size_t i = 0; i < pass.candidates.size(); ++i) {
    const Candidate& candidate = *pass.candidates[i];
    if (candidate.local != local || !candidate.fits(spec) ||
        !allowed(spec, candidate.type, candidate.zone, candidate.spot))
      continue;
    if (choice.zones && !choice.zones->contains(candidate.zone)) continue;
    if (choice.without_replica && choice.taken.contains(candidate.id)) continue;
    if (choice.contacted_recently && !machines_.contacted_recently(pass.now, candidate.id))
      continue;
    if (choice.avoid_failures &&
        (failure_tracker_.has_failed_on(pass.now, candidate.id, spec.id, *choice.avoid_failures) ||
         failure_tracker_.has_kept_result(pass.now, candidate.id, choice.replica)))
      continue;
    out.push_back(static_cast<int>(i));
  }
  return out;
}

}  // namespace scheduler
