#include "fleet/fleet_sizer.h"

#include <algorithm>
#include <cmath>

#include "allocation/placement.h"
#include "base/resources.h"
#include "base/types.h"

namespace scheduler {

namespace {

// Share of the demand held beyond it, so that a burst finds capacity while others boot.
constexpr double kHeadroom = 0.5;
// Whole machines held free beyond the demand, if there is any.
constexpr double kSpareMachines = 2.0;
// Machines rented in one request (PROTOCOL: 50 at most).
constexpr std::uint32_t kMachinesPerScaleOut = 50;
// Requests for one kind of machine at once; further ones wait until these are answered.
constexpr std::uint32_t kScaleOutsPerKind = 3;

}  // namespace

double FleetSizer::parallel(const Demand& demand) const {
  const wire::JobSpec& job = *demand.job;
  const auto tasks = static_cast<double>(demand.tasks);
  if (job.is_gang() || job.is_service()) return job.tasks;
  double horizon = kDefaultHorizonS;
  for (const auto& objective : settings_.objectives) {
    if (objective.job_class != job.job_class) continue;
    if (objective.kind == ObjectiveKind::deadline && job.deadline_s)
      horizon = std::min(horizon, *job.deadline_s * std::max(1.0, objective.times));
    if (objective.kind == ObjectiveKind::finished && objective.within_s > 0)
      horizon = std::min(horizon, objective.within_s);
    if (objective.kind == ObjectiveKind::wait) horizon = 0;
  }
  // Half of the horizon: boots, fetches and wrong estimates take the rest.
  const double rounds = std::max(1.0, std::floor(horizon / 2 / std::max(1.0, job.estimate_s)));
  return std::ceil(tasks / rounds);
}

const wire::MachineType* FleetSizer::type_for(const wire::JobSpec& job,
                                              const std::vector<wire::MachineType>& catalog) {
  const wire::MachineType* best = nullptr;
  double best_price = 0;
  for (const auto& type : catalog) {
    if (!job.types.empty() &&
        std::find(job.types.begin(), job.types.end(), type.name) == job.types.end())
      continue;
    if (!job.zone.empty() &&
        std::find(type.zones.begin(), type.zones.end(), job.zone) == type.zones.end())
      continue;
    const double n = fit_count(resources_of(job), resources_of(type));
    if (n < 1) continue;
    const double price = type.price / n;
    if (!best || price < best_price) {
      best = &type;
      best_price = price;
    }
  }
  return best;
}

std::vector<FleetSizer::Need> FleetSizer::needs(
    const std::vector<Demand>& demand, const std::vector<wire::MachineType>& catalog) const {
  // By type, whether for any zone, zone, whether for any kind: specific before general.
  std::map<std::tuple<std::string, bool, std::string, bool>, double> sums;
  for (const auto& work : demand) {
    const auto* t = type_for(*work.job, catalog);
    if (!t || work.tasks == 0) continue;
    const double machines = parallel(work) / fit_count(resources_of(*work.job), resources_of(*t));
    std::vector<std::string> zones{""};
    if (!work.job->zone.empty()) zones.push_back(work.job->zone);
    for (const auto& z : zones) {
      sums[{t->name, z.empty(), z, true}] += machines;
      if (!work.job->spot) sums[{t->name, z.empty(), z, false}] += machines;
    }
  }
  std::vector<Need> out;
  for (const auto& [key, n] : sums) {
    const auto& [type, any_zone, zone, any_kind] = key;
    const double spare = any_zone && any_kind ? kSpareMachines : 0;
    out.push_back({type, zone, !any_kind, n * (1.0 + kHeadroom) + spare});
  }
  return out;
}

bool FleetSizer::is_refused(Ms now, const MachineKind& kind) const {
  auto it = refused_.find(kind);
  return it != refused_.end() && now < it->second;
}

void FleetSizer::on_refused(Ms now, const MachineKind& kind) {
  refused_[kind] = now + kRefusedPauseMs;
}

// Machines to be rented beside those that are held, kind by kind.
struct FleetSizer::ScaleOutPlan {
  std::map<MachineKind, int> counts;  // held, and planned so far
  std::map<MachineKind, int> rent;
  std::map<std::string, bool> spot_ok;  // by type: some work of it may use spot machines
};

double FleetSizer::count_for(const Need& need, const std::map<MachineKind, int>& counts) {
  double have = 0;
  for (const auto& [kind, count] : counts) {
    if (kind.type == need.type && (need.zone.empty() || kind.zone == need.zone) &&
        !(need.ordinary_only && kind.spot))
      have += count;
  }
  return have;
}

std::optional<MachineKind> FleetSizer::next_kind(Ms now, const Need& need,
                                                 const wire::MachineType& type,
                                                 ScaleOutPlan& plan) const {
  constexpr int kMost = static_cast<int>(kMachinesPerScaleOut * kScaleOutsPerKind);
  std::optional<MachineKind> best;
  // Ordinary machines first: they are not preempted. Then the zone with the fewest.
  for (const bool spot : {false, true}) {
    if (best || (spot && (need.ordinary_only || !plan.spot_ok[need.type]))) continue;
    for (const auto& zone : type.zones) {
      const MachineKind kind{need.type, zone, spot};
      if ((!need.zone.empty() && zone != need.zone) || is_refused(now, kind)) continue;
      if (plan.rent[kind] >= kMost) continue;
      if (!best || plan.counts[kind] < plan.counts[*best]) best = kind;
    }
  }
  return best;
}

std::vector<wire::ScaleOutRequest> FleetSizer::next_scale_out(
    Ms now, const std::vector<Demand>& demand, const std::vector<wire::MachineType>& catalog,
    const std::map<MachineKind, int>& held) const {
  ScaleOutPlan plan;
  plan.counts = held;
  for (const auto& work : demand) {
    if (const auto* type = type_for(*work.job, catalog)) plan.spot_ok[type->name] |= work.job->spot;
  }
  for (const Need& need : needs(demand, catalog)) {
    const auto type = std::find_if(catalog.begin(), catalog.end(), [&need](const auto& candidate) {
      return candidate.name == need.type;
    });
    int missing = static_cast<int>(std::ceil(need.machines - count_for(need, plan.counts)));
    while (missing-- > 0) {
      const std::optional<MachineKind> kind = next_kind(now, need, *type, plan);
      if (!kind) break;
      ++plan.counts[*kind];
      ++plan.rent[*kind];
    }
  }
  std::vector<wire::ScaleOutRequest> out;
  for (const auto& [kind, count] : plan.rent) {
    for (auto left = static_cast<std::uint32_t>(count); left > 0;) {
      const std::uint32_t machines = std::min(left, kMachinesPerScaleOut);
      out.push_back({"", kind.type, kind.zone, kind.spot, machines});
      left -= machines;
    }
  }
  return out;
}

std::map<std::string, int> FleetSizer::surplus(const std::vector<Demand>& demand,
                                               const std::vector<wire::MachineType>& catalog,
                                               const std::map<MachineKind, int>& held) const {
  std::map<std::string, double> want;
  for (const Need& need : needs(demand, catalog))
    if (need.zone.empty() && !need.ordinary_only) want[need.type] = need.machines;
  // Nothing is held for what may come while nothing is to be done.
  const double least = demand.empty() ? 0.0 : kSpareMachines;
  std::map<std::string, int> out;
  for (const auto& [kind, n] : held) out[kind.type] += n;
  for (auto& [type, n] : out) n -= static_cast<int>(std::ceil(std::max(want[type], least)));
  return out;
}

}  // namespace scheduler
