// Preemption: what is stopped for work that goes before it.
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

  // Stops what may be stopped for a task of the job on the machine where that loses least; returns
  // the machine, with its capacity counted as free, or -1. `zones`: where the machine may be; none:
  // anywhere. A few machines are drawn instead of searching all: the cost must not grow with the
  // fleet, and the least loss among some is nearly the least of all.
  int preempt_for(SchedulingPass& pass, const wire::JobSpec& spec, bool is_urgent,
                  const std::set<std::string>* zones);

 private:
  // A running task that may be stopped, and what that loses.
  struct Victim {
    wire::TaskId task;
    std::uint64_t attempt = 0;
    double grace_s = 0;
    double loss = 0;  // CPU seconds
    const wire::JobSpec* spec = nullptr;
  };
  // For whom tasks are stopped.
  struct Claim {
    const wire::JobSpec& spec;
    bool is_urgent = false;
    bool entitled = false;  // its team stays within its guarantee
    // Teams that run beyond their guarantee, if this one is entitled.
    std::map<std::string, bool> borrows;
    double wait_objective_s = 0;  // the shortest time for a start that its class has
  };
  // The victims on one machine.
  struct Choice {
    int machine = -1;
    double loss = 0;
    std::vector<Victim> victims;
  };

  // A team that stays within its guarantee need not wait for what another runs beyond its own.
  bool within_guarantee(SchedulingPass& pass, const std::string& team_name,
                        const wire::JobSpec& more) const;
  Claim make_claim(SchedulingPass& pass, const wire::JobSpec& spec, bool is_urgent,
                   bool entitled) const;
  [[nodiscard]] std::vector<Victim> victims_on(Ms now, const Machine& machine,
                                               const Claim& claim) const;
  // The task as a victim, with what that loses; none if it may not be stopped.
  [[nodiscard]] std::optional<Victim> judge(Ms now, const Machine& machine, const TaskRef& ref,
                                            const Claim& claim) const;
  // The fewest of the victims that make the task fit; empty: none or too few.
  static std::vector<Victim> enough(const Candidate& candidate, std::vector<Victim> victims,
                                    const wire::JobSpec& spec);
  void stop(SchedulingPass& pass, const Choice& choice, const wire::JobSpec& spec);

  const Context& context_;
  MachineTable& machines_;
  const FailureTracker& failure_tracker_;
  pcg32& random_;
};

}  // namespace scheduler
