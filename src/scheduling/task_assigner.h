// Assigns tasks to chosen machines, and determines where the next task of a job may be placed.
#pragma once

#include <set>
#include <string>

#include "allocation/range_table.h"
#include "membership/context.h"
#include "scheduling/candidate_cache.h"
#include "scheduling/scheduling_pass.h"

namespace scheduler {

// A task of a range that is to be placed.
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

  // Assigns the task to the machine (an index into the pass's candidates). `booked`: the task's
  // resources are already booked on the machine.
  void assign(SchedulingPass& pass, const TaskToPlace& task, int machine, bool booked);
  // Zones of the pass's candidates in which the next task of the job may be placed.
  [[nodiscard]] std::set<std::string> open_zones(const SchedulingPass& pass, const Job& job) const;
  // Machines on which a task of the job is placed or about to be placed.
  [[nodiscard]] std::set<std::string> machines_with_tasks(const Job& job) const;

 private:
  const Context& context_;
  const RangeTable& ranges_;
  CandidateCache& candidate_cache_;
};

}  // namespace scheduler
