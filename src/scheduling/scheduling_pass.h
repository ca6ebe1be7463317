// One scheduling pass: machines as they are booked while tasks are placed.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "controller/controller.h"

namespace scheduler {

struct Controller::SchedulingPass {
  Ms now = 0;
  std::vector<Candidate*> candidates;  // usable machines of our part, then others' if added
  std::size_t local_machines = 0;      // of `pool`, which has them first
  bool remote_added = false;
  // Machines of `pool` by what they may be used for: spot allowed, types, zone ("": any), and
  // whether other parts' machines count. Built once a pass for all jobs of a kind.
  using Kind = std::tuple<bool, std::vector<std::string>, std::string, bool>;
  std::map<Kind, std::vector<int>> eligible_by_kind;
  std::set<std::string> zones;  // of `pool`
  int remaining_placements = 0;
  int remaining_writes = 0;                               // that may still be asked for
  std::map<std::string, wire::QuotaRecord::Amount> used;  // of our grants, by team
  std::map<std::string, Usage> team_usage;                // of all parts, as of the pass's start
  bool whole_machine_gangs = false;                       // some live job is such a gang
  std::set<int> reserved;                          // machines kept free for what waits to begin
  std::vector<const wire::JobSpec*> failed;        // shapes that found no room
  std::vector<const wire::JobSpec*> failed_gangs;  // gangs that found none on any part's machines
  // Tasks of a shape that our part has room for: cpus, gpus, memory, spot, types, zone.
  using Shape = std::tuple<double, double, double, bool, std::vector<std::string>, std::string>;
  std::map<Shape, double> free_capacity;
};

}  // namespace scheduler
