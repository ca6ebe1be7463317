// Preemption: stops running tasks to free capacity for work that takes precedence.
#pragma once

#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "membership/context.h"
#include "scheduling/scheduling_pass.h"
#include "workers/failure_tracker.h"
#include "workers/machine_table.h"

namespace scheduler {

class Preemption {
 public:
  Preemption(const Context& context, MachineTable& machines, const FailureTracker& failures,
             pcg32& random)
      : context_(context), machines_(machines), failure_tracker_(failures), random_(random) {}

  // Stops preemptible tasks to make room for a task of the job, on the machine where this loses the
  // least work. Returns the index of the machine, with the freed capacity counted as free, or -1.
  // `zones` limits the machine's zone; null allows any zone. If the task is the replica of a
  // service, `replica` excludes machines that keep a result of it. A few machines are sampled
  // instead of scanning all, so that the cost does not grow with the fleet; the least loss in the
  // sample is close to the least loss overall.
  int preempt_for(SchedulingPass& pass, const wire::JobSpec& spec, bool is_urgent,
                  const std::set<std::string>* zones, const wire::TaskId* replica = nullptr);

 private:
  // A running task that may be preempted.
  struct Victim {
    TaskAttempt attempt;
    double grace_s = 0;     // seconds to write a checkpoint before the stop
    double lost_cpu_s = 0;  // CPU seconds of work lost
    const wire::JobSpec* spec = nullptr;
  };
  // The task for which other tasks are preempted.
  struct Request {
    const wire::JobSpec& spec;
    bool is_urgent = false;
    bool entitled = false;  // its team stays within its guarantee with this task
    // By team: whether it uses more than its guarantee. Filled only if `entitled`.
    std::map<std::string, bool> exceeds_guarantee;
    double wait_objective_s = 0;  // the shortest start time objective of its class, seconds
  };
  // The tasks to stop on one machine.
  struct Plan {
    int machine = -1;
    double lost_cpu_s = 0;
    std::vector<Victim> victims;
  };

  // True if the team stays within its guarantee with the additional task. Such a team may preempt
  // tasks of teams that use more than their guarantee.
  bool within_guarantee(SchedulingPass& pass, const std::string& team_name,
                        const wire::JobSpec& additional) const;
  Request make_request(SchedulingPass& pass, const wire::JobSpec& spec, bool is_urgent,
                       bool entitled) const;
  [[nodiscard]] std::vector<Victim> victims_on(Ms now, const Machine& machine,
                                               const Request& request) const;
  // Returns the task as a victim with the work that stopping it loses, or none if it may not be
  // stopped.
  [[nodiscard]] std::optional<Victim> as_victim(Ms now, const Machine& machine, const TaskRef& ref,
                                                const Request& request) const;
  // Returns the shortest prefix of the victims that frees enough capacity for the task, or an empty
  // list if all of them are not enough or none is needed.
  static std::vector<Victim> fewest_victims(const Candidate& candidate, std::vector<Victim> victims,
                                            const wire::JobSpec& spec);
  void stop(SchedulingPass& pass, const Plan& plan, const wire::JobSpec& spec);

  const Context& context_;
  MachineTable& machines_;
  const FailureTracker& failure_tracker_;
  pcg32& random_;
};

}  // namespace scheduler
