// Placing the replicas of services: jobs that run until their user cancels them.
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

  // Chooses machines for replicas that are on none.
  void place(SchedulingPass& pass, const RangeId& id, const Job& job,
             const wire::RangeRecord& range);

 private:
  // What a replica's machine may be.
  struct ReplicaChoice {
    const wire::JobSpec* spec = nullptr;
    wire::TaskId replica;
    std::set<std::string> taken;                          // machines that have a replica
    std::optional<std::set<std::string>> zones;           // none: any
    std::optional<Ms> avoid_failures = kFailureMemoryMs;  // of the job, for so long
    bool without_replica = false;                         // not where the job has a replica
    bool contacted_recently = false;                      // only where there was contact lately
  };

  // The machine for one more replica, or -1. Each choice is by two samples (placement.h); what is
  // sampled is narrowed step by step. Our own machines come first: a replica on another shard's
  // machine makes placements of its owner fail and starts later. Machines where the job failed come
  // last, and only if it has failed on several or no other is left.
  int pick_for_replica(SchedulingPass& pass, const Job& job, std::uint32_t task);
  // Narrows our own machines step by step: the loss of one is to take few replicas, so machines
  // without a replica of the job come first. Among these, machines with recent contact do: guards
  // against replicas that are begun on machines which have died together with the one they were on.
  int pick_local_for_replica(SchedulingPass& pass, ReplicaChoice choice);
  // Whether some machine on which the job has not failed is allowed, whatever its free capacity.
  [[nodiscard]] bool other_machine_left(const SchedulingPass& pass,
                                        const ReplicaChoice& choice) const;
  [[nodiscard]] std::vector<int> replica_candidates(const SchedulingPass& pass,
                                                    const ReplicaChoice& choice, bool local) const;

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
