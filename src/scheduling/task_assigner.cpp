#include "scheduling/task_assigner.h"

#include <map>
#include <utility>

namespace scheduler {

void TaskAssigner::assign(SchedulingPass& pass, const TaskToPlace& task, int machine, bool booked) {
  Candidate& candidate = pass.candidate(machine);
  const wire::JobSpec& spec = task.spec;
  RangeState& range = task.range;
  range.pending_placements[task.task] = {task.attempt, candidate.id, candidate.incarnation,
                                         context_.settings.name};
  range.task_resources = resources_of(spec);
  if (!booked) candidate.book(spec, predicted_end(pass.now, spec));
  candidate_cache_.reserve(candidate.id, range.task_resources);
  auto& used = pass.used[spec.team];
  used.cpus += spec.cpus;
  used.gpus += spec.gpus;
  --pass.remaining_placements;
}

std::set<std::string> TaskAssigner::open_zones(const SchedulingPass& pass, const Job& job) const {
  const auto& spec = job.record.spec;
  std::map<std::string, std::size_t> tasks_by_zone;
  auto count = [&](const wire::Placement& placement) {
    const auto* machine = context_.replica.machine(placement.machine);
    ++tasks_by_zone[machine ? machine->zone : ""];
  };
  for (const auto& [number, range] : job.ranges) {
    // A task that is proven gone does not count for its zone, even if its release is not recorded
    // yet.
    for (const auto& [task, placement] : range.placed)
      if (!ranges_.is_released({{spec.id, number}, task}, placement.attempt)) count(placement);
    if (auto range_state = ranges_.find({spec.id, number}); range_state != ranges_.end())
      for (const auto& [task, placement] : range_state->second.pending_placements) count(placement);
  }
  std::set<std::string> out;
  for (const auto& zone : pass.zones) {
    const bool no_other_zone =
        tasks_by_zone.empty() || (tasks_by_zone.size() == 1 && tasks_by_zone.contains(zone));
    auto in_zone = tasks_by_zone.find(zone);
    const std::size_t count_with_next = (in_zone == tasks_by_zone.end() ? 0 : in_zone->second) + 1;
    if ((!spec.one_zone || no_other_zone) &&
        (!spec.spread || count_with_next <= (spec.tasks + 1) / 2))
      out.insert(zone);
  }
  return out;
}

std::set<std::string> TaskAssigner::machines_with_tasks(const Job& job) const {
  std::set<std::string> machines;
  for (const auto& [number, range] : job.ranges) {
    for (const auto& [task, placement] : range.placed) machines.insert(placement.machine);
    const auto range_state = ranges_.find({job.record.spec.id, number});
    if (range_state == ranges_.end()) continue;
    for (const auto& [task, placement] : range_state->second.pending_placements)
      machines.insert(placement.machine);
  }
  return machines;
}

}  // namespace scheduler
