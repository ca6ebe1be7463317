#include "fleet/fleet_demand.h"

#include <utility>

#include "base/resources.h"
#include "quota/quota_leases.h"

namespace scheduler {

std::vector<Demand> FleetDemand::jobs(Ms now) {
  std::vector<Demand> out;
  std::unordered_map<std::string, Ms> still_waiting;
  for (const auto& [id, job] : context_.replica.jobs()) {
    if (!job.known || job.record.cancelled) continue;
    const wire::JobSpec& spec = job.record.spec;
    const std::uint64_t done = job.done_tasks();
    if (done >= spec.tasks) continue;
    Demand work(&spec, spec.tasks - done);
    work.placed = job.placed_tasks();
    if (work.placed < work.tasks) {
      work.replicas_by_zone = replicas_by_zone(job);
      work.waits_for_quota = waits_for_quota(spec);
    }
    if (work.needs_machines()) {
      const auto known = waiting_since_.find(id);
      const Ms since = known == waiting_since_.end() ? now : known->second;
      still_waiting.emplace(id, since);
      work.waited_ms = now - since;
    }
    out.push_back(std::move(work));
  }
  waiting_since_ = std::move(still_waiting);
  return out;
}

std::map<std::string, std::uint64_t> FleetDemand::replicas_by_zone(const Job& job) const {
  std::map<std::string, std::uint64_t> replicas;
  if (!job.record.spec.is_service()) return replicas;
  for (const auto& [number, range] : job.ranges) {
    for (const auto& [task, placement] : range.placed) {
      if (const auto* machine = context_.replica.machine(placement.machine))
        ++replicas[machine->zone];
    }
  }
  return replicas;
}

bool FleetDemand::waits_for_quota(const wire::JobSpec& spec) const {
  const Team* team = context_.team(spec.team);
  if (!team || !has_quota_limit(*team)) return false;
  const double tasks = spec.is_gang() ? spec.tasks : 1.0;
  const Usage usage = context_.replica.usage(spec.team);
  const auto exceeds = [tasks](double used, double per_task, double limit) {
    return limit > 0 && per_task > 0 && used + tasks * per_task > limit + kAmountSlack;
  };
  return exceeds(usage.cpus, spec.cpus, team->cpus_max) ||
         exceeds(usage.gpus, spec.gpus, team->gpus_max);
}

MachineCounts FleetDemand::machines() const {
  MachineCounts held;
  for (const auto& [id, record] : context_.replica.machines()) {
    if (record.state == wire::MachineState::ready) ++held[{record.type, record.zone, record.spot}];
  }
  for (const auto& [name, scale_out] : context_.replica.scale_out_requests())
    held[{scale_out.type, scale_out.zone, scale_out.spot}] += static_cast<int>(scale_out.count);
  return held;
}

std::vector<MachineRoom> FleetDemand::rooms() const {
  std::vector<MachineRoom> out;
  for (const auto& [id, record] : context_.replica.machines()) {
    const wire::MachineType* type = context_.replica.type(record.type);
    if (record.state != wire::MachineState::ready || !type) continue;
    out.push_back({{record.type, record.zone, record.spot}, free_on(id, *type), 1});
  }
  for (const auto& [name, scale_out] : context_.replica.scale_out_requests()) {
    const wire::MachineType* type = context_.replica.type(scale_out.type);
    if (!type) continue;
    out.push_back({{scale_out.type, scale_out.zone, scale_out.spot},
                   resources_of(*type),
                   static_cast<int>(scale_out.count)});
  }
  return out;
}

Resources FleetDemand::free_on(const std::string& machine, const wire::MachineType& type) const {
  Resources free = resources_of(type);
  for (const TaskRef& ref : context_.replica.placed_on(machine)) {
    const Job* job = context_.replica.job(ref.range.job);
    if (job) free -= resources_of(job->record.spec);
  }
  return free;
}

}  // namespace scheduler
