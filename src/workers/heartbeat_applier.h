// Takes in what a machine says of itself, in a heartbeat or in the reply to a direct message.
#pragma once

#include "allocation/pass_trigger.h"
#include "membership/context.h"
#include "workers/machine_table.h"
#include "workers/reconciler.h"
#include "workers/shard_record_writer.h"

namespace scheduler {

class HeartbeatApplier {
 public:
  HeartbeatApplier(const Context& context, MachineTable& machines, Reconciler& reconciler,
                   ShardRecordWriter& shard_records, PassTrigger& pass_trigger)
      : context_(context),
        machines_(machines),
        reconciler_(reconciler),
        shard_records_(shard_records),
        pass_trigger_(pass_trigger) {}

  // False when the heartbeat says nothing new.
  bool apply(Ms now, Machine& machine, const wire::Heartbeat& heartbeat);
  // The machine's reply to our own message carries counters that it had already passed when we sent
  // it: it has restarted, and what it ran is gone. Starts still on their way are outrun by a new
  // token; what it does not list is released once it has shown that one (Reconciler).
  void on_agent_restart(Ms now, Machine& machine, const wire::Heartbeat& heartbeat);
  // Something that we sent did not reach the machine: everything sent from now on outruns it, and
  // the new token is what the machine must show before it gets new work.
  void mark_unreachable(Ms now, Machine& machine);

 private:
  // The agent has a later incarnation: what was known of the former one is void.
  void begin_incarnation(Ms now, Machine& machine);
  // Takes over address, type, tokens and preemption notice. True if that changes what the machine
  // can do.
  static bool apply_attributes(Ms now, Machine& machine, const wire::Heartbeat& heartbeat);
  // Takes over the listed tasks. True if that changes what the machine holds.
  bool apply_tasks(Ms now, Machine& machine, const wire::Heartbeat& heartbeat);
  // Remembers that the image of a task is on its machine.
  void remember_image(Machine& machine, const wire::TaskStatus& task) const;

  const Context& context_;
  MachineTable& machines_;
  Reconciler& reconciler_;
  ShardRecordWriter& shard_records_;
  PassTrigger& pass_trigger_;
};

}  // namespace scheduler
