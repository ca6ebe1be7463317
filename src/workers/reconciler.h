// Reconciliation: what the heartbeats of a machine prove about the tasks recorded on it.
#pragma once

#include "allocation/range_table.h"
#include "membership/context.h"
#include "workers/failure_tracker.h"
#include "workers/gossiped_cancellations.h"
#include "workers/machine_table.h"
#include "workers/shard_record_writer.h"

namespace scheduler {

// Releases tasks only on proof that their machine no longer has them and can't start them any more.
class Reconciler {
 public:
  Reconciler(const Context& context, RangeTable& ranges, FailureTracker& failures,
             ShardRecordWriter& shard_records, const GossipedCancellations& cancellations)
      : context_(context),
        ranges_(ranges),
        failure_tracker_(failures),
        shard_records_(shard_records),
        cancellations_(cancellations) {}

  // A recorded task is gone when its machine, under a token that outruns every start sent for it,
  // no longer lists it, or lists it as exited, or has moved to a later incarnation.
  void reconcile(Ms now, Machine& machine);
  // The task is not to be on any machine: cancelled, being stopped, or of a gang that failed.
  [[nodiscard]] bool must_not_run(const Machine& machine, const TaskRef& ref,
                                  const wire::Placement& placement) const;
  // A task that must not run is not listed, and it is not proven yet that it can't start.
  [[nodiscard]] bool has_unproven_absence(const Machine& machine) const;

 private:
  void on_exit(Ms now, Machine& machine, const TaskRef& ref, const ReportedTask& seen);
  // What a replica's end says about its job.
  void on_replica_end(Ms now, const Machine& machine, const TaskRef& ref, const ReportedTask& seen);

  const Context& context_;
  RangeTable& ranges_;
  FailureTracker& failure_tracker_;
  ShardRecordWriter& shard_records_;
  const GossipedCancellations& cancellations_;
};

}  // namespace scheduler
