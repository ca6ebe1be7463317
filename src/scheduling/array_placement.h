// Places tasks of job arrays: samples two random machines and takes the one with the lower
// predicted finish time.
#pragma once

#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "allocation/range_table.h"
#include "membership/context.h"
#include "membership/controller_status.h"
#include "quota/quota_manager.h"
#include "scheduling/candidate_cache.h"
#include "scheduling/preemption.h"
#include "scheduling/range_planner.h"
#include "scheduling/scheduling_pass.h"
#include "scheduling/scheduling_priority.h"
#include "scheduling/task_assigner.h"
#include "workers/failure_tracker.h"

namespace scheduler {

class ArrayPlacement {
 public:
  ArrayPlacement(const Context& context, const ControllerStatus& status, RangeTable& ranges,
                 CandidateCache& candidates, TaskAssigner& assigner, Preemption& preemption,
                 const RangePlanner& planner, QuotaManager& quota, const FailureTracker& failures,
                 pcg32& random)
      : context_(context),
        status_(status),
        ranges_(ranges),
        candidate_cache_(candidates),
        assigner_(assigner),
        preemption_(preemption),
        planner_(planner),
        quota_(quota),
        failure_tracker_(failures),
        random_(random) {}

  // Chooses machines for tasks of the range, within the limits of free capacity, quota and the
  // placements left in the pass.
  void place(SchedulingPass& pass, const RangeId& id, const Job& job,
             const wire::RangeRecord& range, const SchedulingPriority& priority);

 private:
  // Machines with free capacity that are sampled before all other machines for the tasks of one
  // range.
  struct PreferredMachines {
    std::vector<int> with_image;  // hold the image; filled if its fetch is long
    // Spot machines and machines in use; filled while a live gang needs whole machines.
    std::vector<int> unsuitable_for_gangs;
  };

  // Machines on which the tasks of one range may be placed.
  struct MachineOptions {
    const std::vector<int>& eligible;
    std::optional<PreferredMachines> preferred;  // computed for the first placed task
  };

  // Returns the machine for the next task, freed by preemption if necessary, or -1 if there is
  // none.
  int pick_machine(SchedulingPass& pass, const Job& job, const SchedulingPriority& priority,
                   MachineOptions& options);
  // Advances the range's cursor past completed tasks.
  static void skip_finished(RangeState& state, const wire::RangeRecord& range);
  static std::uint32_t count_unstarted(std::uint32_t first, const RangeState& state,
                                       const wire::RangeRecord& range);
  // True if a task with the same constraints that needs no more resources found no capacity in this
  // pass.
  static bool smaller_demand_failed(const SchedulingPass& pass, const wire::JobSpec& spec);
  // Returns the candidates that the job may use, without machines on which it failed and without
  // reserved machines. The result refers to `filtered` if machines were left out, and otherwise to
  // the pass's own list, to avoid a copy.
  const std::vector<int>& eligible_machines(SchedulingPass& pass, const wire::JobSpec& spec,
                                            const SchedulingPriority& priority,
                                            std::vector<int>& filtered) const;
  static PreferredMachines find_preferred(const SchedulingPass& pass, const wire::JobSpec& spec,
                                          const std::vector<int>& eligible);
  int pick_preferred(SchedulingPass& pass, const wire::JobSpec& spec,
                     const std::vector<int>& eligible, PreferredMachines& preferred);
  int pick_in_zones(SchedulingPass& pass, const wire::JobSpec& spec,
                    const std::vector<int>& eligible, const std::set<std::string>& zones);

  const Context& context_;
  const ControllerStatus& status_;
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
