#include "fleet/fleet_sizer.h"

#include <algorithm>
#include <cmath>
#include <functional>

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

namespace {

// A machine type that can take tasks of a job.
struct TypeForJob {
  const wire::MachineType* type = nullptr;
  double tasks_per_machine = 0;

  [[nodiscard]] double price_per_task() const { return type->price / tasks_per_machine; }
};

// The types that the job may use, the lowest price per task first.
std::vector<TypeForJob> types_by_price(const wire::JobSpec& job,
                                       const std::vector<wire::MachineType>& catalog) {
  std::vector<TypeForJob> out;
  for (const auto& type : catalog) {
    const bool in_zone =
        std::any_of(type.zones.begin(), type.zones.end(),
                    [&](const std::string& zone) { return allowed(job, type.name, zone, false); });
    const double tasks_per_machine = fit_count(resources_of(job), resources_of(type));
    if (in_zone && tasks_per_machine >= 1) out.push_back({&type, tasks_per_machine});
  }
  std::stable_sort(out.begin(), out.end(), [](const TypeForJob& a, const TypeForJob& b) {
    return a.price_per_task() < b.price_per_task();
  });
  return out;
}

// Number of machines of the type that the job may use.
double allowed_count(const wire::JobSpec& job, const std::string& type,
                     const MachineCounts& machines) {
  double allowed_machines = 0;
  for (const auto& [kind, count] : machines) {
    if (kind.type == type && allowed(job, type, kind.zone, kind.spot)) allowed_machines += count;
  }
  return allowed_machines;
}

}  // namespace

// Machines that jobs need, as sums over jobs.
struct FleetSizer::NeedSums {
  // Type, whether any zone counts, zone, whether spot machines count. false sorts before true, so
  // specific needs come before general ones.
  using Key = std::tuple<std::string, bool, std::string, bool>;
  struct Sum {
    double machines = 0;
    double substitutes = 0;  // for a cheaper type that is used up
    bool preferred = false;  // the cheapest type of some job
  };

  std::map<Key, Sum> by_key;
  std::map<std::string, bool> allows_spot;       // by type
  std::map<std::string, double> held_uncounted;  // held machines that no job counts for, by type

  void add(const wire::JobSpec& job, const std::string& type, double machines, bool substitutes) {
    allows_spot[type] |= job.spot;
    std::vector<std::string> zones{""};
    if (!job.zone.empty()) zones.push_back(job.zone);
    for (const auto& zone : zones) {
      for (const bool spot_counts : {false, true}) {
        if (!spot_counts && job.spot) continue;
        Sum& sum = by_key[{type, zone.empty(), zone, spot_counts}];
        (substitutes ? sum.substitutes : sum.machines) += machines;
        sum.preferred |= !substitutes;
      }
    }
  }
};

bool FleetSizer::is_used_up(Ms now, const wire::JobSpec& job, const wire::MachineType& type) const {
  for (const auto& zone : type.zones) {
    for (const bool spot : {false, true}) {
      if (allowed(job, type.name, zone, spot) &&
          !availability_.is_used_up(now, {type.name, zone, spot}))
        return false;
    }
  }
  return true;
}

void FleetSizer::add_need(Ms now, const Demand& work, const std::vector<wire::MachineType>& catalog,
                          const MachineCounts& held_machines, NeedSums& sums) const {
  const wire::JobSpec& job = *work.job;
  const std::vector<TypeForJob> types = types_by_price(job, catalog);
  if (types.empty() || work.tasks == 0) return;
  double tasks = parallel_tasks(work);
  for (const TypeForJob& choice : types) {
    const std::string& type = choice.type->name;
    const bool substitutes = &choice != &types.front();
    const double machines = tasks / choice.tasks_per_machine;
    if (!is_used_up(now, job, *choice.type)) {
      sums.held_uncounted[type] -= machines;
      return sums.add(job, type, machines, substitutes);
    }
    const double held =
        std::min({machines, sums.held_uncounted[type], allowed_count(job, type, held_machines)});
    const double usable = std::max(0.0, held);
    sums.held_uncounted[type] -= usable;
    sums.add(job, type, usable, substitutes);
    tasks -= usable * choice.tasks_per_machine;
    if (tasks <= kAmountSlack) return;
  }
  // Every type is used up. The tasks count for the cheapest one, which is requested again from time
  // to time.
  sums.add(job, types.front().type->name, tasks / types.front().tasks_per_machine, false);
}

std::vector<FleetSizer::Need> FleetSizer::needs(Ms now, const std::vector<Demand>& demand,
                                                const std::vector<wire::MachineType>& catalog,
                                                const MachineCounts& held) const {
  NeedSums sums;
  for (const auto& [kind, count] : held) sums.held_uncounted[kind.type] += count;
  for (const auto& work : demand) add_need(now, work, catalog, held, sums);
  std::vector<Need> out;
  for (const auto& [key, sum] : sums.by_key) {
    const auto& [type, any_zone, zone, spot_counts] = key;
    const double spare = any_zone && spot_counts && sum.preferred ? kSpareMachines : 0;
    const double machines = sum.machines * (1.0 + kHeadroomShare) + spare + sum.substitutes;
    out.push_back({type, zone, !spot_counts, sums.allows_spot[type], machines});
  }
  return out;
}

// Machines to rent in addition to those held, by kind.
struct FleetSizer::ScaleOutPlan {
  MachineCounts counts;  // held, plus those planned so far
  MachineCounts to_rent;
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
    if (best || (spot && (need.non_spot_only || !need.allows_spot))) continue;
    for (const auto& zone : type.zones) {
      const MachineKind kind{need.type, zone, spot};
      if ((!need.zone.empty() && zone != need.zone) || !availability_.may_request(now, kind))
        continue;
      if (plan.to_rent[kind] >= kMaxMachinesPerKind) continue;
      if (!best || plan.counts[kind] < plan.counts[*best]) best = kind;
    }
  }
  return best;
}

void FleetSizer::plan_for_waiting_work(Ms now, const std::vector<Demand>& demand,
                                       const std::vector<wire::MachineType>& catalog,
                                       const std::vector<MachineRoom>& rooms,
                                       ScaleOutPlan& plan) const {
  const PlacementModel model(catalog);
  const auto may_request = [&](const MachineKind& kind) {
    return availability_.may_request(now, kind) && plan.to_rent[kind] < kMaxMachinesPerKind;
  };
  const auto is_available = [&](const MachineKind& kind) {
    return may_request(kind) && !availability_.is_used_up(now, kind);
  };
  for (const auto& requirement : waiting_requirements(demand)) {
    const bool on_free_room = requirement.crowded && !rooms.empty();
    std::vector<MachineRoom> tried =
        model.empty_machines(on_free_room ? plan.to_rent : plan.counts);
    if (on_free_room) tried.insert(tried.end(), rooms.begin(), rooms.end());
    MachineCounts machines = model.machines_to_add(requirement, tried, is_available);
    // Kinds that count as used up are requested if there is no other way.
    if (machines.empty()) machines = model.machines_to_add(requirement, tried, may_request);
    for (const auto& [kind, count] : machines) {
      const int added = std::min(count, kMaxMachinesPerKind - plan.to_rent[kind]);
      plan.counts[kind] += added;
      plan.to_rent[kind] += added;
    }
  }
}

std::vector<wire::ScaleOutRequest> FleetSizer::next_scale_out(
    Ms now, const std::vector<Demand>& demand, const std::vector<wire::MachineType>& catalog,
    const MachineCounts& held, const std::vector<MachineRoom>& rooms) const {
  ScaleOutPlan plan;
  plan.counts = held;
  plan_for_waiting_work(now, demand, catalog, rooms, plan);
  for (const Need& need : needs(now, demand, catalog, held)) {
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

std::map<std::string, int> FleetSizer::surplus(Ms now, const std::vector<Demand>& demand,
                                               const std::vector<wire::MachineType>& catalog,
                                               const MachineCounts& held) const {
  std::map<std::string, double> wanted;
  for (const Need& need : needs(now, demand, catalog, held))
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
                                        MachineCounts held, std::vector<MachineRoom> rooms) {
  const PlacementModel model(catalog);
  const auto requirements = waiting_requirements(demand);
  const auto missing_tasks = [&] {
    std::vector<double> missing;
    missing.reserve(requirements.size());
    for (const auto& requirement : requirements) {
      const bool on_free_room = requirement.crowded && !rooms.empty();
      missing.push_back(
          model.missing_tasks(requirement, on_free_room ? rooms : model.empty_machines(held)));
    }
    return missing;
  };
  const std::vector<double> before = missing_tasks();
  --held[kind];
  for (const MachineRoom& empty : model.empty_machines({{kind, 1}})) {
    const auto room = std::find_if(rooms.begin(), rooms.end(), [&](const MachineRoom& machine) {
      return machine.kind == kind && machine.machines > 0 && machine.free.covers(empty.free);
    });
    if (room != rooms.end()) --room->machines;
  }
  const std::vector<double> after = missing_tasks();
  return !std::equal(before.begin(), before.end(), after.begin(), std::greater_equal<>());
}

}  // namespace scheduler
