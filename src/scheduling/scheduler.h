// Scheduling passes: decide which pending work gets machines, and in which order.
#pragma once

#include <map>
#include <pcg_random.hpp>
#include <string_view>
#include <vector>

#include "allocation/pass_trigger.h"
#include "allocation/range_table.h"
#include "membership/context.h"
#include "membership/controller_status.h"
#include "quota/quota_manager.h"
#include "quota/service_reserve.h"
#include "scheduling/array_placement.h"
#include "scheduling/candidate_cache.h"
#include "scheduling/gang_placement.h"
#include "scheduling/pending_order.h"
#include "scheduling/preemption.h"
#include "scheduling/range_planner.h"
#include "scheduling/range_writer.h"
#include "scheduling/scheduling_pass.h"
#include "scheduling/service_placement.h"
#include "scheduling/task_assigner.h"
#include "scheduling/work_stealing.h"
#include "workers/failure_tracker.h"
#include "workers/machine_table.h"

namespace scheduler {

// Chooses machines for the tasks of the ranges that this controller owns. The placements are then
// recorded (range_writer.h), and tasks are started from the records. Every controller computes the
// same order of all pending jobs.
class Scheduler {
 public:
  Scheduler(const Context& context, const ControllerStatus& status, MachineTable& machines,
            RangeTable& ranges, CandidateCache& candidates, RangePlanner& planner,
            QuotaManager& quota, ServiceReserve& service_reserve, FailureTracker& failures,
            PassTrigger& pass_trigger, pcg32& random);

  // Runs a pass if one is due: on request, or after a maximum interval for changes that depend on
  // time alone.
  void tick(Ms now);
  // Runs a pass if one was requested and the minimum interval since the last pass has elapsed.
  void run_if_requested(Ms now);
  // Returns when tick() should be called next; `default_at` is the time used if no pass is
  // requested.
  [[nodiscard]] Ms next_tick(Ms now, Ms default_at) const;

 private:
  // A range with tasks to place.
  struct PendingRange {
    RangeId id;
    const Job* job = nullptr;
    const wire::RangeRecord* range = nullptr;
    std::size_t pending_job = 0;  // index among the pending jobs
    bool is_old = false;          // its job was submitted long ago, regardless of its objectives
    SchedulingPriority priority;
  };
  // All pending work and the data needed to order it.
  struct PendingWork {
    std::vector<PendingRange> entries;  // ranges of this controller's shard
    std::vector<PendingJob> jobs;       // of all shards; each controller orders them alike
    std::vector<const std::string*> job_classes;             // job class of each entry of `jobs`
    std::map<std::string_view, double> live_jobs_per_class;  // number of live jobs
    double old_cpus = 0;                                     // CPUs of this shard that old jobs use
  };

  void run_pass(Ms now);
  [[nodiscard]] Ms pass_interval() const;
  SchedulingPass begin_pass(Ms now);
  void write(SchedulingPass& pass, const RangeId& id);
  // Writes ranges whose last task has completed before all others, because users wait for them.
  void write_completed_ranges(SchedulingPass& pass);
  PendingWork collect_pending_work(SchedulingPass& pass);
  void add_job(SchedulingPass& pass, const std::string& id, const Job& job, PendingWork& work);
  void order_entries(const SchedulingPass& pass, PendingWork& work);
  void place_entries(SchedulingPass& pass, const std::vector<PendingRange>& entries);
  void write_remaining_changes(SchedulingPass& pass);
  // Total CPUs of all usable machines of the fleet.
  double total_fleet_cpus(Ms now);

  const Context& context_;
  const ControllerStatus& status_;
  MachineTable& machines_;
  RangeTable& ranges_;
  CandidateCache& candidate_cache_;
  QuotaManager& quota_;
  ServiceReserve& service_reserve_;
  FailureTracker& failure_tracker_;
  PassTrigger& pass_trigger_;
  RangeWriter range_writer_;
  TaskAssigner assigner_;
  Preemption preemption_;
  ArrayPlacement arrays_;
  GangPlacement gangs_;
  ServicePlacement services_;
  WorkStealing work_stealing_;

  Ms next_pass_at_ = 0;
  double fleet_cpus_ = 0;
  Ms next_fleet_count_at_ = 0;
};

}  // namespace scheduler
