// State of one scheduling pass: the candidate machines with the bookings made during the pass.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "allocation/placement.h"
#include "state/replica.h"
#include "wire/records.h"

namespace scheduler {

struct SchedulingPass {
  // Constraints that select eligible machines: spot allowed, types, zone (empty: any), and whether
  // other shards' machines are included.
  using MachineFilter = std::tuple<bool, std::vector<std::string>, std::string, bool>;
  // Resources and constraints of a task: cpus, gpus, memory, spot, types, zone.
  using TaskShape = std::tuple<double, double, double, bool, std::vector<std::string>, std::string>;

  // Returns the indices of the candidates that the job may use, limited to `zone` unless it is
  // empty. `remote` includes other shards' machines. Computed once per pass for each MachineFilter.
  const std::vector<int>& machines_for(const wire::JobSpec& spec, const std::string& zone,
                                       bool remote);
  // Keeps the machines with the most free capacity unused for work that must start and found no
  // capacity. Guards against large tasks and gangs that wait forever because small tasks take all
  // capacity as soon as it is freed.
  void reserve(const wire::JobSpec& spec, std::size_t tasks);
  [[nodiscard]] Candidate& candidate(int index) const {
    return *candidates[static_cast<std::size_t>(index)];
  }

  Ms now = 0;
  std::vector<Candidate*> candidates;  // this shard's usable machines first
  std::size_t local_machines = 0;      // number of this shard's candidates
  bool remote_added = false;           // `candidates` includes other shards' machines
  std::map<MachineFilter, std::vector<int>> eligible_by_filter;
  std::set<std::string> zones;  // zones of all candidates
  int remaining_placements = 0;
  int remaining_writes = 0;                               // writes that may still be queued
  std::map<std::string, wire::QuotaRecord::Amount> used;  // usage of own quota leases, by team
  std::map<std::string, Usage> team_usage;                // over all shards, at pass start
  bool whole_machine_gangs = false;                       // a live gang needs whole machines
  std::set<int> reserved;                                 // machines kept for work that must start
  std::vector<const wire::JobSpec*> failed;               // jobs whose tasks found no capacity
  std::vector<const wire::JobSpec*> failed_gangs;         // gangs too large for all shards together
  std::map<TaskShape, double> free_capacity;  // tasks that fit into this shard, by shape
};

}  // namespace scheduler
