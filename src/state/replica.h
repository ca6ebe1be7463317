// Everything the state service holds, decoded, with the indexes that scheduling needs.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "wire/records.h"
#include "wire/state_service.h"

namespace scheduler {

struct RangeId {
  std::string job;
  std::uint32_t number = 0;
  auto operator<=>(const RangeId&) const = default;
};

// A task within its range.
struct TaskRef {
  RangeId range;
  std::uint32_t index = 0;
  auto operator<=>(const TaskRef&) const = default;
};

struct Usage {
  double cpus = 0, gpus = 0;
};

struct Job {
  wire::JobRecord record;
  std::map<std::uint32_t, wire::RangeRecord> ranges;
  // Of these, the ones that have no record of their own yet.
  std::set<std::uint32_t> unrecorded_ranges;
  // Known once the record itself was read; ranges may come first.
  bool known = false;
  // Sums over the ranges, kept up to date.
  std::uint64_t done = 0, placed = 0;

  std::uint64_t done_tasks() const { return done; }
  std::uint64_t placed_tasks() const { return placed; }
  // Every task belongs to a range held here, so nothing about the job is missing.
  bool whole() const;
};

class Replica {
 public:
  // Returns false when a record could not be decoded (it is then ignored).
  bool apply(const wire::StoredItem& item);

  const wire::ViewRecord& view() const { return view_; }
  const std::map<std::string, wire::LiveRecord>& live() const { return live_; }
  const std::map<std::string, wire::MachineRecord>& machines() const { return machines_; }
  const std::map<std::string, wire::ScaleOutRequest>& scale_out_requests() const {
    return scale_out_requests_;
  }
  const std::map<std::string, wire::QuotaRecord>& quotas() const { return quotas_; }
  const std::vector<wire::MachineType>& catalog() const { return catalog_; }
  bool has_catalog() const { return has_catalog_; }
  // The format of records that all controllers read (wire/records.h).
  std::uint32_t format() const { return format_.format; }
  const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }

  const Job* job(const std::string& id) const;
  const wire::RangeRecord* range(const RangeId& id) const;
  const wire::MachineRecord* machine(const std::string& id) const;
  const std::map<std::uint32_t, wire::FleetRecord>& fleet() const { return fleet_; }
  // The group that a machine is recorded in; none if the machine is not recorded.
  std::optional<std::uint32_t> group_of(const std::string& id) const;
  const wire::ShardRecord* shard(const std::string& controller, std::uint32_t group) const;
  // Every record of that controller, by group.
  std::vector<std::pair<std::uint32_t, const wire::ShardRecord*>> shards_of(
      const std::string& controller) const;
  const wire::MachineType* type(const std::string& name) const;
  const wire::FinalStateRecord* final_state(const std::string& id) const;
  void remember_final_state(const std::string& id, const wire::FinalStateRecord& record);

  const std::set<TaskRef>& placed_on(const std::string& machine) const;
  // Whether replicas of services are placed on the machine.
  bool hosts_service(const std::string& machine) const { return replicas_on_.contains(machine); }
  // Machines with placements of which there is no record.
  std::vector<std::string> unrecorded_machines() const;
  const wire::Placement* placement(const TaskRef& task) const;
  // Tasks of a team recorded as placed, by the grant that they use.
  Usage usage(const std::string& team, const std::string& grant) const;
  Usage usage(const std::string& team) const;
  // Changed since the last call, for level-triggered work.
  std::set<std::string> take_changed_machines() { return std::exchange(changed_machines_, {}); }
  bool take_view_changed() { return std::exchange(view_changed_, false); }
  std::set<std::string> take_changed_jobs() { return std::exchange(changed_jobs_, {}); }

 private:
  // Takes over the difference between two versions of a range; either may be missing. The cost of
  // a change is that of what changed, not of all that the range holds.
  void apply_range(const RangeId& id, Job& job, const wire::RangeRecord* before,
                   const wire::RangeRecord* after);
  void place(const RangeId& id, const Job& job, std::uint32_t task, const wire::Placement& p,
             bool add);
  void count_placement(const Job& job, const wire::Placement& p, int sign);
  void count_job(const Job& job, int sign);
  bool apply_fleet(std::uint32_t group, const std::optional<std::string>& value);
  bool apply_shard(const std::string& who, std::uint32_t group,
                   const std::optional<std::string>& value);
  void merge(const std::string& id);

  wire::ViewRecord view_;
  std::map<std::string, wire::LiveRecord> live_;
  std::map<std::uint32_t, wire::FleetRecord> fleet_;
  std::map<std::pair<std::string, std::uint32_t>, wire::ShardRecord> shards_;
  std::unordered_map<std::string, std::uint32_t> group_of_;
  // A controller's record of one group.
  using ShardId = std::pair<std::string, std::uint32_t>;
  // What controllers have written of a machine. While a group is being cut, a machine's entries may
  // stand in records of its former group.
  std::unordered_map<std::string, std::map<ShardId, wire::ShardRecord::Contact>> contacts_;
  std::map<std::string, wire::MachineRecord> machines_;        // merged from all these
  std::map<std::string, std::map<std::string, Usage>> usage_;  // team -> grant
  std::map<std::string, wire::ScaleOutRequest> scale_out_requests_;
  std::map<std::string, wire::QuotaRecord> quotas_;
  std::vector<wire::MachineType> catalog_;
  bool has_catalog_ = false;
  wire::FormatRecord format_;
  std::unordered_map<std::string, Job> jobs_;
  std::unordered_map<std::string, wire::FinalStateRecord> final_states_;
  std::deque<std::string> final_state_order_;

  std::unordered_map<std::string, std::set<TaskRef>> placed_on_;
  std::unordered_map<std::string, int> replicas_on_;  // of services, by machine; none: not there
  std::set<std::string> changed_machines_;
  std::set<std::string> changed_jobs_;
  bool view_changed_ = false;
};

}  // namespace scheduler
