// This controller's in-memory state of task ranges in addition to their records: placements whose
// write is in progress, and tasks whose end is proven but not recorded.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "allocation/pass_trigger.h"
#include "base/resources.h"
#include "membership/context.h"
#include "wire/records.h"

namespace scheduler {

// What proves that an attempt of a task is gone from its machine and can't start there any more.
enum class ReleaseProof : std::uint8_t {
  exit_listed,         // the machine lists the attempt as exited
  later_incarnation,   // the machine's agent has moved to an incarnation after the placement's
  token_above_start,   // not listed under a token above that of every start sent for the attempt
  lease_expired,       // the machine's lease has expired
  machine_terminated,  // the cloud has confirmed that the machine is gone
};

// The proof that releases a task, with the tokens that it rests on. The tokens are 0 for proofs
// that rest on none.
struct ReleaseEvidence {
  ReleaseProof proof = ReleaseProof::exit_listed;
  std::uint64_t reported_token = 0;  // highest token that the machine has reported
  std::uint64_t start_token = 0;     // of the last start that may be in flight; 0: none
};

// A task that has provably ended on its machine.
struct ReleasedTask {
  std::uint64_t attempt = 0;
  bool done = false;
};

struct RangeState {
  bool write_in_progress = false;  // of the range's record
  Ms retry_at = 0;                 // no placement and no write of the range before this time
  Ms first_seen_at = 0;            // first time with tasks to place
  std::map<std::uint32_t, ReleasedTask> released;               // ended tasks, to be recorded
  Ms oldest_release_at = 0;                                     // of `released`; 0: none
  std::map<std::uint32_t, wire::Placement> pending_placements;  // write in progress
  std::uint32_t cursor = 0;                                     // no unstarted task before it
  bool stop_requested = false;                                  // stop of a gang, to be recorded
  std::string_view logged_wait_reason;                          // what the gang waits for
  // A write of `pending_placements` got no answer and may still be applied. The placements count as
  // made until the record is written again, which invalidates the uncertain write.
  bool write_uncertain = false;
  Resources task_resources;  // resources of each task in `pending_placements`

  // True if the task can be placed: it is not done, not placed, and not in `pending_placements`. A
  // placed task that was released without completion also counts even if its release is not
  // recorded yet; the release is then recorded together with the next placement.
  [[nodiscard]] bool is_unstarted(const wire::RangeRecord& range, std::uint32_t task) const;
  // Number of tasks of the range that could be placed now.
  [[nodiscard]] std::size_t open_tasks(const wire::RangeRecord& range) const;
};

// Owns the in-memory state of every range that this controller works on.
class RangeTable {
 public:
  using Map = std::map<RangeId, RangeState>;

  RangeTable(const Context& context, PassTrigger& pass_trigger)
      : context_(context), pass_trigger_(pass_trigger) {}

  RangeState& operator[](const RangeId& id) { return ranges_[id]; }
  Map::iterator begin() { return ranges_.begin(); }
  Map::iterator end() { return ranges_.end(); }
  [[nodiscard]] Map::const_iterator begin() const { return ranges_.begin(); }
  [[nodiscard]] Map::const_iterator end() const { return ranges_.end(); }
  Map::iterator find(const RangeId& id) { return ranges_.find(id); }
  [[nodiscard]] Map::const_iterator find(const RangeId& id) const { return ranges_.find(id); }
  // Removes the state of ranges that have no record any more and no write in progress.
  void erase_unrecorded();

  // Records in memory that the attempt has provably ended on its machine; `done`: it completed
  // successfully.
  void release_task(const TaskRef& ref, std::uint64_t attempt, bool done,
                    const ReleaseEvidence& evidence);
  [[nodiscard]] bool is_released(const TaskRef& ref, std::uint64_t attempt) const;
  // Discards unrecorded releases of tasks on the machine, whose new owner must prove them again.
  // Guards against a controller that returns from a partition and releases tasks because, by its
  // own count, their machine's lease had expired, although the next owner had renewed the lease:
  // the tasks would keep running while being started again elsewhere.
  void discard_unrecorded_releases(const std::string& machine);
  // Returns the team's usage including pending placements. `recorded`: usage by the records.
  [[nodiscard]] Usage usage_with_pending(const std::string& team, Usage recorded) const;
  // Number of ranges with a write that is in progress or has an uncertain result.
  [[nodiscard]] std::size_t writes_in_flight() const;

 private:
  void log_release(const TaskRef& ref, const ReleasedTask& released,
                   const ReleaseEvidence& evidence) const;

  const Context& context_;
  PassTrigger& pass_trigger_;
  Map ranges_;
};

}  // namespace scheduler
