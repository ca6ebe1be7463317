// Gang scheduling: every task of a gang gets a machine at once, or none does.
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

// A task of the gang leaves no other of its kind capacity on any machine type that it fits.
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

  // Places the whole gang, or nothing. `has_started`: false reserves machines for it.
  void place(SchedulingPass& pass, const RangeId& id, const Job& job,
             const wire::RangeRecord& range, bool has_started);

 private:
  // The machines of the first zone, or of all, that can hold the gang; empty: none can. Our own
  // shard comes first; if it cannot hold the gang, other shards' machines count too.
  std::vector<int> find_gang_allocation(SchedulingPass& pass, const wire::JobSpec& spec);
  // Books a machine for every task of the gang, or nothing. `only`: the zone; "": any.
  std::vector<int> allocate_gang(SchedulingPass& pass, const wire::JobSpec& spec, bool remote,
                                 const std::string& only);
  // For the log: what a gang waits for, whenever that changes.
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
