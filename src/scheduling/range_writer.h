// Writes placements and completions of tasks to the records of their ranges.
#pragma once

#include <pcg_random.hpp>
#include <set>
#include <string>

#include "allocation/pass_trigger.h"
#include "allocation/range_table.h"
#include "membership/context.h"
#include "membership/controller_status.h"
#include "scheduling/candidate_cache.h"
#include "scheduling/range_planner.h"
#include "wire/records.h"

namespace scheduler {

// The only writer of the records of ranges that this controller owns. Tasks are started once their
// placement is recorded; a released task can be placed again once its release is recorded.
class RangeWriter {
 public:
  RangeWriter(const Context& context, const ControllerStatus& status, RangeTable& ranges,
              CandidateCache& candidates, PassTrigger& pass_trigger, pcg32& random)
      : context_(context),
        status_(status),
        ranges_(ranges),
        candidate_cache_(candidates),
        pass_trigger_(pass_trigger),
        random_(random) {}

  // True if every task of the range is done, including completions that are not recorded yet.
  [[nodiscard]] bool completes(const RangeId& id, const RangeState& state) const;
  // Whether the range's changes are to be written now. `may_queue_writes`: the write queue still
  // accepts writes in this pass. Completions can wait for a short time to be written together:
  // their capacity is already free, and machines keep reporting the tasks until the completion is
  // recorded.
  bool must_write_now(Ms now, const RangeId& id, RangeState& state, bool may_queue_writes) const;
  // Writes the range's pending changes, if there are any.
  void write(const RangeId& id);

 private:
  static bool record_completions(const wire::JobSpec& spec, RangeState& state,
                                 wire::RangeRecord& record);
  static bool record_stop(const wire::JobSpec& spec, const RangeState& state,
                          wire::RangeRecord& record);
  // Adds the pending placements to the record, or discards them if the record is full. Returns true
  // if there were any.
  bool add_placements(const Job& job, RangeState& state, wire::RangeRecord& record,
                      Transaction& transaction);
  void fit_placements(const wire::JobSpec& spec, RangeState& state,
                      const wire::RangeRecord& record);
  void record_placements(const Job& job, const RangeState& state, wire::RangeRecord& record,
                         Transaction& transaction);
  bool write_pieces(const Job& job, const wire::RangeRecord& record, Transaction& transaction);
  void on_written(Ms now, const RangeId& id, TxnResult result);

  const Context& context_;
  const ControllerStatus& status_;
  RangeTable& ranges_;
  CandidateCache& candidate_cache_;
  PassTrigger& pass_trigger_;
  pcg32& random_;
};

}  // namespace scheduler
