// Derives the commands to a machine of this controller's shard from the records.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "allocation/range_table.h"
#include "base/resources.h"
#include "membership/context.h"
#include "workers/gossiped_cancellations.h"
#include "workers/machine_table.h"
#include "workers/reconciler.h"

namespace scheduler {

// Only recorded placements are started, and no task is started while the state service does not
// answer.
class CommandPlanner {
 public:
  CommandPlanner(const Context& context, const MachineTable& machines, const RangeTable& ranges,
                 const Reconciler& reconciler, const GossipedCancellations& cancellations)
      : context_(context),
        machines_(machines),
        ranges_(ranges),
        reconciler_(reconciler),
        cancellations_(cancellations) {}

  // Commands for the machine as of now, to be sent under its token, which is raised if an earlier
  // start must no longer be executed. Remembers the starts as unconfirmed.
  std::vector<wire::Command> commands_for(Ms now, Machine& machine);

 private:
  // Commands collected for a message, and the capacity that further starts may use.
  struct CommandPlan {
    std::vector<wire::Command> commands;
    // Free capacity as counted by the worker; unbounded while the machine type is not known.
    Resources free{kUnbounded, kUnbounded, kUnbounded};
    bool has_forget = false;  // has a command to forget an exited task
    bool stopping = false;    // some task is being stopped
  };
  // A task listed by the worker, with its records.
  struct ListedTask {
    const Job* job = nullptr;
    const wire::Placement* placement = nullptr;  // null: attempt not recorded on the machine
    TaskRef ref;                                 // of the placement
  };
  static constexpr double kUnbounded = 1e9;

  [[nodiscard]] ListedTask find_listed(const Machine& machine, const TaskAttempt& attempt) const;
  // Seconds that a listed task gets before it must end; none if it may keep running.
  [[nodiscard]] std::optional<double> grace_to_stop(const Machine& machine,
                                                    const ListedTask& listed,
                                                    const TaskAttempt& attempt) const;
  // Adds the command to stop a listed task. Returns true if its capacity becomes free soon.
  bool add_stop(const Machine& machine, const ListedTask& listed, const TaskAttempt& attempt,
                const ReportedTask& reported, double grace_s, CommandPlan& plan) const;
  // Adds commands to stop or forget listed tasks that should not be on the machine.
  void add_commands_for_listed(const Machine& machine, CommandPlan& plan) const;
  // Adds starts of tasks that are recorded on the machine but not listed by it.
  void add_starts(Ms now, Machine& machine, CommandPlan& plan);
  void log_command(const Machine& machine, const wire::Command& command,
                   const wire::Placement* placement, std::string_view reason) const;
  // Gives up a start that has waited too long for capacity. Two controllers may have filled the
  // same machine at the same time with services, which do not end. The task is placed again once
  // the machine has proven that it does not have it.
  void abandon_blocked_start(Ms now, Machine& machine, const TaskAttempt& attempt);

  const Context& context_;
  const MachineTable& machines_;
  const RangeTable& ranges_;
  const Reconciler& reconciler_;
  const GossipedCancellations& cancellations_;
};

}  // namespace scheduler
