#include "fleet/fleet_sizer.h"

#include <algorithm>
#include <cmath>

#include "allocation/placement.h"
#include "base/resources.h"
#include "base/types.h"

namespace scheduler {

namespace {

// Machines held in addition to the demand, as a share of the demand: capacity for a burst of jobs
// while more machines boot.
constexpr double kHeadroomShare = 0.5;
// Machines of each type held in addition to the demand and its headroom, if there is any demand.
constexpr double kSpareMachines = 2.0;
// Most machines in one scale-out request (PROTOCOL allows 50).
constexpr std::uint32_t kMaxMachinesPerScaleOut = 50;
// Most simultaneous requests for one kind of machine; further ones wait until these are answered.
constexpr std::uint32_t kMaxScaleOutsPerKind = 3;
// Most machines of one kind that are requested at the same time.
constexpr int kMaxMachinesPerKind =
    static_cast<int>(kMaxMachinesPerScaleOut * kMaxScaleOutsPerKind);

}  // namespace

double FleetSizer::parallel_tasks(const Demand& demand) const {
  const wire::JobSpec& job = *demand.job;
  const auto tasks = static_cast<double>(demand.tasks);
  if (job.is_gang() || job.is_service()) return job.tasks;
  double horizon = kDefaultHorizonS;
  for (const auto& objective : settings_.objectives) {
    if (objective.job_class != job.job_class) continue;
    if (objective.kind == ObjectiveKind::deadline && job.deadline_s)
      horizon = std::min(horizon, *job.deadline_s * std::max(1.0, objective.deadline_factor));
    if (objective.kind == ObjectiveKind::finished && objective.within_s > 0)
      horizon = std::min(horizon, objective.within_s);
    if (objective.kind == ObjectiveKind::wait) horizon = 0;
  }
  // Only half of the horizon is planned for tasks; booting machines, fetching images and wrong
  // estimates take the other half.
  const double rounds = std::max(1.0, std::floor(horizon / 2 / std::max(1.0, job.estimate_s)));
  return std::ceil(tasks / rounds);
}

const wire::MachineType* FleetSizer::cheapest_type_for(
    const wire::JobSpec& job, const std::vector<wire::MachineType>& catalog) {
  const wire::MachineType* best = nullptr;
  double best_price = 0;
  for (const auto& type : catalog) {
    if (!job.types.empty() &&
        std::find(job.types.begin(), job.types.end(), type.name) == job.types.end())
      continue;
    if (!job.zone.empty() &&
        std::find(type.zones.begin(), type.zones.end(), job.zone) == type.zones.end())
      continue;
    const double tasks_per_machine = fit_count(resources_of(job), resources_of(type));
    if (tasks_per_machine < 1) continue;
    const double price = type.price / tasks_per_machine;
    if (!best || price < best_price) {
      best = &type;
      best_price = price;
    }
  }
  return best;
}

std::vector<FleetSizer::Need> FleetSizer::needs(
    const std::vector<Demand>& demand, const std::vector<wire::MachineType>& catalog) const {
  // Key: type, whether any zone counts, zone, whether spot machines count. false sorts before true,
  // so specific needs come before general ones.
  std::map<std::tuple<std::string, bool, std::string, bool>, double> sums;
  for (const auto& work : demand) {
    const auto* machine_type = cheapest_type_for(*work.job, catalog);
    if (!machine_type || work.tasks == 0) continue;
    const double machines =
        parallel_tasks(work) / fit_count(resources_of(*work.job), resources_of(*machine_type));
    std::vector<std::string> zones{""};
    if (!work.job->zone.empty()) zones.push_back(work.job->zone);
    for (const auto& zone : zones) {
      sums[{machine_type->name, zone.empty(), zone, true}] += machines;
      if (!work.job->spot) sums[{machine_type->name, zone.empty(), zone, false}] += machines;
    }
  }
  std::vector<Need> out;
  for (const auto& [key, machines] : sums) {
    const auto& [type, any_zone, zone, spot_counts] = key;
    const double spare = any_zone && spot_counts ? kSpareMachines : 0;
    out.push_back({type, zone, !spot_counts, machines * (1.0 + kHeadroomShare) + spare});
  }
  return out;
}

bool FleetSizer::is_refused(Ms now, const MachineKind& kind) const {
  auto it = refused_until_.find(kind);
  return it != refused_until_.end() && now < it->second;
}

void FleetSizer::on_refused(Ms now, const MachineKind& kind) {
  refused_until_[kind] = now + kRefusedKindRetryDelayMs;
}

// Machines to rent in addition to those held, by kind.
struct FleetSizer::ScaleOutPlan {
  MachineCounts counts;  // held, plus those planned so far
  MachineCounts to_rent;
  // By type: whether some job for it may use spot machines.
  std::map<std::string, bool> allows_spot;
};

double FleetSizer::matching_count(const Need& need, const MachineCounts& counts) {
  double matching = 0;
  for (const auto& [kind, count] : counts) {
    if (kind.type == need.type && (need.zone.empty() || kind.zone == need.zone) &&
        !(need.non_spot_only && kind.spot))
      matching += count;
  }
  return matching;
}

std::optional<MachineKind> FleetSizer::next_kind(Ms now, const Need& need,
                                                 const wire::MachineType& type,
                                                 ScaleOutPlan& plan) const {
  std::optional<MachineKind> best;
  // Prefers machines other than spot, since they are not preempted, and then the zone with the
  // fewest machines of the type.
  for (const bool spot : {false, true}) {
    if (best || (spot && (need.non_spot_only || !plan.allows_spot[need.type]))) continue;
    for (const auto& zone : type.zones) {
      const MachineKind kind{need.type, zone, spot};
      if ((!need.zone.empty() && zone != need.zone) || is_refused(now, kind)) continue;
      if (plan.to_rent[kind] >= kMaxMachinesPerKind) continue;
      if (!best || plan.counts[kind] < plan.counts[*best]) best = kind;
    }
  }
  return best;
}

void FleetSizer::plan_for_waiting_work(Ms now, const std::vector<Demand>& demand,
                                       const std::vector<wire::MachineType>& catalog,
                                       ScaleOutPlan& plan) const {
  const PlacementModel model(catalog);
  const auto is_available = [&](const MachineKind& kind) {
    return !is_refused(now, kind) && plan.to_rent[kind] < kMaxMachinesPerKind;
  };
  for (const auto& requirement : waiting_requirements(demand)) {
    for (const auto& [kind, count] :
         model.machines_to_add(requirement, plan.counts, is_available)) {
      const int added = std::min(count, kMaxMachinesPerKind - plan.to_rent[kind]);
      plan.counts[kind] += added;
      plan.to_rent[kind] += added;
    }
  }
}

std::vector<wire::ScaleOutRequest> FleetSizer::next_scale_out(
    Ms now, const std::vector<Demand>& demand, const std::vector<wire::MachineType>& catalog,
    const MachineCounts& held) const {
  ScaleOutPlan plan;
  plan.counts = held;
  for (const auto& work : demand) {
    if (const auto* type = cheapest_type_for(*work.job, catalog))
      plan.allows_spot[type->name] |= work.job->spot;
  }
  plan_for_waiting_work(now, demand, catalog, plan);
  for (const Need& need : needs(demand, catalog)) {
    const auto type = std::find_if(catalog.begin(), catalog.end(), [&need](const auto& candidate) {
      return candidate.name == need.type;
    });
    int missing = static_cast<int>(std::ceil(need.machines - matching_count(need, plan.counts)));
    while (missing-- > 0) {
      const std::optional<MachineKind> kind = next_kind(now, need, *type, plan);
      if (!kind) break;
      ++plan.counts[*kind];
      ++plan.to_rent[*kind];
    }
  }
  std::vector<wire::ScaleOutRequest> out;
  for (const auto& [kind, count] : plan.to_rent) {
    for (auto remaining = static_cast<std::uint32_t>(count); remaining > 0;) {
      const std::uint32_t machines = std::min(remaining, kMaxMachinesPerScaleOut);
      out.push_back({"", kind.type, kind.zone, kind.spot, machines});
      remaining -= machines;
    }
  }
  return out;
}

std::map<std::string, int> FleetSizer::surplus(const std::vector<Demand>& demand,
                                               const std::vector<wire::MachineType>& catalog,
                                               const MachineCounts& held) const {
  std::map<std::string, double> wanted;
  for (const Need& need : needs(demand, catalog))
    if (need.zone.empty() && !need.non_spot_only) wanted[need.type] = need.machines;
  // Spare machines are held only while there is unfinished work.
  const double min_machines = demand.empty() ? 0.0 : kSpareMachines;
  std::map<std::string, int> out;
  for (const auto& [kind, count] : held) out[kind.type] += count;
  for (auto& [type, count] : out)
    count -= static_cast<int>(std::ceil(std::max(wanted[type], min_machines)));
  return out;
}

bool FleetSizer::needed_by_waiting_work(const MachineKind& kind, const std::vector<Demand>& demand,
                                        const std::vector<wire::MachineType>& catalog,
                                        MachineCounts held) {
  const PlacementModel model(catalog);
  const auto requirements = waiting_requirements(demand);
  std::vector<double> missing;
  missing.reserve(requirements.size());
  for (const auto& requirement : requirements)
    missing.push_back(model.missing_tasks(requirement, held));
  --held[kind];
  for (std::size_t i = 0; i < requirements.size(); ++i) {
    if (model.missing_tasks(requirements[i], held) > missing[i]) return true;
  }
  return false;
}

}  // namespace scheduler
