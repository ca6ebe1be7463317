// Places the replicas of services: jobs that run until their user cancels them.
#pragma once

#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "allocation/range_table.h"
#include "membership/context.h"
#include "quota/quota_manager.h"
#include "scheduling/candidate_cache.h"
#include "scheduling/preemption.h"
#include "scheduling/range_planner.h"
#include "scheduling/scheduling_pass.h"
#include "scheduling/task_assigner.h"
#include "workers/failure_tracker.h"
#include "workers/machine_table.h"

namespace scheduler {

class ServicePlacement {
 public:
  ServicePlacement(const Context& context, const MachineTable& machines, RangeTable& ranges,
                   CandidateCache& candidates, TaskAssigner& assigner, Preemption& preemption,
                   const RangePlanner& planner, QuotaManager& quota, const FailureTracker& failures,
                   pcg32& random)
      : context_(context),
        machines_(machines),
        ranges_(ranges),
        candidate_cache_(candidates),
        assigner_(assigner),
        preemption_(preemption),
        planner_(planner),
        quota_(quota),
        failure_tracker_(failures),
        random_(random) {}

  // Chooses machines for replicas that have none.
  void place(SchedulingPass& pass, const RangeId& id, const Job& job,
             const wire::RangeRecord& range);

 private:
  // Constraints on the machine of a replica.
  struct ReplicaConstraints {
    const wire::JobSpec* spec = nullptr;
    wire::TaskId replica;
    std::set<std::string> occupied;              // machines that have a replica of the job
    std::optional<std::set<std::string>> zones;  // unset: any zone
    // Excludes machines where the job failed within this time; unset: excludes none.
    std::optional<Ms> avoid_failures_ms = kFailureMemoryMs;
    bool avoid_kept_result = true;    // not where the worker keeps a result of the replica
    bool without_replica = false;     // not where the job has a replica
    bool contacted_recently = false;  // only machines in recent contact
  };

  // Returns the machine for one more replica, or -1. Each choice samples two machines (placement.h)
  // from a set that is relaxed step by step. Machines of this controller's shard come first: a
  // replica on another shard's machine makes concurrent placements by that shard's owner fail and
  // starts later. Machines where the job failed come last, and only if the job has failed on
  // several machines or no other machine is allowed. Machines that keep a result of the replica,
  // where it would end at once, are used only if there are no others.
  int pick_for_replica(SchedulingPass& pass, const Job& job, std::uint32_t task);
  // Picks among the machines of this controller's shard. Machines without a replica of the job come
  // first, so that the loss of one machine affects few replicas. Among these, machines with recent
  // contact come first, which guards against replicas being started on machines that failed
  // together with the replica's last machine.
  int pick_local_for_replica(SchedulingPass& pass, ReplicaConstraints constraints);
  // Whether the job is allowed on some machine that keeps no result of the replica, regardless of
  // free capacity. `without_failure`: and where the job has not failed recently.
  [[nodiscard]] bool has_other_machine(const SchedulingPass& pass,
                                       const ReplicaConstraints& constraints,
                                       bool without_failure) const;
  [[nodiscard]] std::vector<int> replica_candidates(const SchedulingPass& pass,
                                                    const ReplicaConstraints& constraints,
                                                    bool local) const;

  const Context& context_;
  const MachineTable& machines_;
  RangeTable& ranges_;
  CandidateCache& candidate_cache_;
  TaskAssigner& assigner_;
  Preemption& preemption_;
  const RangePlanner& planner_;
  QuotaManager& quota_;
  const FailureTracker& failure_tracker_;
  pcg32& random_;
};

}  // namespace scheduler
