// What the size of the fleet depends on, as the records show it: the unfinished jobs, and the
// machines with what is free on them.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "base/types.h"
#include "fleet/machine_kind.h"
#include "fleet/waiting_work.h"
#include "membership/context.h"

namespace scheduler {

class FleetDemand {
 public:
  explicit FleetDemand(const Context& context) : context_(context) {}

  // The unfinished jobs. Must be called regularly, since it measures how long jobs have waited.
  std::vector<Demand> jobs(Ms now);
  // Forgets how long jobs have waited.
  void clear() { waiting_since_.clear(); }

  // Machines that are ready or requested from the cloud.
  [[nodiscard]] MachineCounts machines() const;
  // The same machines, with what is free on each. Costs a step per machine and per placed task.
  [[nodiscard]] std::vector<MachineRoom> rooms() const;

 private:
  // The placed replicas of a service, by zone.
  [[nodiscard]] std::map<std::string, std::uint64_t> replicas_by_zone(const Job& job) const;
  // Whether the team's limit is too far used for a task of the job, or for the whole gang.
  [[nodiscard]] bool waits_for_quota(const wire::JobSpec& spec) const;
  // What is free on a machine of this type, by the recorded placements.
  [[nodiscard]] Resources free_on(const std::string& machine, const wire::MachineType& type) const;

  const Context& context_;
  std::unordered_map<std::string, Ms> waiting_since_;  // by job that waits for machines
};

}  // namespace scheduler
