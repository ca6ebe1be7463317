// Machines as placement sees them, kept until something about them changes: a pass must not cost
// fleet times tasks.
#pragma once

#include <string>
#include <unordered_map>

#include "allocation/placement.h"
#include "allocation/range_table.h"
#include "membership/context.h"
#include "scheduling/scheduling_pass.h"
#include "workers/machine_table.h"

namespace scheduler {

// Owns the candidates of other shards' machines, and what placements that are being written take of
// all machines.
class CandidateCache {
 public:
  CandidateCache(const Context& context, MachineTable& machines, RangeTable& ranges)
      : context_(context), machines_(machines), ranges_(ranges) {}

  // A machine of our shard: its last heartbeat plus starts since.
  Candidate& candidate(Ms now, const Machine& machine) const;
  // Adds other shards' machines to the pass. Only gangs and jobs that are bound to zones may need
  // them.
  void add_remote_candidates(SchedulingPass& pass);
  // Something about a machine of another shard has changed.
  void forget_remote(const std::string& machine) { remote_candidates_.erase(machine); }
  void forget_all_remote() { remote_candidates_.clear(); }

  // Reserves resources on a machine for a placement that is being written, or gives them back.
  void reserve(const std::string& machine, const Resources& resources);
  void release(const std::string& machine, const Resources& resources);
  // Counts them anew for machines of other shards: which machines these are has changed.
  void recount_remote_reservations();
  // Takes the last `count` choices back.
  void drop_pending_placements(RangeState& range, std::size_t count);
  void clear_pending_placements(RangeState& range);

 private:
  // Books the tasks that are recorded on the machine.
  void book_recorded(Ms now, const Machine& machine, Candidate& candidate) const;
  // Books what it lists though no record says so: on its way out, yet still there.
  void book_unrecorded(Ms now, const Machine& machine, Candidate& candidate) const;
  Candidate remote_candidate(Ms now, const std::string& id,
                             const wire::MachineRecord& record) const;

  const Context& context_;
  MachineTable& machines_;
  RangeTable& ranges_;
  std::unordered_map<std::string, Candidate> remote_candidates_;
  // Taken by placements that are being written.
  std::unordered_map<std::string, Resources> remote_reservations_;
};

}  // namespace scheduler
