// Placing the tasks of job arrays: two random machines, and the lower predicted finish.
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

  // Chooses machines for tasks of the range, as far as capacity, quota and the pass allow.
  void place(SchedulingPass& pass, const RangeId& id, const Job& job,
             const wire::RangeRecord& range, const SchedulingPriority& priority);

 private:
  // Machines with capacity that are sampled before all others for the tasks of one range.
  struct PreferredMachines {
    std::vector<int> with_image;        // if fetching it takes long
    std::vector<int> useless_to_gangs;  // spot or in use, while gangs need whole machines
  };

  // Where the tasks of one range may go.
  struct Choice {
    const std::vector<int>& eligible;
    std::optional<PreferredMachines> preferred;  // found for the first task that is placed
  };

  // The machine for one more task, made free by preemption if need be; -1: none.
  int pick_machine(SchedulingPass& pass, const Job& job, const SchedulingPriority& priority,
                   Choice& choice);
  // Moves the range's cursor past tasks that are done.
  static void skip_finished(RangeState& state, const wire::RangeRecord& range);
  static std::uint32_t unstarted_from(std::uint32_t first, const RangeState& state,
                                      const wire::RangeRecord& range);
  // Something that needs no more found no capacity in this pass.
  static bool has_failed_already(const SchedulingPass& pass, const wire::JobSpec& spec);
  // Candidates that the job may use, less those that failed it or are reserved. `some` holds them
  // if these are not all of their kind, so that the rest of the time nothing is copied.
  const std::vector<int>& eligible_machines(SchedulingPass& pass, const wire::JobSpec& spec,
                                            const SchedulingPriority& priority,
                                            std::vector<int>& some) const;
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
