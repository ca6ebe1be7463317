// Applies the state that a machine reports in a heartbeat or in the reply to a direct message.
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

  // Returns false if the heartbeat is outdated.
  bool apply(Ms now, Machine& machine, const wire::Heartbeat& heartbeat);
  // Handles an agent restart: the reply to a direct message carries counters no higher than those
  // known when the message was sent, so the tasks of the former incarnation are gone. A new token
  // makes the worker reject starts still in flight; tasks that the machine does not list are
  // released once it has reported the new token (Reconciler).
  void on_agent_restart(Ms now, Machine& machine, const wire::Heartbeat& heartbeat);
  // A message did not reach the machine. Raises the token so that the worker rejects the lost
  // message if it arrives later; the machine gets new work only after it has reported the new
  // token.
  void mark_unreachable(Ms now, Machine& machine);

 private:
  // Discards the state of the agent's former incarnation.
  void begin_incarnation(Ms now, Machine& machine);
  // Applies address, type, tokens and preemption notice. Returns true if this changes whether tasks
  // can be placed on the machine.
  static bool apply_attributes(Ms now, Machine& machine, const wire::Heartbeat& heartbeat);
  // Applies the listed tasks. Returns true if they differ from the known ones.
  bool apply_tasks(Ms now, Machine& machine, const wire::Heartbeat& heartbeat);
  // Stores that the image of a task is present on its machine.
  void add_image(Machine& machine, const wire::TaskStatus& task) const;

  const Context& context_;
  MachineTable& machines_;
  Reconciler& reconciler_;
  ShardRecordWriter& shard_records_;
  PassTrigger& pass_trigger_;
};

}  // namespace scheduler
