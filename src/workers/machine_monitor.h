// Leases of the machines of this controller's shard, and what becomes of those that are silent,
// quarantined, about to be preempted or out of reach.
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
  // This process was paused: silence and leases count from now on.
  void on_pause(Ms now);

 private:
  // Forgets machines that are neither recorded nor heard.
  void forget_unknown(Ms now);
  void check(Ms now, Machine& machine, const links::Census& census);
  // Releases what the machine had, if its lease has expired or it is terminated. True if so.
  bool release_after_end(Ms now, Machine& machine, bool silence_of_few);
  // Marks a machine as lost that is there but of no use: nothing reaches it, or its heartbeats
  // don't come.
  void check_reachability(Ms now, Machine& machine);
  void check_silence(Ms now, Machine& machine, const links::Census& census, bool silence_of_few);
  void send_commands_if_due(Ms now, Machine& machine);
  void mark_lost(Ms now, Machine& machine, const char* reason);

  void learn_lease(Ms now, Machine& machine) const;
  [[nodiscard]] bool lease_expired(Ms now, const Machine& machine) const;
  // Every other member acts on a view of that epoch or later.
  [[nodiscard]] bool peers_acknowledged_epoch(std::uint64_t epoch) const;
  // It has been asked and has not answered, for so long that it is most likely dead. `early`: of
  // the machines of its zone that are probed early.
  [[nodiscard]] bool presumed_dead(Ms now, const Machine& machine,
                                   const links::ContactCount& early) const;
  // All that it runs is short and must be done soon: it is sooner begun again elsewhere than heard
  // of when a partition is over.
  [[nodiscard]] bool restart_elsewhere_first(const Machine& machine) const;

  // What still runs on a quarantined machine is stopped; it is returned once it is empty.
  void drain(Machine& machine) const;
  // The cloud takes the machine away soon.
  void drain_before_preemption(Ms now, Machine& machine);
  // Stops a replica whose machine is about to go, so that it starts elsewhere.
  static void move_replica(Machine& machine, const wire::TaskId& task, std::uint64_t attempt);

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
