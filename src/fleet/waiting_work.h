// Finds waiting jobs that the fleet can't run, and the machines to rent for them.
//
// The total demand (fleet_sizer.h) doesn't show such jobs: a gang whose tasks must be in one zone
// needs enough machines in that zone, and a service that is spread over zones needs machines in
// several, however many the fleet has in all. A job is therefore tried on the machines, by the
// conditions that placement itself applies: on empty ones at first, since most work ends soon, and
// on what is free on each once it has waited for kCrowdedWaitMs. The first costs a step for each
// distinct requirement and kind of machine, the second one for each machine and each of at most
// kMaxCrowdedRequirements requirements.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/resources.h"
#include "base/types.h"
#include "fleet/machine_kind.h"
#include "wire/messages.h"

namespace scheduler {

// Milliseconds after which a waiting job no longer counts on other work to end.
constexpr std::int64_t kCrowdedWaitMs = 60'000;
// Most requirements at a time that are tried on what is free on each machine.
constexpr std::size_t kMaxCrowdedRequirements = 16;

// Machines of one kind with the same free resources.
struct MachineRoom {
  MachineKind kind;
  Resources free;
  int machines = 1;
};

// An unfinished job for which machines are needed.
struct Demand {
  Demand(const wire::JobSpec* spec, std::uint64_t unfinished_tasks)
      : job(spec), tasks(unfinished_tasks) {}

  const wire::JobSpec* job;
  std::uint64_t tasks;       // unfinished
  std::uint64_t placed = 0;  // of the unfinished tasks, those that are placed on a machine
  std::map<std::string, std::uint64_t> replicas_by_zone;  // the placed ones of a service
  // The team's limit allows no further task, or not the whole gang, at present.
  bool waits_for_quota = false;
  Ms waited_ms = 0;  // for how long it has needed machines without a break

  // Whether the job makes no progress, or lacks replicas, for want of machines.
  [[nodiscard]] bool needs_machines() const;
};

// What waiting jobs need before they make progress. Jobs with equal conditions share one entry.
struct PlacementRequirement {
  const wire::JobSpec* job = nullptr;  // states the conditions for machines
  std::string zone;                    // the only possible zone; empty: any
  std::uint64_t tasks = 0;             // that must have a machine at the same time
  // The job has waited for long, so that only what is free on the machines counts, and for a
  // service the places of its replicas.
  bool crowded = false;
  Ms waited_ms = 0;
  std::map<std::string, std::uint64_t> replicas_by_zone;
};

// The requirements of all jobs of `demand` that wait for machines.
std::vector<PlacementRequirement> waiting_requirements(const std::vector<Demand>& demand);

class PlacementModel {
 public:
  using Catalog = std::vector<wire::MachineType>;
  // Whether machines of a kind may be requested from the cloud now.
  using IsAvailable = std::function<bool(const MachineKind&)>;

  explicit PlacementModel(const Catalog& catalog) : catalog_(catalog) {}

  // The machines as if they were empty.
  [[nodiscard]] std::vector<MachineRoom> empty_machines(const MachineCounts& machines) const;
  // Number of tasks that find no room.
  [[nodiscard]] double missing_tasks(const PlacementRequirement& requirement,
                                     const std::vector<MachineRoom>& rooms) const;
  // The cheapest machines that take the missing tasks. Empty if no task is
  // missing, or if the kinds that are available don't suffice; a service gets machines for a part
  // of its missing replicas.
  [[nodiscard]] MachineCounts machines_to_add(const PlacementRequirement& requirement,
                                              const std::vector<MachineRoom>& rooms,
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
  [[nodiscard]] static TaskRoom room_in(const PlacementRequirement& requirement, const Zones& zones,
                                        const std::vector<MachineRoom>& rooms);
  [[nodiscard]] std::vector<MachineKind> kinds_by_price(
      const wire::JobSpec& job, const Zones& zones, const std::vector<MachineRoom>& rooms) const;
  [[nodiscard]] Addition addition_in(const PlacementRequirement& requirement, const Zones& zones,
                                     const std::vector<MachineRoom>& rooms,
                                     const IsAvailable& is_available) const;

  const Catalog& catalog_;
};

}  // namespace scheduler
