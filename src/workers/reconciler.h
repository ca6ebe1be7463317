// Compares the tasks that a machine lists in its heartbeats with those recorded on it.
#pragma once

#include "allocation/range_table.h"
#include "membership/context.h"
#include "workers/failure_tracker.h"
#include "workers/gossiped_cancellations.h"
#include "workers/machine_table.h"
#include "workers/shard_record_writer.h"

namespace scheduler {

// Releases a task only on proof that its machine no longer has it and can't start it any more.
class Reconciler {
 public:
  Reconciler(const Context& context, RangeTable& ranges, FailureTracker& failures,
             ShardRecordWriter& shard_records, const GossipedCancellations& cancellations)
      : context_(context),
        ranges_(ranges),
        failure_tracker_(failures),
        shard_records_(shard_records),
        cancellations_(cancellations) {}

  // Releases recorded tasks that are proven gone: the machine has moved to a later incarnation,
  // lists the task as exited, or no longer lists it although it reports a token above that of every
  // start sent for it.
  void reconcile(Ms now, Machine& machine);
  // Whether the task must not run: its job is cancelled or unknown, it is being stopped, it was
  // placed before the machine restarted, or it belongs to a gang that failed.
  [[nodiscard]] bool must_not_run(const Machine& machine, const TaskRef& ref,
                                  const wire::Placement& placement) const;
  // Whether a task that must not run is not listed by the machine, but could still be started by a
  // message in flight.
  [[nodiscard]] bool has_unproven_absence(const Machine& machine) const;

 private:
  void on_exit(Ms now, Machine& machine, const TaskRef& ref, std::uint64_t attempt,
               const ReportedTask& reported);
  // Updates the failure history of the job after the end of a replica.
  void on_replica_end(Ms now, const Machine& machine, const TaskRef& ref,
                      const ReportedTask& reported);

  const Context& context_;
  RangeTable& ranges_;
  FailureTracker& failure_tracker_;
  ShardRecordWriter& shard_records_;
  const GossipedCancellations& cancellations_;
};

}  // namespace scheduler
