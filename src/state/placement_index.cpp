#include "state/placement_index.h"

#include <utility>

namespace scheduler {

void PlacementIndex::add(TaskRef task, const wire::Placement& placement) {
  placed_on_[placement.machine].insert(std::move(task));
}

void PlacementIndex::remove(const TaskRef& task, const wire::Placement& placement) {
  auto it = placed_on_.find(placement.machine);
  if (it == placed_on_.end()) return;
  it->second.erase(task);
  if (it->second.empty()) placed_on_.erase(it);
}

void PlacementIndex::change_usage(const wire::JobSpec& spec, const wire::Placement& placement,
                                  int sign) {
  Usage& used = usage_[spec.team][placement.quota_holder];
  used.cpus += sign * spec.cpus;
  used.gpus += sign * spec.gpus;
  if (!spec.is_service()) return;
  const auto replicas = service_replicas_on_.try_emplace(placement.machine, 0).first;
  replicas->second += sign;
  if (replicas->second == 0) service_replicas_on_.erase(replicas);
}

const std::set<TaskRef>& PlacementIndex::placed_on(const std::string& machine) const {
  static const std::set<TaskRef> none;
  auto it = placed_on_.find(machine);
  return it == placed_on_.end() ? none : it->second;
}

Usage PlacementIndex::usage(const std::string& team, const std::string& quota_holder) const {
  auto team_entry = usage_.find(team);
  if (team_entry == usage_.end()) return {};
  auto holder_entry = team_entry->second.find(quota_holder);
  return holder_entry == team_entry->second.end() ? Usage{} : holder_entry->second;
}

Usage PlacementIndex::usage(const std::string& team) const {
  Usage total;
  auto team_entry = usage_.find(team);
  if (team_entry == usage_.end()) return total;
  for (const auto& [holder, used] : team_entry->second) {
    total.cpus += used.cpus;
    total.gpus += used.gpus;
  }
  return total;
}

}  // namespace scheduler
