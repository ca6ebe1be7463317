// One scheduling pass: machines as they are booked while tasks are placed.
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
  // What machines may be used for: spot allowed, types, zone ("": any), and whether other shards'
  // machines count.
  using Kind = std::tuple<bool, std::vector<std::string>, std::string, bool>;
  // Tasks of a shape: cpus, gpus, memory, spot, types, zone.
  using Shape = std::tuple<double, double, double, bool, std::vector<std::string>, std::string>;

  // Indices of the candidates that the job may use, in that zone if one is named; `remote`: other
  // shards' machines too. Built once a pass for all jobs of a kind.
  const std::vector<int>& machines_for(const wire::JobSpec& spec, const std::string& zone,
                                       bool remote);
  // Keeps the machines with most free capacity for what must begin and finds none yet. Guards
  // against large tasks and gangs that wait for ever, since small ones take every bit of capacity
  // as it comes.
  void reserve(const wire::JobSpec& spec, std::size_t tasks);
  [[nodiscard]] Candidate& candidate(int index) const {
    return *candidates[static_cast<std::size_t>(index)];
  }

  Ms now = 0;
  std::vector<Candidate*> candidates;  // usable machines of our shard, then others' if added
  std::size_t local_machines = 0;      // of `candidates`, which has them first
  bool remote_added = false;
  std::map<Kind, std::vector<int>> eligible_by_kind;
  std::set<std::string> zones;  // of `candidates`
  int remaining_placements = 0;
  int remaining_writes = 0;                               // that may still be asked for
  std::map<std::string, wire::QuotaRecord::Amount> used;  // of our quota leases, by team
  std::map<std::string, Usage> team_usage;                // of all shards, as of the pass's start
  bool whole_machine_gangs = false;                       // some live job is such a gang
  std::set<int> reserved;                          // machines kept free for what waits to begin
  std::vector<const wire::JobSpec*> failed;        // shapes that found no capacity
  std::vector<const wire::JobSpec*> failed_gangs;  // gangs that found none in any shard
  std::map<Shape, double> free_capacity;           // tasks of a shape that our shard can take
};

}  // namespace scheduler
