// Tracks the leases of the machines of this controller's shard and handles machines that are
// silent, quarantined, unreachable or about to be preempted.
#pragma once

#include "allocation/pass_trigger.h"
#include "allocation/range_table.h"
#include "links/census.h"
#include "links/monitor.h"
#include "membership/context.h"
#include "membership/controller_status.h"
#include "workers/command_dispatcher.h"
#include "workers/machine_table.h"
#include "workers/shard_record_writer.h"
#include "workers/worker_links.h"

namespace scheduler {

class MachineMonitor {
 public:
  MachineMonitor(const Context& context, const ControllerStatus& status, MachineTable& machines,
                 RangeTable& ranges, ShardRecordWriter& shard_records, CommandDispatcher& commands,
                 WorkerLinks& worker_links, const links::Monitor& links, PassTrigger& pass_trigger)
      : context_(context),
        status_(status),
        machines_(machines),
        ranges_(ranges),
        shard_records_(shard_records),
        commands_(commands),
        worker_links_(worker_links),
        links_(links),
        pass_trigger_(pass_trigger) {}

  void tick(Ms now);
  // Restarts the silence and lease timers after a pause of this process.
  void on_pause(Ms now);

 private:
  // Removes machines that are not recorded, have no placements and send no heartbeats.
  void remove_unknown(Ms now);
  void check(Ms now, Machine& machine, const links::Census& census);
  // Releases the machine's tasks if its lease has expired or it is terminated. Returns true in that
  // case.
  bool release_if_ended(Ms now, Machine& machine, bool few_machines_silent);
  // Marks a machine as lost that is alive but unusable: no message reaches it, or its heartbeats
  // don't arrive.
  void check_reachability(Ms now, Machine& machine);
  void check_silence(Ms now, Machine& machine, const links::Census& census,
                     bool few_machines_silent);
  void send_commands_if_due(Ms now, Machine& machine);
  void mark_lost(Ms now, Machine& machine, const char* reason);

  void start_lease_timer(Ms now, Machine& machine) const;
  [[nodiscard]] bool lease_expired(Ms now, const Machine& machine) const;
  // Whether every other live member has acknowledged a view of that epoch or later.
  [[nodiscard]] bool peers_acknowledged_epoch(std::uint64_t epoch) const;
  // Whether the machine has left probes unanswered for so long that it is most likely dead.
  // `probed_early_in_zone`: contact counts of the machines of its zone that are probed early.
  [[nodiscard]] bool presumed_dead(Ms now, const Machine& machine,
                                   const links::ContactCount& probed_early_in_zone) const;
  // Whether all tasks of the machine are short and of high priority: they finish sooner if they are
  // restarted elsewhere than if the controller waits for the end of a partition.
  [[nodiscard]] bool should_restart_elsewhere(const Machine& machine) const;

  // Stops the remaining tasks of a quarantined machine; an empty one is returned to the cloud.
  void drain(Machine& machine) const;
  // Stops tasks that can't finish before the cloud preempts the machine.
  void drain_before_preemption(Ms now, Machine& machine);
  // Stops a service replica whose machine is about to be preempted, so that it starts elsewhere.
  static void move_replica(Machine& machine, const TaskAttempt& attempt);

  const Context& context_;
  const ControllerStatus& status_;
  MachineTable& machines_;
  RangeTable& ranges_;
  ShardRecordWriter& shard_records_;
  CommandDispatcher& commands_;
  WorkerLinks& worker_links_;
  const links::Monitor& links_;
  PassTrigger& pass_trigger_;
  Ms next_machine_check_ = 0;
};

}  // namespace scheduler
