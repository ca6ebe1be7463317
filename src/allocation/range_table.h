// What this controller holds of task ranges beyond their records: placements that are being
// written, and tasks whose end is proven but not recorded.
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

// A task whose machine provably no longer has it.
struct ReleasedTask {
  std::uint64_t attempt = 0;
  bool done = false;
};

struct RangeState {
  bool busy = false;  // its record is being written
  Ms retry_at = 0;
  Ms first_seen = 0;                                            // with tasks to place
  std::map<std::uint32_t, ReleasedTask> released;               // to be recorded
  Ms released_since = 0;                                        // the first of them
  std::map<std::uint32_t, wire::Placement> pending_placements;  // being written
  std::uint32_t cursor = 0;                                     // no unstarted task before it
  bool stop_requested = false;                                  // gang to be stopped in good order
  std::string_view waits_for;                                   // of a gang; for the log
  // A write of `pending_placements` got no answer and may still be applied; until the record is
  // written again, which voids it, the placements count as made.
  bool write_uncertain = false;
  Resources task_resources;  // of each task in `pending_placements`

  // The task can be placed: neither done nor placed nor being placed. What is proven gone, though
  // not recorded yet, is recorded together with its next placement.
  [[nodiscard]] bool is_unstarted(const wire::RangeRecord& range, std::uint32_t task) const;
  // Tasks of the range that could be placed now.
  [[nodiscard]] std::size_t open_tasks(const wire::RangeRecord& range) const;
};

// Owns the state of every range that this controller works on.
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
  // Forgets ranges that have no record any more and nothing under way.
  void erase_unrecorded();

  // The task is proven to be gone from its machine; `done`: it has completed.
  void release_task(const TaskRef& ref, std::uint64_t attempt, bool done);
  [[nodiscard]] bool is_released(const TaskRef& ref, std::uint64_t attempt) const;
  // What was held for proven of a machine's tasks and is not recorded. Guards against a controller
  // back from a partition that releases what its count of a lease said, while the next owner kept
  // that lease: the task ran on, and was started elsewhere. The owner of now proves it again.
  void discard_unrecorded_releases(const std::string& machine);
  // What the team uses, with the placements that are being written. `recorded`: by the records.
  [[nodiscard]] Usage usage_with_pending(const std::string& team, Usage recorded) const;
  // Ranges whose record is being written, or may be.
  [[nodiscard]] std::size_t writes_in_flight() const;

 private:
  const Context& context_;
  PassTrigger& pass_trigger_;
  Map ranges_;
};

}  // namespace scheduler
