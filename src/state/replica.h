// Decoded copy of the records of the state service, with the indexes that scheduling needs.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "state/machine_index.h"
#include "state/placement_index.h"
#include "wire/records.h"
#include "wire/state_service.h"

namespace scheduler {

// A job that has not ended, with its task ranges.
struct Job {
  wire::JobRecord record;
  std::map<std::uint32_t, wire::RangeRecord> ranges;
  // Numbers of the ranges in `ranges` that have no range record yet; they are derived from the
  // job's record.
  std::set<std::uint32_t> unrecorded_ranges;
  // Whether the job's own record has been read. Range records may arrive before it.
  bool known = false;
  // Numbers of finished and of placed tasks over all ranges, kept up to date.
  std::uint64_t done = 0, placed = 0;

  [[nodiscard]] std::uint64_t done_tasks() const { return done; }
  [[nodiscard]] std::uint64_t placed_tasks() const { return placed; }
  // Whether the job's record is known and its ranges in the replica cover every task.
  [[nodiscard]] bool covers_all_tasks() const;
};

// This controller's replica of the stored records. It changes only by apply(), one record at a time
// and with the keys in any order, and by remember_final_state() for older final states, which
// neither the full read nor the watch delivers. Consumers fetch the pending changes with the
// take_*changed*() functions; a change stays pending until it is fetched.
class Replica {
 public:
  // Applies a new value of a record, or its deletion. Returns false if the record can't be decoded;
  // the record is then ignored.
  bool apply(const wire::StoredItem& item);

  const wire::ViewRecord& view() const { return view_; }
  const std::map<std::string, wire::LiveRecord>& live() const { return live_; }
  const std::map<std::string, wire::ScaleOutRequest>& scale_out_requests() const {
    return scale_out_requests_;
  }
  const std::map<std::string, wire::QuotaRecord>& quotas() const { return quotas_; }
  const std::vector<wire::MachineType>& catalog() const { return catalog_; }
  bool has_catalog() const { return has_catalog_; }
  const wire::MachineType* type(const std::string& name) const;
  // Newest record format that all controllers can read (wire/records.h).
  std::uint32_t format() const { return format_.format; }

  const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }
  // Returns nullptr until the job's own record has been read.
  const Job* job(const std::string& id) const;
  const wire::RangeRecord* range(const RangeId& id) const;
  const wire::Placement* placement(const TaskRef& task) const;
  const wire::FinalStateRecord* final_state(const std::string& id) const;
  // Caches a final state that was read with a single request. Drops the oldest one when the cache
  // is full.
  void remember_final_state(const std::string& id, const wire::FinalStateRecord& record);

  // Machines (state/machine_index.h).
  const std::map<std::string, wire::MachineRecord>& machines() const {
    return machine_index_.machines();
  }
  const std::map<std::uint32_t, wire::FleetRecord>& fleet() const { return machine_index_.fleet(); }
  const wire::MachineRecord* machine(const std::string& id) const {
    return machine_index_.machine(id);
  }
  std::optional<std::uint32_t> group_of(const std::string& id) const {
    return machine_index_.group_of(id);
  }
  const wire::ShardRecord* shard(const std::string& controller, std::uint32_t group) const {
    return machine_index_.shard(controller, group);
  }
  std::vector<std::pair<std::uint32_t, const wire::ShardRecord*>> shards_of(
      const std::string& controller) const {
    return machine_index_.shards_of(controller);
  }

  // Placements (state/placement_index.h).
  const std::set<TaskRef>& placed_on(const std::string& machine) const {
    return placements_.placed_on(machine);
  }
  bool hosts_service(const std::string& machine) const {
    return placements_.hosts_service(machine);
  }
  Usage usage(const std::string& team, const std::string& quota_holder) const {
    return placements_.usage(team, quota_holder);
  }
  Usage usage(const std::string& team) const { return placements_.usage(team); }
  // Machines that have placements but no machine record.
  std::vector<std::string> unrecorded_machines() const;

  // Return what has changed since the last call, and clear it. Consumers act on the current state
  // of what has changed, not on each single change (level-triggered).
  std::set<std::string> take_changed_machines() { return std::exchange(changed_machines_, {}); }
  bool take_view_changed() { return std::exchange(view_changed_, false); }
  std::set<std::string> take_changed_jobs() { return std::exchange(changed_jobs_, {}); }

 private:
  // One function for each kind of record; the return value is that of apply().
  bool apply_range(const wire::StoredItem& item);
  bool apply_job(const wire::StoredItem& item);
  bool apply_final_state(const wire::StoredItem& item);
  bool apply_fleet(const wire::StoredItem& item);
  bool apply_shard(const wire::StoredItem& item);
  bool apply_live(const wire::StoredItem& item);
  bool apply_view(const wire::StoredItem& item);
  bool apply_format(const wire::StoredItem& item);
  bool apply_catalog(const wire::StoredItem& item);

  void remove_range(const RangeId& id, Job& job);
  void remove_job(const std::string& id);
  static void add_unrecorded_ranges(const std::string& id, Job& job);
  // Applies the difference between two versions of a range; either may be nullptr. The cost grows
  // with the number of changed placements, not with the size of the range.
  void update_range(const RangeId& id, Job& job, const wire::RangeRecord* before,
                    const wire::RangeRecord* after);
  void add_placement(const Job& job, TaskRef task, const wire::Placement& placement);
  void remove_placement(const Job& job, const TaskRef& task, const wire::Placement& placement);
  // Adds or subtracts the resource usage of all placements of the job, when its record appears or
  // is removed.
  void add_usage_of_placements(const Job& job);
  void remove_usage_of_placements(const Job& job);
  void mark_machines_changed(const wire::RangeRecord& range);

  wire::ViewRecord view_;
  std::map<std::string, wire::LiveRecord> live_;
  std::map<std::string, wire::ScaleOutRequest> scale_out_requests_;
  std::map<std::string, wire::QuotaRecord> quotas_;
  std::vector<wire::MachineType> catalog_;
  bool has_catalog_ = false;
  wire::FormatRecord format_;
  std::unordered_map<std::string, Job> jobs_;
  std::unordered_map<std::string, wire::FinalStateRecord> final_states_;
  std::deque<std::string> final_state_order_;  // ids of jobs, oldest cache entry first
  MachineIndex machine_index_;
  PlacementIndex placements_;

  std::set<std::string> changed_machines_;
  std::set<std::string> changed_jobs_;
  bool view_changed_ = false;
};

}  // namespace scheduler
