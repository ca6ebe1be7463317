// Caches the placement candidates of machines until their state changes, so that the cost of a
// scheduling pass does not grow with the number of machines times the number of tasks.
#pragma once

#include <string>
#include <unordered_map>

#include "allocation/placement.h"
#include "allocation/range_table.h"
#include "membership/context.h"
#include "scheduling/scheduling_pass.h"
#include "workers/machine_table.h"

namespace scheduler {

// Owns the candidates of other shards' machines, and manages the resources that placements reserve
// on all machines while their records are being written.
class CandidateCache {
 public:
  CandidateCache(const Context& context, MachineTable& machines, RangeTable& ranges)
      : context_(context), machines_(machines), ranges_(ranges) {}

  // Returns the candidate of a machine of this controller's shard: the state of its last heartbeat
  // plus tasks started since.
  Candidate& candidate(Ms now, const Machine& machine) const;
  // Called before a pass. Frees the outdated candidates of other shards' machines. They are kept
  // until then, because a pass refers to its candidates until it ends.
  void begin_pass();
  // Adds the machines of other shards to the pass. Only gangs and jobs with zone constraints may
  // need them.
  void add_remote_candidates(SchedulingPass& pass);
  // Marks the cached candidate of another shard's machine as outdated after its state has changed.
  void invalidate_remote_candidate(const std::string& machine);
  void invalidate_all_remote_candidates();

  // Reserves or releases resources on a machine for a placement whose record is being written.
  void reserve(const std::string& machine, const Resources& resources);
  void release(const std::string& machine, const Resources& resources);
  // Recomputes the reservations on other shards' machines after machines have moved between shards.
  void recount_remote_reservations();
  // Discards the last `count` pending placements of the range and releases their reservations.
  void drop_pending_placements(RangeState& range, std::size_t count);
  void clear_pending_placements(RangeState& range);

 private:
  // Books the tasks that are recorded as placed on the machine.
  void book_recorded(Ms now, const Machine& machine, Candidate& candidate) const;
  // Books tasks that the machine still reports although no record places them there: they are being
  // stopped but still use resources.
  void book_unrecorded(Ms now, const Machine& machine, Candidate& candidate) const;
  Candidate remote_candidate(Ms now, const std::string& id,
                             const wire::MachineRecord& record) const;

  struct RemoteCandidate {
    Candidate candidate;
    bool outdated = true;  // since it was marked, or because it is new
  };

  const Context& context_;
  MachineTable& machines_;
  RangeTable& ranges_;
  // By machine. Only begin_pass() removes entries; the addresses of the others don't change.
  std::unordered_map<std::string, RemoteCandidate> remote_candidates_;
  // Resources on other shards' machines that are reserved by placements whose record is being
  // written, by machine.
  std::unordered_map<std::string, Resources> remote_reservations_;
};

}  // namespace scheduler
