// Finds waiting jobs that the fleet could not run even if all its machines were empty, and the
// machines to rent for them.
//
// The total demand (fleet_sizer.h) doesn't show such jobs: a gang whose tasks must be in one zone
// needs enough machines in that zone, and a service that is spread over zones needs machines in
// several, however many the fleet has in all. A job is therefore tried
// on empty machines of each kind, by the conditions that placement itself applies. The cost depends
// on the numbers of distinct requirements and of machine kinds, not on those of tasks and machines.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "fleet/machine_kind.h"
#include "wire/messages.h"

namespace scheduler {

// An unfinished job for which machines are needed.
struct Demand {
  Demand(const wire::JobSpec* spec, std::uint64_t unfinished_tasks)
      : job(spec), tasks(unfinished_tasks) {}

  const wire::JobSpec* job;
  std::uint64_t tasks;       // unfinished
  std::uint64_t placed = 0;  // of the unfinished tasks, those that are placed on a machine
  // The zone of the placed replicas, if the job is a service that must be in one zone.
  std::string zone_in_use;
  // The team's limit allows no further task, or not the whole gang, at present.
  bool waits_for_quota = false;
};

// What waiting jobs need before they make progress. Jobs with equal conditions share one entry.
struct PlacementRequirement {
  const wire::JobSpec* job = nullptr;  // states the conditions for machines
  std::string zone;                    // the only possible zone; empty: any
  std::uint64_t tasks = 0;             // that must have a machine at the same time
};

// The requirements of all jobs of `demand` that wait for machines.
std::vector<PlacementRequirement> waiting_requirements(const std::vector<Demand>& demand);

class PlacementModel {
 public:
  using Catalog = std::vector<wire::MachineType>;
  // Whether machines of a kind may be requested from the cloud now.
  using IsAvailable = std::function<bool(const MachineKind&)>;

  explicit PlacementModel(const Catalog& catalog) : catalog_(catalog) {}

  // Number of tasks that would have no machine if the given machines were empty.
  [[nodiscard]] double missing_tasks(const PlacementRequirement& requirement,
                                     const MachineCounts& machines) const;
  // The cheapest machines that add the missing tasks to the given machines. Empty if no task is
  // missing, or if the kinds that are available don't suffice; a service gets machines for a part
  // of its missing replicas.
  [[nodiscard]] MachineCounts machines_to_add(const PlacementRequirement& requirement,
                                              const MachineCounts& machines,
                                              const IsAvailable& is_available) const;

 private:
  using Zones = std::set<std::string>;
  struct Addition;
  struct TaskRoom;

  [[nodiscard]] const wire::MachineType* find_type(const std::string& name) const;
  // The sets of zones of which one must hold all tasks.
  [[nodiscard]] std::vector<Zones> zone_choices(const PlacementRequirement& requirement) const;
  // Number of tasks of the job that an empty machine of this kind can take; 0 if it may not run
  // there.
  [[nodiscard]] double tasks_per_machine(const wire::JobSpec& job, const MachineKind& kind) const;
  [[nodiscard]] TaskRoom room_in(const PlacementRequirement& requirement, const Zones& zones,
                                 const MachineCounts& machines) const;
  [[nodiscard]] std::vector<MachineKind> kinds_by_price(const wire::JobSpec& job,
                                                        const Zones& zones,
                                                        const MachineCounts& machines) const;
  [[nodiscard]] Addition addition_in(const PlacementRequirement& requirement, const Zones& zones,
                                     const MachineCounts& machines,
                                     const IsAvailable& is_available) const;

  const Catalog& catalog_;
};

}  // namespace scheduler
