// Work stealing: a shard with free capacity takes unstarted tasks from the end of other shards'
// ranges.
#pragma once

#include <optional>
#include <pcg_random.hpp>
#include <string>

#include "allocation/pass_trigger.h"
#include "allocation/range_table.h"
#include "membership/context.h"
#include "quota/quota_manager.h"
#include "scheduling/range_planner.h"
#include "scheduling/scheduling_pass.h"
#include "workers/failure_tracker.h"

namespace scheduler {

class WorkStealing {
 public:
  WorkStealing(const Context& context, RangeTable& ranges, const RangePlanner& planner,
               QuotaManager& quota, const FailureTracker& failures, PassTrigger& pass_trigger,
               pcg32& random)
      : context_(context),
        ranges_(ranges),
        planner_(planner),
        quota_(quota),
        failure_tracker_(failures),
        pass_trigger_(pass_trigger),
        random_(random) {}

  // Takes over one range, or the end of a range, from the pending work of the highest priority that
  // this controller's shard can run.
  void steal_ranges(SchedulingPass& pass);

 private:
  // Tasks of another shard's range that this controller's shard could take over.
  struct StealableTasks {
    const Job* job = nullptr;
    RangeId range;
    std::uint32_t first_task = 0;  // first task to take over; earlier tasks stay with the owner
  };

  // Whether tasks of the job may be taken over.
  [[nodiscard]] bool may_steal(Ms now, const std::string& id, const Job& job) const;
  // Returns the first range of the job from which tasks can be taken over.
  std::optional<StealableTasks> find_stealable_tasks(SchedulingPass& pass, const std::string& id,
                                                     const Job& job);
  // Whether the range's owner has had enough time to place its tasks.
  bool has_waited_long_enough(Ms now, const RangeId& id, const wire::RangeRecord& range);
  // Number of the job's tasks that this controller's shard has capacity for; computed once per pass
  // for each SchedulingPass::TaskShape.
  static double free_capacity_for(SchedulingPass& pass, const wire::JobSpec& spec);
  void write_stolen_range(const RangeId& from, std::uint32_t first_task, const RangeId& to);

  const Context& context_;
  RangeTable& ranges_;
  const RangePlanner& planner_;
  QuotaManager& quota_;
  const FailureTracker& failure_tracker_;
  PassTrigger& pass_trigger_;
  pcg32& random_;
};

}  // namespace scheduler
