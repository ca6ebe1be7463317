// Work stealing: free capacity takes unstarted tasks from the end of other shards' ranges.
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

  // Takes over one range, or the end of one, of the highest priority that our shard can run.
  void steal_ranges(SchedulingPass& pass);

 private:
  // Tasks of a remote range that our shard could take over.
  struct Offer {
    const Job* job = nullptr;
    RangeId range;
    std::uint32_t first = 0;  // of the tasks to be taken; the rest stays
  };

  // Whether tasks of the job may be taken over at all.
  [[nodiscard]] bool may_steal(Ms now, const std::string& id, const Job& job) const;
  // The first range of the job that some of can be taken over.
  std::optional<Offer> find_offer(SchedulingPass& pass, const std::string& id, const Job& job);
  // Whether the range has waited for its owner for long enough.
  bool has_waited(Ms now, const RangeId& id, const wire::RangeRecord& range);
  // Tasks of the job that our shard has capacity for; counted once a pass for each shape.
  static double free_capacity_for(SchedulingPass& pass, const wire::JobSpec& spec);
  void write_stolen_range(const RangeId& from, std::uint32_t first, const RangeId& to);

  const Context& context_;
  RangeTable& ranges_;
  const RangePlanner& planner_;
  QuotaManager& quota_;
  const FailureTracker& failure_tracker_;
  PassTrigger& pass_trigger_;
  pcg32& random_;
};

}  // namespace scheduler
