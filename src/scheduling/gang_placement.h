// Gang scheduling: either all tasks of a gang get a machine at the same time or none does.
#pragma once

#include <pcg_random.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "allocation/range_table.h"
#include "membership/context.h"
#include "membership/controller_status.h"
#include "quota/quota_manager.h"
#include "scheduling/candidate_cache.h"
#include "scheduling/scheduling_pass.h"
#include "scheduling/task_assigner.h"

namespace scheduler {

// True if on every machine type that fits a task of the gang only one such task fits.
bool is_whole_machine_gang(const wire::JobSpec& spec,
                           const std::vector<wire::MachineType>& catalog);

class GangPlacement {
 public:
  GangPlacement(const Context& context, const ControllerStatus& status, RangeTable& ranges,
                CandidateCache& candidates, TaskAssigner& assigner, QuotaManager& quota,
                pcg32& random)
      : context_(context),
        status_(status),
        ranges_(ranges),
        candidate_cache_(candidates),
        assigner_(assigner),
        quota_(quota),
        random_(random) {}

  // Places all tasks of the gang or none. If `in_normal_order` is false and there is not enough
  // capacity, machines are reserved for the gang.
  void place(SchedulingPass& pass, const RangeId& id, const Job& job,
             const wire::RangeRecord& range, bool in_normal_order);

 private:
  // Returns the machines of the first zone (or of all zones) that can hold the gang, or an empty
  // list if there is none. The controller's own shard is tried first, then all shards together.
  std::vector<int> find_gang_allocation(SchedulingPass& pass, const wire::JobSpec& spec);
  // Books a machine for every task of the gang, or books nothing and returns an empty list.
  // `required_zone` is the zone to use; empty means any zone.
  std::vector<int> allocate_gang(SchedulingPass& pass, const wire::JobSpec& spec, bool remote,
                                 const std::string& required_zone);
  // Logs what the gang waits for when the reason has changed.
  void log_gang_wait(Ms now, const RangeId& id, const Job& job, RangeState& range,
                     std::string_view reason);

  const Context& context_;
  const ControllerStatus& status_;
  RangeTable& ranges_;
  CandidateCache& candidate_cache_;
  TaskAssigner& assigner_;
  QuotaManager& quota_;
  pcg32& random_;
};

}  // namespace scheduler
