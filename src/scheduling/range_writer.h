// Records placements and ends of tasks in the records of their ranges.
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

// The one writer of the records of the ranges that this controller owns. Starts follow from what is
// recorded; what is released is free to be placed again once it is recorded.
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

  // With what is proven, every task of the range is done.
  [[nodiscard]] bool completes(const RangeId& id, const RangeState& state) const;
  // Whether the range's changes are to be written now; `may_queue_writes`: writes can still be
  // asked for. That tasks ended can wait a little, to be written together: their capacity is free
  // already, and their machines list them until it is recorded.
  bool must_write_now(Ms now, const RangeId& id, RangeState& state, bool may_queue_writes) const;
  // Writes what has changed of the range, if anything has.
  void write(const RangeId& id);

 private:
  static bool record_completions(const wire::JobSpec& spec, RangeState& state,
                                 wire::RangeRecord& record);
  static bool record_stop(const wire::JobSpec& spec, const RangeState& state,
                          wire::RangeRecord& record);
  // Puts the chosen placements into the record, or takes them back if it is full. True if anything
  // has changed.
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
