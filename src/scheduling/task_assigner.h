// Books a chosen machine for a task, and tells where the next task of a job may go.
#pragma once

#include <set>
#include <string>

#include "allocation/range_table.h"
#include "membership/context.h"
#include "scheduling/candidate_cache.h"
#include "scheduling/scheduling_pass.h"

namespace scheduler {

// One task of a range that is to be placed.
struct TaskToPlace {
  const wire::JobSpec& spec;
  RangeState& range;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
};

class TaskAssigner {
 public:
  TaskAssigner(const Context& context, const RangeTable& ranges, CandidateCache& candidates)
      : context_(context), ranges_(ranges), candidate_cache_(candidates) {}

  // Puts the task on the machine (an index of the pass's candidates). `booked`: the machine counts
  // with it already.
  void assign(SchedulingPass& pass, const TaskToPlace& task, int machine, bool booked);
  // Zones that the next task of the job may go to, of those of the pass.
  [[nodiscard]] std::set<std::string> zones_open(const SchedulingPass& pass, const Job& job) const;
  // Machines that have a task of the job, or are to get one.
  [[nodiscard]] std::set<std::string> machines_of(const Job& job) const;

 private:
  const Context& context_;
  const RangeTable& ranges_;
  CandidateCache& candidate_cache_;
};

}  // namespace scheduler
