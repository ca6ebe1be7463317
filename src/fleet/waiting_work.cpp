#include "fleet/waiting_work.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

#include "allocation/placement.h"

namespace scheduler {

namespace {

// The conditions of a requirement; requirements that differ only in the number of tasks have equal
// ones.
using Conditions = std::tuple<double, double, double, std::vector<std::string>, std::string, bool,
                              bool, bool, bool, bool, bool, std::map<std::string, std::uint64_t>>;

Conditions conditions_of(const PlacementRequirement& requirement) {
  const wire::JobSpec& job = *requirement.job;
  return {job.cpus,         job.gpus,         job.memory_gb,       job.types,
          requirement.zone, job.one_zone,     job.spread,          job.spot,
          job.is_gang(),    job.is_service(), requirement.crowded, requirement.replicas_by_zone};
}

PlacementRequirement requirement_of(const Demand& demand) {
  const wire::JobSpec& job = *demand.job;
  PlacementRequirement requirement;
  requirement.job = &job;
  // The tasks of an array may run one after another.
  requirement.tasks = job.is_gang() || job.is_service() ? job.tasks : 1;
  // Replicas stay where they are, so that no other zone can be used.
  const bool zone_is_fixed = job.one_zone && !demand.replicas_by_zone.empty();
  requirement.zone = zone_is_fixed ? demand.replicas_by_zone.begin()->first : job.zone;
  requirement.waited_ms = demand.waited_ms;
  requirement.crowded = demand.waited_ms >= kCrowdedWaitMs;
  if (requirement.crowded) requirement.replicas_by_zone = demand.replicas_by_zone;
  return requirement;
}

// Keeps the crowded requirements of the jobs that have waited longest; the others are tried on
// empty machines.
void limit_crowded(std::vector<PlacementRequirement>& requirements) {
  std::stable_sort(requirements.begin(), requirements.end(), [](const auto& a, const auto& b) {
    return a.crowded != b.crowded ? a.crowded : a.crowded && a.waited_ms > b.waited_ms;
  });
  for (std::size_t i = kMaxCrowdedRequirements; i < requirements.size(); ++i)
    requirements[i].crowded = false;
}

}  // namespace

bool Demand::needs_machines() const {
  if (placed >= tasks || waits_for_quota) return false;
  return placed == 0 || job->is_gang() || job->is_service();
}

std::vector<PlacementRequirement> waiting_requirements(const std::vector<Demand>& demand) {
  std::map<Conditions, PlacementRequirement> largest;
  for (const Demand& work : demand) {
    if (!work.needs_machines()) continue;
    const PlacementRequirement requirement = requirement_of(work);
    auto [entry, inserted] = largest.try_emplace(conditions_of(requirement), requirement);
    const Ms longest_wait = std::max(entry->second.waited_ms, requirement.waited_ms);
    if (!inserted && entry->second.tasks < requirement.tasks) entry->second = requirement;
    entry->second.waited_ms = longest_wait;
  }
  std::vector<PlacementRequirement> out;
  out.reserve(largest.size());
  for (const auto& [conditions, requirement] : largest) out.push_back(requirement);
  limit_crowded(out);
  return out;
}

// Number of tasks that find room, by zone.
struct PlacementModel::TaskRoom {
  double tasks = 0;         // that must have a machine
  double max_per_zone = 0;  // that may be in one zone
  std::map<std::string, double> by_zone;

  [[nodiscard]] double usable(const std::string& zone) const {
    const auto found = by_zone.find(zone);
    return found == by_zone.end() ? 0.0 : std::min(found->second, max_per_zone);
  }
  [[nodiscard]] double missing() const {
    double usable_tasks = 0;
    for (const auto& [zone, room] : by_zone) usable_tasks += usable(zone);
    return std::max(0.0, tasks - usable_tasks);
  }
  // Number of further tasks that the zone could take with more machines.
  [[nodiscard]] double addable(const std::string& zone) const {
    return std::min(missing(), max_per_zone - usable(zone));
  }
};

// Machines to add to the given ones so that tasks fit that are missing.
struct PlacementModel::Addition {
  MachineCounts machines;
  double price = 0;
  bool complete = false;  // no task is missing any more
};

const wire::MachineType* PlacementModel::find_type(const std::string& name) const {
  const auto type = std::find_if(catalog_.begin(), catalog_.end(),
                                 [&name](const auto& entry) { return entry.name == name; });
  return type == catalog_.end() ? nullptr : &*type;
}

std::vector<PlacementModel::Zones> PlacementModel::zone_choices(
    const PlacementRequirement& requirement) const {
  Zones zones;
  for (const auto& type : catalog_) zones.insert(type.zones.begin(), type.zones.end());
  if (!requirement.zone.empty())
    std::erase_if(zones, [&](const auto& zone) { return zone != requirement.zone; });
  if (!requirement.job->one_zone) return {zones};
  std::vector<Zones> choices;
  for (const auto& zone : zones) choices.push_back({zone});
  return choices;
}

double PlacementModel::tasks_per_machine(const wire::JobSpec& job, const MachineKind& kind) const {
  const wire::MachineType* type = find_type(kind.type);
  if (!type || !allowed(job, kind.type, kind.zone, kind.spot)) return 0;
  return fit_count(resources_of(job), resources_of(*type));
}

std::vector<MachineRoom> PlacementModel::empty_machines(const MachineCounts& machines) const {
  std::vector<MachineRoom> rooms;
  for (const auto& [kind, count] : machines) {
    if (const wire::MachineType* type = find_type(kind.type))
      rooms.push_back({kind, resources_of(*type), count});
  }
  return rooms;
}

PlacementModel::TaskRoom PlacementModel::room_in(const PlacementRequirement& requirement,
                                                 const Zones& zones,
                                                 const std::vector<MachineRoom>& rooms) {
  const wire::JobSpec& job = *requirement.job;
  TaskRoom room;
  room.tasks = static_cast<double>(requirement.tasks);
  room.max_per_zone = job.spread ? std::ceil(job.tasks / 2.0) : room.tasks;
  for (const MachineRoom& machine : rooms) {
    const MachineKind& kind = machine.kind;
    if (!zones.contains(kind.zone) || !allowed(job, kind.type, kind.zone, kind.spot)) continue;
    room.by_zone[kind.zone] += machine.machines * fit_count(resources_of(job), machine.free);
  }
  if (!requirement.crowded) return room;
  for (const auto& [zone, replicas] : requirement.replicas_by_zone)
    if (zones.contains(zone)) room.by_zone[zone] += static_cast<double>(replicas);
  return room;
}

double PlacementModel::missing_tasks(const PlacementRequirement& requirement,
                                     const std::vector<MachineRoom>& rooms) const {
  auto fewest = static_cast<double>(requirement.tasks);
  for (const Zones& zones : zone_choices(requirement))
    fewest = std::min(fewest, room_in(requirement, zones, rooms).missing());
  return fewest;
}

// The kinds that can take a task of the job: the lowest price per task first, then ordinary
// machines before spot machines, since they are not preempted, then the fewest machines.
std::vector<MachineKind> PlacementModel::kinds_by_price(
    const wire::JobSpec& job, const Zones& zones, const std::vector<MachineRoom>& rooms) const {
  MachineCounts held;
  for (const MachineRoom& machine : rooms) held[machine.kind] += machine.machines;
  std::vector<std::tuple<double, bool, int, MachineKind>> ranked;
  for (const auto& type : catalog_) {
    for (const auto& zone : type.zones) {
      for (const bool spot : {false, true}) {
        const MachineKind kind{type.name, zone, spot};
        const double tasks = zones.contains(zone) ? tasks_per_machine(job, kind) : 0;
        if (tasks >= 1) ranked.emplace_back(type.price / tasks, spot, held[kind], kind);
      }
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<MachineKind> kinds;
  kinds.reserve(ranked.size());
  for (const auto& entry : ranked) kinds.push_back(std::get<MachineKind>(entry));
  return kinds;
}

PlacementModel::Addition PlacementModel::addition_in(const PlacementRequirement& requirement,
                                                     const Zones& zones,
                                                     const std::vector<MachineRoom>& rooms,
                                                     const IsAvailable& is_available) const {
  const wire::JobSpec& job = *requirement.job;
  TaskRoom room = room_in(requirement, zones, rooms);
  Addition addition;
  for (const MachineKind& kind : kinds_by_price(job, zones, rooms)) {
    const double tasks = room.addable(kind.zone);
    if (tasks <= 0 || !is_available(kind)) continue;
    const double per_machine = tasks_per_machine(job, kind);
    const double count = std::ceil(tasks / per_machine);
    room.by_zone[kind.zone] += count * per_machine;
    addition.machines[kind] = static_cast<int>(count);
    addition.price += count * find_type(kind.type)->price;
  }
  addition.complete = room.missing() <= 0;
  return addition;
}

MachineCounts PlacementModel::machines_to_add(const PlacementRequirement& requirement,
                                              const std::vector<MachineRoom>& rooms,
                                              const IsAvailable& is_available) const {
  if (missing_tasks(requirement, rooms) <= 0) return {};
  Addition best;
  best.price = std::numeric_limits<double>::infinity();
  for (const Zones& zones : zone_choices(requirement)) {
    Addition addition = addition_in(requirement, zones, rooms, is_available);
    // A part of its tasks is of no use to a gang.
    if (!addition.complete && !requirement.job->is_service()) continue;
    const bool better =
        addition.complete == best.complete ? addition.price < best.price : addition.complete;
    if (better) best = std::move(addition);
  }
  return best.machines;
}

}  // namespace scheduler
